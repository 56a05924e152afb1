"""Tests of held connections that go silent without an error.

A proxy on the loopback address stands for the middlebox: it drops what its
open connections carry, and forwards new ones.
"""

import functools
import time
import types

import gevent
import gevent.event
import pytest
from gevent import socket

import fault_proxy
import session_stage
import wire_platform
import wire_store
from quetzalswitch import clock as clocks
from quetzalswitch import exceptions
from quetzalswitch import nodelog
from quetzalswitch import nodemetrics
from quetzalswitch import web
from quetzalswitch.acceptance import relay
from quetzalswitch.execution import protocol
from quetzalswitch.execution import sessions
from quetzalswitch.execution import timeouts
from quetzalswitch.platform import api
from quetzalswitch.platform import store as stores
from quetzalswitch.platform import targets as clients
from quetzalswitch.recovery import tables

# Of calls that are expected to get no answer.
SHORT_S = 0.3
# Age at which a pending call puts the idle connections in doubt.
OVERDUE_S = 0.35
# Only ends tests that would hang.
HANG_LIMIT_S = 20.0


class _Rows(wire_store.App):
    """A store without rows that counts its calls.

    Attributes:
        calls: Names of the calls.
        held: Calls wait until it is set.
        feed_wait_s: How long a feed call waits for changes, if it may.
    """

    def __init__(self):
        self.calls = []
        self.feed_wait_s = 0.0
        self.held = gevent.event.Event()
        self.held.set()

    def rows_get(self, query):
        return self._answer("rows_get")

    def rows_feed(self, query):
        if query["wait_ms"] != "0":
            self.calls.append("rows_feed")
            gevent.sleep(self.feed_wait_s)
        return self._answer("rows_feed")

    def rows_tx(self, body):
        return self._answer("rows_tx")

    def _answer(self, name):
        self.calls.append(name)
        self.held.wait(HANG_LIMIT_S)
        return 200, {"rows": [], "row_version": 7}


class _Stage:
    """A store behind a middlebox, and the client of an entry."""

    def __init__(self):
        self.rows = _Rows()
        self._server, address = wire_store.serve(self.rows)
        self.box = fault_proxy.Proxy(address)
        clock = clocks.SystemClock()
        self.log = nodelog.NodeLog(clock)
        self.store = stores.Store(
            self.box.address, clock, nodemetrics.NodeMetrics(self.log)
        )

    def open_idle(self, count):
        """Opens connections by concurrent calls and leaves them idle."""
        self.rows.held.clear()
        calls = [gevent.spawn(self.store.read, "t", "p") for _ in range(count)]
        _await(lambda: len(self.rows.calls) == count)
        self.rows.held.set()
        gevent.joinall(calls, raise_error=True)
        assert self.box.accepted == count

    def close(self):
        self.box.stop()
        self._server.stop(timeout=0)
        self.rows.reservation.close()


@pytest.fixture(name="stage")
def _stage():
    stage = _Stage()
    yield stage
    stage.close()


def _await(condition):
    until_s = time.monotonic() + HANG_LIMIT_S
    while not condition():
        assert time.monotonic() < until_s
        gevent.sleep(0.005)


def test_probe_is_answered_while_all_idle_connections_are_silent(stage):
    """Guards against silent idle connections that pass for a store outage."""
    stage.open_idle(2)
    stage.box.silence_open()
    assert stage.store.probe("t", "p", stores.SLOWEST_READ_S)
    assert stage.store.healthy


def test_call_after_an_answered_probe_meets_no_silent_connection(stage):
    """Guards against one late write for each idle connection that is silent.

    The overdue write is not sent again: its outcome is unknown.
    """
    stage.open_idle(3)
    stage.box.silence_open()
    write = gevent.spawn(_try, functools.partial(stage.store.transact, "p", []))
    _await(lambda: stage.store.pending_age_s > OVERDUE_S)
    assert stage.store.probe("t", "p", stores.SLOWEST_READ_S)
    assert stage.store.transact("p", [], timeout_s=SHORT_S) == 7
    assert not write.ready()
    assert isinstance(write.get(), exceptions.StoreUnavailableError)
    assert stage.rows.calls.count("rows_tx") == 1


def test_entry_gives_up_idle_connections_while_a_call_is_pending(stage):
    """Guards against a call that waits for its timeout after another has.

    Nobody but the loop that watches the store acts here.
    """
    stage.open_idle(3)
    stage.box.silence_open()
    watcher = relay.StoreRelay(
        stage.store, None, clocks.SystemClock(), stage.log
    )
    watch = gevent.spawn(watcher.watch)
    read = gevent.spawn(_try, functools.partial(stage.store.read, "t", "p"))
    _await(lambda: stage.box.accepted == 4)
    _await(lambda: not stage.store._pool._idle)
    watch.kill()
    assert stage.store.transact("p", [], timeout_s=SHORT_S) == 7
    assert stage.store.failures == 0
    assert not read.ready()
    assert isinstance(read.get(), exceptions.StoreUnavailableError)


