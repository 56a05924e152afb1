"""Tests of the links between entry processes and of their users."""

import types

import gevent
import gevent.event
import gevent.server
import pytest

from quetzalswitch import clock as clocks
from quetzalswitch import exceptions
from quetzalswitch import node as nodes
from quetzalswitch import nodelog
from quetzalswitch.acceptance import relay
from quetzalswitch.peers import frames
from quetzalswitch.peers import links as peer_links
from quetzalswitch.peers import peer as peers
from quetzalswitch.platform import nodesettings
from quetzalswitch.recovery import election
from quetzalswitch.recovery import leader_rows


def make_heartbeat(name="e0", **fields):
    values = {
        "name": name,
        "lifetime": "1",
        "epoch": 3,
        "leading": False,
        "store_ok": True,
        "leaving": False,
        "pending": None,
        "version": 1,
        "resigned": 0,
        "power": 1.0,
    }
    return peers.Heartbeat(**{**values, **fields})


class _Links(peer_links.Links):
    """Links without sockets: frames stay in the queues of the peers."""

    def __init__(self, count):
        self.clock = clocks.ManualClock()
        self.log = nodelog.NodeLog(self.clock)
        super().__init__(
            "e0", "127.0.0.1", 0, self.clock, self.log, make_heartbeat
        )
        for number in range(1, count + 1):
            peer = peers.Peer(f"e{number}", "127.0.0.1:1")
            self.peers[peer.name] = peer

    def receive(self, name, receives_from_us=True, **fields):
        heartbeat = make_heartbeat(name, **fields)
        frame = ("b", heartbeat, receives_from_us, True, False)
        self._receive("", frames.encode(frame)[frames.HEADER.size :])

    def count_heartbeats(self, seconds, heartbeat, urgent=False):
        """Returns how many heartbeats are sent to each peer in that time."""
        counts = dict.fromkeys(self.peers, 0)
        for _ in range(round(seconds / peers.HEARTBEAT_INTERVAL_S)):
            self.clock.advance(peers.HEARTBEAT_INTERVAL_S)
            for peer in self.peers.values():
                self._send_heartbeat(
                    peer, heartbeat, urgent, {}, self.clock.now()
                )
                while not peer.queue.empty():
                    peer.queue.get_nowait()
                    counts[peer.name] += 1
        return counts


def test_heartbeats_between_followers_are_rare():
    """Guards against processor time that grows with the square of the VMs.

    With 39 VMs, heartbeats at the short interval between all pairs would be
    7,400 messages a second.
    """
    links = _Links(38)
    links.receive("e1", leading=True)
    counts = links.count_heartbeats(10.0, make_heartbeat())
    assert counts.pop("e1") == 50
    assert set(counts.values()) == {10}


def test_leader_sends_heartbeats_often_to_all():
    """Guards against late detection of a leader that died."""
    links = _Links(5)
    counts = links.count_heartbeats(10.0, make_heartbeat(leading=True))
    assert set(counts.values()) == {50}


def test_urgent_changes_are_sent_at_once():
    """Guards against a resignation that reaches followers a second late."""
    links = _Links(3)
    links.count_heartbeats(0.2, make_heartbeat())
    assert set(links.count_heartbeats(0.2, make_heartbeat()).values()) == {0}
    counts = links.count_heartbeats(
        0.2, make_heartbeat(leaving=True), urgent=True
    )
    assert set(counts.values()) == {1}


def test_new_connection_begins_with_a_heartbeat():
    """Guards against a call whose answer has no receiver yet."""
    links = _Links(1)
    received = gevent.event.AsyncResult()
    server = gevent.server.StreamServer(
        ("127.0.0.1", 0), lambda sock, _: received.set(sock.recv(1000))
    )
    server.start()
    links.peers["e1"].address = f"127.0.0.1:{server.server_port}"
    links.notify("e1", "job", b"")
    data = received.get(timeout=10)
    links.peers["e1"].disconnect()
    server.stop()
    end = 4 + int.from_bytes(data[:4])
    assert frames.decode(data[4:end])[1].name == "e0"


