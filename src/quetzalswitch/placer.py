"""The placer task: carries out the scheduler's decisions on targets."""

import typing

import gevent.queue

from quetzalswitch import allowances
from quetzalswitch import clock as clocks
from quetzalswitch import configuration
from quetzalswitch import decisions
from quetzalswitch import events
from quetzalswitch import exceptions
from quetzalswitch import forwarder as forwarders
from quetzalswitch import placements
from quetzalswitch import records
from quetzalswitch import reports
from quetzalswitch import scheduler as schedulers
from quetzalswitch import tasks
from quetzalswitch.peers import protocol as peer_protocol
from quetzalswitch.targets import events as link_events
from quetzalswitch.targets import protocol as target_protocol

DECISIONS_PER_ROUND = 256
TICK_S = 0.1


class Placer(tasks.Task):
    """Owns the scheduler and everything that this process has started.

    Args:
        clock: Source of time.
        scheduler: The policy.
        ledger: Allowances held and used.
        surroundings: The rest of the process.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        scheduler: schedulers.Scheduler,
        ledger: allowances.Ledger,
        surroundings: placements.Surroundings,
    ):
        super().__init__("placer")
        self._clock = clock
        self._scheduler = scheduler
        self._ledger = ledger
        self._around = surroundings
        self._placements: dict[str, placements.Placement] = {}
        self._running: dict[str, records.Attempt] = {}
        self._ended: dict[str, str] = {}
        self._orphans: dict[str, records.Attempt] = {}
        self._condemned: dict[str, str] = {}
        self._targets: set[str] = set()
        self._configuration = configuration.Configuration()
        self._forwarder = forwarders.Forwarder(
            clock,
            scheduler,
            surroundings,
            self._placements,
            self._enqueue_again,
        )
        self._next_tick_s = clock.now()

    def run(self) -> None:
        """Handles messages in batches and decides after each batch."""
        while True:
            for message in self._take_batch():
                self.handle(message)
            if self._clock.now() >= self._next_tick_s:
                self._tick()
            self._decide()

    def _take_batch(self) -> list:
        """Returns the messages that wait, or none after a tick's time."""
        try:
            batch = [self.inbox.get(timeout=TICK_S)]
        except gevent.queue.Empty:
            return []
        while len(batch) < DECISIONS_PER_ROUND and not self.inbox.empty():
            batch.append(self.inbox.get_nowait())
        return batch

    def handle(self, message: typing.Any) -> None:
        """Handles one message."""
        match message:
            case events.Place():
                self._place(message)
            case events.Withdraw(request_key):
                self._withdraw(request_key)
            case events.StartRecorded():
                self._handle_recorded(message)
            case events.OutcomeStored(attempt_id=attempt_id):
                self._acknowledge(attempt_id)
            case events.AllowanceChanged(team, held):
                # What runs stays; only `AllowanceExceeded` asks to stop tasks.
                usable = max(held, self._ledger.used(team))
                self._scheduler.set_allowance(team, usable)
            case events.AllowanceExceeded(team, count):
                kept = max(0, self._ledger.used(team) - count)
                self._scheduler.set_allowance(team, kept)
            case events.ConfigurationChanged(snapshot):
                self._configuration = snapshot
                self._scheduler.configure(snapshot)
            case events.PeerLost(entry_id):
                self._forwarder.forget_peer(entry_id)
            case events.OrphanCleared(attempt_id):
                self._clear_orphan(attempt_id)
            case placements.PeerMessage(envelope):
                self._handle_peer(envelope)
            case placements.MoveHome(new_home, request_keys):
                self._move_home(new_home, request_keys)
            case placements.Yield(request_key):
                self._yield(request_key)
            case placements.Drain():
                self._forwarder.draining = True
            case _:
                self._handle_link(message)

    def _handle_link(self, event: link_events.Event) -> None:
        match event:
            case link_events.TargetClaimed():
                self._add_target(event)
            case link_events.TargetLost(target_id, reason):
                self._lose_target(target_id, reason)
            case link_events.TargetReported():
                self._read_report(event)
            case link_events.StartResolved():
                self._resolve_start(event)
            case link_events.AttemptEnded():
                self._end_attempt(event)

    # Requests

    def _place(self, message: events.Place) -> None:
        request = message.request
        known = self._placements.get(request.key)
        if known is not None and known.phase != placements.FORWARDED:
            return
        placement = placements.Placement(
            request, placements.QUEUED, self._clock.now()
        )
        placement.has_run = message.has_run
        self._placements[request.key] = placement
        if message.again:
            self._enqueue_again(placement, message.delay_s)
        else:
            self._submit(placement)

    def _submit(self, placement: placements.Placement) -> None:
        placement.phase = placements.QUEUED
        placement.since_s = self._clock.now()
        try:
            self._scheduler.submit(placement.request)
        except exceptions.RequestError as error:
            unsure = error.kind is exceptions.ErrorKind.NEVER_FITS
            if unsure and not self._around.knows_fleet():
                # A target whose size is not known yet may be large enough.
                placement.phase = placements.ELSEWHERE
                return
            self._refuse(placement, error.kind, error.message, error)

    def _enqueue_again(
        self, placement: placements.Placement, delay_s: float = 0.0
    ) -> None:
        placement.phase = placements.QUEUED
        placement.since_s = self._clock.now()
        placement.attempts = {}
        self._scheduler.requeue(placement.request, delay_s, placement.has_run)

    def _refuse(
        self,
        placement: placements.Placement,
        kind: exceptions.ErrorKind,
        message: str,
        source: typing.Any,
    ) -> None:
        request = placement.request
        self._placements.pop(request.key, None)
        self._around.observe("refused", request=request, kind=kind.value)
        if placement.home_entry:
            self._forwarder.give_back(placement)
            return
        self._around.to_home(
            events.GivenUp(request.key, kind, message, source.retry_after_s)
        )

    def _withdraw(self, request_key: str) -> None:
        placement = self._placements.get(request_key)
        if placement is None:
            for attempt in list(self._running.values()):
                if attempt.request_key == request_key:
                    self._stop_attempt(attempt, "stop")
            return
        placement.withdrawn = True
        match placement.phase:
            case "queued" | "elsewhere":
                self._scheduler.cancel(request_key)
                self._drop_cancelled(placement)
            case "sent":
                for attempt in placement.attempts.values():
                    self._stop_attempt(attempt, "stop")
            case "forwarded":
                cancel = peer_protocol.Cancel(request_key)
                self._around.send(placement.peer, cancel)

    def _drop_cancelled(self, placement: placements.Placement) -> None:
        if placement.home_entry:
            self._forwarder.give_back(placement)
            return
        self._placements.pop(placement.request.key, None)
        self._around.to_home(
            events.GivenUp(
                placement.request.key,
                exceptions.ErrorKind.CANCELLED,
                "cancelled by its caller",
            )
        )

    def _stop_attempt(self, attempt: records.Attempt, mode: str) -> None:
        command = link_events.StopAttempt(attempt.attempt_id, mode)
        self._around.to_target(attempt.target_id, command)

    # Decisions

    def _decide(self) -> None:
        if not self._around.is_fresh():
            return
        for decision in self._scheduler.decide(DECISIONS_PER_ROUND):
            match decision:
                case decisions.Start(request, attempts):
                    self._begin(request, attempts)
                case decisions.Preempt(attempt_id, target_id, checkpoint):
                    mode = "checkpoint" if checkpoint else "stop"
                    command = link_events.StopAttempt(attempt_id, mode)
                    self._around.to_target(target_id, command)
                    self._around.observe("preempted", attempt_id=attempt_id)
                case decisions.Throttle(attempt_id, target_id):
                    command = link_events.StopAttempt(attempt_id, "throttle")
                    self._around.to_target(target_id, command)
                case decisions.Stop(attempt_id, target_id, reason):
                    self._condemned[attempt_id] = reason
                    command = link_events.StopAttempt(attempt_id, "stop")
                    self._around.to_target(target_id, command)
                case decisions.Refuse(request, kind, message):
                    placement = self._placements.get(request.key)
                    if placement is not None:
                        self._refuse(placement, kind, message, decision)

    def _begin(
        self, request: records.Request, attempts: tuple[records.Attempt, ...]
    ) -> None:
        placement = self._placements[request.key]
        own = tuple(
            attempt._replace(
                holder=self._around.incarnation,
                home=request.home,
                lease_s=records.lease_seconds(request.kind),
            )
            for attempt in attempts
        )
        placement.version = self._configuration.version
        placement.attempts = {attempt.attempt_id: attempt for attempt in own}
        local = not placement.home_entry
        if local and request.durable and not request.idempotent:
            placement.phase = placements.RECORDING
            self._around.to_home(events.RecordStart(request.key, own))
            return
        self._send(placement)

    def _handle_recorded(self, message: events.StartRecorded) -> None:
        placement = self._placements.get(message.request_key)
        if placement is None or placement.phase != placements.RECORDING:
            return
        if message.holder:
            if message.ok and not placement.withdrawn:
                self._forwarder.send(placement, message.holder)
            else:
                self._put_back(placement)
            return
        if not message.ok:
            self._put_back(placement)
            return
        self._send(placement)

    def _put_back(self, placement: placements.Placement) -> None:
        """Returns a request to the queue; nothing of it was sent."""
        for attempt_id in placement.attempts:
            self._scheduler.not_started(attempt_id)
        placement.attempts = {}
        if placement.withdrawn:
            self._drop_cancelled(placement)
            return
        self._enqueue_again(placement)

    def _send(self, placement: placements.Placement) -> None:
        """Sends the starts, unless what they were decided under has changed."""
        unchanged = placement.version == self._configuration.version
        reachable = all(
            attempt.target_id in self._targets
            for attempt in placement.attempts.values()
        )
        usable = unchanged and reachable and self._around.is_fresh()
        if placement.withdrawn or not usable:
            self._put_back(placement)
            return
        request = placement.request
        attempts = list(placement.attempts.values())
        if self._ledger.headroom(request.team) < len(attempts):
            # The allowance was lowered after the decision.
            used = self._ledger.used(request.team)
            self._scheduler.set_allowance(request.team, used)
            self._put_back(placement)
            return
        placement.phase = placements.SENT
        placement.since_s = self._clock.now()
        for attempt in attempts:
            self._ledger.charge(request.team, attempt.attempt_id)
            self._running[attempt.attempt_id] = attempt
        self._tell_started(request.key, request.home, attempts)
        self._around.observe("started", request=request)
        by_target: dict[str, list[records.Attempt]] = {}
        for attempt in attempts:
            by_target.setdefault(attempt.target_id, []).append(attempt)
        for target_id, group in by_target.items():
            command = link_events.StartAttempts(
                tuple(group), (request,) * len(group), len(attempts) > 1
            )
            self._around.to_target(target_id, command)

    def _tell_started(
        self, request_key: str, home: str, attempts: list[records.Attempt]
    ) -> None:
        attempt_ids = [attempt.attempt_id for attempt in attempts]
        target_ids = [attempt.target_id for attempt in attempts]
        if home == self._around.incarnation:
            self._around.to_home(
                events.Started(
                    request_key, tuple(attempt_ids), tuple(target_ids)
                )
            )
            return
        peer = self._around.entry_of(home)
        if peer:
            self._around.send(
                peer,
                peer_protocol.AttemptStarted(
                    request_key, attempt_ids, target_ids
                ),
            )

    # Outcomes

    def _resolve_start(self, event: link_events.StartResolved) -> None:
        attempt = self._running.get(event.attempt_id)
        if attempt is None:
            return
        match event.state:
            case link_events.StartState.STARTED:
                self._scheduler.attempt_started(event.attempt_id)
            case link_events.StartState.NOT_STARTED:
                self._scheduler.not_started(event.attempt_id)
                result = records.Result(
                    event.attempt_id, False, error=event.reason
                )
                self._report(attempt, "not_started", result)
                self._discharge(attempt)
            case link_events.StartState.UNKNOWN:
                self._make_orphan(attempt)

    def _end_attempt(self, event: link_events.AttemptEnded) -> None:
        attempt = self._running.get(event.attempt_id)
        if attempt is None:
            return
        outcome = event.outcome.value
        if outcome == "lost" and event.result.error == "target_silent":
            # Another entry may control the target by now and renew the task's
            # lease, so only the recovery task can tell that it has ended.
            self._make_orphan(attempt)
            return
        result = event.result
        reason = self._condemned.pop(event.attempt_id, "")
        if reason:
            outcome = "finished"
            result = result._replace(ok=False, error=reason)
        failed = outcome == "finished" and not result.ok
        verdict = self._scheduler.attempt_ended(
            event.attempt_id, "failed" if failed else outcome
        )
        abandon = bool(reason) or (
            failed and verdict is schedulers.Verdict.ABANDON
        )
        self._ended[event.attempt_id] = attempt.target_id
        self._report(attempt, outcome, result, abandon)
        self._discharge(attempt)

    def _report(
        self,
        attempt: records.Attempt,
        outcome: str,
        result: records.Result,
        abandon: bool = False,
    ) -> None:
        message = events.Outcome(
            attempt.request_key,
            outcome,
            result,
            attempt.target_id,
            abandon=abandon,
        )
        self._around.observe("ended", outcome=outcome)
        if attempt.home == self._around.incarnation:
            self._around.to_home(message)
        else:
            self._around.to_reporter(reports.Report(message, attempt.home))

    def _discharge(self, attempt: records.Attempt) -> None:
        """Forgets an attempt that no longer runs."""
        self._running.pop(attempt.attempt_id, None)
        self._orphans.pop(attempt.attempt_id, None)
        if attempt.holder == self._around.incarnation:
            self._ledger.release(attempt.attempt_id)
        placement = self._placements.get(attempt.request_key)
        if placement is None:
            return
        placement.attempts.pop(attempt.attempt_id, None)
        if placement.phase == placements.SENT and not placement.attempts:
            del self._placements[attempt.request_key]

    def _acknowledge(self, attempt_id: str) -> None:
        target_id = self._ended.pop(attempt_id, "")
        if target_id:
            command = link_events.Acknowledge((attempt_id,))
            self._around.to_target(target_id, command)

    def _make_orphan(self, attempt: records.Attempt) -> None:
        """Leaves it to the recovery task to find out when it has ended."""
        if attempt.attempt_id in self._orphans:
            return
        self._orphans[attempt.attempt_id] = attempt
        self._around.to_recovery(events.HoldAttempt(attempt))

    def _clear_orphan(self, attempt_id: str) -> None:
        attempt = self._orphans.get(attempt_id)
        if attempt is None:
            return
        self._scheduler.attempt_ended(attempt_id, "lost")
        result = records.Result(attempt_id, False, error="target lost")
        self._report(attempt, "lost", result)
        self._discharge(attempt)

    # Targets

    def _add_target(self, event: link_events.TargetClaimed) -> None:
        target = event.target
        self._targets.add(target.target_id)
        running = [
            _read_attempt(report, target.target_id) for report in event.running
        ]
        finished = [
            _read_attempt(report, target.target_id)
            for report in event.finished_reports
        ]
        for attempt in (*running, *finished):
            self._orphans.pop(attempt.attempt_id, None)
            self._running[attempt.attempt_id] = attempt
        self._scheduler.add_target(target, running)
        for attempt in running:
            self._tell_started(attempt.request_key, attempt.home, [attempt])
        self._around.observe(
            "claimed", target_id=target.target_id, epoch=event.epoch
        )

    def _lose_target(self, target_id: str, reason: str) -> None:
        self._targets.discard(target_id)
        self._scheduler.remove_target(target_id)
        for attempt in list(self._running.values()):
            if attempt.target_id != target_id:
                continue
            if attempt.holder == self._around.incarnation:
                self._make_orphan(attempt)
            else:
                self._running.pop(attempt.attempt_id)
        self._around.observe("target_lost", target_id=target_id, reason=reason)

    def _read_report(self, event: link_events.TargetReported) -> None:
        self._scheduler.update_target(event.target_id, event.leaving)
        for report in event.running:
            usage = records.Resources(**report["usage"])
            age_s = report["usage_age_ms"] / 1000
            self._scheduler.report_usage(report["attempt_id"], usage, age_s)

    # Peers

    def _handle_peer(self, envelope: peer_protocol.Envelope) -> None:
        match envelope.message:
            case peer_protocol.Cancel(request_key):
                self._withdraw(request_key)
            case _:
                self._forwarder.handle(envelope)

    def _tick(self) -> None:
        self._next_tick_s = self._clock.now() + TICK_S
        for placement in list(self._placements.values()):
            if placement.phase == placements.ELSEWHERE:
                self._submit(placement)
        self._forwarder.review()

    def _move_home(self, new_home: str, request_keys: frozenset[str]) -> None:
        """Addresses outcomes of adopted requests to their new home."""
        for attempt_id, attempt in self._running.items():
            if attempt.request_key in request_keys:
                moved = attempt._replace(home=new_home)
                self._running[attempt_id] = moved

    def _yield(self, request_key: str) -> None:
        placement = self._placements.get(request_key)
        if placement is None:
            return
        if placement.phase in (placements.QUEUED, placements.ELSEWHERE):
            self._scheduler.cancel(request_key)
            del self._placements[request_key]

    # Views for heartbeats, operators and recovery

    def controlled(self) -> list[str]:
        """Returns the targets that this process controls."""
        return sorted(self._targets)

    def running(self) -> list[records.Attempt]:
        """Returns the attempts that run on targets controlled here."""
        return [
            a for a in self._running.values() if a.target_id in self._targets
        ]

    def attempts_of(self, request_keys: set[str]) -> list[records.Attempt]:
        """Returns known attempts of the given requests on these targets."""
        return [
            attempt
            for attempt in self._running.values()
            if attempt.request_key in request_keys
            and attempt.target_id in self._targets
        ]

    def foreign(self) -> list[tuple[str, str, int]]:
        """Returns running tasks charged to another holder, by team."""
        counts: dict[tuple[str, str], int] = {}
        for attempt in self._running.values():
            if attempt.holder != self._around.incarnation:
                pair = (attempt.holder, attempt.team)
                counts[pair] = counts.get(pair, 0) + 1
        return [(holder, team, n) for (holder, team), n in counts.items()]

    def summaries(self) -> list[peer_protocol.TeamSummary]:
        """Returns the load of each team at this process."""
        return self._scheduler.summaries()

    def idle(self) -> bool:
        """Tells whether nothing is queued or running here."""
        return not self._placements

    def explain(self, request_key: str) -> str:
        """Returns the reason for which a request waits or where it runs."""
        placement = self._placements.get(request_key)
        if placement is None:
            return "not known to the placer of this entry"
        match placement.phase:
            case "queued":
                return self._scheduler.explain(request_key)
            case "recording":
                return "its start is being written to the table service"
            case "forwarded":
                return f"handed to entry {placement.peer} for placing"
        targets = sorted(a.target_id for a in placement.attempts.values())
        return f"running on {', '.join(targets)}"


def _read_attempt(
    report: target_protocol.AttemptReport, target_id: str
) -> records.Attempt:
    return records.Attempt(
        attempt_id=report["attempt_id"],
        request_key=report["request_key"],
        team=report["team"],
        target_id=target_id,
        size=records.Resources(**report["size"]),
        holder=report["holder"],
        home=report["home"],
        lease_s=report["lease_ms"] / 1000,
        task_index=report["task_index"],
    )
