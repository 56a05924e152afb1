"""Links between entry processes: framed MessagePack over TCP.

Each process dials its neighbours (see `neighbours`), any other peer when it has
a message for it, and sends only on connections that it dialled. Plain sockets
are used instead of pynng: when a peer's process dies, its connection is reset,
and the reset must be detected at once because it starts a takeover.
"""

import itertools
import math
import typing
from collections.abc import Callable

import gevent
import gevent.event
import gevent.queue
import gevent.server
import gevent.socket
import msgspec

from quetzalswitch import bounds
from quetzalswitch import clock as clocks
from quetzalswitch import decoding
from quetzalswitch import exceptions
from quetzalswitch import greenlets
from quetzalswitch import nodelog
from quetzalswitch.peers import dialler
from quetzalswitch.peers import frames
from quetzalswitch.peers import neighbours
from quetzalswitch.peers import peer as peers

# Limits of the heartbeats that the leader sends and receives. Intervals grow
# with the number of followers to keep them.
LEADER_SENDS_PER_S: typing.Final = 500
LEADER_RECEIVES_PER_S: typing.Final = 200
# Links that stay silent are replaced less and less often, up to this factor.
MAX_SILENCE_FACTOR: typing.Final = 4
# A connection to a peer that is not a neighbour any more is kept for this long
# after the last frame.
IDLE_LIMIT_S: typing.Final = 5.0
# A connection from a peer is closed after this long without a frame.
RECEIVE_TIMEOUT_S: typing.Final = 2 * IDLE_LIMIT_S


