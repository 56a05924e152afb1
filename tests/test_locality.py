"""Tests of the wait for targets near a task's data or its gang."""

import math

import hypothesis
import hypothesis.strategies as st
import msgspec
import pytest

import decider_stage
import locality_stage
from quetzalswitch import nodemetrics
from quetzalswitch.acceptance import catalogue
from quetzalswitch.decision import locality
from quetzalswitch.decision import openings
from quetzalswitch.execution import protocol
from quetzalswitch.recovery import leader_metrics

POLICY = catalogue.AdvicePolicy(10.0, 0.0, 60000.0)


def fill_rack(cluster, count=1, estimate_s=1.0):
    """Starts tasks that fill near targets; returns their runs."""
    step = locality_stage.make_step(count, estimate_s=estimate_s)
    cluster.add_job("f111", [step], decider_stage.make_queue("other"))
    runs = cluster.start_tasks()
    assert all(run.target_id.startswith("n-") for run in runs)
    assert len(runs) == count
    return runs


def list_targets(runs):
    return [run.target_id for run in runs]


def run_until_started(cluster, seconds, on_step=lambda: None):
    """Runs passes until a task starts; returns its runs and the time taken."""
    waited_s = 0.0
    while waited_s < seconds:
        runs = cluster.start_tasks()
        if runs:
            return runs, waited_s
        cluster.clock.advance(locality_stage.STEP_S)
        waited_s += locality_stage.STEP_S
        on_step()
        cluster.renew_all_leases()
    return [], waited_s


def read_waits(cluster):
    """Returns the logged waits."""
    lines = map(msgspec.json.decode, decider_stage.read_log(cluster.log))
    return [line for line in lines if line["event"] == "near_wait"]


# What pays


def test_task_waits_for_a_place_that_is_free_soon():
    """Guards against running twice as long to save a short wait."""
    cluster = locality_stage.make_cluster()
    (busy,) = fill_rack(cluster)
    cluster.advance_time(0.8)
    cluster.add_job("a", [locality_stage.make_step()])
    assert not cluster.start_tasks()
    cluster.advance_time(0.3)
    cluster.end_run(busy)
    cluster.renew_all_leases()
    assert list_targets(cluster.start_tasks()) == ["n-0"]


def test_task_starts_elsewhere_if_the_place_is_free_too_late():
    """Guards against a wait that takes longer than it saves."""
    cluster = locality_stage.make_cluster()
    fill_rack(cluster, estimate_s=1.5)
    cluster.add_job("a", [locality_stage.make_step()])
    (run,) = cluster.start_tasks()
    assert run.target_id.startswith("f-")
    assert not read_waits(cluster)


def test_only_tasks_with_a_place_wait():
    """Guards against tasks that all wait for the same place."""
    cluster = locality_stage.make_cluster(near=2)
    fill_rack(cluster, count=2)
    cluster.advance_time(0.8)
    cluster.add_job("a", [locality_stage.make_step(count=3)])
    (run,) = cluster.start_tasks()
    assert run.target_id.startswith("f-")


def test_less_urgent_step_does_not_count_on_the_place_of_another():
    """Guards against a wait for what goes to an earlier job of the queue."""
    cluster = locality_stage.make_cluster()
    fill_rack(cluster)
    cluster.advance_time(0.8)
    cluster.add_job("a", [locality_stage.make_step()])
    assert not cluster.start_tasks()
    cluster.clock.advance(0.01)
    later = cluster.add_job("b", [locality_stage.make_step()])
    (run,) = cluster.start_tasks()
    assert run.stage.job is later and run.target_id.startswith("f-")


@pytest.mark.parametrize("fields", [{"rack": ""}, {"long_running": True}])
def test_tasks_that_gain_nothing_do_not_wait(fields):
    """Guards against waits of tasks without a rack or without an end."""
    cluster = locality_stage.make_cluster()
    fill_rack(cluster)
    cluster.advance_time(0.9)
    cluster.add_job("a", [locality_stage.make_step(**fields)])
    assert len(cluster.start_tasks()) == 1


