"""Tests for the committer: receipt chain, groups, fencing, outages."""

import collections

import gevent
import hypothesis
import pytest
from hypothesis import strategies

from quetzalswitch import clock as clocks
from quetzalswitch import exceptions
from quetzalswitch.platform import committer
from quetzalswitch.platform import pendings
from quetzalswitch.platform import receipts
from quetzalswitch.platform import table
from quetzalswitch.standins import faults
from quetzalswitch.standins import platform


class ScriptedTable:
    """The stand-in's table without sockets; each transaction has a fate.

    Fates: ok, lost (applied, answer lost), late (held back until `arrive`,
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
        if self.is_down:
            raise exceptions.StoreUnavailableError("down") from self.down_cause
        row = self.rows.read(key)
        if row.version == 0:
            return None
        return table.Row(key, row.version, _decode(row))

    def transact(self, conditions, writes, timeout_s=None):
        if self.is_down:
            raise exceptions.StoreUnavailableError("down") from self.down_cause
        fate = self.fates.popleft() if self.fates else "ok"
        match fate:
            case "refuse":
                raise exceptions.StoreUnavailableError(
                    "refused"
                ) from ConnectionRefusedError()
            case "reject":
                raise exceptions.ProtocolError("rejected")
            case "late":
                self.late.append((conditions, writes))
            case "lost":
                self.apply(conditions, writes)
            case "ok":
                return self.apply(conditions, writes, raises=True)
        raise exceptions.StoreUnavailableError("answer lost")

    def apply(self, conditions, writes, raises=False):
        expected = [platform._Condition(*each) for each in conditions.items()]
        conflicts = self.rows.find_conflicts(expected)
        if conflicts:
            if raises:
                raise exceptions.ConditionFailedError(
                    {
                        row.key: table.Row(row.key, row.version, _decode(row))
                        for row in conflicts
                    }
                )
            return 0
        self.applied.update(list(writes))
        return self.rows.commit(
            [platform._Write(key, _raw(value)) for key, value in writes.items()]
        )

    def arrive(self):
        """Lets the oldest held back transaction reach the table."""
        if self.late:
            self.apply(*self.late.pop(0))


def _raw(value):
    return platform.msgspec.Raw(platform.msgspec.json.encode(value))


def _decode(row):
    return platform.msgspec.json.decode(row.value)


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def rows():
    return ScriptedTable()


@pytest.fixture
def make_committer(clock, rows):
    started = []

    def make(entry_id="e1", incarnation="e1-a"):
        made = committer.Committer(clock, rows, entry_id, incarnation, "a:1")
        made.register()
        made.start()
        started.append(made)
        gevent.sleep(0)
        return made

    yield make
    for made in started:
        made.stop()


def run(clock, seconds=30.0):
    for _ in range(int(seconds / 0.5)):
        clock.advance(0.5)


def settle():
    """Lets the committer act until it waits for the clock or for work."""
    for _ in range(5):
        gevent.sleep(0)


def outcome(pending):
    """Returns the commit number, the error, or None while undecided."""
    if not pending._result.ready():
        return None
    try:
        return pending.wait(0.0)
    except exceptions.QuetzalError as error:
        return type(error)


# Lost answers


def test_lost_answer_after_commit_is_resolved_by_reading(
    clock, rows, make_committer
):
    """Guards against a second application of a write whose answer was lost."""
    made = make_committer()
    rows.fates.append("lost")
    pending = made.submit({"k": 0}, {"k": 1})
    run(clock, 1.0)
    assert outcome(pending) == rows.rows.read("k").version
    assert rows.applied["k"] == 1
    assert made.counts.resends == 0


def test_delayed_first_copy_fails_after_resend(clock, rows, make_committer):
    """Guards against a first copy that takes effect after its re-send."""
    made = make_committer()
    rows.fates.append("late")
    pending = made.submit({}, {"k": 1})
    run(clock, 1.0)
    assert outcome(pending) == rows.rows.read("k").version
    rows.arrive()
    assert rows.applied["k"] == 1


def test_delayed_first_copy_before_resend_counts_once(
    clock, rows, make_committer
):
    """Guards against a re-send that reports a conflict with its own copy."""
    made = make_committer()
    rows.fates.extend(["late", "vanish"])
    pending = made.submit({"k": 0}, {"k": 1})
    settle()
    clock.advance(0.03)
    settle()
    assert len(rows.late) == 1 and not rows.fates
    rows.arrive()
    run(clock, 2.0)
    assert outcome(pending) == rows.rows.read("k").version
    assert rows.applied["k"] == 1


def test_conflict_is_not_reported_while_an_older_copy_may_win(
    clock, rows, make_committer
):
    """Guards against a write reported as failed that takes effect later.

    The first copy is on its way when the re-send meets a conflict; then the
    conflicting row goes away and the first copy arrives.
    """
    made = make_committer()
    rows.apply({}, {"k": "other"})
    rows.fates.extend(["late", "ok", "vanish"])
    failing = made.submit({"k": 0}, {"k": 1})
    other = made.submit({}, {"m": 1})
    settle()
    clock.advance(0.04)
    settle()
    assert len(rows.late) == 1 and list(rows.fates) == ["vanish"]
    assert outcome(failing) is None
    rows.apply({}, {"k": None})
    rows.arrive()
    run(clock, 2.0)
    assert outcome(failing) == outcome(other) == rows.rows.read("k").version
    assert rows.applied["m"] == 1


FATES = strategies.sampled_from(
    ["ok", "ok", "lost", "late", "vanish", "refuse", "reject"]
)
STEPS = strategies.lists(
    strategies.one_of(
        strategies.tuples(strategies.just("fate"), FATES),
        strategies.tuples(strategies.just("submit"), strategies.integers(0, 3)),
        strategies.tuples(strategies.just("erase"), strategies.integers(0, 3)),
        strategies.tuples(
            strategies.just("withdraw"), strategies.integers(0, 9)
        ),
        strategies.sampled_from([("arrive", 0), ("down", 0), ("up", 0)]),
        strategies.tuples(
            strategies.just("advance"), strategies.sampled_from([0.03, 0.3])
        ),
    ),
    max_size=40,
)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(steps=STEPS)
def test_outcomes_are_truthful_under_any_order_of_faults(steps):
    """Guards against an outcome that contradicts what the table applied."""
    clock = clocks.ManualClock()
    rows = ScriptedTable()
    made = committer.Committer(clock, rows, "e1", "e1-a", "a:1")
    made.register()
    made.start()
    submitted = []
    for action, value in steps:
        match action:
            case "fate":
                rows.fates.append(value)
            case "submit":
                # The own key shows how often the write was applied; the
                # shared key makes writes conflict with each other.
                own = f"own/{len(submitted)}"
                shared = f"shared/{value}"
                pending = made.submit({shared: 0}, {own: 1, shared: 1})
                submitted.append((own, pending))
            case "erase":
                rows.apply({}, {f"shared/{value}": None})
            case "withdraw" if value < len(submitted):
                submitted[value][1].withdraw()
            case "arrive":
                rows.arrive()
            case "down" | "up":
                rows.is_down = action == "down"
            case "advance":
                clock.advance(value)
        settle()
    rows.is_down = False
    rows.fates.clear()
    run(clock)
    while rows.late:
        rows.arrive()
    made.stop()
    for own, pending in submitted:
        result = outcome(pending)
        assert result is not None
        assert rows.applied[own] == int(isinstance(result, int))
        assert not (pending.withdraw() and rows.applied[own])


# Groups


def test_conflict_fails_only_its_own_write(clock, rows, make_committer):
    """Guards against one conflict that fails every write of a group."""
    made = make_committer()
    rows.apply({}, {"taken": 1})
    good = [made.submit({f"k{n}": 0}, {f"k{n}": n}) for n in range(3)]
    bad = made.submit({"taken": 0}, {"taken": 2})
    run(clock, 1.0)
    assert outcome(bad) is exceptions.ConditionFailedError
    with pytest.raises(exceptions.ConditionFailedError) as caught:
        bad.wait(0.0)
    assert caught.value.conflicts["taken"].value == 1
    assert all(isinstance(outcome(pending), int) for pending in good)


def test_writes_to_one_key_do_not_share_a_group(clock, rows, make_committer):
    """Guards against two writes on the same version that both succeed."""
    made = make_committer()
    first = made.submit({"k": 0}, {"k": 1})
    second = made.submit({"k": 0}, {"k": 2})
    run(clock, 1.0)
    assert isinstance(outcome(first), int)
    assert outcome(second) is exceptions.ConditionFailedError
    assert _decode(rows.rows.read("k")) == 1


def test_refused_write_does_not_block_the_others(clock, rows, make_committer):
    """Guards against a write that the service rejects and that fails all."""
    made = make_committer()
    rows.fates.extend(["reject", "reject"])
    bad = made.submit({}, {"a": 1})
    good = made.submit({}, {"b": 1})
    run(clock, 1.0)
    assert outcome(bad) is exceptions.ProtocolError
    assert isinstance(outcome(good), int)


def test_group_stays_within_rows_and_rate(clock, rows, make_committer):
    """Guards against transactions above the limits of rows and rate."""
    made = make_committer()
    before = made.counts.transactions
    submitted = [made.submit({}, {f"k{n}": 0}) for n in range(1000)]
    for _ in range(40):
        clock.advance(0.005)
    # 0.2 s hold at most 9 sends that are 25 ms apart.
    assert made.counts.transactions - before <= 9
    run(clock, 1.0)
    assert all(isinstance(outcome(each), int) for each in submitted)
    assert made.counts.rows == 1000
    assert made.counts.transactions - before >= 11


# Fencing


def test_zombie_writer_fails_after_seal(clock, rows, make_committer):
    """Guards against a paused entry that writes after it was sealed."""
    zombie = make_committer("e1", "e1-a")
    survivor = make_committer("e2", "e2-a")
    version = rows.read_row("entry/e1").version
    sealing = gevent.spawn(survivor.seal, "e1", version)
    settle()
    clock.advance(0.1)
    assert sealing.get(timeout=1) == rows.read_row("entry/e1").version
    pending = zombie.submit({}, {"k": 1})
    run(clock, 1.0)
    assert outcome(pending) is exceptions.SealedError
    assert zombie.is_sealed
    assert rows.applied["k"] == 0
    late = zombie.submit({}, {"k": 2})
    assert outcome(late) is exceptions.SealedError
    assert late.withdraw()


def test_seal_of_an_entry_that_still_writes_fails(clock, rows, make_committer):
    """Guards against sealing an entry that has written since it was read."""
    make_committer("e1", "e1-a")
    survivor = make_committer("e2", "e2-a")
    version = rows.read_row("entry/e1").version
    run(clock, 5.0)
    with pytest.raises(exceptions.ConditionFailedError):
        survivor.seal("e1", version)


@pytest.mark.parametrize("taken_over", [False, True])
def test_commit_before_seal_is_still_recognized(
    clock, rows, make_committer, taken_over
):
    """Guards against a write reported as unknown though its row tells."""
    made = make_committer("e1", "e1-a")
    rows.fates.append("lost")
    pending = made.submit({}, {"k": 1})
    rows.is_down = True
    original, rows.is_down = rows.transact, False

    def transact_then_seal(conditions, writes, timeout_s=None):
        rows.transact = original
        try:
            return original(conditions, writes, timeout_s)
        finally:
            row = rows.read_row("entry/e1")
            sealed = receipts.seal_receipt(row, "e2-a")
            rows.apply({"entry/e1": row.version}, {"entry/e1": sealed})
            if taken_over:
                successor = committer.Committer(
                    clock, rows, "e1", "e1-b", "a:1"
                )
                successor.register()
                assert successor.previous.incarnation == "e1-a"

    rows.transact = transact_then_seal
    run(clock, 1.0)
    assert outcome(pending) == rows.rows.read("k").version
    assert made.is_sealed


# Outages


def test_write_submitted_while_store_is_down_is_withdrawn(
    clock, rows, make_committer
):
    """Guards against a refusal as not run for a write that is sent later."""
    made = make_committer()
    rows.is_down = True
    run(clock, 10.0)
    pending = made.submit({}, {"k": 1})
    run(clock, 10.0)
    assert outcome(pending) is None
    assert pending.withdraw()
    rows.is_down = False
    run(clock, 10.0)
    assert rows.applied["k"] == 0
    assert outcome(pending) is exceptions.StoreUnavailableError


def test_write_in_flight_when_store_goes_down_is_not_withdrawn(
    clock, rows, make_committer
):
    """Guards against a withdrawal of a write that may have taken effect."""
    made = make_committer()
    rows.fates.append("late")
    pending = made.submit({}, {"k": 1})
    settle()
    assert len(rows.late) == 1
    rows.is_down = True
    run(clock, 3600.0)
    assert not pending.withdraw()
    rows.is_down = False
    run(clock, 10.0)
    assert isinstance(outcome(pending), int)
    assert rows.applied["k"] == 1


def test_refused_connection_leaves_the_write_unsent(
    clock, rows, make_committer
):
    """Guards against a write called unknown that surely was not sent."""
    made = make_committer()
    rows.is_down = True
    rows.down_cause = ConnectionRefusedError()
    pending = made.submit({}, {"k": 1})
    before = made.counts.transactions
    settle()
    run(clock, 60.0)
    # Only reads probe a store that is down, with growing intervals.
    assert made.counts.transactions == before + 1
    assert made.counts.read_backs <= 60
    assert pending.withdraw()


def test_refused_resend_does_not_make_the_write_unsent(
    clock, rows, make_committer
):
    """Guards against a withdrawal while the first copy may still arrive."""
    made = make_committer()
    rows.fates.extend(["late", "refuse"])
    pending = made.submit({}, {"k": 1})
    settle()
    clock.advance(0.03)
    settle()
    assert len(rows.late) == 1 and not rows.fates
    assert not pending.withdraw()
    rows.arrive()
    run(clock, 5.0)
    assert outcome(pending) == rows.rows.read("k").version
    assert not made.is_sealed


def test_withdrawn_writes_do_not_pile_up(clock, rows, make_committer):
    """Guards against memory that grows with the length of an outage."""
    made = make_committer()
    rows.is_down = True
    run(clock, 5.0)
    for _ in range(pendings.MAX_GROUP_KEYS * 3):
        assert made.submit({}, {"k": 1}).withdraw()
    assert len(made._queue) == 0


def test_idle_committer_renews_its_row(clock, rows, make_committer):
    """Guards against an idle entry that looks dead to its peers."""
    made = make_committer()
    run(clock, 20.0)
    assert 8 <= made.counts.renewals <= 10
    assert clock.now() - made.last_confirmed_s <= 2.5


def test_unregistered_committer_starts_during_an_outage(clock, rows):
    """Guards against an entry that gives up when started without a store."""
    rows.is_down = True
    made = committer.Committer(clock, rows, "e1", "e1-a", "a:1")
    made.start()
    pending = made.submit({}, {"k": 1})
    run(clock, 60.0)
    rows.is_down = False
    run(clock, 5.0)
    made.stop()
    assert isinstance(outcome(pending), int)


# Over HTTP


@pytest.mark.parametrize(
    "fault",
    [
        faults.Faults(lose_next=2),
        faults.Faults(lose_next=1, lose_by="hang"),
        faults.Faults(delay_ms=400, delay_next=1),
        faults.Faults(silence_open=True),
        faults.Faults(answer_delay_ms=300, lose_probability=0.2),
    ],
)
def test_writes_are_applied_once_over_faulty_http(fault):
    """Guards against a lost, doubled or stuck write over real connections."""
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
