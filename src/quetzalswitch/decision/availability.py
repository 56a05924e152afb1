"""Estimates when targets will have room for the tasks of a gang.

It is designed for a load in which gangs need a third of a target for each of
their tasks while most processors are in use. A gang waits for the slots that
become free first; waiting for whole targets leaves their other slots idle.
"""

import operator
import typing
from collections.abc import Callable
from collections.abc import Container
from collections.abc import Iterable

from quetzalswitch.acceptance import catalogue
from quetzalswitch.decision import fleet
from quetzalswitch.decision import jobs
from quetzalswitch.decision import placement

# Progress below this is too small to extrapolate a run's duration from it.
RATE_MIN_PERCENT: typing.Final = 10
# Progress that a target reports is cut to this while the run is active.
RATE_MAX_PERCENT: typing.Final = 99
# Least time until the end of a run; its end must be reported, too.
REMAINING_MIN_S: typing.Final = 0.1
# Longest time until the end of a run; bounds absurd declared run times.
REMAINING_MAX_S: typing.Final = 3600.0
# Time until the resources of a run that is stopped now are free again.
STOP_S: typing.Final = 0.3
# A slot where the gang waited before is preferred over one that is expected
# to become free earlier by less than this.
KEPT_BONUS_S: typing.Final = 0.3
# A gang keeps its plan for this long; passes are more frequent under load.
PLAN_MAX_AGE_S: typing.Final = 0.15


class Release(typing.NamedTuple):
    """Resources that a run will release.

    Attributes:
        wait_s: Expected time until then.
        demand: The resources.
        run: The run.
        stopped: Whether it has to be stopped for that.
    """

    wait_s: float
    demand: catalogue.Resources
    run: jobs.Run
    stopped: bool


class Slot(typing.NamedTuple):
    """Room for one task.

    Attributes:
        wait_s: Expected time until it is free.
        target: Where it is.
        stops: Runs that have to be stopped for it and the earlier slots there.
    """

    wait_s: float
    target: fleet.Target
    stops: tuple[jobs.Run, ...]


class Plan(typing.NamedTuple):
    """Slots that suffice for a gang.

    Attributes:
        made_s: Monotonic time of the plan.
        expected_s: Monotonic time at which all slots are expected to be free.
        slots: The slots.
    """

    made_s: float
    expected_s: float
    slots: list[Slot]

    def is_current(self, now_s: float, usable: Container[str]) -> bool:
        """Returns whether the plan is recent and its targets can be used."""
        return now_s - self.made_s < PLAN_MAX_AGE_S and all(
            slot.target.id in usable for slot in self.slots
        )

    @property
    def targets(self) -> list[fleet.Target]:
        """Targets of the slots, each once."""
        return list(
            {slot.target.id: slot.target for slot in self.slots}.values()
        )

    @property
    def stops(self) -> list[jobs.Run]:
        """Runs that have to be stopped, each once."""
        stops = {
            (run.task, run.number): run
            for slot in self.slots
            for run in slot.stops
        }
        return list(stops.values())


def estimate_remaining_s(run: jobs.Run, now_s: float) -> float:
    """Returns the expected time until a run ends (s).

    Declared run times are inaccurate, and a run that continues from a
    checkpoint reports progress that it didn't make itself, so the mean of both
    estimates is used once there is enough progress.
    """
    if run.stage.step.long_running:
        return REMAINING_MAX_S
    elapsed_s = now_s - run.started_s
    estimate_s = run.stage.step.estimate_ms / 1000
    percent = min(run.percent, RATE_MAX_PERCENT)
    if percent < RATE_MIN_PERCENT:
        # A run that is overdue is expected to last as long again.
        remaining_s = abs(estimate_s - elapsed_s)
    else:
        left = (100 - percent) / 100
        remaining_s = left * (estimate_s + elapsed_s * 100 / percent) / 2
    return min(max(remaining_s, REMAINING_MIN_S), REMAINING_MAX_S)


