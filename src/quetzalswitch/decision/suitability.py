"""Which targets are fast enough for a stage, if their speeds differ.

It is designed for a load in which gangs, whose slowest member decides, and
urgent steps with a tight objective are late on slow targets, while other work
is in time there. A step takes the slowest targets on which it will be in time;
a gang takes the fastest. A gang that would be late on the free targets waits
for fast ones only if they are expected to become free before it would be late
on them too.
"""

import math
import operator
import typing
from collections.abc import Callable

from quetzalswitch.acceptance import catalogue
from quetzalswitch.decision import fleet
from quetzalswitch.decision import jobs
from quetzalswitch.decision import speeds

# Spare time in the expected run time: tasks of a step differ.
WORK_MARGIN: typing.Final = 1.2
# A run that takes longer than expected is expected to end this much later.
OVERDUE_S: typing.Final = 0.5
# Rank beyond that of any target that is fast enough.
TOO_SLOW_RANK: typing.Final = 1000


class ReleaseTimes:
    """Expected ends of the runs on targets; valid for one pass."""

    def __init__(
        self,
        learned: speeds.TargetSpeeds,
        queue_of: Callable[[jobs.Job], catalogue.Queue],
        now_s: float,
    ):
        self._learned = learned
        self._queue_of = queue_of
        self._now_s = now_s
        self._ends: dict[str, list[tuple[float, catalogue.Resources]]] = {}

    def list_ends(
        self, target: fleet.Target
    ) -> list[tuple[float, catalogue.Resources]]:
        """Returns expected end (s) and demand of the runs, in their order."""
        ends = self._ends.get(target.id)
        if ends is None:
            ends = self._ends[target.id] = sorted(
                (self._expect_end(target, run), run.stage.step.demand)
                for run in target.runs.values()
                if not run.stage.step.long_running
                and not run.stage.step.best_effort
            )
        return ends

    def _expect_end(self, target: fleet.Target, run: jobs.Run) -> float:
        work_s = self._learned.estimate_work_s(
            run.stage, self._queue_of(run.stage.job)
        )
        end_s = run.started_s + work_s / self._learned.estimate_speed(target.id)
        return max(end_s, self._now_s + OVERDUE_S)


def make_rank(
    learned: speeds.TargetSpeeds,
    stage: jobs.Stage,
    queue: catalogue.Queue,
    now_s: float,
) -> Callable[[fleet.Target], int] | None:
    """Returns a function that ranks targets for a stage, the best lowest.

    Returns None if all targets rank the same.
    """
    if not learned.uneven or stage.step.long_running or stage.step.best_effort:
        return None
    grades = learned.grades
    if stage.gang:
        return lambda target: -grades.get(target.id, 0)
    # Most stages of a backlog find no target with room, and need no grade.
    needed: float | None = None

    def rank(target: fleet.Target) -> int:
        nonlocal needed
        if needed is None:
            needed = _find_needed_grade(learned, stage, queue, now_s)
        grade = grades.get(target.id, 0)
        return grade if grade >= needed else TOO_SLOW_RANK - grade

    return rank


def limit_candidates(
    learned: speeds.TargetSpeeds,
    stage: jobs.Stage,
    queue: catalogue.Queue,
    candidates: list[fleet.Target],
    release_times: ReleaseTimes,
    now_s: float,
) -> list[fleet.Target]:
    """Returns the targets on which a gang should start or wait to start.

    These are the fast enough ones if enough of them are expected to be free in
    time; else all, since the gang would be late after the wait as well.
    """
    if not learned.uneven or not stage.gang:
        return candidates
    needed = _find_needed_grade(learned, stage, queue, now_s)
    if not learned.lowest_grade < needed <= learned.highest_grade:
        # It will be in time on all targets, or on none.
        return candidates
    grades = learned.grades
    fast = [t for t in candidates if grades.get(t.id, 0) >= needed]
    if not fast or len(fast) == len(candidates):
        return candidates
    count = stage.step.count
    slowest = min(grades.get(target.id, 0) for target in fast)
    work_s = WORK_MARGIN * learned.estimate_work_s(stage, queue)
    latest_s = stage.sort_key[1] - work_s / speeds.convert_grade(slowest)
    slots = 0
    for target in fast:
        slots += _count_slots_at(stage, target, release_times, latest_s)
        if slots >= count:
            return fast
    return candidates


def sort_for_advice(
    learned: speeds.TargetSpeeds,
    stage: jobs.Stage,
    queue: catalogue.Queue,
    targets: list[fleet.Target],
    now_s: float,
) -> None:
    """Sorts targets by how useful an allowance is for a stage, best first.

    Those with the most free processors come first; for a gang the fastest of
    those with room for a task.
    """
    rank = make_rank(learned, stage, queue, now_s)
    demand = stage.step.demand

    def order(target: fleet.Target) -> tuple[bool, int, int]:
        free = target.free_capacity()
        if rank is None:
            return False, 0, -free[0]
        full = any(map(operator.lt, free, demand))
        suited = rank(target)
        if not stage.gang:
            suited = int(suited >= TOO_SLOW_RANK // 2)
        return full, suited, -free[0]

    targets.sort(key=order)


def _find_needed_grade(
    learned: speeds.TargetSpeeds,
    stage: jobs.Stage,
    queue: catalogue.Queue,
    now_s: float,
) -> float:
    """Returns the lowest grade of targets on which a stage will be in time.

    It is infinite if the due time has passed.
    """
    left_s = stage.sort_key[1] - now_s
    if left_s <= 0:
        return math.inf
    work_s = WORK_MARGIN * learned.estimate_work_s(stage, queue)
    if work_s <= 0:
        return -math.inf
    return math.log(work_s / left_s) / speeds.GRADE_LOG


def _count_slots_at(
    stage: jobs.Stage,
    target: fleet.Target,
    release_times: ReleaseTimes,
    at_s: float,
) -> int:
    """Returns how many tasks are expected to fit on a target at a time."""
    free = list(target.free_capacity())
    for end_s, demand in release_times.list_ends(target):
        if end_s > at_s:
            break
        for position, amount in enumerate(demand):
            free[position] += amount
    counts = [
        max(0, available) // required
        for available, required in zip(free, stage.step.demand, strict=True)
        if required > 0
    ]
    slots = min(counts) if counts else stage.step.count
    limit = stage.step.max_per_target
    return min(slots, limit) if limit else slots
