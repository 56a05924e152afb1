"""Tests of the promises while entries are cut off and targets are at fault."""

import contextlib

import gevent
import pytest
from tests import promise_system

from quetzalswitch.standins import target as standin


@pytest.fixture(name="runs", scope="module")
def _runs(request, tmp_path_factory):
    folder = tmp_path_factory.mktemp("network")
    runs = promise_system.Runs(request, folder)
    yield runs
    runs.stop()


@contextlib.contextmanager
def _cut(system, deaf, silent=()):
    """Drops messages to the `deaf` entries and those from `silent` ones."""
    receive = {}
    for name, process in system.entries.items():
        receive[name] = process.mesh._on_envelope

        def drop(envelope, name=name):
            if name not in deaf and envelope.sender not in silent:
                receive[name](envelope)

        process.mesh._on_envelope = drop
    yield
    for name, process in system.entries.items():
        process.mesh._on_envelope = receive[name]


def _submit_everywhere(system, count, **fields):
    return [
        system.spawn(
            f"e{index % 3 + 1}",
            run_ms=300 + 40 * index,
            idempotent=index % 2 == 0,
            wait=index % 4 < 2,
            tries=promise_system.TRIES,
            **fields,
        )
        for index in range(count)
    ]


def _partition(folder):
    with promise_system.PromiseSystem(folder) as system:
        _submit_everywhere(system, 9)
        with _cut(system, deaf={"e1"}, silent={"e1"}):
            gevent.sleep(3.0)
            _submit_everywhere(system, 9)
            gevent.sleep(6.0)
        _submit_everywhere(system, 6)
        system.settle()
        return system


def test_partition(runs, request):
    """Guards against two entries that both act for a request when cut off."""
    system = runs.join(request)
    assert system.violations() == []
    assert len(system.answers()) >= 20


def _one_way_cut(folder):
    with promise_system.PromiseSystem(folder) as system:
        _submit_everywhere(system, 9)
        with _cut(system, deaf={"e2"}):
            gevent.sleep(3.0)
            _submit_everywhere(system, 9)
            gevent.sleep(6.0)
        system.settle()
        return system


def test_one_way_cut(runs, request):
    """Guards against an entry that is heard but hears nobody."""
    system = runs.join(request)
    assert system.violations() == []
    assert len(system.answers()) >= 14


def _partition_in_store_outage(folder):
    with promise_system.PromiseSystem(folder) as system:
        system.fault_store(down="error")
        with _cut(system, deaf={"e1"}, silent={"e1"}):
            gevent.sleep(8.0)
            fresh = [p.is_fresh() for p in system.entries.values()]
            system.spawn("e1", request_id="late", wait=True)
            gevent.sleep(0.5)
        system.fault_store()
        system.settle()
        return system, fresh


def test_partition_in_store_outage(runs, request):
    """Guards against starts while the other side may change what is allowed.

    Neither side can tell whether the other one reaches the table.
    """
    system, fresh = runs.join(request)
    assert fresh == [False, False, False]
    assert system.violations() == []


def _failing_target(folder):
    with promise_system.PromiseSystem(folder) as system:
        system.targets["t1"].app.set_faults(standin.TargetFaults(fail_all=True))
        for index in range(30):
            system.spawn(f"e{index % 3 + 1}", run_ms=60, wait=True)
            gevent.sleep(0.1)
        system.settle()
        return system


def test_failing_target(runs, request):
    """Guards against good jobs that fail because of one bad target."""
    system = runs.join(request)
    assert system.violations() == []
    states = [answer["state"] for answer in system.answers().values()]
    assert states.count("done") >= 27
