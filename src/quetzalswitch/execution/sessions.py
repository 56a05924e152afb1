"""A session with one target: lease renewals, starts and stops of one epoch."""

import collections
import typing
from collections.abc import Callable

import gevent
import gevent.event

from quetzalswitch import clock as clocks
from quetzalswitch import exceptions
from quetzalswitch import greenlets
from quetzalswitch import nodelog
from quetzalswitch.decision import clusterstate
from quetzalswitch.decision import decider as deciders
from quetzalswitch.decision import fleet
from quetzalswitch.decision import jobs
from quetzalswitch.decision import unknown_jobs
from quetzalswitch.execution import leases as lease_bounds
from quetzalswitch.execution import protocol
from quetzalswitch.execution import tenure as tenures
from quetzalswitch.execution import timeouts
from quetzalswitch.platform import targets as clients

# The fencing tokens of an epoch start at the epoch shifted left by this. The
# low bits count the starts whose outcome was unknown and had to be resolved,
# and how often the target was lost.
TOKENS_PER_EPOCH_BITS: typing.Final = 20
# How long a target waits for an end before it answers a lease renewal. Limits
# the age of the known state of a target on which nothing ends.
LONG_POLL_WAIT_S: typing.Final = 0.7
# Nothing is started on a lost target until it has answered. Not 0, because
# starts in flight may occupy the connections of calls that don't wait.
LOST_POLL_WAIT_S: typing.Final = 0.01
RENEWAL_TIMEOUT_S: typing.Final = 0.6
RETRY_PAUSE_S: typing.Final = 0.15
# Leases are renewed only until this long after a target's last answer. When
# they have expired, its tasks can be restarted elsewhere.
RENEWAL_LIMIT_S: typing.Final = 1.5
# If the last renewal that was answered was sent longer ago than this, no start
# is sent and no end acknowledged. Another leader may have taken over since, and
# the target may have restarted, so that it doesn't reject the call. While
# nothing ends, renewals that are answered are up to two long polls old.
CONTACT_LIMIT_S: typing.Final = 2.0
# Targets report ends until they are acknowledged, which happens once the ends
# are stored.
STORE_WAIT_S: typing.Final = 0.05
STORE_OUTAGE_PAUSE_S: typing.Final = 0.15


