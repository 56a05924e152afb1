"""HTTP client for one target."""

import contextlib
import math
import select
import typing
import urllib.parse
from collections.abc import Iterator

import gevent
import gevent.lock
import gevent.socket
import geventhttpclient.client
import geventhttpclient.response
import msgspec

from quetzalswitch import clock as clocks
from quetzalswitch import decoding
from quetzalswitch import exceptions
from quetzalswitch import traffic
from quetzalswitch.targets import protocol

MAX_CONNECTIONS = 4
MAX_CONNECTION_AGE_S = 300.0

T = typing.TypeVar("T")


class _Pool(traffic.Pool):
    """A pool of one socket that exposes the socket and its connect time."""

    socket: typing.Any = None
    connected_s: float = math.inf
    clock: clocks.Clock

    def after_connect(self, sock: typing.Any) -> None:
        # With Nagle's algorithm, a body of several segments would wait for a
        # delayed acknowledgement.
        sock.setsockopt(gevent.socket.IPPROTO_TCP, gevent.socket.TCP_NODELAY, 1)
        self.socket = sock
        self.connected_s = self.clock.now()

    def _is_socket_alive(self, sock: typing.Any) -> bool:
        # The library uses select(), which fails for descriptors above 1023
        # and would then open a new connection for each exchange.
        if sock is None or sock.fileno() < 0:
            return False
        poll = select.poll()
        poll.register(sock.fileno(), select.POLLIN)
        return not poll.poll(0)


class _Connection(geventhttpclient.client.HTTPClient):
    """One keep-alive connection."""

    def __init__(
        self,
        host: str,
        port: int,
        timeout_s: float,
        clock: clocks.Clock,
        counter: traffic.Counter,
    ):
        super().__init__(
            host,
            port,
            concurrency=1,
            connection_timeout=timeout_s,
            network_timeout=None,
        )
        pool = _Pool(
            host,
            port,
            host,
            port,
            size=1,
            disable_ipv6=True,
            connection_timeout=timeout_s,
            network_timeout=None,
        )
        pool.clock = clock
        pool.counter = counter
        self._connection_pool = pool

    def is_usable(self, now_s: float) -> bool:
        """Returns whether the connection is younger than the maximum age."""
        age_s = now_s - self._connection_pool.connected_s
        return age_s < MAX_CONNECTION_AGE_S

    def close(self) -> None:
        """Closes the socket, even during an exchange."""
        super().close()
        if self._connection_pool.socket is not None:
            self._connection_pool.socket.close()


