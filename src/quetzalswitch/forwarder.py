"""Hands requests to peers for placing and takes them from peers."""

import typing

from quetzalswitch import clock as clocks
from quetzalswitch import events
from quetzalswitch import exceptions
from quetzalswitch import forwarding
from quetzalswitch import placements
from quetzalswitch import records
from quetzalswitch import reports
from quetzalswitch import retries
from quetzalswitch import scheduler as schedulers
from quetzalswitch.peers import protocol as peer_protocol

# Connections live for at most 330 s, so no older copy can arrive.
REMEMBERED_S = 600.0


class Forwarder:
    """The part of the placer that deals with peers.

    It works on the placer's own table of placements and is called by the
    placer only.

    Args:
        clock: Source of time.
        scheduler: The policy.
        surroundings: The rest of the process.
        table: Placements by request key.
        enqueue: Queues a placement again: (placement).
    """

    def __init__(
        self,
        clock: clocks.Clock,
        scheduler: schedulers.Scheduler,
        surroundings: placements.Surroundings,
        table: dict[str, placements.Placement],
        enqueue: typing.Callable[[placements.Placement], None],
    ):
        self._clock = clock
        self._scheduler = scheduler
        self._around = surroundings
        self._table = table
        self._enqueue = enqueue
        self.draining = False
        self.last_number = 0
        self._taken: dict[str, dict[int, float]] = {}
        self._barriers: dict[str, int] = {}

    def handle(self, envelope: peer_protocol.Envelope) -> None:
        """Handles a message from a peer."""
        match envelope.message:
            case peer_protocol.Forward():
                self._take(envelope, envelope.message)
            case peer_protocol.ForwardAnswer(number, request_key, taken):
                self._handle_answer(number, request_key, taken)
            case peer_protocol.ControlQuery(query, last_forward, request_keys):
                keys = set(request_keys)
                self._barriers[envelope.incarnation] = last_forward
                self._drop_waiting(keys)
                report = self._around.report_control(query, keys)
                self._around.send(envelope.sender, report)

    def review(self) -> None:
        """Forwards what waits too long and returns what peers want back."""
        now_s = self._clock.now()
        budget = forwarding.Budget(self._around.find_peers())
        for placement in list(self._table.values()):
            waited_s = now_s - placement.since_s
            match placement.phase:
                case placements.FORWARDED:
                    if waited_s > forwarding.ANSWER_TIMEOUT_S:
                        self._resend(placement, now_s)
                case placements.ELSEWHERE:
                    self._try_forward(placement, budget)
                case placements.QUEUED if placement.home_entry:
                    if self.draining or waited_s > forwarding.RETURN_AFTER_S:
                        self._scheduler.cancel(placement.request.key)
                        self.give_back(placement)
                case placements.QUEUED:
                    if waited_s > forwarding.FORWARD_AFTER_S:
                        self._try_forward(placement, budget)

    def send(self, placement: placements.Placement, peer: str) -> None:
        """Hands a request to a peer."""
        self.last_number += 1
        placement.phase = placements.FORWARDED
        placement.peer = peer
        placement.forward = self.last_number
        self._around.to_home(events.Forwarded(placement.request.key, peer))
        self._around.observe("forwarded", request=placement.request)
        self._resend(placement, self._clock.now())

    def give_back(self, placement: placements.Placement) -> None:
        """Tells the home of a forwarded request that nothing was started."""
        request = placement.request
        self._table.pop(request.key, None)
        nothing = records.Result("", False)
        outcome = events.Outcome(request.key, "not_started", nothing, "")
        self._around.to_reporter(reports.Report(outcome, request.home))

    def forget_peer(self, entry_id: str) -> None:
        """Drops what a lost peer was placing; its home holds the request."""
        for key, placement in list(self._table.items()):
            forwarded = placement.phase == placements.FORWARDED
            if forwarded and placement.peer == entry_id:
                del self._table[key]

    def _take(
        self, envelope: peer_protocol.Envelope, message: peer_protocol.Forward
    ) -> None:
        now_s = self._clock.now()
        request = message.request._replace(
            submitted_s=now_s - message.waited_s,
            deadline_s=retries.local_deadline_s(
                self._clock, message.deadline_in_s
            ),
        )
        taken = self._taken.setdefault(envelope.incarnation, {})
        reason = ""
        if message.number not in taken:
            reason = self._try_take(envelope, message.number, request)
        if not reason:
            taken[message.number] = now_s
        self._around.send(
            envelope.sender,
            peer_protocol.ForwardAnswer(
                message.number, request.key, not reason, reason
            ),
        )

    def _try_take(
        self,
        envelope: peer_protocol.Envelope,
        number: int,
        request: records.Request,
    ) -> str:
        """Returns the reason for not taking a request, or ""."""
        if self.draining or not self._around.is_fresh():
            return "not_accepting"
        if number <= self._barriers.get(envelope.incarnation, 0):
            return "superseded"
        if not self._around.is_alive(envelope.sender):
            # It may have been paused and replaced in the meantime.
            return "sender_not_alive"
        if request.key in self._table:
            return "already_here"
        try:
            self._scheduler.submit(request)
        except exceptions.RequestError as error:
            return error.kind.value
        self._table[request.key] = placements.Placement(
            request, placements.QUEUED, self._clock.now(), envelope.sender
        )
        return ""

    def forget_old(self) -> None:
        """Forgets forwards so old that no copy of them can arrive."""
        horizon_s = self._clock.now() - REMEMBERED_S
        for incarnation, taken in list(self._taken.items()):
            kept = {n: at for n, at in taken.items() if at > horizon_s}
            self._taken[incarnation] = kept
            if not kept:
                del self._taken[incarnation]

    def _handle_answer(
        self, number: int, request_key: str, taken: bool
    ) -> None:
        placement = self._table.get(request_key)
        if placement is None or placement.phase != placements.FORWARDED:
            return
        if placement.forward != number:
            return
        if taken:
            placement.since_s = float("inf")
            return
        placement.peer = ""
        self._around.to_home(events.Forwarded(request_key, ""))
        self._enqueue(placement)

    def _drop_waiting(self, request_keys: set[str]) -> None:
        """Drops forwarded requests that their home has on hold.

        The home starts them again once nobody reports an attempt, so that a
        request that waits here must not start any more.
        """
        for key in request_keys:
            placement = self._table.get(key)
            if placement is None or not placement.home_entry:
                continue
            if placement.phase == placements.QUEUED:
                self._scheduler.cancel(key)
                del self._table[key]

    def _try_forward(
        self, placement: placements.Placement, budget: forwarding.Budget
    ) -> None:
        request = placement.request
        peer = budget.choose(request)
        if not peer or not self._around.is_fresh():
            return
        waits = placement.phase == placements.ELSEWHERE
        if not waits and not self._scheduler.cancel(request.key):
            return
        if request.durable and not request.idempotent:
            placement.phase = placements.RECORDING
            record = events.RecordStart(request.key, (), peer)
            self._around.to_home(record)
            return
        self.send(placement, peer)

    def _resend(self, placement: placements.Placement, now_s: float) -> None:
        placement.since_s = now_s
        request = placement.request
        message = peer_protocol.Forward(
            placement.forward,
            request,
            retries.remaining_s(self._clock, request.deadline_s),
            now_s - request.submitted_s,
        )
        self._around.send(placement.peer, message)
