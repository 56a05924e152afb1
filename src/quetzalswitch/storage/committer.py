"""Group commit of conditional writes, each tied to the entry's receipt row."""

import itertools
import typing

import gevent
import gevent.event
import msgspec

from quetzalswitch import clock as clocks
from quetzalswitch import exceptions
from quetzalswitch import logs
from quetzalswitch import tasks
from quetzalswitch.storage import outcomes
from quetzalswitch.storage import rate_limiter
from quetzalswitch.storage import receipts
from quetzalswitch.storage import table
from quetzalswitch.storage import table_health
from quetzalswitch.storage import write_queue

RENEWAL_INTERVAL_S = 2.0
MAX_QUEUED = 10_000
MAX_REGISTRATION_ROUNDS = 5
FENCE_TIMEOUT_S = 10.0


class Committer(tasks.Task):
    """Writes to the table for one entry process, one transaction at a time.

    Every transaction also writes the entry's receipt row on condition that
    the row is unchanged since the previous one. The row shows whether a
    transaction whose answer was lost took effect, keeps delayed copies from
    taking effect later, and stops this process from writing once another
    process has fenced the row.

    Attributes:
        is_fenced: Whether this process was declared dead; it must restart.
        previous: Last write of the previous process with this entry ID; None
            if there was none or before registration.
        counts: Work done so far.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        table_client: table.TableClient,
        entry_id: str,
        incarnation: str,
        address: str,
        commits_per_s: float = rate_limiter.MAX_TRANSACTIONS_PER_S,
        count_entries: typing.Callable[[], int] = lambda: 1,
    ):
        super().__init__(f"committer {entry_id}")
        self.is_fenced = False
        self.previous: receipts.LastWrite | None = None
        self.counts = outcomes.Counts()
        self._clock = clock
        self._table = table_client
        self._key = receipts.make_key(entry_id)
        self._incarnation = incarnation
        self._address = address
        self._rate_limiter = rate_limiter.RateLimiter(
            clock, count_entries, commits_per_s
        )
        self._health = table_health.TableHealth(clock, table_client.timeout_s)
        self._queue = write_queue.WriteQueue()
        self._in_flight: list[write_queue.PendingWrite] = []
        self._wake = gevent.event.Event()
        self._end_error: exceptions.QuetzalError | None = None
        self._version: int | None = None
        self._sequence = 0
        self._committed_s = float("-inf")
        self._renewed_s = float("-inf")

    @property
    def last_confirmed_s(self) -> float:
        """Send time of the last access that was confirmed.

        In seconds on the clock; minus infinity if there was none.
        """
        return self._health.last_confirmed_s

    @property
    def renewed_s(self) -> float:
        """Send time of the last transaction that was committed.

        In seconds on the clock; minus infinity if there was none. Each one
        renews the registration.
        """
        return self._renewed_s

    @property
    def failures(self) -> int:
        """Number of accesses without a usable answer."""
        return self._health.failures

    def submit(
        self, conditions: dict[str, int], writes: dict[str, typing.Any]
    ) -> write_queue.PendingWrite:
        """Queues a write; it takes effect as a whole or not at all.

        A value of None deletes a row; version 0 in a condition means absent.

        Raises:
            ValueError: It has too many keys or touches the committer's own
                receipt row.
        """
        pending = write_queue.PendingWrite(
            self._clock, self._queue, conditions, writes
        )
        if len(pending.keys) > write_queue.MAX_GROUP_KEYS:
            raise ValueError(
                f"write has {len(pending.keys)} keys, at most "
                f"{write_queue.MAX_GROUP_KEYS} fit in a transaction"
            )
        if self._key in pending.keys:
            raise ValueError(
                f"{self._key} may only be written by the committer"
            )
        self._queue.append(pending)
        if self._end_error is not None:
            self._queue.remove(pending)
            pending.fail(self._end_error)
        elif len(self._queue) > MAX_QUEUED:
            self._queue.remove(pending)
            pending.fail(
                exceptions.StoreUnavailableError(
                    f"{MAX_QUEUED} writes are waiting for the table"
                )
            )
        self._wake.set()
        return pending

    def fence(self, entry_id: str, row_version: int) -> int:
        """Fences a dead entry's row, so that its writes fail from then on.

        Waits for the commit; returns the version of the fenced row. A row
        that is already fenced is not changed.

        Raises:
            ConditionFailedError: The row has another version.
            FencedError: This process itself was fenced.
            StoreUnavailableError: The row may or may not be fenced; read it.
        """
        key = receipts.make_key(entry_id)
        row = self._table.read_row(key) or table.Row(key, 0, None)
        if row.version != row_version or row.version == 0:
            raise exceptions.ConditionFailedError({key: row})
        receipt = receipts.read_receipt(row)
        if receipt is not None and receipt.sealed:
            return row.version
        fenced = receipts.fence_receipt(row, self._incarnation)
        pending = self.submit({key: row.version}, {key: fenced})
        try:
            return pending.wait(FENCE_TIMEOUT_S)
        finally:
            pending.withdraw()

    def register(self) -> None:
        """Takes over the entry's receipt row; call it before `start`.

        A committer that is not registered yet registers when it starts.

        Raises:
            FencedError: The row of this incarnation was fenced.
            StoreUnavailableError: The effect is unknown; the call can be
                repeated.
        """
        for _ in range(MAX_REGISTRATION_ROUNDS):
            sent_s = self._clock.now()
            row = self._table.read_row(self._key, self._health.timeout_s)
            self._health.record_success(sent_s)
            receipt = receipts.read_receipt(row)
            if receipt is not None and receipt.incarnation == self._incarnation:
                # An earlier attempt took effect, but its answer was lost.
                if receipt.sealed:
                    raise exceptions.FencedError(f"{self._key} is fenced")
                self.previous = receipt.last_write
                self._version = row.version
                return
            self.previous = receipts.find_last_write(row)
            sent_s = self._clock.now()
            try:
                self._version = self._table.transact(
                    {self._key: row.version if row else 0},
                    {self._key: self._make_receipt()},
                    self._health.timeout_s,
                )
            except exceptions.ConditionFailedError:
                continue
            self._health.record_success(sent_s)
            self._committed_s = sent_s
            self._renewed_s = sent_s
            return
        raise exceptions.StoreUnavailableError(
            f"{self._key} changed during {MAX_REGISTRATION_ROUNDS} attempts"
        )

    def run(self) -> None:
        """Commits queued writes and renews the receipt until fenced."""
        timer = gevent.spawn(self._wake_for_renewal)
        error: exceptions.QuetzalError = exceptions.StoreUnavailableError(
            "the committer has stopped"
        )
        try:
            self._register_with_backoff()
            while True:
                self._wait_for_work()
                if self._health.is_failing:
                    # Writes can still be withdrawn while the store is down.
                    self._check_own_row(self._read_own_row(), {})
                self._rate_limiter.wait()
                self._commit_group()
        except exceptions.FencedError as fenced:
            logs.write("registration_lost", error=fenced)
            error = fenced
            self.is_fenced = True
        finally:
            timer.kill(block=False)
            self._end(error)

    def _end(self, error: exceptions.QuetzalError) -> None:
        self._end_error = error
        in_flight, self._in_flight = self._in_flight, []
        for pending in in_flight + self._queue.take_all():
            pending.fail(error)

    def _wake_for_renewal(self) -> None:
        while True:
            idle_s = self._clock.now() - self._committed_s
            remaining_s = RENEWAL_INTERVAL_S - idle_s
            self._clock.sleep(max(RENEWAL_INTERVAL_S / 8, remaining_s))
            self._wake.set()

    def _register_with_backoff(self) -> None:
        while self._version is None:
            started_s = self._clock.now()
            try:
                self.register()
            except exceptions.StoreUnavailableError as error:
                self._health.record_failure(error, started_s)
                self._health.back_off()

    def _wait_for_work(self) -> None:
        while not self._queue and not self._is_renewal_due():
            self._wake.clear()
            self._wake.wait()

    def _is_renewal_due(self) -> bool:
        return self._clock.now() - self._committed_s >= RENEWAL_INTERVAL_S

    def _commit_group(self) -> None:
        group = self._queue.take_group()
        if not group:
            if not self._is_renewal_due():
                return
            self.counts.renewals += 1
        self._in_flight = group
        self._commit_until_resolved(group)
        self._in_flight = []

    def _commit_until_resolved(
        self, group: list[write_queue.PendingWrite]
    ) -> None:
        # Transactions whose answer was lost, by write ID: one of them may
        # still take effect until the receipt row changes.
        unconfirmed: dict[str, list[write_queue.PendingWrite]] = {}
        # Failed writes that are also part of an unconfirmed transaction: they
        # are resolved once that can no longer take effect.
        deferred: list[outcomes.Failed] = []
        while True:
            outcome = self._send(group, unconfirmed)
            match outcome:
                case outcomes.Committed():
                    self._finish_commit(outcome, group, unconfirmed, deferred)
                    return
                case outcomes.Conflicted(conflicts):
                    failed, group = self._split_conflicted(group, conflicts)
                    if not unconfirmed:
                        self._resolve_failed(failed)
                        self._queue.put_back(group)
                        return
                    deferred += failed
                case outcomes.NotSent():
                    self._queue.put_back(group)
                    return
                case outcomes.Rejected(error):
                    failed = self._isolate(group, error)
                    if not unconfirmed:
                        self._resolve_failed(failed)
                        return
                    deferred += failed
                    group = []

    def _finish_commit(
        self,
        outcome: outcomes.Committed,
        group: list[write_queue.PendingWrite],
        unconfirmed: dict[str, list[write_queue.PendingWrite]],
        deferred: list[outcomes.Failed],
    ) -> None:
        self._version = outcome.version
        committed = unconfirmed.get(outcome.write_id, group)
        for pending in committed:
            self.counts.rows += len(pending.writes)
            pending.succeed(outcome.version)
        self._resolve_failed(
            [each for each in deferred if each.pending not in committed]
        )
        if outcome.is_superseded:
            raise exceptions.FencedError(f"{self._key} was fenced")

    def _split_conflicted(
        self,
        group: list[write_queue.PendingWrite],
        conflicts: dict[str, table.Row],
    ) -> tuple[list[outcomes.Failed], list[write_queue.PendingWrite]]:
        """Returns the conflicting writes with their errors, and the others."""
        failed = []
        rest = []
        for pending in group:
            own = {
                key: row
                for key, row in conflicts.items()
                if key in pending.conditions
            }
            if own:
                error = exceptions.ConditionFailedError(own)
                failed.append(outcomes.Failed(pending, error))
            else:
                rest.append(pending)
        self.counts.conflicts += len(failed)
        return failed, rest

    def _isolate(
        self,
        group: list[write_queue.PendingWrite],
        error: exceptions.ProtocolError,
    ) -> list[outcomes.Failed]:
        """Fails a rejected write, or marks each of a group to be sent alone."""
        logs.write("store_write_refused", error=error, writes=len(group))
        if len(group) == 1:
            return [outcomes.Failed(group[0], error)]
        for pending in group:
            pending.needs_own_transaction = True
        return [outcomes.Failed(pending, None) for pending in group]

    def _resolve_failed(self, failed: list[outcomes.Failed]) -> None:
        self._queue.put_back(
            [each.pending for each in failed if each.error is None]
        )
        for pending, error in failed:
            if error is not None:
                pending.fail(error)

    def _send(
        self,
        group: list[write_queue.PendingWrite],
        unconfirmed: dict[str, list[write_queue.PendingWrite]],
    ) -> outcomes.Outcome:
        """Sends one transaction until its outcome is known."""
        self._sequence += 1
        receipt = self._make_receipt()
        conditions = {self._key: self._version}
        writes = {self._key: msgspec.Raw(msgspec.json.encode(receipt))}
        for pending in group:
            conditions |= pending.conditions
            writes |= pending.writes
        size_bytes = sum(len(bytes(value)) for value in writes.values())
        for resend in itertools.count():
            if resend > 1:
                self._health.back_off(resend)
            self._rate_limiter.wait()
            sent_s = self._clock.now()
            self._rate_limiter.record_sent(sent_s)
            self.counts.transactions += 1
            self.counts.resends += resend > 0
            self.counts.bytes += size_bytes
            try:
                version = self._table.transact(
                    conditions, writes, self._health.timeout_s
                )
            except exceptions.ConditionFailedError as error:
                self._health.record_success(sent_s)
                own = error.conflicts.get(self._key)
                if own is None:
                    return outcomes.Conflicted(error.conflicts)
                return self._find_own_commit(own, unconfirmed)
            except exceptions.ProtocolError as error:
                self._health.record_success(sent_s)
                return outcomes.Rejected(error)
            except exceptions.StoreUnavailableError as error:
                self._health.record_failure(error, sent_s)
                cause = error.__cause__
                if not unconfirmed and isinstance(
                    cause, ConnectionRefusedError
                ):
                    return outcomes.NotSent()
            else:
                self._health.record_success(sent_s)
                self._committed_s = sent_s
                self._renewed_s = sent_s
                return outcomes.Committed(receipt.write_id, version)
            unconfirmed[receipt.write_id] = group
            logs.write("store_write_uncertain", write=receipt.write_id)
            found = self._check_own_row(self._read_own_row(), unconfirmed)
            if found is not None:
                return found
        raise AssertionError("unreachable: the loop above never ends")

    def _check_own_row(
        self,
        row: table.Row | None,
        unconfirmed: dict[str, list[write_queue.PendingWrite]],
    ) -> outcomes.Committed | None:
        """Returns the unconfirmed transaction that took effect, if any.

        Raises:
            FencedError: Another process has written the row.
        """
        # A read that lags behind the commits returns an older version.
        if row is not None and row.version <= self._version:
            return None
        return self._find_own_commit(row, unconfirmed)

    def _find_own_commit(
        self,
        row: table.Row | None,
        unconfirmed: dict[str, list[write_queue.PendingWrite]],
    ) -> outcomes.Committed:
        found = receipts.find_commit(row, unconfirmed)
        if found is None:
            raise exceptions.FencedError(
                f"{self._key} was fenced or taken over"
            )
        self._committed_s = self._clock.now()
        return outcomes.Committed(*found)

    def _read_own_row(self) -> table.Row | None:
        while True:
            sent_s = self._clock.now()
            self.counts.read_backs += 1
            try:
                row = self._table.read_row(self._key, self._health.timeout_s)
            except exceptions.StoreUnavailableError as error:
                self._health.record_failure(error, sent_s)
                self._health.back_off()
            else:
                self._health.record_success(sent_s)
                return row

    def _make_receipt(self) -> receipts.Receipt:
        return receipts.Receipt(
            incarnation=self._incarnation,
            sequence=self._sequence,
            write_id=f"{self._incarnation}/{self._sequence}",
            address=self._address,
            wall_time_s=self._clock.wall(),
            last_write=self.previous,
        )
