"""Tests of the decider: what starts where, and what each end means."""

import pytest

import decider_stage
from quetzalswitch.acceptance import catalogue
from quetzalswitch.decision import jobs
from quetzalswitch.execution import protocol

End = protocol.End
step = decider_stage.make_step


@pytest.fixture(name="stage")
def _stage():
    return decider_stage.Stage()


def test_room_is_never_overcommitted(stage):
    """Guards against more work on a target than it has room for."""
    stage.add_job("1", [step(count=20, cpu=1500)])
    assert len(stage.work()) == 4
    assert stage.work() == []
    for target in stage.decider.targets.values():
        assert target.free()[0] >= 0


def test_unknown_start_keeps_its_room_and_its_task(stage):
    """Guards against a second start while the first may still happen."""
    stage.add_job("1", [step(cpu=4000)])
    (run,) = stage.place().starts
    run.token = stage.token
    stage.decider.note_unknown(run)
    stage.hold(run.target_id)
    assert stage.work() == []
    assert stage.decider.targets[run.target_id].free()[0] == 0
    # The target refuses the start once it has seen a higher token.
    stage.hold(run.target_id, token=stage.token + 1)
    (again,) = stage.work()
    assert again.number > run.number


def test_unknown_start_that_happened_is_kept(stage):
    """Guards against a doubled run after a lost answer."""
    stage.add_job("1", [step()])
    (run,) = stage.place().starts
    run.token = stage.token
    stage.decider.note_unknown(run)
    stage.running[run.target_id][run.task, run.number] = ["", 1]
    stage.hold(run.target_id, token=stage.token + 1)
    assert run.state is jobs.RunState.RUNNING
    assert stage.work() == []


def test_failed_run_is_tried_elsewhere_and_then_given_up(stage):
    """Guards against a failing target using up all attempts of a task."""
    queue = decider_stage.make_queue(attempts=2)
    job = stage.add_job("1", [step()], queue)
    (first,) = stage.work()
    stage.end_run(first, End.FAILED)
    stage.hold(first.target_id)
    (second,) = stage.work()
    assert second.target_id != first.target_id
    stage.end_run(second, End.FAILED)
    stage.hold(second.target_id)
    assert job.phase is jobs.Phase.FAILED
    assert job.shown is not jobs.Phase.FAILED
    stage.store()
    assert job.shown is jobs.Phase.FAILED


def test_failures_are_counted_once_over_takeovers():
    """Guards against an end that two deciders see counting twice."""
    first = decider_stage.Stage()
    queue = decider_stage.make_queue(attempts=2)
    job = first.add_job("1", [step()], queue)
    (run,) = first.work()
    first.end_run(run, End.FAILED)
    first.hold(run.target_id)
    second = decider_stage.Stage(epoch=2, settled=False)
    taken = second.add_job(
        "1", [step()], queue, inherited=True, progress=job.encode()
    )
    # The first decider died before it acknowledged the end.
    second.ended[run.target_id] = first.ended[run.target_id]
    second.hold_all()
    assert taken.phase is not jobs.Phase.FAILED
    second.decider.settled = True
    (again,) = second.work()
    assert again.number > run.number


def test_inherited_work_waits_until_it_is_settled():
    """Guards against a second run while a target has not been heard."""
    stage = decider_stage.Stage(settled=False)
    stage.add_job("1", [step()], inherited=True)
    stage.add_job("2", [step()])
    assert [run.stage.job.id[-1] for run in stage.work()] == ["2"]
    stage.decider.settled = True
    assert [run.stage.job.id[-1] for run in stage.work()] == ["1"]


def test_inherited_run_is_adopted(stage):
    """Guards against stopping or doubling what an earlier decider started."""
    job = stage.add_job("1", [step()], inherited=True)
    stage.running["i-0"][f"{job.id}.0.0.0", 7] = ["saved", 30]
    stage.hold_all()
    assert stage.work() == []
    assert stage.decider.collect().stops == []
    stage.end(f"{job.id}.0.0.0", 7, "i-0", End.DONE)
    stage.hold("i-0")
    assert job.phase is jobs.Phase.COMPLETED


def test_gang_starts_whole_or_not_at_all(stage):
    """Guards against members that wait in vain for the others."""
    stage.add_job("1", [step(count=5, cpu=1500, gang=True)])
    assert stage.work() == []
    stage.add_target("i-2")
    runs = stage.work()
    assert len(runs) == 5
    assert len({run.number for run in runs}) == 1


def test_one_end_of_a_gang_stands_for_all(stage):
    """Guards against members that are run again after the gang is done."""
    job = stage.add_job("1", [step(count=4, cpu=2000, gang=True)])
    runs = stage.work()
    stage.end_run(runs[0])
    stage.hold(runs[0].target_id)
    assert job.phase is jobs.Phase.COMPLETED
    assert stage.work() == []


