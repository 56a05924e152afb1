"""Queues of waiting requests, grouped into equivalence classes.

A group holds the requests of one team, queue, kind and approximate size in
order. A group whose head fits on no target is marked as blocked. It is not
considered again until a target has enough free capacity for the head, and it
does not delay the groups behind it.
"""

import bisect
import collections
import enum
import functools
import heapq
import itertools
import math

from quetzalswitch import records

# Sizes are rounded to steps of about one fifth. That is fine enough that the
# requests behind a blocked head would not fit either, and coarse enough to
# keep the number of groups small.
_STEPS_PER_DOUBLING = 4


class Tier(enum.IntEnum):
    """Order in which waiting requests are considered."""

    OVERDUE = 0
    URGENT = 1
    PATIENT = 2


_TIERS = tuple(Tier)


class GroupState(enum.Enum):
    """Why the scheduler does or does not consider a group."""

    EMPTY = "empty"
    READY = "ready"
    BLOCKED = "fits on no target at present"
    CAPPED = "the team's allowance is used up"


class QueueEntry:
    """A waiting request.

    Attributes:
        request: The request.
        size: Resources to allocate for one task.
        tier: Tier that it is scheduled in.
        order: Sort key within its group; the lowest is first.
        is_waiting: Whether it still waits.
        group: Its group.
        avoid: Targets not to use.
        queued_s: Time since which it has been waiting.
        has_run: Whether an earlier attempt of it may have run.
        reservation_not_before_s: Time before which no capacity is reserved
            for it again.
    """

    __slots__ = (
        "request",
        "size",
        "tier",
        "order",
        "is_waiting",
        "group",
        "avoid",
        "queued_s",
        "has_run",
        "reservation_not_before_s",
    )

    def __init__(
        self,
        request: records.Request,
        size: records.Resources,
        tier: Tier,
        order: float,
        queued_s: float,
    ):
        self.request = request
        self.size = size
        self.tier = tier
        self.order = order
        self.is_waiting = True
        self.group: RequestGroup | None = None
        self.avoid: frozenset[str] = frozenset()
        self.queued_s = queued_s
        self.has_run = False
        self.reservation_not_before_s = 0.0


class RequestGroup:
    """Requests of one team, queue, kind and approximate size, in order.

    Attributes:
        tier: Tier that it is scheduled in.
        team: Team of its requests.
        rank: Sort key among the groups of the team; the lowest is first.
        serial: Number of the group.
        is_gang: Whether its requests have several tasks.
        heap: Its entries by order; removed entries stay until they reach
            the top.
        state: Why it is or is not considered.
        key: Its current sort key among the groups of the team.
        failed_offer: Number of the last offer that its head did not fit.
        failed_at_s: Time at which its head last fitted on no target.
    """

    __slots__ = (
        "tier",
        "team",
        "rank",
        "serial",
        "is_gang",
        "heap",
        "state",
        "key",
        "failed_offer",
        "failed_at_s",
    )

    def __init__(
        self, tier: Tier, team: str, rank: tuple, serial: int, is_gang: bool
    ):
        self.tier = tier
        self.team = team
        self.rank = rank
        self.serial = serial
        self.is_gang = is_gang
        self.heap: list[tuple[float, int, QueueEntry]] = []
        self.state = GroupState.EMPTY
        self.key: tuple = ()
        self.failed_offer = -1
        self.failed_at_s = 0.0

    def head(self) -> QueueEntry | None:
        """Returns the first entry that still waits, or None."""
        heap = self.heap
        while heap and not heap[0][2].is_waiting:
            heapq.heappop(heap)
        return heap[0][2] if heap else None

    def first(self, count: int) -> list[QueueEntry]:
        """Returns some of the first entries, the head among them.

        They come from the top of the heap and are not fully sorted.
        """
        self.head()
        return [item[2] for item in self.heap[:count] if item[2].is_waiting]


