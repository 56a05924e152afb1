"""Turns events of a request's life into metrics and spans."""

import typing

from quetzalswitch import clock as clocks
from quetzalswitch import metrics as metric_sets
from quetzalswitch import records
from quetzalswitch import tracing


class Observer:
    """Receives events from the tasks of an entry process.

    Args:
        clock: Source of time.
        metrics: Metrics of this process.
        tracer: Spans of this process.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        metrics: metric_sets.Metrics,
        tracer: tracing.Tracer,
    ):
        self._clock = clock
        self._metrics = metrics
        self._tracer = tracer

    def observe(self, name: str, **fields: typing.Any) -> None:
        """Records an event; an unknown name is ignored."""
        match name:
            case "accepted":
                self._note_accepted(fields["request"])
            case "started":
                self._note_started(fields["request"])
            case "answered":
                self._note_answered(fields["request"], fields["state"])
            case "refused":
                self._metrics.count(
                    "quetzal_refusals_total", kind=fields["kind"]
                )
            case "forwarded":
                self._record(fields["request"], "hand_over", 0.0)
            case "recorded":
                self._record(
                    fields["request"], "store_write", fields["duration_s"]
                )
            case "ended":
                self._metrics.count(
                    "quetzal_attempts_ended_total", outcome=fields["outcome"]
                )
            case "late":
                self._metrics.count("quetzal_results_discarded_total")
            case "claimed":
                self._metrics.count("quetzal_epochs_granted_total")
            case "target_lost":
                self._metrics.count(
                    "quetzal_epochs_lost_total", reason=fields["reason"]
                )

    def _note_accepted(self, request: records.Request) -> None:
        kind = _name_kind(request.kind)
        self._metrics.count("quetzal_requests_total", kind=kind)
        waited_s = self._clock.now() - request.submitted_s
        self._record(request, "admission", waited_s, queue=request.queue)

    def _note_started(self, request: records.Request) -> None:
        waited_s = self._clock.now() - request.submitted_s
        self._metrics.observe(
            "quetzal_wait_seconds",
            waited_s,
            kind=_name_kind(request.kind),
            team=request.team,
        )
        self._record(request, "queue", waited_s)
        self._record(request, "start", 0.0)

    def _note_answered(self, request: records.Request, state: str) -> None:
        total_s = self._clock.now() - request.submitted_s
        self._record(request, "answer", 0.0, state=state)
        self._record(request, "request", total_s, state=state)

    def _record(
        self, request: records.Request, hop: str, duration_s: float, **fields
    ) -> None:
        if request.trace_id:
            self._tracer.record(
                request.trace_id, request.key, hop, duration_s, **fields
            )


def _name_kind(kind: records.Kind) -> str:
    match kind:
        case records.LatencyBound():
            return "latency"
        case records.Batch():
            return "batch"
        case records.Service():
            return "service"
        case records.Gang():
            return "gang"
