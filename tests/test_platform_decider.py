"""Tests of the decider for faults that users' recorded workloads revealed."""

import pytest

import decider_stage
import wire_platform
import wire_store
from quetzalswitch import clock as clocks
from quetzalswitch.acceptance import catalogue
from quetzalswitch.decision import jobs
from quetzalswitch.decision import stalls
from quetzalswitch.execution import protocol
from quetzalswitch.platform import targets

EndReason = protocol.EndReason
step = decider_stage.make_step


@pytest.fixture(name="cluster")
def _cluster():
    return decider_stage.SimulatedCluster()


def _start_successor(old, responsive):
    """Returns the cluster of a new decider that some targets respond to."""
    new = decider_stage.SimulatedCluster(targets=0, epoch=2, reconciled=False)
    for job in old.decider.jobs.values():
        new.decider.add_job(
            job.submission,
            new.clock.now(),
            0.0,
            inherited=True,
            progress=job.encode(),
        )
    for name in old.decider.targets:
        new.running[name] = old.running[name]
        new.ended[name] = old.ended[name]
        target = new.add_target(name) if name in responsive else None
        if target is None:
            registration = old.decider.targets[name].registration
            new.decider.register(registration, new.clock.now())
    return new


def test_inherited_work_starts_though_a_target_is_unresponsive(cluster):
    """Guards against a wait of 7 s after each handover with a dead target.

    Found in incident inc-0743 of moorwater-logs: the `settled` event came
    after 6.98 s.
    """
    cluster.add_job("a", [step(cpu=3000)])
    cluster.add_job("b", [step(cpu=3000)])
    runs = {run.target_id: run for run in cluster.start_tasks()}
    cluster.add_job("c", [step(cpu=1000)])
    new = _start_successor(cluster, {"i-0"})
    assert new.start_tasks() == []
    runs_by_target = {
        name: [(run.task, run.number)] for name, run in runs.items()
    }
    assert new.decider.apply_handover(runs_by_target, {"i-1"}, new.clock.now())
    assert [run.stage.job.id[-1] for run in new.start_tasks()] == ["c"]
    # Tasks of the unresponsive target start again after its leases expired.
    new.decider.expire_leases(new.decider.targets["i-1"], new.clock.now())
    pending = new.decider.jobs[runs["i-1"].stage.job.id].stages[0, 0].pending
    assert pending == {0}


def test_handover_that_names_unknown_work_changes_nothing(cluster):
    """Guards against a second start of a job whose row is read late."""
    cluster.add_job("a", [step(cpu=3000)])
    (run,) = cluster.start_tasks()
    new = _start_successor(cluster, {"i-0"})
    runs_by_target = {
        "i-1": [(f"{'e' * 16}.0.0.0", 1)],
        "i-0": [(run.task, run.number)],
    }
    assert not new.decider.apply_handover(
        runs_by_target, {"i-1"}, new.clock.now()
    )
    assert not new.decider.reconciled


def test_task_whose_end_is_beyond_the_listed_ones_is_not_started(cluster):
    """Guards against a second run of a done task after a long outage."""
    cluster.add_job("a", [step(count=3)])
    runs = cluster.start_tasks()
    target_id = runs[0].target_id
    cluster.advance_time(1)
    for run in runs:
        cluster.end_run(run)
    cluster.renew_lease(target_id, limit=1)
    assert cluster.start_tasks() == []


def test_end_of_a_step_whose_dependency_is_not_known_to_be_done(cluster):
    """Guards against a pass that fails, so that nothing starts any more.

    The end of the first step was lost with its target and the earlier leader.
    """
    job = cluster.add_job("a", [step(), step(after=(0,))])
    cluster.add_end(f"{job.id}.0.1.0", 5, "i-0", EndReason.STOPPED)
    cluster.renew_all_leases()
    (first,) = cluster.start_tasks()
    assert first.stage.number == 0
    cluster.end_run(first)
    cluster.renew_all_leases()
    (second,) = cluster.start_tasks()
    assert second.stage.number == 1


def test_late_end_of_a_gang_does_not_stop_its_next_run(cluster):
    """Guards against a gang that is stopped for the end of an earlier run."""
    job = cluster.add_job("a", [step(count=2, gang=True)])
    first = cluster.start_tasks()
    cluster.end_run(first[0], EndReason.FAILED)
    cluster.end_run(first[1], EndReason.GANG_BROKEN)
    cluster.renew_all_leases()
    second = cluster.start_tasks()
    assert len(second) == 2
    cluster.schedule()
    cluster.add_end(
        f"{job.id}.0.0.0", first[0].number, "i-0", EndReason.GANG_BROKEN
    )
    cluster.renew_all_leases()
    assert cluster.schedule().stops == []


