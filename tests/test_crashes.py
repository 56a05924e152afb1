"""Tests of the attribution of crashes to tasks."""

import pytest

import crash_stage
import decider_stage
from quetzalswitch.acceptance import submissions
from quetzalswitch.decision import crashes
from quetzalswitch.decision import fleet
from quetzalswitch.decision import jobs
from quetzalswitch.decision import stalls
from quetzalswitch.execution import protocol

ALONE = crashes.ALONE_WEIGHT
SHARED = crashes.SHARED_WEIGHT
# After three crashes under it, a task may be started twice more.
STARTS_LIMIT_COUNT = 5


@pytest.fixture(name="play")
def _play():
    return crash_stage.Play()


def test_deadly_task_is_given_up_after_few_starts(play):
    """Guards against a task that takes down one target after the other."""
    job = play.add_deadly()
    play.play(40)
    assert job.phase is jobs.Phase.FAILED
    assert 2 <= play.starts[job.id] <= STARTS_LIMIT_COUNT


def test_deadly_gang_is_given_up_after_few_starts(play):
    """Guards against counting the crashes of a gang's members apart."""
    job = play.add_deadly(count=3, cpu=3000, gang=True)
    play.add("2", count=4)
    play.play(40)
    assert job.phase is jobs.Phase.FAILED
    assert play.starts[job.id] <= 3 * STARTS_LIMIT_COUNT


