"""Bounds on what the clients of one listener may hold of this process.

docs/design/clients.md has the reasons. `listeners` applies the bounds.
"""

import collections
import enum
import resource
import typing
from collections.abc import Callable
from collections.abc import Hashable

import msgspec

from quetzalswitch import clock as clocks
from quetzalswitch import exceptions

# Memory of an open connection besides the bytes of its request: its greenlet,
# its buffers and the data in the receive queue of its socket.
CONNECTION_MEMORY_BYTES: typing.Final = 64 * 1024
# Descriptors that the platform sets aside for files.
FILE_DESCRIPTORS_COUNT: typing.Final = 200
# Of a listener with a reserve: enough for the checks, scrapes and commands of
# several operators at once.
RESERVE_CONNECTIONS_COUNT: typing.Final = 32
# Of the descriptors without those for files. The rest is for connections that
# this process opens itself.
LINKS_DESCRIPTORS_SHARE: typing.Final = 0.3
# Twice the largest frame fits on the smallest VM.
LINKS_MEMORY_SHARE: typing.Final = 0.125
# Callers are served on the smallest VMs too.
LEAST_CONNECTIONS_COUNT: typing.Final = 8
LOG_INTERVAL_S: typing.Final = 10.0

_A = typing.Annotated
_DAY_S: typing.Final = 24 * 3600


def _doc(text: str, **limits: typing.Any) -> msgspec.Meta:
    return msgspec.Meta(description=text, **limits)


