"""Calls the advice service, directly or through another entry."""

import typing
from collections.abc import Callable

from quetzalswitch import clock as clocks
from quetzalswitch import exceptions
from quetzalswitch import greenlets
from quetzalswitch import nodelog
from quetzalswitch.decision import advice
from quetzalswitch.execution import protocol
from quetzalswitch.execution import stored_advice
from quetzalswitch.peers import links as peer_links
from quetzalswitch.platform import store as stores
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
        store: stores.Store,
        clock: clocks.Clock,
        log: nodelog.NodeLog,
        find_unheard_epoch: Callable[[], int],
    ):
        """Prepares a router.

        Args:
            name: Name of this entry.
            address: Host and port of the advice service; empty without one.
            links: Links to the other entries.
            store: The store, used where links carry nothing.
            clock: Source of time.
            log: Where failed calls are logged.
            find_unheard_epoch: Returns the epoch of a leader that works but
                is not heard; 0 if there is none.
        """
        self._name = name
        self._links = links
        self._store = store
        self._clock = clock
        self._log = log
        self._client = clients.AdviceClient(address, clock) if address else None
        self._asker: stored_advice.Asker | None = None
        self._adviser = stored_advice.Adviser(
            name,
            store,
            clock,
            log,
            self._call_advice_service,
            find_unheard_epoch,
        )

    def start(self) -> None:
        """Starts to answer questions of a leader that is not heard."""
        greenlets.spawn_loop(self._adviser.run, self._log)

    def begin_epoch(self, epoch: int) -> None:
        """Starts reading whom this process, the leader, can ask."""
        self._asker = stored_advice.Asker(
            self._store, self._clock, self._log, epoch
        )
        self._asker.start()

    def end_epoch(self) -> None:
        """Stops reading whom this process can ask."""
        if self._asker is not None:
            self._asker.stop()
            self._asker = None

    def list_advisers(self) -> list[str]:
        """Returns the entries that can call the service for this process."""
        names = {
            peer.name
            for peer in self._links.alive()
            if not peer.heartbeat.leaving
        }
        if self._asker is not None:
            names.update(self._asker.list_ready())
        return [*sorted(names - {self._name}), self._name]

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
        if self._is_asked_by_store(question.adviser):
            return self._asker.ask(
                question.adviser,
                question.stage_key,
                question.target_ids,
                timeout_s,
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

    def _is_asked_by_store(self, adviser: str) -> bool:
        return (
            self._asker is not None
            and not self._links.is_alive(adviser)
            and adviser in self._asker.list_ready()
        )

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
