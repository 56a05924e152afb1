"""Tests for the committer: receipt chain, groups, fencing, outages."""

import collections
import contextlib

import gevent
import hypothesis
import msgspec
import pytest
from hypothesis import strategies

from quetzalswitch import clock as clocks
from quetzalswitch import exceptions
from quetzalswitch.standins import faults
from quetzalswitch.standins import platform
from quetzalswitch.storage import committer
from quetzalswitch.storage import receipts
from quetzalswitch.storage import table


class ScriptedTable:
    """The stand-in's table without sockets, with a scripted fault per call.

    Fates: ok, lost (applied, answer lost), late (delayed until `arrive`,
    answer lost), vanish (never applied), refuse (nothing sent), reject (not
    accepted by the service).
    """

    timeout_s = 2.0

    def __init__(self):
        self.rows = platform.Table()
        self.fates = collections.deque()
        self.late = []
        self.is_down = False
        self.down_cause = None
        self.applied = collections.Counter()

    def read_row(self, key, timeout_s=None):
        self._check_up()
        row = _to_row(self.rows.read(key))
        return row if row.version else None

    def transact(self, conditions, writes, timeout_s=None):
        self._check_up()
        match self.fates.popleft() if self.fates else "ok":
            case "ok":
                return self.apply(conditions, writes)
            case "refuse":
                raise _unavailable(ConnectionRefusedError())
            case "reject":
                raise exceptions.ProtocolError("rejected")
            case "late":
                self.late.append((conditions, writes))
            case "lost":
                with contextlib.suppress(exceptions.ConditionFailedError):
                    self.apply(conditions, writes)
        raise _unavailable()

    def apply(self, conditions, writes):
        expected = [platform._Condition(*each) for each in conditions.items()]
        conflicts = map(_to_row, self.rows.find_conflicts(expected))
        if conflicts := {row.key: row for row in conflicts}:
            raise exceptions.ConditionFailedError(conflicts)
        self.applied.update(list(writes))
        return self.rows.commit(
            [
                platform._Write(key, msgspec.Raw(msgspec.json.encode(value)))
                for key, value in writes.items()
            ]
        )

    def arrive(self):
        """Delivers the oldest delayed transaction to the table."""
        if self.late:
            with contextlib.suppress(exceptions.ConditionFailedError):
                self.apply(*self.late.pop(0))

    def _check_up(self):
        if self.is_down:
            raise _unavailable(self.down_cause)


def _unavailable(cause=None):
    error = exceptions.StoreUnavailableError("no answer")
    error.__cause__ = cause
    return error


def _to_row(row):
    return table.Row(row.key, row.version, msgspec.json.decode(row.value))


class Cell:
    """A table and the committers of entry processes on one manual clock."""

    def __init__(self):
        self.clock = clocks.ManualClock()
        self.rows = ScriptedTable()
        self._started = []

    def add(self, entry_id="e1", incarnation="e1-a", register=True):
        """Returns a started committer."""
        made = committer.Committer(
            self.clock, self.rows, entry_id, incarnation, "a:1"
        )
        if register:
            made.register()
        made.start()
        self._started.append(made)
        self.settle()
        return made

    def settle(self):
        """Runs all greenlets until they wait for the clock or for work."""
        for _ in range(5):
            gevent.sleep(0)

    def run(self, seconds=30.0):
        """Advances the clock in small steps."""
        self.settle()
        for _ in range(max(1, int(seconds / 0.5))):
            self.clock.advance(min(seconds, 0.5))
        self.settle()

    def version(self, key):
        """Returns the version of a row, 0 if it is absent."""
        return self.rows.rows.read(key).version

    def stop(self):
        for made in self._started:
            made.stop()


@pytest.fixture
def cell():
    made = Cell()
    yield made
    made.stop()


def outcome(pending):
    """Returns the commit number, the error, or None while undecided."""
    if not pending._result.ready():
        return None
    try:
        return pending.wait(0.0)
    except exceptions.QuetzalError as error:
        return type(error)


# Lost answers


