"""Ends runs that are lost with their target, which reports no end of them."""

import typing

from quetzalswitch.decision import fleet
from quetzalswitch.decision import jobs
from quetzalswitch.execution import protocol

if typing.TYPE_CHECKING:
    from quetzalswitch.decision import clusterstate


def lose_runs(
    state: "clusterstate.ClusterState",
    target: fleet.Target,
    runs: list[jobs.Run],
    reason: str,
    now_s: float,
) -> None:
    """Ends runs, and remembers them in case that the target has crashed."""
    state.crash_history.presume(target, runs)
    for run in runs:
        state.log.note(
            "run_lost",
            task=run.task,
            run=run.number,
            target=target.id,
            reason=reason,
            state=run.state.value,
            age=round(now_s - run.started_s, 3),
        )
        state.finish_run(
            target, run, protocol.EndReason.LEASE_EXPIRED, "", now_s
        )


def lose_sent_runs(
    state: "clusterstate.ClusterState",
    target: fleet.Target,
    reason: str,
    now_s: float,
) -> None:
    """Ends the runs of a target but those whose start is being sent."""
    target.synced = False
    runs = [
        run
        for run in target.runs.values()
        if run.state is not jobs.RunState.STARTING
    ]
    lose_runs(state, target, runs, reason, now_s)


def lose_runs_in_restart(
    state: "clusterstate.ClusterState", target: fleet.Target, now_s: float
) -> None:
    """Ends the runs of a target that has restarted under the same ID."""
    state.log.note("target_restarted", target=target.id, runs=len(target.runs))
    runs = list(target.runs.values())
    # Whether an unknown start took effect before the restart or after it
    # shows when the target lists its runs.
    state.crash_history.presume(
        target, [r for r in runs if r.state is jobs.RunState.UNKNOWN]
    )
    ended = (jobs.RunState.RUNNING, jobs.RunState.STOPPING)
    lose_runs(
        state, target, [r for r in runs if r.state in ended], "restart", now_s
    )
