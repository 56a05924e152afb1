"""Attributes crashes of targets to tasks, and gives up tasks that cause them.

It is designed for a load in which a few tasks crash each target that starts
them, while other targets crash by themselves, alone or many at once, or are cut
off. A crash makes a suspect of each task that ran on the target. Suspects are
started apart from each other, so that a further crash tells them apart. A task
that was there twice is only started alone on a target, until it ends or crashes
that target too.
"""

import collections
import typing
from collections.abc import Iterable

from quetzalswitch.decision import fleet
from quetzalswitch.decision import jobs

if typing.TYPE_CHECKING:
    from quetzalswitch.decision import clusterstate

# What a crash adds to the score of a task: if it ran there alone; if others ran
# there too, or the target may only be cut off; and if several targets that did
# not run the task were lost at the same moment, as when a rack fails.
ALONE_WEIGHT: typing.Final = 4
SHARED_WEIGHT: typing.Final = 2
COMMON_WEIGHT: typing.Final = 1
# From this score on, a task is only started alone on a target.
TRIAL_SCORE: typing.Final = 4
# At this score a task is given up: after two crashes at the earliest.
LIMIT_SCORE: typing.Final = 8
# After this many crashes a task is given up whatever its score. Users accept
# five starts; one is left for a crash that no leader has seen.
CRASHES_MAX_COUNT: typing.Final = 4
# So many other targets that did not run a task, and were lost within this time
# of its crash, show a common cause.
COMMON_MIN_COUNT: typing.Final = 2
COMMON_WINDOW_S: typing.Final = 0.1
# After so many crashes of targets the tasks of a step start one at a time.
SLOW_START_MIN_COUNT: typing.Final = 2
# A target that is silent for this long may have crashed. Connections that were
# only reset are replaced sooner.
PRESUMED_AFTER_S: typing.Final = 0.3
# A long-running task that has worked for this long did not cause a later crash.
ACQUITTAL_S: typing.Final = 30.0
# Crashes that are remembered, to clear their suspects and find common causes.
REMEMBERED_MAX_COUNT: typing.Final = 300


class Suspect(typing.NamedTuple):
    """A run that was on a target when it was lost."""

    stage: jobs.Stage
    index: int
    run: int


class Loss(typing.NamedTuple):
    """Runs that ended if their target has crashed.

    Attributes:
        target_id: The target.
        boot_ms: Start time of the incarnation that ran them; 0 if unknown.
        silence: When the target went silent.
        suspects: The runs, as keys in their order.
        complete: Whether no other tasks can have run there.
    """

    target_id: str
    boot_ms: int
    silence: fleet.SilenceSpan
    suspects: dict[Suspect, None]
    complete: bool = True

    def concerns(self, stage: jobs.Stage, index: int) -> bool:
        """Returns whether a task, or its gang, is among the suspects."""
        return any(_is_same(suspect, stage, index) for suspect in self.suspects)

    def list_tasks(self) -> set[tuple[jobs.Stage, int]]:
        """Returns the tasks and gangs among the suspects."""
        return {_identify(s.stage, s.index) for s in self.suspects}


