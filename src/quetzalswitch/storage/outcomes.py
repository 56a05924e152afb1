"""Outcomes of transactions, and counts of the work done."""

import dataclasses
import typing

from quetzalswitch import exceptions
from quetzalswitch.storage import table
from quetzalswitch.storage import write_queue


@dataclasses.dataclass
class Counts:
    """Work done so far.

    Attributes:
        transactions: Transactions sent, re-sent ones and renewals included.
        rows: Rows committed for submitters, receipts not included.
        bytes: Bytes of values sent, receipts included.
        renewals: Transactions that wrote the receipt only.
        resends: Transactions sent again after a lost answer.
        read_backs: Reads of the own receipt row.
        conflicts: Writes that failed on a condition.
    """

    transactions: int = 0
    rows: int = 0
    bytes: int = 0
    renewals: int = 0
    resends: int = 0
    read_backs: int = 0
    conflicts: int = 0


class Committed(typing.NamedTuple):
    """A transaction took effect, not necessarily the one sent last."""

    write_id: str
    version: int
    is_superseded: bool = False


class Conflicted(typing.NamedTuple):
    """The table did not apply the transaction sent last."""

    conflicts: dict[str, table.Row]


class NotSent(typing.NamedTuple):
    """No copy of the transaction reached the table."""


class Rejected(typing.NamedTuple):
    """The table does not accept the transaction in any state."""

    error: exceptions.ProtocolError


class Failed(typing.NamedTuple):
    """A write that was not applied; without an error it is sent again."""

    pending: write_queue.PendingWrite
    error: exceptions.QuetzalError | None


Outcome = Committed | Conflicted | NotSent | Rejected