def test_lost_answer_after_commit_is_resolved_by_reading(cell):
    """Guards against applying a write twice after its answer was lost."""
    made = cell.add()
    cell.rows.fates.append("lost")
    pending = made.submit({"k": 0}, {"k": 1})
    cell.run(1.0)
    assert outcome(pending) == cell.version("k")
    assert cell.rows.applied["k"] == 1
    assert made.counts.resends == 0


@pytest.mark.parametrize("fates", [["late"], ["late", "vanish"]])
def test_delayed_first_copy_and_its_resend_count_once(cell, fates):
    """Guards against applying both the delayed first copy and its resend.

    The first copy arrives after a resend that took effect, or before the
    resend, which then must not be reported as a conflict.
    """
    made = cell.add()
    cell.rows.fates.extend(fates)
    pending = made.submit({"k": 0}, {"k": 1})
    cell.run(0.03)
    assert len(cell.rows.late) == 1 and not cell.rows.fates
    cell.rows.arrive()
    cell.run(2.0)
    assert outcome(pending) == cell.version("k")
    assert cell.rows.applied["k"] == 1


def test_conflict_is_not_reported_while_an_older_copy_may_win(cell):
    """Guards against a write reported as failed that takes effect later.

    The first copy is delayed when the resend meets a conflict; then the
    conflicting row is deleted and the first copy arrives.
    """
    made = cell.add()
    cell.rows.apply({}, {"k": "other"})
    cell.rows.fates.extend(["late", "ok", "vanish"])
    failing = made.submit({"k": 0}, {"k": 1})
    other = made.submit({}, {"m": 1})
    cell.run(0.04)
    assert len(cell.rows.late) == 1 and list(cell.rows.fates) == ["vanish"]
    assert outcome(failing) is None
    cell.rows.apply({}, {"k": None})
    cell.rows.arrive()
    cell.run(2.0)
    assert outcome(failing) == outcome(other) == cell.version("k")
    assert cell.rows.applied["m"] == 1


FATES = ("lost", "late", "vanish", "refuse", "reject")
ACTIONS = ("submit", "erase", "withdraw", "arrive", "down", "up", "advance")
STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(("submit", "ok", *FATES, *ACTIONS)),
        strategies.integers(0, 3),
    ),
    max_size=40,
)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(steps=STEPS)
def test_outcomes_are_truthful_under_any_order_of_faults(steps):
    """Guards against an outcome that contradicts what the table applied."""
    cell = Cell()
    made = cell.add()
    submitted = []
    for action, number in steps:
        match action:
            case "submit":
                # The own key shows how often the write was applied; the
                # shared key makes writes conflict with each other.
                own, shared = f"own/{len(submitted)}", f"shared/{number}"
                pending = made.submit({shared: 0}, {own: 1, shared: 1})
                submitted.append((own, pending))
            case "erase":
                cell.rows.apply({}, {f"shared/{number}": None})
            case "withdraw":
                for _, pending in submitted[-1 - number : -number or None]:
                    pending.withdraw()
            case "arrive":
                cell.rows.arrive()
            case "down" | "up":
                cell.rows.is_down = action == "down"
            case "advance":
                cell.clock.advance(0.03 * 4**number)
            case fate:
                cell.rows.fates.append(fate)
        cell.settle()
    cell.rows.is_down = False
    cell.rows.fates.clear()
    cell.run()
    while cell.rows.late:
        cell.rows.arrive()
    cell.stop()
    for own, pending in submitted:
        is_committed = isinstance(outcome(pending), int)
        assert outcome(pending) is not None
        assert cell.rows.applied[own] == int(is_committed)
        assert not (pending.withdraw() and cell.rows.applied[own])


# Groups


def test_conflict_fails_only_its_own_write(cell):
    """Guards against one conflict failing every write of a group."""
    made = cell.add()
    cell.rows.apply({}, {"taken": 1})
    good = [made.submit({f"k{n}": 0}, {f"k{n}": n}) for n in range(3)]
    bad = made.submit({"taken": 0}, {"taken": 2})
    cell.run(1.0)
    with pytest.raises(exceptions.ConditionFailedError) as caught:
        bad.wait(0.0)
    assert caught.value.conflicts["taken"].value == 1
    assert all(isinstance(outcome(pending), int) for pending in good)


