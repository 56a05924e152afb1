"""What operators write to the store: configuration and evacuations."""

from collections.abc import Callable

import gevent

from quetzalswitch import clock as clocks
from quetzalswitch import nodelog
from quetzalswitch.acceptance import catalogue
from quetzalswitch.acceptance import confirmation
from quetzalswitch.platform import records
from quetzalswitch.platform import store as stores
from quetzalswitch.recovery import tables


class OperatorRows:
    """Follows the operators' table and passes on what is in force.

    Attributes:
        version: Version of the configuration in force; 0 before the first one.
        evacuated: The failure domains that are out of service.
        follower: Delivers the rows.
    """

    def __init__(
        self,
        store: stores.Store,
        clock: clocks.Clock,
        log: nodelog.NodeLog,
        on_catalogue: Callable[[catalogue.Catalogue], None],
        on_evacuated: Callable[[set[str]], None],
    ):
        """Prepares following the table.

        Args:
            store: The store.
            clock: Source of time.
            log: Where changes are logged.
            on_catalogue: Called with each newer configuration.
            on_evacuated: Called with the evacuated failure domains after each
                batch of rows.
        """
        self.version = 0
        self.evacuated: set[str] = set()
        self.follower = tables.Follower(
            store, records.OPERATOR_TABLE, [""], clock, log, self._apply
        )
        self._store = store
        self._log = log
        self._refreshing: gevent.Greenlet | None = None
        self._on_catalogue = on_catalogue
        self._on_evacuated = on_evacuated

    def view(self, newest_version: int) -> confirmation.ConfigurationView:
        """Returns what this entry knows of the configuration.

        Args:
            newest_version: Highest version in force at any live entry.
        """
        return confirmation.ConfigurationView(
            self.version, self.follower.age_s, newest_version
        )

    def refresh(self) -> bool:
        """Reads the latest changes; returns whether the store answered in time.

        Concurrent requests share one read. There is none while the store does
        not answer other calls.
        """
        if not self._store.healthy:
            return False
        if self._refreshing is None or self._refreshing.ready():
            self._refreshing = gevent.spawn(self.follower.refresh)
        return bool(self._refreshing.get())

    def _apply(self, rows: list[stores.Row], full: bool) -> None:
        if full:
            self.evacuated.clear()
        for row in rows:
            match records.read_operator_row(row, self._log):
                case records.Manifest(value):
                    self._apply_catalogue(value)
                case records.Evacuation(domain, active):
                    self._log.note("evacuation", domain=domain, active=active)
                    if active:
                        self.evacuated.add(domain)
                    else:
                        self.evacuated.discard(domain)
        self._on_evacuated(set(self.evacuated))

    def _apply_catalogue(self, value: catalogue.Catalogue) -> None:
        if value.version <= self.version:
            return
        self.version = value.version
        self._log.note(
            "configuration",
            version=value.version,
            queues=len(value.queues),
            teams=len(value.teams),
        )
        self._on_catalogue(value)
