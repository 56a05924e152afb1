"""Tests that switch a mechanism off and expect the history check to fail.

Each scenario runs twice: as built, where no promise is broken, and with one
mechanism replaced at the objects of its own system.
"""

import functools

import gevent
import msgspec
import pytest
from tests import promise_system
from tests import test_standin_target

from quetzalswitch import configuration
from quetzalswitch import events
from quetzalswitch import exceptions
from quetzalswitch import history


@pytest.fixture(name="runs", scope="module")
def _runs(request, tmp_path_factory):
    folder = tmp_path_factory.mktemp("broken")
    runs = promise_system.Runs(request, folder, SCENARIOS)
    yield runs
    runs.stop()


def _start(bench, claim, attempt, not_after_ms):
    body = test_standin_target.make_start(attempt, not_after_ms)
    body["request_key"] = "alpha/r1"
    starts = {"all_or_none": False, "starts": [body]}
    position = {"epoch": claim["epoch"], "boot_id": claim["boot_id"]}
    try:
        bench.machine.start({**position, **starts})
    except exceptions.StaleEpochError:
        return


def _find_broken(*benches, recorded=()):
    found = list(recorded)
    for bench in benches:
        found += bench.history
        bench.machine.shut_down()
    return {v.promise for v in history.check(history.order(found))}


@pytest.mark.parametrize("off", [False, True])
def test_epoch_check(off):
    """Guards against a start of an earlier holder that arrives late.

    The holder sends a start and gives the target back; the next holder finds
    nothing there and starts the request elsewhere.
    """
    first = test_standin_target.MachineHarness(target_id="t1")
    second = test_standin_target.MachineHarness(target_id="t2")
    if off:
        first.machine._check_epoch = lambda epoch, boot_id: None
    claim = first.claim("a-1")
    first.machine.release(
        {"epoch": claim["epoch"], "boot_id": claim["boot_id"]}
    )
    assert first.claim("b-1")["running"] == []
    _start(second, second.claim("b-1"), "a2", 10**6)
    _start(first, claim, "a1", claim["clock_ms"] + 2000)
    submitted = {
        "wall_ms": 0,
        "event": "submitted",
        "request_key": "alpha/r1",
        "idempotent": False,
        "expected": "",
    }
    broken = _find_broken(first, second, recorded=[submitted])
    assert broken == ({"P2", "P8"} if off else set())


@pytest.mark.parametrize("off", [False, True])
def test_not_after(off):
    """Guards against a start that the network delays beyond a removal."""
    bench = test_standin_target.MachineHarness(
        target_id="t1", failure_domain="a"
    )
    if off:
        bench.machine._clock_ms = lambda: 0
    claim = bench.claim("a-1")
    removed_ms = int(bench.clock.wall() * 1000)
    for _ in range(8):
        bench.run(1.0)
        bench.sync(claim)
    _start(bench, claim, "a1", claim["clock_ms"] + 2000)
    out = {"wall_ms": removed_ms, "event": "out", "failure_domain": "a"}
    broken = _find_broken(bench, recorded=[out])
    assert broken == ({"P5"} if off else set())


def _allowance_lowering(off, folder):
    with promise_system.PromiseSystem(folder, entries=2, limit=3) as system:
        for process in system.entries.values():
            # The entries keep their requests, so that they compete.
            process.placer._forwarder.review = lambda: None
            if off:
                process.ledger.lower = lambda team, count: None
        first, second = system.entries.values()
        _submit_now(first, 3, 100)
        with gevent.Timeout(10.0):
            while _read_portion(system, first) < 3:
                gevent.sleep(0.02)
        system.fault_store(answer_delay_ms=900, path="/v1/transact")
        _submit_now(second, 9, 1500)
        with gevent.Timeout(15.0):
            while _read_portion(system, first):
                gevent.sleep(0.02)
        # The first entry has given its portion back but has no answer yet.
        _submit_now(first, 3, 6000)
        gevent.sleep(4.0)
        return system.broken()


def _submit_now(process, count, run_ms):
    """Submits requests without a record in the store."""
    payload = f'{{"run_ms": {run_ms}}}'
    submission = {"queue": "work", "payload": payload, "wait": True}
    for _ in range(count):
        process.service.submit(submission, "secret-alpha", "")


def _read_portion(system, process):
    """Returns what an entry holds of alpha's limit in the store."""
    row = system.platform.app.table.read("allowance/alpha")
    value = msgspec.json.decode(row.value) or {"holders": {}}
    return value["holders"].get(process.incarnation, 0)


