"""Chooses targets for a waiting request according to its kind."""

import typing

from quetzalswitch import cluster as clusters
from quetzalswitch import packing
from quetzalswitch import policy as policies
from quetzalswitch import queues
from quetzalswitch import records

# Number of racks tried for a gang that must run in one rack.
_MAX_RACKS = 4


class Placer:
    """Chooses targets without allocating capacity on them."""

    def __init__(self, cluster: clusters.Cluster, policy: policies.Policy):
        self._cluster = cluster
        self._policy = policy

    def place(
        self, entry: queues.QueueEntry, now_s: float
    ) -> list[packing.Node] | None:
        """Returns a target for each task of the request, or None."""
        request = entry.request
        match request.kind:
            case records.Gang(same_rack=same_rack):
                waited_s = now_s - request.submitted_s
                if same_rack:
                    nodes = self._place_in_rack(entry)
                    may_wait = waited_s < self._policy.same_rack_wait_s
                    if nodes is not None or may_wait:
                        return nodes
                return self._place_gang(entry)
            case records.Service():
                domains = clusters.order_domains(self._cluster, request)
                node = self._cluster.index.find(
                    entry.size, entry.avoid, domains
                )
            case records.Batch() if self._cluster.probes:
                node = self._probe(entry) or self._find(entry)
            case _:
                node = self._find(entry)
        return None if node is None else [node]

    def _find(self, entry: queues.QueueEntry) -> packing.Node | None:
        return self._cluster.index.find(entry.size, entry.avoid)

    def _probe(self, entry: queues.QueueEntry) -> packing.Node | None:
        # A probe may fail, so only idempotent work is sent to a quarantined
        # target.
        if not entry.request.idempotent:
            return None
        for target_id, node in self._cluster.probes.items():
            if (
                node.out_of_service
                or node.target.leaving
                or target_id in entry.avoid
            ):
                continue
            if node.can_fit(entry.size):
                return node
        return None

    def _place_gang(
        self, entry: queues.QueueEntry
    ) -> list[packing.Node] | None:
        tasks = entry.request.task_count
        if self._cluster.free_slots < tasks:
            return None
        index = self._cluster.index
        return self._place_tasks(
            entry, tasks, lambda: index.find(entry.size, entry.avoid)
        )

    def _place_in_rack(
        self, entry: queues.QueueEntry
    ) -> list[packing.Node] | None:
        tasks = entry.request.task_count
        racks = []
        for nodes in self._cluster.racks.values():
            slots = sum(node.counted_slots for node in nodes.values())
            if slots >= tasks:
                racks.append((slots, len(racks), nodes))
        racks.sort()
        for _, _, nodes in racks[:_MAX_RACKS]:
            found = self._place_tasks(
                entry, tasks, lambda n=nodes: _first_fit(n, entry)
            )
            if found is not None:
                return found
        return None

    def _place_tasks(
        self,
        entry: queues.QueueEntry,
        tasks: int,
        find: typing.Callable[[], packing.Node | None],
    ) -> list[packing.Node] | None:
        """Finds a target for each task, or returns None if one does not fit.

        Each target found is allocated while the next is searched; all
        allocations are freed again at the end.
        """
        found: list[packing.Node] = []
        for _ in range(tasks):
            node = find()
            if node is None:
                break
            node.allocate("", entry.size)
            self._cluster.refresh(node)
            found.append(node)
        for node in found:
            node.release("", entry.size)
        for node in set(found):
            self._cluster.refresh(node)
        return found if len(found) == tasks else None


def _first_fit(
    nodes: dict[str, packing.Node], entry: queues.QueueEntry
) -> packing.Node | None:
    for node in nodes.values():
        if node.index_key is None or node.target.target_id in entry.avoid:
            continue
        if node.can_fit(entry.size):
            return node
    return None