class Session:
    """Connection of the leader to one target.

    Attributes:
        target: The decider's state of the target.
        refused: Whether the last connection was refused.
        started_s: When the session was created.
        token: Fencing token of the next command.
        stored: Set when progress has been stored.
    """

    def __init__(
        self,
        target: fleet.Target,
        client: clients.TargetClient,
        decider: deciders.Decider,
        lease_s: float,
        clock: clocks.Clock,
        log: nodelog.NodeLog,
        on_changes: Callable[[bool], None],
        on_deposed: Callable[[str], None],
        tenure: tenures.Tenure,
    ):
        self.target = target
        self.refused = False
        self.started_s = clock.now()
        self.token = decider.next_tokens.get(
            target.id, decider.epoch << TOKENS_PER_EPOCH_BITS
        )
        self.stored = gevent.event.Event()
        self._client = client
        self._decider = decider
        self._leases = lease_bounds.Leases(lease_s, clock)
        self._clock = clock
        self._log = log
        self._on_changes = on_changes
        self._on_deposed = on_deposed
        self._tenure = tenure
        self._timeout = timeouts.CallTimeout()
        # Calls with this token or a higher one carry no numbers of an earlier
        # lifetime.
        self._current_token = self.token
        # Whether the target may have restarted since the last answer.
        self._renewal_failed = False
        # When the last renewal that was answered was sent, on the clock that
        # counts suspensions.
        self._contact_boot_s = float("-inf")
        self._acknowledged = 0
        self._last_seen_end = 0
        self._ends: collections.deque = collections.deque()
        # When a call was last left without an answer, until one is answered.
        self._lost_s: float | None = None
        self._replaced = False
        self._closed = False
        self._expiry_reported = False
        self._starts_expiry_reported = False
        self._waiting_for_store = False
        self._poll_requested = False
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Starts renewing leases."""
        self._greenlet = greenlets.spawn(self._run, self._log)

    def stop(self) -> None:
        """Ends the session; the next one fences its commands off."""
        self._closed = True
        self._decider.next_tokens[self.target.id] = self.token + 1
        if self._greenlet is not None:
            self._greenlet.kill(block=False)
        self._client.close()

    def leases_expire_at(self) -> float:
        """Returns the time (s) after which no lease on the target is valid.

        Starts without an answer are excepted; see
        `unanswered_starts_expire_at`.
        """
        if self._replaced:
            return float("-inf")
        return self._leases.expire_at(self.target.registration.boot_ms)

    def unanswered_starts_expire_at(self) -> float:
        """Returns the time (s) after which no unanswered start is active."""
        if self._replaced:
            return float("-inf")
        return self._leases.starts_expire_at(self.target.registration.boot_ms)

    def report_lease_expiry(self, starts_expired: bool) -> None:
        """Reports to the decider that the target's leases expired.

        Args:
            starts_expired: Whether starts without an answer expired too.
        """
        unreported = not self._expiry_reported
        if starts_expired and not self._starts_expiry_reported:
            self._starts_expiry_reported = unreported = True
        if unreported:
            self._expiry_reported = True
            self._decider.expire_leases(
                self.target, self._clock.now(), starts_expired
            )

    def send_start(self, run: jobs.Run) -> None:
        """Sends a start command and reports the outcome to the decider.

        If no answer arrives, later commands get a higher fencing token, so that
        the target rejects the start if it arrives late. Lease renewals then
        show whether it took effect.
        """
        if self._closed:
            self._decider.handle_start_unknown(run)
            return
        if self._renewal_failed or not self._is_in_contact():
            # The target may have restarted, and the lease in the command is a
            # time on the clock of the lifetime before.
            reason = "no recent answer"
            self._mark_lost(reason)
            self._decider.handle_start_rejected(run, reason, self._clock.now())
            return
        run.token = self.token
        command = protocol.StartCommand(
            task=run.task,
            run=run.number,
            spec=run.stage.job.submission.spec,
            lease_until_ms=self._extend_lease(),
            fencing_token=self.token,
            checkpoint=run.checkpoint,
            ticket=run.ticket,
        )
        sent_s = self._clock.now()
        earliest_ms = self._leases.estimate_clock()
        try:
            answer = self._client.start(command, self._timeout.value_s)
        except ConnectionRefusedError:
            self.refused = True
            self._mark_lost("connection refused")
            now_s = self._clock.now()
            self._decider.handle_start_rejected(
                run, "connection refused", now_s
            )
            self._on_changes(False)
            return
        except exceptions.TransportError as error:
            self._decider.handle_start_unknown(run)
            if isinstance(error, exceptions.AnswerTimeoutError):
                self._timeout.record_timeout()
            self._leases.record_unanswered_start()
            if not self._closed:
                self._mark_lost(str(error), _breaks_connection(error))
                self.token += 1
                self._resolve_unknown_starts()
            return
        if self._closed:
            # The next session with the target finds out what became of it.
            self._decider.handle_start_unknown(run)
            return
        now_s = self._clock.now()
        self._timeout.record_answer(now_s - sent_s)
        if self._leases.is_of_other_lifetime(answer.clock_ms, earliest_ms):
            self._leases.record_unheard_restart()
            self._log.note("restart_unheard", target=self.target.id)
            self._handle_failed_renewal("a new lifetime answered a start")
        if answer.rejection is None:
            self._decider.handle_start_confirmed(run, now_s)
            return
        fenced = answer.rejection is protocol.Rejection.FENCED
        if fenced and run.token == self.token:
            self._on_deposed(
                f"{self.target.id} has received a newer fencing token"
            )
            return
        if answer.rejection is protocol.Rejection.TARGET_RESTARTED:
            self._mark_lost("another target answers at this address")
        self._decider.handle_start_rejected(run, answer.rejection, now_s)
        self._on_changes(False)

    def send_stop(self, stop: clusterstate.StopCommand) -> None:
        """Sends a stop command; lease renewals report when the run ended."""
        if self._closed:
            return
        try:
            self._client.stop(
                stop.task, stop.run, self.token, self._timeout.value_s
            )
        except (ConnectionRefusedError, exceptions.TransportError) as error:
            self._mark_lost(str(error), _breaks_connection(error))
            self._log.note(
                "stop_unanswered",
                task=stop.task,
                run=stop.run,
                target=self.target.id,
                error=str(error),
            )

    def request_poll(self) -> None:
        """Asks the target for new ends now, even while others are being stored.

        A long poll that is waiting reports the next end anyway.
        """
        if self._waiting_for_store:
            self._poll_requested = True
            self.stored.set()

    def is_shut_down(self) -> bool:
        """Returns whether a draining target refuses connections.

        A refused connection alone may also be a network fault.
        """
        target = self.target
        leaving = target.registration.draining and target.boot_ms > 0
        return self.refused and leaving

    def list_unacknowledged_ends(self) -> list[tuple[str, int]]:
        """Returns task and run number of ends that are not acknowledged."""
        return [(end.ended.task, end.ended.run) for end in self._ends]

    def _resolve_unknown_starts(self) -> None:
        """Renews leases until the outcome of every unknown start is known."""
        while not self._closed and self._has_unknown_runs():
            if not self._renew_leases(0.0):
                gevent.sleep(RETRY_PAUSE_S)

    def _has_unknown_runs(self) -> bool:
        return any(
            run.state is jobs.RunState.UNKNOWN
            for run in self.target.runs.values()
        )

    def _run(self) -> None:
        while not self._closed:
            # What calls of before may have done must be known soon.
            may_wait = self._leases.former_calls_fenced and self.target.synced
            if not self._renew_leases(LONG_POLL_WAIT_S if may_wait else 0.0):
                gevent.sleep(RETRY_PAUSE_S)
                continue
            if self._ends:
                self._wait_stored()

    def _wait_stored(self) -> None:
        """Waits a limited time until the new ends can be acknowledged."""
        if self._is_stored(self._ends[0]):
            return
        self._waiting_for_store = True
        self._poll_requested = False
        for pause_s in (STORE_WAIT_S, STORE_OUTAGE_PAUSE_S):
            self.stored.clear()
            self.stored.wait(timeout=pause_s)
            # Another greenlet's renewal may have acknowledged the ends by now.
            first = self._ends[0] if self._ends else None
            if self._poll_requested or first is None or self._is_stored(first):
                break
        self._waiting_for_store = False

    def _is_stored(self, end: clusterstate.ReportedEnd) -> bool:
        if end.job is not None:
            return end.job.stored_revision >= end.revision
        return unknown_jobs.is_end_stored(self._decider, end.ended.task)

    def _retry_unknown_ends(self) -> None:
        """Applies ends whose jobs have become known since."""
        for position, end in enumerate(self._ends):
            if end.job is None:
                self._ends[position] = self._decider.retry_end(
                    self.target, end, self._clock.now()
                )

    def _renew_leases(self, wait_s: float) -> bool:
        """Renews the target's leases and applies the answer.

        Returns:
            Whether an answer was received in time.
        """
        self._retry_unknown_ends()
        while self._ends and self._is_stored(self._ends[0]):
            end = self._ends.popleft()
            self._acknowledged = end.ended.number
            if end.job is None and unknown_jobs.is_missing(
                self._decider, end.ended.task
            ):
                self._log.note(
                    "end_dropped",
                    task=end.ended.task,
                    run=end.ended.run,
                    target=self.target.id,
                    end=end.ended.end.value,
                )
        token = self.token
        sent_s = self._clock.now()
        sent_boot_s = self._clock.boot()
        # After a call without an answer the target may have restarted, and its
        # numbers then start again.
        certain = self._lost_s is None and self._is_in_contact()
        command = protocol.RenewCommand(
            fencing_token=token,
            acknowledged=self._acknowledged if certain else 0,
            # The next lifetime may get the call, and never shortens a lease.
            lease_until_ms=0
            if self._renewal_failed or not self._is_in_contact()
            else self._extend_lease(),
            wait_s=wait_s
            if self._lost_s is None
            else min(wait_s, LOST_POLL_WAIT_S),
        )
        try:
            answer = self._client.renew_leases(
                command,
                max(RENEWAL_TIMEOUT_S, self._timeout.answered_s) + wait_s,
            )
        except exceptions.StaleEpochError:
            if token == self.token and not self._closed:
                self._on_deposed(
                    f"{self.target.id} has received a newer fencing token"
                )
            return False
        except ConnectionRefusedError:
            self.refused = True
            self._handle_failed_renewal("connection refused")
            return False
        except exceptions.TargetReplacedError as error:
            self.refused = False
            self._handle_failed_renewal(str(error))
            self._mark_replaced()
            return False
        except exceptions.TransportError as error:
            self.refused = False
            self._handle_failed_renewal(str(error), _breaks_connection(error))
            return False
        if self._closed:
            return False
        if not wait_s:
            self._timeout.record_answer(self._clock.now() - sent_s)
        self._contact_boot_s = max(self._contact_boot_s, sent_boot_s)
        self._apply_answer(answer, token, sent_s)
        return True

    def _is_in_contact(self) -> bool:
        """Returns whether the target has answered a recent renewal."""
        return self._clock.boot() - self._contact_boot_s <= CONTACT_LIMIT_S

    def _apply_answer(
        self, answer: protocol.RenewAnswer, token: int, sent_s: float
    ) -> None:
        now_s = self._clock.now()
        if self.target.is_outdated(answer.boot_ms, sent_s):
            self._log.note(
                "hold_outdated",
                target=self.target.id,
                born=answer.boot_ms,
                known=self.target.boot_ms,
            )
            return
        if self.target.boot_ms and answer.boot_ms != self.target.boot_ms:
            self._reset_lifetime()
        if token >= self._current_token:
            self._renewal_failed = False
        if self._lost_s is not None and sent_s >= self._lost_s:
            self._lost_s = None
            self._log.note("target_back", target=self.target.id)
        first_answer = not self.target.synced
        self.refused = False
        self._replaced = False
        self._expiry_reported = False
        self._starts_expiry_reported = False
        excess_s = self._leases.apply_answer(
            answer.clock_ms, answer.boot_ms, token >= self._current_token
        )
        if excess_s > 0:
            self._log.note(
                "lease_unknown",
                target=self.target.id,
                born=answer.boot_ms,
                clock=answer.clock_ms,
                asked=self._leases.asked_s,
                excess=round(excess_s, 3),
            )
        ends = self._decider.apply_lease_renewal(
            self.target, answer, token, sent_s, now_s, self._last_seen_end
        )
        for end in ends:
            self._last_seen_end = max(self._last_seen_end, end.ended.number)
            self._ends.append(end)
        if ends or first_answer:
            self._on_changes(bool(ends))

    def _reset_lifetime(self) -> None:
        """Discards the state of the target's previous lifetime."""
        if not self._renewal_failed:
            # Each call since the last answer carries such state.
            self.token += 1
            self._current_token = self.token
        self._leases.begin_lifetime()
        self._acknowledged = 0
        self._last_seen_end = 0
        self._ends.clear()

    def _extend_lease(self) -> int:
        """Returns the lease to send, on the target's clock; 0 if unknown."""
        leases = self._leases
        if not leases.clock_ms:
            return 0
        elapsed_s = self._clock.now() - leases.read_s
        suspended = self._clock.boot() - self._contact_boot_s > RENEWAL_LIMIT_S
        silent = elapsed_s > RENEWAL_LIMIT_S or suspended
        if silent or not self._tenure.allows_extension():
            # A command without an answer may still take effect. The leases of
            # a target that doesn't respond must expire at a known time, and
            # those of a former leader before its successor expects.
            return leases.sent_until_ms
        return leases.extend()

    def _handle_failed_renewal(
        self, reason: str, broke_now: bool = False
    ) -> None:
        """Handles a renewal after which the target may have restarted."""
        was_lost = self._lost_s is not None
        self._mark_lost(reason, broke_now)
        if not self._renewal_failed:
            self._renewal_failed = True
            self.token += was_lost
            self._current_token = self.token

    def _mark_replaced(self) -> None:
        if not self._replaced:
            self._replaced = True
            self._log.note("target_replaced", target=self.target.id)
        had_runs = bool(self.target.runs)
        self._decider.handle_replaced(self.target, self._clock.now())
        if had_runs:
            self._on_changes(False)

    def _mark_lost(self, reason: str, broke_now: bool = False) -> None:
        now_s = self._clock.now()
        earliest_s = now_s if broke_now else self.target.last_contact_s
        self.target.mark_silent(earliest_s, now_s)
        if self._lost_s is None:
            self._log.note("target_lost", target=self.target.id, reason=reason)
            # Calls that take effect late must not reach the target's next
            # incarnation: its ends have the same numbers.
            self.token += 1
        self._lost_s = now_s


def _breaks_connection(error: Exception) -> bool:
    """Returns whether an error tells the moment at which a target was lost."""
    return not isinstance(
        error, (exceptions.AnswerTimeoutError, ConnectionRefusedError)
    )
