"""The time up to which this process is known to have been the leader.

Only the store can tell. A leader that is cut off from it can't distinguish this
from an outage for every entry, even if some of its peers lost the store too.
"""

import typing

from quetzalswitch import clock as clocks

# Leases are extended only until this long after the last confirmation. A
# successor relies on it when it computes when leases on a target expire that it
# can't reach.
EXTENSION_LIMIT_S: typing.Final = 1.5


class Moment(typing.NamedTuple):
    """A time on two clocks.

    Attributes:
        now_s: Monotonic time.
        boot_s: Time on the clock that counts suspensions of the VM.
    """

    now_s: float
    boot_s: float


def read_moment(clock: clocks.Clock) -> Moment:
    """Returns the present time."""
    return Moment(clock.now(), clock.boot())


class Tenure:
    """Confirmations by the store that no other process leads.

    Attributes:
        confirmed_s: When the last call was sent whose answer showed that this
            process was still the leader; monotonic.
    """

    def __init__(self, clock: clocks.Clock):
        self.confirmed_s = float("-inf")
        self._confirmed_boot_s = float("-inf")
        self._clock = clock

    def confirm(self, sent: Moment) -> None:
        """Records a call whose answer showed that this process still led.

        Args:
            sent: When the call was sent.
        """
        self.confirmed_s = max(self.confirmed_s, sent.now_s)
        self._confirmed_boot_s = max(self._confirmed_boot_s, sent.boot_s)

    @property
    def age_s(self) -> float:
        """Seconds since the last confirmation, suspensions included."""
        return self._clock.boot() - self._confirmed_boot_s

    def allows_extension(self) -> bool:
        """Returns whether leases may be extended."""
        return self.age_s <= EXTENSION_LIMIT_S

    def covers(self, time_s: float) -> bool:
        """Returns whether no other process led up to a time.

        The expiry of a lease at that time is then certain: only a successor
        could have renewed it.
        """
        return self.confirmed_s >= time_s
