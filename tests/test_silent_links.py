"""Tests of links that go silent or carry nothing, with real processes.

The store and the targets answer all the time; see silent-links.md in
docs/incidents.
"""

import itertools
import time

import gevent
import pytest

import proxied_platform

ENTRIES_COUNT = 4
# Old code replaced a leader that is not heard every 2 to 4 s.
WATCHED_S = 8.0
SILENCE_S = 10.0
SUBMIT_INTERVAL_S = 0.5
COMPLETION_LIMIT_S = 8.0
RECOVERY_LIMIT_S = 12.0
# Above the interval of the leader's heartbeats and their accepted lateness.
HEARD_AGE_LIMIT_S = 0.9


@pytest.fixture(name="cluster")
def _cluster(tmp_path):
    cluster = proxied_platform.Cluster(tmp_path, entries=ENTRIES_COUNT)
    try:
        cluster.wait_ready()
        assert _wait_for_links(cluster)
        yield cluster
    finally:
        cluster.stop()


def _wait_for_links(cluster, limit_s=RECOVERY_LIMIT_S):
    """Waits until all entries hear the leader; returns whether they do."""
    until_s = time.monotonic() + limit_s
    while time.monotonic() < until_s:
        if all(_hears_leader(cluster, number) for number in cluster.processes):
            return True
        gevent.sleep(0.1)
    return False


def _hears_leader(cluster, number):
    metrics = cluster.read_metrics(number)
    return (
        metrics.get('quetzal_node_links{state="working"}', 0) > 0
        and metrics["quetzal_node_leader_heard_age_seconds"] < HEARD_AGE_LIMIT_S
    )


def _submit_for(cluster, seconds, numbers=range(ENTRIES_COUNT)):
    """Submits jobs to the entries in turn and returns those accepted."""
    accepted = []
    until_s = time.monotonic() + seconds
    turns = enumerate(itertools.cycle(numbers))
    while time.monotonic() < until_s:
        count, number = next(turns)
        job_id = f"{count:016x}"
        if cluster.submit(number, job_id) == 200:
            accepted.append(job_id)
        gevent.sleep(SUBMIT_INTERVAL_S)
    return accepted


def _list_uncompleted(cluster, number, jobs, limit_s):
    """Returns the jobs that an entry doesn't show as completed in time."""
    until_s = time.monotonic() + limit_s
    return [
        job_id
        for job_id in jobs
        if cluster.wait_state(
            number, job_id, "completed", max(0.2, until_s - time.monotonic())
        )
        != "completed"
    ]


def test_links_that_go_silent_for_good_cause_no_chain_of_takeovers(cluster):
    """Guards against silent links that are never replaced (issue 38)."""
    epoch = cluster.read_epoch()
    cluster.silence_open_links()
    jobs = _submit_for(cluster, WATCHED_S)
    assert _wait_for_links(cluster)
    assert cluster.read_epoch() <= epoch + 1
    assert jobs
    assert _list_uncompleted(cluster, 0, jobs, COMPLETION_LIMIT_S) == []


def test_links_that_carry_nothing_cause_no_takeover(cluster):
    """Guards against takeovers while the store shows the leader at work."""
    epoch = cluster.read_epoch()
    cluster.set_link_mode("silent")
    since_s = time.monotonic()
    jobs = [f"{number:016x}" for number in cluster.processes]
    # Where no link works any more, not only where one may still do.
    gevent.sleep(2.0)
    for number, job_id in enumerate(jobs):
        assert cluster.submit(number, job_id) == 200
    left_s = since_s + SILENCE_S - time.monotonic()
    for number in cluster.processes:
        assert _list_uncompleted(cluster, number, jobs, left_s) == []
        assert cluster.call(number, "GET", "/q/")[0] == 200
    others = set(cluster.processes) - {cluster.find_leader()}
    assert others == {
        number
        for number in cluster.processes
        if '"advice_by_store"'
        in (cluster.folder / f"e{number}.log").read_text()
    }
    gevent.sleep(max(0.0, since_s + SILENCE_S - time.monotonic()))
    assert cluster.read_epoch() == epoch
    cluster.set_link_mode("pass")
    assert _wait_for_links(cluster)
    assert cluster.read_epoch() == epoch


def test_dead_leader_is_replaced_once_where_links_carry_nothing(cluster):
    """Guards against no takeover, or a chain of them, without any link."""
    epoch = cluster.read_epoch()
    leader = cluster.find_leader()
    cluster.set_link_mode("silent")
    gevent.sleep(2.0)
    assert cluster.read_epoch() == epoch
    cluster.signal(leader)
    until_s = time.monotonic() + RECOVERY_LIMIT_S
    while cluster.read_epoch() == epoch and time.monotonic() < until_s:
        gevent.sleep(0.05)
    assert cluster.read_epoch() == epoch + 1
    new_leader = cluster.find_leader()
    assert new_leader != leader
    others = [number for number in cluster.processes if number != leader]
    jobs = _submit_for(cluster, WATCHED_S, others)
    assert cluster.read_epoch() == epoch + 1
    assert jobs
    for number in others:
        assert (
            _list_uncompleted(cluster, number, jobs, COMPLETION_LIMIT_S) == []
        )
