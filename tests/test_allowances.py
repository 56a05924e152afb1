"""Tests for escrowed allowances, with several holders and lost answers."""

import collections

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies

from quetzalswitch import allowances
from quetzalswitch import clock as clocks
from quetzalswitch import escrow
from quetzalswitch import exceptions

KEY = "allowance/t"
HEAD = "config/head"
Row = collections.namedtuple("Row", "key version value")


class Store:
    """Rows with versions; a lost write may take effect late or never."""

    def __init__(self):
        self.rows = {}
        self.up = True
        self.open_writes = []
        self._commits = 0

    def commit(self, conditions, writes):
        conflicts = {}
        for key, version in conditions.items():
            row = self.rows.get(key, Row(key, 0, None))
            if row.version != version:
                conflicts[key] = row
        if conflicts:
            raise exceptions.ConditionFailedError(conflicts)
        self._commits += 1
        for key, value in writes.items():
            self.rows[key] = Row(key, self._commits, value)
        return self._commits

    def read_rows(self, prefix):
        if not self.up:
            raise exceptions.StoreUnavailableError("down")
        return [row for key, row in self.rows.items() if key.startswith(prefix)]


class Pending:
    """One write, performed when it is waited for, as the mode says."""

    def __init__(self, store, mode, write):
        self._store = store
        self._mode = mode
        self._write = write

    def wait(self, timeout_s):
        if self._mode == "ok":
            return self._store.commit(*self._write)
        if self._mode == "answer lost":
            with_effect = self._store.commit
            with_effect(*self._write)
        if self._mode == "delayed":
            self._store.open_writes.append(self._write)
        raise exceptions.StoreUnavailableError(self._mode)

    def withdraw(self):
        return self._mode == "not sent"


MODES = ["ok", "answer lost", "delayed", "not sent"]


class Holder:
    """One entry process with its ledger and task."""

    def __init__(self, clock, store, name, ledger):
        self.name = name
        self.mode = "ok"
        self.demand = 0
        self.version = 0
        self.told = {}
        self.excess = {}
        self.ledger = ledger
        self._store = store
        self.task = escrow.AllowanceTask(
            clock,
            ledger,
            self,
            store.read_rows,
            name,
            lambda team: self.demand,
            self.told.__setitem__,
            self.excess.__setitem__,
        )

    def submit(self, conditions, writes):
        return Pending(self._store, self.mode, (conditions, writes))

    def learn(self, version, limit):
        self.version = version
        head = self._store.rows[HEAD].version
        self.task.handle(escrow.SetLimits(version, {"t": limit}, head))

    def round(self, mode="ok"):
        self.mode = mode
        self.task.run_round()


class BrokenLedger(allowances.Ledger):
    """Keeps an allowance until the write that returns it is confirmed."""

    def lower(self, team, count):
        """Does nothing, which is the fault."""


