"""Tests that work that can't start keeps no other work waiting."""

import pytest

import decider_stage
from quetzalswitch.acceptance import catalogue
from quetzalswitch.decision import passes
from quetzalswitch.execution import protocol

LIMIT = catalogue.Resources(4000, 0, 0)
# More than one pass examines.
MANY = 400
# Sorts behind the other jobs.
LAST_ID = "f" * 16


def _make_limited(**options):
    return decider_stage.SimulatedCluster(targets=4, limit=LIMIT, **options)


def _add_many(cluster, steps, count=MANY, **options):
    return [
        cluster.add_job(str(number), steps, **options)
        for number in range(count)
    ]


def _start_in_passes(cluster, count):
    return [run for _ in range(count) for run in cluster.start_tasks()]


def test_team_at_its_limit_keeps_no_other_team_waiting():
    """Guards against review/10: 150 waiting steps of one team stop all others.

    A pass examined the first 150 steps of the queue only, also where a limit
    kept all of them from starting.
    """
    cluster = _make_limited()
    _add_many(cluster, [decider_stage.make_step()])
    assert len(cluster.start_tasks()) == 4
    other = cluster.add_job(LAST_ID, [decider_stage.make_step()], team="t2")
    started = cluster.start_tasks()
    assert [run.stage.job for run in started] == [other]


def test_many_demands_of_a_team_at_its_limit_keep_no_other_team_waiting():
    """Guards against a head of line for each demand that a team invents."""
    cluster = _make_limited()
    for number in range(MANY):
        step = decider_stage.make_step(cpu=3000 + number)
        cluster.add_job(str(number), [step])
    assert len(cluster.start_tasks()) == 1
    other = cluster.add_job(LAST_ID, [decider_stage.make_step()], team="t2")
    started = cluster.start_tasks()
    assert [run.stage.job for run in started] == [other]


def test_work_for_a_label_without_targets_keeps_no_other_work_waiting():
    """Guards against the cause of review/10 with another reason to wait."""
    cluster = decider_stage.SimulatedCluster()
    step = decider_stage.make_step(required_label="nowhere")
    _add_many(cluster, [step])
    other = cluster.add_job(LAST_ID, [decider_stage.make_step()], team="t2")
    started = cluster.start_tasks()
    assert [run.stage.job for run in started] == [other]
    assert cluster.decider.ready.count_waiting()["no_target"] == MANY


def test_inherited_work_keeps_no_new_work_waiting():
    """Guards against a takeover that stops work which no one has started."""
    cluster = decider_stage.SimulatedCluster(reconciled=False)
    _add_many(cluster, [decider_stage.make_step()], inherited=True)
    other = cluster.add_job(LAST_ID, [decider_stage.make_step()], team="t2")
    started = cluster.start_tasks()
    assert [run.stage.job for run in started] == [other]
    cluster.decider.reconciled = True
    assert cluster.start_tasks()[0].stage.job.inherited


