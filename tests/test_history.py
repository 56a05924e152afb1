"""Tests of the checks that judge a recorded history.

Each promise has a history that keeps it and one that breaks it, so that a
check that never fails can't pass for a proof.
"""

import pytest

from quetzalswitch import history

_SIZE = {"cores": 1.0, "memory_mb": 100, "accelerators": 0}
_CAPACITY = {"cores": 2.0, "memory_mb": 1000, "accelerators": 0}


def _at(wall_ms, event, **fields):
    return {"wall_ms": wall_ms, "event": event, **fields}


def _task(wall_ms, event, attempt, **fields):
    values = {
        "attempt_id": attempt,
        "request_key": f"alpha/{attempt}",
        "task_index": 0,
        "team": "alpha",
        "size": _SIZE,
        "target_id": "t1",
        "failure_domain": "domain-a",
        "capacity": _CAPACITY,
        "slots": 8,
        "boot_id": "boot-1",
    }
    return _at(wall_ms, event, **{**values, **fields})


def _start(wall_ms, attempt, **fields):
    return _task(wall_ms, "start", attempt, **fields)


def _end(wall_ms, attempt, event="end", **fields):
    return _task(wall_ms, event, attempt, **fields)


def _submitted(request_key="alpha/a", **fields):
    values = {"idempotent": True, "durable": True, "expected": "whole"}
    return _at(0, "submitted", request_key=request_key, **{**values, **fields})


def _answered(wall_ms, state="done", run="", body="whole"):
    return _at(
        wall_ms,
        "answered",
        request_key="alpha/a",
        state=state,
        run=run,
        body=body,
    )


def _version(wall_ms, version, state="fresh"):
    return _at(wall_ms, "version", entry="e1-1", version=version, state=state)


_TWICE = {"request_key": "alpha/a", "target_id": "t2"}
_IN_FORCE = history.IN_FORCE_MS
_LEAVING = history.LEAVING_MS
_SPREAD = history.SPREAD_MS
_OUT = _at(0, "out", failure_domain="domain-a")
_LIMIT_ONE = _at(0, "limit", team="alpha", limit=1)
_LIMIT_TWO = _at(0, "limit", team="alpha", limit=2)
_WITHDRAWN = _at(0, "withdrawn", key_id="k1")
_STOP = _at(0, "planned_stop", entry="e1")