def test_successor_waits_for_ends_beyond_the_listed_ones(cluster):
    """Guards against a second run of a done task after a change of leader."""
    cluster.add_job("a", [step(count=3)])
    runs = cluster.start_tasks()
    for run in runs:
        cluster.end_run(run)
    new = _start_successor(cluster, set())
    new.renew_lease(runs[0].target_id, limit=1)
    assert not new.decider.targets[runs[0].target_id].synced
    new.renew_lease(runs[0].target_id)
    assert new.decider.targets[runs[0].target_id].synced


def test_full_list_of_ends_is_incomplete():
    """Guards against a limited list that passes for all ends of a target."""
    standin = wire_platform.Target(1.0)
    _, address = wire_store.serve(standin)
    client = targets.TargetClient("i-0", address, clocks.SystemClock())
    command = protocol.RenewCommand(1, 0, 0, 0.0)
    for number in range(targets.LISTED_ENDS_LIMIT - 1):
        standin.add_end((f"{'a' * 16}.0.0.{number}", 1))
    assert client.renew_leases(command, 5.0).complete
    standin.add_end((f"{'b' * 16}.0.0.0", 1))
    standin.add_end((f"{'b' * 16}.0.0.1", 1))
    answer = client.renew_leases(command, 5.0)
    assert (len(answer.ended), answer.complete) == (500, False)
    client.close()


def test_urgent_work_avoids_targets_reserved_for_a_gang(cluster):
    """Guards against small tasks that take the capacity a gang waits for."""
    batch_queue = decider_stage.make_queue("late", priority=2)
    cluster.add_target("i-2", 5000)
    for name in ("i-0", "i-1", "i-2"):
        cluster.decider.targets[name].registration = cluster.decider.targets[
            name
        ].registration._replace(capacity=catalogue.Resources(5000, 100000, 0))
    cluster.add_job("a", [step(count=3, max_per_target=1)], batch_queue)
    cluster.start_tasks()
    gang = [step(count=2, cpu=4500, gang=True)]
    cluster.add_job("ff", gang, decider_stage.make_queue("mid", priority=1))
    cluster.schedule()
    reserved = cluster.decider.reserved_targets
    assert len(reserved) == 2
    urgent = decider_stage.make_queue("now", priority=0)
    cluster.add_job("b", [step(cpu=500)], urgent)
    (run,) = cluster.start_tasks()
    assert run.target_id not in reserved


def test_urgent_work_is_not_delayed_by_its_own_team(cluster):
    """Guards against urgent tasks that wait for batches of the same team.

    In moorwater-logs-grown, scale-1, urgent work of two teams waited for up to
    2.7 s while their batches used up the teams' upper limits.
    """
    urgent = decider_stage.make_queue("now", priority=0)
    batch_queue = decider_stage.make_queue("late", priority=2)
    cluster.configure(catalogue.Resources(4000, 0, 0), [urgent, batch_queue])
    cluster.add_job("a", [step(count=8, cpu=500)], batch_queue)
    assert len(cluster.start_tasks()) == 7
    cluster.add_job("b", [step(cpu=500)], urgent)
    (run,) = cluster.start_tasks()
    assert run.stage.job.submission.queue.name == "now"


def test_wide_work_may_use_the_whole_limit_of_its_team(cluster):
    """Guards against a gang that never starts because of the urgent reserve."""
    urgent = decider_stage.make_queue("now", priority=0)
    batch_queue = decider_stage.make_queue("late", priority=2)
    cluster.configure(catalogue.Resources(4000, 0, 0), [urgent, batch_queue])
    cluster.add_job("a", [step(count=4, cpu=1000, gang=True)], batch_queue)
    assert len(cluster.start_tasks()) == 4


def test_gang_member_that_waits_for_the_others_is_not_stalled(cluster):
    """Guards against stopping a gang because its first member waits at 100%.

    In moorwater-logs-grown, scale-1, 57 members at 100% were stopped and 9
    gangs started again.
    """
    cluster.add_job("a", [step(count=2, gang=True)])
    runs = cluster.start_tasks()
    ready, late = runs
    for percent in range(1, 101, 20):
        cluster.running[ready.target_id][ready.task, ready.number] = ["", 100]
        cluster.running[late.target_id][late.task, late.number] = ["", percent]
        cluster.advance_time(1.0)
        stalls.stop_stalled_runs(cluster.decider, cluster.clock.now())
    assert cluster.decider.collect_commands().stops == []
    cluster.advance_time(3.0)
    stalls.stop_stalled_runs(cluster.decider, cluster.clock.now())
    stops = cluster.decider.collect_commands().stops
    assert {stop.task for stop in stops} == {late.task}


