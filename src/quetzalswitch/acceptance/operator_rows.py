"""What operators write to the store: configuration and evacuations."""

from collections.abc import Callable

from quetzalswitch import clock as clocks
from quetzalswitch import nodelog
from quetzalswitch.acceptance import catalogue
from quetzalswitch.platform import records
from quetzalswitch.platform import store as stores
from quetzalswitch.recovery import tables


class OperatorRows:
    """Follows the operators' table and passes on what is in force.

    Attributes:
        catalogue: The configuration in force; None before the first one.
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
        self.catalogue: catalogue.Catalogue | None = None
        self.evacuated: set[str] = set()
        self.follower = tables.Follower(
            store, records.OPERATOR_TABLE, [""], clock, log, self._apply
        )
        self._log = log
        self._on_catalogue = on_catalogue
        self._on_evacuated = on_evacuated

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
        if self.catalogue and value.version <= self.catalogue.version:
            return
        self.catalogue = value
        self._log.note(
            "configuration",
            version=value.version,
            queues=len(value.queues),
            teams=len(value.teams),
        )
        self._on_catalogue(value)
