"""The settings file that the platform gives to each process."""

import os
import tomllib
import typing

import msgspec

from quetzalswitch import bounds
from quetzalswitch import exceptions

# A slower link limits how well the VM is suited to lead; an assumed value, not
# measured.
LINK_MBPS_PER_POWER_UNIT: typing.Final = 20.0
# Until a configuration states another limit.
BODY_LIMIT_BYTES: typing.Final = 256 * 1024
PATH_VARIABLE: typing.Final = "QUETZALSWITCH_SETTINGS"
# The port comes from the deploy file; the settings file doesn't contain it.
METRICS_VARIABLE: typing.Final = "QUETZAL_METRICS_PORT"
# A JSON object with fields of `bounds.Limits`, from the deploy file.
CLIENTS_VARIABLE: typing.Final = "QUETZAL_CLIENT_LIMITS"


class NodeSettings(typing.NamedTuple):
    """Settings of one entry process, times in seconds.

    The names of changed fields are logged (`settings_read`).

    Attributes:
        node_name: Name of this VM; unique, kept over restarts.
        ip: Address of this VM.
        failure_domain: Failure domain of this VM.
        caller_address: Address on which callers are served.
        ready_address: Address on which the load balancer checks readiness.
        peer_port: Port for links between entry processes.
        store_address: Address of the platform's store.
        row_limit_bytes: Maximum size of a row's value.
        advice_address: Address of the placement advice service, or an empty
            string.
        shutdown_grace_s: Time between SIGTERM and SIGKILL.
        lease_s: Longest lease that a target grants.
        gang_wait_s: Time that a gang member waits for the others.
        stop_s: Longest time that a stop takes.
        configuration_apply_s: Time after which a change of the configuration
            must be in force.
        status_s: Time for which the state of finished jobs stays available.
        spread_factor: Factor by which tasks take longer away from the rack of
            their data or their gang; 1 if the platform doesn't say.
        metrics_port: Port on which metrics are served; 0 to disable them.
        power: How well the VM is suited to lead: the lesser of its cores and of
            its link in units of 20 Mbit/s, capped.
        clients: Limits of what clients may send and hold.
    """

    node_name: str
    ip: str
    failure_domain: str
    caller_address: str
    ready_address: str
    peer_port: int
    store_address: str
    row_limit_bytes: int
    advice_address: str
    shutdown_grace_s: float
    lease_s: float
    gang_wait_s: float
    stop_s: float
    configuration_apply_s: float
    status_s: float
    spread_factor: float
    metrics_port: int
    power: float
    clients: bounds.Limits = bounds.Limits()


def read(path: str | None = None) -> NodeSettings:
    """Returns the settings of this process.

    Args:
        path: Path of the settings file; by default the value of the
            environment variable `QUETZALSWITCH_SETTINGS`.

    Raises:
        SettingsError: The file is missing, or a field is missing or invalid.
    """
    path = path or os.environ.get(PATH_VARIABLE, "")
    try:
        with open(path, "rb") as file:
            plain = tomllib.load(file)
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise exceptions.SettingsError(
            f"settings file {path!r} (from {PATH_VARIABLE}): {error}"
        ) from error
    fields = _Fields(path, plain)
    return NodeSettings(
        node_name=fields.get("node_name", str),
        ip=fields.get("ip", str),
        failure_domain=fields.get("zone", str),
        caller_address=fields.get("listen.front", str),
        ready_address=fields.get("listen.ready", str),
        peer_port=fields.get("port_range.0", int),
        store_address=fields.get("platform.address", str),
        row_limit_bytes=fields.get("platform.row_bytes", int),
        advice_address=str(plain.get("advice", "")),
        shutdown_grace_s=fields.get("bounds.grace_s", float),
        lease_s=fields.get("bounds.hold_max_ms", float) / 1000,
        gang_wait_s=fields.get("bounds.gang_wait_ms", float) / 1000,
        stop_s=fields.get("bounds.stop_ms", float) / 1000,
        configuration_apply_s=(
            fields.get("bounds.config_apply_ms", float) / 1000
        ),
        status_s=fields.get("bounds.status_s", float),
        spread_factor=fields.get("bounds.spread_factor", float, 1.0),
        metrics_port=_read_metrics_port(),
        power=min(
            fields.get("limits.cpu_share", float)
            * fields.get("limits.cores", float),
            fields.get("limits.link_mbps", float) / LINK_MBPS_PER_POWER_UNIT,
        ),
        clients=_read_clients(plain),
    )


def _read_clients(plain: dict) -> bounds.Limits:
    """Returns the limits of clients; the deploy file's come first."""
    limits = {"body_bytes": BODY_LIMIT_BYTES}
    for name, field in (("memory_mb", "memory_mb"), ("max_fds", "descriptors")):
        if name in plain["limits"]:
            limits[field] = plain["limits"][name]
    text = os.environ.get(CLIENTS_VARIABLE, "{}")
    try:
        limits |= msgspec.json.decode(text, type=dict)
        return msgspec.convert(limits, bounds.Limits)
    except msgspec.MsgspecError as error:
        raise exceptions.SettingsError(
            f"{CLIENTS_VARIABLE}={text!r} with `limits` of the settings file: "
            f"{error}"
        ) from error


def _read_metrics_port() -> int:
    text = os.environ.get(METRICS_VARIABLE, "0")
    if not text.isdigit() or int(text) > 65535:
        raise exceptions.SettingsError(
            f"{METRICS_VARIABLE}: expected a port number, found {text!r}"
        )
    return int(text)


class _Fields:
    """Typed access to nested fields by dotted path."""

    def __init__(self, source: str, plain: dict):
        self._source = source
        self._plain = plain

    def get(
        self, path: str, kind: type, default: typing.Any = None
    ) -> typing.Any:
        value: typing.Any = self._plain
        for name in path.split("."):
            try:
                value = value[int(name) if name.isdigit() else name]
            except (KeyError, IndexError, TypeError):
                if default is not None:
                    return default
                raise exceptions.SettingsError(
                    f"{self._source}: {path} is missing"
                ) from None
        if kind is float and isinstance(value, int):
            value = float(value)
        if not isinstance(value, kind) or isinstance(value, bool):
            raise exceptions.SettingsError(
                f"{self._source}: {path}: expected {kind.__name__}, "
                f"found {value!r}"
            )
        return value
