"""Tests for the choice of the entry that controls a target."""

import collections

from quetzalswitch.targets import ownership

MEMBERS = [ownership.Member(f"e{i}", f"e{i}-x", f"d{i % 3}") for i in range(7)]
TARGETS = {f"t{i}": f"d{i % 3}" for i in range(24)}
DOMAINS = {member.incarnation: member.failure_domain for member in MEMBERS}


def choose_all(members):
    return {
        target_id: ownership.choose_owner(target_id, domain, members)
        for target_id, domain in TARGETS.items()
    }


def test_owner_does_not_depend_on_the_order_of_members():
    """Guards against entries that compete for a target."""
    backwards = MEMBERS[::-1]
    assert choose_all(MEMBERS) == choose_all(backwards)
    assert ownership.assign_owners(TARGETS, MEMBERS) == ownership.assign_owners(
        TARGETS, backwards
    )


def test_owner_is_in_the_failure_domain_of_the_target():
    """Guards against control from another failure domain."""
    for owners in (
        choose_all(MEMBERS),
        ownership.assign_owners(TARGETS, MEMBERS),
    ):
        for target_id, incarnation in owners.items():
            assert DOMAINS[incarnation] == TARGETS[target_id]


def test_domain_without_entries_is_spread_over_all():
    """Guards against targets without an owner."""
    members = [member for member in MEMBERS if member.failure_domain != "d0"]
    for owners in (
        choose_all(members),
        ownership.assign_owners(TARGETS, members),
    ):
        assert len({owners[t] for t in TARGETS if TARGETS[t] == "d0"}) > 1
    assert ownership.choose_owner("t0", "d0", []) is None
    assert ownership.assign_owners(TARGETS, []) == {}


def test_only_the_targets_of_a_leaving_member_move():
    """Guards against needless claims when one entry dies."""
    before = choose_all(MEMBERS)
    after = choose_all(MEMBERS[1:])
    for target_id, incarnation in before.items():
        if incarnation != "e0-x":
            assert after[target_id] == incarnation


def test_restarted_entry_keeps_its_targets():
    """Guards against reassigning all targets when a process restarts."""
    restarted = [m._replace(incarnation=f"{m.entry_id}-y") for m in MEMBERS]
    for target_id, incarnation in choose_all(restarted).items():
        assert choose_all(MEMBERS)[target_id][:2] == incarnation[:2]


def test_assignment_is_even_within_each_failure_domain():
    """Guards against one entry that controls most targets of its domain."""
    owners = ownership.assign_owners(TARGETS, MEMBERS)
    counts = collections.Counter(owners.values())
    assert len(owners) == len(TARGETS)
    assert max(counts.values()) <= 4
