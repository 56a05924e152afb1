"""A session with one target: holds, starts and stops under one epoch."""

import collections
import typing
from collections.abc import Callable

import gevent
import gevent.event

from quetzalswitch import clock as clocks
from quetzalswitch import exceptions
from quetzalswitch import nodelog
from quetzalswitch.decision import clusterstate
from quetzalswitch.decision import decider as deciders
from quetzalswitch.decision import fleet
from quetzalswitch.decision import jobs
from quetzalswitch.execution import protocol
from quetzalswitch.platform import targets as clients

# Fencing tokens of an epoch start at the epoch shifted by this; the low bits
# count the starts whose outcome had to be settled.
TOKENS_PER_EPOCH_BITS: typing.Final = 20
# Targets answer orders within a few milliseconds. A start that is only late is
# found by the hold that follows.
ORDER_TIMEOUT_S: typing.Final = 0.35
# How long a target waits for an end before it answers a hold. Bounds how old
# the knowledge of a quiet target gets.
HOLD_WAIT_S: typing.Final = 0.7
HOLD_TIMEOUT_S: typing.Final = 0.6
RETRY_PAUSE_S: typing.Final = 0.15
# Leases are extended only for this long after a target was last heard; then
# what runs on it can be restarted elsewhere once they have lapsed.
EXTEND_LIMIT_S: typing.Final = 1.5
# Longest lease that is asked for. It must outlive a takeover (about two
# seconds) and bounds how long work on a target that died is missing.
LEASE_LIMIT_S: typing.Final = 5.0
# Ends are listed until acknowledged, which waits for the store.
STORE_WAIT_S: typing.Final = 0.05
STORE_OUTAGE_PAUSE_S: typing.Final = 0.15
# A target's clock may be 2% slow.
CLOCK_SLOWNESS: typing.Final = 0.98
LAPSE_MARGIN_S: typing.Final = 0.3
# The feed of accepted work is read every 0.6 s; after this an end belongs to
# no job that exists.
UNKNOWN_JOB_WAIT_S: typing.Final = 8.0


