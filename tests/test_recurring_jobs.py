"""Tests of jobs that run many times."""

import tracemalloc

import msgspec
import pytest

import decider_stage
from quetzalswitch import exceptions
from quetzalswitch.decision import jobs
from quetzalswitch.decision import occurrences
from quetzalswitch.execution import protocol
from quetzalswitch.recovery import progress

MEMORY_LIMIT_BYTES = 20_000_000
# Later than the due times of most jobs here.
WALL_MS = 10**9


def _make_recurring(occurrences, steps=None, job_id="1", interval_ms=1):
    steps = steps or [decider_stage.make_step(cpu=100)]
    return decider_stage.make_submission(job_id, steps)._replace(
        occurrences=occurrences,
        first_at_ms=1,
        interval_ms=interval_ms,
        accepted_ms=WALL_MS,
    )


def _add(cluster, submission, wall_ms=WALL_MS, **options):
    cluster.decider.add_job(submission, cluster.clock.now(), wall_ms, **options)
    return cluster.decider.jobs[submission.id]


def _run_tasks(cluster, wall_ms=WALL_MS, how=protocol.EndReason.DONE):
    """Starts what fits and ends it; returns the ended runs."""
    cluster.decider.open_due(cluster.clock.now(), wall_ms)
    # The first pass only moves work that is late.
    runs = cluster.start_tasks() + cluster.start_tasks()
    for run in runs:
        cluster.end_run(run, how)
    cluster.renew_all_leases()
    for ended in cluster.ended.values():
        ended.clear()
    return runs


def _reload(job, cluster=None):
    """Returns the next leader's cluster and its copy of a job."""
    cluster = cluster or decider_stage.SimulatedCluster(epoch=2)
    return cluster, _add(
        cluster, job.submission, inherited=True, progress=job.encode()
    )


def test_progress_of_many_occurrences_fits_into_a_row():
    """Guards against review/9: the ends of 9,200 occurrences block all others.

    Each occurrence had an entry of its own. After some 6,600 the row was larger
    than the store allows, and no end of any job was acknowledged any more.
    """
    cluster = decider_stage.SimulatedCluster()
    job = _add(cluster, _make_recurring(9200))
    largest = 0
    for _ in range(200):
        _run_tasks(cluster)
        largest = max(largest, len(job.encode()))
    assert job.phase is jobs.Phase.COMPLETED
    assert largest < progress.ROW_LIMIT_BYTES / 10
    assert not job.stages


def test_memory_does_not_grow_with_the_number_of_occurrences():
    """Guards against leaders that two billion due occurrences end."""
    cluster = decider_stage.SimulatedCluster()
    tracemalloc.start()
    try:
        job = _add(cluster, _make_recurring(2_000_000_000))
        _run_tasks(cluster)
        _reload(job)
        peak_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    assert peak_bytes < MEMORY_LIMIT_BYTES
    assert len(job.finished_occurrences) == 80
    assert cluster.log.counts["occurrences_wait"] == 1


def test_recurring_jobs_share_the_open_steps():
    """Guards against memory that grows with the number of such jobs."""
    cluster = decider_stage.SimulatedCluster()
    for number in range(50):
        _add(cluster, _make_recurring(10**9, job_id=str(number)))
    for _ in range(3):
        cluster.decider.open_due(cluster.clock.now(), WALL_MS)
    counts = [len(job.stages) for job in cluster.decider.jobs.values()]
    assert min(counts) >= 1
    shared = occurrences.TOTAL_LIMIT_STAGES / 50
    assert counts[-1] == shared


def test_late_work_of_others_waits_behind_few_occurrences():
    """Guards against thousands of due occurrences that go before other work.

    In a run of review/9 beside load, 1,000 open occurrences were late, and
    submissions of another team that became late too had to wait for all.
    """
    cluster = decider_stage.SimulatedCluster(cpu=500)
    job = _add(cluster, _make_recurring(9200))
    cluster.advance_time(60.0, step=30.0)
    step = decider_stage.make_step(cpu=100)
    other = cluster.add_job("2", [step], team="t2")
    cluster.advance_time(60.0, step=30.0)
    started = []
    while other.id not in {run.stage.job.id for run in started}:
        started += _run_tasks(cluster, wall_ms=WALL_MS + 120_000)
        assert len(started) <= 2 * occurrences.WAITING_LIMIT_OCCURRENCES
    assert job.opened_count > occurrences.WAITING_LIMIT_OCCURRENCES


def test_occurrences_that_begin_at_once_are_not_late():
    """Guards against a job without a first time that goes behind all others."""
    cluster = decider_stage.SimulatedCluster(cpu=500)
    submission = _make_recurring(20)._replace(first_at_ms=0)
    job = _add(cluster, submission)
    priorities = {stage.sort_key[0] for stage in job.stages.values()}
    assert priorities == {job.submission.queue.priority}


def test_occurrences_with_many_steps_overlap():
    """Guards against occurrences that wait for the end of the one before."""
    cluster = decider_stage.SimulatedCluster(cpu=20_000)
    steps = [decider_stage.make_step()] + [
        decider_stage.make_step(after=(number,)) for number in range(30)
    ]
    job = _add(cluster, _make_recurring(50, steps))
    runs = cluster.start_tasks() + cluster.start_tasks()
    assert len({run.stage.occurrence for run in runs}) > 20
    assert job.stages


