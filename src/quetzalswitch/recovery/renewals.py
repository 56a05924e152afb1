"""A second witness of the leader's life: a row that it renews in the store.

Links between entries may carry nothing while the store answers every process.
A leader that is not heard then goes on working, and replacing it would not let
the next one be heard either. So the leader renews a row, and a process that
doesn't hear it reads this row before it claims the next epoch.
"""

import enum
import typing
from collections.abc import Callable

import gevent
import msgspec

from quetzalswitch import clock as clocks
from quetzalswitch import decoding
from quetzalswitch import exceptions
from quetzalswitch import greenlets
from quetzalswitch import nodelog
from quetzalswitch.peers import peer as peers
from quetzalswitch.platform import store as stores
from quetzalswitch.recovery import tables

# Longer than two heartbeats of the leader. A process that misses heartbeats has
# to see a renewal before it counts the leader as silent, after 0.9 s.
RENEWAL_INTERVAL_S: typing.Final = 0.4
# Accepted lateness of a renewal besides the time of the store's answers.
LATENESS_MARGIN_S: typing.Final = 0.15
# Limits of the time that a renewal or a read may take; a store that becomes
# slow must not seem to be away.
MIN_CALL_TIMEOUT_S: typing.Final = 0.6
MAX_CALL_TIMEOUT_S: typing.Final = 1.5
# Between two reads until the first verdict, and after it.
FIRST_READ_INTERVAL_S: typing.Final = 0.15
READ_INTERVAL_S: typing.Final = 0.5
# A verdict is given up when the store has not answered for this long.
READ_AGE_LIMIT_S: typing.Final = 2 * (READ_INTERVAL_S + MAX_CALL_TIMEOUT_S)


class RenewalRow(msgspec.Struct, array_like=True, frozen=True):
    """The stored row that a leader renews; the number grows each time.

    `pending` is as in heartbeats: the number of submissions without a start by
    queue, or None while the leader loads.
    """

    epoch: peers.Epoch
    lifetime: peers.Lifetime
    number: int
    pending: dict[str, int] | None = None


_RENEWAL: typing.Final = msgspec.msgpack.Decoder(RenewalRow)


class Verdict(enum.Enum):
    """What the store tells of a leader that is not heard.

    Attributes:
        UNKNOWN: It has not been watched for long enough.
        RENEWED: It has renewed its row while it was watched.
        NOT_RENEWED: It has not, although it was due.
    """

    UNKNOWN = enum.auto()
    RENEWED = enum.auto()
    NOT_RENEWED = enum.auto()


class Renewer:
    """Renews the leader's row during one epoch."""

    def __init__(
        self,
        store: stores.Store,
        clock: clocks.Clock,
        log: nodelog.NodeLog,
        epoch: int,
        lifetime: str,
        count_pending: Callable[[], dict[str, int] | None],
    ):
        self._store = store
        self._clock = clock
        self._log = log
        self._epoch = epoch
        self._lifetime = lifetime
        self._count_pending = count_pending
        self._number = 0
        # Renewals in a row without an answer.
        self._failures = 0

    def run(self) -> None:
        """Renews the row until the greenlet is killed."""
        while True:
            if self._renew():
                self._clock.sleep(RENEWAL_INTERVAL_S)
            else:
                self._clock.sleep(tables.RETRY_PAUSE_S)

    def _renew(self) -> bool:
        self._number += 1
        row = RenewalRow(
            self._epoch, self._lifetime, self._number, self._count_pending()
        )
        put = stores.Put(
            tables.RENEWAL_TABLE,
            tables.LEADER_KEY,
            msgspec.msgpack.encode(row),
        )
        try:
            self._store.transact(
                tables.RENEWAL_PART,
                [put],
                timeout_s=_find_timeout(self._store, self._failures),
            )
        except exceptions.StoreUnavailableError as error:
            if not self._failures:
                self._log.note("renewal_unstored", error=str(error))
            self._failures += 1
            return False
        self._failures = 0
        return True


