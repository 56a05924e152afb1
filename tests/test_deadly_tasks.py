"""Tests of tasks that crash each target that starts them."""

import signal

import gevent
import pytest

import wire_platform

DEADLY_JOB = "00000000000000e1"
# After three crashes under it, a task may be started twice more.
STARTS_LIMIT_COUNT = 5


@pytest.fixture(name="cluster")
def _cluster(tmp_path):
    cluster = wire_platform.Cluster(tmp_path, targets=4)
    try:
        cluster.wait_ready()
        yield cluster
    finally:
        cluster.stop()


def _submit_deadly(cluster, entry=0):
    spec = wire_platform.DEADLY_SPEC
    assert cluster.submit(entry, DEADLY_JOB, spec=spec) == 200


@pytest.mark.parametrize(
    ("crash_after_s", "new_ids"), [(0.0, True), (0.2, True), (0.2, False)]
)
def test_task_that_crashes_each_target_is_given_up(
    cluster, crash_after_s, new_ids
):
    """Guards against a task that takes down one target after the other."""
    cluster.new_ids = new_ids
    for target in cluster.targets:
        target.crash_after_s = crash_after_s
    _submit_deadly(cluster)
    assert cluster.wait_state(1, DEADLY_JOB, "failed", 30.0) == "failed"
    assert len(cluster.list_starts(DEADLY_JOB)) <= STARTS_LIMIT_COUNT


def test_crashes_count_across_changes_of_the_leader(cluster):
    """Guards against a new leader that starts a deadly task from zero."""
    _submit_deadly(cluster)
    for count in (1, 2):
        _wait_for_crashes(cluster, count)
        # Crashes are known once the target is back.
        gevent.sleep(cluster.down_s + 1.0)
        _replace_leader(cluster)
    assert cluster.wait_state(0, DEADLY_JOB, "failed", 40.0) == "failed"
    assert len(cluster.list_starts(DEADLY_JOB)) <= STARTS_LIMIT_COUNT


def test_crashes_count_if_the_leader_dies_before_the_target_is_back(cluster):
    """Guards against a crash that only a killed leader knew of."""
    cluster.down_s = 3.0
    _submit_deadly(cluster)
    for count in range(1, STARTS_LIMIT_COUNT):
        if not _crashes_again(cluster, count):
            break
        # The leader notices the silence and stores what it knows.
        gevent.sleep(1.0)
        _replace_leader(cluster)
    assert cluster.wait_state(0, DEADLY_JOB, "failed", 40.0) == "failed"
    assert len(cluster.list_starts(DEADLY_JOB)) <= STARTS_LIMIT_COUNT


def test_tasks_beside_a_deadly_one_complete(cluster):
    """Guards against jobs that fail for what another job's task did."""
    for target in cluster.targets:
        target.work_s = 1.5
        target.crash_after_s = 0.3
    others = [f"00000000000000f{n}" for n in range(8)]
    _submit_deadly(cluster)
    for job_id in others:
        assert cluster.submit(0, job_id, count=2) == 200
    for job_id in others:
        found = cluster.wait_state(1, job_id, "completed", 40.0)
        assert found == "completed"
    assert cluster.wait_state(1, DEADLY_JOB, "failed", 40.0) == "failed"


def test_job_of_deadly_tasks_takes_down_few_targets(cluster):
    """Guards against one job that takes down the fleet, each task a few."""
    spec = wire_platform.DEADLY_SPEC
    assert cluster.submit(0, DEADLY_JOB, spec=spec, count=8) == 200
    assert cluster.wait_state(1, DEADLY_JOB, "failed", 40.0) == "failed"
    limit = len(cluster.targets) + STARTS_LIMIT_COUNT - 1
    assert _count_crashes(cluster) <= limit


def _replace_leader(cluster):
    leader = cluster.find_leader()
    cluster.signal(leader, signal.SIGKILL)
    cluster.processes[leader].wait()
    cluster.start(leader)
    cluster.wait_ready()


def _count_crashes(cluster):
    return sum(len(target.crashes) for target in cluster.targets)


def _crashes_again(cluster, count):
    """Waits for a number of crashes; returns False if the job fails first."""
    for _ in range(200):
        if _count_crashes(cluster) >= count:
            return True
        found = cluster.call(0, "GET", f"/q/{DEADLY_JOB}")[1]
        if found.get("state") == "failed":
            return False
        gevent.sleep(0.1)
    raise AssertionError(f"fewer than {count} crashes")


def _wait_for_crashes(cluster, count):
    for _ in range(200):
        if _count_crashes(cluster) >= count:
            return
        gevent.sleep(0.1)
    raise AssertionError(f"fewer than {count} crashes")