class Limits(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """What clients may send and hold; sizes in bytes, times in seconds."""

    request_line_bytes: _A[
        int,
        _doc("Longest request line, in bytes.", ge=256, le=8190),
    ] = 8190
    head_bytes: _A[
        int,
        _doc("Largest request head, in bytes.", ge=1024, le=1024 * 1024),
    ] = 32 * 1024
    header_lines: _A[
        int, _doc("Most header lines of a request.", ge=8, le=100)
    ] = 100
    empty_lines: _A[
        int,
        _doc("Empty lines that are skipped before a request.", ge=0, le=100),
    ] = 4
    body_bytes: _A[
        int,
        _doc(
            "Largest request body, in bytes.", ge=16 * 1024, le=4 * 1024 * 1024
        ),
    ] = 1024 * 1024
    head_s: _A[
        float,
        _doc(
            "Time from the first byte of a request to the end of its head.",
            gt=0,
            le=_DAY_S,
        ),
    ] = 30.0
    body_s: _A[
        float,
        _doc(
            "Time from the end of a head to that of its body.", gt=0, le=_DAY_S
        ),
    ] = 60.0
    # Longer than most clients keep idle connections, since a request that
    # meets the end of its connection is lost.
    idle_s: _A[
        float,
        _doc(
            "Time for which a client may send nothing, between requests or "
            "within one.",
            gt=0,
            le=_DAY_S,
        ),
    ] = 300.0
    answer_s: _A[
        float,
        _doc("Time for a client to receive an answer.", gt=0, le=_DAY_S),
    ] = 60.0
    memory_mb: _A[
        int, _doc("Memory of this VM, in MB.", ge=32, le=1024 * 1024)
    ] = 160
    descriptors: _A[
        int,
        _doc(
            "Descriptors that this process may open; 0 takes the limit of the "
            "operating system.",
            ge=0,
            le=10_000_000,
        ),
    ] = 0
    descriptors_share: _A[
        float,
        _doc(
            "Part of the descriptors, without those for files, that callers' "
            "connections may use.",
            gt=0,
            le=0.6,
        ),
    ] = 0.4
    connections_memory_share: _A[
        float,
        _doc(
            "Part of the memory for the connections of callers.", gt=0, le=0.5
        ),
    ] = 0.25
    requests_memory_share: _A[
        float,
        _doc(
            "Part of the memory for requests that are incomplete or not "
            "answered yet.",
            gt=0,
            le=0.25,
        ),
    ] = 0.0625


class Sums(typing.NamedTuple):
    """What all connections of a listener may use together.

    Attributes:
        connections: Open connections.
        request_bytes: Bytes of requests without an answer.
    """

    connections: int
    request_bytes: int


class Reason(enum.StrEnum):
    """Why the server closed a connection."""

    REQUEST_LINE = "request_line"
    HEAD = "head"
    HEADER_LINES = "header_lines"
    EMPTY_LINES = "empty_lines"
    BODY = "body"
    HEAD_TIME = "head_time"
    BODY_TIME = "body_time"
    IDLE_TIME = "idle_time"
    ANSWER_TIME = "answer_time"
    CONNECTIONS = "connections"
    MEMORY = "memory"
    MALFORMED = "malformed"
    LOST = "lost"


# Ends of connections that are no fault of a client and are only counted.
_ORDINARY: typing.Final = frozenset({Reason.IDLE_TIME, Reason.LOST})

Report = Callable[[Reason, str], None]


def ignore(reason: Reason, address: str) -> None:
    """Reports nothing; for servers without metrics."""


class ClientLimitError(exceptions.QuetzalError):
    """A client has reached a limit; its connection is closed."""

    def __init__(self, reason: Reason):
        super().__init__(f"the limit {reason} was reached")
        self.reason = reason


def find_sums(limits: Limits) -> Sums:
    """Returns the sums of the listener that serves callers."""
    memory_bytes = limits.memory_mb * 1_000_000
    connections = min(
        int(_count_sockets(limits) * limits.descriptors_share),
        int(
            memory_bytes
            * limits.connections_memory_share
            / CONNECTION_MEMORY_BYTES
        ),
    )
    return Sums(
        max(LEAST_CONNECTIONS_COUNT, connections),
        max(
            int(memory_bytes * limits.requests_memory_share),
            limits.head_bytes + limits.body_bytes,
        ),
    )


def find_link_sums(limits: Limits) -> Sums:
    """Returns the sums of the listener for links between entries."""
    return Sums(
        max(
            LEAST_CONNECTIONS_COUNT,
            int(_count_sockets(limits) * LINKS_DESCRIPTORS_SHARE),
        ),
        int(limits.memory_mb * 1_000_000 * LINKS_MEMORY_SHARE),
    )


def _count_sockets(limits: Limits) -> int:
    descriptors = limits.descriptors
    if not descriptors:
        descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    # A small limit leaves fewer for files than the platform does.
    return descriptors - min(FILE_DESCRIPTORS_COUNT, descriptors // 2)


def find_reserve(limits: Limits) -> Sums:
    """Returns the sums of a listener that callers don't use."""
    return Sums(
        RESERVE_CONNECTIONS_COUNT, 2 * (limits.head_bytes + limits.body_bytes)
    )


class Connection:
    """What one client holds.

    Attributes:
        address: Address of the client.
        waiting: Whether the server waits for the client at this moment.
        answering: Whether a part of an answer may have been sent.
        proven: Whether an exchange was complete.
        held_bytes: Received bytes of a request without an answer.
        displace: Closes the connection, from another greenlet.
    """

    __slots__ = (
        "address",
        "answering",
        "displace",
        "held_bytes",
        "proven",
        "waiting",
    )

    def __init__(
        self, address: str, displace: Callable[["Connection", Reason], None]
    ):
        self.address = address
        self.displace = displace
        self.waiting = False
        self.answering = False
        self.proven = False
        self.held_bytes = 0


class Ledger:
    """The open connections of one listener and what they hold together.

    The connection that is closed when a sum is reached is the one that has
    been without a complete exchange for the longest time among those that the
    server waits for. A request that has been handed to a handler and is not
    answered yet is never dropped.

    Args:
        sums: What all connections may use together.
        prefers_proven: Whether a new connection displaces one that has had a
            complete exchange only if there is no other.
    """

    def __init__(self, sums: Sums, prefers_proven: bool = False):
        self.sums = sums
        self._prefers_proven = prefers_proven
        self.held_bytes = 0
        # The first has been without a complete exchange for the longest time.
        self._connections: collections.OrderedDict[Hashable, Connection] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._connections)

    def find(self, key: Hashable) -> Connection:
        """Returns an admitted connection.

        Raises:
            KeyError: There is none, or it was displaced.
        """
        return self._connections[key]

    def has(self, key: Hashable) -> bool:
        """Tells whether a connection is admitted and was not displaced."""
        return key in self._connections

    def admit(self, key: Hashable, connection: Connection) -> bool:
        """Adds a connection if there is room or room can be made."""
        if len(self._connections) >= self.sums.connections:
            first = None
            if self._prefers_proven:
                first = self._find_first(
                    lambda other: other.waiting and not other.proven
                )
            if first is None:
                first = self._find_first(lambda other: other.waiting)
            if first is None:
                return False
            self._displace(first, Reason.CONNECTIONS)
        self._connections[key] = connection
        return True

    def remove(self, key: Hashable) -> None:
        """Removes a connection that is closed, if it was not removed yet."""
        connection = self._connections.pop(key, None)
        if connection is not None:
            self._release(connection)

    def add_bytes(self, connection: Connection, count: int) -> None:
        """Adds received bytes to what a connection holds.

        Raises:
            ClientLimitError: The sum is reached, and this connection has to be
                closed.
        """
        connection.held_bytes += count
        self.held_bytes += count
        while self.held_bytes > self.sums.request_bytes:
            first = self._find_first(
                lambda other: (
                    other is connection or (other.waiting and other.held_bytes)
                )
            )
            if first is None or self._connections[first] is connection:
                raise ClientLimitError(Reason.MEMORY)
            self._displace(first, Reason.MEMORY)

    def finish_exchange(self, key: Hashable, connection: Connection) -> None:
        """Notes that a request was answered."""
        self._release(connection)
        connection.answering = False
        connection.proven = True
        if key in self._connections:
            self._connections.move_to_end(key)

    def _release(self, connection: Connection) -> None:
        self.held_bytes -= connection.held_bytes
        connection.held_bytes = 0

    def _find_first(
        self, may_close: Callable[[Connection], typing.Any]
    ) -> Hashable | None:
        for key, connection in self._connections.items():
            if may_close(connection):
                return key
        return None

    def _displace(self, key: Hashable, reason: Reason) -> None:
        connection = self._connections[key]
        connection.displace(connection, reason)
        self.remove(key)


class Reporter:
    """Counts closed connections and logs some of them.

    Args:
        clock: Source of time.
        count: Counts a reason.
        write: Writes a log line with a reason, an address and the number of
            closed connections since the last line.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        count: Callable[[str], None],
        write: Callable[[str, str, int], None],
    ):
        self._clock = clock
        self._count = count
        self._write = write
        self._left_out = 0
        self._next_line_s = 0.0

    def report(self, reason: Reason, address: str) -> None:
        """Counts a reason; writes a line unless one was written lately."""
        self._count(reason.value)
        if reason in _ORDINARY:
            return
        now_s = self._clock.now()
        if now_s < self._next_line_s:
            self._left_out += 1
            return
        self._next_line_s = now_s + LOG_INTERVAL_S
        self._write(reason.value, address, self._left_out)
        self._left_out = 0
