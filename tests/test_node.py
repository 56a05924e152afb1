"""Tests of entry processes against a stand-in of the platform over HTTP."""

import signal

import gevent
import pytest

import wire_platform


@pytest.fixture(name="cluster")
def _cluster(tmp_path):
    cluster = wire_platform.Cluster(tmp_path)
    try:
        cluster.wait_ready()
        yield cluster
    finally:
        cluster.stop()


def test_request_is_run_once_and_shown_everywhere(cluster):
    """Guards against jobs that only the accepting entry knows."""
    job_id = "00000000000000a1"
    assert cluster.submit(0, job_id, count=3) == 200
    for number in range(3):
        assert cluster.wait_state(number, job_id, "completed") == "completed"
    starts = cluster.list_starts(job_id)
    assert len(starts) == 3
    assert {start[2] for start in starts} == {"work"}


def test_one_id_at_two_entries_is_one_submission(cluster):
    """Guards against a duplicate request after a lost answer."""
    job_id = "00000000000000a2"
    statuses = [
        gevent.spawn(cluster.submit, number, job_id) for number in range(3)
    ]
    gevent.joinall(statuses)
    assert [status.value for status in statuses] == [200, 200, 200]
    assert cluster.wait_state(0, job_id, "completed") == "completed"
    assert len(cluster.list_starts(job_id)) == 1


def test_bad_input_gets_its_status_and_leaves_nothing(cluster):
    """Guards against errors that callers can't distinguish."""
    bad = {"steps": [{"count": 0}]}
    assert cluster.call(0, "POST", "/q/xyz", bad)[0] == 400
    assert cluster.call(0, "POST", "/q/00000000000000a3", bad)[0] == 400
    assert cluster.call(0, "GET", "/q/00000000000000a3")[0] == 410
    assert cluster.call(0, "DELETE", "/q/00000000000000a3")[0] == 410
    assert cluster.call(0, "GET", "/none/")[0] == 404
    assert cluster.call(0, "GET", "/q/", key="wrong")[0] == 401


def test_cancelled_request_is_stopped(cluster):
    """Guards against tasks that keep running after their cancellation."""
    for target in cluster.targets:
        target.work_s = 60.0
    job_id = "00000000000000a4"
    cluster.submit(0, job_id, count=2)
    assert cluster.wait_state(0, job_id, "running") == "running"
    assert cluster.call(1, "DELETE", f"/q/{job_id}")[0] == 200
    assert cluster.wait_state(2, job_id, "cancelled") == "cancelled"
    for _ in range(100):
        if not any(target.running for target in cluster.targets):
            break
        gevent.sleep(0.1)
    assert not any(target.running for target in cluster.targets)


def test_work_survives_the_death_of_the_deciding_entry(cluster):
    """Guards against tasks that a change of leader loses or runs twice."""
    for target in cluster.targets:
        target.work_s = 3.0
    job_id = "00000000000000a5"
    leader = cluster.find_leader()
    other = (leader + 1) % 3
    assert cluster.submit(other, job_id, count=4) == 200
    assert cluster.wait_state(other, job_id, "running") == "running"
    cluster.signal(leader, signal.SIGKILL)
    assert cluster.wait_state(other, job_id, "completed") == "completed"
    assert len(cluster.list_starts(job_id)) == 4
    assert cluster.find_leader() != leader


def test_work_survives_the_death_of_all_entries(cluster):
    """Guards against state that exists only in the memory of processes."""
    for target in cluster.targets:
        target.work_s = 2.0
    job_id = "00000000000000a6"
    assert cluster.submit(0, job_id, count=4) == 200
    for number in range(3):
        cluster.signal(number, signal.SIGKILL)
        cluster.processes[number].wait()
    for number in range(3):
        cluster.start(number)
    cluster.wait_ready()
    assert cluster.wait_state(1, job_id, "completed") == "completed"
    assert len(cluster.list_starts(job_id)) == 4


def test_refused_submission_never_runs(cluster):
    """Guards against "not accepted" for a job that runs later."""
    job_id = "00000000000000a7"
    cluster.store.refusing = True
    assert cluster.submit(0, job_id) == 503
    cluster.store.refusing = False
    cluster.wait_ready()
    assert cluster.wait_state(0, job_id, "completed", limit_s=1.0) is None
    assert cluster.list_starts(job_id) == []


def test_planned_stop_answers_open_requests(cluster):
    """Guards against requests that fail because of a planned stop."""
    leader = cluster.find_leader()
    cluster.signal(leader, signal.SIGTERM)
    jobs = [f"00000000000000b{n}" for n in range(5)]
    assert [cluster.submit(leader, job_id) for job_id in jobs] == [200] * 5
    other = (leader + 1) % 3
    for job_id in jobs:
        assert cluster.wait_state(other, job_id, "completed") == "completed"
    assert cluster.processes[leader].wait(timeout=10) == 0


def test_metrics_report_what_entries_did(cluster):
    """Guards against state that is missing from the metrics."""
    job_id = "00000000000000d1"
    assert cluster.submit(1, job_id) == 200
    assert cluster.wait_state(1, job_id, "completed") == "completed"
    assert cluster.submit(1, "xyz") == 400
    accepting = cluster.read_metrics(1)
    name = 'quetzal_node_accept_seconds_count{outcome="stored"}'
    assert accepting[name] == 1
    assert sum(
        value
        for name, value in accepting.items()
        if name.startswith("quetzal_node_refusals_total")
    )
    leading = cluster.read_metrics(cluster.find_leader())
    assert leading["quetzal_node_leading"] == 1
    assert leading['quetzal_node_events_total{event="start"}'] >= 1
    assert leading['quetzal_node_completion_seconds_count{priority="0"}'] == 1
    assert leading['quetzal_node_targets{state="reachable"}'] == 2


def test_revoked_key_stops_working(cluster):
    """Guards against keys that still work after their revocation."""
    cluster.configure(2, keys=["k2"])
    for _ in range(100):
        if cluster.submit(0, "00000000000000c1") == 401:
            break
        gevent.sleep(0.05)
    assert cluster.submit(0, "00000000000000c2") == 401
