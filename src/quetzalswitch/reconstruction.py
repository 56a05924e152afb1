"""Finds out whether attempts under a lost controller have surely ended.

An attempt has ended when the entry that controls its target does not report
it, or when no entry controls the target and the task's lease has lapsed. The
live entries are asked in rounds. An entry that is not heard blocks the second
rule for as long as it may still renew leases.
"""

import dataclasses
import typing

import gevent.queue

from quetzalswitch import clock as clocks
from quetzalswitch import events
from quetzalswitch import records
from quetzalswitch import tasks
from quetzalswitch.peers import protocol

ROUND_S = 1.0
# A process without a confirmed configuration stops renewing its control leases
# after this time.
CONTROL_GRACE_S = 60.0
CONTROL_LEASE_S = 4.0
# Covers the drift of clocks and the time of the last renewal on its way.
LEASE_MARGIN_S = 3.0


@dataclasses.dataclass(frozen=True)
class TakeReport:
    """An entry's answer to `ControlQuery`."""

    entry_id: str
    report: protocol.ControlReport


class Silent(typing.NamedTuple):
    """An entry that is not heard and may still be running.

    Attributes:
        incarnation: Incarnation of the entry.
        last_sign_s: Time of its last sign of life.
    """

    incarnation: str
    last_sign_s: float


class View(typing.NamedTuple):
    """What this process knows when a round ends.

    Attributes:
        now_s: Time on the clock.
        alive: Entry IDs of live peers.
        silent: Entries that may still be running but are not heard.
        targets: Targets in the platform's list; None if it is not known.
        own: Report of this process.
    """

    now_s: float
    alive: set[str]
    silent: list[Silent]
    targets: set[str] | None
    own: protocol.ControlReport


@dataclasses.dataclass
class _RequestHold:
    hold: events.Hold
    since_s: float
    first_round: int


@dataclasses.dataclass
class _AttemptHold:
    attempt: records.Attempt
    for_home: bool
    since_s: float
    first_round: int


