"""Byte counters for control connections.

They count the bytes written to and read from sockets: HTTP headers and
bodies, but not TCP and IP headers.
"""

import dataclasses
import typing

import gevent.socket
import geventhttpclient.client
import geventhttpclient.connectionpool


@dataclasses.dataclass
class Counter:
    """Bytes exchanged with one kind of remote party."""

    sent_bytes: int = 0
    received_bytes: int = 0


class _Socket(gevent.socket.socket):
    """A socket that adds its sent and received bytes to a counter."""

    counter: Counter

    def sendall(self, data: typing.Any, flags: int = 0) -> None:
        """Sends all data and counts its bytes."""
        super().sendall(data, flags)
        self.counter.sent_bytes += len(data)

    def recv(self, *arguments: typing.Any) -> bytes:
        """Receives data and counts its bytes."""
        data = super().recv(*arguments)
        self.counter.received_bytes += len(data)
        return data


class Pool(geventhttpclient.connectionpool.ConnectionPool):
    """A connection pool whose sockets update a byte counter."""

    counter: Counter

    def _create_tcp_socket(
        self, family: int, socktype: int, protocol: int
    ) -> gevent.socket.socket:
        sock = _Socket(family, socktype, protocol)
        sock.counter = self.counter
        return sock


class Client(geventhttpclient.client.HTTPClient):
    """An HTTP client with one connection and no timeouts."""

    def __init__(self, host: str, port: int, counter: Counter):
        super().__init__(
            host,
            port,
            concurrency=1,
            connection_timeout=None,
            network_timeout=None,
        )
        pool = Pool(
            *(host, port, host, port),
            size=1,
            connection_timeout=None,
            network_timeout=None,
        )
        pool.counter = counter
        self._connection_pool = pool
