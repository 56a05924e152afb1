"""The decider: turns what is known of jobs and targets into orders.

It has no network and no greenlets. The deciding entry calls it with events and
carries out the orders that `collect` returns.
"""

import typing

import sortedcontainers

from quetzalswitch import nodelog
from quetzalswitch.acceptance import catalogue
from quetzalswitch.acceptance import submissions
from quetzalswitch.decision import advice
from quetzalswitch.decision import fleet
from quetzalswitch.decision import jobs
from quetzalswitch.decision import passes
from quetzalswitch.decision import quotas
from quetzalswitch.execution import protocol

# Run numbers of an epoch start at the epoch shifted by this, so that they rise
# over takeovers without a write for each start.
RUNS_PER_EPOCH_BITS: typing.Final = 24
# A run whose reported progress stands still for this long is moved. Slowed
# targets (a factor of 6.5) report a new percentage of the longest usual task
# (12 s) every 0.8 s.
STALL_LIMIT_S: typing.Final = 2.0
# Completed work is shown once it is stored, which takes 15 ms, or after this.
SHOW_DELAY_S: typing.Final = 0.1


class Stop(typing.NamedTuple):
    """An order to stop a run."""

    target_id: str
    task: str
    run: int


class Orders(typing.NamedTuple):
    """What the deciding entry is to carry out."""

    starts: list[jobs.Run]
    stops: list[Stop]
    questions: list[advice.Question]


