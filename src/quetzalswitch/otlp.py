"""Exports spans over OTLP/HTTP; imported only when export is switched on."""

import logging

import gevent
import opentelemetry.trace
from opentelemetry.exporter.otlp.proto.http import trace_exporter
from opentelemetry.sdk import resources
from opentelemetry.sdk import trace
from opentelemetry.sdk.trace import export

from quetzalswitch import logs
from quetzalswitch import tracing
from quetzalswitch.callers import protocol

_NANOSECONDS = 1_000_000_000


class OtlpExporter:
    """Hands spans to the library's batch processor.

    The processor has a bounded queue, drops spans when it is full and sends
    from a thread of its own, so an unreachable collector delays no request.
    """

    def __init__(self, endpoint: str, entry_id: str, log: logs.Log):
        _redirect_library_log(log, endpoint)
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
        """Sends what is queued, without blocking other greenlets.

        With an unreachable collector the rest is given up after
        `CLOSE_TIMEOUT_S`; the library itself would try for 15 s or more.
        """
        pool = gevent.get_hub().threadpool
        pool.spawn(self._processor.shutdown).wait(tracing.CLOSE_TIMEOUT_S)

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


class _LibraryLog(logging.Handler):
    """Writes what the library logs as messages of the catalogue."""

    def __init__(self, log: logs.Log, endpoint: str):
        super().__init__(logging.WARNING)
        self._log = log
        self._endpoint = endpoint

    def emit(self, record: logging.LogRecord) -> None:
        """Writes one record, at the rate limit for repeats."""
        self._log.write(
            "trace_export_failed",
            endpoint=self._endpoint,
            error=record.getMessage(),
        )


def _redirect_library_log(log: logs.Log, endpoint: str) -> None:
    """Keeps the library from writing to standard error by itself."""
    logger = logging.getLogger("opentelemetry")
    logger.propagate = False
    logger.handlers = [_LibraryLog(log, endpoint)]


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
