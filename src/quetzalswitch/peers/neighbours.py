"""Selects the peers with which an entry process exchanges heartbeats.

Heartbeats between all pairs cost messages that grow with the square of the
number of VMs: 9,300 a second with 97, and 90,000 with 300. Instead, every
process exchanges heartbeats with the leader and with a few well suited peers,
the hubs. The hubs hear every process, so they are the first to replace a leader
and can relay for the others.
"""

import typing
from collections.abc import Callable
from collections.abc import Iterable

# Enough that some are left when a failure domain or half of the VMs are lost.
HUB_COUNT: typing.Final = 8


class Member(typing.NamedTuple):
    """An entry process as its row in the store describes it.

    Attributes:
        address: Host and port of its links.
        power: Share of a core and of the fastest link that the VM has.
        failure_domain: The VM's failure domain.
    """

    address: str
    power: float = 0.0
    failure_domain: str = ""


def rank(members: dict[str, Member]) -> list[str]:
    """Returns all names, those best suited as hubs first.

    VMs with more power come first. Among equals, failure domains take turns, so
    that the loss of one leaves hubs in the others.
    """
    seen: dict[tuple[float, str], int] = {}
    keys = {}
    for name in sorted(members):
        member = members[name]
        group = (member.power, member.failure_domain)
        turn = seen[group] = seen.get(group, -1) + 1
        keys[name] = (-member.power, turn, member.failure_domain, name)
    return sorted(members, key=keys.__getitem__)


def choose_hubs(
    ranked: Iterable[str], is_usable: Callable[[str], bool]
) -> list[str]:
    """Returns the first names of which `HUB_COUNT` are usable.

    Unusable ones among them are included, so that their return is noticed.

    Args:
        ranked: Names, best suited first.
        is_usable: Whether a peer is alive, or not known yet to be dead.
    """
    chosen = []
    usable_count = 0
    for name in ranked:
        if usable_count == HUB_COUNT:
            break
        chosen.append(name)
        usable_count += is_usable(name)
    return chosen