def _start_record(off, folder):
    with promise_system.PromiseSystem(folder) as system:
        victim = system.entries["e3"]
        if off:
            victim.placer._around = victim.placer._around._replace(
                to_home=functools.partial(_skip_record, victim)
            )
        # Until no target changes hands: its new holder would know the attempt.
        gevent.sleep(3.0)
        keys = [
            system.spawn("e3", run_ms=20_000, idempotent=False)
            for _ in range(3)
        ]
        system.wait_started(*keys)
        system.entries.pop("e3").stop()
        for target in system.targets.values():
            target.machine.boot()
        system.settle(timeout_s=25.0)
        return system.broken()


def _skip_record(process, message):
    if isinstance(message, events.RecordStart):
        message = events.StartRecorded(
            message.request_key, message.attempts, message.holder, True
        )
        process.placer.post(message)
    else:
        process.home.post(message)


def _hold_after_death(off, folder):
    with promise_system.PromiseSystem(folder) as system:
        for process in system.entries.values():
            if off:
                process.home._hold = functools.partial(
                    _clear_at_once, process.home
                )
        keys = [system.spawn("e3", run_ms=14_000) for _ in range(3)]
        system.wait_started(*keys)
        system.entries.pop("e3").stop()
        system.settle(timeout_s=25.0)
        return system.broken()


def _clear_at_once(home, entry, suspect):
    entry.held = True
    home.post(events.Cleared(entry.request.key))


def _key_check(off, folder):
    with promise_system.PromiseSystem(folder) as system:
        digest = configuration.digest_key("secret-short")
        system.operate(configuration.GrantKey("key-short", "alpha", digest))
        for process in system.entries.values():
            if off:
                process.service._find_team = lambda authorization: "alpha"
        system.operate(configuration.WithdrawKey("key-short"))
        system.record("withdrawn", key_id="key-short")
        gevent.sleep(history.IN_FORCE_MS / 1000 + 0.5)
        system.spawn("e1", key="secret-short")
        system.settle(timeout_s=3.0)
        return system.broken()


def _version_check(off, folder):
    with promise_system.PromiseSystem(folder, targets=3) as system:
        process = system.entries["e1"]
        placer = process.placer
        post = placer.post

        def post_late(message):
            if isinstance(message, events.StartRecorded):
                gevent.spawn_later(8.0, post, message)
            else:
                post(message)

        # The record of the start takes long, as with a slow store.
        process.home._to_placer = post_late
        if off:
            send = placer._send

            def send_unchecked(placement):
                placement.version = placer._configuration.version
                send(placement)

            placer._send = send_unchecked
        key = system.spawn("e1", idempotent=False)
        with gevent.Timeout(5.0):
            while not getattr(placer._placements.get(key), "attempts", None):
                gevent.sleep(0.02)
        attempt = next(iter(placer._placements[key].attempts.values()))
        target = system.targets[attempt.target_id]
        system.take_out(target.machine.options.failure_domain)
        system.settle(timeout_s=20.0)
        return system.broken()


def _digest_check(off, folder):
    with promise_system.PromiseSystem(folder) as system:
        for target in system.targets.values():
            end = target.machine._end
            target.machine._end = functools.partial(
                _end_cut, target.machine, end
            )
        for process in system.entries.values():
            if off:
                process.service._describe_result = lambda result: {
                    "ok": result.ok,
                    "body": result.body,
                }
        system.spawn("e1")
        system.settle(timeout_s=3.0)
        return system.broken() - {"lost"}


def _end_cut(machine, end, task, *arguments):
    """Ends a task; its output loses its last character on the way."""
    end(task, *arguments)
    result = machine._finished[task.start["attempt_id"]].result
    result["body"] = result["body"][:-1]


def _drain(off, folder):
    with promise_system.PromiseSystem(folder, child=True) as system:
        key = system.spawn("e3", run_ms=1500)
        system.wait_started(key)
        if off:
            system.record("planned_stop", entry="e3")
            system.kill_child()
            gevent.sleep(0.5)
        else:
            system.replace("e3")
        return system.broken()


# Scenario and the promises that it breaks with its mechanism switched off.
SCENARIOS = {
    "allowance_lowering": (_allowance_lowering, {"P4"}),
    "start_record": (_start_record, {"P8"}),
    "hold_after_death": (_hold_after_death, {"P2"}),
    "key_check": (_key_check, {"P3"}),
    "version_check": (_version_check, {"P5"}),
    "digest_check": (_digest_check, {"P6"}),
    "drain": (_drain, {"P10"}),
}


@pytest.mark.parametrize("name", SCENARIOS)
def test_as_built(runs, name):
    """Guards against a scenario that fails for another reason."""
    assert runs.get(name, False) == set()


@pytest.mark.parametrize("name", SCENARIOS)
def test_switched_off(runs, name):
    """Guards against a mechanism whose absence no check would notice."""
    assert runs.get(name, True) == SCENARIOS[name][1]
