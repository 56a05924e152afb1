"""Decides what happens to runs that take far longer than their kind.

It is designed for a load in which a few tasks take seven times as long as the
others of their step, some of them on slow targets. A copy runs only where the
step allows several runs of a task at once. Any other run is stopped, if at all,
and its task starts again once the target has listed the end, as after a
preemption; so there are never two runs at the same time.
"""

import typing

from quetzalswitch.decision import fleet
from quetzalswitch.decision import jobs

if typing.TYPE_CHECKING:
    from quetzalswitch.decision import passstate

# A run is a straggler if it has taken so many times as long as the tasks of its
# step usually take on its target, and no less than so long.
STRAGGLER_FACTOR: typing.Final = 2.5
STRAGGLER_MIN_S: typing.Final = 2.0
# Another target is worth a new start if it is faster by this factor.
FASTER_FACTOR: typing.Final = 1.5
# Time from the decision until a new run works: tickets and the start; the
# restoring of a checkpoint; and the end of a run that is stopped.
START_S: typing.Final = 0.5
RESTORE_S: typing.Final = 0.6
STOP_S: typing.Final = 0.3
# Least time saved. A copy takes room that other work could use, a stop throws
# away what was done since the last checkpoint.
GAIN_MIN_S: typing.Final = 2.0
FULL_PERCENT: typing.Final = 100
# A task is moved at most this often, preemptions included.
STOPS_MAX_COUNT: typing.Final = 1
CHECK_INTERVAL_S: typing.Final = 0.5
# Helped in one check; the others have their turn in the next.
HELPED_MAX_COUNT: typing.Final = 8


class Situation(typing.NamedTuple):
    """What the decision about a run depends on.

    Attributes:
        elapsed_s: Time since its start.
        usual_s: Usual time of its step on its target; None if not known.
        percent: Progress that the target reports; any number.
        slowdown: Speed of its target as a share of that of the best target with
            room for it; 1 if there is none.
        speculative: Whether several runs of the task may work at once.
        copies_count: Number of its other runs.
        saved: Whether it has saved a checkpoint.
        stops_count: How often runs of the task were stopped for other reasons
            than their end.
    """

    elapsed_s: float
    usual_s: float | None
    percent: int
    slowdown: float
    speculative: bool
    copies_count: int
    saved: bool
    stops_count: int


class Leave(typing.NamedTuple):
    """The run goes on alone; `reason` says why."""

    reason: str


class Copy(typing.NamedTuple):
    """A second run starts; it is expected to end `gain_s` sooner."""

    gain_s: float


class Move(typing.NamedTuple):
    """The run is stopped and resumed elsewhere, to end `gain_s` sooner."""

    gain_s: float


Decision = Leave | Copy | Move


class Straggler(typing.NamedTuple):
    """A run to help, how, and the best target for it."""

    run: jobs.Run
    decision: Copy | Move
    target: fleet.Target


def decide(situation: Situation) -> Decision:
    """Decides whether a run goes on, gets a copy, or is moved."""
    if situation.usual_s is None:
        return Leave("its kind is not known")
    limit_s = max(STRAGGLER_MIN_S, STRAGGLER_FACTOR * situation.usual_s)
    if situation.elapsed_s < limit_s:
        return Leave("not longer than its kind")
    if not 0 < situation.percent < FULL_PERCENT:
        return Leave("its progress is not known")
    if situation.slowdown * FASTER_FACTOR > 1:
        return Leave("no faster target has room")
    done_share = situation.percent / FULL_PERCENT
    total_s = situation.elapsed_s / done_share
    left_s = total_s - situation.elapsed_s
    resumed_s = START_S + RESTORE_S + left_s * situation.slowdown
    if situation.speculative:
        if situation.copies_count:
            return Leave("it has a copy")
        restarted_s = START_S + total_s * situation.slowdown
        gain_s = left_s - (resumed_s if situation.saved else restarted_s)
        return Copy(gain_s) if gain_s >= GAIN_MIN_S else Leave("ends as soon")
    if not situation.saved:
        return Leave("its work would be lost")
    if situation.stops_count >= STOPS_MAX_COUNT:
        return Leave("it was stopped before")
    gain_s = left_s - STOP_S - resumed_s
    return Move(gain_s) if gain_s >= GAIN_MIN_S else Leave("ends as soon")


def list_stragglers(state: "passstate.Pass") -> list[Straggler]:
    """Returns the runs to help in a pass, at most every CHECK_INTERVAL_S.

    There are none while targets count as equally fast.
    """
    decider = state.decider
    if (
        not decider.speeds.uneven
        or state.now_s - decider.stragglers_checked_s < CHECK_INTERVAL_S
    ):
        return []
    decider.stragglers_checked_s = state.now_s
    found: list[Straggler] = []
    for target in decider.targets.values():
        for run in target.runs.values():
            if state.now_s - run.started_s < STRAGGLER_MIN_S:
                continue
            straggler = _examine(state, target, run)
            if straggler is not None:
                found.append(straggler)
                if len(found) == HELPED_MAX_COUNT:
                    return found
    return found


def _examine(
    state: "passstate.Pass", target: fleet.Target, run: jobs.Run
) -> Straggler | None:
    stage = run.stage
    step = stage.step
    if (
        run.state is not jobs.RunState.RUNNING
        or stage.gang
        or step.long_running
        or step.best_effort
        or stage.job.final
        or stage.crashes
        or stage.pending
        or run.index in stage.done
    ):
        return None
    learned = state.decider.speeds
    speed = learned.estimate_speed(target.id)
    work_s = learned.find_step_work_s(stage)
    elapsed_s = state.now_s - run.started_s
    if work_s is None or elapsed_s < STRAGGLER_FACTOR * work_s / speed:
        return None
    best = _find_best(state, run)
    slowdown = 1.0
    if best is not None:
        slowdown = speed / learned.estimate_speed(best.id)
    decision = decide(
        Situation(
            elapsed_s=elapsed_s,
            usual_s=work_s / speed,
            percent=run.percent,
            slowdown=slowdown,
            speculative=step.speculative,
            copies_count=len(stage.runs.get(run.index, ())) - 1,
            saved=bool(run.checkpoint),
            stops_count=stage.preemptions[run.index],
        )
    )
    match decision:
        case Leave():
            return None
        case Copy() | Move():
            return Straggler(run, decision, best)


def _find_best(state: "passstate.Pass", run: jobs.Run) -> fleet.Target | None:
    """Returns the fastest target that may run a task and has room for it."""
    stage = run.stage
    demand = stage.step.demand
    queue = state.decider.queue_of(stage.job)
    eligible = state.eligible(queue.service, stage.step.required_label)
    learned = state.decider.speeds
    best = None
    for target in eligible.values():
        if queue.advice is not None and target.id not in (stage.tickets or ()):
            continue
        if target.probation or target.id in stage.avoided_targets:
            continue
        free = state.remaining_capacity.free_capacity(target)
        if any(have < need for have, need in zip(free, demand, strict=True)):
            continue
        if best is None or (
            learned.estimate_speed(target.id) > learned.estimate_speed(best.id)
        ):
            best = target
    return best
