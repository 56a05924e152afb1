"""Weighted dominant resource fairness between teams, with decayed history."""

import typing

from quetzalswitch import clock as clocks
from quetzalswitch import packing
from quetzalswitch import policy as policies
from quetzalswitch import records


class TeamUsage:
    """Usage of the local targets by one team.

    Attributes:
        weight: Share set by operators.
        used: Capacity allocated to its attempts on local targets.
        slots: Slots used by its attempts on local targets.
        charged: Attempts charged to this entry's allowance.
        allowance: Attempts that may be charged to this entry.
        reserved_tasks: Part of the allowance set aside for a reservation.
        stopping: Total size of attempts that are being stopped.
        stopping_slots: Number of those attempts.
        stopping_own: Number of those charged to this entry's allowance.
        history: Decayed average of the dominant share.
        history_s: Time of the last update of the history.
    """

    __slots__ = (
        "name",
        "weight",
        "used",
        "slots",
        "charged",
        "allowance",
        "reserved_tasks",
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
        self.reserved_tasks = 0
        self.stopping = packing.NO_RESOURCES
        self.stopping_slots = 0
        self.stopping_own = 0
        self.history = 0.0
        self.history_s = now_s

    def headroom(self) -> int:
        """Returns how many more tasks the allowance permits.

        The tasks set aside for a reservation are included.
        """
        return self.allowance - self.charged


class Shares:
    """Usage of the local targets by team."""

    def __init__(self, clock: clocks.Clock, policy: policies.Policy):
        self._clock = clock
        self._policy = policy
        self._teams: dict[str, TeamUsage] = {}
        self._capacity = packing.NO_RESOURCES
        self._slots = 0

    def __iter__(self) -> typing.Iterator[TeamUsage]:
        return iter(self._teams.values())

    def team(self, name: str) -> TeamUsage:
        """Returns the usage of a team; unknown teams have weight 1."""
        usage = self._teams.get(name)
        if usage is None:
            usage = TeamUsage(name, self._clock.now())
            self._teams[name] = usage
        return usage

    def set_capacity(self, capacity: records.Resources, slots: int) -> None:
        """Sets the total capacity that shares are fractions of."""
        self._capacity = capacity
        self._slots = slots

    def charge(self, name: str, size: records.Resources) -> None:
        """Adds the allocation of an attempt to a team's usage."""
        usage = self.team(name)
        self._decay(usage)
        usage.used = usage.used.plus(size)
        usage.slots += 1

    def release(self, name: str, size: records.Resources) -> None:
        """Subtracts the allocation of an attempt from a team's usage."""
        usage = self.team(name)
        self._decay(usage)
        usage.used = usage.used.minus(size)
        usage.slots -= 1

    def record_stopping(
        self, name: str, size: records.Resources, change: int
    ) -> None:
        """Counts (`change` 1) or uncounts (-1) an attempt being stopped."""
        usage = self.team(name)
        add = usage.stopping.plus if change > 0 else usage.stopping.minus
        usage.stopping = add(size)
        usage.stopping_slots += change

    def remaining_share(self, usage: TeamUsage) -> float:
        """Returns the dominant share without attempts being stopped."""
        return self._dominant_fraction(
            usage.used.minus(usage.stopping), usage.slots - usage.stopping_slots
        )

    def fraction(self, size: records.Resources) -> float:
        """Returns the dominant share of one task."""
        return self._dominant_fraction(size, 1)

    def dominant_share(self, usage: TeamUsage) -> float:
        """Returns the largest fraction of any resource that a team uses."""
        return self._dominant_fraction(usage.used, usage.slots)

    def _dominant_fraction(self, used: records.Resources, slots: int) -> float:
        capacity = self._capacity
        fraction = slots / self._slots if self._slots else 0.0
        if capacity.cores:
            fraction = max(fraction, used.cores / capacity.cores)
        if capacity.memory_mb:
            fraction = max(fraction, used.memory_mb / capacity.memory_mb)
        if capacity.accelerators:
            fraction = max(fraction, used.accelerators / capacity.accelerators)
        return fraction

    def key(self, name: str) -> float:
        """Returns the sort key of a team; the lowest is served first."""
        usage = self.team(name)
        self._decay(usage)
        weight = self._policy.share_history_weight
        return (
            self.dominant_share(usage) + weight * usage.history
        ) / usage.weight

    def entitlements(self, active: typing.Collection[str]) -> dict[str, float]:
        """Returns the fraction of the capacity due to each active team."""
        total = sum(self.team(name).weight for name in active)
        return {name: self.team(name).weight / total for name in active}

    def _decay(self, usage: TeamUsage) -> None:
        now_s = self._clock.now()
        passed_s = now_s - usage.history_s
        if passed_s <= 0.0:
            return
        decay = 0.5 ** (passed_s / self._policy.share_history_half_life_s)
        usage.history = decay * usage.history + (
            1.0 - decay
        ) * self.dominant_share(usage)
        usage.history_s = now_s
