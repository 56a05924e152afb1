"""Targets, the attempts on them and what both use; one owner of the counts."""

import bisect
import collections
import heapq
import itertools
import typing

from quetzalswitch import clock as clocks
from quetzalswitch import fleet
from quetzalswitch import packing
from quetzalswitch import policy as policies
from quetzalswitch import records
from quetzalswitch import shares as share_table
from quetzalswitch.peers import protocol


class Running:
    """An attempt that was sent to a target and has not ended.

    Attributes:
        attempt: The attempt.
        request: Its request; None when it was started by another entry.
        node: Its target; None while the target is not under control here.
        own: Whether it is charged to this entry's allowance.
        sent_s: Time of the decision to start it.
        started_s: Time at which the target confirmed the start.
        end_s: Expected end.
        peak: Highest usage reported.
        stopping: Whether its stop has been decided.
        throttled: Whether it has been throttled.
        backfill: Whether it was started on room held for another request.
    """

    __slots__ = (
        "attempt",
        "request",
        "node",
        "own",
        "sent_s",
        "started_s",
        "end_s",
        "peak",
        "stopping",
        "throttled",
        "backfill",
        "move_key",
    )

    def __init__(
        self,
        attempt: records.Attempt,
        request: records.Request | None,
        own: bool,
        sent_s: float,
        end_s: float,
    ):
        self.attempt = attempt
        self.request = request
        self.node: packing.Node | None = None
        self.own = own
        self.sent_s = sent_s
        self.started_s: float | None = None
        self.end_s = end_s
        self.peak = packing.NO_RESOURCES
        self.stopping = False
        self.throttled = False
        self.backfill = False
        self.move_key: tuple | None = None


def movability(request: records.Request | None) -> int | None:
    """Returns 0 if preemption loses no work, 1 if some, None if barred.

    Only idempotent batch work and gangs are moved: somebody waits for urgent
    work, and services hold connections of their own.
    """
    if request is None or not request.idempotent:
        return None
    match request.kind:
        case records.Batch(checkpointable=True):
            return 0
        case records.Batch() | records.Gang():
            return 1
        case _:
            return None


