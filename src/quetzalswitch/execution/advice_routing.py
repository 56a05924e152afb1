"""Asking the advice service, here or through another entry."""

import typing

from quetzalswitch import clock as clocks
from quetzalswitch import exceptions
from quetzalswitch import nodelog
from quetzalswitch.decision import advice
from quetzalswitch.execution import protocol
from quetzalswitch.peers import links as peer_links
from quetzalswitch.platform import targets as clients

# The way to the entry that asks, and back.
LINK_MARGIN_S: typing.Final = 0.1


class AdviceRouter:
    """Asks questions of the deciding entry, wherever they are to be asked."""

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
        """Has a question asked by its adviser; None if no answer came."""
        if question.adviser == self._name:
            return self._ask_service(
                question.stage_key, question.target_ids, timeout_s
            )
        payload = (question.stage_key, question.target_ids, timeout_s)
        try:
            answer = self._links.call(
                question.adviser, "advise", payload, timeout_s + LINK_MARGIN_S
            )
        except exceptions.TransportError as error:
            self._log.note(
                "advice_failed", step=question.stage_key, error=str(error)
            )
            return None
        return protocol.AdviceAnswer(answer[0], answer[1]) if answer else None

    def handle_request(self, _: str, payload: list) -> tuple | list:
        """Asks for another entry; an empty answer means that none came."""
        answer = self._ask_service(*payload)
        return tuple(answer) if answer is not None else []

    def _ask_service(
        self, stage_key: str, target_ids: list[str], timeout_s: float
    ) -> protocol.AdviceAnswer | None:
        if self._client is None:
            self._log.note(
                "advice_failed", step=stage_key, error="no address is set"
            )
            return None
        try:
            return self._client.request_advice(stage_key, target_ids, timeout_s)
        except exceptions.TransportError as error:
            self._log.note("advice_failed", step=stage_key, error=str(error))
            return None
