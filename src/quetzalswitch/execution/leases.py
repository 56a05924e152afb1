"""Until when leases on a target may last, whoever granted them.

A lease ends at a time on the target's clock, which starts anew in each
lifetime, at any time. A call that was meant for the lifetime before carries a
time that may lie far ahead. The target then grants the longest lease, and never
shortens it.
"""

import typing

from quetzalswitch import clock as clocks
from quetzalswitch.execution import tenure as tenures

# The longest lease that is requested. It must outlast a change of leader (about
# two seconds), and it limits the delay before tasks of a dead target are
# restarted.
MAX_LEASE_S: typing.Final = 5.0
# In the first seconds of a lifetime a target may carry out calls that were
# meant for the lifetime before. They are sent for up to 2 s after the restart,
# until a renewal fails, and may be carried out 12 s later.
FORMER_CALL_LIMIT_S: typing.Final = 14.0
# Wall clocks of different VMs may differ by this much.
WALL_CLOCK_TOLERANCE_S: typing.Final = 5.0
# How late an answer may be. A clock that is further ahead is another one.
CLOCK_TOLERANCE_S: typing.Final = 1.0
# A target's clock may run 2% slow.
MIN_CLOCK_RATE: typing.Final = 0.98
EXPIRY_MARGIN_S: typing.Final = 0.3


