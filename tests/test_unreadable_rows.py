"""Tests of stored rows that a leader can't read."""

import msgspec
import pytest

import decider_stage
from quetzalswitch.acceptance import submissions
from quetzalswitch.decision import jobs
from quetzalswitch.decision import unknown_jobs
from quetzalswitch.execution import protocol
from quetzalswitch.platform import store as stores
from quetzalswitch.recovery import lost_runs
from quetzalswitch.recovery import stored_jobs
from quetzalswitch.recovery import target_list


@pytest.fixture(name="cluster")
def _cluster():
    return decider_stage.SimulatedCluster(targets=1, epoch=2)


def _make_row(job_id, value=None):
    submission = decider_stage.make_submission(
        job_id, [decider_stage.make_step()]
    )
    if value is None:
        value = submissions.encode(submission)
    return stores.Row("j1", submission.id, value, 1, False)


def _add(cluster, rows, progress=()):
    stored_jobs.add_jobs(
        cluster.decider,
        rows,
        {row.key: row for row in progress},
        cluster.clock,
    )


UNREADABLE = [
    b"",
    b"\xc1",
    b"\x91" * 50000,
    b"\xa2\xff\xff",
    msgspec.msgpack.encode([1]),
]


def _make_odd_job(**fields):
    step = decider_stage.make_step(**fields)
    submission = decider_stage.make_submission("1", [step])
    return submissions.encode(submission)


def _make_progress(phase="", done=(), failures=()):
    record = [phase, dict(done), dict(failures), {}]
    return msgspec.msgpack.encode(record)


@pytest.mark.parametrize(
    "value",
    [
        *UNREADABLE,
        _make_odd_job(count=0),
        _make_odd_job(after=(7,)),
        submissions.encode(decider_stage.make_submission("1", [])),
        submissions.encode(
            decider_stage.make_submission("3", [decider_stage.make_step()])
        ),
    ],
)
def test_unreadable_job_does_not_stop_the_others(cluster, value):
    """Guards against one row that ends the loading of leader after leader."""
    _add(cluster, [_make_row("1", value), _make_row("2")])
    assert set(cluster.decider.jobs) == {"2".rjust(16, "0")}
    log = "".join(decider_stage.read_log(cluster.log))
    assert "job_unreadable" in log
    assert "1".rjust(16, "0") in log


@pytest.mark.parametrize(
    "value",
    [
        *UNREADABLE,
        _make_progress("gone"),
        _make_progress(done={"0": b"\1"}),
        _make_progress(done={"0.7": b"\1"}),
        _make_progress(done={"7.0": b"\1"}),
        _make_progress(failures={"0.0": {9: [1]}}),
    ],
)
def test_job_with_unreadable_progress_is_not_started_again(cluster, value):
    """Guards against a second run of tasks whose ends can't be read."""
    rows = [_make_row("1"), _make_row("2")]
    _add(cluster, rows, [rows[0]._replace(value=value)])
    assert set(cluster.decider.jobs) == {"2".rjust(16, "0")}
    assert "job_unreadable" in "".join(decider_stage.read_log(cluster.log))


def test_job_with_unreadable_progress_is_not_read_again(cluster):
    """Guards against a second run after a gap in the feed of jobs."""
    row = _make_row("1")
    _add(cluster, [row], [row._replace(value=b"\xc1")])
    _add(cluster, [row])
    cluster.decider.add_job(submissions.decode(row.value), 0.0, 0.0)
    assert cluster.decider.jobs == {}
    log = "".join(decider_stage.read_log(cluster.log))
    assert log.count("job_unreadable") == 1


def test_end_of_an_unreadable_job_does_not_keep_back_the_others(cluster):
    """Guards against a target whose ends are never acknowledged again."""
    row = _make_row("1")
    _add(cluster, [row], [row._replace(value=b"\xc1")])
    task = f"{row.key}.0.0.0"
    cluster.add_end(task, 5, "i-0", protocol.EndReason.DONE)
    cluster.renew_lease("i-0")
    assert unknown_jobs.is_missing(cluster.decider, task)
    assert cluster.schedule().lookups == []


def test_unreadable_list_of_lost_runs_is_left_out(cluster):
    """Guards against a list that ends the loading of leader after leader."""
    lost_runs.restore(cluster.decider, b"\xc1", cluster.clock.now())
    assert cluster.decider.crash_history.losses == {}
    assert "lost_runs_unreadable" in "".join(
        decider_stage.read_log(cluster.log)
    )


def test_readable_progress_is_loaded(cluster):
    """Guards against progress that is left out by mistake."""
    row = _make_row("1")
    job = jobs.Job(submissions.decode(row.value))
    job.open_occurrence(0)
    job.stages[0, 0].done.add(0)
    _add(cluster, [row], [row._replace(value=job.encode())])
    assert cluster.decider.jobs[row.key].stages[0, 0].done == {0}


@pytest.mark.parametrize("data", UNREADABLE[1:])
def test_unreadable_list_of_targets_is_left_out(cluster, data):
    """Guards against a list that ends the loading of leader after leader."""
    assert target_list.read(data, cluster.log) == ([], False)
    assert cluster.log.counts["targets_unreadable"] == 1


def test_stored_target_that_cannot_be_called_is_left_out(cluster):
    """Guards against an address that ends the loading of leaders."""
    good = cluster.decider.targets["i-0"].registration
    good = good._replace(address="127.0.0.1:80")
    bad = good._replace(id="i-9", address="a..b:x")
    data = target_list.encode([good, bad])
    found = target_list.read(data, cluster.log)
    assert [target.id for target in found.registrations] == ["i-0"]
    assert not found.complete


@pytest.mark.parametrize("index", ["9" * 5000, "\u00b2", "7", "-1", ""])
def test_end_of_a_task_that_does_not_exist_is_ignored(cluster, index):
    """Guards against a task's name that ends the session or the writer."""
    job = cluster.add_job("1", [decider_stage.make_step()])
    assert cluster.decider.find_stage(f"{job.id}.0.0.{index}") is None
    assert cluster.decider.find_stage(f"{job.id}.0.0.0") is not None
