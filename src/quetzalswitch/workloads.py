"""Generates traces for each user from the sizes in the design page."""

import math
import typing

import numpy

from quetzalswitch import configuration as configurations
from quetzalswitch import traces

_GB = 1024


class Part(typing.NamedTuple):
    """One sort of work of a user.

    Attributes:
        queue: Queue that it arrives on.
        type: Kind of request.
        weight: Part of the arrivals.
        median_s: Median run time in seconds.
        sigma: Spread of the run time (of its logarithm).
        cores: Declared cores to choose from.
        memory_gb: Declared memory to choose from.
        checkpointable: Part that can save its progress.
        idempotent: Part that may run again.
        tasks: Range of the number of tasks.
        deadline_in_s: Time until the latest useful start.
    """

    queue: str
    type: str
    weight: float
    median_s: float
    sigma: float
    cores: tuple[float, ...]
    memory_gb: tuple[int, ...]
    checkpointable: float = 0.0
    idempotent: float = 1.0
    tasks: tuple[int, int] = (1, 1)
    deadline_in_s: float | None = None


class User(typing.NamedTuple):
    """A user of the system: targets, teams and work.

    Attributes:
        name: Short name.
        memory_gb: Memory of a target.
        domains: Failure domains.
        shares: Share of each team.
        demand: Part of the arrivals of each team.
        services: Long-lived services started at the beginning.
        parts: Sorts of work.
        policy: Settings that differ from the defaults.
    """

    name: str
    memory_gb: int
    domains: tuple[str, ...]
    shares: tuple[float, ...]
    demand: tuple[float, ...]
    services: int
    parts: tuple[Part, ...]
    policy: dict[str, typing.Any]


MOORWATER: typing.Final = User(
    "moorwater",
    128,
    ("uplands-1", "uplands-2", "uplands-3"),
    (6.0, 4.0, 3.0, 2.0, 1.0, 1.0),
    (0.35, 0.25, 0.15, 0.10, 0.10, 0.05),
    12,
    (
        Part(
            "reconcile", "batch", 0.80, 12.0, 0.9, (2, 4, 8, 16), (4, 8, 16),
            checkpointable=0.7, idempotent=0.85,
        ),
        Part(
            "survey", "gang", 0.05, 8.0, 0.6, (2, 4), (4, 8),
            tasks=(4, 16),
        ),
        Part(
            "notice", "latency", 0.15, 0.4, 0.5, (1, 2), (1, 2),
            deadline_in_s=120.0,
        ),
    ),
    {"share_return_s": 10.0, "balance_weight": 1.0, "hold_after_s": 30.0},
)  # fmt: skip
ERGASTIRI: typing.Final = User(
    "ergastiri",
    256,
    ("attiki-1", "attiki-2", "attiki-3"),
    (5.0, 4.0, 2.0, 2.0, 1.0, 1.0),
    (0.30, 0.30, 0.15, 0.10, 0.10, 0.05),
    6,
    (
        Part(
            "plaque", "batch", 0.35, 20.0, 0.8, (4, 8, 16), (16, 32, 64),
            checkpointable=0.5,
        ),
        Part(
            "wall", "batch", 0.10, 10.0, 0.7, (2, 4, 8), (8, 16, 32),
            idempotent=0.0,
        ),
        Part(
            "nameplate", "latency", 0.55, 0.8, 0.5, (1, 2, 4), (2, 4),
            deadline_in_s=600.0,
        ),
    ),
    {"urgent_reserve": 0.03, "urgent_preempt_after_s": 0.25},
)  # fmt: skip
USERS: typing.Final = {user.name: user for user in (MOORWATER, ERGASTIRI)}


def generate(
    user: User,
    seed: int,
    seconds: float,
    load: float,
    racks_per_domain: int = 1,
) -> traces.Trace:
    """Returns a trace of arrivals over some seconds.

    Args:
        user: Whose work it is.
        seed: Seed of the random numbers.
        seconds: Time over which requests arrive.
        load: Arriving work over the capacity of the scarcest resource.
        racks_per_domain: Racks of 8 targets in each failure domain.
    """
    rng = numpy.random.default_rng(seed)
    header = _make_header(user, seed, racks_per_domain)
    per_second = load * _capacity_per_second(user, header)
    events: list[traces.Event] = [
        _make_service(user, number) for number in range(user.services)
    ]
    at_s = 0.0
    weights = numpy.array([part.weight for part in user.parts])
    number = 0
    while True:
        at_s += rng.exponential(1.0 / per_second)
        if at_s >= seconds:
            break
        part = user.parts[rng.choice(len(weights), p=weights / weights.sum())]
        team = rng.choice(len(user.demand), p=user.demand)
        events.append(_make_submit(rng, part, at_s, number, f"team-{team}"))
        number += 1
    return traces.Trace(header, events)


def _make_header(user: User, seed: int, racks_per_domain: int) -> traces.Header:
    groups = [
        traces.TargetGroup(
            8, domain, f"{domain}-r{rack}", 64.0, user.memory_gb * _GB
        )
        for domain in user.domains
        for rack in range(racks_per_domain)
    ]
    slots = 8 * sum(group.count for group in groups)
    teams = [
        configurations.Team(f"team-{number}", share, slots)
        for number, share in enumerate(user.shares)
    ]
    queues = [
        configurations.Queue(part.queue, None, part.type, 0, 100_000)
        for part in user.parts
    ]
    return traces.Header(
        traces.FORMAT, user.name, groups, teams, queues, user.policy, seed
    )


def _capacity_per_second(user: User, header: traces.Header) -> float:
    """Returns the arrivals a second that fill the scarcest resource."""
    slots = cores = memory = 0.0
    weight = sum(part.weight for part in user.parts)
    for part in user.parts:
        tasks = sum(part.tasks) / 2
        busy_s = part.median_s * math.exp(part.sigma**2 / 2)
        task_s = part.weight / weight * tasks * busy_s
        slots += task_s
        cores += task_s * sum(part.cores) / len(part.cores)
        memory += task_s * sum(part.memory_gb) / len(part.memory_gb)
    count = sum(group.count for group in header.targets)
    return count * min(8 / slots, 64.0 / cores, user.memory_gb / memory)


def _make_service(user: User, number: int) -> traces.Submit:
    return traces.Submit(
        0.0,
        f"service-{number}",
        f"team-{number % len(user.shares)}",
        "service",
        "service",
        cores=2.0,
        memory_mb=4 * _GB,
        actual_s=1e6,
        idempotent=True,
    )


def _make_submit(rng, part: Part, at_s, number: int, team: str):
    actual_s = float(rng.lognormal(math.log(part.median_s), part.sigma))
    # Declared run times and sizes are far from the actual values.
    declared_s = actual_s * float(rng.lognormal(0.3, 0.8))
    size_ratio = min(1.3, float(rng.lognormal(math.log(0.6), 0.3)))
    low, high = part.tasks
    return traces.Submit(
        round(at_s, 3),
        f"r{number}",
        team,
        part.queue,
        part.type,
        cores=float(rng.choice(part.cores)),
        memory_mb=int(rng.choice(part.memory_gb)) * _GB,
        declared_s=round(declared_s, 2),
        actual_s=round(actual_s, 2),
        size_ratio=round(size_ratio, 2),
        tasks=int(rng.integers(low, high, endpoint=True)),
        checkpointable=bool(rng.random() < part.checkpointable),
        idempotent=bool(rng.random() < part.idempotent),
        deadline_in_s=part.deadline_in_s,
    )