class Session:
    """Talks to one target for the deciding entry.

    Attributes:
        target: The target, as the decider knows it.
        refused: Whether the last connection was refused.
        begun_s: When the session began.
    """

    def __init__(
        self,
        target: fleet.Target,
        client: clients.TargetClient,
        decider: deciders.Decider,
        lease_s: float,
        clock: clocks.Clock,
        log: nodelog.NodeLog,
        on_news: Callable[[bool], None],
        on_deposed: Callable[[str], None],
    ):
        self.target = target
        self.refused = False
        self.begun_s = clock.now()
        self.token = decider.epoch << TOKENS_PER_EPOCH_BITS
        self.stored = gevent.event.Event()
        self._client = client
        self._decider = decider
        self._lease_s = min(lease_s, LEASE_LIMIT_S)
        self._clock = clock
        self._log = log
        self._on_news = on_news
        self._on_deposed = on_deposed
        self._clock_ms = 0
        self._clock_s = 0.0
        self._lease_until_ms = 0
        self._acknowledged = 0
        self._seen_end = 0
        self._ends: collections.deque = collections.deque()
        self._lost = False
        self._closed = False
        self._lapsed = False
        self._waiting = False
        self._looking = False
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Starts sending holds."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Ends the session; orders on their way may still take effect."""
        self._closed = True
        if self._greenlet is not None:
            self._greenlet.kill(block=False)
        self._client.close()

    def lapses_at(self) -> float:
        """Returns when every lease on the target has surely ended (s)."""
        if not self._clock_ms:
            # An earlier decider may have extended leases until just before.
            since_s, lease_s = self.begun_s, self._lease_s + EXTEND_LIMIT_S
        else:
            since_s = self._clock_s
            lease_s = max(0, self._lease_until_ms - self._clock_ms) / 1000
        return since_s + lease_s / CLOCK_SLOWNESS + LAPSE_MARGIN_S

    def note_lapsed(self) -> None:
        """Tells the decider once that the target's leases have ended."""
        if not self._lapsed:
            self._lapsed = True
            self._decider.expire_leases(self.target, self._clock.now())

    def send_start(self, run: jobs.Run) -> None:
        """Sends a start order and notes its outcome."""
        if self._closed:
            return
        run.token = self.token
        order = protocol.StartCommand(
            task=run.task,
            run=run.number,
            spec=run.stage.job.submission.spec,
            lease_until_ms=self._extend_lease(),
            fencing_token=self.token,
            checkpoint=run.checkpoint,
            ticket=run.ticket,
        )
        try:
            answer = self._client.start(order, ORDER_TIMEOUT_S)
        except ConnectionRefusedError:
            self.refused = True
            now_s = self._clock.now()
            self._decider.handle_start_rejected(
                run, "connection refused", now_s
            )
            self._on_news(False)
            return
        except exceptions.TransportError:
            if not self._closed:
                self._decider.handle_start_unknown(run)
                self.token += 1
                self._settle()
            return
        if self._closed:
            return
        now_s = self._clock.now()
        if answer.rejection is None:
            self._decider.handle_start_confirmed(run, now_s)
            return
        fenced = answer.rejection is protocol.Rejection.FENCED
        if fenced and run.token == self.token:
            self._on_deposed(f"{self.target.id} saw a newer token")
            return
        self._decider.handle_start_rejected(run, answer.rejection, now_s)
        self._on_news(False)

    def send_stop(self, stop: clusterstate.StopCommand) -> None:
        """Sends a stop order; its effect shows in the answers to holds."""
        if self._closed:
            return
        try:
            self._client.stop(stop.task, stop.run, self.token, ORDER_TIMEOUT_S)
        except (ConnectionRefusedError, exceptions.TransportError) as error:
            self._log.note(
                "stop_unanswered",
                task=stop.task,
                run=stop.run,
                target=self.target.id,
                error=str(error),
            )

    def look(self) -> None:
        """Has the target's ends listed now, also while others are stored.

        A hold that waits lists the next end by itself.
        """
        if self._waiting:
            self._looking = True
            self.stored.set()

    def has_left(self) -> bool:
        """Tells whether the target was leaving and nothing listens any more.

        A refused connection alone may also be a cut.
        """
        target = self.target
        leaving = target.registration.draining and target.boot_ms > 0
        return self.refused and leaving

    def list_ended(self) -> list[tuple[str, int]]:
        """Returns task and run number of the ends not acknowledged yet."""
        return [(end.ended.task, end.ended.run) for end in self._ends]

    def _settle(self) -> None:
        """Sends holds until the outcome of unknown starts is known."""
        while not self._closed and self._unknown_runs():
            if not self._hold(0.0):
                gevent.sleep(RETRY_PAUSE_S)

    def _unknown_runs(self) -> bool:
        return any(
            run.state is jobs.RunState.UNKNOWN
            for run in self.target.runs.values()
        )

    def _run(self) -> None:
        while not self._closed:
            known = bool(self._clock_ms) and self.target.synced
            if not self._hold(HOLD_WAIT_S if known else 0.0):
                gevent.sleep(RETRY_PAUSE_S)
                continue
            if self._ends:
                self._wait_stored()

    def _wait_stored(self) -> None:
        """Waits until the ends just seen can be acknowledged."""
        if self._is_stored(self._ends[-1]):
            return
        self._waiting = True
        self._looking = False
        for pause_s in (STORE_WAIT_S, STORE_OUTAGE_PAUSE_S):
            self.stored.clear()
            self.stored.wait(timeout=pause_s)
            # A hold of another greenlet may have taken the ends meanwhile.
            first = self._ends[0] if self._ends else None
            if self._looking or first is None or self._is_stored(first):
                break
        self._waiting = False

    def _is_stored(self, end: clusterstate.ReportedEnd) -> bool:
        if end.job is not None:
            return end.job.stored_revision >= end.revision
        # The row of a submission that another entry accepted may not have
        # been read yet; its end must not be forgotten before.
        age_s = self._clock.now() - end.reported_s
        return age_s > UNKNOWN_JOB_WAIT_S

    def _retry_unknown_ends(self) -> None:
        """Applies ends of jobs that have become known since."""
        for position, end in enumerate(self._ends):
            if end.job is None:
                self._ends[position] = self._decider.retry_end(
                    self.target, end, self._clock.now()
                )

    def _hold(self, wait_s: float) -> bool:
        """Sends one hold and applies its answer; returns whether it came."""
        self._retry_unknown_ends()
        while self._ends and self._is_stored(self._ends[0]):
            self._acknowledged = self._ends.popleft().ended.number
        token = self.token
        sent_s = self._clock.now()
        order = protocol.RenewCommand(
            fencing_token=token,
            # After a silence the target may be in a new lifetime, in which
            # the numbers start again.
            acknowledged=0 if self._lost else self._acknowledged,
            lease_until_ms=self._extend_lease(),
            wait_s=wait_s,
        )
        try:
            answer = self._client.renew_leases(order, HOLD_TIMEOUT_S + wait_s)
        except exceptions.StaleEpochError:
            if token == self.token:
                self._on_deposed(f"{self.target.id} saw a newer token")
            return False
        except ConnectionRefusedError:
            self.refused = True
            self._note_lost("connection refused")
            return False
        except exceptions.TransportError as error:
            self.refused = False
            self._note_lost(str(error))
            return False
        if self._closed:
            return False
        self._apply(answer, token, sent_s)
        return True

    def _apply(
        self, answer: protocol.RenewAnswer, token: int, sent_s: float
    ) -> None:
        now_s = self._clock.now()
        if self.target.is_outdated(answer.boot_ms, sent_s):
            self._log.note(
                "hold_outdated",
                target=self.target.id,
                born=answer.boot_ms,
                known=self.target.boot_ms,
            )
            return
        if self.target.boot_ms and answer.boot_ms != self.target.boot_ms:
            self._restart()
        if self._lost:
            self._lost = False
            self._log.note("target_back", target=self.target.id)
        first = not self.target.synced
        self.refused = False
        self._lapsed = False
        if answer.clock_ms >= self._clock_ms:
            self._clock_ms = answer.clock_ms
            self._clock_s = now_s
        ends = self._decider.apply_lease_renewal(
            self.target, answer, token, sent_s, now_s, self._seen_end
        )
        for end in ends:
            self._seen_end = max(self._seen_end, end.ended.number)
            self._ends.append(end)
        if ends or first:
            self._on_news(bool(ends))

    def _restart(self) -> None:
        """Forgets what belonged to the target's earlier lifetime."""
        self._clock_ms = 0
        self._lease_until_ms = 0
        self._acknowledged = 0
        self._seen_end = 0
        self._ends.clear()

    def _extend_lease(self) -> int:
        """Returns the lease to send, on the target's clock; 0 if unknown."""
        if not self._clock_ms:
            return 0
        elapsed_s = self._clock.now() - self._clock_s
        if elapsed_s > EXTEND_LIMIT_S:
            # An order without an answer may still be carried out. Leases of a
            # target that can't be heard must end at a time that is known.
            return self._lease_until_ms
        until_ms = self._clock_ms + int((elapsed_s + self._lease_s) * 1000)
        self._lease_until_ms = max(self._lease_until_ms, until_ms)
        return self._lease_until_ms

    def _note_lost(self, reason: str) -> None:
        if not self._lost:
            self._lost = True
            self._log.note("target_lost", target=self.target.id, reason=reason)


def list_runs(
    decider: deciders.Decider, open_sessions: dict[str, Session]
) -> dict[str, list[tuple[str, int]]]:
    """Returns all that may run, and whose end may not be stored.

    Args:
        decider: Decider of the targets.
        open_sessions: Sessions by target.

    Returns:
        Task and run number, by target.
    """
    runs = {target.id: list(target.runs) for target in decider.targets.values()}
    for target_id, session in open_sessions.items():
        runs.setdefault(target_id, []).extend(session.list_ended())
    return {target_id: found for target_id, found in runs.items() if found}
