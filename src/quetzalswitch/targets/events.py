"""Commands accepted and events emitted by a target link."""

import dataclasses
import enum
import typing

from quetzalswitch import records
from quetzalswitch.targets import protocol


@dataclasses.dataclass(frozen=True)
class Claim:
    """Claim the target; the link retries until it is granted or refused."""


@dataclasses.dataclass(frozen=True)
class StartAttempts:
    """Start attempts; `requests` holds the request of each attempt."""

    attempts: tuple[records.Attempt, ...]
    requests: tuple[records.Request, ...]
    all_or_none: bool = False


@dataclasses.dataclass(frozen=True)
class StopAttempt:
    """Stop a running attempt; mode is checkpoint, throttle or stop."""

    attempt_id: str
    mode: typing.Literal["checkpoint", "throttle", "stop"] = "stop"


@dataclasses.dataclass(frozen=True)
class Acknowledge:
    """Let the target drop results that were delivered or stored."""

    attempt_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Release:
    """Release the target once starts in progress are resolved."""


Command = Claim | StartAttempts | StopAttempt | Acknowledge | Release


class StartState(enum.StrEnum):
    """Outcome of a start.

    NOT_STARTED is definite: the start was refused, fenced or never sent.
    UNKNOWN means that the task may have run; it no longer runs under this
    link.
    """

    STARTED = "started"
    NOT_STARTED = "not_started"
    UNKNOWN = "unknown"


class Outcome(enum.StrEnum):
    """How an attempt ended."""

    FINISHED = "finished"
    LOST = "lost"
    PREEMPTED = "preempted"


@dataclasses.dataclass(frozen=True)
class TargetClaimed:
    """The target granted its control lease and sent its inventory.

    An `AttemptEnded` event follows for each finished attempt.
    """

    target: records.Target
    epoch: int
    boot_id: str
    running: tuple[protocol.AttemptReport, ...]
    finished: tuple[records.Result, ...]
    finished_reports: tuple[protocol.AttemptReport, ...]


@dataclasses.dataclass(frozen=True)
class ClaimRefused:
    """Another entry holds the target; the link stops claiming."""

    target_id: str
    holder: str
    holder_address: str
    remaining_s: float


@dataclasses.dataclass(frozen=True)
class TargetLost:
    """The link no longer controls the target.

    `reason` is one of: released, stale_epoch, lease_lapsed. Unless the target
    was released, the link is claiming it again.
    """

    target_id: str
    reason: str


@dataclasses.dataclass(frozen=True)
class TargetReported:
    """State of the target at the last `sync`.

    `running` is empty when the target left the reports out because the set of
    running attempts has not changed.
    """

    target_id: str
    leaving: bool
    running: tuple[protocol.AttemptReport, ...]


@dataclasses.dataclass(frozen=True)
class StartResolved:
    """Outcome of a start; sent once for each attempt."""

    attempt_id: str
    state: StartState
    reason: str = ""


@dataclasses.dataclass(frozen=True)
class AttemptEnded:
    """An attempt ended; repeated until it is acknowledged.

    A lost attempt has the reason in `result.error`: target_restarted,
    target_silent, or lapsed when the target itself stopped the task.
    """

    attempt_id: str
    request_key: str
    outcome: Outcome
    result: records.Result


Event = (
    TargetClaimed
    | ClaimRefused
    | TargetLost
    | TargetReported
    | StartResolved
    | AttemptEnded
)
