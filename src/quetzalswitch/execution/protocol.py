"""Orders to targets and their answers, in the product's own terms."""

import enum
import typing


class End(enum.StrEnum):
    """How a run ended on its target."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    GANG_BROKEN = "broken"
    GANG_ALONE = "alone"


class Rejection(enum.Enum):
    """Why a target did nothing for an order."""

    FENCED = "a newer fencing token was seen"
    OLD_RUN = "a run as new was stopped or ended there"
    LATE = "the lease in the order has passed"
    NO_ROOM = "no room"
    NO_TICKET = "no valid ticket"
    UNHEALTHY = "the target is unhealthy"
    OTHER_LIFETIME = "the target was restarted"
    OTHER = "unknown reason"


class StartOrder(typing.NamedTuple):
    """An order to start a task; the lease is on the target's clock."""

    task: str
    run: int
    spec: str
    lease_until_ms: int
    fencing_token: int
    checkpoint: str
    ticket: str


class OrderAnswer(typing.NamedTuple):
    """Answer to a start or stop; done unless there is a rejection."""

    rejection: Rejection | None
    clock_ms: int


class HoldOrder(typing.NamedTuple):
    """An order to extend leases and list runs.

    Attributes:
        fencing_token: Token of the deciding entry.
        acknowledged: Ends up to this number may be forgotten.
        lease_until_ms: New lease on the target's clock; 0 for none.
        wait_s: How long the target may wait for an end; 0 answers at once.
    """

    fencing_token: int
    acknowledged: int
    lease_until_ms: int
    wait_s: float


class RunningRun(typing.NamedTuple):
    """A run that a target lists as running."""

    task: str
    run: int
    checkpoint: str
    percent: int
    load: int


class EndedRun(typing.NamedTuple):
    """A run that a target lists as ended."""

    number: int
    task: str
    run: int
    end: End
    checkpoint: str


class HoldAnswer(typing.NamedTuple):
    """What a target runs and what has ended there."""

    clock_ms: int
    boot_ms: int
    running: list[RunningRun]
    ended: list[EndedRun]


class AdviceAnswer(typing.NamedTuple):
    """Tickets by target ID, and their lifetime if the answer says it."""

    tickets: dict[str, str]
    valid_s: float | None
