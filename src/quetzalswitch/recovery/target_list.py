"""The stored list of targets that may have running tasks."""

import typing
from collections.abc import Iterable

import msgspec

from quetzalswitch.acceptance import catalogue
from quetzalswitch.decision import fleet


class TargetEntry(typing.NamedTuple):
    """Stored form of a target that may have running tasks."""

    id: str
    address: str
    service: str
    failure_domain: str


_DECODER: typing.Final = msgspec.msgpack.Decoder(list[TargetEntry])


def encode(registrations: Iterable[fleet.Registration]) -> bytes:
    """Returns the stored form of a list of targets, sorted by ID."""
    entries = sorted(
        TargetEntry(r.id, r.address, r.service, r.failure_domain)
        for r in registrations
    )
    return msgspec.msgpack.encode(entries)


def decode(data: bytes) -> list[fleet.Registration]:
    """Returns registrations for targets that the platform doesn't list.

    They have no capacity and are draining, so they get no new tasks. Empty data
    gives an empty list.

    Raises:
        msgspec.ValidationError: The data is not a stored list of targets.
    """
    return [
        fleet.Registration(
            id=entry.id,
            service=entry.service,
            address=entry.address,
            failure_domain=entry.failure_domain,
            rack="",
            labels=frozenset(),
            capacity=catalogue.Resources(),
            draining=True,
            remaining_s=None,
            boot_ms=0,
        )
        for entry in (_DECODER.decode(data) if data else [])
    ]
