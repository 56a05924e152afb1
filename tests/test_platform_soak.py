"""A short seeded soak of real entry processes; see platform_soak.py."""

import pytest

import platform_soak
import soak_watch
import wire_platform
import wire_store

SECONDS = 6.0


@pytest.mark.parametrize("seed", [1, 2])
def test_promises_hold_under_random_faults(tmp_path, seed):
    """Guards against faults that meet: deaths, pauses, cuts, a lost store."""
    soak = platform_soak.play_seed(tmp_path, seed, SECONDS)
    assert soak.watch.broken == []
    assert soak.accepted


def test_watch_sees_two_runs_at_once_and_runs_after_the_end():
    """Guards against a soak that finds nothing because it checks nothing."""
    watch = soak_watch.Watch()
    watch.note_begin("i-0", "a.0.0.0", 1)
    watch.note_begin("i-1", "a.0.0.0", 2)
    watch.note_end("i-1", "a.0.0.0", 2, "done")
    watch.note_acknowledged("a.0.0.0", 2)
    watch.note_begin("i-1", "a.0.0.0", 3)
    assert len(watch.broken) == 2


def test_watch_sees_starts_of_a_task_that_crashes_its_targets():
    """Guards against a soak that accepts any number of crashes."""
    watch = soak_watch.Watch()
    for run in range(5):
        watch.note_begin("i-0", "a.0.0.0", run)
        watch.note_end("i-0", "a.0.0.0", run, "lost")
    assert watch.broken == []
    watch.note_begin("i-0", "a.0.0.0", 5)
    assert len(watch.broken) == 1


def test_entries_share_no_port():
    """Guards against an entry that ends at its start for want of its port."""
    ports = [port for group in wire_platform.find_ports(100) for port in group]
    assert len(ports) == len(set(ports)) == 400


def test_stand_ins_listen_where_no_outgoing_connection_can(monkeypatch):
    """Guards against a target that can't return to its port after a crash."""
    first, address = wire_store.serve(wire_store.App())
    assert first.server_port in wire_store.list_ports()
    free = wire_store.list_ports()[-1]
    ports = [free, first.server_port]
    monkeypatch.setattr(wire_store.random, "sample", lambda *_: ports)
    second, _ = wire_store.serve(wire_store.App())
    assert second.server_port == free
    first.kill()
    assert wire_store.serve(wire_store.App(), first.server_port)[1] == address
