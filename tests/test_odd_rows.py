"""Tests of rows that other writers left in the store."""

import json

import gevent
import gevent.event
import hypothesis
import pytest
from hypothesis import strategies

import decider_stage
import odd_rows
import wire_platform
from quetzalswitch import clock as clocks
from quetzalswitch import exceptions
from quetzalswitch.platform import records
from quetzalswitch.platform import store as stores
from quetzalswitch.recovery import leader_rows
from quetzalswitch.recovery import tables

REGISTRATIONS = odd_rows.list_odd_registrations()
MANIFESTS = odd_rows.list_odd_manifests()
JSON_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(),
    lambda inner: (
        strategies.lists(inner)
        | strategies.dictionaries(strategies.text(), inner)
    ),
    max_leaves=5,
)
FIELDS = sorted(wire_platform.make_registration(""))


@pytest.mark.parametrize("name", REGISTRATIONS)
def test_odd_row_names_no_target(name):
    """Guards against a follower that ends at a row of another writer."""
    with pytest.raises(exceptions.ProtocolError) as caught:
        records.decode_target("i-0", REGISTRATIONS[name])
    assert len(str(caught.value)) < 300


@pytest.mark.parametrize("name", MANIFESTS)
def test_odd_row_is_no_configuration(name):
    """Guards against a configuration that ends the follower or each request."""
    with pytest.raises(exceptions.ConfigurationError):
        records.decode_operator_row("config", MANIFESTS[name], False)


@pytest.mark.parametrize("value", odd_rows.list_odd_entry_rows())
@pytest.mark.parametrize(
    "decode", [tables.decode_member, leader_rows.decode_leader]
)
def test_odd_row_is_no_entry(decode, value):
    """Guards against rows of entries that end the follower or the election."""
    with pytest.raises(exceptions.ProtocolError):
        decode(value)


def test_time_left_may_be_over():
    """Guards against a target that is unlisted for a time just below zero."""
    row = wire_platform.make_registration("127.0.0.1:8080")
    row |= {"remaining_ms": -1, "cold_left_ms": -1}
    found = records.decode_target("i-0", json.dumps(row).encode())
    assert found.remaining_s == 0.0


@pytest.mark.parametrize("key", ["i\r\nx: y", "é", "i ", "i\x7f"])
def test_key_that_fits_no_header_names_no_target(key):
    """Guards against an ID that ends the session when it is sent."""
    row = wire_platform.make_registration("127.0.0.1:8080")
    with pytest.raises(exceptions.ProtocolError):
        records.decode_target(key, json.dumps(row).encode())


@hypothesis.given(
    strategies.binary() | JSON_VALUES.map(lambda v: json.dumps(v).encode())
)
def test_any_bytes_are_read_or_refused(value):
    """Guards against bytes for which decoding raises another exception."""
    with pytest.raises(exceptions.ProtocolError):
        records.decode_target("i-0", value)
    try:
        found = records.decode_operator_row("config", value, False)
        assert found.catalogue.queues == {}
    except exceptions.ConfigurationError:
        pass
    for decode in (tables.decode_member, leader_rows.decode_leader):
        with pytest.raises(exceptions.ProtocolError):
            decode(value)


@hypothesis.given(strategies.sampled_from(FIELDS), JSON_VALUES)
def test_any_value_of_a_field_is_read_or_refused(field, value):
    """Guards against a field for which decoding raises another exception."""
    row = wire_platform.make_registration("127.0.0.1:8080") | {field: value}
    try:
        found = records.decode_target("i-0", json.dumps(row).encode())
    except exceptions.ProtocolError:
        return
    assert max(found.capacity) <= records.MAX_AMOUNT


def test_odd_row_is_logged_once_per_version():
    """Guards against a log that each read of the table fills."""
    log = decider_stage.SimulatedCluster().log
    row = stores.Row("", "i-9", odd_rows.UNREADABLE["deep_field"], 5)
    for version in (5, 5, 6, 6):
        assert records.read_target(row._replace(version=version), log) is None
    assert records.read_target(row._replace(removed=True), log) is None
    assert log.counts["target_unreadable"] == 2
    line = json.loads(decider_stage.read_log(log)[-1])
    assert line["target"] == "i-9"
    assert "RecursionError" in line["error"]