class CrashHistory:
    """Targets that may have crashed, and recent crashes.

    Attributes:
        losses: Presumed crashes by target.
        crashes: Recent crashes, the oldest first.
    """

    def __init__(self) -> None:
        self.losses: dict[str, Loss] = {}
        self.crashes: collections.deque[Loss] = collections.deque(
            maxlen=REMEMBERED_MAX_COUNT
        )

    def presume(
        self, target: fleet.Target, lost_runs: Iterable[jobs.Run], now_s: float
    ) -> None:
        """Remembers runs that end if a target has crashed."""
        if target.registration.draining:
            # Runs may end with a target that leaves as planned.
            return
        for run in lost_runs:
            if _is_acquitted(run, target.last_contact_s):
                continue
            loss = self.losses.get(target.id)
            if loss is None:
                loss = self.losses[target.id] = _describe_loss(target, now_s)
            loss.suspects[Suspect(run.stage, run.index, run.number)] = None

    def add_idle(self, target: fleet.Target, now_s: float) -> None:
        """Remembers the crash of a target that ran nothing.

        What else was lost at the same time shows whether it had the same cause.
        """
        self.crashes.append(_describe_loss(target, now_s))

    def discard(self, target_id: str) -> None:
        """Forgets the lost runs of a target that has not crashed."""
        self.losses.pop(target_id, None)

    def confirm(self, target_id: str) -> Loss | None:
        """Moves a presumed crash to the counted ones and returns it."""
        loss = self.losses.pop(target_id, None)
        if loss is not None:
            self.crashes.append(loss)
        return loss

    def withdraw(self, target_id: str, boot_ms: int) -> list[jobs.Job]:
        """Withdraws the crash of an incarnation that turned out to be alive.

        Returns:
            The jobs of its suspects.
        """
        for crash in self.crashes:
            if crash.target_id == target_id and crash.boot_ms == boot_ms:
                self.crashes.remove(crash)
                return _forget_suspects(crash.suspects)
        return []

    def clear_others(self, stage: jobs.Stage, index: int) -> list[jobs.Job]:
        """Clears the other suspects of the crashes that a task caused.

        Returns:
            The jobs of the cleared tasks.
        """
        cleared = []
        for crash in self.crashes:
            if crash.concerns(stage, index):
                cleared += _forget_suspects(
                    suspect
                    for suspect in crash.suspects
                    if not _is_same(suspect, stage, index)
                )
        return cleared


def score(stage: jobs.Stage, index: int) -> int:
    """Returns the weight of the crashes during the runs of a task.

    The members of a gang run together, so that the highest of theirs counts.
    """
    weights = _list_weights(stage, index)
    return max((sum(by_run.values()) for by_run in weights), default=0)


def is_suspected(stage: jobs.Stage, index: int) -> bool:
    """Returns whether a target has crashed during a run of a task."""
    return bool(stage.crashes) and score(stage, index) > 0


def needs_trial(stage: jobs.Stage, index: int) -> bool:
    """Returns whether a task may only be started alone on a target."""
    if not stage.crashes:
        return False
    last_start = _count_crashes(stage, index) == CRASHES_MAX_COUNT - 1
    return last_start or score(stage, index) >= TRIAL_SCORE


def limit_runs(stage: jobs.Stage) -> int | None:
    """Returns how many tasks of a stage may run at once, if limited.

    Each task of a step may crash its target. After crashes of several targets
    they are started one at a time, and each one that is done doubles their
    number.
    """
    if (
        stage.gang
        or stage.step.long_running
        or stage.crashed_targets < SLOW_START_MIN_COUNT
    ):
        return None
    return 1 << min(stage.done_since_crash, stage.step.count.bit_length())


def has_suspects(target: fleet.Target) -> bool:
    """Returns whether a task that is suspected runs on a target."""
    return any(
        is_suspected(run.stage, run.index) for run in target.runs.values()
    )


def clear(stage: jobs.Stage, index: int) -> None:
    """Forgets the crashes during the runs of a task, or gang, that is done."""
    if stage.gang:
        stage.crashes.clear()
    else:
        stage.crashes.pop(index, None)


def presume_silent(state: "clusterstate.ClusterState", now_s: float) -> None:
    """Remembers the runs of targets that do not answer."""
    for target in state.targets.values():
        silent_s = now_s - target.last_contact_s
        if target.runs and not target.answering and silent_s > PRESUMED_AFTER_S:
            state.crash_history.presume(
                target,
                [
                    run
                    for run in target.runs.values()
                    if run.state is not jobs.RunState.STARTING
                ],
                now_s,
            )


