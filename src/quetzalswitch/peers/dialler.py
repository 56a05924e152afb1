"""Connections that this process dials to other entry processes.

Heartbeats decide whether a peer is alive. A connection that ends, or that is
given up because nothing arrives over it, is dialled again.
"""

import typing
from collections.abc import Callable

import gevent
import gevent.socket

from quetzalswitch import clock as clocks
from quetzalswitch import nodelog
from quetzalswitch.peers import peer as peers

CONNECT_TIMEOUT_S: typing.Final = 0.5
# A connection on which a send makes no progress for this long is closed.
SEND_TIMEOUT_S: typing.Final = 1.0
REDIAL_PAUSE_S: typing.Final = 0.2


class Dialler:
    """Dials peers and sends them their queued frames."""

    def __init__(
        self,
        clock: clocks.Clock,
        log: nodelog.NodeLog,
        encode_first_heartbeat: Callable[[peers.Peer], bytes],
        on_refused: Callable[[], None],
        on_closed: Callable[[str], None],
    ):
        """Prepares a dialler.

        Args:
            clock: Source of time.
            log: Where links that come up or end are logged.
            encode_first_heartbeat: Returns the first frame of a connection.
            on_refused: Called when a peer begins to refuse connections.
            on_closed: Called with a peer's name when its connection has ended.
        """
        self._clock = clock
        self._log = log
        self._encode_first_heartbeat = encode_first_heartbeat
        self._on_refused = on_refused
        self._on_closed = on_closed

    def run(self, peer: peers.Peer) -> None:
        """Keeps a connection to a peer and sends its frames until killed."""
        host, _, port = peer.address.rpartition(":")
        while True:
            connection = None
            try:
                connection = gevent.socket.create_connection(
                    (host, int(port)), timeout=CONNECT_TIMEOUT_S
                )
                connection.setsockopt(
                    gevent.socket.IPPROTO_TCP, gevent.socket.TCP_NODELAY, 1
                )
                connection.settimeout(SEND_TIMEOUT_S)
                self._note_link_up(peer)
                self._send_queued(peer, connection)
                self.note_link_down(peer, "closed by the peer or given up")
            except ConnectionRefusedError as error:
                self._note_failure(peer, error)
                if not peer.connection_refused:
                    peer.connection_refused = True
                    self._on_refused()
            except (OSError, ValueError, OverflowError) as error:
                # The last two are for an address that can't be encoded.
                # Heartbeats decide whether the peer is alive; dial again.
                self._note_failure(peer, error)
            finally:
                if connection is not None:
                    connection.close()
                self._on_closed(peer.name)
            gevent.sleep(REDIAL_PAUSE_S)
            while peer.queue.qsize() > peers.QUEUE_LIMIT // 2:
                peer.queue.get_nowait()

    def _note_link_up(self, peer: peers.Peer) -> None:
        peer.connection_refused = False
        peer.redial = False
        peer.stalled = False
        peer.connected = True
        peer.failing = False
        if not peer.unheard:
            self._log.note("link_up", peer=peer.name)
        peer.dialled_s = self._clock.now()
        peer.sent_s = float("-inf")

    def note_link_down(self, peer: peers.Peer, reason: str) -> None:
        """Logs the end of a connection once, not each failed dial.

        Connections of a link that is logged to be silent are not logged.
        """
        if not peer.connected:
            return
        peer.connected = False
        if not peer.unheard:
            self._log.note("link_down", peer=peer.name, reason=reason)

    def _note_failure(self, peer: peers.Peer, error: Exception) -> None:
        """Logs the first of several failures."""
        if peer.connected:
            self.note_link_down(peer, str(error))
        elif not peer.failing:
            self._log.note("link_failed", peer=peer.name, reason=str(error))
        peer.failing = True

    def _send_queued(
        self, peer: peers.Peer, connection: gevent.socket.socket
    ) -> None:
        reader = gevent.spawn(_wait_until_closed, connection)
        reader.link(lambda _: peer.interrupt())
        try:
            # Frames may have been queued before; the peer doesn't answer calls
            # before it knows the sender.
            connection.sendall(self._encode_first_heartbeat(peer))
            while not reader.dead and not peer.redial:
                batch = [peer.queue.get()]
                while not peer.queue.empty() and len(batch) < 64:
                    batch.append(peer.queue.get_nowait())
                connection.sendall(b"".join(batch))
        finally:
            reader.kill(block=False)


def _wait_until_closed(connection: gevent.socket.socket) -> None:
    """Ends when the peer closes or resets the connection."""
    while True:
        try:
            if not connection.recv(1):
                return
        except TimeoutError:
            continue
        except OSError:
            return
