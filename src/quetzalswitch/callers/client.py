"""Client of the callers' HTTP API."""

import typing
import urllib.parse
from collections.abc import Sequence

from quetzalswitch import clock as clocks
from quetzalswitch import exchange
from quetzalswitch import records
from quetzalswitch.callers import protocol

_FINAL_STATES: typing.Final = frozenset(
    {
        records.RequestState.DONE.value,
        records.RequestState.FAILED.value,
        records.RequestState.UNKNOWN.value,
        records.RequestState.CANCELLED.value,
    }
)


class CallerClient:
    """Submits requests, queries their state and cancels them."""

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

        Without `wait`, the client chooses a missing request ID, so that it can
        repeat the submission at another entry and the request still runs
        once.

        Raises:
            RequestError: The request was refused or failed.
            TransportError: No entry answered. The request may have run if a
                connection was opened; otherwise it has not run.
        """
        if not submission.get("wait") and "request_id" not in submission:
            submission = {**submission, "request_id": records.make_id("r")}
        waits_for_result = submission.get("wait", False)
        reply = self._exchanger.exchange(
            "POST",
            "/v1/requests",
            submission,
            repeatable="request_id" in submission,
            wait_s=protocol.MAX_WAIT_S if waits_for_result else 0.0,
            headers={"traceparent": trace_parent} if trace_parent else None,
        )
        return typing.cast(protocol.View, reply.body)

    def view(self, request_id: str, wait_s: float = 0.0) -> protocol.View:
        """Returns the state once it is final or `wait_s` has passed."""
        path = _request_path(request_id) + f"?wait_s={wait_s:g}"
        reply = self._exchanger.exchange(
            "GET", path, repeatable=True, wait_s=wait_s
        )
        return typing.cast(protocol.View, reply.body)

    def wait(self, request_id: str, timeout_s: float) -> protocol.View:
        """Polls until the state is final or `timeout_s` has passed.

        Returns the last state received, which is not final after a timeout.
        """
        timeout_at_s = self._clock.now() + timeout_s
        while True:
            remaining_s = max(0.0, timeout_at_s - self._clock.now())
            view = self.view(request_id, min(remaining_s, protocol.MAX_WAIT_S))
            if is_final(view) or self._clock.now() >= timeout_at_s:
                return view

    def cancel(self, request_id: str) -> protocol.View:
        """Cancels a request; cancelling again has no further effect."""
        reply = self._exchanger.exchange(
            "DELETE", _request_path(request_id), repeatable=True
        )
        return typing.cast(protocol.View, reply.body)

    def trace(self, request_id: str) -> list[protocol.Span]:
        """Returns the recorded spans of a request."""
        reply = self._exchanger.exchange(
            "GET", _request_path(request_id) + "/trace", repeatable=True
        )
        return reply.body["spans"]


def is_final(view: protocol.View) -> bool:
    """Returns whether the request has ended, so its state can't change."""
    return view["state"] in _FINAL_STATES


def _request_path(request_id: str) -> str:
    return "/v1/requests/" + urllib.parse.quote(request_id, safe="")
