"""Rate limit for the transactions of one entry process."""

import typing

from quetzalswitch import clock as clocks

# All entries together use at most 280 of the several hundred writes a second
# that the table service handles; up to 7 entries may use 40 each.
MAX_TRANSACTIONS_PER_S = 40
MAX_SYSTEM_TRANSACTIONS_PER_S = 280


class RateLimiter:
    """Spaces transactions so that all entries together stay within the limit.

    Args:
        clock: Source of time.
        count_entries: Returns how many entries may be writing, this one
            included.
        limit_per_s: Maximum transactions per second of this entry.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        count_entries: typing.Callable[[], int],
        limit_per_s: float = MAX_TRANSACTIONS_PER_S,
    ):
        self._clock = clock
        self._count_entries = count_entries
        self._limit_per_s = limit_per_s
        self._sent_s = float("-inf")

    def allowed_rate(self) -> float:
        """Returns how many transactions per second this entry may send."""
        share = MAX_SYSTEM_TRANSACTIONS_PER_S / max(1, self._count_entries())
        return min(self._limit_per_s, share)

    def record_sent(self, sent_s: float) -> None:
        """Records the time at which a transaction is sent."""
        self._sent_s = sent_s

    def wait(self) -> None:
        """Waits until the next transaction may be sent."""
        due_s = self._sent_s + 1 / self.allowed_rate()
        remaining_s = due_s - self._clock.now()
        if remaining_s > 0:
            self._clock.sleep(remaining_s)
