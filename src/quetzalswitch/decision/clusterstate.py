"""What is known of jobs and targets, and what each end of a run means."""

import typing

import sortedcontainers

from quetzalswitch import nodelog
from quetzalswitch.acceptance import catalogue
from quetzalswitch.acceptance import submissions
from quetzalswitch.decision import advice
from quetzalswitch.decision import fleet
from quetzalswitch.decision import jobs
from quetzalswitch.decision import quotas
from quetzalswitch.execution import protocol

# Run numbers of an epoch start at the epoch shifted by this, so that they rise
# over takeovers without a write for each start.
RUNS_PER_EPOCH_BITS: typing.Final = 24
# A stop order may get lost; it is repeated after this.
STOP_REPEAT_S: typing.Final = 0.4
# Completed work is shown once it is stored, which takes 15 ms, or after this.
SHOW_DELAY_S: typing.Final = 0.1


class StopCommand(typing.NamedTuple):
    """An order to stop a run."""

    target_id: str
    task: str
    run: int


class ReportedEnd(typing.NamedTuple):
    """An end that a target listed for the first time.

    Attributes:
        ended: The end.
        job: The job, or None if it isn't known yet.
        revision: Revision of the job that must be stored before the end may be
            acknowledged.
        reported_s: When it was listed.
    """

    ended: protocol.EndedRun
    job: jobs.Job | None
    revision: int
    reported_s: float


class Commands(typing.NamedTuple):
    """What the deciding entry is to carry out."""

    starts: list[jobs.Run]
    stops: list[StopCommand]
    advice_requests: list[advice.AdviceRequest]