def _list_redialled(links, seconds, hear):
    """Returns the links that are replaced while heartbeats are received."""
    for peer in links.peers.values():
        peer.connected = True
        links.receive(peer.name)
    for _ in range(round(10 * seconds)):
        links.clock.advance(0.1)
        hear()
        for peer in links.peers.values():
            links._replace_silent(peer, links.clock.now())
    return [peer.name for peer in links.peers.values() if peer.redial]


def test_connection_over_which_nothing_arrives_is_opened_again():
    """Guards against a one-way connection that is never replaced.

    The peer's heartbeats arrive, but it receives none of this process.
    """
    links = _Links(2)

    def hear():
        links.receive("e1")
        links.receive("e2", receives_from_us=False)

    assert _list_redialled(links, 5.0, hear) == ["e2"]


def test_connections_silent_in_both_directions_are_opened_again():
    """Guards against links that stay silent after a middlebox lost them.

    On the users' machines no leader was heard any more, an epoch began every
    four seconds, and accepted submissions were not run.
    """
    links = _Links(2)
    assert _list_redialled(links, 5.0, lambda: links.receive("e1")) == ["e2"]


def test_late_heartbeat_does_not_replace_a_link():
    """Guards against links that are opened anew where all VMs are slow."""
    links = _Links(1)
    assert _list_redialled(links, 1.7, lambda: None) == []


def test_links_that_stay_silent_are_replaced_less_and_less_often():
    """Guards against 400 dials a second where links carry nothing for long."""
    links = _Links(1)
    peer = links.peers["e1"]
    dials_s = []
    for _ in range(600):
        links.clock.advance(0.1)
        links._replace_silent(peer, links.clock.now())
        if peer.redial or not peer.connected:
            dials_s.append(links.clock.now())
            links._dialler._note_link_up(peer)
    assert len(dials_s) <= 7
    limit_s = peer_links.MAX_SILENCE_FACTOR * peer.silence_limit_s
    assert dials_s[-1] - dials_s[-2] <= limit_s + 0.2


def test_unanswered_call_replaces_a_silent_connection():
    """Guards against calls that time out again and again.

    A peer that is no neighbour sends no heartbeats that would tell.
    """
    links = _Links(1)
    peer = links.peers["e1"]
    peer.greenlet = gevent.Greenlet()
    peer.connected = True
    with pytest.raises(exceptions.TransportError, match="did not answer"):
        links.call("e1", "hand_over", 3, 0.01)
    assert peer.redial


def test_timeout_follows_the_interval_that_the_sender_announced():
    """Guards against followers judged dead between two rare heartbeats."""
    links = _Links(2)
    links.receive("e1", leading=True)
    links.receive("e2", interval_s=peers.FOLLOWER_INTERVAL_S)
    links.clock.advance(1.0)
    assert not links.is_alive("e1")
    assert links.is_alive("e2")
    links.clock.advance(1.0)
    assert not links.is_alive("e2")


@pytest.fixture(name="node")
def _node():
    settings = nodesettings.NodeSettings(
        node_name="e0",
        ip="127.0.0.1",
        failure_domain="a",
        caller_address="127.0.0.1:0",
        ready_address="127.0.0.1:0",
        peer_port=0,
        store_address="127.0.0.1:1",
        row_limit_bytes=65536,
        advice_address="",
        shutdown_grace_s=6.0,
        lease_s=6.0,
        gang_wait_s=3.0,
        stop_s=0.2,
        configuration_apply_s=2.0,
        status_s=120.0,
        spread_factor=1.0,
        metrics_port=0,
        power=1.0,
    )
    node = nodes.Node(settings)
    node._election.leader = leader_rows.LeaderRow(3, "e1", "1")
    peer = node._links.peers["e1"] = peers.Peer("e1", "127.0.0.1:1")
    peer.received_s = node._clock.now()
    return node


