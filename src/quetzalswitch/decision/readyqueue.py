"""The stages that may start, in order of urgency.

A stage that can't start for a reason that it shares with others is parked under
that reason, so that passes don't meet it before they reach work that can start.
"""

import dataclasses
import itertools
import typing

import sortedcontainers

from quetzalswitch.acceptance import catalogue
from quetzalswitch.decision import jobs

# Position of a stage: priority, due time (s) and key.
_SortKey = tuple[float, float, str]


@dataclasses.dataclass(frozen=True)
class TeamLimit:
    """The team's upper limit allows no task of these stages.

    Attributes:
        team: Name of the team.
        queue: Name of the queue; its priority decides on the reserved share.
        demand: Resources of one task.
        gang_count: Number of members of a gang; 0 for other stages.
    """

    team: str
    queue: str
    demand: catalogue.Resources
    gang_count: int


@dataclasses.dataclass(frozen=True)
class NoTarget:
    """No target that can get new tasks has the service and the label."""

    service: str
    label: str


@dataclasses.dataclass(frozen=True)
class Takeover:
    """Runs of an earlier decider may still be active."""


Cause = TeamLimit | NoTarget | Takeover


class ReadyQueue:
    """Stages that may start: active ones, and parked ones by their cause."""

    def __init__(self) -> None:
        self._active: sortedcontainers.SortedDict = (
            sortedcontainers.SortedDict()
        )
        self._parked: dict[Cause, sortedcontainers.SortedDict] = {}
        self._causes: dict[_SortKey, Cause] = {}
        self._rotation_key: _SortKey | None = None

    def __len__(self) -> int:
        """Returns the number of stages, parked ones included."""
        return len(self._active) + len(self._causes)

    def values(self) -> typing.Iterator[jobs.Stage]:
        """Yields all stages, the active ones first."""
        groups = [self._active, *self._parked.values()]
        return itertools.chain.from_iterable(g.values() for g in groups)

    def add(self, stage: jobs.Stage) -> None:
        """Adds a stage by its sort key; a parked one stays parked."""
        if stage.sort_key not in self._causes:
            self._active[stage.sort_key] = stage

    def pop(self, sort_key: _SortKey | tuple[()]) -> jobs.Stage | None:
        """Removes the stage with a sort key; returns None if there is none."""
        cause = self._causes.pop(sort_key, None)
        if cause is None:
            return self._active.pop(sort_key, None)
        parked = self._parked[cause]
        stage = parked.pop(sort_key)
        if not parked:
            del self._parked[cause]
        return stage

    def list_first(self, count: int) -> list[jobs.Stage]:
        """Returns the most urgent active stages."""
        return list(itertools.islice(self._active.values(), count))

    def list_next(self, after: _SortKey | None, count: int) -> list[jobs.Stage]:
        """Returns active stages behind the most urgent ones, in turn.

        Consecutive calls go on where the last one ended, so that each stage is
        returned within a bounded number of calls.

        Args:
            after: Sort key of the last of the most urgent stages.
            count: How many stages to return at most.
        """
        start = self._rotation_key
        if start is None or (after is not None and start < after):
            start = after
        keys = self._active.irange(minimum=start, inclusive=(False, True))
        found = [self._active[key] for key in itertools.islice(keys, count)]
        self._rotation_key = found[-1].sort_key if len(found) == count else None
        return found

    def park(self, stage: jobs.Stage, cause: Cause) -> bool:
        """Parks an active stage; returns whether its cause is new."""
        del self._active[stage.sort_key]
        is_first = cause not in self._parked
        parked = self._parked.setdefault(cause, sortedcontainers.SortedDict())
        parked[stage.sort_key] = stage
        self._causes[stage.sort_key] = cause
        return is_first

    def unpark(self, stage: jobs.Stage) -> None:
        """Makes a parked stage active again."""
        self.pop(stage.sort_key)
        self._active[stage.sort_key] = stage

    def list_causes(self, count: int) -> list[Cause]:
        """Returns causes of parked stages; each call goes on after the last."""
        causes = list(itertools.islice(self._parked, count))
        if len(causes) < len(self._parked):
            for cause in causes:
                self._parked[cause] = self._parked.pop(cause)
        return causes

    def list_parked(self, cause: Cause, count: int) -> list[jobs.Stage]:
        """Returns the most urgent stages that are parked for a cause."""
        parked = self._parked.get(cause, {})
        return list(itertools.islice(parked.values(), count))

    def count_waiting(self) -> dict[str, int]:
        """Returns the number of stages by why they wait."""
        counts = {
            "turn": len(self._active),
            "team_limit": 0,
            "no_target": 0,
            "takeover": 0,
        }
        for cause, parked in self._parked.items():
            counts[name_cause(cause)] += len(parked)
        return counts


def name_cause(cause: Cause) -> str:
    """Returns the name of a cause in logs and metrics."""
    match cause:
        case TeamLimit():
            return "team_limit"
        case NoTarget():
            return "no_target"
        case Takeover():
            return "takeover"