def resolve_loss(
    state: "clusterstate.ClusterState",
    target: fleet.Target,
    boot_ms: int,
    now_s: float,
) -> None:
    """Decides whether a target that answers again has crashed.

    Args:
        state: The state of the cluster.
        target: The target.
        boot_ms: Start time of the incarnation that answers.
        now_s: Monotonic time.
    """
    loss = state.crash_history.losses.get(target.id)
    if loss is not None and loss.boot_ms not in (0, boot_ms):
        record_crash(state, target.id, now_s)
        return
    if loss is None and target.boot_ms not in (0, boot_ms):
        state.crash_history.add_idle(target, now_s)
    state.crash_history.discard(target.id)
    if boot_ms != target.boot_ms:
        cleared = state.crash_history.withdraw(target.id, boot_ms)
        _apply_clearance(state, cleared)


def record_crash(
    state: "clusterstate.ClusterState",
    target_id: str,
    now_s: float,
    certain: bool = True,
) -> None:
    """Counts a crash against the runs that were lost on a target.

    Fails the jobs of tasks that have reached the limit, and clears the tasks
    that shared a crash with them.

    Args:
        state: The state of the cluster.
        target_id: The target.
        now_s: Monotonic time.
        certain: Whether the target is known to have crashed. It may also be
            cut off for so long that it counts as gone.
    """
    loss = state.crash_history.confirm(target_id)
    if loss is None:
        return
    for stage in dict.fromkeys(suspect.stage for suspect in loss.suspects):
        stage.crashed_targets += 1
        stage.done_since_crash = 0
        if limit_runs(stage) is not None:
            state.log.note(
                "step_slowed", step=stage.key, crashes=stage.crashed_targets
            )
    lost_tasks = _list_tasks_lost_with(state, loss)
    for suspect in loss.suspects:
        stage, index, run = suspect
        weight = _weigh(loss, suspect, certain, lost_tasks)
        weights = stage.crashes.setdefault(index, {})
        weights[run] = max(weight, weights.get(run, 0))
        state.mark_changed(stage.job)
        state.log.note(
            "crash_suspected",
            step=stage.key,
            index=index,
            run=run,
            target=target_id,
            certain=certain,
            suspects=len(loss.suspects),
            score=score(stage, index),
            limit=LIMIT_SCORE,
            crashes=_count_crashes(stage, index),
        )
    for stage, index, _ in loss.suspects:
        exceeded = (
            score(stage, index) >= LIMIT_SCORE
            or _count_crashes(stage, index) >= CRASHES_MAX_COUNT
        )
        if exceeded and not stage.job.final:
            _give_up(state, stage, index, now_s)


def end_trial(
    state: "clusterstate.ClusterState", run: jobs.Run, now_s: float
) -> None:
    """Acquits a long-running task that works on without a crash."""
    if run.stage.crashes and _is_acquitted(run, now_s):
        run.isolated = False
        state.suspect_runs.discard(run)
        if run.index in run.stage.crashes:
            clear(run.stage, run.index)
            state.mark_changed(run.stage.job)


def _list_weights(stage: jobs.Stage, index: int) -> list[dict[int, int]]:
    """Returns the weights of crashes by run, for a task or all of its gang."""
    if stage.gang:
        return list(stage.crashes.values())
    return [stage.crashes[index]] if index in stage.crashes else []


def _count_crashes(stage: jobs.Stage, index: int) -> int:
    """Returns how many targets have crashed under a task or gang."""
    return max((len(w) for w in _list_weights(stage, index)), default=0)


