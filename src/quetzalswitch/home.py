"""The home task: accepted requests, their records and their answers."""

import functools
import typing

import gevent
import gevent.event

from quetzalswitch import answers
from quetzalswitch import clock as clocks
from quetzalswitch import events
from quetzalswitch import exceptions
from quetzalswitch import journal as journals
from quetzalswitch import placements
from quetzalswitch import records
from quetzalswitch import retries
from quetzalswitch import tasks
from quetzalswitch import tracking
from quetzalswitch import writing

# A finished request stays in memory this long; a durable one can be read from
# the table after that.
RETENTION_S = 60.0
CREATE_TIMEOUT_S = 3.0
# The entry that controls a target abandons a job by the rules of quarantine.
# This bounds a job whose failures are seen by many entries.
MAX_FAILED_TARGETS = 5
# A target whose control was lost refuses starts until the loss is noticed, at
# most a long poll later; without a delay a gang used up its rounds meanwhile.
RESTART_DELAY_S = 0.25
# Bounds the work spent on a job that keeps losing its target.
MAX_ROUNDS = 20


class Home(tasks.Task):
    """Owns the requests that this process has accepted.

    Args:
        clock: Source of time.
        journal: Durable records.
        to_placer: Gives a message to the placer.
        to_reporter: Acknowledges an outcome to whoever reported it.
        to_recovery: Gives a message to the recovery task.
        observe: Records an event for history and metrics: (name, fields).
        retry_table: Budget and backoff of retries.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        journal: journals.Journal,
        to_placer: typing.Callable[[typing.Any], None],
        to_reporter: typing.Callable[[events.Outcome], None],
        to_recovery: typing.Callable[[events.Hold], None],
        observe: typing.Callable[..., None],
        retry_table: retries.Retries | None = None,
    ):
        super().__init__("home")
        self._clock = clock
        self._journal = journal
        self._to_placer = to_placer
        self._to_reporter = to_reporter
        self._to_recovery = to_recovery
        self._observe = observe
        self._writer = writing.RowWriter(clock, journal, self.post, observe)
        self._retries = retry_table or retries.Retries(clock)
        self._entries: dict[str, tracking.Tracked] = {}

    def find(self, request_key: str) -> tracking.Tracked | None:
        """Returns the entry of a request that is in memory."""
        return self._entries.get(request_key)

    def open_entries(self) -> list[tracking.Tracked]:
        """Returns the requests that have not reached their final state."""
        return [e for e in self._entries.values() if not e.done.is_set()]

    def sweep(self) -> None:
        """Asks the task to drop requests that finished a while ago."""
        self.post(tracking.Sweep())

    def handle(self, message: typing.Any) -> None:
        """Handles one message."""
        match message:
            case tracking.Accept():
                self._accept(message)
            case tracking.Created():
                self._place_created(message)
            case tracking.Written():
                self._writer.finish_write(message)
            case tracking.CancelRequest(request_key):
                self._cancel(request_key)
            case tracking.HandOver(request_key):
                self._hand_over(request_key)
            case events.RecordStart():
                self._record_start(message)
            case events.Started():
                self._mark_started(message)
            case events.Outcome():
                self._handle_outcome(message)
            case events.GivenUp():
                self._give_up(message)
            case events.Forwarded(request_key, entry_id):
                entry = self._entries.get(request_key)
                if entry is not None:
                    entry.holder = entry_id
            case events.PeerLost():
                self._hold_forwarded(message)
            case events.Adopted():
                self._adopt(message)
            case events.Cleared(request_key):
                self._clear(request_key)
            case tracking.Sweep():
                self._drop_finished()

    def _accept(self, message: tracking.Accept) -> None:
        request = message.request
        known = self._entries.get(request.key)
        if known is not None:
            message.reply.set(known)
            return
        collector = answers.Collector(request.task_count)
        entry = tracking.Tracked(
            request, records.RequestState.QUEUED, collector
        )
        if not request.durable:
            self._entries[request.key] = entry
            self._observe("accepted", request=request)
            message.reply.set(entry)
            self._place(entry)
            return
        entry.row, pending = self._journal.create(request)
        gevent.spawn(self._await_creation, entry, pending, message.reply)

    def _await_creation(self, entry: tracking.Tracked, pending, reply) -> None:
        """Waits until the record is durable or surely not written."""
        try:
            version = pending.wait(CREATE_TIMEOUT_S)
        except exceptions.StoreUnavailableError:
            if pending.withdraw():
                reply.set_exception(tracking.make_store_unavailable())
                return
            reply.set_exception(tracking.make_acceptance_unknown())
            try:
                version = pending.wait(None)
            except exceptions.QuetzalError:
                return
        except exceptions.QuetzalError as error:
            reply.set_exception(error)
            return
        self.post(tracking.Created(entry, version, reply))

    def _place_created(self, message: tracking.Created) -> None:
        entry = message.entry
        entry.version = message.version
        self._entries[entry.request.key] = entry
        self._observe("accepted", request=entry.request)
        if not message.reply.ready():
            message.reply.set(entry)
        self._place(entry)

    def _place(self, entry: tracking.Tracked) -> None:
        self._retries.record_first_attempt()
        self._to_placer(events.Place(entry.request))

    def _record_start(self, message: events.RecordStart) -> None:
        entry = self._entries.get(message.request_key)
        if entry is None or entry.finishing or entry.cancelled:
            self._reply_start(message, False)
            return
        attempts = [[a.attempt_id, a.target_id] for a in message.attempts]
        if message.holder:
            attempts = [["", message.holder]]
        row = {**entry.row, "state": "starting", "attempts": attempts}

        def reply(committed: bool) -> None:
            usable = committed and not entry.cancelled and not entry.finishing
            self._reply_start(message, usable)

        self._writer.write(entry, tracking.Write(row, False, reply))

    def _reply_start(self, message: events.RecordStart, ok: bool) -> None:
        self._to_placer(
            events.StartRecorded(
                message.request_key, message.attempts, message.holder, ok
            )
        )

    def _mark_started(self, message: events.Started) -> None:
        entry = self._entries.get(message.request_key)
        if entry is None or entry.done.is_set():
            return
        known = entry.collector.targets()
        if not all(attempt in known for attempt in message.attempt_ids):
            entry.rounds += 1
        entry.collector.begin(message.attempt_ids, message.target_ids)
        entry.held = False
        entry.state = records.RequestState.RUNNING
        if entry.cancelled:
            self._to_placer(events.Withdraw(message.request_key))

    def _handle_outcome(self, message: events.Outcome) -> None:
        entry = self._entries.get(message.request_key)
        if entry is None:
            self._to_reporter(message)
            return
        if entry.adopted_away:
            return
        if entry.finishing and entry.state is not records.RequestState.UNKNOWN:
            self._ack_when_stored(entry, message)
            return
        if not message.result.attempt_id:
            # A peer returns a forwarded request that it has not started.
            entry.holder = ""
            self._to_reporter(message)
            if not entry.collector.running():
                self._settle(entry)
            return
        usable = entry.collector.end(
            message.outcome, message.result, message.target_id
        )
        if not usable:
            self._observe("late", request=entry.request)
            self._to_reporter(message)
            return
        entry.acks.append(message)
        entry.abandoned |= message.abandon
        if entry.finishing:
            self._correct_unknown(entry)
        else:
            entry.held = False
            self._settle(entry)

    def _ack_when_stored(
        self, entry: tracking.Tracked, message: events.Outcome
    ) -> None:
        if entry.done.is_set():
            self._to_reporter(message)
        else:
            entry.acks.append(message)

    def _correct_unknown(self, entry: tracking.Tracked) -> None:
        """Replaces "unknown" if the result arrives after all."""
        result = entry.collector.result()
        if result is None:
            self._acknowledge(entry)
            return
        entry.error = None
        self._finish(entry, records.RequestState.DONE, result=result)

    def _settle(self, entry: tracking.Tracked) -> None:
        """Decides what follows from the outcomes so far."""
        result = entry.collector.result()
        if result is not None:
            self._finish(entry, records.RequestState.DONE, result=result)
            return
        if entry.collector.running():
            if entry.collector.is_broken():
                # The other tasks of a gang are of no use without this one.
                self._to_placer(events.Withdraw(entry.request.key))
            return
        outcomes = entry.collector.outcomes()
        failure = entry.collector.failure()
        entry.collector.clear()
        self._acknowledge(entry)
        if outcomes <= {"not_started"} and entry.rounds and outcomes:
            entry.rounds -= 1
        if entry.cancelled:
            self._finish_cancelled(entry)
        elif failure is not None:
            self._handle_failure(entry, *failure)
        elif outcomes <= {"not_started"} or entry.request.idempotent:
            self._requeue(entry, RESTART_DELAY_S if outcomes else 0.0)
        else:
            self._finish_unknown(entry, "the attempt's outcome is not known")

    def _handle_failure(
        self, entry: tracking.Tracked, target_id: str, why: str
    ) -> None:
        entry.failed_targets.add(target_id)
        spent = len(entry.failed_targets) >= MAX_FAILED_TARGETS
        if spent or entry.abandoned or not entry.request.idempotent:
            error = exceptions.RequestError(
                exceptions.ErrorKind.JOB_FAILED,
                f"the job failed on {len(entry.failed_targets)} target(s): "
                f"{why}",
            )
            if spent or entry.abandoned:
                self._observe("abandoned", request=entry.request)
            self._finish(entry, records.RequestState.FAILED, error=error)
            return
        delay_s = self._retries.next_delay_s(len(entry.failed_targets))
        if delay_s is None:
            delay_s = self._retries.options.cap_s
        self._requeue(entry, delay_s)

    def _requeue(self, entry: tracking.Tracked, delay_s: float = 0.0) -> None:
        if entry.rounds >= MAX_ROUNDS:
            error = tracking.make_exhausted(entry.rounds)
            self._finish(entry, records.RequestState.FAILED, error=error)
            return
        entry.state = records.RequestState.QUEUED
        if entry.handed_over:
            return
        self._to_placer(
            events.Place(entry.request, True, entry.rounds > 0, delay_s)
        )

    def _finish_unknown(self, entry: tracking.Tracked, why: str) -> None:
        error = exceptions.RequestError(
            exceptions.ErrorKind.OUTCOME_UNKNOWN, why
        )
        self._finish(entry, records.RequestState.UNKNOWN, error=error)

    def _finish_cancelled(self, entry: tracking.Tracked) -> None:
        error = tracking.make_cancelled(entry.rounds)
        self._finish(entry, records.RequestState.CANCELLED, error=error)

    def _finish(
        self,
        entry: tracking.Tracked,
        state: records.RequestState,
        *,
        result: records.Result | None = None,
        error: exceptions.RequestError | None = None,
    ) -> None:
        entry.finishing = True
        entry.held = False
        entry.error = error
        entry.result = result
        is_open = entry.state is records.RequestState.QUEUED or bool(
            entry.collector.running()
        )
        self._to_placer(events.Settled(entry.request.key, is_open))
        if entry.row is None:
            self._complete(entry, state)
            return
        row = journals.finished_row(entry.row, state, result, error)
        then = functools.partial(self._complete_stored, entry, state)
        self._writer.write(entry, tracking.Write(row, True, then))

    def _complete_stored(
        self,
        entry: tracking.Tracked,
        state: records.RequestState,
        committed: bool,
    ) -> None:
        if committed:
            self._complete(entry, state)
            return
        # The new home needs the outcomes, so that they are not acknowledged.
        entry.acks.clear()
        entry.adopted_away = True
        entry.result = None
        entry.error = exceptions.RequestError(
            exceptions.ErrorKind.OUTCOME_UNKNOWN,
            "another entry has taken over this request",
        )
        self._complete(entry, records.RequestState.UNKNOWN)

    def _complete(
        self, entry: tracking.Tracked, state: records.RequestState
    ) -> None:
        entry.state = state
        entry.finished_s = self._clock.now()
        entry.done.set()
        self._observe(
            "answered",
            request=entry.request,
            state=state.value,
            error=entry.error,
        )
        self._acknowledge(entry)

    def _acknowledge(self, entry: tracking.Tracked) -> None:
        for outcome in entry.acks:
            self._to_reporter(outcome)
        entry.acks.clear()

    def _give_up(self, message: events.GivenUp) -> None:
        entry = self._entries.get(message.request_key)
        if entry is None or entry.finishing:
            return
        if message.kind is exceptions.ErrorKind.CANCELLED:
            self._finish_cancelled(entry)
            return
        run = exceptions.RunState.UNKNOWN if entry.rounds else None
        error = exceptions.RequestError(
            message.kind,
            message.message,
            retry_after_s=message.retry_after_s,
            run=run,
        )
        self._finish(entry, records.RequestState.FAILED, error=error)

    def _cancel(self, request_key: str) -> None:
        entry = self._entries.get(request_key)
        if entry is None or entry.finishing:
            return
        entry.cancelled = True
        if not entry.held:
            self._to_placer(events.Withdraw(request_key))

    def _hand_over(self, request_key: str) -> None:
        entry = self._entries.get(request_key)
        if entry is None or entry.finishing or entry.row is None:
            return
        entry.handed_over = True
        self._to_placer(placements.Yield(request_key))

    def _hold_forwarded(self, message: events.PeerLost) -> None:
        """Holds requests that a lost peer may have started."""
        for entry in self.open_entries():
            if entry.finishing:
                continue
            if entry.collector.running():
                self._check_running(entry)
            elif entry.holder == message.entry_id:
                self._hold(entry, message.incarnation)
            if entry.holder == message.entry_id:
                entry.holder = ""

    def _check_running(self, entry: tracking.Tracked) -> None:
        """Asks who reports the attempts, whose controller may be lost."""
        targets = entry.collector.targets()
        request = entry.request
        for attempt_id in entry.collector.running():
            attempt = records.Attempt(
                attempt_id,
                request.key,
                request.team,
                targets[attempt_id],
                request.size,
                lease_s=records.lease_seconds(request.kind),
            )
            self._to_recovery(events.HoldAttempt(attempt, for_home=True))

    def _hold(self, entry: tracking.Tracked, suspect: str) -> None:
        entry.held = True
        entry.rounds += 1
        lease_s = records.lease_seconds(entry.request.kind)
        self._to_recovery(events.Hold(entry.request.key, suspect, lease_s))

    def _adopt(self, message: events.Adopted) -> None:
        for request, row, version in message.rows:
            collector = answers.Collector(request.task_count)
            entry = tracking.Tracked(
                request, records.RequestState.QUEUED, collector
            )
            entry.row = row
            entry.version = version
            self._entries[request.key] = entry
            self._observe("adopted", request=request)
            self._hold(entry, message.old_home)

    def _clear(self, request_key: str) -> None:
        entry = self._entries.get(request_key)
        if entry is None or not entry.held or entry.finishing:
            return
        entry.held = False
        may_have_run = entry.row is None or entry.row["state"] != "queued"
        if may_have_run and not entry.request.idempotent:
            self._finish_unknown(
                entry, "the entry that started it was lost without a result"
            )
        elif entry.cancelled:
            self._finish_cancelled(entry)
        else:
            self._requeue(entry)

    def _drop_finished(self) -> None:
        horizon = self._clock.now() - RETENTION_S
        stale = [
            key
            for key, entry in self._entries.items()
            if entry.done.is_set() and entry.finished_s < horizon
        ]
        for key in stale:
            del self._entries[key]
