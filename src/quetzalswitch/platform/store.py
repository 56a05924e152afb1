"""Client of the platform's store: rows in tables, and a feed of changes."""

import base64
import typing
import urllib.parse

import msgspec

from quetzalswitch import clock as clocks
from quetzalswitch import decoding
from quetzalswitch import exceptions
from quetzalswitch import nodemetrics
from quetzalswitch.storage import connections

# The store answers in about 12 ms. When the users' tests slow it down by a
# factor of 66 a transaction takes 0.8 s.
CALL_TIMEOUT_S: typing.Final = 2.0
# Concurrent calls of one process, feeds included.
MAX_CONNECTIONS: typing.Final = 40
PAGE_ROWS: typing.Final = 500
PAGE_RETRY_PAUSE_S: typing.Final = 0.15
# A missing answer counts as an outage of the store only after this timeout.
# Slowed down as in the users' tests, the store answers small reads in 0.3 s.
SLOWEST_READ_S: typing.Final = 0.8
# If a new connection works while a call is pending for longer than this, the
# idle ones may be silent too.
PENDING_LIMIT_S: typing.Final = 0.3
# The same for calls that wait for changes, in addition to their wait. Shorter
# than the limit after which they are replaced.
FEED_LIMIT_S: typing.Final = 0.35


class Row(typing.NamedTuple):
    """A row of a table.

    Attributes:
        part: Part of the table.
        key: Key within the part.
        value: Content; empty for a removed row.
        version: Version of the last change, from one counter of the store.
        removed: Whether the row was removed.
    """

    part: str
    key: str
    value: bytes
    version: int
    removed: bool = False


class Put(typing.NamedTuple):
    """A row to write."""

    table: str
    key: str
    value: bytes


class Condition(typing.NamedTuple):
    """A row and the version that it must have; 0 if it must not exist."""

    table: str
    key: str
    version: int


class Changes(typing.NamedTuple):
    """Changed rows in order, and the version to continue reading from."""

    rows: list[Row]
    version: int


Body = typing.TypeVar("Body")


class _WireRow(msgspec.Struct):
    key: str
    row_version: int = 0
    table: str = ""
    part: str = ""
    value: str = ""
    deleted: bool = False


class _WireRows(msgspec.Struct):
    rows: list[_WireRow] = []
    row_version: int = 0
    has_more: bool = False


class _WireParts(msgspec.Struct):
    parts: list[str] = []


_ROWS: typing.Final = msgspec.json.Decoder(_WireRows)
_PARTS: typing.Final = msgspec.json.Decoder(_WireParts)


