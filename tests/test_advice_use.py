"""Tests of the count of calls for advice that led to starts."""

import decider_stage
from quetzalswitch import nodelog
from quetzalswitch import nodemetrics
from quetzalswitch.acceptance import catalogue
from quetzalswitch.decision import advice_use
from quetzalswitch.execution import protocol
from quetzalswitch.recovery import leader_metrics

POLICY = catalogue.AdvicePolicy(500.0, 7.0, 1500.0)


def test_call_is_settled_when_its_tickets_expire():
    """Guards against calls that count as unused while a start may come."""
    use = advice_use.AdviceUse()
    use.record_answer("1.0.0", "q", 12, ["k1", "k2"], 1.5)
    use.record_start("1.0.0", "k2")
    assert use.settle(1.4) == []
    assert use.settle(1.5) == [advice_use.SettledCall("1.0.0", "q", 12, 2, 1)]
    assert use.settle(9.0) == []


def test_start_counts_for_the_call_whose_ticket_it_carries():
    """Guards against a renewal that takes over the starts of its forerunner."""
    use = advice_use.AdviceUse()
    use.record_answer("1.0.0", "q", 12, ["old"], 1.5)
    use.record_answer("1.0.0", "q", 1, ["new"], 2.0)
    use.record_start("1.0.0", "old")
    assert [call.started for call in use.settle(3.0)] == [1, 0]


def test_queues_with_unlike_validity_are_settled_apart():
    """Guards against calls that are kept behind one with longer validity."""
    use = advice_use.AdviceUse()
    use.record_answer("1.0.0", "slow", 1, ["k1"], 10.0)
    use.record_answer("2.0.0", "quick", 1, ["k2"], 1.0)
    assert [call.queue for call in use.settle(2.0)] == ["quick"]


def test_unused_calls_are_counted_and_logged():
    """Guards against calls without effect that an operator can't see."""
    cluster = decider_stage.SimulatedCluster(targets=2)
    decider = cluster.decider
    decider.advisers.set_members(["e0"])
    queue = decider_stage.make_queue(advice=POLICY)
    cluster.add_job("1", [decider_stage.make_step(cpu=4000)], queue)
    (request,) = cluster.schedule().advice_requests
    metrics = nodemetrics.NodeMetrics(nodelog.NodeLog(cluster.clock))
    answer = protocol.AdviceAnswer({"i-0": "k"}, None)
    decider.apply_advice(request, answer, cluster.clock.now())
    cluster.advance_time(1.6)
    leader_metrics.observe_advice_use(decider, metrics, cluster.clock.now())
    text = metrics.render()[0].decode()
    assert (
        'quetzal_node_advice_calls_total{outcome="unused",queue="q"} 1' in text
    )
    lines = decider_stage.read_log(cluster.log)
    assert any('"advice_unused"' in line for line in lines)
