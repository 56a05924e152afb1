"""Tests for metrics and spans made from events of requests."""

from quetzalswitch import clock as clocks
from quetzalswitch import decisions
from quetzalswitch import exceptions
from quetzalswitch import metrics
from quetzalswitch import observation
from quetzalswitch import records
from quetzalswitch import tracing

REQUEST = records.Request(
    "r1", "t", "q", records.Batch(), records.Resources(), trace_id="a" * 32
)
ATTEMPT = records.Attempt("a1", REQUEST.key, "t", "w1", records.Resources())


def test_run_and_decision_become_spans_and_counts():
    """Guards against traces that show no time for the run of the task."""
    clock = clocks.ManualClock()
    tracer = tracing.Tracer(clock, "e1")
    measured = metrics.Metrics()
    observer = observation.Observer(clock, measured, tracer, {"w1": "d1"}.get)
    start = decisions.Start(REQUEST, (ATTEMPT,))
    observer.observe("decided", duration_s=0.002, decisions=[start])
    observer.observe("started", request=REQUEST, attempts=[ATTEMPT])
    clock.advance(1.0)
    observer.observe("running", attempt=ATTEMPT)
    clock.advance(5.0)
    observer.observe("ended", attempt=ATTEMPT, outcome="finished")
    error = exceptions.RequestError(exceptions.ErrorKind.OUTCOME_UNKNOWN, "x")
    observer.observe("answered", request=REQUEST, state="unknown", error=error)
    spans = {s["name"]: s["duration_s"] for s in tracer.spans(REQUEST.key)}
    assert (spans["decision"], spans["run"]) == (0.002, 5.0)
    body = measured.render()[0].decode()
    assert 'quetzal_starts_total{domain="d1"} 1' in body
    assert 'quetzal_refusals_total{kind="outcome_unknown"} 1' in body
