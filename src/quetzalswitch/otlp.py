"""Exports spans over OTLP/HTTP; imported only when export is switched on."""

import gevent
import opentelemetry.trace
from opentelemetry.exporter.otlp.proto.http import trace_exporter
from opentelemetry.sdk import resources
from opentelemetry.sdk import trace
from opentelemetry.sdk.trace import export

from quetzalswitch import tracing
from quetzalswitch.callers import protocol

_NANOSECONDS = 1_000_000_000


class OtlpExporter:
    """Hands spans to the library's batch processor.

    The processor has a bounded queue, drops spans when it is full and sends
    from a thread of its own, so an unreachable collector delays no request.
    """

    def __init__(self, endpoint: str, entry_id: str):
        attributes = {
            "service.name": "quetzalswitch",
            "service.instance.id": entry_id,
        }
        self._resource = resources.Resource(attributes)
        timeout_s = tracing.EXPORT_TIMEOUT_MS / 1000
        exporter = trace_exporter.OTLPSpanExporter(
            endpoint=endpoint, timeout=timeout_s
        )
        self._processor = export.BatchSpanProcessor(
            exporter,
            max_queue_size=tracing.EXPORT_QUEUE_COUNT,
            export_timeout_millis=tracing.EXPORT_TIMEOUT_MS,
        )

    def export(self, span: protocol.Span) -> None:
        """Queues a span; drops it when the queue is full."""
        self._processor.on_end(self._convert(span))

    def close(self) -> None:
        """Sends what is queued, without blocking other greenlets."""
        pool = gevent.get_hub().threadpool
        pool.apply(self._processor.shutdown)

    def _convert(self, span: protocol.Span) -> trace.ReadableSpan:
        start_ns = int(span["start_s"] * _NANOSECONDS)
        duration_ns = int(span["duration_s"] * _NANOSECONDS)
        parent = None
        if span["parent_id"]:
            parent = _make_context(span["trace_id"], span["parent_id"])
        return trace.ReadableSpan(
            name=span["name"],
            context=_make_context(span["trace_id"], span["span_id"]),
            parent=parent,
            resource=self._resource,
            attributes=span["attributes"],
            start_time=start_ns,
            end_time=start_ns + duration_ns,
        )


def _make_context(
    trace_id: str, span_id: str
) -> opentelemetry.trace.SpanContext:
    sampled = opentelemetry.trace.TraceFlags.SAMPLED
    return opentelemetry.trace.SpanContext(
        int(trace_id, 16),
        int(span_id, 16),
        is_remote=False,
        trace_flags=opentelemetry.trace.TraceFlags(sampled),
    )
