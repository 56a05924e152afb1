"""Follows which calls to the advice service led to starts.

A call whose tickets expire unused has occupied a VM for nothing: there was no
room, or another step took it.
"""

import collections
import typing


class SettledCall(typing.NamedTuple):
    """A call whose tickets have all expired.

    Attributes:
        stage_key: Name of the step.
        queue: Name of its queue.
        asked: Number of targets that the call named.
        allowed: Number of tickets in the answer.
        started: Number of runs that were started with them.
    """

    stage_key: str
    queue: str
    asked: int
    allowed: int
    started: int


class _OpenCall:
    """A call with tickets that may be valid still."""

    __slots__ = (
        "asked",
        "expires_s",
        "queue",
        "stage_key",
        "started",
        "tickets",
    )

    def __init__(
        self,
        stage_key: str,
        queue: str,
        asked: int,
        tickets: tuple[str, ...],
        expires_s: float,
    ):
        self.stage_key = stage_key
        self.queue = queue
        self.asked = asked
        self.tickets = tickets
        self.expires_s = expires_s
        self.started = 0


class AdviceUse:
    """The answered calls whose tickets may be valid still."""

    def __init__(self) -> None:
        # Policies have unlike validity, so the calls of a queue are in order of
        # expiry and those of all queues aren't.
        self._open: dict[str, collections.deque[_OpenCall]] = {}
        self._by_ticket: dict[tuple[str, str], _OpenCall] = {}

    def record_answer(
        self,
        stage_key: str,
        queue: str,
        asked: int,
        tickets: typing.Iterable[str],
        expires_s: float,
    ) -> None:
        """Adds an answered call.

        Args:
            stage_key: Name of the step.
            queue: Name of its queue.
            asked: Number of targets that the call named.
            tickets: Tickets in the answer.
            expires_s: Monotonic time at which they expire.
        """
        call = _OpenCall(stage_key, queue, asked, tuple(tickets), expires_s)
        self._open.setdefault(queue, collections.deque()).append(call)
        for ticket in call.tickets:
            self._by_ticket[stage_key, ticket] = call

    def record_start(self, stage_key: str, ticket: str) -> None:
        """Counts a start with a ticket."""
        call = self._by_ticket.get((stage_key, ticket))
        if call is not None:
            call.started += 1

    def settle(self, now_s: float) -> list[SettledCall]:
        """Removes and returns the calls whose tickets have expired."""
        settled = []
        for calls in self._open.values():
            while calls and calls[0].expires_s <= now_s:
                call = calls.popleft()
                for ticket in call.tickets:
                    if self._by_ticket.get((call.stage_key, ticket)) is call:
                        del self._by_ticket[call.stage_key, ticket]
                settled.append(
                    SettledCall(
                        call.stage_key,
                        call.queue,
                        call.asked,
                        len(call.tickets),
                        call.started,
                    )
                )
        return settled
