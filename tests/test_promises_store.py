"""Tests of the promises while the store fails or operators change things."""

import gevent
import pytest
from tests import promise_system

from quetzalswitch import configuration
from quetzalswitch import exceptions


@pytest.fixture(name="runs", scope="module")
def _runs(request, tmp_path_factory):
    folder = tmp_path_factory.mktemp("promises")
    runs = promise_system.Runs(request, folder)
    yield runs
    runs.stop()


def _submit_everywhere(system, count, pause_s=0.0, **fields):
    """Submits at all entries in turn; returns the request keys."""
    names = sorted(system.addresses)
    keys = []
    for index in range(count):
        keys.append(
            system.spawn(
                names[index % len(names)],
                **{"idempotent": index % 2 == 0, **fields},
            )
        )
        gevent.sleep(pause_s)
    return keys


def _racing_limits(folder):
    with promise_system.PromiseSystem(folder, limit=5) as system:
        _submit_everywhere(system, 60, run_ms=250)
        for limit in (3, 9, 2, 7):
            gevent.sleep(0.8)
            system.set_limit(limit)
        _submit_everywhere(system, 30, run_ms=250)
        system.settle()
        return system


def test_racing_limits(runs, request):
    """Guards against entries that together exceed a team's upper limit."""
    system = runs.join(request)
    assert system.violations() == []
    assert len(system.answers()) == 90


def _limit_with_slow_store(folder):
    with promise_system.PromiseSystem(folder, limit=3) as system:
        system.fault_store(answer_delay_ms=400, path="/v1/transact")
        for _ in range(4):
            _submit_everywhere(system, 9, run_ms=200, idempotent=True)
            gevent.sleep(1.5)
        system.settle()
        return system


def test_limit_with_slow_store(runs, request):
    """Guards against an allowance that two entries use while it moves."""
    system = runs.join(request)
    assert system.violations() == []
    assert len(system.answers()) == 36


def _failure_domain_out(folder):
    with promise_system.PromiseSystem(folder) as system:
        _submit_everywhere(system, 12, run_ms=600)
        system.take_out("domain-a")
        _submit_everywhere(system, 60, pause_s=0.16)
        system.settle()
        return system


def test_failure_domain_out(runs, request):
    """Guards against starts in a failure domain that was taken out."""
    system = runs.join(request)
    assert system.violations() == []
    assert len(system.answers()) == 72


def _pause_during_domain_removal(folder):
    with promise_system.PromiseSystem(
        folder, child=True, targets=3, slots=2
    ) as system:
        for index in range(24):
            system.spawn("e3", run_ms=700, idempotent=index % 2 == 0)
        gevent.sleep(0.5)
        remove = gevent.spawn_later(0.2, system.take_out, "domain-c")
        system.pause_child(3.0)
        remove.get()
        for _ in range(50):
            system.spawn("e1")
            gevent.sleep(0.16)
        system.settle()
        return system


def test_pause_during_domain_removal(runs, request):
    """Guards against an entry that misses the removal while it is paused."""
    system = runs.join(request)
    assert system.violations() == []


def _leaving_target(folder):
    with promise_system.PromiseSystem(folder) as system:
        system.set_leaving("t1")
        system.record("leaving", target_id="t1")
        _submit_everywhere(system, 60, pause_s=0.15)
        system.settle()
        return system


def test_leaving_target(runs, request):
    """Guards against new work on a target that is leaving."""
    system = runs.join(request)
    assert system.violations() == []
    assert len(system.answers()) == 60


def _withdrawn_key(folder):
    with promise_system.PromiseSystem(folder, child=True) as system:
        digest = configuration.digest_key("secret-short")
        system.operate(configuration.GrantKey("key-short", "alpha", digest))
        gevent.sleep(1.5)
        for name in system.addresses:
            system.spawn(name, key="secret-short")
        gevent.sleep(0.5)
        system.operate(configuration.WithdrawKey("key-short"))
        system.record("withdrawn", key_id="key-short")
        for _ in range(16):
            for name in system.addresses:
                system.spawn(name, key="secret-short")
            gevent.sleep(0.5)
        gevent.sleep(0.5)
        return system


def test_withdrawn_key(runs, request):
    """Guards against a key that works on after its withdrawal."""
    system = runs.join(request)
    refused = [e for e in system.events if e["event"] == "refused"]
    assert {v.promise for v in system.violations()} <= {"lost"}
    assert len(refused) >= 40
    accepted = [e for e in system.events if e["event"] == "accepted"]
    assert len(accepted) >= 3


