"""Reserves capacity for a gang or a task that fits on no target.

Only one request at a time has a reservation, so that two gangs can't deadlock
by waiting for capacity reserved for each other. A reservation only restricts
placement: tasks that end before the planned start may use the capacity
(backfill).
"""

import itertools
import math

from quetzalswitch import cluster as clusters
from quetzalswitch import estimates as estimate_table
from quetzalswitch import packing
from quetzalswitch import placement
from quetzalswitch import policy as policies
from quetzalswitch import queues
from quetzalswitch import records
from quetzalswitch import shares as share_table

# A task past its expected end is assumed to run for this fraction of its age
# longer, because its estimate has proved wrong.
_OVERRUN_FRACTION = 0.5


class Reservation:
    """Capacity reserved for one request.

    Attributes:
        entry: The waiting request.
        tasks_by_node: Number of tasks planned on each target.
        created_s: Time at which it was created.
        start_s: Planned start.
        end_s: Time at which the reservation is abandoned.
    """

    __slots__ = ("entry", "tasks_by_node", "created_s", "start_s", "end_s")

    def __init__(
        self,
        entry: queues.QueueEntry,
        tasks_by_node: dict[packing.Node, int],
        created_s: float,
        start_s: float,
        end_s: float,
    ):
        self.entry = entry
        self.tasks_by_node = tasks_by_node
        self.created_s = created_s
        self.start_s = start_s
        self.end_s = end_s


