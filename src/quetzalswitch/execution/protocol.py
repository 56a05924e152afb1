"""Commands to targets and their answers, independent of the wire format."""

import enum
import typing


class EndReason(enum.StrEnum):
    """How a run ended on its target; the values are those of the wire."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"
    GANG_BROKEN = "broken"
    GANG_ALONE = "alone"


class Rejection(enum.Enum):
    """Why a target rejected a command without any effect."""

    FENCED = "a newer fencing token was seen"
    STALE_RUN = "the same or a newer run was stopped or ended on the target"
    LEASE_PASSED = "the lease in the command has expired"
    NO_CAPACITY = "the target has no free capacity"
    INVALID_TICKET = "the ticket is missing or not valid"
    UNHEALTHY = "the target is unhealthy"
    TARGET_RESTARTED = "the target was restarted"
    OTHER = "unknown reason"


class StartCommand(typing.NamedTuple):
    """Starts a task; the lease is given on the target's clock."""

    task: str
    run: int
    spec: str
    lease_until_ms: int
    fencing_token: int
    checkpoint: str
    ticket: str


class CommandAnswer(typing.NamedTuple):
    """Answer to a start or stop; accepted if `rejection` is None."""

    rejection: Rejection | None
    clock_ms: int


class RenewCommand(typing.NamedTuple):
    """Renews a target's leases and asks for its runs.

    Attributes:
        fencing_token: Token of the leader.
        acknowledged: The target may forget ends up to this number.
        lease_until_ms: New lease on the target's clock; 0 renews nothing.
        wait_s: How long the target may wait for an end; 0 answers at once.
    """

    fencing_token: int
    acknowledged: int
    lease_until_ms: int
    wait_s: float


class RunningRun(typing.NamedTuple):
    """A run that a target reports as running."""

    task: str
    run: int
    checkpoint: str
    percent: int
    load: int


class EndedRun(typing.NamedTuple):
    """A run that a target reports as ended."""

    number: int
    task: str
    run: int
    end: EndReason
    checkpoint: str


class RenewAnswer(typing.NamedTuple):
    """The runs of a target, and the ends that are not acknowledged yet.

    Attributes:
        clock_ms: The target's clock.
        boot_ms: Start time of its incarnation.
        running: Its runs.
        ended: The ends with the lowest numbers.
        complete: Whether there are no other ends.
    """

    clock_ms: int
    boot_ms: int
    running: list[RunningRun]
    ended: list[EndedRun]
    complete: bool = True


class AdviceAnswer(typing.NamedTuple):
    """Tickets by target ID, and how long they are valid if that is known."""

    tickets: dict[str, str]
    valid_s: float | None