class Leases:
    """The leases on one target, as one session knows them.

    Attributes:
        asked_s: Duration of the leases that the session asks for.
        longest_s: Duration of the longest lease that the target grants.
        clock_ms: The last known time on the target's clock; 0 if unknown.
        read_s: When that time was read; monotonic.
        sent_until_ms: The latest lease sent in this lifetime, on its clock.
        former_calls_fenced: Whether the target rejects calls that were meant
            for earlier lifetimes or sent by earlier sessions.
    """

    def __init__(self, longest_s: float, clock: clocks.Clock):
        self.asked_s = min(longest_s, MAX_LEASE_S)
        self.longest_s = longest_s
        self.clock_ms = 0
        self.read_s = 0.0
        self.sent_until_ms = 0
        self._clock = clock
        self._opened_s = clock.now()
        # Until when calls of earlier sessions, also of other leaders, or calls
        # for earlier lifetimes may have extended leases.
        self._granted_until_ms = 0
        # The latest lease sent to earlier lifetimes, on their clocks, if no
        # call of an earlier session can be carried out any more.
        self._former_until_ms = float("inf")
        self._latest_until_ms = 0
        self.former_calls_fenced = False
        # Until when leases may last in a lifetime that has answered a start,
        # but no renewal yet.
        self._unheard_until_s = float("-inf")
        # When a start was last given up without an answer.
        self._unanswered_s = float("-inf")

    def extend(self) -> int:
        """Extends the lease; returns its end on the target's clock (ms)."""
        elapsed_s = self._clock.now() - self.read_s
        until_ms = self.clock_ms + int((elapsed_s + self.asked_s) * 1000)
        self.sent_until_ms = max(self.sent_until_ms, until_ms)
        return self.sent_until_ms

    def begin_lifetime(self) -> None:
        """Forgets the clock of a lifetime that is over."""
        self._latest_until_ms = max(
            self._latest_until_ms, self.sent_until_ms, self._granted_until_ms
        )
        if self.clock_ms and self.read_s - self._opened_s > FORMER_CALL_LIMIT_S:
            self._former_until_ms = self._latest_until_ms
        self.former_calls_fenced = False
        self._granted_until_ms = 0
        self.clock_ms = 0
        self.sent_until_ms = 0

    def estimate_clock(self) -> int:
        """Returns the earliest time (ms) that the target's clock can show.

        Returns 0 if its clock is unknown.
        """
        if not self.clock_ms:
            return 0
        elapsed_s = self._clock.now() - self.read_s
        return self.clock_ms + int(elapsed_s * MIN_CLOCK_RATE * 1000)

    def is_of_other_lifetime(self, clock_ms: int, earliest_ms: int) -> bool:
        """Returns whether an answer shows a clock that has started anew.

        Args:
            clock_ms: The target's clock in the answer; 0 if not given.
            earliest_ms: What `estimate_clock` returned when the call was sent.
        """
        if not clock_ms or not earliest_ms or not self.clock_ms:
            return False
        elapsed_s = self._clock.now() - self.read_s
        latest_ms = self.clock_ms + (elapsed_s + CLOCK_TOLERANCE_S) * 1000
        return not earliest_ms <= clock_ms <= latest_ms

    def apply_answer(self, clock_ms: int, boot_ms: int, fenced: bool) -> float:
        """Applies the answer to a renewal.

        Args:
            clock_ms: The target's clock.
            boot_ms: Unix time of the start of its lifetime; 0 if unknown.
            fenced: Whether the target rejects calls from now on that were meant
                for earlier lifetimes or sent by earlier sessions.

        Returns:
            By how much (s) a lease may last longer than this session asks for,
            if that was found out now; else 0.
        """
        excess_s = 0.0
        if not self.former_calls_fenced:
            excess_s = self._bound_former_leases(clock_ms, boot_ms, fenced)
        if fenced:
            self._unheard_until_s = float("-inf")
        if clock_ms >= self.clock_ms:
            self.clock_ms = clock_ms
            self.read_s = self._clock.now()
        return excess_s

    def record_unanswered_start(self) -> None:
        """Records that a start was given up without an answer."""
        self._unanswered_s = self._clock.now()

    def record_unheard_restart(self) -> None:
        """Records that a new lifetime answered a start, but no renewal yet."""
        self._unheard_until_s = self._find_longest_expiry(
            self._clock.now() + FORMER_CALL_LIMIT_S
        )

    def expire_at(self, boot_ms: int) -> float:
        """Returns the time (s) after which no lease is valid.

        Starts without an answer are excepted; see `starts_expire_at`.

        Args:
            boot_ms: Unix time of the target's start, as the platform lists it;
                0 if unknown.
        """
        if not self.clock_ms:
            return find_inherited_expiry(
                self._opened_s, self._find_inherited_lease(boot_ms)
            )
        until_ms = max(self.sent_until_ms, self._granted_until_ms)
        lease_s = max(0, until_ms - self.clock_ms) / 1000
        until_s = self.read_s + lease_s / MIN_CLOCK_RATE + EXPIRY_MARGIN_S
        return max(until_s, self._unheard_until_s)

    def starts_expire_at(self, boot_ms: int) -> float:
        """Returns the time (s) after which no unanswered start is active.

        The target may have restarted before it carried out such a start. Its
        lease then is the longest that the target grants.

        Args:
            boot_ms: As for `expire_at`.
        """
        return max(
            self.expire_at(boot_ms),
            self._find_longest_expiry(self._unanswered_s),
        )

    def _bound_former_leases(
        self, clock_ms: int, boot_ms: int, fenced: bool
    ) -> float:
        self.former_calls_fenced = fenced
        # Such calls may have been carried out until this long ago.
        since_s = 0.0
        if fenced:
            since_s = max(0.0, self._find_age(boot_ms) - FORMER_CALL_LIMIT_S)
        else:
            since_s = -FORMER_CALL_LIMIT_S
        asked_until_ms = clock_ms + self.asked_s * 1000
        former_until_ms = min(
            clock_ms + (self.longest_s - since_s) * 1000, self._former_until_ms
        )
        self._granted_until_ms = int(max(asked_until_ms, former_until_ms))
        return max(0.0, former_until_ms - asked_until_ms) / 1000

    def _find_age(self, boot_ms: int) -> float:
        """Returns how old a lifetime is at least, in seconds."""
        return self._clock.wall() - boot_ms / 1000 - WALL_CLOCK_TOLERANCE_S

    def _find_longest_expiry(self, carried_out_s: float) -> float:
        longest_s = self.longest_s / MIN_CLOCK_RATE
        return carried_out_s + longest_s + EXPIRY_MARGIN_S

    def _find_inherited_lease(self, boot_ms: int) -> float:
        """Returns how long leases last that an earlier leader granted (s).

        If the target restarted lately, they may have been computed on the clock
        of the lifetime before.
        """
        young_s = FORMER_CALL_LIMIT_S + self.longest_s - self.asked_s
        is_young = self._find_age(boot_ms) < young_s
        return self.longest_s if is_young else self.asked_s


def find_inherited_expiry(elected_s: float, lease_s: float) -> float:
    """Returns when all leases that an earlier leader granted have expired.

    Args:
        elected_s: A time at which the next leader had been elected. The earlier
            one may be cut off, and extends leases until some time later.
        lease_s: Duration of the longest lease in seconds.
    """
    longest_s = lease_s + tenures.EXTENSION_LIMIT_S
    return elected_s + longest_s / MIN_CLOCK_RATE + EXPIRY_MARGIN_S
