"""Decides whether requests may be answered by the configuration in force.

The module does no input or output.
"""

import typing
from collections.abc import Callable

from quetzalswitch import clock as clocks
from quetzalswitch.recovery import tables

# A feed call that is not overdue may still bring the newer version.
SUPERSEDED_AFTER_S: typing.Final = tables.OVERDUE_S


class ConfigurationView(typing.NamedTuple):
    """What an entry knows of the configuration.

    Attributes:
        version: Version in force at this entry; 0 before the first one.
        age_s: Seconds since the call was sent that last confirmed it.
        newest_version: Highest version in force at any live entry.
    """

    version: int
    age_s: float
    newest_version: int


class Confirmation:
    """Tells whether the configuration in force was confirmed in time.

    An unknown queue or key may have been added since the last confirmation, so
    a request is refused for it only while the configuration is confirmed. Other
    requests are served without the store, unless another entry has a newer
    version.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        bound_s: float,
        view: Callable[[], ConfigurationView],
        refresh: Callable[[], bool],
    ):
        """Prepares the decisions.

        Args:
            clock: Source of time.
            bound_s: Time after which a change must be in force.
            view: Returns what this entry knows.
            refresh: Reads the configuration from the store; returns whether the
                store answered.
        """
        self._clock = clock
        self._bound_s = bound_s
        self._view = view
        self._refresh = refresh
        self._superseded_s: float | None = None

    @property
    def age_s(self) -> float:
        """Seconds since the configuration in force was confirmed."""
        return self._view().age_s

    def is_superseded(self) -> bool:
        """Returns whether another entry has had a newer version for a while.

        False if the store has been read since and has no newer one.
        """
        view = self._view()
        now_s = self._clock.now()
        if view.newest_version <= view.version:
            self._superseded_s = None
            return False
        if (
            self._superseded_s is None
            or now_s - view.age_s >= self._superseded_s
        ):
            self._superseded_s = now_s
        return now_s - self._superseded_s > SUPERSEDED_AFTER_S

    def confirm(self) -> bool:
        """Returns whether the configuration is confirmed, if need be by a read.

        The read may put a newer version in force.
        """
        return self._is_confirmed() or (
            self._refresh() and self._is_confirmed()
        )

    def _is_confirmed(self) -> bool:
        return self._view().age_s <= self._bound_s and not self.is_superseded()
