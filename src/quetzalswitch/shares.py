"""Weighted dominant-resource shares of teams, with decaying history."""

import typing

from quetzalswitch import clock as clocks
from quetzalswitch import packing
from quetzalswitch import policy as policies
from quetzalswitch import records


class TeamUse:
    """What one team uses.

    Attributes:
        weight: Share set by operators.
        used: Reserved size of its attempts on local targets.
        slots: Slots used by its attempts on local targets.
        charged: Attempts charged to this entry's allowance.
        allowance: Attempts that may be charged to this entry.
        reserved: Part of the allowance held back for a gang.
        stopping: Size of attempts whose stop has been decided.
        stopping_slots: Number of those attempts.
        stopping_own: Number of those charged to this entry's allowance.
        history: Decayed average of the dominant part.
        history_s: Time at which the history was last brought up to date.
    """

    __slots__ = (
        "name",
        "weight",
        "used",
        "slots",
        "charged",
        "allowance",
        "reserved",
        "stopping",
        "stopping_slots",
        "stopping_own",
        "history",
        "history_s",
    )

    def __init__(self, name: str, now_s: float):
        self.name = name
        self.weight = 1.0
        self.used = packing.NO_RESOURCES
        self.slots = 0
        self.charged = 0
        self.allowance = 0
        self.reserved = 0
        self.stopping = packing.NO_RESOURCES
        self.stopping_slots = 0
        self.stopping_own = 0
        self.history = 0.0
        self.history_s = now_s

    def headroom(self) -> int:
        """Returns how many tasks may still start, gang holds aside."""
        return self.allowance - self.charged


class Shares:
    """Use of the local targets by team."""

    def __init__(self, clock: clocks.Clock, policy: policies.Policy):
        self._clock = clock
        self._policy = policy
        self._teams: dict[str, TeamUse] = {}
        self._capacity = packing.NO_RESOURCES
        self._slots = 0

    def __iter__(self) -> typing.Iterator[TeamUse]:
        return iter(self._teams.values())

    def team(self, name: str) -> TeamUse:
        """Returns the use of a team; unknown teams have weight 1."""
        use = self._teams.get(name)
        if use is None:
            use = TeamUse(name, self._clock.now())
            self._teams[name] = use
        return use

    def set_capacity(self, capacity: records.Resources, slots: int) -> None:
        """Sets the size that shares are parts of."""
        self._capacity = capacity
        self._slots = slots

    def charge(self, name: str, size: records.Resources) -> None:
        """Adds the room of an attempt."""
        use = self.team(name)
        self._decay(use)
        use.used = use.used.plus(size)
        use.slots += 1

    def release(self, name: str, size: records.Resources) -> None:
        """Takes the room of an attempt away."""
        use = self.team(name)
        self._decay(use)
        use.used = use.used.minus(size)
        use.slots -= 1

    def note_stopping(
        self, name: str, size: records.Resources, change: int
    ) -> None:
        """Counts attempts (`change` 1 or -1) that are about to end."""
        use = self.team(name)
        add = use.stopping.plus if change > 0 else use.stopping.minus
        use.stopping = add(size)
        use.stopping_slots += change

    def remaining(self, use: TeamUse) -> float:
        """Returns the dominant part once the stopping attempts are gone."""
        return self._dominant(
            use.used.minus(use.stopping), use.slots - use.stopping_slots
        )

    def part(self, size: records.Resources) -> float:
        """Returns the dominant part of one task."""
        return self._dominant(size, 1)

    def dominant_share(self, use: TeamUse) -> float:
        """Returns the largest part of any resource that a team uses."""
        return self._dominant(use.used, use.slots)

    def _dominant(self, used: records.Resources, slots: int) -> float:
        capacity = self._capacity
        part = slots / self._slots if self._slots else 0.0
        if capacity.cores:
            part = max(part, used.cores / capacity.cores)
        if capacity.memory_mb:
            part = max(part, used.memory_mb / capacity.memory_mb)
        if capacity.accelerators:
            part = max(part, used.accelerators / capacity.accelerators)
        return part

    def key(self, name: str) -> float:
        """Returns the position of a team; the lowest is served first."""
        use = self.team(name)
        self._decay(use)
        weight = self._policy.share_history_weight
        return (self.dominant_share(use) + weight * use.history) / use.weight

    def entitlements(self, active: typing.Collection[str]) -> dict[str, float]:
        """Returns the part of the capacity due to each active team."""
        total = sum(self.team(name).weight for name in active)
        return {name: self.team(name).weight / total for name in active}

    def _decay(self, use: TeamUse) -> None:
        now_s = self._clock.now()
        passed_s = now_s - use.history_s
        if passed_s <= 0.0:
            return
        keep = 0.5 ** (passed_s / self._policy.share_history_half_life_s)
        use.history = keep * use.history + (1.0 - keep) * self.dominant_share(
            use
        )
        use.history_s = now_s
