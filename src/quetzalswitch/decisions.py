"""What the scheduler decides; the entry process carries it out."""

import dataclasses

from quetzalswitch import exceptions
from quetzalswitch import records


@dataclasses.dataclass(frozen=True)
class Start:
    """Start the tasks of a request; a gang has several attempts."""

    request: records.Request
    attempts: tuple[records.Attempt, ...]


@dataclasses.dataclass(frozen=True)
class Preempt:
    """Stop a running attempt and queue its request again."""

    attempt_id: str
    target_id: str
    checkpoint: bool
    reason: str


@dataclasses.dataclass(frozen=True)
class Refuse:
    """Give up a queued request; nothing of it has been started."""

    request: records.Request
    kind: exceptions.ErrorKind
    message: str
    retry_after_s: float | None = None


@dataclasses.dataclass(frozen=True)
class Throttle:
    """Hold a running attempt to its size; it keeps running."""

    attempt_id: str
    target_id: str
    reason: str


@dataclasses.dataclass(frozen=True)
class Stop:
    """Stop a running attempt for good; its request has failed."""

    attempt_id: str
    target_id: str
    reason: str


Decision = Start | Preempt | Refuse | Throttle | Stop
