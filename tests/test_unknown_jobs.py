"""Tests of runs and ends that targets list of unknown jobs."""

import base64
import types

import gevent
import gevent.event
import pytest

import decider_stage
import wire_platform
from quetzalswitch import exceptions
from quetzalswitch.acceptance import submissions
from quetzalswitch.decision import jobs
from quetzalswitch.decision import unknown_jobs
from quetzalswitch.execution import protocol
from quetzalswitch.platform import store as stores
from quetzalswitch.recovery import inheritance
from quetzalswitch.recovery import leadership as leaderships
from quetzalswitch.recovery import stored_jobs
from quetzalswitch.recovery import tables

STEPS = (decider_stage.make_step(),)
SUBMISSION = decider_stage.make_submission("1", STEPS)
TASK = f"{SUBMISSION.id}.0.0.0"
DONE = protocol.EndReason.DONE


class _Store:
    """Answers reads of a job with the given rows; unavailable without any."""

    def __init__(self, *answers):
        self.answers = list(answers)

    def read(self, table, part, first, end):
        assert (table, first) == (tables.JOB_TABLE, SUBMISSION.id)
        assert part == tables.find_job_part(SUBMISSION.id)
        assert first + tables.CANCEL_SUFFIX < end
        answer = self.answers.pop(0)
        if answer is None:
            raise exceptions.StoreUnavailableError("no answer")
        return answer, 1


def _make_rows(cancelled=False):
    rows = [stores.Row("j", SUBMISSION.id, submissions.encode(SUBMISSION), 1)]
    if cancelled:
        key = SUBMISSION.id + tables.CANCEL_SUFFIX
        rows.append(stores.Row("j", key, b"-", 2))
    return rows


def _look_up(cluster, *answers):
    stored_jobs.look_up(
        cluster.decider, _Store(*answers), SUBMISSION.id, cluster.clock
    )


@pytest.fixture(name="cluster")
def _cluster():
    return decider_stage.SimulatedCluster(targets=2)


def test_done_task_of_a_job_read_late_is_not_started(cluster):
    """Guards against a second run of a task whose end came before its job."""
    cluster.add_end(TASK, 5, "i-0", DONE)
    cluster.renew_all_leases()
    cluster.advance_time(60)
    job = cluster.add_job("1", STEPS)
    assert job.phase is jobs.Phase.COMPLETED
    assert cluster.start_tasks() == []


def test_running_task_of_a_job_read_late_is_not_started_beside_itself(cluster):
    """Guards against two runs of a task at the same time."""
    cluster.running["i-0"][TASK, 5] = ["", 10]
    cluster.renew_all_leases()
    assert cluster.schedule().stops == []
    job = cluster.add_job("1", STEPS)
    commands = cluster.schedule()
    assert (commands.starts, commands.stops) == ([], [])
    assert job.list_targets() == {"i-0"}


def test_run_on_a_removed_target_is_not_handed_over(cluster):
    """Guards against a successor that waits for a target that is gone."""
    cluster.running["i-0"][TASK, 5] = ["", 10]
    cluster.renew_all_leases()
    cluster.decider.remove_target("i-0", "unlisted", cluster.clock.now())
    assert inheritance.list_runs(cluster.decider, {}) == {}


def test_running_task_of_an_unknown_job_is_handed_over(cluster):
    """Guards against a next leader that starts it beside itself."""
    cluster.running["i-0"][TASK, 5] = ["", 10]
    cluster.renew_all_leases()
    assert inheritance.list_runs(cluster.decider, {}) == {"i-0": [(TASK, 5)]}


def test_run_that_has_ended_does_not_keep_its_task_from_starting(cluster):
    """Guards against a task that waits for a run that is no longer listed."""
    cluster.running["i-0"][TASK, 5] = ["", 10]
    cluster.renew_all_leases()
    cluster.running["i-0"].clear()
    cluster.renew_all_leases()
    cluster.add_job("1", STEPS)
    assert len(cluster.start_tasks()) == 1


def test_run_on_a_target_whose_leases_expired_is_forgotten(cluster):
    """Guards against a task that waits for a target that is gone."""
    cluster.running["i-0"][TASK, 5] = ["", 10]
    cluster.renew_all_leases()
    cluster.decider.expire_leases(
        cluster.decider.targets["i-0"], cluster.clock.now()
    )
    cluster.add_job("1", STEPS)
    assert len(cluster.start_tasks()) == 1


def test_unknown_job_is_looked_up_once(cluster):
    """Guards against a read of the store with each lease renewal."""
    cluster.running["i-0"][TASK, 5] = ["", 10]
    cluster.add_end(f"{SUBMISSION.id}.0.0.1", 6, "i-1", DONE)
    cluster.renew_all_leases()
    cluster.renew_all_leases()
    assert cluster.schedule().lookups == [SUBMISSION.id]


