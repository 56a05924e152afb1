"""Tests of the promises while entries die and pause and answers are lost."""

import gevent
import pytest
from tests import promise_system


@pytest.fixture(name="runs", scope="module")
def _runs(request, tmp_path_factory):
    folder = tmp_path_factory.mktemp("promises")
    runs = promise_system.Runs(request, folder)
    yield runs
    runs.stop()


def _submit_mixture(system, entry, count, run_ms=400):
    """Submits requests of all kinds of care; returns their keys."""
    return [
        system.spawn(
            entry,
            run_ms=run_ms + 50 * index,
            idempotent=index % 2 == 0,
            wait=index % 4 < 2,
        )
        for index in range(count)
    ]


def _entry_death(folder):
    with promise_system.PromiseSystem(folder, child=True) as system:
        keys = _submit_mixture(system, "e3", 16)
        system.wait_started(*keys[:4])
        system.kill_child()
        system.settle()
        return system


def test_entry_death(runs, request):
    """Guards against a request lost or doubled when its entry dies."""
    system = runs.join(request)
    assert system.violations() == []
    assert any(event["event"] == "cut" for event in system.events)
    assert len(system.answers()) >= 8


def _entry_pause(folder):
    with promise_system.PromiseSystem(folder, child=True) as system:
        keys = _submit_mixture(system, "e3", 16, run_ms=1000)
        system.wait_started(*keys[:2])
        system.pause_child(9.0)
        for index in range(6):
            system.spawn("e1", idempotent=index % 2 == 0)
        gevent.sleep(2.0)
        system.settle()
        return system, system.child.exit_code()


def test_entry_pause(runs, request):
    """Guards against an entry that goes on with old rights after a pause."""
    system, exit_code = runs.join(request)
    assert system.violations() == []
    assert exit_code == 75
    assert len(system.answers()) >= 6


def _entry_pause_with_full_queue(folder):
    with promise_system.PromiseSystem(
        folder, child=True, targets=3, slots=2
    ) as system:
        _submit_mixture(system, "e3", 30, run_ms=500)
        gevent.sleep(0.8)
        system.pause_child(5.0)
        system.settle()
        return system


def test_entry_pause_with_full_queue(runs, request):
    """Guards against starts from a queue that others have taken over."""
    system = runs.join(request)
    assert system.violations() == []
    assert len(system.answers()) >= 15


def _lost_start_answers(folder):
    with promise_system.PromiseSystem(folder) as system:
        system.fault_targets(lose_next=2, lose_by="close", path="/v1/starts")
        _submit_mixture(system, "e1", 12)
        gevent.sleep(1.0)
        system.fault_targets(lose_next=2, lose_by="hang", path="/v1/starts")
        _submit_mixture(system, "e2", 12)
        system.settle()
        lost = sum(
            target.server.injector.counters["lost"]
            for target in system.targets.values()
        )
        return system, lost


def test_lost_start_answers(runs, request):
    """Guards against a second start when a start's answer is lost."""
    system, lost = runs.join(request)
    assert system.violations() == []
    assert lost >= 2
    assert len(system.answers()) == 24


def _late_copies_of_starts(folder):
    with promise_system.PromiseSystem(folder) as system:
        system.fault_targets(delay_ms=3500, delay_next=3, path="/v1/starts")
        _submit_mixture(system, "e1", 10)
        system.settle()
        # Until the delayed copies have reached the targets.
        gevent.sleep(2.0)
        return system


def test_late_copies_of_starts(runs, request):
    """Guards against a delayed start that takes effect after its retry."""
    system = runs.join(request)
    assert system.violations() == []
    assert len(system.answers()) == 10


def _target_restart(folder):
    with promise_system.PromiseSystem(folder) as system:
        keys = _submit_mixture(system, "e1", 12, run_ms=1500)
        system.wait_started(*keys)
        for target in system.targets.values():
            target.machine.boot()
        system.settle()
        return system


def test_target_restart(runs, request):
    """Guards against a non-idempotent request that runs again."""
    system = runs.join(request)
    assert system.violations() == []
    states = {answer["state"] for answer in system.answers().values()}
    assert states == {"done", "unknown"}


def _target_pause(folder):
    with promise_system.PromiseSystem(folder) as system:
        keys = _submit_mixture(system, "e1", 8, run_ms=1500)
        system.wait_started(*keys)
        system.targets["t1"].machine.pause(13.0)
        system.settle()
        gevent.sleep(1.0)
        return system


def test_target_pause(runs, request):
    """Guards against a task that still runs when its successor starts."""
    system = runs.join(request)
    assert system.violations() == []
    assert len(system.answers()) == 8


def _silent_connections(folder):
    with promise_system.PromiseSystem(folder) as system:
        for _ in range(3):
            _submit_mixture(system, "e1", 6)
            gevent.sleep(0.1)
            system.fault_targets(silence_open=True)
            system.fault_store(silence_open=True)
            gevent.sleep(2.5)
        system.settle()
        return system


def test_silent_connections(runs, request):
    """Guards against work that waits for ever on a silent connection."""
    system = runs.join(request)
    assert system.violations() == []
    assert len(system.answers()) == 18


def _forwarded_requests_end(folder):
    with promise_system.PromiseSystem(folder, entries=2, targets=1) as system:
        for name in system.entries:
            for _ in range(3):
                system.spawn(name, run_ms=100)
        system.settle()
        gevent.sleep(3.0)
        idle = [p.placer.idle() for p in system.entries.values()]
        return system, idle


def test_forwarded_requests_end(runs, request):
    """Guards against a planned stop that waits for finished requests.

    A placer that keeps a forwarded request after its end is never idle, so
    that each planned stop lasts until the drain timeout.
    """
    system, idle = runs.join(request)
    assert system.violations() == []
    assert len(system.answers()) == 6
    assert idle == [True, True]