def test_no_task_waits_where_the_factor_is_not_known():
    """Guards against waits on a platform that says nothing of racks."""
    cluster = locality_stage.make_cluster(spread_factor=1.0)
    fill_rack(cluster)
    cluster.advance_time(0.9)
    cluster.add_job("a", [locality_stage.make_step()])
    assert len(cluster.start_tasks()) == 1


# Limits of a wait


def test_wait_ends_when_it_has_lasted_as_long_as_it_saves():
    """Guards against endless waits for a run that is always about to end."""
    cluster = locality_stage.make_cluster()
    (busy,) = fill_rack(cluster)
    cluster.advance_time(0.8)

    def _report_progress():
        cluster.running["n-0"][busy.task, busy.number] = ["", 99]

    cluster.add_job("a", [locality_stage.make_step()])
    runs, waited_s = run_until_started(cluster, 5.0, _report_progress)
    assert runs[0].target_id.startswith("f-")
    assert 0 < waited_s <= 1.0 + locality_stage.STEP_S


def test_tasks_far_longer_than_declared_are_not_waited_for():
    """Guards against trust in a declared time that progress contradicts."""
    cluster = locality_stage.make_cluster()
    (busy,) = fill_rack(cluster)
    cluster.advance_time(0.9)
    # At this rate it takes 4.5 s.
    cluster.running["n-0"][busy.task, busy.number] = ["", 20]
    cluster.renew_all_leases()
    cluster.add_job("a", [locality_stage.make_step()])
    assert len(cluster.start_tasks()) == 1


def test_tasks_far_shorter_than_declared_wait_only_for_what_they_take():
    """Guards against long waits to save a share of a time that isn't needed."""
    cluster = locality_stage.make_cluster(near=4)
    for number in range(40):
        cluster.add_job(
            f"{number + 1:x}", [locality_stage.make_step(estimate_s=5.0)]
        )
        (run,) = cluster.start_tasks()
        cluster.advance_time(0.5)
        cluster.end_run(run)
        cluster.renew_all_leases()
    job = cluster.add_job("a000", [locality_stage.make_step(estimate_s=5.0)])
    (stage,) = job.stages.values()
    expected_s = cluster.decider.run_times.expect_s(stage)
    assert 0.4 < expected_s < 1.0


def test_job_with_nothing_running_starts_soon():
    """Guards against a job that waits 3 s while there is room (LOST)."""
    cluster = locality_stage.make_cluster()
    (busy,) = fill_rack(cluster, estimate_s=60.0)
    cluster.advance_time(57.0)
    cluster.add_job("a", [locality_stage.make_step(estimate_s=60.0)])
    runs, waited_s = run_until_started(cluster, 5.0)
    assert runs[0].target_id.startswith("f-")
    assert waited_s <= locality.IDLE_JOB_LIMIT_S + locality_stage.STEP_S


@hypothesis.given(
    estimate_s=st.floats(0.1, 60),
    age_share=st.floats(0, 2),
    percent=st.integers(0, 100),
    spread_factor=st.floats(1.01, 10),
    stretch=st.floats(1, 5),
)
@hypothesis.settings(max_examples=60, deadline=None, derandomize=True)
def test_no_estimate_delays_an_idle_job_beyond_the_limit(
    estimate_s, age_share, percent, spread_factor, stretch
):
    """Guards against inputs for which the limit of an idle job fails."""
    cluster = locality_stage.make_cluster(spread_factor=spread_factor)
    (busy,) = fill_rack(cluster, estimate_s=estimate_s)
    cluster.running["n-0"][busy.task, busy.number] = ["", percent]
    cluster.clock.advance(age_share * estimate_s)
    cluster.renew_all_leases()
    queue = decider_stage.make_queue(stretch=stretch)
    cluster.add_job(
        "a", [locality_stage.make_step(estimate_s=estimate_s)], queue
    )
    runs, waited_s = run_until_started(cluster, 5.0)
    assert (
        runs and waited_s <= locality.IDLE_JOB_LIMIT_S + locality_stage.STEP_S
    )


