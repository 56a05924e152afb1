"""A request as its home tracks it, and the messages to the home."""

import collections
import dataclasses
import typing

import gevent.event

from quetzalswitch import answers
from quetzalswitch import events
from quetzalswitch import exceptions
from quetzalswitch import journal as journals
from quetzalswitch import records


@dataclasses.dataclass
class Tracked:
    """One request at its home.

    Attributes:
        request: The request.
        state: What a caller is told.
        collector: Outcomes of the attempts.
        row: Value of the durable row; None if the request is not durable.
        version: Version of the durable row.
        writes: Writes of the row that wait for the one in progress.
        writing: Whether a write of the row is in progress.
        rounds: Rounds of attempts that may have run.
        failed_targets: Targets on which the job itself failed.
        holder: Tracked ID of the peer that places it; empty for this process.
        cancelled: Whether its caller has asked to cancel it.
        held: Whether an unknown earlier attempt may still run somewhere.
        finishing: Whether the final state has been decided.
        result: The result once it is done.
        error: The error once it has failed.
        finished_s: When it reached its final state.
        done: Set when the final state is reached and stored.
        acks: Outcomes to acknowledge when the final state is stored.
        abandoned: Whether the job itself was found to be at fault.
        watchers: Callers that wait for the result here.
        handed_over: Whether peers are to adopt the request.
        adopted_away: Whether a write showed that a peer has adopted it.
    """

    request: records.Request
    state: records.RequestState
    collector: answers.Collector
    row: journals.RequestRow | None = None
    version: int = 0
    writes: collections.deque = dataclasses.field(
        default_factory=collections.deque
    )
    writing: bool = False
    rounds: int = 0
    failed_targets: set[str] = dataclasses.field(default_factory=set)
    holder: str = ""
    cancelled: bool = False
    held: bool = False
    finishing: bool = False
    result: records.Result | None = None
    error: exceptions.RequestError | None = None
    finished_s: float = 0.0
    done: gevent.event.Event = dataclasses.field(
        default_factory=gevent.event.Event
    )
    acks: list[events.Outcome] = dataclasses.field(default_factory=list)
    abandoned: bool = False
    watchers: int = 0
    handed_over: bool = False
    adopted_away: bool = False


@dataclasses.dataclass(frozen=True)
class Accept:
    """Asks the home to accept a request.

    `reply` receives the entry, or an exception.
    """

    request: records.Request
    reply: gevent.event.AsyncResult


@dataclasses.dataclass(frozen=True)
class CancelRequest:
    """Asks the home to cancel a request."""

    request_key: str


@dataclasses.dataclass(frozen=True)
class HandOver:
    """Leaves a durable request to be adopted by a peer."""

    request_key: str


@dataclasses.dataclass(frozen=True)
class Created:
    """The record of a new request is durable."""

    entry: Tracked
    version: int
    reply: gevent.event.AsyncResult


@dataclasses.dataclass(frozen=True)
class Write:
    """A write of a request's row; `then` runs with whether it committed."""

    row: journals.RequestRow
    final: bool
    then: typing.Callable[[bool], None]


@dataclasses.dataclass(frozen=True)
class Written:
    """A write of a request's row has ended; version 0 if it conflicted."""

    entry: Tracked
    write: Write
    version: int


@dataclasses.dataclass(frozen=True)
class Sweep:
    """Drops finished requests from memory."""


def make_store_unavailable() -> exceptions.RequestError:
    """Returns the refusal of a request whose record was surely not written."""
    return exceptions.RequestError(
        exceptions.ErrorKind.STORE_UNAVAILABLE,
        "the request could not be recorded; nothing of it was run",
        retry_after_s=2.0,
    )


def make_acceptance_unknown() -> exceptions.RequestError:
    """Returns the answer while it is open whether the record was written."""
    return exceptions.RequestError(
        exceptions.ErrorKind.OUTCOME_UNKNOWN,
        "it is not known whether the request was recorded; "
        "a retry with the same request ID is safe",
        retry_after_s=2.0,
    )


def make_cancelled(rounds: int) -> exceptions.RequestError:
    """Returns the answer to a cancelled request.

    Args:
        rounds: Rounds of attempts that may have run.
    """
    run = exceptions.RunState.UNKNOWN if rounds else None
    return exceptions.RequestError(
        exceptions.ErrorKind.CANCELLED, "cancelled by its caller", run=run
    )


def make_exhausted(rounds: int) -> exceptions.RequestError:
    """Returns the failure of a request after too many rounds."""
    return exceptions.RequestError(
        exceptions.ErrorKind.JOB_FAILED,
        f"{rounds} attempts ended without a result",
    )
