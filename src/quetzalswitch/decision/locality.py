"""Decides how long tasks wait for a target near their data or their gang.

A task takes longer on another rack than that of its data, and so does a gang
that is spread over racks that should share one. A wait pays while a near place
is expected to become free in less time than running elsewhere adds.

It is designed for a load that keeps the targets of a rack busy while others
are free. A wait reserves nothing: tasks that would only fit on the near targets
may use them meanwhile, others use them last.
"""

import collections
import math
import typing

from quetzalswitch import nodelog
from quetzalswitch.acceptance import catalogue
from quetzalswitch.decision import fleet
from quetzalswitch.decision import jobs
from quetzalswitch.decision import openings
from quetzalswitch.decision import placement

if typing.TYPE_CHECKING:
    from quetzalswitch.decision import passstate

# A job that has nothing running waits no longer than this after it became
# ready. Callers are promised a start within 3 s while there is capacity.
IDLE_JOB_LIMIT_S: typing.Final = 1.5
# Stages that wait in one pass. A pass examines a limited number of stages, so
# more of them would keep those behind from being examined.
WAITING_STAGES_MAX_COUNT: typing.Final = 75
# A wait begins only if it would still pay at so many times its expected length;
# declared run times are inaccurate, and more urgent work may take the place.
BEGIN_FACTOR: typing.Final = 2.0
# With more, waiting hardly ever pays.
UTILIZATION_MAX: typing.Final = 10.0
# Larger powers of e don't fit into a float.
MAX_EXPONENT: typing.Final = 600.0
BISECTIONS_COUNT: typing.Final = 12


class Costs(typing.NamedTuple):
    """What a decision to wait is based on; monotonic times in seconds.

    Attributes:
        work_s: Expected run time near.
        extra_s: Time that running elsewhere adds.
        gain_s: Longest wait that pays in view of the other tasks of the rack.
        latest_end_s: When the stage must end for its caller's objective.
        latest_start_s: When the job must have a run; infinite if it has one.
    """

    work_s: float
    extra_s: float
    gain_s: float
    latest_end_s: float
    latest_start_s: float


class Inputs(typing.NamedTuple):
    """The logged inputs of a decision to wait; all in seconds.

    Attributes:
        expected: Expected time until the last awaited place is free.
        extra: Time that running elsewhere adds.
        limit: Longest wait that pays.
        slack: Time until a near start would miss the objective.
    """

    expected: float
    extra: float
    limit: float
    slack: float


class _Plan(typing.NamedTuple):
    """Places that tasks wait for, by index, and why."""

    places: dict[int, openings.Opening]
    inputs: Inputs


class EndedWait(typing.NamedTuple):
    """How a task's wait ended: `near`, `away` or `not started`."""

    outcome: str
    waited_s: float


class _Wait:
    """The tasks of a stage that wait, and what has become of the others."""

    def __init__(self, stage: jobs.Stage, inputs: Inputs):
        self.stage = stage
        self.inputs = inputs
        self.since_s: dict[int, float] = {}
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.longest_s = 0.0