def test_wait_ends_in_time_for_the_objective():
    """Guards against a wait that makes an answer late."""
    costs = locality.Costs(2.0, 1.0, 1.0, 103.5, math.inf)
    assert locality.limit_wait(costs, 0.0, 100.0) == pytest.approx(0.5)
    # Elsewhere it would be late, near it may still be in time.
    costs = locality.Costs(2.0, 1.0, 1.0, 102.5, math.inf)
    assert locality.limit_wait(costs, 0.0, 100.0) == pytest.approx(0.5)


def test_steps_that_follow_leave_less_time():
    """Guards against a wait that uses the time of the steps behind it."""
    queue = decider_stage.make_queue(stretch=1.0)
    cluster = locality_stage.make_cluster()
    steps = [
        locality_stage.make_step(),
        locality_stage.make_step(after=(0,)),
        locality_stage.make_step(after=(1,)),
    ]
    job = cluster.add_job("a", steps, queue)
    first, second = job.stages[0, 0], job.stages[0, 1]
    times = openings.RunTimes()
    costs = locality.estimate_costs(
        first, queue, times, locality_stage.SPREAD_FACTOR
    )
    assert costs.latest_end_s == pytest.approx(cluster.clock.now() + 2.0)
    # The first step has taken the slack of the whole job.
    (run,) = cluster.start_tasks()
    cluster.advance_time(2.0)
    cluster.end_run(run)
    cluster.renew_all_leases()
    costs = locality.estimate_costs(
        second, queue, times, locality_stage.SPREAD_FACTOR
    )
    assert costs.latest_end_s == pytest.approx(cluster.clock.now() + 1.0)


# Failures


def test_full_fleet_records_no_wait():
    """Guards against waits counted although there is no other place."""
    cluster = locality_stage.make_cluster(near=1, far=1)
    fill_rack(cluster)
    cluster.add_job("b", [locality_stage.make_step(rack=locality_stage.FAR)])
    cluster.start_tasks()
    cluster.add_job("a", [locality_stage.make_step()])
    assert not cluster.start_tasks()
    assert not cluster.decider.near_waits._waits


def test_full_fleet_gives_the_first_free_target_to_the_first_task():
    """Guards against idle targets while the fleet is full and tasks wait."""
    cluster = locality_stage.make_cluster(near=1, far=1)
    fill_rack(cluster, estimate_s=9.0)
    cluster.add_job("b", [locality_stage.make_step(rack=locality_stage.FAR)])
    (run,) = cluster.start_tasks()
    cluster.add_job("a", [locality_stage.make_step()])
    cluster.advance_time(1.0)
    cluster.end_run(run)
    cluster.renew_all_leases()
    assert list_targets(cluster.start_tasks()) == ["f-0"]


@pytest.mark.parametrize("failure", ["drained", "lost", "evacuated", "silent"])
def test_wait_ends_when_the_rack_is_out_of_use(failure):
    """Guards against a wait for targets that get no more tasks."""
    cluster = locality_stage.make_cluster()
    cluster.decider.targets["n-0"].registration = cluster.decider.targets[
        "n-0"
    ].registration._replace(failure_domain="b")
    fill_rack(cluster)
    cluster.advance_time(0.8)
    job = cluster.add_job("a", [locality_stage.make_step()])
    assert not cluster.start_tasks()
    now_s = cluster.clock.now()
    match failure:
        case "drained":
            cluster.register("n-0", draining=True, domain="b")
        case "lost":
            cluster.decider.remove_target("n-0", "gone", now_s)
        case "evacuated":
            cluster.decider.evacuated_domains = {"b"}
        case "silent":
            cluster.decider.targets["n-0"].mark_silent(now_s, now_s)
    runs = [run for run in cluster.start_tasks() if run.stage.job is job]
    assert list_targets(runs)[0].startswith("f-")
    assert [line["away"] for line in read_waits(cluster)] == [1]


def test_rack_that_does_not_exist_delays_nothing():
    """Guards against a wait for a rack whose targets have all left."""
    cluster = locality_stage.make_cluster()
    cluster.add_job("a", [locality_stage.make_step(rack="r9-9")])
    assert len(cluster.start_tasks()) == 1