def test_entry_that_is_left_alone_with_a_slow_store_is_not_cut_off(node):
    """Guards against rejections by the only entry that is alive."""
    node._store._answered_s = node._clock.now()
    node._links.peers["e1"].received_s = float("-inf")
    assert not node._store_relay.is_isolated()
    node._store._answered_s -= relay.ISOLATION_STORE_TIMEOUT_S + 1.0
    assert node._store_relay.is_isolated()
    assert not node._store_relay.can_serve()


def test_count_of_a_leader_that_is_still_loading_is_refused(node):
    """Guards against a count of 0 while the leader loads its state.

    Found on ergyalo-sched-grown, trouble-3: 11 submissions had waited for 5 s.
    """
    peer = node._links.peers["e1"]
    peer.heartbeat = make_heartbeat("e1", leading=True, pending=None)
    with pytest.raises(exceptions.RequestError) as caught:
        node._count_pending("q")
    assert caught.value.kind is exceptions.ErrorKind.STORE_UNAVAILABLE
    peer.heartbeat = make_heartbeat("e1", leading=True, pending={"q": 7})
    assert node._count_pending("q") == 7
    assert node._count_pending("other") == 0


def test_call_of_a_process_that_is_gone_fails_at_once():
    """Guards against a wait of 1.3 s for an adviser that was killed."""
    links = _Links(1)
    links.peers["e1"].connection_refused = True
    with pytest.raises(exceptions.TransportError, match="not connected"):
        links.call("e1", "advise", None, 5)
    with pytest.raises(exceptions.TransportError, match="not connected"):
        links.call("e9", "advise", None, 5)


def test_call_ends_with_the_connection_that_carried_it():
    """Guards against calls that keep waiting for a restarted process."""
    links = _Links(2)
    lost = gevent.spawn(links.call, "e1", "advise", None, 3600)
    kept = gevent.spawn(links.call, "e2", "advise", None, 3600)
    gevent.sleep(0)
    links._fail_calls("e1")
    with pytest.raises(exceptions.TransportError, match="ended"):
        lost.get(timeout=20)
    assert not kept.ready()
    kept.kill()


def test_lost_and_regained_links_are_logged_once():
    """Guards against a log that shows a cut link like a slow one."""
    links = _Links(1)
    peer = links.peers["e1"]
    peer.connected = True
    links._dialler.note_link_down(peer, "reset")
    links._dialler.note_link_down(peer, "refused")
    assert links.log.counts["link_down"] == 1
    for _ in range(peers.QUEUE_LIMIT + 10):
        links.notify("e1", "job", b"")
    assert links.log.counts["link_stalled"] == 1


class _Leadership:
    """A leadership that is ready and reconciled, with one run."""

    ready = True

    def __init__(self, epoch):
        self.decider = types.SimpleNamespace(epoch=epoch, reconciled=True)
        self.stopped = False

    def stop(self):
        self.stopped = True

    def list_runs(self):
        return {"i-0": [("a.0.0.0", 1)]}


def test_leader_that_is_asked_for_a_hand_over_stops_deciding_first(node):
    """Guards against runs that start after the list was made."""
    term = node._leadership = _Leadership(3)
    node._election.claim = election.Claim(3, 1)
    assert node._handle_hand_over("e1", 3) == [{"i-0": [("a.0.0.0", 1)]}]
    assert term.stopped
    assert node._election.claim is None
    # Runs of another epoch are unknown to this leader.
    assert node._handle_hand_over("e1", 4) == []


def test_unsettled_leader_hands_nothing_over(node):
    """Guards against a list without the runs of an earlier leader."""
    node._leadership = _Leadership(3)
    node._leadership.decider.reconciled = False
    node._election.claim = election.Claim(3, 1)
    assert node._handle_hand_over("e1", 3) == []


def test_leader_reads_whom_it_can_ask_by_rows(node):
    """Guards against advice by rows that no leader asks for."""
    node._begin_leadership(election.Claim(3, 1))
    assert node._asker._asker._follower._greenlets
    node._end_leadership("")
    assert node._asker._asker is None
