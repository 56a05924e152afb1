"""The controlled targets, the attempts on them, and their allocations.

All counts of used capacity are updated here only.
"""

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


class RunningAttempt:
    """An attempt that was sent to a target and has not ended.

    Attributes:
        attempt: The attempt.
        request: Its request; None when it was started by another entry.
        node: Its target; None while this entry does not control the target.
        own: Whether it is charged to this entry process's allowance.
        sent_s: Time of the decision to start it.
        started_s: Time at which the target confirmed the start.
        end_s: Expected end.
        peak: Highest usage reported.
        stopping: Whether the decision to stop it has been made.
        throttled: Whether it has been throttled.
        backfill: Whether it runs on capacity reserved for another request.
        preemption_key: Its sort key among the preemptible attempts of its
            team; None if it is not one of them.
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
        "preemption_key",
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
        self.preemption_key: tuple | None = None


def preemption_cost(request: records.Request | None) -> int | None:
    """Returns 0 if preemption loses no work, 1 if some, None if not allowed.

    Only idempotent batch tasks and gangs are preempted: callers wait for
    urgent work, and services keep connections open.
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
        self.running: dict[str, RunningAttempt] = {}
        self.by_request: dict[str, set[str]] = collections.defaultdict(set)
        self.preemptible_by_team: dict[str, list[tuple]] = (
            collections.defaultdict(list)
        )
        self.service_spread: dict[tuple[str, str], collections.Counter] = {}
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

    def add_node(
        self, target: records.Target, out_of_service: bool
    ) -> packing.Node:
        """Adds a target without attempts."""
        node = self.index.make_node(target)
        node.out_of_service = out_of_service
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

    def remove_node(self, target_id: str) -> list[RunningAttempt]:
        """Removes a target; its attempts stay charged until they end."""
        node = self.nodes.pop(target_id)
        target = node.target
        del self.racks[target.rack][target_id]
        self.probes.pop(target_id, None)
        detached = [self.running[attempt] for attempt in node.attempts]
        for running in detached:
            self._detach(running)
        self.index.remove(node)
        node.out_of_service = True
        self.capacity = self.capacity.minus(target.capacity)
        self._largest = None
        self._shapes = None
        self.slots -= target.slots
        self._count_open(node, 0)
        self._shares.set_capacity(self.capacity, self.slots)
        return detached

    def attach(self, running: RunningAttempt, node: packing.Node) -> None:
        """Allocates capacity to an attempt and charges it to its team."""
        attempt = running.attempt
        if attempt.attempt_id not in self.running:
            self.running[attempt.attempt_id] = running
            self.by_request[attempt.request_key].add(attempt.attempt_id)
            self._shares.team(attempt.team).charged += running.own
        running.node = node
        node.allocate(attempt.attempt_id, attempt.size)
        self._shares.charge(attempt.team, attempt.size)
        self._count_spread(running, 1)
        self._add_preemptible(running)
        self.refresh(node)

    def end(self, attempt_id: str) -> RunningAttempt | None:
        """Removes an attempt and returns it, or None if it is unknown."""
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

    def mark_stopping(self, running: RunningAttempt) -> None:
        """Marks an attempt whose capacity is about to become free."""
        self._remove_preemptible(running)
        if running.node is None:
            return
        running.stopping = True
        attempt = running.attempt
        self._shares.record_stopping(attempt.team, attempt.size, 1)
        self._shares.team(attempt.team).stopping_own += running.own

    def refresh(self, node: packing.Node) -> None:
        """Updates the index and the counts after a target has changed."""
        is_open = node.open_at(self._clock.now())
        self.index.refresh(node, is_open)
        self._count_open(node, max(0, node.slots()) if is_open else 0)

    def set_out_of_service(
        self, node: packing.Node, out_of_service: bool
    ) -> None:
        """Takes a target out of service, or returns it to service.

        Starts on a returned target are limited at first.
        """
        if node.out_of_service == out_of_service:
            return
        node.out_of_service = out_of_service
        if not out_of_service:
            node.ramp_end_s = self._clock.now() + self._policy.ramp_s
            self.freed.append(node)
        self.refresh(node)

    def close_until(self, node: packing.Node, until_s: float) -> None:
        """Prevents starts on a target before the given time."""
        node.closed_until_s = until_s
        heapq.heappush(self._timers, (until_s, next(self._serials), node))
        self.refresh(node)

    def limit_ramp(self, node: packing.Node) -> None:
        """Delays the next start on a target that has returned recently."""
        now_s = self._clock.now()
        policy = self._policy
        if now_s >= node.ramp_end_s:
            return
        passed_s = policy.ramp_s - (node.ramp_end_s - now_s)
        rate = policy.ramp_starts_per_s * 2.0 ** (
            4.0 * passed_s / policy.ramp_s
        )
        self.close_until(node, now_s + 1.0 / rate)

    def reopen_targets(self) -> None:
        """Reopens the targets whose closing time has passed."""
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

    def preemptible(self) -> typing.Iterator[RunningAttempt]:
        """Yields preemptible attempts of all teams, least work lost first."""
        keys = heapq.merge(*self.preemptible_by_team.values())
        return (self.running[key[2]] for key in keys)

    def is_below_reserve(self, fraction: float) -> bool:
        """Returns whether at most this fraction of slots or cores is free."""
        return (
            self.free_slots <= fraction * self.slots
            or self.free_cores <= fraction * self.capacity.cores
        )

    def largest(self) -> records.Resources:
        """Returns the largest capacity of any target for each resource."""
        if self._largest is None:
            sizes = [node.target.capacity for node in self.nodes.values()]
            self._largest = records.Resources(
                *map(max, zip(packing.NO_RESOURCES, *sizes, strict=True))
            )
        return self._largest

    def max_memory_mb(self, size: records.Resources) -> int | None:
        """Returns the most memory of any target with room for this size.

        Returns:
            Memory in MB, or None if no target is large enough.
        """
        if self._shapes is None:
            nodes = self.nodes.values()
            self._shapes = {node.target.capacity for node in nodes}
        fits = (c.memory_mb for c in self._shapes if size.fits_in(c))
        return max(fits, default=None)

    def could_fit(self, request: records.Request) -> bool:
        """Returns whether all local targets, if empty, could fit a request."""
        fitting = 0
        for node in self.nodes.values():
            target = node.target
            fitting += fleet.count_fits(
                request.size, target.capacity, target.slots
            )
            if fitting >= request.task_count:
                return True
        return False

    def _count_open(self, node: packing.Node, slots: int) -> None:
        cores = node.available().cores if slots else 0.0
        self.free_slots += slots - node.counted_slots
        self.free_cores += cores - node.counted_cores
        node.counted_slots = slots
        node.counted_cores = cores

    def _detach(self, running: RunningAttempt) -> None:
        attempt = running.attempt
        node = running.node
        node.release(attempt.attempt_id, attempt.size)
        self._shares.release(attempt.team, attempt.size)
        if running.stopping:
            self._shares.record_stopping(attempt.team, attempt.size, -1)
            self._shares.team(attempt.team).stopping_own -= running.own
        self._count_spread(running, -1)
        self._remove_preemptible(running)
        running.stopping = False
        running.node = None

    def _add_preemptible(self, running: RunningAttempt) -> None:
        rank = preemption_cost(running.request)
        if rank is None or running.stopping:
            return
        attempt_id = running.attempt.attempt_id
        # The newest attempt comes first, since it loses the least work.
        running.preemption_key = (rank, -running.sent_s, attempt_id)
        keys = self.preemptible_by_team[running.attempt.team]
        bisect.insort(keys, running.preemption_key)

    def _remove_preemptible(self, running: RunningAttempt) -> None:
        if running.preemption_key is None:
            return
        keys = self.preemptible_by_team[running.attempt.team]
        del keys[bisect.bisect_left(keys, running.preemption_key)]
        running.preemption_key = None

    def _count_spread(self, running: RunningAttempt, change: int) -> None:
        request = running.request
        if request is None:
            return
        match request.kind:
            case records.Service():
                key = (request.team, request.queue)
                counts = self.service_spread.setdefault(
                    key, collections.Counter()
                )
                target = running.node.target
                counts[target.failure_domain] += change
                counts[target.rack] += change


def order_domains(
    cluster: Cluster, request: records.Request
) -> typing.Sequence[str]:
    """Returns the failure domains, those with fewest tasks of it first."""
    counts = cluster.service_spread.get((request.team, request.queue), {})
    return sorted(cluster.index.domains(), key=lambda d: counts.get(d, 0))
