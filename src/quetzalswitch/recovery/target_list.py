"""The stored list of targets that may have running tasks."""

import typing
from collections.abc import Iterable

import msgspec

from quetzalswitch import decoding
from quetzalswitch import exceptions
from quetzalswitch import nodelog
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


class StoredTargets(typing.NamedTuple):
    """The targets in a stored list.

    Attributes:
        registrations: Registrations for targets that the platform doesn't list.
            They have no capacity and are draining, so they get no new tasks.
        complete: Whether the whole list could be read. If not, unknown targets
            may have running tasks.
    """

    registrations: list[fleet.Registration]
    complete: bool


def read(data: bytes, log: nodelog.NodeLog) -> StoredTargets:
    """Returns the targets in a stored list.

    Empty data gives an empty list. What can't be read is logged and left out.
    """
    try:
        entries = _read_entries(data)
    except exceptions.ProtocolError as error:
        log.note("targets_unreadable", error=str(error))
        return StoredTargets([], False)
    usable = [entry for entry in entries if _is_usable(entry, log)]
    return StoredTargets(
        [_make_registration(entry) for entry in usable],
        len(usable) == len(entries),
    )


def _make_registration(entry: TargetEntry) -> fleet.Registration:
    return fleet.Registration(
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


def _read_entries(data: bytes) -> list[TargetEntry]:
    if not data:
        return []
    return decoding.decode(_DECODER.decode, data, "a list of targets")


def _is_usable(entry: TargetEntry, log: nodelog.NodeLog) -> bool:
    """Returns whether an entry's address could be called."""
    try:
        decoding.check_address(entry.address)
        return True
    except ValueError as error:
        log.note("targets_unreadable", target=entry.id, error=str(error))
        return False
