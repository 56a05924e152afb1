"""A proxy on the loopback interface that plays faults of the network."""

import collections
import struct
import typing

import gevent
import gevent.server
import gevent.socket

import wire_store
from quetzalswitch import exceptions
from quetzalswitch.peers import frames

CHUNK_BYTES: typing.Final = 65536
CHECK_INTERVAL_S: typing.Final = 0.05
# An end that closes a silent connection isn't seen to do so by the other end.
# That one is closed only this much later, to limit descriptors and greenlets.
ORPHAN_LIMIT_S: typing.Final = 10.0


class Connection:
    """Two sockets between which data is forwarded.

    Attributes:
        lost: The directions in which nothing gets through any more; whether
            they are those of answers.
        name: The entry that dialled, on a link; None until it is known.
        breaks: Whether it ends with the next data, which is lost.
    """

    def __init__(
        self, caller: gevent.socket.socket, server: gevent.socket.socket
    ):
        self.caller = caller
        self.server = server
        self.lost: set[bool] = set()
        self.name: str | None = None
        self.breaks = False


class Proxy:
    """Forwards connections to an address until a fault is set.

    Attributes:
        mode: pass, silent (nothing gets through), mute (answers are lost).
        delay_s: Added to each chunk of an answer.
        request_delay_s: Added to each chunk in the other direction.
        lost_callers: By name of an entry, how many faults lose its frames, on
            links.
        accepted: Number of connections so far.
    """

    def __init__(self, upstream: str, links: bool = False):
        host, _, port = upstream.rpartition(":")
        self.mode = "pass"
        self.delay_s = 0.0
        self.request_delay_s = 0.0
        self.lost_callers: collections.Counter[str] = collections.Counter()
        self.accepted = 0
        self._upstream = (host, int(port))
        self._links = links
        self._open: set[Connection] = set()
        self._port, self._reservation = wire_store.reserve_port()
        self.address = f"127.0.0.1:{self._port}"
        self._server: gevent.server.StreamServer | None = None
        self.listen()

    def listen(self) -> None:
        """Accepts connections; nothing to do if it does already."""
        if self._server is None:
            self._server = gevent.server.StreamServer(
                ("127.0.0.1", self._port), self._serve
            )
            self._server.start()

    def refuse(self) -> None:
        """Refuses new connections, as where no process listens."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def stop(self) -> None:
        """Refuses new connections and ends the open ones."""
        self.refuse()
        self.reset()
        self._reservation.close()

    def reset(self) -> None:
        """Breaks all open connections."""
        for connection in list(self._open):
            connection.caller.close()
            connection.server.close()

    def silence_open(self, caller: str = "") -> None:
        """Silences the open connections for good, without an error.

        Args:
            caller: The entry whose connections are meant; by default all.
        """
        for connection in self._open:
            if caller in ("", connection.name):
                connection.lost |= {False, True}

    def break_on_next_data(self) -> None:
        """Ends each open connection when it carries something next."""
        for connection in self._open:
            connection.breaks = True

    def count_open(self) -> int:
        """Returns the number of open connections."""
        return len(self._open)

    def _serve(self, caller: gevent.socket.socket, _: tuple) -> None:
        self.accepted += 1
        try:
            early = self._wait_for_end_of_silence(caller)
            if early is None:
                caller.close()
                return
            server = gevent.socket.create_connection(self._upstream)
        except OSError:
            caller.close()
            return
        connection = Connection(caller, server)
        self._open.add(connection)
        pumps = [
            gevent.spawn(self._pump, connection, False, early),
            gevent.spawn(self._pump, connection, True, b""),
        ]
        gevent.joinall(pumps, count=1)
        if connection.lost:
            gevent.joinall(pumps, timeout=ORPHAN_LIMIT_S)
        self._open.discard(connection)
        caller.close()
        server.close()
        gevent.killall(pumps)

    def _wait_for_end_of_silence(
        self, caller: gevent.socket.socket
    ) -> bytes | None:
        """Returns what was sent until then; None if the caller has gone."""
        early = b""
        caller.settimeout(CHECK_INTERVAL_S)
        while self.mode == "silent":
            if len(early) >= CHUNK_BYTES:
                gevent.sleep(CHECK_INTERVAL_S)
                continue
            try:
                data = caller.recv(CHUNK_BYTES)
            except TimeoutError:
                continue
            if not data:
                return None
            early += data
        caller.settimeout(None)
        return early

    def _pump(self, connection: Connection, answers: bool, data: bytes) -> None:
        ends = (connection.caller, connection.server)
        source, sink = reversed(ends) if answers else ends
        try:
            while True:
                data = data or source.recv(CHUNK_BYTES)
                if not data:
                    return
                self._forward(connection, answers, data, sink)
                data = b""
        except OSError:
            return

    def _forward(
        self,
        connection: Connection,
        answers: bool,
        data: bytes,
        sink: gevent.socket.socket,
    ) -> None:
        if connection.breaks:
            raise ConnectionResetError("broken by the test")
        if self._links and not answers and connection.name is None:
            connection.name = _find_caller(data)
        delay_s = self.delay_s if answers else self.request_delay_s
        if delay_s:
            gevent.sleep(delay_s)
        if (
            self.mode == "silent"
            or (answers and self.mode == "mute")
            or self.lost_callers[connection.name or ""]
        ):
            # What a middlebox has lost never arrives, nor what follows it.
            connection.lost.add(answers)
        if answers not in connection.lost:
            sink.sendall(data)


def _find_caller(data: bytes) -> str:
    """Returns the name in the heartbeat that is the first frame of a link."""
    size = frames.HEADER.size
    try:
        (length,) = frames.HEADER.unpack(data[:size])
        return frames.decode(data[size : size + length])[1].name
    except (struct.error, exceptions.ProtocolError):
        return ""
