"""Client for the operators' HTTP API."""

import typing
import urllib.parse
from collections.abc import Sequence

from quetzalswitch import clock as clocks
from quetzalswitch import configuration as configurations
from quetzalswitch import exchange

_BASE_PATH: typing.Final = "/v1/operators"


class OperatorClient:
    """Reads the state of the cluster and changes its configuration."""

    def __init__(
        self,
        addresses: Sequence[str],
        key: str,
        clock: clocks.Clock,
        timeout_s: float = exchange.TIMEOUT_S,
    ):
        self._exchanger = exchange.Exchanger(addresses, key, clock, timeout_s)

    def configuration(self) -> configurations.Configuration:
        """Returns the configuration that the answering entry applies."""
        encoded = self._get("/configuration")
        return configurations.decode_configuration(encoded)

    def submit_change(
        self, expected_version: int, change: configurations.Change
    ) -> int:
        """Returns the version that the accepted change created.

        A change that an entry may have received is not sent again: if the
        first copy was applied, the second would fail with a version conflict.

        Raises:
            RequestError: The change was rejected.
            TransportError: No entry answered. Unless no connection could be
                opened, it is unknown whether the change took effect.
        """
        body = {
            "expected_version": expected_version,
            "change": configurations.encode_change(change),
        }
        reply = self._exchanger.exchange(
            "POST", _BASE_PATH + "/changes", body, repeatable=False
        )
        return reply.body["version"]

    def change(self, change: configurations.Change) -> int:
        """Applies a change to the current configuration.

        Returns the version that the change created.

        Raises:
            RequestError: The change was rejected, or another operator's
                change was accepted first.
            ConfigurationError: The change is not valid for the current
                configuration, and is not submitted.
        """
        current = self.configuration()
        configurations.apply(current, change)
        return self.submit_change(current.version, change)

    def state(self) -> dict:
        """Returns members, targets, limits and the current version."""
        return self._get("/state")

    def queues(self) -> list[dict]:
        """Returns the load of each queue."""
        return self._get("/queues")["queues"]

    def why(self, team: str, request_id: str) -> str:
        """Returns why a request is waiting, or where it is."""
        team = urllib.parse.quote(team, safe="")
        request_id = urllib.parse.quote(request_id, safe="")
        return self._get(f"/requests/{team}/{request_id}/why")["why"]

    def _get(self, path: str) -> dict:
        reply = self._exchanger.exchange(
            "GET", _BASE_PATH + path, repeatable=True
        )
        return reply.body
