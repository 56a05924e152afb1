"""Judges whether the leader must be replaced.

Heartbeats tell whether the leader lives, and what its peers hear. Where they
don't arrive, the store is asked as well: a leader that renews its row there is
replaced only by a process that most of the others can hear.
"""

import typing

from quetzalswitch import clock as clocks
from quetzalswitch import nodelog
from quetzalswitch.peers import links as peer_links
from quetzalswitch.peers import peer as peers
from quetzalswitch.recovery import leader_rows
from quetzalswitch.recovery import renewals

# On the first start of the system, all processes start within 0.3 s.
STARTUP_DELAY_S: typing.Final = 0.4
# How long a process that started after others waits for the leader to connect;
# old connections to its VM may take a second to time out.
FIRST_HEARTBEAT_TIMEOUT_S: typing.Final = 2.0
# How long a process that runs already waits for the first heartbeat of a new
# leader, which may not have been a neighbour before.
NEW_LEADER_TIMEOUT_S: typing.Final = 1.0
# Processes that start within this time of each other count as started together.
SIMULTANEOUS_START_S: typing.Final = 2.0
# How long a leader that only the store shows to be at work may stay unheard
# where other links work. Connections that went silent are replaced before.
UNHEARD_LIMIT_S: typing.Final = 3.0
# Factor of the accepted lateness of a heartbeat after which the store is
# watched, so that there is a verdict when the heartbeat counts as missing.
WATCH_PATIENCE: typing.Final = 0.15


