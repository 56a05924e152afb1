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

import typing

KEY_PREFIX = "allowance/"
# The longest task lease is 60 s; the rest covers rounding at the target.
RECOVERY_AFTER_S = 65.0


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

    def set_held(self, team: str, count: int) -> None:
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
    row_version, holders = read_value(row_value)
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
    version, holders = read_value(row_value)
    count = holders.get(dead_holder, 0)
    if not reports_complete or since_death_s < RECOVERY_AFTER_S:
        return None
    if foreign_running >= count:
        return None
    return _make_value(version, holders, dead_holder, foreign_running)


def count_excess(
    row_value: RowValue | None, limit: int, holder: str, used: int
) -> int:
    """Returns how many running tasks a holder should stop.

    Each holder is to keep a part of the limit in proportion to its count, so
    that the holders' parts sum up to no more than the limit.
    """
    _, holders = read_value(row_value)
    total = sum(holders.values())
    if total <= limit:
        return 0
    return max(0, used - limit * holders.get(holder, 0) // total)


def read_value(row_value: RowValue | None) -> tuple[int, dict[str, int]]:
    """Returns the configuration version and the holders of a row."""
    if row_value is None:
        return 0, {}
    return row_value["version"], row_value["holders"]


def _make_value(
    version: int, holders: dict[str, int], holder: str, count: int
) -> RowValue:
    changed = {**holders, holder: count}
    kept = {name: number for name, number in changed.items() if number > 0}
    return RowValue(version=version, holders=kept)
