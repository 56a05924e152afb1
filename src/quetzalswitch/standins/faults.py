"""Fault injection for stand-in servers.

The faults are outages, delays, lost answers, unresponsive connections and
rate limits.
"""

import collections
import io
import random
import typing
from collections.abc import Callable
from collections.abc import Iterable

import gevent.pool
import msgspec
from gevent import pywsgi
from gevent import socket

from quetzalswitch import clock as clocks

StartResponse = Callable[..., typing.Any]
Application = Callable[[dict, StartResponse], Iterable[bytes]]

CONTROL_PATH = "/faults"
MAX_BODY_BYTES = 64 * 1024 * 1024

_HANDLER_KEY = "quetzalswitch.handler"


class Faults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults in force; the defaults describe a healthy server.

    Requests to paths under `/faults` are served without faults, so that a
    fault can be ended. GET and HEAD count as reads, every other method as a
    write.

    Attributes:
        down: `refuse` closes the connection without an answer and without
            effect; `error` answers 503 without effect.
        delay_ms: Delay before a request takes effect.
        delay_next: Number of coming requests to delay; None delays all.
        answer_delay_ms: Delay between the effect and the answer.
        lose_next: Number of coming writes whose answer is lost after they
            took effect.
        lose_probability: Probability with which any other write's answer is
            lost.
        lose_by: `close` closes the connection instead of answering; `hang`
            leaves it open without an answer.
        silence_open: Makes all currently open connections unresponsive:
            requests on them have no effect and get no answer. Applied once,
            when the faults are set; later connections are not affected.
        writes_per_s: Writes served per second; excess writes are answered
            429 without effect. None means no limit.
        reads_per_s: The same limit for reads.
        path: Prefix of the paths to which delays and lost answers are
            limited.
    """

    down: typing.Literal["no", "refuse", "error"] = "no"
    delay_ms: float = 0.0
    delay_next: int | None = None
    answer_delay_ms: float = 0.0
    lose_next: int = 0
    lose_probability: float = 0.0
    lose_by: typing.Literal["close", "hang"] = "close"
    silence_open: bool = False
    writes_per_s: float | None = None
    reads_per_s: float | None = None
    path: str = ""


class FaultInjector:
    """WSGI middleware that applies the faults in force.

    Attributes:
        counters: Event counts by name; the application may add its own.
    """

    def __init__(self, app: Application, clock: clocks.Clock, seed: int = 0):
        self.counters: collections.Counter[str] = collections.Counter()
        self._app = app
        self._clock = clock
        self._random = random.Random(seed)
        self._faults = Faults()
        self._delays_left: int | None = None
        self._losses_left = 0
        self._first_responsive_connection = 0
        self._writes = _RateLimit(clock, None)
        self._reads = _RateLimit(clock, None)

    def set(self, faults: Faults) -> None:
        """Replaces all faults in force by the given ones."""
        self._faults = faults
        self._delays_left = faults.delay_next
        self._losses_left = faults.lose_next
        self._writes = _RateLimit(self._clock, faults.writes_per_s)
        self._reads = _RateLimit(self._clock, faults.reads_per_s)
        if faults.silence_open:
            self._first_responsive_connection = self.counters["connections"] + 1

    def __call__(
        self, environ: dict, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serves one request under the faults in force."""
        path = environ["PATH_INFO"]
        if path == CONTROL_PATH or path.startswith(CONTROL_PATH + "/"):
            return self._control(path, environ, start_response)
        handler = environ[_HANDLER_KEY]
        if self._is_unresponsive(handler):
            self._drop(handler, "silenced", hang=True)
        is_read = environ["REQUEST_METHOD"] in ("GET", "HEAD")
        self.counters["reads" if is_read else "writes"] += 1
        # Reads the body before any delay: a client that times out closes its
        # connection, and the delayed request must still take effect.
        _buffer_body(environ)
        if self._should_delay(path):
            self.counters["delayed"] += 1
            self._clock.sleep(self._faults.delay_ms / 1000)
        return self._serve(handler, is_read, environ, start_response)

    def _serve(
        self,
        handler: "_Handler",
        is_read: bool,
        environ: dict,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        if self._faults.down == "refuse":
            self._drop(handler, "refused", hang=False)
        if self._faults.down == "error":
            self.counters["errors"] += 1
            return answer_error(start_response, 503, "the server is down")
        if not (self._reads if is_read else self._writes).take():
            self.counters["limited"] += 1
            return answer_error(start_response, 429, "rate limit reached")
        lose = not is_read and self._should_lose_answer(environ["PATH_INFO"])
        lose_by = self._faults.lose_by
        answer_delay_s = self._answer_delay_s(environ["PATH_INFO"])
        body = self._app(environ, start_response)
        if answer_delay_s:
            self._clock.sleep(answer_delay_s)
        if lose:
            self._drop(handler, "lost", hang=lose_by == "hang")
        if self._is_unresponsive(handler):
            self._drop(handler, "silenced", hang=True)
        return body

    def _control(
        self, path: str, environ: dict, start_response: StartResponse
    ) -> Iterable[bytes]:
        method = environ["REQUEST_METHOD"]
        match (method, path):
            case ("GET", "/faults"):
                return answer_json(start_response, 200, self._faults)
            case ("PUT", "/faults"):
                try:
                    faults = msgspec.json.decode(
                        read_body(environ), type=Faults
                    )
                except msgspec.MsgspecError as error:
                    return answer_error(start_response, 400, str(error))
                self.set(faults)
                return answer_json(start_response, 200, faults)
            case ("GET", "/faults/counters"):
                return answer_json(start_response, 200, dict(self.counters))
            case _:
                return self._app(environ, start_response)

    def _is_unresponsive(self, handler: "_Handler") -> bool:
        return handler.connection < self._first_responsive_connection

    def _should_delay(self, path: str) -> bool:
        if not self._faults.delay_ms or not path.startswith(self._faults.path):
            return False
        if self._delays_left is None:
            return True
        if self._delays_left == 0:
            return False
        self._delays_left -= 1
        return True

    def _should_lose_answer(self, path: str) -> bool:
        if not path.startswith(self._faults.path):
            return False
        if self._losses_left > 0:
            self._losses_left -= 1
            return True
        return self._random.random() < self._faults.lose_probability

    def _answer_delay_s(self, path: str) -> float:
        if not path.startswith(self._faults.path):
            return 0.0
        return self._faults.answer_delay_ms / 1000

    def _drop(
        self, handler: "_Handler", counter: str, hang: bool
    ) -> typing.NoReturn:
        self.counters[counter] += 1
        handler.drop(hang)


class FaultyServer:
    """HTTP server with fault injection, for a process or a test.

    `stop` closes the listener and every connection, so that new connections
    are refused; `start` listens again on the same port. If `connections`
    limits the open connections, further ones wait in the backlog until one
    is closed.

    Attributes:
        injector: The middleware; `injector.set` changes the faults.
        address: Host and port; the port is the actual one after `start`.
    """

    def __init__(
        self,
        app: Application,
        clock: clocks.Clock,
        listen: str = "127.0.0.1:0",
        seed: int = 0,
        connections: int | None = None,
    ):
        self.injector = FaultInjector(app, clock, seed)
        self.address = listen
        self._connections = connections
        self._server: _Server | None = None

    def start(self) -> str:
        """Starts listening and returns the address with the actual port."""
        host, _, port = self.address.rpartition(":")
        listener = (host, int(port))
        server = _Server(listener, self.injector, self._connections)
        server.start()
        self._server = server
        self.address = f"{host}:{server.server_port}"
        return self.address

    def stop(self) -> None:
        """Closes the listener and all connections."""
        if self._server is not None:
            self._server.stop(timeout=0)
            self._server = None


def read_body(environ: dict) -> bytes:
    """Returns the request body, at most `MAX_BODY_BYTES` of it."""
    length = int(environ.get("CONTENT_LENGTH") or 0)
    return environ["wsgi.input"].read(min(length, MAX_BODY_BYTES))


def read_path(environ: dict) -> str:
    """Returns the request path decoded as UTF-8; WSGI passes Latin-1."""
    return environ["PATH_INFO"].encode("latin-1").decode("utf-8", "replace")


def answer_json(
    start_response: StartResponse, status: int, body: typing.Any
) -> list[bytes]:
    """Starts a JSON response and returns its body."""
    data = msgspec.json.encode(body)
    return answer_bytes(start_response, status, data, "application/json")


def answer_error(
    start_response: StartResponse, status: int, message: str
) -> list[bytes]:
    """Starts a JSON response with an error message; returns its body."""
    return answer_json(start_response, status, {"error": message})


def answer_bytes(
    start_response: StartResponse, status: int, data: bytes, content_type: str
) -> list[bytes]:
    """Starts a response and returns its body as a WSGI iterable."""
    headers = [
        ("Content-Type", content_type),
        ("Content-Length", str(len(data))),
    ]
    # WSGI requires a reason phrase; clients ignore it.
    start_response(f"{status} Status", headers)
    return [data]


def _buffer_body(environ: dict) -> None:
    environ["wsgi.input"] = io.BytesIO(read_body(environ))


class _RateLimit:
    """Token bucket whose capacity is the tokens of one second."""

    def __init__(self, clock: clocks.Clock, per_s: float | None):
        self._clock = clock
        self._per_s = per_s
        self._tokens = per_s or 0.0
        self._filled_s = clock.now()

    def take(self) -> bool:
        if self._per_s is None:
            return True
        now_s = self._clock.now()
        gained = (now_s - self._filled_s) * self._per_s
        self._filled_s = now_s
        self._tokens = min(self._per_s, self._tokens + gained)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class _Handler(pywsgi.WSGIHandler):
    """Handler of one numbered connection that can be dropped unanswered."""

    def __init__(self, sock, address, server):
        super().__init__(sock, address, server)
        # pywsgi sends headers and body separately; with Nagle's algorithm
        # the body would wait about 40 ms for the client's delayed
        # acknowledgement.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        server.injector.counters["connections"] += 1
        self.connection = server.injector.counters["connections"]

    def get_environ(self) -> dict:
        environ = super().get_environ()
        environ[_HANDLER_KEY] = self
        return environ

    def drop(self, hang: bool) -> typing.NoReturn:
        """Drops the request without an answer and closes the connection.

        Args:
            hang: Waits until the client closes the connection first.

        Raises:
            _DroppedError: Always, to leave the request's handler.
        """
        self.close_connection = True
        if hang:
            self._discard_input()
        raise _DroppedError

    def _discard_input(self) -> None:
        try:
            while self.socket.recv(65536):
                pass
        except OSError:
            return

    def handle_one_response(self) -> None:
        try:
            super().handle_one_response()
        except _DroppedError:
            self.close_connection = True

    def handle_error(self, t, v, tb) -> None:
        if isinstance(v, _DroppedError):
            raise v
        super().handle_error(t, v, tb)


class _DroppedError(Exception):
    """Raised to abort a request that must not be answered."""


class _Server(pywsgi.WSGIServer):
    """WSGI server that closes its connections when it is stopped."""

    handler_class = _Handler

    def __init__(
        self, listener, injector: FaultInjector, connections: int | None
    ):
        # Set explicitly, since pywsgi would resolve the host name otherwise.
        environ = {"SERVER_NAME": listener[0]}
        super().__init__(
            listener,
            injector,
            spawn=gevent.pool.Pool(connections),
            log=None,
            error_log=None,
            environ=environ,
        )
        self.injector = injector