def test_job_that_is_looked_up_gets_its_runs(cluster):
    """Guards against waiting for a feed that may be late."""
    cluster.running["i-0"][TASK, 5] = ["", 10]
    cluster.renew_all_leases()
    _look_up(cluster, _make_rows())
    job = cluster.decider.jobs[SUBMISSION.id]
    assert job.list_targets() == {"i-0"}


def test_cancelled_job_that_is_looked_up_is_stopped(cluster):
    """Guards against a run that goes on after its cancellation."""
    cluster.running["i-0"][TASK, 5] = ["", 10]
    cluster.renew_all_leases()
    _look_up(cluster, _make_rows(cancelled=True))
    (stop,) = cluster.schedule().stops
    assert (stop.task, stop.run) == (TASK, 5)


def test_run_of_a_job_that_does_not_exist_is_stopped(cluster):
    """Guards against work that nobody submitted."""
    cluster.running["i-0"][TASK, 5] = ["", 10]
    cluster.renew_all_leases()
    _look_up(cluster, [])
    cluster.renew_all_leases()
    (stop,) = cluster.schedule().stops
    assert (stop.task, stop.run) == (TASK, 5)


def test_job_is_not_missing_while_the_store_is_away(cluster):
    """Guards against an outage that passes for the answer "no such job"."""
    cluster.running["i-0"][TASK, 5] = ["", 10]
    cluster.renew_all_leases()
    waiting = gevent.spawn(_look_up, cluster, None)
    gevent.sleep(0)
    assert not waiting.ready()
    waiting.kill()
    cluster.renew_all_leases()
    assert cluster.schedule().stops == []


def test_end_of_an_occurrence_that_is_not_due_here_is_kept(cluster):
    """Guards against a second run after a leader whose clock was ahead."""
    submission = SUBMISSION._replace(
        occurrences=3, first_at_ms=1000, interval_ms=1000
    )
    cluster.decider.add_job(submission, cluster.clock.now(), 1000.0)
    cluster.add_end(f"{submission.id}.1.0.0", 5, "i-0", DONE)
    (end,) = cluster.renew_lease("i-0")
    assert end.job is cluster.decider.jobs[submission.id]
    assert end.job.finished_occurrences == {1}
    cluster.decider.open_due(cluster.clock.now(), 3000.0)
    starts = cluster.start_tasks() + cluster.start_tasks()
    assert {run.stage.occurrence for run in starts} == {0, 2}


def test_tasks_of_an_occurrence_wait_until_it_is_due_here(cluster):
    """Guards against tasks that start early because one was started early."""
    submission = decider_stage.make_submission(
        "1", [decider_stage.make_step(count=2)]
    )._replace(occurrences=3, first_at_ms=1000, interval_ms=1000)
    cluster.decider.add_job(submission, cluster.clock.now(), 1000.0)
    cluster.add_end(f"{submission.id}.2.0.0", 5, "i-0", DONE)
    cluster.renew_lease("i-0")
    starts = cluster.start_tasks() + cluster.start_tasks()
    assert {run.stage.occurrence for run in starts} == {0}
    cluster.decider.open_due(cluster.clock.now(), 3000.0)
    starts = cluster.start_tasks() + cluster.start_tasks()
    late = [(run.stage.occurrence, run.index) for run in starts]
    assert sorted(late) == [(1, 0), (1, 1), (2, 1)]


def _make_scheduled(occurrences, count=1):
    return decider_stage.make_submission(
        "1", [decider_stage.make_step(count=count)]
    )._replace(occurrences=occurrences, first_at_ms=1000, interval_ms=1000)


@pytest.mark.parametrize("early", [True, False])
def test_job_completes_whose_last_task_was_done_before_it_was_due(
    cluster, early
):
    """Guards against a scheduled job that is running for ever."""
    submission = _make_scheduled(2)
    cluster.decider.add_job(submission, cluster.clock.now(), 1000.0)
    (run,) = cluster.start_tasks() + cluster.start_tasks()
    if not early:
        cluster.end_run(run)
        cluster.renew_all_leases()
    cluster.add_end(f"{submission.id}.1.0.0", 5, "i-0", DONE)
    cluster.renew_all_leases()
    if early:
        cluster.end_run(run)
        cluster.renew_all_leases()
    cluster.decider.open_due(cluster.clock.now(), 3000.0)
    job = cluster.decider.jobs[submission.id]
    assert job.phase is jobs.Phase.COMPLETED


