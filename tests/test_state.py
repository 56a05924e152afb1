"""Tests of the views of an entry process."""

import types

from quetzalswitch import clock as clocks
from quetzalswitch import state
from quetzalswitch.peers import protocol


def test_entry_lost_in_a_store_outage_counts_as_alive_until_then():
    """Guards against a second start while a silent entry may hold a target.

    Registrations are not renewed during an outage; their age alone made an
    entry that had been heard a second ago look dead for minutes.
    """
    clock = clocks.ManualClock()
    own = protocol.MemberInfo("e1-1", "e1", "x")
    lost = protocol.MemberInfo("e2-1", "e2", "y")
    process = types.SimpleNamespace(
        clock=clock,
        settings=types.SimpleNamespace(entry_id="e1"),
        membership=types.SimpleNamespace(
            alive=lambda: [own], known=lambda: [lost]
        ),
        adoption=types.SimpleNamespace(last_sign_s=lambda entry_id: -1e9),
        control=types.SimpleNamespace(
            entry_names=lambda: {"e1", "e2"}, target_names=set
        ),
    )
    view = state.States(process)
    view.report_control = lambda query, keys: None
    first_s = clock.now()
    assert view.find_recovery_view(set()).silent[0].last_sign_s == first_s
    clock.advance(30.0)
    assert view.find_recovery_view(set()).silent[0].last_sign_s == first_s
