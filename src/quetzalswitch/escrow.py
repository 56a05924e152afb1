"""The task that acquires and returns allowances; see `allowances`."""

import dataclasses
import typing
from collections.abc import Callable

from quetzalswitch import allowances
from quetzalswitch import clock as clocks
from quetzalswitch import exceptions
from quetzalswitch import logs
from quetzalswitch import tasks

ROUND_INTERVAL_S = 1.0
WRITE_TIMEOUT_S = 2.0
UNUSED_AFTER_S = 2.0
# An idle holder of a team with a large limit keeps this many, so that the
# first start need not wait for a round; small limits are not split that way.
RESERVE = 2
RESERVE_LIMIT_RATIO = 20


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
    """What is known about a dead holder; see `allowances.plan_recovery`."""

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
    row_value: allowances.RowValue | None = None
    in_doubt: bool = False
    restricted: bool = True
    unseen: bool = True
    want: int = 0
    needs: list[tuple[float, int]] = dataclasses.field(default_factory=list)
    told: tuple[int, int] = (0, 0)


class _Write(typing.NamedTuple):
    team: str
    value: allowances.RowValue
    pending: typing.Any


class AllowanceTask(tasks.Task):
    """Acquires and returns allowances, at most one round a second."""

    def __init__(
        self,
        clock: clocks.Clock,
        ledger: allowances.Ledger,
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

    def holders(self) -> set[str]:
        """Returns every incarnation that holds a portion of some limit."""
        return {
            holder
            for state in self._teams.values()
            for holder in allowances.read_value(state.row_value)[1]
        }

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
            FencedError: This process was sealed; everything held is given up.
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
        except exceptions.FencedError:
            for team in self._teams:
                self._ledger.set_held(team, 0)
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
        holders = allowances.read_value(state.row_value)[1]
        starved = state.want > holders.get(self._holder, 0)
        return state.unseen or state.in_doubt or state.restricted or starved

    def _read(self) -> None:
        try:
            rows = self._read_rows(allowances.KEY_PREFIX)
        except exceptions.StoreUnavailableError as error:
            logs.write(
                "store_unavailable", operation="read_allowances", error=error
            )
            return
        for row in rows:
            state = self._teams.get(row.key.removeprefix(allowances.KEY_PREFIX))
            if state is not None and row.version > state.row_version:
                self._settle(
                    row.key.removeprefix(allowances.KEY_PREFIX),
                    row.version,
                    row.value,
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
        before = allowances.read_value(state.row_value)[1].get(self._holder, 0)
        after = value["holders"].get(self._holder, 0)
        self._ledger.lower(team, after)
        self._tell(team)
        conditions = {allowances.KEY_PREFIX + team: state.row_version}
        if after > before and self._head_row_version is not None:
            conditions["config/head"] = self._head_row_version
        writes = {allowances.KEY_PREFIX + team: value}
        return _Write(team, value, self._committer.submit(conditions, writes))

    def _plan(self, team: str, state: _TeamState) -> allowances.RowValue | None:
        planned = allowances.plan_change(
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
            recovered = allowances.plan_recovery(
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
        version, holders = allowances.read_value(state.row_value)
        version = max(version, self._version)
        return allowances.RowValue(version=version, holders=holders)

    def _must_write(self, team: str, state: _TeamState) -> bool:
        if state.in_doubt:
            return True
        row_version, holders = allowances.read_value(state.row_value)
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
        key = allowances.KEY_PREFIX + write.team
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
            logs.write(
                "store_unavailable", operation="write_allowance", error=error
            )
            if not write.pending.withdraw():
                state.in_doubt = True
            elif not state.in_doubt:
                self._settle(write.team, state.row_version, state.row_value)

    def _settle(
        self, team: str, row_version: int, value: allowances.RowValue | None
    ) -> None:
        state = self._teams[team]
        state.unseen = False
        state.row_version = row_version
        state.row_value = value
        state.in_doubt = False
        value_version, holders = allowances.read_value(value)
        if sum(holders.values()) > state.limit:
            state.restricted = True
        elif value_version >= self._version:
            state.restricted = False
        self._ledger.set_held(team, holders.get(self._holder, 0))
        self._ledger.restrict(team, state.restricted)
        self._tell(team)
        excess = allowances.count_excess(
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
