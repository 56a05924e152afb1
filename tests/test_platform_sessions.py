"""Tests of target sessions: leases, acknowledgements, fencing tokens."""

import gevent
import gevent.event
import pytest

import decider_stage
import session_stage
from quetzalswitch import exceptions
from quetzalswitch.decision import fleet
from quetzalswitch.decision import jobs
from quetzalswitch.execution import protocol
from quetzalswitch.execution import sessions
from quetzalswitch.recovery import inheritance


@pytest.fixture(name="harness")
def _harness():
    return session_stage.Harness()


def test_leases_of_a_silent_target_end_at_a_known_time(harness):
    """Guards against unanswered renewals that extend leases forever."""
    harness.session._renew_leases(0.0)
    harness.client.unresponsive = True
    last_answer_s = harness.cluster.clock.now()
    for _ in range(20):
        harness.cluster.clock.advance(0.5)
        harness.session._renew_leases(0.0)
    limit_s = last_answer_s + sessions.RENEWAL_LIMIT_S + session_stage.LEASE_S
    assert harness.client.renewals[-1].lease_until_ms <= limit_s * 1000
    assert harness.session.leases_expire_at() <= limit_s / 0.98 + 0.5


def test_runs_of_a_replaced_target_end_at_once(harness):
    """Guards against waiting for leases that ended with the target."""
    harness.cluster.add_job("1", [decider_stage.make_step()])
    (run,) = harness.cluster.start_tasks()
    harness.client.replaced = True
    harness.session._renew_leases(0.0)
    assert not harness.session.target.runs
    assert harness.session.leases_expire_at() <= harness.cluster.clock.now()
    assert run.stage.pending == {0}
    harness.client.replaced = False
    harness.session._renew_leases(0.0)
    assert harness.session.leases_expire_at() > harness.cluster.clock.now()


def test_ends_are_acknowledged_once_they_are_stored(harness):
    """Guards against a target that drops an end before it is stored."""
    job = harness.cluster.add_job("1", [decider_stage.make_step()])
    (run,) = harness.cluster.start_tasks()
    harness.client.ended = [
        protocol.EndedRun(1, run.task, run.number, protocol.EndReason.DONE, "")
    ]
    harness.session._renew_leases(0.0)
    harness.session._renew_leases(0.0)
    assert harness.client.renewals[-1].acknowledged == 0
    harness.cluster.decider.record_stored(job, job.revision)
    harness.session._renew_leases(0.0)
    assert harness.client.renewals[-1].acknowledged == 1


def test_end_of_an_unknown_job_is_not_acknowledged(harness):
    """Guards against a second run of a task whose job is read late.

    The target must keep the end until the job is known.
    """
    submission = decider_stage.make_submission("1", [decider_stage.make_step()])
    task = f"{submission.id}.0.0.0"
    harness.client.ended = [
        protocol.EndedRun(1, task, 5, protocol.EndReason.DONE, "")
    ]
    harness.session._renew_leases(0.0)
    harness.session._renew_leases(0.0)
    assert harness.client.renewals[-1].acknowledged == 0
    job = harness.cluster.add_job("1", [decider_stage.make_step()])
    harness.session._renew_leases(0.0)
    assert job.phase is jobs.Phase.COMPLETED
    assert harness.cluster.start_tasks() == []


def test_nothing_is_acknowledged_after_a_timeout(harness):
    """Guards against acknowledging ends by numbers from before a restart."""
    harness.session._acknowledged = 57
    harness.client.unresponsive = True
    harness.session._renew_leases(0.0)
    harness.session._renew_leases(0.0)
    assert harness.client.renewals[-1].acknowledged == 0


def test_late_answer_of_an_earlier_lifetime_is_ignored(harness):
    """Guards against using clock and ends of a target's previous lifetime."""
    target = harness.session.target
    client = harness.client

    def _answer_of_the_next_lifetime():
        client.on_hold = lambda: None
        harness.cluster.clock.advance(0.1)
        client.born, client.clock_offset_ms = 9, 0
        harness.session._renew_leases(0.0)

    client.clock_offset_ms = 60_000
    client.ended = [
        protocol.EndedRun(
            7, f"{'a' * 16}.0.0.0", 1, protocol.EndReason.DONE, ""
        )
    ]
    harness.cluster.clock.advance(0.1)
    client.on_hold = _answer_of_the_next_lifetime
    harness.session._renew_leases(0.0)
    assert target.boot_ms == 9
    now_ms = harness.cluster.clock.now() * 1000
    assert (
        harness.session._extend_lease()
        <= now_ms + session_stage.LEASE_S * 1000 + 1
    )