def test_writes_to_one_key_do_not_share_a_group(cell):
    """Guards against two writes on the same version that both succeed."""
    made = cell.add()
    first = made.submit({"k": 0}, {"k": 1})
    second = made.submit({"k": 0}, {"k": 2})
    cell.run(1.0)
    assert isinstance(outcome(first), int)
    assert outcome(second) is exceptions.ConditionFailedError
    assert cell.rows.read_row("k").value == 1


def test_refused_write_does_not_block_the_others(cell):
    """Guards against one rejected write failing the whole group."""
    made = cell.add()
    cell.rows.fates.extend(["reject", "reject"])
    bad = made.submit({}, {"a": 1})
    good = made.submit({}, {"b": 1})
    cell.run(1.0)
    assert outcome(bad) is exceptions.ProtocolError
    assert isinstance(outcome(good), int)


def test_group_stays_within_rows_and_rate(cell):
    """Guards against transactions above the row limit or the rate limit."""
    made = cell.add()
    before = made.counts.transactions
    submitted = [made.submit({}, {f"k{n}": 0}) for n in range(1000)]
    for _ in range(40):
        cell.clock.advance(0.005)
    # At most 9 sends that are 25 ms apart fit in 0.2 s.
    assert made.counts.transactions - before <= 9
    cell.run(1.0)
    assert all(isinstance(outcome(each), int) for each in submitted)
    assert made.counts.rows == 1000
    assert made.counts.transactions - before >= 11


# Fencing


def test_paused_writer_fails_after_fence(cell):
    """Guards against a paused entry that writes after it was fenced."""
    paused = cell.add("e1", "e1-a")
    survivor = cell.add("e2", "e2-a")
    version = cell.rows.read_row("entry/e1").version
    fencing = gevent.spawn(survivor.fence, "e1", version)
    cell.settle()
    cell.clock.advance(0.1)
    assert fencing.get(timeout=1) == cell.rows.read_row("entry/e1").version
    pending = paused.submit({}, {"k": 1})
    cell.run(1.0)
    assert outcome(pending) is exceptions.FencedError
    assert paused.is_fenced
    assert cell.rows.applied["k"] == 0
    late = paused.submit({}, {"k": 2})
    assert outcome(late) is exceptions.FencedError
    assert late.withdraw()


def test_fencing_an_entry_that_still_writes_fails(cell):
    """Guards against fencing an entry that wrote after its row was read."""
    cell.add("e1", "e1-a")
    survivor = cell.add("e2", "e2-a")
    version = cell.rows.read_row("entry/e1").version
    cell.run(5.0)
    with pytest.raises(exceptions.ConditionFailedError):
        survivor.fence("e1", version)


@pytest.mark.parametrize("taken_over", [False, True])
def test_commit_before_fence_is_still_recognized(cell, taken_over):
    """Guards against reporting a write as unknown when its row proves it."""
    made = cell.add("e1", "e1-a")
    cell.rows.fates.append("lost")
    pending = made.submit({}, {"k": 1})
    original = cell.rows.transact

    def transact_then_fence(conditions, writes, timeout_s=None):
        cell.rows.transact = original
        try:
            return original(conditions, writes, timeout_s)
        finally:
            row = cell.rows.read_row("entry/e1")
            fenced = receipts.fence_receipt(row, "e2-a")
            cell.rows.apply({"entry/e1": row.version}, {"entry/e1": fenced})
            if taken_over:
                successor = cell.add("e1", "e1-b")
                assert successor.previous.incarnation == "e1-a"

    cell.rows.transact = transact_then_fence
    cell.run(1.0)
    assert outcome(pending) == cell.version("k")
    assert made.is_fenced


# Outages


