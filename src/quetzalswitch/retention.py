"""Removes stored requests and their results after the retention time."""

import typing

import msgspec

from quetzalswitch import clock as clocks
from quetzalswitch import exceptions
from quetzalswitch import records
from quetzalswitch import tasks
from quetzalswitch.peers import protocol as peer_protocol
from quetzalswitch.storage import receipts
from quetzalswitch.storage import table as tables
from quetzalswitch.targets import ownership

# A page costs two reads, of the about two thousand a second that the platform
# handles.
PAGE_INTERVAL_S = 1.0
# A row holds a result of up to 64 KiB, so a page stays below 1.3 MB.
PAGE_ROWS = 20
PASS_INTERVAL_S = 60.0
WRITE_TIMEOUT_S = 5.0
PREFIX = "request/"

_ENDED = frozenset(
    {
        records.RequestState.DONE.value,
        records.RequestState.FAILED.value,
        records.RequestState.UNKNOWN.value,
        records.RequestState.CANCELLED.value,
    }
)


class Surroundings(typing.NamedTuple):
    """What the removal needs from the rest of the process.

    Attributes:
        incarnation: Incarnation of this process.
        find_members: Returns the live entries, this one included.
        delete_object: Removes an object from the object store.
    """

    incarnation: str
    find_members: typing.Callable[[], list[ownership.Member]]
    delete_object: typing.Callable[[str], None]


class Retention(tasks.Task):
    """Pages through the stored requests and removes those that are due.

    One entry, chosen by rendezvous hash, does it at a time. If two do for a
    while, the condition on the row's version makes one of them fail. The same
    condition protects a row that changes between its reading and its removal,
    and an entry that was sealed can't write at all.

    Args:
        clock: Source of time.
        table: Client of the table service.
        committer: Writes of this process.
        retention_s: Time from the end of a request to its removal.
        surroundings: The rest of the process.

    Attributes:
        removed: Rows removed so far.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        table: tables.TableClient,
        committer: typing.Any,
        retention_s: float,
        surroundings: Surroundings,
    ):
        super().__init__("retention")
        self.removed = 0
        self._clock = clock
        self._table = table
        self._committer = committer
        self._retention_s = retention_s
        self._around = surroundings
        self._after = ""

    def run(self) -> None:
        """Handles one page each interval, and rests after each pass."""
        while True:
            self._clock.sleep(PAGE_INTERVAL_S)
            if not self._is_chosen():
                self._after = ""
                continue
            try:
                is_last = self.check_page()
            except exceptions.TransportError:
                # The committer reports outages; the page is read again.
                continue
            if is_last:
                self._clock.sleep(PASS_INTERVAL_S)

    def check_page(self) -> bool:
        """Removes what is due on the next page; true after the last one.

        Raises:
            StoreUnavailableError: The platform gave no usable answer.
        """
        now_s = self._find_wall_time()
        rows = self._table.read_rows(PREFIX, self._after, PAGE_ROWS)
        for row in rows:
            if is_due(row.value, now_s, self._retention_s):
                self._remove(row)
        is_last = len(rows) < PAGE_ROWS
        self._after = "" if is_last else rows[-1].key
        return is_last

    def _is_chosen(self) -> bool:
        members = self._around.find_members()
        chosen = ownership.choose_owner("retention", "", members)
        return chosen == self._around.incarnation

    def _find_wall_time(self) -> float:
        """Returns the time of day, the earlier one of this VM and its peers.

        A VM whose time of day is days ahead must not remove results early.
        """
        own_s = self._clock.wall()
        peers = {member.incarnation for member in self._around.find_members()}
        peers.discard(self._around.incarnation)
        others = [
            receipt.wall_time_s
            for row in self._table.read_rows(receipts.KEY_PREFIX)
            if (receipt := receipts.read_receipt(row)) is not None
            and receipt.incarnation in peers
        ]
        return min(own_s, max(others, default=own_s))

    def _remove(self, row: tables.Row) -> None:
        # Objects go first: the row is the only record of their names.
        for key in list_objects(row.value):
            self._around.delete_object(key)
        pending = self._committer.submit(
            {row.key: row.version}, {row.key: None}
        )
        try:
            pending.wait(WRITE_TIMEOUT_S)
            self.removed += 1
        except exceptions.ConditionFailedError:
            # It has changed or is gone; the next pass looks again.
            return
        finally:
            pending.withdraw()


def is_due(row: dict, now_s: float, retention_s: float) -> bool:
    """Tells whether a stored request has ended long enough ago.

    Args:
        row: Value of the request row.
        now_s: Seconds since the Unix epoch.
        retention_s: Time from the end of a request to its removal.
    """
    if row["state"] not in _ENDED:
        return False
    ended_s = row.get("finished_wall_s", row["accepted_wall_s"])
    return now_s - ended_s > retention_s


def list_objects(row: dict) -> list[str]:
    """Returns the keys of the objects that hold a request's result."""
    result = row["result"]
    if result is None:
        return []
    if result["object_key"] is not None:
        return [result["object_key"]]
    request = peer_protocol.request_from_plain(row["request"])
    if request.task_count == 1:
        # The body is a task's own output; nothing in it names an object.
        return []
    parts = msgspec.json.decode(result["body"])
    return [part["object"] for part in parts if isinstance(part, dict)]
