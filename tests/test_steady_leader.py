"""Tests that a leader is not replaced because processes are slow."""

import types

import pytest

import witness_stub
from quetzalswitch import clock as clocks
from quetzalswitch import nodelog
from quetzalswitch.peers import frames
from quetzalswitch.peers import links as peer_links
from quetzalswitch.peers import peer as peers
from quetzalswitch.recovery import election
from quetzalswitch.recovery import leader_rows
from quetzalswitch.recovery import monitor
from quetzalswitch.recovery import renewals

LEADER = "e9"
EPOCH = 3


def _make_heartbeat(name, **fields):
    values = {
        "name": name,
        "lifetime": "1",
        "epoch": EPOCH,
        "leading": name == LEADER,
        "store_ok": True,
        "leaving": False,
        "pending": None,
        "version": 1,
        "resigned": 0,
        "power": 1.0,
    }
    return peers.Heartbeat(**{**values, **fields})


class _Harness:
    """An election among a leader and four followers, without sockets.

    Attributes:
        store: Answers probes here as set by the test.
        store_answers_peers: Whether it answers those of the peers.
    """

    def __init__(self):
        self.clock = clocks.ManualClock()
        log = nodelog.NodeLog(self.clock)
        self.links = peer_links.Links(
            "e0", "127.0.0.1", 0, self.clock, log, lambda: _make_heartbeat("e0")
        )
        self.store_answers_peers = True
        self.links.call = lambda *arguments: self.store_answers_peers
        for name in ("e1", "e2", "e3", LEADER):
            peer = self.links.peers[name] = peers.Peer(name, "127.0.0.1:1")
            peer.chosen_s = 0.0
        self.store = types.SimpleNamespace(
            healthy=True,
            pending_age_s=0.0,
            answer_age_s=0.0,
            latency_s=0.0,
            probe=lambda *arguments: self.store.healthy,
        )
        self.lost = []
        self.election = election.Election(
            "e0",
            "2",
            self.store,
            self.links,
            self.clock,
            log,
            1.0,
            lambda claim: None,
            self.lost.append,
        )
        self.witness = witness_stub.Witness()
        self.election._monitor._witness = self.witness
        self.clock.advance(1.0)
        self.links.set_leader = lambda name: None
        self.receive(LEADER)
        self.elect(EPOCH)

    def elect(self, epoch, name=LEADER):
        """Makes another epoch known."""
        row = leader_rows.LeaderRow(epoch, name, "1")
        self.election._set_leader(row)

    def receive(self, name, hears_leader=True, **fields):
        """Receives a heartbeat of a peer."""
        heartbeat = _make_heartbeat(name, **fields)
        frame = ("b", heartbeat, True, True, hears_leader)
        self.links._receive("", frames.encode(frame)[frames.HEADER.size :])

    def is_replaced_after(self, seconds, hearing=()):
        """Returns whether a leader that is silent so long is replaced.

        Args:
            seconds: How long it is silent.
            hearing: The peers that still hear it; the others don't.
        """
        self.clock.advance(seconds)
        for name in ("e1", "e2", "e3"):
            self.receive(name, hears_leader=name in hearing)
        return self.election._find_replacement_reason() is not None


@pytest.fixture(name="harness")
def _harness():
    return _Harness()


def test_leader_that_most_peers_hear_is_not_replaced(harness):
    """Guards against one slow process that ends each epoch.

    In the users' run with 39 entries, five epochs followed at intervals of a
    second; single entries had not heard the leader in time.
    """
    assert not harness.is_replaced_after(2.0, hearing=("e1", "e2"))
    assert harness.is_replaced_after(0.0, hearing=("e1",))


def test_leader_that_nobody_hears_is_replaced(harness):
    """Guards against a dead leader that nobody replaces."""
    assert not harness.is_replaced_after(0.5)
    assert harness.is_replaced_after(0.5)


def test_only_what_peers_say_of_this_epoch_counts(harness):
    """Guards against peers that hear the leader of an earlier epoch."""
    harness.clock.advance(2.0)
    for name in ("e1", "e2", "e3"):
        harness.receive(name, hears_leader=True, epoch=EPOCH - 1)
    assert harness.election._find_replacement_reason() is not None


def test_process_that_refuses_connections_is_replaced_at_once(harness):
    """Guards against a wait for peers that have not noticed the death yet."""
    harness.links.peers[LEADER].connection_refused = True
    assert harness.is_replaced_after(0.0, hearing=("e1", "e2", "e3"))


def test_frequent_changes_make_processes_more_patient(harness):
    """Guards against takeovers that follow each other where all are slow.

    Beside 24 busy processes, 39 entries had 13 epochs in 40 s, and accepted
    submissions were never run.
    """
    for epoch in (4, 5):
        harness.elect(epoch)
        harness.receive(LEADER, epoch=epoch)
    assert not harness.is_replaced_after(2.0)
    harness.receive(LEADER, epoch=5)
    harness.clock.advance(election.PATIENCE_WINDOW_S)
    harness.receive(LEADER, epoch=5)
    assert harness.is_replaced_after(1.0)


