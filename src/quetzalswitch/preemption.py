"""Which attempts are preempted: for urgent work, shares, limits and domains.

Non-idempotent work is never among them (see `cluster.movability`).
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

# Attempts looked at to make room for one request.
_LOOKED_AT = 64
# Time given to a preempted attempt before room is made for the same request
# again; covers a checkpoint of ordinary length.
_SETTLE_S = 5.0
_CHECKPOINTABLE = 0
_RESTARTABLE = 1

Victims = list[clusters.Running]


class Preemption:
    """Chooses attempts to preempt."""

    def __init__(
        self,
        policy: policies.Policy,
        cluster: clusters.Cluster,
        shares: share_table.Shares,
        waiting: queues.QueueSet,
    ):
        self._policy = policy
        self._cluster = cluster
        self._shares = shares
        self._waiting = waiting
        self._settled_s: dict[str, float] = {}

    def review(self, now_s: float) -> list[decisions.Preempt]:
        """Returns what to preempt now for urgent work and for shares."""
        for key, settled_s in list(self._settled_s.items()):
            if settled_s <= now_s:
                del self._settled_s[key]
        chosen = self._for_urgent(now_s)
        chosen += self._for_shares(now_s)
        return chosen

    def lower(self, team: str) -> list[decisions.Preempt]:
        """Returns what to preempt so that a team keeps to its allowance."""
        use = self._shares.team(team)
        own = [r for r in self._of_team(team, _RESTARTABLE) if r.own]
        excess = use.charged - use.stopping_own - use.allowance
        reason = f"allowance of team {team} lowered to {use.allowance}"
        return [self._preempt(r, reason) for r in own[: max(0, excess)]]

    def evacuate(self, node: packing.Node) -> list[decisions.Preempt]:
        """Returns what to move off a target that was taken out."""
        reason = f"target {node.target.target_id} was taken out of service"
        running = map(self._cluster.running.get, sorted(node.attempts))
        movable = [r for r in running if r.move_key is not None]
        return [self._preempt(r, reason) for r in movable]

    def stop(self, running: clusters.Running, reason: str) -> typing.Any:
        """Returns the preemption of one given attempt."""
        return self._preempt(running, reason)

    def _for_urgent(self, now_s: float) -> list[decisions.Preempt]:
        after_s = self._policy.urgent_preempt_after_s
        if after_s is None:
            return []
        chosen: list[decisions.Preempt] = []
        for lane in self._waiting.wanting(queues.Tier.URGENT):
            entry = lane.head()
            if entry is None or now_s - entry.queued_s < after_s:
                continue
            if not self._may_settle(entry, now_s):
                continue
            victims = self._make_room(entry, self._cluster.movable())
            reason = f"room for urgent request {entry.request.key}"
            chosen += self._take(entry, victims, reason, now_s)
        return chosen

    def _for_shares(self, now_s: float) -> list[decisions.Preempt]:
        return_s = self._policy.share_return_s
        if return_s is None:
            return []
        needy = self._find_needy(now_s, 0.5 * return_s)
        if not needy:
            return []
        active = {use.name for use in self._shares if use.slots}
        active.update(entry.request.team for _, entry in needy)
        due = self._shares.entitlements(active)
        chosen: list[decisions.Preempt] = []
        expected = {}
        for waited_s, entry in needy:
            team = entry.request.team
            have = expected.get(team)
            if have is None:
                have = self._shares.remaining(self._shares.team(team))
            part = self._shares.part(entry.size) * entry.request.task_count
            if have + part > due[team] + 1e-9:
                continue
            most = _CHECKPOINTABLE if waited_s < return_s else _RESTARTABLE
            victims = self._find_lent(entry, due, most)
            reason = f"share of team {team} is claimed back"
            chosen += self._take(entry, victims, reason, now_s)
            if victims:
                expected[team] = have + part
            if len(chosen) >= self._policy.preemptions_per_review:
                break
        return chosen

    def _find_needy(
        self, now_s: float, after_s: float
    ) -> list[tuple[float, queues.Entry]]:
        """Returns waiting requests that nothing has room for, oldest first."""
        needy = []
        for tier in queues.Tier:
            for lane in self._waiting.wanting(tier):
                for entry in lane.first(self._policy.preemptions_per_review):
                    waited_s = now_s - entry.queued_s
                    if waited_s >= after_s and self._may_settle(entry, now_s):
                        needy.append((waited_s, entry))
        needy.sort(key=lambda item: -item[0])
        return needy

    def _find_lent(
        self, entry: queues.Entry, due: dict[str, float], most: int
    ) -> Victims:
        """Returns attempts of the team that is furthest above its share."""
        excess = []
        for use in self._shares:
            above = self._shares.remaining(use) - due.get(use.name, 0.0)
            if above > self._policy.share_tolerance:
                excess.append((-above, use.name))
        for above, team in sorted(excess):
            if team == entry.request.team:
                continue
            victims = self._make_room(entry, self._of_team(team, most))
            lost = sum(self._shares.part(v.attempt.size) for v in victims)
            if victims and lost <= -above + self._policy.share_tolerance:
                return victims
        return []

    def _make_room(
        self,
        entry: queues.Entry,
        candidates: typing.Iterable[clusters.Running],
    ) -> Victims:
        """Returns the fewest attempts of one target whose end makes room."""
        by_node: dict[packing.Node, Victims] = {}
        for running in itertools.islice(candidates, _LOOKED_AT):
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
            room = node.room()
            for victim in victims:
                room = room.plus(victim.attempt.size)
            slots = node.slots() + len(victims)
            if slots > 0 and entry.size.fits_in(room):
                return victims
        return []

    def _of_team(
        self, team: str, most: int
    ) -> typing.Iterator[clusters.Running]:
        running = self._cluster.running
        keys = self._cluster.movable_of.get(team, ())
        return (running[key[2]] for key in keys if key[0] <= most)

    def _may_settle(self, entry: queues.Entry, now_s: float) -> bool:
        return self._settled_s.get(entry.request.key, 0.0) <= now_s

    def _take(
        self,
        entry: queues.Entry,
        victims: Victims,
        reason: str,
        now_s: float,
    ) -> list[decisions.Preempt]:
        if victims:
            self._settled_s[entry.request.key] = now_s + _SETTLE_S
        return [self._preempt(running, reason) for running in victims]

    def _preempt(
        self, running: clusters.Running, reason: str
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
