"""Calls the advice service, directly or through another entry."""

import typing

from quetzalswitch import clock as clocks
from quetzalswitch import exceptions
from quetzalswitch import nodelog
from quetzalswitch.decision import advice
from quetzalswitch.execution import protocol
from quetzalswitch.peers import links as peer_links
from quetzalswitch.platform import targets as clients

# Time for the messages to and from the entry that calls the service.
LINK_MARGIN_S: typing.Final = 0.1


class _PeerAnswer(typing.NamedTuple):
    """Answer of another entry; empty if the service gave it none."""

    tickets: dict[str, str] | None = None
    valid_s: float | None = None


class AdviceRouter:
    """Routes the leader's questions to the entry that is to ask them."""

    def __init__(
        self,
        name: str,
        address: str,
        links: peer_links.Links,
        clock: clocks.Clock,
        log: nodelog.NodeLog,
    ):
        self._name = name
        self._links = links
        self._log = log
        self._client = clients.AdviceClient(address, clock) if address else None

    def request_advice(
        self, question: advice.AdviceRequest, timeout_s: float
    ) -> protocol.AdviceAnswer | None:
        """Returns the answer to a question, asked by its adviser.

        Returns None, after logging the error, if no answer arrives.
        """
        if question.adviser == self._name:
            return self._call_advice_service(
                question.stage_key, question.target_ids, timeout_s
            )
        payload = (question.stage_key, question.target_ids, timeout_s)
        try:
            answer = self._links.call(
                question.adviser,
                "advise",
                payload,
                timeout_s + LINK_MARGIN_S,
                _PeerAnswer,
            )
        except exceptions.TransportError as error:
            self._log.note(
                "advice_failed", step=question.stage_key, error=str(error)
            )
            return None
        if answer.tickets is None:
            return None
        return protocol.AdviceAnswer(answer.tickets, answer.valid_s)

    def handle_request(self, _: str, payload: list) -> tuple | list:
        """Calls the advice service for a peer; empty if it has no answer."""
        answer = self._call_advice_service(*payload)
        return tuple(answer) if answer is not None else []

    def _call_advice_service(
        self, stage_key: str, target_ids: list[str], timeout_s: float
    ) -> protocol.AdviceAnswer | None:
        if self._client is None:
            self._log.note(
                "advice_failed",
                step=stage_key,
                error="no advice address is set",
            )
            return None
        try:
            return self._client.request_advice(stage_key, target_ids, timeout_s)
        except exceptions.TransportError as error:
            self._log.note("advice_failed", step=stage_key, error=str(error))
            return None
