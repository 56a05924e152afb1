"""Tests of sessions whose process or VM was paused, or that have ended."""

import gevent
import gevent.event
import pytest

import decider_stage
import session_stage
import wire_platform
import wire_store
from quetzalswitch import clock as clocks
from quetzalswitch.decision import jobs
from quetzalswitch.execution import protocol
from quetzalswitch.execution import sessions
from quetzalswitch.platform import targets


@pytest.fixture(name="harness")
def _harness():
    return session_stage.Harness()


def test_start_beside_two_long_polls_is_sent(harness):
    """Guards against starts that are held back while nothing ends."""
    harness.cluster.add_job("1", [decider_stage.make_step()])
    (run,) = harness.cluster.schedule().starts
    answered = protocol.CommandAnswer(None, 0)
    harness.client.start = lambda command, timeout_s: answered
    harness.cluster.clock.advance(2 * sessions.LONG_POLL_WAIT_S + 0.5)
    harness.session.send_start(run)
    assert run.state is jobs.RunState.RUNNING


@pytest.mark.parametrize("suspended", [True, False])
def test_start_decided_before_a_pause_is_not_sent(harness, suspended):
    """Guards against a deposed leader that wakes up and starts a done task.

    A target that has restarted meanwhile doesn't know the new leader's token.
    """
    harness.cluster.add_job("1", [decider_stage.make_step()])
    (run,) = harness.cluster.schedule().starts
    clock = harness.cluster.clock
    (clock.suspend if suspended else clock.advance)(2.1)
    started = []
    harness.client.start = lambda command, timeout_s: started.append(command)
    harness.session.send_start(run)
    assert started == []
    assert run.stage.pending == {0}
    # The target gets no start before it has answered again.
    assert harness.cluster.schedule().starts == []
    harness.session._renew_leases(0.0)
    assert len(harness.cluster.schedule().starts) == 1


def test_leases_are_not_extended_after_a_suspension(harness):
    """Guards against leases that a new leader takes to have expired."""
    harness.session._renew_leases(0.0)
    before_ms = harness.client.renewals[-1].lease_until_ms
    harness.cluster.clock.suspend(3.0)
    harness.cluster.clock.advance(0.5)
    harness.session._renew_leases(0.0)
    assert harness.client.renewals[-1].lease_until_ms == 0
    harness.session._renew_leases(0.0)
    assert harness.client.renewals[-1].lease_until_ms > before_ms


def test_nothing_is_acknowledged_after_a_suspension(harness):
    """Guards against forgetting ends of a target that restarted meanwhile."""
    harness.session._acknowledged = 57
    harness.cluster.clock.suspend(2.1)
    harness.session._renew_leases(0.0)
    assert harness.client.renewals[-1].acknowledged == 0
    harness.session._renew_leases(0.0)
    assert harness.client.renewals[-1].acknowledged == 57


def test_closed_client_sends_no_call_that_waits_for_a_connection():
    """Guards against a start that is sent after its epoch has ended."""
    standin = wire_platform.Target(1.0)
    _, address = wire_store.serve(standin)
    client = targets.TargetClient("i-0", address, clocks.SystemClock())
    started = gevent.event.Event()
    held = gevent.event.Event()

    def _start(call):
        standin.starts.append(call["task"])
        started.set()
        held.wait(5)
        return 200, {"clock_ms": 1}

    standin.run_start = _start
    command = protocol.StartCommand("t", 1, "", 0, 1, "", "")
    calls = [
        gevent.spawn(client.start, command, 5.0)
        for _ in range(targets.MAX_CONNECTIONS + 1)
    ]
    started.wait(5)
    gevent.sleep(0.1)
    client.close()
    held.set()
    gevent.joinall(calls, timeout=5)
    assert len(standin.starts) == targets.MAX_CONNECTIONS
    refused = [call for call in calls if call.exception is not None]
    assert [type(call.exception) for call in refused] == [
        ConnectionRefusedError
    ]