class ClusterState:
    """Jobs, targets and what their runs and ends amount to.

    Attributes:
        jobs: Accepted work by ID.
        targets: Targets by ID.
        changed_jobs: Jobs with progress that must be stored.
        usage: Room that each team uses.
        ready: Stages that may start, most urgent first.
        reserved_targets: Targets kept free for gangs in the last pass.
        reconciled: Whether every run of earlier deciders has been found or has
            surely ended.
    """

    def __init__(self, epoch: int, log: nodelog.NodeLog):
        self.epoch = epoch
        self.jobs: dict[str, jobs.Job] = {}
        self.targets: dict[str, fleet.Target] = {}
        self.changed_jobs: dict[str, jobs.Job] = {}
        self.usage = quotas.Usage()
        self.advisers = advice.Advisers()
        self.catalogue: catalogue.Catalogue | None = None
        self.evacuated_domains: set[str] = set()
        self.reconciled = False
        self.reserved_targets: frozenset[str] = frozenset()
        self.ready: sortedcontainers.SortedDict = sortedcontainers.SortedDict()
        self.log = log
        self.stages_by_key: dict[str, jobs.Stage] = {}
        # Counted for callers several times a second; jobs are kept for ever.
        self._unstarted: dict[str, jobs.Job] = {}
        self._timed: dict[str, jobs.Job] = {}
        self.commands = Commands([], [], [])
        self._next_run = epoch << RUNS_PER_EPOCH_BITS
        self._stop_times: dict[tuple[str, int], float] = {}

    def collect_commands(self) -> Commands:
        """Returns the orders decided since the last call."""
        commands, self.commands = self.commands, Commands([], [], [])
        return commands

    # Jobs

    def add_job(
        self,
        submission: submissions.Submission,
        now_s: float,
        wall_ms: float,
        inherited: bool = False,
        progress: bytes | None = None,
        cancelled: bool = False,
    ) -> None:
        """Adds accepted work; work that is known already is left as it is.

        Args:
            submission: What was accepted.
            now_s: Monotonic time.
            wall_ms: Unix time.
            inherited: Whether an earlier decider may have started runs of it.
            progress: Its stored progress, if any.
            cancelled: Whether the caller cancelled it.
        """
        if submission.id in self.jobs:
            return
        job = jobs.Job(submission)
        job.inherited = inherited
        self.jobs[job.id] = job
        if progress is not None:
            job.restore(progress)
        if not job.started and not job.final:
            self._unstarted[job.id] = job
        if submission.first_at_ms or submission.occurrences > 1:
            self._timed[job.id] = job
            self.open_due(now_s, wall_ms)
        elif not job.opened:
            job.open_occurrence(0)
        if cancelled:
            self.cancel(job.id, now_s)
        if job.final:
            return
        age_s = max(0.0, wall_ms - submission.accepted_ms) / 1000
        for stage in job.stages.values():
            self.enqueue(stage, now_s - age_s)

    def cancel(self, job_id: str, now_s: float) -> None:
        """Ends a job at its caller's request; ended work stays as it is."""
        job = self.jobs.get(job_id)
        if (
            job is None
            or job.cancelled
            or job.visible_phase in jobs.FINAL_PHASES
        ):
            return
        job.cancelled = True
        self._end_job(job, jobs.Phase.CANCELLED, now_s, "cancelled by caller")
        # The cancellation itself is stored, so it may be shown at once.
        job.visible_phase = jobs.Phase.CANCELLED

    def open_due(self, now_s: float, wall_ms: float) -> float | None:
        """Opens occurrences that are due; returns the next due Unix time."""
        next_ms = None
        for job in list(self._timed.values()):
            submission = job.submission
            while not job.final and job.opened < submission.occurrences:
                due_ms = (
                    submission.first_at_ms + job.opened * submission.interval_ms
                )
                if due_ms > wall_ms:
                    next_ms = min(next_ms or due_ms, due_ms)
                    break
                for stage in job.open_occurrence(job.opened):
                    self.enqueue(stage, now_s)
            if job.final or job.opened >= submission.occurrences:
                del self._timed[job.id]
        return next_ms

    def queue_of(self, job: jobs.Job) -> catalogue.Queue:
        """Returns the job's queue as configured now, or as it was."""
        if self.catalogue is not None:
            queue = self.catalogue.queues.get(job.submission.queue.name)
            if queue is not None:
                return queue
        return job.submission.queue

    def count_pending(self) -> dict[str, int]:
        """Returns the accepted submissions without a start, by queue."""
        counts: dict[str, int] = {}
        for job in self._unstarted.values():
            name = job.submission.queue.name
            counts[name] = counts.get(name, 0) + 1
        return counts

    def may_end_soon(self, job: jobs.Job) -> bool:
        """Tells whether every task that is left of a job may be running."""
        return (
            not job.final
            and job.opened >= job.submission.occurrences
            and not any(stage.pending for stage in job.stages.values())
        )

    def record_stored(self, job: jobs.Job, revision: int) -> None:
        """Notes that the store holds a job's progress up to a change."""
        job.stored_revision = max(job.stored_revision, revision)
        if job.revision == job.stored_revision:
            if job.final and job.visible_phase is not jobs.Phase.CANCELLED:
                if job.visible_phase is not job.phase:
                    self.log.note("shown", id=job.id, phase=job.phase.value)
                job.visible_phase = job.phase
            self.changed_jobs.pop(job.id, None)

    def publish_early(self, now_s: float) -> None:
        """Shows completed work that a slow store has not confirmed yet.

        Its ends stay listed at the targets until they are stored, so a new
        decider finds them there.
        """
        for job in self.changed_jobs.values():
            if (
                job.phase is jobs.Phase.COMPLETED
                and job.visible_phase is not jobs.Phase.COMPLETED
                and now_s - job.ended_s > SHOW_DELAY_S
            ):
                job.visible_phase = jobs.Phase.COMPLETED
                self.log.note("shown_early", id=job.id)

    # Runs

    def enqueue(self, stage: jobs.Stage, since_s: float) -> None:
        """Lets a stage wait for its start, if the steps before are done."""
        if stage.finished or not stage.job.is_ready(stage):
            return
        self.stages_by_key[stage.key] = stage
        queue = self.queue_of(stage.job)
        chain_s = queue.stretch * stage.step.estimate_ms / 1000
        due_s = since_s + chain_s + queue.target_latency_ms / 1000
        stage.ready_s = since_s
        stage.order = (queue.priority, due_s, stage.key)
        self.ready[stage.order] = stage

    def add_run(self, target: fleet.Target, run: jobs.Run) -> None:
        """Counts the room of a run that is or may be on a target."""
        stage = run.stage
        stage.runs.setdefault(run.index, []).append(run)
        stage.pending.discard(run.index)
        stage.job.started = True
        self._unstarted.pop(stage.job.id, None)
        if stage.job.phase is jobs.Phase.QUEUED:
            stage.job.phase = jobs.Phase.RUNNING
            if stage.job.visible_phase is jobs.Phase.QUEUED:
                stage.job.visible_phase = jobs.Phase.RUNNING
        target.runs[run.task, run.number] = run
        target.take(stage.step.demand)
        self.usage.take(stage.job.submission.team, stage.step.demand)

    def finish(
        self,
        target: fleet.Target,
        run: jobs.Run,
        end: protocol.EndReason,
        checkpoint: str,
        now_s: float,
    ) -> None:
        """Frees a run's room and decides what follows from its end."""
        stage = run.stage
        if target.runs.pop((run.task, run.number), None) is None:
            return
        target.release(stage.step.demand)
        self.usage.release(stage.job.submission.team, stage.step.demand)
        self._stop_times.pop((run.task, run.number), None)
        runs = stage.runs.get(run.index, [])
        if run in runs:
            runs.remove(run)
        if not runs:
            stage.runs.pop(run.index, None)
        saved = checkpoint or run.checkpoint
        if saved:
            key = stage.failure_key(run.index) if stage.gang else run.index
            stage.checkpoints[key] = saved
        self.record_end(stage, run.index, run.number, end, target, now_s)

    def record_end(
        self,
        stage: jobs.Stage,
        index: int,
        number: int,
        end: protocol.EndReason,
        target: fleet.Target,
        now_s: float,
    ) -> None:
        """Decides what follows from the end of a run, known or not."""
        job = stage.job
        if end is protocol.EndReason.DONE and not stage.step.long_running:
            target.note_done(now_s)
            self._mark_done(stage, index, now_s)
        elif end is protocol.EndReason.FAILED:
            self._count_failure(stage, index, number, target, now_s)
        if job.final or index in stage.done:
            return
        if stage.gang:
            # The others can't go on alone; the room that they wait in is free
            # sooner if they are told.
            for run in stage.all_runs():
                self.stop_run(run, now_s)
            if not stage.runs:
                stage.pending = set(range(stage.step.count)) - stage.done
        elif index not in stage.runs:
            stage.pending.add(index)
        if stage.pending:
            self.ready[stage.order] = stage

    def _mark_done(self, stage: jobs.Stage, index: int, now_s: float) -> None:
        if index in stage.done:
            return
        indexes = set(range(stage.step.count)) if stage.gang else {index}
        stage.done |= indexes
        stage.pending -= indexes
        job = stage.job
        self._touch(job)
        if not stage.gang:
            # A copy of a speculative task has nothing left to do.
            for run in stage.runs.get(index, []):
                self.stop_run(run, now_s)
        if not stage.finished:
            return
        self.ready.pop(stage.order, None)
        if job.final:
            return
        if job.is_complete():
            self._end_job(job, jobs.Phase.COMPLETED, now_s, "all tasks done")
            return
        for other in job.stages.values():
            if other.occurrence == stage.occurrence and not other.ready_s:
                self.enqueue(other, now_s)

    def _count_failure(
        self,
        stage: jobs.Stage,
        index: int,
        number: int,
        target: fleet.Target,
        now_s: float,
    ) -> None:
        key = stage.failure_key(index)
        failed = stage.failures.setdefault(key, set())
        if number in failed:
            return
        failed.add(number)
        stage.avoided.add(target.id)
        job = stage.job
        stage.last_failed_s = now_s
        self._touch(job)
        if target.note_failed(job.id, bool(stage.done), now_s):
            self.log.note(
                "target_set_aside", target=target.id, reason="failures"
            )
        limit = self.queue_of(job).max_attempts
        self.log.note(
            "run_failed",
            task=f"{stage.key}.{index}",
            run=number,
            target=target.id,
            failures=len(failed),
            limit=limit,
        )
        if (
            len(failed) >= limit
            and not stage.step.long_running
            and not job.final
        ):
            reason = f"{len(failed)} failed runs of {stage.key}.{index}"
            self._end_job(job, jobs.Phase.FAILED, now_s, reason)

    def _end_job(
        self, job: jobs.Job, phase: jobs.Phase, now_s: float, reason: str
    ) -> None:
        job.phase = phase
        job.ended_s = now_s
        self._unstarted.pop(job.id, None)
        self._touch(job)
        self.log.note("ended", id=job.id, phase=phase.value, reason=reason)
        for stage in job.stages.values():
            stage.pending.clear()
            self.ready.pop(stage.order, None)
            self.stages_by_key.pop(stage.key, None)
            for run in stage.all_runs():
                if phase is not jobs.Phase.COMPLETED:
                    self.stop_run(run, now_s)

    def _touch(self, job: jobs.Job) -> None:
        job.revision += 1
        self.changed_jobs[job.id] = job

    def stop_run(self, run: jobs.Run, now_s: float) -> None:
        """Decides to stop a run; its room stays taken until its end."""
        if run.state is jobs.RunState.RUNNING:
            run.state = jobs.RunState.STOPPING
        key = (run.task, run.number)
        # An order may get lost, so it is repeated with a later hold.
        if now_s - self._stop_times.get(key, float("-inf")) < STOP_REPEAT_S:
            return
        self._stop_times[key] = now_s
        self.commands.stops.append(
            StopCommand(run.target_id, run.task, run.number)
        )
