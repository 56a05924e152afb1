"""The operators' HTTP API (WSGI)."""

import hmac
import typing
from collections.abc import Callable

from quetzalswitch import configuration as configurations
from quetzalswitch import exceptions
from quetzalswitch import web
from quetzalswitch.operators import protocol


class Service(typing.Protocol):
    """What the entry process offers to operators."""

    def configuration(self) -> configurations.Configuration:
        """Returns the configuration in force at this entry."""

    def submit_change(
        self, expected_version: int, change: configurations.Change
    ) -> int:
        """Returns the new version once the change is durable.

        Raises:
            RequestError: version_conflict, store_unavailable or bad_request.
        """

    def state(self) -> dict:
        """Returns members, targets, limits and the version in force."""

    def queues(self) -> list[dict]:
        """Returns the load of each queue at this entry."""

    def why(self, team: str, request_id: str) -> str:
        """Returns the reason for which a request waits or where it is."""


def make_app(service: Service, operator_key: str) -> Callable:
    """Returns the WSGI application for operators.

    Raises:
        SettingsError: The operator key is empty; it would admit anybody.
    """
    if not operator_key:
        raise exceptions.SettingsError("process.operator_key: is empty")

    def _guard(handle: Callable) -> Callable:
        def _checked(call: web.Call) -> web.Response:
            _check_key(call, operator_key)
            return handle(call)

        return _checked

    def _configuration(call: web.Call) -> web.Response:
        plain = configurations.encode_configuration(service.configuration())
        return web.respond(plain)

    def _change(call: web.Call) -> web.Response:
        expected_version, change = protocol.parse_change(call.body)
        version = service.submit_change(expected_version, change)
        return web.respond({"version": version})

    def _state(call: web.Call) -> web.Response:
        return web.respond(service.state())

    def _queues(call: web.Call) -> web.Response:
        return web.respond({"queues": service.queues()})

    def _why(call: web.Call) -> web.Response:
        team = call.parameters["team"]
        request_id = call.parameters["request_id"]
        return web.respond({"why": service.why(team, request_id)})

    base = "/v1/operators"
    why = base + "/requests/{team}/{request_id}/why"
    return web.make_wsgi(
        [
            web.Route("GET", base + "/configuration", _guard(_configuration)),
            web.Route("POST", base + "/changes", _guard(_change)),
            web.Route("GET", base + "/state", _guard(_state)),
            web.Route("GET", base + "/queues", _guard(_queues)),
            web.Route("GET", why, _guard(_why)),
        ]
    )


def _check_key(call: web.Call, operator_key: str) -> None:
    key = web.parse_bearer(call.header("Authorization")) or ""
    # Comparing in constant time keeps the key from being guessed by timing.
    if not hmac.compare_digest(key.encode(), operator_key.encode()):
        raise exceptions.RequestError(
            exceptions.ErrorKind.UNAUTHENTICATED,
            "the operator key is missing or wrong",
        )
