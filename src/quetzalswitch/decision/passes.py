"""One pass over the waiting stages, most urgent first.

The load that this answers: short urgent work arrives all the time, wide gangs
must collect room on few targets, and everything needs tickets that last for
one or two seconds only.
"""

import functools
import math
import typing

from quetzalswitch.acceptance import catalogue
from quetzalswitch.decision import advice
from quetzalswitch.decision import fleet
from quetzalswitch.decision import jobs
from quetzalswitch.decision import placement

if typing.TYPE_CHECKING:
    from quetzalswitch.decision import decider as deciders

# A gang that has waited for this long preempts less urgent work that saves its
# progress. Until then, most of what it waits for ends by itself.
PREEMPTION_DELAY_S: typing.Final = 1.0
# Runs younger than this have saved nothing yet.
PREEMPTION_AGE_S: typing.Final = 0.5
# Runs that are nearly done free their room sooner by ending.
PREEMPTION_LIMIT_PERCENT: typing.Final = 85
# Share of the targets that may be kept free for gangs that wait for room, but
# for the first one. Gangs make up half of the steady work, and less urgent work
# needs the rest.
RESERVED_SHARE: typing.Final = 0.4
# Targets named in the first call for a step, as a multiple of those that would
# do if all that are allowed were empty. A gang needs them at the same moment.
SPARE_FACTOR: typing.Final = 2
GANG_SPARE_FACTOR: typing.Final = 3
# Share of a team's upper limit that its batches leave to its urgent work and
# its gangs, which need much at once. Urgent work is a seventh of the users'
# load, and limits are 1.9 times the load: it takes 7% of a limit.
URGENT_LIMIT_SHARE: typing.Final = 0.1
# A task on its last attempt waits this long for a target that has succeeded
# since its own last failure; most targets end a task within a second.
TRUST_PATIENCE_S: typing.Final = 2.0
# A ticket must outlive the way of the start order to the target.
TICKET_MARGIN_S: typing.Final = 0.06
# Tickets of a gang that waits for room are renewed before their end.
RENEWAL_LEAD_S: typing.Final = 0.7
# Added to the priority of work that can't meet its objective any more: work of
# the same queue that still can goes first. Under a lasting overload, the order
# of due times alone makes all of it late.
MISSED_PRIORITY: typing.Final = 0.5
# Share of all processors that waiting gangs must need for that to apply. With
# less, a gang that is late by little is served sooner in its turn; on the
# smallest site of the users this is four gangs of the usual width.
CROWD_SHARE: typing.Final = 0.4
# Share of the declared run time that has to be left; declared times are rough.
MISSED_SHARE: typing.Final = 0.8
# Added to the priority of work that is too late to be worth much.
LATE_PRIORITY: typing.Final = 100
LATE_FACTOR: typing.Final = 3.0
# Stages looked at in one pass; bounds its processor time under a backlog.
SCAN_LIMIT: typing.Final = 150


class _Pass:
    """State of one pass."""

    def __init__(self, decider: "deciders.Decider", now_s: float):
        self.decider = decider
        self.now_s = now_s
        self.room = placement.Room()
        # Urgent work comes first in a pass; it leaves room where gangs waited
        # in the pass before, if it fits elsewhere.
        self.wanted = decider.reserved_targets
        self.reserved: set[str] = set()
        self._eligible: dict[tuple[str, str], dict[str, fleet.Target]] = {}

    @functools.cached_property
    def crowded(self) -> bool:
        """Whether waiting gangs need a large share of all processors."""
        waiting = sum(
            stage.step.count * stage.step.demand.cpu
            for stage in self.decider.ready.values()
            if stage.gang
        )
        total = sum(
            target.registration.capacity.cpu
            for target in self.decider.targets.values()
        )
        return waiting > CROWD_SHARE * total

    def eligible(self, service: str, label: str) -> dict[str, fleet.Target]:
        """Returns the targets that may get new tasks of a service, by ID."""
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
        """Keeps targets away from the stages that follow in this pass."""
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
            and not registration.draining
            and registration.service == service
            and registration.failure_domain
            not in self.decider.evacuated_domains
            and (not label or label in registration.labels)
            and target.is_reachable(self.now_s)
            and not target.is_quarantined(self.now_s)
        )


def run_pass(decider: "deciders.Decider", now_s: float) -> None:
    """Starts what fits and asks for the advice that is missing."""
    state = _Pass(decider, now_s)
    for order, stage in list(decider.ready.items()[:SCAN_LIMIT]):
        if not stage.pending or stage.job.final:
            decider.ready.pop(order, None)
            continue
        if stage.job.inherited and not decider.reconciled:
            continue
        if _demote_late(state, stage):
            continue
        _place_stage(state, stage)
        if not stage.pending:
            decider.ready.pop(stage.order, None)
    decider.reserved_targets = frozenset(state.reserved)


