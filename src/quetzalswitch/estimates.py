"""Estimates of task sizes and run times for each team and queue."""

import bisect
import collections
import typing

from quetzalswitch import policy as policies
from quetzalswitch import records

_WINDOW = 128
# The factor on the declared size is bounded, so that one corrupt usage report
# can't make every later request of the queue unplaceable.
_MAX_SIZE_FACTOR = 4.0


class SampleWindow:
    """Quantiles over the most recent values."""

    __slots__ = ("_recent", "_sorted")

    def __init__(self):
        self._recent: collections.deque = collections.deque()
        self._sorted: list[float] = []

    def __len__(self) -> int:
        return len(self._recent)

    def add(self, value: float) -> None:
        """Adds a value; drops the oldest one when the window is full."""
        self._recent.append(value)
        bisect.insort(self._sorted, value)
        if len(self._recent) > _WINDOW:
            oldest = self._recent.popleft()
            del self._sorted[bisect.bisect_left(self._sorted, oldest)]

    def quantile(self, fraction: float) -> float:
        """Returns the value at a quantile between 0 and 1."""
        last = len(self._sorted) - 1
        return self._sorted[min(last, int(fraction * len(self._sorted)))]


class _Samples:
    __slots__ = ("cores", "memory", "ratio", "seconds")

    def __init__(self):
        self.cores = SampleWindow()
        self.memory = SampleWindow()
        self.ratio = SampleWindow()
        self.seconds = SampleWindow()


class Estimates:
    """Ratios of actual to declared sizes and run times.

    Ratios are recorded rather than absolute sizes, because the requests of one
    queue differ in size while the error of a team's declarations is stable.
    """

    def __init__(self, policy: policies.Policy):
        self._policy = policy
        self._samples: dict[tuple[str, str], _Samples] = {}

    def record_size(
        self, request: records.Request, peak: records.Resources
    ) -> None:
        """Records the highest usage of a task."""
        samples = self._samples_of(request)
        declared = request.size
        samples.cores.add(peak.cores / max(declared.cores, 0.01))
        samples.memory.add(peak.memory_mb / max(declared.memory_mb, 1))

    def record_run_time(self, request: records.Request, seconds: float) -> None:
        """Records the run time of a finished task in seconds."""
        samples = self._samples_of(request)
        samples.seconds.add(seconds)
        if request.run_time_s:
            samples.ratio.add(seconds / request.run_time_s)

    def size(
        self, request: records.Request, largest: records.Resources
    ) -> records.Resources:
        """Returns the resources to allocate for one task of a request.

        This is the larger of the declared and the estimated size. A smaller
        size than declared is returned only if the policy reclaims capacity,
        and never for urgent requests or services. The size does not grow
        beyond `largest`.
        """
        declared = request.size
        samples = self._samples.get((request.team, request.queue))
        if samples is None or len(samples.cores) < (
            self._policy.estimate_samples
        ):
            return declared
        cores = declared.cores * self._size_factor(request, samples.cores)
        memory = declared.memory_mb * self._size_factor(request, samples.memory)
        return records.Resources(
            max(min(cores, largest.cores), min(declared.cores, cores)),
            int(max(min(memory, largest.memory_mb), min(declared[1], memory))),
            declared.accelerators,
        )

    def run_time_s(
        self, request: records.Request, fraction: float = 0.9
    ) -> float:
        """Returns the run time in seconds at a quantile of past run times."""
        samples = self._samples.get((request.team, request.queue))
        min_samples = 5
        if request.run_time_s:
            if samples is None or len(samples.ratio) < min_samples:
                return request.run_time_s
            return request.run_time_s * samples.ratio.quantile(fraction)
        if samples is None or len(samples.seconds) < min_samples:
            return self._policy.default_run_time_s
        return samples.seconds.quantile(fraction)

    def _size_factor(
        self, request: records.Request, window: SampleWindow
    ) -> float:
        policy = self._policy
        ratio = window.quantile(policy.estimate_quantile)
        factor = ratio * policy.estimate_margin
        if ratio > 1.0 + policy.overrun_tolerance:
            return min(factor, _MAX_SIZE_FACTOR)
        if not self._may_reclaim(request):
            return 1.0
        return min(1.0, max(factor, policy.reclaim_floor))

    def _may_reclaim(self, request: records.Request) -> bool:
        match request.kind:
            case records.Batch() | records.Gang():
                return self._policy.reclaim and request.idempotent
            case _:
                return False

    def _samples_of(self, request: records.Request) -> _Samples:
        key = (request.team, request.queue)
        samples = self._samples.get(key)
        if samples is None:
            samples = _Samples()
            self._samples[key] = samples
        return samples


class Excess(typing.NamedTuple):
    """Usage above the allocated size, as a fraction of that size."""

    cores: float
    memory: float


def measure_excess(
    used: records.Resources, reserved: records.Resources
) -> Excess:
    """Returns how far a usage report is above the allocated size."""
    return Excess(
        used.cores / max(reserved.cores, 0.01) - 1.0,
        used.memory_mb / max(reserved.memory_mb, 1) - 1.0,
    )
