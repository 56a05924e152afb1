"""Spans of each hop of a request, kept in memory and exported if wanted.

Trace context follows W3C traceparent. The span of a whole request has an ID
that any entry can compute from the trace ID and the request key, so hops on
other entries attach to it without a further field in messages.
"""

import collections
import re
import secrets
import typing

import msgspec
import xxhash

from quetzalswitch import clock as clocks
from quetzalswitch import logs
from quetzalswitch.callers import protocol

HOPS: typing.Final = (
    "request",
    "admission",
    "queue",
    "decision",
    "hand_over",
    "start",
    "run",
    "answer",
    "store_write",
)
# A request that is placed again and again must not fill the memory.
SPANS_PER_REQUEST_COUNT: typing.Final = 64
# Spans that a peer sends to the home with the outcome of an attempt.
SENT_SPANS_COUNT: typing.Final = 16
EXPORT_QUEUE_COUNT: typing.Final = 2048
EXPORT_TIMEOUT_MS: typing.Final = 5000
CLOSE_TIMEOUT_S: typing.Final = 3.0
ATTRIBUTE_LIMIT_CHARACTERS: typing.Final = 256

_TRACE_PARENT: typing.Final = re.compile(
    r"(?!ff)[0-9a-f]{2}-(?!0{32})([0-9a-f]{32})-(?!0{16})([0-9a-f]{16})-"
    r"([0-9a-f]{2})(-.*)?"
)


class TraceContext(typing.NamedTuple):
    """What a traceparent header says."""

    trace_id: str
    span_id: str
    sampled: bool


class Exporter(typing.Protocol):
    """Sends spans to a collector without blocking."""

    def export(self, span: protocol.Span) -> None:
        """Queues a span; drops it when the queue is full."""

    def close(self) -> None:
        """Sends what is queued, within `CLOSE_TIMEOUT_S`."""


class Tracer:
    """Records spans of requests that pass through this entry."""

    def __init__(
        self,
        clock: clocks.Clock,
        entry_id: str,
        stored_traces_count: int = 1000,
        exporter: Exporter | None = None,
    ):
        self._clock = clock
        self._entry_id = entry_id
        self._limit = stored_traces_count
        self._exporter = exporter
        self._spans: collections.OrderedDict[str, list[protocol.Span]] = (
            collections.OrderedDict()
        )

    def record(
        self,
        trace_id: str,
        request_key: str,
        hop: str,
        duration_s: float,
        *,
        parent_id: str | None = None,
        **attributes: typing.Any,
    ) -> str:
        """Records a hop that ends now and returns its span ID.

        Args:
            trace_id: Trace that the request belongs to.
            request_key: Team and request ID.
            hop: One of `HOPS`.
            duration_s: Length of the hop in seconds.
            parent_id: Parent span; the request's own span if None. For the
                hop `request` it is the caller's span, or empty.
            **attributes: Details; long values are cut.

        Raises:
            ValueError: The hop is not one of `HOPS`.
        """
        if hop not in HOPS:
            raise ValueError(f"unknown hop {hop!r}")
        root_id = make_root_id(trace_id, request_key)
        is_root = hop == "request"
        span_id = root_id if is_root else secrets.token_hex(8)
        if parent_id is None:
            parent_id = "" if is_root else root_id
        span: protocol.Span = {
            "trace_id": trace_id,
            "span_id": span_id,
            "parent_id": parent_id,
            "name": hop,
            "entry": self._entry_id,
            "start_s": self._clock.wall() - duration_s,
            "duration_s": duration_s,
            "attributes": {
                name: str(value)[:ATTRIBUTE_LIMIT_CHARACTERS]
                for name, value in attributes.items()
            },
        }
        self._store(request_key, span)
        if self._exporter is not None:
            self._exporter.export(span)
        return span_id

    def spans(self, request_key: str) -> list[protocol.Span]:
        """Returns the spans of a request, oldest first."""
        spans = self._spans.get(request_key, [])
        return sorted(spans, key=lambda span: span["start_s"])

    def own_spans(self, request_key: str) -> list[protocol.Span]:
        """Returns the latest spans that this entry has recorded itself."""
        own = [
            s for s in self.spans(request_key) if s["entry"] == self._entry_id
        ]
        return own[-SENT_SPANS_COUNT:]

    def absorb(self, request_key: str, spans: list[dict]) -> None:
        """Stores spans that a peer recorded; repeated ones are ignored.

        The peer exports them itself.
        """
        try:
            found = msgspec.convert(spans, list[protocol.Span])
        except msgspec.ValidationError:
            return
        known = {span["span_id"] for span in self._spans.get(request_key, [])}
        for span in found:
            if span["span_id"] not in known:
                self._store(request_key, span)

    def close(self) -> None:
        """Sends what is queued for the collector."""
        if self._exporter is not None:
            self._exporter.close()

    def _store(self, request_key: str, span: protocol.Span) -> None:
        if self._limit == 0:
            return
        spans = self._spans.get(request_key)
        if spans is None:
            spans = self._spans[request_key] = []
            if len(self._spans) > self._limit:
                self._spans.popitem(last=False)
        if len(spans) < SPANS_PER_REQUEST_COUNT:
            spans.append(span)


def parse_trace_parent(header: str) -> TraceContext | None:
    """Returns the trace context of a traceparent header, None if malformed."""
    found = _TRACE_PARENT.fullmatch(header.strip())
    if found is None:
        return None
    # Version 00 has exactly four parts; later versions may add more.
    if found[4] and header.strip().startswith("00"):
        return None
    return TraceContext(found[1], found[2], bool(int(found[3], 16) & 1))


def continue_trace(header: str) -> TraceContext:
    """Returns the caller's trace, or a new one without a parent span."""
    context = parse_trace_parent(header)
    return context or TraceContext(make_trace_id(), "", True)


def format_trace_parent(trace_id: str, span_id: str) -> str:
    """Returns the traceparent that is sent on."""
    return f"00-{trace_id}-{span_id}-01"


def make_trace_id() -> str:
    """Returns a new random trace ID."""
    return secrets.token_hex(16)


def make_root_id(trace_id: str, request_key: str) -> str:
    """Returns the ID of the span of a whole request."""
    return xxhash.xxh3_64_hexdigest(f"{trace_id}/{request_key}".encode())


def make_exporter(
    endpoint: str | None, entry_id: str, log: logs.Log
) -> Exporter | None:
    """Returns an OTLP/HTTP exporter, or None without an endpoint.

    A collector that can't be used is logged; it never stops the process.
    """
    if not endpoint:
        return None
    try:
        # Costs tens of MB, so it is loaded only when spans are exported.
        from quetzalswitch import otlp

        return otlp.OtlpExporter(endpoint, entry_id, log)
    except (ImportError, ValueError) as error:
        log.write("trace_export_failed", endpoint=endpoint, error=error)
        return None
