"""What an entry process offers to callers and operators."""

import typing

import gevent.event

from quetzalswitch import answers
from quetzalswitch import clock as clocks
from quetzalswitch import configuration as configurations
from quetzalswitch import exceptions
from quetzalswitch import home as homes
from quetzalswitch import journal as journals
from quetzalswitch import records
from quetzalswitch import tracing
from quetzalswitch import tracking
from quetzalswitch import web
from quetzalswitch.callers import protocol

ACCEPT_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.5

_FINAL: typing.Final = frozenset(
    {
        records.RequestState.DONE.value,
        records.RequestState.FAILED.value,
        records.RequestState.UNKNOWN.value,
        records.RequestState.CANCELLED.value,
    }
)


class Surroundings(typing.NamedTuple):
    """What the service needs from the rest of the process.

    Attributes:
        incarnation: Incarnation of this process.
        is_fresh: Tells whether the configuration may be acted on.
        is_refusing: Tells whether new requests are refused.
        is_draining: Tells whether the load balancer should stop sending.
        find_configuration: Returns the configuration in force.
        fetch_object: Returns a body from the object store.
        broadcast_cancel: Asks peers to cancel a request that lives there.
        find_spans: Returns the recorded spans of a request.
        render_metrics: Returns the metrics and their content type.
    """

    incarnation: str
    is_fresh: typing.Callable[[], bool]
    is_refusing: typing.Callable[[], bool]
    is_draining: typing.Callable[[], bool]
    find_configuration: typing.Callable[[], configurations.Configuration]
    fetch_object: typing.Callable[[str], bytes]
    broadcast_cancel: typing.Callable[[str], None]
    find_spans: typing.Callable[[str], list[protocol.Span]]
    render_metrics: typing.Callable[[str], tuple[bytes, str]]


class _MemoryTicket:
    """A request in the memory of this process."""

    def __init__(self, entry: tracking.Tracked, service: "Service"):
        self._entry = entry
        self._service = service

    def wait(self, timeout_s: float) -> protocol.View:
        """Returns the state once final or when the timeout has passed."""
        if timeout_s:
            self._entry.watchers += 1
            self._service.wait_done(self._entry, timeout_s)
            self._entry.watchers -= 1
        return self._service.describe_entry(self._entry)


class _StoredTicket:
    """A request that lives at another entry; its row is read."""

    def __init__(
        self, request_key: str, row: dict, clock: clocks.Clock, service
    ):
        self._key = request_key
        self._row = row
        self._clock = clock
        self._service = service

    def wait(self, timeout_s: float) -> protocol.View:
        """Returns the state once final or when the timeout has passed."""
        end_s = self._clock.now() + timeout_s
        while (
            self._row["state"] not in _FINAL
            and self._clock.now() < end_s
            and not self._service.is_stopping()
        ):
            self._clock.sleep(POLL_INTERVAL_S)
            self._row = self._service.read_row(self._key) or self._row
        return self._service.describe_row(self._row)


