"""The HTTP server behind every listener; applies `bounds` to its clients."""

import errno
import functools
import http.client
import io
import typing
from collections.abc import Callable

import gevent
import msgspec
from gevent import pywsgi
from gevent import socket

from quetzalswitch import bounds
from quetzalswitch import clock as clocks
from quetzalswitch import exceptions

# Bytes of a request that one wait for its body reads at most.
_READ_BYTES: typing.Final = 16 * 1024
# Framing, extensions and trailers of a chunked body may be as long as the
# largest body.
_FRAMING_FACTOR: typing.Final = 2
# Data of a client that the kernel keeps until it is read counts as memory of
# the process.
_RECEIVE_QUEUE_BYTES: typing.Final = 16 * 1024
# A client that can't be sent a refusal within this time gets none.
_REFUSAL_S: typing.Final = 1.0
_RETRY_AFTER_S: typing.Final = 1

_STATUSES: typing.Final = {
    bounds.Reason.REQUEST_LINE: "414 URI Too Long",
    bounds.Reason.HEAD: "431 Request Header Fields Too Large",
    bounds.Reason.HEADER_LINES: "431 Request Header Fields Too Large",
    bounds.Reason.EMPTY_LINES: "400 Bad Request",
    bounds.Reason.MALFORMED: "400 Bad Request",
    bounds.Reason.BODY: "413 Content Too Large",
    bounds.Reason.HEAD_TIME: "408 Request Timeout",
    bounds.Reason.CONNECTIONS: "503 Service Unavailable",
    bounds.Reason.MEMORY: "503 Service Unavailable",
}
_KINDS: typing.Final = {
    "413": exceptions.ErrorKind.BODY_TOO_LARGE,
    "503": exceptions.ErrorKind.OVERLOADED,
}


class Server(pywsgi.WSGIServer):
    """A WSGI server that bounds what its clients hold.

    Args:
        address: Host and port to listen on; port 0 takes a free port.
        app: The application.
        limits: Limits of each request and connection.
        sums: Limits of all connections together.
        report: Is told of each closed connection.
        clock: Source of time.

    Attributes:
        limits: May be replaced; requests that begin later follow it.
        ledger: The open connections.
    """

    # The accepted connections are displaced before more are accepted.
    max_accept = 16

    def __init__(
        self,
        address: str,
        app: Callable,
        limits: bounds.Limits,
        sums: bounds.Sums,
        report: bounds.Report,
        clock: clocks.Clock,
    ):
        host, _, port = address.rpartition(":")
        # Set explicitly, so that pywsgi does not look the name up.
        super().__init__(
            (host, int(port)),
            app,
            log=None,
            handler_class=_Handler,
            environ={"SERVER_NAME": host},
        )
        self.limits = limits
        self.ledger = bounds.Ledger(sums)
        self.report = report
        self.clock = clock

    def init_socket(self) -> None:
        """Opens the listener; accepted sockets inherit its receive queue."""
        super().init_socket()
        self.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_QUEUE_BYTES
        )

    def do_handle(self, *args: typing.Any) -> None:
        """Serves an accepted connection or refuses it."""
        sock, address = args
        connection = bounds.Connection(
            f"{address[0]}:{address[1]}",
            functools.partial(self._displace, sock),
        )
        if self.ledger.admit(sock, connection):
            super().do_handle(*args)
            return
        self.report(bounds.Reason.CONNECTIONS, connection.address)
        self._send_refusal(sock, bounds.Reason.CONNECTIONS)
        sock.close()

    def handle(self, sock: socket.socket, address: tuple) -> None:
        """Serves an admitted connection until its end."""
        try:
            super().handle(sock, address)
        finally:
            self.ledger.remove(sock)

    def _displace(
        self,
        sock: socket.socket,
        connection: bounds.Connection,
        reason: bounds.Reason,
    ) -> None:
        self.report(reason, connection.address)
        if connection.held_bytes and not connection.answering:
            self._send_refusal(sock, reason)
        try:
            sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            self.report(bounds.Reason.LOST, connection.address)

    def _send_refusal(self, sock: socket.socket, reason: bounds.Reason) -> None:
        try:
            sock.send(make_refusal(reason), 0, 0.0)
        except OSError:
            self.report(bounds.Reason.LOST, "")