class QueueSet:
    """All waiting requests of one scheduler."""

    def __init__(self):
        self.entries: dict[str, QueueEntry] = {}
        self.by_team: collections.Counter = collections.Counter()
        self.by_queue: collections.Counter = collections.Counter()
        self.by_tier: collections.Counter = collections.Counter()
        self._groups: dict[tuple, RequestGroup] = {}
        self._serials = itertools.count()
        self._ready: dict[tuple[Tier, str], list] = {}
        self._teams: dict[Tier, list] = {tier: [] for tier in Tier}
        self._team_keys: dict[str, float] = {}
        self._blocked: dict[Tier, dict[int, RequestGroup]] = {
            t: {} for t in Tier
        }
        self._blocked_by_team: dict[Tier, dict[str, list]] = {
            tier: {} for tier in Tier
        }
        self._capped: dict[str, dict[int, RequestGroup]] = (
            collections.defaultdict(dict)
        )

    def add(self, entry: QueueEntry, priority: int) -> None:
        """Adds an entry to its group, sorted by its order."""
        request = entry.request
        self.entries[request.key] = entry
        self.by_team[request.team] += 1
        self.by_queue[request.queue] += 1
        self.by_tier[entry.tier] += 1
        group = self._find_group(entry, priority)
        entry.group = group
        first = group.head()
        heapq.heappush(group.heap, (entry.order, next(self._serials), entry))
        if first is None or entry.order < first.order:
            self._set_ready(group)

    def remove(self, entry: QueueEntry) -> None:
        """Removes an entry in constant time; its group skips it later."""
        request = entry.request
        entry.is_waiting = False
        del self.entries[request.key]
        self.by_team[request.team] -= 1
        self.by_queue[request.queue] -= 1
        self.by_tier[entry.tier] -= 1

    def next_group(self, tier: Tier) -> RequestGroup | None:
        """Returns the group to consider next in a tier, or None."""
        teams = self._teams[tier]
        while teams:
            groups = self._ready[tier, teams[0][1]]
            group = groups[0][1]
            head = group.head()
            if head is not None and head.order == group.key[-2]:
                return group
            self._set_ready(group)
        return None

    def block(self, group: RequestGroup) -> None:
        """Marks a group as blocked because its head fits on no target."""
        self._unlink(group)
        group.state = GroupState.BLOCKED
        self._blocked[group.tier][group.serial] = group
        if not group.is_gang:
            by_team = self._blocked_by_team[group.tier]
            groups = by_team.get(group.team)
            if groups is None:
                groups = []
                by_team[group.team] = groups
            bisect.insort(groups, (group.key, group))

    def cap(self, group: RequestGroup) -> None:
        """Marks a group as capped because its team has no allowance left."""
        self._unlink(group)
        group.state = GroupState.CAPPED
        self._capped[group.team][group.serial] = group

    def offer(
        self, available: records.Resources, offer: int
    ) -> RequestGroup | None:
        """Marks the first blocked group whose head fits as ready.

        Only the first group is woken, because it takes the capacity that the
        others would need. Groups of gangs are left out, since one target
        alone does not decide whether a gang fits.

        Args:
            available: Available capacity of the offered target.
            offer: Number of the offer; groups that already failed to
                use this offer are left out.

        Returns:
            The group, or None if no head fits.
        """
        for tier in _TIERS:
            by_team = self._blocked_by_team[tier]
            for team in sorted(by_team, key=self._team_keys.__getitem__):
                for _, group in by_team[team]:
                    head = group.head()
                    if head is None or (
                        group.failed_offer != offer
                        and head.size.fits_in(available)
                    ):
                        self._set_ready(group)
                        if head is not None:
                            return group
                        break
        return None

    def reconsider(self, group: RequestGroup) -> None:
        """Marks a blocked or capped group as ready."""
        self._set_ready(group)

    def uncap(self, team: str) -> None:
        """Marks the groups that waited for a team's allowance as ready."""
        for group in list(self._capped[team].values()):
            self._set_ready(group)

    def blocked(self, tier: Tier) -> list[RequestGroup]:
        """Returns the groups of a tier whose head fits on no target."""
        return list(self._blocked[tier].values())

    def has_blocked(self, tier: Tier) -> bool:
        """Returns whether any group of a tier is blocked."""
        return bool(self._blocked[tier])

    def awaiting_capacity(self, tier: Tier) -> list[RequestGroup]:
        """Returns the ready and the blocked groups of a tier."""
        groups = list(self._blocked[tier].values())
        for _, team in self._teams[tier]:
            groups += [group for _, group in self._ready[tier, team]]
        return groups

    def blocked_or_capped(self) -> list[RequestGroup]:
        """Returns the blocked and the capped groups of all tiers."""
        groups = [*self._blocked.values(), *self._capped.values()]
        return [group for by_serial in groups for group in by_serial.values()]

    def capped(self, team: str) -> list[RequestGroup]:
        """Returns the groups of a team that wait for its allowance."""
        return list(self._capped[team].values())

    def reposition(self, group: RequestGroup) -> None:
        """Sorts a group in again after its head was removed."""
        self._set_ready(group)

    def set_team_key(self, team: str, key: float) -> None:
        """Sets the sort key of a team; the lowest key comes first."""
        old = self._team_keys.get(team, 0.0)
        self._team_keys[team] = key
        if old == key:
            return
        for tier, teams in self._teams.items():
            if self._ready.get((tier, team)):
                _discard(teams, (old, team))
                bisect.insort(teams, (key, team))

    def _find_group(self, entry: QueueEntry, priority: int) -> RequestGroup:
        request = entry.request
        rank = (-priority, _rank_kind(request.kind))
        name = (
            entry.tier,
            request.team,
            request.queue,
            rank,
            request.task_count,
            quantize_size(entry.size),
            # A request that must avoid a target must not block the requests
            # that may use it.
            entry.avoid,
        )
        group = self._groups.get(name)
        if group is None:
            serial = next(self._serials)
            is_gang = request.task_count > 1
            group = RequestGroup(
                entry.tier, request.team, rank, serial, is_gang
            )
            self._groups[name] = group
        return group

    def _set_ready(self, group: RequestGroup) -> None:
        self._unlink(group)
        head = group.head()
        if head is None:
            return
        group.state = GroupState.READY
        group.key = (*group.rank, head.order, group.serial)
        ready_key = (group.tier, group.team)
        groups = self._ready.get(ready_key)
        if groups is None:
            groups = []
            self._ready[ready_key] = groups
        if not groups:
            key = self._team_keys.setdefault(group.team, 0.0)
            bisect.insort(self._teams[group.tier], (key, group.team))
        bisect.insort(groups, (group.key, group))

    def _remove_blocked(self, group: RequestGroup) -> None:
        by_team = self._blocked_by_team[group.tier]
        groups = by_team[group.team]
        _discard(groups, (group.key, group))
        if not groups:
            del by_team[group.team]

    def _unlink(self, group: RequestGroup) -> None:
        match group.state:
            case GroupState.READY:
                groups = self._ready[group.tier, group.team]
                _discard(groups, (group.key, group))
                if not groups:
                    key = self._team_keys[group.team]
                    _discard(self._teams[group.tier], (key, group.team))
            case GroupState.BLOCKED:
                del self._blocked[group.tier][group.serial]
                if not group.is_gang:
                    self._remove_blocked(group)
            case GroupState.CAPPED:
                del self._capped[group.team][group.serial]
        group.state = GroupState.EMPTY


def _discard(items: list, item: tuple) -> None:
    # There are tens of teams and at most hundreds of groups per team. For
    # so few items a plain list is faster than a sorted container.
    del items[bisect.bisect_left(items, item)]


def _rank_kind(kind: records.Kind) -> int:
    match kind:
        case records.LatencyBound():
            return 0
        case records.Service():
            return 1
        case records.Gang() | records.Batch():
            return 2


@functools.lru_cache(maxsize=4096)
def quantize_size(size: records.Resources) -> tuple[int, int, int]:
    """Returns the size rounded to steps of about one fifth."""
    return (
        round(math.log2(size.cores + 0.01) * _STEPS_PER_DOUBLING),
        round(math.log2(size.memory_mb + 1) * _STEPS_PER_DOUBLING),
        size.accelerators,
    )
