"""Tests for metrics."""

import pathlib

import pytest

from quetzalswitch import metrics


def render(measured):
    """Returns the lines of the text format without comments."""
    body, content_type = measured.render("text/plain")
    assert content_type.startswith("text/plain")
    lines = body.decode().splitlines()
    return [line for line in lines if not line.startswith("#")]


def test_values_are_rendered_with_labels():
    """Guards against metrics that Prometheus can't read."""
    measured = metrics.Metrics()
    measured.count("quetzal_refusals_total", kind="draining")
    measured.count("quetzal_refusals_total", by=2, kind="draining")
    measured.observe("quetzal_wait_seconds", 0.2, kind="batch", team="a")
    lines = render(measured)
    assert 'quetzal_refusals_total{kind="draining"} 3' in lines
    assert 'quetzal_wait_seconds_count{kind="batch",team="a"} 1.0' in lines
    resident = "quetzal_control_resident_bytes "
    assert any(line.startswith(resident) for line in lines)


def test_label_values_are_bounded():
    """Guards against memory that grows with names from outside."""
    measured = metrics.Metrics()
    for number in range(metrics.LABEL_VALUES_COUNT + 5):
        measured.count("quetzal_starts_total", domain=f"d{number}")
    lines = [x for x in render(measured) if x.startswith("quetzal_starts")]
    assert len(lines) == metrics.LABEL_VALUES_COUNT + 1
    assert 'quetzal_starts_total{domain="other"} 5' in lines


def test_replaced_gauge_forgets_removed_teams():
    """Guards against a removed team that is reported for ever."""
    measured = metrics.Metrics()
    measured.replace("quetzal_queued_requests", {"a": 1, "b": 2})
    measured.replace("quetzal_queued_requests", {"b": 3})
    lines = [x for x in render(measured) if x.startswith("quetzal_queued")]
    assert lines == ['quetzal_queued_requests{team="b"} 3']
    many = {f"t{number:03}": 1 for number in range(100)}
    measured.replace("quetzal_queued_requests", many)
    rest = 100 - metrics.LABEL_VALUES_COUNT
    assert f'quetzal_queued_requests{{team="other"}} {rest}.0' in render(
        measured
    )


def test_undeclared_labels_are_refused():
    """Guards against label names that differ between call sites."""
    measured = metrics.Metrics()
    with pytest.raises(KeyError):
        measured.count("quetzal_refusals_total", reason="draining")
    with pytest.raises(KeyError):
        measured.set("quetzal_no_such_metric", 1)


def test_callbacks_run_before_each_rendering():
    """Guards against gauges that show the state of the last scrape."""
    measured = metrics.Metrics()
    name = "quetzal_configuration_version"
    measured.call_before_render(lambda: measured.set(name, 7))
    assert f"{name} 7" in render(measured)


def test_every_metric_is_set_somewhere():
    """Guards against an alert that can't fire because nothing is measured."""
    source = pathlib.Path(metrics.__file__).parent
    texts = [f.read_text() for f in source.rglob("*.py")]
    for declaration in metrics.DECLARATIONS:
        used = sum(text.count(f'"{declaration.name}"') for text in texts)
        assert used >= 2, declaration.name