def make_refusal(reason: bounds.Reason) -> bytes:
    """Returns a whole HTTP answer that refuses a request."""
    status = _STATUSES[reason]
    kind = _KINDS.get(status[:3], exceptions.ErrorKind.BAD_REQUEST)
    error = {
        "kind": kind.value,
        "message": f"the server's limit `{reason}` was reached",
        "run": exceptions.RunState.NOT_RUN.value,
    }
    retry = ""
    if exceptions.ANSWERS[kind].retryable:
        error["retry_after_s"] = _RETRY_AFTER_S
        retry = f"Retry-After: {_RETRY_AFTER_S}\r\n"
    body = msgspec.json.encode({"error": error})
    return (
        f"HTTP/1.1 {status}\r\nConnection: close\r\n{retry}"
        "Content-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


class _Stream(io.RawIOBase):
    """Bytes of a client, read under the limits of its handler."""

    def __init__(self, handler: "_Handler"):
        super().__init__()
        self._handler = handler

    def readable(self) -> bool:
        """Tells that the stream can be read."""
        return True

    def readinto(self, buffer: typing.Any) -> int:
        """Receives at most as many bytes as the buffer holds."""
        return self._handler.receive_into(buffer)


class _Body(pywsgi.Input):
    """A body that takes no more memory than the bytes that have arrived."""

    __slots__ = ("_handler",)

    def __init__(self, handler: "_Handler", plain: pywsgi.Input):
        super().__init__(
            handler.rfile,
            plain.content_length,
            plain.socket,
            plain.chunked_input,
        )
        self._handler = handler

    def read(self, length: int | None = None) -> bytes:
        """Reads up to a number of bytes, or all.

        Raises:
            OSError: The body is malformed or incomplete, or exceeds a limit.
        """
        pieces = []
        left = length if length is not None and length >= 0 else None
        try:
            while left is None or left > 0:
                step = _READ_BYTES if left is None else min(left, _READ_BYTES)
                piece = super().read(step)
                if not piece:
                    break
                pieces.append(piece)
                if left is not None:
                    left -= len(piece)
        except bounds.ClientLimitError as error:
            self._fail()
            raise OSError(str(error)) from error
        except OSError:
            self._fail()
            raise
        return b"".join(pieces)

    def _fail(self) -> None:
        # What follows can't be told from the rest of the body.
        self._chunked_input_error = True
        self._handler.close_connection = True


class _Handler(pywsgi.WSGIHandler):
    """Serves one connection under the limits of its server."""

    def __init__(self, sock, address, server):
        self._connection = server.ledger.find(sock)
        # The key of the connection; pywsgi forgets the socket at the end.
        self._key = sock
        self._loop = gevent.get_hub().loop
        # Of the event loop, when the last request began.
        self._iteration = -1
        self._deadline_s = 0.0
        self._in_body = False
        self._start_request(server.limits)
        stream = io.BufferedReader(_Stream(self), io.DEFAULT_BUFFER_SIZE)
        super().__init__(sock, address, server, stream)
        # pywsgi sends headers and body separately; without this the body waits
        # about 40 ms for the client's delayed acknowledgement.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def _start_request(self, limits: bounds.Limits) -> None:
        self._limits = limits
        self._in_body = False
        # The buffer may hold a part of what follows the head.
        self._most_bytes = limits.head_bytes + io.DEFAULT_BUFFER_SIZE

    def receive_into(self, buffer: typing.Any) -> int:
        """Receives bytes of the current request.

        Raises:
            ClientLimitError: The request exceeds a limit.
            OSError: The client is silent or gone, or was displaced.
        """
        connection = self._connection
        wait_s = self._limits.idle_s
        if connection.held_bytes:
            left_s = self._deadline_s - self.server.clock.now()
            wait_s = min(wait_s, max(left_s, 0.001))
        sock = self._key
        sock.settimeout(wait_s)
        connection.waiting = True
        try:
            count = sock.recv_into(buffer)
        except TimeoutError:
            self._handle_silence()
            raise
        finally:
            connection.waiting = False
        if not self.server.ledger.has(sock):
            raise ConnectionAbortedError("the connection was displaced")
        if count:
            self._count(connection, count)
        return count

    def _handle_silence(self) -> None:
        """Reports a client that sent nothing for too long.

        Raises:
            ClientLimitError: A head is incomplete.
        """
        if self._in_body:
            self._report(bounds.Reason.BODY_TIME)
        elif self._connection.held_bytes:
            raise bounds.ClientLimitError(bounds.Reason.HEAD_TIME)
        else:
            self._report(bounds.Reason.IDLE_TIME)

    def _count(self, connection: bounds.Connection, count: int) -> None:
        if not connection.held_bytes:
            now_s = self.server.clock.now()
            self._deadline_s = now_s + self._limits.head_s
        self.server.ledger.add_bytes(connection, count)
        if connection.held_bytes > self._most_bytes:
            raise bounds.ClientLimitError(
                bounds.Reason.BODY if self._in_body else bounds.Reason.HEAD
            )

    def handle(self):
        """Serves the requests of the connection."""
        try:
            super().handle()
        except OSError:
            # A refusal could not be sent.
            self._report(bounds.Reason.LOST)

    def handle_one_request(self):
        """Serves one request; returns what pywsgi expects."""
        self._start_request(self.server.limits)
        # A client that sends requests faster than they are answered would
        # otherwise keep all other greenlets from running.
        if self._loop.iteration == self._iteration and not self._pause():
            return None
        self._iteration = self._loop.iteration
        try:
            return super().handle_one_request()
        except bounds.ClientLimitError as error:
            return self._refuse(error.reason)

    def _pause(self) -> bool:
        """Lets other greenlets run; returns whether to go on."""
        self._connection.waiting = True
        gevent.sleep(0)
        self._connection.waiting = False
        return self.server.ledger.has(self._key)

    def read_requestline(self):
        """Returns the request line that follows a few empty lines."""
        limit_bytes = self._limits.request_line_bytes
        for _ in range(self._limits.empty_lines + 1):
            line = self.rfile.readline(limit_bytes + 1)
            if line not in (b"\r\n", b"\n"):
                break
        else:
            raise bounds.ClientLimitError(bounds.Reason.EMPTY_LINES)
        if len(line) > limit_bytes:
            raise bounds.ClientLimitError(bounds.Reason.REQUEST_LINE)
        return line.decode("latin-1")

    def read_request(self, raw_requestline):
        """Reads the headers and checks them."""
        parsed = super().read_request(raw_requestline)
        if len(self.headers) > self._limits.header_lines:
            raise bounds.ClientLimitError(bounds.Reason.HEADER_LINES)
        if (self.content_length or 0) > self._limits.body_bytes:
            raise bounds.ClientLimitError(bounds.Reason.BODY)
        return parsed

    def get_environ(self):
        """Returns the environment with a body that follows the limits."""
        environ = super().get_environ()
        plain = self.wsgi_input
        if plain.content_length or plain.chunked_input:
            self._in_body = True
            self._deadline_s = self.server.clock.now() + self._limits.body_s
            self._most_bytes += _FRAMING_FACTOR * self._limits.body_bytes
            self.wsgi_input = environ["wsgi.input"] = _Body(self, plain)
        return environ

    def _connection_upgrade_requested(self):
        # No protocol is supported whose bytes bypass the body's limits.
        return False

    def handle_one_response(self):
        """Answers one request."""
        super().handle_one_response()
        self.server.ledger.finish_exchange(self._key, self._connection)

    def finalize_headers(self):
        """Completes the headers of an answer."""
        super().finalize_headers()
        if self.close_connection and self.request_version == "HTTP/1.1":
            names = {name.lower() for name, _ in self.response_headers}
            if b"connection" not in names:
                self.response_headers.append((b"Connection", b"close"))

    def _sendall(self, data):
        connection = self._connection
        connection.answering = True
        self.socket.settimeout(self._limits.answer_s)
        connection.waiting = True
        try:
            super()._sendall(data)
        except TimeoutError:
            self._report(bounds.Reason.ANSWER_TIME)
            # pywsgi prints a traceback of errors other than these.
            raise BrokenPipeError(
                errno.EPIPE, "the client does not receive its answer"
            ) from None
        finally:
            connection.waiting = False

    def log_request(self):
        """Does nothing: there is no access log to format a line for."""

    def _handle_client_error(self, ex):
        match ex:
            case bounds.ClientLimitError():
                return self._refuse(ex.reason)
            case http.client.HTTPException():
                # Its only limit is the number of lines.
                return self._refuse(bounds.Reason.HEADER_LINES)
            case ValueError():
                return self._refuse(bounds.Reason.MALFORMED)
            case OSError() if self._in_body:
                self._report(bounds.Reason.MALFORMED)
                return None
            case OSError():
                # The reason of a displacement is reported already.
                if self.server.ledger.has(self._key):
                    self._report(bounds.Reason.LOST)
                return None
        return super()._handle_client_error(ex)

    def _refuse(self, reason: bounds.Reason) -> tuple[str, bytes]:
        self._report(reason)
        self.socket.settimeout(_REFUSAL_S)
        return _STATUSES[reason][:3], make_refusal(reason)

    def _report(self, reason: bounds.Reason) -> None:
        self.server.report(reason, self._connection.address)
