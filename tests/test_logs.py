"""Tests for log output."""

import io
import json

import pytest

from quetzalswitch import clock as clocks
from quetzalswitch import logs


@pytest.fixture
def clock():
    """A clock that the test advances."""
    return clocks.ManualClock()


def capture(write, **options):
    """Returns the lines that `write` logs."""
    stream = io.StringIO()
    handler = logs.configure(stream=stream, **options)
    try:
        write()
    finally:
        handler.pop_application()
    return stream.getvalue().splitlines()


def test_line_has_level_prefix_and_fields(clock):
    """Guards against lines that can't be filtered by part."""
    log = logs.Log(clock)
    [line] = capture(lambda: log.write("target_lost", target="t1", reason="x"))
    assert " warning targets: control lease" in line
    assert line.endswith("target=t1 reason=x")


def test_value_from_outside_stays_on_one_line(clock):
    """Guards against forged log lines in field values."""
    log = logs.Log(clock)
    forged = "x\n2026 error entry: forged"
    lines = capture(lambda: log.write("target_lost", target=forged))
    assert len(lines) == 1


def test_json_form_has_name_and_fields(clock):
    """Guards against JSON lines that a collector can't parse."""
    log = logs.Log(clock)
    [line] = capture(lambda: log.write("member_dead", peer="e2"), as_json=True)
    parsed = json.loads(line)
    assert parsed["part"] == "membership"
    assert (parsed["message"], parsed["peer"]) == ("member_dead", "e2")


def test_repeats_are_limited_for_each_first_field(clock):
    """Guards against one failing target that floods or hides the log."""
    log = logs.Log(clock)

    def _write():
        for _ in range(20):
            log.write("target_lost", target="t1", reason="x")
        log.write("target_lost", target="t2", reason="x")
        clock.advance(logs.REPEAT_INTERVAL_S)
        log.write("target_lost", target="t1", reason="x")

    lines = capture(_write)
    assert len(lines) == logs.REPEAT_LIMIT_COUNT + 2
    assert lines[-1].endswith("left_out=15")


def test_unknown_message_or_field_is_refused(clock):
    """Guards against messages that the documentation does not know."""
    log = logs.Log(clock)
    with pytest.raises(KeyError):
        log.write("no_such_message")
    with pytest.raises(KeyError):
        log.write("target_lost", operator_key="secret")


def test_level_hides_lower_messages(clock):
    """Guards against debug output in production."""
    log = logs.Log(clock)
    lines = capture(lambda: log.write("member_alive"), level="warning")
    assert lines == []
