"""Delays, promotion by age and expiry of waiting requests."""

import heapq
import itertools
import math

from quetzalswitch import admission as admissions
from quetzalswitch import attempts as attempt_table
from quetzalswitch import clock as clocks
from quetzalswitch import configuration as configurations
from quetzalswitch import decisions
from quetzalswitch import exceptions
from quetzalswitch import policy as policies
from quetzalswitch import queues
from quetzalswitch import records


class WaitingRequests:
    """Adds requests to the queues, promotes them by age and expires them.

    Attributes:
        queues: Queues of the cluster configuration, by name.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        policy: policies.Policy,
        queue_set: queues.QueueSet,
        attempts: attempt_table.Attempts,
        admission: admissions.Admission,
        outbox: list[decisions.Decision],
    ):
        self._clock = clock
        self._policy = policy
        self._queue_set = queue_set
        self._attempts = attempts
        self._admission = admission
        self._outbox = outbox
        self._serials = itertools.count()
        self._timers: list[tuple[float, int, str, queues.QueueEntry]] = []
        self._delayed: dict[str, queues.QueueEntry] = {}
        self._parked: dict[str, records.Request] = {}
        self.queues: dict[str, configurations.Queue] = {}

    def add(
        self, request: records.Request, has_run: bool, delay_s: float = 0.0
    ) -> None:
        """Queues a request, now or after a delay; no effect if it waits."""
        key = request.key
        if key in self._queue_set.entries or key in self._delayed:
            return
        entry = self._make_entry(request, has_run)
        if delay_s > 0.0:
            self._delayed[key] = entry
            self._set_timer(self._clock.now() + delay_s, "enqueue", entry)
        else:
            self._enqueue(entry)

    def park(self, request: records.Request) -> None:
        """Defers a request until its running attempts have ended."""
        self._parked[request.key] = request

    def unpark(self, request_key: str) -> None:
        """Queues a parked request whose attempts have all ended."""
        request = self._parked.pop(request_key, None)
        if request is not None:
            self.add(request, has_run=True)

    def remove(self, request_key: str) -> bool:
        """Removes a request in constant time; returns False if not found."""
        if self._parked.pop(request_key, None) is not None:
            return True
        entry = self._delayed.pop(request_key, None)
        if entry is not None:
            entry.is_waiting = False
            return True
        entry = self._queue_set.entries.get(request_key)
        if entry is None:
            return False
        self._queue_set.remove(entry)
        return True

    def is_delayed(self, request_key: str) -> bool:
        """Returns whether a request waits for a delay or an attempt's end."""
        return request_key in self._delayed or request_key in self._parked

    def run_timers(self, now_s: float) -> None:
        """Runs the timers that have become due."""
        while self._timers and self._timers[0][0] <= now_s:
            _, _, action, entry = heapq.heappop(self._timers)
            if not entry.is_waiting:
                continue
            match action:
                case "enqueue":
                    del self._delayed[entry.request.key]
                    self._enqueue(entry)
                case "promote":
                    self._promote(entry)
                case "expire":
                    self._expire(entry, now_s)

    def _set_timer(
        self, due_s: float, action: str, entry: queues.QueueEntry
    ) -> None:
        item = (due_s, next(self._serials), action, entry)
        heapq.heappush(self._timers, item)

    def _promote(self, entry: queues.QueueEntry) -> None:
        self._queue_set.remove(entry)
        promoted = self._make_entry(entry.request, entry.has_run)
        promoted.tier = queues.Tier.OVERDUE
        promoted.queued_s = entry.queued_s
        promoted.reservation_not_before_s = entry.reservation_not_before_s
        self._add(promoted)
        expiry_s = self._expiry_s(entry.request)
        if expiry_s < math.inf and not entry.has_run:
            self._set_timer(expiry_s, "expire", promoted)

    def _expire(self, entry: queues.QueueEntry, now_s: float) -> None:
        self._queue_set.remove(entry)
        request = entry.request
        waited_s = now_s - request.submitted_s
        self._outbox.append(
            decisions.Refuse(
                request,
                exceptions.ErrorKind.TOO_LATE,
                f"waited {waited_s:.1f} s without a free target",
                self._admission.retry_after_s(len(self._queue_set.entries)),
            )
        )

    def _make_entry(
        self, request: records.Request, has_run: bool
    ) -> queues.QueueEntry:
        now_s = self._clock.now()
        match request.kind:
            case records.LatencyBound():
                tier = queues.Tier.URGENT
                slack_s = self._policy.urgent_slack_s
                order = request.deadline_s or request.submitted_s + slack_s
            case _:
                tier = queues.Tier.PATIENT
                order = request.submitted_s
        size = self._attempts.size(request)
        entry = queues.QueueEntry(request, size, tier, order, now_s)
        entry.has_run = has_run
        entry.avoid = self._attempts.targets_to_avoid(request.key)
        return entry

    def _enqueue(self, entry: queues.QueueEntry) -> None:
        self._add(entry)
        request = entry.request
        expiry_s = self._expiry_s(request)
        if expiry_s < math.inf and not entry.has_run:
            self._set_timer(expiry_s, "expire", entry)
        if entry.tier is queues.Tier.PATIENT:
            wait_s = self._policy.batch_max_wait_s
            # A request that expires is promoted after half of its maximum
            # wait, so that it has priority before it is refused.
            wait_s = min(wait_s, 0.5 * (expiry_s - request.submitted_s))
            self._set_timer(request.submitted_s + wait_s, "promote", entry)

    def _add(self, entry: queues.QueueEntry) -> None:
        queue = self.queues.get(entry.request.queue)
        self._queue_set.add(entry, queue.priority if queue else 0)

    def _expiry_s(self, request: records.Request) -> float:
        queue = self.queues.get(request.queue)
        return self._admission.expiry_s(request, queue)
