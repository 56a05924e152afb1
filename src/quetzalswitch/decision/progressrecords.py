"""The stored form of a job's progress."""

import typing

import msgspec

from quetzalswitch.acceptance import submissions
from quetzalswitch.decision import indexsets

# Key of a gang as a whole in failures.
GANG_INDEX: typing.Final = -1
# Fields of a record that the first release wrote.
REQUIRED_FIELDS_COUNT: typing.Final = 3
# Progress of jobs with more steps, or with more tasks, is stored in ranges,
# which entries of the previous release can't read. Masks of all tasks and an
# entry for each step take a third of a row.
MASK_LIMIT_STEPS: typing.Final = 1000
MASK_LIMIT_TASKS: typing.Final = 65_536


class ProgressRecord(typing.NamedTuple):
    """The stored form of a job's progress, encoded by field position.

    Attributes:
        phase: Final phase; running if the other fields don't show that a task
            has started; else an empty string.
        done: Bit mask of the done tasks, as bytes, by `occurrence.step`; only
            of jobs with few tasks.
        failures: Failed runs by task index, by `occurrence.step`.
        crashes: Weight of crashes by run and task index, by
            `occurrence.step`.
        done_ranges: Start and end of each range of done tasks, in a row, by
            `occurrence.step`.
        finished: Start and end of each range of finished occurrences, in a row;
            only of jobs with many tasks. They have no other entries.
    """

    phase: str
    done: dict[str, bytes]
    failures: dict[str, dict[int, list[int]]]
    crashes: dict[str, dict[int, dict[int, int]]] = {}
    done_ranges: dict[str, list[int]] = {}
    finished: list[int] = []


_DECODER: typing.Final = msgspec.msgpack.Decoder(ProgressRecord)


def fits_masks(submission: submissions.Submission) -> bool:
    """Returns whether masks and entries of all steps fit into a row."""
    steps = len(submission.steps) * submission.occurrences
    tasks = sum(step.count for step in submission.steps)
    return (
        steps <= MASK_LIMIT_STEPS
        and tasks * submission.occurrences <= MASK_LIMIT_TASKS
    )


def encode(record: ProgressRecord) -> bytes:
    """Returns the stored form of a record.

    Entries of earlier releases can't read records with later fields, so empty
    ones are left out.
    """
    size = len(record)
    while size > REQUIRED_FIELDS_COUNT and not record[size - 1]:
        size -= 1
    return msgspec.msgpack.encode(record[:size])


def decode(data: bytes) -> ProgressRecord:
    """Returns a record from its stored form; raises MsgspecError."""
    return _DECODER.decode(data)


def check(record: ProgressRecord, submission: submissions.Submission) -> None:
    """Checks that a record names only parts that a submission has.

    Raises:
        ValueError: It names others, or bounds of ranges don't ascend.
    """
    indexsets.IndexSet.from_bounds(record.finished)
    if record.finished and record.finished[-1] > submission.occurrences:
        raise ValueError(f"there is no occurrence {record.finished[-1] - 1}")
    named = record.done, record.failures, record.crashes, record.done_ranges
    for name in set().union(*named):
        occurrence, _, number = name.partition(".")
        if not 0 <= int(occurrence) < submission.occurrences:
            raise ValueError(f"there is no occurrence {occurrence}")
        if not 0 <= int(number) < len(submission.steps):
            raise ValueError(f"there is no step {number}")
        count = submission.steps[int(number)].count
        tasks = {*record.failures.get(name, ()), *record.crashes.get(name, ())}
        if any(not GANG_INDEX <= index < count for index in tasks):
            raise ValueError(f"step {number} has {count} tasks")
        bounds = record.done_ranges.get(name, ())
        if indexsets.IndexSet.from_bounds(bounds) and bounds[-1] > count:
            raise ValueError(f"step {number} has {count} tasks")