def test_other_tasks_use_the_room_of_an_awaited_target():
    """Guards against idle room that is held for a task that waits."""
    cluster = locality_stage.make_cluster(near=1, far=2)
    cluster.add_job("f111", [locality_stage.make_step(cpu=3000)])
    assert list_targets(cluster.start_tasks()) == ["n-0"]
    cluster.advance_time(0.8)
    cluster.add_job("a", [locality_stage.make_step(cpu=4000)])
    assert not cluster.start_tasks()
    # They fit everywhere; the awaited target is used last.
    small = [decider_stage.make_step(cpu=1000)]
    started = []
    for number in range(9):
        cluster.add_job(f"{number + 16:x}", small)
        started += cluster.start_tasks()
    used = list_targets(started)
    assert used[:5] == ["f-0"] * 4 + ["f-1"]
    assert sorted(used) == ["f-0"] * 4 + ["f-1"] * 4 + ["n-0"]


def test_stages_behind_many_waiting_ones_are_examined():
    """Guards against waits that use up the stages that a pass examines."""
    cluster = locality_stage.make_cluster(near=1, far=0, cpu=200_000)
    cluster.add_job("f111", [locality_stage.make_step(cpu=200_000, rack="")])
    cluster.start_tasks()
    for number in range(3):
        cluster.add_target(f"f-{number}", 200_000, rack=locality_stage.FAR)
    cluster.advance_time(0.9)
    for number in range(200):
        cluster.add_job(f"{number + 1:x}", [locality_stage.make_step(cpu=1000)])
    cluster.clock.advance(0.01)
    last = cluster.add_job("e000", [decider_stage.make_step(cpu=1000)])
    started = []
    for _ in range(3):
        started += cluster.start_tasks()
    assert last in [run.stage.job for run in started]
    assert 201 - len(started) == locality.WAITING_STAGES_MAX_COUNT


def test_new_leader_does_not_extend_a_wait():
    """Guards against a wait that each takeover starts anew."""
    cluster = locality_stage.make_cluster()
    (busy,) = fill_rack(cluster)
    successor = locality_stage.make_cluster()
    successor.clock = cluster.clock
    target = successor.decider.targets["n-0"]
    steps = [locality_stage.make_step()]
    successor.add_job("f111", steps, inherited=True)
    successor.running["n-0"][busy.task, 5] = ["", 50]
    submission = decider_stage.make_submission("a", steps)
    successor.decider.add_job(
        submission, cluster.clock.now(), 5000.0, inherited=True
    )
    successor.renew_lease("n-0")
    assert target.runs
    assert len(successor.start_tasks()) == 1


def test_cancelled_job_ends_its_wait():
    """Guards against waits that stay counted after their job."""
    cluster = locality_stage.make_cluster()
    fill_rack(cluster)
    cluster.advance_time(0.8)
    job = cluster.add_job("a", [locality_stage.make_step()])
    cluster.start_tasks()
    cluster.decider.cancel(job.id, cluster.clock.now())
    cluster.start_tasks()
    assert [line["not_started"] for line in read_waits(cluster)] == [1]


# Gangs


def make_gang(count=2):
    return locality_stage.make_step(count, rack="", gang=True, same_rack=True)


def test_gang_waits_for_a_rack_that_is_free_soon():
    """Guards against a gang on two racks that slow each other down."""
    cluster = locality_stage.make_cluster(near=2, far=1)
    (busy,) = fill_rack(cluster)
    cluster.advance_time(0.8)
    cluster.add_job("a", [make_gang()])
    assert not cluster.start_tasks()
    cluster.end_run(busy)
    cluster.renew_all_leases()
    assert list_targets(cluster.start_tasks()) == ["n-0", "n-1"]


def test_gang_spreads_if_no_rack_is_free_in_time():
    """Guards against a gang that waits for a rack that is too small."""
    cluster = locality_stage.make_cluster(near=2, far=1)
    fill_rack(cluster, estimate_s=9.0)
    cluster.advance_time(0.8)
    cluster.add_job("a", [make_gang()])
    assert len(cluster.start_tasks()) == 2


