"""Tests of the command `quetzal-local`."""

import pytest

from quetzalswitch import console
from quetzalswitch import embedded
from quetzalswitch import exceptions
from quetzalswitch import local


def test_once_shows_a_request_up_to_its_answer(capsys):
    """Guards against a first command that fails or shows nothing."""
    assert local.run(once=True, entries=2, targets=2) == console.DONE
    text = capsys.readouterr().out
    lines = ["ms  queued", "ms  running", "ms  done", "answer: ", "  admission"]
    positions = [text.index(line) for line in lines]
    assert positions == sorted(positions)
    assert "QUETZAL_ENTRY=" in text
    assert "QUETZAL_OPERATOR_KEY=" in text


def test_port_in_use_is_reported(capsys):
    """Guards against a stack trace when the default port is taken."""
    other = embedded.System(embedded.Shape(entries=1, targets=0))
    other.start()
    port = int(other.entries["e1"].callers_address.rpartition(":")[2])
    try:
        assert local.run(once=True, port=port) == console.FAILED
    finally:
        other.stop()
    assert "can't listen" in capsys.readouterr().err


@pytest.mark.parametrize(
    "values", [{"entries": 0}, {"targets": 101}, {"port": -1}]
)
def test_numbers_out_of_range_are_refused(values):
    """Guards against a start that can never become ready."""
    with pytest.raises(exceptions.SettingsError):
        local.run(once=True, **values)
