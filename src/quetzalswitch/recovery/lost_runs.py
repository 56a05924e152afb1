"""The stored list of runs that ended if their target has crashed.

A crash is counted once its target is back, which takes seconds. The list covers
a leader that is killed in between: the runs of silent targets, and the runs of
tasks that are suspected already. It is designed for a load in which a zone is
lost, and with it some hundred runs.
"""

import typing

import msgspec

from quetzalswitch import decoding
from quetzalswitch import exceptions
from quetzalswitch.decision import crashes
from quetzalswitch.decision import fleet
from quetzalswitch.decision import jobs

if typing.TYPE_CHECKING:
    from quetzalswitch.decision import decider as deciders

# Limits the row to about 45 KB; the store accepts 64 KB.
MAX_COUNT: typing.Final = 1000


class TargetRuns(typing.NamedTuple):
    """Stored form of the runs of one incarnation of a target.

    Attributes:
        target_id: The target.
        boot_ms: Start time of the incarnation; 0 if unknown.
        runs: Task and run number of each run.
        silent: Whether the target was silent, so that no further tasks were
            started there.
    """

    target_id: str
    boot_ms: int
    runs: list[tuple[str, int]]
    silent: bool


_DECODER: typing.Final = msgspec.msgpack.Decoder(list[TargetRuns])


def encode(decider: "deciders.Decider") -> bytes:
    """Returns the stored form of the list; empty if it names no runs."""
    if not decider.suspect_runs and not decider.crash_history.losses:
        return b""
    found: dict[tuple[str, int], set[tuple[str, int]]] = {}
    count = 0
    for target_id, boot_ms, task, number in _list_runs(decider):
        runs = found.setdefault((target_id, boot_ms), set())
        count += (task, number) not in runs
        runs.add((task, number))
        if count == MAX_COUNT:
            break
    silent = {
        loss.target_id
        for loss in decider.crash_history.losses.values()
        if loss.complete
    }
    entries = [
        TargetRuns(target_id, boot_ms, sorted(runs), target_id in silent)
        for (target_id, boot_ms), runs in sorted(found.items())
    ]
    return msgspec.msgpack.encode(entries)


def restore(decider: "deciders.Decider", data: bytes, now_s: float) -> None:
    """Adds the stored runs as presumed crashes of their targets.

    The answers of the targets show which of them have crashed. Data that is
    empty or can't be read adds nothing.
    """
    for entry in _decode(decider, data):
        suspects = {}
        for task, number in entry.runs:
            found = decider.find_stage(task)
            if found is None or found[0].job.final:
                continue
            stage, index = found
            if index not in stage.done:
                suspects[crashes.Suspect(stage, index, number)] = None
        if not suspects:
            continue
        decider.crash_history.losses[entry.target_id] = crashes.Loss(
            entry.target_id,
            entry.boot_ms,
            fleet.SilenceSpan(now_s, now_s),
            suspects,
            complete=entry.silent,
        )
        if entry.target_id not in decider.targets:
            crashes.record_crash(decider, entry.target_id, now_s, certain=False)


def _decode(decider: "deciders.Decider", data: bytes) -> list[TargetRuns]:
    if not data:
        return []
    try:
        return decoding.decode(_DECODER.decode, data, "a list of lost runs")
    except exceptions.ProtocolError as error:
        decider.log.note("lost_runs_unreadable", error=str(error))
        return []


def _list_runs(
    decider: "deciders.Decider",
) -> typing.Iterator[tuple[str, int, str, int]]:
    """Yields target, its start time (ms), task and run; suspects first."""
    for run in decider.suspect_runs:
        target = decider.targets[run.target_id]
        if not target.registration.draining:
            yield target.id, target.known_boot_ms, run.task, run.number
    for loss in decider.crash_history.losses.values():
        for stage, index, number in loss.suspects:
            task = jobs.name_task(stage, index)
            yield loss.target_id, loss.boot_ms, task, number
