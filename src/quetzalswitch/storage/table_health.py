"""Health of the access to the table: deadline, backoff, last confirmation."""

import random

from quetzalswitch import clock as clocks
from quetzalswitch import exceptions
from quetzalswitch import logs

BACKOFF_BASE_S = 0.05

# Below the staleness bound of 5 s, so that a store that returns is noticed
# before the configuration counts as stale.
BACKOFF_CAP_S = 2.0

# A store slower than the deadline would never confirm anything, so the
# deadline grows up to this multiple while exchanges time out.
MAX_TIMEOUT_FACTOR = 4

# An outage may last for days; the exponent stays small.
_MAX_EXPONENT = 10


class TableHealth:
    """What the committer learns from its exchanges with the table.

    Attributes:
        timeout_s: Deadline for the next exchange, in seconds.
        last_confirmed_s: Time of sending, on the clock, of the last exchange
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
        self._failures_in_row = 0
        self._random = random.Random()

    @property
    def is_failing(self) -> bool:
        """Whether the last exchange had no usable answer."""
        return self._failures_in_row > 0

    def record_success(self, sent_s: float) -> None:
        """Notes an answer to an exchange sent at the given time."""
        if self.is_failing:
            logs.write("store_available", failures=self._failures_in_row)
        self._failures_in_row = 0
        self.last_confirmed_s = max(self.last_confirmed_s, sent_s)
        self._set_timeout(3 * (self._clock.now() - sent_s))

    def record_failure(
        self, error: exceptions.StoreUnavailableError, sent_s: float
    ) -> None:
        """Notes an exchange without a usable answer."""
        if not self.is_failing:
            logs.write("store_unavailable", operation="commit", error=error)
        self._failures_in_row += 1
        self.failures += 1
        # A timer may fire slightly early by this clock.
        if self._clock.now() - sent_s >= 0.9 * self.timeout_s:
            self._set_timeout(2 * self.timeout_s)

    def back_off(self, failures: int = 0) -> None:
        """Sleeps for a time that grows with the failures in a row.

        `failures` is the caller's own count, if that is higher: writes may
        fail while reads succeed.
        """
        failures = max(failures, self._failures_in_row, 1)
        exponent = min(failures - 1, _MAX_EXPONENT)
        bound_s = min(BACKOFF_CAP_S, BACKOFF_BASE_S * 2**exponent)
        self._clock.sleep(self._random.uniform(bound_s / 2, bound_s))

    def _set_timeout(self, wanted_s: float) -> None:
        limit_s = self._base_timeout_s * MAX_TIMEOUT_FACTOR
        self.timeout_s = min(limit_s, max(self._base_timeout_s, wanted_s))