@pytest.mark.parametrize("targets", [3, 6, 20])
def test_jobs_beside_deadly_tasks_complete(targets):
    """Guards against jobs that fail for what another job's task did.

    The load fills the targets, and new jobs come all the time.
    """
    play = crash_stage.Play(targets)
    deadly = play.add_deadly(count=2)
    others = []
    for number in range(20):
        others.append(play.add(f"a{number}", count=targets // 3))
        play.play(3)
    play.play(60)
    assert deadly.phase is jobs.Phase.FAILED
    assert {job.phase for job in others} == {jobs.Phase.COMPLETED}


def test_last_start_of_a_deadly_task_hurts_no_other(play):
    """Guards against placing a task beside others after two crashes."""
    play.add_deadly()
    for number in range(12):
        play.add(f"a{number}", count=2)
    play.play(40)
    assert play.beside[-1] == set()


def test_nothing_joins_a_task_on_trial(play):
    """Guards against starting tasks beside one that must be alone."""
    cluster = play.cluster
    job = play.add("1", cpu=1000)
    job.stages[0, 0].crashes = {0: {1: SHARED, 2: SHARED}}
    (trial,) = cluster.start_tasks()
    play.add("2", count=40)
    others = {run.target_id for run in cluster.start_tasks()}
    assert others
    assert trial.target_id not in others


def test_trial_waits_for_a_target_to_become_empty(play):
    """Guards against a trial that never starts because targets stay filled."""
    cluster = play.cluster
    play.add("2", count=6 * 3, max_per_target=3)
    cluster.start_tasks()
    job = play.add("1", cpu=1000)
    job.stages[0, 0].crashes = {0: {1: SHARED, 2: SHARED}}
    assert cluster.start_tasks() == []
    (kept,) = job.stages[0, 0].kept_targets
    play.add("3", count=6)
    assert kept not in {run.target_id for run in cluster.start_tasks()}
    for run in list(cluster.decider.targets[kept].runs.values()):
        cluster.end_run(run)
    play.renew(kept)
    assert [run.target_id for run in cluster.start_tasks()] == [kept]


def test_targets_that_crash_by_themselves_fail_no_job(play):
    """Guards against giving up tasks because of failing machines."""
    job = play.add("1", count=12)
    for target_id in ("i-0", "i-1", "i-2"):
        play.play(1)
        play.crash(target_id)
    play.play(30)
    assert job.phase is jobs.Phase.COMPLETED


def test_lapsed_lease_is_no_crash_if_the_target_lives(play):
    """Guards against suspecting tasks on targets that were cut off."""
    cluster = play.cluster
    job = play.add("1")
    (run,) = cluster.start_tasks()
    target = cluster.decider.targets[run.target_id]
    cluster.decider.expire_leases(target, cluster.clock.now())
    cluster.end_run(run, protocol.EndReason.LEASE_EXPIRED)
    play.renew(target.id)
    cluster.decider.handle_replaced(target, cluster.clock.now())
    assert job.stages[0, 0].crashes == {}


def test_target_that_never_returns_counts_as_crashed(play):
    """Guards against missing the crashes of targets that stay away."""
    cluster = play.cluster
    job = play.add("1")
    (run,) = cluster.start_tasks()
    target = cluster.decider.targets[run.target_id]
    cluster.decider.expire_leases(target, cluster.clock.now())
    assert job.stages[0, 0].crashes == {}
    cluster.decider.remove_target(target.id, "unlisted", cluster.clock.now())
    weights = {run.number: crashes.SHARED_WEIGHT}
    assert job.stages[0, 0].crashes == {0: weights}


def test_target_that_leaves_as_planned_has_not_crashed(play):
    """Guards against suspecting tasks that ended with a drained target."""
    cluster = play.cluster
    job = play.add("1")
    (run,) = cluster.start_tasks()
    target = cluster.decider.targets[run.target_id]
    target.registration = target.registration._replace(draining=True)
    cluster.decider.remove_target(target.id, "unlisted", cluster.clock.now())
    assert job.stages[0, 0].crashes == {}


def test_start_without_an_answer_counts_if_its_target_crashed(play):
    """Guards against missing a crash that came before the start's answer."""
    cluster = play.cluster
    job = play.add("1")
    (run,) = cluster.schedule().starts
    run.token = cluster.token
    cluster.decider.handle_start_unknown(run)
    cluster.token += 1
    play.crash(run.target_id)
    assert run.number in job.stages[0, 0].crashes[0]
    assert job.stages[0, 0].pending == {0}


def test_crashes_are_stored_with_the_progress(play):
    """Guards against a new leader that starts a deadly task from zero."""
    job = play.add("1", count=3)
    (*_, run) = play.cluster.start_tasks()
    play.crash(run.target_id)
    assert job.id in play.cluster.decider.changed_jobs
    later = jobs.Job(job.submission)
    later.restore(job.encode())
    assert later.stages[0, 0].crashes == job.stages[0, 0].crashes


@pytest.mark.parametrize(
    ("confirmed", "phase"),
    [(False, jobs.Phase.QUEUED), (True, jobs.Phase.RUNNING)],
)
def test_crash_does_not_show_that_a_task_has_started(play, confirmed, phase):
    """Guards against counts of a new leader without unconfirmed starts."""
    cluster = play.cluster
    job = play.add("1")
    (run,) = cluster.schedule().starts
    run.token = cluster.token
    if confirmed:
        cluster.confirm_start(run)
    else:
        cluster.decider.handle_start_unknown(run)
    cluster.token += 1
    cluster.clock.advance(0.1)
    play.crash(run.target_id)
    assert job.stages[0, 0].crashes
    later = decider_stage.SimulatedCluster(epoch=2)
    restored = later.add_job(
        "1", [job.stages[0, 0].step], progress=job.encode()
    )
    assert restored.visible_phase is phase
    pending = {} if confirmed else {"q": 1}
    assert later.decider.count_pending() == pending


def test_adopted_task_on_trial_stays_alone():
    """Guards against a new leader that places tasks beside a suspect."""
    cluster = decider_stage.SimulatedCluster(targets=1, epoch=2)
    job = cluster.add_job("1", [decider_stage.make_step()])
    job.stages[0, 0].crashes = {0: {1: SHARED, 2: SHARED}}
    cluster.running["i-0"] = {(f"{job.id}.0.0.0", 7): ["", 1]}
    cluster.renew_lease("i-0")
    cluster.add_job("2", [decider_stage.make_step()])
    assert cluster.start_tasks() == []


def test_suspects_are_started_apart(play):
    """Guards against suspects that share the next crash as well."""
    first = play.add("1", count=2, cpu=1000)
    second = play.add("2", count=2, cpu=1000)
    for job in (first, second):
        job.stages[0, 0].crashes = {0: {1: SHARED}, 1: {1: SHARED}}
    starts = play.cluster.start_tasks()
    assert len({run.target_id for run in starts}) == 4


def test_others_are_cleared_when_the_cause_is_known(play):
    """Guards against suspects that wait for trials after the cause is found."""
    other = play.add("2", count=3)
    play.cluster.start_tasks()
    play.add_deadly(cpu=1000)
    play.play(1, work_steps=100)
    assert other.stages[0, 0].crashes
    play.play(30, work_steps=1000)
    assert play.deadly.phase is jobs.Phase.FAILED
    assert not other.stages[0, 0].crashes


def test_long_running_task_is_acquitted_by_its_work(play):
    """Guards against services that occupy whole targets for ever."""
    cluster = play.cluster
    job = play.add("1", long_running=True)
    stage = job.stages[0, 0]
    stage.crashes = {0: {1: SHARED, 2: SHARED}}
    (run,) = cluster.start_tasks()
    cluster.advance_time(crashes.ACQUITTAL_S + 1.0)
    stalls.stop_stalled_runs(cluster.decider, cluster.clock.now())
    assert stage.crashes == {}
    play.add("2", count=40)
    assert run.target_id in {r.target_id for r in cluster.start_tasks()}
    play.crash(run.target_id)
    assert stage.crashes == {}


def test_records_without_crashes_are_those_of_the_previous_release():
    """Guards against progress that entries can't read during an upgrade."""
    step = decider_stage.make_step()
    job = jobs.Job(decider_stage.make_submission("1", [step]))
    assert isinstance(job.submission, submissions.Submission)
    job.open_occurrence(0)
    job.stages[0, 0].done.add(0)
    assert job.encode()[0] == 0x93
    job.restore(job.encode())
    assert job.stages[0, 0].crashes == {}


def test_gang_survives_crashes_under_different_members(play):
    """Guards against adding up crashes that no single task has seen."""
    job = play.add("1", count=3, cpu=4000, gang=True)
    for index in range(3):
        # The first pass only lowers the priority of a late gang.
        runs = play.cluster.start_tasks() or play.cluster.start_tasks()
        (target_id,) = {r.target_id for r in runs if r.index == index}
        play.wait(2.0)
        play.crash(target_id)
        for run in runs:
            if run.target_id != target_id:
                play.cluster.end_run(run, protocol.EndReason.GANG_BROKEN)
                play.renew(run.target_id)
    play.play(30)
    assert job.phase is jobs.Phase.COMPLETED


def test_deadly_task_whose_targets_stay_away_is_given_up(play):
    """Guards against a task that takes targets down for good, one by one."""
    job = play.add("1")
    decider = play.cluster.decider
    starts = 0
    for _ in range(6):
        for run in play.cluster.start_tasks():
            starts += 1
            target = decider.targets[run.target_id]
            now_s = play.cluster.clock.now()
            decider.expire_leases(target, now_s)
            decider.remove_target(target.id, "unlisted", now_s)
        play.wait(5.0)
    assert job.phase is jobs.Phase.FAILED
    assert starts <= STARTS_LIMIT_COUNT


def test_target_that_was_only_cut_off_has_not_crashed(play):
    """Guards against blaming tasks for a network fault that has ended."""
    cluster = play.cluster
    job = play.add("1")
    (run,) = cluster.start_tasks()
    target = cluster.decider.targets[run.target_id]
    cluster.decider.expire_leases(target, cluster.clock.now())
    cluster.decider.remove_target(target.id, "unlisted", cluster.clock.now())
    assert job.stages[0, 0].crashes
    cluster.add_target(target.id)
    assert job.stages[0, 0].crashes == {}
    assert job.id in cluster.decider.changed_jobs


def test_trial_does_not_wait_for_targets_that_stay_filled(play):
    """Guards against a job that never runs beside long-running services."""
    cluster = play.cluster
    play.add("2", count=6, max_per_target=1, long_running=True)
    cluster.start_tasks()
    job = play.add("1")
    job.stages[0, 0].crashes = {0: {1: SHARED, 2: SHARED}}
    for _ in range(6):
        starts = cluster.start_tasks()
        if starts:
            break
        play.wait(0.5)
    assert [run.stage.job for run in starts] == [job]
    play.add("3", count=40)
    assert starts[0].target_id not in {
        run.target_id for run in cluster.start_tasks()
    }


def test_those_that_shared_the_last_crash_are_cleared(play):
    """Guards against suspecting tasks after the cause has been given up."""
    cluster = play.cluster
    deadly = play.add("1", cpu=1000)
    other = play.add("2", cpu=1000)
    deadly.stages[0, 0].crashes = {0: {1: ALONE, 2: SHARED}}
    (trial,) = [run for run in cluster.start_tasks() if run.isolated]
    (target_id,) = {run.target_id for run in deadly.stages[0, 0].all_runs()}
    assert trial.target_id == target_id
    trial.isolated = False
    shared = cluster.decider.targets[target_id]
    cluster.decider.start(
        other.stages[0, 0], 0, 99, shared, "", cluster.clock.now()
    )
    cluster.confirm_start(other.stages[0, 0].runs[0][-1])
    play.crash(target_id)
    assert deadly.phase is jobs.Phase.FAILED
    assert other.stages[0, 0].crashes == {}


def test_target_of_a_cleared_task_gets_others_again(play):
    """Guards against whole targets that are kept for cleared tasks."""
    cluster = play.cluster
    deadly = play.add("1")
    other = play.add("2")
    cluster.start_tasks()
    for job in (deadly, other):
        job.stages[0, 0].crashes = {0: {1: SHARED, 2: SHARED}}
    history = cluster.decider.crash_history
    suspects = [crashes.Suspect(j.stages[0, 0], 0, 1) for j in (deadly, other)]
    span = fleet.SilenceSpan(0.0, 0.0)
    history.crashes.append(
        crashes.Loss("i-9", 1, span, dict.fromkeys(suspects))
    )
    suspects = [s._replace(run=2) for s in suspects]
    history.crashes.append(
        crashes.Loss("i-9", 2, span, dict.fromkeys(suspects))
    )
    for job in (deadly, other):
        (run,) = job.stages[0, 0].all_runs()
        cluster.end_run(run, protocol.EndReason.STOPPED)
        play.renew(run.target_id)
    starts = cluster.start_tasks()
    (kept,) = [run for run in starts if run.stage.job is other]
    (trial,) = [run for run in starts if run.stage.job is deadly]
    assert kept.isolated
    play.crash(trial.target_id)
    assert deadly.phase is jobs.Phase.FAILED
    assert not kept.isolated


def test_last_start_is_made_alone(play):
    """Guards against a job that fails without ever having been alone."""
    job = play.add("1", cpu=1000)
    weights = dict.fromkeys(range(3), crashes.COMMON_WEIGHT)
    job.stages[0, 0].crashes = {0: weights}
    (run,) = play.cluster.start_tasks()
    assert run.isolated
