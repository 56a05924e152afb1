"""Holds capacity back for a gang or a task that fits nowhere.

One request at a time has a hold, so that two gangs can't each wait for what
the other holds. A hold reserves room on paper only: nothing is started, and
work that ends before the planned start may use the room (backfill).
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

# A task past its expected end is expected to run for this part of its age
# again, because the estimate has then proved to be of no use.
_OVERRUN_PART = 0.5


class Hold:
    """Room held back for one request.

    Attributes:
        entry: The waiting request.
        needs: Tasks planned on each target.
        made_s: Time at which it was made.
        start_s: Planned start.
        end_s: Time at which the hold is given up.
    """

    __slots__ = ("entry", "needs", "made_s", "start_s", "end_s")

    def __init__(
        self,
        entry: queues.Entry,
        needs: dict[packing.Node, int],
        made_s: float,
        start_s: float,
        end_s: float,
    ):
        self.entry = entry
        self.needs = needs
        self.made_s = made_s
        self.start_s = start_s
        self.end_s = end_s


class Holds:
    """The hold that is in force, if any."""

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
        self._turn = 0
        self._rest_until_s = 0.0
        self.current: Hold | None = None

    def review(self, waiting: list[queues.Entry], now_s: float) -> None:
        """Ends a hold that is over and plans one for who waits longest."""
        hold = self.current
        if hold is not None and self._is_over(hold, now_s):
            self.drop(now_s)
            hold.entry.hold_not_before_s = now_s + self._policy.hold_pause_s
        if self.current is not None or now_s < self._rest_until_s:
            return
        for entry in sorted(waiting, key=_submitted_s):
            if now_s >= entry.hold_not_before_s and self._make(entry, now_s):
                return

    def find(self, now_s: float) -> list[packing.Node] | None:
        """Returns the planned targets once all of them have room."""
        hold = self.current
        if hold is None or not hold.entry.alive:
            return None
        request = hold.entry.request
        use = self._shares.team(request.team)
        if use.headroom() < request.task_count:
            return None
        for node, tasks in hold.needs.items():
            if not node.open_at(now_s) or (
                packing.count_fits(node, hold.entry.size, tasks) < tasks
            ):
                return None
        return [node for node, n in hold.needs.items() for _ in range(n)]

    def find_elsewhere(self, now_s: float) -> list[packing.Node] | None:
        """Returns any targets with room, with the hold out of the way."""
        hold = self.current
        if hold is None or not hold.entry.alive:
            return None
        request = hold.entry.request
        use = self._shares.team(request.team)
        if use.headroom() < request.task_count:
            return None
        self._set_held(hold, False)
        nodes = self._placer.place(hold.entry, now_s)
        self._set_held(hold, True)
        return nodes

    def find_backfill(
        self, entry: queues.Entry, now_s: float
    ) -> packing.Node | None:
        """Returns a held target that a short task leaves again in time."""
        hold = self.current
        if hold is None or entry is hold.entry:
            return None
        request = entry.request
        # Only what may be stopped when it overruns: the hold must not be
        # delayed by a wrong run time.
        if clusters.movability(request) is None or request.task_count > 1:
            return None
        if now_s + self._estimates.run_time_s(request) > hold.start_s:
            return None
        for node in hold.needs:
            if not node.open_at(now_s) or node.free_slots <= 0:
                continue
            if node.target.target_id in entry.avoid:
                continue
            if entry.size.fits_in(node.free):
                return node
        return None

    def overruns(self, now_s: float) -> list[clusters.Running]:
        """Returns backfilled attempts that are in the way of the hold."""
        hold = self.current
        if hold is None or now_s < hold.start_s:
            return []
        return [
            running
            for node in hold.needs
            for running in map(self._cluster.running.get, node.attempts)
            if running.backfill and not running.stopping
        ]

    def drop(self, now_s: float) -> None:
        """Gives the held room back."""
        hold = self.current
        lasted_s = now_s - hold.made_s
        self._rest_until_s = now_s + self._policy.hold_rest * lasted_s
        self.current = None
        self._set_held(hold, False)
        self._cluster.freed.extend(hold.needs)

    def _is_over(self, hold: Hold, now_s: float) -> bool:
        if not hold.entry.alive or now_s >= hold.end_s:
            return True
        return any(
            node.out_of_service or node.target.leaving or node.quarantined
            for node in hold.needs
        )

    def _make(self, entry: queues.Entry, now_s: float) -> bool:
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
        needs: dict[packing.Node, int] = {}
        for _, _, node in times[:tasks]:
            needs[node] = needs.get(node, 0) + 1
        start_s = times[tasks - 1][0]
        end_s = now_s + self._policy.hold_max_s
        if start_s > end_s:
            return False
        self.current = Hold(entry, needs, now_s, start_s, end_s)
        self._set_held(self.current, True)
        return True

    def _candidates(self, now_s: float) -> list[packing.Node]:
        """Returns some open targets, others each time if there are many."""
        nodes = self._cluster.nodes
        count = self._policy.hold_candidates
        if len(nodes) <= count:
            chosen = list(nodes.values())
        else:
            first = self._turn * count % len(nodes)
            turn = itertools.chain(nodes.values(), nodes.values())
            chosen = list(itertools.islice(turn, first, first + count))
        self._turn += 1
        return [node for node in chosen if node.open_at(now_s)]

    def _start_times(
        self, node: packing.Node, entry: queues.Entry, now_s: float
    ) -> list[float]:
        """Returns when the first, second, ... task would fit on a target."""
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

    def _set_held(self, hold: Hold, held: bool) -> None:
        size = hold.entry.size
        for node, tasks in hold.needs.items():
            node.held = (
                packing.times(size, tasks) if held else packing.NO_RESOURCES
            )
            node.held_slots = tasks if held else 0
            if self._cluster.nodes.get(node.target.target_id) is node:
                self._cluster.refresh(node)
        use = self._shares.team(hold.entry.request.team)
        use.reserved = hold.entry.request.task_count if held else 0


def may_hold(entry: queues.Entry, waited_s: float, after_s: float) -> bool:
    """Tells whether room may be held back for a waiting request."""
    if waited_s < after_s:
        return False
    match entry.request.kind:
        case records.Gang():
            return True
        case _:
            return entry.tier is queues.Tier.OVERDUE


def _submitted_s(entry: queues.Entry) -> float:
    return entry.request.submitted_s


def _expected_end_s(running: clusters.Running, now_s: float) -> float:
    if running.end_s > now_s:
        return running.end_s
    return now_s + _OVERRUN_PART * (now_s - running.sent_s)
