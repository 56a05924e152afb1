"""Client of the callers' HTTP API."""

import typing
import urllib.parse
from collections.abc import Sequence

from quetzalswitch import clock as clocks
from quetzalswitch import exchange
from quetzalswitch import records
from quetzalswitch.callers import protocol

_FINAL: typing.Final = frozenset(
    {
        records.RequestState.DONE.value,
        records.RequestState.FAILED.value,
        records.RequestState.UNKNOWN.value,
        records.RequestState.CANCELLED.value,
    }
)


class CallerClient:
    """Submits requests and asks about them."""

    def __init__(
        self,
        addresses: Sequence[str],
        key: str | None,
        clock: clocks.Clock,
        timeout_s: float = exchange.TIMEOUT_S,
    ):
        self._exchanger = exchange.Exchanger(addresses, key, clock, timeout_s)
        self._clock = clock

    def submit(
        self, submission: protocol.Submission, trace_parent: str = ""
    ) -> protocol.View:
        """Submits a request and returns the state that it reached.

        Without `wait`, a request ID is chosen here, so that the submission
        can be repeated at another entry without running twice.

        Raises:
            RequestError: The request was refused or failed.
            TransportError: No entry answered; the request may have run only
                if a connection had been opened.
        """
        if not submission.get("wait") and "request_id" not in submission:
            submission = {**submission, "request_id": records.make_id("r")}
        waits = submission.get("wait", False)
        reply = self._exchanger.exchange(
            "POST",
            "/v1/requests",
            submission,
            repeatable="request_id" in submission,
            wait_s=protocol.MAX_WAIT_S if waits else 0.0,
            headers={"traceparent": trace_parent} if trace_parent else None,
        )
        return typing.cast(protocol.View, reply.body)

    def view(self, request_id: str, wait_s: float = 0.0) -> protocol.View:
        """Returns the state of a request, after at most `wait_s` seconds."""
        path = _path(request_id) + f"?wait_s={wait_s:g}"
        reply = self._exchanger.exchange(
            "GET", path, repeatable=True, wait_s=wait_s
        )
        return typing.cast(protocol.View, reply.body)

    def wait(self, request_id: str, timeout_s: float) -> protocol.View:
        """Returns the final state, or the last one when time is up."""
        end_s = self._clock.now() + timeout_s
        while True:
            left_s = max(0.0, end_s - self._clock.now())
            view = self.view(request_id, min(left_s, protocol.MAX_WAIT_S))
            if is_final(view) or self._clock.now() >= end_s:
                return view

    def cancel(self, request_id: str) -> protocol.View:
        """Cancels a request; cancelling again has no further effect."""
        reply = self._exchanger.exchange(
            "DELETE", _path(request_id), repeatable=True
        )
        return typing.cast(protocol.View, reply.body)

    def trace(self, request_id: str) -> list[protocol.Span]:
        """Returns the recorded spans of a request."""
        reply = self._exchanger.exchange(
            "GET", _path(request_id) + "/trace", repeatable=True
        )
        return reply.body["spans"]


def is_final(view: protocol.View) -> bool:
    """Tells whether the state can't change any more."""
    return view["state"] in _FINAL


def _path(request_id: str) -> str:
    return "/v1/requests/" + urllib.parse.quote(request_id, safe="")
