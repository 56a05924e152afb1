"""Reports outcomes to homes at other entries until they are stored."""

import contextlib
import dataclasses
import typing

import gevent.queue

from quetzalswitch import clock as clocks
from quetzalswitch import events
from quetzalswitch import tasks
from quetzalswitch.peers import protocol

REPEAT_S = 1.0
# A result whose home is gone and whose request nobody has adopted by then
# belonged to a caller that was lost with its entry.
KEEP_S = 600.0


@dataclasses.dataclass(frozen=True)
class Report:
    """An outcome for the home with the given incarnation."""

    outcome: events.Outcome
    home: str


@dataclasses.dataclass(frozen=True)
class Stored:
    """A home has stored or delivered an outcome."""

    request_key: str
    attempt_id: str


@dataclasses.dataclass(frozen=True)
class MoveHome:
    """Requests of a dead home now belong to another incarnation."""

    new_home: str
    request_keys: tuple[str, ...]


class _Move(typing.NamedTuple):
    new_home: str
    moved_s: float


@dataclasses.dataclass
class _Pending:
    report: Report
    since_s: float


class Reporter(tasks.Task):
    """Owns outcomes that a home elsewhere has not stored yet.

    Args:
        clock: Source of time.
        incarnation: Incarnation of this process.
        entry_of: Returns the entry ID of a live incarnation, or "".
        send: Sends a message to a peer: (entry_id, message).
        to_home: Gives a message to this process's home task.
        to_placer: Gives a message to the placer.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        incarnation: str,
        entry_of: typing.Callable[[str], str],
        send: typing.Callable[[str, protocol.Message], None],
        to_home: typing.Callable[[typing.Any], None],
        to_placer: typing.Callable[[typing.Any], None],
    ):
        super().__init__("reporter")
        self._clock = clock
        self._incarnation = incarnation
        self._entry_of = entry_of
        self._send = send
        self._to_home = to_home
        self._to_placer = to_placer
        self._pending: dict[tuple[str, str], _Pending] = {}
        self._moves: dict[str, _Move] = {}

    def run(self) -> None:
        """Handles messages and repeats what is not acknowledged."""
        next_s = self._clock.now() + REPEAT_S
        while True:
            with contextlib.suppress(gevent.queue.Empty):
                self.handle(self.inbox.get(timeout=REPEAT_S))
            if self._clock.now() >= next_s:
                next_s = self._clock.now() + REPEAT_S
                self._repeat()

    def handle(self, message: typing.Any) -> None:
        """Handles one message."""
        match message:
            case Report(outcome):
                key = (outcome.request_key, outcome.result.attempt_id)
                pending = _Pending(message, self._clock.now())
                self._pending[key] = pending
                self._deliver(pending)
            case Stored(request_key, attempt_id):
                if self._pending.pop((request_key, attempt_id), None):
                    self._release(request_key, attempt_id)
            case MoveHome(new_home, request_keys):
                self._move(new_home, set(request_keys))

    def pending_attempts(
        self, request_keys: set[str]
    ) -> list[tuple[str, str, str]]:
        """Returns (request key, attempt, target) that wait to be stored."""
        return [
            (key, attempt_id, pending.report.outcome.target_id)
            for (key, attempt_id), pending in self._pending.items()
            if key in request_keys and attempt_id
        ]

    def idle(self) -> bool:
        """Tells whether every outcome has been stored by its home."""
        return not self._pending

    def _move(self, new_home: str, request_keys: set[str]) -> None:
        move = _Move(new_home, self._clock.now())
        self._moves.update(dict.fromkeys(request_keys, move))
        for key, pending in self._pending.items():
            if key[0] in request_keys:
                pending.report = dataclasses.replace(
                    pending.report, home=new_home
                )
                self._deliver(pending)

    def _find_home(self, report: Report) -> str:
        """Returns the home that an outcome is delivered to.

        A target that is claimed after the adoption of a request still names
        the request's old home.
        """
        move = self._moves.get(report.outcome.request_key)
        if move is None or self._entry_of(report.home):
            return report.home
        return move.new_home

    def _deliver(self, pending: _Pending) -> None:
        outcome, home = pending.report.outcome, self._find_home(pending.report)
        if home == self._incarnation:
            self._to_home(outcome)
            return
        peer = self._entry_of(home)
        if peer:
            message = protocol.AttemptFinished(
                outcome.request_key,
                outcome.outcome,
                outcome.result,
                outcome.target_id,
            )
            self._send(peer, message)

    def _repeat(self) -> None:
        horizon_s = self._clock.now() - KEEP_S
        for (request_key, attempt_id), pending in list(self._pending.items()):
            if pending.since_s < horizon_s:
                del self._pending[request_key, attempt_id]
                self._release(request_key, attempt_id)
            else:
                self._deliver(pending)
        for request_key, move in list(self._moves.items()):
            if move.moved_s < horizon_s:
                del self._moves[request_key]

    def _release(self, request_key: str, attempt_id: str) -> None:
        if attempt_id:
            stored = events.OutcomeStored(request_key, attempt_id)
            self._to_placer(stored)
