"""Tests of targets that are lost at the same time."""

import pytest

import crash_stage
from quetzalswitch.decision import crashes
from quetzalswitch.decision import jobs

SHARED = crashes.SHARED_WEIGHT
# After three crashes under it, a task may be started twice more.
STARTS_LIMIT_COUNT = 5


@pytest.fixture(name="play")
def _play():
    return crash_stage.Play()


def test_targets_that_crash_together_fail_no_job(play):
    """Guards against giving up tasks for the loss of a rack or a domain."""
    job = play.add("1", count=6, cpu=4000)
    for _ in range(3):
        play.play(2)
        lost = ("i-0", "i-1", "i-2", "i-3")
        play.lose(*lost)
        for target_id in lost:
            play.crash(target_id)
    play.play(30)
    assert job.phase is jobs.Phase.COMPLETED


def test_deadly_tasks_that_crash_together_are_given_up(play):
    """Guards against deadly tasks that pass for the loss of a rack."""
    deadly = [play.add(f"{n}", cpu=4000) for n in range(3)]
    for _ in range(STARTS_LIMIT_COUNT):
        starts = play.cluster.start_tasks()
        for target_id in {run.target_id for run in starts}:
            play.crash(target_id)
        play.wait(5.0)
    assert {job.phase for job in deadly} == {jobs.Phase.FAILED}


def test_gang_is_more_suspect_than_what_ran_beside_it(play):
    """Guards against taking the targets of a deadly gang for a lost rack."""
    gang = play.add("1", count=3, cpu=3000, gang=True)
    play.cluster.start_tasks()
    other = play.add("2", count=6)
    play.cluster.start_tasks()
    targets = {run.target_id for run in gang.stages[0, 0].all_runs()}
    assert {run.target_id for run in other.stages[0, 0].all_runs()} & targets
    play.lose(*targets)
    for target_id in targets:
        play.crash(target_id)
    assert crashes.score(gang.stages[0, 0], 0) >= SHARED
    scores = {crashes.score(other.stages[0, 0], i) for i in range(6)}
    assert max(scores) == crashes.COMMON_WEIGHT


def test_deadly_tasks_one_after_the_other_have_no_common_cause(play):
    """Guards against deadly tasks that hide behind each other's crashes."""
    deadly = [play.add(f"{n}", cpu=2000) for n in range(8)]
    runs = play.cluster.start_tasks()
    for target_id in sorted({run.target_id for run in runs}):
        play.crash(target_id)
        play.cluster.clock.advance(0.25)
    assert {crashes.score(job.stages[0, 0], 0) for job in deadly} == {SHARED}


def test_trials_that_end_together_have_no_common_cause(play):
    """Guards against deadly tasks that start together and never stand out."""
    deadly = [play.add(f"{n}") for n in range(4)]
    for job in deadly:
        job.stages[0, 0].crashes = {0: {1: SHARED, 2: SHARED}}
    starts = play.cluster.start_tasks()
    targets = {run.target_id for run in starts}
    assert len(targets) == 4
    play.lose(*targets)
    for target_id in targets:
        play.crash(target_id)
    assert {job.phase for job in deadly} == {jobs.Phase.FAILED}


def test_rack_that_falls_silent_is_a_common_cause(play):
    """Guards against blaming tasks for the loss of power to a rack.

    Calls to its targets time out one after the other.
    """
    others = [play.add(f"{n}", cpu=4000) for n in range(4)]
    play.cluster.start_tasks()
    targets = [job.stages[0, 0].all_runs()[0].target_id for job in others]
    for target_id in targets:
        play.cluster.clock.advance(0.25)
        target = play.cluster.decider.targets[target_id]
        target.mark_silent(target.last_contact_s, play.cluster.clock.now())
    for target_id in targets:
        play.crash(target_id)
    scores = {crashes.score(job.stages[0, 0], 0) for job in others}
    assert scores == {crashes.COMMON_WEIGHT}


def test_task_on_trial_is_not_given_up_for_a_lost_rack(play):
    """Guards against failing a suspect for what befell its rack."""
    job = play.add("1")
    job.stages[0, 0].crashes = {0: {1: SHARED, 2: SHARED}}
    (run,) = play.cluster.start_tasks()
    rack = [t for t in play.cluster.decider.targets if t != run.target_id][:3]
    rack.append(run.target_id)
    play.lose(*rack)
    for target_id in rack:
        play.crash(target_id)
    assert job.phase is jobs.Phase.RUNNING
