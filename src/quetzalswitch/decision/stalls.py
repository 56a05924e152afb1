"""Stops runs that make no progress, so that they start elsewhere."""

import typing

from quetzalswitch.decision import crashes
from quetzalswitch.decision import fleet
from quetzalswitch.decision import jobs

if typing.TYPE_CHECKING:
    from quetzalswitch.decision import clusterstate

# A run whose reported progress doesn't change for this long is stopped and
# started elsewhere. Targets slowed by a factor of 6.5 report a new percentage
# of the longest usual task (12 s) every 0.8 s.
STALL_LIMIT_S: typing.Final = 2.0
FULL_PERCENT: typing.Final = 100
# The progress of a target's runs is known if it has answered within this time.
CONTACT_LIMIT_S: typing.Final = 0.5


def stop_stalled_runs(state: "clusterstate.ClusterState", now_s: float) -> None:
    """Stops the stalled runs, and ends the trials of runs that do well."""
    for target in state.targets.values():
        if now_s - target.last_contact_s > CONTACT_LIMIT_S:
            continue
        for run in list(target.runs.values()):
            _check_progress(state, target, run, now_s)
            crashes.end_trial(state, run, now_s)


def _check_progress(
    state: "clusterstate.ClusterState",
    target: fleet.Target,
    run: jobs.Run,
    now_s: float,
) -> None:
    if (
        run.state is not jobs.RunState.RUNNING
        or run.stage.step.long_running
        or run.stage.step.best_effort
        or now_s - run.progress_s < STALL_LIMIT_S
        or run.stage.job.final
        # Members of a gang end together; one at 100% waits for the others.
        or (run.stage.gang and run.percent >= FULL_PERCENT)
    ):
        return
    state.log.note(
        "run_stalled",
        task=run.task,
        run=run.number,
        target=target.id,
        percent=run.percent,
        stalled=round(now_s - run.progress_s, 2),
    )
    run.stage.avoided_targets.add(target.id)
    if not run.stage.gang:
        target.quarantine(now_s)
    state.stop_run(run, now_s)