class AllowanceMachine(stateful.RuleBasedStateMachine):
    """Several holders of one team's limit, with deaths and lost answers."""

    ledger_class = allowances.Ledger
    indexes = strategies.integers(0, 1)

    def __init__(self):
        super().__init__()
        self.clock = clocks.ManualClock()
        self.store = Store()
        self.running = {}
        self.dead = set()
        self.limits = [0]
        self.attempts = 0
        self.largest_sum = 0
        self.holders = []
        self.change_limit(6)
        for _ in range(2):
            self._add_holder()

    def _add_holder(self):
        name = f"e{len(self.dead) + len(self.holders)}"
        holder = Holder(self.clock, self.store, name, self.ledger_class())
        holder.learn(len(self.limits) - 1, self.limits[-1])
        self.holders.append(holder)

    @stateful.rule(limit=strategies.integers(0, 9))
    def change_limit(self, limit):
        self.limits.append(limit)
        version = self.store.rows.get(HEAD, Row(HEAD, 0, None)).version
        self.store.commit({HEAD: version}, {HEAD: len(self.limits) - 1})
        self.largest_sum = max(limit, self._sum())

    @stateful.rule(
        index=indexes,
        demand=strategies.sampled_from([0, 2, 9]),
        mode=strategies.sampled_from(MODES),
        passed_s=strategies.sampled_from([0.5, 2.5]),
        learns=strategies.sampled_from([True, True, False]),
        count=strategies.integers(1, 3),
    )
    def round(self, index, demand, mode, passed_s, learns, count):
        holder = self.holders[index]
        if learns:
            holder.learn(len(self.limits) - 1, self.limits[-1])
        holder.demand = demand
        for _ in range(count):
            self.clock.advance(passed_s)
            holder.round(mode)

    @stateful.rule(index=indexes, count=strategies.integers(1, 9))
    def start(self, index, count):
        holder = self.holders[index]
        for _ in range(count):
            self.attempts += 1
            attempt_id = f"a{self.attempts}"
            if not holder.ledger.charge("t", attempt_id):
                return
            self.running[attempt_id] = holder.name
            # A holder that has not learned of a change acts on the old limit.
            limit = max(self.limits[holder.version :])
            assert len(self.running) <= limit, "limit exceeded by a start"

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(data=strategies.data())
    def finish(self, data):
        chosen = data.draw(strategies.sampled_from(sorted(self.running)))
        name = self.running.pop(chosen)
        for holder in self.holders:
            if holder.name == name:
                holder.ledger.release(chosen)

    @stateful.precondition(lambda self: self.store.open_writes)
    @stateful.rule(data=strategies.data())
    def apply_delayed_write(self, data):
        count = len(self.store.open_writes)
        index = data.draw(strategies.integers(0, count - 1))
        try:
            self.store.commit(*self.store.open_writes.pop(index))
        except exceptions.ConditionFailedError:
            return

    @stateful.rule(index=indexes)
    def die(self, index):
        # Sealing keeps the writes of a dead holder from taking effect later.
        dead = self.holders.pop(index)
        self.dead.add(dead.name)
        self.store.open_writes.clear()
        self._add_holder()

    @stateful.precondition(lambda self: self.dead)
    @stateful.rule(
        index=indexes,
        data=strategies.data(),
        complete=strategies.booleans(),
        since_death_s=strategies.sampled_from([10.0, 70.0]),
    )
    def adopt(self, index, data, complete, since_death_s):
        dead = data.draw(strategies.sampled_from(sorted(self.dead)))
        seen = list(self.running.values()).count(dead) if complete else 0
        self.holders[index].task.handle(
            escrow.RecoverHolder(dead, {"t": seen}, complete, since_death_s)
        )
        self.holders[index].round()

    def _sum(self):
        row = self.store.rows.get(KEY)
        return sum(row.value["holders"].values()) if row else 0

    @stateful.invariant()
    def sum_stays_within_the_limit_or_falls(self):
        total = self._sum()
        assert total <= self.largest_sum
        self.largest_sum = max(self.limits[-1], total)

    @stateful.invariant()
    def memory_never_exceeds_the_row(self):
        row = self.store.rows.get(KEY)
        counts = row.value["holders"] if row else {}
        for holder in self.holders:
            assert holder.ledger.held("t") <= counts.get(holder.name, 0)


class BrokenMachine(AllowanceMachine):
    """The same machine over the broken ledger."""

    ledger_class = BrokenLedger


