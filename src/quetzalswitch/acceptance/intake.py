"""Accepting, looking up and cancelling requests at any entry."""

import enum
import typing
from collections.abc import Callable

import gevent

from quetzalswitch import clock as clocks
from quetzalswitch import exceptions
from quetzalswitch import nodelog
from quetzalswitch import nodemetrics
from quetzalswitch.acceptance import catalogue
from quetzalswitch.acceptance import confirmation as confirmations
from quetzalswitch.acceptance import submissions
from quetzalswitch.decision import jobs
from quetzalswitch.platform import store as stores
from quetzalswitch.recovery import tables

# Part of the caller's timeout reserved for the response to reach the caller.
RESPONSE_MARGIN_S: typing.Final = 0.3
DEFAULT_CALLER_TIMEOUT_S: typing.Final = 2.5
RETRY_PAUSE_S: typing.Final = 0.08
# A store that rejects calls is overloaded or unavailable for seconds.
STORE_RETRY_AFTER_S: typing.Final = 1.0
PHASE_QUERY_TIMEOUT_S: typing.Final = 0.4
# A slow store takes 0.8 s for a write, and as long again if the write waits for
# another one of the same part. After this timeout a second attempt is made
# while the first one stays pending.
WRITE_TIMEOUT_S: typing.Final = 1.7
# The store answers a write in 15 to 20 ms. After this delay the write is also
# sent through another entry, if the store answers that one quickly.
HEDGE_DELAY_S: typing.Final = 0.2
# How long a submission waits for a store that no entry can reach. Callers wait
# 3 s. A caller that is rejected earlier retries up to STORE_RETRY_AFTER_S after
# the store is available again, and so gets its result later.
STORE_WAIT_S: typing.Final = 2.4
STORE_CHECK_INTERVAL_S: typing.Final = 0.05
ISOLATION_CHECK_INTERVAL_S: typing.Final = 0.1
# Of a request's ID and host in a log line; both may have any length.
LOGGED_TEXT_LIMIT: typing.Final = 64


class RelayOutcome(enum.StrEnum):
    """Outcome of a write, as entries report it to each other."""

    DONE = "done"
    EXISTS = "exists"
    MISSING = "missing"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class PeerCalls(typing.NamedTuple):
    """Calls to the leader and to other entries.

    Attributes:
        send_job: Sends an accepted job to the leader; may get lost.
        send_cancel: Sends a cancellation to the leader; may get lost.
        query_phase: Returns the phase of a job, None if the leader doesn't
            know the job. Raises TransportError if the leader is unreachable.
        relay_job: Stores a job through another entry; None if there is none.
        relay_cancel: Stores a cancellation through another entry; None if
            there is none.
        can_hedge: Whether another entry gets fast answers from the store.
        can_relay: Whether another entry reaches the store.
        is_isolated: Whether neither the store nor any other entry responds to
            this entry.
    """

    send_job: Callable[[bytes], None]
    send_cancel: Callable[[str], None]
    query_phase: Callable[[str, float], jobs.Phase | None]
    relay_job: Callable[[bytes, float], RelayOutcome | None]
    relay_cancel: Callable[[str, float], RelayOutcome | None]
    can_hedge: Callable[[], bool]
    can_relay: Callable[[], bool]
    is_isolated: Callable[[], bool]


