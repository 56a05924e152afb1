"""Escrowed portions of each team's upper limit on running tasks.

The row `allowance/<team>` = {"version": configuration version, "holders":
{entry incarnation: count}} is changed by compare-and-set only. A holder may
start a task when its count in memory is above the number of tasks charged to
it, and its count in memory never exceeds its count in the row: it is raised
after a confirmed write and lowered before the write is sent. While the effect
of a write is unknown the lower of both counts applies; the next write has the
same condition, so its outcome also decides the fate of the earlier one.

A row that carries a newer configuration version than a process has in force
can't be raised by that process. After a limit was lowered a holder starts
nothing until it has seen a row that carries the new version and sums up to no
more than the limit; a start can then not add to an excess that others run.
"""

import dataclasses
import typing
from collections.abc import Callable

import logbook

from quetzalswitch import clock as clocks
from quetzalswitch import exceptions
from quetzalswitch import tasks

KEY_PREFIX = "allowance/"
ROUND_INTERVAL_S = 1.0
WRITE_TIMEOUT_S = 2.0
UNUSED_AFTER_S = 2.0
# An idle holder of a team with a large limit keeps this many, so that the
# first start need not wait for a round; small limits are not split that way.
RESERVE = 2
RESERVE_LIMIT_RATIO = 20
# The longest task lease is 60 s; the rest covers rounding at the target.
RECOVERY_AFTER_S = 65.0

_log = logbook.Logger("allowances")


class RowValue(typing.TypedDict):
    """Value of an allowance row."""

    version: int
    holders: dict[str, int]


class Ledger:
    """What this process holds and uses of each team's limit; pure.

    It is shared between the task below and the code that starts tasks; none
    of its methods gives way to another greenlet.
    """

    def __init__(self):
        self._held: dict[str, int] = {}
        self._restricted: set[str] = set()
        self._charged: dict[str, str] = {}
        self._used: dict[str, int] = {}

    def held(self, team: str) -> int:
        """Returns the count that this process may rely on."""
        return self._held.get(team, 0)

    def used(self, team: str) -> int:
        """Returns the number of tasks charged to this process."""
        return self._used.get(team, 0)

    def headroom(self, team: str) -> int:
        """Returns how many more tasks may be started."""
        if team in self._restricted:
            return 0
        return max(0, self.held(team) - self.used(team))

    def usable(self, team: str) -> int:
        """Returns held, or 0 while no task of the team may be started."""
        return 0 if team in self._restricted else self.held(team)

    def charge(self, team: str, attempt_id: str) -> bool:
        """Charges an attempt; false when there is no headroom."""
        if attempt_id in self._charged:
            return True
        if self.headroom(team) < 1:
            return False
        self._charged[attempt_id] = team
        self._used[team] = self.used(team) + 1
        return True

    def release(self, attempt_id: str) -> None:
        """Ends the charge of an attempt; does nothing when there is none.

        An attempt stays charged here while it runs, also when another entry
        takes over its target.
        """
        team = self._charged.pop(attempt_id, None)
        if team is not None:
            self._used[team] -= 1

    def lower(self, team: str, count: int) -> None:
        """Lowers held before a write that may lower the row is sent."""
        self._held[team] = min(self.held(team), count)

    def settle(self, team: str, count: int) -> None:
        """Sets held to the count of a row that no open write can change."""
        self._held[team] = count

    def restrict(self, team: str, restricted: bool) -> None:
        """Forbids or allows starts regardless of what is held."""
        if restricted:
            self._restricted.add(team)
        else:
            self._restricted.discard(team)


