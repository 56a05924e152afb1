"""The scheduler of one entry process over the targets that it controls.

It is pure: it reads the clock, keeps its own state and returns decisions,
which the entry process carries out and reports back.
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

# Looking for room for a gang costs a search for each task, so it is not done
# at every end of a task.
_GANGS_RETRIED = 2
_BACKFILL_OFFERS = 3


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
        self._held: dict[str, int] = {}
        self._shares = share_table.Shares(clock, policy)
        self._cluster = clusters.Cluster(clock, policy, self._shares)
        self._queues = queues.QueueSet()
        self._estimates = estimate_table.Estimates(policy)
        self._admission = admissions.Admission(clock, policy)
        self._placer = placement.Placer(self._cluster, policy)
        self._holds = reservation_table.Holds(
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
        self._turn = 0
        self._offered: queues.Lane | None = None
        self._offer_serial = 0
        self._backfill_offers = 0
        self._waiting = waiting.Waiting(
            clock,
            policy,
            self._queues,
            self._attempts,
            self._admission,
            self._outbox,
        )
        self._next_review_s = -math.inf

    # Configuration and targets.

    def configure(self, configuration: configurations.Configuration) -> None:
        """Puts a version of the cluster configuration in force."""
        self._configuration = configuration
        self._waiting.queues = configuration.queues
        for team in configuration.teams.values():
            self._shares.team(team.name).weight = max(team.share, 1e-6)
            self._apply_allowance(team.name)
        for node in self._cluster.nodes.values():
            was_out = node.out_of_service
            self._cluster.set_out(node, self._is_out(node.target))
            if node.out_of_service and not was_out and self._policy.evacuate:
                self._outbox += self._preemption.evacuate(node)

    def add_target(
        self, target: records.Target, running: list[records.Attempt]
    ) -> None:
        """Adds a claimed target with the attempts of its inventory."""
        self.remove_target(target.target_id)
        self._fleet.observe([target])
        node = self._cluster.add_node(target, self._is_out(target))
        for attempt in running:
            self._attempts.adopt(attempt, node)
            self._update_key(attempt.team)
        self._attempts.apply_quarantine(target.target_id)

    def remove_target(self, target_id: str) -> None:
        """Takes away a target; its attempts stay charged until they end."""
        if target_id in self._cluster.nodes:
            detached = self._cluster.remove_node(target_id)
            for team in {running.attempt.team for running in detached}:
                self._update_key(team)

    def update_target(self, target_id: str, leaving: bool) -> None:
        """Notes whether a target is leaving; nothing starts on it then."""
        node = self._cluster.nodes.get(target_id)
        if node is None or node.target.leaving == leaving:
            return
        node.target = node.target._replace(leaving=leaving)
        self._cluster.refresh(node)
        self._cluster.freed.append(node)

    def observe_fleet(self, targets: list[records.Target]) -> None:
        """Learns of targets that other entries control.

        A request is refused as too large only if it fits none of the fleet.
        """
        self._fleet.observe(targets)

    def set_allowance(self, team: str, held: int) -> None:
        """Sets how many tasks of a team may be charged to this entry."""
        self._held[team] = held
        self._apply_allowance(team)

    # Requests.

    def submit(self, request: records.Request) -> None:
        """Queues a new request.

        Raises:
            RequestError: It is refused and has not run: `never_fits`,
                `queue_full` or `too_late`.
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
        """Queues a request again that was accepted before.

        It keeps its place by its time of submission. While attempts of it
        still run here it waits for their end.

        Args:
            request: The request.
            delay_s: Time before it is considered.
            has_run: Whether an earlier attempt may have run. If so it is
                never refused, since "not run" would not be true.
        """
        if request.key in self._cluster.by_request:
            self._waiting.park(request)
        else:
            self._waiting.add(request, has_run, delay_s)

    def cancel(self, request_key: str) -> bool:
        """Takes a waiting request out; false if it does not wait here."""
        self._attempts.forget(request_key)
        return self._waiting.remove(request_key)

    def queued(self, team: str | None = None) -> int:
        """Returns how many requests wait, of one team or of all."""
        if team is not None:
            return self._queues.by_team[team]
        return len(self._queues.entries)

    # Reports on attempts.

    def attempt_started(self, attempt_id: str) -> None:
        """Notes that a target confirmed a start."""
        self._attempts.mark_started(attempt_id)

    def not_started(self, attempt_id: str) -> Verdict:
        """Notes that a start did not take effect; returns RETRY."""
        return self._end(attempt_id, "not_started")

    def attempt_ended(self, attempt_id: str, outcome: str) -> Verdict:
        """Notes the end of an attempt.

        Args:
            attempt_id: The attempt.
            outcome: finished (the task succeeded), failed, lost, preempted,
                or anything else for an end that calls for nothing.

        Returns:
            COMPLETE when nothing is left to do, RETRY when the request is to
            be queued again with `requeue`, ABANDON when it is not to be run
            again.
        """
        return self._end(attempt_id, outcome)

    def report_usage(
        self, attempt_id: str, used: records.Resources, age_s: float
    ) -> None:
        """Takes a usage reading that is `age_s` old."""
        self._attempts.report_usage(attempt_id, used, age_s)

    def _end(self, attempt_id: str, outcome: str) -> Verdict:
        running, verdict = self._attempts.end(attempt_id, outcome)
        if running is None:
            return verdict
        team = running.attempt.team
        self._update_key(team)
        self._queues.uncap(team)
        key = running.attempt.request_key
        if key not in self._cluster.by_request:
            self._waiting.unpark(key)
        return verdict

    # Decisions.

    def decide(self, limit: int) -> list[decisions.Decision]:
        """Returns up to `limit` decisions, which are in force already."""
        now_s = self._clock.now()
        self._cluster.wake()
        self._waiting.ring_timers(now_s)
        if now_s >= self._next_review_s:
            self._next_review_s = now_s + self._policy.review_interval_s
            self._review(now_s)
        chosen = self._outbox[:limit]
        del self._outbox[: len(chosen)]
        if len(chosen) < limit:
            self._start_held(now_s, chosen)
        # What failed to use an earlier offer may fit what was freed since.
        self._offer_serial += 1
        while len(chosen) < limit:
            self._offer_freed(now_s)
            lane = self._choose_lane()
            if lane is None:
                self._offered = None
                break
            start = self._try_lane(lane, now_s)
            if start is not None:
                chosen.append(start)
        return chosen

    def _choose_lane(self) -> queues.Lane | None:
        overdue = self._queues.next_lane(queues.Tier.OVERDUE)
        urgent = self._queues.next_lane(queues.Tier.URGENT)
        if overdue is not None:
            turn = self._turn % self._policy.overdue_every == 0
            if urgent is None or turn:
                return overdue
        if urgent is not None:
            return urgent
        reserve = self._policy.urgent_reserve
        full = reserve > 0.0 and self._cluster.is_reserved(reserve)
        if full and not self._cluster.probes:
            return None
        return self._queues.next_lane(queues.Tier.PATIENT)

    def _try_lane(
        self, lane: queues.Lane, now_s: float
    ) -> decisions.Start | None:
        entry = lane.head()
        request = entry.request
        use = self._shares.team(request.team)
        hold = self._holds.current
        headroom = use.headroom()
        if hold is None or hold.entry is not entry:
            headroom -= use.reserved
        if headroom < request.task_count:
            self._queues.cap(lane)
            return None
        nodes = self._placer.place(entry, now_s)
        if nodes is None:
            node = self._holds.find_backfill(entry, now_s)
            if node is None:
                lane.tried = self._offer_serial
                lane.tried_s = now_s
                self._queues.block(lane)
                return None
            return self._start(entry, [node], backfill=True)
        return self._start(entry, nodes)

    def _start(
        self,
        entry: queues.Entry,
        nodes: list[packing.Node],
        backfill: bool = False,
    ) -> decisions.Start:
        request = entry.request
        hold = self._holds.current
        if hold is not None and hold.entry is entry:
            self._holds.drop(self._clock.now())
            self._offer_serial += 1
        self._queues.remove(entry)
        self._queues.settle(entry.lane)
        self._turn += 1
        started = self._attempts.start(request, entry.size, nodes, backfill)
        self._update_key(request.team)
        self._admission.record_start(request)
        return decisions.Start(request, started)

    def _start_held(
        self, now_s: float, chosen: list[decisions.Decision]
    ) -> None:
        if not self._cluster.freed:
            return
        nodes = self._holds.find(now_s)
        if nodes is not None:
            chosen.append(self._start(self._holds.current.entry, nodes))

    def _offer_freed(self, now_s: float) -> None:
        """Offers targets that have got room to the lanes that wait for it."""
        offered = self._offered
        if offered is not None and offered.state is queues.LaneState.READY:
            return
        freed = self._cluster.freed
        while freed:
            node = freed[-1]
            room = self._room_to_offer(node, now_s)
            if room is not None:
                self._offered = self._queues.offer(room, self._offer_serial)
                if self._offered is not None:
                    return
            freed.pop()
            self._offer_serial += 1
            self._backfill_offers = 0

    def _room_to_offer(
        self, node: packing.Node, now_s: float
    ) -> records.Resources | None:
        if not (node.open_at(now_s) or node.quarantined):
            return None
        if node.slots() > 0 and not node.held_slots:
            return node.free
        # Whether work fits as backfill depends on its run time, so only a few
        # lanes are tried for each end of a task.
        if node.free_slots > 0 and self._backfill_offers < _BACKFILL_OFFERS:
            self._backfill_offers += 1
            return node.free
        return node.room() if node.slots() > 0 else None

    def _retry_gangs(self) -> None:
        """Tries a few gangs again for which no single target is decisive."""
        lanes = [
            lane
            for tier in queues.Tier
            for lane in self._queues.blocked(tier)
            if lane.head() is not None
            and 1 < lane.head().request.task_count <= self._cluster.free_slots
        ]
        lanes.sort(key=lambda lane: lane.tried_s)
        for lane in lanes[:_GANGS_RETRIED]:
            self._queues.reconsider(lane)

    def _review(self, now_s: float) -> None:
        self._outbox += self._preemption.review(now_s)
        for use in self._shares:
            self._update_key(use.name)
            if use.charged - use.stopping_own > use.allowance:
                self._outbox += self._preemption.lower(use.name)
        self._review_holds(now_s)
        self._retry_gangs()

    def _review_holds(self, now_s: float) -> None:
        self._holds.review(self._list_hold_candidates(now_s), now_s)
        nodes = self._holds.find(now_s) or self._holds.find_elsewhere(now_s)
        if nodes is not None:
            entry = self._holds.current.entry
            self._outbox.append(self._start(entry, nodes))
        for running in self._holds.overruns(now_s):
            reason = "backfilled task overran its run time"
            self._outbox.append(self._preemption.stop(running, reason))

    def _list_hold_candidates(self, now_s: float) -> list[queues.Entry]:
        after_s = self._policy.hold_after_s
        found = []
        for lane in self._queues.set_aside():
            entry = lane.head()
            if entry is None:
                continue
            waited_s = now_s - entry.queued_s
            if reservation_table.may_hold(entry, waited_s, after_s):
                found.append(entry)
            if waited_s >= self._policy.unplaceable_after_s:
                self._refuse_unplaceable(entry)
        return found

    def _refuse_unplaceable(self, entry: queues.Entry) -> None:
        """Refuses a gang that our targets can't hold even when empty."""
        request = entry.request
        if request.task_count == 1 or entry.has_run:
            return
        if not self._cluster.nodes or self._cluster.could_hold(request):
            return
        self._queues.remove(entry)
        message = (
            f"{request.task_count} tasks do not fit on the"
            f" {len(self._cluster.nodes)} targets of this entry"
        )
        kind = exceptions.ErrorKind.NEVER_FITS
        self._outbox.append(decisions.Refuse(request, kind, message))

    # Bookkeeping.

    def _measure_load(self, request: records.Request) -> admissions.Load:
        return admissions.Load(
            total=len(self._queues.entries),
            in_queue=self._queues.by_queue[request.queue],
            ahead=self._queues.by_tier[queues.Tier.URGENT],
            full=self._queues.has_blocked(queues.Tier.URGENT),
        )

    def _apply_allowance(self, name: str) -> None:
        held = self._held.get(name, 0)
        team = self._configuration.teams.get(name)
        if team is not None:
            held = min(held, team.max_running)
        use = self._shares.team(name)
        raised = held > use.allowance
        use.allowance = held
        if raised:
            self._queues.uncap(name)
        elif use.charged - use.stopping_own > held:
            self._outbox += self._preemption.lower(name)

    def _is_out(self, target: records.Target) -> bool:
        configuration = self._configuration
        return (
            target.target_id in configuration.targets_out
            or target.failure_domain in configuration.domains_out
        )

    def _update_key(self, team: str) -> None:
        self._queues.set_team_key(team, self._shares.key(team))

    # What operators and other entries see.

    @property
    def cluster(self) -> clusters.Cluster:
        """The targets controlled here; only the scheduler changes it."""
        return self._cluster

    @property
    def shares(self) -> share_table.Shares:
        """The use of these targets by team, to be read only."""
        return self._shares

    @property
    def queues(self) -> queues.QueueSet:
        """The waiting requests, to be read only."""
        return self._queues

    def explain(self, request_key: str) -> str:
        """Returns in words why a request waits or where it runs."""
        return explanations.explain(
            request_key,
            self._queues,
            self._cluster,
            self._shares,
            self._holds,
            self._waiting,
        )

    def summaries(self) -> list[protocol.TeamSummary]:
        """Returns the load of each team with anything queued or held."""
        return [
            protocol.TeamSummary(
                use.name,
                max(0, use.headroom()),
                self._queues.by_team[use.name],
                use.charged,
            )
            for use in self._shares
            if use.allowance or use.charged or self._queues.by_team[use.name]
        ]
