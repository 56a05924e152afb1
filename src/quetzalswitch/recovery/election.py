"""Which entry process decides: one epoch at a time, taken in the store.

An epoch is taken by replacing the leader's row under the condition that it has
not changed. Safety does not rest on anyone's clock: the epoch is part of the
fencing token of every order, and targets refuse lower tokens.
"""

import random
import typing
from collections.abc import Callable

import gevent
import gevent.event
import msgspec

from quetzalswitch import clock as clocks
from quetzalswitch import exceptions
from quetzalswitch import nodelog
from quetzalswitch.peers import links as peer_links
from quetzalswitch.platform import store as stores
from quetzalswitch.recovery import tables

CHECK_INTERVAL_S: typing.Final = 0.05
# Candidates wait this long for each livelier one before them, so that usually
# one of them writes.
RANK_DELAY_S: typing.Final = 0.15
# At the first start all processes begin within 0.3 s.
START_DELAY_S: typing.Final = 0.4
# A leader that hears neither the store nor another entry gives up after this.
STORE_SILENCE_S: typing.Final = 3.0
# A process that started after others gives a leader this long to dial it; old
# connections to its VM may take a second to be given up.
NEVER_HEARD_LIMIT_S: typing.Final = 2.0
# Processes whose starts lie closer together than this started together.
SAME_START_S: typing.Final = 2.0
# A leader whose write has no answer for this long checks whether the store is
# lost to it alone.
PENDING_LIMIT_S: typing.Final = 0.3
# A small read takes 5 ms, and 0.3 s when the store is slowed by the factor of
# 66 that the users play.
PROBE_TIMEOUT_S: typing.Final = 0.3
# A peer's answer within this shows that the store is not slow for all.
PEER_PROBE_TIMEOUT_S: typing.Final = 0.15


class LeaderRow(msgspec.Struct, array_like=True):
    """The leader's row: who decides, and in which epoch."""

    epoch: int
    name: str
    lifetime: str


class Claim(typing.NamedTuple):
    """A won epoch; the version identifies the leader's row.

    Attributes:
        epoch: The epoch.
        version: Version of the leader's row.
        previous: Who decided in the epoch before; empty if unknown.
    """

    epoch: int
    version: int
    previous: str = ""


