"""Tests of the targets of a leader and of their stored list."""

import json
import types

import pytest

import decider_stage
from quetzalswitch.execution import leases
from quetzalswitch.execution import tenure as tenures
from quetzalswitch.platform import records
from quetzalswitch.platform import store as stores
from quetzalswitch.recovery import inheritance
from quetzalswitch.recovery import roster
from quetzalswitch.recovery import target_list


def _make_row(name, port=1, version=1):
    value = {
        "service": decider_stage.SERVICE,
        "address": f"127.0.0.1:{port}",
        "zone": "a",
        "state": "ready",
        "labels": ["r1-1"],
        "capacity": {"cpu": 4000, "mem_mb": 100000},
        "born": 1,
    }
    return stores.Row("", name, json.dumps(value).encode(), version)


def _list_targets(names):
    rows = [_make_row(name) for name in names]
    return target_list.encode(
        records.decode_target(row.key, row.value) for row in rows
    )


class _Harness:
    """A roster that a test loads; sessions do nothing."""

    def __init__(self):
        self.cluster = decider_stage.SimulatedCluster(targets=0)
        self.written = []
        self.stored = True
        self.tenure = tenures.Tenure(self.cluster.clock)
        self.roster = roster.Roster(
            self.cluster.decider,
            self.tenure,
            self.cluster.clock,
            self.cluster.log,
            self._open_session,
            self.written.append,
            lambda: self.stored,
        )

    def _open_session(self, target):
        return types.SimpleNamespace(target=target, stop=lambda: None)

    def read_written(self):
        """Returns the IDs of each list that was passed on for storing."""
        return [
            {target.id for target in found.registrations}
            for found in map(self._decode, self.written)
        ]

    def _decode(self, data):
        return target_list.read(data, self.cluster.log)


@pytest.fixture(name="harness")
def _harness():
    return _Harness()


def test_no_list_omits_targets_of_the_previous_leader(harness):
    """Guards against a second run of all that an unregistered target runs.

    In review/5, the first write of a new leader removed such a target from the
    stored list. The leader was killed right after it, and the next one took
    the target for one that runs nothing.
    """
    harness.roster.load([_make_row("i-0")], _list_targets(["i-0", "i-9"]))
    assert harness.read_written() == [{"i-0", "i-9"}]
    assert set(harness.roster.sessions) == {"i-0", "i-9"}


def test_target_stays_listed_while_it_may_run_tasks(harness):
    """Guards against a list without a target whose registration expired."""
    harness.roster.load([_make_row("i-0"), _make_row("i-1")], b"")
    harness.roster.apply_rows([_make_row("i-0")], True)
    assert harness.read_written()[-1] == {"i-0", "i-1"}


def test_unreadable_list_may_name_targets_with_runs(harness):
    """Guards against a second run of what an unregistered target runs.

    A list that can't be read was taken for an empty one.
    """
    cluster = harness.cluster
    cluster.decider.reconciled = False
    unknown_until_s = leases.find_inherited_expiry(cluster.clock.now(), 5.0)
    inherited = inheritance.Inheritance(
        cluster.decider, harness.roster.sessions, harness.tenure, cluster.log
    )
    if not harness.roster.load([], b"\xc1"):
        inherited.unknown_until_s = unknown_until_s
    cluster.clock.advance(1.0)
    harness.tenure.confirm(tenures.read_moment(cluster.clock))
    inherited.check(cluster.clock.now(), 1.0)
    assert not cluster.decider.reconciled
    cluster.clock.advance(unknown_until_s - cluster.clock.now())
    harness.tenure.confirm(tenures.read_moment(cluster.clock))
    inherited.check(cluster.clock.now(), 7.0)
    assert cluster.decider.reconciled


def test_target_gets_tasks_once_the_stored_list_names_it(harness):
    """Guards against a second run of what a new target was given in an outage.

    Its registration may expire before the next leader reads the store.
    """
    cluster = harness.cluster
    cluster.add_job("1", [decider_stage.make_step()])
    harness.stored = False
    harness.roster.load([_make_row("i-0")], b"")
    cluster.running["i-0"], cluster.ended["i-0"] = {}, []
    cluster.renew_lease("i-0")
    assert cluster.start_tasks() == []
    harness.stored = True
    harness.roster.record_stored()
    assert len(cluster.start_tasks()) == 1


def test_target_with_a_new_address_is_recorded_again(harness):
    """Guards against a stored list that leads the next leader elsewhere."""
    harness.roster.load([_make_row("i-0")], b"")
    assert harness.cluster.decider.targets["i-0"].recorded
    harness.stored = False
    harness.roster.apply_rows([_make_row("i-0", port=2, version=2)], False)
    assert not harness.cluster.decider.targets["i-0"].recorded
