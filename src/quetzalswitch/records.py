"""Domain records: sizes, requests, attempts, results and targets."""

import dataclasses
import enum
import secrets
import typing

import xxhash

INLINE_BODY_LIMIT_BYTES = 64 * 1024


class Resources(typing.NamedTuple):
    """Processors, memory and accelerators.

    Attributes:
        cores: Processor cores.
        memory_mb: Memory in MB.
        accelerators: Whole accelerators.
    """

    cores: float = 1.0
    memory_mb: int = 512
    accelerators: int = 0

    def plus(self, other: "Resources") -> "Resources":
        """Returns the sum of both sizes."""
        return Resources(
            self.cores + other.cores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: "Resources") -> "Resources":
        """Returns this size less the other."""
        return Resources(
            self.cores - other.cores,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def fits_in(self, room: "Resources") -> bool:
        """Tells whether this size fits in the given room."""
        return (
            self.cores <= room.cores + 1e-9
            and self.memory_mb <= room.memory_mb
            and self.accelerators <= room.accelerators
        )


@dataclasses.dataclass(frozen=True)
class LatencyBound:
    """A request that somebody is waiting for."""

    lease_s: float = 10.0


@dataclasses.dataclass(frozen=True)
class Batch:
    """Patient work; may wait, must not be lost.

    Attributes:
        checkpointable: Whether a preempted task can save its progress.
        lease_s: Task lease in seconds.
    """

    checkpointable: bool = False
    lease_s: float = 20.0


@dataclasses.dataclass(frozen=True)
class Service:
    """A long-lived service; its tasks are spread over failure domains."""

    lease_s: float = 60.0


@dataclasses.dataclass(frozen=True)
class Gang:
    """A job whose tasks must all start at once.

    Attributes:
        tasks: Number of tasks.
        same_rack: Whether tasks should stand close together.
        lease_s: Task lease in seconds.
    """

    tasks: int = 2
    same_rack: bool = False
    lease_s: float = 20.0


Kind = LatencyBound | Batch | Service | Gang


class Request(typing.NamedTuple):
    """A request as admitted by its home entry.

    Attributes:
        request_id: Unique within the team.
        team: Team that the caller's key belongs to.
        queue: Queue that the request was submitted to.
        kind: How the request wants to be run.
        size: Declared size of one task.
        payload: Input passed to the target unchanged.
        idempotent: Whether it may be run again after an unclear attempt.
        durable: Whether it is kept in the table service.
        run_time_s: Declared run time in seconds; None if not declared.
        deadline_s: Latest useful start on the clock; None if there is none.
        submitted_s: Time of acceptance on the clock.
        home: Incarnation of the entry that answers the caller.
        trace_id: Trace that the request belongs to.
    """

    request_id: str
    team: str
    queue: str
    kind: Kind
    size: Resources
    payload: str = ""
    idempotent: bool = True
    durable: bool = False
    run_time_s: float | None = None
    deadline_s: float | None = None
    submitted_s: float = 0.0
    home: str = ""
    trace_id: str = ""

    @property
    def key(self) -> str:
        """Team and ID, unique across the system."""
        return f"{self.team}/{self.request_id}"

    @property
    def task_count(self) -> int:
        """Number of tasks that run at once."""
        match self.kind:
            case Gang(tasks=tasks):
                return tasks
            case _:
                return 1


class RequestState(enum.StrEnum):
    """Life of a request as a caller sees it."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    UNKNOWN = "unknown"
    CANCELLED = "cancelled"


class Result(typing.NamedTuple):
    """Outcome of one attempt.

    Attributes:
        attempt_id: Attempt that produced it.
        ok: Whether the task succeeded.
        body: Output, or an empty string when it is in the object store.
        object_key: Key in the object store; None when the body is inline.
        length_bytes: Length of the whole output in bytes.
        digest: xxh3-64 of the whole output, in hex.
        error: Reason of a failure.
    """

    attempt_id: str
    ok: bool
    body: str = ""
    object_key: str | None = None
    length_bytes: int = 0
    digest: str = ""
    error: str = ""


class Attempt(typing.NamedTuple):
    """One start of one task on one target.

    Attributes:
        attempt_id: Unique ID of the attempt.
        request_key: Team and request ID.
        team: Team charged.
        target_id: Target that it was sent to.
        size: Size reserved on the target.
        holder: Entry incarnation whose allowance it is charged to.
        home: Entry incarnation that answers the caller.
        lease_s: Task lease in seconds.
        task_index: Index within a gang, 0 otherwise.
    """

    attempt_id: str
    request_key: str
    team: str
    target_id: str
    size: Resources
    holder: str = ""
    home: str = ""
    lease_s: float = 20.0
    task_index: int = 0


class Target(typing.NamedTuple):
    """Description of a target.

    Attributes:
        target_id: VM name of the target.
        address: Host and port.
        failure_domain: Failure domain that it stands in.
        rack: Rack that it stands in.
        capacity: Whole size.
        slots: Tasks that it runs at once.
        connections: Connections that it accepts.
        leaving: Whether it must receive no new work.
    """

    target_id: str
    address: str
    failure_domain: str
    rack: str
    capacity: Resources
    slots: int = 8
    connections: int = 64
    leaving: bool = False


def make_id(prefix: str) -> str:
    """Returns a new random ID with the given prefix."""
    return f"{prefix}-{secrets.token_hex(8)}"


def digest_body(body: bytes) -> str:
    """Returns the xxh3-64 digest of a body in hex."""
    return xxhash.xxh3_64_hexdigest(body)


def lease_seconds(kind: Kind) -> float:
    """Returns the task lease of a kind in seconds."""
    return kind.lease_s
