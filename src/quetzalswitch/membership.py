"""Membership: which entry processes are alive, based on heartbeats.

The module does no input or output.

A member is known by its entry ID and has one current incarnation. Another
incarnation under the same entry ID becomes current when the current one is
dead, or when it acknowledges a heartbeat that was sent after the incarnation
was first seen. A delayed message cannot contain such an acknowledgement, so
late heartbeats of an old incarnation have no effect.

The owner calls `next_sequence` for each heartbeat round, at least once a
second. A gap of more than `PAUSE_THRESHOLD_S` between calls means that this
process was paused. The gap does not count towards the timeouts of other
members, since their heartbeats may still be unread. `built_after_s`, on which
freshness relies, is not adjusted.
"""

import collections
import dataclasses
import enum
import secrets

from quetzalswitch import clock as clocks
from quetzalswitch.peers import protocol

HEARTBEAT_INTERVAL_S = 0.5
SUSPECT_AFTER_S = 2.0
DEAD_AFTER_S = 5.0
PAUSE_THRESHOLD_S = 1.5
# Two minutes of send times at the normal interval.
KEPT_SEND_TIMES = 240
KEPT_INCARNATIONS = 1000


class MemberState(enum.StrEnum):
    """State of a member as judged by this process."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"


class _Times(collections.namedtuple("_Times", "real_s active_s")):
    """A time on the clock and the same time without this process's pauses."""


@dataclasses.dataclass
class _Member:
    info: protocol.MemberInfo
    since: _Times
    last_received: int = 0
    received_at: _Times | None = None
    acknowledged: int = 0
    acknowledged_sent: _Times | None = None
    heartbeat: protocol.Heartbeat | None = None


