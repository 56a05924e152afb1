"""Tests of the mesh of entry processes, over loopback."""

import gevent
import pynng
import pytest

from quetzalswitch import clock as clocks
from quetzalswitch.peers import mesh
from quetzalswitch.peers import protocol

WAIT_S = 20.0


def make_heartbeat(sequence, heard=0):
    return protocol.Heartbeat(
        sequence, heard, "", 1, None, False, [], 0, 0, [], [], None, False
    )


def wait_for(condition):
    with gevent.Timeout(WAIT_S):
        while not condition():
            gevent.sleep(0.01)


class RecordingMesh:
    """A mesh that records what it receives."""

    def __init__(self, clock, name):
        self.received = []
        self.mesh = mesh.Mesh(
            clock, name, f"{name}-1", "127.0.0.1:0", self.received.append
        )
        self.mesh.start()


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def pair(clock):
    nodes = RecordingMesh(clock, "a"), RecordingMesh(clock, "b")
    nodes[0].mesh.set_peer("b", nodes[1].mesh.address)
    nodes[1].mesh.set_peer("a", nodes[0].mesh.address)
    yield nodes
    for node in nodes:
        node.mesh.stop()


def test_messages_arrive_in_order_and_are_counted(pair):
    """Guards against lost or reordered messages on a healthy link."""
    a, b = pair
    sent = [protocol.ConfigurationNotice(n) for n in range(200)]
    results = [a.mesh.send("b", message) for message in sent]
    assert all(results)
    wait_for(lambda: len(b.received) == len(sent))
    assert [envelope.message for envelope in b.received] == sent
    assert b.received[0][:2] == ("a", "a-1")
    count = a.mesh.counts["ConfigurationNotice", "sent"]
    assert count == b.mesh.counts["ConfigurationNotice", "received"]
    assert count.messages == len(sent)


def test_sending_to_an_unreachable_peer_never_blocks(pair):
    """Guards against a dead peer that blocks senders or fills memory."""
    a, b = pair
    b.mesh.stop()
    notice = protocol.ConfigurationNotice(1)
    results = [a.mesh.send("b", notice) for _ in range(mesh.QUEUE_LIMIT + 9)]
    assert results.count(False) == 9
    assert a.mesh.counts["ConfigurationNotice", "dropped"].messages == 9
    assert not a.mesh.send("b", make_heartbeat(1))
    assert not a.mesh.send("nobody", notice)


def test_unreadable_message_does_not_end_the_task(pair):
    """Guards against a damaged message that ends the receiving task."""
    a, b = pair
    with pynng.Push0(dial=f"tcp://{b.mesh.address}") as raw_socket:
        raw_socket.send(b"\xc1")
        wait_for(lambda: b.mesh.counts["unreadable", "received"].messages)
    a.mesh.send("b", protocol.ConfigurationNotice(1))
    wait_for(lambda: b.received)


def test_link_without_acknowledgement_is_dialled_again(pair, clock):
    """Guards against the further use of a connection that delivers nothing."""
    a, b = pair
    a.mesh.send("b", make_heartbeat(7))
    wait_for(lambda: b.received)
    b.mesh.send("a", make_heartbeat(1, heard=7))
    wait_for(lambda: a.received)
    clock.advance(mesh.ACKNOWLEDGE_TIMEOUT_S + 1)
    gevent.sleep(3 * mesh.CHECK_INTERVAL_S)
    assert a.mesh.dials("b") == 1
    a.mesh.send("b", make_heartbeat(8))
    wait_for(lambda: len(b.received) == 2)
    b.mesh.send("a", make_heartbeat(2, heard=7))
    wait_for(lambda: len(a.received) == 2)
    clock.advance(mesh.ACKNOWLEDGE_TIMEOUT_S + 1)
    wait_for(lambda: a.mesh.dials("b") == 2)
    a.mesh.send("b", make_heartbeat(9))
    wait_for(lambda: len(b.received) == 3)


def test_old_connection_is_replaced_without_losing_messages(pair, clock):
    """Guards against messages lost when a connection reaches its age limit."""
    a, b = pair
    wait_for(lambda: a.mesh.dials("b") == 1)
    for n in range(5):
        a.mesh.send("b", protocol.ConfigurationNotice(n))
        gevent.sleep(0)
        clock.advance(mesh.MAX_AGE_S + 1)
        wait_for(lambda n=n: a.mesh.dials("b") >= n + 2)
    wait_for(lambda: len(b.received) == 5)


def test_abandoned_incoming_connection_is_closed(pair, clock):
    """Guards against a leak of connections whose dialler is gone."""
    _, b = pair
    raw_socket = pynng.Push0(dial=f"tcp://{b.mesh.address}")
    closed = []
    raw_socket.add_post_pipe_remove_cb(closed.append)
    for _ in range(2):
        clock.advance(mesh.MAX_INCOMING_AGE_S + 1)
        checked = b.mesh._incoming_checked_s
        wait_for(lambda c=checked: b.mesh._incoming_checked_s != c)
    wait_for(lambda: closed)
    raw_socket.close()


def test_replaced_peer_is_reached_at_its_new_address(pair, clock):
    """Guards against a link that keeps dialling a replaced VM's address."""
    a, b = pair
    b.mesh.stop()
    successor = RecordingMesh(clock, "b")
    a.mesh.set_peer("b", successor.mesh.address)
    a.mesh.send("b", protocol.ConfigurationNotice(1))
    wait_for(lambda: successor.received)
    successor.mesh.stop()
