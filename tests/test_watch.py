"""Tests of log lines on state changes."""

import types

from quetzalswitch import clock as clocks
from quetzalswitch import configuration
from quetzalswitch import freshness
from quetzalswitch import policy
from quetzalswitch import records
from quetzalswitch import scheduler as schedulers
from quetzalswitch import statechanges


def test_each_change_is_logged_once():
    """Guards against state changes that are not logged or logged twice."""
    clock = clocks.ManualClock()
    lines, state = [], {}
    process = types.SimpleNamespace(
        log=types.SimpleNamespace(write=lambda name, **_: lines.append(name)),
        settings=types.SimpleNamespace(entry_id="e1"),
        following=types.SimpleNamespace(
            configuration=configuration.Configuration(3)
        ),
        freshness=freshness.Freshness(clock),
        scheduler=schedulers.Scheduler(clock, policy.Policy()),
        is_fresh=lambda: state["fresh"],
    )
    size = records.Resources(8.0, 8192, 0)
    target = records.Target("w1", "", "d", "r", size, 4, leaving=True)
    process.scheduler.add_target(target, [])
    node = process.scheduler.cluster.nodes["w1"]
    logger = statechanges.StateChangeLogger(process)
    steps = [
        (False, False, ["target_leaving"]),
        (True, False, ["entry_serving"]),
        (True, True, ["target_quarantined"]),
        (False, True, ["configuration_stale"]),
        (False, False, ["target_cleared"]),
        (True, False, ["configuration_fresh"]),
        (True, False, []),
    ]
    for fresh, quarantined, expected in steps:
        state["fresh"], node.quarantined = fresh, quarantined
        lines.clear()
        logger.report()
        assert lines == expected
