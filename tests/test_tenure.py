"""Tests of a leader that the store has not confirmed for some time."""

import pytest

import decider_stage
import session_stage
from quetzalswitch import clock as clocks
from quetzalswitch.decision import jobs
from quetzalswitch.execution import leases
from quetzalswitch.execution import tenure as tenures
from quetzalswitch.recovery import roster

STEP_S = 0.25


@pytest.fixture(name="harness")
def _harness():
    harness = session_stage.Harness()
    # The first renewal only reads the target's clock.
    harness.session._renew_leases(0.0)
    return harness


@pytest.fixture(name="tenure")
def _tenure():
    return tenures.Tenure(clocks.ManualClock())


def test_leases_of_a_cut_leader_end_before_its_successor_expects(harness):
    """Guards against two runs of a task after a zone was cut off.

    On moorwater-logs (review/3), a leader that was cut off together with two
    other entries and its targets extended leases for as long as the cut lasted.
    """
    harness.tenure.lost = True
    elected_s = harness.cluster.clock.now()
    for _ in range(40):
        harness.cluster.clock.advance(STEP_S)
        harness.session._renew_leases(0.0)
    lease_s = harness.client.renewals[-1].lease_until_ms / 1000 - elected_s
    assert lease_s > session_stage.LEASE_S
    assert lease_s / leases.MIN_CLOCK_RATE < (
        session_stage.find_assumed_lease()
    )


def test_leases_are_extended_again_after_an_outage(harness):
    """Guards against the loss of all work in an outage of some seconds."""
    harness.tenure.lost = True
    for _ in range(18):
        harness.cluster.clock.advance(STEP_S)
        harness.session._renew_leases(0.0)
    now_ms = harness.cluster.clock.now() * 1000
    assert harness.client.renewals[-1].lease_until_ms > now_ms
    harness.tenure.lost = False
    harness.session._renew_leases(0.0)
    lease_ms = harness.client.renewals[-1].lease_until_ms - now_ms
    assert lease_ms == session_stage.LEASE_S * 1000


def test_suspension_of_the_vm_counts(tenure):
    """Guards against a leader that resumes and extends leases."""
    clock = tenure._clock
    tenure.confirm(tenures.read_moment(clock))
    assert tenure.allows_extension()
    clock.suspend(tenures.EXTENSION_LIMIT_S + 0.1)
    assert not tenure.allows_extension()


def test_older_confirmation_changes_nothing(tenure):
    """Guards against answers that overtake each other."""
    clock = tenure._clock
    earlier = tenures.read_moment(clock)
    clock.advance(1.0)
    tenure.confirm(tenures.read_moment(clock))
    tenure.confirm(earlier)
    assert tenure.covers(clock.now())


@pytest.mark.parametrize("confirmed", [False, True])
def test_expired_leases_free_a_task_only_if_no_one_else_led(harness, confirmed):
    """Guards against a task that runs at a successor's target already.

    A leader that is cut off sees the leases on the other side expire, while its
    successor renews them.
    """
    cluster = harness.cluster
    job = cluster.add_job("1", [decider_stage.make_step()])
    (run,) = cluster.start_tasks()
    harness.session._renew_leases(0.0)
    harness.client.unresponsive = True
    tenure = tenures.Tenure(cluster.clock)
    targets = roster.Roster(
        cluster.decider, tenure, cluster.clock, cluster.log, None, None, None
    )
    targets.sessions[run.target_id] = harness.session
    expired_s = harness.session.leases_expire_at()
    cluster.clock.advance(expired_s - cluster.clock.now() + 1.0)
    if confirmed:
        tenure.confirm(tenures.read_moment(cluster.clock))
    targets.check(cluster.clock.now())
    assert run.stage.pending == ({0} if confirmed else set())
    assert job.phase is jobs.Phase.RUNNING


def test_leases_of_the_predecessor_count_while_none_may_be_extended():
    """Guards against a second run while the first one has its lease left.

    A new leader that the store has not confirmed learns a target's clock and
    sends no lease of its own. The target is cut off before the next renewal.
    """
    harness = session_stage.Harness()
    harness.tenure.lost = True
    harness.cluster.clock.advance(tenures.EXTENSION_LIMIT_S + 0.1)
    now_s = harness.cluster.clock.now()
    harness.session = harness.open_session()
    harness.session._renew_leases(0.0)
    assert harness.client.renewals[-1].lease_until_ms == 0
    lease_s = session_stage.LEASE_S / leases.MIN_CLOCK_RATE
    assert harness.session.leases_expire_at() >= now_s + lease_s
