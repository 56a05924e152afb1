"""WSGI application of the operators' HTTP API."""

import hmac
import typing
from collections.abc import Callable

from quetzalswitch import configuration as configurations
from quetzalswitch import exceptions
from quetzalswitch import web
from quetzalswitch.operators import protocol


class Service(typing.Protocol):
    """Operations of an entry process that the operators' API exposes."""

    def configuration(self) -> configurations.Configuration:
        """Returns the configuration that this entry currently applies."""

    def submit_change(
        self, expected_version: int, change: configurations.Change
    ) -> int:
        """Applies a change and returns the version that it created.

        Returns only after the change is stored durably.

        Raises:
            RequestError: version_conflict, store_unavailable or bad_request.
        """

    def state(self) -> dict:
        """Returns members, targets, limits and the current version."""

    def queues(self) -> list[dict]:
        """Returns the load of each queue at this entry."""

    def why(self, team: str, request_id: str) -> str:
        """Returns why a request is waiting, or where it is."""


def make_app(service: Service, operator_key: str) -> Callable:
    """Returns the WSGI application for operators.

    Raises:
        SettingsError: The operator key is empty, which would give everyone
            access.
    """
    if not operator_key:
        raise exceptions.SettingsError("process.operator_key: is empty")

    def _require_key(handler: Callable) -> Callable:
        def _handle_authorized(call: web.Call) -> web.Response:
            _check_key(call, operator_key)
            return handler(call)

        return _handle_authorized

    def _get_configuration(call: web.Call) -> web.Response:
        encoded = configurations.encode_configuration(service.configuration())
        return web.respond(encoded)

    def _post_change(call: web.Call) -> web.Response:
        expected_version, change = protocol.parse_change(call.body)
        version = service.submit_change(expected_version, change)
        return web.respond({"version": version})

    def _get_state(call: web.Call) -> web.Response:
        return web.respond(service.state())

    def _get_queues(call: web.Call) -> web.Response:
        return web.respond({"queues": service.queues()})

    def _get_why(call: web.Call) -> web.Response:
        team = call.parameters["team"]
        request_id = call.parameters["request_id"]
        return web.respond({"why": service.why(team, request_id)})

    base_path = "/v1/operators"
    why_path = base_path + "/requests/{team}/{request_id}/why"
    return web.make_wsgi(
        [
            web.Route(
                "GET",
                base_path + "/configuration",
                _require_key(_get_configuration),
            ),
            web.Route(
                "POST", base_path + "/changes", _require_key(_post_change)
            ),
            web.Route("GET", base_path + "/state", _require_key(_get_state)),
            web.Route("GET", base_path + "/queues", _require_key(_get_queues)),
            web.Route("GET", why_path, _require_key(_get_why)),
        ]
    )


def _check_key(call: web.Call, operator_key: str) -> None:
    key = web.parse_bearer(call.header("Authorization")) or ""
    # A constant-time comparison prevents timing attacks on the key.
    if not hmac.compare_digest(key.encode(), operator_key.encode()):
        raise exceptions.RequestError(
            exceptions.ErrorKind.UNAUTHENTICATED,
            "the operator key is missing or wrong",
        )
