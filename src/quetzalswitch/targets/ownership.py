"""Assignment of targets to entries; pure functions."""

import math
import typing
from collections.abc import Iterable
from collections.abc import Mapping

import xxhash


class Member(typing.NamedTuple):
    """A live entry process.

    Attributes:
        entry_id: ID of the entry, the same after a restart of the process.
        incarnation: Unique for each start of the process.
        failure_domain: Failure domain that the entry runs in.
    """

    entry_id: str
    incarnation: str
    failure_domain: str


def choose_owner(
    target_id: str, failure_domain: str, members: Iterable[Member]
) -> str | None:
    """Returns the incarnation that should control the target.

    Uses a rendezvous hash over the entries in the target's failure domain, or
    over all entries if the domain has none. The entry ID is hashed, so a
    process that restarts on the same VM gets its targets back.

    Args:
        target_id: VM name of the target.
        failure_domain: Failure domain of the target.
        members: Live entries.

    Returns:
        The incarnation of the owner; None when there are no members.
    """
    best = max(
        _candidates(failure_domain, list(members)),
        key=lambda member: _weight(target_id, member),
        default=None,
    )
    return best.incarnation if best else None


def assign_owners(
    targets: Mapping[str, str], members: Iterable[Member]
) -> dict[str, str]:
    """Returns the owner of each target, with bounded load per entry.

    Uses a rendezvous hash with bounded loads: within each failure domain no
    entry gets more than an even share, rounded up; a target whose first
    choice is full goes to its next choice. Entries compute the same result
    only from the same list of targets; until their lists agree, the control
    leases decide.

    Args:
        targets: Failure domain of each target, by VM name.
        members: Live entries.

    Returns:
        Incarnation of the owner by VM name; empty when there are no members.
    """
    all_members = list(members)
    if not all_members:
        return {}
    groups: dict[tuple[Member, ...], list[str]] = {}
    for target_id, failure_domain in targets.items():
        candidates = tuple(_candidates(failure_domain, all_members))
        groups.setdefault(candidates, []).append(target_id)
    owners = {}
    for candidates, target_ids in groups.items():
        owners.update(_assign_group(target_ids, candidates))
    return owners


def _assign_group(
    target_ids: list[str], members: tuple[Member, ...]
) -> dict[str, str]:
    limit = math.ceil(len(target_ids) / len(members))
    remaining = {member.incarnation: limit for member in members}
    owners = {}
    weights = sorted(
        (
            (_weight(target_id, member), target_id, member.incarnation)
            for target_id in target_ids
            for member in members
        ),
        reverse=True,
    )
    for _, target_id, incarnation in weights:
        if target_id not in owners and remaining[incarnation]:
            remaining[incarnation] -= 1
            owners[target_id] = incarnation
    return owners


def _candidates(failure_domain: str, members: list[Member]) -> list[Member]:
    local_members = [
        member for member in members if member.failure_domain == failure_domain
    ]
    return local_members or members


def _weight(target_id: str, member: Member) -> int:
    pair = f"{member.entry_id}\0{target_id}"
    return xxhash.xxh3_64_intdigest(pair.encode())
