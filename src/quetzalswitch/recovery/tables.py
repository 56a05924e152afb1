"""Tables, parts and row keys in the store, and followers of tables."""

import typing
from collections.abc import Callable

import gevent
import gevent.pool
import msgspec
import xxhash

from quetzalswitch import clock as clocks
from quetzalswitch import decoding
from quetzalswitch import exceptions
from quetzalswitch import greenlets
from quetzalswitch import nodelog
from quetzalswitch.execution import tenure as tenures
from quetzalswitch.peers import neighbours
from quetzalswitch.peers import peer as peers
from quetzalswitch.platform import store as stores

CLUSTER_TABLE: typing.Final = "cluster"
JOB_TABLE: typing.Final = "jobs"
PROGRESS_TABLE: typing.Final = "progress"
# The leader's row and all progress share a part, so that one transaction can
# write progress on the condition that the leader's row has not changed.
CLUSTER_PART: typing.Final = "p"
LEADER_KEY: typing.Final = "leader"
# A part of its own, so that renewals don't wait for writes of progress.
RENEWAL_TABLE: typing.Final = "renewals"
RENEWAL_PART: typing.Final = "r"
CHAIN_KEY: typing.Final = "~chain"
TARGETS_KEY: typing.Final = "~targets"
LOST_RUNS_KEY: typing.Final = "~lost-runs"
NODE_PREFIX: typing.Final = "node/"
CANCEL_SUFFIX: typing.Final = "/cancel"
# A part runs its transactions one at a time. Each takes 8 ms, or half a second
# when the store is slowed by the factor of 66 of the users' fault scenarios.
# Even then this many parts accept 90 submissions per second.
JOB_PARTS_COUNT: typing.Final = 48
JOB_PARTS: typing.Final = tuple(f"j{n}" for n in range(JOB_PARTS_COUNT))
READERS_COUNT: typing.Final = 24
# Of each page of a table that is read whole. A slow store could never be read
# if one late answer failed the whole read.
READ_TRIES: typing.Final = 5
FOLLOW_WAIT_S: typing.Final = 1.0
RETRY_PAUSE_S: typing.Final = 0.15
# Slowed down as in the users' tests, the store answers small reads in 0.3 s.
OVERDUE_S: typing.Final = FOLLOW_WAIT_S + 0.4
OVERDUE_CHECK_INTERVAL_S: typing.Final = 0.1
# Of the keys in a log line about rows.
LOGGED_KEYS_COUNT: typing.Final = 5


class MemberRow(msgspec.Struct, array_like=True):
    """An entry process: where its links are and what its VM is.

    It is stored as an array in this field order.
    """

    name: str
    address: str
    lifetime: peers.Lifetime
    power: peers.Amount = 0.0
    failure_domain: str = ""


_MEMBER: typing.Final = msgspec.msgpack.Decoder(MemberRow)


def decode_member(data: bytes) -> neighbours.Member:
    """Returns the entry process that a stored row describes.

    Raises:
        ProtocolError: The data is not a row of an entry process.
    """
    return decoding.decode(_make_member, data, "the row of an entry process")


def _make_member(data: bytes) -> neighbours.Member:
    row = _MEMBER.decode(data)
    decoding.check_address(row.address)
    return neighbours.Member(row.address, row.power, row.failure_domain)


def read_member(
    row: stores.Row, log: nodelog.NodeLog
) -> neighbours.Member | None:
    """Returns the entry process in a row; None if removed or unreadable.

    A row that can't be read is logged.
    """
    if row.removed:
        return None
    try:
        return decode_member(row.value)
    except exceptions.ProtocolError as error:
        log_unreadable_entry(row, error, log)
        return None


def log_unreadable_entry(
    row: stores.Row, error: exceptions.ProtocolError, log: nodelog.NodeLog
) -> None:
    """Logs, once per version, that a row of the entries can't be read."""
    log.note_once(
        "entry_unreadable", row.key, row.version, key=row.key, error=str(error)
    )


def find_job_part(job_id: str) -> str:
    """Returns the part that stores a job; the same on every entry."""
    return f"j{xxhash.xxh32_intdigest(job_id.encode()) % JOB_PARTS_COUNT}"


