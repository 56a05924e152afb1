"""Runs and ends that targets list of jobs that the leader doesn't know.

An entry that has not heard of a change of leader sends accepted jobs to the
previous leader, which may start them. Their rows are stored before that, so the
new leader looks them up. Until then their runs go on, and the targets keep the
ends.
"""

import typing

from quetzalswitch.decision import fleet
from quetzalswitch.decision import jobs
from quetzalswitch.execution import protocol

if typing.TYPE_CHECKING:
    from quetzalswitch.decision import decider as deciders

Entry = protocol.RunningRun | protocol.EndedRun

# Target ID, task and run number.
_Key = tuple[str, str, int]


class UnknownJobs:
    """What targets list of jobs that are not known yet."""

    def __init__(self):
        self._listed: dict[str, dict[_Key, Entry]] = {}
        self._missing: set[str] = set()
        self._unreadable: set[str] = set()

    def add(
        self,
        job_id: str,
        target_id: str,
        listed: Entry,
    ) -> bool:
        """Adds a run or end that a target lists.

        Returns:
            Whether it was not known before.
        """
        entries = self._listed.setdefault(job_id, {})
        key = (target_id, listed.task, listed.run)
        known = entries.get(key)
        entries[key] = listed
        return type(known) is not type(listed)

    def is_sought(self, job_id: str) -> bool:
        """Returns whether a job is being looked up."""
        return job_id in self._listed

    def drop_runs(
        self,
        target_id: str,
        listed: typing.Container[tuple[str, int]] = (),
    ) -> None:
        """Drops the runs of a target that it doesn't list any more."""
        for found in self._listed.values():
            for key, entry in list(found.items()):
                if (
                    key[0] == target_id
                    and isinstance(entry, protocol.RunningRun)
                    and key[1:] not in listed
                ):
                    del found[key]

    def list_runs(self) -> list[tuple[str, str, int]]:
        """Returns target, task and run number of the listed runs."""
        return [
            key
            for entries in self._listed.values()
            for key, entry in entries.items()
            if isinstance(entry, protocol.RunningRun)
        ]

    def pop(self, job_id: str) -> list[tuple[str, Entry]]:
        """Returns what targets list of a job that has become known."""
        self._missing.discard(job_id)
        found = self._listed.pop(job_id, {})
        return [(key[0], entry) for key, entry in found.items()]

    def mark_missing(self, job_id: str) -> None:
        """Records that the store has no such job."""
        self._listed.pop(job_id, None)
        self._missing.add(job_id)

    def mark_unreadable(self, job_id: str) -> None:
        """Records that a job is not served because its rows can't be read."""
        self._listed.pop(job_id, None)
        self._unreadable.add(job_id)

    def is_unreadable(self, job_id: str) -> bool:
        """Returns whether a job is not served because of its rows."""
        return job_id in self._unreadable

    def is_missing(self, job_id: str) -> bool:
        """Returns whether the store has no such job that can be served."""
        return job_id in self._missing or job_id in self._unreadable


def seek(
    decider: "deciders.Decider", target: fleet.Target, listed: Entry
) -> None:
    """Keeps a listed run or end until its job has been looked up."""
    name = jobs.parse_task(listed.task)
    ended = isinstance(listed, protocol.EndedRun)
    if name is None or is_missing(decider, listed.task):
        return
    if ended and name[0] in decider.completed_jobs:
        return
    if not decider.unknown_jobs.is_sought(name[0]):
        decider.commands.lookups.append(name[0])
    if decider.unknown_jobs.add(name[0], target.id, listed):
        decider.log.note(
            "end_unknown" if ended else "run_unknown",
            task=listed.task,
            run=listed.run,
            target=target.id,
        )


def is_missing(decider: "deciders.Decider", task: str) -> bool:
    """Returns whether a task belongs to no job that the store has.

    A task of a known job that has no such step is none of its tasks.
    """
    name = jobs.parse_task(task)
    if name is None or name[0] in decider.jobs:
        return True
    return decider.unknown_jobs.is_missing(name[0])


def is_end_stored(decider: "deciders.Decider", task: str) -> bool:
    """Returns whether the end of a task changes nothing that is stored."""
    return task.partition(".")[0] in decider.completed_jobs or is_missing(
        decider, task
    )
