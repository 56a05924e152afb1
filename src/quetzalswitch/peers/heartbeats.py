"""The task that exchanges heartbeats with the other entry processes."""

import contextlib
import dataclasses
import typing

import gevent.queue

from quetzalswitch import clock as clocks
from quetzalswitch import logs
from quetzalswitch import membership as memberships
from quetzalswitch import tasks
from quetzalswitch.peers import mesh as meshes
from quetzalswitch.peers import protocol

# Number of heartbeats from one that carries team summaries to the next, while
# the summaries keep changing.
TEAMS_INTERVAL_ROUNDS = 4
# Every this many heartbeats, summaries and members are repeated even if they
# are unchanged, for peers that missed them.
REPEAT_INTERVAL_ROUNDS = 20


class Load(typing.NamedTuple):
    """Contents of a heartbeat except membership; see `protocol.Heartbeat`."""

    version: int
    confirmed_ago_s: float | None
    write_failed: bool
    free_slots: int
    queued: int
    teams: list[protocol.TeamSummary]
    foreign: list[tuple[str, str, int]]
    unclaimed_since_s: float | None
    draining: bool
    shapes: list[protocol.Shape]


class _SentMembers(typing.NamedTuple):
    """Members sent to a peer in every heartbeat from `sequence` on."""

    incarnation: str
    members: list[protocol.MemberInfo]
    sequence: int


@dataclasses.dataclass(frozen=True)
class AddPeers:
    """Entries found in the table, to be added to the membership."""

    members: tuple[protocol.MemberInfo, ...]


class Heartbeats(tasks.Task):
    """Sends heartbeats and detects entries that die or are replaced.

    Args:
        clock: Source of time.
        mesh: Sends messages.
        membership: State of the other entries.
        address: Host and port on which this process listens for peers.
        find_load: Returns the load to report.
        on_lost: Called for an entry that died: (entry_id, incarnation).
        interval_s: Time between heartbeats in seconds.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        mesh: meshes.Mesh,
        membership: memberships.Membership,
        address: str,
        find_load: typing.Callable[[], Load],
        on_lost: typing.Callable[[str, str], None],
        interval_s: float = 0.5,
    ):
        super().__init__("heartbeats")
        self._clock = clock
        self._mesh = mesh
        self._membership = membership
        self._address = address
        self._find_load = find_load
        self._on_lost = on_lost
        self._interval_s = interval_s
        self._live: dict[str, str] = {}
        self._connected_addresses: dict[str, str] = {}
        self._sent_members: dict[str, _SentMembers] = {}
        self._round = 0
        self._teams: list[protocol.TeamSummary] = []
        self._teams_round = 0

    def run(self) -> None:
        """Handles messages and sends a heartbeat each interval."""
        next_s = self._clock.now()
        while True:
            wait_s = max(0.0, next_s - self._clock.now())
            with contextlib.suppress(gevent.queue.Empty):
                self.handle(self.inbox.get(timeout=wait_s))
            if self._clock.now() >= next_s:
                next_s = self._clock.now() + self._interval_s
                self._send_heartbeats()

    def handle(self, message: typing.Any) -> None:
        """Handles one message."""
        match message:
            case protocol.Envelope():
                self._membership.observe(message)
            case AddPeers(members):
                for member in members:
                    self._membership.add_member(member)

    def _send_heartbeats(self) -> None:
        self._connect()
        self._report_changes()
        sequence = self._membership.next_sequence()
        load = self._find_load()
        known = self._membership.known()
        self._round += 1
        repeats = self._round % REPEAT_INTERVAL_ROUNDS == 0
        with_teams = repeats or self._are_teams_due(load.teams)
        for member in known:
            is_new = not self._has_acknowledged(member, known, sequence)
            fields = load._asdict()
            if not (with_teams or is_new):
                fields["teams"] = None
            heartbeat = protocol.Heartbeat(
                sequence=sequence,
                heard=self._membership.last_received(member.entry_id),
                address=self._address,
                members=known if repeats or is_new else [],
                **fields,
            )
            self._mesh.send(member.entry_id, heartbeat)

    def _are_teams_due(self, teams: list[protocol.TeamSummary]) -> bool:
        """Returns whether changed summaries are due in this heartbeat.

        Peers forward requests of teams that have headroom, so a team that
        runs out of headroom or regains it is reported at once.
        """
        if teams == self._teams:
            return False
        due = self._round - self._teams_round >= TEAMS_INTERVAL_ROUNDS
        if not due and _with_headroom(teams) == _with_headroom(self._teams):
            return False
        self._teams = teams
        self._teams_round = self._round
        return True

    def _has_acknowledged(
        self,
        member: protocol.MemberInfo,
        known: list[protocol.MemberInfo],
        sequence: int,
    ) -> bool:
        """Returns whether a peer has acknowledged the current member list."""
        sent = self._sent_members.get(member.entry_id)
        if sent is None or sent[:2] != (member.incarnation, known):
            sent = _SentMembers(member.incarnation, known, sequence)
            self._sent_members[member.entry_id] = sent
        heartbeat = self._membership.last_heartbeat(member.entry_id)
        return heartbeat is not None and heartbeat.heard >= sent.sequence

    def _connect(self) -> None:
        for member in self._membership.known():
            if self._connected_addresses.get(member.entry_id) != member.address:
                self._connected_addresses[member.entry_id] = member.address
                self._mesh.set_peer(member.entry_id, member.address)

    def _report_changes(self) -> None:
        live = {m.entry_id: m.incarnation for m in self._membership.alive()}
        dead = memberships.MemberState.DEAD
        for entry_id, incarnation in list(self._live.items()):
            current = live.get(entry_id)
            if current == incarnation:
                continue
            if current is None and self._membership.state(entry_id) != dead:
                continue
            logs.write("member_dead", peer=entry_id, incarnation=incarnation)
            del self._live[entry_id]
            self._on_lost(entry_id, incarnation)
        for entry_id in live.keys() - self._live.keys():
            logs.write(
                "member_alive", peer=entry_id, incarnation=live[entry_id]
            )
        self._live.update(live)


def _with_headroom(teams: list[protocol.TeamSummary]) -> set[str]:
    return {team.team for team in teams if team.headroom > 0}
