"""Task that holds the control lease of one target and sends commands."""

import collections
import math
import typing
from collections.abc import Callable

from quetzalswitch import clock as clocks
from quetzalswitch import logs
from quetzalswitch import records
from quetzalswitch import tasks
from quetzalswitch import traffic
from quetzalswitch.targets import attempts as attempt_trackers
from quetzalswitch.targets import client as clients
from quetzalswitch.targets import events
from quetzalswitch.targets import exchanges
from quetzalswitch.targets import protocol

MAX_STARTS = 64


class Options(typing.NamedTuple):
    """Times of a link, in seconds.

    Attributes:
        exchange_timeout_s: Deadline of an exchange, without its long poll.
        sync_wait_s: Long poll of an idle `sync`. With the exchange deadline,
            it must leave enough of the 4 s control lease for one lost
            exchange.
        start_window_s: Time after sending within which a start or a `sync`
            may take effect at the target.
        retry_s: Pause before an unanswered exchange is repeated.
        repeat_s: Pause before an unacknowledged outcome is reported again.
        usage_interval_s: Time between reports of all running attempts while
            the set of them does not change. A report takes 290 bytes for each
            attempt, and usage readings lag by seconds anyway.
        expiry_margin_s: Extra time before a lease counts as expired; covers
            the drift of two clocks and the granularity of the target's timers.
    """

    exchange_timeout_s: float = 1.0
    sync_wait_s: float = 1.0
    start_window_s: float = 2.0
    retry_s: float = 0.5
    repeat_s: float = 5.0
    expiry_margin_s: float = 0.5
    usage_interval_s: float = 5.0


class _SyncRetryDue(typing.NamedTuple):
    """The retry of a sync that failed twice is due."""

    control: exchanges.ControlLease


class _LeaseCheckDue(typing.NamedTuple):
    """A lease check is due; sent when no other messages are expected."""


