"""Client of the platform's transactional table service."""

import typing
import urllib.parse
from collections.abc import Callable

import msgspec

from quetzalswitch import clock as clocks
from quetzalswitch import decoding
from quetzalswitch import exceptions
from quetzalswitch import traffic
from quetzalswitch.storage import connections

MAX_ROWS_PER_TRANSACTION = 100


class Row(typing.NamedTuple):
    """A row of the table.

    Attributes:
        key: Key.
        version: Number of the commit that wrote it; 0 if it is absent.
        value: JSON value; None if it is absent.
    """

    key: str
    version: int
    value: typing.Any


class _RowBody(msgspec.Struct):
    key: str
    version: int
    value: typing.Any = None


class _RowsBody(msgspec.Struct):
    rows: list[_RowBody]


class _Condition(msgspec.Struct):
    key: str
    version: int


class _Write(msgspec.Struct):
    key: str
    value: typing.Any


class _TransactionBody(msgspec.Struct):
    conditions: list[_Condition]
    writes: list[_Write]


class _CommitBody(msgspec.Struct):
    committed: bool
    version: int = 0
    conflicts: list[_RowBody] = []


class TableClient:
    """Reads rows and commits transactions, each with a timeout.

    Attributes:
        timeout_s: Default timeout of an exchange in seconds.

    `on_transaction` is called with the duration of each transaction in
    seconds, including those without an answer.
    """

    def __init__(
        self,
        address: str,
        clock: clocks.Clock,
        timeout_s: float = connections.DEFAULT_TIMEOUT_S,
        on_transaction: Callable[[float], None] = lambda duration_s: None,
        counter: traffic.Counter | None = None,
    ):
        self.timeout_s = timeout_s
        self._clock = clock
        self._on_transaction = on_transaction
        self._pool = connections.ConnectionPool(
            address, clock, timeout_s, counter
        )

    def read_row(self, key: str, timeout_s: float | None = None) -> Row | None:
        """Returns a row, or None if it is absent.

        Raises:
            StoreUnavailableError: The service gave no usable answer.
        """
        query = urllib.parse.urlencode({"key": key})
        answer = self._get(f"/v1/row?{query}", timeout_s, accepted=(200, 404))
        if answer.status == 404:
            return None
        row = _to_row(_decode(answer.body, _RowBody))
        return row if row.version else None

    def read_rows(
        self,
        prefix: str,
        after: str = "",
        limit: int = 500,
        timeout_s: float | None = None,
    ) -> list[Row]:
        """Returns up to `limit` rows in key order, starting after a key.

        Raises:
            StoreUnavailableError: The service gave no usable answer.
        """
        query = urllib.parse.urlencode(
            {"prefix": prefix, "after": after, "limit": limit}
        )
        answer = self._get(f"/v1/rows?{query}", timeout_s, accepted=(200,))
        return [_to_row(row) for row in _decode(answer.body, _RowsBody).rows]

    def transact(
        self,
        conditions: dict[str, int],
        writes: dict[str, typing.Any],
        timeout_s: float | None = None,
    ) -> int:
        """Commits writes if every condition holds; returns the version.

        A value of None deletes the row. A value may be `msgspec.Raw` JSON.

        Raises:
            ConditionFailedError: A row has another version; nothing was
                written.
            ProtocolError: The service does not accept this transaction in any
                state of the table; nothing was written.
            StoreUnavailableError: The effect is unknown, except that nothing
                was sent if the cause is a `ConnectionRefusedError`.
        """
        body = _TransactionBody(
            [_Condition(key, version) for key, version in conditions.items()],
            [_Write(key, value) for key, value in writes.items()],
        )
        data = msgspec.json.encode(body)
        sent_s = self._clock.now()
        try:
            answer = self._pool.exchange(
                "POST", "/v1/transact", data, timeout_s
            )
        finally:
            self._on_transaction(self._clock.now() - sent_s)
        match answer.status:
            case 200:
                return _decode(answer.body, _CommitBody).version
            case 409:
                conflicts = _decode(answer.body, _CommitBody).conflicts
                raise exceptions.ConditionFailedError(
                    {row.key: _to_row(row) for row in conflicts}
                )
            case 400 | 413:
                raise exceptions.ProtocolError(
                    f"transaction rejected: {_excerpt(answer.body)}"
                )
            case _:
                raise _make_answer_error(answer)

    def close(self) -> None:
        """Closes the connections."""
        self._pool.close()

    def _get(
        self, path: str, timeout_s: float | None, accepted: tuple[int, ...]
    ) -> connections.HttpAnswer:
        answer = self._pool.exchange("GET", path, timeout_s=timeout_s)
        if answer.status not in accepted:
            raise _make_answer_error(answer)
        return answer


def _to_row(body: _RowBody) -> Row:
    return Row(body.key, body.version, body.value)


def _decode(data: bytes, cls: type) -> typing.Any:
    try:
        return decoding.decode(
            lambda data: msgspec.json.decode(data, type=cls),
            data,
            "an answer of the table service",
        )
    except exceptions.ProtocolError as error:
        raise exceptions.StoreUnavailableError(str(error)) from error


def _make_answer_error(
    answer: connections.HttpAnswer,
) -> exceptions.StoreUnavailableError:
    return exceptions.StoreUnavailableError(
        f"table service answered {answer.status}: {_excerpt(answer.body)}"
    )


def _excerpt(body: bytes) -> str:
    return body[:200].decode("utf-8", "replace")
