"""The decider: turns the state of jobs and targets into commands.

It uses no network and no greenlets. The leader passes events to it and carries
out the commands that `collect_commands` returns.
"""

import typing

from quetzalswitch import nodelog
from quetzalswitch.acceptance import submissions
from quetzalswitch.decision import advice
from quetzalswitch.decision import clusterstate
from quetzalswitch.decision import crashes
from quetzalswitch.decision import fleet
from quetzalswitch.decision import jobs
from quetzalswitch.decision import losses
from quetzalswitch.decision import passes
from quetzalswitch.decision import unknown_jobs
from quetzalswitch.execution import protocol


class Decider(clusterstate.ClusterState):
    """Makes the scheduling decisions for all targets during one epoch.

    Attributes:
        unknown_jobs: Runs and ends that targets list of unknown jobs.
        next_tokens: First fencing token of the next session, by target, if
            there was a session in this epoch.
    """

    def __init__(self, epoch: int, log: nodelog.NodeLog):
        super().__init__(epoch, log)
        self.unknown_jobs = unknown_jobs.UnknownJobs()
        self.next_tokens: dict[str, int] = {}

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
        """Adds an accepted job, and the runs and ends that targets list of it.

        A job whose stored progress can't be read is not added.
        See `ClusterState.add_job` for the arguments.
        """
        if self.unknown_jobs.is_unreadable(submission.id):
            return
        super().add_job(
            submission, now_s, wall_ms, inherited, progress, cancelled
        )
        for target_id, listed in self.unknown_jobs.pop(submission.id):
            target = self.targets.get(target_id)
            match listed:
                case _ if target is None:
                    pass
                case protocol.EndedRun():
                    self._apply_end(target, listed, now_s)
                case protocol.RunningRun():
                    self._apply_running(target, listed, now_s)

    def is_loaded(self, job_id: str) -> bool:
        """Returns whether a job was added, or left out as unreadable."""
        return job_id in self.jobs or self.unknown_jobs.is_unreadable(job_id)

    def knows(self, job_id: str) -> bool:
        """Returns whether a stored job needs no reading any more."""
        return job_id in self.completed_jobs or self.is_loaded(job_id)

    # Targets

    def register(
        self, registration: fleet.Registration, now_s: float
    ) -> fleet.Target:
        """Adds a target or applies its changed registration."""
        target = self.targets.get(registration.id)
        if target is None:
            target = fleet.Target(registration)
            self.targets[registration.id] = target
            self.log.note(
                "target_in",
                target=target.id,
                address=registration.address,
                born=registration.boot_ms,
            )
        elif registration.draining and not target.registration.draining:
            self.log.note("target_draining", target=target.id)
        if registration.capacity != target.registration.capacity:
            self.log.note(
                "target_resized",
                target=target.id,
                capacity=list(registration.capacity),
                previous=list(target.registration.capacity),
                used=[target.cpu, target.memory_mb, target.accelerators],
            )
        target.registration = registration
        target.registered = True
        return target

    def remove_target(self, target_id: str, reason: str, now_s: float) -> None:
        """Removes a target that is known to be gone and ends its runs."""
        target = self.targets.pop(target_id, None)
        if target is None:
            return
        self.unknown_jobs.drop_runs(target_id)
        self.log.note(
            "target_out", target=target_id, reason=reason, runs=len(target.runs)
        )
        losses.lose_runs(
            self, target, list(target.runs.values()), reason, now_s
        )
        crashes.record_crash(self, target_id, now_s, certain=False)

    def apply_handover(
        self,
        runs_by_target: dict[str, list[tuple[str, int]]],
        unresponsive: typing.Container[str],
        now_s: float,
    ) -> bool:
        """Applies the previous decider's state of unresponsive targets.

        Args:
            runs_by_target: Task and run number of all runs that were possibly
                active, or whose end was possibly not stored, when the previous
                decider had stopped deciding.
            unresponsive: Targets that have not answered this decider yet.
            now_s: Monotonic time.

        Returns:
            Whether all runs of earlier deciders are known now.
        """
        unconfirmed = []
        for target_id, runs in runs_by_target.items():
            target = self.targets.get(target_id)
            for task, number in runs:
                if task.partition(".")[0] in self.completed_jobs:
                    continue
                location = self.find_stage(task)
                if target is None or location is None:
                    return False
                if not target.synced and target_id in unresponsive:
                    unconfirmed.append((target, location, number))
        for target, (stage, index), number in unconfirmed:
            key = (f"{stage.key}.{index}", number)
            if index in stage.done or key in target.runs:
                continue
            # The run ends if a renewal doesn't list it or all leases expire.
            run = jobs.Run(stage, index, number, target.id, now_s)
            run.state = jobs.RunState.UNKNOWN
            self.add_run(target, run)
        self.reconciled = True
        return True

    def expire_leases(
        self, target: fleet.Target, now_s: float, starts_expired: bool = True
    ) -> None:
        """Ends the runs of a target whose leases are known to have expired.

        Args:
            target: The target.
            now_s: Monotonic time.
            starts_expired: Whether starts without an answer expired too.
        """
        if target.runs:
            self.log.note(
                "leases_lapsed", target=target.id, runs=len(target.runs)
            )
        self.unknown_jobs.drop_runs(target.id)
        losses.expire_runs(self, target, now_s, starts_expired)

    def handle_replaced(self, target: fleet.Target, now_s: float) -> None:
        """Ends the runs of a target whose address another target has."""
        self.unknown_jobs.drop_runs(target.id)
        losses.lose_sent_runs(self, target, "target replaced", now_s)
        crashes.record_crash(self, target.id, now_s)

    def apply_lease_renewal(
        self,
        target: fleet.Target,
        answer: protocol.RenewAnswer,
        token: int,
        sent_s: float,
        now_s: float,
        last_applied_end: int,
    ) -> list[clusterstate.ReportedEnd]:
        """Applies the active and ended runs that a target reports.

        Args:
            target: The target.
            answer: Its answer to a lease renewal.
            token: Fencing token of that renewal.
            sent_s: When the renewal was sent.
            now_s: Monotonic time.
            last_applied_end: Highest number of an end that was applied before.

        Returns:
            The new ends; each may be acknowledged once the job's revision is
            stored.
        """
        restarted = answer.boot_ms != target.boot_ms
        if restarted and target.boot_ms:
            losses.lose_runs_in_restart(self, target, answer, sent_s, now_s)
        crashes.resolve_loss(self, target, answer.boot_ms, now_s)
        if restarted:
            target.begin_incarnation(answer.boot_ms, now_s)
        target.synced = target.synced or answer.complete
        target.mark_answering(now_s)
        losses.report_outliving(self, target, answer)
        listed = set()
        new_ends = []
        for ended in answer.ended:
            listed.add((ended.task, ended.run))
            if ended.number > last_applied_end:
                new_ends.append(self._apply_end(target, ended, now_s))
        for running in answer.running:
            listed.add((running.task, running.run))
            self._apply_running(target, running, now_s)
        if not answer.complete:
            # The end of a run that is not listed may come later.
            return new_ends
        for key, run in list(target.runs.items()):
            if key not in listed:
                self._check_missing(target, run, token, sent_s, now_s)
        self.unknown_jobs.drop_runs(target.id, listed)
        return new_ends

    def handle_start_confirmed(self, run: jobs.Run, now_s: float) -> None:
        """Records that a target confirmed a start."""
        if run.state is jobs.RunState.STARTING:
            run.state = jobs.RunState.RUNNING
            run.progress_s = now_s
        run.confirmed_s = now_s
        self.record_begun(run.stage.job)

    def handle_start_unknown(self, run: jobs.Run) -> None:
        """Records that a start got no answer; its resources stay allocated."""
        if run.state is jobs.RunState.STARTING:
            run.state = jobs.RunState.UNKNOWN
            self.log.note(
                "start_unknown",
                task=run.task,
                run=run.number,
                target=run.target_id,
                token=run.token,
            )

    def handle_start_rejected(
        self, run: jobs.Run, reason: protocol.Rejection | str, now_s: float
    ) -> None:
        """Ends a run whose start is known not to have been carried out."""
        target = self.targets.get(run.target_id)
        text = reason if isinstance(reason, str) else reason.value
        self.log.note(
            "start_rejected",
            task=run.task,
            run=run.number,
            target=run.target_id,
            reason=text,
        )
        if target is None:
            return
        match reason:
            case protocol.Rejection.INVALID_TICKET:
                if run.stage.tickets:
                    run.stage.tickets.pop(run.target_id, None)
            case protocol.Rejection.UNHEALTHY:
                target.quarantine(now_s)
            case protocol.Rejection():
                target.pause(now_s)
        self.finish_run(target, run, protocol.EndReason.STOPPED, "", now_s)

    @property
    def catalogue_version(self) -> int:
        """Version of the configuration in force; 0 before the first one."""
        return self.catalogue.version if self.catalogue else 0

    # Passes

    def schedule(self, now_s: float) -> None:
        """Runs a scheduling pass: starts the pending tasks that fit."""
        if self.catalogue is not None:
            passes.run_pass(self, now_s)

    def start(
        self,
        stage: jobs.Stage,
        index: int,
        number: int,
        target: fleet.Target,
        ticket: str,
        now_s: float,
    ) -> None:
        """Adds a start command; its resources are allocated from here on."""
        run = jobs.Run(stage, index, number, target.id, now_s)
        run.ticket = ticket
        if ticket:
            self.advice_use.record_start(stage.key, ticket)
        run.isolated = crashes.needs_trial(stage, index)
        run.checkpoint = stage.checkpoints.get(
            stage.failure_key(index) if stage.gang else index, ""
        )
        self.add_run(target, run)
        stage.trial_waits_s.pop(index, None)
        self.commands.starts.append(run)
        self.log.note(
            "start",
            task=run.task,
            run=number,
            target=target.id,
            team=stage.job.submission.team,
            free=target.free_capacity()[0],
            alone=run.isolated,
            contact_age=round(now_s - target.last_contact_s, 3),
            waited=round(now_s - stage.ready_s, 3),
            catalogue=self.catalogue_version,
        )

    def next_run_number(self) -> int:
        """Returns a run number higher than all previous ones."""
        self._next_run += 1
        return self._next_run

    def request_advice(self, request: advice.AdviceRequest) -> None:
        """Adds a call to the advice service to the commands."""
        self.stages_by_key[request.stage_key].advice_requested = True
        self.commands.advice_requests.append(request)

    def apply_advice(
        self,
        request: advice.AdviceRequest,
        answer: protocol.AdviceAnswer | None,
        now_s: float,
    ) -> None:
        """Applies an answer of the advice service; None: the call failed."""
        stage = self.stages_by_key.get(request.stage_key)
        if stage is None:
            return
        stage.advice_requested = False
        if answer is None:
            self.advisers.record_failure(request.adviser, now_s)
            return
        queue = self.queue_of(stage.job)
        is_first_answer = stage.tickets is None
        if is_first_answer:
            self.advisers.record_answer(
                queue.name, len(request.target_ids), len(answer.tickets)
            )
            stage.tickets = {}
        valid_s = answer.valid_s
        if valid_s is None:
            valid_s = queue.advice.valid_ms / 1000 if queue.advice else 0.0
        self.advice_use.record_answer(
            stage.key,
            queue.name,
            len(request.target_ids),
            answer.tickets.values(),
            now_s + valid_s,
        )
        for target_id in request.target_ids:
            ticket = answer.tickets.get(target_id)
            if ticket is None:
                stage.refused_targets.add(target_id)
                stage.tickets.pop(target_id, None)
            else:
                stage.tickets[target_id] = (ticket, now_s + valid_s)

    def retry_end(
        self, target: fleet.Target, end: clusterstate.ReportedEnd, now_s: float
    ) -> clusterstate.ReportedEnd:
        """Applies an end whose job was unknown, if the job is known now."""
        if self.find_listed_stage(end.ended.task) is None:
            return end
        return self._apply_end(target, end.ended, now_s)

    def _apply_end(
        self, target: fleet.Target, ended: protocol.EndedRun, now_s: float
    ) -> clusterstate.ReportedEnd:
        self.log.note(
            "end",
            task=ended.task,
            run=ended.run,
            target=target.id,
            end=ended.end.value,
            number=ended.number,
        )
        run = target.runs.get((ended.task, ended.run))
        if run is not None:
            job = run.stage.job
            self.record_begun(job)
            self.finish_run(target, run, ended.end, ended.checkpoint, now_s)
            return clusterstate.ReportedEnd(ended, job, job.revision)
        found = self.find_listed_stage(ended.task)
        if found is None:
            unknown_jobs.seek(self, target, ended)
            return clusterstate.ReportedEnd(ended, None, 0)
        stage, index = found
        self.record_begun(stage.job)
        if ended.checkpoint and index not in stage.checkpoints:
            stage.checkpoints[
                stage.failure_key(index) if stage.gang else index
            ] = ended.checkpoint
        self.record_end(stage, index, ended.run, ended.end, target, now_s)
        return clusterstate.ReportedEnd(ended, stage.job, stage.job.revision)

    def _apply_running(
        self, target: fleet.Target, running: protocol.RunningRun, now_s: float
    ) -> None:
        run = target.runs.get((running.task, running.run))
        if run is None:
            run = self._adopt(target, running, now_s)
            if run is None:
                return
        self.record_begun(run.stage.job)
        if running.checkpoint:
            run.checkpoint = running.checkpoint
        if running.percent != run.percent:
            run.percent = running.percent
            run.progress_s = now_s
        if run.state in (jobs.RunState.STARTING, jobs.RunState.UNKNOWN):
            run.state = jobs.RunState.RUNNING
            run.confirmed_s = now_s
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
        """Adds a run that an earlier decider started.

        Returns None if its job is unknown, and stops the run if there is no
        such job.
        """
        found = self.find_listed_stage(running.task)
        if found is None:
            unknown_jobs.seek(self, target, running)
            if unknown_jobs.is_missing(self, running.task):
                self.commands.stops.append(
                    clusterstate.StopCommand(
                        target.id, running.task, running.run
                    )
                )
            return None
        stage, index = found
        others = stage.runs.get(index, [])
        run = jobs.Run(stage, index, running.run, target.id, now_s)
        run.state = jobs.RunState.RUNNING
        run.confirmed_s = now_s
        run.isolated = crashes.needs_trial(stage, index)
        self.add_run(target, run)
        self.log.note(
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
        """Ends a run that a target doesn't list, if it is known to be gone."""
        if run.state is jobs.RunState.UNKNOWN:
            # Once it has seen this token, the target rejects the older start.
            confirmed_gone = run.token < token
        elif run.state is jobs.RunState.STARTING:
            confirmed_gone = False
        else:
            confirmed_gone = run.confirmed_s < sent_s
        if confirmed_gone:
            self.log.note(
                "run_missing",
                task=run.task,
                run=run.number,
                target=target.id,
                state=run.state.value,
                token=token,
            )
            self.finish_run(
                target, run, protocol.EndReason.LEASE_EXPIRED, "", now_s
            )
