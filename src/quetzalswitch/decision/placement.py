"""Chooses targets for the tasks of a stage.

Most tasks are small and urgent; some belong to wide gangs of large tasks that
fit on only a quarter of the targets. Small tasks are packed onto the fullest
target that still has enough free capacity (best fit), which keeps whole
targets free for gangs.
"""

import collections
import typing
from collections.abc import Callable

from quetzalswitch.acceptance import catalogue
from quetzalswitch.decision import fleet
from quetzalswitch.decision import jobs

# Limit of tasks placed on one target in a pass if they require no resources.
UNBOUNDED_COUNT: typing.Final = 64


class RemainingCapacity:
    """Free capacity of targets in one pass, less the reservations in it."""

    def __init__(self) -> None:
        self._reserved: dict[str, list[int]] = {}

    def free_capacity(self, target: fleet.Target) -> tuple[int, int, int]:
        """Returns free processor, memory and accelerators in this pass."""
        cpu, memory_mb, accelerators = target.free_capacity()
        reserved = self._reserved.get(target.id)
        if reserved is None:
            return cpu, memory_mb, accelerators
        return (
            cpu - reserved[0],
            memory_mb - reserved[1],
            accelerators - reserved[2],
        )

    def reserve(
        self, target: fleet.Target, demand: catalogue.Resources
    ) -> None:
        """Withholds capacity from the stages that follow in this pass."""
        reserved = self._reserved.setdefault(target.id, [0, 0, 0])
        reserved[0] += demand.cpu
        reserved[1] += demand.memory_mb
        reserved[2] += demand.accelerators


def choose_targets(
    stage: jobs.Stage,
    indexes: typing.Sequence[int],
    candidates: typing.Sequence[fleet.Target],
    remaining_capacity: RemainingCapacity,
    awaited_by_gangs: typing.Container[str] = (),
    rank_speed: Callable[[fleet.Target], int] | None = None,
) -> dict[int, fleet.Target]:
    """Returns targets by task index, for as many of the tasks as fit.

    Args:
        stage: The stage that the tasks belong to.
        indexes: Indexes of the tasks.
        candidates: Targets that may run them.
        remaining_capacity: Free capacity in this pass; not changed.
        awaited_by_gangs: Targets that gangs wait for; other stages use them
            last.
        rank_speed: Ranks targets by how their speed suits the stage, the best
            lowest; None if speeds don't matter.
    """
    demand = stage.step.demand
    limit = stage.step.max_per_target
    running_counts: collections.Counter[str] = collections.Counter()
    if limit:
        running_counts.update(run.target_id for run in stage.all_runs())
    slots = []
    for target in candidates:
        count = count_fitting(demand, remaining_capacity.free_capacity(target))
        if limit:
            count = min(count, limit - running_counts[target.id])
        if target.probation:
            # One task is enough to find out whether the target has recovered.
            count = min(count, 1)
        if count > 0:
            slots.append((target, count))
    if stage.gang:
        awaited_by_gangs = ()
    slots.sort(
        key=lambda slot: _rank(
            stage, slot[0], remaining_capacity, awaited_by_gangs, rank_speed
        )
    )
    if stage.step.same_rack:
        slots = _prefer_one_rack(slots, len(indexes))
    chosen: dict[int, fleet.Target] = {}
    position = 0
    for index in indexes:
        if position == len(slots):
            break
        target, count = slots[position]
        chosen[index] = target
        if count == 1:
            position += 1
        else:
            slots[position] = (target, count - 1)
    return chosen


def count_slots(stage: jobs.Stage, target: fleet.Target) -> int:
    """Returns how many tasks of a stage fit on an empty target."""
    demand = stage.step.demand
    capacity = target.registration.capacity
    counts = [
        available // required
        for available, required in zip(capacity, demand, strict=True)
        if required > 0
    ]
    slots = min(counts) if counts else stage.step.count
    limit = stage.step.max_per_target
    return min(slots, limit) if limit else slots


def count_fitting(
    demand: catalogue.Resources, free: tuple[int, int, int]
) -> int:
    """Returns how many tasks with a demand fit into free capacity."""
    cpu, memory_mb, accelerators = free
    count = UNBOUNDED_COUNT
    if demand.cpu:
        count = min(count, cpu // demand.cpu)
    if demand.memory_mb:
        count = min(count, memory_mb // demand.memory_mb)
    if demand.accelerators:
        count = min(count, accelerators // demand.accelerators)
    return max(0, count)


def _rank(
    stage: jobs.Stage,
    target: fleet.Target,
    remaining_capacity: RemainingCapacity,
    awaited_by_gangs: typing.Container[str],
    rank_speed: Callable[[fleet.Target], int] | None,
) -> tuple[bool, bool, float, bool, int, int]:
    other_rack = (
        bool(stage.step.rack) and target.registration.rack != stage.step.rack
    )
    # After a failure, prefer the target with the most recent success.
    has_failed = stage.failures or stage.avoided_targets
    recency = -target.last_done_s if has_failed else 0.0
    return (
        target.id not in stage.kept_targets,
        other_rack,
        recency,
        target.id in awaited_by_gangs,
        rank_speed(target) if rank_speed else 0,
        remaining_capacity.free_capacity(target)[0],
    )


def _prefer_one_rack(
    slots: list[tuple[fleet.Target, int]], count: int
) -> list[tuple[fleet.Target, int]]:
    racks: dict[str, int] = {}
    for target, fitting in slots:
        rack = target.registration.rack
        racks[rack] = racks.get(rack, 0) + fitting
    enough = [rack for rack, fitting in racks.items() if fitting >= count]
    if not enough:
        return slots
    best = min(enough, key=racks.__getitem__)
    return [slot for slot in slots if slot[0].registration.rack == best]
