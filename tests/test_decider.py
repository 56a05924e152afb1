"""Tests of the decider: placement of tasks and handling of ends."""

import pytest

import decider_stage
from quetzalswitch.acceptance import catalogue
from quetzalswitch.decision import jobs
from quetzalswitch.decision import stalls
from quetzalswitch.execution import protocol

EndReason = protocol.EndReason
step = decider_stage.make_step


@pytest.fixture(name="cluster")
def _cluster():
    return decider_stage.SimulatedCluster()


def test_capacity_is_never_overcommitted(cluster):
    """Guards against tasks that exceed a target's capacity."""
    cluster.add_job("1", [step(count=20, cpu=1500)])
    assert len(cluster.start_tasks()) == 4
    assert cluster.start_tasks() == []
    for target in cluster.decider.targets.values():
        assert target.free_capacity()[0] >= 0


def test_unknown_start_keeps_its_resources_and_its_task(cluster):
    """Guards against a second start while the first may still be executed."""
    cluster.add_job("1", [step(cpu=4000)])
    (run,) = cluster.schedule().starts
    run.token = cluster.token
    cluster.decider.handle_start_unknown(run)
    cluster.renew_lease(run.target_id)
    assert cluster.start_tasks() == []
    assert cluster.decider.targets[run.target_id].free_capacity()[0] == 0
    # The target rejects the start once it has seen a higher token.
    cluster.renew_lease(run.target_id, token=cluster.token + 1)
    (again,) = cluster.start_tasks()
    assert again.number > run.number


def test_unknown_start_that_happened_is_kept(cluster):
    """Guards against a duplicate run after a lost answer."""
    cluster.add_job("1", [step()])
    (run,) = cluster.schedule().starts
    run.token = cluster.token
    cluster.decider.handle_start_unknown(run)
    cluster.running[run.target_id][run.task, run.number] = ["", 1]
    cluster.renew_lease(run.target_id, token=cluster.token + 1)
    assert run.state is jobs.RunState.RUNNING
    assert cluster.start_tasks() == []


def test_failed_run_is_retried_elsewhere_until_the_limit(cluster):
    """Guards against a failing target that uses up all attempts of a task."""
    queue = decider_stage.make_queue(attempts=2)
    job = cluster.add_job("1", [step()], queue)
    (first,) = cluster.start_tasks()
    cluster.end_run(first, EndReason.FAILED)
    cluster.renew_lease(first.target_id)
    (second,) = cluster.start_tasks()
    assert second.target_id != first.target_id
    cluster.end_run(second, EndReason.FAILED)
    cluster.renew_lease(second.target_id)
    assert job.phase is jobs.Phase.FAILED
    assert job.visible_phase is not jobs.Phase.FAILED
    cluster.store_progress()
    assert job.visible_phase is jobs.Phase.FAILED


def test_failures_are_counted_once_over_takeovers():
    """Guards against counting an end twice that two deciders receive."""
    first = decider_stage.SimulatedCluster()
    queue = decider_stage.make_queue(attempts=2)
    job = first.add_job("1", [step()], queue)
    (run,) = first.start_tasks()
    first.end_run(run, EndReason.FAILED)
    first.renew_lease(run.target_id)
    second = decider_stage.SimulatedCluster(epoch=2, reconciled=False)
    taken = second.add_job(
        "1", [step()], queue, inherited=True, progress=job.encode()
    )
    # The first decider stopped before it acknowledged the end.
    second.ended[run.target_id] = first.ended[run.target_id]
    second.renew_all_leases()
    assert taken.phase is not jobs.Phase.FAILED
    second.decider.reconciled = True
    (again,) = second.start_tasks()
    assert again.number > run.number


def test_inherited_work_waits_for_reconciliation():
    """Guards against a second run while a target has not answered yet."""
    cluster = decider_stage.SimulatedCluster(reconciled=False)
    cluster.add_job("1", [step()], inherited=True)
    cluster.add_job("2", [step()])
    assert [run.stage.job.id[-1] for run in cluster.start_tasks()] == ["2"]
    cluster.decider.reconciled = True
    assert [run.stage.job.id[-1] for run in cluster.start_tasks()] == ["1"]


