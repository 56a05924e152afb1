"""Tests of how the store client handles missing answers."""

import gevent
import pytest

from quetzalswitch import clock as clocks
from quetzalswitch import exceptions
from quetzalswitch import nodelog
from quetzalswitch import nodemetrics
from quetzalswitch.platform import store as stores


class _UnansweredPool:
    """A connection pool whose calls get no answer."""

    def __init__(self):
        self.cause = None

    def exchange(self, method, path, body, timeout_s, headers=None):
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