# Advice


def test_call_for_advice_names_near_targets():
    """Guards against near targets without a ticket; half of it is near."""
    cluster = locality_stage.make_cluster(near=20, far=80)
    queue = decider_stage.make_queue(advice=POLICY)
    cluster.decider.advisers.set_members(["e"])
    fill_rack(cluster, count=20)
    cluster.add_job("a", [locality_stage.make_step(cpu=1000)], queue)
    (request,) = cluster.schedule().advice_requests
    near = [name for name in request.target_ids if name.startswith("n-")]
    assert len(near) == len(request.target_ids) // 2


def test_expired_ticket_counts_as_part_of_the_wait():
    """Guards against a wait that forgets the call for a new ticket."""
    cluster = locality_stage.make_cluster()
    slow = POLICY._replace(base_ms=900.0, valid_ms=100.0)
    queue = decider_stage.make_queue(advice=slow)
    cluster.decider.advisers.set_members(["e"])
    fill_rack(cluster)
    cluster.advance_time(0.8)
    cluster.add_job("a", [locality_stage.make_step()], queue)
    (request,) = cluster.schedule().advice_requests
    tickets = dict.fromkeys(request.target_ids, "t")
    cluster.decider.apply_advice(
        request, protocol.AdviceAnswer(tickets, None), cluster.clock.now()
    )
    (run,) = cluster.start_tasks()
    assert run.target_id.startswith("f-")


def test_start_elsewhere_follows_a_wait_beside_valid_tickets():
    """Guards against a waiting task that nobody starts with its tickets."""
    cluster = locality_stage.make_cluster()
    queue = decider_stage.make_queue(advice=POLICY)
    cluster.decider.advisers.set_members(["e"])
    fill_rack(cluster)
    cluster.advance_time(0.8)
    cluster.add_job("a", [locality_stage.make_step()], queue)
    (request,) = cluster.schedule().advice_requests
    tickets = dict.fromkeys(request.target_ids, "t")
    cluster.decider.apply_advice(
        request, protocol.AdviceAnswer(tickets, None), cluster.clock.now()
    )
    runs, waited_s = run_until_started(cluster, 5.0)
    assert runs[0].target_id.startswith("f-") and runs[0].ticket
    assert 0 < waited_s <= 1.0 + locality_stage.STEP_S


# What operators see


def test_log_gives_inputs_and_outcome():
    """Guards against a wait whose reason nobody can look up."""
    cluster = locality_stage.make_cluster()
    (busy,) = fill_rack(cluster)
    cluster.advance_time(0.8)
    cluster.add_job("a", [locality_stage.make_step()])
    cluster.start_tasks()
    cluster.advance_time(0.2)
    cluster.end_run(busy)
    cluster.renew_all_leases()
    cluster.start_tasks()
    (line,) = read_waits(cluster)
    assert line["rack"] == locality_stage.NEAR
    assert line["expected"] == pytest.approx(0.2, abs=0.01)
    assert line["extra"] == pytest.approx(1.0, abs=0.1)
    assert line["waited"] == pytest.approx(0.2)
    assert (line["near"], line["away"], line["not_started"]) == (1, 0, 0)


def test_metrics_count_places_and_waits():
    """Guards against metrics that miss a start or a wait that didn't pay."""
    cluster = locality_stage.make_cluster()
    fill_rack(cluster)
    cluster.advance_time(0.8)
    cluster.add_job("a", [locality_stage.make_step()])
    run_until_started(cluster, 5.0)
    metrics = nodemetrics.NodeMetrics(cluster.log)
    leader_metrics.observe_near_waits(cluster.decider, metrics)
    leader_metrics.observe_near_waits(cluster.decider, metrics)
    text = metrics.render()[0].decode()
    assert 'quetzal_node_placements_total{place="near"} 1' in text
    assert 'quetzal_node_placements_total{place="away"} 1' in text
    assert 'quetzal_node_near_wait_seconds_count{outcome="away"} 1' in text
