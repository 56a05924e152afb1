"""Tests of the server behind all listeners, on loopback addresses."""

import contextlib

import gevent
import pytest
from gevent import socket

from quetzalswitch import bounds
from quetzalswitch import web

# Only ends tests that would hang.
HANG_LIMIT_S = 20.0
SHORT_S = 0.3
LIMITS = bounds.Limits(
    request_line_bytes=300,
    head_bytes=16 * 1024,
    header_lines=20,
    body_bytes=16 * 1024,
    head_s=SHORT_S,
    answer_s=SHORT_S,
)
LARGE_BYTES = 8 * 1024 * 1024


class Service:
    """A server, the reasons that it reports and the bodies that it got."""

    def __init__(self, limits, sums):
        self.reasons = []
        self.bodies = []
        app = web.make_wsgi(
            [
                web.Route("POST", "/", self._receive),
                web.Route("GET", "/", lambda call: web.respond("ok")),
                web.Route(
                    "GET", "/large", lambda call: web.respond("x" * LARGE_BYTES)
                ),
            ]
        )
        self.server = web.make_server(
            "127.0.0.1:0",
            app,
            limits,
            sums,
            lambda reason, address: self.reasons.append(reason.value),
        )
        self.server.start()

    def _receive(self, call):
        self.bodies.append(call.body)
        return web.respond(len(call.body))

    def connect(self, sent=b""):
        caller = socket.create_connection(self.server.address)
        caller.settimeout(HANG_LIMIT_S)
        caller.sendall(sent)
        return caller

    def exchange(self, sent):
        """Returns all that is answered until the connection is closed."""
        caller = self.connect(sent)
        answer = b""
        # What the server didn't read resets the connection.
        with caller, contextlib.suppress(ConnectionResetError):
            while received := caller.recv(65536):
                answer += received
        return answer


@pytest.fixture(name="start")
def _start():
    services = []

    def _start_service(limits=LIMITS, sums=None):
        services.append(Service(limits, sums))
        return services[-1]

    yield _start_service
    for service in services:
        service.server.stop(timeout=0)


@pytest.mark.parametrize(
    ("sent", "status", "reason"),
    [
        (b"GET /" + b"x" * 400 + b" HTTP/1.1\r\n\r\n", 414, "request_line"),
        (
            b"GET / HTTP/1.1\r\n" + b"a: b\r\n" * 21 + b"\r\n",
            431,
            "header_lines",
        ),
        (b"GET / HTTP/1.1\r\n" + b"a: b\r\n" * 101, 431, "header_lines"),
        (b"GET / HTTP/1.1\r\nA: " + b"b" * 30_000, 431, "head"),
        (b"\r\n" * 6, 400, "empty_lines"),
        (b"POST / HTTP/1.1\r\nContent-Length: 20000\r\n\r\n", 413, "body"),
        (b"GET / HTTP/1.1\r\nHost:", 408, "head_time"),
        (b"nonsense\r\n\r\n", 400, "malformed"),
    ],
)
def test_limit_has_its_answer_and_reason(start, sent, status, reason):
    """Guards against clients that are not told, or not counted."""
    service = start()
    answer = service.exchange(sent)
    assert answer.startswith(f"HTTP/1.1 {status} ".encode())
    assert b"Connection: close" in answer
    assert service.reasons == [reason]
    assert service.bodies == []


def test_requests_inside_the_limits_are_served(start):
    """Guards against limits that ordinary clients meet."""
    service = start()
    chunked = b"Transfer-Encoding: chunked\r\n\r\n"
    answer = service.exchange(
        b"\r\n\r\nPOST / HTTP/1.1\r\n"
        + b"a: b\r\n" * 19
        + b"Content-Length: 16384\r\n\r\n"
        + b"x" * 16384
        + b"POST / HTTP/1.1\r\n"
        + chunked
        + b"3;e=f\r\nabc\r\n" * 1000
        + b"0\r\nA: b\r\n\r\n"
        + b"GET / HTTP/1.1\r\nUpgrade: websocket\r\nConnection: close\r\n\r\n"
    )
    assert answer.count(b"HTTP/1.1 200 OK") == 3
    assert [len(body) for body in service.bodies] == [16384, 3000]
    assert service.reasons == []
    assert service.server.ledger.held_bytes == 0


@pytest.mark.parametrize(
    "chunks",
    [b"1;" + b"x" * 8000 + b"\r\n \r\n", b"0\r\n" + b"a: b\r\n" * 9000],
    ids=["extensions", "trailers"],
)
def test_endless_chunks_are_cut_off(start, chunks):
    """Guards against framing that is read for ever."""
    service = start()
    head = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
    with contextlib.suppress(BrokenPipeError, ConnectionResetError):
        service.exchange(head + chunks * 20)
    assert service.bodies == []
    assert len(service.server.ledger) == 0


def test_answer_that_is_not_received_ends(start):
    """Guards against answers that are kept for clients that don't read."""
    service = start()
    caller = service.connect(b"GET /large HTTP/1.1\r\n\r\n")
    with caller, gevent.Timeout(HANG_LIMIT_S):
        while "answer_time" not in service.reasons:
            gevent.sleep(0.01)
        while len(service.server.ledger):
            gevent.sleep(0.01)


def test_new_caller_is_served_beside_a_full_crowd(start):
    """Guards against connections that keep ordinary callers out."""
    service = start(bounds.Limits(), bounds.Sums(8, 1_000_000))
    crowd = [service.connect(b"GET / HT") for _ in range(30)]
    answer = service.exchange(b"GET / HTTP/1.1\r\nConnection: close\r\n\r\n")
    assert answer.startswith(b"HTTP/1.1 200")
    assert service.reasons.count("connections") >= 22
    assert crowd[0].recv(1000).startswith(b"HTTP/1.1 503 ")
    for caller in crowd:
        caller.close()


def test_sum_of_unfinished_bodies_is_bounded(start):
    """Guards against bodies that fill the memory together."""
    service = start(bounds.Limits(), bounds.Sums(100, 200_000))
    head = b"POST / HTTP/1.1\r\nContent-Length: 60000\r\n\r\n"
    crowd = [service.connect(head + b"x" * 50_000) for _ in range(20)]
    answer = service.exchange(
        b"POST / HTTP/1.1\r\nConnection: close\r\nContent-Length: 50000\r\n\r\n"
        + b"x" * 50_000
    )
    assert answer.startswith(b"HTTP/1.1 200")
    assert service.server.ledger.held_bytes <= 200_000
    assert "memory" in service.reasons
    assert service.bodies == [b"x" * 50_000]
    for caller in crowd:
        caller.close()
