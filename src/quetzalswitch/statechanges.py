"""Logs state changes that are found by comparison and not by an event."""

import typing

from quetzalswitch import packing

INTERVAL_S = 0.5


class StateChangeLogger:
    """Logs differences from the last logged state of an entry process.

    Args:
        process: The entry process.
    """

    def __init__(self, process: typing.Any):
        self._process = process
        self._fresh: bool | None = None
        self._quarantined: set[str] = set()
        self._leaving: set[str] = set()
        self._over_limit: set[str] = set()

    def run(self) -> None:
        """Logs changes every `INTERVAL_S` until its greenlet is killed."""
        while True:
            self._process.clock.sleep(INTERVAL_S)
            self.report()

    def report(self) -> None:
        """Logs the changes since the last call."""
        self._report_freshness()
        nodes = self._process.scheduler.cluster.nodes
        self._report_quarantine(nodes)
        self._report_leaving(nodes)
        self._report_limits()

    def _report_freshness(self) -> None:
        process = self._process
        fresh = process.is_fresh()
        version = process.following.configuration.version
        if fresh and self._fresh is None:
            process.log.write(
                "entry_serving",
                entry=process.settings.entry_id,
                version=version,
            )
        elif fresh and not self._fresh:
            process.log.write("configuration_fresh", version=version)
        elif self._fresh and not fresh:
            process.log.write(
                "configuration_stale",
                version=version,
                age_s=process.freshness.age_s(),
            )
        if fresh or self._fresh:
            self._fresh = fresh

    def _report_quarantine(self, nodes: dict[str, packing.Node]) -> None:
        current = {name for name, node in nodes.items() if node.quarantined}
        for name in sorted(current - self._quarantined):
            self._process.log.write("target_quarantined", target=name)
        # Only targets still controlled here have left quarantine; the others
        # have moved to another entry.
        for name in sorted((self._quarantined - current) & nodes.keys()):
            self._process.log.write("target_cleared", target=name)
        self._quarantined = current

    def _report_leaving(self, nodes: dict[str, packing.Node]) -> None:
        current = {name for name, node in nodes.items() if node.target.leaving}
        for name in sorted(current - self._leaving):
            self._process.log.write("target_leaving", target=name)
        self._leaving = current

    def _report_limits(self) -> None:
        excess = {
            use.name: use.charged - use.allowance
            for use in self._process.scheduler.shares
            if use.charged > use.allowance
        }
        for team in sorted(excess.keys() - self._over_limit):
            self._process.log.write(
                "limit_exceeded", team=team, excess=excess[team]
            )
        self._over_limit = set(excess)
