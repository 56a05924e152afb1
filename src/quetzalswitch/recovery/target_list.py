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


def read(data: bytes, log: nodelog.NodeLog) -> list[fleet.Registration]:
    """Returns registrations for targets that the platform doesn't list.

    They have no capacity and are draining, so they get no new tasks. Empty data
    gives an empty list. So does, after it is logged, a list that can't be read.
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
        for entry in _read_entries(data, log)
        if _is_usable(entry, log)
    ]


def _read_entries(data: bytes, log: nodelog.NodeLog) -> list[TargetEntry]:
    if not data:
        return []
    try:
        return decoding.decode(_DECODER.decode, data, "a list of targets")
    except exceptions.ProtocolError as error:
        log.note("targets_unreadable", error=str(error))
        return []


def _is_usable(entry: TargetEntry, log: nodelog.NodeLog) -> bool:
    """Returns whether an entry could be called, and so may have runs."""
    try:
        decoding.check_address(entry.address)
        return True
    except ValueError as error:
        log.note("targets_unreadable", target=entry.id, error=str(error))
        return False