def test_target_on_probation_gets_one_task(cluster):
    """Guards against a faulty target that fails many tasks on probation.

    In ergyalo-sched-grown, scale-2, a target that had just left quarantine got
    seven tasks of one batch at once and failed them all.
    """
    target = cluster.decider.targets["i-0"]
    target.quarantine(cluster.clock.now())
    cluster.advance_time(5.0)
    cluster.add_job("a", [step(count=8, cpu=1000)])
    placed = [run.target_id for run in cluster.start_tasks()]
    assert placed.count("i-0") == 1
    assert placed.count("i-1") == 4


def test_last_attempt_is_made_on_a_target_that_succeeds(cluster):
    """Guards against jobs that fail because of two faulty targets.

    In ergyalo-sched-grown, scale-2, batches with two attempts for each task
    were retried on targets that had just failed other work.
    """
    queue = decider_stage.make_queue(attempts=2)
    cluster.add_target("i-2")
    cluster.decider.targets["i-2"].record_success(cluster.clock.now())
    cluster.add_job("a", [step(cpu=4000)], queue)
    (first,) = cluster.start_tasks()
    others = {"i-0", "i-1", "i-2"} - {first.target_id}
    cluster.clock.advance(0.1)
    for name in others:
        target = cluster.decider.targets[name]
        target.record_failed_run("x", False, cluster.clock.now())
    cluster.end_run(first, EndReason.FAILED)
    cluster.renew_all_leases()
    assert cluster.start_tasks() == []
    good = cluster.decider.targets[min(others)]
    cluster.clock.advance(0.1)
    good.record_success(cluster.clock.now())
    (second,) = cluster.start_tasks()
    assert second.target_id == good.id


def test_target_that_fails_many_tasks_of_one_step_is_quarantined(cluster):
    """Guards against a faulty target that fails a whole batch.

    The target is quarantined after several failed tasks of a batch that
    succeeds elsewhere, without a failure of another submission.
    """
    target = cluster.decider.targets["i-0"]
    now_s = cluster.clock.now()
    assert not target.record_failed_run("a", True, now_s)
    assert not target.record_failed_run("a", True, now_s)
    assert target.record_failed_run("a", True, now_s)


def test_late_gang_keeps_its_position_if_few_gangs_wait(cluster):
    """Guards against a slightly late gang that is starved.

    In moorwater-logs, trouble-1, worth fell from 0.828 to 0.730.
    """
    for number in range(8):
        cluster.add_target(f"big-{number}", 4000)
    late = cluster.add_job("a", [step(count=2, cpu=2000, gang=True)])
    late_stage = late.stages[0, 0]
    objective_s = late_stage.sort_key[1] - late_stage.ready_s
    cluster.clock.advance(objective_s)
    cluster.renew_all_leases()
    cluster.schedule()
    assert late_stage.sort_key[0] == late.submission.queue.priority


def test_handover_that_names_a_run_twice_allocates_it_once(cluster):
    """Guards against resources that are never released."""
    cluster.add_job("a", [step(cpu=3000)])
    (run,) = cluster.start_tasks()
    new = _start_successor(cluster, {"i-0", "i-1"} - {run.target_id})
    runs_by_target = {run.target_id: [(run.task, run.number)] * 2}
    assert new.decider.apply_handover(
        runs_by_target, {run.target_id}, new.clock.now()
    )
    assert new.decider.targets[run.target_id].free_capacity()[0] == 1000


def test_counts_leave_out_what_has_started_or_ended(cluster):
    """Guards against counts that differ from the number of pending jobs."""
    cluster.add_job("a", [step(cpu=4000)])
    cluster.add_job("b", [step(cpu=4000)])
    waiting = cluster.add_job("c", [step(cpu=4000)])
    assert cluster.decider.count_pending() == {"q": 3}
    cluster.start_tasks()
    assert cluster.decider.count_pending() == {"q": 1}
    cluster.decider.cancel(waiting.id, cluster.clock.now())
    assert cluster.decider.count_pending() == {}


def test_job_is_pending_while_its_starts_get_no_answer(cluster):
    """Guards against counts of 0 while targets answer no start.

    Found on moorwater-logs, late_writes: five jobs had waited for 5 s, each
    with several starts that were never carried out.
    """
    job = cluster.add_job("a", [step()])
    (run,) = cluster.schedule().starts
    assert cluster.decider.count_pending() == {"q": 1}
    assert job.visible_phase is jobs.Phase.QUEUED
    run.token = cluster.token
    cluster.decider.handle_start_unknown(run)
    assert cluster.decider.count_pending() == {"q": 1}
    cluster.renew_lease(run.target_id, token=cluster.token + 1)
    assert job.stages[0, 0].pending == {0}
    assert cluster.decider.count_pending() == {"q": 1}
    cluster.start_tasks()
    assert cluster.decider.count_pending() == {}
    assert job.visible_phase is jobs.Phase.RUNNING


