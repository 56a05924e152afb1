"""Tests for measures read from the parts of an entry process."""

import pytest

from quetzalswitch import clock as clocks
from quetzalswitch import configuration as configurations
from quetzalswitch import measures
from quetzalswitch import metrics
from quetzalswitch import policy
from quetzalswitch import records
from quetzalswitch import scheduler as schedulers
from quetzalswitch import traffic
from quetzalswitch.peers import mesh
from quetzalswitch.storage import outcomes


def render(measured):
    """Returns the values by name and labels."""
    lines = measured.render()[0].decode().splitlines()
    pairs = [line.rsplit(" ", 1) for line in lines if line[0] != "#"]
    return {name: float(value) for name, value in pairs}


@pytest.fixture
def scheduler():
    """Two targets of 4 slots; team a runs 3 tasks, b runs 1, c nothing."""
    made = schedulers.Scheduler(clocks.ManualClock(), policy.Policy())
    teams = {n: configurations.Team(n, 1.0, 9) for n in "abc"}
    queues = {n: configurations.Queue(n, n) for n in "abc"}
    made.configure(configurations.Configuration(1, teams, {}, queues))
    size = records.Resources(8.0, 8192, 0)
    for name, leaving in (("w1", False), ("w2", True)):
        target = records.Target(name, "", "d", "r", size, 4, leaving=leaving)
        made.add_target(target, [])
    for name in "ab":
        made.set_allowance(name, 9)
    for number, team in enumerate("aaab"):
        request = records.Request(
            str(number), team, team, records.Batch(), records.Resources()
        )
        made.submit(request)
    for decision in made.decide(9):
        for attempt in decision.attempts:
            made.attempt_started(attempt.attempt_id)
    return made


def test_packing_counts_usable_targets_and_excess_shows(scheduler):
    """Guards against poor packing by a leaving target, and hidden excess."""
    scheduler.set_allowance("a", 1)
    measured = metrics.Metrics()
    measures.measure_placement(
        measured, scheduler.cluster, scheduler.shares, set()
    )
    values = render(measured)
    assert values['quetzal_targets{state="usable"}'] == 1
    assert values['quetzal_targets{state="leaving"}'] == 1
    assert values['quetzal_packing_ratio{resource="slots"}'] == 1.0
    assert values['quetzal_packing_ratio{resource="cores"}'] == 0.5
    assert values['quetzal_limit_excess_tasks{team="a"}'] == 2
    assert values['quetzal_limit_excess_tasks{team="b"}'] == 0
    assert values['quetzal_share_distance_ratio{team="a"}'] == 0


def test_share_distance_counts_teams_that_want_more(scheduler):
    """Guards against alerts for teams that want less than their share."""
    shares = scheduler.shares
    distances = measures.find_distances(shares, {"c"})
    # Of 8 slots, a uses 3 and b 1; a third is due to each of the three.
    assert distances["a"] == pytest.approx(3 / 8 - 1 / 3)
    assert distances["b"] == 0.0
    assert distances["c"] == pytest.approx(-1 / 3)


def test_totals_of_store_and_peers():
    """Guards against counters that grow with each scrape."""
    measured = metrics.Metrics()
    counts = outcomes.Counts(transactions=7, bytes=90, resends=1)
    messages = {
        ("Heartbeat", "sent"): mesh.Count(2, 30),
        ("Forward", "sent"): mesh.Count(1, 10),
        ("Heartbeat", "received"): mesh.Count(2, 25),
        ("Forward", "dropped"): mesh.Count(3, 60),
    }
    for _ in range(2):
        measures.measure_store(measured, counts, failures=4)
        measures.measure_peers(measured, messages)
        measures.measure_traffic(
            measured,
            {
                "peers": traffic.Counter(40, 60),
                "platform": traffic.Counter(90, 10),
            },
        )
    values = render(measured)
    assert values['quetzal_store_writes_total{outcome="sent"}'] == 7
    assert values["quetzal_store_failures_total"] == 4
    sent = "quetzal_control_sent_bytes_total"
    assert values[f'{sent}{{party="peers"}}'] == 40
    assert values[f'{sent}{{party="platform"}}'] == 90
    assert values["quetzal_peer_messages_dropped_total"] == 3
