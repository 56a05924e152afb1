"""Messages between the tasks of one entry process."""

import dataclasses

from quetzalswitch import configuration
from quetzalswitch import exceptions
from quetzalswitch import records


@dataclasses.dataclass(frozen=True)
class Place:
    """Asks the placer to start a request.

    Attributes:
        request: The request.
        again: Whether the request was accepted before.
        has_run: Whether an earlier attempt may have run.
        delay_s: Seconds before it is considered.
    """

    request: records.Request
    again: bool = False
    has_run: bool = False
    delay_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Withdraw:
    """Asks the placer to drop a request, stopping it if it runs."""

    request_key: str


@dataclasses.dataclass(frozen=True)
class RecordStart:
    """Asks the home to make a start durable before it is sent.

    `holder` is the entry ID of the peer if the request is to be forwarded.
    """

    request_key: str
    attempts: tuple[records.Attempt, ...]
    holder: str = ""


@dataclasses.dataclass(frozen=True)
class StartRecorded:
    """Answers `RecordStart`; the start must not be sent unless ok."""

    request_key: str
    attempts: tuple[records.Attempt, ...]
    holder: str
    ok: bool


@dataclasses.dataclass(frozen=True)
class Started:
    """Attempts of a request were sent, or were found on a target."""

    request_key: str
    attempt_ids: tuple[str, ...]
    target_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Outcome:
    """An attempt has ended.

    Attributes:
        request_key: The request.
        outcome: finished, not_started, lost, preempted or unknown.
        result: The result; empty unless finished.
        target_id: Where the attempt was.
        reporter: Entry ID of the reporting peer; empty for this process.
        abandon: Whether the job itself is at fault and must not run again.
    """

    request_key: str
    outcome: str
    result: records.Result
    target_id: str
    reporter: str = ""
    abandon: bool = False


@dataclasses.dataclass(frozen=True)
class OutcomeStored:
    """The home has delivered or stored an outcome."""

    request_key: str
    attempt_id: str


@dataclasses.dataclass(frozen=True)
class GivenUp:
    """The policy refused a queued request; nothing of it runs."""

    request_key: str
    kind: exceptions.ErrorKind
    message: str
    retry_after_s: float | None = None


@dataclasses.dataclass(frozen=True)
class AllowanceChanged:
    """The part of a team's upper limit held by this process has changed."""

    team: str
    held: int


@dataclasses.dataclass(frozen=True)
class AllowanceExceeded:
    """A lowered upper limit asks this process to stop tasks of a team."""

    team: str
    count: int


@dataclasses.dataclass(frozen=True)
class ConfigurationChanged:
    """A new configuration is in force.

    `head_row_version` is the row version of the head that named it; None if it
    is not known.
    """

    configuration: configuration.Configuration
    head_row_version: int | None = None


@dataclasses.dataclass(frozen=True)
class PeerLost:
    """An entry was declared dead, or was replaced by a new incarnation."""

    entry_id: str
    incarnation: str


@dataclasses.dataclass(frozen=True)
class Adopted:
    """Requests of a dead home that now belong to this process.

    Attributes:
        old_home: Incarnation of the dead home.
        rows: Adopted requests as (request, row value, row version).
    """

    old_home: str
    rows: tuple[tuple[records.Request, dict, int], ...]


@dataclasses.dataclass(frozen=True)
class Forwarded:
    """A request was handed to a peer for placing, or came back ("")."""

    request_key: str
    entry_id: str


@dataclasses.dataclass(frozen=True)
class Hold:
    """Earlier attempts of a request may still run under a lost entry.

    Attributes:
        request_key: The request, which must not be started again yet.
        suspect: Incarnation of the lost entry.
        lease_s: Task lease of the request in seconds.
    """

    request_key: str
    suspect: str
    lease_s: float


@dataclasses.dataclass(frozen=True)
class Cleared:
    """Earlier attempts of a held request have ended or are reported."""

    request_key: str


@dataclasses.dataclass(frozen=True)
class HoldAttempt:
    """An attempt is on a target that this process does not control.

    `for_home` is set by the home; the placer asks about its own attempts.
    """

    attempt: records.Attempt
    for_home: bool = False


@dataclasses.dataclass(frozen=True)
class OrphanCleared:
    """A held attempt has surely ended, without a result known here."""

    attempt_id: str


@dataclasses.dataclass(frozen=True)
class Settled:
    """The home needs no more attempts of a request.

    `is_open` is set when one may still wait or run, for example because the
    result of an attempt that counted as lost arrived after all.
    """

    request_key: str
    is_open: bool


@dataclasses.dataclass(frozen=True)
class LeavingTargets:
    """The targets that the platform lists as leaving."""

    target_ids: frozenset[str]
