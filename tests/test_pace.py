"""Tests for the rate limit of transactions."""

import gevent
import pytest

from quetzalswitch import clock as clocks
from quetzalswitch.storage import rate_limiter


@pytest.mark.parametrize("entries", [0, 1, 3, 7, 8, 20, 50])
def test_all_entries_together_stay_within_the_limit(entries):
    """Guards against overloading the store when entries are added."""
    rate = rate_limiter.RateLimiter(
        clocks.ManualClock(), lambda: entries
    ).allowed_rate()
    assert rate * entries <= rate_limiter.MAX_SYSTEM_TRANSACTIONS_PER_S
    assert 0 < rate <= rate_limiter.MAX_TRANSACTIONS_PER_S


def test_rate_follows_the_number_of_entries():
    """Guards against a rate that is fixed when the process starts."""
    clock = clocks.ManualClock()
    entries = [7]
    made = rate_limiter.RateLimiter(clock, lambda: entries[0])
    made.record_sent(clock.now())
    entries[0] = 28
    waiting = gevent.spawn(made.wait)
    gevent.sleep(0)
    clock.advance(0.09)
    assert not waiting.dead
    clock.advance(0.02)
    assert waiting.dead
