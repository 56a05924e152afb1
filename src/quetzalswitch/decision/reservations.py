"""Reserves targets for work that doesn't fit yet, and frees them for it.

It is designed for a load in which gangs need much capacity at once on targets
that small tasks would fill again and again.
"""

import typing

from quetzalswitch.acceptance import catalogue
from quetzalswitch.decision import advice
from quetzalswitch.decision import availability
from quetzalswitch.decision import fleet
from quetzalswitch.decision import jobs
from quetzalswitch.decision import placement
from quetzalswitch.decision import tickets

if typing.TYPE_CHECKING:
    from quetzalswitch.decision import passstate

# A gang that has waited for this long preempts less urgent tasks that save
# checkpoints. Most tasks that it waits for end by themselves before that.
PREEMPTION_DELAY_S: typing.Final = 1.0
# Runs younger than this are not preempted: they have saved no checkpoint yet.
PREEMPTION_MIN_AGE_S: typing.Final = 0.5
# A task that was preempted this often runs to its end. Without a limit, gangs
# that wait for longer than such a task runs can stop it each time it starts.
PREEMPTIONS_MAX_COUNT: typing.Final = 2
# Work that a preempted run loses by its stop and its continuation elsewhere.
PREEMPTION_LOSS_S: typing.Final = 1.0
# Runs with more progress are not preempted: they end sooner by themselves.
PREEMPTION_MAX_PERCENT: typing.Final = 85
# Share of the targets, or of the processors if gangs hold slots, that may be
# reserved for gangs that wait for capacity;
# the first gang is exempt. Gangs make up half of the steady load, and less
# urgent work needs the rest.
RESERVED_SHARE: typing.Final = 0.4


def reserve_targets(
    state: "passstate.Pass",
    stage: jobs.Stage,
    queue: catalogue.Queue,
    candidates: list[fleet.Target],
    needed: int,
    empty: bool = False,
) -> None:
    """Reserves targets for a gang, or a trial, that doesn't fit yet.

    Args:
        state: The pass.
        stage: Stage of the tasks.
        queue: Its queue.
        candidates: Targets that may run the tasks.
        needed: Number of tasks.
        empty: Whether the targets must run nothing else.
    """
    picked = []
    # With other targets in each pass, what it preempts would be placed again
    # where it reserved before.
    kept = stage.kept_targets
    for target in sorted(
        candidates, key=lambda t: (t.id not in kept, -t.free_capacity()[0])
    ):
        if needed <= 0:
            break
        slots = placement.count_slots(stage, target)
        if slots > 0:
            picked.append(target)
            needed -= slots
    eligible = state.eligible(queue.service, stage.step.required_label)
    if needed > 0:
        # The gang would not fit even if all candidates were empty.
        if queue.advice is not None:
            tickets.request_further(
                state.decider, stage, queue, eligible, state.now_s
            )
        return
    if state.backfilling:
        return
    total = len(state.decider.targets)
    reserved = len(state.reserved)
    exceeded = reserved + len(picked) > RESERVED_SHARE * total
    if exceeded and state.any_reservation:
        return
    state.any_reservation = True
    state.reserve(picked)
    stage.kept_targets = frozenset(target.id for target in picked)
    if state.now_s - stage.ready_s > PREEMPTION_DELAY_S:
        _preempt(state, stage, queue.priority, picked, empty)
    if queue.advice is None:
        return
    if tickets.expire_soon(stage, picked, state.now_s):
        tickets.request(state.decider, stage, queue, picked, state.now_s)
    else:
        tickets.request_further(
            state.decider, stage, queue, eligible, state.now_s
        )


