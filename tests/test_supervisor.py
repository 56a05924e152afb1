"""Tests of the supervision of targets and attempts."""

import types

from quetzalswitch import clock as clocks
from quetzalswitch import supervisor
from quetzalswitch.targets import events


def test_listed_leaving_target_stays_leaving_whatever_it_reports():
    """Guards against starts on a target that the platform takes away.

    The target's own report, which said that it was not leaving, had put it
    back into use within 5 s.
    """
    seen = {}
    scheduler = types.SimpleNamespace(update_target=seen.__setitem__)
    watched = supervisor.Supervisor(
        clocks.ManualClock(), scheduler, None, None, lambda attempt: None
    )
    watched.note_leaving(frozenset({"t1"}))
    watched.handle(events.TargetReported("t1", False, ()))
    assert seen == {"t1": True}
    watched.note_leaving(frozenset())
    assert seen == {"t1": False}
