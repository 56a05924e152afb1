"""Queries about the other entries and the freshness of this one."""

import typing

from quetzalswitch import membership as memberships
from quetzalswitch.peers import protocol as peer_protocol
from quetzalswitch.targets import ownership

# Other entries may fence a registration that is not renewed for 6 s. This limit
# is lower by more than the time between sending a renewal and its effect.
REGISTRATION_MAX_AGE_S = 5.0


class Directory:
    """Answers queries of the tasks about entries.

    Args:
        process: The entry process.
    """

    def __init__(self, process: typing.Any):
        self._process = process
        self._last_fresh_s = process.clock.now()

    def is_fresh(self) -> bool:
        """Returns whether the configuration in force may be acted on.

        The registration must also be so recent that no other entry can have
        fenced it, unless all members report that the store is unreachable.
        """
        process = self._process
        now_s = process.clock.now()
        version = process.following.configuration.version
        names = process.control.entry_names()
        if not process.freshness.is_fresh(version, process.membership, names):
            return False
        renewed_ago_s = now_s - process.committer.renewed_s
        if renewed_ago_s > REGISTRATION_MAX_AGE_S and not (
            process.freshness.is_outage_confirmed(
                version, process.membership, names
            )
        ):
            return False
        self._last_fresh_s = now_s
        return True

    def is_alive(self, entry_id: str) -> bool:
        """Returns whether a peer exchanges heartbeats with this process."""
        state = self._process.membership.state(entry_id)
        return state is memberships.MemberState.ALIVE

    def stale_for_s(self) -> float:
        """Returns seconds since the configuration was fresh, 0 if it is now."""
        return (
            0.0
            if self.is_fresh()
            else self._process.clock.now() - self._last_fresh_s
        )

    def find_members(self) -> list[ownership.Member]:
        """Returns the live entries that are not draining, this one included."""
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
        """Returns the entry ID of a live incarnation, "" if there is none."""
        for info in self._process.membership.alive():
            if info.incarnation == incarnation:
                return info.entry_id
        return ""

    def knows_all_sizes(self) -> bool:
        """Returns whether the sizes of all listed targets are known."""
        listed = self._process.control.target_names()
        if listed is None:
            return False
        known = self._process.control.claimed() + sum(
            shape.count
            for heartbeat in self.find_peers().values()
            for shape in heartbeat.shapes
        )
        return known >= len(listed)

    def change_blocked_reason(self) -> str:
        """Returns the reason to reject configuration changes, "" if none.

        Changes are rejected until every listed member has acknowledged a
        heartbeat; `freshness` relies on this.
        """
        listed = self._process.control.entry_names()
        for info in self._process.membership.unacknowledged():
            if listed is None or info.entry_id in listed:
                return f"entry {info.entry_id} has not acknowledged heartbeats"
        return ""
