"""Request and response bodies of the operators' HTTP/JSON API."""

import typing

import msgspec

from quetzalswitch import configuration
from quetzalswitch import exceptions
from quetzalswitch import web


class ChangeBody(typing.TypedDict):
    """Body of `POST /v1/operators/changes`.

    `expected_version` is the configuration version that the change is based
    on; `change` has the form that `configuration.encode_change` returns.
    """

    expected_version: int
    change: dict


class ChangeAnswer(typing.TypedDict):
    """Answer to an accepted change: the configuration version it created."""

    version: int


def parse_change(body: bytes) -> tuple[int, configuration.Change]:
    """Parses a request body into the expected version and the change.

    Raises:
        RequestError: The body is not valid JSON, or a field is unknown,
            missing or invalid.
    """
    decoded = web.decode_json(body)
    for field_name in decoded:
        if field_name not in ChangeBody.__annotations__:
            raise web.bad_request(field_name, "unknown field")
    try:
        validated = msgspec.convert(decoded, ChangeBody)
    except msgspec.ValidationError as error:
        raise web.bad_request(None, str(error)) from None
    if validated["expected_version"] < 0:
        raise web.bad_request("expected_version", "expected 0 or more")
    try:
        change = configuration.decode_change(validated["change"])
    except exceptions.ConfigurationError as error:
        raise web.bad_request("change", str(error)) from None
    return validated["expected_version"], change
