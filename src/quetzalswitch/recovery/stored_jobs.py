"""Loads the jobs that earlier leaders left in the store."""

import typing

from quetzalswitch import clock as clocks
from quetzalswitch import exceptions
from quetzalswitch import nodelog
from quetzalswitch.acceptance import submissions
from quetzalswitch.decision import jobs
from quetzalswitch.platform import store as stores
from quetzalswitch.recovery import tables

if typing.TYPE_CHECKING:
    from quetzalswitch.decision import decider as deciders


def add_jobs(
    decider: "deciders.Decider",
    rows: list[stores.Row],
    progress_rows: dict[str, stores.Row],
    clock: clocks.Clock,
) -> None:
    """Adds the stored jobs to a decider, with their progress.

    A job that can't be read is left out, so that the others are served.

    Args:
        decider: The decider of the new epoch.
        rows: Rows of accepted jobs and of cancellations.
        progress_rows: Stored progress by job ID.
        clock: The runtime's clock.
    """
    cancelled = {
        row.key.removesuffix(tables.CANCEL_SUFFIX)
        for row in rows
        if row.key.endswith(tables.CANCEL_SUFFIX)
    }
    for row in rows:
        if row.key.endswith(tables.CANCEL_SUFFIX):
            continue
        submission = decode_job(row, decider.log)
        stored = progress_rows.get(row.key)
        if submission is None:
            continue
        if not _is_readable(stored, submission, decider.log):
            continue
        decider.add_job(
            submission,
            clock.now(),
            clock.wall() * 1000,
            inherited=True,
            progress=stored.value if stored is not None else None,
            cancelled=row.key in cancelled,
        )


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
