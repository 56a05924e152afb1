"""Stores the progress of jobs, one transaction at a time.

Every transaction is conditional on the versions of the leader's row and of the
chain row that the previous transaction wrote. A write of a deposed leader, or
one that takes effect late, therefore changes nothing.
"""

import typing
from collections.abc import Callable

import gevent
import gevent.event

from quetzalswitch import clock as clocks
from quetzalswitch import exceptions
from quetzalswitch import greenlets
from quetzalswitch import nodelog
from quetzalswitch.decision import jobs
from quetzalswitch.execution import tenure as tenures
from quetzalswitch.platform import store as stores
from quetzalswitch.recovery import tables

# The store accepts at most 100 rows per transaction.
BATCH_LIMIT_ROWS: typing.Final = 80
# A call holds at most 1 MB, in which values take up a third more.
BATCH_LIMIT_BYTES: typing.Final = 600_000
ROW_LIMIT_BYTES: typing.Final = 65_536
# Changes within this time share a transaction. More accumulate during a write.
BATCH_DELAY_S: typing.Final = 0.002
RETRY_PAUSE_S: typing.Final = 0.1
# A lost answer delays the visible state by this; slow answers of the store take
# 0.8 s.
WRITE_TIMEOUT_S: typing.Final = 1.0


class ProgressWriter:
    """Writes changed jobs until stopped.

    Attributes:
        wake: Set when there is something to write.
        transactions: Number of transactions that were stored.
    """

    def __init__(
        self,
        store: stores.Store,
        log: nodelog.NodeLog,
        changed: dict[str, jobs.Job],
        leader_version: int,
        chain_version: int,
        on_stored: Callable[[list[tuple[jobs.Job, int]]], None],
        on_deposed: Callable[[str], None],
        nonce: str,
        clock: clocks.Clock,
        tenure: tenures.Tenure,
        stored_lists: dict[str, bytes] | None = None,
        row_limit_bytes: int = ROW_LIMIT_BYTES,
    ):
        self.wake = gevent.event.Event()
        self.transactions = 0
        self._store = store
        self._log = log
        self._changed = changed
        self._leader_version = leader_version
        self._chain_version = chain_version
        self._on_stored = on_stored
        self._on_deposed = on_deposed
        self._nonce = nonce
        self._clock = clock
        self._tenure = tenure
        self._known_lists = dict(stored_lists or {})
        self._changed_lists: dict[str, bytes] = {}
        self._row_limit_bytes = row_limit_bytes
        # Revision of each job whose progress is too large for a row.
        self._too_large: dict[str, int] = {}
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Starts the writer's greenlet."""
        self._greenlet = greenlets.spawn(self._run, self._log, self._on_deposed)

    def stop(self) -> None:
        """Stops writing; changes that are not stored stay unacknowledged."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)

    def set_list(self, key: str, data: bytes) -> None:
        """Stores the encoded list of a key with the next write, if changed."""
        if data != self._known_lists.get(key, b""):
            self._known_lists[key] = self._changed_lists[key] = data
            self.wake.set()

    def is_list_stored(self, key: str) -> bool:
        """Returns whether the store has the latest list of a key."""
        return key not in self._changed_lists

    def _run(self) -> None:
        while True:
            self.wake.wait()
            gevent.sleep(BATCH_DELAY_S)
            self.wake.clear()
            while self._changed_lists or any(
                map(self._is_storable, self._changed.values())
            ):
                if not self._write_batch():
                    gevent.sleep(RETRY_PAUSE_S)

    def _is_storable(self, job: jobs.Job) -> bool:
        return self._too_large.get(job.id) != job.revision

    def _collect_batch(
        self,
    ) -> tuple[list[tuple[jobs.Job, int]], list[stores.Put]]:
        """Returns changed jobs with their revisions, and their rows.

        Leaves out rows that the store would refuse: they would keep all others
        from being stored.
        """
        batch: list[tuple[jobs.Job, int]] = []
        puts: list[stores.Put] = []
        size_bytes = 0
        for job in filter(self._is_storable, list(self._changed.values())):
            data = job.encode()
            if len(data) > self._row_limit_bytes:
                self._too_large[job.id] = job.revision
                self._log.note_once(
                    "progress_too_large", job.id, 0, id=job.id, bytes=len(data)
                )
                continue
            size_bytes += len(data)
            if len(batch) == BATCH_LIMIT_ROWS or (
                batch and size_bytes > BATCH_LIMIT_BYTES
            ):
                break
            batch.append((job, job.revision))
            puts.append(stores.Put(tables.PROGRESS_TABLE, job.id, data))
        return batch, puts

    def _write_batch(self) -> bool:
        batch, puts = self._collect_batch()
        lists = dict(self._changed_lists)
        puts += [
            stores.Put(tables.PROGRESS_TABLE, key, data)
            for key, data in lists.items()
        ]
        puts.append(
            stores.Put(
                tables.PROGRESS_TABLE, tables.CHAIN_KEY, self._nonce.encode()
            )
        )
        conditions = (
            stores.Condition(
                tables.CLUSTER_TABLE, tables.LEADER_KEY, self._leader_version
            ),
            stores.Condition(
                tables.PROGRESS_TABLE, tables.CHAIN_KEY, self._chain_version
            ),
        )
        sent = tenures.read_moment(self._clock)
        try:
            self._chain_version = self._store.transact(
                tables.CLUSTER_PART, puts, conditions, (), WRITE_TIMEOUT_S
            )
        except exceptions.ConditionFailedError as error:
            return self._handle_conflict(error)
        except exceptions.StoreUnavailableError as error:
            self._log.note("progress_unstored", error=str(error))
            return False
        self._tenure.confirm(sent)
        self.transactions += 1
        for key, data in lists.items():
            if self._changed_lists[key] is data:
                del self._changed_lists[key]
        self._on_stored(batch)
        return True

    def _handle_conflict(self, error: exceptions.ConditionFailedError) -> bool:
        """Returns whether to retry after a late write of this process.

        Any other conflict means that this process is no longer the leader.
        """
        leader = error.conflicts.get((tables.CLUSTER_TABLE, tables.LEADER_KEY))
        chain = error.conflicts.get((tables.PROGRESS_TABLE, tables.CHAIN_KEY))
        if leader is not None and leader.version != self._leader_version:
            self._on_deposed("the leader's row has changed")
            return False
        if chain is None or chain.value.decode() != self._nonce:
            self._on_deposed("another process wrote progress")
            return False
        # An earlier write of this process took effect without an answer.
        self._log.note("progress_landed_late", version=chain.version)
        self._chain_version = chain.version
        return True