@pytest.mark.parametrize("write", [False, True])
def test_only_a_read_is_repeated_after_a_broken_connection(stage, write):
    """Guards against a write that takes effect twice.

    A reused connection may break after the write was sent.
    """
    stage.open_idle(1)
    stage.rows.calls.clear()
    stage.box.break_on_next_data()
    if write:
        with pytest.raises(exceptions.StoreUnavailableError):
            stage.store.transact("p", [])
    else:
        assert stage.store.read("t", "p") == ([], 7)
    assert stage.rows.calls == ([] if write else ["rows_get"])
    assert stage.store.transact("p", []) == 7


def test_probes_of_a_store_that_answers_pile_up_no_connections(stage):
    """Guards against a descriptor for each probe."""
    stage.open_idle(2)
    for _ in range(5):
        assert stage.store.probe("t", "p", stores.SLOWEST_READ_S)
    assert len(stage.store._pool._idle) == 2


def test_overdue_feed_is_replaced_while_idle_connections_are_silent(stage):
    """Guards against a configuration that is 0.8 s late after a silence.

    The call that replaces the feed waited for its own timeout, and the store
    counted as away meanwhile.
    """
    stage.rows.feed_wait_s = tables.FOLLOW_WAIT_S
    stage.open_idle(2)
    follower = tables.Follower(
        stage.store,
        "t",
        ["p"],
        clocks.SystemClock(),
        stage.log,
        lambda rows, full: None,
        version=7,
    )
    follower.start()
    _await(lambda: "rows_feed" in stage.rows.calls)
    stage.box.silence_open()
    _await(lambda: stage.log.counts["feed_replaced"])
    assert stage.store.failures == 0
    follower.stop()


def test_short_reads_of_changes_open_no_connections(stage):
    """Guards against a connection for each read while the feed works."""
    stage.open_idle(1)
    stage.rows.feed_wait_s = SHORT_S
    feed = gevent.spawn(stage.store.follow, "t", 7, 1.0)
    for _ in range(3):
        stage.store.follow("t", 7, 0.0)
    feed.get()
    stage.store.follow("t", 7, 0.0)
    # The feed has one of its own.
    assert stage.box.accepted == 2


class _Service:
    """A WSGI application and a connection to its server.

    Attributes:
        in_flight: Requests being answered.
        answer: Requests wait until it is set.
    """

    def __init__(self):
        self.in_flight = 0
        self.answer = gevent.event.Event()
        self.answer.set()
        self._server = web.make_server("127.0.0.1:0", self._serve)
        self._server.start()
        self.caller = socket.create_connection(self._server.address)
        self.caller.settimeout(HANG_LIMIT_S)

    def send(self, text):
        self.caller.sendall(text.replace("\n", "\r\n").encode())

    def receive(self):
        """Returns what arrives next; empty if the server has closed."""
        return self.caller.recv(65536).decode()

    def close(self):
        self.caller.close()
        self._server.stop(timeout=0)

    def _serve(self, environ, start_response):
        self.in_flight += 1
        try:
            environ["wsgi.input"].read()
        except OSError:
            start_response("400 -", [("Content-Length", "0")])
            return []
        finally:
            self.in_flight -= 1
        self.answer.wait(HANG_LIMIT_S)
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]


@pytest.fixture(name="service")
def _service(monkeypatch):
    monkeypatch.setattr(web, "IDLE_LIMIT_S", SHORT_S, raising=False)
    service = _Service()
    yield service
    service.close()


@pytest.mark.parametrize(
    "sent",
    ["", "GET /", "GET / HTTP/1.1\nHost:", "GET / HTTP/1.1\nHost: x\n\n"],
)
def test_connection_of_a_silent_caller_is_closed(service, sent):
    """Guards against descriptors that are held for callers that are gone."""
    service.send(sent)
    with gevent.Timeout(10 * SHORT_S):
        while service.receive():
            pass


def test_request_whose_body_never_arrives_ends(service):
    """Guards against a planned stop that waits for a caller that is gone."""
    service.send("POST / HTTP/1.1\nHost: x\nContent-Length: 9\n\nhalf")
    _await(lambda: service.in_flight == 1)
    with gevent.Timeout(10 * SHORT_S):
        while service.receive():
            pass
    assert service.in_flight == 0


class _Reader:
    """An intake that accepts every key; only reads are expected."""

    catalogue = types.SimpleNamespace(body_limit_bytes=1000)

    def authorize(self, host, path, key):
        return types.SimpleNamespace(prefix="/q/"), "t"


