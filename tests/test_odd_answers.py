"""Tests of answers and messages that don't follow the protocols."""

import json

import pytest

import odd_rows
from quetzalswitch import clock as clocks
from quetzalswitch import exceptions
from quetzalswitch import nodelog
from quetzalswitch import nodemetrics
from quetzalswitch.execution import protocol
from quetzalswitch.platform import store as stores
from quetzalswitch.platform import targets as clients
from quetzalswitch.storage import connections

RUN = ["a.0.0.0", 1, "", 5, 0]
END = [1, "a.0.0.0", 1, "done", ""]
START = protocol.StartCommand("a.0.0.0", 1, "", 0, 1, "", "")
RENEWAL = protocol.RenewCommand(1, 0, 0, 0.0)
# An object with nothing in it is an empty answer.
BODIES = [v for name, v in odd_rows.UNREADABLE.items() if name != "object"]


class _Pool:
    """A connection on which each request gets the same answer."""

    def __init__(self, body, status=200):
        self.answer = connections.HttpAnswer(status, body)

    def exchange(self, *arguments, **options):
        return self.answer


def _make_target(body, status=200):
    client = clients.TargetClient("i-0", "127.0.0.1:1", clocks.ManualClock())
    client._polls = client._calls = _Pool(body, status)
    return client


def _make_store(body, status=200):
    clock = clocks.ManualClock()
    metrics = nodemetrics.NodeMetrics(nodelog.NodeLog(clock))
    store = stores.Store("127.0.0.1:1", clock, metrics)
    store._pool = store._feed_pool = _Pool(body, status)
    return store


def _list_odd_leases():
    rows = []
    for name, row in (("running", RUN), ("ended", END)):
        odd = [[], row[:3], [*row, 1, 2], "x", None, {}]
        for position in range(len(row)):
            odd += [
                [*row[:position], value, *row[position + 1 :]]
                for value in (None, [], 10**30, -1, 1e308, "gone")
                if not (value == "gone" and isinstance(row[position], str))
                or row[position] == "done"
            ]
        rows += [{name: [row, wrong]} for wrong in odd]
    rows += [{"born": v} for v in (-1, 2**64 - 1, 10**30, "1", 1.5, None)]
    rows += [{"clock_ms": v} for v in (-1, 2**64 - 1, 10**30, "1", None)]
    return [json.dumps(row).encode() for row in rows]


@pytest.mark.parametrize("body", [*BODIES, *_list_odd_leases()])
def test_odd_answer_to_a_renewal_is_a_transport_error(body):
    """Guards against a session that ends at an answer of a target."""
    with pytest.raises(exceptions.TransportError):
        _make_target(body).renew_leases(RENEWAL, 1.0)


@pytest.mark.parametrize("status", [200, 409])
@pytest.mark.parametrize("body", BODIES[1:])
def test_odd_answer_to_a_start_leaves_it_unknown(body, status):
    """Guards against a start that is neither confirmed nor unknown."""
    with pytest.raises(exceptions.TransportError):
        _make_target(body, status).start(START, 1.0)


@pytest.mark.parametrize(
    "body",
    [
        *BODIES,
        b'{"allowed":[["i-0"]]}',
        b'{"allowed":[["i-0",1]]}',
        b'{"valid_ms":-1}',
    ],
)
def test_odd_advice_is_a_transport_error(body):
    """Guards against a step that waits for advice without end."""
    client = clients.AdviceClient("127.0.0.1:1", clocks.ManualClock())
    client._pool = _Pool(body)
    with pytest.raises(exceptions.TransportError):
        client.request_advice("a.0.0", ["i-0"], 1.0)


@pytest.mark.parametrize("body", [*BODIES, b'{"rows":[{"key":1}]}'])
@pytest.mark.parametrize(
    ("call", "status"),
    [
        (lambda store: store.read("t", "p"), 200),
        (lambda store: store.follow("t", 1, 0.0), 200),
        (lambda store: store.transact("p", []), 200),
        (lambda store: store.transact("p", []), 412),
    ],
)
def test_odd_answer_of_the_store_is_a_store_error(call, status, body):
    """Guards against a follower or writer that ends at an answer."""
    with pytest.raises(exceptions.StoreUnavailableError):
        call(_make_store(body, status))


@pytest.mark.parametrize("value", ["a", "é", "a==="])
def test_row_that_is_not_base64_hides_no_other(value):
    """Guards against a table that can't be read for one of its rows."""
    wire = [{"key": "a", "value": value}, {"key": "b", "value": "eA=="}]
    body = json.dumps({"rows": wire, "row_version": 3}).encode()
    rows, version = _make_store(body).read("t", "p")
    assert [(row.key, row.value) for row in rows] == [("a", b""), ("b", b"x")]
    assert version == 3
