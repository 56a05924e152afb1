"""Simulates loads on a rack with data and checks the latency for callers."""

import random

import hypothesis
import hypothesis.strategies as st
import pytest

import decider_stage
import locality_stage
from quetzalswitch.acceptance import catalogue
from quetzalswitch.decision import jobs
from quetzalswitch.decision import locality


def draw_jobs(rng, rate, rack, seconds):
    """Returns arrivals of jobs with one task each: time, work in s, steps."""
    arrivals = []
    now_s = rng.expovariate(rate)
    while now_s < seconds:
        work_s = max(0.2, 3 * rng.lognormvariate(0, 0.5))
        estimate_s = work_s * rng.lognormvariate(0, 0.2)
        step = locality_stage.make_step(1, 18_000, rack, estimate_s)
        arrivals.append((now_s, work_s, [step]))
        now_s += rng.expovariate(rate)
    return arrivals


def simulate(cluster, arrivals, spread_factor, seconds):
    """Simulates a load; returns the time until completion of each job.

    Args:
        cluster: Decider and simulated targets.
        arrivals: Time, work (s) and steps of each job, in order.
        spread_factor: How much longer a task takes away from its data.
        seconds: Duration of the simulation.
    """
    waiting, running, added, took = list(arrivals), [], {}, {}
    now_s = 0.0
    while now_s < seconds:
        while waiting and waiting[0][0] <= now_s:
            since_s, work_s, steps = waiting.pop(0)
            job = cluster.add_job(f"{len(added) + 1:x}", steps)
            added[job.id] = (job, since_s, work_s)
        cluster.clock.advance(locality_stage.STEP_S)
        now_s += locality_stage.STEP_S
        for end_s, run in list(running):
            if end_s <= now_s:
                running.remove((end_s, run))
                cluster.end_run(run)
        for end_s, run in running:
            share = (now_s - run.started_s) / (end_s - run.started_s)
            listed = cluster.running[run.target_id]
            listed[run.task, run.number] = ["", int(100 * share)]
        cluster.renew_all_leases()
        cluster.store_progress()
        for run in cluster.start_tasks():
            work_s = added[run.stage.job.id][2]
            target = cluster.decider.targets[run.target_id]
            if target.registration.rack != run.stage.step.rack:
                work_s *= spread_factor
            running.append((now_s + work_s, run))
        for job, since_s, _ in added.values():
            if job.visible_phase is jobs.Phase.COMPLETED and job.id not in took:
                took[job.id] = now_s - since_s
    return list(took.values())


@pytest.mark.parametrize(
    ("rate", "spread_factor"),
    [(1.5, 1.5), (1.5, 3.0), (3.0, 1.5), (2.5, 3.0)],
)
def test_callers_get_results_no_later_than_without_waits(rate, spread_factor):
    """Guards against waits that make callers wait longer than they save.

    Two targets of six places hold the data of jobs that arrive at a rate of
    0.85, 1.4 and 1.7 of what they can do; six others are half used. At 1.4
    and 1.7, a wait as long as it pays for each job alone costs more than it
    saves.
    """
    totals_s = [0.0, 0.0]
    for seed in range(5):
        for number, factor in enumerate((1.0, spread_factor)):
            rng = random.Random(seed)
            cluster = locality_stage.make_cluster(2, 6, factor, cpu=64_000)
            arrivals = draw_jobs(rng, rate, locality_stage.NEAR, 30.0)
            arrivals += draw_jobs(rng, 2.0, locality_stage.FAR, 30.0)
            arrivals.sort(key=lambda arrival: arrival[0])
            took = simulate(cluster, arrivals, spread_factor, 90.0)
            assert len(took) == len(arrivals)
            totals_s[number] += sum(took)
    without_s, with_s = totals_s
    assert with_s <= without_s


def test_wait_is_shorter_the_more_work_the_rack_gets():
    """Guards against waits for a rack that is always busy."""
    shares = [locality.share_gain(u, 6.0) for u in (0, 0.5, 1, 1.5, 3, 1000)]
    assert shares == sorted(shares, reverse=True)
    assert shares[0] == pytest.approx(1.0, abs=0.01)
    assert shares[-1] < 0.2


@hypothesis.given(utilization=st.floats(0), gain=st.floats(1e-3, 1e9))
@hypothesis.settings(max_examples=200, deadline=None, derandomize=True)
def test_share_of_the_gain_is_defined_for_all_inputs(utilization, gain):
    """Guards against a pass that ends with an arithmetic error."""
    assert 0 <= locality.share_gain(utilization, gain) <= 1


def test_call_for_advice_of_a_gang_names_one_rack():
    """Guards against tickets for a few targets of each of many racks."""
    cluster = locality_stage.make_cluster(near=0, far=0)
    for number in range(90):
        cluster.add_target(f"i-{number}", rack=f"r2-{number % 9}")
    cluster.add_target("i-90", rack="r2-5")
    queue = decider_stage.make_queue(
        advice=catalogue.AdvicePolicy(10.0, 0.0, 60000.0)
    )
    cluster.decider.advisers.set_members(["e"])
    gang = locality_stage.make_step(2, rack="", gang=True, same_rack=True)
    cluster.add_job("a", [gang], queue)
    (request,) = cluster.schedule().advice_requests
    racks = [
        cluster.decider.targets[target_id].registration.rack
        for target_id in request.target_ids
    ]
    assert len(racks) > 2
    assert set(racks[: len(racks) // 2]) == {"r2-5"}
