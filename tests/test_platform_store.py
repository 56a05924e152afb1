"""Tests of how the store client handles missing answers."""

import collections
import contextlib
import json

import gevent
import pytest

from quetzalswitch import clock as clocks
from quetzalswitch import exceptions
from quetzalswitch import nodelog
from quetzalswitch import nodemetrics
from quetzalswitch.platform import store as stores
from quetzalswitch.storage import connections


class _UnansweredPool:
    """A connection pool whose calls get no answer."""

    def __init__(self):
        self.cause = None

    def exchange(
        self, method, path, body, timeout_s, headers=None, fresh=False
    ):
        raise exceptions.StoreUnavailableError("no answer") from self.cause


@pytest.fixture(name="store")
def _store():
    clock = clocks.ManualClock()
    metrics = nodemetrics.NodeMetrics(nodelog.NodeLog(clock))
    store = stores.Store("127.0.0.1:1", clock, metrics)
    store._pool = _UnansweredPool()
    store._answered_s = clock.now()
    clock.advance(1.0)
    return store


def test_short_probe_says_nothing_about_a_slow_store(store):
    """Guards against every entry treating a slow store as unavailable.

    Found in incident inc-9109 of ergyalo-sched.
    """
    assert not store.probe("t", "p", stores.SLOWEST_READ_S / 2)
    assert store.healthy
    assert not store.probe("t", "p", stores.SLOWEST_READ_S)
    assert not store.healthy


def test_broken_connection_counts_however_short_the_limit(store):
    """Guards against an outage that short probes hide."""
    store._pool.cause = ConnectionResetError()
    assert not store.probe("t", "p", stores.SLOWEST_READ_S / 2)
    assert not store.healthy


def test_lag_is_that_of_the_oldest_call_without_an_answer(store):
    """Guards against hedging through an entry whose store calls hang too."""
    store._pending[1] = store._clock.now()
    store._clock.advance(0.7)
    assert store.latency_s == pytest.approx(0.7)
    gevent.sleep(0)


class _LatePool:
    """Pages of a table; each is answered only when it is requested again."""

    def __init__(self):
        self.requests = collections.Counter()

    def exchange(
        self, method, path, body, timeout_s, headers=None, fresh=False
    ):
        self.requests[path] += 1
        if self.requests[path] == 1:
            raise exceptions.StoreUnavailableError("no answer")
        page = {
            "rows": [{"key": f"k{len(self.requests)}", "row_version": 1}],
            "row_version": 7,
            "has_more": len(self.requests) < 4,
        }
        return connections.HttpAnswer(200, json.dumps(page).encode())


@pytest.mark.parametrize(("tries", "pages"), [(1, 0), (2, 4)])
def test_late_page_does_not_fail_the_whole_read(
    store, monkeypatch, tries, pages
):
    """Guards against a new leader that never loads where the store is slow.

    Beside 12 busy processes and a hunt, each of 54 loads in 100 s failed
    because of one answer that was later than 2 s, and began anew.
    """
    store._pool = _LatePool()
    monkeypatch.setattr(store._clock, "sleep", lambda seconds: None)
    rows = []
    with contextlib.suppress(exceptions.StoreUnavailableError):
        rows, version = store.read("t", "p", tries=tries)
        assert version == 7
    assert [row.key for row in rows] == [f"k{n + 1}" for n in range(pages)]
    assert set(store._pool.requests.values()) == {tries}
