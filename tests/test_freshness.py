"""Tests of the freshness of the configuration on a manual clock."""

import hypothesis
import pytest
from hypothesis import strategies
from tests import entry_group

from quetzalswitch import freshness

BOUND_S = freshness.STALENESS_BOUND_S
ALL = ("a", "b", "c")


@pytest.fixture
def group():
    made = entry_group.EntryGroup(ALL)
    made.run(3)
    return made


def stop_store(group, names=ALL):
    for name in names:
        group[name].store_up = False


def test_own_confirmation_lasts_for_the_bound():
    """Guards against acting long after the last read of the table."""
    group = entry_group.EntryGroup("a")
    assert not group["a"].is_fresh()
    group["a"].freshness.confirm(1, sent_s=group.clock.now() - 1)
    group["a"].freshness.record_access_failure()
    assert group["a"].is_fresh()
    group.clock.advance(BOUND_S - 1)
    assert group["a"].is_fresh()
    group.clock.advance(0.01)
    assert not group["a"].is_fresh()


def test_peer_that_reads_the_table_confirms_for_others(group):
    """Guards against an entry that stops although a peer reads the table."""
    stop_store(group, ["a"])
    group.run(30)
    assert group["a"].is_fresh()
    group.cut("a")
    group.run(BOUND_S + 1)
    assert not group["a"].is_fresh()
    assert group["b"].is_fresh()


def test_higher_version_ends_freshness_at_once(group):
    """Guards against a start under a version that a peer has superseded."""
    group["b"].version = 2
    group.run(0.5)
    assert not group["a"].is_fresh()
    group["a"].version = 2
    group["c"].freshness.record_version(2)
    assert not group["c"].is_fresh()


def test_delayed_heartbeat_confirms_only_up_to_its_build_time(group):
    """Guards against a heartbeat that was delayed in a connection."""
    stop_store(group, ["a"])
    group.run(1)
    late = group["b"].envelope("a", 2**60)
    group.cut("a")
    group.run(BOUND_S + 1)
    assert group["a"].members.observe(late)
    assert not group["a"].is_fresh()


def test_all_members_together_continue_in_a_store_outage(group):
    """Guards against a cluster that stops in every long store outage."""
    stop_store(group)
    group.run(60)
    assert all(group[name].is_fresh(ALL) for name in ALL)
    assert all(group[name].is_fresh(None) for name in ALL)


def test_partition_in_a_store_outage_fails_closed(group):
    """Guards against acting while a member out of reach may write a change."""
    stop_store(group)
    group.cut("c")
    group.run(BOUND_S + 1)
    assert not any(group[name].is_fresh(ALL) for name in ALL)
    assert not group["a"].is_fresh(None)


def test_one_way_cut_in_a_store_outage_fails_closed(group):
    """Guards against outage reports in heartbeats of unknown build time."""
    stop_store(group)
    group.cuts.add(("a", "b"))
    group.run(BOUND_S + 1)
    assert not group["a"].is_fresh(ALL)
    assert group["c"].is_fresh(ALL)


def test_member_whose_vm_is_gone_need_not_report_an_outage(group):
    """Guards against an outage in which one dead VM stops the cluster."""
    assert group["a"].is_fresh(ALL)
    stop_store(group)
    group.paused.add("c")
    group.run(BOUND_S + 1)
    assert not group["a"].is_fresh(ALL)
    assert group["a"].is_fresh(("a", "b"))
    assert not group["a"].is_fresh(("a", "b", "d"))


def test_member_never_listed_is_gone_only_after_the_list_caught_up(group):
    """Guards against judging a VM gone that the list does not show yet."""
    stop_store(group)
    group.paused.add("c")
    group.run(BOUND_S + 1)
    assert not group["a"].is_fresh(("a", "b"))
    group.run(freshness.VM_LIST_LAG_S + 1)
    assert group["a"].is_fresh(("a", "b"))


def test_paused_process_is_not_fresh_when_it_resumes(group):
    """Guards against a resumed process that acts on an old version."""
    group.paused.add("a")
    group["b"].version = group["c"].version = group.head = 2
    group.run(BOUND_S + 1)
    assert not group["a"].is_fresh(ALL)


@hypothesis.settings(derandomize=True, max_examples=150, deadline=None)
@hypothesis.given(strategies.data())
def test_no_entry_is_fresh_beyond_the_bound_of_an_accepted_change(data):
    """Guards against stale entries after any order of cuts, pauses and outages.

    An entry that reaches the store accepts a change. Once the bound has passed
    after that, no entry without the change in force may be fresh.
    """
    group = entry_group.EntryGroup(ALL)
    group.run(2)
    accepted = {1: 0.0}
    pairs = [(x, y) for x in ALL for y in ALL if x != y]
    for _ in range(data.draw(strategies.integers(1, 25))):
        match data.draw(
            strategies.sampled_from(["cut", "mend", "pause", "store"])
        ):
            case "cut":
                group.cuts.add(data.draw(strategies.sampled_from(pairs)))
            case "mend":
                group.cuts.clear()
                group.paused.clear()
            case "pause":
                group.paused.add(data.draw(strategies.sampled_from(ALL)))
            case "store":
                name = data.draw(strategies.sampled_from(ALL))
                group[name].store_up = not group[name].store_up
        writer = group[data.draw(strategies.sampled_from(ALL))]
        usable = writer.store_up and writer.name not in group.paused
        if usable and data.draw(strategies.booleans()):
            group.head += 1
            writer.version = group.head
            accepted[group.head] = group.clock.now()
        for _ in range(data.draw(strategies.integers(1, 8))):
            group.run(0.5)
            for entry in group.entries.values():
                running = entry.name not in group.paused
                if running and entry.is_fresh(ALL):
                    unknown_s = accepted.get(entry.version + 1, 1e9)
                    assert group.clock.now() - unknown_s <= BOUND_S
                elif running and entry.store_up:
                    entry.version = group.head
