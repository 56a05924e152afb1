"""Tests of questions to the advice service that go through the store."""

import gevent
import msgspec
import pytest

import wire_store
from quetzalswitch import clock as clocks
from quetzalswitch import nodelog
from quetzalswitch import nodemetrics
from quetzalswitch.execution import protocol
from quetzalswitch.execution import stored_advice
from quetzalswitch.platform import store as stores

EPOCH = 3
TICKETS = {"i-0": "t0"}


class _Stage:
    """A leader and an adviser that share nothing but the store.

    Attributes:
        asked: What the adviser asked the service.
        answer: What the service answers.
        unheard_epoch: Epoch of the leader that the adviser doesn't hear.
    """

    def __init__(self):
        self.clock = clocks.SystemClock()
        self.log = nodelog.NodeLog(self.clock)
        self.standin = wire_store.Store()
        self.server, self.address = wire_store.serve(self.standin)
        self.asked = []
        self.answer = protocol.AdviceAnswer(TICKETS, 1.5)
        self.unheard_epoch = EPOCH
        self.asker = stored_advice.Asker(
            self.make_store(), self.clock, self.log, EPOCH
        )
        self.asker.start()
        self.adviser = stored_advice.Adviser(
            "e1",
            self.make_store(),
            self.clock,
            self.log,
            self.call_service,
            lambda: self.unheard_epoch,
        )
        self.greenlet = gevent.spawn(self.adviser.run)

    def make_store(self):
        metrics = nodemetrics.NodeMetrics(self.log)
        return stores.Store(self.address, self.clock, metrics)

    def call_service(self, stage_key, target_ids, timeout_s):
        del timeout_s
        self.asked.append((stage_key, target_ids))
        return self.answer

    def wait_ready(self):
        with gevent.Timeout(20):
            while not self.asker.list_ready():
                gevent.sleep(0.02)

    def stop(self):
        self.unheard_epoch = 0
        self.asker.stop()
        self.greenlet.kill()
        if self.adviser._follower is not None:
            self.adviser._follower.stop()
        self.server.kill()


@pytest.fixture(name="stage")
def _stage():
    stage = _Stage()
    yield stage
    stage.stop()


def test_entry_that_does_not_hear_the_leader_gives_advice(stage):
    """Guards against a leader with the advice of one VM for all work.

    Where links carried nothing, submissions waited 20 s for their first start.
    """
    stage.wait_ready()
    for number in range(2 * stored_advice.SLOTS_COUNT):
        answer = stage.asker.ask("e1", f"a.{number}", ["i-0", "i-1"], 20.0)
        assert answer == stage.answer
    assert len(stage.asked) == 2 * stored_advice.SLOTS_COUNT


def test_service_without_an_answer_is_told(stage):
    """Guards against a failed call that looks like a refusal of all targets."""
    stage.wait_ready()
    stage.answer = None
    assert stage.asker.ask("e1", "a.0", ["i-0"], 20.0) is None


def test_answer_of_an_earlier_epoch_is_not_used(stage):
    """Guards against tickets for the targets of another question."""
    stage.wait_ready()
    late = stored_advice.Answer(EPOCH - 1, 1, {"i-9": "t9"}, 1.5)
    stage.standin.put_raw(
        stored_advice.ANSWER_TABLE, "1", msgspec.msgpack.encode(late), "e1"
    )
    answer = stage.asker.ask("e1", "a.0", ["i-0"], 20.0)
    assert answer.tickets == TICKETS


def test_entry_that_hears_the_leader_again_is_not_asked(stage, monkeypatch):
    """Guards against rows that nobody reads any more."""
    stage.wait_ready()
    monkeypatch.setattr(stored_advice, "READY_LIMIT_S", 0.2)
    stage.unheard_epoch = 0
    with gevent.Timeout(20):
        while stage.asker.list_ready() or stage.adviser._follower is not None:
            gevent.sleep(0.02)
    assert stage.log.counts["advice_by_links"] == 1


def test_question_of_before_is_not_asked_again(stage):
    """Guards against a restarted entry that repeats old calls first."""
    stage.wait_ready()
    stage.asker.ask("e1", "a.0", ["i-0"], 20.0)
    second = stored_advice.Adviser(
        "e1",
        stage.make_store(),
        stage.clock,
        stage.log,
        stage.call_service,
        lambda: EPOCH,
    )
    second._follow(EPOCH)
    with gevent.Timeout(20):
        while not second._follower.loaded:
            gevent.sleep(0.02)
    second._follower.stop()
    assert len(stage.asked) == 1


@pytest.mark.parametrize("data", [b"", b"\xc1", msgspec.msgpack.encode([1])])
def test_odd_rows_are_passed_over(stage, data):
    """Guards against a row of another writer that ends an entry's advice."""
    stage.wait_ready()
    table = stored_advice.QUESTION_TABLE_PREFIX + "e1"
    stage.standin.put_raw(table, "1", data, "e1")
    stage.standin.put_raw(stored_advice.ANSWER_TABLE, "1", data, "e1")
    assert stage.asker.ask("e1", "a.0", ["i-0"], 20.0) == stage.answer


def test_unanswered_question_ends_in_time(stage):
    """Guards against a step that waits for an entry that was replaced."""
    with gevent.Timeout(20):
        assert stage.asker.ask("e9", "a.0", ["i-0"], 0.1) is None
    assert stage.asker._pending == {}


def test_question_of_a_former_leader_is_not_asked(stage):
    """Guards against calls for a leader that has been replaced."""
    stage.wait_ready()
    old = stored_advice.Question(EPOCH - 1, 0, "a.9", ["i-0"], 1.0)
    stage.standin.put_raw(
        stored_advice.QUESTION_TABLE_PREFIX + "e1",
        "0",
        msgspec.msgpack.encode(old),
        "e1",
    )
    stage.asker.ask("e1", "a.0", ["i-0"], 20.0)
    assert [stage_key for stage_key, _ in stage.asked] == ["a.0"]
