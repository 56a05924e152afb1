"""Tests for spans and trace context."""

import pytest

from quetzalswitch import clock as clocks
from quetzalswitch import logs
from quetzalswitch import tracing

TRACE_ID = "4bf92f3577b34da6a3ce929d0e0e4736"
SPAN_ID = "00f067aa0ba902b7"


class _Exporter:
    """Notes the spans that it gets."""

    def __init__(self):
        self.spans = []

    def export(self, span):
        self.spans.append(span)


@pytest.mark.parametrize(
    "header",
    [
        "",
        "nonsense",
        f"00-{'0' * 32}-{SPAN_ID}-01",
        f"00-{TRACE_ID}-{'0' * 16}-01",
        f"ff-{TRACE_ID}-{SPAN_ID}-01",
        f"00-{TRACE_ID}-{SPAN_ID}-01-more",
        f"00-{TRACE_ID.upper()}-{SPAN_ID}-01",
    ],
)
def test_malformed_trace_parent_is_ignored(header):
    """Guards against a caller's bad header that fails its request."""
    assert tracing.parse_trace_parent(header) is None
    new = tracing.continue_trace(header)
    assert (new.span_id, new.trace_id == TRACE_ID) == ("", False)


def test_trace_parent_survives_a_round_trip():
    """Guards against a trace that breaks at the first hop."""
    header = tracing.format_trace_parent(TRACE_ID, SPAN_ID)
    context = tracing.parse_trace_parent(header)
    assert context == (TRACE_ID, SPAN_ID, True)
    assert tracing.continue_trace(header) == context
    later = tracing.parse_trace_parent(f"01-{TRACE_ID}-{SPAN_ID}-00-more")
    assert later == (TRACE_ID, SPAN_ID, False)


def test_hops_of_two_entries_share_one_root():
    """Guards against hops at a peer that fall out of the tree."""
    clock = clocks.ManualClock()
    home = tracing.Tracer(clock, "e1")
    peer = tracing.Tracer(clock, "e2")
    root = home.record(TRACE_ID, "t/r", "request", 2.0, parent_id=SPAN_ID)
    peer.record(TRACE_ID, "t/r", "start", 0.5, target="w1")
    home.record(TRACE_ID, "t/r2", "queue", 0.5)
    [span] = home.spans("t/r")
    assert (span["parent_id"], span["start_s"]) == (SPAN_ID, 998.0)
    assert peer.spans("t/r")[0]["parent_id"] == root


def test_store_is_bounded():
    """Guards against memory that grows with requests or attempts."""
    tracer = tracing.Tracer(clocks.ManualClock(), "e1", stored_traces_count=2)
    for number in range(3):
        for _ in range(tracing.SPANS_PER_REQUEST_COUNT + 1):
            tracer.record(TRACE_ID, f"t/{number}", "run", 0.1, text="x" * 999)
    assert tracer.spans("t/0") == []
    spans = tracer.spans("t/2")
    assert len(spans) == tracing.SPANS_PER_REQUEST_COUNT
    limit = tracing.ATTRIBUTE_LIMIT_CHARACTERS
    assert len(spans[0]["attributes"]["text"]) == limit


def test_unknown_hop_is_refused():
    """Guards against span names that the documentation does not list."""
    tracer = tracing.Tracer(clocks.ManualClock(), "e1")
    with pytest.raises(ValueError, match="unknown hop"):
        tracer.record(TRACE_ID, "t/r", "teleport", 0.1)


def test_exporter_is_off_without_endpoint_and_gets_spans_when_on():
    """Guards against a collector's library in every entry's memory."""
    clock = clocks.ManualClock()
    assert tracing.make_exporter(None, "e1", logs.Log(clock)) is None
    exporter = _Exporter()
    tracer = tracing.Tracer(clock, "e1", 0, exporter)
    tracer.record(TRACE_ID, "t/r", "queue", 0.1)
    assert [span["name"] for span in exporter.spans] == ["queue"]
    assert tracer.spans("t/r") == []


def test_converted_span_keeps_ids_and_times():
    """Guards against exported spans that no collector can join."""
    from quetzalswitch import otlp

    clock = clocks.ManualClock()
    endpoint = "http://127.0.0.1:9/v1/traces"
    exporter = otlp.OtlpExporter(endpoint, "e1", logs.Log(clock))
    tracer = tracing.Tracer(clock, "e1")
    tracer.record(TRACE_ID, "t/r", "queue", 0.5)
    converted = exporter._convert(tracer.spans("t/r")[0])
    assert converted.context.trace_id == int(TRACE_ID, 16)
    assert converted.parent is not None
    assert converted.end_time - converted.start_time == 500_000_000
    exporter.close()


def test_spans_of_a_peer_are_stored_once():
    """Guards against repeated reports that fill a trace with copies."""
    clock = clocks.ManualClock()
    peer, home = (tracing.Tracer(clock, name) for name in ("e2", "e1"))
    peer.record(TRACE_ID, "t/r", "run", 1.0)
    for _ in range(3):
        home.absorb("t/r", peer.own_spans("t/r"))
    home.absorb("t/r", [{"name": "run"}])
    assert [span["entry"] for span in home.spans("t/r")] == ["e2"]
    assert home.own_spans("t/r") == []