def test_rejected_gang_member_stops_the_others(stage):
    """Guards against members that end alone after seconds of waiting."""
    stage.add_job("1", [step(count=4, cpu=2000, gang=True)])
    runs = stage.place().starts
    for run in runs[:3]:
        stage.confirm(run)
    stage.decider.note_rejected(
        runs[3], protocol.Rejection.NO_ROOM, stage.clock.now()
    )
    stopped = {stop.task for stop in stage.decider.collect().stops}
    assert stopped == {run.task for run in runs[:3]}


def test_gang_waiting_for_room_is_not_starved(stage):
    """Guards against small work that always takes the room first."""
    late = decider_stage.make_queue("late", priority=2)
    for number in range(12):
        stage.add_job(f"{number:x}a", [step(cpu=1000)], late)
    running = stage.work()
    assert len(running) == 8
    stage.add_target("i-2", 4000)
    stage.add_target("i-3", 4000)
    stage.add_target("i-4", 4000)
    gang = stage.add_job("ff", [step(count=2, cpu=3000, gang=True)])
    started = stage.work()
    assert {run.stage.job.id for run in started} >= {gang.id}


def test_waiting_gang_preempts_work_that_saves_its_progress(stage):
    """Guards against gangs that wait for patient work on every target."""
    patient = decider_stage.make_queue("late", priority=2)
    for number in range(2):
        saving = step(count=4, cpu=1000, checkpointing=True)
        stage.add_job(f"{number}a", [saving], patient)
    assert len(stage.work()) == 8
    gang = stage.add_job("ff", [step(count=2, cpu=3000, gang=True)])
    orders = stage.place()
    assert orders.stops == []
    stage.pass_time(1.6)
    stops = stage.place().stops
    assert len(stops) == 6
    for stop in stops:
        how = protocol.End.STOPPED
        stage.end(stop.task, stop.run, stop.target_id, how, "saved")
    stage.hold_all()
    assert {r.stage.job.id for r in stage.work()} == {gang.id}


def test_work_that_has_just_started_is_not_preempted(stage):
    """Guards against work that is stopped again and again by gangs.

    On ergyalo-sched-grown, trouble-3, 7,611 runs were preempted for 158 gangs.
    """
    patient = decider_stage.make_queue("late", priority=2)
    stage.add_job("b", [step(count=4, checkpointing=True)], patient)
    stage.work()
    gang = stage.add_job("fe", [step(count=2, cpu=4000, gang=True)])
    gang.stages[0, 0].ready_s -= 1.2
    stage.pass_time(0.4)
    assert stage.place().stops == []
    stage.pass_time(0.2)
    assert stage.place().stops


def test_work_that_saves_nothing_is_not_preempted(stage):
    """Guards against work that is thrown away."""
    patient = decider_stage.make_queue("late", priority=2)
    stage.add_job("a", [step(count=8, cpu=1000)], patient)
    stage.work()
    stage.add_job("ff", [step(count=2, cpu=3000, gang=True)])
    stage.pass_time(1.1)
    assert stage.place().stops == []


def test_steps_wait_for_the_steps_before(stage):
    """Guards against a step that starts before its input is there."""
    job = stage.add_job("1", [step(count=2), step(after=(0,))])
    first, second = stage.work()
    stage.end_run(first)
    stage.hold(first.target_id)
    assert stage.work() == []
    stage.end_run(second)
    stage.hold(second.target_id)
    (third,) = stage.work()
    assert third.task == f"{job.id}.0.1.0"


def test_lowered_limit_binds_at_once(stage):
    """Guards against starts above a team's limit after it was lowered."""
    stage.add_job("1", [step(count=8)])
    stage.configure(limit=catalogue.Resources(3000, 0, 0))
    assert len(stage.work()) == 3
    stage.configure(limit=catalogue.Resources(2000, 0, 0))
    assert stage.work() == []


def test_unknown_start_counts_against_the_limit(stage):
    """Guards against overshooting while outcomes are unknown."""
    stage.configure(limit=catalogue.Resources(1000, 0, 0))
    stage.add_job("1", [step(count=2)])
    (run,) = stage.place().starts
    run.token = stage.token
    stage.decider.note_unknown(run)
    assert stage.work() == []


def test_leaving_and_evacuated_targets_get_no_new_task(stage):
    """Guards against new tasks where operators want none."""
    stage.add_target("i-0", draining=True)
    stage.add_target("i-1", domain="b")
    stage.decider.evacuated = {"b"}
    stage.add_job("1", [step()])
    assert stage.work() == []
    stage.decider.evacuated = set()
    assert stage.work()[0].target_id == "i-1"


