"""Tests for the removal of stored requests after the retention time."""

import json

import pytest

from quetzalswitch import clock as clocks
from quetzalswitch import records
from quetzalswitch import retention
from quetzalswitch.peers import protocol
from quetzalswitch.storage import table
from quetzalswitch.targets import ownership

DAY_S = 86400.0
SIZE = records.Resources(1.0, 512, 0)


class Store:
    """Rows and objects in memory; also the committer and its pending write."""

    def __init__(self):
        self.rows = {}
        self.objects = set()
        self.reads = 0
        self.pending = None

    def read_rows(self, prefix, after="", limit=500):
        self.reads += 1
        keys = sorted(k for k in self.rows if k.startswith(prefix))
        return [self.rows[k] for k in keys if k > after][:limit]

    def submit(self, conditions, writes):
        self.pending = (conditions, writes)
        return self

    def wait(self, timeout_s):
        conditions, writes = self.pending
        for key, version in conditions.items():
            assert self.rows[key].version == version
        for key in writes:
            del self.rows[key]

    def withdraw(self):
        return False

    def put(self, name, state, ended_s, kind=None, **result):
        request = records.Request(name, "t", "q", kind or records.Batch(), SIZE)
        plain = records.Result("a1", True)._asdict()
        value = {
            "request": protocol.request_to_plain(request),
            "state": state,
            "result": {**plain, **result} if result else None,
            "accepted_wall_s": 0.0,
            "finished_wall_s": ended_s,
        }
        key = f"request/t/{name}"
        self.rows[key] = table.Row(key, 1, value)


@pytest.fixture(name="clock")
def _clock():
    return clocks.ManualClock()


@pytest.fixture(name="store")
def _store():
    return Store()


def _make(clock, store, incarnation="e1-a"):
    members = [
        ownership.Member("e1", "e1-a", "d"),
        ownership.Member("e2", "e2-a", "d"),
    ]
    around = retention.Surroundings(
        incarnation, lambda: members, store.objects.discard
    )
    return retention.Retention(clock, store, store, 7 * DAY_S, around)


@pytest.mark.parametrize("state", ["queued", "starting", "running"])
def test_open_request_is_never_removed(clock, store, state):
    """Guards against the loss of a request that has waited or run for long."""
    store.put("old", state, clock.wall() - 1000 * DAY_S)
    assert _make(clock, store).check_page()
    assert store.rows


def test_ended_request_and_its_objects_go_after_the_retention(clock, store):
    """Guards against results that go too early, or pile up for ever."""
    parts = [{"object": "o2", "length": 9}, "[]", {"object": "o3", "length": 9}]
    gang = {"kind": records.Gang(tasks=3), "body": json.dumps(parts)}
    forged = json.dumps([{"object": "other"}])
    old_s = clock.wall() - 8 * DAY_S
    store.put("large", "done", old_s, object_key="o1")
    store.put("gang", "done", old_s, **gang)
    store.put("forged", "done", old_s, body=forged)
    store.put("failed", "failed", old_s)
    store.put("young", "done", clock.wall() - 6 * DAY_S, object_key="o4")
    store.objects |= {"o1", "o2", "o3", "o4", "other"}
    _make(clock, store).check_page()
    assert set(store.rows) == {"request/t/young"}
    assert store.objects == {"o4", "other"}


def test_time_of_day_that_is_ahead_removes_nothing_early(clock, store):
    """Guards against a VM whose clock is wrong by more than the retention."""
    receipt = {"incarnation": "e2-a", "sequence": 1, "write_id": "w"}
    receipt |= {"address": "a:1", "wall_time_s": clock.wall() - 30 * DAY_S}
    store.rows["entry/e2"] = table.Row("entry/e2", 1, receipt)
    gone = {**receipt, "incarnation": "e3-a", "wall_time_s": clock.wall()}
    store.rows["entry/e3"] = table.Row("entry/e3", 1, gone)
    store.put("young", "done", clock.wall() - 31 * DAY_S)
    _make(clock, store).check_page()
    assert "request/t/young" in store.rows


def test_pages_are_small_and_cover_every_row(clock, store):
    """Guards against one large read, and rows that no page reaches."""
    for number in range(2 * retention.PAGE_ROWS + 1):
        store.put(f"r{number:03}", "done", clock.wall() - 8 * DAY_S)
    task = _make(clock, store)
    assert [task.check_page() for _ in range(3)] == [False, False, True]
    assert (task.removed, store.reads) == (2 * retention.PAGE_ROWS + 1, 6)


def test_one_entry_at_a_time_is_chosen(clock, store):
    """Guards against every entry paging through all rows."""
    chosen = [
        _make(clock, store, name)._is_chosen() for name in ("e1-a", "e2-a")
    ]
    assert sorted(chosen) == [False, True]