def _demote_late(state: _Pass, stage: jobs.Stage) -> bool:
    """Lets work that is late yield to work that isn't, once for each degree."""
    priority, due_s, key = stage.order
    objective_s = due_s - stage.ready_s
    wanted = state.decider.queue_of(stage.job).priority
    latest_s = due_s - MISSED_SHARE * stage.step.estimate_ms / 1000
    if state.now_s > stage.ready_s + LATE_FACTOR * objective_s:
        wanted += LATE_PRIORITY
    elif stage.gang and state.now_s > latest_s and state.crowded:
        wanted += MISSED_PRIORITY
    if priority >= wanted:
        return False
    state.decider.ready.pop(stage.order, None)
    stage.order = (wanted, due_s, key)
    state.decider.ready[stage.order] = stage
    return True


def _place_stage(state: _Pass, stage: jobs.Stage) -> None:
    decider = state.decider
    queue = decider.queue_of(stage.job)
    eligible = state.eligible(queue.service, stage.step.required_label)
    if queue.advice is not None and stage.tickets is None:
        if not stage.asked:
            _ask(state, stage, queue.advice, queue.name, eligible.values())
        return
    indexes = _apply_limit(state, stage, queue)
    if not indexes:
        return
    if queue.advice is not None:
        candidates = [eligible[i] for i in stage.tickets if i in eligible]
    else:
        candidates = list(eligible.values())
    if stage.failures or stage.avoided:
        fresh = [t for t in candidates if t.id not in stage.avoided]
        candidates = fresh or candidates
    last = [i for i in indexes if _is_last_attempt(stage, i, queue)]
    if last:
        trusted = [t for t in candidates if t.trusted]
        patient = state.now_s - stage.last_failed_s < TRUST_PATIENCE_S
        if trusted or patient:
            _place_indexes(state, stage, queue, eligible, last, trusted)
            indexes = [i for i in indexes if i not in last]
            if not indexes:
                return
    if stage.gang:
        candidates = [t for t in candidates if not t.probation]
    _place_indexes(state, stage, queue, eligible, indexes, candidates)


def _apply_limit(
    state: _Pass, stage: jobs.Stage, queue: catalogue.Queue
) -> list[int]:
    """Returns the waiting tasks that the team's upper limit lets start."""
    decider = state.decider
    team = decider.catalogue.teams.get(stage.job.submission.team)
    indexes = sorted(stage.pending)
    full = decider.usage.count_allowed(team, stage.step.demand)
    if full is None:
        return indexes
    if stage.gang:
        return indexes if len(indexes) <= full else []
    if queue.priority <= decider.catalogue.urgent_priority:
        return indexes[:full]
    share = 1 - URGENT_LIMIT_SHARE
    demand = stage.step.demand
    if not decider.usage.count_allowed_alone(team, demand, share):
        # What would not fit beside the reserve even alone may use it.
        return indexes[:full]
    return indexes[: decider.usage.count_allowed(team, demand, share)]


def _is_last_attempt(
    stage: jobs.Stage, index: int, queue: catalogue.Queue
) -> bool:
    failed = stage.failures.get(stage.failure_key(index), ())
    return bool(failed) and len(failed) >= queue.max_attempts - 1


def _place_indexes(
    state: _Pass,
    stage: jobs.Stage,
    queue: catalogue.Queue,
    eligible: dict[str, fleet.Target],
    indexes: list[int],
    candidates: list[fleet.Target],
) -> None:
    """Starts some tasks of a stage, or asks for what is missing for that."""
    chosen = placement.choose_targets(
        stage, indexes, candidates, state.room, state.wanted
    )
    if stage.gang and len(chosen) < stage.step.count:
        _reserve(state, stage, queue, candidates)
        return
    if queue.advice is None:
        _start(state, stage, chosen)
        return
    if not chosen and not candidates:
        _ask_more(state, stage, queue, eligible)
        return
    _start_with_tickets(state, stage, queue, chosen, candidates)


def _start_with_tickets(
    state: _Pass,
    stage: jobs.Stage,
    queue: catalogue.Queue,
    chosen: dict[int, fleet.Target],
    candidates: list[fleet.Target],
) -> None:
    limit_s = state.now_s + TICKET_MARGIN_S
    valid = {
        index: target
        for index, target in chosen.items()
        if stage.tickets[target.id][1] > limit_s
    }
    if len(valid) == len(chosen) or not stage.gang:
        _start(state, stage, valid)
    if len(valid) < len(chosen):
        if not stage.asked:
            _ask(state, stage, queue.advice, queue.name, candidates)
        # The room is kept until the tickets arrive.
        for index, target in chosen.items():
            if stage.gang or index not in valid:
                state.room.keep(target, stage.step.demand)


def _start(
    state: _Pass, stage: jobs.Stage, chosen: dict[int, fleet.Target]
) -> None:
    number = state.decider.next_run_number()
    for index, target in chosen.items():
        ticket = ""
        if stage.tickets and target.id in stage.tickets:
            ticket = stage.tickets[target.id][0]
        state.decider.start(stage, index, number, target, ticket, state.now_s)


