"""Monitoring of the store, and writes to it through other entries."""

import random
import typing

import gevent

from quetzalswitch import clock as clocks
from quetzalswitch import exceptions
from quetzalswitch import nodelog
from quetzalswitch.acceptance import intake as intakes
from quetzalswitch.peers import links as peer_links
from quetzalswitch.peers import peer as entry_peers
from quetzalswitch.platform import store as stores
from quetzalswitch.recovery import election
from quetzalswitch.recovery import tables

# The store answers feed calls at least once a second.
STORE_TIMEOUT_S: typing.Final = 2.5
# Slightly longer than the timeout of the other entry's write.
RELAY_TIMEOUT_S: typing.Final = intakes.WRITE_TIMEOUT_S + 0.1
# With less time left, the answer would arrive after the caller's timeout.
RELAY_MIN_S: typing.Final = 0.1
# Short compared with the age at which a pending call is suspicious (0.3 s).
STORE_CHECK_INTERVAL_S: typing.Final = 0.1
# The store answers within 20 ms; slowed down by a factor of 60, it takes 0.3 s
# or more.
FAST_STORE_LATENCY_S: typing.Final = 0.1
# At least one heartbeat arrives within this even if there is only one other
# entry.
ISOLATION_PEER_TIMEOUT_S: typing.Final = (
    entry_peers.FOLLOWER_INTERVAL_S + entry_peers.LATENESS_MARGIN_S
)
# The store answers feed calls once a second; the rest allows for a slow store.
ISOLATION_STORE_TIMEOUT_S: typing.Final = 1.5
# Interval of probes while the store does not answer.
PROBE_INTERVAL_S: typing.Final = 0.15


class StoreRelay:
    """Monitors the store and relays writes through other entries."""

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
        """Returns whether this entry should receive requests.

        False if it is isolated, or if other entries reach the store and this
        one does not.
        """
        if self.is_isolated():
            return False
        unresponsive = self._store.answer_age_s > STORE_TIMEOUT_S
        return not (unresponsive and self.can_relay())

    def is_isolated(self) -> bool:
        """Returns whether neither the store nor any other entry responds."""
        return (
            self._links.last_received_ago_s > ISOLATION_PEER_TIMEOUT_S
            and self._store.answer_age_s > ISOLATION_STORE_TIMEOUT_S
        )

    def can_relay(self) -> bool:
        """Returns whether another entry reaches the store."""
        return bool(self._list_relays())

    def can_hedge(self) -> bool:
        """Returns whether another entry gets fast answers from the store."""
        return any(
            peer.heartbeat.store_lag_s < FAST_STORE_LATENCY_S
            for peer in self._list_relays()
        )

    def relay_job(
        self, data: bytes, timeout_s: float
    ) -> intakes.RelayOutcome | None:
        """Stores a job through another entry; None without one."""
        return self._relay("store_job", data, timeout_s)

    def relay_cancel(
        self, job_id: str, timeout_s: float
    ) -> intakes.RelayOutcome | None:
        """Stores a cancellation through another entry; None without one."""
        return self._relay("store_cancel", job_id, timeout_s)

    def watch(self) -> None:
        """Probes the store to detect the start and end of an outage early."""
        while True:
            gevent.sleep(STORE_CHECK_INTERVAL_S)
            if not self._store.healthy:
                # Feed calls may hang on connections opened before the outage.
                self._probe()
                gevent.sleep(PROBE_INTERVAL_S)
                continue
            age_s = self._store.pending_age_s
            if age_s > election.PENDING_LIMIT_S and not self._probe():
                self._log.note("store_silent", pending_age=round(age_s, 3))

    def _probe(self) -> bool:
        return self._store.probe(
            tables.CLUSTER_TABLE, tables.CLUSTER_PART, stores.SLOWEST_READ_S
        )

    def _list_relays(self) -> list[entry_peers.Peer]:
        """Returns the entries that reported that they reach the store."""
        return [
            peer
            for peer in self._links.alive()
            if peer.heartbeat.store_ok and not peer.heartbeat.leaving
        ]

    def _relay(
        self, kind: str, payload: typing.Any, timeout_s: float
    ) -> intakes.RelayOutcome | None:
        peers = self._list_relays()
        fast = [
            p for p in peers if p.heartbeat.store_lag_s < FAST_STORE_LATENCY_S
        ]
        peers = fast or peers
        if not peers or timeout_s < RELAY_MIN_S:
            return None
        peer = random.choice(peers)
        try:
            answer = self._links.call(
                peer.name,
                kind,
                payload,
                min(timeout_s, RELAY_TIMEOUT_S),
                intakes.RelayOutcome,
            )
        except exceptions.TransportError as error:
            self._log.note("relay_unknown", peer=peer.name, error=str(error))
            return intakes.RelayOutcome.UNKNOWN
        return answer
