"""Tests of entry processes beside clients that leave requests unfinished.

The processes are real ones on loopback addresses with lowered limits. Checked
is what does not depend on the machine's speed.
"""

import gevent
import pytest
from bench import processes

import client_crowd
import promise_system
import wire_platform

# Memory of the smallest VM of the users.
ENTRY_MEMORY_BYTES = 160_000_000
# Descriptors of the process, of which the crowd must leave some.
ENTRY_DESCRIPTORS_COUNT = 300
ENTRY_DESCRIPTORS_LEFT_COUNT = 50
# The settings file of the node states these.
NODE_MEMORY_MB = 96
NODE_DESCRIPTORS_COUNT = 300
NODE_LIMITS = (
    f"memory_mb = {NODE_MEMORY_MB}\nmax_fds = {NODE_DESCRIPTORS_COUNT}"
)
# Ends a test whose process doesn't answer at all.
ANSWER_LIMIT_S = 30.0


ENTRY = client_crowd.Address(
    "x", "Bearer secret-alpha", "/healthz", "/v1/requests", 900_000
)


class _Cluster(wire_platform.Cluster):
    """One entry process with little memory and few descriptors."""

    limits = NODE_LIMITS


@pytest.fixture(name="system")
def _system(tmp_path):
    system = promise_system.PromiseSystem(tmp_path, child=True)
    with client_crowd.limit_descriptors(ENTRY_DESCRIPTORS_COUNT):
        system.__enter__()
    try:
        system.wait_child_ready()
        yield system
    finally:
        system.__exit__()


@pytest.fixture(name="cluster")
def _cluster(tmp_path):
    cluster = _Cluster(tmp_path, entries=1)
    try:
        cluster.wait_ready()
        yield cluster
    finally:
        cluster.stop()


@pytest.mark.parametrize("make_data", client_crowd.CROWDS)
def test_entry_outlives_a_crowd(system, make_data):
    """Guards against clients that use up an entry's memory or descriptors."""
    address = system.addresses[promise_system.CHILD]
    crowd = client_crowd.Crowd(address, system.child.pid)
    crowd.send(make_data(ENTRY))
    answer = _retry(lambda: _submit(address), 200)
    crowd.measure()
    crowd.close()
    print(crowd.most_resident_bytes, crowd.most_descriptors, answer)
    assert system.child.alive()
    assert crowd.most_resident_bytes < ENTRY_MEMORY_BYTES
    assert crowd.most_descriptors <= (
        ENTRY_DESCRIPTORS_COUNT - ENTRY_DESCRIPTORS_LEFT_COUNT
    )
    assert answer == 200


@pytest.mark.parametrize("make_data", client_crowd.CROWDS)
def test_node_outlives_a_crowd(cluster, make_data):
    """Guards against clients that use up a node's memory or descriptors."""
    address = f"127.0.0.1:{cluster.ports[0][0]}"
    process = cluster.processes[0]
    crowd = client_crowd.Crowd(address, process.pid)
    crowd.send(make_data(client_crowd.NODE))
    answer = _retry(lambda: cluster.submit(0, "00000000000000e1"), 200)
    crowd.measure()
    crowd.close()
    print(crowd.most_resident_bytes, crowd.most_descriptors, answer)
    assert process.poll() is None
    assert crowd.most_resident_bytes < NODE_MEMORY_MB * 1_000_000
    assert crowd.most_descriptors <= NODE_DESCRIPTORS_COUNT
    assert answer == 200


def _submit(address):
    body = {"queue": "work", "payload": '{"run_ms": 10}', "wait": True}
    return processes.call(
        address, "POST", "/v1/requests", body, "secret-alpha", 5.0
    )[0]


def _retry(call, expected):
    """Returns the status of a call that is repeated as callers do."""
    status = 0
    with gevent.Timeout(ANSWER_LIMIT_S, False):
        while status != expected:
            try:
                status = call()
            except OSError:
                status = 0
            gevent.sleep(0.1)
    return status