class Availability:
    """The expected room on targets, as of one scheduling pass."""

    def __init__(
        self, now_s: float, remaining_capacity: placement.RemainingCapacity
    ):
        """Prepares the estimates of a pass.

        Args:
            now_s: Monotonic time of the pass.
            remaining_capacity: Free capacity, less the reservations so far.
        """
        self._now_s = now_s
        self._remaining_capacity = remaining_capacity
        self._releases: dict[str, list[Release]] = {}

    def plan_gang(
        self,
        stage: jobs.Stage,
        candidates: Iterable[fleet.Target],
        is_preemptible: Callable[[jobs.Run], bool] | None = None,
    ) -> Plan | None:
        """Returns the slots on which a gang can start first.

        Args:
            stage: The gang.
            candidates: Targets that may run it.
            is_preemptible: Tells which runs may be stopped for it; None: none.

        Returns:
            The plan, or None if the gang doesn't fit on empty targets.
        """
        kept = stage.kept_targets
        slots = [
            slot
            for target in candidates
            for slot in self.list_slots(stage, target, is_preemptible)
        ]
        needed = stage.step.count
        if len(slots) < needed:
            return None
        slots.sort(
            key=lambda slot: (
                slot.wait_s - KEPT_BONUS_S * (slot.target.id in kept),
                len(slot.stops),
            )
        )
        chosen = slots[:needed]
        wait_s = max(slot.wait_s for slot in chosen)
        return Plan(self._now_s, self._now_s + wait_s, chosen)

    def list_slots(
        self,
        stage: jobs.Stage,
        target: fleet.Target,
        is_preemptible: Callable[[jobs.Run], bool] | None = None,
    ) -> list[Slot]:
        """Returns the slots for tasks of a stage on a target, soonest first."""
        demand = stage.step.demand
        limit = min(
            placement.count_slots(stage, target), placement.UNBOUNDED_COUNT
        )
        cpu, memory_mb, accelerators = self._remaining_capacity.free_capacity(
            target
        )
        slots: list[Slot] = []
        wait_s = 0.0
        stops: tuple[jobs.Run, ...] = ()
        # The last step has no release after it.
        for release in (*self._list_releases(target, is_preemptible), None):
            while len(slots) < limit and (
                cpu >= (len(slots) + 1) * demand.cpu
                and memory_mb >= (len(slots) + 1) * demand.memory_mb
                and accelerators >= (len(slots) + 1) * demand.accelerators
            ):
                slots.append(Slot(wait_s, target, stops))
            if release is None or len(slots) >= limit:
                break
            wait_s = release.wait_s
            if release.stopped:
                stops += (release.run,)
            cpu += release.demand.cpu
            memory_mb += release.demand.memory_mb
            accelerators += release.demand.accelerators
        return slots

    def _list_releases(
        self,
        target: fleet.Target,
        is_preemptible: Callable[[jobs.Run], bool] | None,
    ) -> list[Release]:
        releases = self._releases.get(target.id)
        if releases is None:
            releases = [
                self._predict_release(run) for run in target.runs.values()
            ]
            releases.sort(key=operator.attrgetter("wait_s"))
            self._releases[target.id] = releases
        if is_preemptible is None:
            return releases
        releases = [
            release._replace(wait_s=STOP_S, stopped=True)
            if release.wait_s > STOP_S and is_preemptible(release.run)
            else release
            for release in releases
        ]
        # Of the runs that may be stopped, the youngest have most work left.
        return sorted(
            releases,
            key=lambda release: (release.wait_s, -release.run.started_s),
        )

    def _predict_release(self, run: jobs.Run) -> Release:
        wait_s = STOP_S
        if run.state is not jobs.RunState.STOPPING:
            wait_s = estimate_remaining_s(run, self._now_s)
        return Release(wait_s, run.stage.step.demand, run, False)