class Links:
    """Exchanges heartbeats, notices and calls with other entry processes."""

    def __init__(
        self,
        name: str,
        ip: str,
        port: int,
        clock: clocks.Clock,
        log: nodelog.NodeLog,
        make_heartbeat: Callable[[], peers.Heartbeat],
        sums: bounds.Sums | None = None,
    ):
        self.peers: dict[str, peers.Peer] = {}
        self.handlers: dict[str, Callable[[str, typing.Any], typing.Any]] = {}
        self.on_change: Callable[[], None] = lambda: None
        self._name = name
        self._clock = clock
        self._log = log
        self._make_heartbeat = make_heartbeat
        self._heartbeat: peers.Heartbeat | None = None
        self._heard_leader = False
        self._ranked: list[str] = []
        self._leader = ""
        self._calls: dict[int, tuple[str, gevent.event.AsyncResult]] = {}
        self._call_numbers = itertools.count(1)
        self._dialler = dialler.Dialler(
            clock,
            log,
            self._encode_first_heartbeat,
            lambda: self.on_change(),
            self._fail_calls,
        )
        self._ledger = bounds.Ledger(
            sums or bounds.find_link_sums(bounds.Limits()), prefers_proven=True
        )
        self._server = gevent.server.StreamServer((ip, port), self._serve)

    def start(self) -> None:
        """Starts listening and sending heartbeats."""
        self._server.start()
        greenlets.spawn_loop(self._send_heartbeats, self._log)

    def stop(self) -> None:
        """Stops listening; open connections end with the process."""
        self._server.stop()

    def set_members(self, members: dict[str, neighbours.Member]) -> None:
        """Replaces the list of entry processes, by name."""
        self._ranked = [
            name for name in neighbours.rank(members) if name != self._name
        ]
        for name in list(self.peers):
            member = members.get(name)
            if member is None or member.address != self.peers[name].address:
                self.peers.pop(name).disconnect()
        for name in self._ranked:
            member = members[name]
            peer = self.peers.get(name)
            if peer is None:
                peer = self.peers[name] = peers.Peer(name, member.address)
            peer.power = member.power
        leading = self._heartbeat is not None and self._heartbeat.leading
        self._choose_neighbours(leading)

    def set_leader(self, name: str) -> None:
        """Chooses the leader as a neighbour and dials it."""
        self._leader = name
        peer = self.peers.get(name)
        if peer is not None:
            peer.chosen_s = peer.chosen_s or self._clock.now()
            # It runs again if it has become leader; a new dial will tell.
            peer.connection_refused = False
            self._connect(peer)

    def awaited(self) -> list[peers.Peer]:
        """Returns chosen peers that may be alive but were not heard yet."""
        now_s = self._clock.now()
        return [
            peer
            for peer in self.peers.values()
            if peer.is_awaited(now_s) and not peer.is_alive(now_s)
        ]

    def is_alive(self, name: str, patience: float = 1.0) -> bool:
        """Returns whether a peer runs and its next heartbeat is not overdue.

        Args:
            name: Name of the peer.
            patience: Factor of the accepted lateness.
        """
        peer = self.peers.get(name)
        return peer is not None and peer.is_alive(self._clock.now(), patience)

    @property
    def last_received_ago_s(self) -> float:
        """Seconds since any peer's last heartbeat; 0 if there are no peers."""
        received_s = [peer.received_s for peer in self.peers.values()]
        return self._clock.now() - max(received_s) if received_s else 0.0

    @property
    def leader_heard_age_s(self) -> float:
        """Seconds since the leader's last heartbeat; 0 for the leader."""
        peer = self.peers.get(self._leader)
        return self._clock.now() - peer.received_s if peer is not None else 0.0

    def alive(self) -> list[peers.Peer]:
        """Returns the neighbours that are alive; see `is_alive`."""
        now_s = self._clock.now()
        return [peer for peer in self.peers.values() if peer.is_alive(now_s)]

    def notify(self, name: str, kind: str, payload: typing.Any) -> None:
        """Sends a one-way message, which may be lost."""
        self._enqueue(name, ("n", kind, payload))

    def call(
        self,
        name: str,
        kind: str,
        payload: typing.Any,
        timeout_s: float,
        answer_type: typing.Any = typing.Any,
    ) -> typing.Any:
        """Calls a peer's handler and returns its answer, of the given type.

        Raises:
            TransportError: The peer is not connected, the connection ended, or
                no answer of that type arrived in time. Except in the first
                case the effect is unknown.
        """
        peer = self.peers.get(name)
        if peer is None or peer.connection_refused:
            raise exceptions.TransportError(f"{name} is not connected")
        number = next(self._call_numbers)
        result = gevent.event.AsyncResult()
        self._calls[number] = (name, result)
        try:
            self._enqueue(name, ("q", kind, payload, number))
            return decoding.decode(
                lambda answer: msgspec.convert(answer, answer_type),
                result.get(timeout=timeout_s),
                f"an answer of {name} to {kind}",
            )
        except exceptions.ProtocolError as error:
            raise exceptions.TransportError(str(error)) from error
        except gevent.Timeout:
            # Connections to peers that aren't neighbours carry no heartbeats.
            self._replace_silent(peer, self._clock.now())
            raise exceptions.TransportError(
                f"{name} did not answer {kind} within {timeout_s:.2f} s"
            ) from None
        finally:
            self._calls.pop(number, None)

    def _fail_calls(self, name: str) -> None:
        """Fails the pending calls to a peer whose connection has ended."""
        reason = f"the connection to {name} ended"
        for called, result in list(self._calls.values()):
            if called == name and not result.ready():
                result.set_exception(exceptions.TransportError(reason))

    def _enqueue(self, name: str, frame: tuple) -> None:
        peer = self.peers.get(name)
        if peer is None:
            return
        peer.used_s = self._clock.now()
        self._connect(peer)
        try:
            peer.queue.put_nowait(frames.encode(frame))
        except gevent.queue.Full:
            # The link is stalled: the frame is dropped and a call times out.
            if not peer.stalled:
                peer.stalled = True
                self._log.note("link_stalled", peer=name, kind=frame[1])

    def _send_heartbeats(self) -> None:
        while True:
            self._send_due_heartbeats()
            self.on_change()
            gevent.sleep(peers.HEARTBEAT_INTERVAL_S)

    def _send_due_heartbeats(self) -> None:
        heartbeat = self._make_heartbeat()
        urgent = self._heartbeat is None or _is_urgent(
            self._heartbeat, heartbeat
        )
        self._heartbeat = heartbeat
        heard, self._heard_leader = self._heard_leader, self._hears_leader()
        urgent |= heard != self._heard_leader
        encoded: dict[tuple[float, bool, bool], bytes] = {}
        now_s = self._clock.now()
        for peer in self._choose_neighbours(heartbeat.leading):
            self._send_heartbeat(peer, heartbeat, urgent, encoded, now_s)
            self._log_unheard(peer, now_s)
            self._replace_silent(peer, now_s)

    def _choose_neighbours(self, leading: bool) -> list[peers.Peer]:
        """Returns the neighbours; connects them and disconnects idle peers.

        Neighbours are the hubs, the leader, and the peers that have chosen this
        process. The leader has chosen all peers.
        """
        now_s = self._clock.now()
        chosen = self._ranked
        if not leading:
            chosen = neighbours.choose_hubs(
                self._ranked, lambda name: self._is_usable(name, now_s)
            )
        names = set(chosen)
        found = []
        for peer in self.peers.values():
            if peer.name in names or peer.name == self._leader:
                if peer.chosen_s is None:
                    peer.chosen_s = now_s
            else:
                peer.chosen_s = None
            if peer.chosen_s is not None or peer.has_chosen_us(now_s):
                self._connect(peer)
                found.append(peer)
            elif peer.greenlet is not None and (
                now_s - peer.used_s > IDLE_LIMIT_S
            ):
                peer.disconnect()
        return found

    def _is_usable(self, name: str, now_s: float) -> bool:
        peer = self.peers[name]
        # One that has not been chosen yet has not been tried either.
        return (
            peer.is_alive(now_s)
            or peer.chosen_s is None
            or peer.is_awaited(now_s)
        )

    def _connect(self, peer: peers.Peer) -> None:
        """Starts sending to a peer; nothing to do if it is started."""
        if peer.greenlet is None:
            peer.greenlet = gevent.spawn(self._dialler.run, peer)

    def _send_heartbeat(
        self,
        peer: peers.Peer,
        heartbeat: peers.Heartbeat,
        urgent: bool,
        encoded: dict[tuple[float, bool, bool], bytes],
        now_s: float,
    ) -> None:
        """Queues a heartbeat for a peer if one is due."""
        interval_s = self._find_interval(peer, heartbeat)
        # Sends in the round of the loop nearest to the due time: timers may be
        # late.
        due_s = peer.sent_s + interval_s - peers.HEARTBEAT_INTERVAL_S / 2
        if not urgent and now_s < due_s or peer.queue.qsize() >= 8:
            return
        receiving = peer.is_alive(now_s)
        key = (interval_s, receiving, peer.chosen_s is not None)
        frame = encoded.get(key)
        if frame is None:
            timed = heartbeat._replace(interval_s=interval_s)
            frame = encoded[key] = frames.encode(
                ("b", timed, *key[1:], self._heard_leader)
            )
        peer.sent_s = now_s
        peer.queue.put_nowait(frame)

    def _encode_first_heartbeat(self, peer: peers.Peer) -> bytes:
        """Returns the first frame of a new connection."""
        heartbeat = self._make_heartbeat()
        timed = heartbeat._replace(
            interval_s=self._find_interval(peer, heartbeat)
        )
        receiving = peer.is_alive(self._clock.now())
        chosen = peer.chosen_s is not None
        heard = self._hears_leader()
        return frames.encode(("b", timed, receiving, chosen, heard))

    def _hears_leader(self) -> bool:
        return self._leader == self._name or self.is_alive(self._leader)

    def _find_interval(
        self, peer: peers.Peer, heartbeat: peers.Heartbeat
    ) -> float:
        """Returns the interval of the heartbeats to a peer in seconds."""
        if heartbeat.leading:
            return _spread(len(self.peers), LEADER_SENDS_PER_S)
        if peer.heartbeat is not None and peer.heartbeat.leading:
            return _spread(len(self.peers), LEADER_RECEIVES_PER_S)
        if heartbeat.epoch:
            return peers.FOLLOWER_INTERVAL_S
        return peers.HEARTBEAT_INTERVAL_S

    def _log_unheard(self, peer: peers.Peer, now_s: float) -> None:
        """Logs once that an open link delivers nothing in one direction."""
        match peer.find_link_state(now_s):
            case peers.LinkState.WORKING:
                if peer.unheard:
                    peer.unheard = False
                    self._log.note("link_heard", peer=peer.name)
            case (
                peers.LinkState.UNHEARD | peers.LinkState.ONE_WAY
            ) as state if (
                not peer.unheard
                and peer.connected
                and now_s - peer.dialled_s > peer.silence_limit_s / 2
            ):
                peer.unheard = True
                self._log.note(
                    "link_unheard",
                    peer=peer.name,
                    state=state,
                    heard_age=peer.find_heard_age(now_s),
                    dialled_age=round(now_s - peer.dialled_s, 3),
                )

    def count_states(self) -> dict[str, int]:
        """Returns the number of links by state."""
        now_s = self._clock.now()
        counts = dict.fromkeys(peers.LinkState, 0)
        for peer in self.peers.values():
            counts[peer.find_link_state(now_s)] += 1
        return counts

    def _replace_silent(self, peer: peers.Peer, now_s: float) -> None:
        """Requests a new connection unless the peer says that it hears us.

        An open connection may have gone silent without an error. When the one
        from the peer is silent too, nothing tells which of them is.
        """
        if peer.confirmed_s > peer.dialled_s:
            peer.silent_dials = 0
        factor = min(2**peer.silent_dials, MAX_SILENCE_FACTOR)
        limit_s = factor * peer.silence_limit_s
        if (
            peer.connected
            and not peer.redial
            and peer.find_silence(now_s) > limit_s
        ):
            peer.silent_dials += 1
            peer.redial = True
            peer.interrupt()

    def _serve(self, sock: gevent.socket.socket, address: tuple) -> None:
        sock.setsockopt(gevent.socket.SOL_SOCKET, gevent.socket.SO_KEEPALIVE, 1)
        sender = ""
        file = sock.makefile("rb")
        connection = bounds.Connection(
            str(address), lambda *_: sock.shutdown(gevent.socket.SHUT_RDWR)
        )
        try:
            # Heartbeats keep a connection in use; an idle one was abandoned by
            # its dialler, or has gone silent.
            sock.settimeout(RECEIVE_TIMEOUT_S)
            connection.waiting = True
            if not self._ledger.admit(sock, connection):
                raise bounds.ClientLimitError(bounds.Reason.CONNECTIONS)
            while True:
                header = file.read(frames.HEADER.size)
                if len(header) < frames.HEADER.size:
                    break
                (length,) = frames.HEADER.unpack(header)
                if length > frames.LIMIT_BYTES:
                    break
                # Reading reserves the announced length at once.
                self._ledger.add_bytes(connection, length)
                data = file.read(length)
                if len(data) < length:
                    break
                sender = self._receive(sender, data)
                self._ledger.finish_exchange(sock, connection)
        except (
            OSError,
            exceptions.ProtocolError,
            bounds.ClientLimitError,
        ) as error:
            # The dialler opens a new connection.
            self._log.note("link_broken", peer=sender, reason=str(error))
        finally:
            self._ledger.remove(sock)
            sock.close()

    def _receive(self, sender: str, data: bytes) -> str:
        frame = frames.decode(data)
        if frame[0] == "b":
            heartbeat = frame[1]
            peer = self.peers.get(heartbeat.name)
            if peer is not None:
                urgent = peer.heartbeat is None or _is_urgent(
                    peer.heartbeat, heartbeat
                )
                peer.heartbeat = heartbeat
                peer.received_s = self._clock.now()
                peer.receives_from_us = bool(frame[2])
                if peer.receives_from_us:
                    peer.confirmed_s = peer.received_s
                # Processes of an earlier build chose all peers.
                peer.chose_us = len(frame) < 4 or bool(frame[3])
                peer.hears_leader = len(frame) > 4 and bool(frame[4])
                if urgent:
                    self.on_change()
            return heartbeat.name
        if frame[0] == "r":
            _, result = self._calls.get(frame[1], ("", None))
            if result is not None:
                result.set(frame[2])
        elif frame[0] in ("n", "q"):
            gevent.spawn(self._handle, sender, frame)
        return sender

    def _handle(self, sender: str, frame: list) -> None:
        handler = self.handlers.get(frame[1])
        try:
            answer = handler(sender, frame[2]) if handler is not None else None
        except Exception as error:  # noqa: BLE001 - logged; a call times out
            self._log.note(
                "message_failed",
                peer=sender,
                kind=frame[1],
                **nodelog.describe_exception(error),
            )
            return
        if frame[0] == "q" and answer is not None:
            self._enqueue(sender, ("r", frame[3], answer))


def _is_urgent(old: peers.Heartbeat, new: peers.Heartbeat) -> bool:
    """Returns whether a heartbeat has changes that are sent at once."""
    return (
        old.lifetime != new.lifetime
        or old.leading != new.leading
        or old.epoch != new.epoch
        or old.leaving != new.leaving
        or old.resigned != new.resigned
        or old.store_ok != new.store_ok
    )


def _spread(count: int, limit_per_s: float) -> float:
    """Returns the interval, in whole rounds, that keeps a rate limit."""
    rounds = math.ceil(count / limit_per_s / peers.HEARTBEAT_INTERVAL_S)
    return max(1, rounds) * peers.HEARTBEAT_INTERVAL_S
