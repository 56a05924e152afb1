"""Submissions as they are stored and as the decider uses them.

Both types are stored as arrays: the order and types of their fields must not
change.
"""

import math
import typing

import msgspec

from quetzalswitch import decoding
from quetzalswitch.acceptance import catalogue

# Of the tasks of a step, of occurrences, and of times in ms. Names of tasks and
# the stored form hold larger numbers.
MAX_TASKS: typing.Final = 10**15
MAX_OCCURRENCES: typing.Final = 10**15
MAX_TIME_MS: typing.Final = 10**15
MAX_AMOUNT: typing.Final = 10**15
# Of a gang: more than the tasks that a site with 1,000 targets runs at once.
MAX_GANG_TASKS: typing.Final = 10_000


class Step(typing.NamedTuple):
    """A step of a submission: a number of identical tasks.

    Attributes:
        count: Number of tasks.
        demand: Resources that one task requires.
        estimate_ms: Declared run time of a task; may be far off.
        after: Indexes of the earlier steps that this step depends on.
        checkpointing: Whether tasks save their progress.
        gang: Whether the tasks must run at the same time.
        same_rack: Whether tasks on different racks are slow.
        required_label: Label that the target must have, or an empty string.
        rack: Rack that holds the data, or an empty string.
        max_per_target: Most tasks of the step on one target; 0 for no limit.
        speculative: Whether copies of a task may run in parallel.
        long_running: Whether tasks run until the submission is cancelled.
        image: Name of the image that the tasks run.
        tail_latency_objective_ms: Tail latency objective of a serving task.
        best_effort: Whether the tasks use only capacity left over by others.
        may_miss: Number of tasks that may be unavailable at the same time.
    """

    count: int
    demand: catalogue.Resources
    estimate_ms: float
    after: tuple[int, ...]
    checkpointing: bool
    gang: bool
    same_rack: bool
    required_label: str
    rack: str
    max_per_target: int
    speculative: bool
    long_running: bool
    image: str
    tail_latency_objective_ms: float
    best_effort: bool
    may_miss: int


class Submission(typing.NamedTuple):
    """Accepted work of a team.

    Attributes:
        id: Chosen by the caller; unique over all queues.
        queue: Queue settings at acceptance; used after the queue is removed.
        team: Name of the team, or an empty string on a public queue.
        spec: Opaque text passed to the tasks.
        steps: Steps in the caller's order.
        occurrences: How often the steps run.
        first_at_ms: Unix time of the first occurrence; 0 for immediately.
        interval_ms: Time between occurrences.
        accepted_ms: Unix time of acceptance.
    """

    id: str
    queue: catalogue.Queue
    team: str
    spec: str
    steps: tuple[Step, ...]
    occurrences: int
    first_at_ms: int
    interval_ms: int
    accepted_ms: int


_DECODER: typing.Final = msgspec.msgpack.Decoder(Submission)


def encode(submission: Submission) -> bytes:
    """Returns the stored form of a submission."""
    return msgspec.msgpack.encode(submission)


def decode(data: bytes) -> Submission:
    """Returns a submission from its stored form.

    Raises:
        ProtocolError: The data is not a stored submission.
    """
    return decoding.decode(_decode, data, "a stored submission")


def _decode(data: bytes) -> Submission:
    submission = _DECODER.decode(data)
    if submission.occurrences < 1 or not submission.steps:
        raise ValueError("the submission has no tasks")
    for number, step in enumerate(submission.steps):
        if step.count < 1:
            raise ValueError(f"step {number} has {step.count} tasks")
        if any(not 0 <= before < number for before in step.after):
            raise ValueError(f"step {number} follows {step.after}")
    if all(map(_is_bounded, submission.steps)):
        return submission
    steps = tuple(map(_bound_numbers, submission.steps))
    return submission._replace(steps=steps)


def _is_bounded(step: Step) -> bool:
    """Returns whether passes can sort and add up the numbers of a step."""
    return (
        0 <= step.estimate_ms <= MAX_TIME_MS
        and 0 <= step.tail_latency_objective_ms <= MAX_TIME_MS
        and min(step.demand) >= 0
        and max(step.demand) <= MAX_AMOUNT
    )


def _bound_numbers(step: Step) -> Step:
    """Returns a step with numbers that passes can sort and add up.

    Entries of earlier releases accepted any number.
    """
    demand = catalogue.Resources(
        *(min(max(0, amount), MAX_AMOUNT) for amount in step.demand)
    )
    return step._replace(
        demand=demand,
        estimate_ms=_bound_time(step.estimate_ms),
        tail_latency_objective_ms=_bound_time(step.tail_latency_objective_ms),
    )


def _bound_time(time_ms: float) -> float:
    if math.isnan(time_ms):
        return 0.0
    return min(max(0.0, time_ms), MAX_TIME_MS)