def hold_slots(
    state: "passstate.Pass",
    stage: jobs.Stage,
    queue: catalogue.Queue,
    candidates: list[fleet.Target],
) -> None:
    """Holds the slots that become free first for a gang that doesn't fit yet.

    Less urgent runs are stopped for it only if that saves more processor time
    than they lose. Its tickets are requested only in time for the room.

    Args:
        state: The pass.
        stage: The gang.
        queue: Its queue, with an advice policy.
        candidates: Targets that may run the gang.
    """
    now_s = state.now_s
    eligible = state.eligible(queue.service, stage.step.required_label)
    if state.backfilling or not state.may_hold(stage, RESERVED_SHARE):
        return
    # The targets of a plan may have been refused since.
    usable = eligible.keys() & stage.tickets.keys()
    if stage.plan is None or not stage.plan.is_current(now_s, usable):
        stage.plan = _plan_slots(state, stage, queue, candidates)
    plan = stage.plan
    if plan is None:
        tickets.request_further(state.decider, stage, queue, eligible, now_s)
        return
    stage.kept_targets = frozenset(target.id for target in plan.targets)
    state.hold(stage, plan)
    call_s = advice.estimate_call_s(queue.advice, len(plan.targets))
    lead_s = call_s + tickets.REQUEST_LEAD_S
    is_near = plan.expected_s - now_s <= lead_s
    if is_near and tickets.expire_soon(stage, plan.targets, now_s):
        tickets.request(state.decider, stage, queue, plan.targets, now_s)
    else:
        tickets.request_further(state.decider, stage, queue, eligible, now_s)


def _plan_slots(
    state: "passstate.Pass",
    stage: jobs.Stage,
    queue: catalogue.Queue,
    candidates: list[fleet.Target],
) -> availability.Plan | None:
    """Returns the slots that a gang holds, and stops runs for it if it pays."""
    plan = state.availability.plan_gang(stage, candidates)
    latest_s = stage.sort_key[1] - stage.step.estimate_ms / 1000
    if (
        plan is None
        or state.now_s >= latest_s
        or state.now_s - stage.ready_s <= PREEMPTION_DELAY_S
    ):
        return plan
    preempting = state.availability.plan_gang(
        stage,
        candidates,
        lambda run: _is_preemptible(state, run, queue.priority),
    )
    call_s = advice.estimate_call_s(queue.advice, len(preempting.targets))
    start_s = max(preempting.expected_s, state.now_s + call_s)
    gain = (
        (plan.expected_s - start_s) * stage.step.count * stage.step.demand.cpu
    )
    lost = sum(run.stage.step.demand.cpu for run in preempting.stops)
    if gain <= PREEMPTION_LOSS_S * lost:
        return plan
    for run in preempting.stops:
        _stop(state, stage, run)
    return preempting


def _stop(state: "passstate.Pass", stage: jobs.Stage, run: jobs.Run) -> None:
    """Stops a run for a gang."""
    state.decider.log.note(
        "run_preempted",
        task=run.task,
        run=run.number,
        target=run.target_id,
        by=stage.key,
        waited=round(state.now_s - stage.ready_s, 3),
    )
    run.stage.preemptions[run.index] += 1
    state.decider.stop_run(run, state.now_s)


def _preempt(
    state: "passstate.Pass",
    stage: jobs.Stage,
    priority: int,
    picked: list[fleet.Target],
    empty: bool,
) -> None:
    """Stops less urgent runs on the targets reserved for a stage."""
    demand = stage.step.demand
    needed = stage.step.count
    for target in picked:
        if needed <= 0:
            return
        planned_count = min(needed, placement.count_slots(stage, target))
        needed -= planned_count
        cpu, memory_mb, _ = target.free_capacity()
        missing_cpu = planned_count * demand.cpu - cpu
        missing_mb = planned_count * demand.memory_mb - memory_mb
        if empty:
            missing_cpu, missing_mb = target.cpu, target.memory_mb
        # The youngest runs have the most work left.
        for run in sorted(target.runs.values(), key=lambda r: -r.started_s):
            if missing_cpu <= 0 and missing_mb <= 0:
                break
            if not _is_preemptible(state, run, priority):
                continue
            missing_cpu -= run.stage.step.demand.cpu
            missing_mb -= run.stage.step.demand.memory_mb
            if run.state is jobs.RunState.RUNNING:
                _stop(state, stage, run)


def _is_preemptible(
    state: "passstate.Pass", run: jobs.Run, priority: int
) -> bool:
    if run.state is jobs.RunState.STOPPING:
        # Its resources will be released soon.
        return True
    step = run.stage.step
    queue = state.decider.queue_of(run.stage.job)
    return (
        run.state is jobs.RunState.RUNNING
        and queue.priority > priority
        and step.checkpointing
        and not run.stage.gang
        and not step.long_running
        and run.stage.preemptions[run.index] < PREEMPTIONS_MAX_COUNT
        and run.percent < PREEMPTION_MAX_PERCENT
        and state.now_s - run.started_s > PREEMPTION_MIN_AGE_S
    )