def _reserve(
    state: _Pass,
    stage: jobs.Stage,
    queue: catalogue.Queue,
    candidates: list[fleet.Target],
) -> None:
    """Keeps targets free for a gang that doesn't fit yet."""
    needed = stage.step.count
    picked = []
    for target in sorted(candidates, key=lambda t: -t.free()[0]):
        if needed <= 0:
            break
        slots = _count_slots(stage, target)
        if slots > 0:
            picked.append(target)
            needed -= slots
    if needed > 0:
        # Even with all of them empty the gang would not fit.
        eligible = state.eligible(queue.service, stage.step.required_label)
        if queue.advice is not None:
            _ask_more(state, stage, queue, eligible)
        return
    total = len(state.decider.targets)
    reserved = len(state.reserved)
    if reserved and reserved + len(picked) > RESERVED_SHARE * total:
        return
    state.reserve(picked)
    if state.now_s - stage.ready_s > PREEMPTION_DELAY_S:
        _preempt(state, stage, queue.priority, picked)
    if queue.advice is None or stage.asked:
        return
    renew_s = state.now_s + RENEWAL_LEAD_S
    if any(stage.tickets[target.id][1] < renew_s for target in picked):
        _ask(state, stage, queue.advice, queue.name, candidates)


def _preempt(
    state: _Pass,
    stage: jobs.Stage,
    priority: int,
    picked: list[fleet.Target],
) -> None:
    """Stops less urgent work on the targets that a gang waits for."""
    demand = stage.step.demand
    needed = stage.step.count
    for target in picked:
        if needed <= 0:
            return
        wanted = min(needed, _count_slots(stage, target))
        needed -= wanted
        cpu, memory_mb, _ = target.free()
        missing_cpu = wanted * demand.cpu - cpu
        missing_mb = wanted * demand.memory_mb - memory_mb
        # The youngest have the most left to do.
        for run in sorted(target.runs.values(), key=lambda r: -r.started_s):
            if missing_cpu <= 0 and missing_mb <= 0:
                break
            if not _is_preemptible(state, run, priority):
                continue
            missing_cpu -= run.stage.step.demand.cpu
            missing_mb -= run.stage.step.demand.memory_mb
            if run.state is jobs.RunState.RUNNING:
                state.decider.log.note(
                    "run_preempted",
                    task=run.task,
                    run=run.number,
                    target=target.id,
                    by=stage.key,
                    waited=round(state.now_s - stage.ready_s, 3),
                )
                state.decider.stop_run(run, state.now_s)


def _is_preemptible(state: _Pass, run: jobs.Run, priority: int) -> bool:
    if run.state is jobs.RunState.STOPPING:
        # Its room is on its way.
        return True
    step = run.stage.step
    queue = state.decider.queue_of(run.stage.job)
    return (
        run.state is jobs.RunState.RUNNING
        and queue.priority > priority
        and step.checkpointing
        and not run.stage.gang
        and not step.long_running
        and run.percent < PREEMPTION_LIMIT_PERCENT
        and state.now_s - run.started_s > PREEMPTION_AGE_S
    )


def _count_slots(stage: jobs.Stage, target: fleet.Target) -> int:
    """Returns how many tasks of a stage an empty target could hold."""
    demand = stage.step.demand
    capacity = target.registration.capacity
    counts = [
        room // wanted
        for room, wanted in zip(capacity, demand, strict=True)
        if wanted > 0
    ]
    slots = min(counts) if counts else stage.step.count
    limit = stage.step.max_per_target
    return min(slots, limit) if limit else slots


def _ask_more(
    state: _Pass,
    stage: jobs.Stage,
    queue: catalogue.Queue,
    eligible: dict[str, fleet.Target],
) -> None:
    """Asks about targets that no call for the stage has named yet."""
    if stage.asked:
        return
    new = [
        target
        for target in eligible.values()
        if target.id not in stage.tickets
        and target.id not in stage.refused_targets
    ]
    if new:
        _ask(state, stage, queue.advice, queue.name, new)


def _ask(
    state: _Pass,
    stage: jobs.Stage,
    policy: catalogue.AdvicePolicy,
    queue_name: str,
    targets: typing.Collection[fleet.Target],
) -> None:
    if not targets:
        return
    advisers = state.decider.advisers
    if stage.tickets is None:
        share = advisers.estimate_allowed_share(queue_name)
        slots = max(1, _count_slots(stage, next(iter(targets))))
        factor = GANG_SPARE_FACTOR if stage.gang else SPARE_FACTOR
        needed = math.ceil(math.ceil(stage.step.count / slots) * factor / share)
        needed = max(advice.TARGETS_MIN_COUNT, needed)
        targets = sorted(targets, key=lambda t: -t.free()[0])[:needed]
    ids = [target.id for target in targets][: advice.TARGETS_MAX_COUNT]
    assigned = advisers.assign(policy, len(ids), state.now_s)
    if assigned is None:
        return
    adviser, expected_s = assigned
    state.decider.request_advice(
        advice.AdviceRequest(adviser, stage.key, ids, expected_s)
    )
