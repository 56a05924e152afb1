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
from quetzalswitch import scheduler as schedulers
from quetzalswitch import supervisor as supervisors
from quetzalswitch import tasks
from quetzalswitch.peers import protocol as peer_protocol

DECISIONS_PER_ROUND = 256
TICK_S = 0.1
SURVEY_INTERVAL_S = 5.0


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
        self.supervisor = supervisors.Supervisor(
            clock, scheduler, ledger, surroundings, self._forget_attempt
        )
        self._configuration = configuration.Configuration()
        self._forwarder = forwarders.Forwarder(
            clock,
            scheduler,
            surroundings,
            self._placements,
            self._enqueue_again,
        )
        self._next_tick_s = clock.now()
        self._next_survey_s = clock.now()

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
                self.supervisor.acknowledge(attempt_id)
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
            case events.LeavingTargets(target_ids):
                self.supervisor.note_leaving(target_ids)
            case events.OrphanCleared(attempt_id):
                self.supervisor.clear_orphan(attempt_id)
            case placements.PeerMessage(envelope):
                self._handle_peer(envelope)
            case events.Settled(request_key, is_open):
                self._settle(request_key, is_open)
            case placements.MoveHome(new_home, request_keys):
                self.supervisor.move_home(new_home, request_keys)
            case placements.Yield(request_key):
                self._yield(request_key)
            case placements.Drain():
                self._forwarder.draining = True
            case _:
                self.supervisor.handle(message)

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
            if unsure and not self._around.knows_all_sizes():
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
        if placement.home_entry:
            self._forwarder.give_back(placement)
            return
        self._around.to_home(
            events.GivenUp(request.key, kind, message, source.retry_after_s)
        )

    def _withdraw(self, request_key: str) -> None:
        placement = self._placements.get(request_key)
        if placement is None:
            self.supervisor.stop_request(request_key)
            return
        placement.withdrawn = True
        match placement.phase:
            case "queued" | "elsewhere":
                self._scheduler.cancel(request_key)
                self._drop_cancelled(placement)
            case "sent":
                self.supervisor.stop_request(request_key)
            case "forwarded":
                cancel = peer_protocol.Cancel(request_key)
                self._around.send(placement.peer, cancel)

    def _settle(self, request_key: str, is_open: bool) -> None:
        """Drops a request that its home has answered."""
        if is_open:
            self._withdraw(request_key)
        placement = self._placements.get(request_key)
        if placement is not None and placement.phase == placements.FORWARDED:
            del self._placements[request_key]

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

    def _forget_attempt(self, attempt: records.Attempt) -> None:
        placement = self._placements.get(attempt.request_key)
        if placement is None:
            return
        placement.attempts.pop(attempt.attempt_id, None)
        if placement.phase == placements.SENT and not placement.attempts:
            del self._placements[attempt.request_key]

    # Decisions

    def _decide(self) -> None:
        if not self._around.is_fresh():
            return
        started_s = self._clock.now()
        chosen = self._scheduler.decide(DECISIONS_PER_ROUND)
        self._around.observe(
            "decided",
            duration_s=self._clock.now() - started_s,
            decisions=chosen,
        )
        for decision in chosen:
            match decision:
                case decisions.Start(request, attempts):
                    self._begin(request, attempts)
                case decisions.Preempt(attempt_id, target_id, checkpoint):
                    mode = "checkpoint" if checkpoint else "stop"
                    self.supervisor.stop(attempt_id, target_id, mode)
                    self._around.observe("preempted", attempt_id=attempt_id)
                case decisions.Throttle(attempt_id, target_id):
                    self.supervisor.stop(attempt_id, target_id, "throttle")
                case decisions.Stop(attempt_id, target_id, reason):
                    self.supervisor.condemn(attempt_id, target_id, reason)
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
            self.supervisor.is_usable(attempt.target_id)
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
        self._around.observe("started", request=request, attempts=attempts)
        self.supervisor.start(request, attempts)

    # Peers

    def _handle_peer(self, envelope: peer_protocol.Envelope) -> None:
        match envelope.message:
            case peer_protocol.Cancel(request_key):
                self._withdraw(request_key)
            case _:
                self._forwarder.handle(envelope)

    def _tick(self) -> None:
        now_s = self._clock.now()
        self._next_tick_s = now_s + TICK_S
        if now_s >= self._next_survey_s:
            self._next_survey_s = now_s + SURVEY_INTERVAL_S
            self._survey_fleet()
        for placement in list(self._placements.values()):
            if placement.phase == placements.ELSEWHERE:
                self._submit(placement)
        self._forwarder.review()
        self._forwarder.forget_old()

    def _survey_fleet(self) -> None:
        """Tells the policy how large the targets of other entries are."""
        for entry_id, beat in self._around.find_peers().items():
            self._scheduler.observe_fleet(
                [
                    records.Target(
                        f"{entry_id}/{index}-{number}",
                        "",
                        "",
                        "",
                        shape.size,
                        shape.slots,
                    )
                    for index, shape in enumerate(beat.shapes)
                    for number in range(shape.count)
                ]
            )

    def _yield(self, request_key: str) -> None:
        placement = self._placements.get(request_key)
        if placement is None:
            return
        if placement.phase in (placements.QUEUED, placements.ELSEWHERE):
            self._scheduler.cancel(request_key)
            del self._placements[request_key]

    # Views for heartbeats, operators and recovery

    def last_forward(self) -> int:
        """Returns the number of the last request handed to a peer."""
        return self._forwarder.last_number

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
