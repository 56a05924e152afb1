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


@pytest.mark.parametrize("value", [b"", b"\xc1", msgspec.msgpack.encode([1])])
def test_unreadable_job_does_not_stop_the_others(cluster, value):
    """Guards against one row that ends the loading of leader after leader."""
    _add(cluster, [_make_row("1", value), _make_row("2")])
    assert set(cluster.decider.jobs) == {"2".rjust(16, "0")}
    log = "".join(decider_stage.read_log(cluster.log))
    assert "job_unreadable" in log
    assert "1".rjust(16, "0") in log


@pytest.mark.parametrize("value", [b"", b"\xc1", msgspec.msgpack.encode([1])])
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
    cluster.add_job("1", [decider_stage.make_step()])
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
    job.stages[0, 0].done = {0}
    _add(cluster, [row], [row._replace(value=job.encode())])
    assert cluster.decider.jobs[row.key].stages[0, 0].done == {0}
