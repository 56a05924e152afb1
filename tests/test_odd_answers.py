"""Tests of answers and messages that don't follow the protocols."""

import io
import json
import types

import gevent
import hypothesis
import msgspec
import pytest
from hypothesis import strategies

import decider_stage
import odd_rows
from quetzalswitch import clock as clocks
from quetzalswitch import exceptions
from quetzalswitch import nodelog
from quetzalswitch import nodemetrics
from quetzalswitch import web
from quetzalswitch.acceptance import submissions
from quetzalswitch.execution import protocol
from quetzalswitch.peers import links as peer_links
from quetzalswitch.peers import peer as peers
from quetzalswitch.peers import protocol as peer_protocol
from quetzalswitch.platform import api
from quetzalswitch.platform import store as stores
from quetzalswitch.platform import targets as clients
from quetzalswitch.storage import connections
from quetzalswitch.storage import table
from quetzalswitch.storage import vms
from quetzalswitch.targets import client as target_client

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


class _Reader:
    """An intake with one queue that takes part in no request."""

    def __init__(self):
        cluster = decider_stage.SimulatedCluster()
        self.catalogue = cluster.decider.catalogue._replace(
            body_limit_bytes=200000
        )

    def authorize(self, host, path, key):
        return decider_stage.make_queue(), "t1"


@pytest.mark.parametrize("body", BODIES)
def test_odd_body_of_a_caller_is_a_bad_request(body):
    """Guards against a status that says that the entry failed."""
    clock = clocks.ManualClock()
    log = nodelog.NodeLog(clock)
    metrics = nodemetrics.NodeMetrics(log)
    app = api.CallerApi(_Reader(), clock, log, metrics, lambda _: 0)
    environ = {
        "REQUEST_METHOD": "POST",
        "PATH_INFO": "/q/" + "a" * 16,
        "CONTENT_LENGTH": str(len(body)),
        "wsgi.input": io.BytesIO(body),
    }
    statuses = []
    app(environ, lambda status, headers: statuses.append(status[:3]))
    assert statuses == ["400"]


@pytest.mark.parametrize(
    ("decode", "error"),
    [
        (web.decode_json, exceptions.RequestError),
        (peer_protocol.decode, exceptions.ProtocolError),
        (
            lambda body: table._decode(body, vms.VmsBody),
            exceptions.StoreUnavailableError,
        ),
        (
            lambda body: _make_vm_client(body).list_vms(),
            exceptions.StoreUnavailableError,
        ),
        (
            lambda body: target_client.TargetClient._decode(
                types.SimpleNamespace(address="h"), "/", 200, body, vms.VmsBody
            ),
            exceptions.TransportError,
        ),
    ],
)
@pytest.mark.parametrize("body", BODIES)
def test_odd_body_is_an_expected_error(decode, error, body):
    """Guards against bodies that end the greenlet that reads them."""
    with pytest.raises(error):
        decode(body)


def _make_vm_client(body):
    client = vms.VmClient("127.0.0.1:1", clocks.ManualClock())
    client._pool = _Pool(body)
    return client


def _make_links():
    clock = clocks.ManualClock()
    log = nodelog.NodeLog(clock)
    links = peer_links.Links("e0", "127.0.0.1", 0, clock, log, lambda: None)
    links.peers["e1"] = peers.Peer("e1", "127.0.0.1:1")
    return links, log


def _make_heartbeat(**fields):
    values = [True] * len(peers.Heartbeat._fields)
    plain = dict(zip(peers.Heartbeat._fields, values, strict=True))
    plain |= {"name": "e1", "lifetime": "1", "epoch": 1, "pending": None}
    plain |= {"version": 1, "resigned": 0, "power": 1.0}
    plain |= {"store_lag_s": 0.0, "interval_s": 0.2}
    return ["b", list((plain | fields).values()), True, True]


ODD_FRAMES = [
    b"",
    b"\xc1",
    b"\x91" * 50000,
    *map(
        msgspec.msgpack.encode,
        [
            *([], 1, {}, [1], ["x", 1], ["b", []], ["b", 1, 1, 1], ["n"]),
            *(["n", [], 1], ["q", "job", 1], ["q", "job", 1, "x"], ["r", 1]),
            ["r", [], 1],
            _make_heartbeat(lifetime="x"),
            _make_heartbeat(epoch=2**62),
            _make_heartbeat(power=float("nan")),
            _make_heartbeat(interval_s="x"),
            _make_heartbeat(pending={"q": "x"}),
        ],
    ),
]


@pytest.mark.parametrize("frame", ODD_FRAMES)
def test_odd_frame_is_a_protocol_error(frame):
    """Guards against a frame that ends more than its connection."""
    links, _ = _make_links()
    with pytest.raises(exceptions.ProtocolError):
        links._receive("e1", frame)
    links._receive("e1", msgspec.msgpack.encode(_make_heartbeat()))
    assert links.peers["e1"].heartbeat.epoch == 1


@hypothesis.given(strategies.binary())
def test_any_frame_is_read_or_refused(frame):
    """Guards against bytes for which decoding raises another exception."""
    with pytest.raises(exceptions.ProtocolError):
        _make_links()[0]._receive("e1", frame)


def test_message_that_cannot_be_handled_is_logged():
    """Guards against a message that is lost without a reason."""
    links, log = _make_links()
    links.handlers["job"] = lambda _, data: submissions.decode(data)
    links._handle("e1", ["n", "job", b"\xc1"])
    assert log.counts["message_failed"] == 1


def test_odd_answer_of_a_peer_is_a_transport_error():
    """Guards against an answer of a peer that ends the election."""
    links, _ = _make_links()
    call = gevent.spawn(links.call, "e1", "probe_store", None, 5.0, bool)
    gevent.sleep(0)
    links._receive("e1", msgspec.msgpack.encode(["r", 1, "x"]))
    with pytest.raises(exceptions.TransportError):
        call.get()


def test_address_that_cannot_be_encoded_is_dialled_again():
    """Guards against a sender that ends at an address of another writer."""
    links, _ = _make_links()
    peer = peers.Peer("e2", "a..b:1")
    sender = gevent.spawn(links._dialler.run, peer)
    gevent.sleep(0.1)
    assert not sender.ready()
    sender.kill()
