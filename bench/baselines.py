"""Simple schedulers that the policy is compared with in the same run."""

import itertools
import random

from quetzalswitch import decisions
from quetzalswitch import packing
from quetzalswitch import quarantine
from quetzalswitch import records


class Baseline:
    """FIFO order and first fit; the head blocks what is behind it."""

    def __init__(self, clock):
        self._clock = clock
        self._nodes: dict[str, packing.Node] = {}
        self._queue: dict[str, records.Request] = {}
        self._attempts: dict[str, records.Attempt] = {}
        self._out = frozenset()
        self._ids = itertools.count()
        self._serials = itertools.count()

    def configure(self, configuration):
        """Takes the failure domains that are out."""
        self._out = configuration.domains_out

    def set_allowance(self, team, held):
        """Teams of the benchmark have no limit below the capacity."""

    def add_target(self, target, running):
        """Adds an empty target."""
        del running
        node = packing.Node(target, next(self._serials))
        self._nodes[target.target_id] = node

    def remove_target(self, target_id):
        """Takes a target away."""
        del self._nodes[target_id]

    def submit(self, request):
        """Queues a request."""
        self._queue[request.key] = request

    def requeue(self, request, delay_s=0.0):
        """Queues a request again at the front."""
        del delay_s
        self._queue = {request.key: request, **self._queue}

    def cancel(self, key):
        """Takes a waiting request out."""
        return self._queue.pop(key, None) is not None

    def attempt_started(self, attempt_id):
        """Nothing depends on it."""

    def report_usage(self, attempt_id, used, age_s):
        """Usage is not considered."""

    def queued(self, team=None):
        """Returns how many requests wait."""
        if team is None:
            return len(self._queue)
        return sum(r.team == team for r in self._queue.values())

    def attempt_ended(self, attempt_id, outcome):
        """Gives back the room of an attempt."""
        attempt = self._attempts.pop(attempt_id)
        node = self._nodes.get(attempt.target_id)
        if node is not None and attempt_id in node.attempts:
            node.release(attempt_id, attempt.size)
        if outcome == "finished":
            return quarantine.Verdict.COMPLETE
        return quarantine.Verdict.RETRY

    def decide(self, limit):
        """Starts heads of the queues while they fit."""
        chosen = []
        for group in self._groups():
            for request in group:
                if len(chosen) >= limit:
                    return chosen
                nodes = self._place(request)
                if nodes is None:
                    break
                del self._queue[request.key]
                chosen.append(self._start(request, nodes))
        return chosen

    def _groups(self):
        return [list(itertools.islice(self._queue.values(), 64))]

    def _nodes_in_order(self):
        return self._nodes.values()

    def _place(self, request):
        found = []
        for _ in range(request.task_count):
            node = next(
                (
                    node
                    for node in self._nodes_in_order()
                    if node.target.failure_domain not in self._out
                    and node.can_fit(request.size)
                ),
                None,
            )
            if node is None:
                break
            node.allocate("", request.size)
            found.append(node)
        for node in found:
            node.release("", request.size)
        return found if len(found) == request.task_count else None

    def _start(self, request, nodes):
        attempts = []
        for index, node in enumerate(nodes):
            attempt = records.Attempt(
                f"b-{next(self._ids)}",
                request.key,
                request.team,
                node.target.target_id,
                request.size,
                task_index=index,
            )
            node.allocate(attempt.attempt_id, request.size)
            self._attempts[attempt.attempt_id] = attempt
            attempts.append(attempt)
        return decisions.Start(request, tuple(attempts))


class RandomTarget(Baseline):
    """FIFO order and a random target that fits."""

    def __init__(self, clock):
        super().__init__(clock)
        self._random = random.Random(7)

    def _nodes_in_order(self):
        nodes = list(self._nodes.values())
        self._random.shuffle(nodes)
        return nodes


class StrictPriority(Baseline):
    """Urgent work, then services, gangs and batch, each in FIFO order."""

    def _groups(self):
        ranks = (
            records.LatencyBound,
            records.Service,
            records.Gang,
            records.Batch,
        )
        groups = {rank: [] for rank in ranks}
        for request in self._queue.values():
            group = groups[type(request.kind)]
            if len(group) < 64:
                group.append(request)
        return groups.values()
