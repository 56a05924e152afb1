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
    state.crash_history.presume(target, runs, now_s)
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
    with_unknown: bool = True,
) -> None:
    """Ends the runs of a target but those whose start is being sent.

    Args:
        state: The state of the cluster.
        target: The target.
        reason: For the log.
        now_s: Monotonic time.
        with_unknown: Whether to end starts without an answer too.
    """
    target.synced = False
    kept = {jobs.RunState.STARTING}
    if not with_unknown:
        kept.add(jobs.RunState.UNKNOWN)
    runs = [run for run in target.runs.values() if run.state not in kept]
    lose_runs(state, target, runs, reason, now_s)


def expire_runs(
    state: "clusterstate.ClusterState",
    target: fleet.Target,
    now_s: float,
    with_unknown: bool,
) -> None:
    """Ends the runs of a silent target whose leases have expired.

    They are remembered, so that one that is still active is reported.
    """
    before = set(target.runs)
    lose_sent_runs(state, target, "leases expired", now_s, with_unknown)
    target.expired_runs |= before.difference(target.runs)


def report_outliving(
    state: "clusterstate.ClusterState",
    target: fleet.Target,
    answer: protocol.RenewAnswer,
) -> None:
    """Logs runs that are active although their leases should have expired.

    Such a run may have been active together with the next one of its task.
    """
    if not target.expired_runs:
        return
    for running in answer.running:
        if (running.task, running.run) in target.expired_runs:
            state.log.note(
                "lease_outlived",
                task=running.task,
                run=running.run,
                target=target.id,
                born=answer.boot_ms,
                clock=answer.clock_ms,
            )
    target.expired_runs = frozenset()


def lose_runs_in_restart(
    state: "clusterstate.ClusterState",
    target: fleet.Target,
    answer: protocol.RenewAnswer,
    sent_s: float,
    now_s: float,
) -> None:
    """Ends the runs of a target that has restarted under the same ID.

    Args:
        state: The state of the cluster.
        target: The target.
        answer: The first answer of its new incarnation to a lease renewal.
        sent_s: When that renewal was sent.
        now_s: Monotonic time.
    """
    state.log.note(
        "target_restarted",
        target=target.id,
        runs=len(target.runs),
        born=answer.boot_ms,
        clock=answer.clock_ms,
    )
    listed = {(run.task, run.run) for run in (*answer.running, *answer.ended)}
    missing = [run for key, run in target.runs.items() if key not in listed]
    # Whether an unknown start took effect before the restart or after it
    # shows when the target lists its runs.
    state.crash_history.presume(
        target,
        [r for r in missing if r.state is jobs.RunState.UNKNOWN],
        now_s,
    )
    ended = (jobs.RunState.RUNNING, jobs.RunState.STOPPING)
    # A start that was confirmed after the renewal was sent may be one of the
    # new incarnation; the next renewal shows it.
    lost = [r for r in missing if r.state in ended and r.confirmed_s <= sent_s]
    lose_runs(state, target, lost, "restart", now_s)
