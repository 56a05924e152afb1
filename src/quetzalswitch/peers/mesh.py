"""Links to the other entry processes: pynng sockets driven by gevent.

The mesh listens on one Pull socket. Each peer has a link with one Push socket,
owned by the link's own greenlet. pynng blocks its thread in `send` and `recv`,
so greenlets wait on the sockets' file descriptors and use the non-blocking
calls only.
"""

import collections
import typing
from collections.abc import Callable

import gevent
import gevent.queue
import gevent.socket
import pynng

from quetzalswitch import clock as clocks
from quetzalswitch import exceptions
from quetzalswitch import logs
from quetzalswitch import tasks
from quetzalswitch import traffic
from quetzalswitch.peers import protocol

QUEUE_LIMIT = 1000
# No heartbeats are queued on a stalled link beyond this: each supersedes the
# previous one.
HEARTBEAT_QUEUE_LIMIT = 8
MESSAGE_LIMIT_BYTES = 8 * 1024 * 1024
ACKNOWLEDGE_TIMEOUT_S = 2.0
MAX_AGE_S = 300.0
# The sender replaces a connection at MAX_AGE_S. A connection that is older at
# the receiver was abandoned and its close did not arrive.
MAX_INCOMING_AGE_S = 1.1 * MAX_AGE_S
# Time left to nng to send the messages still buffered in a replaced socket.
LINGER_S = 1.0
CHECK_INTERVAL_S = 0.25
INCOMING_CHECK_INTERVAL_S = 10.0
RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 1000
RECEIVE_BURST = 64


class Count(typing.NamedTuple):
    """Number of messages and of their bytes."""

    messages: int = 0
    size_bytes: int = 0


class _Link(tasks.Task):
    """Sends queued messages to one peer; the inbox holds encoded messages.

    Attributes:
        dials: Number of sockets dialled so far.
    """

    def __init__(self, clock: clocks.Clock, entry_id: str, address: str):
        super().__init__(f"link-{entry_id}")
        self.address = address
        self.dials = 0
        self._clock = clock
        self._entry_id = entry_id
        self._socket: pynng.Push0 | None = None
        self._dialled_s = 0.0
        self._replaced: list[tuple[float, pynng.Push0]] = []
        self._awaited: tuple[int, float] | None = None

    def await_acknowledgement(self, sequence: int) -> None:
        """Records a queued heartbeat whose acknowledgement is awaited."""
        if self._awaited is None:
            self._awaited = (sequence, self._clock.now())

    def handle_acknowledgement(self, sequence: int) -> None:
        """Records the highest sequence that the peer acknowledges."""
        if self._awaited is not None and sequence >= self._awaited[0]:
            self._awaited = None

    def run(self) -> None:
        """Sends messages in order until stopped."""
        try:
            self._dial()
            while True:
                try:
                    data = self.inbox.get(timeout=CHECK_INTERVAL_S)
                except gevent.queue.Empty:
                    self._maintain_connection()
                else:
                    self._maintain_connection()
                    self._transmit(data)
        finally:
            self._close_all()

    def _transmit(self, data: bytes) -> None:
        while True:
            try:
                self._socket.send(data, block=False)
                return
            except pynng.TryAgain:
                self._wait_writable()
                self._maintain_connection()
            except pynng.NNGException as error:
                logs.write("peer_send_failed", peer=self._entry_id, error=error)
                gevent.sleep(CHECK_INTERVAL_S)
                self._redial(linger=False)

    def _wait_writable(self) -> None:
        try:
            gevent.socket.wait_read(
                self._socket.send_fd, timeout=CHECK_INTERVAL_S
            )
        except TimeoutError:
            return

    def _maintain_connection(self) -> None:
        now = self._clock.now()
        while self._replaced and now - self._replaced[0][0] > LINGER_S:
            self._replaced.pop(0)[1].close()
        awaited = self._awaited
        if awaited is not None and now - awaited[1] > ACKNOWLEDGE_TIMEOUT_S:
            logs.write("peer_silent", peer=self._entry_id)
            self._redial(linger=False)
        elif now - self._dialled_s > MAX_AGE_S:
            self._redial(linger=True)

    def _redial(self, linger: bool) -> None:
        if linger:
            self._replaced.append((self._clock.now(), self._socket))
        else:
            self._socket.close()
        self._dial()

    def _dial(self) -> None:
        self._awaited = None
        self._dialled_s = self._clock.now()
        self.dials += 1
        self._socket = pynng.Push0()
        self._socket.reconnect_time_min = RECONNECT_MIN_MS
        self._socket.reconnect_time_max = RECONNECT_MAX_MS
        self._socket.dial(f"tcp://{self.address}", block=False)

    def _close_all(self) -> None:
        for _, socket in self._replaced:
            socket.close()
        if self._socket is not None:
            self._socket.close()