def test_inherited_run_is_adopted(cluster):
    """Guards against stopping or repeating a run of an earlier decider."""
    job = cluster.add_job("1", [step()], inherited=True)
    cluster.running["i-0"][f"{job.id}.0.0.0", 7] = ["saved", 30]
    cluster.renew_all_leases()
    assert cluster.start_tasks() == []
    assert cluster.decider.collect_commands().stops == []
    cluster.add_end(f"{job.id}.0.0.0", 7, "i-0", EndReason.DONE)
    cluster.renew_lease("i-0")
    assert job.phase is jobs.Phase.COMPLETED


def test_gang_starts_whole_or_not_at_all(cluster):
    """Guards against members that wait for others which can't start."""
    cluster.add_job("1", [step(count=5, cpu=1500, gang=True)])
    assert cluster.start_tasks() == []
    cluster.add_target("i-2")
    runs = cluster.start_tasks()
    assert len(runs) == 5
    assert len({run.number for run in runs}) == 1


def test_one_end_of_a_gang_ends_the_whole_gang(cluster):
    """Guards against members that start again after the gang is done."""
    job = cluster.add_job("1", [step(count=4, cpu=2000, gang=True)])
    runs = cluster.start_tasks()
    cluster.end_run(runs[0])
    cluster.renew_lease(runs[0].target_id)
    assert job.phase is jobs.Phase.COMPLETED
    assert cluster.start_tasks() == []


def test_rejected_gang_member_stops_the_others(cluster):
    """Guards against members that wait for seconds for a rejected one."""
    cluster.add_job("1", [step(count=4, cpu=2000, gang=True)])
    runs = cluster.schedule().starts
    for run in runs[:3]:
        cluster.confirm_start(run)
    cluster.decider.handle_start_rejected(
        runs[3], protocol.Rejection.NO_CAPACITY, cluster.clock.now()
    )
    stopped = {stop.task for stop in cluster.decider.collect_commands().stops}
    assert stopped == {run.task for run in runs[:3]}


def test_gang_waiting_for_capacity_is_not_starved(cluster):
    """Guards against small tasks that always take the free capacity first."""
    batch_queue = decider_stage.make_queue("late", priority=2)
    for number in range(12):
        cluster.add_job(f"{number:x}a", [step(cpu=1000)], batch_queue)
    running = cluster.start_tasks()
    assert len(running) == 8
    cluster.add_target("i-2", 4000)
    cluster.add_target("i-3", 4000)
    cluster.add_target("i-4", 4000)
    gang = cluster.add_job("ff", [step(count=2, cpu=3000, gang=True)])
    started = cluster.start_tasks()
    assert {run.stage.job.id for run in started} >= {gang.id}


def test_waiting_gang_preempts_work_that_saves_its_progress(cluster):
    """Guards against gangs that wait for low-priority work on every target."""
    batch_queue = decider_stage.make_queue("late", priority=2)
    for number in range(2):
        saving = step(count=4, cpu=1000, checkpointing=True)
        cluster.add_job(f"{number}a", [saving], batch_queue)
    assert len(cluster.start_tasks()) == 8
    gang = cluster.add_job("ff", [step(count=2, cpu=3000, gang=True)])
    commands = cluster.schedule()
    assert commands.stops == []
    cluster.advance_time(1.6)
    stops = cluster.schedule().stops
    assert len(stops) == 6
    for stop in stops:
        reason = protocol.EndReason.STOPPED
        cluster.add_end(stop.task, stop.run, stop.target_id, reason, "saved")
    cluster.renew_all_leases()
    assert {r.stage.job.id for r in cluster.start_tasks()} == {gang.id}


def test_work_that_has_just_started_is_not_preempted(cluster):
    """Guards against tasks that gangs preempt repeatedly.

    In ergyalo-sched-grown, trouble-3, 7,611 runs were preempted for 158 gangs.
    """
    batch_queue = decider_stage.make_queue("late", priority=2)
    cluster.add_job("b", [step(count=4, checkpointing=True)], batch_queue)
    cluster.start_tasks()
    gang = cluster.add_job("fe", [step(count=2, cpu=4000, gang=True)])
    gang.stages[0, 0].ready_s -= 1.2
    cluster.advance_time(0.4)
    assert cluster.schedule().stops == []
    cluster.advance_time(0.2)
    assert cluster.schedule().stops


def test_work_that_saves_nothing_is_not_preempted(cluster):
    """Guards against preemption that loses all work of a run."""
    batch_queue = decider_stage.make_queue("late", priority=2)
    cluster.add_job("a", [step(count=8, cpu=1000)], batch_queue)
    cluster.start_tasks()
    cluster.add_job("ff", [step(count=2, cpu=3000, gang=True)])
    cluster.advance_time(1.1)
    assert cluster.schedule().stops == []