@pytest.fixture(name="cluster")
def _cluster(tmp_path):
    cluster = wire_platform.Cluster(tmp_path, targets=1)
    try:
        cluster.wait_ready()
        yield cluster
    finally:
        cluster.stop()


def _wait_until(is_met, limit_s=10.0):
    with gevent.Timeout(limit_s):
        while not is_met():
            gevent.sleep(0.05)


def test_odd_rows_stop_no_entry(cluster, tmp_path):
    """Guards against odd rows after which targets and leaders do no work."""
    values = odd_rows.UNREADABLE | {
        name: REGISTRATIONS[name]
        for name in ("label_of_3000_lists", "cpu_huge", "address_0")
    }
    for name, value in values.items():
        cluster.store.put_raw("servers", f"odd-{name}", value)
    cluster.store.put_raw("op", "odd", odd_rows.DEEP)
    known = cluster.targets[0]
    known.work_s = 3.0
    assert cluster.submit(0, "00000000000000a0") == 200
    _wait_until(lambda: known.starts)
    cluster.store.put_raw("servers", known.instance, odd_rows.DEEP)
    log = tmp_path / f"e{cluster.find_leader()}.log"
    line = f'"target_unreadable","target":"{known.instance}"'
    _wait_until(lambda: line in log.read_text())
    added = cluster.add_target()
    assert cluster.submit(0, "00000000000000a1", count=4) == 200
    found = cluster.wait_state(1, "00000000000000a1", "completed")
    assert found == "completed"
    assert len(added.starts) == 4
    # The target whose row became odd keeps its run.
    found = cluster.wait_state(1, "00000000000000a0", "completed")
    assert found == "completed"
    assert len(known.starts) == 1
    assert len(cluster.list_starts("00000000000000a0")) == 1
    leader = cluster.find_leader()
    cluster.signal(leader)
    cluster.processes.pop(leader).wait()
    number = next(iter(cluster.processes))
    assert cluster.submit(number, "00000000000000a2") == 200
    found = cluster.wait_state(number, "00000000000000a2", "completed")
    assert found == "completed"


class _Feed:
    """A table that is read once and then has one batch of changes."""

    def __init__(self, rows, changes):
        self.rows = rows
        self.changes = [changes]

    def read(self, table, part, tries):
        return self.rows, 1

    def follow(self, table, version, wait_s):
        if not self.changes:
            gevent.sleep(wait_s)
        rows = self.changes.pop() if self.changes else []
        rows = [row._replace(version=version + 1) for row in rows]
        return stores.Changes(rows, version + 1)


@pytest.mark.parametrize("failures", [1, 2])
def test_follower_applies_the_rows_beside_one_that_fails(failures):
    """Guards against a follower that ends for good at one row."""
    rows = [stores.Row("", key, b"", 1) for key in "abcd"]
    log = decider_stage.SimulatedCluster().log
    applied = set()

    def _apply(batch, full):
        for row in batch:
            if row.key in "bd"[:failures]:
                raise RuntimeError("x" * 100000)
            applied.add((row.key, full))

    feed = _Feed(rows[:3], [rows[0], rows[1], rows[3]._replace(key="e")])
    clock = clocks.SystemClock()
    follower = tables.Follower(feed, "t", [""], clock, log, _apply)
    follower._step()
    follower._step()
    assert applied >= {("a", True), ("c", True), ("a", False), ("e", False)}
    lines = [json.loads(line) for line in decider_stage.read_log(log)]
    lines = [line for line in lines if line["event"] == "rows_failed"]
    assert ["b"] in [line["keys"] for line in lines]
    assert "_apply" in lines[0]["traceback"]
    assert max(len(json.dumps(line)) for line in lines) < 4096


def test_follower_goes_on_after_an_error_of_the_read():
    """Guards against a follower that ends at an answer of the store."""
    log = decider_stage.SimulatedCluster().log
    feed = _Feed([], [stores.Row("", "a", b"", 1)])
    answers = [RecursionError("deep"), ([], 1)]

    def _read(table, part, tries):
        answer = answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer

    feed.read = _read
    applied = gevent.event.Event()
    follower = tables.Follower(
        feed,
        "t",
        [""],
        clocks.SystemClock(),
        log,
        lambda rows, _: rows and applied.set(),
    )
    follower.start()
    assert applied.wait(5.0)
    follower.stop()
    assert log.counts["feed_lost"] == log.counts["feed_back"] == 1
