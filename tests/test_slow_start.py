"""Tests of steps whose tasks crash several targets."""

import pytest

import crash_stage
from quetzalswitch.decision import crashes
from quetzalswitch.decision import jobs
from quetzalswitch.decision import passes


@pytest.fixture(name="play")
def _play():
    return crash_stage.Play()


@pytest.mark.parametrize(("count", "cpu"), [(8, 1000), (8, 4000), (20, 1000)])
def test_job_of_deadly_tasks_takes_down_few_targets(count, cpu):
    """Guards against one job whose tasks take down the fleet, each a few."""
    play = crash_stage.Play(targets=24)
    job = play.add_deadly(count=count, cpu=cpu)
    others = [play.add(f"a{n}", count=3) for n in range(6)]
    first = -(-count * cpu // 4000)
    play.play(60)
    assert job.phase is jobs.Phase.FAILED
    assert len(play.beside) <= first + crashes.CRASHES_MAX_COUNT
    assert {job.phase for job in others} == {jobs.Phase.COMPLETED}


def test_wide_job_is_soon_done_after_crashes_that_it_did_not_cause(play):
    """Guards against tasks that start one by one until their job is late."""
    job = play.add("1", count=12, cpu=2000)
    play.cluster.start_tasks()
    rack = sorted({run.target_id for run in job.stages[0, 0].all_runs()})
    play.lose(*rack)
    for target_id in rack:
        play.crash(target_id)
    # Twelve tasks of 1.5 s: one, two, four and five at a time.
    play.play(4 * 3 + 2)
    assert job.phase is jobs.Phase.COMPLETED


def test_silent_target_keeps_suspected_tasks_waiting_for_a_limited_time(play):
    """Guards against jobs that wait for the leases of a lost target."""
    job = play.add("1", count=2, cpu=4000)
    stage = job.stages[0, 0]
    stage.crashes = {index: {1: crashes.COMMON_WEIGHT} for index in range(2)}
    stage.crashed_targets = crashes.SLOW_START_MIN_COUNT
    (run,) = play.cluster.start_tasks()
    play.lose(run.target_id)
    assert play.cluster.start_tasks() == []
    play.cluster.clock.advance(passes.SILENT_RUN_S + 0.1)
    for target_id in list(play.cluster.decider.targets):
        if target_id != run.target_id:
            play.renew(target_id)
    assert len(play.cluster.start_tasks()) == 1