class NearWaits:
    """The waits of one epoch and their outcomes.

    Attributes:
        placed: Number of tasks that were started `near` and `away`, of stages
            that prefer a rack, since the last call of `collect`.
    """

    def __init__(self, log: nodelog.NodeLog):
        self.placed: collections.Counter[str] = collections.Counter()
        self._log = log
        self._waits: dict[str, _Wait] = {}
        self._ended: list[EndedWait] = []

    def since_s(self, stage: jobs.Stage, index: int, now_s: float) -> float:
        """Returns when a task began to wait; now if it doesn't wait."""
        wait = self._waits.get(stage.key)
        return now_s if wait is None else wait.since_s.get(index, now_s)

    def begin(
        self,
        stage: jobs.Stage,
        indexes: typing.Iterable[int],
        inputs: Inputs,
        now_s: float,
    ) -> None:
        """Records that tasks wait; those that wait already aren't changed.

        The inputs of the first decision are logged when the last task of the
        stage has stopped waiting.
        """
        wait = self._waits.get(stage.key)
        if wait is None:
            wait = self._waits[stage.key] = _Wait(stage, inputs)
        for index in indexes:
            wait.since_s.setdefault(index, now_s)

    def record_starts(
        self,
        stage: jobs.Stage,
        targets: typing.Mapping[int, fleet.Target],
        now_s: float,
    ) -> None:
        """Counts started tasks and ends their waits."""
        if not prefers_near(stage):
            return
        far = set(list_far(stage, targets))
        for index in targets:
            outcome = "away" if index in far else "near"
            self.placed[outcome] += 1
            self._end(stage, index, outcome, now_s)

    def end_unstarted(self, now_s: float) -> None:
        """Ends the waits of tasks that are not to be started any more."""
        for wait in list(self._waits.values()):
            for index in list(wait.since_s):
                if index not in wait.stage.pending:
                    self._end(wait.stage, index, "not started", now_s)

    def collect(self) -> tuple[dict[str, int], list[EndedWait]]:
        """Returns the starts by place and the waits since the last call."""
        placed, self.placed = self.placed, collections.Counter()
        ended, self._ended = self._ended, []
        return placed, ended

    def _end(
        self, stage: jobs.Stage, index: int, outcome: str, now_s: float
    ) -> None:
        wait = self._waits.get(stage.key)
        since_s = wait.since_s.pop(index, None) if wait else None
        if since_s is None:
            return
        wait.outcomes[outcome] += 1
        wait.longest_s = max(wait.longest_s, now_s - since_s)
        self._ended.append(EndedWait(outcome, now_s - since_s))
        if wait.since_s:
            return
        del self._waits[stage.key]
        self._log.note(
            "near_wait",
            step=stage.key,
            rack=stage.step.rack,
            **{
                name: round(value, 3)
                for name, value in wait.inputs._asdict().items()
            },
            waited=round(wait.longest_s, 3),
            near=wait.outcomes["near"],
            away=wait.outcomes["away"],
            not_started=wait.outcomes["not started"],
        )


def prefers_near(stage: jobs.Stage) -> bool:
    """Returns whether the tasks run faster on one rack than on others."""
    return bool(stage.step.rack) or stage.gang and stage.step.same_rack


def list_far(
    stage: jobs.Stage, targets: typing.Mapping[int, fleet.Target]
) -> list[int]:
    """Returns the tasks that are not placed near, by their targets.

    A gang is as slow as its slowest member, so all of it is near or none.
    """
    rack = stage.step.rack
    racks = {target.registration.rack for target in targets.values()}
    if stage.gang:
        is_near = racks == {rack} if rack else len(racks) == 1
        return [] if is_near else list(targets)
    return [i for i, t in targets.items() if t.registration.rack != rack]


def limit_wait(costs: Costs, waited_s: float, now_s: float) -> float:
    """Returns how much longer a task may wait (s); negative if it may not.

    The whole wait must be shorter than what it saves. It ends while a start
    elsewhere would still meet the objective of the caller. If only a near start
    can, it ends when that can't either.

    Args:
        costs: What the decision is based on.
        waited_s: How long it has waited.
        now_s: Monotonic time.
    """
    slack_s = costs.latest_end_s - now_s - costs.work_s
    limit_s = min(costs.gain_s - waited_s, costs.latest_start_s - now_s)
    if slack_s >= costs.extra_s:
        return min(limit_s, slack_s - costs.extra_s)
    if slack_s > 0:
        return min(limit_s, slack_s)
    return limit_s


