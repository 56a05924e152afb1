"""Decisions of the scheduler, which the entry process carries out."""

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
    """Refuse a queued request, none of whose tasks has been started."""

    request: records.Request
    kind: exceptions.ErrorKind
    message: str
    retry_after_s: float | None = None


@dataclasses.dataclass(frozen=True)
class Throttle:
    """Limit a running attempt to its allocated size; it keeps running."""

    attempt_id: str
    target_id: str
    reason: str


@dataclasses.dataclass(frozen=True)
class Stop:
    """Stop a running attempt; its request fails and is not retried."""

    attempt_id: str
    target_id: str
    reason: str


Decision = Start | Preempt | Refuse | Throttle | Stop
