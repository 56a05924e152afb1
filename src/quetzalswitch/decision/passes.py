"""The scheduling pass over the ready stages, most urgent first.

It is designed for a load in which short urgent tasks arrive continuously, wide
gangs need much free capacity on few targets at once, and all starts need
tickets that are valid for only one or two seconds.
"""

import typing

from quetzalswitch.acceptance import catalogue
from quetzalswitch.acceptance import submissions
from quetzalswitch.decision import advice
from quetzalswitch.decision import crashes
from quetzalswitch.decision import fleet
from quetzalswitch.decision import jobs
from quetzalswitch.decision import locality
from quetzalswitch.decision import passstate
from quetzalswitch.decision import placement
from quetzalswitch.decision import reservations
from quetzalswitch.decision import stragglers
from quetzalswitch.decision import suitability
from quetzalswitch.decision import tickets
from quetzalswitch.decision import waits

if typing.TYPE_CHECKING:
    from quetzalswitch.decision import decider as deciders

# A task on its last attempt waits this long for a target that has succeeded
# since the target's own last failure; most targets end a task within a second.
TRUSTED_TARGET_WAIT_S: typing.Final = 2.0
# Added to the priority of a gang that can't meet its latency objective any
# more, so that work of the same queue that still can goes first. Under a
# lasting overload, ordering by due time alone makes all of it late.
MISSED_PRIORITY: typing.Final = 0.5
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
# Stages examined in one pass; bounds its processor time under a backlog. The
# most urgent ones come first, then others in turn.
SCAN_LIMIT: typing.Final = 150
ROTATION_LIMIT: typing.Final = 50
# Tasks of a stage, other than a gang, examined in one pass.
STAGE_LIMIT_TASKS: typing.Final = 2000
# Stages parked in one pass. That costs far less than an attempt to start them.
PARK_LIMIT: typing.Final = 1000


def run_pass(decider: "deciders.Decider", now_s: float) -> None:
    """Starts the tasks that fit and requests advice that is missing."""
    decider.speeds.review(decider.targets, now_s)
    state = passstate.Pass(decider, now_s)
    decider.advisers.scarce = any(
        queue.advice is not None and advice.is_scarce(queue.advice)
        for queue in decider.catalogue.queues.values()
    )
    waits.resume(state)
    last_key = _examine(
        state, decider.ready.list_first(SCAN_LIMIT + PARK_LIMIT), SCAN_LIMIT
    )
    if last_key is not None:
        state.backfilling = True
        stages = decider.ready.list_next(last_key, ROTATION_LIMIT)
        _examine(state, stages, ROTATION_LIMIT)
        state.backfilling = False
    for straggler in stragglers.list_stragglers(state):
        _help_straggler(state, straggler)
    decider.reserved_targets = frozenset(
        state.reserved | state.held | state.outlook.awaited
    )
    decider.near_waits.end_unstarted(now_s)


def _examine(
    state: passstate.Pass, stages: list[jobs.Stage], limit: int
) -> tuple | None:
    """Starts, parks or drops stages; those that are parked don't count.

    Returns:
        Sort key of the last one if the limit was reached, else None.
    """
    ready = state.decider.ready
    examined = parked = 0
    for stage in stages:
        sort_key = stage.sort_key
        if not stage.pending or stage.job.final:
            ready.pop(sort_key)
        elif waits.park_if_blocked(state, stage):
            parked += 1
            if parked < PARK_LIMIT:
                continue
        elif not _demote_late(state, stage):
            _place_stage(state, stage)
            if not stage.pending:
                ready.pop(stage.sort_key)
        examined += 1
        if examined >= limit or parked >= PARK_LIMIT:
            return sort_key
    return None


def _demote_late(state: passstate.Pass, stage: jobs.Stage) -> bool:
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
    state.decider.ready.pop(stage.sort_key)
    stage.sort_key = (new_priority, due_s, key)
    state.decider.ready.add(stage)
    return True


def _place_stage(state: passstate.Pass, stage: jobs.Stage) -> None:
    decider = state.decider
    queue = decider.queue_of(stage.job)
    eligible = state.eligible(queue.service, stage.step.required_label)
    if queue.advice is not None and stage.tickets is None:
        tickets.request(decider, stage, queue, eligible.values(), state.now_s)
        return
    indexes = _apply_limit(state, stage)
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
    last_attempts = []
    if stage.failures:
        last_attempts = [
            i for i in indexes if _is_last_attempt(stage, i, queue)
        ]
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


def _apply_limit(state: passstate.Pass, stage: jobs.Stage) -> list[int]:
    """Returns the pending tasks that the team's upper limit allows."""
    decider = state.decider
    allowed = waits.count_allowed(decider, stage, decider.usage)
    limit = submissions.MAX_GANG_TASKS if stage.gang else STAGE_LIMIT_TASKS
    return stage.pending.list_first(
        limit if allowed is None else min(allowed, limit)
    )


