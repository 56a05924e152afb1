"""Decoding of the rows that operators and targets write to the store."""

import typing

import msgspec

from quetzalswitch import decoding
from quetzalswitch import exceptions
from quetzalswitch import nodelog
from quetzalswitch.acceptance import catalogue
from quetzalswitch.decision import fleet
from quetzalswitch.platform import configurations
from quetzalswitch.platform import store as stores

OPERATOR_TABLE: typing.Final = "op"
TARGET_TABLE: typing.Final = "servers"
_MANIFEST_KEY: typing.Final = "config"
_EVACUATION_PREFIX: typing.Final = "evacuate/"
# Of the processor, memory and accelerators of a target, each in its unit.
MAX_AMOUNT: typing.Final = 10**9
# Of durations, and of Unix times.
MAX_TIME_MS: typing.Final = 5 * 10**13

_Amount = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_AMOUNT)]
_Time = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_TIME_MS)]
# A time that is left may be over.
_TimeLeft = typing.Annotated[
    float, msgspec.Meta(ge=-MAX_TIME_MS, le=MAX_TIME_MS)
]
_Name = typing.Annotated[str, msgspec.Meta(min_length=1)]


class _WireResources(msgspec.Struct):
    cpu: _Amount = 0
    mem_mb: _Amount = 0
    gpu: _Amount = 0


class _WireTarget(msgspec.Struct):
    service: _Name
    address: str
    zone: _Name
    state: typing.Literal["ready", "draining"]
    capacity: _WireResources
    labels: list[str] = []
    remaining_ms: _TimeLeft | None = None
    born: _Time = 0
    # Not used, but only another writer gives them another type.
    version: str = ""
    slots: _Amount = 0
    sequence: _Time = 0
    cold_left_ms: _TimeLeft = 0


_TARGET: typing.Final = msgspec.json.Decoder(_WireTarget)


class Manifest(typing.NamedTuple):
    """A new version of the operators' configuration."""

    catalogue: catalogue.Catalogue


class Evacuation(typing.NamedTuple):
    """Whether a failure domain is out of service."""

    failure_domain: str
    active: bool


def read_operator_row(
    row: stores.Row, log: nodelog.NodeLog
) -> Manifest | Evacuation | None:
    """Returns the content of an operators' row; None if there is none.

    A configuration that can't be read is logged.
    """
    try:
        return decode_operator_row(row.key, row.value, row.removed)
    except exceptions.ConfigurationError as error:
        log.note_once(
            "manifest_unreadable", row.key, row.version, error=str(error)
        )
        return None


def decode_operator_row(
    key: str, value: bytes, removed: bool
) -> Manifest | Evacuation | None:
    """Returns the content of an operators' row, or None for an unknown key.

    None is also returned for a removed configuration.

    Raises:
        ConfigurationError: The configuration can't be decoded.
    """
    if key == _MANIFEST_KEY and not removed:
        return Manifest(configurations.decode(value))
    if key.startswith(_EVACUATION_PREFIX):
        return Evacuation(key.removeprefix(_EVACUATION_PREFIX), not removed)
    return None


def read_target(
    row: stores.Row, log: nodelog.NodeLog
) -> fleet.Registration | None:
    """Returns the registration in a row; None if it names no usable target.

    A row that can't be read is logged.
    """
    if row.removed:
        return None
    try:
        return decode_target(row.key, row.value)
    except exceptions.ProtocolError as error:
        log.note_once(
            "target_unreadable",
            row.key,
            row.version,
            target=row.key,
            error=str(error),
        )
        return None


def decode_target(key: str, value: bytes) -> fleet.Registration:
    """Returns a target's registration.

    Raises:
        ProtocolError: The row names no target that can be used.
    """
    return decoding.decode(
        lambda data: _make_registration(key, _TARGET.decode(data)),
        value,
        "the registration of a target",
    )


def _make_registration(key: str, wire: _WireTarget) -> fleet.Registration:
    # Requests to the target contain its ID in a header.
    if not key.isascii() or not key.isprintable() or key != key.strip():
        raise ValueError(f"the key {key!r} is not valid in an HTTP header")
    decoding.check_address(wire.address)
    return fleet.Registration(
        id=key,
        service=wire.service,
        address=wire.address,
        failure_domain=wire.zone,
        rack=_find_rack(wire.labels),
        labels=frozenset(wire.labels),
        capacity=catalogue.Resources(
            wire.capacity.cpu, wire.capacity.mem_mb, wire.capacity.gpu
        ),
        draining=wire.state == "draining",
        remaining_s=(
            None
            if wire.remaining_ms is None
            else max(0.0, wire.remaining_ms / 1000)
        ),
        boot_ms=wire.born,
    )


def _find_rack(labels: list[str]) -> str:
    # The rack is the label with a dash, such as `r1-3`; labels for the kind of
    # a target have no dash.
    return next((label for label in labels if "-" in label), "")
