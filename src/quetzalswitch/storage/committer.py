"""Group commit of conditional writes under a chain of receipts."""

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
    the row is unchanged since the last one. The row tells whether a
    transaction whose answer was lost took effect, keeps delayed copies from
    taking effect later, and fences this process once another has sealed it.

    Attributes:
        is_sealed: Whether this process was declared dead; it must restart.
        previous: Last write of the process that held the row before; None if
            there was none or before registration.
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
        """Time of sending of the last access that was confirmed.

        In seconds on the clock; minus infinity if there was none.
        """
        return self._health.last_confirmed_s

    @property
    def renewed_s(self) -> float:
        """Time of sending of the last transaction that was committed.

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
            ValueError: It has too many keys or concerns the own receipt row.
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
            raise ValueError(f"{self._key} is written by the committer only")
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
        """Seals a dead entry's row, so that its writes fail from then on.

        Waits for the commit; returns the version of the sealed row. A row
        that is sealed already is left as it is.

        Raises:
            ConditionFailedError: The row has another version.
            FencedError: This process itself was sealed.
            StoreUnavailableError: The row may or may not be sealed; read it.
        """
        key = receipts.make_key(entry_id)
        row = self._table.read_row(key) or table.Row(key, 0, None)
        if row.version != row_version or row.version == 0:
            raise exceptions.ConditionFailedError({key: row})
        receipt = receipts.read_receipt(row)
        if receipt is not None and receipt.sealed:
            return row.version
        sealed = receipts.fence_receipt(row, self._incarnation)
        pending = self.submit({key: row.version}, {key: sealed})
        try:
            return pending.wait(FENCE_TIMEOUT_S)
        finally:
            pending.withdraw()

    def register(self) -> None:
        """Takes over the entry's receipt row; call it before `start`.

        A task that was not registered does it by itself when started.

        Raises:
            FencedError: The row of this very incarnation was sealed.
            StoreUnavailableError: The effect is unknown; it may be repeated.
        """
        for _ in range(MAX_REGISTRATION_ROUNDS):
            sent_s = self._clock.now()
            row = self._table.read_row(self._key, self._health.timeout_s)
            self._health.record_success(sent_s)
            receipt = receipts.read_receipt(row)
            if receipt is not None and receipt.incarnation == self._incarnation:
                # An earlier try took effect without an answer.
                if receipt.sealed:
                    raise exceptions.FencedError(f"{self._key} is sealed")
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
            f"{self._key} changed during {MAX_REGISTRATION_ROUNDS} tries"
        )

    def run(self) -> None:
        """Commits queued writes and renews the receipt until sealed."""
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
        except exceptions.FencedError as sealed:
            logs.write("registration_lost", error=sealed)
            error = sealed
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
        self._carry_through(group)
        self._in_flight = []

    def _carry_through(self, group: list[write_queue.PendingWrite]) -> None:
        # Transactions whose answer was lost, by write ID: one of them may yet
        # take effect, until the receipt row changes.
        lost: dict[str, list[write_queue.PendingWrite]] = {}
        # Writes that failed but are also part of a lost transaction: they are
        # released once that can no longer take effect.
        held: list[outcomes.Failed] = []
        while True:
            outcome = self._send(group, lost)
            match outcome:
                case outcomes.Committed():
                    self._settle(outcome, group, lost, held)
                    return
                case outcomes.Conflicted(conflicts):
                    failed, group = self._split(group, conflicts)
                    if not lost:
                        self._release(failed)
                        self._queue.put_back(group)
                        return
                    held += failed
                case outcomes.NotSent():
                    self._queue.put_back(group)
                    return
                case outcomes.Rejected(error):
                    failed = self._isolate(group, error)
                    if not lost:
                        self._release(failed)
                        return
                    held += failed
                    group = []

    def _settle(
        self,
        outcome: outcomes.Committed,
        group: list[write_queue.PendingWrite],
        lost: dict[str, list[write_queue.PendingWrite]],
        held: list[outcomes.Failed],
    ) -> None:
        self._version = outcome.version
        committed = lost.get(outcome.write_id, group)
        for pending in committed:
            self.counts.rows += len(pending.writes)
            pending.succeed(outcome.version)
        self._release([each for each in held if each.pending not in committed])
        if outcome.is_superseded:
            raise exceptions.FencedError(f"{self._key} was sealed")

    def _split(
        self,
        group: list[write_queue.PendingWrite],
        conflicts: dict[str, table.Row],
    ) -> tuple[list[outcomes.Failed], list[write_queue.PendingWrite]]:
        """Returns the writes that conflicted, with errors, and the others."""
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
        """Fails a refused write, or has each of a group sent by itself."""
        logs.write("store_write_refused", error=error, writes=len(group))
        if len(group) == 1:
            return [outcomes.Failed(group[0], error)]
        for pending in group:
            pending.needs_own_transaction = True
        return [outcomes.Failed(pending, None) for pending in group]

    def _release(self, failed: list[outcomes.Failed]) -> None:
        self._queue.put_back(
            [each.pending for each in failed if each.error is None]
        )
        for pending, error in failed:
            if error is not None:
                pending.fail(error)

    def _send(
        self,
        group: list[write_queue.PendingWrite],
        lost: dict[str, list[write_queue.PendingWrite]],
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
        for losses in itertools.count():
            if losses > 1:
                self._health.back_off(losses)
            self._rate_limiter.wait()
            sent_s = self._clock.now()
            self._rate_limiter.record_sent(sent_s)
            self.counts.transactions += 1
            self.counts.resends += losses > 0
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
                return self._find_own_commit(own, lost)
            except exceptions.ProtocolError as error:
                self._health.record_success(sent_s)
                return outcomes.Rejected(error)
            except exceptions.StoreUnavailableError as error:
                self._health.record_failure(error, sent_s)
                cause = error.__cause__
                if not lost and isinstance(cause, ConnectionRefusedError):
                    return outcomes.NotSent()
            else:
                self._health.record_success(sent_s)
                self._committed_s = sent_s
                self._renewed_s = sent_s
                return outcomes.Committed(receipt.write_id, version)
            lost[receipt.write_id] = group
            logs.write("store_write_uncertain", write=receipt.write_id)
            found = self._check_own_row(self._read_own_row(), lost)
            if found is not None:
                return found
        raise AssertionError("the loop above has no end")

    def _check_own_row(
        self,
        row: table.Row | None,
        lost: dict[str, list[write_queue.PendingWrite]],
    ) -> outcomes.Committed | None:
        """Returns the lost transaction that took effect, None if none did.

        Raises:
            FencedError: Another process has written the row.
        """
        # An older version would be a read that lags behind the commits.
        if row is not None and row.version <= self._version:
            return None
        return self._find_own_commit(row, lost)

    def _find_own_commit(
        self,
        row: table.Row | None,
        lost: dict[str, list[write_queue.PendingWrite]],
    ) -> outcomes.Committed:
        found = receipts.find_commit(row, lost)
        if found is None:
            raise exceptions.FencedError(
                f"{self._key} was sealed or taken over"
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
