"""Stand-in for the platform: table service, object store, VM list."""

import pathlib
import signal
import sys
import typing
import urllib.parse
from collections.abc import Iterable

import gevent.event
import msgspec
import sortedcontainers
import xxhash

from quetzalswitch import clock as clocks
from quetzalswitch.standins import faults
from quetzalswitch.storage import table
from quetzalswitch.storage import vms as vm_lists

DEFAULT_VM_LAG_S = 5.0

_OBJECTS_PATH = "/v1/objects/"


class _Condition(msgspec.Struct, forbid_unknown_fields=True):
    key: str
    version: int


class _Write(msgspec.Struct, forbid_unknown_fields=True):
    key: str
    value: msgspec.Raw


class _Transaction(msgspec.Struct, forbid_unknown_fields=True):
    conditions: list[_Condition]
    writes: list[_Write]


class _StoredRow(msgspec.Struct):
    key: str
    version: int
    value: msgspec.Raw


_ABSENT_VALUE = msgspec.Raw(b"null")


class Table:
    """In-memory table with atomic conditional transactions."""

    def __init__(self):
        self._rows = sortedcontainers.SortedDict()
        self._version = 0

    def read(self, key: str) -> _StoredRow:
        """Returns a row; an absent one has version 0 and value null."""
        row = self._rows.get(key)
        return row or _StoredRow(key, 0, _ABSENT_VALUE)

    def scan(self, prefix: str, after: str, limit: int) -> list[_StoredRow]:
        """Returns up to `limit` rows with a prefix after a key, in order."""
        start = max(prefix, after)
        found = []
        for key in self._rows.irange(start, inclusive=(start != after, True)):
            if len(found) == limit or not key.startswith(prefix):
                break
            found.append(self._rows[key])
        return found

    def find_conflicts(self, conditions: list[_Condition]) -> list[_StoredRow]:
        """Returns the rows whose version differs from the expected one."""
        rows = [(self.read(each.key), each) for each in conditions]
        return [row for row, each in rows if row.version != each.version]

    def commit(self, writes: list[_Write]) -> int:
        """Applies the writes and returns their version; null deletes a row."""
        self._version += 1
        for write in writes:
            value = bytes(write.value)
            if value == b"null":
                self._rows.pop(write.key, None)
                continue
            # Copies the value; a raw value refers to the whole request body.
            row = _StoredRow(write.key, self._version, msgspec.Raw(value))
            self._rows[write.key] = row
        return self._version


class _LaggingVmList:
    """List of VMs whose changes become visible only after a delay."""

    def __init__(
        self,
        clock: clocks.Clock,
        vms: list[vm_lists.VmBody],
        lag_s: float,
    ):
        self._clock = clock
        self._lag_s = lag_s
        self._visible = vms
        self._pending: list[tuple[float, list[vm_lists.VmBody]]] = []

    def replace(self, vms: list[vm_lists.VmBody]) -> None:
        self._pending.append((self._clock.now() + self._lag_s, vms))

    def read(self) -> list[vm_lists.VmBody]:
        while self._pending and self._pending[0][0] <= self._clock.now():
            self._visible = self._pending.pop(0)[1]
        return self._visible