class Decider:
    """Decides for all targets while its epoch lasts.

    Attributes:
        jobs: Accepted work by ID.
        targets: Targets by ID.
        changed: Jobs with progress that must be stored.
        usage: Room that each team uses.
        ready: Stages that may start, most urgent first.
        settled: Whether every run of earlier deciders has been found or has
            surely ended.
    """

    def __init__(self, epoch: int, log: nodelog.NodeLog):
        self.epoch = epoch
        self.jobs: dict[str, jobs.Job] = {}
        self.targets: dict[str, fleet.Target] = {}
        self.changed: dict[str, jobs.Job] = {}
        self.usage = quotas.Usage()
        self.advisers = advice.Advisers()
        self.catalogue: catalogue.Catalogue | None = None
        self.evacuated: set[str] = set()
        self.settled = False
        self.ready: sortedcontainers.SortedDict = sortedcontainers.SortedDict()
        self._log = log
        self._stages: dict[str, jobs.Stage] = {}
        self._timed: dict[str, jobs.Job] = {}
        self._orders = Orders([], [], [])
        self._next_run = epoch << RUNS_PER_EPOCH_BITS
        self._stop_times: dict[tuple[str, int], float] = {}

    def collect(self) -> Orders:
        """Returns the orders decided since the last call."""
        orders, self._orders = self._orders, Orders([], [], [])
        return orders

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
            self._enqueue(stage, now_s - age_s)

    def cancel(self, job_id: str, now_s: float) -> None:
        """Ends a job at its caller's request; ended work stays as it is."""
        job = self.jobs.get(job_id)
        if job is None or job.cancelled or job.shown in jobs.FINAL:
            return
        job.cancelled = True
        self._end_job(job, jobs.Phase.CANCELLED, now_s, "cancelled by caller")
        # The cancellation itself is stored, so it may be shown at once.
        job.shown = jobs.Phase.CANCELLED

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
                    self._enqueue(stage, now_s)
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
        for job in self.jobs.values():
            if not job.started and not job.final:
                name = job.submission.queue.name
                counts[name] = counts.get(name, 0) + 1
        return counts

    def note_stored(self, job: jobs.Job, change: int) -> None:
        """Notes that the store holds a job's progress up to a change."""
        job.stored_change = max(job.stored_change, change)
        if job.change == job.stored_change:
            if job.final and job.shown is not jobs.Phase.CANCELLED:
                if job.shown is not job.phase:
                    self._log.write("shown", id=job.id, phase=job.phase.value)
                job.shown = job.phase
            self.changed.pop(job.id, None)

    def show_early(self, now_s: float) -> None:
        """Shows completed work that a slow store has not confirmed yet.

        Its ends stay listed at the targets until they are stored, so a new
        decider finds them there.
        """
        for job in self.changed.values():
            if (
                job.phase is jobs.Phase.COMPLETED
                and job.shown is not jobs.Phase.COMPLETED
                and now_s - job.ended_s > SHOW_DELAY_S
            ):
                job.shown = jobs.Phase.COMPLETED
                self._log.write("shown_early", id=job.id)

    # Targets

    def register(
        self, registration: fleet.Registration, now_s: float
    ) -> fleet.Target:
        """Adds a target or applies what it now says of itself."""
        target = self.targets.get(registration.id)
        if target is None:
            target = fleet.Target(registration)
            self.targets[registration.id] = target
            self._log.write("target_in", target=target.id)
        elif registration.draining and not target.registration.draining:
            self._log.write("target_draining", target=target.id)
        target.registration = registration
        target.registered = True
        return target

    def forget_target(self, target_id: str, reason: str, now_s: float) -> None:
        """Drops a target that is surely gone, with all that ran there."""
        target = self.targets.pop(target_id, None)
        if target is None:
            return
        self._log.write(
            "target_out", target=target_id, reason=reason, runs=len(target.runs)
        )
        for run in list(target.runs.values()):
            self._finish(target, run, protocol.End.LAPSED, "", now_s)

    def lapse(self, target: fleet.Target, now_s: float) -> None:
        """Notes that every lease on a target has surely ended."""
        if target.runs:
            self._log.write(
                "leases_lapsed", target=target.id, runs=len(target.runs)
            )
        target.synced = False
        for run in list(target.runs.values()):
            if run.state is not jobs.RunState.STARTING:
                self._finish(target, run, protocol.End.LAPSED, "", now_s)

    def apply_hold(
        self,
        target: fleet.Target,
        answer: protocol.HoldAnswer,
        token: int,
        sent_s: float,
        now_s: float,
        seen_end: int,
    ) -> list[tuple[int, jobs.Job | None, int]]:
        """Applies what a target runs and what has ended there.

        Args:
            target: The target.
            answer: Its answer to a hold.
            token: Fencing token of that hold.
            sent_s: When the hold was sent.
            now_s: Monotonic time.
            seen_end: Highest number of an end that was applied before.

        Returns:
            Number, job and the job's change for each new end; the end may be
            acknowledged once that change is stored.
        """
        if answer.born_ms != target.born_ms:
            if target.born_ms:
                self._lose_runs(target, now_s)
            target.born_ms = answer.born_ms
        target.synced = True
        target.contact_s = now_s
        listed = set()
        new_ends = []
        for ended in answer.ended:
            listed.add((ended.task, ended.run))
            if ended.number > seen_end:
                new_ends.append(self._apply_end(target, ended, now_s))
        for running in answer.running:
            listed.add((running.task, running.run))
            self._apply_running(target, running, now_s)
        for key, run in list(target.runs.items()):
            if key not in listed:
                self._check_missing(target, run, token, sent_s, now_s)
        return new_ends

    def note_started(self, run: jobs.Run, now_s: float) -> None:
        """Notes that a target confirmed a start."""
        if run.state is jobs.RunState.STARTING:
            run.state = jobs.RunState.RUNNING
            run.progress_s = now_s
        run.answered_s = now_s

    def note_unknown(self, run: jobs.Run) -> None:
        """Notes that a start got no answer; its room stays taken."""
        if run.state is jobs.RunState.STARTING:
            run.state = jobs.RunState.UNKNOWN
            self._log.write(
                "start_unknown",
                task=run.task,
                run=run.number,
                target=run.target_id,
                token=run.token,
            )

    def note_rejected(
        self, run: jobs.Run, reason: protocol.Rejection | str, now_s: float
    ) -> None:
        """Notes that a start was surely not carried out."""
        target = self.targets.get(run.target_id)
        text = reason if isinstance(reason, str) else reason.value
        self._log.write(
            "start_rejected",
            task=run.task,
            run=run.number,
            target=run.target_id,
            reason=text,
        )
        if reason is protocol.Rejection.NO_TICKET and run.stage.tickets:
            run.stage.tickets.pop(run.target_id, None)
        if reason is protocol.Rejection.UNHEALTHY and target is not None:
            target.set_aside(now_s)
        if target is not None:
            self._finish(target, run, protocol.End.STOPPED, "", now_s)

    # Passes

    def place(self, now_s: float) -> None:
        """Decides which waiting tasks start now, and where."""
        if self.catalogue is not None:
            passes.run_pass(self, now_s)

    def move_stalled(self, now_s: float) -> None:
        """Stops runs that make no progress, to run them elsewhere."""
        for target in self.targets.values():
            if now_s - target.contact_s > 0.5:
                continue
            for run in list(target.runs.values()):
                self._check_progress(target, run, now_s)

    def start(
        self,
        stage: jobs.Stage,
        index: int,
        number: int,
        target: fleet.Target,
        ticket: str,
        now_s: float,
    ) -> None:
        """Decides a start; its room counts as taken from here on."""
        run = jobs.Run(stage, index, number, target.id, now_s)
        run.ticket = ticket
        run.checkpoint = stage.checkpoints.get(
            stage.failure_key(index) if stage.gang else index, ""
        )
        self._add_run(target, run)
        self._orders.starts.append(run)
        self._log.write(
            "start",
            task=run.task,
            run=number,
            target=target.id,
            team=stage.job.submission.team,
            free=target.free()[0],
            contact_age=round(now_s - target.contact_s, 3),
            waited=round(now_s - stage.ready_s, 3),
            catalogue=self.catalogue.version if self.catalogue else 0,
        )

    def next_run_number(self) -> int:
        """Returns a run number higher than all before."""
        self._next_run += 1
        return self._next_run

    def ask(self, question: advice.Question) -> None:
        """Decides a call for advice."""
        self._stages[question.stage_key].asked = True
        self._orders.questions.append(question)

    def apply_advice(
        self,
        question: advice.Question,
        answer: protocol.AdviceAnswer | None,
        now_s: float,
    ) -> None:
        """Applies an answer of the advice service; None if there was none."""
        stage = self._stages.get(question.stage_key)
        if stage is None:
            return
        stage.asked = False
        if answer is None:
            self.advisers.note_failure(question.adviser, now_s)
            return
        queue = self.queue_of(stage.job)
        first = stage.tickets is None
        if first:
            self.advisers.note_answer(
                queue.name, len(question.target_ids), len(answer.tickets)
            )
            stage.tickets = {}
        valid_s = answer.valid_s
        if valid_s is None:
            valid_s = queue.advice.valid_ms / 1000 if queue.advice else 0.0
        for target_id in question.target_ids:
            ticket = answer.tickets.get(target_id)
            if ticket is None:
                stage.refused_targets.add(target_id)
                stage.tickets.pop(target_id, None)
            else:
                stage.tickets[target_id] = (ticket, now_s + valid_s)

    # Internal

    def _enqueue(self, stage: jobs.Stage, since_s: float) -> None:
        if stage.finished or not stage.job.is_ready(stage):
            return
        self._stages[stage.key] = stage
        queue = self.queue_of(stage.job)
        chain_s = queue.stretch * stage.step.estimate_ms / 1000
        due_s = since_s + chain_s + queue.target_latency_ms / 1000
        stage.ready_s = since_s
        stage.order = (queue.priority, due_s, stage.key)
        self.ready[stage.order] = stage

    def _add_run(self, target: fleet.Target, run: jobs.Run) -> None:
        stage = run.stage
        stage.runs.setdefault(run.index, []).append(run)
        stage.pending.discard(run.index)
        stage.job.started = True
        if stage.job.phase is jobs.Phase.QUEUED:
            stage.job.phase = jobs.Phase.RUNNING
            if stage.job.shown is jobs.Phase.QUEUED:
                stage.job.shown = jobs.Phase.RUNNING
        target.runs[run.task, run.number] = run
        target.take(stage.step.need)
        self.usage.take(stage.job.submission.team, stage.step.need)

    def _finish(
        self,
        target: fleet.Target,
        run: jobs.Run,
        end: protocol.End,
        checkpoint: str,
        now_s: float,
    ) -> None:
        """Frees a run's room and decides what follows from its end."""
        stage = run.stage
        if target.runs.pop((run.task, run.number), None) is None:
            return
        target.release(stage.step.need)
        self.usage.release(stage.job.submission.team, stage.step.need)
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
        self._record_end(stage, run.index, run.number, end, target, now_s)

    def _record_end(
        self,
        stage: jobs.Stage,
        index: int,
        number: int,
        end: protocol.End,
        target: fleet.Target,
        now_s: float,
    ) -> None:
        job = stage.job
        if end is protocol.End.DONE and not stage.step.long_running:
            target.note_done(now_s)
            self._mark_done(stage, index, now_s)
        elif end is protocol.End.FAILED:
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
                self._enqueue(other, now_s)

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
        self._touch(job)
        if target.note_failed(job.id, now_s):
            self._log.write(
                "target_set_aside", target=target.id, reason="failures"
            )
        limit = self.queue_of(job).max_attempts
        self._log.write(
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
        self._touch(job)
        self._log.write("ended", id=job.id, phase=phase.value, reason=reason)
        for stage in job.stages.values():
            stage.pending.clear()
            self.ready.pop(stage.order, None)
            self._stages.pop(stage.key, None)
            for run in stage.all_runs():
                if phase is not jobs.Phase.COMPLETED:
                    self.stop_run(run, now_s)

    def _touch(self, job: jobs.Job) -> None:
        job.change += 1
        self.changed[job.id] = job

    def stop_run(self, run: jobs.Run, now_s: float) -> None:
        """Decides to stop a run; its room stays taken until its end."""
        if run.state is jobs.RunState.RUNNING:
            run.state = jobs.RunState.STOPPING
        key = (run.task, run.number)
        # An order may get lost, so it is repeated with a later hold.
        if now_s - self._stop_times.get(key, float("-inf")) < 0.4:
            return
        self._stop_times[key] = now_s
        self._orders.stops.append(Stop(run.target_id, run.task, run.number))

    def _lose_runs(self, target: fleet.Target, now_s: float) -> None:
        self._log.write(
            "target_restarted", target=target.id, runs=len(target.runs)
        )
        for run in list(target.runs.values()):
            if run.state in (jobs.RunState.RUNNING, jobs.RunState.STOPPING):
                self._finish(target, run, protocol.End.LAPSED, "", now_s)

    def _find_stage(self, task: str) -> tuple[jobs.Stage, int] | None:
        name = jobs.parse_task(task)
        if name is None:
            return None
        job = self.jobs.get(name[0])
        if job is None:
            return None
        stage = job.stages.get((name[1], name[2]))
        return (stage, name[3]) if stage is not None else None

    def _apply_end(
        self, target: fleet.Target, ended: protocol.EndedRun, now_s: float
    ) -> tuple[int, jobs.Job | None, int]:
        self._log.write(
            "end",
            task=ended.task,
            run=ended.run,
            target=target.id,
            end=ended.end.value,
            number=ended.number,
        )
        run = target.runs.get((ended.task, ended.run))
        if run is not None:
            self._finish(target, run, ended.end, ended.checkpoint, now_s)
            job = run.stage.job
            return ended.number, job, job.change
        found = self._find_stage(ended.task)
        if found is None:
            return ended.number, None, 0
        stage, index = found
        if ended.checkpoint and index not in stage.checkpoints:
            stage.checkpoints[
                stage.failure_key(index) if stage.gang else index
            ] = ended.checkpoint
        self._record_end(stage, index, ended.run, ended.end, target, now_s)
        return ended.number, stage.job, stage.job.change

    def _apply_running(
        self, target: fleet.Target, running: protocol.RunningRun, now_s: float
    ) -> None:
        run = target.runs.get((running.task, running.run))
        if run is None:
            run = self._adopt(target, running, now_s)
            if run is None:
                return
        if running.checkpoint:
            run.checkpoint = running.checkpoint
        if running.percent != run.percent:
            run.percent = running.percent
            run.progress_s = now_s
        if run.state in (jobs.RunState.STARTING, jobs.RunState.UNKNOWN):
            run.state = jobs.RunState.RUNNING
            run.answered_s = now_s
            run.progress_s = now_s
        job = run.stage.job
        if (
            run.index in run.stage.done
            and not run.stage.gang
            or job.final
            and job.phase is not jobs.Phase.COMPLETED
            or run.state is jobs.RunState.STOPPING
        ):
            self.stop_run(run, now_s)

    def _adopt(
        self, target: fleet.Target, running: protocol.RunningRun, now_s: float
    ) -> jobs.Run | None:
        """Takes over a run that an earlier decider started."""
        found = self._find_stage(running.task)
        if found is None:
            self._orders.stops.append(
                Stop(target.id, running.task, running.run)
            )
            return None
        stage, index = found
        others = stage.runs.get(index, [])
        run = jobs.Run(stage, index, running.run, target.id, now_s)
        run.state = jobs.RunState.RUNNING
        run.answered_s = now_s
        self._add_run(target, run)
        self._log.write(
            "run_found", task=run.task, run=run.number, target=target.id
        )
        if stage.job.final or index in stage.done or others:
            self.stop_run(run, now_s)
        return run

    def _check_missing(
        self,
        target: fleet.Target,
        run: jobs.Run,
        token: int,
        sent_s: float,
        now_s: float,
    ) -> None:
        """Decides what it means that a target doesn't list a run."""
        if run.state is jobs.RunState.UNKNOWN:
            # The target refuses the start from this token on.
            surely_gone = run.token < token
        elif run.state is jobs.RunState.STARTING:
            surely_gone = False
        else:
            surely_gone = run.answered_s < sent_s
        if surely_gone:
            self._log.write(
                "run_missing",
                task=run.task,
                run=run.number,
                target=target.id,
                state=run.state.value,
                token=token,
            )
            self._finish(target, run, protocol.End.LAPSED, "", now_s)

    def _check_progress(
        self, target: fleet.Target, run: jobs.Run, now_s: float
    ) -> None:
        if (
            run.state is not jobs.RunState.RUNNING
            or run.stage.step.long_running
            or run.stage.step.filler
            or now_s - run.progress_s < STALL_LIMIT_S
            or run.stage.job.final
        ):
            return
        self._log.write(
            "run_stalled",
            task=run.task,
            run=run.number,
            target=target.id,
            percent=run.percent,
            stalled=round(now_s - run.progress_s, 2),
        )
        run.stage.avoided.add(target.id)
        if not run.stage.gang:
            target.set_aside(now_s)
        self.stop_run(run, now_s)