def test_work_that_fits_nowhere_is_passed_within_few_passes():
    """Guards against a head of line of tasks that are too large for the room.

    The steps behind the most urgent ones are examined in turn.
    """
    cluster = decider_stage.SimulatedCluster(targets=2)
    _add_many(cluster, [decider_stage.make_step(cpu=5000)])
    other = cluster.add_job(LAST_ID, [decider_stage.make_step()], team="t2")
    count = -(-MANY // passes.ROTATION_LIMIT)
    started = _start_in_passes(cluster, count)
    assert [run.stage.job for run in started] == [other]


def test_gang_examined_in_turn_reserves_nothing():
    """Guards against targets that another gang reserves in each pass."""
    cluster = decider_stage.SimulatedCluster(targets=4)
    cluster.add_job("c", [decider_stage.make_step(cpu=3000, count=2)])
    cluster.start_tasks()
    _add_many(cluster, [decider_stage.make_step(cpu=5000)])
    gang = decider_stage.make_step(cpu=3000, count=3, gang=True)
    gang_job = cluster.add_job(LAST_ID, [gang])
    for _ in range(10):
        assert cluster.start_tasks() == []
        assert not cluster.decider.reserved_targets
    assert not gang_job.stages[0, 0].kept_targets


def test_waiting_work_of_a_team_starts_when_its_limit_allows_it():
    """Guards against steps that stay parked; the most urgent goes first."""
    cluster = _make_limited()
    waiting = _add_many(cluster, [decider_stage.make_step()])
    first = cluster.start_tasks()
    assert cluster.start_tasks() == []
    assert cluster.decider.ready.count_waiting()["team_limit"] == MANY - 4
    for run in first:
        cluster.end_run(run)
    cluster.renew_all_leases()
    started = cluster.start_tasks()
    assert [run.stage.job for run in started] == waiting[4:8]


def test_waiting_work_starts_when_the_limit_is_raised():
    """Guards against steps that stay parked after a new configuration."""
    cluster = _make_limited()
    _add_many(cluster, [decider_stage.make_step()])
    cluster.start_tasks()
    cluster.start_tasks()
    cluster.configure(limit=catalogue.Resources(6000, 0, 0))
    assert len(cluster.start_tasks()) == 2
    cluster.configure()
    assert len(cluster.start_tasks()) == 10


def test_smaller_task_behind_one_over_the_limit_starts():
    """Guards against a head of line within a team."""
    cluster = _make_limited()
    cluster.add_job("1", [decider_stage.make_step(cpu=3000)])
    cluster.start_tasks()
    cluster.add_job("2", [decider_stage.make_step(cpu=2000)])
    small = cluster.add_job("3", [decider_stage.make_step(cpu=1000)])
    assert [run.stage.job for run in cluster.start_tasks()] == [small]


@pytest.mark.parametrize("phase", ["cancelled", "done elsewhere"])
def test_parked_work_that_needs_no_start_leaves_the_queue(phase):
    """Guards against ended steps that stay parked."""
    cluster = _make_limited()
    waiting = _add_many(cluster, [decider_stage.make_step()], count=5)
    cluster.start_tasks()
    cluster.start_tasks()
    last = waiting[4]
    assert cluster.decider.ready.count_waiting()["team_limit"] == 1
    if phase == "cancelled":
        cluster.decider.cancel(last.id, cluster.clock.now())
    else:
        task = f"{last.id}.0.0.0"
        cluster.add_end(task, 99, "i-0", protocol.EndReason.DONE)
        cluster.renew_all_leases()
    assert len(cluster.decider.ready) == 0
    assert cluster.start_tasks() == []


def test_log_and_metrics_tell_why_steps_wait():
    """Guards against waiting work whose cause no line of the log names."""
    cluster = _make_limited()
    _add_many(cluster, [decider_stage.make_step()])
    cluster.start_tasks()
    cluster.start_tasks()
    lines = [
        line
        for line in decider_stage.read_log(cluster.log)
        if "steps_wait" in line
    ]
    assert len(lines) == 1
    assert '"reason":"team_limit"' in lines[0]


def test_every_stage_is_listed_in_turn():
    """Guards against a part of the queue that no pass reaches."""
    cluster = decider_stage.SimulatedCluster()
    _add_many(cluster, [decider_stage.make_step(cpu=5000)], count=100)
    ready = cluster.decider.ready
    first = ready.list_first(10)
    seen = set()
    for _ in range(5):
        found = ready.list_next(first[-1].sort_key, 20)
        assert seen.isdisjoint(stage.key for stage in found)
        seen |= {stage.key for stage in found}
    assert len(seen) == 90


def test_every_cause_is_checked_in_turn():
    """Guards against parked steps that wait for ever behind other causes."""
    cluster = decider_stage.SimulatedCluster()
    for number in range(6):
        step = decider_stage.make_step(required_label=f"label-{number}")
        cluster.add_job(str(number), [step])
    cluster.start_tasks()
    ready = cluster.decider.ready
    seen = {cause for _ in range(3) for cause in ready.list_causes(2)}
    assert len(seen) == 6
