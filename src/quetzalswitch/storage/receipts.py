"""Receipt rows: they prove an entry's commits and can fence the entry."""

import typing
from collections.abc import Container

import msgspec

from quetzalswitch.storage import table

KEY_PREFIX = "entry/"


class LastWrite(msgspec.Struct, frozen=True):
    """Last write that an entry made before its row was fenced or taken over.

    The entry may still be waiting for the answer to that write.
    """

    incarnation: str
    write_id: str
    version: int


class Receipt(msgspec.Struct, frozen=True):
    """Value of the row `entry/<entry id>`.

    Attributes:
        incarnation: Incarnation that the row belongs to.
        sequence: Number of the transaction within the incarnation.
        write_id: ID of the transaction that wrote the row.
        address: Address at which the entry listens for its peers.
        wall_time_s: Send time, in seconds since the Unix epoch.
        sealed: Whether the row is fenced: the entry was declared dead.
        sealed_by: Incarnation that fenced the row.
        last_write: Last write before the row was fenced or taken over.
    """

    incarnation: str
    sequence: int
    write_id: str
    address: str
    wall_time_s: float
    sealed: bool = False
    sealed_by: str = ""
    last_write: LastWrite | None = None


class FoundCommit(typing.NamedTuple):
    """A commit that a receipt row proves.

    Attributes:
        write_id: ID of the transaction.
        version: Number of its commit.
        is_superseded: Whether the row was fenced or taken over afterwards.
    """

    write_id: str
    version: int
    is_superseded: bool


def make_key(entry_id: str) -> str:
    """Returns the key of an entry's receipt row."""
    return KEY_PREFIX + entry_id


def read_receipt(row: table.Row | None) -> Receipt | None:
    """Returns the receipt in a row; None if absent or unreadable."""
    if row is None:
        return None
    try:
        return msgspec.convert(row.value, Receipt)
    except msgspec.ValidationError:
        return None


def fence_receipt(row: table.Row, sealed_by: str) -> Receipt:
    """Returns the fenced form of a row's receipt; it keeps the last write."""
    receipt = read_receipt(row) or Receipt("", 0, "", "", 0.0)
    return msgspec.structs.replace(
        receipt,
        sealed=True,
        sealed_by=sealed_by,
        last_write=find_last_write(row),
    )


def find_last_write(row: table.Row | None) -> LastWrite | None:
    """Returns the last write made by the entry that owns the row."""
    receipt = read_receipt(row)
    if receipt is None:
        return None
    if receipt.sealed:
        return receipt.last_write
    return LastWrite(receipt.incarnation, receipt.write_id, row.version)


def find_commit(
    row: table.Row | None, write_ids: Container[str]
) -> FoundCommit | None:
    """Returns the commit of one of the transactions if the row proves it.

    The row of a fenced or replaced entry names that entry's last write, so it
    also proves a transaction whose answer was lost.
    """
    receipt = read_receipt(row)
    if receipt is None:
        return None
    if not receipt.sealed and receipt.write_id in write_ids:
        return FoundCommit(receipt.write_id, row.version, False)
    last = receipt.last_write
    if last is not None and last.write_id in write_ids:
        return FoundCommit(last.write_id, last.version, True)
    return None
