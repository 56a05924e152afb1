"""Tests for log output."""

import ast
import io
import json
import pathlib

import pytest

from quetzalswitch import clock as clocks
from quetzalswitch import logs
from quetzalswitch import messages


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


def list_calls():
    """Returns the names and fields of all messages that the source writes."""
    source = pathlib.Path(logs.__file__).parent
    calls = []
    for file in source.rglob("*.py"):
        for node in ast.walk(ast.parse(file.read_text())):
            if not isinstance(node, ast.Call):
                continue
            name = node.func.attr if hasattr(node.func, "attr") else ""
            log = ast.unparse(node.func).rpartition(".")[0]
            if name == "write" and log.rpartition(".")[2].lstrip("_") in (
                "log",
                "logs",
            ):
                fields = {keyword.arg for keyword in node.keywords}
                calls.append((node.args[0].value, fields - {"traceback"}))
    return calls


def test_catalogue_and_source_agree():
    """Guards against lines without an explanation, and dead explanations."""
    calls = list_calls()
    assert {name for name, _ in calls} == messages.CATALOGUE.keys()
    for name, fields in calls:
        assert fields <= set(messages.CATALOGUE[name].fields), name


def test_only_the_log_module_uses_the_library():
    """Guards against lines that bypass the catalogue and its rate limit."""
    source = pathlib.Path(logs.__file__).parent
    users = {
        file.name
        for file in source.rglob("*.py")
        if "import logbook" in file.read_text()
    }
    assert users == {"logs.py"}
