"""What an entry process knows about another one."""

import enum
import typing

import gevent
import gevent.queue
import msgspec

# Between the leader and each follower.
HEARTBEAT_INTERVAL_S: typing.Final = 0.2
# Accepted lateness of a heartbeat: about three more short intervals, so that a
# VM slowed by a factor of five still counts as alive.
LATENESS_MARGIN_S: typing.Final = 0.7
# Between two followers. With 39 entries, heartbeats at the short interval
# between all pairs would be 7,400 messages a second.
FOLLOWER_INTERVAL_S: typing.Final = 1.0
# A hub that has not been heard for this long since it was chosen counts as
# dead, and another one is chosen.
FIRST_HEARTBEAT_LIMIT_S: typing.Final = 1.0
# Of frames to one peer.
QUEUE_LIMIT: typing.Final = 5000
# Fencing tokens are made of it and must fit into 64 bits.
MAX_EPOCH: typing.Final = 2**40

Epoch = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_EPOCH)]
# Start time in nanoseconds, in hexadecimal digits.
Lifetime = typing.Annotated[str, msgspec.Meta(pattern="^[0-9a-f]{1,20}$")]
# Of the power of a VM, and of durations in seconds; excludes NaN.
Amount = typing.Annotated[float, msgspec.Meta(ge=0, le=1e9)]


class Heartbeat(typing.NamedTuple):
    """Periodic report of the state of an entry process.

    It is written by position: the order of the fields is part of the protocol.

    Attributes:
        name: Name of the VM.
        lifetime: Distinguishes restarts of the process.
        epoch: Highest epoch that the process has observed.
        leading: Whether it is the leader of that epoch.
        store_ok: Whether the store answered it within the last second.
        leaving: Whether a planned stop has begun.
        pending: Number of submissions without a start by queue, from the
            leader; None if this process is not the leader or has not loaded
            its state yet.
        version: Version of the configuration in force.
        resigned: Last epoch in which the process resigned; 0 for none.
        power: Share of a core and of the fastest link that the VM has.
        store_lag_s: Duration of the store's last answer to the sender, or time
            for which an answer has been outstanding.
        interval_s: Time until the sender's next heartbeat.
    """

    name: str
    lifetime: Lifetime
    epoch: Epoch
    leading: bool
    store_ok: bool
    leaving: bool
    pending: dict[str, int] | None
    version: int
    resigned: Epoch
    power: Amount
    store_lag_s: Amount = 0.0
    interval_s: Amount = HEARTBEAT_INTERVAL_S


class LinkState(enum.StrEnum):
    """What is known of the link to a peer.

    Attributes:
        WORKING: Both processes hear each other.
        ONE_WAY: The peer is heard and says that it doesn't hear this process.
        UNHEARD: A connection is open, but the peer is not heard.
        REFUSED: The peer's VM refuses connections.
        FAILED: Connections fail for another reason.
        CLOSED: No connection is wanted.
    """

    WORKING = "working"
    ONE_WAY = "one_way"
    UNHEARD = "unheard"
    REFUSED = "refused"
    FAILED = "failed"
    CLOSED = "closed"