def _weigh(
    loss: Loss,
    suspect: Suspect,
    certain: bool,
    lost_tasks: list[set[tuple[jobs.Stage, int]]],
) -> int:
    """Returns what a crash says about one of its suspects.

    Args:
        loss: The lost runs.
        suspect: One of them.
        certain: Whether the target is known to have crashed.
        lost_tasks: What ran on each target that was lost at the same time.
    """
    stage, index, _ = suspect
    alone = (
        certain
        and loss.complete
        and all(_is_same(other, stage, index) for other in loss.suspects)
    )
    task = _identify(stage, index)
    unrelated_count = sum(task not in found for found in lost_tasks)
    if unrelated_count >= COMMON_MIN_COUNT:
        return COMMON_WEIGHT
    return ALONE_WEIGHT if alone else SHARED_WEIGHT


def _list_tasks_lost_with(
    state: "clusterstate.ClusterState", loss: Loss
) -> list[set[tuple[jobs.Stage, int]]]:
    """Returns what ran on each other target that was lost at the same time.

    Leaves out targets with a task on trial: it may have caused their crash.
    """
    found = {
        crash.target_id: crash.list_tasks()
        for crash in state.crash_history.crashes
        if crash.silence.is_near(loss.silence, COMMON_WINDOW_S)
    }
    for target in state.targets.values():
        silence = target.silence
        if silence is None or not silence.is_near(
            loss.silence, COMMON_WINDOW_S
        ):
            continue
        presumed = state.crash_history.losses.get(target.id)
        lost = found.setdefault(target.id, set())
        lost |= presumed.list_tasks() if presumed is not None else set()
        lost |= {_identify(r.stage, r.index) for r in target.runs.values()}
    found.pop(loss.target_id, None)
    return [
        tasks
        for tasks in found.values()
        if not any(needs_trial(*task) for task in tasks)
    ]


def _give_up(
    state: "clusterstate.ClusterState",
    stage: jobs.Stage,
    index: int,
    now_s: float,
) -> None:
    count = _count_crashes(stage, index)
    name = stage.key if stage.gang else f"{stage.key}.{index}"
    state.finish_job(
        stage.job,
        jobs.Phase.FAILED,
        now_s,
        f"{count} targets crashed while they ran {name}",
    )
    cleared = state.crash_history.clear_others(stage, index)
    _apply_clearance(state, cleared)


def _apply_clearance(
    state: "clusterstate.ClusterState", cleared: list[jobs.Job]
) -> None:
    """Stores the cleared jobs and lets other tasks join their runs again."""
    for job in cleared:
        state.mark_changed(job)
    for run in list(state.suspect_runs) if cleared else ():
        run.isolated = needs_trial(run.stage, run.index)
        if not is_suspected(run.stage, run.index):
            state.suspect_runs.discard(run)


def _describe_loss(target: fleet.Target, now_s: float) -> Loss:
    """Returns a loss of a target, without runs."""
    silence = target.silence or fleet.SilenceSpan(target.last_contact_s, now_s)
    return Loss(target.id, target.known_boot_ms, silence, {})


def _forget_suspects(suspects: Iterable[Suspect]) -> list[jobs.Job]:
    """Forgets one crash for each of some runs; returns the jobs concerned."""
    suspects = list(suspects)
    for stage in dict.fromkeys(suspect.stage for suspect in suspects):
        stage.crashed_targets = max(0, stage.crashed_targets - 1)
    concerned = []
    for stage, index, run in suspects:
        weights = stage.crashes.get(index, {})
        if weights.pop(run, None) is None:
            continue
        if not weights:
            del stage.crashes[index]
        concerned.append(stage.job)
    return concerned


def _identify(stage: jobs.Stage, index: int) -> tuple[jobs.Stage, int]:
    """Returns a key of a task, or of its gang."""
    return stage, jobs.GANG_INDEX if stage.gang else index


def _is_same(suspect: Suspect, stage: jobs.Stage, index: int) -> bool:
    """Returns whether a run is one of a task, or of its gang."""
    return suspect.stage is stage and (stage.gang or suspect.index == index)


def _is_acquitted(run: jobs.Run, now_s: float) -> bool:
    return run.stage.step.long_running and now_s - run.confirmed_s > ACQUITTAL_S
