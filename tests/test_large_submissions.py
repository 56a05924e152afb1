"""Tests that memory, rows and passes don't grow with a caller's numbers."""

import io
import tracemalloc
import types
import typing

import msgspec
import pytest

import decider_stage
from quetzalswitch import clock as clocks
from quetzalswitch import exceptions
from quetzalswitch import nodelog
from quetzalswitch import nodemetrics
from quetzalswitch.acceptance import submissions
from quetzalswitch.decision import availability
from quetzalswitch.decision import jobs
from quetzalswitch.decision import placement
from quetzalswitch.platform import api
from quetzalswitch.recovery import progress

HUGE = 10_000_000
MEMORY_LIMIT_BYTES = 4_000_000


class _FormerRecord(typing.NamedTuple):
    """Progress as the previous release reads it."""

    phase: str
    done: dict[str, bytes]
    failures: dict[str, dict[int, list[int]]]
    crashes: dict[str, dict[int, dict[int, int]]] = {}


def _reload(job):
    """Returns a job as the next leader loads it."""
    cluster = decider_stage.SimulatedCluster()
    cluster.decider.add_job(
        job.submission, 0.0, 0.0, inherited=True, progress=job.encode()
    )
    return cluster.decider.jobs[job.id]


def _run_tasks(cluster, passes_count):
    for _ in range(passes_count):
        for run in cluster.start_tasks():
            cluster.end_run(run)
        cluster.renew_all_leases()


def _submit(steps, **fields):
    """Returns the status of a submission to the callers' interface."""
    accepted = []
    queue = decider_stage.make_queue()
    intake = types.SimpleNamespace(
        authorize=lambda *args: (queue, "t1"),
        catalogue=types.SimpleNamespace(body_limit_bytes=10**6),
        submit=lambda submission, timeout_s: accepted.append(submission),
    )
    clock = clocks.ManualClock()
    log = nodelog.NodeLog(clock)
    metrics = nodemetrics.NodeMetrics(log)
    app = api.CallerApi(intake, clock, log, metrics, lambda _: 0)
    body = msgspec.json.encode({"steps": steps, **fields})
    environ = {
        "REQUEST_METHOD": "POST",
        "PATH_INFO": "/q/" + "a" * 16,
        "CONTENT_LENGTH": str(len(body)),
        "wsgi.input": io.BytesIO(body),
    }
    statuses = []
    answer = app(environ, lambda status, headers: statuses.append(status[:3]))
    assert bool(accepted) == (statuses == ["200"])
    return statuses[0], b"".join(answer).decode()


def test_memory_does_not_grow_with_the_number_of_tasks():
    """Guards against review/6: one step of ten million tasks ends each leader.

    A set of all its indexes was built when the job was added or loaded.
    """
    cluster = decider_stage.SimulatedCluster()
    tracemalloc.start()
    try:
        job = cluster.add_job("1", [decider_stage.make_step(count=HUGE)])
        _run_tasks(cluster, 3)
        _reload(job)
        peak_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    assert len(job.stages[0, 0].done) == 24
    assert peak_bytes < MEMORY_LIMIT_BYTES


def test_others_are_served_beside_a_step_of_ten_million_tasks():
    """Guards against review/6 where the leader survives and serves nobody."""
    cluster = decider_stage.SimulatedCluster()
    cluster.add_job("1", [decider_stage.make_step(count=HUGE)])
    _run_tasks(cluster, 3)
    # Work that is three times as old as its objective yields to other work.
    cluster.advance_time(10.0)
    other = cluster.add_job("2", [decider_stage.make_step()], team="t2")
    _run_tasks(cluster, 3)
    assert other.phase is jobs.Phase.COMPLETED


def test_progress_of_a_large_step_fits_into_a_row():
    """Guards against a bit mask that is larger than a row."""
    cluster = decider_stage.SimulatedCluster(targets=20)
    job = cluster.add_job("1", [decider_stage.make_step(count=HUGE)])
    for _ in range(30):
        runs = cluster.start_tasks()
        for run in runs[::2]:
            cluster.end_run(run)
        cluster.renew_all_leases()
    assert len(job.encode()) < progress.ROW_LIMIT_BYTES / 50
    loaded = _reload(job).stages[0, 0]
    assert loaded.done == job.stages[0, 0].done
    assert len(loaded.pending) == HUGE - len(loaded.done)


def test_progress_of_usual_jobs_is_readable_by_the_previous_release():
    """Guards against a rolling update in which older entries drop jobs."""
    cluster = decider_stage.SimulatedCluster()
    steps = [decider_stage.make_step(count=4), decider_stage.make_step()]
    job = cluster.add_job("1", steps)
    runs = cluster.start_tasks()
    cluster.end_run(runs[0])
    cluster.end_run(runs[2])
    cluster.renew_all_leases()
    record = msgspec.msgpack.decode(job.encode(), type=_FormerRecord)
    assert record == _FormerRecord("", {"0.0": b"\x05"}, {})