def test_stored_end_does_not_open_an_occurrence_that_is_not_due(cluster):
    """Guards against tasks that the next leader starts before their time."""
    submission = _make_scheduled(3, count=2)
    cluster.decider.add_job(submission, cluster.clock.now(), 1000.0)
    cluster.add_end(f"{submission.id}.2.0.0", 5, "i-0", DONE)
    cluster.renew_lease("i-0")
    progress = cluster.decider.jobs[submission.id].encode()
    later = decider_stage.SimulatedCluster(epoch=2)
    later.decider.add_job(
        submission, later.clock.now(), 1000.0, progress=progress
    )
    starts = later.start_tasks() + later.start_tasks()
    assert {run.stage.occurrence for run in starts} == {0}
    assert len(later.decider.jobs[submission.id].stages[2, 0].done) == 1


def test_scheduled_job_stands_once_in_the_queue(cluster):
    """Guards against placing its tasks twice in a pass."""
    cluster.decider.add_job(_make_scheduled(2), 2000.0, 5000.0)
    assert len(cluster.decider.ready) == 2


def test_end_of_a_step_that_its_job_does_not_have_is_dropped(cluster):
    """Guards against an end that keeps back all later ones of its target."""
    cluster.add_job("1", STEPS)
    assert unknown_jobs.is_missing(cluster.decider, f"{SUBMISSION.id}.0.7.0")


def test_run_on_a_replaced_target_is_forgotten(cluster):
    """Guards against a task that waits for a run that ended with its target."""
    cluster.running["i-0"][TASK, 5] = ["", 10]
    cluster.renew_all_leases()
    cluster.decider.handle_replaced(
        cluster.decider.targets["i-0"], cluster.clock.now()
    )
    cluster.add_job("1", STEPS)
    assert len(cluster.start_tasks()) == 1


def _apply_rows(cluster, rows):
    leadership = types.SimpleNamespace(
        decider=cluster.decider,
        _clock=cluster.clock,
        _wake=gevent.event.Event(),
        cancel=lambda job_id: cluster.decider.cancel(job_id, 0.0),
    )
    leaderships.Leadership._apply_job_rows(leadership, rows, False)


def test_job_of_the_feed_is_not_started_before_all_targets_answered(cluster):
    """Guards against a task that the previous leader started meanwhile.

    Entries send new jobs to the leader that they know, so a job that comes by
    the feed alone may have gone to the previous one.
    """
    cluster.decider.reconciled = False
    _apply_rows(cluster, _make_rows())
    # The first pass lowers the priority of a job that was accepted long ago.
    assert cluster.start_tasks() + cluster.start_tasks() == []
    cluster.decider.reconciled = True
    assert len(cluster.start_tasks() + cluster.start_tasks()) == 1


def test_cancellation_of_the_feed_ends_a_known_job(cluster):
    """Guards against a cancellation that is read after its job."""
    _apply_rows(cluster, _make_rows())
    _apply_rows(cluster, _make_rows(cancelled=True)[1:])
    assert cluster.decider.jobs[SUBMISSION.id].phase is jobs.Phase.CANCELLED


def test_store_is_asked_again_after_an_outage(monkeypatch, cluster):
    """Guards against an end that is never acknowledged after one failure."""
    monkeypatch.setattr(stored_jobs, "LOOKUP_RETRY_S", 0.0)
    cluster.add_end(TASK, 5, "i-0", DONE)
    cluster.renew_all_leases()
    _look_up(cluster, None, None, _make_rows())
    job = cluster.decider.jobs[SUBMISSION.id]
    assert job.phase is jobs.Phase.COMPLETED


def test_done_task_is_not_started_again_when_the_feed_of_jobs_is_late(tmp_path):
    """Guards against acknowledging an end that the leader has not kept."""
    cluster = wire_platform.Cluster(tmp_path, entries=1, targets=2)
    try:
        cluster.wait_ready()
        known = "1" * 16
        assert cluster.submit(0, known) == 200
        assert cluster.wait_state(0, known, "completed") == "completed"
        cluster.store.silent_feeds.add("jobs")
        late = _store_copy(cluster.store, known)
        cluster.targets[0].add_end((f"{late}.0.0.0", 1))
        assert cluster.wait_state(0, late, "completed", 5) == "completed"
        cluster.store.silent_feeds.clear()
        gevent.sleep(2)
        assert cluster.list_starts(late) == []
    finally:
        cluster.stop()


def _store_copy(store, job_id):
    """Stores a job like another one, as another entry does; returns its ID."""
    row = store.rows["jobs", tables.find_job_part(job_id), job_id]
    submission = submissions.decode(base64.b64decode(row["value"]))
    copy = submission._replace(id="2" * 16)
    part = tables.find_job_part(copy.id)
    store.put_raw("jobs", copy.id, submissions.encode(copy), part)
    return copy.id
