"""Queues, teams and keys of the operators' configuration in force."""

import typing


class Resources(typing.NamedTuple):
    """An amount of resources.

    Attributes:
        cpu: Processor time in thousandths of a core.
        memory_mb: Memory in megabytes.
        accelerators: Whole accelerators.
    """

    cpu: int = 0
    memory_mb: int = 0
    accelerators: int = 0


class AdvicePolicy(typing.NamedTuple):
    """Expected duration of calls to the advice service for a queue.

    Attributes:
        base_ms: Duration of a call without targets.
        per_target_ms: Additional duration for each target in the call.
        valid_ms: Lifetime of a ticket.
    """

    base_ms: float
    per_target_ms: float
    valid_ms: float


class Queue(typing.NamedTuple):
    """A queue that callers submit to.

    Attributes:
        name: Name of the queue.
        host: Value of the `Host` header of the queue's requests.
        prefix: Path prefix of the queue's requests.
        service: Pool of targets that runs the queue's tasks.
        priority: 0 is the most urgent.
        max_attempts: Failed runs after which a task fails for good.
        stretch: Factor on the ideal run time in the latency objective.
        target_latency_ms: Time added to the latency objective.
        public: Whether requests need no key.
        advice: Timing of placement advice; None if the queue needs no advice.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int
    max_attempts: int
    stretch: float
    target_latency_ms: float
    public: bool
    advice: AdvicePolicy | None


class Team(typing.NamedTuple):
    """A team, its weight and its upper limit of resources (0: no limit)."""

    name: str
    weight: float
    limit: Resources


class Catalogue(typing.NamedTuple):
    """One version of the operators' configuration.

    Attributes:
        version: Version of the configuration.
        queues: Queues by name.
        teams: Teams by name.
        team_by_key: Names of teams by API key.
        body_limit_bytes: Maximum size of a request body.
        urgent_priority: Priority of the most urgent queue.
        head_limit_bytes: Maximum size of a request head; 0 if not stated.
    """

    version: int
    queues: dict[str, Queue]
    teams: dict[str, Team]
    team_by_key: dict[str, str]
    body_limit_bytes: int
    urgent_priority: int = 0
    head_limit_bytes: int = 0

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Returns the queue with the longest prefix of a path, or None."""
        best = None
        for queue in self.queues.values():
            if queue.host != host or not path.startswith(queue.prefix):
                continue
            if best is None or len(queue.prefix) > len(best.prefix):
                best = queue
        return best
