"""Leader election among entry processes, one epoch at a time.

A process claims an epoch by a conditional write that replaces the leader's row
in the store if it has not changed. Safety does not depend on clocks: the epoch
is part of the fencing token of every command, and targets reject lower tokens.
"""

import collections
import random
import typing
from collections.abc import Callable

import gevent
import gevent.event
import msgspec

from quetzalswitch import clock as clocks
from quetzalswitch import exceptions
from quetzalswitch import greenlets
from quetzalswitch import nodelog
from quetzalswitch.execution import tenure as tenures
from quetzalswitch.peers import links as peer_links
from quetzalswitch.platform import store as stores
from quetzalswitch.recovery import candidates
from quetzalswitch.recovery import leader_rows
from quetzalswitch.recovery import monitor as monitors
from quetzalswitch.recovery import renewals
from quetzalswitch.recovery import tables

CHECK_INTERVAL_S: typing.Final = 0.05
# Each candidate waits this long per better suited candidate, so that usually
# only one of them writes.
RANK_DELAY_S: typing.Final = 0.15
# A leader that gets no answer from the store and has no live peer resigns after
# this time. It may still renew leases until then, so it must be over before its
# successor takes leases to have expired that it can't see.
STORE_TIMEOUT_S: typing.Final = 2.0
# A leader yields to a VM with at least this many times its power, once it has
# led for the time below. A takeover stops placing for about 0.3 s.
STRONGER_FACTOR: typing.Final = 1.5
YIELD_DELAY_S: typing.Final = 3.0
# The store answers in 20 ms; a leader that loads its state from a slow store
# would stop placing for seconds.
YIELD_STORE_LATENCY_S: typing.Final = 0.1
# The store answers feed calls at least once a second. A leader that it has not
# answered for this long checks whether the store still does.
SILENCE_LIMIT_S: typing.Final = 1.2
# A leader whose store call is unanswered for this long checks whether only this
# process has lost the store.
PENDING_LIMIT_S: typing.Final = 0.3
# A small read takes 5 ms, or 0.3 s when the store is slowed by the factor of 66
# of the users' fault scenarios.
PROBE_TIMEOUT_S: typing.Final = 0.3
# If a peer gets an answer within this time, the store is not slow for everyone.
PEER_PROBE_TIMEOUT_S: typing.Final = 0.15
# A leader resigns after this many checks in a row in which the store answered a
# peer but not this process. Where all VMs are slow, one late answer is normal.
LOST_CHECKS_COUNT: typing.Final = 3
# Each change of leader within this time makes processes wait longer before the
# next one. Where all VMs are slow, a takeover only adds to the load.
PATIENCE_WINDOW_S: typing.Final = 20.0
MAX_PATIENCE: typing.Final = 4


class Claim(typing.NamedTuple):
    """An epoch won by this process.

    Attributes:
        epoch: The epoch.
        version: Version of the leader's row that this process wrote.
        sent: When the write was sent that won it.
        previous: Name of the previous leader; empty if unknown.
    """

    epoch: int
    version: int
    sent: tenures.Moment = tenures.Moment(float("-inf"), float("-inf"))
    previous: str = ""


