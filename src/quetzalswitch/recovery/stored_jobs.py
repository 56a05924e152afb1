"""Loads the jobs that earlier leaders left in the store."""

import typing

import gevent
from gevent import lock

from quetzalswitch import clock as clocks
from quetzalswitch import exceptions
from quetzalswitch import nodelog
from quetzalswitch.acceptance import submissions
from quetzalswitch.decision import jobs
from quetzalswitch.platform import store as stores
from quetzalswitch.recovery import tables

if typing.TYPE_CHECKING:
    from quetzalswitch.decision import decider as deciders

LOOKUP_RETRY_S: typing.Final = 0.15
# Other greenlets get the processor this often while jobs are added. A new
# leader must send heartbeats every 0.2 s, however many jobs it loads.
SLICE_S: typing.Final = 0.02
# Progress is written over the same connections.
LOOKUPS_COUNT: typing.Final = 8
_permits: typing.Final = lock.BoundedSemaphore(LOOKUPS_COUNT)


def add_jobs(
    decider: "deciders.Decider",
    rows: list[stores.Row],
    progress_rows: dict[str, stores.Row],
    clock: clocks.Clock,
) -> None:
    """Adds stored jobs that a decider doesn't know, with their progress.

    An earlier leader may have started any of them. Completed jobs are only
    remembered. A job that can't be read is left out, so that the others are
    served. Other greenlets run in between.

    Args:
        decider: The decider of the new epoch.
        rows: Rows of accepted jobs and of cancellations.
        progress_rows: Stored progress by job ID.
        clock: The runtime's clock.
    """
    cancelled = _list_cancelled(rows)
    slice_began_s = clock.now()
    for row in rows:
        if clock.now() - slice_began_s > SLICE_S:
            gevent.sleep(0)
            slice_began_s = clock.now()
        if row.key.endswith(tables.CANCEL_SUFFIX) or decider.knows(row.key):
            continue
        stored = progress_rows.get(row.key)
        if stored is not None and _is_completed(stored):
            decider.completed_jobs.add(row.key)
        else:
            _add_job(decider, row, stored, row.key in cancelled, clock)


def look_up(
    decider: "deciders.Decider",
    store: stores.Store,
    job_id: str,
    clock: clocks.Clock,
) -> None:
    """Adds a job that a target lists, or records that there is none.

    Returns once the store has answered.
    """
    rows = None
    with _permits:
        while rows is None:
            try:
                rows = _read_job(store, job_id)
                progress = _read_progress(decider, store, job_id)
            except exceptions.StoreUnavailableError as error:
                rows = None
                decider.log.note_once(
                    "job_not_read", job_id, 0, id=job_id, error=str(error)
                )
                gevent.sleep(LOOKUP_RETRY_S)
    for row in rows:
        if row.key == job_id and not decider.is_loaded(job_id):
            decider.completed_jobs.discard(job_id)
            cancelled = job_id in _list_cancelled(rows)
            _add_job(decider, row, progress, cancelled, clock)
    if not rows:
        decider.log.note("job_missing", id=job_id)
        decider.unknown_jobs.mark_missing(job_id)


def _list_cancelled(rows: list[stores.Row]) -> set[str]:
    """Returns the IDs of the jobs that callers have cancelled."""
    return {
        row.key.removesuffix(tables.CANCEL_SUFFIX)
        for row in rows
        if row.key.endswith(tables.CANCEL_SUFFIX)
    }


def _is_completed(progress: stores.Row) -> bool:
    try:
        return jobs.read_phase(progress.value) is jobs.Phase.COMPLETED
    except exceptions.ProtocolError:
        # Reported when the job is added.
        return False


def _add_job(
    decider: "deciders.Decider",
    row: stores.Row,
    progress: stores.Row | None,
    cancelled: bool,
    clock: clocks.Clock,
) -> None:
    submission = decode_job(row, decider.log)
    if submission is None or not _is_readable(
        progress, submission, decider.log
    ):
        decider.unknown_jobs.mark_unreadable(row.key)
        return
    decider.add_job(
        submission,
        clock.now(),
        clock.wall() * 1000,
        inherited=True,
        progress=progress.value if progress is not None else None,
        cancelled=cancelled,
    )


def _read_job(store: stores.Store, job_id: str) -> list[stores.Row]:
    """Returns the row of a job and that of its cancellation, if any."""
    # No other key of the table starts with the ID of a job.
    last_key = job_id + "\x7f"
    part = tables.find_job_part(job_id)
    return store.read(tables.JOB_TABLE, part, job_id, last_key)[0]


def _read_progress(
    decider: "deciders.Decider", store: stores.Store, job_id: str
) -> stores.Row | None:
    """Returns the progress of a job that was completed before this epoch."""
    if job_id not in decider.completed_jobs:
        # Progress of all others was read when the epoch began.
        return None
    return store.read_row(tables.PROGRESS_TABLE, tables.CLUSTER_PART, job_id)


def decode_job(
    row: stores.Row, log: nodelog.NodeLog
) -> submissions.Submission | None:
    """Returns the submission in a row, or None if it can't be read."""
    error = ""
    try:
        submission = submissions.decode(row.value)
        if submission.id == row.key:
            return submission
        error = f"the row has the submission {submission.id!r}"
    except exceptions.ProtocolError as caught:
        error = str(caught)
    log.note_once(
        "job_unreadable", row.key, row.version, id=row.key, error=error
    )
    return None


def _is_readable(
    progress: stores.Row | None,
    submission: submissions.Submission,
    log: nodelog.NodeLog,
) -> bool:
    """Returns whether progress can be read; without any there is nothing."""
    if progress is None:
        return True
    try:
        jobs.decode_progress(progress.value, submission)
    except exceptions.ProtocolError as error:
        log.note("job_unreadable", id=progress.key, error=str(error))
        return False
    return True