class PlatformApp:
    """WSGI application with the table service, object store and VM list.

    Attributes:
        table: The rows of the table service.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        vms: list[vm_lists.VmBody] | None = None,
        vm_lag_s: float = DEFAULT_VM_LAG_S,
    ):
        self.table = Table()
        self._objects: dict[str, bytes] = {}
        self._vms = _LaggingVmList(clock, vms or [], vm_lag_s)

    def __call__(
        self, environ: dict, start_response: faults.StartResponse
    ) -> Iterable[bytes]:
        """Serves one request; a malformed one is answered 400."""
        try:
            return self._route(environ, start_response)
        except (msgspec.MsgspecError, ValueError) as error:
            return faults.answer_error(start_response, 400, str(error))

    def _route(
        self, environ: dict, start_response: faults.StartResponse
    ) -> Iterable[bytes]:
        path = faults.read_path(environ)
        if path.startswith(_OBJECTS_PATH):
            key = path.removeprefix(_OBJECTS_PATH)
            return self._serve_object(key, environ, start_response)
        match (environ["REQUEST_METHOD"], path):
            case ("POST", "/v1/transact"):
                return self._transact(environ, start_response)
            case ("GET", "/v1/row"):
                row = self.table.read(_read_query(environ).get("key", ""))
                return faults.answer_json(start_response, 200, row)
            case ("GET", "/v1/rows"):
                rows = self._scan(_read_query(environ))
                return faults.answer_json(start_response, 200, {"rows": rows})
            case ("GET", "/v1/vms"):
                return self._list_vms(environ, start_response)
            case ("PUT", "/faults/vms"):
                data = faults.read_body(environ)
                self.set_vms(msgspec.json.decode(data, type=vm_lists.VmsBody))
                return faults.answer_json(start_response, 200, {})
        return faults.answer_error(start_response, 404, f"no resource {path}")

    def _list_vms(
        self, environ: dict, start_response: faults.StartResponse
    ) -> Iterable[bytes]:
        data = msgspec.json.encode(vm_lists.VmsBody(self._vms.read()))
        tag = f'"{xxhash.xxh3_64_hexdigest(data)}"'
        if environ.get("HTTP_IF_NONE_MATCH") == tag:
            start_response("304 Status", [("ETag", tag)])
            return []
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(data))),
            ("ETag", tag),
        ]
        start_response("200 Status", headers)
        return [data]

    def set_vms(self, body: vm_lists.VmsBody) -> None:
        """Replaces the list of VMs; it becomes visible after the lag."""
        self._vms.replace(body.vms)

    def _transact(
        self, environ: dict, start_response: faults.StartResponse
    ) -> Iterable[bytes]:
        data = faults.read_body(environ)
        transaction = msgspec.json.decode(data, type=_Transaction)
        if len(transaction.writes) > table.MAX_ROWS_PER_TRANSACTION:
            raise ValueError(
                f"transaction writes {len(transaction.writes)} rows, at most "
                f"{table.MAX_ROWS_PER_TRANSACTION} are allowed"
            )
        conflicts = self.table.find_conflicts(transaction.conditions)
        if conflicts:
            body = {"committed": False, "conflicts": conflicts}
            return faults.answer_json(start_response, 409, body)
        version = self.table.commit(transaction.writes)
        body = {"committed": True, "version": version}
        return faults.answer_json(start_response, 200, body)

    def _scan(self, query: dict[str, str]) -> list[_StoredRow]:
        limit = max(0, int(query.get("limit", "500")))
        return self.table.scan(
            query.get("prefix", ""), query.get("after", ""), limit
        )

    def _serve_object(
        self,
        key: str,
        environ: dict,
        start_response: faults.StartResponse,
    ) -> Iterable[bytes]:
        match environ["REQUEST_METHOD"]:
            case "PUT":
                self._objects[key] = faults.read_body(environ)
                return faults.answer_json(start_response, 200, {})
            case "GET" if key in self._objects:
                return faults.answer_bytes(
                    start_response,
                    200,
                    self._objects[key],
                    "application/octet-stream",
                )
            case "DELETE" if key in self._objects:
                del self._objects[key]
                return faults.answer_json(start_response, 200, {})
        return faults.answer_error(start_response, 404, f"no object {key}")


class StandinPlatform:
    """The stand-in platform and its HTTP server.

    Attributes:
        app: The WSGI application with the services.
        server: The server; `server.injector` holds faults and counters.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        listen: str = "127.0.0.1:0",
        vms: list[vm_lists.VmBody] | None = None,
        vm_lag_s: float = DEFAULT_VM_LAG_S,
        seed: int = 0,
    ):
        self.app = PlatformApp(clock, vms, vm_lag_s)
        self.server = faults.FaultyServer(self.app, clock, listen, seed)

    @property
    def address(self) -> str:
        """Host and port; the port is the actual one after `start`."""
        return self.server.address

    @property
    def counters(self) -> dict[str, int]:
        """Event counts by name, since the stand-in was created."""
        return self.server.injector.counters

    def set_faults(self, values: faults.Faults) -> None:
        """Replaces all faults in force by the given ones."""
        self.server.injector.set(values)

    def start(self) -> str:
        """Starts listening and returns the address with the actual port."""
        return self.server.start()

    def stop(self) -> None:
        """Refuses connections until the next `start`; keeps all state."""
        self.server.stop()


def load_vms(path: pathlib.Path) -> list[vm_lists.VmBody]:
    """Returns the VMs listed in a JSON file.

    Raises:
        OSError: The file can't be read.
        msgspec.MsgspecError: The file doesn't contain a valid list of VMs.
    """
    return msgspec.json.decode(path.read_bytes(), type=vm_lists.VmsBody).vms


def serve(
    listen: str = "127.0.0.1:0",
    *,
    vms: pathlib.Path | None = None,
    vm_lag_s: float = DEFAULT_VM_LAG_S,
    seed: int = 0,
) -> int:
    """Serves a stand-in table service, object store and VM list.

    Args:
        listen: Host and port; port 0 lets the kernel choose one. The chosen
            address is printed on the first line.
        vms: JSON file with the list of VMs: {"vms": [...]}.
        vm_lag_s: Seconds until a changed list becomes visible.
        seed: Seed of the random number generator for faults.
    """
    try:
        listed = load_vms(vms) if vms else []
    except (OSError, msgspec.MsgspecError) as error:
        _print_error(f"can't read the VM list {vms}: {error}")
        return 2
    standin = StandinPlatform(
        clocks.SystemClock(), listen, listed, vm_lag_s, seed
    )
    try:
        print(standin.start(), flush=True)
    except (OSError, ValueError) as error:
        _print_error(f"can't listen on {listen}: {error}")
        return 1
    stopped = gevent.event.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        gevent.signal_handler(number, stopped.set)
    stopped.wait()
    standin.stop()
    return 0


def main() -> typing.NoReturn:
    """Runs the command `quetzal-standin-platform`."""
    from quetzalswitch import console

    app = console.make_app(
        "quetzal-standin-platform",
        "Serves a stand-in table service, object store and VM list.",
    )
    app.default(serve)
    sys.exit(console.run(app))


def _print_error(message: str) -> None:
    print(f"standin-platform: {message}", file=sys.stderr)


def _read_query(environ: dict) -> dict[str, str]:
    return dict(urllib.parse.parse_qsl(environ["QUERY_STRING"]))


if __name__ == "__main__":
    main()