def _limit_suspects(
    state: passstate.Pass, stage: jobs.Stage, indexes: list[int]
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
    state: passstate.Pass,
    stage: jobs.Stage,
    queue: catalogue.Queue,
    eligible: dict[str, fleet.Target],
    indexes: list[int],
    candidates: list[fleet.Target],
) -> None:
    """Starts tasks of a stage, or reserves targets or requests advice."""
    suitable = suitability.limit_candidates(
        state.decider.speeds,
        stage,
        queue,
        candidates,
        state.release_times,
        state.now_s,
    )
    awaits_speed = len(suitable) < len(candidates)
    candidates = suitable
    if queue.advice is not None:
        valid = tickets.list_valid(stage, candidates, state.now_s)
        if len(valid) < len(candidates):
            chosen = _choose(state, stage, indexes, valid)
            if len(chosen) == len(indexes):
                _start(
                    state,
                    stage,
                    locality.defer_far_starts(
                        state, stage, queue, chosen, candidates
                    ),
                )
                indexes = [i for i in indexes if i in stage.pending]
                if not indexes:
                    return
    chosen = _choose(state, stage, indexes, candidates)
    if stage.gang and len(chosen) < stage.step.count:
        if awaits_speed:
            _note_wait(state, stage, candidates)
        if queue.advice is not None and state.decider.advisers.scarce:
            reservations.hold_slots(state, stage, queue, candidates)
            return
        reservations.reserve_targets(
            state, stage, queue, candidates, stage.step.count
        )
        return
    chosen = locality.defer_far_starts(state, stage, queue, chosen, candidates)
    if queue.advice is None:
        _start(state, stage, chosen)
        return
    if not chosen and not candidates:
        tickets.request_further(
            state.decider, stage, queue, eligible, state.now_s
        )
        return
    _start_with_tickets(state, stage, queue, chosen, candidates)


def _help_straggler(
    state: passstate.Pass, straggler: stragglers.Straggler
) -> None:
    """Starts a copy of a run, or stops the run so that it is resumed."""
    decider = state.decider
    run = straggler.run
    stage = run.stage
    queue = decider.queue_of(stage.job)
    team = decider.catalogue.teams.get(stage.job.submission.team)
    allowed = decider.usage.count_allowed(team, stage.step.demand)
    match straggler.decision:
        case stragglers.Copy() if allowed is not None and allowed < 1:
            return
        case stragglers.Copy():
            if run.checkpoint:
                stage.checkpoints[run.index] = run.checkpoint
            eligible = state.eligible(queue.service, stage.step.required_label)
            candidates = [straggler.target]
            _place_tasks(state, stage, queue, eligible, [run.index], candidates)
            if len(stage.runs[run.index]) == 1:
                # Its ticket is being renewed.
                return
        case stragglers.Move():
            stage.avoided_targets.add(run.target_id)
            stage.preemptions[run.index] += 1
            decider.stop_run(run, state.now_s)
            state.remaining_capacity.reserve(
                straggler.target, stage.step.demand
            )
    decider.log.note(
        "straggler",
        task=run.task,
        run=run.number,
        target=run.target_id,
        to=straggler.target.id,
        decision=type(straggler.decision).__name__.lower(),
        percent=run.percent,
        age=round(state.now_s - run.started_s, 3),
        gain=round(straggler.decision.gain_s, 3),
    )


def _note_wait(
    state: passstate.Pass, stage: jobs.Stage, targets: list[fleet.Target]
) -> None:
    """Logs, once, that a gang waits for the targets that are fast enough."""
    state.decider.log.note_once(
        "awaits_fast_targets",
        stage.key,
        0,
        step=stage.key,
        targets=len(targets),
        left=round(stage.sort_key[1] - state.now_s, 3),
    )


def _place_suspects(
    state: passstate.Pass,
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
    state: passstate.Pass,
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
    state: passstate.Pass,
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
        suitability.make_rank(
            state.decider.speeds,
            stage,
            state.decider.queue_of(stage.job),
            state.now_s,
        ),
    )


def _start_with_tickets(
    state: passstate.Pass,
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
    state: passstate.Pass, stage: jobs.Stage, chosen: dict[int, fleet.Target]
) -> None:
    stage.kept_targets = frozenset()
    if not chosen:
        return
    state.decider.near_waits.record_starts(stage, chosen, state.now_s)
    stage.plan = None
    number = state.decider.next_run_number()
    for index, target in chosen.items():
        ticket = ""
        if stage.tickets and target.id in stage.tickets:
            ticket = stage.tickets[target.id][0]
        state.decider.start(stage, index, number, target, ticket, state.now_s)
