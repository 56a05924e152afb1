"""Health of the table service: timeout, backoff, last confirmed access."""

import random

from quetzalswitch import clock as clocks
from quetzalswitch import exceptions
from quetzalswitch import logs

BACKOFF_BASE_S = 0.05

# Below the staleness bound of 5 s, so that a recovered store is noticed
# before the configuration counts as stale.
BACKOFF_CAP_S = 2.0

# A store slower than the timeout would never confirm anything, so the timeout
# grows up to this multiple of its base while exchanges time out.
MAX_TIMEOUT_FACTOR = 4

# Keeps the backoff exponent small in an outage that lasts for days.
_MAX_EXPONENT = 10


class TableHealth:
    """Tracks the results of the committer's exchanges with the table.

    Attributes:
        timeout_s: Timeout for the next exchange, in seconds.
        last_confirmed_s: Send time, on the clock, of the last exchange
            that was answered; minus infinity if there was none.
        is_failing: Whether the last exchange had no usable answer.
        failures: Number of exchanges without a usable answer.
    """

    def __init__(self, clock: clocks.Clock, timeout_s: float):
        self.timeout_s = timeout_s
        self.last_confirmed_s = float("-inf")
        self.failures = 0
        self._clock = clock
        self._base_timeout_s = timeout_s
        self._consecutive_failures = 0
        self._random = random.Random()

    @property
    def is_failing(self) -> bool:
        """Whether the last exchange had no usable answer."""
        return self._consecutive_failures > 0

    def record_success(self, sent_s: float) -> None:
        """Records an answer to an exchange sent at the given time."""
        if self.is_failing:
            logs.write("store_available", failures=self._consecutive_failures)
        self._consecutive_failures = 0
        self.last_confirmed_s = max(self.last_confirmed_s, sent_s)
        self._set_timeout(3 * (self._clock.now() - sent_s))

    def record_failure(
        self, error: exceptions.StoreUnavailableError, sent_s: float
    ) -> None:
        """Records an exchange without a usable answer."""
        if not self.is_failing:
            logs.write("store_unavailable", operation="commit", error=error)
        self._consecutive_failures += 1
        self.failures += 1
        # A timer may fire slightly early by this clock.
        if self._clock.now() - sent_s >= 0.9 * self.timeout_s:
            self._set_timeout(2 * self.timeout_s)

    def back_off(self, failures: int = 0) -> None:
        """Sleeps for a time that grows with the consecutive failures.

        `failures` is the caller's own count, if that is higher: writes may
        fail while reads succeed.
        """
        failures = max(failures, self._consecutive_failures, 1)
        exponent = min(failures - 1, _MAX_EXPONENT)
        bound_s = min(BACKOFF_CAP_S, BACKOFF_BASE_S * 2**exponent)
        self._clock.sleep(self._random.uniform(bound_s / 2, bound_s))

    def _set_timeout(self, wanted_s: float) -> None:
        limit_s = self._base_timeout_s * MAX_TIMEOUT_FACTOR
        self.timeout_s = min(limit_s, max(self._base_timeout_s, wanted_s))
