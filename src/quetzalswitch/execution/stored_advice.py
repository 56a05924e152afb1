"""Questions to the advice service that go through the store.

The service processes one call at a time for each VM. Where links between
entries carry nothing, the leader alone can't get the advice that it needs, so
it asks entries that don't hear it through rows that both read.
"""

import collections
import itertools
import typing
from collections.abc import Callable

import gevent
import gevent.event
import msgspec

from quetzalswitch import clock as clocks
from quetzalswitch import decoding
from quetzalswitch import exceptions
from quetzalswitch import greenlets
from quetzalswitch import nodelog
from quetzalswitch.execution import protocol
from quetzalswitch.peers import peer as peers
from quetzalswitch.platform import store as stores
from quetzalswitch.recovery import tables

# Followed by the leader: who can be asked, and answers. Each entry has a part
# of its own, since writes to a part wait for each other.
ANSWER_TABLE: typing.Final = "advice"
READY_KEY: typing.Final = "ready"
# Each entry follows a table of its own while it doesn't hear the leader.
QUESTION_TABLE_PREFIX: typing.Final = "advice/"
# Rows are reused in turn; an adviser has fewer questions than this at a time.
SLOTS_COUNT: typing.Final = 16
# How often an entry says that it can be asked, and how long that holds.
READY_INTERVAL_S: typing.Final = 1.0
READY_LIMIT_S: typing.Final = 3.0
READY_TIMEOUT_S: typing.Final = 0.7
CHECK_INTERVAL_S: typing.Final = 0.5
# For a question and its answer to pass the store. Each is a write and a read
# of changes, 20 ms together.
STORE_MARGIN_S: typing.Final = 0.4


class Question(msgspec.Struct, array_like=True):
    """A stored question; an adviser gets each `number` once in an epoch."""

    epoch: peers.Epoch
    number: int
    stage_key: str
    target_ids: list[str]
    timeout_s: peers.Amount


class Answer(msgspec.Struct, array_like=True):
    """The stored answer to a question; no tickets if the service gave none."""

    epoch: peers.Epoch
    number: int
    tickets: dict[str, str] | None = None
    valid_s: float | None = None


_QUESTION: typing.Final = msgspec.msgpack.Decoder(Question)
_ANSWER: typing.Final = msgspec.msgpack.Decoder(Answer)

CallService = Callable[[str, list[str], float], protocol.AdviceAnswer | None]


class Asker:
    """Asks entries through the store; used by the leader of an epoch."""

    def __init__(
        self,
        store: stores.Store,
        clock: clocks.Clock,
        log: nodelog.NodeLog,
        epoch: int,
    ):
        self._store = store
        self._clock = clock
        self._log = log
        self._epoch = epoch
        self._numbers: collections.defaultdict[str, typing.Iterator[int]] = (
            collections.defaultdict(itertools.count)
        )
        # By adviser and number.
        self._pending: dict[tuple[str, int], gevent.event.AsyncResult] = {}
        self._ready_s: dict[str, float] = {}
        self._follower = tables.Follower(
            store, ANSWER_TABLE, [""], clock, log, self._apply_rows
        )

    def start(self) -> None:
        """Starts reading answers and who can be asked."""
        self._follower.start()

    def stop(self) -> None:
        """Stops reading; pending questions time out."""
        self._follower.stop()

    def list_ready(self) -> list[str]:
        """Returns the entries that can be asked through the store."""
        since_s = self._clock.now() - READY_LIMIT_S
        return [name for name, at_s in self._ready_s.items() if at_s > since_s]

    def ask(
        self,
        adviser: str,
        stage_key: str,
        target_ids: list[str],
        timeout_s: float,
    ) -> protocol.AdviceAnswer | None:
        """Returns the service's answer; None, after logging, without one."""
        number = next(self._numbers[adviser])
        question = Question(
            self._epoch, number, stage_key, target_ids, timeout_s
        )
        put = stores.Put(
            QUESTION_TABLE_PREFIX + adviser,
            str(number % SLOTS_COUNT),
            msgspec.msgpack.encode(question),
        )
        result = gevent.event.AsyncResult()
        self._pending[adviser, number] = result
        try:
            with gevent.Timeout(timeout_s + STORE_MARGIN_S):
                self._store.transact(adviser, [put])
                answer = result.get()
        except (exceptions.StoreUnavailableError, gevent.Timeout) as error:
            self._log.note(
                "advice_failed",
                step=stage_key,
                error=f"{adviser}, through the store: {error}",
            )
            return None
        finally:
            del self._pending[adviser, number]
        if answer.tickets is None:
            return None
        return protocol.AdviceAnswer(answer.tickets, answer.valid_s)

    def _apply_rows(self, rows: list[stores.Row], full: bool) -> None:
        if full:
            # Written for an earlier leader, or at an unknown time.
            return
        for row in rows:
            if row.removed:
                continue
            if row.key == READY_KEY:
                self._ready_s[row.part] = self._clock.now()
            else:
                self._apply_answer(row)

    def _apply_answer(self, row: stores.Row) -> None:
        try:
            answer = decoding.decode(_ANSWER.decode, row.value, "stored advice")
        except exceptions.ProtocolError as error:
            tables.log_unreadable_entry(row, error, self._log)
            return
        result = self._pending.get((row.part, answer.number))
        if answer.epoch == self._epoch and result is not None:
            result.set(answer)