class Election:
    """Monitors the leader and claims the next epoch when it must be replaced.

    Attributes:
        leader: The leader's row with the highest epoch seen, if any.
        claim: The epoch that this process holds, if any.
        resigned: The last epoch that this process resigned; 0 for none.
        leaving: Whether a planned stop has begun.
        can_yield: Whether another leader could continue at once, because the
            outcome of every start is known here.
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
        self.leader: leader_rows.LeaderRow | None = None
        self.claim: Claim | None = None
        self.resigned = 0
        self.leaving = False
        self.can_yield: Callable[[], bool] = lambda: False
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
        self._monitor = monitors.LeaderMonitor(
            name,
            lifetime,
            links,
            renewals.Witness(store, clock, log),
            clock,
            log,
        )
        self._leader_version = 0
        self._lost_checks = 0
        # When the last changes of leader became known.
        self._changes_s: collections.deque[float] = collections.deque(
            maxlen=MAX_PATIENCE - 1
        )
        self._wake = gevent.event.Event()

    def start(self) -> None:
        """Starts monitoring the leader."""
        greenlets.spawn_loop(self._run, self._log, self.resign)

    def check_soon(self) -> None:
        """Checks the leader without waiting for the next interval."""
        self._wake.set()

    def apply_leader_row(self, row: stores.Row) -> None:
        """Applies the leader's row as read from the store.

        An unreadable row is logged. It is replaced by the next claim.
        """
        if row.removed or row.version <= self._leader_version:
            return
        self._leader_version = row.version
        try:
            self._set_leader(leader_rows.decode_leader(row.value))
        except exceptions.ProtocolError as error:
            tables.log_unreadable_entry(row, error, self._log)

    def resign(self, reason: str) -> None:
        """Ends this process's epoch if it holds one; logs the reason."""
        if self.claim is None:
            return
        self._log.note("epoch_lost", epoch=self.claim.epoch, reason=reason)
        self.resigned = self.claim.epoch
        self.claim = None
        self._on_lost(reason)

    def _set_leader(self, leader: leader_rows.LeaderRow) -> None:
        if self.leader is not None and leader.epoch <= self.leader.epoch:
            return
        self._note_change()
        self.leader = leader
        self._suspected_s = None
        self._links.set_leader(leader.name)
        self._log.note("leader", epoch=leader.epoch, leader=leader.name)
        if self.claim is not None and leader.epoch > self.claim.epoch:
            self.resign(f"epoch {leader.epoch} of {leader.name}")

    def _note_change(self) -> None:
        self._monitor.known_s = self._clock.now()
        if self.leader is not None:
            self._changes_s.append(self._monitor.known_s)

    def find_unheard_epoch(self) -> int:
        """Returns the epoch if its leader works without a link, else 0."""
        if self.claim is not None or self.leaving:
            return 0
        return self._monitor.find_unheard_epoch(self.leader)

    def read_stored_pending(self) -> tuple[dict[str, int] | None, float]:
        """Returns the counts that an unheard leader has stored, and their age.

        See `renewals.Witness.read_pending`.
        """
        return self._monitor.read_pending(
            self.leader.epoch if self.leader else 0
        )

    @property
    def _patience(self) -> int:
        """Factor of the times after which a silent leader is replaced."""
        since_s = self._clock.now() - PATIENCE_WINDOW_S
        return 1 + sum(change_s > since_s for change_s in self._changes_s)

    def _run(self) -> None:
        while True:
            self._wake.wait(timeout=CHECK_INTERVAL_S)
            self._wake.clear()
            self._apply_heartbeats()
            if self.claim is not None:
                self._monitor.stop()
                self._check_own_epoch()
            elif not self.leaving:
                self._monitor.watch(self.leader)
                self._check_leader()

    def _apply_heartbeats(self) -> None:
        for peer in self._links.alive():
            heartbeat = peer.heartbeat
            if heartbeat.leading and (
                self.leader is None or heartbeat.epoch > self.leader.epoch
            ):
                row = leader_rows.LeaderRow(
                    heartbeat.epoch, heartbeat.name, heartbeat.lifetime
                )
                self._set_leader(row)

    def _check_own_epoch(self) -> None:
        """Resigns if only this process has lost the store.

        Stays leader if the store is slow or down for every entry, since
        another leader could store nothing either. Without any live peer,
        resigns once the store has not answered for `STORE_TIMEOUT_S`.
        """
        silent = (
            self._store.pending_age_s > PENDING_LIMIT_S
            or self._store.answer_age_s > SILENCE_LIMIT_S
        )
        if self._store.healthy and not silent:
            self._lost_checks = 0
            self._yield_to_stronger()
            return
        alive = self._links.alive()
        probes = [
            gevent.spawn(self._probe_peer, peer.name)
            for peer in random.sample(alive, min(2, len(alive)))
        ]
        if self._store.probe(
            tables.CLUSTER_TABLE, tables.CLUSTER_PART, PROBE_TIMEOUT_S
        ):
            self._lost_checks = 0
            return
        if self.claim is None:
            return
        if not alive and self._links.peers:
            if self._store.answer_age_s > STORE_TIMEOUT_S:
                self.resign("no answer from the store and no live peer")
            return
        for probe in gevent.iwait(probes):
            if probe.value:
                self._lost_checks += 1
                if self._lost_checks >= LOST_CHECKS_COUNT:
                    self.resign(
                        f"the store answers {probe.value} but not this process"
                    )
                return
        self._lost_checks = 0

    def _yield_to_stronger(self) -> None:
        """Resigns if a much stronger VM can take over.

        A weak VM may have become leader while the stronger ones were down.
        """
        led_s = self._clock.now() - self._monitor.known_s
        if (
            led_s < self._patience * YIELD_DELAY_S
            or self._store.latency_s > YIELD_STORE_LATENCY_S
            or not self.can_yield()
        ):
            return
        for peer in self._links.alive():
            heartbeat = peer.heartbeat
            if (
                heartbeat.power >= STRONGER_FACTOR * self._power
                and heartbeat.store_ok
                and not heartbeat.leaving
            ):
                self.resign(f"{peer.name} is on a stronger VM")
                return

    def _probe_peer(self, name: str) -> str:
        """Returns the peer's name if the store answers it quickly."""
        try:
            answered = self._links.call(
                name, "probe_store", None, 2 * PEER_PROBE_TIMEOUT_S, bool
            )
        except exceptions.TransportError:
            return ""
        return name if answered else ""

    def handle_probe(self, _: str, __: None) -> bool:
        """Returns, for a peer, whether the store answers here quickly."""
        return self._store.probe(
            tables.CLUSTER_TABLE, tables.CLUSTER_PART, PEER_PROBE_TIMEOUT_S
        )

    def _check_leader(self) -> None:
        now_s = self._clock.now()
        reason = self._find_replacement_reason()
        if reason is None:
            self._suspected_s = None
            return
        if self._suspected_s is None:
            self._suspected_s = now_s
            self._log_suspicion(reason, now_s)
        delay_s = self._rank() * RANK_DELAY_S
        if self.leader is None:
            delay_s += self._monitor.find_startup_delay()
        if now_s - self._suspected_s >= delay_s and self._can_lead():
            self._claim_epoch(reason)

    def _log_suspicion(self, reason: str, now_s: float) -> None:
        peer = self.leader and self._links.peers.get(self.leader.name)
        self._log.note(
            "leader_suspected",
            reason=reason,
            epoch=self.leader.epoch if self.leader else 0,
            leader=self.leader.name if self.leader else "",
            link=peer.find_link_state(now_s) if peer else "",
            heard_age=peer.find_heard_age(now_s) if peer else None,
            links=self._links.count_states(),
        )

    def _find_replacement_reason(self) -> str | None:
        """Returns why the leader should be replaced, or None."""
        return self._monitor.find_reason(self.leader, self._patience)

    def _can_lead(self) -> bool:
        return self._store.healthy

    def _rank(self) -> int:
        """Returns the number of better suited peers that may be alive."""
        leader = self.leader and self._links.peers.get(self.leader.name)
        own = candidates.Candidate(self._name, self._power, self._lifetime)
        return candidates.rank(own, self._links, leader)

    def _claim_epoch(self, reason: str) -> None:
        try:
            row = self._store.read_row(
                tables.CLUSTER_TABLE, tables.CLUSTER_PART, tables.LEADER_KEY
            )
            if row is not None:
                self.apply_leader_row(row)
                # A heartbeat may have announced a leader during the read.
                if self._find_replacement_reason() is None:
                    self._suspected_s = None
                    return
            version = row.version if row is not None else 0
            epoch = (self.leader.epoch if self.leader else 0) + 1
            previous = self.leader.name if self.leader else ""
            claim = self._write_leader_row(epoch, version)
        except exceptions.StoreUnavailableError as error:
            self._log.note("epoch_not_taken", error=str(error))
            self._suspected_s = self._clock.now() + 0.3
            return
        if claim is None:
            return
        if self.leader is not None and self.leader.epoch > epoch:
            # The answer was slow, and a newer epoch was claimed meanwhile.
            self._log.note("epoch_not_taken", error="a newer epoch is known")
            return
        claim = claim._replace(previous=previous)
        self._leader_version = claim.version
        self._note_change()
        self.leader = leader_rows.LeaderRow(epoch, self._name, self._lifetime)
        self.claim = claim
        self._suspected_s = None
        self._lost_checks = 0
        self._log.note("epoch_won", epoch=epoch, reason=reason)
        self._on_won(claim)

    def _write_leader_row(self, epoch: int, version: int) -> Claim | None:
        """Replaces the leader's row if it is still at `version`.

        Returns:
            The claim, or None if another process wrote first.
        """
        row = leader_rows.LeaderRow(epoch, self._name, self._lifetime)
        put = stores.Put(
            tables.CLUSTER_TABLE,
            tables.LEADER_KEY,
            msgspec.msgpack.encode(row),
        )
        condition = stores.Condition(
            tables.CLUSTER_TABLE, tables.LEADER_KEY, version
        )
        sent = tenures.read_moment(self._clock)
        try:
            new_version = self._store.transact(
                tables.CLUSTER_PART, [put], [condition], timeout_s=1.5
            )
            return Claim(epoch, new_version, sent)
        except exceptions.ConditionFailedError as error:
            for current in error.conflicts.values():
                self.apply_leader_row(current)
            return None
        except exceptions.StoreRefusedError:
            raise
        except exceptions.StoreUnavailableError:
            current = self._store.read_row(
                tables.CLUSTER_TABLE, tables.CLUSTER_PART, tables.LEADER_KEY
            )
            if current is not None and current.value == put.value:
                return Claim(epoch, current.version, sent)
            raise
