"""WSGI application of the callers' HTTP API."""

import re
import typing
from collections.abc import Callable

from quetzalswitch import exceptions
from quetzalswitch import records
from quetzalswitch import web
from quetzalswitch.callers import protocol

_NON_FINAL_STATES: typing.Final = (
    records.RequestState.QUEUED.value,
    records.RequestState.RUNNING.value,
)


class Ticket(typing.Protocol):
    """Handle of an accepted request, on which its outcome can be awaited."""

    def wait(self, timeout_s: float) -> protocol.View:
        """Returns the state once it is final or `timeout_s` has passed."""


class Service(typing.Protocol):
    """Operations of the entry process that the callers' API exposes.

    `authorization` is the bearer token of the Authorization header, or None
    if the caller sent none. Each method raises RequestError to refuse a call.
    """

    def submit(
        self,
        submission: protocol.Submission,
        authorization: str | None,
        trace_parent: str,
    ) -> Ticket:
        """Accepts a request; a durable request is stored on return."""

    def view(
        self, authorization: str | None, request_id: str, wait_s: float
    ) -> protocol.View:
        """Returns the state once it is final or `wait_s` has passed."""

    def cancel(
        self, authorization: str | None, request_id: str
    ) -> protocol.View:
        """Cancels a request and returns its state."""

    def trace(
        self, authorization: str | None, request_id: str
    ) -> list[protocol.Span]:
        """Returns the recorded spans of a request."""

    def health(self) -> str:
        """Returns `ok` while the load balancer may send requests here.

        Any other text makes the health check fail with status 503.
        """

    def render_metrics(self, accept: str) -> tuple[bytes, str]:
        """Returns the metrics and their content type.

        `accept` is the Accept header, which selects the format.
        """


def make_app(service: Service) -> Callable:
    """Returns the WSGI application for callers, `/healthz` and `/metrics`."""

    def _submit(call: web.Call) -> web.Response:
        authorization = web.parse_bearer(call.header("Authorization"))
        submission = protocol.parse_submission(call.body)
        trace_parent = call.header("traceparent")
        ticket = service.submit(submission, authorization, trace_parent)
        wait_s = protocol.MAX_WAIT_S if submission.get("wait") else 0.0
        return _respond_to_submission(ticket.wait(wait_s))

    def _view(call: web.Call) -> web.Response:
        authorization = web.parse_bearer(call.header("Authorization"))
        wait_s = web.parse_number(call, "wait_s", 0.0, protocol.MAX_WAIT_S)
        request_id = _read_request_id(call)
        return web.respond(service.view(authorization, request_id, wait_s))

    def _cancel(call: web.Call) -> web.Response:
        authorization = web.parse_bearer(call.header("Authorization"))
        request_id = _read_request_id(call)
        return web.respond(service.cancel(authorization, request_id))

    def _trace(call: web.Call) -> web.Response:
        authorization = web.parse_bearer(call.header("Authorization"))
        spans = service.trace(authorization, _read_request_id(call))
        return web.respond({"spans": spans})

    def _health(call: web.Call) -> web.Response:
        health = service.health()
        status = 200 if health == "ok" else 503
        return web.respond({"state": health}, status)

    def _metrics(call: web.Call) -> web.Response:
        body, content_type = service.render_metrics(call.header("Accept"))
        return web.Response(200, body, content_type)

    return web.make_wsgi(
        [
            web.Route("POST", "/v1/requests", _submit),
            web.Route("GET", "/v1/requests/{request_id}", _view),
            web.Route("DELETE", "/v1/requests/{request_id}", _cancel),
            web.Route("GET", "/v1/requests/{request_id}/trace", _trace),
            web.Route("GET", "/healthz", _health),
            web.Route("GET", "/metrics", _metrics),
        ]
    )


def _read_request_id(call: web.Call) -> str:
    request_id = call.parameters["request_id"]
    if re.match(protocol.NAME_PATTERN, request_id) is None:
        raise exceptions.RequestError(
            exceptions.ErrorKind.NOT_FOUND, "no request can have this ID"
        )
    return request_id


def _respond_to_submission(view: protocol.View) -> web.Response:
    """Returns the response to a submission: 202 while it is not final."""
    if view["state"] in _NON_FINAL_STATES:
        return web.respond(view, 202)
    if "error" not in view:
        return web.respond(view)
    kind = exceptions.ErrorKind(view["error"]["kind"])
    return web.respond(view, exceptions.ANSWERS[kind].status)
