"""Exchanges of one target link, each in a separate greenlet."""

import collections
import typing
from collections.abc import Callable

import gevent

from quetzalswitch import clock as clocks
from quetzalswitch import exceptions
from quetzalswitch import logs
from quetzalswitch.targets import client as clients
from quetzalswitch.targets import events
from quetzalswitch.targets import protocol

_EXCHANGE_ERRORS = (exceptions.TransportError, exceptions.StaleEpochError)


class ControlLease(typing.NamedTuple):
    """A granted control lease."""

    epoch: int
    boot_id: str
    lease_s: float


class ClaimDone(typing.NamedTuple):
    """A claim ended; if unanswered, posted after the retry pause."""

    sent_s: float
    answer: protocol.ClaimAnswer | None


class SyncDone(typing.NamedTuple):
    """A sync ended, by an answer, a refusal (`stale`) or a failure."""

    control: ControlLease
    sent_s: float
    acknowledged: list[str]
    answer: protocol.SyncAnswer | None
    stale: bool


class StartsDone(typing.NamedTuple):
    """A batch of starts ended; no outcomes when it was not answered."""

    control: ControlLease
    attempt_ids: list[str]
    outcomes: list[protocol.StartOutcome]
    stale: bool


class FenceDone(typing.NamedTuple):
    """A fence ended; if unanswered, posted after the retry pause."""

    attempt_id: str
    answer: protocol.FenceAnswer | None


class StopDone(typing.NamedTuple):
    """A stop ended; if unanswered, posted after the retry pause."""

    command: events.StopAttempt
    answered: bool


class ReleaseDone(typing.NamedTuple):
    """A release ended, answered or not."""


class Exchanges:
    """Runs exchanges in greenlets and posts their outcomes to the link.

    Also delivers events to their receiver in a separate greenlet, so that a
    slow receiver doesn't delay the renewal of the lease.

    Args:
        clock: Clock for timestamps and pauses.
        name: Name of the target, for logs.
        client: Client for the target.
        retry_s: Pause after an exchange that was not answered.
        post: Callback for the outcome of each exchange.
        on_event: Callback for each event, in order.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        name: str,
        client: clients.TargetClient,
        retry_s: float,
        post: Callable[[typing.Any], None],
        on_event: Callable[[events.Event], None],
    ):
        self._clock = clock
        self._name = name
        self._client = client
        self._retry_s = retry_s
        self._post = post
        self._on_event = on_event
        self._events: collections.deque[events.Event] = collections.deque()
        self._delivering = False
        self._greenlets: set[gevent.Greenlet] = set()

    def stop(self) -> None:
        """Cancels all exchanges and closes all connections."""
        gevent.killall(list(self._greenlets))
        self._client.close()

    def emit(self, event: events.Event) -> None:
        """Queues an event for delivery without blocking."""
        self._events.append(event)
        if not self._delivering:
            self._delivering = True
            self._spawn(self._deliver)

    def post_later(self, message: typing.Any) -> None:
        """Posts a message after the retry pause."""
        self._spawn(self._run_later, message)

    def claim(self, body: protocol.ClaimBody) -> None:
        """Sends a claim in the background."""
        self._spawn(self._run_claim, body)

    def sync(self, control: ControlLease, body: protocol.SyncBody) -> None:
        """Sends a sync in the background."""
        self._spawn(self._run_sync, control, body)

    def start(self, control: ControlLease, body: protocol.StartsBody) -> None:
        """Sends a batch of starts in the background."""
        self._spawn(self._run_starts, control, body)

    def fence(self, attempt_id: str) -> None:
        """Queries and fences an attempt in the background."""
        self._spawn(self._run_fence, attempt_id)

    def stop_attempt(
        self, control: ControlLease, command: events.StopAttempt
    ) -> None:
        """Sends a stop in the background."""
        self._spawn(self._run_stop, control, command)

    def release(self, control: ControlLease) -> None:
        """Releases the control lease in the background."""
        self._spawn(self._run_release, control)

    def _run_claim(self, body: protocol.ClaimBody) -> None:
        sent_s = self._clock.now()
        answer = None
        try:
            answer = self._client.claim(body)
        except _EXCHANGE_ERRORS as error:
            logs.write("target_claim_failed", target=self._name, error=error)
            self._clock.sleep(self._retry_s)
        self._post(ClaimDone(sent_s, answer))

    def _run_sync(self, control: ControlLease, body: protocol.SyncBody) -> None:
        sent_s = self._clock.now()
        answer = None
        stale = False
        try:
            answer = self._client.sync(body)
        except exceptions.StaleEpochError:
            logs.write(
                "target_epoch_stale", target=self._name, operation="sync"
            )
            stale = True
        except exceptions.TransportError as error:
            self._log_no_response("sync", error)
        acknowledged = body["acknowledge"]
        self._post(SyncDone(control, sent_s, acknowledged, answer, stale))

    def _run_starts(
        self, control: ControlLease, body: protocol.StartsBody
    ) -> None:
        attempt_ids = [start["attempt_id"] for start in body["starts"]]
        outcomes = []
        stale = False
        try:
            outcomes = self._client.start(body)
        except exceptions.StaleEpochError:
            logs.write(
                "target_epoch_stale", target=self._name, operation="start"
            )
            stale = True
        except exceptions.TransportError as error:
            self._log_no_response("start", error)
        self._post(StartsDone(control, attempt_ids, outcomes, stale))

    def _run_fence(self, attempt_id: str) -> None:
        answer = None
        try:
            answer = self._client.fence(attempt_id)
        except _EXCHANGE_ERRORS as error:
            self._log_no_response("fence", error)
            self._clock.sleep(self._retry_s)
        self._post(FenceDone(attempt_id, answer))

    def _run_stop(
        self, control: ControlLease, command: events.StopAttempt
    ) -> None:
        body: protocol.StopBody = {
            "epoch": control.epoch,
            "mode": command.mode,
        }
        answered = True
        try:
            self._client.stop(command.attempt_id, body)
        except exceptions.StaleEpochError:
            logs.write(
                "target_epoch_stale", target=self._name, operation="stop"
            )
        except exceptions.TransportError as error:
            self._log_no_response("stop", error)
            self._clock.sleep(self._retry_s)
            answered = False
        self._post(StopDone(command, answered))

    def _run_release(self, control: ControlLease) -> None:
        body: protocol.ReleaseBody = {
            "epoch": control.epoch,
            "boot_id": control.boot_id,
        }
        try:
            self._client.release(body)
        except _EXCHANGE_ERRORS as error:
            # If the release was lost, the lease expires.
            self._log_no_response("release", error)
        self._post(ReleaseDone())

    def _log_no_response(
        self, operation: str, error: exceptions.QuetzalError
    ) -> None:
        logs.write(
            "target_silent", target=self._name, operation=operation, error=error
        )

    def _run_later(self, message: typing.Any) -> None:
        self._clock.sleep(self._retry_s)
        self._post(message)

    def _deliver(self) -> None:
        try:
            while self._events:
                self._deliver_one(self._events.popleft())
        finally:
            self._delivering = False

    def _deliver_one(self, event: events.Event) -> None:
        try:
            self._on_event(event)
        except Exception as error:  # noqa: BLE001 - must not end the link
            logs.write("unexpected_error", error=error, traceback=True)

    def _spawn(self, function: Callable, *arguments: typing.Any) -> None:
        greenlet = gevent.spawn(function, *arguments)
        self._greenlets.add(greenlet)
        greenlet.rawlink(self._greenlets.discard)
