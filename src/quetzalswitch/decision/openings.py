"""Expects when targets have room for further tasks.

Declared run times are inaccurate, so they are corrected by the run times of
ended runs and by the progress that targets report.
"""

import collections
import functools
import math
import typing

from quetzalswitch.acceptance import catalogue
from quetzalswitch.decision import fleet
from quetzalswitch.decision import jobs
from quetzalswitch.decision import placement

# Progress from which the speed of a run can be told; less is too inaccurate.
PROGRESS_MIN_PERCENT: typing.Final = 20
# Weight of one ended run in the ratio of run times to declared ones, and the
# bounds of the ratio.
RATIO_SMOOTHING: typing.Final = 0.1
RATIO_MIN: typing.Final = 0.1
RATIO_MAX: typing.Final = 10.0


class Opening(typing.NamedTuple):
    """A place for one task on a near target, free in so many seconds."""

    wait_s: float
    target: fleet.Target


class RunTimes:
    """Ratio of measured to declared run times of each queue.

    It isn't stored: a new leader starts with 1 and learns it again.
    """

    def __init__(self) -> None:
        self._ratios: dict[str, float] = {}

    def record_done(
        self,
        run: jobs.Run,
        target: fleet.Target,
        spread_factor: float,
        now_s: float,
    ) -> None:
        """Updates the ratio by a run that is done, unless it was resumed."""
        step = run.stage.step
        resumed = run.stage.preemptions[run.index] or run.stage.failures
        if resumed or step.long_running or step.estimate_ms <= 0:
            return
        took_s = now_s - run.started_s
        if step.rack and target.registration.rack != step.rack:
            took_s /= spread_factor
        ratio = took_s * 1000 / step.estimate_ms
        name = run.stage.job.submission.queue.name
        old = self._ratios.get(name, 1.0)
        new = old + RATIO_SMOOTHING * (min(ratio, RATIO_MAX) - old)
        self._ratios[name] = max(RATIO_MIN, new)

    def expect_s(self, stage: jobs.Stage) -> float:
        """Returns the expected run time of a stage's task near its data."""
        ratio = self._ratios.get(stage.job.submission.queue.name, 1.0)
        return ratio * stage.step.estimate_ms / 1000


class Outlook:
    """When places become free on targets, as expected in one pass.

    Attributes:
        awaited: IDs of the targets that tasks wait for.
        waiting: Keys of the stages that wait.
    """

    def __init__(
        self,
        targets: typing.Mapping[str, fleet.Target],
        run_times: RunTimes,
        remaining_capacity: placement.RemainingCapacity,
        spread_factor: float,
        now_s: float,
    ):
        self.awaited: set[str] = set()
        self.waiting: set[str] = set()
        self._run_times = run_times
        self._remaining_capacity = remaining_capacity
        self._spread_factor = spread_factor
        self._now_s = now_s
        self._targets = targets
        self._ends: dict[str, list[tuple[float, catalogue.Resources]]] = {}
        # Resources by target and stage.
        self._claims: dict[str, dict[str, list[int]]] = {}

    def list_openings(
        self,
        stage: jobs.Stage,
        targets: typing.Iterable[fleet.Target],
        taken: collections.Counter[str],
        count: int,
        limit_s: float,
    ) -> list[Opening]:
        """Returns the next places for tasks of a stage, soonest first.

        Args:
            stage: The stage.
            targets: Targets that may run its tasks.
            taken: Number of its tasks that start now, by target ID.
            count: Number of places at most.
            limit_s: Time until the last of them (s).
        """
        openings = [
            Opening(wait_s, target)
            for target in targets
            if not target.probation
            for wait_s in self._list_times(stage, target, taken, count, limit_s)
        ]
        openings.sort(key=lambda opening: opening.wait_s)
        return openings[:count]

    def claim(
        self, stage: jobs.Stage, places: typing.Iterable[Opening]
    ) -> None:
        """Withholds places from the outlook of the stages that follow."""
        self.waiting.add(stage.key)
        counts = collections.Counter(place.target.id for place in places)
        for target_id, count in counts.items():
            self.awaited.add(target_id)
            self._claims.setdefault(target_id, {})[stage.key] = [
                count * required for required in stage.step.demand
            ]

    @functools.cached_property
    def utilizations(self) -> dict[str, float]:
        """Processors of runs that belong on each rack, as a share of its own.

        Runs elsewhere that would be near their data there count as well, for
        the time that they would take there.
        """
        needed: collections.Counter[str] = collections.Counter()
        available: collections.Counter[str] = collections.Counter()
        for target in self._targets.values():
            rack = target.registration.rack
            available[rack] += target.registration.capacity.cpu
            for run in target.runs.values():
                step = run.stage.step
                if step.rack and step.rack != rack:
                    needed[step.rack] += step.demand.cpu / self._spread_factor
                elif step.rack or step.same_rack:
                    needed[rack] += step.demand.cpu
        return {
            rack: needed[rack] / cpu if cpu else math.inf
            for rack, cpu in available.items()
        }

    def expect_end(self, run: jobs.Run, target: fleet.Target) -> float:
        """Returns the expected time until a run ends (s).

        A run that lasts longer than expected is taken to need as much time
        again as it is late.
        """
        step = run.stage.step
        if run.state is jobs.RunState.STOPPING:
            return 0.0
        if step.long_running:
            return math.inf
        work_s = self._run_times.expect_s(run.stage)
        if step.rack and target.registration.rack != step.rack:
            work_s *= self._spread_factor
        took_s = self._now_s - run.started_s
        if run.percent < PROGRESS_MIN_PERCENT:
            return abs(work_s - took_s)
        share_left = 1 - run.percent / 100
        # By its own speed; too little if it was resumed or has been found by a
        # new leader.
        took_s = run.progress_s - run.started_s
        left_s = took_s * share_left * 100 / run.percent
        left_s = max(left_s, work_s * share_left)
        return abs(left_s - (self._now_s - run.progress_s))

    def _list_times(
        self,
        stage: jobs.Stage,
        target: fleet.Target,
        taken: collections.Counter[str],
        count: int,
        limit_s: float,
    ) -> list[float]:
        demand = stage.step.demand
        if stage.step.max_per_target:
            running = sum(run.stage is stage for run in target.runs.values())
            used = running + taken[target.id]
            count = min(count, stage.step.max_per_target - used)
        free = [
            available - required * taken[target.id]
            for available, required in zip(
                self._remaining_capacity.free_capacity(target),
                demand,
                strict=True,
            )
        ]
        for key, claimed in self._claims.get(target.id, {}).items():
            if key != stage.key:
                free = [a - b for a, b in zip(free, claimed, strict=True)]
        times: list[float] = []
        for wait_s, released in ((0.0, (0, 0, 0)), *self._list_ends(target)):
            if wait_s > limit_s or len(times) >= count:
                break
            free = [a + b for a, b in zip(free, released, strict=True)]
            fitting = placement.count_fitting(
                demand, (free[0], free[1], free[2])
            )
            times += [wait_s] * (fitting - len(times))
        return times[: max(0, count)]

    def _list_ends(
        self, target: fleet.Target
    ) -> list[tuple[float, catalogue.Resources]]:
        ends = self._ends.get(target.id)
        if ends is None:
            ends = self._ends[target.id] = sorted(
                (self.expect_end(run, target), run.stage.step.demand)
                for run in target.runs.values()
            )
        return ends
