"""Tests of membership on a manual clock."""

import dataclasses

import pytest
from tests import entry_group

from quetzalswitch import membership
from quetzalswitch.peers import protocol

ALIVE = membership.MemberState.ALIVE
SUSPECT = membership.MemberState.SUSPECT
DEAD = membership.MemberState.DEAD


@pytest.fixture
def group():
    made = entry_group.EntryGroup("abc")
    made.run(3)
    return made


def names(members):
    return "".join(info.entry_id for info in members)


def test_unresponsive_member_is_suspect_and_then_dead(group):
    """Guards against a dead entry that keeps its targets, and false detection.

    A member is suspect 2 s and dead 5 s after its last heartbeat.
    """
    assert names(group["a"].members.alive()) == "abc"
    group.paused.add("c")
    group.run(1.5)
    assert group["a"].members.state("c") == ALIVE
    group.run(1)
    assert group["a"].members.state("c") == SUSPECT
    group.run(2.5)
    assert group["a"].members.state("c") == SUSPECT
    group.run(0.5)
    assert group["a"].members.state("c") == DEAD
    assert names(group["a"].members.alive()) == "ab"


def test_one_way_cut_makes_both_sides_suspect(group):
    """Guards against an alive state for a member that receives nothing."""
    group.cuts.add(("a", "b"))
    group.run(3)
    assert group["a"].members.state("b") == SUSPECT
    assert group["b"].members.state("a") == SUSPECT
    assert group["c"].members.state("a") == ALIVE
    group.cuts.clear()
    group.run(1.5)
    assert group["a"].members.state("b") == ALIVE


def test_own_pause_does_not_count_towards_timeouts_of_others(group):
    """Guards against a resumed process that judges all others dead."""
    group.paused.add("a")
    group.run(8)
    group.paused.clear()
    assert names(group["a"].members.alive()) == "abc"
    assert group["b"].members.state("a") == DEAD
    group.run(1.5)
    assert names(group["b"].members.alive()) == "abc"


def test_replaced_vm_takes_over_its_entry_id(group):
    """Guards against a replaced VM that peers confuse with the previous one."""
    late = group["b"].envelope("a", 2**60)
    group.restart("b", run=2)
    group.run(1.5)
    assert group["a"].members.alive()[1].incarnation == "b-2"
    assert names(group["b"].members.alive()) == "abc"
    last_received = group["a"].members.last_received("b")
    assert not group["a"].members.observe(late)
    assert group["a"].members.last_received("b") == last_received
    group["a"].members.add_member(protocol.MemberInfo("b-1", "b", "b"))
    assert group["a"].members.alive()[1].incarnation == "b-2"


def test_late_heartbeats_of_an_unknown_incarnation_are_ignored(group):
    """Guards against a delayed message that replaces a live incarnation."""
    old = entry_group.Entry(group.clock, "b", run=0)
    for sequence in (1, 2, 3):
        late = old.envelope("a", sequence)
        assert not group["a"].members.observe(late)
        group.run(0.5)
    assert group["a"].members.alive()[1].incarnation == "b-1"


def test_delayed_heartbeat_does_not_replace_a_newer_one(group):
    """Guards against reordered messages on a link that was dialled again."""
    group["a"].members.observe(group["b"].envelope("a", 1))
    assert group["a"].members.last_heartbeat("b").sequence > 1


def test_summaries_left_out_keep_their_last_value(group):
    """Guards against headroom that is lost between full heartbeats."""
    summary = protocol.TeamSummary("genealogy", 3, 2, 1)
    for sequence, teams in ((2**60, [summary]), (2**60 + 1, None)):
        envelope = group["b"].envelope("a", sequence)
        heartbeat = dataclasses.replace(envelope.message, teams=teams)
        data = protocol.encode(envelope._replace(message=heartbeat))
        group["a"].members.observe(protocol.decode(data))
    last = group["a"].members.last_heartbeat("b")
    assert (last.sequence, last.teams) == (2**60 + 1, [summary])


def test_removed_member_is_not_added_again_by_gossip(group):
    """Guards against a fenced entry that peers keep listing to each other."""
    group.paused.add("c")
    group.run(6)
    group["a"].members.remove_member("c")
    group.run(1)
    assert names(group["a"].members.known()) == "b"
    group.restart("c", run=2)
    group.paused.clear()
    group.run(2)
    assert names(group["a"].members.alive()) == "abc"


def test_member_is_found_through_a_peer():
    """Guards against entries that stay unconnected when the table is down."""
    group = entry_group.EntryGroup("ab")
    group.entries["c"] = entry_group.Entry(group.clock, "c")
    group["c"].members.add_member(group["a"].members.info)
    group.run(2)
    assert names(group["b"].members.alive()) == "abc"
    assert group["c"].members.unacknowledged() == []


def test_acknowledgement_of_an_earlier_incarnation_gives_no_build_time():
    """Guards against freshness from an earlier incarnation's sequence."""
    group = entry_group.EntryGroup("ab")
    group.run(2)
    stale = group["b"].envelope("a", 2**60)
    group.restart("a", run=2)
    group["a"].members.next_sequence()
    group["a"].members.observe(stale)
    assert group["a"].members.built_after_s("b") is None