def test_submission_whose_body_never_arrives_is_no_fault_of_ours(monkeypatch):
    """Guards against `unexpected_error` for each caller that is gone."""
    monkeypatch.setattr(web, "IDLE_LIMIT_S", SHORT_S)
    clock = clocks.SystemClock()
    log = nodelog.NodeLog(clock)
    metrics = nodemetrics.NodeMetrics(log)
    app = api.CallerApi(_Reader(), clock, log, metrics, lambda queue: 0)
    server = web.make_server("127.0.0.1:0", app)
    server.start()
    with socket.create_connection(server.address) as caller:
        caller.settimeout(HANG_LIMIT_S)
        caller.sendall(
            b"POST /q/0123456789abcdef HTTP/1.1\r\n"
            b"Host: x\r\nContent-Length: 9\r\n\r\nhalf"
        )
        answer = b""
        while received := caller.recv(65536):
            answer += received
    server.stop(timeout=0)
    assert answer.startswith(b"HTTP/1.1 400")
    assert not log.counts["unexpected_error"]
    assert app.in_flight == 0


def test_request_that_takes_longer_than_the_idle_limit_is_answered(service):
    """Guards against an idle limit that cuts off requests in progress."""
    for _ in range(2):
        service.answer.clear()
        service.send("GET / HTTP/1.1\nHost: x\n\n")
        gevent.sleep(2 * SHORT_S)
        service.answer.set()
        answer = ""
        while not answer.endswith("ok"):
            received = service.receive()
            assert received
            answer += received


class _Target:
    """A target behind a middlebox, and the client of a leader."""

    def __init__(self):
        self.target = wire_platform.Target(work_s=HANG_LIMIT_S)
        self._server, address = wire_store.serve(self.target)
        self.box = fault_proxy.Proxy(address)
        self.client = clients.TargetClient(
            "t1", self.box.address, clocks.SystemClock()
        )

    def start(self, number):
        command = protocol.StartCommand(
            f"task{number}", number, "work", 10**9, 1, "", ""
        )
        return self.client.start(command, timeouts.SHORTEST_S)

    def poll(self, wait_s):
        command = protocol.RenewCommand(1, 0, 0, wait_s)
        return self.client.renew_leases(command, wait_s + SHORT_S)

    def close(self):
        self.client.close()
        self.box.stop()
        self._server.stop(timeout=0)
        self.target.reservation.close()


@pytest.fixture(name="target")
def _target():
    target = _Target()
    yield target
    target.close()


def test_start_after_an_unanswered_poll_meets_no_silent_connection(target):
    """Guards against starts of unknown outcome after the silence was noticed.

    Such a start is fenced off and repeated, 0.35 s later.
    """
    target.start(1)
    target.poll(0.1)
    assert target.box.accepted == 2
    target.box.silence_open()
    with pytest.raises(exceptions.AnswerTimeoutError):
        target.poll(0.1)
    target.poll(0.1)
    assert target.start(2).rejection is None
    assert len(target.target.starts) == 2


def test_unanswered_start_leaves_the_poll_alone(target):
    """Guards against a lost poll, and a new connection, per failed start."""
    target.start(1)
    poll = gevent.spawn(target.poll, 1.0)
    _await(lambda: target.box.accepted == 2)
    target.target.run_start = lambda call: gevent.sleep(HANG_LIMIT_S)
    with pytest.raises(exceptions.AnswerTimeoutError):
        target.start(2)
    poll.get()
    assert target.box.accepted == 2


def test_lost_target_is_asked_by_a_short_poll():
    """Guards against 0.7 s more without starts after a silent connection."""
    stage = session_stage.Harness()
    waits = []
    for unresponsive in (False, True, False, False):
        stage.client.unresponsive = unresponsive
        stage.session._renew_leases(sessions.LONG_POLL_WAIT_S)
        waits.append(stage.client.renewals[-1].wait_s)
    wait_s = sessions.LONG_POLL_WAIT_S
    assert waits == [wait_s, wait_s, sessions.LOST_POLL_WAIT_S, wait_s]


class _Adviser(wire_store.App):
    """An advice service that allows everything."""

    def advise(self, call):
        return 200, {"allowed": [[name, "t"] for name in call["workers"]]}


def test_silent_connection_costs_one_question_for_advice():
    """Guards against an adviser that is lost to the leader."""
    adviser = _Adviser()
    server, address = wire_store.serve(adviser)
    box = fault_proxy.Proxy(address)
    client = clients.AdviceClient(box.address, clocks.SystemClock())
    assert client.request_advice("s", ["a"], SHORT_S).tickets == {"a": "t"}
    box.silence_open()
    with pytest.raises(exceptions.TransportError):
        client.request_advice("s", ["a"], SHORT_S)
    assert client.request_advice("s", ["a"], SHORT_S).tickets == {"a": "t"}
    assert box.accepted == 2
    box.stop()
    server.stop(timeout=0)
    adviser.reservation.close()


def _try(call):
    """Returns the result of a call or the exception that it raised."""
    try:
        return call()
    except exceptions.StoreUnavailableError as error:
        return error
