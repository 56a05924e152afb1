"""Parks stages that can't start, and resumes them once their cause is gone.

One team's waiting work must not keep passes from the work of others. Causes
that many stages share are therefore checked once for all of them.
"""

import heapq
import typing

from quetzalswitch.acceptance import catalogue
from quetzalswitch.decision import jobs
from quetzalswitch.decision import quotas
from quetzalswitch.decision import readyqueue

if typing.TYPE_CHECKING:
    from quetzalswitch.decision import decider as deciders
    from quetzalswitch.decision import passstate

# Share of a team's upper limit that is reserved for its urgent work and its
# gangs, which need much at once. Urgent work is a seventh of the users' load,
# and limits are 1.9 times the load, so it takes 7% of a limit.
URGENT_RESERVE_SHARE: typing.Final = 0.1
# Causes checked in one pass; a team chooses how many demands its tasks have.
CHECK_LIMIT: typing.Final = 500
# Stages resumed in one pass for each cause or team.
RESUME_LIMIT: typing.Final = 150


def count_allowed(
    decider: "deciders.Decider", stage: jobs.Stage, usage: quotas.TeamUsage
) -> int | None:
    """Returns how many tasks of a stage its team may start; None: no limit.

    Args:
        decider: The decider.
        stage: The stage. A gang starts as a whole or not at all.
        usage: What teams use.
    """
    team = decider.catalogue.teams.get(stage.job.submission.team)
    demand = stage.step.demand
    allowed = usage.count_allowed(team, demand)
    if allowed is None:
        return None
    if stage.gang:
        return allowed if allowed >= len(stage.pending) else 0
    queue = decider.queue_of(stage.job)
    if queue.priority <= decider.catalogue.urgent_priority:
        return allowed
    share = 1 - URGENT_RESERVE_SHARE
    if not usage.count_allowed_alone(team, demand, share):
        # A task that exceeds the rest of the limit even alone may use the
        # reserved share.
        return allowed
    return usage.count_allowed(team, demand, share)


def park_if_blocked(state: "passstate.Pass", stage: jobs.Stage) -> bool:
    """Parks a stage that can't start in this pass; returns whether it did."""
    cause = _find_cause(state, stage)
    if cause is None:
        return False
    decider = state.decider
    if decider.ready.park(stage, cause):
        decider.log.note_once(
            "steps_wait",
            repr(cause),
            0,
            reason=readyqueue.name_cause(cause),
            step=stage.key,
            team=stage.job.submission.team,
            queue=stage.job.submission.queue.name,
            label=stage.step.required_label,
        )
    return True


def resume(state: "passstate.Pass") -> None:
    """Makes stages active again whose cause is gone."""
    ready = state.decider.ready
    limited: dict[str, list[readyqueue.TeamLimit]] = {}
    for cause in ready.list_causes(CHECK_LIMIT):
        match cause:
            case readyqueue.TeamLimit():
                limited.setdefault(cause.team, []).append(cause)
            case _:
                head = ready.list_parked(cause, 1)
                if _find_cause(state, head[0]) != cause:
                    for stage in ready.list_parked(cause, RESUME_LIMIT):
                        ready.unpark(stage)
    for team, causes in limited.items():
        _resume_team(state, team, causes)


def _find_cause(
    state: "passstate.Pass", stage: jobs.Stage
) -> readyqueue.Cause | None:
    decider = state.decider
    if stage.job.inherited and not decider.reconciled:
        return readyqueue.Takeover()
    queue = decider.queue_of(stage.job)
    label = stage.step.required_label
    if not state.has_target(queue.service, label):
        return readyqueue.NoTarget(queue.service, label)
    if queue.advice is not None and stage.tickets is None:
        # The first call for advice doesn't wait for the limit.
        return None
    if count_allowed(decider, stage, decider.usage) == 0:
        return readyqueue.TeamLimit(
            stage.job.submission.team,
            queue.name,
            stage.step.demand,
            stage.step.count if stage.gang else 0,
        )
    return None


def _resume_team(
    state: "passstate.Pass", team: str, causes: list[readyqueue.TeamLimit]
) -> None:
    """Resumes the most urgent stages that the rest of a limit allows."""
    decider = state.decider
    usage = quotas.TeamUsage()
    usage.allocate(team, catalogue.Resources(*decider.usage.used(team)))
    heads: list[tuple] = []
    for number, cause in enumerate(causes):
        _push_head(heads, number, decider.ready.list_parked(cause, 1))
    resumed = 0
    while heads and resumed < RESUME_LIMIT:
        _, number, stage = heapq.heappop(heads)
        allowed = count_allowed(decider, stage, usage)
        if allowed == 0:
            continue
        tasks = len(stage.pending)
        if allowed is not None:
            tasks = min(allowed, tasks)
        usage.allocate(team, quotas.multiply(stage.step.demand, tasks))
        decider.ready.unpark(stage)
        resumed += 1
        remaining = decider.ready.list_parked(causes[number], 1)
        _push_head(heads, number, remaining)


def _push_head(
    heads: list[tuple], number: int, stages: list[jobs.Stage]
) -> None:
    for stage in stages:
        heapq.heappush(heads, (stage.sort_key, number, stage))
