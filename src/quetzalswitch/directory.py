"""What an entry process knows about the others and its own standing."""

import typing

from quetzalswitch import membership as memberships
from quetzalswitch.peers import protocol as peer_protocol
from quetzalswitch.targets import ownership

# Below the 6 s after which others may seal a registration that is not renewed,
# by more than the time between the sending and the effect of a renewal.
REGISTRATION_BOUND_S = 5.0


class Directory:
    """Answers questions of the tasks about entries.

    Args:
        process: The entry process.
    """

    def __init__(self, process: typing.Any):
        self._process = process
        self._fresh_s = process.clock.now()

    def is_fresh(self) -> bool:
        """Tells whether the configuration may be acted on.

        Besides the configuration, the registration must be so recent that no
        other entry can have sealed it, unless nobody can write at all.
        """
        process = self._process
        now_s = process.clock.now()
        version = process.following.configuration.version
        names = process.control.entry_names()
        if not process.freshness.is_fresh(version, process.membership, names):
            return False
        renewed_ago_s = now_s - process.committer.renewed_s
        if renewed_ago_s > REGISTRATION_BOUND_S and not (
            process.freshness.is_outage_confirmed(
                version, process.membership, names
            )
        ):
            return False
        self._fresh_s = now_s
        return True

    def is_alive(self, entry_id: str) -> bool:
        """Tells whether a peer exchanges heartbeats with this process."""
        state = self._process.membership.state(entry_id)
        return state is memberships.MemberState.ALIVE

    def stale_for_s(self) -> float:
        """Returns seconds since the configuration was last fresh."""
        return (
            0.0
            if self.is_fresh()
            else self._process.clock.now() - self._fresh_s
        )

    def find_members(self) -> list[ownership.Member]:
        """Returns the live entries that take part, this one included."""
        members = []
        for info in self._process.membership.alive():
            heartbeat = self._process.membership.last_heartbeat(info.entry_id)
            if heartbeat is not None and heartbeat.draining:
                continue
            if info.incarnation == self._process.incarnation:
                domain = self._process.settings.failure_domain
            else:
                domain = self._process.control.failure_domain(info.entry_id)
            members.append(
                ownership.Member(info.entry_id, info.incarnation, domain)
            )
        return members

    def find_peers(self) -> dict[str, peer_protocol.Heartbeat]:
        """Returns the last heartbeat of each live peer by entry ID."""
        peers = {}
        for info in self._process.membership.alive():
            heartbeat = self._process.membership.last_heartbeat(info.entry_id)
            if heartbeat is not None:
                peers[info.entry_id] = heartbeat
        return peers

    def entry_of(self, incarnation: str) -> str:
        """Returns the entry ID of a live incarnation, or ""."""
        for info in self._process.membership.alive():
            if info.incarnation == incarnation:
                return info.entry_id
        return ""

    def knows_all_sizes(self) -> bool:
        """Tells whether the sizes of all listed targets are known."""
        listed = self._process.control.target_names()
        if listed is None:
            return False
        seen = self._process.control.claimed() + sum(
            shape.count
            for heartbeat in self.find_peers().values()
            for shape in heartbeat.shapes
        )
        return seen >= len(listed)

    def change_blocked_reason(self) -> str:
        """Returns why no configuration change may be accepted, or ""."""
        listed = self._process.control.entry_names()
        for info in self._process.membership.unacknowledged():
            if listed is None or info.entry_id in listed:
                return f"entry {info.entry_id} has not been heard yet"
        return ""
