"""Opens the occurrences of recurring jobs that are due."""

import typing

from quetzalswitch.decision import jobs
from quetzalswitch.decision import passes

if typing.TYPE_CHECKING:
    from quetzalswitch.decision import clusterstate

# Steps of open occurrences of one recurring job, and of all such jobs together.
# Each takes 2 to 3 KB of memory and up to 30 bytes of the row; occurrences
# that wait to be opened take nothing.
JOB_LIMIT_STAGES: typing.Final = 1000
TOTAL_LIMIT_STAGES: typing.Final = 10_000
# Open occurrences of a job in which nothing has started yet. Work of others
# that is as late waits behind them.
WAITING_LIMIT_OCCURRENCES: typing.Final = 200


def open_due(
    state: "clusterstate.ClusterState", now_s: float, wall_ms: float
) -> float | None:
    """Opens occurrences that are due; returns the next due Unix time.

    Where many are due, some wait until others are done.
    """
    next_ms = None
    limit = min(
        JOB_LIMIT_STAGES, TOTAL_LIMIT_STAGES // max(1, len(state.scheduled))
    )
    for job in list(state.scheduled.values()):
        submission = job.submission
        job.skip_finished()
        waiting_count = _count_waiting(job)
        while not job.final and job.opened_count < submission.occurrences:
            due_ms = (
                submission.first_at_ms
                + job.opened_count * submission.interval_ms
            )
            if due_ms > wall_ms:
                next_ms = min(next_ms or due_ms, due_ms)
                break
            open_count = len(job.stages) + len(submission.steps)
            if job.stages and (
                open_count > limit or waiting_count >= WAITING_LIMIT_OCCURRENCES
            ):
                state.log.note_once(
                    "occurrences_wait",
                    job.id,
                    0,
                    id=job.id,
                    opened=job.opened_count,
                    limit=limit,
                    waiting=waiting_count,
                )
                break
            waiting_count += 1
            known_ms = max(due_ms, submission.accepted_ms)
            overdue_s = (wall_ms - known_ms) / 1000
            for stage in job.open_occurrence(job.opened_count):
                state.enqueue(stage, now_s)
                _lower_overdue(state, stage, overdue_s)
            job.skip_finished()
        if not job.final and job.is_complete():
            # Its last tasks were done before they were due here.
            state.finish_job(job, jobs.Phase.COMPLETED, now_s, "all tasks done")
        if job.final or job.opened_count >= submission.occurrences:
            del state.scheduled[job.id]
    return next_ms


def _lower_overdue(
    state: "clusterstate.ClusterState", stage: jobs.Stage, overdue_s: float
) -> None:
    """Queues a stage as late whose occurrence was due long ago.

    Among late work it has the position of the time at which it was opened, so
    that a job with many such occurrences doesn't go before that of others.
    """
    if not stage.sort_key:
        return
    priority, due_s, key = stage.sort_key
    if overdue_s > passes.LATE_FACTOR * (due_s - stage.ready_s):
        state.ready.pop(stage.sort_key)
        stage.sort_key = (priority + passes.LATE_PRIORITY, due_s, key)
        state.ready.add(stage)


def _count_waiting(job: jobs.Job) -> int:
    """Returns the number of open occurrences in which nothing has started."""
    occurrences = {occurrence for occurrence, _ in job.stages}
    begun = {
        occurrence
        for (occurrence, _), stage in job.stages.items()
        if stage.runs or stage.done
    }
    return len(occurrences) - len(begun)