def share_gain(utilization: float, gain: float) -> float:
    """Returns the share of its own gain for which a task should wait.

    A task that waits takes a place that another one would have used, so that
    waiting as long as it pays for each alone makes all of them wait for
    nothing where the rack is always busy. The limit is that of Naor (1969) for
    a queue that tasks may join or leave aside, at the optimum of all of them.

    Args:
        utilization: Work that arrives for the rack, as a share of what it can
            do.
        gain: Gain of one task, in mean times between two places.
    """
    # Near 1 the formula is 0 / 0.
    ratio = utilization if abs(utilization - 1) > 0.01 else 1.01
    ratio = min(ratio, UTILIZATION_MAX)

    def _find_cost(places: float) -> float:
        own = places * (1 - ratio)
        others = ratio * (1 - ratio**places)
        return (own - others) / (1 - ratio) ** 2

    low, high = 0.0, gain
    if ratio > 1:
        high = min(high, MAX_EXPONENT / math.log(ratio) - 1)
    for _ in range(BISECTIONS_COUNT):
        middle = (low + high) / 2
        if _find_cost(middle + 1) <= gain + 1:
            low = middle
        else:
            high = middle
    return low / gain


def estimate_costs(
    stage: jobs.Stage,
    queue: catalogue.Queue,
    run_times: openings.RunTimes,
    spread_factor: float,
) -> Costs:
    """Returns what waiting and running elsewhere cost a stage."""
    work_s = run_times.expect_s(stage)
    latest_start_s = math.inf
    if not any(other.runs for other in stage.job.stages.values()):
        idle_since_s = max(stage.ready_s, stage.last_failed_s)
        latest_start_s = idle_since_s + IDLE_JOB_LIMIT_S - _call_s(queue)
    return Costs(
        work_s=work_s,
        extra_s=work_s * (spread_factor - 1),
        gain_s=work_s * (spread_factor - 1),
        latest_end_s=_find_latest_end(stage, queue),
        latest_start_s=latest_start_s,
    )


def defer_far_starts(
    state: "passstate.Pass",
    stage: jobs.Stage,
    queue: catalogue.Queue,
    chosen: dict[int, fleet.Target],
    candidates: typing.Sequence[fleet.Target],
) -> dict[int, fleet.Target]:
    """Returns the tasks that start now; the others wait for a near place.

    Args:
        state: The pass.
        stage: Stage of the tasks.
        queue: Its queue.
        chosen: Targets with room by task index; of a gang, of all its tasks.
        candidates: Targets that may run the tasks.
    """
    decider = state.decider
    if decider.spread_factor <= 1 or not prefers_near(stage):
        return chosen
    if stage.step.long_running or stage.step.best_effort or stage.crashes:
        return chosen
    far = list_far(stage, chosen)
    outlook = state.outlook
    others_count = len(outlook.waiting - {stage.key})
    if not far or others_count >= WAITING_STAGES_MAX_COUNT:
        return chosen
    racks: dict[str, list[fleet.Target]] = {}
    for target in candidates:
        rack = target.registration.rack
        if not stage.step.rack or rack == stage.step.rack:
            racks.setdefault(rack, []).append(target)
    costs = estimate_costs(
        stage, queue, decider.run_times, decider.spread_factor
    )
    plans = [
        plan
        for targets in racks.values()
        if (plan := _plan(state, stage, queue, costs, chosen, far, targets))
    ]
    if not plans:
        return chosen
    plan = min(plans, key=lambda plan: plan.inputs.expected)
    outlook.claim(stage, plan.places.values())
    decider.near_waits.begin(stage, plan.places, plan.inputs, state.now_s)
    return {i: t for i, t in chosen.items() if i not in plan.places}


