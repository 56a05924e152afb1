"""Choice of the attempts to preempt.

Attempts are preempted for urgent requests, for fair shares, to keep a lowered
allowance and to evacuate a target. Non-idempotent work is never preempted (see
`cluster.preemption_cost`).
"""

import itertools
import typing

from quetzalswitch import cluster as clusters
from quetzalswitch import decisions
from quetzalswitch import packing
from quetzalswitch import policy as policies
from quetzalswitch import queues
from quetzalswitch import records
from quetzalswitch import shares as share_table

# Attempts examined to find victims for one request.
_MAX_CANDIDATES = 64
# Minimum time between preemptions for the same request; covers the duration of
# an ordinary checkpoint.
_PREEMPTION_INTERVAL_S = 5.0
_CHECKPOINTABLE = 0
_RESTARTABLE = 1

Victims = list[clusters.RunningAttempt]


class Preemption:
    """Chooses attempts to preempt."""

    def __init__(
        self,
        policy: policies.Policy,
        cluster: clusters.Cluster,
        shares: share_table.Shares,
        queue_set: queues.QueueSet,
    ):
        self._policy = policy
        self._cluster = cluster
        self._shares = shares
        self._queues = queue_set
        self._next_preemption_s: dict[str, float] = {}

    def review(self, now_s: float) -> list[decisions.Preempt]:
        """Returns the preemptions due now for urgent requests and shares."""
        for key, next_s in list(self._next_preemption_s.items()):
            if next_s <= now_s:
                del self._next_preemption_s[key]
        chosen = self._preempt_for_urgent(now_s)
        chosen += self._preempt_for_shares(now_s)
        return chosen

    def enforce_allowance(self, team: str) -> list[decisions.Preempt]:
        """Returns preemptions that bring a team down to its allowance."""
        usage = self._shares.team(team)
        own = [
            r for r in self._preemptible_of_team(team, _RESTARTABLE) if r.own
        ]
        excess = usage.charged - usage.stopping_own - usage.allowance
        reason = f"allowance of team {team} lowered to {usage.allowance}"
        return [self._preempt(r, reason) for r in own[: max(0, excess)]]

    def evacuate(self, node: packing.Node) -> list[decisions.Preempt]:
        """Returns the preemptions that evacuate an out-of-service target."""
        reason = f"target {node.target.target_id} was taken out of service"
        running = map(self._cluster.running.get, sorted(node.attempts))
        preemptible = [r for r in running if r.preemption_key is not None]
        return [self._preempt(r, reason) for r in preemptible]

    def preempt(
        self, running: clusters.RunningAttempt, reason: str
    ) -> typing.Any:
        """Marks one attempt as stopping and returns its preemption."""
        return self._preempt(running, reason)

    def _preempt_for_urgent(self, now_s: float) -> list[decisions.Preempt]:
        after_s = self._policy.urgent_preempt_after_s
        if after_s is None:
            return []
        chosen: list[decisions.Preempt] = []
        for group in self._queues.awaiting_capacity(queues.Tier.URGENT):
            entry = group.head()
            if entry is None or now_s - entry.queued_s < after_s:
                continue
            if not self._may_preempt_for(entry, now_s):
                continue
            victims = self._find_victims(entry, self._cluster.preemptible())
            reason = f"capacity for urgent request {entry.request.key}"
            chosen += self._preempt_all(entry, victims, reason, now_s)
        return chosen

    def _preempt_for_shares(self, now_s: float) -> list[decisions.Preempt]:
        return_s = self._policy.share_return_s
        if return_s is None:
            return []
        starved = self._find_starved(now_s, 0.5 * return_s)
        if not starved:
            return []
        active = {usage.name for usage in self._shares if usage.slots}
        active.update(entry.request.team for _, entry in starved)
        entitled = self._shares.entitlements(active)
        chosen: list[decisions.Preempt] = []
        expected = {}
        for waited_s, entry in starved:
            team = entry.request.team
            current_share = expected.get(team)
            if current_share is None:
                current_share = self._shares.remaining_share(
                    self._shares.team(team)
                )
            fraction = (
                self._shares.fraction(entry.size) * entry.request.task_count
            )
            if current_share + fraction > entitled[team] + 1e-9:
                continue
            max_cost = _CHECKPOINTABLE if waited_s < return_s else _RESTARTABLE
            victims = self._find_over_share(entry, entitled, max_cost)
            reason = f"team {team} reclaims its share"
            chosen += self._preempt_all(entry, victims, reason, now_s)
            if victims:
                expected[team] = current_share + fraction
            if len(chosen) >= self._policy.preemptions_per_review:
                break
        return chosen

    def _find_starved(
        self, now_s: float, after_s: float
    ) -> list[tuple[float, queues.QueueEntry]]:
        """Returns requests that wait for capacity, the longest wait first."""
        starved = []
        for tier in queues.Tier:
            for group in self._queues.awaiting_capacity(tier):
                for entry in group.first(self._policy.preemptions_per_review):
                    waited_s = now_s - entry.queued_s
                    if waited_s >= after_s and self._may_preempt_for(
                        entry, now_s
                    ):
                        starved.append((waited_s, entry))
        starved.sort(key=lambda item: -item[0])
        return starved

    def _find_over_share(
        self,
        entry: queues.QueueEntry,
        entitled: dict[str, float],
        max_cost: int,
    ) -> Victims:
        """Returns victims from one team, trying the largest excess first."""
        excess = []
        for usage in self._shares:
            above_share = self._shares.remaining_share(usage) - entitled.get(
                usage.name, 0.0
            )
            if above_share > self._policy.share_tolerance:
                excess.append((-above_share, usage.name))
        for above_share, team in sorted(excess):
            if team == entry.request.team:
                continue
            victims = self._find_victims(
                entry, self._preemptible_of_team(team, max_cost)
            )
            freed_share = sum(
                self._shares.fraction(v.attempt.size) for v in victims
            )
            if (
                victims
                and freed_share <= -above_share + self._policy.share_tolerance
            ):
                return victims
        return []

    def _find_victims(
        self,
        entry: queues.QueueEntry,
        candidates: typing.Iterable[clusters.RunningAttempt],
    ) -> Victims:
        """Returns attempts of one target that free enough capacity.

        Candidates are taken in the given order until those of one target
        suffice.
        """
        by_node: dict[packing.Node, Victims] = {}
        for running in itertools.islice(candidates, _MAX_CANDIDATES):
            node = running.node
            if (
                node is None
                or node.out_of_service
                or node.target.leaving
                or node.quarantined
            ):
                continue
            victims = by_node.setdefault(node, [])
            victims.append(running)
            available = node.available()
            for victim in victims:
                available = available.plus(victim.attempt.size)
            slots = node.slots() + len(victims)
            if slots > 0 and entry.size.fits_in(available):
                return victims
        return []

    def _preemptible_of_team(
        self, team: str, max_cost: int
    ) -> typing.Iterator[clusters.RunningAttempt]:
        running = self._cluster.running
        keys = self._cluster.preemptible_by_team.get(team, ())
        return (running[key[2]] for key in keys if key[0] <= max_cost)

    def _may_preempt_for(self, entry: queues.QueueEntry, now_s: float) -> bool:
        return self._next_preemption_s.get(entry.request.key, 0.0) <= now_s

    def _preempt_all(
        self,
        entry: queues.QueueEntry,
        victims: Victims,
        reason: str,
        now_s: float,
    ) -> list[decisions.Preempt]:
        if victims:
            self._next_preemption_s[entry.request.key] = (
                now_s + _PREEMPTION_INTERVAL_S
            )
        return [self._preempt(running, reason) for running in victims]

    def _preempt(
        self, running: clusters.RunningAttempt, reason: str
    ) -> decisions.Preempt:
        self._cluster.mark_stopping(running)
        match running.request:
            case records.Request(kind=records.Batch(checkpointable=True)):
                checkpoint = True
            case _:
                checkpoint = False
        attempt = running.attempt
        return decisions.Preempt(
            attempt.attempt_id, attempt.target_id, checkpoint, reason
        )
