"""Tests of targets whose capacity changes while they run tasks."""

import json

import gevent
import pytest

import decider_stage
import wire_platform
from quetzalswitch.acceptance import catalogue
from quetzalswitch.platform import records


def _set_capacity(cluster, cpu, target_id="i-0"):
    target = cluster.decider.targets[target_id]
    capacity = catalogue.Resources(cpu, 100000, 0)
    registration = target.registration._replace(capacity=capacity)
    cluster.decider.register(registration, cluster.clock.now())
    return target


@pytest.fixture(name="cluster")
def _cluster():
    cluster = decider_stage.SimulatedCluster(targets=1, cpu=4000)
    cluster.add_job("1", [decider_stage.make_step(count=8)])
    assert len(cluster.start_tasks()) == 4
    return cluster


def test_shrunk_target_gets_no_task_beyond_its_capacity(cluster):
    """Guards against starts that overcommit a target that has shrunk."""
    target = _set_capacity(cluster, 2000)
    for left in (3, 2):
        cluster.end_run(next(iter(target.runs.values())))
        cluster.renew_lease("i-0")
        assert len(target.runs) == left
        assert cluster.start_tasks() == []
    cluster.end_run(next(iter(target.runs.values())))
    cluster.renew_lease("i-0")
    assert len(cluster.start_tasks()) == 1


def test_task_that_is_being_stopped_counts_on_a_shrunk_target(cluster):
    """Guards against using room before a stopped run is known to be gone."""
    target = _set_capacity(cluster, 4000)
    run = next(iter(target.runs.values()))
    cluster.decider.stop_run(run, cluster.clock.now())
    assert cluster.start_tasks() == []
    _set_capacity(cluster, 3000)
    cluster.end_run(run)
    cluster.renew_lease("i-0")
    assert cluster.start_tasks() == []


def test_target_that_grows_again_gets_tasks(cluster):
    """Guards against capacity that stays unused after it has returned."""
    _set_capacity(cluster, 1000)
    assert cluster.start_tasks() == []
    _set_capacity(cluster, 6000)
    assert len(cluster.start_tasks()) == 2


def test_gang_waits_for_room_on_shrunk_targets():
    """Guards against a gang that counts capacity which has shrunk."""
    cluster = decider_stage.SimulatedCluster(targets=3, cpu=4000)
    for target_id in ("i-0", "i-1"):
        _set_capacity(cluster, 1000, target_id)
    step = decider_stage.make_step(count=3, cpu=2000, gang=True)
    cluster.add_job("1", [step])
    assert cluster.start_tasks() == []
    cluster.add_job("2", [decider_stage.make_step()])
    assert len(cluster.start_tasks()) == 1
    for target_id in ("i-0", "i-1"):
        _set_capacity(cluster, 4000, target_id)
    assert len(cluster.start_tasks()) == 3


def test_changed_capacity_is_read_from_the_row():
    """Guards against a registration that keeps its first capacity."""
    row = wire_platform.make_registration("127.0.0.1:1")
    row["capacity"] = {"cpu": 500, "mem_mb": 20, "gpu": 1}
    found = records.decode_target("i-0", json.dumps(row).encode())
    assert found.capacity == catalogue.Resources(500, 20, 1)


def test_entries_follow_the_capacity_of_a_target(tmp_path):
    """Guards against a leader that never applies a changed capacity."""
    cluster = wire_platform.Cluster(tmp_path, targets=1, work_s=0.5)
    try:
        cluster.wait_ready()
        (target,) = cluster.targets
        row = cluster.read_registration(0)
        row["capacity"]["cpu"] = 2000
        cluster.store.put("servers", target.instance, row)
        _wait_for_resize(tmp_path, 2000)
        assert cluster.submit(0, "00000000000000a1", count=6) == 200
        found = cluster.wait_state(1, "00000000000000a1", "completed")
        assert found == "completed"
        assert target.most_running == 2
        row["capacity"]["cpu"] = 8000
        cluster.store.put("servers", target.instance, row)
        _wait_for_resize(tmp_path, 8000)
        assert cluster.submit(0, "00000000000000a2", count=6) == 200
        found = cluster.wait_state(1, "00000000000000a2", "completed")
        assert found == "completed"
        assert target.most_running == 6
    finally:
        cluster.stop()


def _wait_for_resize(folder, cpu):
    """Waits until an entry logs that a target has this capacity."""
    for _ in range(100):
        for path in folder.glob("e*.log"):
            for line in path.read_text().splitlines():
                event = json.loads(line) if line.startswith("{") else {}
                if (
                    event.get("event") == "target_resized"
                    and event["capacity"][0] == cpu
                ):
                    return
        gevent.sleep(0.1)
    raise AssertionError(f"no entry has seen a capacity of {cpu}")