def test_write_submitted_while_store_is_down_is_withdrawn(cell):
    """Guards against reporting a write as not run that is sent later."""
    made = cell.add()
    cell.rows.is_down = True
    cell.run(10.0)
    pending = made.submit({}, {"k": 1})
    cell.run(10.0)
    assert outcome(pending) is None
    assert pending.withdraw()
    # Withdrawn writes must not accumulate in memory during a long outage.
    assert len(made._queue) == 0
    cell.rows.is_down = False
    cell.run(10.0)
    assert cell.rows.applied["k"] == 0
    assert outcome(pending) is exceptions.StoreUnavailableError


def test_write_in_flight_when_store_goes_down_is_not_withdrawn(cell):
    """Guards against withdrawing a write that may have taken effect."""
    made = cell.add()
    cell.rows.fates.append("late")
    pending = made.submit({}, {"k": 1})
    cell.settle()
    assert len(cell.rows.late) == 1
    cell.rows.is_down = True
    cell.run(3600.0)
    assert not pending.withdraw()
    cell.rows.is_down = False
    cell.run(10.0)
    assert isinstance(outcome(pending), int)
    assert cell.rows.applied["k"] == 1


def test_refused_connection_leaves_the_write_unsent(cell):
    """Guards against reporting a write as unknown that was never sent."""
    made = cell.add()
    cell.rows.is_down = True
    cell.rows.down_cause = ConnectionRefusedError()
    pending = made.submit({}, {"k": 1})
    before = made.counts.transactions
    cell.settle()
    cell.run(60.0)
    # A store that is down is probed only by reads, at growing intervals.
    assert made.counts.transactions == before + 1
    assert made.counts.read_backs <= 60
    assert pending.withdraw()


@pytest.mark.parametrize("fate", ["refuse", "reject"])
def test_failed_resend_does_not_resolve_the_write(cell, fate):
    """Guards against a final outcome while the first copy may still arrive."""
    made = cell.add()
    cell.rows.fates.extend(["late", fate])
    pending = made.submit({}, {"k": 1})
    cell.run(0.03)
    assert len(cell.rows.late) == 1 and not cell.rows.fates
    assert not pending.withdraw()
    cell.rows.arrive()
    cell.run(5.0)
    assert outcome(pending) == cell.version("k")
    assert not made.is_fenced


def test_idle_committer_renews_its_row(cell):
    """Guards against an idle entry that appears dead to its peers."""
    made = cell.add()
    cell.run(20.0)
    assert 8 <= made.counts.renewals <= 10
    assert cell.clock.now() - made.last_confirmed_s <= 2.5


def test_unregistered_committer_starts_during_an_outage(cell):
    """Guards against an entry that fails when started during an outage."""
    cell.rows.is_down = True
    made = cell.add(register=False)
    pending = made.submit({}, {"k": 1})
    cell.run(60.0)
    cell.rows.is_down = False
    cell.run(5.0)
    assert isinstance(outcome(pending), int)


# Over HTTP


@pytest.mark.parametrize(
    "fault",
    [
        faults.Faults(lose_next=2),
        faults.Faults(lose_next=1, lose_by="hang"),
        faults.Faults(delay_ms=400, delay_next=1),
        # Slower than the client's timeout for the whole test.
        faults.Faults(delay_ms=300),
        faults.Faults(silence_open=True),
        faults.Faults(answer_delay_ms=300, lose_probability=0.2),
    ],
)
def test_writes_are_applied_once_over_faulty_http(fault):
    """Guards against lost, duplicated or stuck writes over real connections."""
    system_clock = clocks.SystemClock()
    standin = platform.StandinPlatform(system_clock)
    client = table.TableClient(standin.start(), system_clock, timeout_s=0.2)
    made = committer.Committer(system_clock, client, "e1", "e1-a", "a:1")
    made.register()
    made.start()
    standin.set_faults(fault)
    submitted = [made.submit({f"k{n}": 0}, {f"k{n}": n}) for n in range(5)]
    versions = [pending.wait(20.0) for pending in submitted]
    found = {row.version for row in client.read_rows("k", timeout_s=5.0)}
    made.stop()
    standin.stop()
    assert set(versions) == found
