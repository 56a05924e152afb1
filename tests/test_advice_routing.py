"""Tests of whom the leader asks for advice, and how."""

import types

import pytest

from quetzalswitch import exceptions
from quetzalswitch.decision import advice
from quetzalswitch.execution import advice_routing
from quetzalswitch.execution import protocol


class _Links:
    """Links to peers, of which a test says which are alive."""

    def __init__(self):
        self.names = ["e1", "e2"]
        self.called = []

    def is_alive(self, name):
        return name in self.names

    def alive(self):
        heartbeat = types.SimpleNamespace(leaving=False)
        return [
            types.SimpleNamespace(name=name, heartbeat=heartbeat)
            for name in self.names
        ]

    def call(self, name, *_):
        self.called.append(name)
        raise exceptions.TransportError(f"{name} is not connected")


@pytest.fixture(name="router")
def _router():
    log = types.SimpleNamespace(note=lambda *_, **__: None)
    router = advice_routing.AdviceRouter(
        "e0", "", _Links(), None, None, log, lambda: 0
    )
    router._asker = types.SimpleNamespace(
        list_ready=lambda: ["e3"],
        ask=lambda name, *_: protocol.AdviceAnswer({name: "t"}, 1.0),
    )
    return router


def _ask(router, adviser):
    question = advice.AdviceRequest(adviser, "a.0", ["i-0"], 0.1)
    return router.request_advice(question, 0.5)


def test_entries_that_can_only_be_asked_by_rows_are_advisers(router):
    """Guards against one adviser where links carry nothing."""
    assert router.list_advisers() == ["e1", "e2", "e3", "e0"]
    router._asker = None
    assert router.list_advisers() == ["e1", "e2", "e0"]


def test_entry_without_a_link_is_asked_by_rows(router):
    """Guards against calls over links that carry nothing."""
    assert _ask(router, "e3") == ({"e3": "t"}, 1.0)
    assert router._links.called == []


def test_entry_that_died_is_not_asked_by_rows(router):
    """Guards against a wait for an entry that was killed.

    It is alive when it is chosen; the refused call fails at once.
    """
    router._links.names = []
    assert _ask(router, "e1") is None
    assert router._links.called == ["e1"]


def test_entry_that_is_heard_is_asked_by_its_link(router):
    """Guards against rows for every question in normal operation."""
    router._links.names.append("e3")
    _ask(router, "e3")
    assert router._links.called == ["e3"]