class TargetClient:
    """Client for the target protocol, with one method for each exchange.

    Every method raises `TransportError` when no valid answer arrives before
    the deadline; the exchange may or may not have taken effect.
    """

    def __init__(
        self,
        address: str,
        clock: clocks.Clock,
        timeout_s: float = 1.0,
        counter: traffic.Counter | None = None,
    ):
        self.address = address
        self.timeout_s = timeout_s
        host, _, port = address.rpartition(":")
        self._host = host
        self._port = int(port)
        self._clock = clock
        self._counter = counter or traffic.Counter()
        self._idle: list[_Connection] = []
        self._generation = 0
        self._permits = gevent.lock.Semaphore(MAX_CONNECTIONS)

    def claim(self, body: protocol.ClaimBody) -> protocol.ClaimAnswer:
        """Requests the control lease (T1)."""
        return self._post("/v1/claim", body, protocol.ClaimAnswer)

    def sync(self, body: protocol.SyncBody) -> protocol.SyncAnswer:
        """Renews leases and collects results (T2).

        Raises:
            StaleEpochError: The target refused the epoch, or the message
                arrived too late.
        """
        timeout_s = self.timeout_s + body["wait_ms"] / 1000
        return self._post(
            "/v1/sync", body, protocol.SyncAnswer, timeout_s=timeout_s
        )

    def start(self, body: protocol.StartsBody) -> list[protocol.StartOutcome]:
        """Starts attempts (T3).

        Raises:
            StaleEpochError: The target refused the whole batch.
        """
        return self._post("/v1/starts", body, list[protocol.StartOutcome])

    def fence(self, attempt_id: str) -> protocol.FenceAnswer:
        """Queries an attempt's state on a new connection (T4).

        An attempt that the target has never seen can't start afterwards.
        """
        path = f"/v1/attempts/{_quote(attempt_id)}/fence"
        return self._post(path, {}, protocol.FenceAnswer, fresh=True)

    def stop(self, attempt_id: str, body: protocol.StopBody) -> None:
        """Stops, throttles or checkpoints an attempt (T5).

        Raises:
            StaleEpochError: The target refused the epoch.
        """
        path = f"/v1/attempts/{_quote(attempt_id)}/stop"
        self._post(path, body, dict)

    def release(self, body: protocol.ReleaseBody) -> None:
        """Releases the control lease (T6).

        Raises:
            StaleEpochError: The target refused the epoch.
        """
        self._post("/v1/release", body, dict)

    def close(self) -> None:
        """Closes idle connections now, and busy ones after their exchange."""
        self._generation += 1
        while self._idle:
            self._idle.pop().close()

    def _post(
        self,
        path: str,
        body: typing.Any,
        answer_type: type[T],
        *,
        timeout_s: float | None = None,
        fresh: bool = False,
    ) -> T:
        data = msgspec.json.encode(body)
        limit_s = timeout_s or self.timeout_s
        timeout = gevent.Timeout(limit_s)
        timeout.start()
        try:
            status, answer = self._exchange(path, data, fresh)
        except gevent.Timeout as error:
            if error is not timeout:
                raise
            raise exceptions.TransportError(
                f"no answer from {self.address}{path} in {limit_s} s"
            ) from None
        except (
            OSError,
            geventhttpclient.response.HTTPParseError,
        ) as error:
            raise exceptions.TransportError(
                f"exchange with {self.address}{path} failed: {error}"
            ) from None
        finally:
            timeout.close()
        return self._decode(path, status, answer, answer_type)

    def _exchange(
        self, path: str, data: bytes, fresh: bool
    ) -> tuple[int, bytes]:
        with self._connection(fresh) as connection:
            response = connection.post(
                path, data, {"Content-Type": "application/json"}
            )
            return response.status_code, bytes(response.read())

    @contextlib.contextmanager
    def _connection(self, fresh: bool) -> Iterator[_Connection]:
        with self._permits:
            generation = self._generation
            connection = self._acquire(fresh)
            try:
                yield connection
            except BaseException:
                # The other open connections may have stopped responding too.
                # All are closed, so that the next exchange uses a new one.
                connection.close()
                self.close()
                raise
            if generation == self._generation:
                self._idle.append(connection)
            else:
                connection.close()

    def _acquire(self, fresh: bool) -> _Connection:
        if fresh:
            # Closes an idle connection to stay within MAX_CONNECTIONS.
            if self._idle:
                self._idle.pop(0).close()
            return self._open()
        while self._idle:
            connection = self._idle.pop()
            if connection.is_usable(self._clock.now()):
                return connection
            connection.close()
        return self._open()

    def _open(self) -> _Connection:
        return _Connection(
            self._host,
            self._port,
            self.timeout_s,
            self._clock,
            self._counter,
        )

    def _decode(
        self, path: str, status: int, answer: bytes, answer_type: type[T]
    ) -> T:
        if status not in (200, 409):
            raise exceptions.TransportError(
                f"{self.address}{path} answered with status {status}"
            )
        expected_type = answer_type if status == 200 else protocol.RefusalBody
        try:
            decoded = decoding.decode(
                lambda data: msgspec.json.decode(data, type=expected_type),
                answer,
                f"an answer of {self.address}{path}",
            )
        except exceptions.ProtocolError as error:
            raise exceptions.TransportError(str(error)) from None
        if status == 409:
            raise exceptions.StaleEpochError(
                f"{self.address}{path} refused: {decoded['error']}"
            )
        return decoded


def _quote(attempt_id: str) -> str:
    return urllib.parse.quote(attempt_id, safe="")
