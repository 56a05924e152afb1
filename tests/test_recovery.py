"""Tests of the decision that earlier attempts have surely ended."""

import pytest

from quetzalswitch import clock as clocks
from quetzalswitch import events
from quetzalswitch import reconstruction
from quetzalswitch import records
from quetzalswitch.peers import protocol


class _Stage:
    """A recovery task with one peer; messages are kept in lists."""

    def __init__(self):
        self.clock = clocks.ManualClock()
        self.to_home = []
        self.to_placer = []
        self.queries = []
        self.silent = []
        self.targets = {"t1", "t2"}
        self.own = protocol.ControlReport(0, ["t1"], [])
        self.task = reconstruction.Recovery(
            self.clock,
            self._view,
            lambda: 0,
            self.queries.append,
            self.to_home.append,
            self.to_placer.append,
        )

    def _view(self, request_keys):
        return reconstruction.View(
            self.clock.now(), {"e2"}, self.silent, self.targets, self.own
        )

    def answer(self, targets, attempts=()):
        report = protocol.ControlReport(
            self.queries[-1].query, list(targets), list(attempts)
        )
        self.task.handle(reconstruction.TakeReport("e2", report))

    def pass_round(self):
        self.clock.advance(reconstruction.ROUND_S)
        self.task._close_when_due()


@pytest.fixture(name="stage")
def _stage():
    stage = _Stage()
    stage.clock.advance(reconstruction.ROUND_S)
    return stage


def test_hold_is_judged_by_a_query_that_was_asked_after_it(stage):
    """Guards against a second start judged by answers from before the hold.

    A soak with seed 3 showed a request in two places: the adopter took the
    answers of an earlier round, while a peer still had a forwarded copy.
    """
    stage.task.handle(events.Hold("t/old", "e3-1", 10.0))
    stage.answer({"t2"})
    stage.pass_round()
    assert stage.to_home == [events.Cleared("t/old")]
    stage.answer({"t2"})
    stage.clock.advance(30.0)
    stage.task.handle(events.Hold("t/new", "e3-1", 10.0))
    assert stage.to_home == [events.Cleared("t/old")]
    assert stage.queries[-1].request_keys == ["t/new"]
    stage.answer({"t2"})
    stage.pass_round()
    assert stage.to_home[-1] == events.Cleared("t/new")


def test_reported_attempt_is_left_running(stage):
    """Guards against a second start of an attempt that a peer reports."""
    stage.task.handle(events.Hold("t/r", "e3-1", 10.0))
    stage.answer({"t2"}, [("t/r", "a1", "t2")])
    stage.pass_round()
    assert stage.to_home == [events.Started("t/r", ("a1",), ("t2",))]


def test_target_that_nobody_controls_keeps_the_hold(stage):
    """Guards against a start while the lost entry may hold a target."""
    stage.task.handle(events.Hold("t/r", "e3-1", 10.0))
    stage.silent = [reconstruction.Silent("e3-1", stage.clock.now())]
    for _ in range(30):
        stage.answer(set())
        stage.pass_round()
    assert stage.to_home == []
    stage.clock.advance(reconstruction.CONTROL_GRACE_S)
    stage.pass_round()
    stage.answer(set())
    stage.pass_round()
    assert stage.to_home == [events.Cleared("t/r")]


def test_peer_without_an_answer_keeps_the_hold(stage):
    """Guards against a decision that a live entry was not asked about."""
    stage.task.handle(events.Hold("t/r", "e3-1", 10.0))
    for _ in range(200):
        stage.pass_round()
    assert stage.to_home == []


def test_orphan_on_a_target_that_is_gone_is_cleared(stage):
    """Guards against an allowance that a dead target keeps for ever."""
    attempt = records.Attempt("a", "t/r", "t", "t9", records.Resources())
    stage.task.handle(events.HoldAttempt(attempt))
    stage.answer({"t2"})
    stage.pass_round()
    assert stage.to_placer == [events.OrphanCleared("a")]