class Intake:
    """Handles requests of callers.

    Every change that is answered with success is stored.

    Attributes:
        catalogue: The configuration in force; None before the first one.
    """

    def __init__(
        self,
        store: stores.Store,
        peers: PeerCalls,
        clock: clocks.Clock,
        log: nodelog.NodeLog,
        metrics: nodemetrics.NodeMetrics,
        confirmation: confirmations.Confirmation,
    ):
        self.catalogue: catalogue.Catalogue | None = None
        self._metrics = metrics
        self._store = store
        self._peers = peers
        self._clock = clock
        self._log = log
        self._confirmation = confirmation

    def authorize(
        self, host: str, path: str, key: str
    ) -> tuple[catalogue.Queue, str]:
        """Returns the queue of a request and the team of its key.

        The name of the team is empty on a public queue.

        Raises:
            RequestError: There is no such queue, or the key is unknown and the
                queue is not public, or there is no recent configuration.
        """
        try:
            return self._authorize(host, path, key)
        except exceptions.RequestError as error:
            self._log.note(
                "not_allowed",
                id=path.rpartition("/")[2][:LOGGED_TEXT_LIMIT],
                host=host[:LOGGED_TEXT_LIMIT],
                kind=error.kind.value,
                catalogue=self.catalogue.version if self.catalogue else 0,
                age=round(self._confirmation.age_s, 3),
            )
            raise

    def _authorize(
        self, host: str, path: str, key: str
    ) -> tuple[catalogue.Queue, str]:
        if self.catalogue is None:
            raise self._make_stale_error("no configuration has been read yet")
        if self._confirmation.is_superseded():
            self._confirm_configuration()
        version = self.catalogue.version
        try:
            return self._find_queue_and_team(host, path, key)
        except exceptions.RequestError:
            self._confirm_configuration()
            if self.catalogue.version == version:
                raise
        return self._find_queue_and_team(host, path, key)

    def _confirm_configuration(self) -> None:
        """Raises an error if the configuration in force may be out of date."""
        if not self._confirmation.confirm():
            raise self._make_stale_error("the configuration was not confirmed")

    def _make_stale_error(self, message: str) -> exceptions.RequestError:
        elsewhere = self._peers.can_relay() or self._peers.is_isolated()
        return exceptions.RequestError(
            exceptions.ErrorKind.CONFIGURATION_STALE,
            message,
            retry_after_s=0.0 if elsewhere else STORE_RETRY_AFTER_S,
        )

    def _find_queue_and_team(
        self, host: str, path: str, key: str
    ) -> tuple[catalogue.Queue, str]:
        queue = self._find_queue(host, path)
        return queue, self._find_team(queue, key)

    def _find_queue(self, host: str, path: str) -> catalogue.Queue:
        queue = self.catalogue.find_queue(host, path)
        if queue is None:
            raise exceptions.RequestError(
                exceptions.ErrorKind.NOT_FOUND, "no such queue"
            )
        return queue

    def _find_team(self, queue: catalogue.Queue, key: str) -> str:
        team = self.catalogue.team_by_key.get(key)
        if team is None and not queue.public:
            raise exceptions.RequestError(
                exceptions.ErrorKind.UNAUTHENTICATED, "unknown key"
            )
        return team or ""

    def submit(
        self, submission: submissions.Submission, caller_timeout_s: float
    ) -> None:
        """Stores a submission unless one with the same ID is stored already.

        Args:
            submission: The submission.
            caller_timeout_s: How long the caller waits for the response.

        Raises:
            RequestError: Not accepted, or the outcome is unknown.
        """
        self._reject_if_isolated(submission.id)
        began_s = self._clock.now()
        deadline_s = began_s + max(0.2, caller_timeout_s - RESPONSE_MARGIN_S)
        data = submissions.encode(submission)
        try:
            created = self._store_job(submission, data, deadline_s)
        except exceptions.RequestError:
            self._observe("refused", began_s)
            raise
        # The entry that created a submission sends it. Sent again, it could
        # pass for new to a leader elected since.
        if created:
            self._peers.send_job(data)
        self._observe("stored" if created else "repeated", began_s)
        self._log.note(
            "accepted" if created else "accepted_before",
            id=submission.id,
            queue=submission.queue.name,
            team=submission.team,
            catalogue=self.catalogue.version,
            age=round(self._confirmation.age_s, 3),
            tasks=sum(step.count for step in submission.steps),
            took=round(self._clock.now() - began_s, 3),
        )

    def find_phase(self, job_id: str) -> jobs.Phase:
        """Returns the phase of a submission, from the leader or the store.

        Raises:
            RequestError: There is no such submission, or neither the leader
                nor the store answered.
        """
        self._reject_if_isolated(job_id)
        try:
            phase = self._peers.query_phase(job_id, PHASE_QUERY_TIMEOUT_S)
            if phase is not None:
                return phase
        except exceptions.TransportError as error:
            # The store has the phase too, but it may be out of date.
            self._log.note("state_from_store", id=job_id, error=str(error))
        return self._read_phase(job_id)

    def cancel(self, job_id: str, caller_timeout_s: float) -> None:
        """Stores the cancellation of a submission.

        Raises:
            RequestError: There is no such submission, or the outcome is
                unknown.
        """
        self._reject_if_isolated(job_id)
        deadline_s = self._clock.now() + max(
            0.2, caller_timeout_s - RESPONSE_MARGIN_S
        )
        while True:
            outcome = self.store_cancel(job_id)
            if outcome is RelayOutcome.UNKNOWN:
                # Cancelling is idempotent, so a retry is safe.
                remaining_s = deadline_s - self._clock.now()
                relayed = self._peers.relay_cancel(job_id, remaining_s)
                outcome = relayed or outcome
            if outcome is RelayOutcome.MISSING:
                raise _not_found(job_id)
            if outcome is RelayOutcome.DONE:
                break
            if self._clock.now() + RETRY_PAUSE_S > deadline_s:
                self._log.note("cancel_unknown", id=job_id)
                raise exceptions.RequestError(
                    exceptions.ErrorKind.OUTCOME_UNKNOWN,
                    "the store did not answer; try again",
                )
            gevent.sleep(RETRY_PAUSE_S)
        self._peers.send_cancel(job_id)
        self._log.note("cancel_stored", id=job_id)

    def store_job(
        self, job_id: str, data: bytes, timeout_s: float = WRITE_TIMEOUT_S
    ) -> RelayOutcome:
        """Writes a job with a single call, also on behalf of other entries."""
        put = stores.Put(tables.JOB_TABLE, job_id, data)
        condition = stores.Condition(tables.JOB_TABLE, job_id, 0)
        try:
            self._store.transact(
                tables.find_job_part(job_id),
                [put],
                [condition],
                timeout_s=timeout_s,
            )
            return RelayOutcome.DONE
        except exceptions.ConditionFailedError:
            return RelayOutcome.EXISTS
        except exceptions.StoreRefusedError as error:
            self._log.note("write_refused", id=job_id, error=str(error))
            return RelayOutcome.REFUSED
        except exceptions.StoreUnavailableError as error:
            self._log.note("write_unknown", id=job_id, error=str(error))
            return RelayOutcome.UNKNOWN

    def store_cancel(self, job_id: str) -> RelayOutcome:
        """Writes a cancellation with a single call if the job exists."""
        part = tables.find_job_part(job_id)
        put = stores.Put(tables.JOB_TABLE, job_id + tables.CANCEL_SUFFIX, b"-")
        try:
            row = self._store.read_row(tables.JOB_TABLE, part, job_id)
            if row is None:
                return RelayOutcome.MISSING
            self._store.transact(part, [put], timeout_s=WRITE_TIMEOUT_S)
            return RelayOutcome.DONE
        except exceptions.StoreUnavailableError as error:
            self._log.note("write_unknown", id=job_id, error=str(error))
            return RelayOutcome.UNKNOWN

    def _reject_if_isolated(self, request_id: str) -> None:
        """Rejects a request immediately if this entry is isolated.

        Raises:
            RequestError: This entry is isolated; nothing was done.
        """
        if not self._peers.is_isolated():
            return
        self._log.note(
            "cut_off",
            id=request_id,
            store_age=round(self._store.answer_age_s, 3),
        )
        raise exceptions.RequestError(
            exceptions.ErrorKind.STORE_UNAVAILABLE,
            "this entry reaches neither the store nor another entry",
            retry_after_s=0.0,
        )

    def _store_job(
        self,
        submission: submissions.Submission,
        data: bytes,
        deadline_s: float,
    ) -> bool:
        """Stores a job; returns whether this entry has created it."""
        # A write without an answer may still take effect, so the submission
        # must not be reported as "not accepted" after one.
        uncertain = False
        wait_until_s = min(self._clock.now() + STORE_WAIT_S, deadline_s)
        writers: list[gevent.Greenlet] = []
        while True:
            if self._store.healthy or self._peers.can_relay():
                self._start_writes(submission.id, data, deadline_s, writers)
                outcomes = self._await_writes(writers)
                if RelayOutcome.DONE in outcomes:
                    return True
                if RelayOutcome.EXISTS in outcomes:
                    # An earlier write without an answer may have created it.
                    return uncertain or bool(writers)
                uncertain |= RelayOutcome.UNKNOWN in outcomes or bool(writers)
                pause_s = RETRY_PAUSE_S
            else:
                pause_s = STORE_CHECK_INTERVAL_S
            limit_s = deadline_s if uncertain else wait_until_s
            isolated = self._peers.is_isolated()
            if isolated or self._clock.now() + pause_s > limit_s:
                raise self._make_refusal(submission, uncertain)
            gevent.sleep(pause_s)

    def _start_writes(
        self,
        job_id: str,
        data: bytes,
        deadline_s: float,
        writers: list[gevent.Greenlet],
    ) -> None:
        """Starts writing a job, if necessary also through another entry.

        Args:
            job_id: ID of the job.
            data: Stored form of the job.
            deadline_s: Time at which the writes time out.
            writers: Receives the started writes.
        """
        relayed = True
        if self._store.healthy:
            remaining_s = deadline_s - self._clock.now()
            own = gevent.spawn(self.store_job, job_id, data, remaining_s)
            writers.append(own)
            own.join(HEDGE_DELAY_S)
            if own.ready():
                # The store may reject only the calls of this VM.
                relayed = not _is_stored(own.value)
            else:
                relayed = self._peers.can_hedge()
        if relayed:
            remaining_s = deadline_s - self._clock.now()
            writers.append(
                gevent.spawn(self._peers.relay_job, data, remaining_s)
            )

    def _await_writes(
        self, writers: list[gevent.Greenlet]
    ) -> list[RelayOutcome]:
        """Waits until a write succeeds or the next attempt is due.

        Args:
            writers: Pending writes; finished ones are removed.

        Returns:
            The outcomes of the removed writes.
        """
        until_s = self._clock.now() + WRITE_TIMEOUT_S
        outcomes: list[RelayOutcome] = []
        while writers and not any(map(_is_stored, outcomes)):
            for writer in gevent.wait(
                writers, ISOLATION_CHECK_INTERVAL_S, count=1
            ):
                writers.remove(writer)
                outcomes += _read_outcome(writer)
            if self._peers.is_isolated() or self._clock.now() > until_s:
                break
        return outcomes

    def _make_refusal(
        self,
        submission: submissions.Submission,
        uncertain: bool,
    ) -> exceptions.RequestError:
        kind = exceptions.ErrorKind.STORE_UNAVAILABLE
        if uncertain:
            kind = exceptions.ErrorKind.OUTCOME_UNKNOWN
        self._log.note(
            "refused",
            id=submission.id,
            queue=submission.queue.name,
            kind=kind.value,
            store_age=round(self._store.answer_age_s, 3),
        )
        return exceptions.RequestError(
            kind,
            "the store did not confirm the submission",
            retry_after_s=None if uncertain else STORE_RETRY_AFTER_S,
        )

    def _read_phase(self, job_id: str) -> jobs.Phase:
        part = tables.find_job_part(job_id)
        try:
            rows, _ = self._store.read(
                tables.JOB_TABLE, part, job_id, job_id + "/d"
            )
            keys = {row.key for row in rows}
            if job_id not in keys:
                raise _not_found(job_id)
            stored = self._store.read_row(
                tables.PROGRESS_TABLE, tables.CLUSTER_PART, job_id
            )
        except exceptions.StoreUnavailableError as error:
            raise exceptions.RequestError(
                exceptions.ErrorKind.STORE_UNAVAILABLE,
                "neither the leader nor the store answered",
                retry_after_s=STORE_RETRY_AFTER_S,
            ) from error
        phase = jobs.Phase.QUEUED
        if stored is not None:
            phase = self._decode_phase(job_id, stored.value)
        if (
            job_id + tables.CANCEL_SUFFIX in keys
            and phase not in jobs.FINAL_PHASES
        ):
            return jobs.Phase.CANCELLED
        return phase

    def _decode_phase(self, job_id: str, progress: bytes) -> jobs.Phase:
        try:
            return jobs.read_phase(progress)
        except exceptions.ProtocolError as error:
            self._log.note("job_unreadable", id=job_id, error=str(error))
            raise exceptions.RequestError(
                exceptions.ErrorKind.STORE_UNAVAILABLE,
                "the stored state of the submission can't be read",
                retry_after_s=STORE_RETRY_AFTER_S,
            ) from error

    def _observe(self, outcome: str, began_s: float) -> None:
        self._metrics.observe(
            "quetzal_node_accept_seconds",
            self._clock.now() - began_s,
            outcome=outcome,
        )


def _is_stored(outcome: RelayOutcome | None) -> bool:
    return outcome in (RelayOutcome.DONE, RelayOutcome.EXISTS)


def _read_outcome(writer: gevent.Greenlet) -> list[RelayOutcome]:
    if not writer.successful():
        return [RelayOutcome.UNKNOWN]
    # None: there was no other entry to relay through, so nothing was sent.
    return [writer.value] if writer.value is not None else []


def _not_found(job_id: str) -> exceptions.RequestError:
    return exceptions.RequestError(
        exceptions.ErrorKind.NOT_FOUND,
        f"no submission {job_id}",
        field="id",
    )