def name_near_first(
    stage: jobs.Stage, targets: list[fleet.Target], count: int
) -> list[fleet.Target]:
    """Returns targets with near ones first, for half of a call at most.

    Near a gang that should share a rack are those of the rack with most room.

    Args:
        stage: The stage that advice is requested for.
        targets: The targets in the order in which they would be named.
        count: Number of targets in the call.
    """
    rack = stage.step.rack or _find_roomiest_rack(stage, targets)
    near = [t for t in targets if t.registration.rack == rack][: count // 2]
    ids = {target.id for target in near}
    return near + [target for target in targets if target.id not in ids]


def _find_roomiest_rack(stage: jobs.Stage, targets: list[fleet.Target]) -> str:
    slots: collections.Counter[str] = collections.Counter()
    for target in targets:
        slots[target.registration.rack] += placement.count_fitting(
            stage.step.demand, target.free_capacity()
        )
    return max(slots, key=slots.__getitem__)


def _plan(
    state: "passstate.Pass",
    stage: jobs.Stage,
    queue: catalogue.Queue,
    costs: Costs,
    chosen: dict[int, fleet.Target],
    far: list[int],
    targets: list[fleet.Target],
) -> _Plan | None:
    """Returns which tasks wait for which places on a rack, if any."""
    now_s = state.now_s
    waits = state.decider.near_waits
    # Those that have waited longest may wait least, so they go first.
    waited_s = {i: now_s - waits.since_s(stage, i, now_s) for i in far}
    far = sorted(far, key=lambda index: -waited_s[index])
    costs = costs._replace(gain_s=_find_gain(state, stage, costs, targets))
    limits_s = {i: limit_wait(costs, waited_s[i], now_s) for i in far}
    limit_s = max(limits_s.values())
    if stage.gang:
        limit_s = min(limits_s.values())
    if limit_s <= 0:
        return None
    taken = collections.Counter(
        target.id for index, target in chosen.items() if index not in far
    )
    places = state.outlook.list_openings(
        stage, targets, taken, len(far), limit_s
    )
    if queue.advice is not None:
        places = [_add_call(stage, queue, place, now_s) for place in places]
        places.sort(key=lambda place: place.wait_s)
    awaited = {
        index: place
        for index, place in zip(far, places, strict=False)
        if place.wait_s * (1 if waited_s[index] else BEGIN_FACTOR)
        <= limits_s[index]
    }
    if not awaited or stage.gang and len(awaited) < len(far):
        return None
    inputs = Inputs(
        expected=max(place.wait_s for place in awaited.values()),
        extra=costs.extra_s,
        limit=limit_s,
        slack=costs.latest_end_s - now_s - costs.work_s,
    )
    return _Plan(awaited, inputs)


def _find_gain(
    state: "passstate.Pass",
    stage: jobs.Stage,
    costs: Costs,
    targets: list[fleet.Target],
) -> float:
    """Returns the longest wait (s) that pays for all tasks of a rack."""
    slots = sum(placement.count_slots(stage, target) for target in targets)
    if stage.gang:
        slots //= stage.step.count
    if not slots or costs.work_s <= 0:
        return 0.0
    rack = targets[0].registration.rack
    utilization = state.outlook.utilizations[rack]
    share = share_gain(utilization, costs.extra_s * slots / costs.work_s)
    return share * costs.extra_s


def _add_call(
    stage: jobs.Stage,
    queue: catalogue.Queue,
    opening: openings.Opening,
    now_s: float,
) -> openings.Opening:
    """Adds the time of a call for advice if the ticket expires before."""
    expires_s = stage.tickets[opening.target.id][1]
    if expires_s > now_s + opening.wait_s:
        return opening
    return openings.Opening(opening.wait_s + _call_s(queue), opening.target)


def _call_s(queue: catalogue.Queue) -> float:
    if queue.advice is None:
        return 0.0
    return (queue.advice.base_ms + queue.advice.per_target_ms) / 1000


def _find_latest_end(stage: jobs.Stage, queue: catalogue.Queue) -> float:
    """Returns when a stage must end for the objective of its job."""
    stages = stage.job.list_stages(stage.occurrence)
    begun_s = min(other.ready_s for other in stages if other.sort_key)
    # Longest chain of steps behind each step, and with it.
    behind_s: collections.defaultdict[int, float]
    behind_s = collections.defaultdict(float)
    chain_s = 0.0
    for number, step in reversed(list(enumerate(stage.job.submission.steps))):
        with_step_s = behind_s[number] + step.estimate_ms / 1000
        chain_s = max(chain_s, with_step_s)
        for earlier in step.after:
            behind_s[earlier] = max(behind_s[earlier], with_step_s)
    due_s = begun_s + queue.stretch * chain_s + queue.target_latency_ms / 1000
    return min(stage.sort_key[1], due_s - behind_s[stage.number])
