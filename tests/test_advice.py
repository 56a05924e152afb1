"""Tests of calls to the advice service and of tickets."""

import decider_stage
from quetzalswitch.acceptance import catalogue
from quetzalswitch.decision import advice
from quetzalswitch.execution import protocol

LONG = catalogue.AdvicePolicy(500.0, 7.0, 1500.0)
SHORT = catalogue.AdvicePolicy(6.0, 0.1, 1500.0)


def test_short_calls_do_not_wait_behind_long_ones():
    """Guards against urgent calls that queue behind low-priority ones."""
    advisers = advice.Advisers()
    advisers.set_members(f"e{n}" for n in range(7))
    while advisers.assign(LONG, 24, 0.0) is not None:
        pass
    name, wait_s = advisers.assign(SHORT, 12, 0.0)
    assert wait_s < 0.01
    assert name > "e3"


def test_adviser_that_failed_gets_no_calls():
    """Guards against calls by an entry that is not connected."""
    advisers = advice.Advisers()
    advisers.set_members(["e0", "e1"])
    first, _ = advisers.assign(LONG, 10, 0.0)
    advisers.record_failure(first, 0.0)
    chosen = {advisers.assign(SHORT, 1, 0.1)[0] for _ in range(3)}
    assert first not in chosen


def _answer(cluster, request, allowed):
    cluster.decider.apply_advice(
        request,
        protocol.AdviceAnswer({t: f"k-{t}" for t in allowed}, None),
        cluster.clock.now(),
    )


def test_tasks_start_only_with_a_valid_ticket():
    """Guards against starts that targets reject for lack of a ticket."""
    cluster = decider_stage.SimulatedCluster(targets=3)
    cluster.decider.advisers.set_members(["e0", "e1"])
    queue = decider_stage.make_queue(advice=SHORT)
    cluster.add_job("1", [decider_stage.make_step(cpu=4000)], queue)
    commands = cluster.schedule()
    assert commands.starts == []
    (request,) = commands.advice_requests
    _answer(cluster, request, ["i-1"])
    (run,) = cluster.start_tasks()
    assert (run.target_id, run.ticket) == ("i-1", "k-i-1")


def test_expired_tickets_are_renewed_for_allowed_targets_only():
    """Guards against long calls for targets that were refused before."""
    cluster = decider_stage.SimulatedCluster(targets=3)
    cluster.decider.advisers.set_members(["e0", "e1"])
    queue = decider_stage.make_queue(advice=SHORT)
    cluster.add_job("1", [decider_stage.make_step(cpu=4000)], queue)
    (request,) = cluster.schedule().advice_requests
    _answer(cluster, request, ["i-1"])
    cluster.advance_time(1.6)
    commands = cluster.schedule()
    assert commands.starts == []
    assert commands.advice_requests[0].target_ids == ["i-1"]