class Mesh(tasks.Task):
    """Exchanges messages with the other entry processes.

    Attributes:
        address: Host and port that the mesh listens on.
        counts: Messages and bytes by (message name, direction); direction is
            one of sent, received, dropped. Sent means queued for sending.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        entry_id: str,
        incarnation: str,
        listen_address: str,
        on_envelope: Callable[[protocol.Envelope], None],
    ):
        """Listens at once, so that `address` is known before the start.

        Args:
            clock: Clock for connection ages and timeouts.
            entry_id: Entry ID of this process.
            incarnation: Incarnation of this process.
            listen_address: Host and port; port 0 takes a free port.
            on_envelope: Called with each received message; must not block.
        """
        super().__init__("mesh")
        self.counts: dict[tuple[str, str], Count] = collections.defaultdict(
            Count
        )
        self._clock = clock
        self._entry_id = entry_id
        self._incarnation = incarnation
        self._on_envelope = on_envelope
        self._links: dict[str, _Link] = {}
        self._incoming_since_s: dict[int, float] = {}
        self._incoming_checked_s = clock.now()
        self._socket = pynng.Pull0()
        self._socket.recv_max_size = MESSAGE_LIMIT_BYTES
        listener = self._socket.listen(f"tcp://{listen_address}")
        self.address = str(listener.local_address)

    def set_peer(self, entry_id: str, address: str) -> None:
        """Dials a peer, or dials it again when its address has changed."""
        link = self._links.get(entry_id)
        if link is not None and link.address == address:
            return
        self.drop_peer(entry_id)
        self._links[entry_id] = _Link(self._clock, entry_id, address)
        self._links[entry_id].start()

    def drop_peer(self, entry_id: str) -> None:
        """Closes the link to a peer and discards what is queued for it."""
        link = self._links.pop(entry_id, None)
        if link is not None:
            link.stop()

    def send(self, entry_id: str, message: protocol.Message) -> bool:
        """Queues a message for a peer without waiting.

        Returns:
            False when the message was dropped because the peer is not known
            or its queue is full. True does not mean that it will arrive.
        """
        envelope = protocol.Envelope(self._entry_id, self._incarnation, message)
        data = protocol.encode(envelope)
        link = self._links.get(entry_id)
        is_heartbeat = isinstance(message, protocol.Heartbeat)
        limit = HEARTBEAT_QUEUE_LIMIT if is_heartbeat else QUEUE_LIMIT
        if link is None or link.inbox.qsize() >= limit:
            self._count(message, "dropped", data)
            if link is not None:
                logs.write("peer_message_dropped", peer=entry_id)
            return False
        if is_heartbeat:
            link.await_acknowledgement(message.sequence)
        link.post(data)
        self._count(message, "sent", data)
        return True

    def measure_traffic(self) -> traffic.Counter:
        """Returns the bytes of all messages sent and received so far."""
        totals = {"sent": 0, "received": 0, "dropped": 0}
        for (_, direction), count in self.counts.items():
            totals[direction] += count.size_bytes
        return traffic.Counter(totals["sent"], totals["received"])

    def dials(self, entry_id: str) -> int:
        """Returns how often a peer's current address has been dialled."""
        link = self._links.get(entry_id)
        return link.dials if link is not None else 0

    def run(self) -> None:
        """Receives messages until stopped."""
        while True:
            try:
                gevent.socket.wait_read(self._socket.recv_fd, timeout=1.0)
                self._receive_burst()
            except TimeoutError:
                pass
            self._close_abandoned()
            gevent.sleep(0)

    def stop(self) -> None:
        """Ends all links and closes the listening socket."""
        super().stop()
        for entry_id in list(self._links):
            self.drop_peer(entry_id)
        self._socket.close()

    def _receive_burst(self) -> None:
        for _ in range(RECEIVE_BURST):
            try:
                data = self._socket.recv(block=False)
            except pynng.TryAgain:
                return
            self._receive(data)

    def _receive(self, data: bytes) -> None:
        try:
            envelope = protocol.decode(data)
        except exceptions.ProtocolError as error:
            logs.write("peer_message_unreadable", error=error)
            self._add_to_count(("unreadable", "received"), data)
            return
        message = envelope.message
        self._count(message, "received", data)
        link = self._links.get(envelope.sender)
        if link is not None and isinstance(message, protocol.Heartbeat):
            link.handle_acknowledgement(message.heard)
        self._on_envelope(envelope)

    def _close_abandoned(self) -> None:
        now = self._clock.now()
        if now - self._incoming_checked_s < INCOMING_CHECK_INTERVAL_S:
            return
        self._incoming_checked_s = now
        before = self._incoming_since_s
        pipes = {pipe.id: pipe for pipe in self._socket.pipes}
        self._incoming_since_s = {id_: before.get(id_, now) for id_ in pipes}
        for id_, since_s in self._incoming_since_s.items():
            if now - since_s > MAX_INCOMING_AGE_S:
                pipes[id_].close()

    def _count(
        self, message: protocol.Message, direction: str, data: bytes
    ) -> None:
        self._add_to_count((type(message).__name__, direction), data)

    def _add_to_count(self, key: tuple[str, str], data: bytes) -> None:
        old = self.counts[key]
        self.counts[key] = Count(old.messages + 1, old.size_bytes + len(data))