def read_all(
    store: stores.Store, table: str, parts: typing.Sequence[str]
) -> tuple[list[stores.Row], int]:
    """Returns all rows of some parts, and the version to follow from.

    The version is the lowest of the parts, so that no change is missed.

    Raises:
        StoreUnavailableError: A part could not be read.
    """
    pool = gevent.pool.Pool(READERS_COUNT)
    results = pool.map(lambda part: try_read(store, table, part), parts)
    rows = []
    version = None
    for result in results:
        if isinstance(result, exceptions.StoreUnavailableError):
            raise result
        rows.extend(result[0])
        version = result[1] if version is None else min(version, result[1])
    return rows, version or 0


def try_read(store: stores.Store, table: str, part: str) -> typing.Any:
    """Returns the result of `store.read`, or the error that it raises.

    Gevent prints exceptions that end a greenlet, so the error is returned.
    """
    try:
        return store.read(table, part, tries=READ_TRIES)
    except exceptions.StoreUnavailableError as error:
        return error


class Follower:
    """Delivers the rows of a table and their later changes.

    A call for changes may hang although the store answers others: it was sent
    during an outage, or its connection is dead. When it is overdue, the changes
    are read by short calls until the store answers one of the two.

    Attributes:
        table: Name of the table.
        loaded: Whether the table has been read, or following began at a given
            version.
    """

    def __init__(
        self,
        store: stores.Store,
        table: str,
        parts: typing.Sequence[str],
        clock: clocks.Clock,
        log: nodelog.NodeLog,
        on_rows: Callable[[list[stores.Row], bool], None],
        pause_s: float = 0.0,
        version: int | None = None,
        on_confirmed: Callable[[tenures.Moment], None] = lambda sent: None,
    ):
        """Prepares a follower.

        Args:
            store: The store.
            table: Name of the table.
            parts: The parts to read first; changes of all parts are
                delivered.
            clock: Source of time.
            log: Where gaps and outages of the feed are logged.
            on_rows: Called with rows and whether they are the whole table.
            pause_s: Pause after changes, so that more arrive in one batch.
            version: Version to follow from; None reads the table first.
            on_confirmed: Called after rows were delivered, with the time at
                which the call for them was sent.
        """
        self.table = table
        self.loaded = version is not None
        self._store = store
        self._parts = parts
        self._clock = clock
        self._log = log
        self._on_rows = on_rows
        self._pause_s = pause_s
        self._version = version
        self._on_confirmed = on_confirmed
        # All changes up to this version were delivered.
        self._delivered = version or 0
        # When the last call that was answered was sent.
        self._confirmed_s = float("-inf")
        self._failing = False
        # The pending call for changes, and when it was sent.
        self._call: gevent.Greenlet | None = None
        self._sent_s = float("inf")
        self._greenlets: list[gevent.Greenlet] = []

    @property
    def age_s(self) -> float:
        """Seconds for which the delivered rows may be out of date.

        Infinite before the first answer.
        """
        return self._clock.now() - self._confirmed_s

    def start(self) -> None:
        """Starts the follower's greenlets."""
        self._greenlets = [
            gevent.spawn(self._run),
            greenlets.spawn_loop(self._replace_overdue_calls, self._log),
        ]

    def stop(self) -> None:
        """Stops the follower; safe before `start`."""
        for greenlet in self._greenlets:
            greenlet.kill(block=False)
        if self._call is not None:
            self._call.kill(block=False)

    def refresh(self) -> bool:
        """Reads the latest changes; returns whether the store answered in time.

        False also if the table has not been read yet.
        """
        if self._version is None:
            return False
        sent = tenures.read_moment(self._clock)
        try:
            changes = self._store.follow(
                self.table, self._version, 0.0, stores.SLOWEST_READ_S
            )
        except exceptions.HistoryTruncatedError:
            self._restart_following()
            if self._call is not None:
                self._call.kill(block=False)
            return False
        except exceptions.StoreUnavailableError:
            # The store's metrics count it, and `_run` logs the outage.
            return False
        if self._version is None:
            # The whole table is being read meanwhile.
            return False
        self._apply(changes, sent)
        return True

    def _run(self) -> None:
        while True:
            try:
                self._step()
                if self._failing:
                    self._failing = False
                    self._log.note(
                        "feed_back", table=self.table, version=self._version
                    )
            except exceptions.HistoryTruncatedError:
                self._restart_following()
            except exceptions.StoreUnavailableError as error:
                if not self._failing:
                    self._failing = True
                    self._log.note(
                        "feed_lost",
                        table=self.table,
                        version=self._version,
                        age=round(self.age_s, 3),
                        error=str(error),
                    )
                self._clock.sleep(RETRY_PAUSE_S)
            except Exception as error:  # noqa: BLE001 - logged
                if not self._failing:
                    self._failing = True
                    self._log.note(
                        "feed_lost",
                        table=self.table,
                        version=self._version,
                        age=round(self.age_s, 3),
                        **nodelog.describe_exception(error),
                    )
                self._clock.sleep(RETRY_PAUSE_S)

    def _restart_following(self) -> None:
        """Lets the next step read the whole table."""
        self._log.note("feed_gap", table=self.table, version=self._version)
        self._version = None

    def _step(self) -> None:
        sent = tenures.read_moment(self._clock)
        if self._version is None:
            rows, version = read_all(self._store, self.table, self._parts)
            self._version = version
            if version < self._delivered:
                # A replica that lags behind: newer rows would be lost.
                self._log.note(
                    "read_outdated",
                    table=self.table,
                    version=version,
                    delivered=self._delivered,
                )
                return
            self._delivered = version
            self._deliver(rows, True)
            self._confirm(sent)
            self.loaded = True
            return
        changes = self._await_changes(sent.now_s)
        if changes is None or self._version is None:
            return
        self._apply(changes, sent)
        if changes.rows and self._pause_s:
            self._clock.sleep(self._pause_s)

    def _await_changes(self, sent_s: float) -> stores.Changes | None:
        """Returns the next changes; None if the call was replaced meanwhile."""
        self._call = gevent.spawn(self._try_follow, self._version)
        self._sent_s = sent_s
        try:
            answer = self._call.get()
        finally:
            self._call = None
            self._sent_s = float("inf")
        match answer:
            case gevent.GreenletExit():
                return None
            case Exception():
                raise answer
        return answer

    def _try_follow(self, version: int) -> stores.Changes | Exception:
        """Gevent prints exceptions that end a greenlet: returns them."""
        try:
            return self._store.follow(self.table, version, FOLLOW_WAIT_S)
        except Exception as error:  # noqa: BLE001 - raised by the caller
            return error

    def _replace_overdue_calls(self) -> None:
        while True:
            self._clock.sleep(OVERDUE_CHECK_INTERVAL_S)
            if self._clock.now() - self._sent_s < OVERDUE_S:
                continue
            call = self._call
            if self.refresh() and call is not None and call is self._call:
                self._log.note(
                    "feed_replaced",
                    table=self.table,
                    version=self._version,
                    pending=round(self._clock.now() - self._sent_s, 3),
                )
                call.kill(block=False)

    def _apply(self, changes: stores.Changes, sent: tenures.Moment) -> None:
        """Delivers changes, of which another call may have brought some."""
        rows = [row for row in changes.rows if row.version > self._delivered]
        self._version = max(self._version, changes.version)
        if rows:
            self._deliver(rows, False)
        if changes.version >= self._delivered:
            self._delivered = changes.version
            self._confirm(sent)

    def _confirm(self, sent: tenures.Moment) -> None:
        self._confirmed_s = max(self._confirmed_s, sent.now_s)
        self._on_confirmed(sent)

    def _deliver(self, rows: list[stores.Row], full: bool) -> None:
        """Passes rows on; leaves out those for which this fails.

        An exception must not end the follower: the process would run on
        without any later change. Rows may be passed on more than once.
        """
        try:
            self._on_rows(rows, full)
            return
        except Exception as error:  # noqa: BLE001 - logged
            self._log_failure(error, rows)
        applied = [row for row in rows if self._try_row(row)]
        if full:
            try:
                self._on_rows(applied, True)
            except Exception as error:  # noqa: BLE001 - logged
                self._log_failure(error, applied)

    def _try_row(self, row: stores.Row) -> bool:
        try:
            self._on_rows([row], False)
            return True
        except Exception as error:  # noqa: BLE001 - logged
            self._log_failure(error, [row])
            return False

    def _log_failure(self, error: Exception, rows: list[stores.Row]) -> None:
        keys = [row.key for row in rows[:LOGGED_KEYS_COUNT]]
        self._log.note_once(
            "rows_failed",
            f"{self.table} {keys}",
            rows[0].version if rows else 0,
            table=self.table,
            count=len(rows),
            keys=keys,
            **nodelog.describe_exception(error),
        )
