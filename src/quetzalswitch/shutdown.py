"""The planned stop of an entry process."""

import typing

from quetzalswitch import control as controls
from quetzalswitch import escrow
from quetzalswitch import exceptions
from quetzalswitch import placements
from quetzalswitch import tracking

POLL_S = 0.1


class Shutdown:
    """Stops an entry process without cutting off a request.

    Args:
        process: The entry process.

    Attributes:
        draining: Whether the load balancer should stop sending.
        refusing: Whether new requests are refused.
    """

    def __init__(self, process: typing.Any):
        self._process = process
        self.draining = False
        self.refusing = False

    def run(self) -> None:
        """Stops gracefully: finishes what is in flight, hands over the rest."""
        if self.draining:
            return
        self.draining = True
        times = self._process.settings.times
        self._process.log.write(
            "entry_draining",
            entry=self._process.settings.entry_id,
            drain_delay_s=times.drain_delay_s,
        )
        self._process.clock.sleep(times.drain_delay_s)
        self.refusing = True
        self._hand_over()
        self._process.placer.post(placements.Drain())
        end_s = self._process.clock.now() + times.drain_timeout_s
        while self._process.clock.now() < end_s and not self._is_idle():
            self._process.clock.sleep(POLL_S)
        if not self._is_idle():
            self._process.log.write(
                "entry_stop_late",
                entry=self._process.settings.entry_id,
                left=len(self._process.home.open_entries()),
            )
        self._leave()
        self._process.log.write(
            "entry_stopped", entry=self._process.settings.entry_id
        )
        self._process.stop()

    def _hand_over(self) -> None:
        """Lets peers adopt requests that nobody waits for here."""
        for entry in self._process.home.open_entries():
            if entry.request.durable and not entry.watchers:
                self._process.home.post(tracking.HandOver(entry.request.key))

    def _is_idle(self) -> bool:
        waited = [
            e for e in self._process.home.open_entries() if not e.handed_over
        ]
        return not waited and self._process.reporter.idle()

    def _leave(self) -> None:
        """Returns targets and allowances and lets peers adopt the rest."""
        self._process.control.post(controls.ReleaseAll())
        self._process.allowance_task.post(escrow.ReturnUnused())
        end_s = (
            self._process.clock.now()
            + self._process.settings.times.store_timeout_s
        )
        while (
            self._process.control.claimed()
            and self._process.clock.now() < end_s
        ):
            self._process.clock.sleep(POLL_S)
        try:
            self._process.clock.sleep(2 * escrow.ROUND_INTERVAL_S)
            pending = self._process.journal.release_home()
            pending.wait(self._process.settings.times.store_timeout_s)
        except exceptions.QuetzalError:
            # Without the table, peers adopt after the registration lapses.
            return