def plan_change(
    row_value: RowValue | None,
    limit: int,
    holder: str,
    want: int,
    used: int = 0,
    version: int = 0,
) -> RowValue | None:
    """Returns the row that brings a holder closer to what it wants.

    A holder takes at most half of what is free, or all when one is free, so
    that one round doesn't leave nothing to others. It shrinks to what it uses
    while the sum exceeds the limit.

    Args:
        row_value: The present row; None when there is none.
        limit: The team's upper limit in the configuration in force.
        holder: Incarnation whose count changes.
        want: Count that the holder would like to have.
        used: Tasks charged to the holder; it keeps as many.
        version: Version of the configuration in force.

    Returns:
        The new row; None when nothing changes.
    """
    row_version, holders = _read_value(row_value)
    current = holders.get(holder, 0)
    room = max(0, limit - (sum(holders.values()) - current))
    target = max(want, used)
    if target > current:
        stale = row_version > version
        free = 0 if stale else max(0, room - current)
        target = current + min(target - current, (free + 1) // 2)
    if target > room:
        target = min(current, max(room, used))
    if target == current:
        return None
    return _make_value(max(row_version, version), holders, holder, target)


def plan_recovery(
    row_value: RowValue | None,
    dead_holder: str,
    foreign_running: int,
    reports_complete: bool,
    since_death_s: float,
) -> RowValue | None:
    """Returns the row without what a dead holder certainly does not use.

    Args:
        row_value: The present row; None when there is none.
        dead_holder: Incarnation whose `entry/` row is sealed.
        foreign_running: Running tasks of the team charged to it, as reported
            by all targets.
        reports_complete: Whether every target was claimed by a live entry
            since the death and all live entries have reported.
        since_death_s: Seconds since the death.

    Returns:
        The new row; None when nothing can be freed.
    """
    version, holders = _read_value(row_value)
    count = holders.get(dead_holder, 0)
    if not reports_complete or since_death_s < RECOVERY_AFTER_S:
        return None
    if foreign_running >= count:
        return None
    return _make_value(version, holders, dead_holder, foreign_running)


def plan_shedding(
    row_value: RowValue | None, limit: int, holder: str, used: int
) -> int:
    """Returns how many running tasks a holder should stop.

    Each holder is to keep a part of the limit in proportion to its count, so
    that the holders' parts sum up to no more than the limit.
    """
    _, holders = _read_value(row_value)
    total = sum(holders.values())
    if total <= limit:
        return 0
    return max(0, used - limit * holders.get(holder, 0) // total)


def _read_value(row_value: RowValue | None) -> tuple[int, dict[str, int]]:
    if row_value is None:
        return 0, {}
    return row_value["version"], row_value["holders"]


def _make_value(
    version: int, holders: dict[str, int], holder: str, count: int
) -> RowValue:
    changed = {**holders, holder: count}
    kept = {name: number for name, number in changed.items() if number > 0}
    return RowValue(version=version, holders=kept)


@dataclasses.dataclass(frozen=True)
class SetLimits:
    """The limits of the configuration in force.

    Attributes:
        version: Version of the configuration.
        limits: Upper limit of each team.
        head_row_version: Row version of `config/head` as read with this
            version; a write that raises a count is then conditional on it, so
            that none is accepted after a newer configuration. None leaves the
            condition out.
    """

    version: int
    limits: dict[str, int]
    head_row_version: int | None = None


@dataclasses.dataclass(frozen=True)
class RecoverHolder:
    """What is known about a dead holder; see `plan_recovery`."""

    holder: str
    foreign_running: dict[str, int]
    reports_complete: bool
    since_death_s: float


@dataclasses.dataclass(frozen=True)
class ReturnUnused:
    """Return all that is not in use and take no more; for a planned stop."""


@dataclasses.dataclass
class _TeamState:
    limit: int = 0
    row_version: int = 0
    row_value: RowValue | None = None
    in_doubt: bool = False
    restricted: bool = True
    unseen: bool = True
    want: int = 0
    needs: list[tuple[float, int]] = dataclasses.field(default_factory=list)
    told: tuple[int, int] = (0, 0)


class _Write(typing.NamedTuple):
    team: str
    value: RowValue
    pending: typing.Any


class AllowanceTask(tasks.Task):
    """Acquires and returns allowances, at most one round a second."""

    def __init__(
        self,
        clock: clocks.Clock,
        ledger: Ledger,
        committer: typing.Any,
        read_rows: Callable[[str], list],
        holder: str,
        demand: Callable[[str], int],
        on_allowance: Callable[[str, int], None],
        on_excess: Callable[[str, int], None] | None = None,
    ):
        """Takes its collaborators.

        Args:
            clock: Clock for rounds.
            ledger: Shared with the code that starts tasks.
            committer: Has `submit(conditions, writes)`, which returns a
                pending write with `wait(timeout_s)` and `withdraw()`.
            read_rows: Reads the rows with a prefix, as `TableClient` does.
            holder: Incarnation of this process.
            demand: Returns a team's number of waiting tasks.
            on_allowance: Called with a team and what it may run here. A value
                below what runs forbids starts, but does not ask for stopping.
            on_excess: Called with a team and the number of running tasks that
                this process should stop since the limit was lowered.
        """
        super().__init__("allowances")
        self._clock = clock
        self._ledger = ledger
        self._committer = committer
        self._read_rows = read_rows
        self._holder = holder
        self._demand = demand
        self._on_allowance = on_allowance
        self._on_excess = on_excess or (lambda team, count: None)
        self._teams: dict[str, _TeamState] = {}
        self._recoveries: dict[str, RecoverHolder] = {}
        self._version = 0
        self._head_row_version: int | None = None
        self._returning = False

    def run(self) -> None:
        """Performs rounds until stopped or sealed."""
        while True:
            started_s = self._clock.now()
            self.run_round()
            spent_s = self._clock.now() - started_s
            self._clock.sleep(max(0.1, ROUND_INTERVAL_S - spent_s))

    def run_round(self) -> None:
        """Sends the writes of one round as a group and awaits their outcome.

        Raises:
            SealedError: This process was sealed; everything held is given up.
        """
        while not self.inbox.empty():
            self.handle(self.inbox.get())
        for team, state in self._teams.items():
            self._note_need(team, state)
        if self._recoveries or any(map(self._must_read, self._teams.values())):
            self._read()
        try:
            writes = [self._submit(team) for team in sorted(self._teams)]
            deadline_s = self._clock.now() + WRITE_TIMEOUT_S
            for write in filter(None, writes):
                self._collect(write, deadline_s)
        except exceptions.SealedError:
            for team in self._teams:
                self._ledger.settle(team, 0)
                self._tell(team)
            raise

    def handle(self, message: typing.Any) -> None:
        """Takes note of limits, dead holders and a planned stop."""
        match message:
            case SetLimits():
                self._set_limits(message)
            case RecoverHolder(holder=holder):
                self._recoveries[holder] = message
            case ReturnUnused():
                self._returning = True

    def _set_limits(self, message: SetLimits) -> None:
        if message.version < self._version:
            return
        self._version = message.version
        self._head_row_version = message.head_row_version
        for team in {**self._teams, **message.limits}:
            state = self._teams.setdefault(team, _TeamState())
            limit = message.limits.get(team, 0)
            if limit < state.limit:
                state.restricted = True
                self._ledger.restrict(team, True)
            state.limit = limit
            self._tell(team)

    def _must_read(self, state: _TeamState) -> bool:
        holders = _read_value(state.row_value)[1]
        starved = state.want > holders.get(self._holder, 0)
        return state.unseen or state.in_doubt or state.restricted or starved

    def _read(self) -> None:
        try:
            rows = self._read_rows(KEY_PREFIX)
        except exceptions.StoreUnavailableError as error:
            _log.info("rows not read: {}", error)
            return
        for row in rows:
            state = self._teams.get(row.key.removeprefix(KEY_PREFIX))
            if state is not None and row.version > state.row_version:
                self._settle(
                    row.key.removeprefix(KEY_PREFIX), row.version, row.value
                )
        for state in self._teams.values():
            state.unseen = False
        holders = {h for row in rows for h in row.value["holders"]}
        self._recoveries = {
            holder: recovery
            for holder, recovery in self._recoveries.items()
            if holder in holders
        }

    def _submit(self, team: str) -> _Write | None:
        state = self._teams[team]
        value = self._plan(team, state)
        if value is None:
            return None
        before = _read_value(state.row_value)[1].get(self._holder, 0)
        after = value["holders"].get(self._holder, 0)
        self._ledger.lower(team, after)
        self._tell(team)
        conditions = {KEY_PREFIX + team: state.row_version}
        if after > before and self._head_row_version is not None:
            conditions["config/head"] = self._head_row_version
        writes = {KEY_PREFIX + team: value}
        return _Write(team, value, self._committer.submit(conditions, writes))

    def _plan(self, team: str, state: _TeamState) -> RowValue | None:
        planned = plan_change(
            state.row_value,
            state.limit,
            self._holder,
            state.want,
            self._ledger.used(team),
            self._version,
        )
        value = planned or state.row_value
        changed = planned is not None
        for recovery in self._recoveries.values():
            recovered = plan_recovery(
                value,
                recovery.holder,
                recovery.foreign_running.get(team, 0),
                recovery.reports_complete,
                recovery.since_death_s,
            )
            value, changed = recovered or value, changed or bool(recovered)
        if changed or not self._must_write(team, state):
            return value if changed else None
        # Writes the row as it is, to learn what is stored and to stamp it.
        version, holders = _read_value(state.row_value)
        version = max(version, self._version)
        return RowValue(version=version, holders=holders)

    def _must_write(self, team: str, state: _TeamState) -> bool:
        if state.in_doubt:
            return True
        row_version, holders = _read_value(state.row_value)
        mine = self._holder in holders or self._demand(team) > 0
        return state.restricted and mine and row_version < self._version

    def _note_need(self, team: str, state: _TeamState) -> None:
        now = self._clock.now()
        used = self._ledger.used(team)
        state.needs.append((now, used + self._demand(team)))
        while state.needs[0][0] < now - UNUSED_AFTER_S:
            state.needs.pop(0)
        reserve = min(RESERVE, state.limit // RESERVE_LIMIT_RATIO)
        need = max(need for _, need in state.needs)
        state.want = min(state.limit, need + reserve)
        if self._returning:
            state.want = used

    def _collect(self, write: _Write, deadline_s: float) -> None:
        state = self._teams[write.team]
        key = KEY_PREFIX + write.team
        try:
            remaining_s = max(0.0, deadline_s - self._clock.now())
            row_version = write.pending.wait(remaining_s)
            self._settle(write.team, row_version, write.value)
        except exceptions.ConditionFailedError as error:
            row = error.conflicts.get(key)
            if row is not None:
                self._settle(write.team, row.version, row.value)
            elif not state.in_doubt:
                self._settle(write.team, state.row_version, state.row_value)
        except exceptions.StoreUnavailableError as error:
            _log.info("write of {} unconfirmed: {}", key, error)
            if not write.pending.withdraw():
                state.in_doubt = True
            elif not state.in_doubt:
                self._settle(write.team, state.row_version, state.row_value)

    def _settle(
        self, team: str, row_version: int, value: RowValue | None
    ) -> None:
        state = self._teams[team]
        state.unseen = False
        state.row_version = row_version
        state.row_value = value
        state.in_doubt = False
        value_version, holders = _read_value(value)
        if sum(holders.values()) > state.limit:
            state.restricted = True
        elif value_version >= self._version:
            state.restricted = False
        self._ledger.settle(team, holders.get(self._holder, 0))
        self._ledger.restrict(team, state.restricted)
        self._tell(team)
        excess = plan_shedding(
            value, state.limit, self._holder, self._ledger.used(team)
        )
        if excess > 0:
            self._on_excess(team, excess)

    def _tell(self, team: str) -> None:
        state = self._teams[team]
        usable = self._ledger.usable(team)
        if state.told != (usable, state.limit):
            state.told = (usable, state.limit)
            self._on_allowance(team, usable)
