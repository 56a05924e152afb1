"""Crowds of clients that leave their requests or their answers unfinished."""

import contextlib
import random
import resource
import typing

import gevent
import psutil
from gevent import socket

import wire_platform

CONNECTIONS_COUNT = 400
SAMPLE_INTERVAL_S = 0.05
# Ends the sending; a server that reads no further blocks it.
SEND_LIMIT_S = 15.0
# Sent by each connection of the crowds that fill memory.
SENT_BYTES = 700_000

_START = "{method} {path} HTTP/1.1\r\nHost: {host}\r\nAuthorization: {key}\r\n"
_CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"


def _start(entry, method):
    path = entry.post_path if method == "POST" else entry.get_path
    return _START.format(
        method=method, path=path, host=entry.host, key=entry.authorization
    ).encode()


def send_endless_head(entry):
    """A head that grows by header lines of ordinary length."""
    line = b"X-Filling: " + b"x" * 7_500 + b"\r\n"
    return _start(entry, "GET") + line * (SENT_BYTES // len(line))


def send_endless_lines(entry):
    """A head whose header lines never seem to end."""
    line = b"X-Filling: " + b"x" * 65_000 + b"\r\n"
    return _start(entry, "GET") + (line * 11)[:-2]


def send_many_lines(entry):
    """As many short header lines as the server took before, then nothing."""
    return _start(entry, "GET") + b"a: b\r\n" * 90


def send_empty_lines(entry):
    """An empty line that is not complete, in place of a request."""
    return b"\r"


def send_part_of_body(entry):
    """A body of which most arrives and the end never does."""
    size = entry.body_bytes
    length = f"Content-Length: {size}\r\n\r\n".encode()
    return _start(entry, "POST") + length + b" " * min(size - 1, SENT_BYTES)


def send_no_body(entry):
    """A body that is announced and of which nothing arrives."""
    return _start(entry, "POST") + b"Content-Length: 10000\r\n\r\n"


def send_chunk_extensions(entry):
    """Chunks of one byte, each with a long extension."""
    chunk = b"1;" + b"x" * 8_000 + b"\r\n \r\n"
    return _start(entry, "POST") + _CHUNKED + chunk * 20


def send_trailers(entry):
    """Trailers without end."""
    return _start(entry, "POST") + _CHUNKED + b"0\r\n" + b"a: b\r\n" * 20_000


def send_nothing(entry):
    """A connection without a request."""
    return b""


def send_pipelined(entry):
    """Requests whose answers are never read."""
    return (_start(entry, "GET") + b"\r\n") * 2_000


CROWDS = (
    send_endless_head,
    send_endless_lines,
    send_many_lines,
    send_empty_lines,
    send_part_of_body,
    send_no_body,
    send_chunk_extensions,
    send_trailers,
    send_nothing,
    send_pipelined,
)


class Address(typing.NamedTuple):
    """What a crowd has to know of an entry.

    Attributes:
        host: Value of the header `Host`.
        authorization: Value of the header `Authorization`.
        get_path: Path of a request that is answered at once.
        post_path: Path of a submission.
        body_bytes: Length of a body that the pages allow.
    """

    host: str
    authorization: str
    get_path: str
    post_path: str
    body_bytes: int


NODE = Address(
    wire_platform.HOST,
    f"Token {wire_platform.KEY}",
    "/q/",
    "/q/00000000000000f1",
    262_144,
)


class Crowd:
    """Connections that stay open until the crowd is closed.

    Attributes:
        most_resident_bytes: Most resident memory seen of the process.
        most_descriptors: Most open descriptors seen of the process.
    """

    def __init__(self, address, pid=None):
        host, _, port = address.rpartition(":")
        self._address = (host, int(port))
        self._process = psutil.Process(pid) if pid else None
        self._sockets = []
        self.most_resident_bytes = 0
        self.most_descriptors = 0

    def start(self, data):
        """Sends the data on every connection; returns the greenlets."""
        return [
            gevent.spawn(self._send, data) for _ in range(CONNECTIONS_COUNT)
        ]

    def send(self, data):
        """Sends the data on every connection; returns when it is sent."""
        senders = self.start(data)
        with gevent.Timeout(SEND_LIMIT_S, False):
            while not all(sender.ready() for sender in senders):
                self.measure()
                gevent.sleep(SAMPLE_INTERVAL_S)
        gevent.killall(senders)
        for _ in range(20):
            self.measure()
            gevent.sleep(SAMPLE_INTERVAL_S)

    def measure(self):
        """Looks at the memory and the descriptors of the process."""
        with contextlib.suppress(psutil.Error):
            resident_bytes = self._process.memory_info().rss
            self.most_resident_bytes = max(
                self.most_resident_bytes, resident_bytes
            )
            self.most_descriptors = max(
                self.most_descriptors, self._process.num_fds()
            )

    def _send(self, data):
        connection = socket.socket()
        self._sockets.append(connection)
        # Refusing or closing such a connection is allowed.
        with contextlib.suppress(OSError):
            connection.connect(self._address)
            connection.sendall(data)

    def close(self):
        """Closes all connections."""
        for connection in self._sockets:
            connection.close()


def hold(source: random.Random, port: int, seconds: float) -> None:
    """Keeps a crowd of one kind at a node's callers' port for a time."""
    crowd = Crowd(f"127.0.0.1:{port}")
    data = source.choice(CROWDS)(NODE)
    senders = crowd.start(data)
    gevent.sleep(seconds)
    gevent.killall(senders)
    crowd.close()


@contextlib.contextmanager
def limit_descriptors(count):
    """Lowers the descriptors of processes that are started meanwhile."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (count, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
