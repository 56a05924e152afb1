"""What the functions of one scheduling pass share."""

import functools
import typing

from quetzalswitch.decision import availability
from quetzalswitch.decision import fleet
from quetzalswitch.decision import jobs
from quetzalswitch.decision import openings
from quetzalswitch.decision import placement
from quetzalswitch.decision import suitability

if typing.TYPE_CHECKING:
    from quetzalswitch.decision import decider as deciders

# A gang that is late gives way only if waiting gangs need more than this share
# of all processors. With less, a slightly late gang starts sooner if it keeps
# its position. At the users' smallest site this share is four gangs of usual
# width.
CROWDED_SHARE: typing.Final = 0.4


class Pass:
    """State that the functions of one pass share.

    Attributes:
        decider: The decider.
        now_s: Monotonic time of the pass.
        remaining_capacity: Free capacity, less the reservations in this pass.
        previously_reserved: IDs of the targets that the previous pass reserved.
        reserved: IDs of the targets that get no more tasks in this pass.
        any_reservation: Whether work that waits has reserved targets.
        backfilling: Whether stages are examined in turn. They take what the
            most urgent ones left, and reserve nothing.
        availability: When targets are expected to have room.
        held: IDs of the targets where gangs hold slots.
        release_times: When the runs on targets are expected to end.
    """

    def __init__(self, decider: "deciders.Decider", now_s: float):
        self.decider = decider
        self.now_s = now_s
        self.remaining_capacity = placement.RemainingCapacity()
        # Urgent work comes first in a pass. It avoids the targets that the
        # previous pass reserved for gangs, if it fits elsewhere.
        self.previously_reserved = decider.reserved_targets
        # Targets that get no more tasks in this pass.
        self.reserved: set[str] = {
            run.target_id for run in decider.suspect_runs if run.isolated
        }
        self.any_reservation = False
        self.backfilling = False
        self.availability = availability.Availability(
            now_s, self.remaining_capacity
        )
        self.held: set[str] = set()
        self._held_cpu = 0
        self.release_times = suitability.ReleaseTimes(
            decider.speeds, decider.queue_of, now_s
        )
        self._eligible: dict[tuple[str, str], dict[str, fleet.Target]] = {}
        self._labels: dict[str, set[str]] = {}

    def has_target(self, service: str, label: str) -> bool:
        """Returns whether a target may get new tasks of a service.

        An empty label matches all targets.
        """
        labels = self._labels.get(service)
        if labels is None:
            labels = set()
            for target in self.eligible(service, "").values():
                labels |= {"", *target.registration.labels}
            self._labels[service] = labels
        return label in labels

    @functools.cached_property
    def outlook(self) -> openings.Outlook:
        """When targets have room for tasks that wait for near ones."""
        return openings.Outlook(
            self.decider.targets,
            self.decider.run_times,
            self.remaining_capacity,
            self.decider.spread_factor,
            self.now_s,
        )

    @functools.cached_property
    def crowded(self) -> bool:
        """Whether waiting gangs need a large share of all processors."""
        waiting = sum(
            stage.step.count * stage.step.demand.cpu
            for stage in self.decider.ready.values()
            if stage.gang
        )
        return waiting > CROWDED_SHARE * self.total_cpu

    @functools.cached_property
    def total_cpu(self) -> int:
        """Processors of all targets."""
        return sum(
            target.registration.capacity.cpu
            for target in self.decider.targets.values()
        )

    def may_hold(self, stage: jobs.Stage, share: float) -> bool:
        """Returns whether a gang may hold slots while it waits.

        Args:
            stage: The gang.
            share: Share of all processors that gangs may hold; the first one
                is exempt.
        """
        held = self._held_cpu + stage.step.count * stage.step.demand.cpu
        return not self._held_cpu or held <= share * self.total_cpu

    def hold(self, stage: jobs.Stage, plan: availability.Plan) -> None:
        """Withholds a gang's slots from the stages that follow in this pass."""
        for slot in plan.slots:
            self.remaining_capacity.reserve(slot.target, stage.step.demand)
            self.held.add(slot.target.id)
        self._held_cpu += stage.step.count * stage.step.demand.cpu

    def eligible(self, service: str, label: str) -> dict[str, fleet.Target]:
        """Returns the targets that may get new tasks of a service, by ID.

        An empty label matches all targets.
        """
        key = (service, label)
        found = self._eligible.get(key)
        if found is None:
            found = {
                target_id: target
                for target_id, target in self.decider.targets.items()
                if target_id not in self.reserved
                and self._is_eligible(target, service, label)
            }
            self._eligible[key] = found
        return found

    def reserve(self, targets: typing.Iterable[fleet.Target]) -> None:
        """Excludes targets from the stages that follow in this pass."""
        for target in targets:
            self.reserved.add(target.id)
            for found in self._eligible.values():
                found.pop(target.id, None)

    def _is_eligible(
        self, target: fleet.Target, service: str, label: str
    ) -> bool:
        registration = target.registration
        return (
            target.registered
            and target.recorded
            and not registration.draining
            and registration.service == service
            and registration.failure_domain
            not in self.decider.evacuated_domains
            and (not label or label in registration.labels)
            and target.is_reachable(self.now_s)
            and not target.is_quarantined(self.now_s)
        )
