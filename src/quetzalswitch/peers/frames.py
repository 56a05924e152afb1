"""Frames on the links between entry processes: a length and MessagePack."""

import struct
import typing

import msgspec

from quetzalswitch import decoding
from quetzalswitch.peers import peer as peers

LIMIT_BYTES: typing.Final = 8 * 1024 * 1024
# The length of the data that follows.
HEADER: typing.Final = struct.Struct(">I")


def encode(frame: tuple) -> bytes:
    """Returns a frame with its header.

    Args:
        frame: Its kind and the fields of that kind: `b` for heartbeats, `n` for
            one-way messages, `q` for calls and `r` for their answers.
    """
    data = msgspec.msgpack.encode(frame)
    return HEADER.pack(len(data)) + data


def decode(data: bytes) -> list:
    """Returns the fields of a frame without its header; the first is its kind.

    Raises:
        ProtocolError: The data is not such a frame.
    """
    return decoding.decode(_decode_fields, data, "a frame")


def _decode_fields(data: bytes) -> list:
    frame = msgspec.msgpack.decode(data, type=list)
    match frame:
        case ["b", heartbeat, _, *_]:
            frame[1] = msgspec.convert(heartbeat, peers.Heartbeat, strict=False)
        case ["r", int(), _] | ["n", str(), _] | ["q", str(), _, int()]:
            pass
        case _:
            raise ValueError("the kind or the number of fields is unknown")
    return frame