class TargetLink(tasks.Task):
    """Claims one target and carries out commands on it.

    Exchanges run in separate greenlets and post their outcome to the inbox;
    only the link's own greenlet changes its state. At most one
    exchange of each kind (claim or sync, starts, fence, stop) is in progress,
    which keeps the link within the client's connections.

    Args:
        clock: Clock that leases are measured on.
        vm: Target VM; its `vm` and `address` are used.
        entry_id: ID of this entry.
        incarnation: Incarnation of this entry process.
        peer_address: Address at which other entries connect to this one.
        on_event: Callback for each event.
        options: Times of the link.
        counter: Counts the bytes exchanged.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        vm: typing.Any,
        entry_id: str,
        incarnation: str,
        peer_address: str,
        on_event: Callable[[events.Event], None],
        options: Options | None = None,
        counter: traffic.Counter | None = None,
    ):
        super().__init__(f"link {vm.vm}")
        self.target_id = vm.vm
        self.address = vm.address
        self._clock = clock
        self._options = options or Options()
        client = clients.TargetClient(
            vm.address, clock, self._options.exchange_timeout_s, counter
        )
        self._exchanges = exchanges.Exchanges(
            clock, vm.vm, client, self._options.retry_s, self.post, on_event
        )
        self._attempts = attempt_trackers.AttemptTracker(
            clock,
            self._options.start_window_s + self._options.expiry_margin_s,
            self._options.repeat_s,
            self._exchanges.emit,
        )
        self._claim_body: protocol.ClaimBody = {
            "entry": entry_id,
            "incarnation": incarnation,
            "peer_address": peer_address,
        }
        self._claim_requested = False
        self._claiming = False
        self._releasing = False
        self._starting = False
        self._fencing = False
        self._stopping = False
        self._lease_check_pending = False
        self._sync_failed = False
        self._control: exchanges.ControlLease | None = None
        self._boot_id = ""
        self._running_version = 0
        self._last_report_s = -math.inf
        self._lease_expires_s = -math.inf
        # Target clock in a message minus the local clock at its receipt. The
        # transit time makes it at most the true difference.
        self._clock_offset_s = 0.0
        self._starts: collections.deque = collections.deque()
        self._fences: collections.deque = collections.deque()
        self._stops: collections.deque = collections.deque()

    def holds_control(self) -> bool:
        """Returns whether the link holds an unexpired control lease."""
        return (
            self._control is not None
            and self._clock.now() < self._lease_expires_s
        )

    def stop(self) -> None:
        """Stops the link immediately, without releasing the target."""
        super().stop()
        self._exchanges.stop()

    def handle(self, message: typing.Any) -> None:
        """Handles a command or the outcome of an exchange."""
        self._check_lease()
        match message:
            case events.Claim():
                self._claim_requested = True
                self._releasing = False
            case events.StartAttempts():
                self._starts.append(message)
            case events.StopAttempt():
                self._stops.append(message)
            case events.Acknowledge(attempt_ids=attempt_ids):
                self._attempts.acknowledge(attempt_ids)
            case events.Release():
                self._claim_requested = False
                self._releasing = True
            case exchanges.ClaimDone():
                self._handle_claim(message)
            case exchanges.SyncDone():
                self._handle_sync(message)
            case _SyncRetryDue(control=control):
                if control is self._control:
                    self._send_sync(0.0)
            case exchanges.StartsDone():
                self._handle_starts(message)
            case exchanges.FenceDone():
                self._handle_fence(message)
            case exchanges.StopDone():
                self._handle_stop(message)
            case exchanges.ReleaseDone():
                self._exchanges.emit(
                    events.TargetLost(self.target_id, "released")
                )
            case _LeaseCheckDue():
                self._lease_check_pending = False
        self._advance()

    def _advance(self) -> None:
        """Sends pending messages and reports due outcomes."""
        self._check_lease()
        self._send_claim()
        self._send_starts()
        self._send_fence()
        self._send_stop()
        self._send_release()
        if self._control is None:
            self._attempts.expire_task_leases()
        self._attempts.repeat_unacknowledged()
        self._schedule_lease_check()

    # Control lease

    def _send_claim(self) -> None:
        if (
            self._claim_requested
            and self._control is None
            and not self._claiming
        ):
            self._claiming = True
            self._exchanges.claim(self._claim_body)

    def _handle_claim(self, done: exchanges.ClaimDone) -> None:
        self._claiming = False
        answer = done.answer
        if answer is None:
            return
        if self._boot_id not in ("", answer["boot_id"]):
            logs.write("target_restarted", target=self.target_id)
            self._attempts.report_other_boots_lost(answer["boot_id"])
        self._boot_id = answer["boot_id"]
        if not answer["granted"]:
            self._handle_claim_refusal(answer)
            return
        lease_s = answer["lease_ms"] / 1000
        self._control = exchanges.ControlLease(
            answer["epoch"], answer["boot_id"], lease_s
        )
        self._lease_expires_s = done.sent_s + lease_s
        self._sync_failed = False
        self._running_version = 0
        self._update_clock_offset(answer["clock_ms"])
        self._exchanges.emit(_make_target_claimed(answer, self.address))
        self._attempts.handle_inventory(answer)
        self._send_sync(0.0)

    def _handle_claim_refusal(self, answer: protocol.ClaimAnswer) -> None:
        self._claim_requested = False
        self._attempts.drop_handed_over()
        self._exchanges.emit(
            events.ClaimRefused(
                self.target_id,
                answer["holder"],
                answer["holder_address"],
                answer["remaining_ms"] / 1000,
            )
        )

    def _update_clock_offset(self, clock_ms: int) -> None:
        self._clock_offset_s = clock_ms / 1000 - self._clock.now()

    def _not_after_ms(self) -> int:
        target_now_s = self._clock.now() + self._clock_offset_s
        return int((target_now_s + self._options.start_window_s) * 1000)

    def _check_lease(self) -> None:
        if self._clock.now() >= self._lease_expires_s:
            self._lose_control("lease_lapsed")

    def _lose_control(self, reason: str) -> None:
        if self._control is None:
            return
        logs.write("target_lost", target=self.target_id, reason=reason)
        self._control = None
        self._exchanges.emit(events.TargetLost(self.target_id, reason))

    # Renewal and results

    def _send_sync(self, wait_s: float) -> None:
        reported_ago_s = self._clock.now() - self._last_report_s
        if reported_ago_s >= self._options.usage_interval_s:
            self._running_version = 0
        acknowledged = self._attempts.acknowledged()
        body: protocol.SyncBody = {
            "epoch": self._control.epoch,
            "boot_id": self._control.boot_id,
            "not_after_ms": self._not_after_ms(),
            "acknowledge": acknowledged,
            "received": self._attempts.received(),
            "running_version": self._running_version,
            "wait_ms": int(wait_s * 1000),
        }
        self._attempts.record_sync_sent()
        self._exchanges.sync(self._control, body)

    def _handle_sync(self, done: exchanges.SyncDone) -> None:
        if done.control is not self._control:
            return
        if done.stale:
            self._lose_control("stale_epoch")
            return
        answer = done.answer
        if answer is None:
            self._retry_sync()
            return
        self._sync_failed = False
        self._lease_expires_s = done.sent_s + done.control.lease_s
        self._update_clock_offset(answer["clock_ms"])
        self._attempts.forget_acknowledged(done.acknowledged)
        reports = answer["running"] or []
        if answer["running"] is not None:
            self._running_version = answer["running_version"]
            self._last_report_s = self._clock.now()
        self._exchanges.emit(
            events.TargetReported(
                self.target_id, answer["leaving"], tuple(reports)
            )
        )
        self._attempts.handle_running(reports)
        self._attempts.handle_results(answer["finished"])
        self._send_sync(self._options.sync_wait_s)

    def _retry_sync(self) -> None:
        if self._sync_failed:
            self._exchanges.post_later(_SyncRetryDue(self._control))
            return
        # The first retry has no pause, because the lease is running out.
        self._sync_failed = True
        self._send_sync(0.0)

    # Starts

    def _send_starts(self) -> None:
        if self._control is None or self._releasing:
            reason = "releasing" if self._releasing else "no_control"
            for command in self._starts:
                self._reject_starts(command, reason)
            self._starts.clear()
            return
        if self._starting or not self._starts:
            return
        first = self._starts.popleft()
        pairs = list(zip(first.attempts, first.requests, strict=True))
        while not first.all_or_none and self._can_batch_next(len(pairs)):
            command = self._starts.popleft()
            pairs += zip(command.attempts, command.requests, strict=True)
        not_after_ms = self._not_after_ms()
        body: protocol.StartsBody = {
            "epoch": self._control.epoch,
            "boot_id": self._control.boot_id,
            "all_or_none": first.all_or_none,
            "starts": [make_start(*pair, not_after_ms) for pair in pairs],
        }
        for attempt, _ in pairs:
            self._attempts.record_sent(attempt, self._control.boot_id)
        self._starting = True
        self._exchanges.start(self._control, body)

    def _can_batch_next(self, count: int) -> bool:
        if not self._starts or self._starts[0].all_or_none:
            return False
        return count + len(self._starts[0].attempts) <= MAX_STARTS

    def _reject_starts(
        self, command: events.StartAttempts, reason: str
    ) -> None:
        for attempt in command.attempts:
            self._exchanges.emit(
                events.StartResolved(
                    attempt.attempt_id, events.StartState.NOT_STARTED, reason
                )
            )

    def _handle_starts(self, done: exchanges.StartsDone) -> None:
        self._starting = False
        if done.stale:
            for attempt_id in done.attempt_ids:
                self._attempts.resolve(
                    attempt_id, events.StartState.NOT_STARTED, "stale_epoch"
                )
            if done.control is self._control:
                self._lose_control("stale_epoch")
            return
        for outcome in done.outcomes:
            attempt_id = outcome["attempt_id"]
            if outcome["started"]:
                self._attempts.resolve(attempt_id, events.StartState.STARTED)
            elif outcome["reason"] != "duplicate":
                self._attempts.resolve(
                    attempt_id, events.StartState.NOT_STARTED, outcome["reason"]
                )
        # A duplicate means that the target received an earlier copy of this
        # start, so its outcome is queried, as for a start without one.
        for attempt_id in done.attempt_ids:
            if self._attempts.is_unresolved(attempt_id):
                self._fences.append(attempt_id)

    # Fences

    def _send_fence(self) -> None:
        while self._fences and not self._fencing:
            attempt_id = self._fences.popleft()
            if self._attempts.is_unresolved(attempt_id):
                self._fencing = True
                self._exchanges.fence(attempt_id)

    def _handle_fence(self, done: exchanges.FenceDone) -> None:
        self._fencing = False
        attempt_id = done.attempt_id
        answer = done.answer
        if not self._attempts.is_unresolved(attempt_id):
            return
        if answer is None:
            self._fences.append(attempt_id)
            return
        if answer["boot_id"] != self._attempts.get_boot_id(attempt_id):
            state = events.StartState.UNKNOWN
            self._attempts.resolve(attempt_id, state, "target_restarted")
        elif answer["state"] == "never_seen":
            state = events.StartState.NOT_STARTED
            self._attempts.resolve(attempt_id, state, "never_seen")
        else:
            self._attempts.resolve(attempt_id, events.StartState.STARTED)

    # Stops and release

    def _send_stop(self) -> None:
        if self._control is None:
            # The next holder decides what to stop.
            self._stops.clear()
        elif self._stops and not self._stopping:
            self._stopping = True
            self._exchanges.stop_attempt(self._control, self._stops.popleft())

    def _handle_stop(self, done: exchanges.StopDone) -> None:
        self._stopping = False
        if not done.answered:
            self._stops.append(done.command)

    def _send_release(self) -> None:
        if not self._releasing or self._claiming:
            return
        control = self._control
        if control is None:
            self._releasing = False
            return
        busy = self._starting or self._attempts.has_unresolved()
        if busy or self._stops or self._attempts.acknowledged():
            return
        self._releasing = False
        self._control = None
        self._attempts.drop_handed_over()
        self._exchanges.release(control)

    # Greenlets and events

    def _schedule_lease_check(self) -> None:
        # While the target is controlled or being claimed, the outcomes of
        # exchanges already trigger the check.
        if (
            self._control is not None
            or self._claiming
            or self._lease_check_pending
        ):
            return
        if not self._attempts.is_empty():
            self._lease_check_pending = True
            self._exchanges.post_later(_LeaseCheckDue())


def make_start(
    attempt: records.Attempt, request: records.Request, not_after_ms: int
) -> protocol.StartBody:
    """Returns the wire message that starts an attempt."""
    return {
        "attempt_id": attempt.attempt_id,
        "request_key": attempt.request_key,
        "team": attempt.team,
        "holder": attempt.holder,
        "home": attempt.home,
        "size": attempt.size._asdict(),
        "payload": request.payload,
        "not_after_ms": not_after_ms,
        "lease_ms": int(attempt.lease_s * 1000),
        "task_index": attempt.task_index,
        "run_time_s": request.run_time_s,
        "trace_parent": request.trace_id,
    }


def _make_target_claimed(
    answer: protocol.ClaimAnswer, address: str
) -> events.TargetClaimed:
    target = records.Target(
        answer["target_id"],
        address,
        answer["failure_domain"],
        answer["rack"],
        records.Resources(**answer["capacity"]),
        answer["slots"],
        answer["connections"],
        answer["leaving"],
    )
    return events.TargetClaimed(
        target,
        answer["epoch"],
        answer["boot_id"],
        tuple(answer["running"]),
        tuple(
            attempt_trackers.read_result(body) for body in answer["finished"]
        ),
        tuple(answer["finished_reports"]),
    )