class Recovery(tasks.Task):
    """Holds requests and attempts until their earlier attempts have ended.

    Args:
        clock: Source of time.
        find_view: Returns the current view, given request keys to report on.
        last_forward: Returns the number of the last forward of this process.
        ask: Sends a message to all live peers.
        to_home: Gives a message to the home task.
        to_placer: Gives a message to the placer.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        find_view: typing.Callable[[set[str]], View],
        last_forward: typing.Callable[[], int],
        ask: typing.Callable[[protocol.Message], None],
        to_home: typing.Callable[[typing.Any], None],
        to_placer: typing.Callable[[typing.Any], None],
    ):
        super().__init__("recovery")
        self._clock = clock
        self._find_view = find_view
        self._last_forward = last_forward
        self._ask = ask
        self._to_home = to_home
        self._to_placer = to_placer
        self._requests: dict[str, _RequestHold] = {}
        self._attempts: dict[tuple[str, bool], _AttemptHold] = {}
        self._round = 0
        self._reports: dict[str, protocol.ControlReport] = {}
        self._asked_s = clock.now()

    def run(self) -> None:
        """Handles messages and closes a round each second."""
        while True:
            try:
                self.handle(self.inbox.get(timeout=ROUND_S / 4))
            except gevent.queue.Empty:
                self._close_when_due()

    def handle(self, message: typing.Any) -> None:
        """Handles one message."""
        match message:
            case events.Hold(request_key):
                # Answers to an earlier query say nothing about this request.
                held = _RequestHold(message, self._clock.now(), self._round + 1)
                self._requests[request_key] = held
            case events.HoldAttempt(attempt, for_home):
                held = _AttemptHold(
                    attempt, for_home, self._clock.now(), self._round + 1
                )
                self._attempts[attempt.attempt_id, for_home] = held
            case TakeReport(entry_id, report):
                if report.query == self._round:
                    self._reports[entry_id] = report
        self._close_when_due()

    def holding(self) -> int:
        """Returns the number of requests and attempts on hold."""
        return len(self._requests) + len(self._attempts)

    def _keys(self) -> set[str]:
        keys = set(self._requests)
        keys.update(h.attempt.request_key for h in self._attempts.values())
        return keys

    def _close_when_due(self) -> None:
        now_s = self._clock.now()
        if now_s - self._asked_s < ROUND_S or not self.holding():
            return
        if self._round:
            self._close_round()
        self._round += 1
        self._reports = {}
        self._asked_s = now_s
        keys = sorted(self._keys())
        query = protocol.ControlQuery(self._round, self._last_forward(), keys)
        self._ask(query)

    def _close_round(self) -> None:
        view = self._find_view(self._keys())
        answers = {"": view.own, **self._reports}
        judged = Judgement(view, answers)
        for key, held in list(self._requests.items()):
            if held.first_round <= self._round:
                self._judge_request(key, held, judged)
        for held in list(self._attempts.values()):
            if held.first_round <= self._round:
                self._judge_attempt(held, judged)

    def _judge_request(
        self, key: str, held: _RequestHold, judged: "Judgement"
    ) -> None:
        found = judged.attempts_of(key)
        if found:
            del self._requests[key]
            ids = tuple(attempt_id for attempt_id, _ in found)
            targets = tuple(target_id for _, target_id in found)
            self._to_home(events.Started(key, ids, targets))
            return
        if judged.covers_all() or judged.all_lapsed(
            held.since_s, held.hold.lease_s, held.hold.suspect
        ):
            del self._requests[key]
            self._to_home(events.Cleared(key))

    def _judge_attempt(self, held: _AttemptHold, judged: "Judgement") -> None:
        attempt = held.attempt
        key = (attempt.attempt_id, held.for_home)
        found = judged.attempts_of(attempt.request_key)
        if any(attempt.attempt_id == known for known, _ in found):
            # Its controller reports the end to the home. The placer goes on
            # watching, since the attempt stays charged to this process.
            if held.for_home or judged.is_own(attempt.target_id):
                del self._attempts[key]
            return
        ended = (
            judged.is_controlled(attempt.target_id)
            or judged.is_gone(attempt.target_id)
            or judged.all_lapsed(held.since_s, attempt.lease_s, "")
        )
        if not ended:
            return
        del self._attempts[key]
        if not held.for_home:
            self._to_placer(events.OrphanCleared(attempt.attempt_id))
            return
        result = records.Result(attempt.attempt_id, False, error="target lost")
        self._to_home(
            events.Outcome(
                attempt.request_key, "lost", result, attempt.target_id
            )
        )


class Judgement:
    """What the answers of one round prove.

    Args:
        view: What this process knows.
        reports: Answers by entry ID; this process's own under "".
    """

    def __init__(self, view: View, reports: dict[str, protocol.ControlReport]):
        self._view = view
        self._complete = view.alive <= set(reports)
        self._own = set(view.own.targets)
        self._controlled = {
            target_id
            for report in reports.values()
            for target_id in report.targets
        }
        self._found: dict[str, list[tuple[str, str]]] = {}
        for report in reports.values():
            for key, attempt_id, target_id in report.attempts:
                self._found.setdefault(key, []).append((attempt_id, target_id))

    def attempts_of(self, request_key: str) -> list[tuple[str, str]]:
        """Returns reported (attempt ID, target ID) pairs of a request."""
        return sorted(set(self._found.get(request_key, [])))

    def is_own(self, target_id: str) -> bool:
        """Tells whether this process controls the target."""
        return target_id in self._own

    def is_controlled(self, target_id: str) -> bool:
        """Tells whether an entry that answered controls the target."""
        return target_id in self._controlled

    def is_gone(self, target_id: str) -> bool:
        """Tells whether the platform no longer lists the target."""
        targets = self._view.targets
        return targets is not None and target_id not in targets

    def covers_all(self) -> bool:
        """Tells whether every target is controlled by an entry that answered.

        The lost entry then controls none of them, so none of its attempts can
        be missing from the answers.
        """
        targets = self._view.targets
        return (
            self._complete
            and targets is not None
            and targets <= self._controlled
        )

    def all_lapsed(self, since_s: float, lease_s: float, suspect: str) -> bool:
        """Tells whether every lease that nobody reports has lapsed.

        Args:
            since_s: When the hold began.
            lease_s: Task lease in seconds.
            suspect: Incarnation of the lost entry; empty if it is this one.
        """
        if not self._complete:
            return False
        now_s = self._view.now_s
        wait_s = lease_s + CONTROL_LEASE_S + LEASE_MARGIN_S
        if now_s - since_s < wait_s:
            return False
        grace_s = wait_s + CONTROL_GRACE_S
        return all(
            now_s - silent.last_sign_s >= grace_s
            for silent in self._view.silent
        )
