"""Tests of the contents of heartbeats, on a manual clock without sockets."""

import pytest

from quetzalswitch import clock as clocks
from quetzalswitch import membership
from quetzalswitch.peers import heartbeats
from quetzalswitch.peers import protocol

INTERVAL_S = 0.5


class Pair:
    """Two entries; `sent` holds the heartbeats of the first to the second."""

    def __init__(self):
        self.clock = clocks.ManualClock()
        self.sent = []
        self.headroom = 3
        self.is_cut = False
        self.members = membership.Membership(self.clock, "a", "a-1", "a:1")
        self.restart("b-1")
        self.members.add_member(self.peer.info)
        self.task = heartbeats.Heartbeats(
            self.clock,
            self,
            self.members,
            "a:1",
            self._find_load,
            lambda entry_id, incarnation: None,
            INTERVAL_S,
        )

    def restart(self, incarnation):
        self.peer = membership.Membership(self.clock, "b", incarnation, "b:1")

    def set_peer(self, entry_id, address):
        """Takes the place of `Mesh.set_peer`."""

    def send(self, entry_id, message):
        """Takes the place of `Mesh.send`."""
        if entry_id != "b":
            return
        self.sent.append(message)
        if not self.is_cut:
            self.peer.observe(protocol.Envelope("a", "a-1", message))

    def _find_load(self):
        teams = [protocol.TeamSummary("reefs", self.headroom, 0, 0)]
        return heartbeats.Load(1, 0.1, False, 2, 0, teams, [], None, False, [])

    def run(self, rounds):
        """Exchanges heartbeats and returns those of the first entry."""
        first = len(self.sent)
        for _ in range(rounds):
            self.clock.advance(INTERVAL_S)
            self.task._send_heartbeats()
            heartbeat = protocol.Heartbeat(
                self.peer.next_sequence(),
                *(self.peer.last_received("a"), "b:1", 1, 0.1, False),
                *([], 0, 0, [], [], None, False),
            )
            incarnation = self.peer.info.incarnation
            self.members.observe(protocol.Envelope("b", incarnation, heartbeat))
        return self.sent[first:]


@pytest.fixture
def pair():
    made = Pair()
    made.run(4)
    return made


def test_unchanged_details_are_left_out_and_repeated_now_and_then(pair):
    """Guards against heartbeats whose size grows with teams and members."""
    sent = pair.run(heartbeats.REPEAT_INTERVAL_ROUNDS)
    assert sum(heartbeat.teams is not None for heartbeat in sent) == 1
    assert sum(heartbeat.members != [] for heartbeat in sent) == 1
    assert pair.peer.last_heartbeat("a").teams[0].headroom == 3


def test_end_of_headroom_is_reported_at_once(pair):
    """Guards against requests forwarded to a peer without allowance."""
    pair.headroom = 2
    pair.run(1)
    pair.headroom = 0
    pair.run(1)
    assert pair.peer.last_heartbeat("a").teams[0].headroom == 0


def test_steady_changes_are_reported_every_few_heartbeats(pair):
    """Guards against full summaries in each heartbeat of a busy entry."""
    sent = []
    for pair.headroom in range(10, 10 + 2 * heartbeats.TEAMS_INTERVAL_ROUNDS):
        sent += pair.run(1)
    assert 2 <= sum(heartbeat.teams is not None for heartbeat in sent) <= 3


def test_restarted_peer_gets_details_until_it_acknowledges(pair):
    """Guards against a restarted process that gets no summaries or members."""
    pair.restart("b-2")
    pair.run(4)
    assert pair.peer.last_heartbeat("a").teams[0].headroom == 3


def test_new_member_is_named_until_it_is_acknowledged(pair):
    """Guards against a member that is never sent after a lost heartbeat."""
    pair.is_cut = True
    pair.members.add_member(protocol.MemberInfo("c-1", "c", "c:1"))
    pair.run(2)
    pair.is_cut = False
    pair.run(1)
    assert "c" in {info.entry_id for info in pair.peer.known()}


def test_first_heartbeat_without_summaries_means_no_headroom(pair):
    """Guards against a forwarder that fails when it has no summaries yet."""
    pair.restart("b-2")
    heartbeat = pair.run(heartbeats.REPEAT_INTERVAL_ROUNDS)[-2]
    assert heartbeat.teams is None
    pair.peer = membership.Membership(pair.clock, "b", "b-3", "b:1")
    pair.peer.observe(protocol.Envelope("a", "a-1", heartbeat))
    assert pair.peer.last_heartbeat("a").teams == []
