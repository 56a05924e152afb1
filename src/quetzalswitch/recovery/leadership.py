"""The leader's work during one epoch."""

import functools
import typing
from collections.abc import Callable

import gevent
import gevent.event

from quetzalswitch import clock as clocks
from quetzalswitch import exceptions
from quetzalswitch import greenlets
from quetzalswitch import nodelog
from quetzalswitch import nodemetrics
from quetzalswitch.acceptance import catalogue
from quetzalswitch.acceptance import submissions
from quetzalswitch.decision import advice
from quetzalswitch.decision import crashes
from quetzalswitch.decision import decider as deciders
from quetzalswitch.decision import fleet
from quetzalswitch.decision import jobs
from quetzalswitch.decision import stalls
from quetzalswitch.execution import leases
from quetzalswitch.execution import protocol
from quetzalswitch.execution import sessions
from quetzalswitch.execution import tenure as tenures
from quetzalswitch.platform import records
from quetzalswitch.platform import store as stores
from quetzalswitch.platform import targets as clients
from quetzalswitch.recovery import election
from quetzalswitch.recovery import inheritance
from quetzalswitch.recovery import job_states
from quetzalswitch.recovery import leader_metrics
from quetzalswitch.recovery import lost_runs
from quetzalswitch.recovery import progress
from quetzalswitch.recovery import renewals
from quetzalswitch.recovery import roster
from quetzalswitch.recovery import stored_jobs
from quetzalswitch.recovery import stored_state
from quetzalswitch.recovery import tables

TICK_S: typing.Final = 0.1
# Events within this time share a pass; short against the store's 12 ms.
PASS_BATCH_DELAY_S: typing.Final = 0.004
# Each target writes its row every 1.5 s. The pause batches these changes.
TARGET_FEED_PAUSE_S: typing.Final = 0.4
# Accepting entries send jobs to the leader; the feed covers lost messages.
JOB_FEED_PAUSE_S: typing.Final = 0.6
LOAD_RETRY_S: typing.Final = 0.15
# Reachable targets answer the first lease renewal of an epoch within this time.
FIRST_RENEWAL_WAIT_S: typing.Final = 0.2
# Added to the expected duration of a call. After that, another entry is asked.
ADVICE_TIMEOUT_S: typing.Final = 0.4
# The last confirmation that this process leads is renewed when it is this old.
# The store's feed renews it once a second, each write of progress as well.
CONFIRM_INTERVAL_S: typing.Final = 0.5