class Reservations:
    """Plans and releases the current reservation, if any."""

    def __init__(
        self,
        policy: policies.Policy,
        cluster: clusters.Cluster,
        shares: share_table.Shares,
        estimates: estimate_table.Estimates,
        placer: placement.Placer,
    ):
        self._policy = policy
        self._cluster = cluster
        self._shares = shares
        self._estimates = estimates
        self._placer = placer
        self._rotation = 0
        self._rest_until_s = 0.0
        self.current: Reservation | None = None

    def review(self, waiting: list[queues.QueueEntry], now_s: float) -> None:
        """Ends a finished reservation and plans one for the oldest request."""
        reservation = self.current
        if reservation is not None and self._is_over(reservation, now_s):
            self.drop(now_s)
            reservation.entry.reservation_not_before_s = (
                now_s + self._policy.hold_pause_s
            )
        if self.current is not None or now_s < self._rest_until_s:
            return
        for entry in sorted(waiting, key=_submitted_s):
            if now_s >= entry.reservation_not_before_s and self._create(
                entry, now_s
            ):
                return

    def find(self, now_s: float) -> list[packing.Node] | None:
        """Returns the planned targets once all of them have free capacity."""
        reservation = self.current
        if reservation is None or not reservation.entry.is_waiting:
            return None
        request = reservation.entry.request
        usage = self._shares.team(request.team)
        if usage.headroom() < request.task_count:
            return None
        for node, tasks in reservation.tasks_by_node.items():
            if not node.open_at(now_s) or (
                packing.count_fits(node, reservation.entry.size, tasks) < tasks
            ):
                return None
        return [
            node
            for node, n in reservation.tasks_by_node.items()
            for _ in range(n)
        ]

    def find_elsewhere(self, now_s: float) -> list[packing.Node] | None:
        """Returns any fitting targets, ignoring the reservation itself."""
        reservation = self.current
        if reservation is None or not reservation.entry.is_waiting:
            return None
        request = reservation.entry.request
        usage = self._shares.team(request.team)
        if usage.headroom() < request.task_count:
            return None
        self._set_reserved(reservation, False)
        nodes = self._placer.place(reservation.entry, now_s)
        self._set_reserved(reservation, True)
        return nodes

    def find_backfill(
        self, entry: queues.QueueEntry, now_s: float
    ) -> packing.Node | None:
        """Returns a reserved target for a task that ends before the start."""
        reservation = self.current
        if reservation is None or entry is reservation.entry:
            return None
        request = entry.request
        # Backfill must be preemptible, so that a task that overruns its
        # estimate does not delay the reservation.
        if clusters.preemption_cost(request) is None or request.task_count > 1:
            return None
        if now_s + self._estimates.run_time_s(request) > reservation.start_s:
            return None
        for node in reservation.tasks_by_node:
            if not node.open_at(now_s) or node.free_slots <= 0:
                continue
            if node.target.target_id in entry.avoid:
                continue
            if entry.size.fits_in(node.free):
                return node
        return None

    def backfill_overruns(self, now_s: float) -> list[clusters.RunningAttempt]:
        """Returns backfilled attempts still running at the planned start."""
        reservation = self.current
        if reservation is None or now_s < reservation.start_s:
            return []
        return [
            running
            for node in reservation.tasks_by_node
            for running in map(self._cluster.running.get, node.attempts)
            if running.backfill and not running.stopping
        ]

    def drop(self, now_s: float) -> None:
        """Releases the reserved capacity."""
        reservation = self.current
        duration_s = now_s - reservation.created_s
        self._rest_until_s = now_s + self._policy.hold_rest * duration_s
        self.current = None
        self._set_reserved(reservation, False)
        self._cluster.freed.extend(reservation.tasks_by_node)

    def _is_over(self, reservation: Reservation, now_s: float) -> bool:
        if not reservation.entry.is_waiting or now_s >= reservation.end_s:
            return True
        return any(
            node.out_of_service or node.target.leaving or node.quarantined
            for node in reservation.tasks_by_node
        )

    def _create(self, entry: queues.QueueEntry, now_s: float) -> bool:
        tasks = entry.request.task_count
        if tasks > self._shares.team(entry.request.team).allowance:
            return False
        times = []
        for node in self._candidates(now_s):
            for time_s in self._start_times(node, entry, now_s):
                times.append((time_s, node.serial, node))
        if len(times) < tasks:
            return False
        times.sort()
        tasks_by_node: dict[packing.Node, int] = {}
        for _, _, node in times[:tasks]:
            tasks_by_node[node] = tasks_by_node.get(node, 0) + 1
        start_s = times[tasks - 1][0]
        end_s = now_s + self._policy.hold_max_s
        if start_s > end_s:
            return False
        self.current = Reservation(entry, tasks_by_node, now_s, start_s, end_s)
        self._set_reserved(self.current, True)
        return True

    def _candidates(self, now_s: float) -> list[packing.Node]:
        """Returns open targets, a different subset each time if many."""
        nodes = self._cluster.nodes
        count = self._policy.hold_candidates
        if len(nodes) <= count:
            chosen = list(nodes.values())
        else:
            first = self._rotation * count % len(nodes)
            rotated = itertools.chain(nodes.values(), nodes.values())
            chosen = list(itertools.islice(rotated, first, first + count))
        self._rotation += 1
        return [node for node in chosen if node.open_at(now_s)]

    def _start_times(
        self, node: packing.Node, entry: queues.QueueEntry, now_s: float
    ) -> list[float]:
        """Returns the times at which successive tasks would fit on a target."""
        tasks = entry.request.task_count
        ends = sorted(
            (_expected_end_s(running, now_s), running.attempt.size)
            for running in map(self._cluster.running.get, node.attempts)
        )
        free = node.free
        slots = node.free_slots
        times: list[float] = []
        moment_s = now_s
        for end_s, size in [*ends, (math.inf, packing.NO_RESOURCES)]:
            while slots > 0 and len(times) < tasks:
                if not entry.size.fits_in(free):
                    break
                times.append(moment_s)
                free = free.minus(entry.size)
                slots -= 1
            if end_s == math.inf:
                return times
            free = free.plus(size)
            slots += 1
            moment_s = end_s
        return times

    def _set_reserved(self, reservation: Reservation, reserved: bool) -> None:
        size = reservation.entry.size
        for node, tasks in reservation.tasks_by_node.items():
            node.reserved = (
                packing.multiply(size, tasks)
                if reserved
                else packing.NO_RESOURCES
            )
            node.reserved_slots = tasks if reserved else 0
            if self._cluster.nodes.get(node.target.target_id) is node:
                self._cluster.refresh(node)
        usage = self._shares.team(reservation.entry.request.team)
        usage.reserved_tasks = (
            reservation.entry.request.task_count if reserved else 0
        )


def may_reserve(
    entry: queues.QueueEntry, waited_s: float, after_s: float
) -> bool:
    """Returns whether capacity may be reserved for a waiting request."""
    if waited_s < after_s:
        return False
    match entry.request.kind:
        case records.Gang():
            return True
        case _:
            return entry.tier is queues.Tier.OVERDUE


def _submitted_s(entry: queues.QueueEntry) -> float:
    return entry.request.submitted_s


def _expected_end_s(running: clusters.RunningAttempt, now_s: float) -> float:
    if running.end_s > now_s:
        return running.end_s
    return now_s + _OVERRUN_FRACTION * (now_s - running.sent_s)