class Store:
    """Client of the store; its errors say whether a call took effect.

    Attributes:
        calls: Number of calls made.
        failures: Number of calls that failed.
    """

    def __init__(
        self,
        address: str,
        clock: clocks.Clock,
        metrics: nodemetrics.NodeMetrics,
    ):
        self.calls = 0
        self.failures = 0
        self._clock = clock
        self._pending: dict[int, float] = {}
        # When the answers to calls that wait for changes are overdue.
        self._feeds_due: dict[int, float] = {}
        self._metrics = metrics
        self._answered_s = float("-inf")
        self._failed_s = float("-inf")
        self._last_call_s = 0.0
        self._pool = connections.ConnectionPool(
            address,
            clock,
            timeout_s=CALL_TIMEOUT_S,
            max_connections=MAX_CONNECTIONS,
        )
        self._feed_pool = connections.ConnectionPool(
            address,
            clock,
            timeout_s=CALL_TIMEOUT_S,
            max_connections=MAX_CONNECTIONS,
        )

    @property
    def healthy(self) -> bool:
        """Whether the store answered after its last failure."""
        return self._answered_s >= self._failed_s

    @property
    def pending_age_s(self) -> float:
        """Age of the oldest pending call in seconds, without feed calls."""
        if not self._pending:
            return 0.0
        return self._clock.now() - min(self._pending.values())

    @property
    def latency_s(self) -> float:
        """Latest latency or, if longer, age of the oldest pending call (s)."""
        return max(self._last_call_s, self.pending_age_s)

    @property
    def answer_age_s(self) -> float:
        """Seconds since the store last answered a call."""
        return self._clock.now() - self._answered_s

    def transact(
        self,
        part: str,
        puts: list[Put],
        conditions: typing.Sequence[Condition] = (),
        removals: typing.Sequence[tuple[str, str]] = (),
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> int:
        """Changes rows of one part atomically and returns their version.

        Raises:
            ConditionFailedError: A row has another version; nothing was done.
            StoreRefusedError: Nothing was done.
            StoreUnavailableError: The write may have taken effect, or may
                still do so.
        """
        body = msgspec.json.encode(
            {
                "precondition": [
                    {
                        "table": c.table,
                        "part": part,
                        "key": c.key,
                        "row_version": c.version,
                    }
                    for c in conditions
                ],
                "puts": [
                    {
                        "table": p.table,
                        "part": part,
                        "key": p.key,
                        "value": base64.b64encode(p.value).decode(),
                    }
                    for p in puts
                ],
                "remove": [
                    {"table": table, "part": part, "key": key}
                    for table, key in removals
                ],
            }
        )
        answer = self._call("POST", "/-/rows-tx", body, timeout_s)
        if answer.status == 412:
            found = _decode(_ROWS, answer).rows
            raise exceptions.ConditionFailedError(
                {(row.table, row.key): _decode_row(row) for row in found}
            )
        return _decode(_ROWS, answer).row_version

    def read(
        self,
        table: str,
        part: str,
        first: str = "",
        end: str = "",
        tries: int = 1,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> tuple[list[Row], int]:
        """Returns rows of a part and the store's version before the read.

        Args:
            table: Name of the table.
            part: Part of the table.
            first: First key to return.
            end: Exclusive end of the keys; empty for no end.
            tries: How often each page is requested before the read fails.
            timeout_s: How long the answer to one request may take.

        Raises:
            StoreUnavailableError: No usable answer.
        """
        rows: list[Row] = []
        version = 0
        while True:
            query = {"table": table, "part": part, "limit": PAGE_ROWS}
            if first:
                query["from"] = first
            if end:
                query["to"] = end
            path = "/-/rows-get?" + urllib.parse.urlencode(query)
            page = self._read_page(path, tries, timeout_s)
            version = version or page.row_version
            rows.extend(_decode_row(row) for row in page.rows)
            if not page.has_more or not page.rows:
                return rows, version
            first = page.rows[-1].key + "\0"

    def _read_page(self, path: str, tries: int, timeout_s: float) -> _WireRows:
        while True:
            tries -= 1
            try:
                answer = self._call("GET", path, b"", timeout_s)
                return _decode(_ROWS, answer)
            except exceptions.StoreUnavailableError:
                # The store's metrics count it.
                if not tries:
                    raise
            self._clock.sleep(PAGE_RETRY_PAUSE_S)

    def read_row(
        self,
        table: str,
        part: str,
        key: str,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> Row | None:
        """Returns one row, or None if it doesn't exist."""
        rows, _ = self.read(table, part, key, key + "\0", timeout_s=timeout_s)
        return rows[0] if rows else None

    def probe(self, table: str, part: str, timeout_s: float) -> bool:
        """Returns whether the store answers a small read in time.

        The read uses a new connection: open ones may be silent without an
        error. Calls in flight keep their own timeouts, because a write without
        an answer must not be repeated blindly.
        """
        query = {"table": table, "part": part, "limit": 1}
        path = "/-/rows-get?" + urllib.parse.urlencode(query)
        try:
            self._call("GET", path, b"", timeout_s, fresh=True)
        except exceptions.StoreUnavailableError:
            return False
        return True

    def list_parts(self, table: str) -> list[str]:
        """Returns the names of all parts of a table that hold rows."""
        parts: list[str] = []
        query = {"table": table}
        while True:
            path = "/-/rows-parts?" + urllib.parse.urlencode(query)
            page = _decode(_PARTS, self._call("GET", path)).parts
            parts.extend(page)
            if len(page) < 1000:
                return parts
            query["after"] = page[-1]

    def follow(
        self,
        table: str,
        after: int,
        wait_s: float,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> Changes:
        """Returns the changes of a table after a version, by a long poll.

        A call that doesn't wait uses a new connection while one that waits is
        overdue, because it may replace that one.

        Args:
            table: Name of the table.
            after: Version of the last change that was read.
            wait_s: How long to wait for the first change; 0 returns at once.
            timeout_s: How long the answer may take besides the wait.

        Raises:
            HistoryTruncatedError: The store no longer has these changes; the
                whole table must be read.
            StoreUnavailableError: No usable answer.
        """
        query = {
            "table": table,
            "after": after,
            "wait_ms": int(wait_s * 1000),
        }
        path = "/-/rows-feed?" + urllib.parse.urlencode(query)
        if wait_s:
            due_s = self._clock.now() + wait_s + FEED_LIMIT_S
            number = self.calls + 1
            self._feeds_due[number] = due_s
            try:
                answer = self._call(
                    "GET", path, b"", timeout_s + wait_s, self._feed_pool
                )
            finally:
                del self._feeds_due[number]
        else:
            fresh = self._is_feed_overdue()
            answer = self._call("GET", path, b"", timeout_s, fresh=fresh)
        if answer.status == 410:
            raise exceptions.HistoryTruncatedError(f"{table} after {after}")
        page = _decode(_ROWS, answer)
        version = max(page.row_version, after)
        return Changes([_decode_row(row) for row in page.rows], version)

    def _call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        timeout_s: float = CALL_TIMEOUT_S,
        pool: connections.ConnectionPool | None = None,
        fresh: bool = False,
    ) -> connections.HttpAnswer:
        self.calls += 1
        headers = {"Content-Type": "application/json"} if body else None
        number = self.calls
        began_s = self._clock.now()
        in_doubt = (
            self.pending_age_s > PENDING_LIMIT_S or self._is_feed_overdue()
        )
        if pool is None:
            self._pending[number] = began_s
        try:
            answer = (pool or self._pool).exchange(
                method, path, body, timeout_s, headers=headers, fresh=fresh
            )
        except exceptions.StoreUnavailableError as error:
            self._record_failure(
                "unanswered",
                error.__cause__ is not None or timeout_s >= SLOWEST_READ_S,
            )
            if isinstance(error.__cause__, ConnectionRefusedError):
                raise exceptions.StoreRefusedError(str(error)) from error
            raise
        finally:
            self._pending.pop(number, None)
        if answer.status in (429, 503, 507):
            self._record_failure("refused")
            raise exceptions.StoreRefusedError(
                f"{method} {path.partition('?')[0]}: status {answer.status}"
            )
        self._answered_s = self._clock.now()
        if fresh and in_doubt:
            self._pool.close_idle()
            self._feed_pool.close_idle()
        self._metrics.count(
            "quetzal_node_store_calls_total", outcome="answered"
        )
        if pool is None:
            self._last_call_s = self._answered_s - began_s
            self._metrics.observe(
                "quetzal_node_store_call_seconds",
                self._last_call_s,
                call=path.partition("?")[0].rpartition("/")[2],
            )
        if answer.status not in (200, 410, 412):
            raise exceptions.StoreUnavailableError(
                f"{method} {path.partition('?')[0]}: status {answer.status}: "
                f"{answer.body[:200]!r}"
            )
        return answer

    def _is_feed_overdue(self) -> bool:
        now_s = self._clock.now()
        return any(due_s <= now_s for due_s in self._feeds_due.values())

    def _record_failure(
        self, outcome: str, counts_as_outage: bool = True
    ) -> None:
        self.failures += 1
        if counts_as_outage:
            self._failed_s = self._clock.now()
        self._metrics.count("quetzal_node_store_calls_total", outcome=outcome)


def _decode(
    decoder: msgspec.json.Decoder[Body], answer: connections.HttpAnswer
) -> Body:
    try:
        return decoding.decode(
            decoder.decode, answer.body, "an answer of the store"
        )
    except exceptions.ProtocolError as error:
        raise exceptions.StoreUnavailableError(str(error)) from error


def _decode_row(row: _WireRow) -> Row:
    return Row(
        row.part, row.key, _decode_value(row), row.row_version, row.deleted
    )


def _decode_value(row: _WireRow) -> bytes:
    """Returns the content of a row; empty if it is not base64.

    One such row must not hide the others. Its reader reports it as unreadable.
    """
    try:
        return decoding.decode(base64.b64decode, row.value, "base64")
    except exceptions.ProtocolError:
        return b""