def test_occurrence_with_more_steps_than_the_limit_is_opened(monkeypatch):
    """Guards against a job that waits for room that it can't get."""
    monkeypatch.setattr(occurrences, "JOB_LIMIT_STAGES", 2)
    cluster = decider_stage.SimulatedCluster()
    steps = [decider_stage.make_step()] * 3
    job = _add(cluster, _make_recurring(5, steps))
    for _ in range(5):
        assert len(job.stages) == 3
        _run_tasks(cluster)
        cluster.decider.open_due(cluster.clock.now(), WALL_MS)
    assert job.phase is jobs.Phase.COMPLETED


@pytest.mark.parametrize("occurrences", [20, 5000])
def test_next_leader_starts_no_finished_occurrence_again(occurrences):
    """Guards against a second run of what an earlier leader has stored."""
    cluster = decider_stage.SimulatedCluster(cpu=500)
    job = _add(cluster, _make_recurring(occurrences))
    done = {run.task for run in _run_tasks(cluster)}
    assert len(done) == 10
    later, loaded = _reload(job)
    assert loaded.finished_occurrences == job.finished_occurrences
    assert loaded.phase is jobs.Phase.RUNNING
    while runs := _run_tasks(later):
        assert done.isdisjoint(run.task for run in runs)
        done |= {run.task for run in runs}
    assert len(done) == occurrences
    assert loaded.phase is jobs.Phase.COMPLETED


def test_end_of_a_finished_occurrence_may_be_acknowledged():
    """Guards against an end that keeps back all later ones of its target."""
    cluster = decider_stage.SimulatedCluster()
    job = _add(cluster, _make_recurring(5000))
    runs = _run_tasks(cluster)
    later, loaded = _reload(job)
    later.add_end(runs[0].task, runs[0].number, "i-0", protocol.EndReason.DONE)
    (end,) = later.renew_lease("i-0")
    assert end.job is loaded
    assert end.revision == loaded.stored_revision
    assert 0 in loaded.finished_occurrences
    assert (0, 0) not in loaded.stages


def test_run_of_a_finished_occurrence_is_stopped():
    """Guards against a run that nobody knows any more."""
    cluster = decider_stage.SimulatedCluster()
    job = _add(cluster, _make_recurring(5000))
    runs = _run_tasks(cluster)
    later, loaded = _reload(job)
    later.running["i-0"][runs[0].task, 1] = ["", 10]
    later.renew_all_leases()
    (stop,) = later.decider.collect_commands().stops
    assert (stop.task, stop.run) == (runs[0].task, 1)
    later.add_end(runs[0].task, 1, "i-0", protocol.EndReason.STOPPED)
    later.renew_all_leases()
    assert (0, 0) not in loaded.stages


def test_handover_of_a_finished_occurrence_delays_nothing():
    """Guards against a takeover that waits for leases without need."""
    cluster = decider_stage.SimulatedCluster()
    job = _add(cluster, _make_recurring(5000))
    runs = _run_tasks(cluster)
    later = decider_stage.SimulatedCluster(epoch=2, reconciled=False)
    _reload(job, later)
    handed_over = {"i-0": [(runs[0].task, runs[0].number)]}
    assert later.decider.apply_handover(handed_over, set(), 0.0)
    assert not later.decider.targets["i-0"].runs


def test_copy_of_a_done_task_keeps_its_occurrence_until_it_ends():
    """Guards against a copy that is not stopped."""
    cluster = decider_stage.SimulatedCluster()
    step = decider_stage.make_step(speculative=True)
    job = _add(cluster, _make_recurring(2, [step], interval_ms=10**10))
    (run,) = cluster.start_tasks()
    cluster.running["i-1"][run.task, run.number + 1] = ["", 1]
    cluster.renew_all_leases()
    cluster.end_run(run)
    cluster.renew_all_leases()
    assert (0, 0) in job.stages
    cluster.add_end(run.task, run.number + 1, "i-1", protocol.EndReason.STOPPED)
    cluster.renew_all_leases()
    assert (0, 0) not in job.stages


def test_few_occurrences_are_readable_by_the_previous_release():
    """Guards against a rolling update in which older entries drop jobs."""
    cluster = decider_stage.SimulatedCluster()
    steps = [decider_stage.make_step(count=2), decider_stage.make_step()]
    job = _add(cluster, _make_recurring(3, steps))
    _run_tasks(cluster)
    record = msgspec.msgpack.decode(job.encode())
    # Of each occurrence; the targets have room for eight tasks.
    assert record[0] == ""
    assert record[2:] == [{}]
    assert record[1]["0.0"] == b"\x03"
    assert record[1]["0.1"] == b"\x01"


def test_stored_masks_of_many_occurrences_are_read():
    """Guards against progress of the previous release that is not read."""
    done = {f"{number}.0": b"\x01" for number in range(6000)}
    data = msgspec.msgpack.encode(["", done, {}])
    cluster = decider_stage.SimulatedCluster()
    job = _add(cluster, _make_recurring(9200), progress=data)
    assert job.finished_occurrences.list_bounds() == [0, 6000]
    assert _run_tasks(cluster)[0].stage.occurrence == 6000


@pytest.mark.parametrize("bounds", [[0, 11], [3], [4, 2]])
def test_finished_occurrences_that_the_job_lacks_are_rejected(bounds):
    """Guards against a row that ends the leader when it is read."""
    data = msgspec.msgpack.encode(["", {}, {}, {}, {}, bounds])
    with pytest.raises(exceptions.ProtocolError):
        jobs.decode_progress(data, _make_recurring(10))
