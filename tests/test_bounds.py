"""Tests of the bounds on clients, without a network."""

import pytest

import wire_platform
from quetzalswitch import bounds
from quetzalswitch import clock as clocks
from quetzalswitch import exceptions
from quetzalswitch.platform import nodesettings

SMALLEST = bounds.Limits(memory_mb=160, descriptors=1638)


class Crowd:
    """A ledger with connections that record why they were displaced."""

    def __init__(self, connections, request_bytes=1000, **options):
        sums = bounds.Sums(connections, request_bytes)
        self.ledger = bounds.Ledger(sums, **options)
        self.displaced = []

    def add(self, name, waiting=True):
        connection = bounds.Connection(
            name, lambda _, reason: self.displaced.append((name, reason))
        )
        connection.waiting = waiting
        admitted = self.ledger.admit(name, connection)
        return connection if admitted else None


def test_sums_follow_memory_and_descriptors():
    """Guards against sums that a small VM has no room for."""
    sums = bounds.find_sums(SMALLEST)
    assert sums == bounds.Sums(575, 10_000_000)
    assert bounds.find_link_sums(SMALLEST).connections == 431
    small = bounds.Limits(memory_mb=64, descriptors=1638)
    assert bounds.find_sums(small).connections == 244


def test_listeners_leave_descriptors_for_own_connections():
    """Guards against callers that leave none for targets and the store."""
    callers = bounds.find_sums(SMALLEST).connections
    links = bounds.find_link_sums(SMALLEST).connections
    reserves = 3 * bounds.find_reserve(SMALLEST).connections
    left = 1638 - bounds.FILE_DESCRIPTORS_COUNT - callers - links - reserves
    assert left > 300


def test_longest_without_an_exchange_is_displaced():
    """Guards against a crowd that keeps new callers out."""
    crowd = Crowd(2)
    first, second = crowd.add("a"), crowd.add("b")
    crowd.ledger.finish_exchange("a", first)
    assert crowd.add("c")
    assert crowd.displaced == [("b", bounds.Reason.CONNECTIONS)]
    assert len(crowd.ledger) == 2
    assert second.held_bytes == 0


def test_request_with_a_handler_is_not_dropped():
    """Guards against a 503 for a request that runs."""
    crowd = Crowd(2)
    crowd.add("a", waiting=False)
    crowd.add("b", waiting=False)
    assert crowd.add("c") is None
    assert crowd.displaced == []


def test_sum_of_bytes_closes_the_oldest_that_holds_some():
    """Guards against many small parts that fill the memory together."""
    crowd = Crowd(10)
    crowd.add("silent")
    old, large = crowd.add("old"), crowd.add("large")
    crowd.ledger.add_bytes(old, 100)
    crowd.ledger.add_bytes(large, 800)
    crowd.ledger.add_bytes(crowd.add("new"), 150)
    assert crowd.displaced == [("old", bounds.Reason.MEMORY)]
    assert crowd.ledger.held_bytes == 950


def test_connection_that_is_the_oldest_is_refused_itself():
    """Guards against a large request that displaces everybody else."""
    crowd = Crowd(10)
    old, other = crowd.add("old", waiting=False), crowd.add("other")
    crowd.ledger.add_bytes(other, 500)
    with pytest.raises(bounds.ClientLimitError) as error:
        crowd.ledger.add_bytes(old, 600)
    assert error.value.reason is bounds.Reason.MEMORY
    assert crowd.displaced == []


def test_bytes_are_released():
    """Guards against a sum that only grows."""
    crowd = Crowd(10)
    for round_number in range(100):
        connection = crowd.add(round_number)
        crowd.ledger.add_bytes(connection, 900)
        if round_number % 2:
            crowd.ledger.finish_exchange(round_number, connection)
        crowd.ledger.remove(round_number)
    assert crowd.ledger.held_bytes == 0
    assert crowd.displaced == []


def test_links_that_delivered_frames_are_kept():
    """Guards against new connections that displace the links to peers."""
    crowd = Crowd(2, prefers_proven=True)
    peer = crowd.add("peer")
    crowd.ledger.finish_exchange("peer", peer)
    crowd.add("b")
    crowd.add("c")
    crowd.add("d")
    assert [name for name, _ in crowd.displaced] == ["b", "c"]


def test_log_lines_are_limited_and_counts_are_not():
    """Guards against a crowd that floods the log."""
    clock = clocks.ManualClock()
    counted, lines = [], []
    reporter = bounds.Reporter(
        clock, counted.append, lambda *line: lines.append(line)
    )
    for _ in range(5):
        reporter.report(bounds.Reason.HEAD, "a:1")
        reporter.report(bounds.Reason.IDLE_TIME, "b:1")
    clock.advance(bounds.LOG_INTERVAL_S)
    reporter.report(bounds.Reason.BODY, "c:1")
    assert lines == [("head", "a:1", 0), ("body", "c:1", 4)]
    assert len(counted) == 11


@pytest.fixture(name="path")
def _path(tmp_path):
    """A settings file of a small VM of the users."""
    path = tmp_path / "node.toml"
    path.write_text(
        wire_platform.format_settings(
            "e0", (1, 2, 3), "127.0.0.1:4", "memory_mb = 96\nmax_fds = 1638"
        )
    )
    return path


def test_node_takes_the_limits_of_its_vm(path, monkeypatch):
    """Guards against sums that don't follow the VM."""
    monkeypatch.setenv(nodesettings.CLIENTS_VARIABLE, '{"head_s": 7}')
    clients = nodesettings.read(path).clients
    assert (clients.memory_mb, clients.descriptors) == (96, 1638)
    assert clients.head_s == 7
    assert clients.body_bytes == nodesettings.BODY_LIMIT_BYTES


@pytest.mark.parametrize(
    "text", ['{"head_s": 0}', '{"heads": 1}', "[]", "{", '{"head_bytes": 1}']
)
def test_node_refuses_limits_out_of_range(path, monkeypatch, text):
    """Guards against a mistake in the deploy file that takes effect."""
    monkeypatch.setenv(nodesettings.CLIENTS_VARIABLE, text)
    with pytest.raises(exceptions.SettingsError):
        nodesettings.read(path)
