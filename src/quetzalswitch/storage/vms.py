"""Client of the platform's list of VMs."""

import typing

import msgspec

from quetzalswitch import clock as clocks
from quetzalswitch import decoding
from quetzalswitch import exceptions
from quetzalswitch import traffic
from quetzalswitch.storage import connections


class Vm(typing.NamedTuple):
    """A VM as listed by the platform; the list lags behind the actual state.

    Attributes:
        vm: Name.
        role: Kind of process that runs on it.
        address: Host and port.
        failure_domain: Failure domain that contains it.
        rack: Rack that contains it.
        state: Whether it is in service or about to be removed.
    """

    vm: str
    role: typing.Literal["entry", "target"]
    address: str
    failure_domain: str
    rack: str
    state: typing.Literal["live", "leaving"]


class VmBody(msgspec.Struct):
    """A VM as JSON."""

    vm: str
    role: typing.Literal["entry", "target"]
    address: str
    failure_domain: str
    rack: str
    state: typing.Literal["live", "leaving"] = "live"


class VmsBody(msgspec.Struct):
    """The list of VMs as JSON."""

    vms: list[VmBody]


class VmClient:
    """Reads the list of VMs with a timeout."""

    def __init__(
        self,
        address: str,
        clock: clocks.Clock,
        timeout_s: float = connections.DEFAULT_TIMEOUT_S,
        counter: traffic.Counter | None = None,
    ):
        self._pool = connections.ConnectionPool(
            address, clock, timeout_s, counter
        )
        self._etag = ""
        self._last_list: list[Vm] = []

    def list_vms(self) -> list[Vm]:
        """Returns the VMs that the platform lists.

        If the platform supports entity tags, it sends the list only when it has
        changed: with 1,000 VMs the list has 130 KB.

        Raises:
            StoreUnavailableError: The platform gave no usable answer.
        """
        answer = self._pool.exchange("GET", "/v1/vms", known_etag=self._etag)
        if answer.status == 304 and self._etag:
            return list(self._last_list)
        if answer.status != 200:
            raise exceptions.StoreUnavailableError(
                f"VM list answered {answer.status}"
            )
        try:
            body = decoding.decode(
                lambda data: msgspec.json.decode(data, type=VmsBody),
                answer.body,
                "a list of VMs",
            )
        except exceptions.ProtocolError as error:
            raise exceptions.StoreUnavailableError(str(error)) from error
        self._last_list = [Vm(*msgspec.structs.astuple(vm)) for vm in body.vms]
        self._etag = answer.etag
        return list(self._last_list)

    def close(self) -> None:
        """Closes the connections."""
        self._pool.close()
