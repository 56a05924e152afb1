"""Metrics of one entry process, for Prometheus.

Every metric is declared in `DECLARATIONS`; docs/OPERATIONS.md lists the same
table. Label values are bounded, so that names from outside can't grow the
memory: beyond the bound a value is counted as `other`.
"""

import pathlib
import resource
import typing
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

import aioprometheus

_STATUS: typing.Final = pathlib.Path("/proc/self/statm")

OTHER: typing.Final = "other"
# Enough for the 22 teams of the design capacity several times over.
LABEL_VALUES_COUNT: typing.Final = 64

WAIT_BUCKETS_S: typing.Final = (
    *(0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0),
    *(60.0, 300.0, 1800.0, 7200.0, float("inf")),
)
DECISION_BUCKETS_S: typing.Final = (
    *(0.0001, 0.00025, 0.0005, 0.001, 0.0025, 0.005, 0.01, 0.05, 0.25),
    float("inf"),
)


class Declaration(typing.NamedTuple):
    """A metric.

    Attributes:
        name: Name with its unit.
        kind: counter, gauge or histogram.
        labels: Names of the labels.
        text: What it measures.
        buckets: Upper bounds of a histogram.
    """

    name: str
    kind: typing.Literal["counter", "gauge", "histogram"]
    labels: tuple[str, ...]
    text: str
    buckets: tuple[float, ...] = ()


# Every set of declarations includes these; each rendering measures them.
PROCESS_DECLARATIONS: typing.Final = (
    Declaration(
        "quetzal_control_cpu_seconds",
        "gauge",
        (),
        "Processor time used by this process since its start.",
    ),
    Declaration(
        "quetzal_control_resident_bytes",
        "gauge",
        (),
        "Resident memory of this process.",
    ),
)

DECLARATIONS: typing.Final = (
    Declaration(
        "quetzal_wait_seconds",
        "histogram",
        ("kind", "team"),
        "Time from acceptance to the first start.",
        WAIT_BUCKETS_S,
    ),
    Declaration(
        "quetzal_decision_seconds",
        "histogram",
        (),
        "Time of one round of decisions.",
        DECISION_BUCKETS_S,
    ),
    Declaration(
        "quetzal_store_write_seconds",
        "histogram",
        (),
        "Time of one transaction of the table service.",
        WAIT_BUCKETS_S,
    ),
    Declaration(
        "quetzal_requests_total", "counter", ("kind",), "Accepted requests."
    ),
    Declaration(
        "quetzal_refusals_total",
        "counter",
        ("kind",),
        "Refused or failed requests, by error kind.",
    ),
    Declaration(
        "quetzal_starts_total",
        "counter",
        ("domain",),
        "Started tasks, by failure domain.",
    ),
    Declaration(
        "quetzal_attempts_ended_total",
        "counter",
        ("outcome",),
        "Ended attempts: finished, failed, lost, preempted, not_started.",
    ),
    Declaration(
        "quetzal_results_discarded_total",
        "counter",
        (),
        "Results of attempts that were no longer current.",
    ),
    Declaration(
        "quetzal_jobs_abandoned_total",
        "counter",
        (),
        "Jobs abandoned after failures on several targets.",
    ),
    Declaration(
        "quetzal_retries_total", "counter", ("party",), "Retries made."
    ),
    Declaration(
        "quetzal_retries_denied_total",
        "counter",
        (),
        "Retries not made because the budget was used up.",
    ),
    Declaration(
        "quetzal_store_writes_total",
        "counter",
        ("outcome",),
        "Transactions: sent, resent after a lost answer, conflict.",
    ),
    Declaration(
        "quetzal_store_failures_total",
        "counter",
        (),
        "Accesses to the table service without a usable answer.",
    ),
    Declaration(
        "quetzal_epochs_granted_total",
        "counter",
        (),
        "Control leases granted by targets, each with a new epoch.",
    ),
    Declaration(
        "quetzal_epochs_lost_total",
        "counter",
        ("reason",),
        "Control leases lost, by reason.",
    ),
    Declaration(
        "quetzal_control_sent_bytes_total",
        "counter",
        ("party",),
        "Bytes sent to peers, targets and platform.",
    ),
    Declaration(
        "quetzal_control_received_bytes_total",
        "counter",
        ("party",),
        "Bytes received from peers, targets and platform.",
    ),
    Declaration(
        "quetzal_peer_messages_dropped_total",
        "counter",
        (),
        "Messages to peers dropped because a queue was full.",
    ),
    Declaration(
        "quetzal_connections_closed_total",
        "counter",
        ("reason",),
        "Connections of clients that the server closed, by reason.",
    ),
    Declaration(
        "quetzal_packing_ratio",
        "gauge",
        ("resource",),
        "Reserved part of the capacity of usable targets.",
    ),
    Declaration(
        "quetzal_share_distance_ratio",
        "gauge",
        ("team",),
        "Part of this entry's capacity in use less the team's share of it.",
    ),
    Declaration(
        "quetzal_limit_headroom_tasks",
        "gauge",
        ("team",),
        "Allowance held by this entry and not in use.",
    ),
    Declaration(
        "quetzal_limit_excess_tasks",
        "gauge",
        ("team",),
        "Running tasks above a lowered upper limit.",
    ),
    Declaration(
        "quetzal_queued_requests",
        "gauge",
        ("team",),
        "Requests waiting at this entry.",
    ),
    Declaration(
        "quetzal_running_tasks",
        "gauge",
        ("team",),
        "Tasks running on targets controlled by this entry.",
    ),
    Declaration(
        "quetzal_targets",
        "gauge",
        ("state",),
        "Targets controlled here: usable, leaving, out, quarantined.",
    ),
    Declaration(
        "quetzal_members",
        "gauge",
        ("state",),
        "Known entries: alive, suspect, dead.",
    ),
    Declaration(
        "quetzal_configuration_version",
        "gauge",
        (),
        "Configuration version in force.",
    ),
    Declaration(
        "quetzal_configuration_age_seconds",
        "gauge",
        (),
        "Time since the version was confirmed.",
    ),
    Declaration(
        "quetzal_retry_tokens", "gauge", (), "Retries that the budget allows."
    ),
    *PROCESS_DECLARATIONS,
)

