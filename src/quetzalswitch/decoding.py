"""Decoding of data that other processes write and that may hold anything."""

import ipaddress
import re
import typing
from collections.abc import Callable

import msgspec

from quetzalswitch import exceptions

# What decoders and the code that converts their results raise for invalid data.
# Deep nesting gives a RecursionError; base64 and text give a ValueError.
_ERRORS: typing.Final = (
    msgspec.MsgspecError,
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)
# Of the text of an error, which may quote the data.
EXCERPT_LIMIT_CHARACTERS: typing.Final = 200

MAX_PORT: typing.Final = 65535

Data = typing.TypeVar("Data")
Result = typing.TypeVar("Result")


def decode(
    function: Callable[[Data], Result], data: Data, expected: str
) -> Result:
    """Returns the result of a decoding function.

    Args:
        function: Decodes the data. It must have no other effect.
        data: The data, of any content.
        expected: What the data should be and where it is from, for the error.

    Raises:
        ProtocolError: The data can't be decoded.
    """
    try:
        return function(data)
    except _ERRORS as error:
        reason = f"{type(error).__name__}: {error}"
        raise exceptions.ProtocolError(
            f"expected {expected}: {reason[:EXCERPT_LIMIT_CHARACTERS]}"
        ) from error


def check_address(address: str) -> None:
    """Checks a host and port to connect to.

    The platform resolves no names, so the host must be an IPv4 address.

    Raises:
        ValueError: The address can't be connected to.
    """
    host, _, port = address.rpartition(":")
    ip = ipaddress.IPv4Address(host)
    if ip.is_unspecified or ip.is_multicast:
        raise ValueError(f"the address {address!r} is not that of a host")
    if not re.fullmatch("[1-9][0-9]{0,4}", port) or int(port) > MAX_PORT:
        raise ValueError(f"expected a port from 1 to {MAX_PORT}: {port!r}")
