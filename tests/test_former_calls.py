"""Tests of calls that a target carries out in another lifetime.

The target is that of `test_leases`: it obeys commands as the protocol says, and
the clock of each lifetime starts at another time.
"""

import pytest

import test_leases
from quetzalswitch.execution import protocol


@pytest.fixture(name="stage")
def _stage():
    stage = test_leases.Stage()
    stage.advance(60.0)
    stage.session._renew_leases(0.0)
    return stage


def expire_runs(stage):
    """Cuts the target off until its leases have expired."""
    stage.target.delivery = "dropped"
    while stage.target.runs:
        stage.check()
        stage.advance(0.25)


def send_late_renewal(stage):
    """Sends a renewal that is not carried out yet; returns it."""
    stage.target.delivery = "delayed"
    stage.advance(0.3)
    stage.session._renew_leases(0.0)
    stage.target.delivery = "answered"
    return stage.target.delayed[-1].command


def make_renewal(stage):
    """Returns a renewal as the session would send it now."""
    return protocol.RenewCommand(
        stage.session.token, 0, stage.session._extend_lease(), 0.7
    )


def test_unanswered_start_that_the_next_lifetime_carries_out_late(stage):
    """Guards against two runs: a start that is carried out 8 s late."""
    stage.target.delivery = "delayed"
    assert stage.start_task()
    late = stage.target.delayed[-1].command
    stage.target.delivery = "dropped"
    stage.advance(4.0)
    stage.session._renew_leases(0.0)
    stage.restart()
    stage.advance(4.0)
    assert stage.target.carry_out(late) is None
    expire_runs(stage)


def test_start_that_one_lifetime_rejects_and_the_next_carries_out(stage):
    """Guards against two runs: the fence of one lifetime binds no other."""
    stage.target.delivery = "delayed"
    assert stage.start_task()
    late = stage.target.delayed[-1].command
    stage.target.delivery = "answered"
    stage.session._renew_leases(0.0)
    stage.advance(0.5)
    stage.restart()
    stage.target.delivery = "dropped"
    stage.advance(1.0)
    stage.target.carry_out(late)
    active = set(stage.target.runs)
    assert active <= {number for _, number in stage.state.runs}


def test_lifetime_that_answered_a_start_gets_no_acknowledgement(stage):
    """Guards against an end that is forgotten by a number of the former."""
    sent = []
    renew = stage.target.renew_leases

    def _record(command, timeout_s):
        sent.append(command)
        return renew(command, timeout_s)

    stage.target.renew_leases = _record
    stage.session._acknowledged = 1
    stage.restart()
    stage.advance(0.1)
    (run,) = stage.start_task()
    assert stage.target.runs
    stage.target.runs = {}
    stage.target.ended = [(run.task, run.number)]
    stage.advance(0.1)
    stage.session._renew_leases(0.0)
    assert sent[-1].acknowledged == 0
    assert stage.session._last_seen_end == 1


@pytest.mark.parametrize("registered", ["unlisted", "former"])
def test_next_leader_that_knows_no_restart(stage, registered):
    """Guards against two runs: a restart that the platform doesn't list."""
    former_ms = stage.state.registration.boot_ms
    late = send_late_renewal(stage)
    stage.restart()
    stage.state.registration = stage.state.registration._replace(
        boot_ms=former_ms if registered == "former" else 0
    )
    stage.target.carry_out(late)
    stage.session._renew_leases(0.0)
    stage.session._renew_leases(0.0)
    assert stage.start_task()
    stage.change_leader()
    expire_runs(stage)


def test_suspended_leader_sends_no_lease_of_the_former_lifetime(stage):
    """Guards against two runs after a leader was suspended."""
    stage.restart()
    stage.target.born -= 25_000
    stage.clock.suspend(30.0)
    stage.session._renew_leases(0.0)
    assert not stage.target.lease_until_ms
    stage.session._renew_leases(0.0)
    assert stage.start_task()
    expire_runs(stage)


def test_leader_whose_wall_clock_is_a_minute_ahead(stage):
    """Guards against two runs: a young lifetime that seems old."""
    wall = stage.clock.wall
    late = send_late_renewal(stage)
    stage.restart()
    stage.clock.wall = lambda: wall() + 60.0
    stage.target.carry_out(late)
    stage.change_leader()
    stage.session._renew_leases(0.0)
    assert stage.start_task()
    expire_runs(stage)


def test_unanswered_start_of_a_session_that_was_closed(stage):
    """Guards against two runs after the address of a target changed."""
    stage.target.delivery = "delayed"
    assert stage.start_task()
    late = stage.target.delayed[-1].command
    stage.session._closed = True
    stage.cluster.decider.next_tokens["i-0"] = stage.session.token + 1
    stage.session = stage._open_session()
    stage.target.delivery = "dropped"
    former = stage.state.registration
    stage.restart()
    stage.state.registration = former
    stage.advance(0.5)
    stage.target.carry_out(late)
    expire_runs(stage)


def test_next_lifetime_whose_clock_nearly_fits(stage):
    """Guards against two runs: a restart that the clock hardly shows."""
    stage.session._renew_leases(0.0)
    stage.advance(1.4)
    stage.restart()
    stage.target.first_ms = stage.session._leases.clock_ms
    assert stage.start_task()
    expire_runs(stage)


def test_late_answer_of_the_former_lifetime_hides_no_restart(stage):
    """Guards against two runs: an answer that newer ones have overtaken."""
    sent_s, token = stage.clock.now(), stage.session.token
    answer = stage.target.renew_leases(make_renewal(stage), 1.0)
    stage.advance(0.1)
    stage.restart()
    stage.advance(0.1)
    assert stage.start_task()
    assert stage.target.runs
    stage.session._apply_answer(answer, token, sent_s)
    expire_runs(stage)


def test_late_renewal_in_a_lifetime_that_only_answered_a_start(stage):
    """Guards against two runs: a renewal that is carried out 7 s late."""
    late = make_renewal(stage)
    stage.advance(0.1)
    stage.restart()
    stage.advance(0.5)
    assert stage.start_task()
    assert stage.target.runs
    stage.target.delivery = "dropped"
    stage.advance(7.0)
    stage.check()
    stage.target.carry_out(late)
    expire_runs(stage)