class Adviser:
    """Answers questions from the store while the leader is not heard."""

    def __init__(
        self,
        name: str,
        store: stores.Store,
        clock: clocks.Clock,
        log: nodelog.NodeLog,
        call_service: CallService,
        find_epoch: Callable[[], int],
    ):
        """Prepares an adviser.

        Args:
            name: Name of this entry.
            store: The store.
            clock: Source of time.
            log: Where the start and the end of this state are logged.
            call_service: Calls the advice service; None if it fails.
            find_epoch: Returns the epoch of a leader that works but is not
                heard; 0 if there is none.
        """
        self._name = name
        self._store = store
        self._clock = clock
        self._log = log
        self._call_service = call_service
        self._find_epoch = find_epoch
        self._follower: tables.Follower | None = None
        self._told_s = float("-inf")
        self._epoch = 0

    def run(self) -> None:
        """Follows questions while it is needed; never returns."""
        while True:
            epoch = self._find_epoch()
            if epoch:
                self._follow(epoch)
            elif self._follower is not None:
                self._follower.stop()
                self._follower = None
                self._log.note("advice_by_links")
            self._clock.sleep(CHECK_INTERVAL_S)

    def _follow(self, epoch: int) -> None:
        self._epoch = epoch
        if self._follower is None:
            self._log.note("advice_by_store", epoch=epoch)
            self._follower = tables.Follower(
                self._store,
                QUESTION_TABLE_PREFIX + self._name,
                [self._name],
                self._clock,
                self._log,
                self._apply_rows,
            )
            self._follower.start()
        due_s = self._told_s + READY_INTERVAL_S
        if self._clock.now() < due_s or not self._follower.loaded:
            return
        put = stores.Put(ANSWER_TABLE, READY_KEY, b"")
        try:
            self._store.transact(self._name, [put], timeout_s=READY_TIMEOUT_S)
        except exceptions.StoreUnavailableError:
            # The store's metrics count it; said again with the next check.
            return
        self._told_s = self._clock.now()

    def _apply_rows(self, rows: list[stores.Row], full: bool) -> None:
        if full:
            # Their time is over.
            return
        for row in rows:
            if row.removed:
                continue
            try:
                question = decoding.decode(
                    _QUESTION.decode, row.value, "a stored question"
                )
            except exceptions.ProtocolError as error:
                tables.log_unreadable_entry(row, error, self._log)
                continue
            if question.epoch != self._epoch:
                # Its leader has been replaced.
                continue
            greenlets.spawn(lambda q=question: self._answer(q), self._log)

    def _answer(self, question: Question) -> None:
        found = self._call_service(
            question.stage_key, question.target_ids, question.timeout_s
        )
        answer = Answer(question.epoch, question.number)
        if found is not None:
            answer.tickets, answer.valid_s = found
        put = stores.Put(
            ANSWER_TABLE,
            str(question.number % SLOTS_COUNT),
            msgspec.msgpack.encode(answer),
        )
        try:
            self._store.transact(self._name, [put])
        except exceptions.StoreUnavailableError as error:
            self._log.note(
                "advice_failed", step=question.stage_key, error=str(error)
            )
