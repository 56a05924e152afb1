"""Free capacity of the targets, and the choice of a target for a task."""

import bisect
import itertools
import typing

from quetzalswitch import records

NO_RESOURCES: typing.Final = records.Resources(0.0, 0, 0)


class Node:
    """A target with its allocated and reserved capacity.

    Attributes:
        target: Description of the target.
        free: Capacity that is not allocated to attempts.
        free_slots: Slots that are not allocated to attempts.
        reserved: Part of the free capacity reserved for a waiting request.
        reserved_slots: Slots reserved for a waiting request.
        attempts: IDs of the attempts with an allocation.
        out_of_service: Whether operators have taken it or its domain out.
        closed_until_s: Time before which nothing is started on it.
        ramp_end_s: End of the limit on starts after its return.
        quarantined: Whether it is quarantined.
        serial: Number in the index.
        index_key: Its current key in the index; None if not indexed.
        counted_slots: Slots included in the cluster's free slots.
        counted_cores: Cores included in the cluster's free cores.
    """

    __slots__ = (
        "target",
        "free",
        "free_slots",
        "reserved",
        "reserved_slots",
        "attempts",
        "out_of_service",
        "closed_until_s",
        "ramp_end_s",
        "quarantined",
        "serial",
        "index_key",
        "counted_slots",
        "counted_cores",
    )

    def __init__(self, target: records.Target, serial: int):
        self.target = target
        self.free = target.capacity
        self.free_slots = target.slots
        self.reserved = NO_RESOURCES
        self.reserved_slots = 0
        self.attempts: set[str] = set()
        self.out_of_service = False
        self.closed_until_s = 0.0
        self.ramp_end_s = 0.0
        self.quarantined = False
        self.serial = serial
        self.index_key: tuple | None = None
        self.counted_slots = 0
        self.counted_cores = 0.0

    def allocate(self, attempt_id: str, size: records.Resources) -> None:
        """Allocates capacity and a slot to an attempt."""
        self.attempts.add(attempt_id)
        self.free = self.free.minus(size)
        self.free_slots -= 1

    def release(self, attempt_id: str, size: records.Resources) -> None:
        """Frees the allocation of an attempt."""
        self.attempts.discard(attempt_id)
        self.free = self.free.plus(size)
        self.free_slots += 1

    def available(self) -> records.Resources:
        """Returns the free capacity that is not reserved."""
        return (
            self.free.minus(self.reserved) if self.reserved_slots else self.free
        )

    def slots(self) -> int:
        """Returns the number of free slots that are not reserved."""
        return self.free_slots - self.reserved_slots

    def can_fit(self, size: records.Resources) -> bool:
        """Returns whether a task fits into the unreserved free capacity."""
        return self.slots() > 0 and size.fits_in(self.available())

    def open_at(self, now_s: float) -> bool:
        """Returns whether tasks other than probes may start on it now."""
        return not (
            self.out_of_service
            or self.target.leaving
            or self.quarantined
            or self.closed_until_s > now_s
        )


def multiply(size: records.Resources, count: int) -> records.Resources:
    """Returns the total size of several tasks of one size."""
    return records.Resources(
        size.cores * count, size.memory_mb * count, size.accelerators * count
    )


def count_fits(node: Node, size: records.Resources, limit: int) -> int:
    """Returns how many tasks fit on a target, up to `limit`.

    Reserved capacity counts as free.
    """
    count = min(limit, node.free_slots)
    while count > 0 and not multiply(size, count).fits_in(node.free):
        count -= 1
    return max(count, 0)


class TargetIndex:
    """Open targets by failure domain, sorted by free cores and memory."""

    def __init__(self, candidates: int, balance_weight: float):
        self._candidates = candidates
        self._balance_weight = balance_weight
        self._serials = itertools.count()
        self._nodes: dict[int, Node] = {}
        self._plain: dict[str, list[tuple]] = {}
        self._accelerated: dict[str, list[tuple]] = {}

    def make_node(self, target: records.Target) -> Node:
        """Returns a node that is not yet in the index."""
        node = Node(target, next(self._serials))
        self._nodes[node.serial] = node
        domain = target.failure_domain
        for lists in (self._plain, self._accelerated):
            lists.setdefault(domain, [])
        return node

    def remove(self, node: Node) -> None:
        """Removes a node permanently."""
        self.refresh(node, False)
        del self._nodes[node.serial]

    def refresh(self, node: Node, is_open: bool) -> None:
        """Indexes a node by its available capacity, or removes it if closed."""
        nodes = self._list_of(node)
        if node.index_key is not None:
            del nodes[bisect.bisect_left(nodes, node.index_key)]
            node.index_key = None
        if is_open and node.slots() > 0:
            available = node.available()
            node.index_key = (available.cores, available.memory_mb, node.serial)
            bisect.insort(nodes, node.index_key)

    def domains(self) -> list[str]:
        """Returns the failure domains that have had targets."""
        return list(self._plain)

    def find(
        self,
        size: records.Resources,
        avoid: typing.Container[str] = (),
        domains: typing.Iterable[str] | None = None,
    ) -> Node | None:
        """Returns the best-fitting target for a task, or None.

        Args:
            size: Size of the task.
            avoid: Targets not to use.
            domains: Failure domains to search; None means all. They are
                searched in the given order, and the first domain with a
                fitting target decides.
        """
        if domains is not None:
            for domain in domains:
                node = self._find_in((domain,), size, avoid)
                if node is not None:
                    return node
            return None
        return self._find_in(self._plain, size, avoid)

    def _list_of(self, node: Node) -> list[tuple]:
        domain = node.target.failure_domain
        if node.target.capacity.accelerators:
            return self._accelerated[domain]
        return self._plain[domain]

    def _find_in(self, domains, size, avoid) -> Node | None:
        # Tasks without accelerators use targets with accelerators only when
        # nothing else fits. Otherwise they could make the accelerators
        # unusable by taking the cores and memory next to them.
        if not size.accelerators:
            node = self._find_best(self._plain, domains, size, avoid)
            if node is not None:
                return node
        return self._find_best(self._accelerated, domains, size, avoid)

    def _find_best(self, lists, domains, size, avoid) -> Node | None:
        best = None
        best_score = 0.0
        start = (size.cores - 1e-9,)
        for domain in domains:
            left = self._candidates
            nodes = lists.get(domain, _EMPTY)
            first = bisect.bisect_left(nodes, start)
            for key in itertools.islice(nodes, first, None):
                if key[1] < size.memory_mb:
                    continue
                node = self._nodes[key[2]]
                if size.accelerators > node.free.accelerators - (
                    node.reserved.accelerators
                ):
                    continue
                if node.target.target_id in avoid:
                    continue
                score = self._score(node, key, size)
                if best is None or score < best_score:
                    best = node
                    best_score = score
                left -= 1
                if not left:
                    break
        return best

    def _score(self, node: Node, key: tuple, size: records.Resources) -> float:
        capacity = node.target.capacity
        cores = (key[0] - size.cores) / capacity.cores
        memory = (key[1] - size.memory_mb) / capacity.memory_mb
        return cores + memory + self._balance_weight * abs(cores - memory)


_EMPTY: typing.Final[list[tuple]] = []
