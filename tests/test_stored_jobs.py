"""Tests of loading the jobs that earlier leaders left in the store."""

import itertools

import gevent
import pytest

import decider_stage
from quetzalswitch import clock as clocks
from quetzalswitch.acceptance import submissions
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
