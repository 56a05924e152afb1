"""The order in which entry processes try to become the leader."""

import typing

from quetzalswitch.peers import links as peer_links
from quetzalswitch.peers import peer as peers


class Candidate(typing.NamedTuple):
    """A process that may become the leader.

    Attributes:
        name: Name of its VM.
        power: Share of a core and of the fastest link that the VM has.
        lifetime: Start of the process.
    """

    name: str
    power: float
    lifetime: peers.Lifetime


def rank(
    own: Candidate, links: peer_links.Links, leader: peers.Peer | None
) -> int:
    """Returns the number of peers that may be alive and are better suited.

    Args:
        own: This process.
        links: Links to the peers.
        leader: The leader that is to be replaced, if it is a known peer.
    """
    # In a rolling replacement, the process that started last stays longest.
    planned = (
        leader is not None
        and leader.heartbeat is not None
        and leader.heartbeat.leaving
    )
    rivals = [
        Candidate(peer.name, peer.heartbeat.power, peer.heartbeat.lifetime)
        for peer in links.alive()
        if peer.heartbeat.store_ok
        and not peer.heartbeat.leaving
        and peer is not leader
    ]
    rivals += [
        Candidate(peer.name, peer.power, "0")
        for peer in links.awaited()
        if peer is not leader
    ]
    own_key = _make_sort_key(own, planned)
    return sum(_make_sort_key(rival, planned) < own_key for rival in rivals)


def _make_sort_key(
    candidate: Candidate, planned: bool
) -> tuple[float, int, str]:
    """Returns a key that puts the best suited process first.

    The process with the highest power comes first. If the change of leader is
    planned, the most recently started process wins among equals.
    """
    started = int(candidate.lifetime, 16) if planned else 0
    return -candidate.power, -started, candidate.name
