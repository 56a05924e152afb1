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

# Heartbeats between two that carry summaries of teams, while those change.
TEAMS_ROUNDS = 4
# Every how many heartbeats summaries and members are repeated unchanged, for
# peers that missed them.
REPEAT_ROUNDS = 20


class Load(typing.NamedTuple):
    """What a heartbeat says besides membership; see `protocol.Heartbeat`."""

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


class _Told(typing.NamedTuple):
    """What a peer was told: all heartbeats from `sequence` on carry members."""

    incarnation: str
    members: list[protocol.MemberInfo]
    sequence: int


@dataclasses.dataclass(frozen=True)
class AddPeers:
    """Entries found in the table, as (entry ID, incarnation, address)."""

    members: tuple[protocol.MemberInfo, ...]


class Heartbeats(tasks.Task):
    """Sends heartbeats and notices entries that die or are replaced.

    Args:
        clock: Source of time.
        mesh: Sends messages.
        membership: State of the other entries.
        address: Where this process listens for peers.
        find_load: Returns the load to report.
        on_lost: Is told about an entry that died: (entry_id, incarnation).
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
        self._dialled: dict[str, str] = {}
        self._told: dict[str, _Told] = {}
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
                self._beat()

    def handle(self, message: typing.Any) -> None:
        """Handles one message."""
        match message:
            case protocol.Envelope():
                self._membership.observe(message)
            case AddPeers(members):
                for member in members:
                    self._membership.add_member(member)

    def _beat(self) -> None:
        self._dial()
        self._notice_losses()
        sequence = self._membership.next_sequence()
        load = self._find_load()
        known = self._membership.known()
        self._round += 1
        repeats = self._round % REPEAT_ROUNDS == 0
        with_teams = repeats or self._note_teams(load.teams)
        for member in known:
            is_new = not self._knows(member, known, sequence)
            fields = load._asdict()
            if not (with_teams or is_new):
                fields["teams"] = None
            beat = protocol.Heartbeat(
                sequence=sequence,
                heard=self._membership.last_received(member.entry_id),
                address=self._address,
                members=known if repeats or is_new else [],
                **fields,
            )
            self._mesh.send(member.entry_id, beat)

    def _note_teams(self, teams: list[protocol.TeamSummary]) -> bool:
        """Tells whether the summaries are due because they have changed.

        Peers forward to teams with headroom, so its end and its return are
        reported at once.
        """
        if teams == self._teams:
            return False
        waited = self._round - self._teams_round >= TEAMS_ROUNDS
        if not waited and _usable(teams) == _usable(self._teams):
            return False
        self._teams = teams
        self._teams_round = self._round
        return True

    def _knows(
        self,
        member: protocol.MemberInfo,
        known: list[protocol.MemberInfo],
        sequence: int,
    ) -> bool:
        """Tells whether a peer has acknowledged the present member list."""
        told = self._told.get(member.entry_id)
        if told is None or told[:2] != (member.incarnation, known):
            told = _Told(member.incarnation, known, sequence)
            self._told[member.entry_id] = told
        heartbeat = self._membership.last_heartbeat(member.entry_id)
        return heartbeat is not None and heartbeat.heard >= told.sequence

    def _dial(self) -> None:
        for member in self._membership.known():
            if self._dialled.get(member.entry_id) != member.address:
                self._dialled[member.entry_id] = member.address
                self._mesh.set_peer(member.entry_id, member.address)

    def _notice_losses(self) -> None:
        live = {m.entry_id: m.incarnation for m in self._membership.alive()}
        dead = memberships.MemberState.DEAD
        for entry_id, incarnation in list(self._live.items()):
            now = live.get(entry_id)
            if now == incarnation:
                continue
            if now is None and self._membership.state(entry_id) != dead:
                continue
            logs.write("member_dead", peer=entry_id, incarnation=incarnation)
            del self._live[entry_id]
            self._on_lost(entry_id, incarnation)
        for entry_id in live.keys() - self._live.keys():
            logs.write(
                "member_alive", peer=entry_id, incarnation=live[entry_id]
            )
        self._live.update(live)


def _usable(teams: list[protocol.TeamSummary]) -> set[str]:
    return {team.team for team in teams if team.headroom > 0}
