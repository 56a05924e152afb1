"""Queues, teams and keys that the operators have put in force."""

import typing


class Resources(typing.NamedTuple):
    """An amount of room.

    Attributes:
        cpu: Processor time in thousandths of a core.
        memory_mb: Memory in megabytes.
        accelerators: Whole accelerators.
    """

    cpu: int = 0
    memory_mb: int = 0
    accelerators: int = 0


class AdvicePolicy(typing.NamedTuple):
    """What a call to the advice service costs for a queue.

    Attributes:
        base_ms: Time of a call without targets.
        per_target_ms: Additional time for each target named.
        valid_ms: Lifetime of a ticket.
    """

    base_ms: float
    per_target_ms: float
    valid_ms: float


class Queue(typing.NamedTuple):
    """A queue that callers submit to.

    Attributes:
        name: Name of the queue.
        host: Host that callers name.
        prefix: Start of the path of every request of the queue.
        service: Pool of targets that runs the queue's tasks.
        priority: 0 is the most urgent.
        max_attempts: Failed runs after which a task is given up.
        stretch: Factor on the ideal run time in the latency objective.
        target_latency_ms: Time added to the latency objective.
        public: Whether requests need no key.
        advice: The queue's placement policy, if it has one.
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
    """A team with its share and its upper limit (0: no limit)."""

    name: str
    weight: float
    limit: Resources


class Catalogue(typing.NamedTuple):
    """One version of what operators have configured.

    Attributes:
        version: Version of the configuration.
        queues: Queues by name.
        teams: Teams by name.
        team_by_key: Name of the team that holds a key.
        body_limit_bytes: Longest body that callers may send.
        urgent_priority: Priority of the most urgent queue.
    """

    version: int
    queues: dict[str, Queue]
    teams: dict[str, Team]
    team_by_key: dict[str, str]
    body_limit_bytes: int
    urgent_priority: int = 0

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Returns the queue with the longest prefix of a path, or None."""
        best = None
        for queue in self.queues.values():
            if queue.host != host or not path.startswith(queue.prefix):
                continue
            if best is None or len(queue.prefix) > len(best.prefix):
                best = queue
        return best
