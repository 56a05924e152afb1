"""The scheduling pass over the ready stages, most urgent first.

It is designed for a load in which short urgent tasks arrive continuously, wide
gangs need much free capacity on few targets at once, and all starts need
tickets that are valid for only one or two seconds.
"""

import functools
import typing

from quetzalswitch.acceptance import catalogue
from quetzalswitch.decision import advice
from quetzalswitch.decision import availability
from quetzalswitch.decision import crashes
from quetzalswitch.decision import fleet
from quetzalswitch.decision import jobs
from quetzalswitch.decision import placement
from quetzalswitch.decision import reservations
from quetzalswitch.decision import tickets

if typing.TYPE_CHECKING:
    from quetzalswitch.decision import decider as deciders

# Share of a team's upper limit that is reserved for its urgent work and its
# gangs, which need much at once. Urgent work is a seventh of the users' load,
# and limits are 1.9 times the load, so it takes 7% of a limit.
URGENT_RESERVE_SHARE: typing.Final = 0.1
# A task on its last attempt waits this long for a target that has succeeded
# since the target's own last failure; most targets end a task within a second.
TRUSTED_TARGET_WAIT_S: typing.Final = 2.0
# Added to the priority of a gang that can't meet its latency objective any
# more, so that work of the same queue that still can goes first. Under a
# lasting overload, ordering by due time alone makes all of it late.
MISSED_PRIORITY: typing.Final = 0.5
# MISSED_PRIORITY applies only if waiting gangs need more than this share of all
# processors. With less, a slightly late gang starts sooner if it keeps its
# position. At the users' smallest site this share is four gangs of usual width.
CROWDED_SHARE: typing.Final = 0.4
# Share of the declared run time that must remain until the due time; declared
# times are inaccurate.
MISSED_SHARE: typing.Final = 0.8
# Added to the priority of work that has waited for more than LATE_FACTOR times
# its objective; it has little value by then.
LATE_PRIORITY: typing.Final = 100
LATE_FACTOR: typing.Final = 3.0
# How long a task on trial waits for an empty target. Long-running tasks may
# occupy all targets.
TRIAL_WAIT_S: typing.Final = 1.5
# A run whose target has been silent for this long no longer keeps the others of
# a suspected stage waiting. Crashed targets take seconds to return.
SILENT_RUN_S: typing.Final = 2.0
# Stages examined in one pass; bounds its processor time under a backlog.
SCAN_LIMIT: typing.Final = 150


