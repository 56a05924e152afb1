"""The stored list of targets that may run something."""

import typing
from collections.abc import Iterable

import msgspec

from quetzalswitch.acceptance import catalogue
from quetzalswitch.decision import fleet


class TargetEntry(typing.NamedTuple):
    """What is stored of a target that may run something."""

    id: str
    address: str
    service: str
    failure_domain: str


_DECODER: typing.Final = msgspec.msgpack.Decoder(list[TargetEntry])


def encode(registrations: Iterable[fleet.Registration]) -> bytes:
    """Returns the stored form of a list of targets."""
    entries = sorted(
        TargetEntry(r.id, r.address, r.service, r.failure_domain)
        for r in registrations
    )
    return msgspec.msgpack.encode(entries)


def decode(data: bytes) -> list[fleet.Registration]:
    """Returns the targets as they count while the platform doesn't list them.

    They have no room and get no new tasks. Empty data holds no targets.

    Raises:
        msgspec.ValidationError: The data is no stored list of targets.
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
