"""Views of an entry process: for operators, heartbeats and recovery."""

import math
import typing

from quetzalswitch import escrow
from quetzalswitch import measures
from quetzalswitch import reconstruction as recoveries
from quetzalswitch.peers import heartbeats as heartbeat_tasks
from quetzalswitch.peers import protocol as peer_protocol


class States:
    """Reads the state of an entry process.

    Args:
        process: The entry process.
    """

    def __init__(self, process: typing.Any):
        self._process = process
        self._dead_since_s: dict[str, float] = {}
        self._unclaimed_since_s: float | None = None
        self._silent_since_s: dict[str, float] = {}

    def find_load(self, draining: bool) -> heartbeat_tasks.Load:
        """Returns what the next heartbeat reports."""
        process = self._process
        for info in process.membership.alive():
            self._silent_since_s.pop(info.incarnation, None)
        version = process.following.configuration.version
        return heartbeat_tasks.Load(
            version=version,
            confirmed_ago_s=process.freshness.confirmed_ago_s(version),
            write_failed=process.freshness.write_failed,
            free_slots=process.scheduler.cluster.free_slots,
            queued=process.scheduler.queued(),
            teams=process.placer.summaries(),
            foreign=process.placer.supervisor.foreign(),
            unclaimed_since_s=self._measure_unclaimed(),
            draining=draining,
            shapes=process.scheduler.cluster.shapes(),
        )

    def _measure_unclaimed(self) -> float | None:
        process = self._process
        now_s = process.clock.now()
        listed = process.control.target_names() is not None
        if listed and not process.control.unclaimed():
            self._unclaimed_since_s = None
            return None
        if self._unclaimed_since_s is None:
            self._unclaimed_since_s = now_s
        return now_s - self._unclaimed_since_s

    def count_writers(self) -> int:
        """Returns how many entries may write to the table, this one included.

        Behind a partition an entry that is not heard from may still write, so
        it counts while the platform lists it.
        """
        process = self._process
        alive = {info.entry_id for info in process.membership.alive()}
        known = {info.entry_id for info in process.membership.known()}
        listed = process.control.entry_names()
        silent = known - alive
        return len(alive | (silent if listed is None else silent & listed))

    def report_control(
        self, query: int, request_keys: set[str]
    ) -> peer_protocol.ControlReport:
        """Returns what this process controls and where requests run."""
        process = self._process
        targets = [
            target_id
            for target_id in process.placer.supervisor.controlled()
            if process.control.controls(target_id)
        ]
        attempts = {
            (attempt.request_key, attempt.attempt_id, attempt.target_id)
            for attempt in process.placer.supervisor.attempts_of(request_keys)
        }
        attempts.update(process.reporter.pending_attempts(request_keys))
        return peer_protocol.ControlReport(query, targets, sorted(attempts))

    def find_recovery_view(self, request_keys: set[str]) -> recoveries.View:
        """Returns what this process knows for a round of recovery."""
        process = self._process
        own = process.settings.entry_id
        alive = {info.entry_id for info in process.membership.alive()}
        listed = process.control.entry_names()
        silent = [
            recoveries.Silent(info.incarnation, self._find_last_sign(info))
            for info in process.membership.known()
            if info.entry_id not in alive
            and (listed is None or info.entry_id in listed)
        ]
        kept = {each.incarnation for each in silent}
        self._silent_since_s = {
            incarnation: since_s
            for incarnation, since_s in self._silent_since_s.items()
            if incarnation in kept
        }
        return recoveries.View(
            now_s=process.clock.now(),
            alive=alive - {own},
            silent=silent,
            targets=process.control.target_names(),
            own=self.report_control(0, request_keys),
        )

    def _find_last_sign(self, info: peer_protocol.MemberInfo) -> float:
        """Returns the latest time at which an entry may have been alive.

        Its registration does not change while the store is down, so the time
        at which it was first found silent counts as well.
        """
        silent_s = self._silent_since_s.setdefault(
            info.incarnation, self._process.clock.now()
        )
        renewed_s = self._process.adoption.last_sign_s(info.entry_id)
        return max(silent_s, renewed_s)

    def find_dead_holders(self) -> list[escrow.RecoverHolder]:
        """Returns what is known about holders of allowances that are gone."""
        process = self._process
        now_s = process.clock.now()
        alive = {i.incarnation for i in process.membership.alive()}
        holders = process.allowance_task.holders()
        self._dead_since_s = {
            holder: self._dead_since_s.get(holder, now_s)
            for holder in holders - alive
        }
        beats = [
            process.membership.last_heartbeat(info.entry_id)
            for info in process.membership.alive()
            if info.incarnation != process.incarnation
        ]
        complete = (
            all(b is not None and b.unclaimed_since_s is None for b in beats)
            and self._measure_unclaimed() is None
        )
        foreign = [*process.placer.supervisor.foreign()]
        for beat in filter(None, beats):
            foreign += beat.foreign
        messages = []
        for holder, since_s in self._dead_since_s.items():
            running: dict[str, int] = {}
            for name, team, count in foreign:
                if name == holder:
                    running[team] = running.get(team, 0) + count
            messages.append(
                escrow.RecoverHolder(holder, running, complete, now_s - since_s)
            )
        return messages

    def describe(self) -> dict:
        """Returns members, targets, limits and the version in force."""
        process = self._process
        snapshot = process.following.configuration
        age_s = process.freshness.age_s()
        return {
            "entry": process.settings.entry_id,
            "incarnation": process.incarnation,
            "region": process.settings.region,
            "failure_domain": process.settings.failure_domain,
            "version": snapshot.version,
            "confirmed_ago_s": None if math.isinf(age_s) else age_s,
            "fresh": process.is_fresh(),
            "members": [
                {
                    "entry": info.entry_id,
                    "incarnation": info.incarnation,
                    "state": process.membership.state(info.entry_id).value,
                }
                for info in process.membership.known()
            ],
            "targets": process.placer.supervisor.controlled(),
            "domains_out": sorted(snapshot.domains_out),
            "targets_out": sorted(snapshot.targets_out),
            "teams": [summary._asdict() for summary in self._summaries()],
            "open_requests": len(process.home.open_entries()),
            "on_hold": process.recovery.holding(),
        }

    def describe_queues(self) -> list[dict]:
        """Returns the load of each queue at this entry."""
        process = self._process
        waiting = process.scheduler.queues.by_queue
        return [
            {
                "queue": queue.name,
                "team": queue.team,
                "kind": queue.kind,
                "queued": waiting.get(queue.name, 0),
            }
            for queue in process.following.configuration.queues.values()
        ]

    def explain(self, request_key: str) -> str:
        """Returns why a request waits or where it is, as known here."""
        process = self._process
        entry = process.home.find(request_key)
        if entry is None:
            return process.placer.explain(request_key)
        if entry.done.is_set():
            return f"it is {entry.state.value}"
        if entry.held:
            return "an earlier attempt may still run; it is waited for"
        if entry.finishing:
            return "its final state is being written to the table service"
        running = entry.collector.running()
        if running:
            targets = entry.collector.targets()
            places = sorted(targets[attempt] for attempt in running)
            return f"running on {', '.join(places)}"
        return process.placer.explain(request_key)

    def measure(self) -> None:
        """Sets the gauges before metrics are rendered."""
        process = self._process
        metrics = process.metrics
        summaries = self._summaries()
        metrics.replace(
            "quetzal_limit_headroom_tasks",
            {s.team: s.headroom for s in summaries},
        )
        metrics.replace(
            "quetzal_queued_requests", {s.team: s.queued for s in summaries}
        )
        metrics.replace(
            "quetzal_running_tasks", {s.team: s.running for s in summaries}
        )
        states: dict[str, float] = {"alive": 1, "suspect": 0, "dead": 0}
        for info in process.membership.known():
            states[process.membership.state(info.entry_id).value] += 1
        metrics.replace("quetzal_members", states)
        version = process.following.configuration.version
        metrics.set("quetzal_configuration_version", version)
        age_s = process.freshness.age_s()
        metrics.set("quetzal_configuration_age_seconds", min(age_s, 1e9))
        scheduler = process.scheduler
        waiting = {s.team for s in summaries if s.queued}
        measures.measure_placement(
            metrics, scheduler.cluster, scheduler.shares, waiting
        )
        counts = process.committer.counts
        measures.measure_store(metrics, counts, process.committer.failures)
        measures.measure_peers(metrics, process.mesh.counts)
        measures.measure_retries(metrics, process.retries, counts.resends)
        measures.measure_traffic(
            metrics,
            {
                "peers": process.mesh.measure_traffic(),
                "platform": process.platform_traffic,
                "targets": process.target_traffic,
            },
        )

    def _summaries(self) -> list[peer_protocol.TeamSummary]:
        return self._process.placer.summaries()