class Pass:
    """State that the functions of one pass share.

    Attributes:
        decider: The decider.
        now_s: Monotonic time of the pass.
        remaining_capacity: Free capacity, less the reservations in this pass.
        previously_reserved: IDs of the targets that the previous pass reserved.
        reserved: IDs of the targets that get no more tasks in this pass.
        any_reservation: Whether work that waits has reserved targets.
        availability: When targets are expected to have room.
        held: IDs of the targets where gangs hold slots.
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
        self.availability = availability.Availability(
            now_s, self.remaining_capacity
        )
        self.held: set[str] = set()
        self._held_cpu = 0
        self._eligible: dict[tuple[str, str], dict[str, fleet.Target]] = {}

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


def run_pass(decider: "deciders.Decider", now_s: float) -> None:
    """Starts the tasks that fit and requests advice that is missing."""
    state = Pass(decider, now_s)
    decider.advisers.scarce = any(
        queue.advice is not None and advice.is_scarce(queue.advice)
        for queue in decider.catalogue.queues.values()
    )
    for sort_key, stage in list(decider.ready.items()[:SCAN_LIMIT]):
        if not stage.pending or stage.job.final:
            decider.ready.pop(sort_key, None)
            continue
        if stage.job.inherited and not decider.reconciled:
            continue
        if _demote_late(state, stage):
            continue
        _place_stage(state, stage)
        if not stage.pending:
            decider.ready.pop(stage.sort_key, None)
    decider.reserved_targets = frozenset(state.reserved | state.held)


def _demote_late(state: Pass, stage: jobs.Stage) -> bool:
    """Lowers the priority of a late stage; returns whether it did.

    It happens at most once with MISSED_PRIORITY and once with LATE_PRIORITY.
    """
    priority, due_s, key = stage.sort_key
    objective_s = due_s - stage.ready_s
    new_priority = state.decider.queue_of(stage.job).priority
    latest_s = due_s - MISSED_SHARE * stage.step.estimate_ms / 1000
    if state.now_s > stage.ready_s + LATE_FACTOR * objective_s:
        new_priority += LATE_PRIORITY
    elif stage.gang and state.now_s > latest_s and state.crowded:
        new_priority += MISSED_PRIORITY
    if priority >= new_priority:
        return False
    state.decider.ready.pop(stage.sort_key, None)
    stage.sort_key = (new_priority, due_s, key)
    state.decider.ready[stage.sort_key] = stage
    return True


def _place_stage(state: Pass, stage: jobs.Stage) -> None:
    decider = state.decider
    queue = decider.queue_of(stage.job)
    eligible = state.eligible(queue.service, stage.step.required_label)
    if queue.advice is not None and stage.tickets is None:
        tickets.request(decider, stage, queue, eligible.values(), state.now_s)
        return
    indexes = _apply_limit(state, stage, queue)
    if stage.crashes:
        indexes = _limit_suspects(state, stage, indexes)
    if not indexes:
        return
    if queue.advice is not None:
        candidates = [eligible[i] for i in stage.tickets if i in eligible]
    else:
        candidates = list(eligible.values())
    if stage.failures or stage.avoided_targets:
        untried = [t for t in candidates if t.id not in stage.avoided_targets]
        candidates = untried or candidates
    if stage.crashes:
        indexes = _place_suspects(state, stage, queue, indexes, candidates)
        if not indexes:
            return
        candidates = [t for t in candidates if t.id not in state.reserved]
    last_attempts = [i for i in indexes if _is_last_attempt(stage, i, queue)]
    if last_attempts:
        trusted = [t for t in candidates if t.trusted]
        may_wait = state.now_s - stage.last_failed_s < TRUSTED_TARGET_WAIT_S
        if trusted or may_wait:
            _place_tasks(state, stage, queue, eligible, last_attempts, trusted)
            indexes = [i for i in indexes if i not in last_attempts]
            if not indexes:
                return
    if stage.gang:
        candidates = [t for t in candidates if not t.probation]
    _place_tasks(state, stage, queue, eligible, indexes, candidates)


def _apply_limit(
    state: Pass, stage: jobs.Stage, queue: catalogue.Queue
) -> list[int]:
    """Returns the pending tasks that the team's upper limit allows."""
    decider = state.decider
    team = decider.catalogue.teams.get(stage.job.submission.team)
    indexes = sorted(stage.pending)
    allowed = decider.usage.count_allowed(team, stage.step.demand)
    if allowed is None:
        return indexes
    if stage.gang:
        return indexes if len(indexes) <= allowed else []
    if queue.priority <= decider.catalogue.urgent_priority:
        return indexes[:allowed]
    share = 1 - URGENT_RESERVE_SHARE
    demand = stage.step.demand
    if not decider.usage.count_allowed_alone(team, demand, share):
        # A task that exceeds the rest of the limit even alone may use the
        # reserved share.
        return indexes[:allowed]
    return indexes[: decider.usage.count_allowed(team, demand, share)]


def _limit_suspects(
    state: Pass, stage: jobs.Stage, indexes: list[int]
) -> list[int]:
    """Returns the tasks that may start while their stage crashes targets.

    The most suspect ones come first: their end shows most about the others.
    """
    limit = crashes.limit_runs(stage)
    if limit is None:
        return indexes
    targets = state.decider.targets
    active_count = sum(
        not targets[run.target_id].is_silent_for(SILENT_RUN_S, state.now_s)
        for run in stage.all_runs()
    )
    ordered = sorted(indexes, key=lambda i: -crashes.score(stage, i))
    return ordered[: max(0, limit - active_count)]


def _is_last_attempt(
    stage: jobs.Stage, index: int, queue: catalogue.Queue
) -> bool:
    failed = stage.failures.get(stage.failure_key(index), ())
    return bool(failed) and len(failed) >= queue.max_attempts - 1


def _place_tasks(
    state: Pass,
    stage: jobs.Stage,
    queue: catalogue.Queue,
    eligible: dict[str, fleet.Target],
    indexes: list[int],
    candidates: list[fleet.Target],
) -> None:
    """Starts tasks of a stage, or reserves targets or requests advice."""
    if queue.advice is not None:
        valid = tickets.list_valid(stage, candidates, state.now_s)
        if len(valid) < len(candidates):
            chosen = _choose(state, stage, indexes, valid)
            if len(chosen) == len(indexes):
                _start(state, stage, chosen)
                return
    chosen = _choose(state, stage, indexes, candidates)
    if stage.gang and len(chosen) < stage.step.count:
        if queue.advice is not None and state.decider.advisers.scarce:
            reservations.hold_slots(state, stage, queue, candidates)
            return
        reservations.reserve_targets(
            state, stage, queue, candidates, stage.step.count
        )
        return
    if queue.advice is None:
        _start(state, stage, chosen)
        return
    if not chosen and not candidates:
        tickets.request_further(
            state.decider, stage, queue, eligible, state.now_s
        )
        return
    _start_with_tickets(state, stage, queue, chosen, candidates)