SETTINGS = hypothesis.settings(
    derandomize=True,
    max_examples=300,
    stateful_step_count=40,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
TestAllowanceMachine = AllowanceMachine.TestCase
TestAllowanceMachine.settings = SETTINGS


def test_machine_fails_over_a_broken_ledger():
    """Guards against a state machine that could never fail."""
    # Without shrinking, which takes minutes here.
    phases = [hypothesis.Phase.generate]
    settings = hypothesis.settings(SETTINGS, phases=phases)
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(BrokenMachine, settings=settings)


def test_lost_return_can_only_break_the_limit_over_a_broken_ledger():
    """Guards against a check of starts that could never fail."""

    def replay(machine):
        machine.round(0, 9, "ok", 0.5, True, 4)
        machine.round(0, 0, "answer lost", 2.5, True, 1)
        machine.round(1, 9, "ok", 0.5, True, 4)
        machine.start(1, 6)
        machine.start(0, 6)
        return len(machine.running)

    assert replay(AllowanceMachine()) == 6
    with pytest.raises(AssertionError, match="limit exceeded by a start"):
        replay(BrokenMachine())


def make_group(limit, count=2):
    clock = clocks.ManualClock()
    store = Store()
    store.commit({HEAD: 0}, {HEAD: 1})
    holders = [
        Holder(clock, store, f"e{n}", allowances.Ledger()) for n in range(count)
    ]
    for holder in holders:
        holder.learn(1, limit)
    return clock, store, holders


def run_rounds(clock, holders, count):
    for _ in range(count):
        clock.advance(escrow.ROUND_INTERVAL_S)
        for holder in holders:
            holder.round()


def test_demand_is_met_and_unused_allowance_returns():
    """Guards against allowance that stays with an entry that is idle."""
    clock, store, (a, b) = make_group(limit=10)
    a.demand = 10
    run_rounds(clock, [a, b], 5)
    assert a.told["t"] == 10
    a.demand, b.demand = 0, 10
    run_rounds(clock, [a, b], 8)
    assert (a.told["t"], b.told["t"]) == (0, 10)
    assert store.rows[KEY].value["holders"] == {"e1": 10}


def test_idle_holder_keeps_a_small_reserve_of_a_large_limit():
    """Guards against a first start that always waits for a round."""
    clock, _, (a, b) = make_group(limit=100)
    run_rounds(clock, [a, b], 3)
    assert (a.told["t"], b.told["t"]) == (2, 2)


def test_lowered_limit_stops_starts_and_names_the_excess():
    """Guards against starts on top of an excess that others still run."""
    clock, store, (a, b) = make_group(limit=8)
    a.demand = b.demand = 8
    run_rounds(clock, [a, b], 6)
    for n in range(4):
        a.ledger.charge("t", f"a{n}")
    store.commit({HEAD: store.rows[HEAD].version}, {HEAD: 2})
    for holder in (a, b):
        holder.learn(2, 2)
    assert (a.told["t"], b.told["t"]) == (0, 0)
    run_rounds(clock, [a, b], 3)
    assert a.excess["t"] == 2
    assert store.rows[KEY].value["holders"] == {"e0": 4}
    assert b.ledger.headroom("t") == a.ledger.headroom("t") == 0
    for n in range(4):
        a.ledger.release(f"a{n}")
    a.demand = b.demand = 1
    run_rounds(clock, [a, b], 5)
    assert (a.told["t"], b.told["t"]) == (1, 1)


def test_lost_answer_keeps_the_lower_count_until_it_is_clear():
    """Guards against counting on a write whose effect is not known."""
    clock, store, (a, _) = make_group(limit=10)
    a.demand = 6
    a.round("delayed")
    assert a.told["t"] == 0
    store.commit(*store.open_writes.pop())
    a.round()
    assert a.told["t"] == 6
    store.up = False
    a.demand = 0
    clock.advance(5)
    a.round("answer lost")
    assert a.told["t"] == 0
    a.demand = 3
    a.round("not sent")
    assert a.told["t"] == 0
    store.up = True
    run_rounds(clock, [a], 3)
    assert a.told["t"] == 3


def test_stale_holder_gains_nothing_after_a_change():
    """Guards against a count raised under a limit that was lowered since."""
    clock, store, (a, b) = make_group(limit=10)
    store.commit({HEAD: store.rows[HEAD].version}, {HEAD: 2})
    a.demand = 5
    run_rounds(clock, [a], 3)
    assert a.told["t"] == 0
    row = allowances.RowValue(version=2, holders={})
    assert allowances.plan_change(row, 10, "e0", 5, version=1) is None


def test_planned_stop_returns_everything_unused():
    """Guards against allowance that is lost until its holder is buried."""
    clock, store, (a, b) = make_group(limit=10)
    a.demand = 10
    run_rounds(clock, [a, b], 5)
    a.ledger.charge("t", "a1")
    a.task.handle(escrow.ReturnUnused())
    run_rounds(clock, [a], 1)
    assert store.rows[KEY].value["holders"] == {"e0": 1}


@pytest.mark.parametrize(
    ("running", "complete", "since_s", "left"),
    [
        (2, True, 70.0, {"dead": 2, "e": 1}),
        (0, True, 70.0, {"e": 1}),
        (0, False, 70.0, None),
        (0, True, 60.0, None),
        (5, True, 70.0, None),
    ],
)
def test_dead_holder_is_freed_only_of_what_cannot_run(
    running, complete, since_s, left
):
    """Guards against freeing a count while its tasks may still run."""
    row = allowances.RowValue(version=3, holders={"dead": 5, "e": 1})
    plan = allowances.plan_recovery(row, "dead", running, complete, since_s)
    assert (plan and plan["holders"]) == left