def test_patience_is_limited(harness):
    """Guards against a system without a leader after many changes."""
    for epoch in range(4, 20):
        harness.elect(epoch)
        harness.receive(LEADER, epoch=epoch)
    limit_s = election.MAX_PATIENCE * monitor.NEW_LEADER_TIMEOUT_S
    assert harness.is_replaced_after(limit_s)


def test_leader_resigns_only_after_several_late_answers(harness):
    """Guards against a resignation because of one late answer of the store."""
    harness.election.claim = election.Claim(EPOCH, 1)
    harness.store.healthy = False
    for _ in range(election.LOST_CHECKS_COUNT - 1):
        harness.election._check_own_epoch()
    harness.store.healthy = True
    harness.election._check_own_epoch()
    harness.store.healthy = False
    for _ in range(election.LOST_CHECKS_COUNT - 1):
        harness.election._check_own_epoch()
    assert harness.lost == []
    harness.election._check_own_epoch()
    assert len(harness.lost) == 1


def test_checks_without_an_answer_to_peers_do_not_count(harness):
    """Guards against a resignation while the store is slow for all."""
    harness.election.claim = election.Claim(EPOCH, 1)
    harness.store.healthy = False
    for _ in range(3 * election.LOST_CHECKS_COUNT):
        harness.store_answers_peers = not harness.store_answers_peers
        harness.election._check_own_epoch()
    assert harness.lost == []


class TestLeaderThatRenews:
    """A leader that no entry hears and that is at work, as the store tells."""

    @pytest.fixture(autouse=True)
    def _let_it_renew(self, harness):
        harness.witness.verdict = renewals.Verdict.RENEWED

    def silence_all(self, harness, seconds):
        """Returns whether the leader is replaced after all links are silent."""
        harness.clock.advance(seconds)
        return harness.election._find_replacement_reason() is not None

    def test_it_stays_while_no_link_works(self, harness):
        """Guards against takeovers that follow each other on silent links.

        On the users' machines an epoch began every 4.02 s, no leader was ever
        heard, and accepted submissions were not run.
        """
        for _ in range(10):
            assert not self.silence_all(harness, 10.0)

    def test_it_stays_while_all_connections_are_refused(self, harness):
        """Guards against takeovers where a firewall rejects connections."""
        for peer in harness.links.peers.values():
            peer.connection_refused = True
        assert not self.silence_all(harness, 60.0)

    def test_it_goes_if_others_can_be_heard(self, harness):
        """Guards against a leader that alone has lost its links."""
        assert not harness.is_replaced_after(monitor.UNHEARD_LIMIT_S - 0.1)
        assert harness.is_replaced_after(0.2)

    def test_it_stays_if_others_do_not_hear_this_process(self, harness):
        """Guards against a takeover by a process that nobody hears either."""
        harness.clock.advance(60.0)
        for name in ("e1", "e2", "e3"):
            harness.receive(name, hears_leader=False)
            harness.links.peers[name].receives_from_us = False
        assert harness.election._find_replacement_reason() is None

    def test_it_stays_on_the_other_side_of_a_partition(self, harness):
        """Guards against two halves that take the epoch from each other.

        This half took part in no heartbeat of the leader's epoch.
        """
        for silent in ("silent", "refusing"):
            harness.clock.advance(1.0)
            harness.elect(harness.election.leader.epoch + 1)
            for name in ("e3", LEADER):
                refuses = silent == "refusing"
                harness.links.peers[name].connection_refused = refuses
            for _ in range(20):
                harness.clock.advance(1.0)
                for name in ("e1", "e2"):
                    harness.receive(name, hears_leader=False)
                if silent == "refusing":
                    harness.links.peers["e2"].connection_refused = True
                reason = harness.election._find_replacement_reason()
                assert reason is None, silent

    def test_it_goes_if_it_alone_was_never_heard(self, harness):
        """Guards against a new leader whose links never work."""
        harness.clock.advance(1.0)
        harness.elect(EPOCH + 1)
        harness.clock.advance(10.0)
        assert harness.is_replaced_after(0.0)

    def test_one_that_others_hear_stays_though_it_refuses(self, harness):
        """Guards against a pair of VMs that take the epoch in turn."""
        harness.clock.advance(1.0)
        harness.elect(EPOCH + 1)
        harness.links.peers[LEADER].connection_refused = True
        for _ in range(30):
            harness.clock.advance(1.0)
            for name in ("e1", "e2", "e3"):
                harness.receive(name, hears_leader=True, epoch=EPOCH + 1)
            assert harness.election._find_replacement_reason() is None

    def test_one_that_refuses_connections_goes_at_once(self, harness):
        """Guards against a wait of 0.6 s after each death of a leader."""
        harness.links.peers[LEADER].connection_refused = True
        assert harness.is_replaced_after(0.0)


def test_leader_is_not_replaced_before_the_store_is_asked(harness):
    """Guards against a takeover because of a single channel that failed."""
    harness.witness.verdict = renewals.Verdict.UNKNOWN
    assert not harness.is_replaced_after(10.0)
    harness.witness.verdict = renewals.Verdict.NOT_RENEWED
    assert harness.is_replaced_after(0.0)
