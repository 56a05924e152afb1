"""Tests of the choice of neighbours, and of its cost as VMs are added."""

import gevent
import pytest

from quetzalswitch import clock as clocks
from quetzalswitch import nodelog
from quetzalswitch.peers import frames
from quetzalswitch.peers import links as peer_links
from quetzalswitch.peers import neighbours
from quetzalswitch.peers import peer as peers

SECONDS = 6


class _Links(peer_links.Links):
    """Links whose frames are handed over by the test."""

    def _connect(self, peer):
        peer.greenlet = peer.greenlet or gevent.Greenlet()


class _Group:
    """Entry processes that lose no frame; the first one leads."""

    def __init__(self, count):
        self.clock = clocks.ManualClock()
        self.members = {
            f"e{n:03}": neighbours.Member(
                "127.0.0.1:1", 2.0 if n < count // 6 else 0.5, f"d{n % 5}"
            )
            for n in range(count)
        }
        self.sent = {}
        self.received = {}
        self.links = {name: self._make_links(name) for name in self.members}
        for links in self.links.values():
            links.set_members(self.members)

    def _make_links(self, name):
        log = nodelog.NodeLog(self.clock)

        def make_heartbeat():
            return peers.Heartbeat(
                name=name,
                lifetime="1",
                epoch=1,
                leading=name == "e000",
                store_ok=True,
                leaving=False,
                pending=None,
                version=1,
                resigned=0,
                power=self.members[name].power,
            )

        return _Links(name, "127.0.0.1", 0, self.clock, log, make_heartbeat)

    def play(self, seconds):
        """Exchanges heartbeats; `sent` counts those of each process."""
        self.sent = dict.fromkeys(self.links, 0)
        self.received = dict.fromkeys(self.members, 0)
        for _ in range(round(seconds / peers.HEARTBEAT_INTERVAL_S)):
            self.clock.advance(peers.HEARTBEAT_INTERVAL_S)
            for links in self.links.values():
                links._send_due_heartbeats()
            for name, links in self.links.items():
                self._deliver(name, links)

    def _deliver(self, sender, links):
        for peer in links.peers.values():
            while not peer.queue.empty():
                frame = peer.queue.get_nowait()
                if peer.name in self.links and frame:
                    self.sent[sender] += 1
                    self.received[peer.name] += 1
                    receiver = self.links[peer.name]
                    receiver._receive("", frame[frames.HEADER.size :])

    def kill(self, names):
        """Ends processes; connections to them are refused from then on."""
        for name in names:
            del self.links[name]
            for links in self.links.values():
                links.peers[name].connection_refused = True


@pytest.mark.parametrize("count", [10, 100, 300])
def test_heartbeats_grow_linearly(count):
    """Guards against messages that grow with the square of the VMs."""
    group = _Group(count)
    group.play(SECONDS)
    group.play(SECONDS)
    per_s = {name: sent / SECONDS for name, sent in group.sent.items()}
    leader = per_s.pop("e000")
    assert leader <= peer_links.LEADER_SENDS_PER_S
    received = group.received["e000"] / SECONDS
    assert received <= peer_links.LEADER_RECEIVES_PER_S
    # A process sends one to each hub and 5 to the leader; a hub, one to all.
    ordinary = sorted(per_s.values())[: -neighbours.HUB_COUNT]
    assert max(ordinary, default=0) <= neighbours.HUB_COUNT + 5
    assert sum(per_s.values()) <= 2 * count * (neighbours.HUB_COUNT + 5)


def test_leader_hears_all_and_all_hear_the_leader():
    """Guards against advisers or followers that the leader doesn't know."""
    group = _Group(100)
    group.play(SECONDS)
    assert len(group.links["e000"].alive()) == 99
    for name, links in group.links.items():
        assert name == "e000" or links.is_alive("e000")


def test_killed_hubs_are_replaced():
    """Guards against processes that know nobody after a loss of many VMs."""
    group = _Group(100)
    group.play(SECONDS)
    group.kill([f"e{n:03}" for n in range(60)])
    group.play(SECONDS)
    for links in group.links.values():
        assert len(links.alive()) >= neighbours.HUB_COUNT - 1


def test_replaced_hubs_do_not_stay_neighbours():
    """Guards against a mesh that only grows with each loss and return."""
    group = _Group(100)
    group.play(SECONDS)
    hubs = [n for n in neighbours.rank(group.members) if n != "e000"][:8]
    lost = {name: group.links[name] for name in hubs}
    group.kill(hubs)
    group.play(SECONDS)
    group.links.update(lost)
    for links in group.links.values():
        for name in hubs:
            if name in links.peers:
                links.peers[name].connection_refused = False
    group.play(3 * SECONDS)
    counts = [len(links.alive()) for links in group.links.values()]
    assert sorted(counts)[50] <= neighbours.HUB_COUNT + 1


def test_hubs_are_strong_and_in_different_failure_domains():
    """Guards against hubs that are lost together or hold back the others."""
    group = _Group(100)
    ranked = neighbours.rank(group.members)
    hubs = neighbours.choose_hubs(ranked, lambda name: True)
    assert {group.members[name].power for name in hubs} == {2.0}
    assert len({group.members[name].failure_domain for name in hubs}) == 5


def test_unusable_hubs_stay_chosen():
    """Guards against strong processes that are forgotten after a restart."""
    chosen = neighbours.choose_hubs("abcdefghijkl", lambda name: name > "b")
    assert chosen == list("abcdefghij")


def _restart(links, name):
    """Makes a process seem ended and then heard again, choosing this one."""
    peer = links.peers[name]
    peer.connection_refused = True
    peer.disconnect()
    heartbeat = links._make_heartbeat()._replace(name=name, leading=False)
    frame = frames.encode(("b", heartbeat, True, True))
    links._receive("", frame[frames.HEADER.size :])
    return peer


def test_restarted_process_that_chose_us_is_dialled():
    """Guards against a follower that never hears a restarted hub again."""
    links = _Group(100).links["e050"]
    peer = _restart(links, "e099")
    assert peer in links._choose_neighbours(False)
    assert peer.greenlet is not None


def test_new_leader_is_dialled_though_it_refused_before():
    """Guards against taking a restarted leader for dead without a new dial."""
    links = _Group(100).links["e050"]
    peer = links.peers["e099"]
    peer.connection_refused = True
    links.set_leader("e099")
    assert peer.greenlet is not None
    assert not peer.connection_refused
    assert peer in links._choose_neighbours(False)


def test_other_processes_are_dialled_for_a_message_and_left_when_idle():
    """Guards against lost hand-overs and links that are never closed."""
    group = _Group(100)
    links = group.links["e050"]
    peer = links.peers["e099"]
    assert peer.greenlet is None
    links.notify("e099", "job", b"")
    assert peer.greenlet is not None
    links._choose_neighbours(False)
    assert peer.greenlet is not None
    group.clock.advance(peer_links.IDLE_LIMIT_S + 1)
    links._choose_neighbours(False)
    assert peer.greenlet is None


def test_live_peer_is_not_awaited():
    """Guards against counting one better suited peer twice in an election."""
    group = _Group(100)
    group.play(SECONDS)
    links = group.links["e050"]
    group.clock.advance(0.1)
    links.peers["e001"].chosen_s = group.clock.now()
    assert links.is_alive("e001")
    assert links.awaited() == []
