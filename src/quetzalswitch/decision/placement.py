"""Where the tasks of a stage go.

The load that this answers: most tasks are small and urgent, some are wide
gangs of large tasks that fit on a quarter of the targets only. Small tasks are
packed onto the fullest target that still has room, which keeps whole targets
free for gangs.
"""

import collections
import typing

from quetzalswitch.acceptance import catalogue
from quetzalswitch.decision import fleet
from quetzalswitch.decision import jobs

# Tasks put on one target in a pass when they declare no need at all.
UNBOUNDED_COUNT: typing.Final = 64


class Room:
    """Free room of targets during one pass, less what is kept for others."""

    def __init__(self) -> None:
        self._taken: dict[str, list[int]] = {}

    def free(self, target: fleet.Target) -> tuple[int, int, int]:
        """Returns the room that is free in this pass."""
        cpu, memory_mb, accelerators = target.free()
        taken = self._taken.get(target.id)
        if taken is None:
            return cpu, memory_mb, accelerators
        return cpu - taken[0], memory_mb - taken[1], accelerators - taken[2]

    def keep(self, target: fleet.Target, demand: catalogue.Resources) -> None:
        """Keeps room away from the stages that follow in this pass."""
        taken = self._taken.setdefault(target.id, [0, 0, 0])
        taken[0] += demand.cpu
        taken[1] += demand.memory_mb
        taken[2] += demand.accelerators


def choose_targets(
    stage: jobs.Stage,
    indexes: typing.Sequence[int],
    candidates: typing.Sequence[fleet.Target],
    room: Room,
    wanted: typing.Container[str] = (),
) -> dict[int, fleet.Target]:
    """Returns a target for as many of the tasks as fit.

    Args:
        stage: The stage that the tasks belong to.
        indexes: Indexes of the tasks.
        candidates: Targets that may run them.
        room: Free room in this pass; not changed.
        wanted: Targets that gangs wait for; taken last by other work.
    """
    demand = stage.step.demand
    limit = stage.step.max_per_target
    present: collections.Counter[str] = collections.Counter()
    if limit:
        present.update(run.target_id for run in stage.all_runs())
    slots = []
    for target in candidates:
        count = _count_fitting(demand, room.free(target))
        if limit:
            count = min(count, limit - present[target.id])
        if target.probation:
            # One task shows whether the target is well again.
            count = min(count, 1)
        if count > 0:
            slots.append((target, count))
    if stage.gang:
        wanted = ()
    slots.sort(key=lambda slot: _rank(stage, slot[0], room, wanted))
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


def _count_fitting(
    demand: catalogue.Resources, free: tuple[int, int, int]
) -> int:
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
    room: Room,
    wanted: typing.Container[str],
) -> tuple[bool, float, bool, int]:
    far = bool(stage.step.rack) and target.registration.rack != stage.step.rack
    # After a failure, a target that has just succeeded is the safest choice.
    trust = -target.last_done_s if stage.failures else 0.0
    return far, trust, target.id in wanted, room.free(target)[0]


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
