"""Orders to targets and their answers, in the product's own terms."""

import enum
import typing


class EndReason(enum.StrEnum):
    """How a run ended on its target."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"
    GANG_BROKEN = "broken"
    GANG_ALONE = "alone"


class Rejection(enum.Enum):
    """Why a target did nothing for an order."""

    FENCED = "a newer fencing token was seen"
    STALE_RUN = "a run as new was stopped or ended there"
    LEASE_PASSED = "the lease in the order has passed"
    NO_CAPACITY = "no room"
    INVALID_TICKET = "no valid ticket"
    UNHEALTHY = "the target is unhealthy"
    TARGET_RESTARTED = "the target was restarted"
    OTHER = "unknown reason"


class StartCommand(typing.NamedTuple):
    """An order to start a task; the lease is on the target's clock."""

    task: str
    run: int
    spec: str
    lease_until_ms: int
    fencing_token: int
    checkpoint: str
    ticket: str


class CommandAnswer(typing.NamedTuple):
    """Answer to a start or stop; done unless there is a rejection."""

    rejection: Rejection | None
    clock_ms: int


class RenewCommand(typing.NamedTuple):
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
    end: EndReason
    checkpoint: str


class RenewAnswer(typing.NamedTuple):
    """What a target runs and what has ended there."""

    clock_ms: int
    boot_ms: int
    running: list[RunningRun]
    ended: list[EndedRun]


class AdviceAnswer(typing.NamedTuple):
    """Tickets by target ID, and their lifetime if the answer says it."""

    tickets: dict[str, str]
    valid_s: float | None
