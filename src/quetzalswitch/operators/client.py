"""Client of the operators' HTTP API."""

import typing
import urllib.parse
from collections.abc import Sequence

from quetzalswitch import clock as clocks
from quetzalswitch import configuration as configurations
from quetzalswitch import exchange

_BASE: typing.Final = "/v1/operators"


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
        """Returns the configuration in force at the answering entry."""
        plain = self._get("/configuration")
        return configurations.decode_configuration(plain)

    def submit_change(
        self, expected_version: int, change: configurations.Change
    ) -> int:
        """Returns the version that the accepted change created.

        A change that may have been received is not repeated: its own success
        would then look like a conflict.

        Raises:
            RequestError: The change was refused.
            TransportError: No entry answered; the effect is unknown unless
                no connection could be opened.
        """
        body = {
            "expected_version": expected_version,
            "change": configurations.encode_change(change),
        }
        reply = self._exchanger.exchange(
            "POST", _BASE + "/changes", body, repeatable=False
        )
        return reply.body["version"]

    def change(self, change: configurations.Change) -> int:
        """Applies a change to the configuration in force.

        Raises:
            RequestError: The change was refused, or another operator's change
                came first.
            ConfigurationError: The change does not fit the configuration.
        """
        current = self.configuration()
        configurations.apply(current, change)
        return self.submit_change(current.version, change)

    def state(self) -> dict:
        """Returns members, targets, limits and the version in force."""
        return self._get("/state")

    def queues(self) -> list[dict]:
        """Returns the load of each queue."""
        return self._get("/queues")["queues"]

    def why(self, team: str, request_id: str) -> str:
        """Returns the reason for which a request waits or where it is."""
        team = urllib.parse.quote(team, safe="")
        request_id = urllib.parse.quote(request_id, safe="")
        return self._get(f"/requests/{team}/{request_id}/why")["why"]

    def _get(self, path: str) -> dict:
        reply = self._exchanger.exchange("GET", _BASE + path, repeatable=True)
        return reply.body