class Cluster:
    """The targets that this scheduler controls."""

    def __init__(
        self,
        clock: clocks.Clock,
        policy: policies.Policy,
        shares: share_table.Shares,
    ):
        self._clock = clock
        self._policy = policy
        self._shares = shares
        self._timers: list[tuple[float, int, packing.Node]] = []
        self._serials = itertools.count()
        self.index = packing.TargetIndex(
            policy.fit_candidates, policy.balance_weight
        )
        self.nodes: dict[str, packing.Node] = {}
        self.racks: dict[str, dict[str, packing.Node]] = {}
        self.running: dict[str, Running] = {}
        self.by_request: dict[str, set[str]] = collections.defaultdict(set)
        self.movable_of: dict[str, list[tuple]] = collections.defaultdict(list)
        self.spread: dict[tuple[str, str], collections.Counter] = {}
        self.probes: dict[str, packing.Node] = {}
        self.freed: list[packing.Node] = []
        self.capacity = packing.NO_RESOURCES
        self._largest: records.Resources | None = None
        self._shapes: set[records.Resources] | None = None
        self.slots = 0
        self.free_slots = 0
        self.free_cores = 0.0

    def find_domain(self, target_id: str) -> str:
        """Returns the failure domain of a target, or "" if it is not here."""
        node = self.nodes.get(target_id)
        return node.target.failure_domain if node is not None else ""

    def shapes(self) -> list[protocol.Shape]:
        """Returns the distinct sizes of the targets."""
        counts = collections.Counter(
            (node.target.capacity, node.target.slots)
            for node in self.nodes.values()
        )
        return [
            protocol.Shape(size, slots, count)
            for (size, slots), count in counts.items()
        ]

    def add_node(self, target: records.Target, out: bool) -> packing.Node:
        """Adds a target without attempts."""
        node = self.index.make_node(target)
        node.out_of_service = out
        self.nodes[target.target_id] = node
        self.racks.setdefault(target.rack, {})[target.target_id] = node
        self.capacity = self.capacity.plus(target.capacity)
        self._largest = None
        self._shapes = None
        self.slots += target.slots
        self._shares.set_capacity(self.capacity, self.slots)
        self.refresh(node)
        self.freed.append(node)
        return node

    def remove_node(self, target_id: str) -> list[Running]:
        """Takes a target away; its attempts stay charged until they end."""
        node = self.nodes.pop(target_id)
        target = node.target
        del self.racks[target.rack][target_id]
        self.probes.pop(target_id, None)
        detached = [self.running[attempt] for attempt in node.attempts]
        for running in detached:
            self._detach(running)
        self.index.forget(node)
        node.out_of_service = True
        self.capacity = self.capacity.minus(target.capacity)
        self._largest = None
        self._shapes = None
        self.slots -= target.slots
        self._count_slots(node, 0)
        self._shares.set_capacity(self.capacity, self.slots)
        return detached

    def attach(self, running: Running, node: packing.Node) -> None:
        """Reserves room for an attempt and charges it."""
        attempt = running.attempt
        if attempt.attempt_id not in self.running:
            self.running[attempt.attempt_id] = running
            self.by_request[attempt.request_key].add(attempt.attempt_id)
            self._shares.team(attempt.team).charged += running.own
        running.node = node
        node.allocate(attempt.attempt_id, attempt.size)
        self._shares.charge(attempt.team, attempt.size)
        self._count_spread(running, 1)
        self._set_movable(running)
        self.refresh(node)

    def end(self, attempt_id: str) -> Running | None:
        """Takes an attempt away and returns it; None if it is not known."""
        running = self.running.pop(attempt_id, None)
        if running is None:
            return None
        attempt = running.attempt
        siblings = self.by_request[attempt.request_key]
        siblings.discard(attempt_id)
        if not siblings:
            del self.by_request[attempt.request_key]
        self._shares.team(attempt.team).charged -= running.own
        node = running.node
        if node is not None:
            self._detach(running)
            self.refresh(node)
            self.freed.append(node)
        return running

    def mark_stopping(self, running: Running) -> None:
        """Notes that an attempt is about to give its room back."""
        self._drop_movable(running)
        if running.node is None:
            return
        running.stopping = True
        attempt = running.attempt
        self._shares.note_stopping(attempt.team, attempt.size, 1)
        self._shares.team(attempt.team).stopping_own += running.own

    def refresh(self, node: packing.Node) -> None:
        """Files a target by its present room and state."""
        is_open = node.open_at(self._clock.now())
        self.index.refresh(node, is_open)
        self._count_slots(node, max(0, node.slots()) if is_open else 0)

    def set_out(self, node: packing.Node, out: bool) -> None:
        """Takes a target out of service, or returns it with limited starts."""
        if node.out_of_service == out:
            return
        node.out_of_service = out
        if not out:
            node.ramp_end_s = self._clock.now() + self._policy.ramp_s
            self.freed.append(node)
        self.refresh(node)

    def gate(self, node: packing.Node, until_s: float) -> None:
        """Starts nothing on a target before the given time."""
        node.gate_s = until_s
        heapq.heappush(self._timers, (until_s, next(self._serials), node))
        self.refresh(node)

    def limit_ramp(self, node: packing.Node) -> None:
        """Delays the next start on a target that was returned lately."""
        now_s = self._clock.now()
        policy = self._policy
        if now_s >= node.ramp_end_s:
            return
        passed_s = policy.ramp_s - (node.ramp_end_s - now_s)
        rate = policy.ramp_starts_per_s * 2.0 ** (
            4.0 * passed_s / policy.ramp_s
        )
        self.gate(node, now_s + 1.0 / rate)

    def wake(self) -> None:
        """Opens the targets whose waiting time is over."""
        now_s = self._clock.now()
        while self._timers and self._timers[0][0] <= now_s:
            _, _, node = heapq.heappop(self._timers)
            target_id = node.target.target_id
            if self.nodes.get(target_id) is not node:
                continue
            if node.quarantined:
                self.probes[target_id] = node
            self.refresh(node)
            self.freed.append(node)

    def movable(self) -> typing.Iterator[Running]:
        """Yields movable attempts of all teams, least work lost first."""
        keys = heapq.merge(*self.movable_of.values())
        return (self.running[key[2]] for key in keys)

    def is_reserved(self, part: float) -> bool:
        """Tells whether no more than a part of slots or cores is open."""
        return (
            self.free_slots <= part * self.slots
            or self.free_cores <= part * self.capacity.cores
        )

    def largest(self) -> records.Resources:
        """Returns the largest size of each resource of any one target."""
        if self._largest is None:
            sizes = [node.target.capacity for node in self.nodes.values()]
            self._largest = records.Resources(
                *map(max, zip(packing.NO_RESOURCES, *sizes, strict=True))
            )
        return self._largest

    def most_memory_mb(self, size: records.Resources) -> int | None:
        """Returns the most memory of a target that could hold a size."""
        if self._shapes is None:
            nodes = self.nodes.values()
            self._shapes = {node.target.capacity for node in nodes}
        fits = (c.memory_mb for c in self._shapes if size.fits_in(c))
        return max(fits, default=None)

    def could_hold(self, request: records.Request) -> bool:
        """Tells whether all our targets together could hold a request."""
        room = 0
        for node in self.nodes.values():
            target = node.target
            room += fleet.count_fits(
                request.size, target.capacity, target.slots
            )
            if room >= request.task_count:
                return True
        return False

    def _count_slots(self, node: packing.Node, slots: int) -> None:
        cores = node.room().cores if slots else 0.0
        self.free_slots += slots - node.counted_slots
        self.free_cores += cores - node.counted_cores
        node.counted_slots = slots
        node.counted_cores = cores

    def _detach(self, running: Running) -> None:
        attempt = running.attempt
        node = running.node
        node.release(attempt.attempt_id, attempt.size)
        self._shares.release(attempt.team, attempt.size)
        if running.stopping:
            self._shares.note_stopping(attempt.team, attempt.size, -1)
            self._shares.team(attempt.team).stopping_own -= running.own
        self._count_spread(running, -1)
        self._drop_movable(running)
        running.stopping = False
        running.node = None

    def _set_movable(self, running: Running) -> None:
        rank = movability(running.request)
        if rank is None or running.stopping:
            return
        attempt_id = running.attempt.attempt_id
        # The newest first: it has the least work to lose.
        running.move_key = (rank, -running.sent_s, attempt_id)
        keys = self.movable_of[running.attempt.team]
        bisect.insort(keys, running.move_key)

    def _drop_movable(self, running: Running) -> None:
        if running.move_key is None:
            return
        keys = self.movable_of[running.attempt.team]
        del keys[bisect.bisect_left(keys, running.move_key)]
        running.move_key = None

    def _count_spread(self, running: Running, change: int) -> None:
        request = running.request
        if request is None:
            return
        match request.kind:
            case records.Service():
                key = (request.team, request.queue)
                counts = self.spread.setdefault(key, collections.Counter())
                target = running.node.target
                counts[target.failure_domain] += change
                counts[target.rack] += change


def order_domains(
    cluster: Cluster, request: records.Request
) -> typing.Sequence[str]:
    """Returns the failure domains, fewest tasks of the service first."""
    counts = cluster.spread.get((request.team, request.queue), {})
    return sorted(cluster.index.domains(), key=lambda d: counts.get(d, 0))