class Leadership:
    """State and greenlets of one epoch; discarded when the epoch ends.

    Attributes:
        ready: Whether all stored state has been loaded.
        decider: Makes the scheduling decisions of this epoch.
        tenure: Confirmations that this process leads.
    """

    def __init__(
        self,
        claim: election.Claim,
        store: stores.Store,
        clock: clocks.Clock,
        log: nodelog.NodeLog,
        metrics: nodemetrics.NodeMetrics,
        lease_s: float,
        lifetime: str,
        request_advice: Callable[
            [advice.AdviceRequest, float], protocol.AdviceAnswer | None
        ],
        on_deposed: Callable[[str], None],
        fetch_runs: Callable[[], dict[str, list[tuple[str, int]]] | None],
        refresh_configuration: Callable[[], bool],
        refresh_leader: Callable[[], bool],
        row_limit_bytes: int = progress.ROW_LIMIT_BYTES,
        spread_factor: float = 1.0,
    ):
        self.ready = False
        self.decider = deciders.Decider(claim.epoch, log)
        self.decider.spread_factor = spread_factor
        self._claim = claim
        self._store = store
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._lease_s = lease_s
        self._nonce = f"{claim.epoch}-{lifetime}"
        self._renewer = renewals.Renewer(
            store, clock, log, claim.epoch, lifetime, self.count_pending
        )
        self._request_advice = request_advice
        self._on_deposed = on_deposed
        self._fetch_previous_runs = fetch_runs
        self._refresh_configuration = refresh_configuration
        self._refresh_leader = refresh_leader
        self._row_limit_bytes = row_limit_bytes
        self.tenure = tenures.Tenure(clock)
        self.tenure.confirm(claim.sent)
        self._started_s = clock.now()
        self._roster = roster.Roster(
            self.decider,
            self.tenure,
            clock,
            log,
            self._open_session,
            lambda data: self._writer.set_list(tables.TARGETS_KEY, data),
            lambda: self._writer.is_list_stored(tables.TARGETS_KEY),
        )
        self._sessions = self._roster.sessions
        self._inheritance = inheritance.Inheritance(
            self.decider, self._sessions, self.tenure, log
        )
        self._followers: list[tables.Follower] = []
        self._writer: progress.ProgressWriter | None = None
        self._wake = gevent.event.Event()
        self._greenlets: list[gevent.Greenlet] = []
        self._early_jobs: list[submissions.Submission] = []
        self._early_cancels: list[str] = []
        self._stopped = False
        self._job_states = job_states.JobStateReader(self.decider)

    def start(self) -> None:
        """Starts loading the stored state; scheduling follows."""
        self._spawn(self._run)
        self._spawn(self._renewer.run)

    def stop(self) -> None:
        """Stops the sessions, followers, writer and greenlets of the epoch."""
        if self._stopped:
            return
        self._stopped = True
        self._roster.stop()
        for follower in self._followers:
            follower.stop()
        if self._writer is not None:
            self._writer.stop()
        current = gevent.getcurrent()
        for greenlet in self._greenlets:
            if greenlet is not current:
                greenlet.kill(block=False)

    def set_catalogue(self, value: catalogue.Catalogue) -> None:
        """Applies a new configuration."""
        self.decider.catalogue = value
        self._wake.set()

    def set_evacuated(self, failure_domains: set[str]) -> None:
        """Replaces the failure domains that are out of use."""
        self.decider.evacuated_domains = failure_domains
        self._wake.set()

    def set_advisers(self, names: list[str]) -> None:
        """Replaces the entries that can call the advice service."""
        self.decider.advisers.set_members(names)

    def add_job(self, submission: submissions.Submission) -> None:
        """Adds a job that is stored, now or after loading."""
        if not self.ready:
            self._early_jobs.append(submission)
            return
        self.decider.add_job(
            submission, self._clock.now(), self._clock.wall() * 1000
        )
        self._wake.set()

    def cancel(self, job_id: str) -> None:
        """Cancels a job whose cancellation is stored, now or after loading."""
        if not self.ready:
            self._early_cancels.append(job_id)
            return
        self.decider.cancel(job_id, self._clock.now())
        self._dispatch_commands()

    def count_pending(self) -> dict[str, int] | None:
        """Returns the submissions without a start by queue; None if loading."""
        return self.decider.count_pending() if self.ready else None

    def read_phase(self, job_id: str) -> jobs.Phase | None:
        """Returns a job's visible phase; None if unknown or not loaded yet."""
        if not self.ready:
            return None
        if job_id in self.decider.completed_jobs:
            return jobs.Phase.COMPLETED
        job = self.decider.jobs.get(job_id)
        if job is None:
            return None
        return self._job_states.read(job, self._sessions)

    def read_table_ages(self) -> dict[str, float]:
        """Returns how old the rows of each followed table may be, in s."""
        return {follower.table: follower.age_s for follower in self._followers}

    def list_runs(self) -> dict[str, list[tuple[str, int]]]:
        """Returns runs that may be running or whose end may not be stored."""
        return inheritance.list_runs(self.decider, self._sessions)

    def _spawn(self, function: Callable[[], None]) -> None:
        """Starts a greenlet of the epoch; resigns if an exception ends it."""
        self._greenlets.append(
            greenlets.spawn(function, self._log, self._on_deposed)
        )

    def _run(self) -> None:
        while True:
            try:
                self._load()
                break
            except exceptions.StoreUnavailableError as error:
                self._log.note("load_failed", error=str(error))
                gevent.sleep(LOAD_RETRY_S)
        self._spawn(self._tick)
        self._spawn(self._confirm_tenure)
        self._spawn(self._take_over)
        pass_s = 0.0
        while True:
            self._wake.wait()
            # A pause as long as the last pass leaves half of the CPU time to
            # commands and lease renewals under a backlog.
            gevent.sleep(max(PASS_BATCH_DELAY_S, pass_s))
            self._wake.clear()
            started_s = self._clock.now()
            self.decider.schedule(started_s)
            pass_s = self._clock.now() - started_s
            self._metrics.observe("quetzal_node_decision_seconds", pass_s)
            self._dispatch_commands()

    def _load(self) -> None:
        read = self._refresh_configuration()
        state = stored_state.read(self._store)
        self._start_writer(state.chain_version, state.lost_runs)
        stored_jobs.add_jobs(
            self.decider, state.job_rows, state.progress_rows, self._clock
        )
        if not self._roster.load(state.target_rows, state.target_list):
            self._inheritance.unknown_until_s = leases.find_inherited_expiry(
                self._clock.now(), self._lease_s
            )
        self._inheritance.targets = set(self.decider.targets)
        lost_runs.restore(self.decider, state.lost_runs, self._clock.now())
        self.ready = True
        self._log.note(
            "term_loaded",
            epoch=self._claim.epoch,
            jobs=len(self.decider.jobs),
            completed=len(self.decider.completed_jobs),
            targets=len(self.decider.targets),
            version=state.progress_version,
            catalogue=self.decider.catalogue_version,
            configuration_read=read,
            took=round(self._clock.now() - self._started_s, 3),
        )
        self._follow(
            records.TARGET_TABLE,
            [""],
            self._apply_target_rows,
            TARGET_FEED_PAUSE_S,
            state.targets_version,
        )
        self._follow(
            tables.JOB_TABLE,
            tables.JOB_PARTS,
            self._apply_job_rows,
            JOB_FEED_PAUSE_S,
            state.jobs_version,
        )
        early, self._early_jobs = self._early_jobs, []
        for submission in early:
            self.add_job(submission)
        for job_id in self._early_cancels:
            self.cancel(job_id)
        self._wake.set()

    def _take_over(self) -> None:
        """Reads from the previous leader what its targets run."""
        gevent.sleep(FIRST_RENEWAL_WAIT_S)
        if self.decider.reconciled:
            return
        runs_by_target = self._fetch_previous_runs()
        if runs_by_target is None or self.decider.reconciled:
            return
        self._inheritance.apply_handover(
            runs_by_target, self._claim.previous, self._clock.now()
        )
        self._wake.set()

    def _start_writer(self, chain_version: int, stored_runs: bytes) -> None:
        self._writer = progress.ProgressWriter(
            self._store,
            self._log,
            self.decider.changed_jobs,
            self._claim.version,
            chain_version,
            self._handle_stored,
            self._on_deposed,
            self._nonce,
            self._clock,
            self.tenure,
            {tables.LOST_RUNS_KEY: stored_runs},
            self._row_limit_bytes,
        )
        self._writer.start()

    def _follow(
        self,
        table: str,
        parts: typing.Sequence[str],
        on_rows: Callable[[list[stores.Row], bool], None],
        pause_s: float,
        version: int,
    ) -> None:
        follower = tables.Follower(
            self._store,
            table,
            parts,
            self._clock,
            self._log,
            on_rows,
            pause_s,
            version,
        )
        self._followers.append(follower)
        follower.start()

    def _apply_job_rows(self, rows: list[stores.Row], _: bool) -> None:
        present = [row for row in rows if not row.removed]
        stored_jobs.add_jobs(self.decider, present, {}, self._clock)
        for row in present:
            if row.key.endswith(tables.CANCEL_SUFFIX):
                self.cancel(row.key.removesuffix(tables.CANCEL_SUFFIX))
        self._wake.set()

    def _look_up_job(self, job_id: str) -> None:
        stored_jobs.look_up(self.decider, self._store, job_id, self._clock)
        self._handle_changes(True)

    def _apply_target_rows(self, rows: list[stores.Row], full: bool) -> None:
        self._roster.apply_rows(rows, full)
        self._wake.set()

    def _store_lost_runs(self) -> None:
        """Stores the runs that may have ended with a crash, if changed."""
        self._writer.set_list(
            tables.LOST_RUNS_KEY, lost_runs.encode(self.decider)
        )

    def _open_session(self, target: fleet.Target) -> sessions.Session:
        session = sessions.Session(
            target,
            clients.TargetClient(
                target.id, target.registration.address, self._clock
            ),
            self.decider,
            self._lease_s,
            self._clock,
            self._log,
            self._handle_changes,
            self._on_deposed,
            self.tenure,
        )
        session.start()
        return session

    def _handle_changes(self, ends: bool) -> None:
        if ends and self.decider.changed_jobs:
            self._writer.wake.set()
        self._job_states.wake()
        self._wake.set()

    def _handle_stored(self, batch: list[tuple[jobs.Job, int]]) -> None:
        self._roster.record_stored()
        for job, change in batch:
            not_visible = job.visible_phase is not jobs.Phase.COMPLETED
            self.decider.record_stored(job, change)
            if not_visible and job.visible_phase is jobs.Phase.COMPLETED:
                leader_metrics.observe_completion(
                    self.decider, self._metrics, job, self._clock.wall()
                )
        for session in self._sessions.values():
            session.stored.set()
        self._job_states.wake()

    def _dispatch_commands(self) -> None:
        """Sends the collected commands and questions; wakes the writer."""
        commands = self.decider.collect_commands()
        for stop in commands.stops:
            session = self._sessions.get(stop.target_id)
            if session is not None:
                gevent.spawn(session.send_stop, stop)
        leader_metrics.observe_waits(
            self.decider, self._metrics, commands.starts, self._clock.now()
        )
        leader_metrics.observe_near_waits(self.decider, self._metrics)
        if any(run in self.decider.suspect_runs for run in commands.starts):
            self._store_lost_runs()
        for run in commands.starts:
            session = self._sessions[run.target_id]
            gevent.spawn(session.send_start, run)
        for question in commands.advice_requests:
            gevent.spawn(self._get_advice, question)
        for job_id in commands.lookups:
            self._spawn(functools.partial(self._look_up_job, job_id))
        if self.decider.changed_jobs:
            self._writer.wake.set()

    def _get_advice(self, question: advice.AdviceRequest) -> None:
        started_s = self._clock.now()
        answer = self._request_advice(
            question, question.expected_s + ADVICE_TIMEOUT_S
        )
        leader_metrics.observe_advice(
            self.decider,
            self._metrics,
            question,
            answer is not None,
            self._clock.now() - started_s,
        )
        self.decider.apply_advice(question, answer, self._clock.now())
        self._wake.set()

    def _tick(self) -> None:
        while True:
            gevent.sleep(TICK_S)
            now_s = self._clock.now()
            self.decider.open_due(now_s, self._clock.wall() * 1000)
            self._roster.check(now_s)
            self._inheritance.check(now_s, now_s - self._started_s)
            stalls.stop_stalled_runs(self.decider, now_s)
            crashes.presume_silent(self.decider, now_s)
            leader_metrics.observe_advice_use(
                self.decider, self._metrics, now_s
            )
            self._store_lost_runs()
            self._wake.set()

    def _confirm_tenure(self) -> None:
        while True:
            gevent.sleep(TICK_S)
            if self.tenure.age_s > CONFIRM_INTERVAL_S:
                self._refresh_leader()