def _place_suspects(
    state: Pass,
    stage: jobs.Stage,
    queue: catalogue.Queue,
    indexes: list[int],
    candidates: list[fleet.Target],
) -> list[int]:
    """Starts tasks during whose runs targets crashed, apart from each other.

    Returns:
        The other tasks.
    """
    suspects = [i for i in indexes if crashes.is_suspected(stage, i)]
    groups = [suspects] if stage.gang else [[i] for i in suspects]
    for group in groups:
        if not group:
            continue
        if crashes.needs_trial(stage, group[0]):
            _place_trial(state, stage, queue, group, candidates)
            continue
        fit = [t for t in candidates if t.id not in state.reserved]
        unsuspected = [t for t in fit if not crashes.has_suspects(t)]
        if len(_choose(state, stage, group, unsuspected)) == len(group):
            fit = unsuspected
        eligible = state.eligible(queue.service, stage.step.required_label)
        _place_tasks(state, stage, queue, eligible, group, fit)
    return [i for i in indexes if i not in suspects]


def _place_trial(
    state: Pass,
    stage: jobs.Stage,
    queue: catalogue.Queue,
    indexes: list[int],
    candidates: list[fleet.Target],
) -> None:
    """Starts a suspected task, or gang, on targets that run nothing else.

    If none becomes empty, it starts beside others, but nothing joins it there.
    """
    fit = [t for t in candidates if t.id not in state.reserved]
    empty = [t for t in fit if not t.runs]
    chosen = _choose(state, stage, indexes, empty)
    since_s = stage.trial_waits_s.setdefault(indexes[0], state.now_s)
    if len(chosen) < len(indexes) and state.now_s - since_s > TRIAL_WAIT_S:
        chosen = _choose(state, stage, indexes, fit)
    if len(chosen) < len(indexes):
        reservations.reserve_targets(
            state, stage, queue, fit, len(indexes), empty=True
        )
        return
    if queue.advice is None:
        _start(state, stage, chosen)
    else:
        _start_with_tickets(state, stage, queue, chosen, candidates)
    state.reserve({t.id: t for t in chosen.values()}.values())


def _choose(
    state: Pass,
    stage: jobs.Stage,
    indexes: list[int],
    candidates: list[fleet.Target],
) -> dict[int, fleet.Target]:
    return placement.choose_targets(
        stage,
        indexes,
        candidates,
        state.remaining_capacity,
        state.previously_reserved,
    )


def _start_with_tickets(
    state: Pass,
    stage: jobs.Stage,
    queue: catalogue.Queue,
    chosen: dict[int, fleet.Target],
    candidates: list[fleet.Target],
) -> None:
    """Starts the tasks with valid tickets and renews the other tickets."""
    usable = {
        target.id
        for target in tickets.list_valid(stage, chosen.values(), state.now_s)
    }
    valid = {i: target for i, target in chosen.items() if target.id in usable}
    if len(valid) == len(chosen) or not stage.gang:
        _start(state, stage, valid)
    if len(valid) < len(chosen):
        renewed = [t for t in chosen.values() if t.id not in usable]
        if stage.gang:
            # Its tickets must be valid at the same time. If a call renewed only
            # the expired ones, others would expire before its answer.
            renewed += valid.values()
        elif state.decider.advisers.scarce:
            renewed += tickets.list_spares(
                stage, queue.advice, renewed, candidates
            )
        tickets.request(state.decider, stage, queue, renewed, state.now_s)
        # Reserves the capacity until the tickets arrive. The next passes must
        # choose the same targets, or others fill them meanwhile.
        waiting = (
            chosen
            if stage.gang
            else {i: target for i, target in chosen.items() if i not in valid}
        )
        stage.kept_targets = frozenset(t.id for t in waiting.values())
        for target in waiting.values():
            state.remaining_capacity.reserve(target, stage.step.demand)


def _start(
    state: Pass, stage: jobs.Stage, chosen: dict[int, fleet.Target]
) -> None:
    stage.kept_targets = frozenset()
    stage.plan = None
    number = state.decider.next_run_number()
    for index, target in chosen.items():
        ticket = ""
        if stage.tickets and target.id in stage.tickets:
            ticket = stage.tickets[target.id][0]
        state.decider.start(stage, index, number, target, ticket, state.now_s)