def test_silent_target_gets_no_new_task(stage):
    """Guards against starts on targets that are cut off."""
    stage.clock.advance(2.0)
    stage.add_job("1", [step()])
    assert stage.work() == []
    stage.hold("i-1")
    assert stage.work()[0].target_id == "i-1"


def test_lapsed_target_gives_its_tasks_back(stage):
    """Guards against tasks that wait for a target that never returns."""
    stage.add_job("1", [step()])
    (run,) = stage.work()
    target = stage.decider.targets[run.target_id]
    stage.decider.lapse(target, stage.clock.now())
    (again,) = stage.work()
    assert again.target_id != run.target_id
    # The target returns and tells how the first run ended.
    stage.end_run(run, End.LAPSED, "saved")
    stage.hold(run.target_id)
    assert stage.work() == []


def test_restarted_target_has_lost_its_runs(stage):
    """Guards against waiting for runs of an earlier lifetime."""
    stage.add_job("1", [step()])
    (run,) = stage.work()
    stage.running[run.target_id].clear()
    stage.hold(run.target_id, born=2)
    assert len(stage.work()) == 1


def test_missing_run_counts_only_if_the_hold_came_later(stage):
    """Guards against answers that overtake each other."""
    stage.add_job("1", [step()])
    (run,) = stage.place().starts
    before_s = stage.clock.now()
    stage.clock.advance(0.1)
    stage.hold("i-0")
    stage.hold("i-1")
    stage.decider.note_started(run, stage.clock.now())
    stage.hold(run.target_id, sent_s=before_s)
    assert stage.work() == []
    stage.clock.advance(0.1)
    stage.hold(run.target_id)
    assert len(stage.work()) == 1


def test_cancelled_work_is_stopped_and_shown_at_once(stage):
    """Guards against tasks that go on after their cancellation."""
    job = stage.add_job("1", [step(count=2)])
    runs = stage.work()
    stage.decider.cancel(job.id, stage.clock.now())
    assert len(stage.decider.collect().stops) == 2
    assert job.shown is jobs.Phase.CANCELLED
    # A lost stop is sent again with a later hold.
    stage.clock.advance(0.5)
    stage.hold_all()
    assert len(stage.decider.collect().stops) == 2
    for run in runs:
        stage.end_run(run, End.STOPPED)
    stage.hold_all()
    assert stage.work() == []


def test_cancelling_finished_work_changes_nothing(stage):
    """Guards against a result that turns into a cancellation."""
    job = stage.add_job("1", [step()])
    (run,) = stage.work()
    stage.end_run(run)
    stage.hold(run.target_id)
    stage.store()
    stage.decider.cancel(job.id, stage.clock.now())
    assert job.shown is jobs.Phase.COMPLETED


def test_completion_is_shown_when_stored_or_after_a_while(stage):
    """Guards against callers who wait for a slow store."""
    job = stage.add_job("1", [step()])
    (run,) = stage.work()
    stage.end_run(run)
    stage.hold(run.target_id)
    stage.decider.show_early(stage.clock.now())
    assert job.shown is jobs.Phase.RUNNING
    stage.clock.advance(0.2)
    stage.decider.show_early(stage.clock.now())
    assert job.shown is jobs.Phase.COMPLETED


def test_standing_run_is_moved_with_its_checkpoint(stage):
    """Guards against tasks that stand still for ever."""
    stage.add_job("1", [step(checkpointing=True)])
    (run,) = stage.work()
    stage.running[run.target_id][run.task, run.number] = ["c1", 40]
    stage.hold(run.target_id)
    stage.pass_time(2.5)
    stage.decider.move_stalled(stage.clock.now())
    (stop,) = stage.decider.collect().stops
    assert stop.task == run.task
    stage.end_run(run, End.STOPPED, "c2")
    stage.hold(run.target_id)
    (again,) = stage.work()
    assert again.checkpoint == "c2"
    assert again.target_id != run.target_id


def test_target_that_fails_everything_is_set_aside(stage):
    """Guards against a target that uses up the attempts of all work."""
    stage.add_target("i-2", 100000)
    target = stage.decider.targets["i-0"]
    assert not target.note_failed("a", False, stage.clock.now())
    assert target.note_failed("b", False, stage.clock.now())
    stage.add_job("1", [step(count=4)])
    assert {run.target_id for run in stage.work()} == {"i-1", "i-2"} - {"i-2"}


def test_progress_survives_encoding(stage):
    """Guards against tasks that run again after a restart."""
    job = stage.add_job("1", [step(count=9), step(after=(0,))])
    for run in stage.work()[:3]:
        stage.end_run(run)
    stage.hold_all()
    copy = jobs.Job(job.submission)
    copy.restore(job.encode())
    assert copy.stages[0, 0].done == job.stages[0, 0].done
    assert len(copy.stages[0, 0].done) == 3