class Service:
    """Answers callers.

    Args:
        clock: Source of time.
        home: The home task.
        journal: Durable records.
        surroundings: The rest of the process.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        home: homes.Home,
        journal: journals.Journal,
        surroundings: Surroundings,
    ):
        self._clock = clock
        self._home = home
        self._journal = journal
        self._around = surroundings

    def submit(
        self,
        submission: protocol.Submission,
        authorization: str | None,
        trace_parent: str,
    ) -> _MemoryTicket | _StoredTicket:
        """Accepts a request; a durable one is stored on return.

        Raises:
            RequestError: The request is refused, or its acceptance is unclear.
        """
        self._check_accepting()
        team = self._authorize(submission["queue"], authorization)
        request = protocol.make_request(
            submission,
            team,
            now_s=self._clock.now(),
            home=self._around.incarnation,
            trace_id=_choose_trace(trace_parent),
        )
        known = self._home.find(request.key)
        if known is not None:
            _check_same(known.request, request)
            return _MemoryTicket(known, self)
        reply: gevent.event.AsyncResult = gevent.event.AsyncResult()
        self._home.post(tracking.Accept(request, reply))
        try:
            entry = reply.get(timeout=ACCEPT_TIMEOUT_S)
        except exceptions.ConditionFailedError as error:
            return self._join(request, error)
        return _MemoryTicket(entry, self)

    def view(
        self, authorization: str | None, request_id: str, wait_s: float
    ) -> protocol.View:
        """Returns the state, after waiting for its end for `wait_s`.

        Raises:
            RequestError: The key is wrong or the request is not known.
        """
        ticket = self._find(authorization, request_id)
        return ticket.wait(wait_s)

    def cancel(
        self, authorization: str | None, request_id: str
    ) -> protocol.View:
        """Cancels a request and returns its state.

        Raises:
            RequestError: The key is wrong or the request is not known.
        """
        ticket = self._find(authorization, request_id)
        team = self._find_team(authorization)
        key = f"{team}/{request_id}"
        if self._home.find(key) is not None:
            self._home.post(tracking.CancelRequest(key))
        else:
            self._around.broadcast_cancel(key)
        return ticket.wait(1.0)

    def trace(
        self, authorization: str | None, request_id: str
    ) -> list[protocol.Span]:
        """Returns the recorded spans of a request.

        Raises:
            RequestError: The key is wrong or the request is not known.
        """
        team = self._find_team(authorization)
        spans = self._around.find_spans(f"{team}/{request_id}")
        if not spans:
            raise _not_found(request_id)
        return spans

    def health(self) -> str:
        """Returns `ok` while the load balancer may send requests."""
        return "draining" if self._around.is_draining() else "ok"

    def render_metrics(self, accept: str) -> tuple[bytes, str]:
        """Returns the metrics and their content type."""
        return self._around.render_metrics(accept)

    def is_stopping(self) -> bool:
        """Tells whether long polls end early, so that none is cut off."""
        return self._around.is_refusing()

    def wait_done(self, entry: tracking.Tracked, timeout_s: float) -> None:
        """Waits for the end of a request, or until it is handed over."""
        end_s = self._clock.now() + timeout_s
        while not entry.done.is_set() and not entry.handed_over:
            left_s = end_s - self._clock.now()
            if left_s <= 0.0:
                return
            entry.done.wait(min(left_s, POLL_INTERVAL_S))

    def read_row(self, request_key: str) -> dict | None:
        """Returns the value of a request's row, or None.

        Raises:
            StoreUnavailableError: The table service gave no answer.
        """
        row = self._journal.read(request_key)
        return row.value if row is not None else None

    def describe_entry(self, entry: tracking.Tracked) -> protocol.View:
        """Returns a request in memory as its caller sees it.

        Raises:
            RequestError: The stored result is not whole.
        """
        request = entry.request
        view = _begin_view(request, entry.state.value)
        view["waited_s"] = self._clock.now() - request.submitted_s
        view["attempts"] = entry.rounds
        if not entry.done.is_set():
            return view
        if entry.result is not None:
            view["result"] = self._describe_result(entry.result)
        if entry.error is not None:
            view["error"] = web.make_error_body(entry.error)
        return view

    def describe_row(self, row: dict) -> protocol.View:
        """Returns a stored request as its caller sees it.

        Raises:
            RequestError: The stored result is not whole.
        """
        request = row["request"]
        state = "running" if row["state"] == "starting" else row["state"]
        view: protocol.View = {
            "request_id": request["request_id"],
            "state": state,
            "team": request["team"],
            "queue": request["queue"],
        }
        if row["result"] is not None:
            result = records.Result(**row["result"])
            view["result"] = self._describe_result(result)
        if row["error"] is not None:
            view["error"] = row["error"]
        return view

    def _describe_result(self, result: records.Result) -> protocol.ResultView:
        if result.object_key is not None:
            body = self._around.fetch_object(result.object_key)
        else:
            body = result.body.encode()
        body = answers.check_body(result, body)
        return {
            "ok": result.ok,
            "body": body.decode("utf-8", "replace"),
            "length_bytes": result.length_bytes,
            "digest": result.digest,
            "error": result.error,
        }

    def _check_accepting(self) -> None:
        if self._around.is_refusing():
            raise exceptions.RequestError(
                exceptions.ErrorKind.DRAINING,
                "this entry is shutting down; send the request again",
                retry_after_s=1.0,
            )
        if not self._around.is_fresh():
            raise exceptions.RequestError(
                exceptions.ErrorKind.CONFIGURATION_STALE,
                "this entry can't confirm that its configuration is current",
                retry_after_s=2.0,
            )

    def _authorize(self, queue_name: str, authorization: str | None) -> str:
        """Returns the team that a submission is charged to."""
        snapshot = self._around.find_configuration()
        queue = snapshot.queues.get(queue_name)
        if queue is not None and queue.team is None and authorization is None:
            return configurations.OPEN_TEAM
        team = self._find_team(authorization)
        if queue is None:
            raise exceptions.RequestError(
                exceptions.ErrorKind.BAD_REQUEST,
                f"queue: there is no queue named {queue_name!r}",
                field="queue",
            )
        if queue.team not in (None, team):
            raise exceptions.RequestError(
                exceptions.ErrorKind.FORBIDDEN,
                f"queue: {queue_name!r} belongs to another team",
                field="queue",
            )
        return team

    def _find_team(self, authorization: str | None) -> str:
        snapshot = self._around.find_configuration()
        if authorization is None:
            return configurations.OPEN_TEAM
        key = configurations.verify_key(snapshot, authorization)
        if key is None:
            raise exceptions.RequestError(
                exceptions.ErrorKind.UNAUTHENTICATED,
                "the key is not granted, or it has been withdrawn",
            )
        return key.team

    def _find(
        self, authorization: str | None, request_id: str
    ) -> _MemoryTicket | _StoredTicket:
        key = f"{self._find_team(authorization)}/{request_id}"
        entry = self._home.find(key)
        if entry is not None:
            return _MemoryTicket(entry, self)
        row = self.read_row(key)
        if row is None:
            raise _not_found(request_id)
        return _StoredTicket(key, row, self._clock, self)

    def _join(
        self,
        request: records.Request,
        conflict: exceptions.ConditionFailedError,
    ) -> _MemoryTicket | _StoredTicket:
        """Returns the request that already has this ID."""
        key = request.key
        row = conflict.conflicts.get(journals.request_row_key(key))
        value = row.value if row is not None else self.read_row(key)
        if value is None:
            raise _not_found(request.request_id)
        stored = journals.read_request(value, 0.0, value["accepted_wall_s"])
        _check_same(stored, request)
        entry = self._home.find(key)
        if entry is not None:
            return _MemoryTicket(entry, self)
        return _StoredTicket(key, value, self._clock, self)


def _begin_view(request: records.Request, state: str) -> protocol.View:
    return {
        "request_id": request.request_id,
        "state": state,
        "team": request.team,
        "queue": request.queue,
    }


def _check_same(known: records.Request, again: records.Request) -> None:
    """Raises RequestError if the ID is used for a different request."""
    for field in ("queue", "payload", "kind", "size", "idempotent"):
        if getattr(known, field) != getattr(again, field):
            raise exceptions.RequestError(
                exceptions.ErrorKind.ID_CONFLICT,
                f"request_id: {again.request_id!r} is in use for a request "
                f"with another {field}",
                field="request_id",
            )


def _not_found(request_id: str) -> exceptions.RequestError:
    return exceptions.RequestError(
        exceptions.ErrorKind.NOT_FOUND,
        f"this team has no request {request_id!r} that this entry knows of",
    )


def _choose_trace(trace_parent: str) -> str:
    """Returns the caller's trace ID, or a new one."""
    context = tracing.parse_trace_parent(trace_parent)
    return context.trace_id if context else tracing.make_trace_id()