def test_job_is_pending_after_its_start_was_rejected(cluster):
    """Guards against counts without the jobs that targets have no room for."""
    cluster.add_job("a", [step()])
    (run,) = cluster.schedule().starts
    cluster.decider.handle_start_rejected(
        run, protocol.Rejection.NO_CAPACITY, cluster.clock.now()
    )
    assert cluster.decider.count_pending() == {"q": 1}


@pytest.mark.parametrize("ends", [False, True])
def test_job_whose_run_a_target_lists_is_not_pending(cluster, ends):
    """Guards against counts of jobs whose starts were carried out unnoticed."""
    job = cluster.add_job("a", [step(count=2)])
    run, _ = cluster.schedule().starts
    cluster.decider.handle_start_unknown(run)
    cluster.running[run.target_id][run.task, run.number] = ["", 1]
    if ends:
        cluster.end_run(run)
    cluster.renew_lease(run.target_id)
    assert cluster.decider.count_pending() == {}
    assert job.visible_phase is jobs.Phase.RUNNING


def test_handed_over_start_does_not_make_a_job_begun(cluster):
    """Guards against counts of a new leader without unconfirmed starts."""
    cluster.add_job("a", [step(cpu=3000)])
    (run,) = cluster.schedule().starts
    new = _start_successor(cluster, {"i-0", "i-1"} - {run.target_id})
    assert new.decider.apply_handover(
        {run.target_id: [(run.task, run.number)]},
        {run.target_id},
        new.clock.now(),
    )
    assert new.decider.count_pending() == {"q": 1}
    new.running[run.target_id][run.task, run.number] = ["", 1]
    new.renew_lease(run.target_id)
    assert new.decider.count_pending() == {}


def test_job_with_a_task_done_is_not_pending_after_a_takeover(cluster):
    """Guards against a job that is queued again after a change of leader."""
    cluster.add_job("a", [step(count=2)])
    run, _ = cluster.start_tasks()
    cluster.end_run(run)
    cluster.renew_lease(run.target_id)
    new = _start_successor(cluster, set())
    assert new.decider.count_pending() == {}
    (job,) = new.decider.jobs.values()
    assert job.visible_phase is jobs.Phase.RUNNING


def test_handed_over_run_that_is_not_listed_starts_again(cluster):
    """Guards against a task that waits for a run which never started."""
    cluster.add_job("a", [step(cpu=3000)])
    (run,) = cluster.start_tasks()
    new = _start_successor(cluster, {"i-0", "i-1"} - {run.target_id})
    new.running[run.target_id] = {}
    runs_by_target = {run.target_id: [(run.task, run.number)]}
    assert new.decider.apply_handover(
        runs_by_target, {run.target_id}, new.clock.now()
    )
    assert new.start_tasks() == []
    new.renew_lease(run.target_id)
    assert [again.task for again in new.start_tasks()] == [run.task]


def test_gang_avoids_targets_on_probation(cluster):
    """Guards against a gang that fails because of a target on probation."""
    target = cluster.decider.targets["i-0"]
    target.quarantine(cluster.clock.now())
    cluster.advance_time(5.0)
    assert not target.is_quarantined(cluster.clock.now())
    cluster.add_job("a", [step(count=2, cpu=1000, gang=True)])
    assert {run.target_id for run in cluster.start_tasks()} == {"i-1"}
    cluster.add_job("b", [step(count=2, cpu=2000, gang=True, max_per_target=1)])
    assert cluster.start_tasks() == []


def test_waiting_gang_keeps_its_reserved_targets():
    """Guards against preempting on other targets in each pass.

    Seen on moorwater-logs-grown trouble-1: a gang waited for 27 s and preempted
    130 tasks a second, which started again where it had reserved before.
    """
    cluster = decider_stage.SimulatedCluster(targets=4)
    long_use = [decider_stage.make_step(count=4, cpu=2000, max_per_target=1)]
    cluster.add_job("1", long_use)
    cluster.start_tasks()
    gang = [decider_stage.make_step(count=2, cpu=4000, gang=True)]
    cluster.add_job("2", gang)
    cluster.start_tasks()
    first = cluster.decider.reserved_targets
    assert len(first) == 2
    # More room elsewhere, as after an end, must not change the choice.
    other = next(
        t for t in cluster.decider.targets.values() if t.id not in first
    )
    other.release(catalogue.Resources(1000, 0, 0))
    cluster.start_tasks()
    assert cluster.decider.reserved_targets == first
