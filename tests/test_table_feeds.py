"""Tests of the age of followed tables, on the pausable clock."""

import gevent
import pytest

from quetzalswitch import clock as clocks
from quetzalswitch import exceptions
from quetzalswitch import nodelog
from quetzalswitch.platform import store as stores
from quetzalswitch.recovery import tables

# Of the users' bounds: when the store counts as stable again, and how long a
# confirmed change may take from then on.
CONTACT_S = 3.0
APPLY_S = 2.0
STEP_S = 0.02
LATENCY_S = 0.012
CHANGE_INTERVAL_S = 0.2
# Outages whose ends fall into all phases of a call.
OUTAGES_MS = range(2500, 6750, 50)


class _Store:
    """A store with one growing table, which can stop answering.

    Attributes:
        silent: Whether calls sent now get no answer.
        changes: Times of the changes; the version is their number.
        first_kept: Changes from lower versions on can't be read any more.
        calls: Number of calls.
    """

    def __init__(self, clock):
        self.silent = False
        self.changes = []
        self.first_kept = 0
        self.calls = 0
        self._clock = clock
        self._generation = 0

    def break_connections(self):
        """Lets calls without an answer hang, and answers new ones."""
        self._generation += 1

    def read(self, table, part, tries):
        return self._list_rows(0), len(self.changes)

    def follow(self, table, after, wait_s, timeout_s=stores.CALL_TIMEOUT_S):
        self.calls += 1
        generation = self._generation
        lost = self.silent
        sent_s = self._clock.now()
        while True:
            self._clock.sleep(LATENCY_S)
            waited_s = self._clock.now() - sent_s
            lost = lost or self.silent or generation != self._generation
            if waited_s > wait_s + timeout_s:
                raise exceptions.StoreUnavailableError("no answer")
            if not lost and (len(self.changes) > after or waited_s > wait_s):
                break
        if after < self.first_kept:
            raise exceptions.HistoryTruncatedError("t")
        return stores.Changes(self._list_rows(after), len(self.changes))

    def _list_rows(self, after):
        return [
            stores.Row("", str(version), b"", version)
            for version in range(after + 1, len(self.changes) + 1)
        ]


class _Stage:
    """A follower and its store; the table changes all the time."""

    def __init__(self, pause_s):
        self.clock = clocks.ManualClock()
        self.store = _Store(self.clock)
        self.version = 0
        self.follower = tables.Follower(
            self.store,
            "t",
            [""],
            self.clock,
            nodelog.NodeLog(self.clock),
            self._apply,
            pause_s,
        )
        self.follower.start()

    def run(self, seconds):
        """Lets time pass; yields after each step."""
        until_s = self.clock.now() + seconds
        while self.clock.now() < until_s:
            changes = self.store.changes
            due_s = changes[-1] + CHANGE_INTERVAL_S if changes else 0.0
            if not self.store.silent and self.clock.now() >= due_s:
                changes.append(self.clock.now())
            self.clock.advance(STEP_S)
            gevent.sleep(0)
            yield

    def find_oldest_unknown_age(self):
        """Returns for how long a change has been confirmed and not applied."""
        unknown = self.store.changes[self.version :]
        return self.clock.now() - unknown[0] if unknown else 0.0

    def _apply(self, rows, full):
        self.version = max([self.version, *(row.version for row in rows)])


def _check_from_contact_on(stage):
    for _ in stage.run(CONTACT_S):
        pass
    for _ in stage.run(2.0):
        assert stage.find_oldest_unknown_age() <= APPLY_S


@pytest.mark.parametrize("pause_s", [0.0, 0.6])
@pytest.mark.parametrize("outage_ms", OUTAGES_MS)
def test_changes_are_applied_in_time_after_an_outage(outage_ms, pause_s):
    """Guards against a feed call that hangs beyond the end of an outage."""
    stage = _Stage(pause_s)
    for _ in stage.run(1.0):
        pass
    stage.store.silent = True
    for _ in stage.run(outage_ms / 1000):
        pass
    stage.store.silent = False
    _check_from_contact_on(stage)
    stage.follower.stop()


@pytest.mark.parametrize("truncated", [False, True])
@pytest.mark.parametrize("moment_ms", range(1000, 2500, 100))
def test_changes_are_applied_in_time_after_silent_connections(
    moment_ms, truncated
):
    """Guards against waiting for a connection that lost its answer."""
    stage = _Stage(0.0)
    for _ in stage.run(moment_ms / 1000):
        pass
    stage.store.break_connections()
    if truncated:
        stage.store.first_kept = len(stage.store.changes) + 1
    _check_from_contact_on(stage)
    stage.follower.stop()


class _LaggingStore:
    """A store whose reads after a loss of its history are out of date."""

    def __init__(self):
        self.reads = [([stores.Row("", "a", b"", 3)], 5), ([], 2)]
        row = stores.Row("", "b", b"", 7)
        self.answers = [
            stores.Changes([row], 7),
            exceptions.HistoryTruncatedError("t"),
            stores.Changes([stores.Row("", "a", b"", 3), row], 7),
            stores.Changes([stores.Row("", "c", b"", 8)], 8),
        ]

    def read(self, table, part, tries):
        return self.reads.pop(0)

    def follow(self, table, after, wait_s, timeout_s=stores.CALL_TIMEOUT_S):
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


def test_outdated_read_takes_back_no_row():
    """Guards against an evacuation that is forgotten for seconds."""
    clock = clocks.ManualClock()
    log = nodelog.NodeLog(clock)
    applied = []
    follower = tables.Follower(
        _LaggingStore(),
        "t",
        [""],
        clock,
        log,
        lambda rows, full: applied.append(([row.key for row in rows], full)),
    )
    follower._step()
    follower._step()
    with pytest.raises(exceptions.HistoryTruncatedError):
        follower._step()
    follower._version = None
    clock.advance(1.0)
    follower._step()
    assert follower.age_s == 1.0
    follower._step()
    follower._step()
    assert applied == [(["a"], True), (["b"], False), (["c"], False)]
    assert log.counts["read_outdated"] == 1
