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
        self, team: catalogue.Team | None, need: catalogue.Resources
    ) -> int | None:
        """Returns how many more such tasks a team may start; None: no limit.

        A team that is no longer configured has no limit to check against.
        """
        if team is None:
            return None
        counts = [
            (limit - used) // wanted
            for limit, used, wanted in zip(
                team.limit, self.used(team.name), need, strict=True
            )
            if limit > 0 and wanted > 0
        ]
        return max(0, min(counts)) if counts else None
