"""Tests of which targets an entry process claims."""

import pytest

from quetzalswitch import clock as clocks
from quetzalswitch import control
from quetzalswitch.storage import vms
from quetzalswitch.targets import events
from quetzalswitch.targets import ownership

OWN = ownership.Member("e1", "e1-1", "a")
OTHER = ownership.Member("e2", "e2-1", "a")


class Link:
    """Takes the commands of one target."""

    def __init__(self, vm, on_event):
        self.commands = []
        self.report = on_event

    def post(self, command):
        self.commands.append(command)

    def holds_control(self):
        """Stands for a link without a control lease."""
        return False

    def stop(self):
        """Stands for a link."""


class Fleet:
    """A control task with links that do nothing."""

    def __init__(self):
        self.clock = clocks.ManualClock()
        self.members = [OWN]
        self.links = {}
        self.events = []
        self.control = control.Control(
            self.clock,
            None,
            control.Surroundings(
                incarnation=OWN.incarnation,
                entry_id=OWN.entry_id,
                make_link=self._make_link,
                find_members=lambda: list(self.members),
                entry_of=lambda incarnation: "",
                stale_for_s=lambda: 0.0,
                send=lambda entry_id, message: None,
                to_placer=self.events.append,
            ),
        )

    def _make_link(self, vm, on_event):
        self.links[vm.vm] = Link(vm, on_event)
        return self.links[vm.vm]

    def show(self, count):
        listed = (
            vms.Vm(f"t{n}", "target", f"h{n}:1", "a", "r", "live")
            for n in range(count)
        )
        self.control.handle({vm.vm: vm for vm in listed})

    def claimed(self):
        """Plans once and returns the targets with a new claim."""
        self.clock.advance(control.CLAIM_RETRY_S)
        for link in self.links.values():
            link.commands.clear()
        self.control._plan()
        return {
            name
            for name, link in self.links.items()
            if events.Claim() in link.commands
        }

    def owned(self):
        """Returns the targets that this entry should claim first."""
        members = list(self.members)
        return {
            name
            for name in self.control.target_names()
            if self.control._rank(name, members) == 0
        }


@pytest.fixture
def fleet():
    made = Fleet()
    made.show(6)
    return made


def test_owners_follow_the_live_entries(fleet):
    """Guards against owners that are kept when an entry comes or goes."""
    assert len(fleet.owned()) == 6
    fleet.members = [OWN, OTHER]
    assert len(fleet.owned()) == 3
    fleet.members = [OWN]
    assert len(fleet.owned()) == 6


def test_claims_follow_the_list_of_targets(fleet):
    """Guards against a new target that nobody claims."""
    fleet.members = [OWN, OTHER]
    fleet.claimed()
    fleet.show(8)
    assert len(fleet.claimed()) == 4
    fleet.show(2)
    assert len(fleet.control.target_names()) == 2
    assert not fleet.claimed() - {"t0", "t1"}


def test_owners_are_worked_out_once_for_each_change(fleet, monkeypatch):
    """Guards against work for each pair of targets twice a second."""
    calls = []
    assign = ownership.assign_owners

    def count(targets, members):
        calls.append(len(targets))
        return assign(targets, members)

    monkeypatch.setattr(ownership, "assign_owners", count)
    fleet.members = [OWN, OTHER]
    for _ in range(5):
        fleet.claimed()
        fleet.control.unclaimed()
    assert calls == [6]


def test_reports_without_news_are_passed_on_seldom(fleet):
    """Guards against placer work for each sync, and against lost news."""
    fleet.claimed()
    report = fleet.links["t1"].report
    idle = events.TargetReported("t1", False, ())
    for _ in range(4):
        report(idle)
    assert fleet.events == [idle]
    leaving = events.TargetReported("t1", True, ())
    report(leaving)
    report(leaving)
    assert fleet.events == [idle, leaving]
    used = events.TargetReported("t1", True, ({"attempt_id": "x"},))
    report(used)
    report(used)
    assert fleet.events[2:] == [used, used]
    fleet.clock.advance(control.REPORT_INTERVAL_S)
    report(leaving)
    assert fleet.events[-1] == leaving


def test_new_claim_is_followed_by_a_report(fleet):
    """Guards against a leaving target that looks usable after a claim."""
    fleet.claimed()
    report = fleet.links["t1"].report
    leaving = events.TargetReported("t1", True, ())
    report(leaving)
    fleet.control.handle(events.TargetLost("t1", "stale_epoch"))
    report(leaving)
    assert fleet.events.count(leaving) == 2


def test_targets_of_other_entries_get_no_link(fleet):
    """Guards against memory for each target at each entry."""
    fleet.members = [OWN, OTHER, OTHER._replace(entry_id="e3", incarnation="3")]
    owned = fleet.owned()
    fleet.claimed()
    assert set(fleet.links) == owned
    for number in range(6):
        fleet.control.post_command(f"t{number}", events.Release())
        assert not fleet.control.controls(f"t{number}")
    fleet.show(0)
    assert fleet.events.count(events.TargetLost("t0", "gone")) == 1
