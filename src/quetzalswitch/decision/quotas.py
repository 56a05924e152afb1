"""What each team has running, against its upper limit."""

from quetzalswitch.acceptance import catalogue


class Usage:
    """Room taken by each team over all targets, unknown starts included."""

    def __init__(self) -> None:
        self._used: dict[str, list[int]] = {}

    def take(self, team: str, need: catalogue.Resources) -> None:
        """Counts room as taken by a team."""
        used = self._used.setdefault(team, [0, 0, 0])
        used[0] += need.cpu
        used[1] += need.memory_mb
        used[2] += need.accelerators

    def release(self, team: str, need: catalogue.Resources) -> None:
        """Counts room as given back by a team."""
        used = self._used[team]
        used[0] -= need.cpu
        used[1] -= need.memory_mb
        used[2] -= need.accelerators

    def used(self, team: str) -> tuple[int, ...]:
        """Returns processor, memory and accelerators that a team uses."""
        return tuple(self._used.get(team, (0, 0, 0)))

    def count_allowed(
        self,
        team: catalogue.Team | None,
        need: catalogue.Resources,
        share: float = 1.0,
    ) -> int | None:
        """Returns how many more such tasks a team may start; None: no limit.

        A team that is no longer configured has no limit to check against.

        Args:
            team: The team, if it is configured.
            need: Room of one task.
            share: Share of the team's upper limit that may be used.
        """
        if team is None:
            return None
        return _count(team.limit, self.used(team.name), need, share)

    def count_allowed_alone(
        self, team: catalogue.Team, need: catalogue.Resources, share: float
    ) -> int | None:
        """Returns how many such tasks a team may run with nothing else."""
        return _count(team.limit, (0, 0, 0), need, share)


def _count(
    limits: catalogue.Resources,
    used: tuple[int, ...],
    need: catalogue.Resources,
    share: float,
) -> int | None:
    counts = [
        int(limit * share - taken) // wanted
        for limit, taken, wanted in zip(limits, used, need, strict=True)
        if limit > 0 and wanted > 0
    ]
    return max(0, min(counts)) if counts else None
