"""Decoding of the rows that operators and targets write to the store."""

import typing

import msgspec

from quetzalswitch import exceptions
from quetzalswitch.acceptance import catalogue
from quetzalswitch.decision import fleet

OPERATOR_TABLE: typing.Final = "op"
TARGET_TABLE: typing.Final = "servers"
_MANIFEST_KEY: typing.Final = "config"
_EVACUATION_PREFIX: typing.Final = "evacuate/"


class Manifest(typing.NamedTuple):
    """A new version of the operators' configuration."""

    catalogue: catalogue.Catalogue


class Evacuation(typing.NamedTuple):
    """Whether a failure domain is out of service."""

    failure_domain: str
    active: bool


def decode_operator_row(
    key: str, value: bytes, removed: bool
) -> Manifest | Evacuation | None:
    """Returns the content of an operators' row, or None for an unknown key.

    None is also returned for a removed configuration.

    Raises:
        ConfigurationError: The configuration can't be decoded.
    """
    if key == _MANIFEST_KEY and not removed:
        return Manifest(_decode_manifest(value))
    if key.startswith(_EVACUATION_PREFIX):
        return Evacuation(key.removeprefix(_EVACUATION_PREFIX), not removed)
    return None


def decode_target(key: str, value: bytes) -> fleet.Registration | None:
    """Returns a target's registration, or None if the row is not valid."""
    try:
        plain = msgspec.json.decode(value)
        amounts = plain["capacity"]
        labels = [str(label) for label in plain.get("labels", [])]
        state = plain["state"]
        if state not in ("ready", "draining"):
            return None
        host, _, port = plain["address"].rpartition(":")
        remaining_ms = plain.get("remaining_ms")
        return fleet.Registration(
            id=key,
            service=_text(plain["service"]),
            address=f"{host}:{int(port)}",
            failure_domain=_text(plain["zone"]),
            rack=_find_rack(labels),
            labels=frozenset(labels),
            capacity=_decode_resources(amounts),
            draining=state == "draining",
            remaining_s=None if remaining_ms is None else remaining_ms / 1000,
            boot_ms=int(plain.get("born", 0)),
        )
    except (
        msgspec.DecodeError,
        UnicodeDecodeError,
        KeyError,
        TypeError,
        ValueError,
        AttributeError,
    ):
        # Other programs write these rows and may put any content into them.
        return None


def _text(value: typing.Any) -> str:
    if not isinstance(value, str):
        raise TypeError(f"expected a string, got {type(value).__name__}")
    return value


def _find_rack(labels: list[str]) -> str:
    # The rack is the label with a dash, such as `r1-3`; labels for the kind of
    # a target have no dash.
    return next((label for label in labels if "-" in label), "")


def _decode_resources(plain: dict) -> catalogue.Resources:
    return catalogue.Resources(
        int(plain.get("cpu", 0)),
        int(plain.get("mem_mb", 0)),
        int(plain.get("gpu", 0)),
    )


def _decode_manifest(value: bytes) -> catalogue.Catalogue:
    try:
        plain = msgspec.json.decode(value)
        queues = {}
        for route in plain.get("routes", []):
            queues[route["name"]] = _decode_queue(route)
        teams = {}
        team_by_key = {}
        for tenant in plain.get("tenants", []):
            name = tenant["name"]
            teams[name] = catalogue.Team(
                name,
                float(tenant.get("weight", 1)),
                _decode_resources(tenant.get("max_count") or {}),
            )
            for key in tenant.get("api_keys", []):
                team_by_key[key] = name
        limits = plain.get("limits") or {}
        return catalogue.Catalogue(
            int(plain["version"]),
            queues,
            teams,
            team_by_key,
            int(limits.get("max_body_bytes", 262144)),
            min((queue.priority for queue in queues.values()), default=0),
        )
    except (
        msgspec.DecodeError,
        KeyError,
        TypeError,
        ValueError,
        AttributeError,
    ) as error:
        raise exceptions.ConfigurationError(
            f"the operators' configuration can't be decoded: {error!r}"
        ) from error


def _decode_queue(route: dict) -> catalogue.Queue:
    advice = route.get("advice")
    policy = None
    if advice:
        policy = catalogue.AdvicePolicy(
            float(advice.get("decide_ms", 0)),
            float(advice.get("period_ms", 0)),
            float(advice.get("valid_ms", 0)),
        )
    return catalogue.Queue(
        name=route["name"],
        host=route["host"],
        prefix=route["prefix"],
        service=route["service"],
        priority=int(route.get("priority", 0)),
        max_attempts=int(route.get("max_attempts", 1)),
        stretch=float(route.get("stretch", 1)),
        target_latency_ms=float(route.get("target_latency_ms", 0)),
        public=bool(route.get("public", False)),
        advice=policy,
    )