class Witness:
    """Watches in the store whether a leader that is not heard is at work."""

    def __init__(
        self, store: stores.Store, clock: clocks.Clock, log: nodelog.NodeLog
    ):
        self._store = store
        self._clock = clock
        self._log = log
        self._epoch = 0
        self._greenlet: gevent.Greenlet | None = None
        self._row: RenewalRow | None = None
        # When the calls were sent that first answered, showed the last change,
        # and answered last.
        self._first_s: float | None = None
        self._changed_s: float | None = None
        self._read_s = float("-inf")
        # Reads in a row without an answer.
        self._failures = 0

    def watch(self, epoch: int) -> None:
        """Watches the leader of an epoch; nothing to do if it is watched."""
        if self._greenlet is not None and self._epoch == epoch:
            return
        self.stop()
        self._epoch = epoch
        self._row = None
        self._first_s = self._changed_s = None
        self._read_s = float("-inf")
        self._greenlet = greenlets.spawn_loop(self._run, self._log)

    def stop(self) -> None:
        """Stops watching; the leader is heard again or has been replaced."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)
            self._greenlet = None

    def read_pending(self, epoch: int) -> tuple[dict[str, int] | None, float]:
        """Returns the counts in the leader's last renewal and their age in s.

        The age is infinite unless the leader of that epoch is being watched.
        """
        if self._changed_s is None or self._epoch != epoch or not self._row:
            return None, float("inf")
        age_s = self._clock.now() - self._changed_s + RENEWAL_INTERVAL_S
        return self._row.pending, age_s

    def find_verdict(self, patience: float = 1.0) -> Verdict:
        """Returns what is known of the leader that is watched.

        Args:
            patience: Factor of the time in which a renewal is due.
        """
        if self._greenlet is None or self._first_s is None:
            return Verdict.UNKNOWN
        latency_s = min(self._store.latency_s, MAX_CALL_TIMEOUT_S)
        limit_s = RENEWAL_INTERVAL_S + LATENESS_MARGIN_S + 2 * latency_s
        if self._clock.now() - self._read_s > READ_AGE_LIMIT_S:
            return Verdict.UNKNOWN
        if self._changed_s is None:
            if self._read_s - self._first_s < patience * limit_s:
                return Verdict.UNKNOWN
            return Verdict.NOT_RENEWED
        limit_s += READ_INTERVAL_S
        if self._read_s - self._changed_s < patience * limit_s:
            return Verdict.RENEWED
        return Verdict.NOT_RENEWED

    def _run(self) -> None:
        while True:
            self._read()
            self._clock.sleep(
                FIRST_READ_INTERVAL_S
                if self._changed_s is None
                else READ_INTERVAL_S
            )

    def _read(self) -> None:
        sent_s = self._clock.now()
        try:
            row = self._store.read_row(
                tables.RENEWAL_TABLE,
                tables.RENEWAL_PART,
                tables.LEADER_KEY,
                _find_timeout(self._store, self._failures),
            )
        except exceptions.StoreUnavailableError:
            # The store's metrics count it. Without a read there is no verdict,
            # and without the store no claim.
            self._failures += 1
            return
        self._failures = 0
        renewal = self._decode(row)
        if self._first_s is None:
            self._first_s = sent_s
        elif renewal != self._row and renewal is not None:
            self._changed_s = sent_s
        self._row = renewal
        self._read_s = sent_s

    def _decode(self, row: stores.Row | None) -> RenewalRow | None:
        """Returns the renewal of the watched epoch in a row, if it is one."""
        if row is None:
            return None
        try:
            renewal = decoding.decode(
                _RENEWAL.decode, row.value, "the leader's renewal"
            )
        except exceptions.ProtocolError as error:
            tables.log_unreadable_entry(row, error, self._log)
            return None
        return renewal if renewal.epoch == self._epoch else None


def _find_timeout(store: stores.Store, failures: int) -> float:
    """Returns how long a call may take that others depend on, in s.

    Args:
        store: The store.
        failures: How many such calls in a row had no answer.
    """
    shortest_s = MIN_CALL_TIMEOUT_S * 2 ** min(failures, 2)
    return min(MAX_CALL_TIMEOUT_S, max(shortest_s, 2 * store.latency_s))
