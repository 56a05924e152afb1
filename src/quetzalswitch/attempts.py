"""Attempts from their start to their end: sizes kept, failures counted."""

import itertools
import math

from quetzalswitch import clock as clocks
from quetzalswitch import cluster as clusters
from quetzalswitch import decisions
from quetzalswitch import estimates as estimate_table
from quetzalswitch import packing
from quetzalswitch import policy as policies
from quetzalswitch import preemption as preemptions
from quetzalswitch import quarantine as quarantines
from quetzalswitch import records

Verdict = quarantines.Verdict


class Attempts:
    """Follows attempts and puts what they call for into the outbox."""

    def __init__(
        self,
        clock: clocks.Clock,
        policy: policies.Policy,
        holder: str,
        cluster: clusters.Cluster,
        estimates: estimate_table.Estimates,
        preemption: preemptions.Preemption,
        outbox: list[decisions.Decision],
    ):
        self._clock = clock
        self._policy = policy
        self._holder = holder
        self._cluster = cluster
        self._estimates = estimates
        self._preemption = preemption
        self._outbox = outbox
        self._prefix = records.make_id("a")
        self._serials = itertools.count(1)
        self._floors: dict[str, records.Resources] = {}
        self.quarantine = quarantines.Quarantine(clock, policy)

    def start(
        self,
        request: records.Request,
        size: records.Resources,
        nodes: list[packing.Node],
        backfill: bool,
    ) -> tuple[records.Attempt, ...]:
        """Reserves room for a task on each of the targets."""
        now_s = self._clock.now()
        end_s = self._expected_end_s(request, now_s)
        attempts = []
        for task_index, node in enumerate(nodes):
            attempt = records.Attempt(
                f"{self._prefix}-{next(self._serials)}",
                request.key,
                request.team,
                node.target.target_id,
                size,
                self._holder,
                request.home,
                records.lease_seconds(request.kind),
                task_index,
            )
            running = clusters.Running(attempt, request, True, now_s, end_s)
            running.backfill = backfill
            self._cluster.attach(running, node)
            self._limit_starts(node)
            attempts.append(attempt)
        return tuple(attempts)

    def adopt(self, attempt: records.Attempt, node: packing.Node) -> None:
        """Takes over an attempt from a target's inventory.

        Without its request it can be neither preempted nor queued again.
        """
        running = self._cluster.running.get(attempt.attempt_id)
        if running is None:
            now_s = self._clock.now()
            own = attempt.holder == self._holder
            end_s = now_s + self._policy.default_run_time_s
            running = clusters.Running(attempt, None, own, now_s, end_s)
            running.started_s = now_s
        elif running.node is not None:
            return
        self._cluster.attach(running, node)

    def mark_started(self, attempt_id: str) -> None:
        """Notes that a target confirmed a start."""
        running = self._cluster.running.get(attempt_id)
        if running is not None:
            running.started_s = self._clock.now()

    def end(
        self, attempt_id: str, outcome: str
    ) -> tuple[clusters.Running | None, Verdict]:
        """Takes an attempt away and tells what its end means."""
        running = self._cluster.end(attempt_id)
        if running is None or running.request is None:
            return running, Verdict.COMPLETE
        request = running.request
        verdict = self._judge(running, outcome)
        if outcome != "finished":
            self._stop_siblings(running, verdict)
        may_repeat = request.idempotent or outcome == "not_started"
        if verdict is Verdict.RETRY and not may_repeat:
            verdict = Verdict.ABANDON
        if verdict is not Verdict.RETRY:
            self.forget(request.key)
        return running, verdict

    def report_usage(
        self, attempt_id: str, used: records.Resources, age_s: float
    ) -> None:
        """Takes a usage reading that is `age_s` old."""
        running = self._cluster.running.get(attempt_id)
        if running is None or running.request is None:
            return
        since_s = running.started_s or running.sent_s
        if self._clock.now() - age_s < since_s:
            return
        running.peak = records.Resources(*map(max, running.peak, used))
        if not running.stopping:
            self._enforce_size(running, used)

    def size(self, request: records.Request) -> records.Resources:
        """Returns the size to reserve for one task of a request."""
        size = self._estimates.size(request, self._cluster.largest())
        floor = self._floors.get(request.key)
        if floor is not None:
            size = records.Resources(*map(max, size, floor))
        if size != request.size and self._cluster.most_memory_mb(size) is None:
            return floor or request.size
        return size

    def forget(self, request_key: str) -> None:
        """Drops what is known of a request that is over."""
        self._floors.pop(request_key, None)
        self.quarantine.forget_job(request_key)

    def apply_quarantine(self, target_id: str) -> None:
        """Closes a target that is quarantined until its next probe."""
        probe_s = self.quarantine.probe_s(target_id)
        node = self._cluster.nodes.get(target_id)
        if probe_s is None or node is None:
            return
        node.quarantined = True
        self._cluster.probes.pop(target_id, None)
        self._cluster.gate(node, probe_s)

    def targets_to_avoid(self, request_key: str) -> frozenset[str]:
        """Returns the targets on which a request failed before.

        They are not avoided where they are most of the targets there are.
        """
        failed_on = self.quarantine.failed_on(request_key)
        if 2 * len(failed_on) >= len(self._cluster.nodes):
            return frozenset()
        return failed_on

    def _judge(self, running: clusters.Running, outcome: str) -> Verdict:
        request = running.request
        target_id = running.attempt.target_id
        match outcome:
            case "finished":
                self._learn(running)
                if self.quarantine.succeed(target_id, request.key):
                    self._leave_quarantine(target_id)
                return Verdict.COMPLETE
            case "failed":
                verdict = self.quarantine.fail(target_id, request.key)
                self.apply_quarantine(target_id)
                return verdict
            case _:
                return Verdict.RETRY

    def _learn(self, running: clusters.Running) -> None:
        since_s = running.started_s or running.sent_s
        seconds = self._clock.now() - since_s
        self._estimates.learn_run_time(running.request, seconds)
        if running.peak != packing.NO_RESOURCES:
            self._estimates.learn_size(running.request, running.peak)

    def _stop_siblings(
        self, running: clusters.Running, verdict: Verdict
    ) -> None:
        """Stops the other tasks of a gang that can't go on without this."""
        key = running.attempt.request_key
        for attempt_id in sorted(self._cluster.by_request.get(key, ())):
            sibling = self._cluster.running[attempt_id]
            if sibling.stopping or sibling.node is None:
                continue
            reason = f"task {running.attempt.task_index} of the gang ended"
            if verdict is Verdict.ABANDON:
                self._outbox.append(self._stop(sibling, reason))
            elif running.request.idempotent:
                self._outbox.append(self._preemption.stop(sibling, reason))

    def _enforce_size(
        self, running: clusters.Running, used: records.Resources
    ) -> None:
        excess = estimate_table.measure_excess(used, running.attempt.size)
        policy = self._policy
        attempt = running.attempt
        if 1.0 + excess.memory > policy.memory_stop_ratio:
            reason = f"uses {used.memory_mb} MB of {attempt.size.memory_mb} MB"
            needed = attempt.size._replace(memory_mb=used.memory_mb)
            # A size that no target has would make the request wait for ever.
            most = self._cluster.most_memory_mb(needed)
            if not running.request.idempotent or most is None:
                self._outbox.append(self._stop(running, reason))
                return
            # The next attempt of this request gets what this one needed.
            wanted = int(used.memory_mb * policy.estimate_margin)
            floor = needed._replace(memory_mb=min(wanted, most))
            self._floors[attempt.request_key] = floor
            self._outbox.append(self._preemption.stop(running, reason))
            return
        if max(excess) > policy.overrun_tolerance and not running.throttled:
            running.throttled = True
            reason = (
                f"uses {used.cores:.1f} cores and {used.memory_mb} MB"
                f" of {attempt.size.cores:.1f} and {attempt.size.memory_mb}"
            )
            self._outbox.append(
                decisions.Throttle(
                    attempt.attempt_id, attempt.target_id, reason
                )
            )

    def _stop(
        self, running: clusters.Running, reason: str
    ) -> decisions.Decision:
        self._cluster.mark_stopping(running)
        attempt = running.attempt
        return decisions.Stop(attempt.attempt_id, attempt.target_id, reason)

    def _limit_starts(self, node: packing.Node) -> None:
        target_id = node.target.target_id
        if node.quarantined:
            # One probe at a time: nothing more until its outcome is known.
            self._cluster.probes.pop(target_id, None)
            return
        self._cluster.limit_ramp(node)

    def _leave_quarantine(self, target_id: str) -> None:
        node = self._cluster.nodes.get(target_id)
        if node is None:
            return
        node.quarantined = False
        self._cluster.probes.pop(target_id, None)
        self._cluster.refresh(node)
        self._cluster.freed.append(node)

    def _expected_end_s(self, request: records.Request, now_s: float) -> float:
        match request.kind:
            case records.Service():
                return math.inf
            case _:
                return now_s + self._estimates.run_time_s(request)