class Election:
    """Watches the leader and takes its place when it is gone.

    Attributes:
        leader: The newest leader's row that is known.
        claim: The epoch that this process holds, if any.
        resigned: The last epoch that this process gave up; 0 for none.
        leaving: Whether a planned stop has begun.
    """

    def __init__(
        self,
        name: str,
        lifetime: str,
        store: stores.Store,
        links: peer_links.Links,
        clock: clocks.Clock,
        log: nodelog.NodeLog,
        power: float,
        on_won: Callable[[Claim], None],
        on_lost: Callable[[str], None],
    ):
        self.leader: LeaderRow | None = None
        self.claim: Claim | None = None
        self.resigned = 0
        self.leaving = False
        self._name = name
        self._lifetime = lifetime
        self._store = store
        self._links = links
        self._clock = clock
        self._log = log
        self._power = power
        self._on_won = on_won
        self._on_lost = on_lost
        self._suspected_s: float | None = None
        self._began_s = clock.now()
        self._leader_version = 0
        self._wake = gevent.event.Event()

    def start(self) -> None:
        """Starts watching."""
        gevent.spawn(self._run)

    def check_soon(self) -> None:
        """Has the leader checked now."""
        self._wake.set()

    def apply_leader_row(self, row: stores.Row) -> None:
        """Applies the leader's row as read from the store."""
        if row.removed or row.version <= self._leader_version:
            return
        self._leader_version = row.version
        self._learn(msgspec.msgpack.decode(row.value, type=LeaderRow))

    def resign(self, reason: str) -> None:
        """Ends this process's epoch, if it holds one."""
        if self.claim is None:
            return
        self._log.note("epoch_lost", epoch=self.claim.epoch, reason=reason)
        self.resigned = self.claim.epoch
        self.claim = None
        self._on_lost(reason)

    def _learn(self, leader: LeaderRow) -> None:
        if self.leader is not None and leader.epoch <= self.leader.epoch:
            return
        self.leader = leader
        self._suspected_s = None
        self._log.note("leader", epoch=leader.epoch, leader=leader.name)
        if self.claim is not None and leader.epoch > self.claim.epoch:
            self.resign(f"epoch {leader.epoch} of {leader.name}")

    def _run(self) -> None:
        while True:
            self._wake.wait(timeout=CHECK_INTERVAL_S)
            self._wake.clear()
            self._learn_from_beats()
            if self.claim is not None:
                self._check_own_epoch()
            elif not self.leaving:
                self._check_leader()

    def _learn_from_beats(self) -> None:
        for peer in self._links.alive():
            heartbeat = peer.heartbeat
            if heartbeat.leading and (
                self.leader is None or heartbeat.epoch > self.leader.epoch
            ):
                row = LeaderRow(
                    heartbeat.epoch, heartbeat.name, heartbeat.lifetime
                )
                self._learn(row)

    def _check_own_epoch(self) -> None:
        """Steps down if the store is lost to this process alone."""
        stuck = self._store.pending_age_s > PENDING_LIMIT_S
        if self._store.healthy and not stuck:
            return
        alive = self._links.alive()
        asked = [
            gevent.spawn(self._probe_peer, peer.name)
            for peer in random.sample(alive, min(2, len(alive)))
        ]
        if self._store.probe(
            tables.CLUSTER_TABLE, tables.CLUSTER_PART, PROBE_TIMEOUT_S
        ):
            return
        if self.claim is None:
            return
        if not alive and self._links.peers:
            if self._store.answer_age_s > STORE_SILENCE_S:
                self.resign("neither the store nor another entry is heard")
            return
        for probe in gevent.iwait(asked):
            if probe.value:
                self.resign(f"the store answers {probe.value} but not us")
                return

    def _probe_peer(self, name: str) -> str:
        """Returns the peer's name if the store answers it quickly."""
        try:
            answered = self._links.call(
                name, "probe_store", None, 2 * PEER_PROBE_TIMEOUT_S
            )
        except exceptions.TransportError:
            return ""
        return name if answered else ""

    def handle_probe(self, _: str, __: None) -> bool:
        """Tells another entry whether the store answers this one quickly."""
        return self._store.probe(
            tables.CLUSTER_TABLE, tables.CLUSTER_PART, PEER_PROBE_TIMEOUT_S
        )

    def _check_leader(self) -> None:
        now_s = self._clock.now()
        reason = self._find_fault()
        if reason is None:
            self._suspected_s = None
            return
        if self._suspected_s is None:
            self._suspected_s = now_s
            self._log.note("leader_suspected", reason=reason)
        delay_s = self._rank() * RANK_DELAY_S
        if self.leader is None:
            delay_s += max(0.0, self._began_s + START_DELAY_S - now_s)
        if now_s - self._suspected_s >= delay_s and self._can_lead():
            self._claim(reason)

    def _find_fault(self) -> str | None:
        """Returns why the leader should be replaced, or None."""
        leader = self.leader
        if leader is None:
            return "no leader is known"
        if leader.name == self._name:
            if leader.lifetime == self._lifetime:
                return "this process gave the epoch up"
            return "this process was restarted"
        peer = self._links.peers.get(leader.name)
        if peer is None or peer.heartbeat is None:
            limit_s = START_DELAY_S
            if self._started_alone():
                limit_s = NEVER_HEARD_LIMIT_S
            if self._clock.now() - self._began_s < limit_s:
                return None
            return "the leader was never heard"
        if not self._links.is_alive(leader.name):
            return "the leader is silent or its process has ended"
        if peer.heartbeat.lifetime != leader.lifetime:
            return "the leader's process was restarted"
        if peer.heartbeat.leaving:
            return "the leader is leaving"
        if peer.heartbeat.resigned >= leader.epoch:
            return "the leader gave its epoch up"
        return None

    def _started_alone(self) -> bool:
        """Tells whether another entry that is alive started long before."""
        own_ns = int(self._lifetime, 16)
        limit_ns = int(SAME_START_S * 1e9)
        return any(
            own_ns - int(peer.heartbeat.lifetime, 16) > limit_ns
            for peer in self._links.alive()
        )

    def _can_lead(self) -> bool:
        return self._store.healthy

    def _rank(self) -> int:
        """Returns how many processes are better suited to decide next."""
        leader = (
            self._links.peers.get(self.leader.name) if self.leader else None
        )
        # When processes are replaced one after the other, the one that was
        # started last will stay longest.
        planned = (
            leader is not None
            and leader.heartbeat is not None
            and leader.heartbeat.leaving
        )
        own = _suitability(self._name, self._power, self._lifetime, planned)
        before = [
            peer.name
            for peer in self._links.alive()
            if peer.heartbeat.store_ok
            and not peer.heartbeat.leaving
            and peer is not leader
            and _suitability(
                peer.name,
                peer.heartbeat.power,
                peer.heartbeat.lifetime,
                planned,
            )
            < own
        ]
        return len(before)

    def _claim(self, reason: str) -> None:
        try:
            row = self._store.read_row(
                tables.CLUSTER_TABLE, tables.CLUSTER_PART, tables.LEADER_KEY
            )
            if row is not None:
                self.apply_leader_row(row)
                # While the answer was awaited, beats may have told of a leader.
                if self._find_fault() is None:
                    self._suspected_s = None
                    return
            version = row.version if row is not None else 0
            epoch = (self.leader.epoch if self.leader else 0) + 1
            previous = self.leader.name if self.leader else ""
            claim = self._write(epoch, version)
        except exceptions.StoreUnavailableError as error:
            self._log.note("epoch_not_taken", error=str(error))
            self._suspected_s = self._clock.now() + 0.3
            return
        if claim is None:
            return
        if self.leader is not None and self.leader.epoch > epoch:
            # The answer was slow, and the epoch has been taken over since.
            self._log.note("epoch_not_taken", error="a newer epoch is known")
            return
        claim = claim._replace(previous=previous)
        self._leader_version = claim.version
        self.leader = LeaderRow(epoch, self._name, self._lifetime)
        self.claim = claim
        self._suspected_s = None
        self._log.note("epoch_won", epoch=epoch, reason=reason)
        self._on_won(claim)

    def _write(self, epoch: int, version: int) -> Claim | None:
        """Replaces the leader's row; None if another process was faster."""
        row = LeaderRow(epoch, self._name, self._lifetime)
        put = stores.Put(
            tables.CLUSTER_TABLE,
            tables.LEADER_KEY,
            msgspec.msgpack.encode(row),
        )
        condition = stores.Condition(
            tables.CLUSTER_TABLE, tables.LEADER_KEY, version
        )
        try:
            new = self._store.transact(
                tables.CLUSTER_PART, [put], [condition], timeout_s=1.5
            )
            return Claim(epoch, new)
        except exceptions.ConditionFailedError as error:
            for found in error.conflicts.values():
                self.apply_leader_row(found)
            return None
        except exceptions.StoreRefusedError:
            raise
        except exceptions.StoreUnavailableError:
            found = self._store.read_row(
                tables.CLUSTER_TABLE, tables.CLUSTER_PART, tables.LEADER_KEY
            )
            if found is not None and found.value == put.value:
                return Claim(epoch, found.version)
            raise


def _suitability(
    name: str, power: float, lifetime: str, planned: bool
) -> tuple[float, int, str]:
    """Returns a key that sorts the best suited process first."""
    started = int(lifetime, 16) if planned else 0
    return -power, -started, name
