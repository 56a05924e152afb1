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
        transactions: Transactions sent, including resends and renewals.
        rows: Rows committed for submitters, excluding receipts.
        bytes: Bytes of values sent, including receipts.
        renewals: Transactions that wrote only the receipt.
        resends: Transactions sent again after a lost answer.
        read_backs: Reads of the committer's own receipt row.
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
    """A transaction took effect, not necessarily the last one sent."""

    write_id: str
    version: int
    is_superseded: bool = False


class Conflicted(typing.NamedTuple):
    """A condition failed; the last transaction sent was not applied."""

    conflicts: dict[str, table.Row]


class NotSent(typing.NamedTuple):
    """No copy of the transaction reached the table."""


class Rejected(typing.NamedTuple):
    """The table service accepts the transaction in no state of the table."""

    error: exceptions.ProtocolError


class Failed(typing.NamedTuple):
    """A write that was not applied; without an error it is queued again."""

    pending: write_queue.PendingWrite
    error: exceptions.QuetzalError | None


Outcome = Committed | Conflicted | NotSent | Rejected
