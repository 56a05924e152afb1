"""The listeners of an entry process on the users' platform."""

from collections.abc import Callable

import msgspec

from quetzalswitch import bounds
from quetzalswitch import clock as clocks
from quetzalswitch import listeners
from quetzalswitch import nodelog
from quetzalswitch import nodemetrics
from quetzalswitch import web
from quetzalswitch.acceptance import catalogue
from quetzalswitch.platform import api
from quetzalswitch.platform import nodesettings

# The deploy file contains the same path.
METRICS_PATH = "/metrics"


class NodeListeners:
    """Serves callers, the load balancer's checks and metrics.

    Args:
        settings: Settings of the process.
        clock: Source of time.
        log: Log of the process.
        metrics: Metrics of the process.
        caller_app: The callers' interface.
        is_ready: Answers the load balancer's checks.
    """

    def __init__(
        self,
        settings: nodesettings.NodeSettings,
        clock: clocks.Clock,
        log: nodelog.NodeLog,
        metrics: nodemetrics.NodeMetrics,
        caller_app: Callable,
        is_ready: Callable[[], bool],
    ):
        self._limits = settings.clients
        self._metrics = metrics
        self._reporter = bounds.Reporter(
            clock,
            lambda reason: metrics.count(
                "quetzal_node_connections_closed_total", reason=reason
            ),
            lambda reason, address, more: log.note(
                "connection_closed", reason=reason, address=address, more=more
            ),
        )
        self._callers = self._make(
            settings.caller_address, caller_app, bounds.find_sums(self._limits)
        )
        reserve = bounds.find_reserve(self._limits)
        self._others = [
            self._make(
                settings.ready_address, api.make_ready_app(is_ready), reserve
            )
        ]
        if settings.metrics_port:
            address = f"{settings.ip}:{settings.metrics_port}"
            app = nodemetrics.make_metrics_app(metrics, METRICS_PATH)
            self._others.append(self._make(address, app, reserve))
        metrics.call_before_render(self._set_gauges)

    def start(self) -> None:
        """Starts all listeners."""
        for server in (self._callers, *self._others):
            server.start()

    def close_callers(self) -> None:
        """Accepts no further connections of callers."""
        self._callers.close()

    def apply_catalogue(self, value: catalogue.Catalogue) -> None:
        """Admits requests as large as the operators' configuration allows."""
        self._callers.limits = msgspec.structs.replace(
            self._limits,
            head_bytes=max(self._limits.head_bytes, value.head_limit_bytes),
            body_bytes=max(self._limits.body_bytes, value.body_limit_bytes),
        )

    def _make(
        self, address: str, app: Callable, sums: bounds.Sums
    ) -> listeners.Server:
        return web.make_server(
            address, app, self._limits, sums, self._reporter.report
        )

    def _set_gauges(self) -> None:
        self._metrics.set("quetzal_node_connections", len(self._callers.ledger))
