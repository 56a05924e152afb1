"""Attributes crashes of targets to tasks, and gives up tasks that cause them.

It is designed for a load in which a few tasks crash each target that starts
them, while other targets crash by themselves. A crash makes a suspect of each
task that ran on the target. Suspects are started apart from each other, so that
a further crash tells them apart. A task that was there twice is only started
alone on a target, until it ends or crashes that target too.
"""

import collections
import typing
from collections.abc import Iterable

from quetzalswitch.decision import jobs

if typing.TYPE_CHECKING:
    from quetzalswitch.decision import clusterstate
    from quetzalswitch.decision import fleet

# What a crash adds to the score of a task that ran there beside others, and of
# one that ran there alone.
SHARED_WEIGHT: typing.Final = 1
ALONE_WEIGHT: typing.Final = 2
# From this score on, a task is only started alone on a target.
TRIAL_SCORE: typing.Final = 2
# At this score a task is given up: after two crashes at the earliest, and as a
# rule after three.
LIMIT_SCORE: typing.Final = 4
# A long-running task that has worked for this long did not cause a later crash.
ACQUITTAL_S: typing.Final = 30.0
# Crashes whose suspects are cleared when one of them is given up.
REMEMBERED_MAX_COUNT: typing.Final = 300


class Suspect(typing.NamedTuple):
    """A run that was on a target when it crashed.

    Attributes:
        stage: Stage of its task.
        key: Key of the task in `Stage.crashes`; a gang has one key.
        run: Run number.
    """

    stage: jobs.Stage
    key: int
    run: int


class CrashHistory:
    """Runs lost on silent targets, and the suspects of recent crashes."""

    def __init__(self) -> None:
        self._presumed: dict[str, list[Suspect]] = {}
        self._crashes: collections.deque[tuple[Suspect, ...]] = (
            collections.deque(maxlen=REMEMBERED_MAX_COUNT)
        )

    def presume(
        self, target: "fleet.Target", lost_runs: Iterable[jobs.Run]
    ) -> None:
        """Remembers runs that end if a silent target has crashed."""
        suspects = [
            Suspect(run.stage, run.stage.failure_key(run.index), run.number)
            for run in lost_runs
            if not _is_acquitted(run, target.last_contact_s)
        ]
        if suspects:
            self._presumed.setdefault(target.id, []).extend(suspects)

    def discard(self, target_id: str) -> None:
        """Forgets the lost runs of a target that has not crashed."""
        self._presumed.pop(target_id, None)

    def confirm(self, target_id: str) -> tuple[Suspect, ...]:
        """Records the crash of a target; returns its suspects."""
        # The members of a gang on the target are one suspect.
        suspects = tuple(dict.fromkeys(self._presumed.pop(target_id, ())))
        if not suspects:
            return suspects
        self._crashes.append(suspects)
        tasks = {(suspect.stage.key, suspect.key) for suspect in suspects}
        weight = ALONE_WEIGHT if len(tasks) == 1 else SHARED_WEIGHT
        for stage, key, run in suspects:
            weights = stage.crashes.setdefault(key, {})
            weights[run] = max(weight, weights.get(run, 0))
        return suspects

    def clear_others(self, stage: jobs.Stage, key: int) -> list[jobs.Job]:
        """Clears the other suspects of the crashes that a task caused.

        Returns:
            The jobs of the cleared tasks.
        """
        cleared = []
        for suspects in self._crashes:
            if not any(s.stage is stage and s.key == key for s in suspects):
                continue
            for other in suspects:
                if other.stage is stage and other.key == key:
                    continue
                if forget(other.stage, other.key, other.run):
                    cleared.append(other.stage.job)
        return cleared


def score(stage: jobs.Stage, index: int) -> int:
    """Returns the weight of the crashes during the runs of a task."""
    return sum(stage.crashes.get(stage.failure_key(index), {}).values())


def needs_trial(stage: jobs.Stage, index: int) -> bool:
    """Returns whether a task may only be started alone on a target."""
    return bool(stage.crashes) and score(stage, index) >= TRIAL_SCORE


def has_suspects(target: "fleet.Target") -> bool:
    """Returns whether a task that is suspected runs on a target."""
    return any(
        run.stage.crashes and score(run.stage, run.index)
        for run in target.runs.values()
    )


def forget(stage: jobs.Stage, key: int, run: int | None = None) -> bool:
    """Forgets a crash during a run of a task, or all of its crashes.

    Returns:
        Whether there was one.
    """
    weights = stage.crashes.get(key)
    if weights is None or (run is not None and run not in weights):
        return False
    if run is not None:
        del weights[run]
    if run is None or not weights:
        del stage.crashes[key]
    return True


def record_crash(
    state: "clusterstate.ClusterState", target_id: str, now_s: float
) -> None:
    """Counts a crash against the runs that were lost on a target.

    Fails the jobs of tasks that have reached the limit, and clears the tasks
    that shared a crash with them.
    """
    suspects = state.crash_history.confirm(target_id)
    for stage, key, run in suspects:
        state.mark_changed(stage.job)
        total = sum(stage.crashes.get(key, {}).values())
        state.log.note(
            "crash_suspected",
            step=stage.key,
            index=key,
            run=run,
            target=target_id,
            suspects=len(suspects),
            score=total,
            limit=LIMIT_SCORE,
        )
        if total >= LIMIT_SCORE and not stage.job.final:
            _give_up(state, stage, key, now_s)


def end_trial(
    state: "clusterstate.ClusterState", run: jobs.Run, now_s: float
) -> None:
    """Acquits a long-running task that works on without a crash."""
    if run.stage.crashes and _is_acquitted(run, now_s):
        run.isolated = False
        state.isolated_runs.discard(run)
        if forget(run.stage, run.stage.failure_key(run.index)):
            state.mark_changed(run.stage.job)


def _give_up(
    state: "clusterstate.ClusterState",
    stage: jobs.Stage,
    key: int,
    now_s: float,
) -> None:
    count = len(stage.crashes[key])
    name = stage.key if key == jobs.GANG_INDEX else f"{stage.key}.{key}"
    state.finish_job(
        stage.job,
        jobs.Phase.FAILED,
        now_s,
        f"{count} targets crashed while they ran {name}",
    )
    for job in state.crash_history.clear_others(stage, key):
        state.mark_changed(job)


def _is_acquitted(run: jobs.Run, now_s: float) -> bool:
    return run.stage.step.long_running and now_s - run.confirmed_s > ACQUITTAL_S
