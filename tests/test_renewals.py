"""Tests of the row by which a leader shows the store that it is at work."""

import types

import gevent
import pytest

from quetzalswitch import clock as clocks
from quetzalswitch import exceptions
from quetzalswitch import nodelog
from quetzalswitch.platform import store as stores
from quetzalswitch.recovery import renewals
from quetzalswitch.recovery import tables

EPOCH = 3


class _Store:
    """A store with one row.

    Attributes:
        answers: Whether calls are answered.
    """

    def __init__(self):
        self.answers = True
        self.latency_s = 0.0
        self.value = None
        self.calls = 0

    def transact(self, part, puts, timeout_s):
        self._count_call(part, timeout_s)
        self.value = puts[0].value

    def read_row(self, table, part, key, timeout_s):
        del table
        self._count_call(part, timeout_s)
        if self.value is None:
            return None
        return stores.Row(part, key, self.value, 1)

    def _count_call(self, part, timeout_s):
        assert part == tables.RENEWAL_PART
        assert timeout_s <= renewals.MAX_CALL_TIMEOUT_S
        self.calls += 1
        if not self.answers:
            raise exceptions.StoreUnavailableError("no answer")


@pytest.fixture(name="stage")
def _stage():
    clock = clocks.ManualClock()
    log = nodelog.NodeLog(clock)
    store = _Store()

    def make_renewer(epoch):
        return renewals.Renewer(
            store, clock, log, epoch, "1", lambda: {"q": epoch}
        )

    def play(seconds):
        for _ in range(round(seconds / 0.05)):
            clock.advance(0.05)
            gevent.sleep(0)

    witness = renewals.Witness(store, clock, log)
    yield types.SimpleNamespace(
        store=store,
        log=log,
        clock=clock,
        renewer=make_renewer(EPOCH),
        make_renewer=make_renewer,
        witness=witness,
        play=play,
    )
    witness.stop()


@pytest.fixture(name="working")
def _working(stage):
    greenlet = gevent.spawn(stage.renewer.run)
    gevent.sleep(0)
    yield greenlet
    greenlet.kill()


def test_leader_at_work_is_seen_before_its_heartbeat_counts_as_missing(
    stage, working
):
    """Guards against a takeover from a leader whose links went silent."""
    stage.witness.watch(EPOCH)
    stage.play(0.6)
    assert stage.witness.find_verdict() is renewals.Verdict.RENEWED
    stage.play(30.0)
    assert stage.witness.find_verdict() is renewals.Verdict.RENEWED


def test_dead_leader_is_known_within_two_renewals(stage, working):
    """Guards against a dead leader that is replaced late."""
    working.kill()
    stage.witness.watch(EPOCH)
    stage.play(0.4)
    assert stage.witness.find_verdict() is renewals.Verdict.UNKNOWN
    stage.play(0.4)
    assert stage.witness.find_verdict() is renewals.Verdict.NOT_RENEWED


def test_leader_that_dies_while_it_is_watched_is_noticed(stage, working):
    """Guards against a verdict that is never taken back."""
    stage.witness.watch(EPOCH)
    stage.play(5.0)
    working.kill()
    stage.play(2.5)
    assert stage.witness.find_verdict() is renewals.Verdict.NOT_RENEWED


def test_there_is_no_verdict_without_an_answer(stage, working):
    """Guards against a leader that counts as dead since the store is away."""
    stage.store.answers = False
    stage.witness.watch(EPOCH)
    stage.play(10.0)
    assert stage.witness.find_verdict() is renewals.Verdict.UNKNOWN


def test_slow_reads_find_a_dead_leader(stage, working):
    """Guards against a dead leader that stays while reads take 0.9 s."""
    working.kill()
    read_row = stage.store.read_row

    def read_slowly(table, part, key, timeout_s):
        stage.store.answers = timeout_s > 0.9
        return read_row(table, part, key, timeout_s)

    stage.store.read_row = read_slowly
    stage.witness.watch(EPOCH)
    stage.play(4.0)
    assert stage.witness.find_verdict() is renewals.Verdict.NOT_RENEWED


def test_verdict_ends_when_the_store_stops_answering(stage, working):
    """Guards against an answer of before that counts for ever."""
    stage.witness.watch(EPOCH)
    stage.play(5.0)
    stage.store.answers = False
    stage.play(renewals.READ_AGE_LIMIT_S + 0.1)
    assert stage.witness.find_verdict() is renewals.Verdict.UNKNOWN


def test_renewals_of_a_former_leader_do_not_count(stage):
    """Guards against a dead leader that its predecessor seems to keep alive."""
    greenlet = gevent.spawn(stage.make_renewer(EPOCH - 1).run)
    stage.witness.watch(EPOCH)
    stage.play(2.0)
    assert stage.witness.find_verdict() is renewals.Verdict.NOT_RENEWED
    greenlet.kill()


def test_watched_leader_costs_few_calls(stage, working):
    """Guards against 300 entries that use up the calls of the store."""
    stage.witness.watch(EPOCH)
    stage.play(10.0)
    before = stage.store.calls
    stage.play(10.0)
    renewed = 10.0 / renewals.RENEWAL_INTERVAL_S
    assert stage.store.calls - before <= renewed + 21
    stage.witness.stop()
    before = stage.store.calls
    stage.play(10.0)
    assert stage.store.calls - before <= renewed + 1


def test_unreadable_renewal_gives_no_sign_of_life(stage):
    """Guards against a row of another writer that ends the election."""
    stage.store.value = b"\xc1"
    stage.witness.watch(EPOCH)
    stage.play(2.0)
    assert stage.witness.find_verdict() is renewals.Verdict.NOT_RENEWED


def test_missing_renewals_are_logged_once(stage, working):
    """Guards against a log that grows while the store is away."""
    stage.store.answers = False
    stage.play(10.0)
    assert stage.log.counts["renewal_unstored"] == 1


def test_counts_of_a_leader_that_is_not_heard_come_from_the_store(
    stage, working
):
    """Guards against counts that are refused while links carry nothing."""
    assert stage.witness.read_pending(EPOCH)[1] == float("inf")
    stage.witness.watch(EPOCH)
    stage.play(5.0)
    pending, age_s = stage.witness.read_pending(EPOCH)
    assert pending == {"q": EPOCH}
    assert age_s <= 1.0
    assert stage.witness.read_pending(EPOCH + 1)[1] == float("inf")
    working.kill()
    stage.play(5.0)
    assert stage.witness.read_pending(EPOCH)[1] > 4.0


def test_watch_goes_on_after_an_exception(stage, working, monkeypatch):
    """Guards against a verdict that never changes because of a bug."""
    monkeypatch.setattr(renewals.greenlets, "RESTART_PAUSE_S", 0.0)
    stage.witness.watch(EPOCH)
    stage.play(2.0)
    monkeypatch.setattr(
        stage.store, "read_row", lambda *_: {}["bug"], raising=True
    )
    stage.play(1.0)
    monkeypatch.undo()
    working.kill()
    stage.play(5.0)
    assert stage.witness.find_verdict() is renewals.Verdict.NOT_RENEWED
