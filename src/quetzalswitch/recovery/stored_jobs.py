"""Loads the jobs that earlier leaders left in the store."""

import typing

from quetzalswitch import clock as clocks
from quetzalswitch.acceptance import submissions
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
        stored = progress_rows.get(row.key)
        decider.add_job(
            submissions.decode(row.value),
            clock.now(),
            clock.wall() * 1000,
            inherited=True,
            progress=stored.value if stored is not None else None,
            cancelled=row.key in cancelled,
        )