_CLASSES: typing.Final = {
    "counter": aioprometheus.Counter,
    "gauge": aioprometheus.Gauge,
    "histogram": aioprometheus.Histogram,
}


class Metrics:
    """The metrics of one entry process."""

    def __init__(self, declarations: Iterable[Declaration] = DECLARATIONS):
        self._registry = aioprometheus.Registry()
        self._collectors: dict[str, typing.Any] = {}
        self._declared = {d.name: d for d in declarations}
        self._values: dict[tuple[str, str], set[str]] = {}
        self._callbacks: list[Callable[[], None]] = []
        for declaration in self._declared.values():
            self._collectors[declaration.name] = self._make(declaration)

    def count(self, name: str, by: float = 1, **labels: str) -> None:
        """Adds to a counter.

        Raises:
            KeyError: The metric or its labels are not declared so.
        """
        collector = self._collectors[name]
        collector.add(self._bound(name, labels), by)

    def set_total(self, name: str, total: float, **labels: str) -> None:
        """Sets a counter whose total is kept elsewhere.

        Raises:
            KeyError: The metric or its labels are not declared so.
        """
        self._collectors[name].set(self._bound(name, labels), total)

    def observe(self, name: str, value: float, **labels: str) -> None:
        """Adds a value to a histogram.

        Raises:
            KeyError: The metric or its labels are not declared so.
        """
        self._collectors[name].observe(self._bound(name, labels), value)

    def set(self, name: str, value: float, **labels: str) -> None:
        """Sets a gauge.

        Raises:
            KeyError: The metric or its labels are not declared so.
        """
        self._collectors[name].set(self._bound(name, labels), value)

    def replace(self, name: str, values: Mapping[str, float]) -> None:
        """Sets a gauge with one label and removes its other values.

        A removed team or target would otherwise be reported for ever.

        Args:
            name: Name of the metric.
            values: Value for each value of the label.

        Raises:
            KeyError: The metric is not a gauge with one label.
        """
        declaration = self._declared[name]
        if declaration.kind != "gauge" or len(declaration.labels) != 1:
            raise KeyError(f"{name} is not a gauge with one label")
        label = declaration.labels[0]
        self._collectors[name].values.clear()
        self._values.pop((name, label), None)
        rest = 0.0
        for position, (key, value) in enumerate(sorted(values.items())):
            if position < LABEL_VALUES_COUNT:
                self.set(name, value, **{label: key})
            else:
                rest += value
        if len(values) > LABEL_VALUES_COUNT:
            self.set(name, rest, **{label: OTHER})

    def call_before_render(self, callback: Callable[[], None]) -> None:
        """Calls back before each rendering, to set gauges."""
        self._callbacks.append(callback)

    def render(self, accept: str = "") -> tuple[bytes, str]:
        """Returns the metrics and their content type.

        Args:
            accept: Accept header of the request.
        """
        self._measure_process()
        for callback in self._callbacks:
            callback()
        accepts = [accept] if accept else []
        body, headers = aioprometheus.render(self._registry, accepts)
        return body, headers["Content-Type"]

    def _make(self, declaration: Declaration) -> typing.Any:
        options = {}
        if declaration.buckets:
            options["buckets"] = declaration.buckets
        return _CLASSES[declaration.kind](
            declaration.name,
            declaration.text,
            registry=self._registry,
            **options,
        )

    def _measure_process(self) -> None:
        usage = resource.getrusage(resource.RUSAGE_SELF)
        cpu_s = usage.ru_utime + usage.ru_stime
        self.set("quetzal_control_cpu_seconds", cpu_s)
        # The second field is the number of resident pages.
        pages = int(_STATUS.read_text().split()[1])
        resident_bytes = pages * resource.getpagesize()
        self.set("quetzal_control_resident_bytes", resident_bytes)

    def _bound(self, name: str, labels: dict[str, str]) -> dict[str, str]:
        declared = self._declared[name].labels
        if labels.keys() != set(declared):
            raise KeyError(f"{name} has labels {declared}, got {set(labels)}")
        return {
            label: self._bound_value(name, label, labels[label])
            for label in declared
        }

    def _bound_value(self, name: str, label: str, value: str) -> str:
        known = self._values.setdefault((name, label), set())
        if value in known:
            return value
        if len(known) >= LABEL_VALUES_COUNT:
            return OTHER
        known.add(value)
        return value