class Membership:
    """The members known to this entry process and their liveness."""

    def __init__(
        self,
        clock: clocks.Clock,
        entry_id: str,
        incarnation: str,
        address: str,
    ):
        self.info = protocol.MemberInfo(incarnation, entry_id, address)
        self._clock = clock
        self._members: dict[str, _Member] = {}
        # Starts at a random number, so that acknowledgements for an earlier
        # incarnation of this process are out of the range of its numbers.
        self._last_sequence = secrets.randbits(48)
        self._sent: dict[int, _Times] = {}
        self._candidates: dict[str, int] = {}
        self._replaced: dict[str, None] = {}
        self._retired: dict[str, None] = {}
        self._last_call_s = clock.now()
        self._paused_s = 0.0

    def next_sequence(self) -> int:
        """Returns the number of the next heartbeat and records its send time.

        All heartbeats of a round have the same number. It must be taken before
        they are built and sent.
        """
        now = self._now()
        self._last_sequence += 1
        self._sent[self._last_sequence] = now
        if len(self._sent) > KEPT_SEND_TIMES:
            del self._sent[next(iter(self._sent))]
        return self._last_sequence

    def observe(self, envelope: protocol.Envelope) -> bool:
        """Updates the membership from a received message.

        Returns:
            Whether the sender is the current incarnation of a member. The
            caller must ignore messages of other senders.
        """
        now = self._now()
        if envelope.sender == self.info.entry_id:
            return False
        member = self._find_sender(envelope, now)
        if member is None:
            return False
        if isinstance(envelope.message, protocol.Heartbeat):
            self._apply_heartbeat(member, envelope.message, now)
        return True

    def add_member(self, member_info: protocol.MemberInfo) -> None:
        """Adds a member named by settings, an `entry/` row or a peer.

        The incarnation of a known member is replaced only if it is dead.
        """
        now = self._now()
        entry_id = member_info.entry_id
        incarnation = member_info.incarnation
        if entry_id == self.info.entry_id or incarnation in self._replaced:
            return
        member = self._members.get(entry_id)
        if member is not None:
            same = member.info.incarnation == incarnation
            if same or self._state_of(member, now) != MemberState.DEAD:
                return
            _add_bounded(self._replaced, member.info.incarnation)
        self._members[entry_id] = _Member(member_info, now)

    def remove_member(self, entry_id: str) -> None:
        """Removes a member; its incarnation is ignored from now on.

        Only a member whose `entry/` row is fenced or removed may be removed:
        `freshness` relies on heartbeats of every member that could write.
        """
        member = self._members.pop(entry_id, None)
        if member is not None:
            self._retire(member.info.incarnation)

    def state(self, entry_id: str) -> MemberState:
        """Returns the state of a member; dead when it is not known."""
        now = self._now()
        if entry_id == self.info.entry_id:
            return MemberState.ALIVE
        member = self._members.get(entry_id)
        if member is None:
            return MemberState.DEAD
        return self._state_of(member, now)

    def alive(self) -> list[protocol.MemberInfo]:
        """Returns the members that are alive, this process included."""
        others = [
            info
            for info in self.known()
            if self.state(info.entry_id) == MemberState.ALIVE
        ]
        return sorted([self.info, *others], key=lambda info: info.entry_id)

    def known(self) -> list[protocol.MemberInfo]:
        """Returns all other members, in any state."""
        return [member.info for member in self._members.values()]

    def unacknowledged(self) -> list[protocol.MemberInfo]:
        """Returns the members that have never acknowledged a heartbeat.

        This process may be missing in their membership. See `freshness` for
        what this process must not do until the list is empty.
        """
        return [
            member.info
            for member in self._members.values()
            if member.acknowledged_sent is None
        ]

    def last_heartbeat(self, entry_id: str) -> protocol.Heartbeat | None:
        """Returns the newest heartbeat of a member's current incarnation."""
        member = self._members.get(entry_id)
        return member.heartbeat if member is not None else None

    def last_received(self, entry_id: str) -> int:
        """Returns the highest sequence received from a member, 0 if none."""
        member = self._members.get(entry_id)
        return member.last_received if member is not None else 0

    def built_after_s(self, entry_id: str) -> float | None:
        """Returns a lower bound of the time a member's heartbeat was built.

        It is the time on this process's clock at which the heartbeat that the
        member's last one acknowledges was numbered, so it holds for any
        transmission delay. None if the last heartbeat acknowledges nothing
        whose send time is still stored.
        """
        member = self._members.get(entry_id)
        if member is None or member.heartbeat is None:
            return None
        sent = self._sent.get(member.heartbeat.heard)
        return sent.real_s if sent is not None else None

    def _now(self) -> _Times:
        now_s = self._clock.now()
        gap_s = now_s - self._last_call_s
        if gap_s > PAUSE_THRESHOLD_S:
            self._paused_s += gap_s
        self._last_call_s = now_s
        return _Times(now_s, now_s - self._paused_s)

    def _find_sender(
        self, envelope: protocol.Envelope, now: _Times
    ) -> _Member | None:
        incarnation = envelope.incarnation
        member = self._members.get(envelope.sender)
        if member is not None and member.info.incarnation == incarnation:
            return member
        heartbeat = envelope.message
        if incarnation in self._retired:
            return None
        if not isinstance(heartbeat, protocol.Heartbeat):
            return None
        if member is not None and not self._supersedes(
            member, incarnation, heartbeat, now
        ):
            return None
        info = protocol.MemberInfo(
            incarnation, envelope.sender, heartbeat.address
        )
        self._members[envelope.sender] = _Member(info, now)
        return self._members[envelope.sender]

    def _supersedes(
        self,
        member: _Member,
        incarnation: str,
        heartbeat: protocol.Heartbeat,
        now: _Times,
    ) -> bool:
        first_seen = self._candidates.setdefault(
            incarnation, self._last_sequence
        )
        if first_seen < heartbeat.heard <= self._last_sequence:
            self._retire(member.info.incarnation)
            del self._candidates[incarnation]
            return True
        while len(self._candidates) > KEPT_INCARNATIONS:
            del self._candidates[next(iter(self._candidates))]
        if self._state_of(member, now) == MemberState.DEAD:
            _add_bounded(self._replaced, member.info.incarnation)
            return True
        return False

    def _apply_heartbeat(
        self, member: _Member, heartbeat: protocol.Heartbeat, now: _Times
    ) -> None:
        if heartbeat.sequence <= member.last_received:
            return
        if heartbeat.teams is None:
            teams = member.heartbeat.teams if member.heartbeat else []
            heartbeat = dataclasses.replace(heartbeat, teams=teams)
        member.last_received = heartbeat.sequence
        member.received_at = now
        member.heartbeat = heartbeat
        member.info = member.info._replace(address=heartbeat.address)
        sent = self._sent.get(heartbeat.heard)
        if sent is not None and heartbeat.heard > member.acknowledged:
            member.acknowledged = heartbeat.heard
            member.acknowledged_sent = sent
        for info in heartbeat.members:
            self.add_member(info)

    def _state_of(self, member: _Member, now: _Times) -> MemberState:
        last = member.received_at or member.since
        since_received_s = now.active_s - last.active_s
        if since_received_s > DEAD_AFTER_S:
            return MemberState.DEAD
        if member.received_at is None or since_received_s > SUSPECT_AFTER_S:
            return MemberState.SUSPECT
        acknowledged = member.acknowledged_sent or member.since
        unacknowledged_s = now.active_s - acknowledged.active_s
        if self._sent and unacknowledged_s > SUSPECT_AFTER_S:
            return MemberState.SUSPECT
        return MemberState.ALIVE

    def _retire(self, incarnation: str) -> None:
        _add_bounded(self._replaced, incarnation)
        _add_bounded(self._retired, incarnation)


def _add_bounded(names: dict[str, None], name: str) -> None:
    names[name] = None
    while len(names) > KEPT_INCARNATIONS:
        del names[next(iter(names))]