def _store_outage(folder):
    with promise_system.PromiseSystem(folder) as system:
        _submit_everywhere(system, 6, run_ms=1500)
        gevent.sleep(0.3)
        outage = gevent.spawn(system.fault_store, 8.0, down="refuse")
        for _ in range(4):
            _submit_everywhere(system, 6)
            gevent.sleep(1.5)
        outage.get()
        _submit_everywhere(system, 6)
        system.settle()
        return system


def test_store_outage(runs, request):
    """Guards against an untrue "not run" while the store is down."""
    system = runs.join(request)
    assert system.violations() == []
    refused = [e for e in system.events if e["event"] == "refused"]
    assert any(event["run"] == "not_run" for event in refused)
    told = {event["request_key"] for event in refused}
    assert len(told | set(system.answers())) == 36


def _lost_store_answers(folder):
    with promise_system.PromiseSystem(folder, limit=6) as system:
        for lose_by in ("close", "hang"):
            system.fault_store(lose_probability=0.3, lose_by=lose_by)
            _submit_everywhere(system, 18, pause_s=0.1)
            gevent.sleep(1.0)
            with_conflict = configuration.PutTeam("beta", 1.0, 3)
            system.operate(with_conflict, timeout_s=30.0)
        system.fault_store()
        system.settle()
        return system


def test_lost_store_answers(runs, request):
    """Guards against a write that counts twice or not at all."""
    system = runs.join(request)
    assert system.violations() == []
    assert system.platform.counters["lost"] > 5


def _store_outage_and_entry_death(folder):
    with promise_system.PromiseSystem(folder, child=True) as system:
        for index in range(12):
            system.spawn("e3", run_ms=900, idempotent=index % 2 == 0)
        gevent.sleep(0.6)
        system.fault_store(down="refuse")
        gevent.sleep(0.3)
        system.kill_child()
        gevent.sleep(8.0)
        system.fault_store()
        system.settle()
        return system


def test_store_outage_and_entry_death(runs, request):
    """Guards against requests lost or doubled when both fail at once."""
    system = runs.join(request)
    assert system.violations() == []
    assert len(system.answers()) >= 10


def _rolling_replacement(folder):
    with promise_system.PromiseSystem(folder, child=True) as system:
        for name in ("e3", "e1", "e2"):
            keys = [
                system.spawn(name, run_ms=800, idempotent=index % 2 == 0)
                for index in range(6)
            ]
            system.wait_started(*keys)
            system.replace(name)
            gevent.sleep(1.0)
        system.settle()
        return system


def test_rolling_replacement(runs, request):
    """Guards against a planned stop that cuts off a request."""
    system = runs.join(request)
    assert system.violations() == []
    assert len(system.answers()) == 18


def _replacement_during_store_outage(folder):
    with promise_system.PromiseSystem(folder, child=True) as system:
        keys = [
            system.spawn("e3", run_ms=2500, idempotent=index % 2 == 0)
            for index in range(6)
        ]
        system.wait_started(*keys)
        outage = gevent.spawn(system.fault_store, 6.0, down="refuse")
        gevent.sleep(0.2)
        system.replace("e3")
        outage.get()
        system.settle()
        return system


def test_replacement_during_store_outage(runs, request):
    """Guards against a planned stop that does not wait for the store."""
    system = runs.join(request)
    assert system.violations() == []
    assert len(system.answers()) == 6


def _conflicting_operators(folder):
    with promise_system.PromiseSystem(folder, child=True) as system:
        outcomes = []

        def put(process, number):
            version = process.operation.configuration().version
            change = configuration.PutTeam(f"team{number}", 1.0, number)
            try:
                made = process.operation.submit_change(version, change)
            except exceptions.RequestError as error:
                outcomes.append(error.kind)
                return
            outcomes.append("accepted")
            system.record("accepted_version", version=made)

        for number in range(10):
            writers = [
                gevent.spawn(put, process, number * 2 + index)
                for index, process in enumerate(system.entries.values())
            ]
            gevent.joinall(writers)
            if number == 4:
                system.kill_child()
                system.start_child()
                # Changes are refused until all entries hear the new one.
                gevent.sleep(8.0)
        # Until every entry must have the last version.
        gevent.sleep(14.0)
        return system, outcomes


def test_conflicting_operators(runs, request):
    """Guards against two winners and against versions that revert."""
    system, outcomes = runs.join(request)
    assert system.violations() == []
    versions = [
        event["version"]
        for event in system.events
        if event["event"] == "accepted_version"
    ]
    assert len(versions) == len(set(versions))
    assert outcomes.count("accepted") >= 6
    assert exceptions.ErrorKind.VERSION_CONFLICT in outcomes
