"""Messages between operators and the system (HTTP/JSON)."""

import typing

import msgspec

from quetzalswitch import configuration
from quetzalswitch import exceptions
from quetzalswitch import web


class ChangeBody(typing.TypedDict):
    """Body of `POST /v1/operators/changes`.

    `expected_version` is the configuration version that the change was made
    against; `change` is in the form of `configuration.encode_change`.
    """

    expected_version: int
    change: dict


class ChangeAnswer(typing.TypedDict):
    """The version that the accepted change created."""

    version: int


def parse_change(body: bytes) -> tuple[int, configuration.Change]:
    """Returns the expected version and the change in a request body.

    Raises:
        RequestError: The body has an unknown, missing or wrong field.
    """
    plain = web.decode_json(body)
    for name in plain:
        if name not in ChangeBody.__annotations__:
            raise web.bad_request(name, "unknown field")
    try:
        checked = msgspec.convert(plain, ChangeBody)
    except msgspec.ValidationError as error:
        raise web.bad_request(None, str(error)) from None
    if checked["expected_version"] < 0:
        raise web.bad_request("expected_version", "expected 0 or more")
    try:
        change = configuration.decode_change(checked["change"])
    except exceptions.ConfigurationError as error:
        raise web.bad_request("change", str(error)) from None
    return checked["expected_version"], change
