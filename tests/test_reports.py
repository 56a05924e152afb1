"""Tests of the delivery of outcomes to homes that have moved."""

import types

from quetzalswitch import clock as clocks
from quetzalswitch import events
from quetzalswitch import placements
from quetzalswitch import records
from quetzalswitch import reports
from quetzalswitch import routing
from quetzalswitch.peers import protocol


class _Inbox(list):
    def post(self, message):
        self.append(message)


def _report(home):
    result = records.Result("a1", True, "whole")
    outcome = events.Outcome("alpha/r", "finished", result, "t1")
    return reports.Report(outcome, home)


def _make_reporter(alive, sent, delivered):
    return reports.Reporter(
        clocks.ManualClock(),
        "e1-1",
        lambda home: home.partition("-")[0] if home in alive else "",
        lambda entry_id, message: sent.append((entry_id, message)),
        delivered.append,
        lambda message: None,
    )


def test_outcome_found_after_adoption_goes_to_the_new_home():
    """Guards against a result that stays addressed to a dead home.

    A target that is claimed after the adoption still names the old home.
    """
    sent, delivered = [], []
    reporter = _make_reporter({"e1-1", "e2-1"}, sent, delivered)
    reporter.handle(reports.MoveHome("e2-1", ("alpha/r",)))
    reporter.handle(_report("e3-1"))
    assert [entry_id for entry_id, _ in sent] == ["e2"]


def test_outcome_of_a_living_home_is_not_moved():
    """Guards against an old move that overrides a later home."""
    sent, delivered = [], []
    reporter = _make_reporter({"e1-1", "e4-1"}, sent, delivered)
    reporter.handle(reports.MoveHome("e2-1", ("alpha/r",)))
    reporter.handle(_report("e4-1"))
    assert [entry_id for entry_id, _ in sent] == ["e4"]


def test_adopter_moves_its_own_outcomes():
    """Guards against an adopter that tells only its peers of the adoption.

    When the adopter itself controlled the target, the result was kept for the
    dead home and the request stayed "running".
    """
    process = types.SimpleNamespace(
        incarnation="e1-1",
        reporter=_Inbox(),
        placer=_Inbox(),
        membership=types.SimpleNamespace(known=list),
    )
    routing.Router(process).announce_adoption("e3-1", ["alpha/r"])
    assert process.reporter == [reports.MoveHome("e1-1", ("alpha/r",))]
    moved = placements.MoveHome("e1-1", frozenset(["alpha/r"]))
    assert process.placer == [moved]
    reporter = _make_reporter({"e1-1"}, [], delivered := [])
    reporter.handle(_report("e3-1"))
    reporter.handle(process.reporter[0])
    assert [type(message) for message in delivered] == [events.Outcome]


def test_peer_moves_outcomes_to_the_sender():
    """Guards against a peer that ignores the notice of an adoption."""
    process = types.SimpleNamespace(
        reporter=_Inbox(),
        placer=_Inbox(),
        membership=types.SimpleNamespace(observe=lambda envelope: True),
    )
    moved = protocol.HomeMoved("e3-1", ["alpha/r"])
    routing.Router(process).route(protocol.Envelope("e2", "e2-1", moved))
    assert process.reporter == [reports.MoveHome("e2-1", ("alpha/r",))]


def test_control_query_reaches_the_placer():
    """Guards against a query that nobody answers.

    The requests of a dead entry then stayed on hold for ever, and a planned
    stop waited for attempts that another entry had taken over.
    """
    process = types.SimpleNamespace(
        placer=_Inbox(),
        membership=types.SimpleNamespace(observe=lambda envelope: True),
    )
    query = protocol.ControlQuery(1, ["alpha/r"])
    envelope = protocol.Envelope("e2", "e2-1", query)
    routing.Router(process).route(envelope)
    assert process.placer == [placements.PeerMessage(envelope)]
