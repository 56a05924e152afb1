"""Tests of what the log and the metrics tell of links between entries."""

import types

import gevent
import pytest

from quetzalswitch import clock as clocks
from quetzalswitch import nodelog
from quetzalswitch.peers import links as peer_links
from quetzalswitch.peers import peer as peers


def make_heartbeat(name):
    return peers.Heartbeat(
        name=name,
        lifetime="1",
        epoch=3,
        leading=False,
        store_ok=True,
        leaving=False,
        pending=None,
        version=1,
        resigned=0,
        power=1.0,
    )


@pytest.fixture(name="harness")
def _harness():
    clock = clocks.ManualClock()
    log = nodelog.NodeLog(clock)
    links = peer_links.Links(
        "e0", "127.0.0.1", 0, clock, log, lambda: make_heartbeat("e0")
    )
    peer = links.peers["e1"] = peers.Peer("e1", "127.0.0.1:1")
    peer.greenlet = gevent.Greenlet()
    peer.connected = True

    def hear(receives_from_us=True):
        peer.heartbeat = make_heartbeat("e1")
        peer.received_s = clock.now()
        peer.receives_from_us = receives_from_us

    def count_lines():
        links._log_unheard(peer, clock.now())
        return log.counts["link_unheard"]

    return types.SimpleNamespace(
        clock=clock, links=links, peer=peer, hear=hear, count_lines=count_lines
    )


def test_open_link_that_delivers_nothing_is_logged_once(harness):
    """Guards against a log in which silent links leave no trace."""
    harness.hear()
    assert harness.count_lines() == 0
    harness.clock.advance(5.0)
    assert harness.count_lines() == 1
    assert harness.count_lines() == 1
    harness.links._dialler._note_link_up(harness.peer)
    assert harness.links._log.counts["link_up"] == 0
    harness.clock.advance(5.0)
    harness.hear()
    assert harness.count_lines() == 1
    assert harness.links._log.counts["link_heard"] == 1
    harness.hear(receives_from_us=False)
    assert harness.count_lines() == 2


def test_connections_that_fail_from_the_start_are_logged_once(harness):
    """Guards against links that never work and leave no trace."""
    harness.peer.connected = False
    for _ in range(3):
        harness.links._dialler._note_failure(harness.peer, OSError("no route"))
    assert harness.links._log.counts["link_failed"] == 1


def test_metrics_tell_silent_links_from_refused_and_failed_ones(harness):
    """Guards against one count for links that fail in different ways."""
    harness.hear()
    assert harness.links.count_states()["working"] == 1
    harness.hear(receives_from_us=False)
    assert harness.links.count_states()["one_way"] == 1
    harness.clock.advance(5.0)
    assert harness.links.count_states()["unheard"] == 1
    harness.peer.connected = False
    assert harness.links.count_states()["failed"] == 1
    harness.peer.connection_refused = True
    assert harness.links.count_states()["refused"] == 1
