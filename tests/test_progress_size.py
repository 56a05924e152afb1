"""Tests that progress fits into the rows and calls of the store."""

import pytest

import decider_stage
from quetzalswitch.execution import protocol
from quetzalswitch.execution import tenure as tenures
from quetzalswitch.recovery import progress

FAILED = protocol.EndReason.FAILED


class _Store:
    """Keeps the size of each value that is written."""

    def __init__(self):
        self.calls = []

    def transact(self, part, puts, conditions, removals, timeout_s):
        self.calls.append({put.key: len(put.value) for put in puts})
        return len(self.calls)


class _Writing:
    """A decider whose progress a test writes batch by batch."""

    def __init__(self, row_limit_bytes=progress.ROW_LIMIT_BYTES):
        self.cluster = decider_stage.SimulatedCluster(targets=1, cpu=10**6)
        self.store = _Store()
        self.writer = progress.ProgressWriter(
            self.store,
            self.cluster.log,
            self.cluster.decider.changed_jobs,
            1,
            0,
            self._handle_stored,
            None,
            "nonce",
            self.cluster.clock,
            tenures.Tenure(self.cluster.clock),
            row_limit_bytes=row_limit_bytes,
        )

    def _handle_stored(self, batch):
        for job, revision in batch:
            self.cluster.decider.record_stored(job, revision)

    def fail(self, runs):
        for run in runs:
            self.cluster.end_run(run, FAILED)
        self.cluster.renew_all_leases()


@pytest.fixture(name="writing")
def _writing():
    return _Writing()


def test_progress_of_lasting_tasks_does_not_grow_with_their_failures(writing):
    """Guards against one submission that keeps all others from being stored.

    In review/2, the progress of a submission whose lasting tasks failed again
    and again outgrew its row after 13,000 failed runs.
    """
    step = decider_stage.make_step(count=10, long_running=True)
    job = writing.cluster.add_job("1", [step])
    writing.fail(writing.cluster.start_tasks())
    size = len(job.encode())
    for _ in range(20):
        writing.fail(writing.cluster.start_tasks())
        writing.cluster.clock.advance(30.0)
        writing.cluster.renew_all_leases()
    assert len(job.encode()) == size
    assert writing.cluster.decider.changed_jobs == {}


def test_progress_that_is_too_large_does_not_block_that_of_others():
    """Guards against a row that the store refuses again and again."""
    writing = _Writing(row_limit_bytes=100)
    large = writing.cluster.add_job("1", [decider_stage.make_step(count=100)])
    small = writing.cluster.add_job("2", [decider_stage.make_step()])
    writing.fail(writing.cluster.start_tasks())
    assert len(large.encode()) > 100
    assert writing.writer._write_batch()
    assert small.stored_revision == small.revision
    assert large.id not in writing.store.calls[0]
    assert not writing.writer._is_storable(large)
    assert writing.cluster.log.counts["progress_too_large"] == 1


def test_calls_stay_below_the_limit_of_the_store(writing, monkeypatch):
    """Guards against a call of 80 rows that the store refuses as too large."""
    monkeypatch.setattr(progress, "BATCH_LIMIT_BYTES", 300)
    for number in range(5):
        step = decider_stage.make_step(count=15)
        writing.cluster.add_job(str(number), [step])
    writing.fail(writing.cluster.start_tasks())
    while writing.cluster.decider.changed_jobs:
        assert writing.writer._write_batch()
    assert len(writing.store.calls) > 1
    assert all(sum(call.values()) <= 400 for call in writing.store.calls)


def test_failures_of_done_tasks_are_not_stored(writing):
    """Guards against progress that only grows."""
    job = writing.cluster.add_job("1", [decider_stage.make_step(count=10)])
    empty = len(job.encode())
    writing.fail(writing.cluster.start_tasks())
    failed = len(job.encode())
    for run in writing.cluster.start_tasks():
        writing.cluster.end_run(run)
    writing.cluster.renew_all_leases()
    assert empty < len(job.encode()) < failed
