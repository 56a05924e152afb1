"""What an entry reaches: the store itself, or another entry that reaches it."""

import random
import typing

import gevent

from quetzalswitch import clock as clocks
from quetzalswitch import exceptions
from quetzalswitch import nodelog
from quetzalswitch.acceptance import intake as intakes
from quetzalswitch.peers import links as peer_links
from quetzalswitch.platform import store as stores
from quetzalswitch.recovery import election
from quetzalswitch.recovery import tables

# Feeds answer at least once a second.
STORE_SILENCE_S: typing.Final = 2.5
# A little more than the write that the other entry makes may take.
RELAY_TIMEOUT_S: typing.Final = intakes.WRITE_TIMEOUT_S + 0.1
# With less time left, the answer would come too late for the caller.
RELAY_MIN_S: typing.Final = 0.1
# Small against the time without an answer that counts as suspicious (0.3 s).
STORE_CHECK_S: typing.Final = 0.1
# The store answers within 20 ms; slowed by a factor of 60, in 0.3 s or more.
QUICK_STORE_S: typing.Final = 0.1
# Also the beat of a single other entry arrives within this.
ISOLATION_PEER_TIMEOUT_S: typing.Final = (
    peer_links.FOLLOWER_INTERVAL_S + peer_links.LATENESS_MARGIN_S
)
# Feeds are answered once a second; the rest is for a store that is slowed.
ISOLATION_STORE_TIMEOUT_S: typing.Final = 1.5
# While the store gives no answers, it is asked this often.
PROBE_PAUSE_S: typing.Final = 0.15


class StoreRelay:
    """Watches the store and has other entries make writes for this one."""

    def __init__(
        self,
        store: stores.Store,
        links: peer_links.Links,
        clock: clocks.Clock,
        log: nodelog.NodeLog,
    ):
        self._store = store
        self._links = links
        self._clock = clock
        self._log = log

    def can_serve(self) -> bool:
        """Tells whether callers are not better off at another entry."""
        if self.is_isolated():
            return False
        silent = self._store.answer_age_s > STORE_SILENCE_S
        return not (silent and self.can_relay())

    def is_isolated(self) -> bool:
        """Tells whether neither the store nor any other entry is heard."""
        return (
            self._links.last_received_ago_s > ISOLATION_PEER_TIMEOUT_S
            and self._store.answer_age_s > ISOLATION_STORE_TIMEOUT_S
        )

    def can_relay(self) -> bool:
        """Tells whether another entry reaches the store."""
        return bool(self._list_relays())

    def can_hedge(self) -> bool:
        """Tells whether another entry gets quick answers from the store."""
        return any(
            peer.heartbeat.store_lag_s < QUICK_STORE_S
            for peer in self._list_relays()
        )

    def relay_job(
        self, data: bytes, timeout_s: float
    ) -> intakes.RelayOutcome | None:
        """Has another entry store a job; None if none can be asked."""
        return self._relay("store_job", data, timeout_s)

    def relay_cancel(
        self, job_id: str, timeout_s: float
    ) -> intakes.RelayOutcome | None:
        """Has another entry store a cancellation; None if none can be asked."""
        return self._relay("store_cancel", job_id, timeout_s)

    def watch(self) -> None:
        """Finds out early that the store no longer answers, or again does."""
        while True:
            gevent.sleep(STORE_CHECK_S)
            if not self._store.healthy:
                # Feeds may hang on connections from before the outage.
                self._probe()
                gevent.sleep(PROBE_PAUSE_S)
                continue
            age_s = self._store.pending_age_s
            if age_s > election.PENDING_LIMIT_S and not self._probe():
                self._log.note("store_silent", pending_age=round(age_s, 3))

    def _probe(self) -> bool:
        return self._store.probe(
            tables.CLUSTER_TABLE, tables.CLUSTER_PART, stores.SLOWEST_READ_S
        )

    def _list_relays(self) -> list[peer_links.Peer]:
        """Returns the entries that reach the store, as they last said."""
        return [
            peer
            for peer in self._links.alive()
            if peer.heartbeat.store_ok and not peer.heartbeat.leaving
        ]

    def _relay(
        self, kind: str, payload: typing.Any, timeout_s: float
    ) -> intakes.RelayOutcome | None:
        peers = self._list_relays()
        quick = [p for p in peers if p.heartbeat.store_lag_s < QUICK_STORE_S]
        peers = quick or peers
        if not peers or timeout_s < RELAY_MIN_S:
            return None
        peer = random.choice(peers)
        try:
            answer = self._links.call(
                peer.name, kind, payload, min(timeout_s, RELAY_TIMEOUT_S)
            )
        except exceptions.TransportError as error:
            self._log.note("relay_unknown", peer=peer.name, error=str(error))
            return intakes.RelayOutcome.UNKNOWN
        return intakes.RelayOutcome(answer)
