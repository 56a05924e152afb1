"""Routes messages between the tasks of an entry process and its peers."""

import typing

from quetzalswitch import configuration
from quetzalswitch import control as controls
from quetzalswitch import escrow
from quetzalswitch import events
from quetzalswitch import following as followings
from quetzalswitch import placements
from quetzalswitch import reconstruction as recoveries
from quetzalswitch import reports
from quetzalswitch import tracking
from quetzalswitch.peers import heartbeats as heartbeat_tasks
from quetzalswitch.peers import protocol as peer_protocol


class Router:
    """Gives each message to the task that it concerns.

    Args:
        process: The entry process.
    """

    def __init__(self, process: typing.Any):
        self._process = process

    def broadcast(self, message: peer_protocol.Message) -> None:
        """Sends a message to every known peer."""
        for info in self._process.membership.known():
            self._process.mesh.send(info.entry_id, message)

    def acknowledge_outcome(self, outcome: events.Outcome) -> None:
        """Tells whoever reported an outcome that it is stored."""
        attempt_id = outcome.result.attempt_id
        if outcome.reporter:
            ack = peer_protocol.AttemptFinishedAck(
                outcome.request_key, attempt_id
            )
            self._process.mesh.send(outcome.reporter, ack)
            return
        self._process.reporter.post(
            reports.Stored(outcome.request_key, attempt_id)
        )
        stored = events.OutcomeStored(outcome.request_key, attempt_id)
        self._process.placer.post(stored)

    def spread_configuration(
        self, changed: events.ConfigurationChanged
    ) -> None:
        """Gives a new configuration to the parts that use it."""
        self._process.placer.post(changed)
        snapshot = changed.configuration
        limits = {t.name: t.max_running for t in snapshot.teams.values()}
        self._process.allowance_task.post(
            escrow.SetLimits(snapshot.version, limits, changed.head_row_version)
        )

    def announce_version(self, made: configuration.Configuration) -> None:
        """Puts a new version in force here and tells the peers."""
        self._process.freshness.record_version(made.version)
        self._process.following.adopt(made)
        # Confirms the version, so that starts go on without a pause.
        self._process.following.check()
        self.broadcast(peer_protocol.ConfigurationNotice(made.version))

    def handle_loss(self, entry_id: str, incarnation: str) -> None:
        """Tells the parts that use peers about a lost one."""
        lost = events.PeerLost(entry_id, incarnation)
        self._process.home.post(lost)
        self._process.placer.post(lost)

    def announce_adoption(self, old_home: str, keys: list[str]) -> None:
        """Tells this process and its peers that requests live here now.

        This process may itself control the target of an adopted request.
        """
        self._move_home(self._process.incarnation, keys)
        self.broadcast(peer_protocol.HomeMoved(old_home, keys))

    def learn_entries(self, members: list[peer_protocol.MemberInfo]) -> None:
        """Takes note of entries registered in the table."""
        self._process.heartbeats.post(heartbeat_tasks.AddPeers(tuple(members)))

    def route(self, envelope: peer_protocol.Envelope) -> None:
        """Gives a message of a peer to the part that it concerns."""
        if not self._process.membership.observe(envelope):
            return
        sender = envelope.sender
        message = envelope.message
        match message:
            case peer_protocol.Heartbeat():
                self._process.freshness.record_version(message.version)
                if (
                    message.version
                    > self._process.following.configuration.version
                ):
                    self._process.following.post(
                        followings.Notice(message.version)
                    )
            case peer_protocol.ConfigurationNotice(version):
                self._process.freshness.record_version(version)
                self._process.following.post(followings.Notice(version))
            case (
                peer_protocol.Forward()
                | peer_protocol.ForwardAnswer()
                | peer_protocol.ControlQuery()
            ):
                self._process.placer.post(placements.PeerMessage(envelope))
            case peer_protocol.Cancel(request_key):
                self._process.home.post(tracking.CancelRequest(request_key))
                self._process.placer.post(placements.PeerMessage(envelope))
            case peer_protocol.AttemptStarted(key, attempts, targets):
                self._process.home.post(
                    events.Started(key, tuple(attempts), tuple(targets))
                )
            case peer_protocol.AttemptFinished():
                self._process.tracer.absorb(message.request_key, message.spans)
                self._process.home.post(
                    events.Outcome(
                        message.request_key,
                        message.outcome,
                        message.result,
                        message.target_id,
                        sender,
                    )
                )
            case peer_protocol.AttemptFinishedAck(key, attempt_id):
                self._process.reporter.post(reports.Stored(key, attempt_id))
            case peer_protocol.ReleaseTarget(target_id):
                self._process.control.post(
                    controls.AskRelease(sender, target_id)
                )
            case peer_protocol.HomeMoved(request_keys=keys):
                self._move_home(envelope.incarnation, keys)
            case peer_protocol.ControlReport():
                self._process.recovery.post(
                    recoveries.TakeReport(sender, message)
                )

    def _move_home(self, new_home: str, keys: list[str]) -> None:
        self._process.reporter.post(reports.MoveHome(new_home, tuple(keys)))
        self._process.placer.post(
            placements.MoveHome(new_home, frozenset(keys))
        )
