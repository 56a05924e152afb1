"""Metrics that only the leader reports."""

from quetzalswitch import nodemetrics
from quetzalswitch.decision import advice
from quetzalswitch.decision import decider as deciders
from quetzalswitch.decision import jobs


def observe_waits(
    decider: deciders.Decider,
    metrics: nodemetrics.NodeMetrics,
    starts: list[jobs.Run],
    now_s: float,
) -> None:
    """Records the waiting time of the started steps, once per step."""
    for stage in {run.stage.key: run.stage for run in starts}.values():
        if stage.first_start_s is not None:
            continue
        stage.first_start_s = now_s
        metrics.observe(
            "quetzal_node_wait_seconds",
            max(0.0, now_s - stage.ready_s),
            priority=str(decider.queue_of(stage.job).priority),
        )


def observe_near_waits(
    decider: deciders.Decider, metrics: nodemetrics.NodeMetrics
) -> None:
    """Records where tasks that prefer a rack were placed, and their waits."""
    placed, ended = decider.near_waits.collect()
    for place, count in placed.items():
        metrics.count("quetzal_node_placements_total", count, place=place)
    for wait in ended:
        metrics.observe(
            "quetzal_node_near_wait_seconds",
            wait.waited_s,
            outcome=wait.outcome,
        )


def observe_completion(
    decider: deciders.Decider,
    metrics: nodemetrics.NodeMetrics,
    job: jobs.Job,
    wall_s: float,
) -> None:
    """Records the time from a job's acceptance to its visible completion.

    Args:
        decider: Decider that knows the job's queue.
        metrics: Where the time is recorded.
        job: The completed job.
        wall_s: When the completion became visible to callers (Unix time, s).
    """
    metrics.observe(
        "quetzal_node_completion_seconds",
        max(0.0, wall_s - job.submission.accepted_ms / 1000),
        priority=str(decider.queue_of(job).priority),
    )


def count_runs(decider: deciders.Decider) -> dict[str, int]:
    """Returns the number of runs by state."""
    counts = {state.value: 0 for state in jobs.RunState}
    for target in decider.targets.values():
        for run in target.runs.values():
            counts[run.state.value] += 1
    return counts


def count_targets(decider: deciders.Decider, now_s: float) -> dict[str, int]:
    """Returns the number of targets by whether they can get new tasks."""
    counts = {"reachable": 0, "silent": 0, "set aside": 0}
    for target in decider.targets.values():
        if not target.is_reachable(now_s):
            counts["silent"] += 1
        elif target.is_quarantined(now_s):
            counts["set aside"] += 1
        else:
            counts["reachable"] += 1
    return counts


def read_speeds(decider: deciders.Decider) -> dict[str, float]:
    """Returns the learned speeds of the slow and of the fast targets."""
    spread = decider.speeds.spread
    return {"slow": spread.slow, "fast": spread.fast}


def count_speeds(decider: deciders.Decider) -> dict[str, int]:
    """Returns the number of targets by whether their speed is used."""
    known_count = decider.speeds.spread.known_count
    counts = {
        "unknown": len(decider.targets) - known_count,
        "known": 0,
        "used": 0,
    }
    counts["used" if decider.speeds.uneven else "known"] = known_count
    return counts


def observe_advice_use(
    decider: deciders.Decider, metrics: nodemetrics.NodeMetrics, now_s: float
) -> None:
    """Counts calls for advice by use, and logs those that were of none."""
    for call in decider.advice_use.settle(now_s):
        used = call.started > 0
        metrics.count(
            "quetzal_node_advice_calls_total",
            queue=call.queue,
            outcome="used" if used else "unused",
        )
        if not used:
            decider.log.note(
                "advice_unused",
                step=call.stage_key,
                queue=call.queue,
                asked=call.asked,
                allowed=call.allowed,
            )


def observe_advice(
    decider: deciders.Decider,
    metrics: nodemetrics.NodeMetrics,
    question: advice.AdviceRequest,
    answered: bool,
    duration_s: float,
) -> None:
    """Records the duration of a call for advice, and logs a missing answer."""
    metrics.observe(
        "quetzal_node_advice_seconds",
        duration_s,
        outcome="answered" if answered else "missing",
    )
    if not answered:
        decider.log.note(
            "advice_missing",
            step=question.stage_key,
            adviser=question.adviser,
        )
