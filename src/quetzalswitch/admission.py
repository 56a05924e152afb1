"""Admission control: refuses requests that could not start in time."""

import math
import typing

from quetzalswitch import clock as clocks
from quetzalswitch import configuration as configurations
from quetzalswitch import exceptions
from quetzalswitch import policy as policies
from quetzalswitch import records

_RATE_WINDOW_S = 5.0
_MIN_RETRY_S = 1.0
_MAX_RETRY_S = 300.0
# Number of starts before the measured rate is used. Until then only requests
# past their deadline are refused as too late.
_MIN_STARTS = 8.0


class StartRate:
    """Starts per second, averaged with exponential decay."""

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        self._weight = 0.0
        self._at_s = clock.now()
        self.total = 0

    def record(self) -> None:
        """Counts one start."""
        self._decay()
        self._weight += 1.0
        self.total += 1

    def per_second(self) -> float:
        """Returns the current rate."""
        self._decay()
        return self._weight / _RATE_WINDOW_S

    def _decay(self) -> None:
        now_s = self._clock.now()
        self._weight *= math.exp((self._at_s - now_s) / _RATE_WINDOW_S)
        self._at_s = now_s


class Load(typing.NamedTuple):
    """Requests that a new request would wait behind.

    Attributes:
        total: Waiting requests of all queues.
        in_queue: Waiting requests of its queue.
        ahead: Waiting urgent requests.
        blocked: Whether an urgent request fits on no target at present.
    """

    total: int
    in_queue: int
    ahead: int
    blocked: bool


class Admission:
    """Refuses requests on arrival by queue limits and expected waits."""

    def __init__(self, clock: clocks.Clock, policy: policies.Policy):
        self._clock = clock
        self._policy = policy
        self.urgent_rate = StartRate(clock)
        self.patient_rate = StartRate(clock)

    def check(
        self,
        request: records.Request,
        queue: configurations.Queue | None,
        load: Load,
    ) -> None:
        """Checks a new request against queue limits and its deadline.

        Raises:
            RequestError: The request is refused; none of it has run.
        """
        self._check_length(request, queue, load)
        remaining_s = self.expiry_s(request, queue) - self._clock.now()
        wait_s = self.wait_s(request, load)
        margin = self._policy.admission_margin
        if remaining_s < 0.0 or wait_s > remaining_s * margin:
            raise exceptions.RequestError(
                exceptions.ErrorKind.TOO_LATE,
                f"may wait {max(remaining_s, 0.0):.1f} s,"
                f" expected wait {wait_s:.1f} s",
                retry_after_s=_bound_retry(wait_s),
            )

    def expiry_s(
        self, request: records.Request, queue: configurations.Queue | None
    ) -> float:
        """Returns the time after which a waiting request is refused."""
        expiry_s = math.inf
        if request.deadline_s is not None:
            expiry_s = request.deadline_s
        if queue is not None and queue.max_wait_s is not None:
            expiry_s = min(expiry_s, request.submitted_s + queue.max_wait_s)
        return expiry_s

    def wait_s(self, request: records.Request, load: Load) -> float:
        """Returns the expected wait of a new urgent request, else 0."""
        match request.kind:
            case records.LatencyBound():
                rate = self.urgent_rate
            case _:
                return 0.0
        if not load.blocked or rate.total < _MIN_STARTS:
            return 0.0
        return load.ahead / max(rate.per_second(), 0.1)

    def record_start(self, request: records.Request) -> None:
        """Records a start, which updates the expected wait."""
        match request.kind:
            case records.LatencyBound():
                self.urgent_rate.record()
            case _:
                self.patient_rate.record()

    def retry_after_s(self, queued: int) -> float:
        """Returns the time until a tenth of the queued requests has started."""
        rate = self.urgent_rate.per_second() + self.patient_rate.per_second()
        return _bound_retry(0.1 * queued / max(rate, 0.1))

    def _check_length(self, request, queue, load: Load) -> None:
        limit = self._policy.max_queued
        if load.total >= limit:
            raise self._queue_full(f"all queues hold {limit} requests", load)
        if queue is not None and load.in_queue >= queue.max_queued:
            raise self._queue_full(
                f"queue {request.queue} holds {queue.max_queued} requests",
                load,
            )

    def _queue_full(self, message: str, load: Load) -> exceptions.RequestError:
        return exceptions.RequestError(
            exceptions.ErrorKind.QUEUE_FULL,
            message,
            retry_after_s=self.retry_after_s(load.total),
        )


def _bound_retry(wait_s: float) -> float:
    return min(max(wait_s, _MIN_RETRY_S), _MAX_RETRY_S)