class Peer:
    """Another entry process, and the frames to send to it.

    Attributes:
        heartbeat: Its last heartbeat; None if none was received.
        received_s: When that heartbeat was received.
        receives_from_us: Whether the peer reported in it that it receives the
            heartbeats of this process.
        confirmed_s: When the peer last reported so.
        sent_s: When the last heartbeat was sent to it.
        hears_leader: Whether the peer reported in it that it hears the leader
            of the epoch in that heartbeat.
        connection_refused: Whether its VM refused the last connection, which
            means that no process is running there.
        connected: Whether a connection to it is open.
        failing: Whether the last attempt to connect failed.
        unheard: Whether the log says that nothing arrives over the link.
        silent_dials: Connections replaced since the link last worked.
        stalled: Whether frames were dropped since the last connection.
        power: Share of a core and of the fastest link that its VM has.
        chosen_s: Since when this process has chosen it as a neighbour; None if
            it isn't one.
        chose_us: Whether its last heartbeat said that it chose this process.
        used_s: When a frame other than a heartbeat was last queued.
    """

    def __init__(self, name: str, address: str):
        self.name = name
        self.address = address
        self.power = 0.0
        self.chosen_s: float | None = None
        self.chose_us = False
        self.used_s = float("-inf")
        self.heartbeat: Heartbeat | None = None
        self.received_s = float("-inf")
        self.receives_from_us = True
        self.confirmed_s = float("-inf")
        self.hears_leader = False
        self.sent_s = float("-inf")
        self.connection_refused = False
        self.connected = False
        self.failing = False
        self.unheard = False
        self.silent_dials = 0
        self.stalled = False
        self.queue: gevent.queue.Queue = gevent.queue.Queue(QUEUE_LIMIT)
        self.greenlet: gevent.Greenlet | None = None
        self.dialled_s = float("-inf")
        self.redial = False

    def is_alive(self, now_s: float, patience: float = 1.0) -> bool:
        """Returns whether it runs and its next heartbeat is not overdue.

        Args:
            now_s: Monotonic time.
            patience: Factor of the accepted lateness.
        """
        return not self.connection_refused and self._is_heard(now_s, patience)

    def find_link_state(self, now_s: float) -> LinkState:
        """Returns what is known of the link at a time."""
        if self.connection_refused:
            return LinkState.REFUSED
        if self.is_alive(now_s):
            if self.receives_from_us:
                return LinkState.WORKING
            return LinkState.ONE_WAY
        if self.greenlet is None:
            return LinkState.CLOSED
        return LinkState.UNHEARD if self.connected else LinkState.FAILED

    def find_silence(self, now_s: float) -> float:
        """Returns for how long nothing showed that the connection delivers.

        In seconds, since it was dialled if there was no sign.
        """
        return now_s - max(self.dialled_s, self.confirmed_s)

    @property
    def silence_limit_s(self) -> float:
        """Seconds within which a connection that delivers shows it.

        The peer may report it with the second heartbeat from now on.
        """
        interval_s = FOLLOWER_INTERVAL_S
        if self.heartbeat is not None:
            interval_s = self.heartbeat.interval_s
        return 2 * (interval_s + LATENESS_MARGIN_S)

    def is_unheard_there(self) -> bool:
        """Returns whether it reports, over connections too, not to hear us."""
        return not self.receives_from_us and self.silent_dials > 0

    def find_heard_age(self, now_s: float) -> float | None:
        """Returns the seconds since its last heartbeat; None without one."""
        if self.heartbeat is None:
            return None
        return round(now_s - self.received_s, 3)

    def is_awaited(self, now_s: float) -> bool:
        """Returns whether its first heartbeat since it was chosen may come."""
        return (
            self.chosen_s is not None
            and not self.connection_refused
            and self.received_s < self.chosen_s
            and now_s - self.chosen_s < FIRST_HEARTBEAT_LIMIT_S
        )

    def has_chosen_us(self, now_s: float) -> bool:
        """Returns whether it sends heartbeats because it chose this process.

        Its VM may have refused a connection before, when the process restarted.
        """
        return self.chose_us and self._is_heard(now_s)

    def interrupt(self) -> None:
        """Makes the sender check its connection; sends nothing."""
        if not self.queue.full():
            self.queue.put_nowait(b"")

    def disconnect(self) -> None:
        """Stops sending to it; queued frames are kept."""
        if self.greenlet is not None:
            self.greenlet.kill(block=False)
            self.greenlet = None
            self.connected = False
            self.failing = False
            self.unheard = False

    def _is_heard(self, now_s: float, patience: float = 1.0) -> bool:
        heartbeat = self.heartbeat
        if heartbeat is None:
            return False
        limit_s = heartbeat.interval_s + patience * LATENESS_MARGIN_S
        return now_s - self.received_s < limit_s