class LeaderMonitor:
    """Finds reasons to replace the leader.

    Attributes:
        known_s: When the present leader became known.
    """

    def __init__(
        self,
        name: str,
        lifetime: str,
        links: peer_links.Links,
        witness: renewals.Witness,
        clock: clocks.Clock,
        log: nodelog.NodeLog,
    ):
        self.known_s = float("-inf")
        self._name = name
        self._lifetime = lifetime
        self._links = links
        self._witness = witness
        self._clock = clock
        self._log = log
        self._started_s = clock.now()
        # The last epoch whose unheard leader was logged to be kept.
        self._kept_epoch = 0

    def watch(self, leader: leader_rows.LeaderRow | None) -> None:
        """Watches the leader in the store while it is not heard."""
        if (
            leader is None
            or leader.name == self._name
            or self._links.is_alive(leader.name, WATCH_PATIENCE)
        ):
            self._witness.stop()
        else:
            self._witness.watch(leader.epoch)

    def read_pending(self, epoch: int) -> tuple[dict[str, int] | None, float]:
        """Returns the counts that an unheard leader has stored, and their age.

        See `renewals.Witness.read_pending`.
        """
        return self._witness.read_pending(epoch)

    def find_unheard_epoch(self, leader: leader_rows.LeaderRow | None) -> int:
        """Returns the leader's epoch if it works without a link, else 0.

        The leader is not heard but renews its row, or is heard and says for
        some time that it doesn't hear this process.
        """
        peer = self._links.peers.get(leader.name) if leader else None
        if leader is None or leader.name == self._name:
            return 0
        if peer is not None and self._links.is_alive(leader.name):
            return leader.epoch if peer.is_unheard_there() else 0
        renewed = renewals.Verdict.RENEWED
        return leader.epoch if self._witness.find_verdict() is renewed else 0

    def stop(self) -> None:
        """Stops watching; this process leads or ends."""
        self._witness.stop()

    def find_startup_delay(self) -> float:
        """Returns the seconds left for others to start as well."""
        return max(0.0, self._started_s + STARTUP_DELAY_S - self._clock.now())

    def find_reason(
        self, leader: leader_rows.LeaderRow | None, patience: int
    ) -> str | None:
        """Returns why the leader should be replaced, or None.

        Args:
            leader: The leader's row with the highest epoch seen, if any.
            patience: Factor of the times after which a silent leader is
                replaced.
        """
        if leader is None:
            return "no leader is known"
        if leader.name == self._name:
            if leader.lifetime == self._lifetime:
                return "this process resigned the epoch"
            return "this process was restarted"
        if self._awaits_new_leader(leader.name, patience):
            return None
        peer = self._links.peers.get(leader.name)
        if peer is None or peer.heartbeat is None:
            if self._awaits_first_heartbeat(leader):
                return None
            reason = "no heartbeat was ever received from the leader"
            return self._check_unheard(leader, peer, patience, reason)
        if peer.connection_refused:
            reason = "the leader's process has ended"
            return self._check_unheard(leader, peer, patience, reason)
        if not self._links.is_alive(leader.name, patience):
            reason = "the leader is unresponsive"
            return self._check_unheard(leader, peer, patience, reason)
        if peer.heartbeat.lifetime != leader.lifetime:
            return "the leader's process was restarted"
        if peer.heartbeat.leaving:
            return "the leader is shutting down"
        if peer.heartbeat.resigned >= leader.epoch:
            return "the leader resigned its epoch"
        return None

    def _awaits_new_leader(self, name: str, patience: int) -> bool:
        """Returns whether a new leader's first heartbeat may still come.

        When a process starts, other limits apply: its leader may be long dead.
        """
        peer = self._links.peers.get(name)
        now_s = self._clock.now()
        return (
            peer is not None
            and not peer.connection_refused
            and not self._links.is_alive(name)
            and self.known_s - self._started_s > STARTUP_DELAY_S
            and now_s - self.known_s < patience * NEW_LEADER_TIMEOUT_S
        )

    def _awaits_first_heartbeat(self, leader: leader_rows.LeaderRow) -> bool:
        """Returns whether the first heartbeat may still come at a start."""
        since_s, limit_s = self._started_s, STARTUP_DELAY_S
        if self._started_later():
            limit_s = FIRST_HEARTBEAT_TIMEOUT_S
        elif self._started_with(leader):
            # A process that the store rejected learns late who leads.
            since_s, limit_s = self.known_s, NEW_LEADER_TIMEOUT_S
        return self._clock.now() - since_s < limit_s

    def _check_unheard(
        self,
        leader: leader_rows.LeaderRow,
        peer: peers.Peer | None,
        patience: int,
        reason: str,
    ) -> str | None:
        """Returns the reason if the leader that is not heard must go.

        A process hears less than others do while its own links fail, so the
        judgement does not rest on its links alone.
        """
        refused = peer is not None and peer.connection_refused
        was_heard = peer is not None and peer.received_s >= self.known_s
        states = self._list_link_states(leader)
        links_work = was_heard and _work_mostly(states)
        if refused and links_work:
            return reason
        if self._is_heard_by_peers(leader):
            return None
        match self._witness.find_verdict(patience):
            case renewals.Verdict.UNKNOWN:
                return None
            case renewals.Verdict.NOT_RENEWED:
                return reason
        unheard_s = self._find_unheard_time(peer)
        self._log_kept(leader, unheard_s)
        # A leader that was never heard may be on the other side of a
        # partition, where others hear it and not the next one.
        improves = links_work or _work_all(states)
        if improves and unheard_s > patience * UNHEARD_LIMIT_S:
            return f"{reason}, although it renews its row"
        return None

    def _find_unheard_time(self, peer: peers.Peer | None) -> float:
        """Returns for how long the leader could be heard and was not, in s."""
        received_s = peer.received_s if peer is not None else float("-inf")
        since_s = max(received_s, self.known_s, self._started_s)
        return self._clock.now() - since_s

    def _log_kept(
        self,
        leader: leader_rows.LeaderRow,
        unheard_s: float,
    ) -> None:
        if self._kept_epoch == leader.epoch:
            return
        self._kept_epoch = leader.epoch
        self._log.note(
            "leader_kept",
            epoch=leader.epoch,
            leader=leader.name,
            unheard=round(unheard_s, 3),
            links=self._links.count_states(),
        )

    def _list_link_states(
        self, leader: leader_rows.LeaderRow
    ) -> list[peers.LinkState]:
        """Returns the states of the links to all neighbours but the leader."""
        now_s = self._clock.now()
        return [
            peer.find_link_state(now_s)
            for peer in self._links.peers.values()
            if peer.name != leader.name and peer.chosen_s is not None
        ]

    def _is_heard_by_peers(self, leader: leader_rows.LeaderRow) -> bool:
        """Returns whether at least half of the live peers hear the leader.

        Then only this process has lost its link to the leader, or is slow.
        """
        others = [p for p in self._links.alive() if p.name != leader.name]
        hearing = [
            peer
            for peer in others
            if peer.hears_leader and peer.heartbeat.epoch == leader.epoch
        ]
        return bool(others) and 2 * len(hearing) >= len(others)

    def _started_later(self) -> bool:
        """Returns whether some live peer started well before this process."""
        own_ns = int(self._lifetime, 16)
        limit_ns = int(SIMULTANEOUS_START_S * 1e9)
        return any(
            own_ns - int(peer.heartbeat.lifetime, 16) > limit_ns
            for peer in self._links.alive()
        )

    def _started_with(self, leader: leader_rows.LeaderRow) -> bool:
        """Returns whether the leader's process is no older than this one.

        Then it was elected since, and is not one that was lost before.
        """
        age_ns = int(self._lifetime, 16) - int(leader.lifetime, 16)
        return age_ns < SIMULTANEOUS_START_S * 1e9


def _work_mostly(states: list[peers.LinkState]) -> bool:
    """Returns whether most links work; then this process would be heard.

    VMs that refuse connections don't count: no process runs there.
    """
    working = states.count(peers.LinkState.WORKING)
    running = len(states) - states.count(peers.LinkState.REFUSED)
    return working > 0 and 2 * working >= running


def _work_all(states: list[peers.LinkState]) -> bool:
    """Returns whether all links work but some that are refused."""
    working = states.count(peers.LinkState.WORKING)
    refused = states.count(peers.LinkState.REFUSED)
    return working > refused and working + refused == len(states)
