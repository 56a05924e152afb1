"""The log of configuration changes in the table service.

`config/head` = {"version": n} and `config/change/<n>` = the change that made
version n. Every 200th change also writes `config/snapshot`, in the same
transaction, and each change deletes the change row that is 400 versions older,
so the log stays bounded and a follower that finds a gap always finds a
snapshot beyond it.
"""

import typing
from collections.abc import Callable
from collections.abc import Iterable

from quetzalswitch import configuration as config
from quetzalswitch import exceptions

HEAD_KEY = "config/head"
SNAPSHOT_KEY = "config/snapshot"
CHANGE_PREFIX = "config/change/"
SNAPSHOT_INTERVAL = 200
# Two intervals: the newest snapshot is then always newer than any deleted row.
KEPT_CHANGES = 2 * SNAPSHOT_INTERVAL


def change_key(version: int) -> str:
    """Returns the key of the change row that makes the given version."""
    return f"{CHANGE_PREFIX}{version:012d}"


class RowRange(typing.NamedTuple):
    """Rows to read next: the arguments of `TableClient.read_rows`."""

    prefix: str
    after: str
    limit: int


class Follower:
    """Follows the change log of the table; pure.

    The owner reads `config/head` when it likes and passes the version to
    `observe_head`; while `next_read` returns a range, it reads those rows and
    passes them to `offer`.

    Attributes:
        configuration: The configuration in force; its version never falls.
        head: Highest version known to be durable in the table.
    """

    def __init__(self, configuration: config.Configuration | None = None):
        self.configuration = configuration or config.Configuration()
        self.head = self.configuration.version
        self._gap_found = False

    @property
    def version(self) -> int:
        """Version in force."""
        return self.configuration.version

    def observe_head(self, version: int) -> None:
        """Notes that a version is durable; smaller ones are ignored."""
        self.head = max(self.head, version)

    def adopt(self, made: config.Configuration) -> bool:
        """Puts a version that this process has just made durable in force.

        Returns:
            Whether the version rose.
        """
        self.observe_head(made.version)
        if made.version <= self.version:
            return False
        self.configuration = made
        return True

    def next_read(self) -> RowRange | None:
        """Returns which rows to read next; None when up to date."""
        behind = self.head - self.version
        if behind <= 0:
            return None
        if self._gap_found or behind > SNAPSHOT_INTERVAL:
            return RowRange(SNAPSHOT_KEY, "", 1)
        return RowRange(CHANGE_PREFIX, change_key(self.version), behind)

    def offer(self, read: RowRange, rows: Iterable) -> bool:
        """Applies the rows read; returns whether the version rose.

        Args:
            read: The range that `next_read` returned.
            rows: Rows with `key` and `value`, in the order of their keys.

        Raises:
            ConfigurationError: A row can't be decoded or applied; the version
                stays below head, so this entry does not become fresh.
        """
        before = self.version
        if read.prefix == SNAPSHOT_KEY:
            self._offer_snapshot(rows)
        else:
            self._offer_changes(rows)
        return self.version > before

    def _offer_snapshot(self, rows: Iterable) -> None:
        self._gap_found = False
        for row in rows:
            snapshot = config.decode_configuration(row.value)
            if snapshot.version > self.version:
                self.configuration = snapshot
                self.observe_head(snapshot.version)
                return
        message = f"no change or snapshot row above version {self.version}"
        raise exceptions.ConfigurationError(message)

    def _offer_changes(self, rows: Iterable) -> None:
        before = self.version
        for row in rows:
            expected = self.version + 1
            if row.key < change_key(expected):
                continue
            if row.key != change_key(expected):
                break
            change = config.decode_change(row.value)
            self.configuration = config.apply(self.configuration, change)
            self.observe_head(expected)
        self._gap_found = self.version == before < self.head


def propose(
    table: typing.Any,
    commit: Callable[[dict, dict], typing.Any],
    configuration: config.Configuration,
    change: config.Change,
) -> config.Configuration:
    """Makes a change durable and returns the version that it made.

    Args:
        table: Has `read_row(key)`, as `platform.table.TableClient`.
        commit: Performs a conditional transaction and returns once it is
            confirmed; takes conditions and writes.
        configuration: The version that the operator expects to change.
        change: The change.

    Raises:
        RequestError: `version_conflict` when the configuration has moved on;
            `bad_request` when the change does not fit; `store_unavailable`
            when nothing was written; `outcome_unknown` when the write may
            have taken effect.
    """
    try:
        result = config.apply(configuration, change)
    except exceptions.ConfigurationError as error:
        kind = exceptions.ErrorKind.BAD_REQUEST
        raise exceptions.RequestError(kind, str(error)) from None
    try:
        row = table.read_row(HEAD_KEY)
    except exceptions.StoreUnavailableError as error:
        kind = exceptions.ErrorKind.STORE_UNAVAILABLE
        raise exceptions.RequestError(kind, str(error)) from None
    if _head_version(row) != configuration.version:
        raise _conflict(configuration, row)
    head_key_version = row.version if row is not None else 0
    conditions = {HEAD_KEY: head_key_version, change_key(result.version): 0}
    try:
        commit(conditions, _change_rows(result, change))
    except exceptions.ConditionFailedError as error:
        raise _conflict(configuration, error.conflicts.get(HEAD_KEY)) from None
    except exceptions.StoreUnavailableError as error:
        kind = exceptions.ErrorKind.OUTCOME_UNKNOWN
        message = f"the change may have taken effect: {error}"
        raise exceptions.RequestError(kind, message) from None
    return result


def _change_rows(result: config.Configuration, change: config.Change) -> dict:
    version = result.version
    rows = {
        HEAD_KEY: {"version": version},
        change_key(version): config.encode_change(change),
    }
    if version % SNAPSHOT_INTERVAL == 0:
        rows[SNAPSHOT_KEY] = config.encode_configuration(result)
    if version > KEPT_CHANGES:
        rows[change_key(version - KEPT_CHANGES)] = None
    return rows


def _head_version(row: typing.Any) -> int:
    return row.value["version"] if row is not None and row.value else 0


def _conflict(expected: config.Configuration, row: typing.Any) -> Exception:
    message = (
        f"expected version {expected.version}, the current version is "
        f"{_head_version(row)}"
    )
    kind = exceptions.ErrorKind.VERSION_CONFLICT
    return exceptions.RequestError(kind, message, field="expected_version")
