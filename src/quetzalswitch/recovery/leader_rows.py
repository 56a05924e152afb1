"""The stored row that names the leader."""

import typing

import msgspec

from quetzalswitch import decoding
from quetzalswitch.peers import peer as peers


class LeaderRow(msgspec.Struct, array_like=True):
    """The stored row that names the leader and its epoch."""

    epoch: peers.Epoch
    name: str
    lifetime: peers.Lifetime


_LEADER: typing.Final = msgspec.msgpack.Decoder(LeaderRow)


def decode_leader(data: bytes) -> LeaderRow:
    """Returns the stored row that names the leader.

    Raises:
        ProtocolError: The data is not such a row.
    """
    return decoding.decode(_LEADER.decode, data, "the leader's row")