def test_steps_wait_for_the_steps_before(cluster):
    """Guards against a step that starts before its input exists."""
    job = cluster.add_job("1", [step(count=2), step(after=(0,))])
    first, second = cluster.start_tasks()
    cluster.end_run(first)
    cluster.renew_lease(first.target_id)
    assert cluster.start_tasks() == []
    cluster.end_run(second)
    cluster.renew_lease(second.target_id)
    (third,) = cluster.start_tasks()
    assert third.task == f"{job.id}.0.1.0"


def test_lowered_limit_binds_at_once(cluster):
    """Guards against starts above a team's limit after it was lowered."""
    cluster.add_job("1", [step(count=8)])
    cluster.configure(limit=catalogue.Resources(3000, 0, 0))
    assert len(cluster.start_tasks()) == 3
    cluster.configure(limit=catalogue.Resources(2000, 0, 0))
    assert cluster.start_tasks() == []


def test_unknown_start_counts_against_the_limit(cluster):
    """Guards against exceeding a limit while outcomes are unknown."""
    cluster.configure(limit=catalogue.Resources(1000, 0, 0))
    cluster.add_job("1", [step(count=2)])
    (run,) = cluster.schedule().starts
    run.token = cluster.token
    cluster.decider.handle_start_unknown(run)
    assert cluster.start_tasks() == []


def test_leaving_and_evacuated_targets_get_no_new_task(cluster):
    """Guards against new tasks on draining or evacuated targets."""
    cluster.add_target("i-0", draining=True)
    cluster.add_target("i-1", domain="b")
    cluster.decider.evacuated_domains = {"b"}
    cluster.add_job("1", [step()])
    assert cluster.start_tasks() == []
    cluster.decider.evacuated_domains = set()
    assert cluster.start_tasks()[0].target_id == "i-1"


def test_unresponsive_target_gets_no_new_task(cluster):
    """Guards against starts on targets that are not connected."""
    cluster.clock.advance(2.0)
    cluster.add_job("1", [step()])
    assert cluster.start_tasks() == []
    cluster.renew_lease("i-1")
    assert cluster.start_tasks()[0].target_id == "i-1"


def test_tasks_start_elsewhere_after_leases_expired(cluster):
    """Guards against tasks that wait for a target that never returns."""
    cluster.add_job("1", [step()])
    (run,) = cluster.start_tasks()
    target = cluster.decider.targets[run.target_id]
    cluster.decider.expire_leases(target, cluster.clock.now())
    (again,) = cluster.start_tasks()
    assert again.target_id != run.target_id
    # The target reconnects and reports how the first run ended.
    cluster.end_run(run, EndReason.LEASE_EXPIRED, "saved")
    cluster.renew_lease(run.target_id)
    assert cluster.start_tasks() == []


def test_restarted_target_has_lost_its_runs(cluster):
    """Guards against waiting for runs of an earlier incarnation."""
    cluster.add_job("1", [step()])
    (run,) = cluster.start_tasks()
    cluster.running[run.target_id].clear()
    cluster.renew_lease(run.target_id, boot_ms=2)
    assert len(cluster.start_tasks()) == 1


def test_missing_run_ends_only_if_the_renewal_was_sent_later(cluster):
    """Guards against ending a run because of an outdated answer.

    A lease renewal that was sent before the start was confirmed doesn't list
    the run, though it is active.
    """
    cluster.add_job("1", [step()])
    (run,) = cluster.schedule().starts
    before_s = cluster.clock.now()
    cluster.clock.advance(0.1)
    cluster.renew_lease("i-0")
    cluster.renew_lease("i-1")
    cluster.decider.handle_start_confirmed(run, cluster.clock.now())
    cluster.renew_lease(run.target_id, sent_s=before_s)
    assert cluster.start_tasks() == []
    cluster.clock.advance(0.1)
    cluster.renew_lease(run.target_id)
    assert len(cluster.start_tasks()) == 1


