"""Queues of waiting requests, in lanes of like requests.

A lane holds the requests of one team, queue, kind and rough size in order. A
lane whose head fits nowhere is set aside, so that it costs nothing until a
target has room for the head, and does not block the lanes behind it.
"""

import bisect
import collections
import enum
import functools
import heapq
import itertools
import math

from quetzalswitch import records

# Steps of one fifth in size: fine enough that what follows a blocked head in
# its lane would not fit either, coarse enough that lanes stay few.
_STEPS_PER_DOUBLING = 4


class Tier(enum.IntEnum):
    """Order in which waiting requests are considered."""

    OVERDUE = 0
    URGENT = 1
    PATIENT = 2


_TIERS = tuple(Tier)


class LaneState(enum.Enum):
    """Why a lane is or is not considered."""

    EMPTY = "empty"
    READY = "ready"
    BLOCKED = "fits on no target at present"
    CAPPED = "the team's allowance is in use"


class Entry:
    """A waiting request.

    Attributes:
        request: The request.
        size: Size to reserve for one task.
        tier: Tier that it is considered in.
        order: Position in its lane; the lowest is first.
        alive: Whether it still waits.
        lane: Its lane.
        avoid: Targets not to use.
        queued_s: Time since which it has been waiting.
        has_run: Whether an earlier attempt of it may have run.
        hold_not_before_s: Time before which no room is held for it again.
    """

    __slots__ = (
        "request",
        "size",
        "tier",
        "order",
        "alive",
        "lane",
        "avoid",
        "queued_s",
        "has_run",
        "hold_not_before_s",
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
        self.alive = True
        self.lane: Lane | None = None
        self.avoid: frozenset[str] = frozenset()
        self.queued_s = queued_s
        self.has_run = False
        self.hold_not_before_s = 0.0


class Lane:
    """Requests of one team, queue, kind and rough size, in order.

    Attributes:
        tier: Tier that it is considered in.
        team: Team of its requests.
        rank: Order among the lanes of the team; the lowest is first.
        serial: Number of the lane.
        is_gang: Whether its requests have several tasks.
        heap: Its entries by order, with some that no longer wait.
        state: Why it is or is not considered.
        key: Its present position among the lanes of the team.
        tried: Number of the offer that its head last failed to use.
        tried_s: Time at which its head last fitted nowhere.
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
        "tried",
        "tried_s",
    )

    def __init__(
        self, tier: Tier, team: str, rank: tuple, serial: int, is_gang: bool
    ):
        self.tier = tier
        self.team = team
        self.rank = rank
        self.serial = serial
        self.is_gang = is_gang
        self.heap: list[tuple[float, int, Entry]] = []
        self.state = LaneState.EMPTY
        self.key: tuple = ()
        self.tried = -1
        self.tried_s = 0.0

    def head(self) -> Entry | None:
        """Returns the first entry that still waits, or None."""
        heap = self.heap
        while heap and not heap[0][2].alive:
            heapq.heappop(heap)
        return heap[0][2] if heap else None

    def first(self, count: int) -> list[Entry]:
        """Returns some of the first entries, the head among them.

        They are taken from the top of the heap and not fully sorted.
        """
        self.head()
        return [item[2] for item in self.heap[:count] if item[2].alive]


class QueueSet:
    """All waiting requests of one scheduler."""

    def __init__(self):
        self.entries: dict[str, Entry] = {}
        self.by_team: collections.Counter = collections.Counter()
        self.by_queue: collections.Counter = collections.Counter()
        self.by_tier: collections.Counter = collections.Counter()
        self._lanes: dict[tuple, Lane] = {}
        self._serials = itertools.count()
        self._ready: dict[tuple[Tier, str], list] = {}
        self._teams: dict[Tier, list] = {tier: [] for tier in Tier}
        self._team_keys: dict[str, float] = {}
        self._blocked: dict[Tier, dict[int, Lane]] = {t: {} for t in Tier}
        self._blocked_of: dict[Tier, dict[str, list]] = {
            tier: {} for tier in Tier
        }
        self._capped: dict[str, dict[int, Lane]] = collections.defaultdict(dict)

    def add(self, entry: Entry, priority: int) -> None:
        """Queues an entry behind those of its lane with a lower order."""
        request = entry.request
        self.entries[request.key] = entry
        self.by_team[request.team] += 1
        self.by_queue[request.queue] += 1
        self.by_tier[entry.tier] += 1
        lane = self._find_lane(entry, priority)
        entry.lane = lane
        first = lane.head()
        heapq.heappush(lane.heap, (entry.order, next(self._serials), entry))
        if first is None or entry.order < first.order:
            self._set_ready(lane)

    def remove(self, entry: Entry) -> None:
        """Takes an entry out in constant time; its lane skips it later."""
        request = entry.request
        entry.alive = False
        del self.entries[request.key]
        self.by_team[request.team] -= 1
        self.by_queue[request.queue] -= 1
        self.by_tier[entry.tier] -= 1

    def next_lane(self, tier: Tier) -> Lane | None:
        """Returns the lane to consider next in a tier, or None."""
        teams = self._teams[tier]
        while teams:
            lanes = self._ready[tier, teams[0][1]]
            lane = lanes[0][1]
            head = lane.head()
            if head is not None and head.order == lane.key[-2]:
                return lane
            self._set_ready(lane)
        return None

    def block(self, lane: Lane) -> None:
        """Sets a lane aside whose head fits nowhere."""
        self._leave(lane)
        lane.state = LaneState.BLOCKED
        self._blocked[lane.tier][lane.serial] = lane
        if not lane.is_gang:
            by_team = self._blocked_of[lane.tier]
            lanes = by_team.get(lane.team)
            if lanes is None:
                lanes = []
                by_team[lane.team] = lanes
            bisect.insort(lanes, (lane.key, lane))

    def cap(self, lane: Lane) -> None:
        """Sets a lane aside whose team has no allowance left."""
        self._leave(lane)
        lane.state = LaneState.CAPPED
        self._capped[lane.team][lane.serial] = lane

    def offer(self, room: records.Resources, offer: int) -> Lane | None:
        """Considers again the first blocked lane whose head fits the room.

        Only the first: the others would find the room taken. Lanes of gangs
        are left out, since no single target decides about them.

        Args:
            room: Room on the target that is offered.
            offer: Number of the offer; lanes that tried it are left out.

        Returns:
            The lane, or None if no head fits.
        """
        for tier in _TIERS:
            by_team = self._blocked_of[tier]
            for team in sorted(by_team, key=self._team_keys.__getitem__):
                for _, lane in by_team[team]:
                    head = lane.head()
                    if head is None or (
                        lane.tried != offer and head.size.fits_in(room)
                    ):
                        self._set_ready(lane)
                        if head is not None:
                            return lane
                        break
        return None

    def reconsider(self, lane: Lane) -> None:
        """Considers a lane again that was set aside."""
        self._set_ready(lane)

    def uncap(self, team: str) -> None:
        """Considers again the lanes that waited for a team's allowance."""
        for lane in list(self._capped[team].values()):
            self._set_ready(lane)

    def blocked(self, tier: Tier) -> list[Lane]:
        """Returns the lanes of a tier whose head fits nowhere."""
        return list(self._blocked[tier].values())

    def has_blocked(self, tier: Tier) -> bool:
        """Tells whether any lane of a tier fits nowhere."""
        return bool(self._blocked[tier])

    def wanting(self, tier: Tier) -> list[Lane]:
        """Returns the lanes of a tier that wait for room, ready or blocked."""
        lanes = list(self._blocked[tier].values())
        for _, team in self._teams[tier]:
            lanes += [lane for _, lane in self._ready[tier, team]]
        return lanes

    def set_aside(self) -> list[Lane]:
        """Returns the lanes that are blocked or capped."""
        lanes = [*self._blocked.values(), *self._capped.values()]
        return [lane for group in lanes for lane in group.values()]

    def capped(self, team: str) -> list[Lane]:
        """Returns the lanes of a team that wait for its allowance."""
        return list(self._capped[team].values())

    def settle(self, lane: Lane) -> None:
        """Puts a lane where it belongs after its head was taken."""
        self._set_ready(lane)

    def set_team_key(self, team: str, key: float) -> None:
        """Sets the position of a team; the lowest key comes first."""
        old = self._team_keys.get(team, 0.0)
        self._team_keys[team] = key
        if old == key:
            return
        for tier, teams in self._teams.items():
            if self._ready.get((tier, team)):
                _discard(teams, (old, team))
                bisect.insort(teams, (key, team))

    def _find_lane(self, entry: Entry, priority: int) -> Lane:
        request = entry.request
        rank = (-priority, _rank_kind(request.kind))
        name = (
            entry.tier,
            request.team,
            request.queue,
            rank,
            request.task_count,
            rough_size(entry.size),
            # What must avoid a target must not block those that need not.
            entry.avoid,
        )
        lane = self._lanes.get(name)
        if lane is None:
            serial = next(self._serials)
            is_gang = request.task_count > 1
            lane = Lane(entry.tier, request.team, rank, serial, is_gang)
            self._lanes[name] = lane
        return lane

    def _set_ready(self, lane: Lane) -> None:
        self._leave(lane)
        head = lane.head()
        if head is None:
            return
        lane.state = LaneState.READY
        lane.key = (*lane.rank, head.order, lane.serial)
        place = (lane.tier, lane.team)
        lanes = self._ready.get(place)
        if lanes is None:
            lanes = []
            self._ready[place] = lanes
        if not lanes:
            key = self._team_keys.setdefault(lane.team, 0.0)
            bisect.insort(self._teams[lane.tier], (key, lane.team))
        bisect.insort(lanes, (lane.key, lane))

    def _drop_blocked(self, lane: Lane) -> None:
        by_team = self._blocked_of[lane.tier]
        lanes = by_team[lane.team]
        _discard(lanes, (lane.key, lane))
        if not lanes:
            del by_team[lane.team]

    def _leave(self, lane: Lane) -> None:
        match lane.state:
            case LaneState.READY:
                lanes = self._ready[lane.tier, lane.team]
                _discard(lanes, (lane.key, lane))
                if not lanes:
                    key = self._team_keys[lane.team]
                    _discard(self._teams[lane.tier], (key, lane.team))
            case LaneState.BLOCKED:
                del self._blocked[lane.tier][lane.serial]
                if not lane.is_gang:
                    self._drop_blocked(lane)
            case LaneState.CAPPED:
                del self._capped[lane.team][lane.serial]
        lane.state = LaneState.EMPTY


def _discard(items: list, item: tuple) -> None:
    # Teams are tens and lanes of a team at most hundreds; for so few a plain
    # list is faster than a sorted container.
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
def rough_size(size: records.Resources) -> tuple[int, int, int]:
    """Returns the size in steps of about one fifth."""
    return (
        round(math.log2(size.cores + 0.01) * _STEPS_PER_DOUBLING),
        round(math.log2(size.memory_mb + 1) * _STEPS_PER_DOUBLING),
        size.accelerators,
    )