# Name: (promise, history that breaks it, history that keeps it).
CASES = {
    "capacity": (
        "P1",
        [_start(0, "a"), _start(1, "b"), _start(2, "c")],
        [_start(0, "a"), _start(1, "b"), _end(2, "a"), _start(2, "c")],
    ),
    "memory": (
        "P1",
        [_start(0, "a", size={**_SIZE, "memory_mb": 1001})],
        [_start(0, "a", size={**_SIZE, "memory_mb": 1000})],
    ),
    "slots": (
        "P1",
        [_start(0, "a", slots=1), _start(1, "b", slots=1)],
        [_start(0, "a", slots=1), _start(1, "b", slots=1, target_id="t2")],
    ),
    "two places": (
        "P2",
        [_start(0, "a"), _start(1, "b", **_TWICE)],
        [_start(0, "a"), _end(1, "a"), _start(1, "b", **_TWICE)],
    ),
    "two places after another attempt's end": (
        "P2",
        [_start(0, "a"), _end(1, "c"), _start(2, "b", **_TWICE)],
        [_start(0, "a"), _end(1, "a", "lapse"), _start(2, "b", **_TWICE)],
    ),
    "two tasks of a gang": (
        "P2",
        [_start(0, "a"), _start(1, "b", **_TWICE)],
        [_start(0, "a"), _start(1, "b", **_TWICE, task_index=1)],
    ),
    "withdrawn key": (
        "P3",
        [
            _submitted(key_id="k1"),
            _WITHDRAWN,
            _at(_IN_FORCE + 1, "accepted", request_key="alpha/a"),
            _answered(_IN_FORCE + 2),
        ],
        [
            _submitted(key_id="k1"),
            _WITHDRAWN,
            _at(_IN_FORCE, "accepted", request_key="alpha/a"),
            _answered(_IN_FORCE + 2),
        ],
    ),
    "upper limit": (
        "P4",
        [_LIMIT_ONE, _start(1, "a"), _start(2, "b")],
        [_LIMIT_TWO, _start(1, "a"), _start(2, "b")],
    ),
    "lowered limit": (
        "P4",
        [
            _LIMIT_TWO,
            _at(10, "limit", team="alpha", limit=1),
            _start(11, "a"),
            _start(11 + _IN_FORCE, "b"),
        ],
        [
            _LIMIT_TWO,
            _at(10, "limit", team="alpha", limit=1),
            _start(11, "a"),
            _start(10 + _IN_FORCE, "b"),
        ],
    ),
    "limit after a stop": (
        "P4",
        [_LIMIT_ONE, _start(1, "a"), _end(2, "c", "stop"), _start(3, "b")],
        [_LIMIT_ONE, _start(1, "a"), _end(2, "a", "stop"), _start(3, "b")],
    ),
    "failure domain out": (
        "P5",
        [_OUT, _start(_IN_FORCE + 1, "a")],
        [_OUT, _start(_IN_FORCE, "a")],
    ),
    "failure domain back": (
        "P5",
        [
            _OUT,
            _at(5, "back", failure_domain="domain-b"),
            _start(_IN_FORCE + 9, "a"),
        ],
        [
            _OUT,
            _at(5, "back", failure_domain="domain-a"),
            _start(_IN_FORCE + 9, "a"),
        ],
    ),
    "other body": (
        "P6",
        [_submitted(), _answered(1, body="who")],
        [_submitted(), _answered(1)],
    ),
    "not run": (
        "P7",
        [_submitted(), _start(1, "a"), _answered(2, "failed", "not_run")],
        [_submitted(), _start(1, "a"), _answered(2, "failed", "unknown")],
    ),
    "not run, started later": (
        "P7",
        [_submitted(), _answered(1, "failed", "not_run"), _start(2, "a")],
        [_submitted(), _answered(1, "failed", "not_run"), _start(2, "b")],
    ),
    "second start": (
        "P8",
        [
            _submitted(idempotent=False),
            _start(0, "a"),
            _end(1, "a"),
            _start(2, "b", request_key="alpha/a"),
        ],
        [_submitted(idempotent=False), _start(0, "a"), _end(1, "a")],
    ),
    "second start of an idempotent request": (
        "P8",
        [
            _submitted(idempotent=False),
            _start(0, "a"),
            _end(1, "a"),
            _start(2, "b", request_key="alpha/a"),
        ],
        [
            _submitted(),
            _start(0, "a"),
            _end(1, "a"),
            _start(2, "b", request_key="alpha/a"),
        ],
    ),
    "leaving target": (
        "P9",
        [_at(0, "leaving", target_id="t1"), _start(_LEAVING + 1, "a")],
        [_at(0, "leaving", target_id="t1"), _start(_LEAVING, "a")],
    ),
    "cut off": (
        "P10",
        [_STOP, _at(1, "cut", entry="e1")],
        [_STOP, _at(1, "cut", entry="e2")],
    ),
    "version that reverts": (
        "P11",
        [_version(0, 2), _version(1, 1)],
        [_version(0, 1), _version(1, 2)],
    ),
    "version that does not spread": (
        "P11",
        [
            _at(0, "accepted_version", version=2),
            _version(_SPREAD + 1, 1),
        ],
        [
            _at(0, "accepted_version", version=2),
            _version(_SPREAD, 1),
            _version(_SPREAD + 1, 1, "stale"),
            _version(_SPREAD + 2, 2),
        ],
    ),
    "lost": (
        "lost",
        [_submitted(), _at(1, "accepted", request_key="alpha/a")],
        [
            _submitted(),
            _at(1, "accepted", request_key="alpha/a"),
            _answered(2),
        ],
    ),
}


def _check(events):
    return {v.promise for v in history.check(history.order(events))}


@pytest.mark.parametrize("name", CASES)
def test_broken_promise_is_found(name):
    """Guards against a check that overlooks the failure it exists for."""
    promise, broken, _ = CASES[name]
    assert _check(broken) == {promise}


@pytest.mark.parametrize("name", CASES)
def test_kept_promise_is_not_reported(name):
    """Guards against a check that reports histories without a fault."""
    assert _check(CASES[name][2]) == set()


def test_every_promise_has_a_broken_history():
    """Guards against a promise whose check is never shown to fail."""
    promises = {promise for promise, _, _ in CASES.values()}
    assert promises == {f"P{n}" for n in range(1, 12)} | {"lost"}


def test_files_are_merged_in_order_of_time(tmp_path):
    """Guards against an end that is read after the start that follows it."""
    first, second = tmp_path / "t1.jsonl", tmp_path / "t2.jsonl"
    first.write_text('{"wall_ms": 5, "event": "start", "target_id": "t1"}\n')
    second.write_text(
        '{"wall_ms": 5, "event": "end", "target_id": "t2"}\n'
        '{"wall_ms": 1, "event": "start", "target_id": "t2"}\n'
    )
    merged = [(e["wall_ms"], e["event"]) for e in history.read([first, second])]
    assert merged == [(1, "start"), (5, "end"), (5, "start")]
