"""Tracks attempts from start to end: usage, failures and quarantine."""

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
    """Tracks attempts and adds the resulting decisions to the outbox."""

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
        self._min_sizes: dict[str, records.Resources] = {}
        self.quarantine = quarantines.Quarantine(clock, policy)

    def start(
        self,
        request: records.Request,
        size: records.Resources,
        nodes: list[packing.Node],
        backfill: bool,
    ) -> tuple[records.Attempt, ...]:
        """Allocates capacity for one task on each of the targets."""
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
            running = clusters.RunningAttempt(
                attempt, request, True, now_s, end_s
            )
            running.backfill = backfill
            self._cluster.attach(running, node)
            self._limit_starts(node)
            attempts.append(attempt)
        return tuple(attempts)

    def adopt(self, attempt: records.Attempt, node: packing.Node) -> None:
        """Adopts an attempt from a target's inventory.

        Its request is unknown here, so it can be neither preempted nor queued
        again.
        """
        running = self._cluster.running.get(attempt.attempt_id)
        if running is None:
            now_s = self._clock.now()
            own = attempt.holder == self._holder
            end_s = now_s + self._policy.default_run_time_s
            running = clusters.RunningAttempt(attempt, None, own, now_s, end_s)
            running.started_s = now_s
        elif running.node is not None:
            return
        self._cluster.attach(running, node)

    def mark_started(self, attempt_id: str) -> None:
        """Records that a target confirmed a start."""
        running = self._cluster.running.get(attempt_id)
        if running is not None:
            running.started_s = self._clock.now()

    def end(
        self, attempt_id: str, outcome: str
    ) -> tuple[clusters.RunningAttempt | None, Verdict]:
        """Removes an attempt and returns what to do with its request."""
        running = self._cluster.end(attempt_id)
        if running is None or running.request is None:
            return running, Verdict.COMPLETE
        request = running.request
        verdict = self._evaluate_end(running, outcome)
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
        """Records a usage reading that is `age_s` old."""
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
        """Returns the resources to allocate for one task of a request."""
        size = self._estimates.size(request, self._cluster.largest())
        min_size = self._min_sizes.get(request.key)
        if min_size is not None:
            size = records.Resources(*map(max, size, min_size))
        if size != request.size and self._cluster.max_memory_mb(size) is None:
            return min_size or request.size
        return size

    def forget(self, request_key: str) -> None:
        """Drops the state kept for a finished request."""
        self._min_sizes.pop(request_key, None)
        self.quarantine.forget_job(request_key)

    def apply_quarantine(self, target_id: str) -> None:
        """Closes a quarantined target until its next probe."""
        probe_s = self.quarantine.probe_s(target_id)
        node = self._cluster.nodes.get(target_id)
        if probe_s is None or node is None:
            return
        node.quarantined = True
        self._cluster.probes.pop(target_id, None)
        self._cluster.close_until(node, probe_s)

    def targets_to_avoid(self, request_key: str) -> frozenset[str]:
        """Returns the targets on which a request failed before.

        Returns an empty set if they are at least half of the targets.
        """
        failed_on = self.quarantine.failed_on(request_key)
        if 2 * len(failed_on) >= len(self._cluster.nodes):
            return frozenset()
        return failed_on

    def _evaluate_end(
        self, running: clusters.RunningAttempt, outcome: str
    ) -> Verdict:
        request = running.request
        target_id = running.attempt.target_id
        match outcome:
            case "finished":
                self._update_estimates(running)
                if self.quarantine.record_success(target_id, request.key):
                    self._end_quarantine(target_id)
                return Verdict.COMPLETE
            case "failed":
                verdict = self.quarantine.record_failure(target_id, request.key)
                self.apply_quarantine(target_id)
                return verdict
            case _:
                return Verdict.RETRY

    def _update_estimates(self, running: clusters.RunningAttempt) -> None:
        since_s = running.started_s or running.sent_s
        seconds = self._clock.now() - since_s
        self._estimates.record_run_time(running.request, seconds)
        if running.peak != packing.NO_RESOURCES:
            self._estimates.record_size(running.request, running.peak)

    def _stop_siblings(
        self, running: clusters.RunningAttempt, verdict: Verdict
    ) -> None:
        """Stops the other tasks of a gang, which can't go on without this."""
        key = running.attempt.request_key
        for attempt_id in sorted(self._cluster.by_request.get(key, ())):
            sibling = self._cluster.running[attempt_id]
            if sibling.stopping or sibling.node is None:
                continue
            reason = f"task {running.attempt.task_index} of the gang ended"
            if verdict is Verdict.ABANDON:
                self._outbox.append(self._stop(sibling, reason))
            elif running.request.idempotent:
                self._outbox.append(self._preemption.preempt(sibling, reason))

    def _enforce_size(
        self, running: clusters.RunningAttempt, used: records.Resources
    ) -> None:
        excess = estimate_table.measure_excess(used, running.attempt.size)
        policy = self._policy
        attempt = running.attempt
        if 1.0 + excess.memory > policy.memory_stop_ratio:
            reason = f"uses {used.memory_mb} MB of {attempt.size.memory_mb} MB"
            needed = attempt.size._replace(memory_mb=used.memory_mb)
            # A size above every target's capacity would make the request wait
            # forever.
            largest_mb = self._cluster.max_memory_mb(needed)
            if not running.request.idempotent or largest_mb is None:
                self._outbox.append(self._stop(running, reason))
                return
            # The next attempt is allocated what this one needed.
            wanted = int(used.memory_mb * policy.estimate_margin)
            min_size = needed._replace(memory_mb=min(wanted, largest_mb))
            self._min_sizes[attempt.request_key] = min_size
            self._outbox.append(self._preemption.preempt(running, reason))
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
        self, running: clusters.RunningAttempt, reason: str
    ) -> decisions.Decision:
        self._cluster.mark_stopping(running)
        attempt = running.attempt
        return decisions.Stop(attempt.attempt_id, attempt.target_id, reason)

    def _limit_starts(self, node: packing.Node) -> None:
        target_id = node.target.target_id
        if node.quarantined:
            # Only one probe runs at a time; the next waits for its outcome.
            self._cluster.probes.pop(target_id, None)
            return
        self._cluster.limit_ramp(node)

    def _end_quarantine(self, target_id: str) -> None:
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
