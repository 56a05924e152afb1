"""Resources that each team uses, compared with its upper limit."""

from quetzalswitch.acceptance import catalogue


class TeamUsage:
    """Resources that each team uses on all targets.

    Starts with an unknown outcome count as used.
    """

    def __init__(self) -> None:
        self._used: dict[str, list[int]] = {}

    def allocate(self, team: str, demand: catalogue.Resources) -> None:
        """Adds the resources of a task to a team's usage."""
        used = self._used.setdefault(team, [0, 0, 0])
        used[0] += demand.cpu
        used[1] += demand.memory_mb
        used[2] += demand.accelerators

    def release(self, team: str, demand: catalogue.Resources) -> None:
        """Subtracts the resources of a task from a team's usage."""
        used = self._used[team]
        used[0] -= demand.cpu
        used[1] -= demand.memory_mb
        used[2] -= demand.accelerators

    def used(self, team: str) -> tuple[int, ...]:
        """Returns processor, memory and accelerators that a team uses."""
        return tuple(self._used.get(team, (0, 0, 0)))

    def count_allowed(
        self,
        team: catalogue.Team | None,
        demand: catalogue.Resources,
        share: float = 1.0,
    ) -> int | None:
        """Returns how many more such tasks a team may start; None: no limit.

        A team that is no longer configured has no limit.

        Args:
            team: The team, if it is configured.
            demand: Resources of one task.
            share: Share of the team's upper limit that may be used.
        """
        if team is None:
            return None
        return _count_fitting(team.limit, self.used(team.name), demand, share)

    def count_allowed_alone(
        self, team: catalogue.Team, demand: catalogue.Resources, share: float
    ) -> int | None:
        """Returns how many such tasks a team may run if it runs nothing else.

        None means that there is no limit.
        """
        return _count_fitting(team.limit, (0, 0, 0), demand, share)


def multiply(demand: catalogue.Resources, count: int) -> catalogue.Resources:
    """Returns the resources of several tasks with the same demand."""
    return catalogue.Resources(*(amount * count for amount in demand))


def _count_fitting(
    limits: catalogue.Resources,
    used: tuple[int, ...],
    demand: catalogue.Resources,
    share: float,
) -> int | None:
    counts = [
        int(limit * share - in_use) // required
        for limit, in_use, required in zip(limits, used, demand, strict=True)
        if limit > 0 and required > 0
    ]
    return max(0, min(counts)) if counts else None
