"""Learned sizes and run times of each team and queue."""

import bisect
import collections
import typing

from quetzalswitch import policy as policies
from quetzalswitch import records

_WINDOW = 128
# Memory granted beyond what was declared is bounded, so that one damaged
# usage report can't make every later request of the queue unplaceable.
_MAX_GROWTH = 4.0


class Window:
    """The last values seen, with their quantiles."""

    __slots__ = ("_recent", "_sorted")

    def __init__(self):
        self._recent: collections.deque = collections.deque()
        self._sorted: list[float] = []

    def __len__(self) -> int:
        return len(self._recent)

    def add(self, value: float) -> None:
        """Adds a value and drops the oldest beyond the window."""
        self._recent.append(value)
        bisect.insort(self._sorted, value)
        if len(self._recent) > _WINDOW:
            oldest = self._recent.popleft()
            del self._sorted[bisect.bisect_left(self._sorted, oldest)]

    def quantile(self, part: float) -> float:
        """Returns the value at a quantile between 0 and 1."""
        last = len(self._sorted) - 1
        return self._sorted[min(last, int(part * len(self._sorted)))]


class _Learned:
    __slots__ = ("cores", "memory", "ratio", "seconds")

    def __init__(self):
        self.cores = Window()
        self.memory = Window()
        self.ratio = Window()
        self.seconds = Window()


class Estimates:
    """Ratios of actual to declared sizes and run times.

    Ratios are learned rather than absolute sizes, because the requests of one
    queue differ in size while a team's habit of declaring stays the same.
    """

    def __init__(self, policy: policies.Policy):
        self._policy = policy
        self._learned: dict[tuple[str, str], _Learned] = {}

    def learn_size(
        self, request: records.Request, peak: records.Resources
    ) -> None:
        """Learns from the highest usage of a task."""
        learned = self._of(request)
        declared = request.size
        learned.cores.add(peak.cores / max(declared.cores, 0.01))
        learned.memory.add(peak.memory_mb / max(declared.memory_mb, 1))

    def learn_run_time(self, request: records.Request, seconds: float) -> None:
        """Learns from the run time of a finished task."""
        learned = self._of(request)
        learned.seconds.add(seconds)
        if request.run_time_s:
            learned.ratio.add(seconds / request.run_time_s)

    def size(
        self, request: records.Request, largest: records.Resources
    ) -> records.Resources:
        """Returns the size to reserve for one task of a request.

        It is the larger of the declared and the learned size. Below the
        declared size it goes only where the policy reclaims, and never for
        urgent work or services. It does not grow beyond `largest`.
        """
        declared = request.size
        learned = self._learned.get((request.team, request.queue))
        if learned is None or len(learned.cores) < (
            self._policy.estimate_samples
        ):
            return declared
        cores = declared.cores * self._factor(request, learned.cores)
        memory = declared.memory_mb * self._factor(request, learned.memory)
        return records.Resources(
            max(min(cores, largest.cores), min(declared.cores, cores)),
            int(max(min(memory, largest.memory_mb), min(declared[1], memory))),
            declared.accelerators,
        )

    def run_time_s(self, request: records.Request, part: float = 0.9) -> float:
        """Returns the run time at a quantile of what was seen."""
        learned = self._learned.get((request.team, request.queue))
        enough = 5
        if request.run_time_s:
            if learned is None or len(learned.ratio) < enough:
                return request.run_time_s
            return request.run_time_s * learned.ratio.quantile(part)
        if learned is None or len(learned.seconds) < enough:
            return self._policy.default_run_time_s
        return learned.seconds.quantile(part)

    def _factor(self, request: records.Request, window: Window) -> float:
        policy = self._policy
        ratio = window.quantile(policy.estimate_quantile)
        factor = ratio * policy.estimate_margin
        if ratio > 1.0 + policy.overrun_tolerance:
            return min(factor, _MAX_GROWTH)
        if not self._may_reclaim(request):
            return 1.0
        return min(1.0, max(factor, policy.reclaim_floor))

    def _may_reclaim(self, request: records.Request) -> bool:
        match request.kind:
            case records.Batch() | records.Gang():
                return self._policy.reclaim and request.idempotent
            case _:
                return False

    def _of(self, request: records.Request) -> _Learned:
        key = (request.team, request.queue)
        learned = self._learned.get(key)
        if learned is None:
            learned = _Learned()
            self._learned[key] = learned
        return learned


class Excess(typing.NamedTuple):
    """How far a task is above its reserved size, as parts of it."""

    cores: float
    memory: float


def measure_excess(
    used: records.Resources, reserved: records.Resources
) -> Excess:
    """Returns how far a usage report is above the reserved size."""
    return Excess(
        used.cores / max(reserved.cores, 0.01) - 1.0,
        used.memory_mb / max(reserved.memory_mb, 1) - 1.0,
    )
