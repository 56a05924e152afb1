"""Tests of the replay of recorded traces and of the trace format."""

import pathlib
import shutil

import pytest

from quetzalswitch import replay
from quetzalswitch import traces
from quetzalswitch import workloads

_TRACES = pathlib.Path(__file__).parent.parent / "traces"


@pytest.mark.parametrize("path", sorted(_TRACES.glob("*.jsonl")), ids=str)
def test_recorded_traces_keep_their_stated_outcomes(path):
    """Guards against a policy change that breaks a stated outcome."""
    assert replay.run(path) == 0


def test_names_the_outcome_that_failed_with_time_and_reason(tmp_path, capsys):
    """Guards against a replay that passes or says nothing when one fails."""
    path = tmp_path / "t.jsonl"
    shutil.copy(_TRACES / "moorwater.jsonl", path)
    replay.stated_path(path).write_text(
        '{"until_s": 30, "outcomes": ['
        '{"measure": "wait_s", "type": "batch", "at_most": 0.001}]}'
    )
    assert replay.run(path) == 1
    printed = capsys.readouterr().out
    assert "FAILED: wait_s" in printed
    assert "waited" in printed
    assert " at " in printed


def test_ends_with_two_for_a_damaged_trace(tmp_path, capsys, monkeypatch):
    """Guards against a traceback, or exit code 0, for a file that is wrong."""
    path = tmp_path / "t.jsonl"
    lines = (_TRACES / "moorwater.jsonl").read_text().splitlines()
    path.write_text("\n".join([lines[0], '{"event": "no_such"}']))
    stated = replay.stated_path(path)
    stated.write_text('{"until_s": 1, "outcomes": []}')
    monkeypatch.setattr("sys.argv", ["quetzal-replay", str(path)])
    with pytest.raises(SystemExit) as raised:
        replay.main()
    assert raised.value.code == 2
    assert f"{path}:2" in capsys.readouterr().err


def test_a_written_trace_reads_back_the_same(tmp_path):
    """Guards against fields lost between generator and file."""
    made = workloads.generate(workloads.ERGASTIRI, 9, 5.0, 1.0)
    traces.write(made, tmp_path / "t.jsonl")
    assert traces.read(tmp_path / "t.jsonl") == made


def test_generator_gives_the_same_trace_for_a_seed():
    """Guards against measurements that can't be repeated."""
    first = workloads.generate(workloads.MOORWATER, 9, 5.0, 1.0)
    assert workloads.generate(workloads.MOORWATER, 9, 5.0, 1.0) == first