def test_restart_with_a_time_of_day_that_was_set_back_is_noticed(harness):
    """Guards against rejecting every answer of a restarted target.

    Its start time may be lower than before, since its clock was set back.
    """
    harness.session._acknowledged = 57
    harness.cluster.clock.advance(0.1)
    harness.client.born = 3
    harness.session._renew_leases(0.0)
    assert harness.session.target.boot_ms == 3
    harness.session._renew_leases(0.0)
    assert harness.client.renewals[-1].acknowledged == 0


def test_end_that_can_be_dropped_does_not_end_the_wait(harness, monkeypatch):
    """Guards against polling without a pause during an outage of the store."""
    monkeypatch.setattr(sessions, "STORE_WAIT_S", 3600)
    harness.cluster.add_job("1", [decider_stage.make_step()])
    (run,) = harness.cluster.start_tasks()
    done = protocol.EndReason.DONE
    harness.client.ended = [
        protocol.EndedRun(1, run.task, run.number, done, ""),
        protocol.EndedRun(2, "of no job", 1, done, ""),
    ]
    harness.session._renew_leases(0.0)
    waiting = gevent.spawn(harness.session._wait_stored)
    gevent.sleep(0)
    assert not waiting.ready()
    waiting.kill()


def test_requested_poll_ends_the_wait_for_stored_ends(harness, monkeypatch):
    """Guards against an end that is read only after another one is stored."""
    monkeypatch.setattr(sessions, "STORE_WAIT_S", 3600)
    monkeypatch.setattr(sessions, "STORE_OUTAGE_PAUSE_S", 3600)
    harness.cluster.add_job("1", [decider_stage.make_step()])
    (run,) = harness.cluster.start_tasks()
    end = protocol.EndedRun(
        1, run.task, run.number, protocol.EndReason.DONE, ""
    )
    harness.client.ended = [end]
    harness.session._renew_leases(0.0)
    waiting = gevent.spawn(harness.session._wait_stored)
    gevent.sleep(0)
    assert not waiting.ready()
    harness.session.request_poll()
    waiting.join(timeout=20)
    assert waiting.successful()


def test_ends_that_are_not_stored_are_handed_over(harness):
    """Guards against a new leader that restarts a finished task."""
    harness.cluster.add_job("1", [decider_stage.make_step()])
    (run,) = harness.cluster.start_tasks()
    end = protocol.EndedRun(
        1, run.task, run.number, protocol.EndReason.DONE, ""
    )
    harness.client.ended = [end]
    harness.session._renew_leases(0.0)
    decider = harness.cluster.decider
    assert decider.targets["i-0"].runs == {}
    assert inheritance.list_runs(decider, {"i-0": harness.session}) == {
        "i-0": [(run.task, run.number)]
    }


def test_start_without_an_answer_raises_the_token(harness):
    """Guards against a late start that the target still accepts."""
    harness.cluster.add_job("1", [decider_stage.make_step()])
    (run,) = harness.cluster.schedule().starts
    before = harness.session.token
    harness.session.send_start(run)
    assert harness.client.renewals[-1].fencing_token > before
    assert run.token == before
    # The renewal with the higher token doesn't list it, so it never ran.
    assert harness.cluster.decider.targets["i-0"].runs == {}
    assert run.state is jobs.RunState.UNKNOWN


def test_newer_token_at_a_target_ends_the_epoch(harness):
    """Guards against two leaders that control the same target."""
    harness.client.stale = True
    harness.session._renew_leases(0.0)
    assert harness.deposed


def test_target_that_refused_a_start_gets_none_until_it_answers(harness):
    """Guards against starts that are sent to a crashed target in a loop."""
    harness.cluster.add_job("1", [decider_stage.make_step(count=4)])
    harness.client.refusing = True
    for run in harness.cluster.schedule().starts:
        harness.session.send_start(run)
    assert harness.cluster.schedule().starts == []
    harness.client.refusing = False
    harness.session._renew_leases(0.0)
    assert len(harness.cluster.schedule().starts) == 4


def test_target_that_refused_a_renewal_gets_no_start(harness):
    """Guards against starts that wait for their target's leases to expire."""
    harness.cluster.add_job("1", [decider_stage.make_step()])
    harness.client.refusing = True
    harness.session._renew_leases(0.0)
    assert harness.cluster.schedule().starts == []
    harness.client.refusing = False
    harness.session._renew_leases(0.0)
    assert len(harness.cluster.schedule().starts) == 1


@pytest.mark.parametrize(
    "rejection",
    [
        protocol.Rejection.NO_CAPACITY,
        protocol.Rejection.LEASE_PASSED,
        protocol.Rejection.TARGET_RESTARTED,
        protocol.Rejection.OTHER,
    ],
)
def test_rejected_start_is_not_repeated_at_once(harness, rejection):
    """Guards against starts that a target rejects in each pass."""
    harness.cluster.add_job("1", [decider_stage.make_step(count=4)])
    harness.client.rejection = rejection
    for run in harness.cluster.schedule().starts:
        harness.session.send_start(run)
    assert harness.cluster.schedule().starts == []
    harness.cluster.clock.advance(fleet.REJECTION_PAUSE_S + 0.1)
    harness.session._renew_leases(0.0)
    assert len(harness.cluster.schedule().starts) == 4


