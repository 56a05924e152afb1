"""Queue of writes for the committer, and their grouping."""

import collections
import enum
import typing

import gevent
import gevent.event
import msgspec

from quetzalswitch import clock as clocks
from quetzalswitch import exceptions
from quetzalswitch.storage import table

# One row of each transaction is the receipt row.
MAX_GROUP_KEYS = table.MAX_ROWS_PER_TRANSACTION - 1

# Bounds the time that one exchange takes on a slow network.
MAX_GROUP_BYTES = 512 * 1024

# Bounds the work of building one group when many writes share keys.
_MAX_SCANNED = 4 * MAX_GROUP_KEYS


class _State(enum.Enum):
    QUEUED = enum.auto()
    SENT = enum.auto()
    NEVER_SENT = enum.auto()
    ENDED = enum.auto()


class PendingWrite:
    """A conditional write that is queued or being committed.

    The committer and the submitter share it. Greenlets switch only at waits,
    so each state change is atomic.

    Attributes:
        conditions: Expected versions by key.
        writes: Encoded values by key.
        keys: All keys in conditions and writes.
        size_bytes: Size of the encoded values in bytes.
        needs_own_transaction: Whether it must be the only write in its
            transaction.
    """

    __slots__ = (
        "_clock",
        "_queue",
        "_result",
        "_state",
        "needs_own_transaction",
        "conditions",
        "keys",
        "size_bytes",
        "writes",
    )

    def __init__(
        self,
        clock: clocks.Clock,
        queue: "WriteQueue",
        conditions: dict[str, int],
        writes: dict[str, typing.Any],
    ):
        self.conditions = dict(conditions)
        self.writes = {
            key: msgspec.Raw(msgspec.json.encode(value))
            for key, value in writes.items()
        }
        self.keys = frozenset(conditions) | frozenset(writes)
        self.size_bytes = sum(len(bytes(v)) for v in self.writes.values())
        self.needs_own_transaction = False
        self._clock = clock
        self._queue = queue
        self._state = _State.QUEUED
        self._result = gevent.event.AsyncResult()

    def wait(self, timeout_s: float | None) -> int:
        """Waits for the commit and returns its number.

        May be called again after a timeout. Without a timeout it waits for as
        long as the store is down.

        Raises:
            ConditionFailedError: A condition failed; nothing was written.
            ProtocolError: The table service does not accept the write;
                nothing was written.
            FencedError: This process was declared dead. The effect is unknown
                unless `withdraw` returns true.
            StoreUnavailableError: No confirmation in time. The effect is
                unknown unless `withdraw` returns true.
        """
        if timeout_s is not None and not self._result.ready():
            timer = gevent.spawn(self._clock.sleep, timeout_s)
            try:
                gevent.wait([self._result, timer], count=1)
            finally:
                timer.kill(block=False)
        if timeout_s is not None and not self._result.ready():
            raise exceptions.StoreUnavailableError(
                f"write not confirmed within {timeout_s:.1f} s"
            )
        return self._result.get()

    def withdraw(self) -> bool:
        """Cancels the write if it has not been sent.

        Returns:
            True if the write was not sent and never will be; False if it may
            have taken effect or may still do so.
        """
        if self._state is _State.QUEUED:
            self._queue.remove(self)
            self.fail(exceptions.StoreUnavailableError("write withdrawn"))
        return self._state is _State.NEVER_SENT

    def mark_queued(self) -> None:
        """Records that no copy of the write has reached the table."""
        self._state = _State.QUEUED

    def mark_sent(self) -> None:
        """Records that the write may reach the table from now on."""
        self._state = _State.SENT

    def succeed(self, version: int) -> None:
        """Completes the write with its commit number."""
        self._state = _State.ENDED
        self._result.set(version)

    def fail(self, error: exceptions.QuetzalError) -> None:
        """Completes the write with an error, unless it has an outcome."""
        if self._result.ready():
            return
        is_unsent = self._state in (_State.QUEUED, _State.NEVER_SENT)
        self._state = _State.NEVER_SENT if is_unsent else _State.ENDED
        self._result.set_exception(error)


class WriteQueue:
    """Writes that have not been sent, in submission order."""

    def __init__(self):
        self._pendings: collections.OrderedDict[int, PendingWrite] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._pendings)

    def append(self, pending: PendingWrite) -> None:
        """Adds a write at the end."""
        self._pendings[id(pending)] = pending

    def remove(self, pending: PendingWrite) -> None:
        """Removes a write."""
        del self._pendings[id(pending)]

    def put_back(self, group: list[PendingWrite]) -> None:
        """Returns writes to the front of the queue, in their order."""
        for pending in reversed(group):
            pending.mark_queued()
            self._pendings[id(pending)] = pending
            self._pendings.move_to_end(id(pending), last=False)

    def take_all(self) -> list[PendingWrite]:
        """Removes and returns all writes."""
        pendings = list(self._pendings.values())
        self._pendings.clear()
        return pendings

    def take_group(self) -> list[PendingWrite]:
        """Removes and returns writes that may share one transaction.

        A write stays queued if it uses a key that another write of the group
        writes, and so does every later write that shares a key with it:
        writes to one key keep their order.
        """
        group: list[PendingWrite] = []
        conditions: dict[str, int] = {}
        written: set[str] = set()
        blocked: set[str] = set()
        size_bytes = 0
        for number, pending in enumerate(self._pendings.values()):
            if number == _MAX_SCANNED or (
                pending.needs_own_transaction and group
            ):
                break
            if _conflicts_with_group(pending, conditions, written, blocked):
                blocked |= pending.keys
                continue
            keys = len(conditions.keys() | written | pending.keys)
            size_bytes += pending.size_bytes
            if group and (
                keys > MAX_GROUP_KEYS or size_bytes > MAX_GROUP_BYTES
            ):
                break
            group.append(pending)
            conditions |= pending.conditions
            written |= pending.writes.keys()
            if pending.needs_own_transaction:
                break
        for pending in group:
            self.remove(pending)
            pending.mark_sent()
        return group


def _conflicts_with_group(
    pending: PendingWrite,
    conditions: dict[str, int],
    written: set[str],
    blocked: set[str],
) -> bool:
    if not (pending.keys.isdisjoint(written | blocked)):
        return True
    if not conditions.keys().isdisjoint(pending.writes):
        return True
    return any(
        conditions.get(key, version) != version
        for key, version in pending.conditions.items()
    )
