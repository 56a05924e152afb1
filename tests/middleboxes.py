"""A middlebox on the loopback address that can silence open connections."""

import gevent
import gevent.event
import gevent.server
from gevent import socket

# Longer than any test holds a connection.
HOLD_LIMIT_S = 60.0


class Middlebox:
    """Forwards connections; can silence those that are open.

    Attributes:
        accepted: Number of connections so far.
    """

    def __init__(self, upstream):
        host, _, port = upstream.rpartition(":")
        self.accepted = 0
        self._upstream = (host, int(port))
        self._pumps = []
        self._open = []
        self._server = gevent.server.StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self.address = f"127.0.0.1:{self._server.server_port}"

    def silence(self):
        """Drops all further bytes of the open connections."""
        gevent.killall(self._pumps)
        self._pumps.clear()

    def reset_on_next_request(self):
        """Breaks the open connections when they carry something."""
        self.silence()
        for sock in self._open:
            gevent.spawn(self._reset, sock)

    def close(self):
        self._server.stop(timeout=0)
        self.silence()
        for sock in self._open:
            sock.close()

    def _serve(self, caller, _):
        self.accepted += 1
        server = socket.create_connection(self._upstream)
        self._open += [caller, server]
        self._pumps += [
            gevent.spawn(self._pump, caller, server),
            gevent.spawn(self._pump, server, caller),
        ]
        # The server closes the caller's end as soon as this returns.
        gevent.event.Event().wait(HOLD_LIMIT_S)

    def _reset(self, sock):
        sock.recv(65536)
        sock.close()

    def _pump(self, source, sink):
        while data := source.recv(65536):
            sink.sendall(data)
