"""State of jobs and targets, and the consequences of the end of a run."""

import typing

from quetzalswitch import nodelog
from quetzalswitch.acceptance import catalogue
from quetzalswitch.acceptance import submissions
from quetzalswitch.decision import advice
from quetzalswitch.decision import advice_use
from quetzalswitch.decision import crashes
from quetzalswitch.decision import fleet
from quetzalswitch.decision import indexsets
from quetzalswitch.decision import jobs
from quetzalswitch.decision import locality
from quetzalswitch.decision import occurrences
from quetzalswitch.decision import openings
from quetzalswitch.decision import quotas
from quetzalswitch.decision import readyqueue
from quetzalswitch.decision import speeds
from quetzalswitch.execution import protocol

# Run numbers of an epoch start at the epoch shifted left by this number of
# bits, so that they increase across changes of the leader without a write to
# the store for each start.
RUNS_PER_EPOCH_BITS: typing.Final = 24
# A stop command may get lost; it is sent again after this.
STOP_RETRY_S: typing.Final = 0.4


class StopCommand(typing.NamedTuple):
    """A command to stop a run."""

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
    """

    ended: protocol.EndedRun
    job: jobs.Job | None
    revision: int


class Commands(typing.NamedTuple):
    """Commands that the leader carries out.

    Attributes:
        starts: Runs to start.
        stops: Runs to stop.
        advice_requests: Calls to the advice service.
        lookups: IDs of unknown jobs to read from the store.
    """

    starts: list[jobs.Run]
    stops: list[StopCommand]
    advice_requests: list[advice.AdviceRequest]
    lookups: list[str]


class ClusterState:
    """Jobs and targets with their runs, and the commands that follow.

    Attributes:
        jobs: Accepted jobs by ID.
        completed_jobs: IDs of jobs that were completed before this epoch. They
            are not in `jobs`.
        targets: Targets by ID.
        changed_jobs: Jobs with progress that must be stored.
        usage: Resources that each team uses.
        crash_history: Runs that were lost with their targets.
        speeds: How fast targets work.
        stragglers_checked_s: When runs were last compared with their kind.
        suspect_runs: Active runs of tasks under which a target has crashed.
        advisers: Entry VMs that can call the advice service.
        advice_use: Which of their calls led to starts.
        ready: Stages that may start.
        scheduled: Jobs with occurrences that are not opened yet, by ID.
        reserved_targets: Targets reserved for gangs in the last pass, and those
            that tasks waited for because they are near.
        spread_factor: Factor by which tasks take longer away from their data
            or their gang; 1 if unknown.
        run_times: Measured run times against declared ones.
        near_waits: Tasks that wait for a near target.
        reconciled: Whether every run of earlier deciders has been found or is
            known to have ended.
    """

    def __init__(self, epoch: int, log: nodelog.NodeLog):
        self.epoch = epoch
        self.jobs: dict[str, jobs.Job] = {}
        self.completed_jobs: set[str] = set()
        self.targets: dict[str, fleet.Target] = {}
        self.changed_jobs: dict[str, jobs.Job] = {}
        self.usage = quotas.TeamUsage()
        self.crash_history = crashes.CrashHistory()
        self.speeds = speeds.TargetSpeeds(log)
        self.stragglers_checked_s = float("-inf")
        self.suspect_runs: set[jobs.Run] = set()
        self.advisers = advice.Advisers()
        self.advice_use = advice_use.AdviceUse()
        self.catalogue: catalogue.Catalogue | None = None
        self.evacuated_domains: set[str] = set()
        self.reconciled = False
        self.reserved_targets: frozenset[str] = frozenset()
        self.ready = readyqueue.ReadyQueue()
        self.spread_factor = 1.0
        self.run_times = openings.RunTimes()
        self.near_waits = locality.NearWaits(log)
        self.log = log
        self.stages_by_key: dict[str, jobs.Stage] = {}
        # Counted for callers several times a second. Jobs are never removed
        # from `jobs`, so the count doesn't scan them.
        self._unstarted: dict[str, jobs.Job] = {}
        self.scheduled: dict[str, jobs.Job] = {}
        self.commands = Commands([], [], [], [])
        self._next_run = epoch << RUNS_PER_EPOCH_BITS
        self._stops_sent_s: dict[tuple[str, int], float] = {}

    def collect_commands(self) -> Commands:
        """Returns the commands added since the last call and clears them."""
        commands, self.commands = self.commands, Commands([], [], [], [])
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
        """Adds an accepted job; a job that is known already is not changed.

        Args:
            submission: The accepted submission.
            now_s: Monotonic time.
            wall_ms: Unix time.
            inherited: Whether an earlier decider may have started runs of it.
            progress: Its stored progress; None if there is none.
            cancelled: Whether the caller cancelled it.
        """
        if submission.id in self.jobs or submission.id in self.completed_jobs:
            return
        job = jobs.Job(submission)
        job.inherited = inherited
        self.jobs[job.id] = job
        if progress is not None:
            job.restore(progress)
        if job.phase is jobs.Phase.QUEUED:
            self._unstarted[job.id] = job
        if submission.first_at_ms or submission.occurrences > 1:
            self.scheduled[job.id] = job
            self.open_due(now_s, wall_ms)
        elif not job.opened_count:
            job.open_occurrence(0)
        if cancelled:
            self.cancel(job.id, now_s)
        if job.final:
            return
        age_s = max(0.0, wall_ms - submission.accepted_ms) / 1000
        for stage in job.stages.values():
            self.enqueue(stage, now_s - age_s)

    def cancel(self, job_id: str, now_s: float) -> None:
        """Cancels a job, unless callers see a final phase already."""
        job = self.jobs.get(job_id)
        if (
            job is None
            or job.cancelled
            or job.visible_phase in jobs.FINAL_PHASES
        ):
            return
        job.cancelled = True
        self.finish_job(job, jobs.Phase.CANCELLED, now_s, "cancelled by caller")
        # The cancellation itself is stored already, so it is visible at once.
        job.visible_phase = jobs.Phase.CANCELLED

    def open_due(self, now_s: float, wall_ms: float) -> float | None:
        """Opens occurrences that are due; returns the next due Unix time."""
        return occurrences.open_due(self, now_s, wall_ms)

    def queue_of(self, job: jobs.Job) -> catalogue.Queue:
        """Returns the queue's current configuration.

        If the queue is not configured any more, returns the configuration at
        the time of submission.
        """
        if self.catalogue is not None:
            queue = self.catalogue.queues.get(job.submission.queue.name)
            if queue is not None:
                return queue
        return job.submission.queue

    def find_stage(self, task: str) -> tuple[jobs.Stage, int] | None:
        """Returns the stage of a task and its index, or None if unknown."""
        name = jobs.parse_task(task)
        if name is None:
            return None
        job = self.jobs.get(name[0])
        if job is None:
            return None
        if name[1] in job.finished_occurrences:
            # A target still lists one of its runs or ends.
            job.add_stages(name[1])
        stage = job.stages.get((name[1], name[2]))
        if stage is None or name[3] >= stage.step.count:
            return None
        return stage, name[3]

    def find_listed_stage(self, task: str) -> tuple[jobs.Stage, int] | None:
        """Returns the stage and index of a task that a target lists.

        The clock of an earlier leader may have been ahead, so that the task's
        occurrence is not due here yet; its other tasks wait until it is.
        """
        found = self.find_stage(task)
        name = jobs.parse_task(task)
        job = self.jobs.get(name[0]) if name is not None else None
        if found is not None or job is None:
            return found
        _, occurrence, number, _ = name
        steps = job.submission.steps
        if occurrence >= job.submission.occurrences or number >= len(steps):
            return None
        job.add_stages(occurrence)
        return self.find_stage(task)

    def count_pending(self) -> dict[str, int]:
        """Returns the number of queued jobs, by queue name.

        A job is queued until a target confirms a start of it or lists a run.
        """
        counts: dict[str, int] = {}
        for job in self._unstarted.values():
            name = job.submission.queue.name
            counts[name] = counts.get(name, 0) + 1
        return counts

    def may_end_soon(self, job: jobs.Job) -> bool:
        """Returns whether all remaining tasks of a job are possibly running."""
        return (
            not job.final
            and job.opened_count >= job.submission.occurrences
            and not any(stage.pending for stage in job.stages.values())
        )

    def record_stored(self, job: jobs.Job, revision: int) -> None:
        """Records that the store has a job's progress up to a revision.

        Only now is a final phase visible: an end that is not stored is lost
        with the leader and its target, and the next leader runs the task again.
        """
        job.stored_revision = max(job.stored_revision, revision)
        if job.revision == job.stored_revision:
            if job.final and job.visible_phase is not jobs.Phase.CANCELLED:
                if job.visible_phase is not job.phase:
                    self.log.note("shown", id=job.id, phase=job.phase.value)
                job.visible_phase = job.phase
            self.changed_jobs.pop(job.id, None)

    # Runs

    def enqueue(self, stage: jobs.Stage, since_s: float) -> None:
        """Adds a stage to the ready stages if its dependencies are done."""
        due = stage.occurrence < stage.job.opened_count
        if stage.finished or not due or not stage.job.is_ready(stage):
            return
        self.stages_by_key[stage.key] = stage
        self.ready.pop(stage.sort_key)
        queue = self.queue_of(stage.job)
        run_budget_s = queue.stretch * stage.step.estimate_ms / 1000
        due_s = since_s + run_budget_s + queue.target_latency_ms / 1000
        stage.ready_s = since_s
        stage.sort_key = (queue.priority, due_s, stage.key)
        self.ready.add(stage)

    def add_run(self, target: fleet.Target, run: jobs.Run) -> None:
        """Adds a run that is or may be active and allocates its resources."""
        stage = run.stage
        stage.runs.setdefault(run.index, []).append(run)
        stage.pending.discard(run.index)
        target.runs[run.task, run.number] = run
        if crashes.is_suspected(stage, run.index):
            self.suspect_runs.add(run)
        target.allocate(stage.step.demand)
        self.usage.allocate(stage.job.submission.team, stage.step.demand)

    def record_begun(self, job: jobs.Job) -> None:
        """Records that a target has confirmed or listed a run of a job."""
        self._unstarted.pop(job.id, None)
        if job.phase is jobs.Phase.QUEUED:
            job.phase = jobs.Phase.RUNNING
            if job.visible_phase is jobs.Phase.QUEUED:
                job.visible_phase = jobs.Phase.RUNNING

    def finish_run(
        self,
        target: fleet.Target,
        run: jobs.Run,
        end: protocol.EndReason,
        checkpoint: str,
        now_s: float,
    ) -> None:
        """Releases a run's resources and handles its end."""
        stage = run.stage
        if target.runs.pop((run.task, run.number), None) is None:
            return
        self.suspect_runs.discard(run)
        if end is protocol.EndReason.DONE:
            self.run_times.record_done(run, target, self.spread_factor, now_s)
            self.speeds.record_done(target, run, now_s)
        target.release(stage.step.demand)
        self.usage.release(stage.job.submission.team, stage.step.demand)
        self._stops_sent_s.pop((run.task, run.number), None)
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
        """Handles the end of a run, whether or not the run was known."""
        job = stage.job
        if end is protocol.EndReason.DONE and not stage.step.long_running:
            target.record_success(now_s)
            self._mark_done(stage, index, now_s)
        elif end is protocol.EndReason.FAILED:
            self._record_failure(stage, index, number, target, now_s)
        if job.final or index in stage.done:
            for dropped in job.drop_finished(stage.occurrence):
                self.stages_by_key.pop(dropped.key, None)
            return
        if stage.gang:
            # The other members can't continue alone; stopping them frees their
            # resources sooner.
            for run in stage.all_runs():
                if run.number == number:
                    self.stop_run(run, now_s)
            if not stage.runs:
                stage.pending = stage.done.invert(stage.step.count)
        elif index not in stage.runs:
            stage.pending.add(index)
        # A stage whose dependencies aren't known to be done waits for them.
        if stage.pending and stage.sort_key:
            self.ready.add(stage)

    def _mark_done(self, stage: jobs.Stage, index: int, now_s: float) -> None:
        if index in stage.done:
            return
        if stage.gang:
            stage.done = indexsets.IndexSet.full(stage.step.count)
            stage.pending.clear()
        else:
            stage.done.add(index)
            stage.pending.discard(index)
            stage.checkpoints.pop(index, None)
            stage.preemptions.pop(index, None)
        crashes.clear(stage, index)
        stage.done_since_crash += 1
        job = stage.job
        self.mark_changed(job)
        if not stage.gang:
            # Other copies of a speculative task are superfluous now.
            for run in stage.runs.get(index, []):
                self.stop_run(run, now_s)
        if not stage.finished:
            return
        self.ready.pop(stage.sort_key)
        if job.final:
            return
        if job.is_complete():
            self.finish_job(job, jobs.Phase.COMPLETED, now_s, "all tasks done")
            return
        for other in job.list_stages(stage.occurrence):
            if not other.ready_s:
                self.enqueue(other, now_s)

    def _record_failure(
        self,
        stage: jobs.Stage,
        index: int,
        number: int,
        target: fleet.Target,
        now_s: float,
    ) -> None:
        job = stage.job
        failed = stage.failures.get(stage.failure_key(index), set())
        if number in failed:
            return
        stage.avoided_targets.add(target.id)
        stage.last_failed_s = now_s
        # Tasks that last may fail any number of times, so nothing is counted.
        if not stage.step.long_running:
            failed.add(number)
            stage.failures[stage.failure_key(index)] = failed
            self.mark_changed(job)
        if target.record_failed_run(job.id, bool(stage.done), now_s):
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
            self.finish_job(job, jobs.Phase.FAILED, now_s, reason)

    def finish_job(
        self, job: jobs.Job, phase: jobs.Phase, now_s: float, reason: str
    ) -> None:
        """Ends a job in a final phase and stops its runs."""
        job.phase = phase
        job.ended_s = now_s
        self._unstarted.pop(job.id, None)
        self.mark_changed(job)
        self.log.note("ended", id=job.id, phase=phase.value, reason=reason)
        for stage in job.stages.values():
            stage.pending.clear()
            self.ready.pop(stage.sort_key)
            self.stages_by_key.pop(stage.key, None)
            for run in stage.all_runs():
                if phase is not jobs.Phase.COMPLETED:
                    self.stop_run(run, now_s)

    def mark_changed(self, job: jobs.Job) -> None:
        """Adds a job to those whose progress must be stored."""
        job.revision += 1
        self.changed_jobs[job.id] = job

    def stop_run(self, run: jobs.Run, now_s: float) -> None:
        """Stops a run; its resources stay allocated until its end."""
        if run.state is jobs.RunState.RUNNING:
            run.state = jobs.RunState.STOPPING
        key = (run.task, run.number)
        # A command may get lost; lease renewals that still list the run get
        # here again and repeat it.
        if now_s - self._stops_sent_s.get(key, float("-inf")) < STOP_RETRY_S:
            return
        self._stops_sent_s[key] = now_s
        self.commands.stops.append(
            StopCommand(run.target_id, run.task, run.number)
        )
