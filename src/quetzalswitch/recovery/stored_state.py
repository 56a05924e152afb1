"""What a new leader reads from the store before it decides anything."""

import typing

import gevent

from quetzalswitch import exceptions
from quetzalswitch.platform import records
from quetzalswitch.platform import store as stores
from quetzalswitch.recovery import tables


class StoredState(typing.NamedTuple):
    """The stored state of all work, and the versions to follow it from.

    Attributes:
        job_rows: Submissions and cancellations.
        jobs_version: Version to follow the table of jobs from.
        progress_rows: Progress of jobs by ID.
        progress_version: Version of the store when progress was read.
        chain_version: Version of the row that chains writes of progress; 0 if
            there is none.
        target_list: Stored list of targets that may have running tasks.
        lost_runs: Stored list of runs that may have ended with a crash.
        target_rows: Registrations of targets.
        targets_version: Version to follow the table of targets from.
    """

    job_rows: list[stores.Row]
    jobs_version: int
    progress_rows: dict[str, stores.Row]
    progress_version: int
    chain_version: int
    target_list: bytes
    lost_runs: bytes
    target_rows: list[stores.Row]
    targets_version: int


def read(store: stores.Store) -> StoredState:
    """Reads the stored state.

    Raises:
        StoreUnavailableError: A part could not be read.
    """
    target_read = gevent.spawn(tables.try_read, store, records.TARGET_TABLE, "")
    stored, progress_version = store.read(
        tables.PROGRESS_TABLE, tables.CLUSTER_PART, tries=tables.READ_TRIES
    )
    job_rows, jobs_version = tables.read_all(
        store, tables.JOB_TABLE, tables.JOB_PARTS
    )
    targets = target_read.get()
    if isinstance(targets, exceptions.StoreUnavailableError):
        raise targets
    rows = {row.key: row for row in stored}
    chain = rows.pop(tables.CHAIN_KEY, None)
    return StoredState(
        job_rows,
        jobs_version,
        rows,
        progress_version,
        chain.version if chain else 0,
        _find_value(rows, tables.TARGETS_KEY),
        _find_value(rows, tables.LOST_RUNS_KEY),
        *targets,
    )


def _find_value(rows: dict[str, stores.Row], key: str) -> bytes:
    return rows[key].value if key in rows else b""