def test_nothing_is_acknowledged_after_an_unanswered_start(harness):
    """Guards against forgetting ends of an incarnation nobody has heard of.

    The target may have restarted, and its ends are numbered from 1 again.
    """
    harness.session._acknowledged = 7
    harness.cluster.add_job("1", [decider_stage.make_step()])
    (run,) = harness.cluster.schedule().starts
    harness.cluster.clock.advance(0.1)
    harness.client.unresponsive = True
    with gevent.Timeout(0.05, False):
        harness.session.send_start(run)
    assert harness.client.renewals[-1].acknowledged == 0


def test_late_renewal_is_fenced_off_from_the_next_incarnation(harness):
    """Guards against forgetting ends of a target that has restarted.

    A renewal that takes effect late acknowledges ends by their old numbers.
    """
    harness.session._acknowledged = 57
    harness.client.unresponsive = True
    harness.session._renew_leases(0.0)
    late = harness.client.renewals[-1]
    assert late.acknowledged == 57
    harness.cluster.clock.advance(0.1)
    harness.client.unresponsive = False
    harness.client.born = 9
    harness.session._renew_leases(0.0)
    first = harness.client.renewals[-1]
    assert first.acknowledged == 0
    assert first.fencing_token > late.fencing_token
    harness.session._renew_leases(0.0)
    assert harness.client.renewals[-1].fencing_token == first.fencing_token


def test_next_session_with_a_target_has_higher_tokens(harness):
    """Guards against a leader that a target fences off from its own epoch.

    The target was lost, went out of the list and came back.
    """
    harness.client.unresponsive = True
    harness.session._renew_leases(0.0)
    harness.client.unresponsive = False
    harness.session._renew_leases(0.0)
    last = harness.client.renewals[-1].fencing_token
    harness.session.stop()
    session = harness.open_session()
    session._renew_leases(0.0)
    assert harness.client.renewals[-1].fencing_token > last


def test_closed_session_does_not_end_the_epoch(harness):
    """Guards against a leader that its own next session deposes."""

    def _renew(command, timeout_s):
        harness.session.stop()
        raise exceptions.StaleEpochError("a newer token of the same epoch")

    harness.client.renew_leases = _renew
    harness.session._renew_leases(0.0)
    assert harness.deposed == []


@pytest.mark.parametrize("answered", [True, False])
def test_start_in_flight_when_its_session_ends_is_resolved(harness, answered):
    """Guards against a task that never starts again after an address change."""
    harness.cluster.add_job("1", [decider_stage.make_step()])
    (run,) = harness.cluster.schedule().starts

    def _start(command, timeout_s):
        harness.session.stop()
        if not answered:
            raise exceptions.AnswerTimeoutError("no answer")
        return protocol.CommandAnswer(protocol.Rejection.FENCED, 0)

    harness.client.start = _start
    harness.session.send_start(run)
    harness.open_session()._renew_leases(0.0)
    assert not harness.session.target.runs
    assert run.stage.pending == {0}


def test_late_answer_does_not_end_the_doubt_about_a_target(harness):
    """Guards against an answer that was sent before the target was lost."""
    sent_s = harness.cluster.clock.now()
    harness.cluster.clock.advance(0.1)
    harness.session._mark_lost("no answer to a start")
    harness.session._acknowledged = 7
    now_ms = int(harness.cluster.clock.now() * 1000)
    answer = protocol.RenewAnswer(now_ms, harness.client.born, [], [])
    harness.session._apply_answer(answer, harness.session.token, sent_s)
    harness.session._renew_leases(0.0)
    assert harness.client.renewals[-1].acknowledged == 0
    harness.session._renew_leases(0.0)
    assert harness.client.renewals[-1].acknowledged == 7


@pytest.mark.parametrize(
    ("error", "known_s"),
    [(exceptions.TransportError, 0.4), (exceptions.AnswerTimeoutError, 0.0)],
)
def test_moment_of_a_loss_is_known_from_a_broken_connection(
    harness, error, known_s
):
    """Guards against a lost rack that passes for single crashes.

    Calls that time out end at different times for targets lost together.
    """
    since_s = harness.cluster.clock.now()
    harness.cluster.clock.advance(0.4)
    harness.client.unresponsive = True
    harness.client.unresponsive_error = error
    harness.session._renew_leases(0.0)
    span = harness.session.target.silence
    assert span == (since_s + known_s, since_s + 0.4)
    harness.session._renew_leases(0.0)
    assert harness.session.target.silence == span
    harness.client.unresponsive = False
    harness.session._renew_leases(0.0)
    assert harness.session.target.silence is None
