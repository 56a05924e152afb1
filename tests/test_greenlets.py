"""Tests of greenlets that an unexpected exception ends."""

import functools
import json
import types

import gevent
import gevent.event
import pytest

import decider_stage
from quetzalswitch import clock as clocks
from quetzalswitch import greenlets
from quetzalswitch.execution import tenure as tenures
from quetzalswitch.recovery import leadership as leaderships
from quetzalswitch.recovery import progress


@pytest.fixture(name="log")
def _log():
    return decider_stage.SimulatedCluster().log


def _fail():
    raise RuntimeError("bug")


def test_failure_of_the_progress_writer_ends_the_leadership(log):
    """Guards against a leader that stores nothing while its process runs."""
    reasons = []
    clock = clocks.ManualClock()
    writer = progress.ProgressWriter(
        None,
        log,
        {},
        1,
        0,
        None,
        reasons.append,
        "n",
        clock,
        tenures.Tenure(clock),
    )
    writer.set_list("k", b"x")
    writer.start()
    writer._greenlet.join(5.0)
    assert len(reasons) == 1
    line = json.loads(decider_stage.read_log(log)[-1])
    assert line["event"] == "greenlet_failed"
    assert "progress.py" in line["traceback"]


def test_failure_of_loading_ends_the_leadership(log):
    """Guards against a leader that never loads while its process runs."""
    reasons = []
    leadership = leaderships.Leadership.__new__(leaderships.Leadership)
    leadership._log = log
    leadership._greenlets = []
    leadership._on_deposed = reasons.append
    leadership._load = _fail
    leadership._renewer = types.SimpleNamespace(run=lambda: None)
    leadership.start()
    gevent.joinall(leadership._greenlets, timeout=5.0)
    assert len(reasons) == 1


def test_failure_of_a_partial_function_is_reported(log):
    """Guards against a lookup of a job that ends without a trace."""
    reasons = []
    function = functools.partial(int, "x")
    greenlets.spawn(function, log, reasons.append).join(5.0)
    assert len(reasons) == 1
    assert log.counts["greenlet_failed"] == 1


def test_loop_is_called_again_after_an_exception(log, monkeypatch):
    """Guards against an entry without an election while its process runs."""
    monkeypatch.setattr(greenlets, "RESTART_PAUSE_S", 0.0)
    again = gevent.event.Event()
    calls = []

    def _loop():
        calls.append(1)
        if len(calls) == 1:
            _fail()
        again.set()

    loop = greenlets.spawn_loop(_loop, log)
    assert again.wait(5.0)
    loop.join(5.0)
    assert len(calls) == 2
    assert log.counts["greenlet_failed"] == 1