def test_previous_release_cannot_misread_ranges():
    """Guards against an older leader that takes done tasks for pending."""
    cluster = decider_stage.SimulatedCluster()
    job = cluster.add_job("1", [decider_stage.make_step(count=HUGE)])
    _run_tasks(cluster, 1)
    with pytest.raises(msgspec.ValidationError):
        msgspec.msgpack.decode(job.encode(), type=_FormerRecord)


def test_stored_mask_of_a_large_step_is_read():
    """Guards against progress of the previous release that is not read."""
    step = decider_stage.make_step(count=500_000)
    submission = decider_stage.make_submission("1", [step])
    mask = bytes(62_499) + b"\x03"
    job = jobs.Job(submission)
    job.restore(msgspec.msgpack.encode(["", {"0.0": mask}, {}]))
    assert job.stages[0, 0].done.list_bounds() == [0, 2]
    assert job.stages[0, 0].pending.list_bounds() == [2, 500_000]


@pytest.mark.parametrize(
    "ranges", [{"0.0": [5, 11]}, {"0.0": [3]}, {"0.0": [4, 2]}, {"0.1": [0, 1]}]
)
def test_ranges_that_fit_no_step_are_rejected(ranges):
    """Guards against a row that ends the leader when it is read."""
    submission = decider_stage.make_submission(
        "1", [decider_stage.make_step(count=10)]
    )
    data = msgspec.msgpack.encode(["", {}, {}, {}, ranges])
    with pytest.raises(exceptions.ProtocolError):
        jobs.decode_progress(data, submission)


def test_stored_gang_wider_than_any_site_takes_little_memory():
    """Guards against a row of before the limit that ends each leader."""
    cluster = decider_stage.SimulatedCluster(targets=10, cpu=10**6)
    step = decider_stage.make_step(count=HUGE, cpu=1, gang=True)
    cluster.add_job("1", [step], inherited=True)
    other = cluster.add_job("2", [decider_stage.make_step()])
    tracemalloc.start()
    try:
        started = cluster.start_tasks()
        peak_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    assert [run.stage.job for run in started] == [other]
    assert peak_bytes < MEMORY_LIMIT_BYTES


def test_slots_of_a_target_do_not_grow_with_the_width_of_a_gang():
    """Guards against a list with a slot for each member of a stored gang."""
    cluster = decider_stage.SimulatedCluster(targets=1, cpu=10**6)
    step = decider_stage.make_step(count=HUGE, cpu=1, gang=True)
    stage = cluster.add_job("1", [step]).stages[0, 0]
    outlook = availability.Availability(0.0, placement.RemainingCapacity())
    slots = outlook.list_slots(stage, cluster.decider.targets["i-0"])
    assert len(slots) == placement.UNBOUNDED_COUNT


def test_saved_progress_of_done_tasks_is_dropped():
    """Guards against memory that grows with the number of done tasks."""
    cluster = decider_stage.SimulatedCluster()
    step = decider_stage.make_step(count=100, checkpointing=True)
    job = cluster.add_job("1", [step])
    for run in cluster.start_tasks():
        run.stage.preemptions[run.index] += 1
        cluster.end_run(run, checkpoint="saved")
    cluster.renew_all_leases()
    assert not job.stages[0, 0].checkpoints
    assert not job.stages[0, 0].preemptions


@pytest.mark.parametrize(
    ("step", "status", "expected"),
    [
        ({"count": HUGE}, "200", ""),
        ({"count": submissions.MAX_TASKS}, "200", ""),
        ({"count": submissions.MAX_TASKS + 1}, "400", "steps.0.count"),
        ({"count": 10**30}, "400", "steps.0.count"),
        ({"count": 10_000, "gang": True}, "200", ""),
        ({"count": 10_001, "gang": True}, "400", "steps.0.count"),
    ],
)
def test_number_of_tasks_is_checked_at_acceptance(step, status, expected):
    """Guards against a number of tasks that no part of the system can hold."""
    answer = _submit([step])
    assert answer[0] == status
    assert expected in answer[1]


@pytest.mark.parametrize("field", ["repeats", "start_at_ms", "interval_ms"])
def test_numbers_of_a_schedule_are_checked_at_acceptance(field):
    """Guards against a number that can't be stored."""
    assert _submit([{"count": 1}], **{field: 10**15})[0] == "200"
    for value in (10**15 + 1, 10**30):
        status, answer = _submit([{"count": 1}], **{field: value})
        assert status == "400"
        assert field in answer
