"""Tests of the log of entry processes and of the log reader."""

import ast
import os
import pathlib

import quetzalswitch
from quetzalswitch import clock as clocks
from quetzalswitch import logreader
from quetzalswitch import nodeevents
from quetzalswitch import nodelog

ROOT = pathlib.Path(quetzalswitch.__file__).parent
RECORDED_LOGS = pathlib.Path(__file__).parent / "data/node-logs"


def _list_events():
    events = set()
    for file in ROOT.rglob("*.py"):
        for node in ast.walk(ast.parse(file.read_text())):
            if not isinstance(node, ast.Call):
                continue
            name = getattr(node.func, "attr", "")
            if name not in ("note", "note_once") or not node.args:
                continue
            choices = [node.args[0]]
            if isinstance(choices[0], ast.IfExp):
                choices = [choices[0].body, choices[0].orelse]
            events |= {choice.value for choice in choices}
    return events


def test_every_event_is_documented():
    """Guards against log events without a documented meaning."""
    assert _list_events() == nodeevents.EVENTS.keys()
    text = (ROOT.parent.parent / "docs/OPERATIONS.md").read_text()
    for event, meaning in nodeevents.EVENTS.items():
        assert f"| `{event}` | {meaning} |" in text


def _drain(log, reader, writer):
    """Flushes a log and reads the pipe until both are empty."""
    data = b""
    for _ in range(10000):
        log.flush(writer)
        try:
            data += os.read(reader, 65536)
        except BlockingIOError:
            break
    return data


def test_full_pipe_delays_nothing_and_is_reported():
    """Guards against a slow log reader that blocks the program."""
    reader, writer = os.pipe()
    log = nodelog.NodeLog(clocks.ManualClock(), "e1", "1")
    os.set_blocking(writer, False)
    for number in range(nodelog.QUEUE_LIMIT_LINES + 100):
        log.note("start", task=f"{number}.0.0.0", text="x" * 100)
    assert log.dropped == 100
    log.flush(writer)
    os.set_blocking(reader, False)
    data = _drain(log, reader, writer)
    log.note("stopped")
    data += _drain(log, reader, writer)
    log_lines = logreader.parse(data.decode().splitlines())
    assert log_lines[-1].fields["dropped_lines"] == 100
    assert len(log_lines) == nodelog.QUEUE_LIMIT_LINES + 1


def _read_history(name):
    lines = (RECORDED_LOGS / name).read_text().splitlines()
    log_lines = logreader.find_request_lines(
        logreader.parse(lines), name.split(".")[0]
    )
    return [log_line.event for log_line in log_lines], log_lines


def test_recorded_late_request_leads_to_its_cause():
    """Guards against logs that don't distinguish a lost from a full target."""
    events, log_lines = _read_history("ce2fe2ee2dfe24a1.log")
    assert events[0] == "accepted"
    unknown = events.index("start_unknown")
    target = log_lines[unknown].fields["target"]
    lost = [e for e in log_lines if e.event == "target_lost"]
    assert target in {e.fields["target"] for e in lost}


def test_other_requests_are_left_out():
    """Guards against histories that contain lines of other requests."""
    _, log_lines = _read_history("ce2fe2ee2dfe24a1.log")
    names = {
        str(e.fields.get("task", e.fields.get("id", ""))).partition(".")[0]
        for e in log_lines
    }
    assert names <= {"ce2fe2ee2dfe24a1", ""}
