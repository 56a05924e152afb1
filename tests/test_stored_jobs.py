"""Tests of loading the jobs that earlier leaders left in the store."""

import itertools

import gevent
import pytest

import decider_stage
from quetzalswitch import clock as clocks
from quetzalswitch.acceptance import submissions
from quetzalswitch.decision import jobs
from quetzalswitch.decision import unknown_jobs
from quetzalswitch.execution import protocol
from quetzalswitch.platform import store as stores
from quetzalswitch.recovery import stored_jobs


class _SlowClock(clocks.ManualClock):
    """A clock on which each look takes a millisecond."""

    def now(self):
        self._now_s += 0.001
        return super().now()


def _make_row(job_id):
    submission = decider_stage.make_submission(
        job_id, [decider_stage.make_step()]
    )
    return stores.Row("j1", submission.id, submissions.encode(submission), 1)


@pytest.fixture(name="cluster")
def _cluster():
    return decider_stage.SimulatedCluster(targets=1, epoch=2)


def test_other_greenlets_run_while_jobs_are_loaded(cluster):
    """Guards against a new leader that sends no heartbeat while it loads.

    With the submissions of half an hour in the store (review/1), each new
    leader was silent for seconds, and the next epoch ended its load. Nothing
    was started any more.
    """
    turns = []

    def _take_turns():
        while True:
            turns.append(len(cluster.decider.jobs))
            gevent.sleep(0)

    other = gevent.spawn(_take_turns)
    rows = [_make_row(str(number)) for number in range(200)]
    stored_jobs.add_jobs(cluster.decider, rows, {}, _SlowClock())
    other.kill()
    assert len(cluster.decider.jobs) == 200
    counts = [0, *turns, 200]
    gaps = [b - a for a, b in itertools.pairwise(counts)]
    assert max(gaps) <= 20


class _Store:
    """Holds one completed job."""

    def __init__(self, job):
        self.job_row = _make_row(job.id)
        self.progress_row = stores.Row("p", job.id, job.encode(), 2)

    def read(self, table, part, first, end):
        return [self.job_row], 2

    def read_row(self, table, part, key):
        return self.progress_row


class _Completed:
    """A leader that has loaded a job which an earlier one completed."""

    def __init__(self):
        first = decider_stage.SimulatedCluster(targets=1)
        job = first.add_job("1", [decider_stage.make_step()])
        (run,) = first.start_tasks()
        first.end_run(run)
        first.renew_all_leases()
        self.store = _Store(job)
        self.run = run
        self.cluster = decider_stage.SimulatedCluster(
            targets=1, epoch=2, reconciled=False
        )
        self.load()

    def load(self):
        stored_jobs.add_jobs(
            self.cluster.decider,
            [self.store.job_row],
            {self.store.progress_row.key: self.store.progress_row},
            self.cluster.clock,
        )


@pytest.fixture(name="completed")
def _completed():
    return _Completed()


def test_completed_job_is_not_built_again(completed):
    """Guards against loads and memory that grow with all work ever done."""
    decider = completed.cluster.decider
    assert decider.jobs == {}
    assert decider.completed_jobs == {completed.store.job_row.key}


def test_completed_job_is_not_started_from_later_rows(completed):
    """Guards against a second run after a gap in the feed of jobs."""
    cluster = completed.cluster
    cluster.decider.reconciled = True
    stored_jobs.add_jobs(
        cluster.decider, [completed.store.job_row], {}, cluster.clock
    )
    cluster.decider.add_job(
        submissions.decode(completed.store.job_row.value), 0.0, 0.0
    )
    assert cluster.start_tasks() == []
    assert cluster.decider.jobs == {}


def test_end_of_a_completed_job_is_acknowledged(completed):
    """Guards against ends that a target lists forever."""
    cluster, run = completed.cluster, completed.run
    cluster.add_end(run.task, run.number, "i-0", protocol.EndReason.DONE)
    (end,) = cluster.renew_lease("i-0")
    assert end.job is None
    assert unknown_jobs.is_end_stored(cluster.decider, run.task)
    assert cluster.decider.collect_commands().lookups == []


def test_run_of_a_completed_job_takes_up_capacity_and_is_stopped(completed):
    """Guards against a copy of a task that runs on, unseen by the leader."""
    cluster, run = completed.cluster, completed.run
    cluster.running["i-0"][run.task, run.number] = ["", 1]
    cluster.renew_lease("i-0")
    commands = cluster.decider.collect_commands()
    assert commands.lookups == [run.stage.job.id]
    stored_jobs.look_up(
        cluster.decider, completed.store, run.stage.job.id, cluster.clock
    )
    assert cluster.decider.targets["i-0"].cpu == 1000
    stops = cluster.decider.collect_commands().stops
    assert [(stop.task, stop.run) for stop in stops] == [(run.task, run.number)]
    job = cluster.decider.jobs[run.stage.job.id]
    assert job.visible_phase is jobs.Phase.COMPLETED


def test_hand_over_may_name_completed_jobs(completed):
    """Guards against a wait for leases because of an end that is stored."""
    cluster, run = completed.cluster, completed.run
    runs = {"i-0": [(run.task, run.number)]}
    assert cluster.decider.apply_handover(runs, set(), cluster.clock.now())
