"""HTTP exchanges with the platform, each with a timeout."""

import typing

import gevent
from gevent import lock
from geventhttpclient import response as http_responses

from quetzalswitch import clock as clocks
from quetzalswitch import exceptions
from quetzalswitch import traffic

DEFAULT_TIMEOUT_S = 2.0

# A middlebox may have dropped the state of an old connection; the age limit
# bounds how long such a connection stays in use.
MAX_CONNECTION_AGE_S = 300.0

MAX_CONNECTIONS = 4


class HttpAnswer(typing.NamedTuple):
    """Status, whole body and entity tag of an answer; empty tag if none."""

    status: int
    body: bytes
    etag: str = ""


class _Connection(typing.NamedTuple):
    client: traffic.Client
    opened_s: float


class ConnectionPool:
    """Connections to one platform service.

    Each connection carries one exchange at a time. After a failed exchange,
    no connection that was open at that time is used again.

    Attributes:
        counter: Bytes exchanged.
    """

    def __init__(
        self,
        address: str,
        clock: clocks.Clock,
        timeout_s: float = DEFAULT_TIMEOUT_S,
        counter: traffic.Counter | None = None,
        max_connections: int = MAX_CONNECTIONS,
    ):
        self.counter = counter or traffic.Counter()
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._clock = clock
        self._timeout_s = timeout_s
        self._idle: list[_Connection] = []
        self._generation = 0
        self._shut_down = False
        self._permits = lock.BoundedSemaphore(max_connections)

    def exchange(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        timeout_s: float | None = None,
        known_etag: str = "",
        headers: dict[str, str] | None = None,
        fresh: bool = False,
    ) -> HttpAnswer:
        """Sends one request and returns the answer.

        `timeout_s` bounds the whole exchange in seconds, including connecting.
        `fresh` opens a new connection, since the idle ones may be silent.
        A server that supports entity tags answers with status 304 and no body
        while the resource still has `known_etag`.

        Raises:
            StoreUnavailableError: No answer within the timeout. Its cause is a
                `ConnectionRefusedError` only if nothing was sent; otherwise
                the effect is unknown.
        """
        limit_s = self._timeout_s if timeout_s is None else timeout_s
        deadline = gevent.Timeout(limit_s)
        try:
            with deadline, self._permits:
                if self._shut_down:
                    raise ConnectionRefusedError("the client is closed")
                return self._exchange(
                    method, path, body, known_etag, headers, fresh
                )
        except gevent.Timeout as expired:
            if expired is not deadline:
                raise
            message = f"no answer within {limit_s:.1f} s"
            cause = None
        except (
            OSError,
            http_responses.HTTPParseError,
            # For a host, port or header that can't be encoded.
            ValueError,
            OverflowError,
        ) as error:
            message = str(error)
            cause = error
        raise exceptions.StoreUnavailableError(
            f"{method} {self._host}:{self._port}: {message}"
        ) from cause

    def close(self) -> None:
        """Closes the idle connections and prevents reuse of those in use."""
        self._generation += 1
        self.close_idle()

    def close_idle(self) -> None:
        """Closes the idle connections; those in use stay in use."""
        idle, self._idle = self._idle, []
        for connection in idle:
            connection.client.close()

    def shut_down(self) -> None:
        """Closes the idle connections and sends nothing any more."""
        self._shut_down = True
        self.close()

    def _exchange(
        self,
        method: str,
        path: str,
        body: bytes,
        known_etag: str,
        headers: dict[str, str] | None,
        fresh: bool,
    ) -> HttpAnswer:
        if known_etag:
            headers = {**(headers or {}), "If-None-Match": known_etag}
        connection = self._open() if fresh else self._acquire_connection()
        generation = self._generation
        finished = False
        try:
            response = connection.client.request(method, path, body, headers)
            answer = HttpAnswer(
                response.status_code,
                response.read(),
                response.get("etag") or "",
            )
            finished = True
            return answer
        finally:
            # Also runs on a gevent.Timeout, which is not an `Exception`.
            if not finished:
                connection.client.close()
                self.close()
            elif generation == self._generation and not (fresh and self._idle):
                self._idle.append(connection)
            else:
                connection.client.close()

    def _acquire_connection(self) -> _Connection:
        oldest_s = self._clock.now() - MAX_CONNECTION_AGE_S
        while self._idle:
            connection = self._idle.pop()
            if connection.opened_s > oldest_s:
                return connection
            connection.client.close()
        return self._open()

    def _open(self) -> _Connection:
        # The client's own timeouts are off: `exchange` bounds the whole call.
        client = traffic.Client(self._host, self._port, self.counter)
        return _Connection(client, self._clock.now())