def test_cancelled_work_is_stopped_and_visible_at_once(cluster):
    """Guards against tasks that continue after their cancellation."""
    job = cluster.add_job("1", [step(count=2)])
    runs = cluster.start_tasks()
    cluster.decider.cancel(job.id, cluster.clock.now())
    assert len(cluster.decider.collect_commands().stops) == 2
    assert job.visible_phase is jobs.Phase.CANCELLED
    # A lost stop command is sent again after a later lease renewal.
    cluster.clock.advance(0.5)
    cluster.renew_all_leases()
    assert len(cluster.decider.collect_commands().stops) == 2
    for run in runs:
        cluster.end_run(run, EndReason.STOPPED)
    cluster.renew_all_leases()
    assert cluster.start_tasks() == []


def test_cancelling_finished_work_changes_nothing(cluster):
    """Guards against a completed job that becomes cancelled."""
    job = cluster.add_job("1", [step()])
    (run,) = cluster.start_tasks()
    cluster.end_run(run)
    cluster.renew_lease(run.target_id)
    cluster.store_progress()
    cluster.decider.cancel(job.id, cluster.clock.now())
    assert job.visible_phase is jobs.Phase.COMPLETED


def test_completion_is_visible_when_stored(cluster):
    """Guards against a completion that the next leader knows nothing of."""
    job = cluster.add_job("1", [step()])
    (run,) = cluster.start_tasks()
    cluster.end_run(run)
    cluster.renew_lease(run.target_id)
    cluster.advance_time(60)
    assert job.visible_phase is jobs.Phase.RUNNING
    cluster.store_progress()
    assert job.visible_phase is jobs.Phase.COMPLETED


def test_stalled_run_is_restarted_from_its_checkpoint(cluster):
    """Guards against tasks that never finish on a stalled target."""
    cluster.add_job("1", [step(checkpointing=True)])
    (run,) = cluster.start_tasks()
    cluster.running[run.target_id][run.task, run.number] = ["c1", 40]
    cluster.renew_lease(run.target_id)
    cluster.advance_time(2.5)
    stalls.stop_stalled_runs(cluster.decider, cluster.clock.now())
    (stop,) = cluster.decider.collect_commands().stops
    assert stop.task == run.task
    cluster.end_run(run, EndReason.STOPPED, "c2")
    cluster.renew_lease(run.target_id)
    (again,) = cluster.start_tasks()
    assert again.checkpoint == "c2"
    assert again.target_id != run.target_id


def test_target_that_fails_everything_is_quarantined(cluster):
    """Guards against a faulty target that uses up the attempts of all jobs."""
    cluster.add_target("i-2", 100000)
    target = cluster.decider.targets["i-0"]
    assert not target.record_failed_run("a", False, cluster.clock.now())
    assert target.record_failed_run("b", False, cluster.clock.now())
    cluster.add_job("1", [step(count=4)])
    assert {run.target_id for run in cluster.start_tasks()} == {
        "i-1",
        "i-2",
    } - {"i-2"}


def test_progress_survives_encoding(cluster):
    """Guards against completed tasks that run again after a restart."""
    job = cluster.add_job("1", [step(count=9), step(after=(0,))])
    for run in cluster.start_tasks()[:3]:
        cluster.end_run(run)
    cluster.renew_all_leases()
    copy = jobs.Job(job.submission)
    copy.restore(job.encode())
    assert copy.stages[0, 0].done == job.stages[0, 0].done
    assert len(copy.stages[0, 0].done) == 3


def test_start_confirmed_by_a_restarted_target_is_not_repeated(cluster):
    """Guards against two runs of a task that the new incarnation started."""
    job = cluster.add_job("1", [step(count=2)])
    sent_s = cluster.clock.now()
    cluster.clock.advance(0.1)
    first, second = cluster.start_tasks()
    cluster.running[first.target_id].pop((first.task, first.number))
    cluster.renew_lease(first.target_id, boot_ms=2, sent_s=sent_s)
    assert cluster.start_tasks() == []
    assert job.stages[0, 0].all_runs() == [first, second]
    cluster.clock.advance(0.1)
    cluster.renew_lease(first.target_id, boot_ms=2)
    assert [run.index for run in cluster.start_tasks()] == [first.index]
    assert second in job.stages[0, 0].all_runs()


def test_passes_that_start_nothing_use_no_run_numbers():
    """Guards against an epoch that runs out of numbers while tasks wait."""
    cluster = decider_stage.SimulatedCluster(targets=1)
    cluster.add_job("a", [decider_stage.make_step(count=2, cpu=4000)])
    assert len(cluster.start_tasks()) == 1
    before = cluster.decider.next_run_number()
    for _ in range(5):
        assert not cluster.start_tasks()
    assert cluster.decider.next_run_number() == before + 1
