"""Scheduler of one entry process for the targets that it controls.

It performs no I/O. It reads the clock, keeps its own state and returns
decisions; the entry process carries them out and reports the results.
"""

import math

from quetzalswitch import admission as admissions
from quetzalswitch import attempts as attempt_table
from quetzalswitch import clock as clocks
from quetzalswitch import cluster as clusters
from quetzalswitch import configuration as configurations
from quetzalswitch import decisions
from quetzalswitch import estimates as estimate_table
from quetzalswitch import exceptions
from quetzalswitch import explanations
from quetzalswitch import fleet
from quetzalswitch import packing
from quetzalswitch import placement
from quetzalswitch import policy as policies
from quetzalswitch import preemption as preemptions
from quetzalswitch import quarantine as quarantines
from quetzalswitch import queues
from quetzalswitch import records
from quetzalswitch import reservations as reservation_table
from quetzalswitch import shares as share_table
from quetzalswitch import waiting
from quetzalswitch.peers import protocol

Verdict = quarantines.Verdict

# Placing a gang takes one search for each task, so blocked gangs are retried
# only in reviews, a few at a time, and not at every end of a task.
_MAX_GANGS_RETRIED = 2
_MAX_BACKFILL_OFFERS = 3


class Scheduler:
    """Queues requests and decides what starts where and what is stopped."""

    def __init__(
        self,
        clock: clocks.Clock,
        policy: policies.Policy,
        holder: str = "",
    ):
        """Creates a scheduler without targets.

        Args:
            clock: Source of time.
            policy: Settings.
            holder: Incarnation of the entry whose allowance is charged.
        """
        self._clock = clock
        self._policy = policy
        self._holder = holder
        self._configuration = configurations.Configuration()
        self._allowances: dict[str, int] = {}
        self._shares = share_table.Shares(clock, policy)
        self._cluster = clusters.Cluster(clock, policy, self._shares)
        self._queues = queues.QueueSet()
        self._estimates = estimate_table.Estimates(policy)
        self._admission = admissions.Admission(clock, policy)
        self._placer = placement.Placer(self._cluster, policy)
        self._reservations = reservation_table.Reservations(
            policy, self._cluster, self._shares, self._estimates, self._placer
        )
        self._preemption = preemptions.Preemption(
            policy, self._cluster, self._shares, self._queues
        )
        self._outbox: list[decisions.Decision] = []
        self._attempts = attempt_table.Attempts(
            clock,
            policy,
            holder,
            self._cluster,
            self._estimates,
            self._preemption,
            self._outbox,
        )
        self._fleet = fleet.Fleet()
        self._start_count = 0
        self._offered_group: queues.RequestGroup | None = None
        self._offer_serial = 0
        self._backfill_offers = 0
        self._waiting = waiting.WaitingRequests(
            clock,
            policy,
            self._queues,
            self._attempts,
            self._admission,
            self._outbox,
        )
        self._next_review_s = -math.inf

    def configure(self, configuration: configurations.Configuration) -> None:
        """Applies a version of the cluster configuration."""
        self._configuration = configuration
        self._waiting.queues = configuration.queues
        for team in configuration.teams.values():
            self._shares.team(team.name).weight = max(team.share, 1e-6)
            self._apply_allowance(team.name)
        for node in self._cluster.nodes.values():
            was_out = node.out_of_service
            self._cluster.set_out_of_service(node, self._is_out(node.target))
            if node.out_of_service and not was_out and self._policy.evacuate:
                self._outbox += self._preemption.evacuate(node)

    def add_target(
        self, target: records.Target, running: list[records.Attempt]
    ) -> None:
        """Adds a claimed target and the attempts in its inventory."""
        self.remove_target(target.target_id)
        self._fleet.observe([target])
        node = self._cluster.add_node(target, self._is_out(target))
        for attempt in running:
            self._attempts.adopt(attempt, node)
            self._update_team_key(attempt.team)
        self._attempts.apply_quarantine(target.target_id)

    def remove_target(self, target_id: str) -> None:
        """Removes a target; its attempts stay charged until they end."""
        if target_id in self._cluster.nodes:
            detached = self._cluster.remove_node(target_id)
            for team in {running.attempt.team for running in detached}:
                self._update_team_key(team)

    def update_target(self, target_id: str, leaving: bool) -> None:
        """Sets whether a target is leaving; if so, nothing starts on it."""
        node = self._cluster.nodes.get(target_id)
        if node is None or node.target.leaving == leaving:
            return
        node.target = node.target._replace(leaving=leaving)
        self._cluster.refresh(node)
        self._cluster.freed.append(node)

    def observe_fleet(self, targets: list[records.Target]) -> None:
        """Records targets that other entries control.

        A request is refused as too large only if it fits on no target of the
        whole fleet.
        """
        self._fleet.observe(targets)

    def set_allowance(self, team: str, held: int) -> None:
        """Sets how many tasks of a team may be charged to this entry."""
        self._allowances[team] = held
        self._apply_allowance(team)

    def submit(self, request: records.Request) -> None:
        """Queues a new request.

        Raises:
            RequestError: The request is refused and has not run:
                `never_fits`, `queue_full` or `too_late`.
        """
        self._fleet.check(request)
        queue = self._configuration.queues.get(request.queue)
        self._admission.check(request, queue, self._measure_load(request))
        self._waiting.add(request, has_run=False)

    def requeue(
        self,
        request: records.Request,
        delay_s: float = 0.0,
        has_run: bool = True,
    ) -> None:
        """Queues a request that was accepted before.

        It is ordered by its original time of submission. While attempts of
        it still run here, it waits for their end.

        Args:
            request: The request.
            delay_s: Time before it is considered.
            has_run: Whether an earlier attempt may have run. If so, the
                request is never refused, since a refusal states that it has
                not run.
        """
        if request.key in self._cluster.by_request:
            self._waiting.park(request)
        else:
            self._waiting.add(request, has_run, delay_s)

    def cancel(self, request_key: str) -> bool:
        """Removes a waiting request; returns False if it does not wait."""
        self._attempts.forget(request_key)
        return self._waiting.remove(request_key)

    def queued(self, team: str | None = None) -> int:
        """Returns the number of waiting requests of one team or of all."""
        if team is not None:
            return self._queues.by_team[team]
        return len(self._queues.entries)

    def attempt_started(self, attempt_id: str) -> None:
        """Records that a target confirmed a start."""
        self._attempts.mark_started(attempt_id)

    def not_started(self, attempt_id: str) -> Verdict:
        """Records that an attempt was not started; returns RETRY."""
        return self._end(attempt_id, "not_started")

    def attempt_ended(self, attempt_id: str, outcome: str) -> Verdict:
        """Records the end of an attempt.

        Args:
            attempt_id: The attempt.
            outcome: finished (the task succeeded), failed, lost, preempted,
                or another value for any other end.

        Returns:
            COMPLETE when nothing is left to do, RETRY when the request is to
            be queued again with `requeue`, ABANDON when it is not to be run
            again.
        """
        return self._end(attempt_id, outcome)

    def report_usage(
        self, attempt_id: str, used: records.Resources, age_s: float
    ) -> None:
        """Records a usage reading that is `age_s` old."""
        self._attempts.report_usage(attempt_id, used, age_s)

    def _end(self, attempt_id: str, outcome: str) -> Verdict:
        running, verdict = self._attempts.end(attempt_id, outcome)
        if running is None:
            return verdict
        team = running.attempt.team
        self._update_team_key(team)
        self._queues.uncap(team)
        key = running.attempt.request_key
        if key not in self._cluster.by_request:
            self._waiting.unpark(key)
        return verdict

    def decide(self, limit: int) -> list[decisions.Decision]:
        """Returns up to `limit` decisions, already applied to its state."""
        now_s = self._clock.now()
        self._cluster.reopen_targets()
        self._waiting.run_timers(now_s)
        if now_s >= self._next_review_s:
            self._next_review_s = now_s + self._policy.review_interval_s
            self._review(now_s)
        chosen = self._outbox[:limit]
        del self._outbox[: len(chosen)]
        if len(chosen) < limit:
            self._start_reserved(now_s, chosen)
        # Groups that failed an earlier offer may fit capacity freed since.
        self._offer_serial += 1
        while len(chosen) < limit:
            self._offer_freed(now_s)
            group = self._choose_group()
            if group is None:
                self._offered_group = None
                break
            start = self._try_group(group, now_s)
            if start is not None:
                chosen.append(start)
        return chosen

    def _choose_group(self) -> queues.RequestGroup | None:
        overdue = self._queues.next_group(queues.Tier.OVERDUE)
        urgent = self._queues.next_group(queues.Tier.URGENT)
        if overdue is not None:
            overdue_turn = self._start_count % self._policy.overdue_every == 0
            if urgent is None or overdue_turn:
                return overdue
        if urgent is not None:
            return urgent
        reserve = self._policy.urgent_reserve
        reserve_reached = reserve > 0.0 and self._cluster.is_below_reserve(
            reserve
        )
        if reserve_reached and not self._cluster.probes:
            return None
        return self._queues.next_group(queues.Tier.PATIENT)

    def _try_group(
        self, group: queues.RequestGroup, now_s: float
    ) -> decisions.Start | None:
        entry = group.head()
        request = entry.request
        usage = self._shares.team(request.team)
        reservation = self._reservations.current
        headroom = usage.headroom()
        if reservation is None or reservation.entry is not entry:
            headroom -= usage.reserved_tasks
        if headroom < request.task_count:
            self._queues.cap(group)
            return None
        nodes = self._placer.place(entry, now_s)
        if nodes is None:
            node = self._reservations.find_backfill(entry, now_s)
            if node is None:
                group.failed_offer = self._offer_serial
                group.failed_at_s = now_s
                self._queues.block(group)
                return None
            return self._start(entry, [node], backfill=True)
        return self._start(entry, nodes)

    def _start(
        self,
        entry: queues.QueueEntry,
        nodes: list[packing.Node],
        backfill: bool = False,
    ) -> decisions.Start:
        request = entry.request
        reservation = self._reservations.current
        if reservation is not None and reservation.entry is entry:
            self._reservations.drop(self._clock.now())
            self._offer_serial += 1
        self._queues.remove(entry)
        self._queues.reposition(entry.group)
        self._start_count += 1
        started = self._attempts.start(request, entry.size, nodes, backfill)
        self._update_team_key(request.team)
        self._admission.record_start(request)
        return decisions.Start(request, started)

    def _start_reserved(
        self, now_s: float, chosen: list[decisions.Decision]
    ) -> None:
        if not self._cluster.freed:
            return
        nodes = self._reservations.find(now_s)
        if nodes is not None:
            chosen.append(self._start(self._reservations.current.entry, nodes))

    def _offer_freed(self, now_s: float) -> None:
        """Offers targets with freed capacity to the blocked groups."""
        offered = self._offered_group
        if offered is not None and offered.state is queues.GroupState.READY:
            return
        freed = self._cluster.freed
        while freed:
            node = freed[-1]
            available = self._capacity_to_offer(node, now_s)
            if available is not None:
                self._offered_group = self._queues.offer(
                    available, self._offer_serial
                )
                if self._offered_group is not None:
                    return
            freed.pop()
            self._offer_serial += 1
            self._backfill_offers = 0

    def _capacity_to_offer(
        self, node: packing.Node, now_s: float
    ) -> records.Resources | None:
        if not (node.open_at(now_s) or node.quarantined):
            return None
        if node.slots() > 0 and not node.reserved_slots:
            return node.free
        # Whether a request fits as backfill depends on its run time, so only a
        # few groups are tried for each freed target.
        if node.free_slots > 0 and self._backfill_offers < _MAX_BACKFILL_OFFERS:
            self._backfill_offers += 1
            return node.free
        return node.available() if node.slots() > 0 else None

    def _retry_gangs(self) -> None:
        """Retries a few blocked gangs, which no offer of a target wakes."""
        groups = [
            group
            for tier in queues.Tier
            for group in self._queues.blocked(tier)
            if group.head() is not None
            and 1 < group.head().request.task_count <= self._cluster.free_slots
        ]
        groups.sort(key=lambda group: group.failed_at_s)
        for group in groups[:_MAX_GANGS_RETRIED]:
            self._queues.reconsider(group)

    def _review(self, now_s: float) -> None:
        self._outbox += self._preemption.review(now_s)
        for usage in self._shares:
            self._update_team_key(usage.name)
            if usage.charged - usage.stopping_own > usage.allowance:
                self._outbox += self._preemption.enforce_allowance(usage.name)
        self._review_reservations(now_s)
        self._retry_gangs()

    def _review_reservations(self, now_s: float) -> None:
        self._reservations.review(self._list_reservable(now_s), now_s)
        nodes = self._reservations.find(
            now_s
        ) or self._reservations.find_elsewhere(now_s)
        if nodes is not None:
            entry = self._reservations.current.entry
            self._outbox.append(self._start(entry, nodes))
        for running in self._reservations.backfill_overruns(now_s):
            reason = "backfilled task overran its run time"
            self._outbox.append(self._preemption.preempt(running, reason))

    def _list_reservable(self, now_s: float) -> list[queues.QueueEntry]:
        after_s = self._policy.hold_after_s
        found = []
        for group in self._queues.blocked_or_capped():
            entry = group.head()
            if entry is None:
                continue
            waited_s = now_s - entry.queued_s
            if reservation_table.may_reserve(entry, waited_s, after_s):
                found.append(entry)
            if waited_s >= self._policy.unplaceable_after_s:
                self._refuse_unplaceable(entry)
        return found

    def _refuse_unplaceable(self, entry: queues.QueueEntry) -> None:
        """Refuses a gang that does not fit even on empty local targets."""
        request = entry.request
        if request.task_count == 1 or entry.has_run:
            return
        if not self._cluster.nodes or self._cluster.could_fit(request):
            return
        self._queues.remove(entry)
        message = (
            f"{request.task_count} tasks do not fit on the"
            f" {len(self._cluster.nodes)} targets of this entry"
        )
        kind = exceptions.ErrorKind.NEVER_FITS
        self._outbox.append(decisions.Refuse(request, kind, message))

    def _measure_load(self, request: records.Request) -> admissions.Load:
        return admissions.Load(
            total=len(self._queues.entries),
            in_queue=self._queues.by_queue[request.queue],
            ahead=self._queues.by_tier[queues.Tier.URGENT],
            blocked=self._queues.has_blocked(queues.Tier.URGENT),
        )

    def _apply_allowance(self, name: str) -> None:
        held = self._allowances.get(name, 0)
        team = self._configuration.teams.get(name)
        if team is not None:
            held = min(held, team.max_running)
        usage = self._shares.team(name)
        raised = held > usage.allowance
        usage.allowance = held
        if raised:
            self._queues.uncap(name)
        elif usage.charged - usage.stopping_own > held:
            self._outbox += self._preemption.enforce_allowance(name)

    def _is_out(self, target: records.Target) -> bool:
        configuration = self._configuration
        return (
            target.target_id in configuration.targets_out
            or target.failure_domain in configuration.domains_out
        )

    def _update_team_key(self, team: str) -> None:
        self._queues.set_team_key(team, self._shares.key(team))

    @property
    def cluster(self) -> clusters.Cluster:
        """The targets controlled here; only the scheduler modifies it."""
        return self._cluster

    @property
    def shares(self) -> share_table.Shares:
        """The usage of these targets by team; read only."""
        return self._shares

    @property
    def queues(self) -> queues.QueueSet:
        """The waiting requests; read only."""
        return self._queues

    def explain(self, request_key: str) -> str:
        """Returns a message on why a request waits or where it runs."""
        return explanations.explain(
            request_key,
            self._queues,
            self._cluster,
            self._shares,
            self._reservations,
            self._waiting,
        )

    def summaries(self) -> list[protocol.TeamSummary]:
        """Returns the load of teams with an allowance, tasks or requests."""
        return [
            protocol.TeamSummary(
                usage.name,
                max(0, usage.headroom()),
                self._queues.by_team[usage.name],
                usage.charged,
            )
            for usage in self._shares
            if usage.allowance
            or usage.charged
            or self._queues.by_team[usage.name]
        ]
