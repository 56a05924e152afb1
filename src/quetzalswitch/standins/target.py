"""Stand-in for a target: slots, leases, fencing and faults."""

import contextlib
import pathlib
import signal
import sys
import typing
import urllib.parse
from collections.abc import Iterable

import gevent
import gevent.event
import geventhttpclient.client
import geventhttpclient.response
import msgspec

from quetzalswitch import clock as clocks
from quetzalswitch import exceptions
from quetzalswitch import records
from quetzalswitch.standins import faults
from quetzalswitch.standins import machine as machines
from quetzalswitch.targets import protocol

STORE_TIMEOUT_S = 2.0
_ATTEMPTS_PATH = "/v1/attempts/"


class TargetFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults of the target itself; set by `PUT /faults/target`.

    Attributes:
        fail_all: Every task started afterwards fails.
        leaving: The target is leaving and refuses starts.
        pause_ms: Stops processing for this time; applies once.
        restart: Discards all state and gets a new boot ID; applies once.
    """

    fail_all: bool = False
    leaving: bool = False
    pause_ms: float = 0.0
    restart: bool = False


class TargetApp:
    """WSGI application for the protocol with targets."""

    def __init__(self, machine: machines.Machine):
        self._machine = machine

    def __call__(
        self, environ: dict, start_response: faults.StartResponse
    ) -> Iterable[bytes]:
        """Serves one request."""
        route = (environ["REQUEST_METHOD"], faults.read_path(environ))
        body = faults.read_body(environ)
        if route == ("PUT", "/faults/target"):
            return self._put_faults(body, start_response)
        self._machine.wait_while_paused()
        try:
            answer = self._serve(*route, body)
        except exceptions.StaleEpochError as error:
            refusal: protocol.RefusalBody = {
                "error": str(error),
                "boot_id": self._machine.boot_id,
            }
            return faults.answer_json(start_response, 409, refusal)
        except (msgspec.MsgspecError, exceptions.ProtocolError) as error:
            return faults.answer_error(start_response, 400, str(error))
        except LookupError as error:
            return faults.answer_error(start_response, 404, str(error))
        self._machine.wait_while_paused()
        return faults.answer_json(start_response, 200, answer)

    def set_faults(self, values: TargetFaults) -> None:
        """Replaces the active faults and applies the one-time ones."""
        machine = self._machine
        machine.fails_all = values.fail_all
        machine.leaving = values.leaving
        if values.restart:
            machine.boot()
        if values.pause_ms:
            machine.pause(values.pause_ms / 1000)

    def _put_faults(
        self, body: bytes, start_response: faults.StartResponse
    ) -> Iterable[bytes]:
        try:
            values = msgspec.json.decode(body, type=TargetFaults)
        except msgspec.MsgspecError as error:
            return faults.answer_error(start_response, 400, str(error))
        self.set_faults(values)
        return faults.answer_json(start_response, 200, values)

    def _serve(self, method: str, path: str, body: bytes) -> typing.Any:
        machine = self._machine
        match (method, path):
            case ("POST", "/v1/claim"):
                return machine.claim(_decode(body, protocol.ClaimBody))
            case ("POST", "/v1/sync"):
                return machine.sync(_decode(body, protocol.SyncBody))
            case ("POST", "/v1/starts"):
                return machine.start(_decode(body, protocol.StartsBody))
            case ("POST", "/v1/release"):
                machine.release(_decode(body, protocol.ReleaseBody))
                return {}
            case ("POST", _) if path.startswith(_ATTEMPTS_PATH):
                return self._serve_attempt(path, body)
        raise LookupError(f"no such path: {method} {path}")

    def _serve_attempt(self, path: str, body: bytes) -> typing.Any:
        rest = path.removeprefix(_ATTEMPTS_PATH)
        attempt_id, _, action = rest.rpartition("/")
        match action:
            case "fence":
                return self._machine.fence(attempt_id)
            case "stop":
                message = _decode(body, protocol.StopBody)
                self._machine.stop(attempt_id, message)
                return {}
        raise LookupError(f"no such path: {path}")


class StandinTarget:
    """A stand-in target with its server; a process can run many.

    Attributes:
        machine: State of the target.
        server: HTTP server; `server.injector` holds faults and counters.
        history: Recorded events; empty when they go to a history file.
    """

    def __init__(
        self,
        options: machines.Options | None = None,
        clock: clocks.Clock | None = None,
        listen: str = "127.0.0.1:0",
        store_address: str | None = None,
        history_path: pathlib.Path | None = None,
        seed: int = 0,
    ):
        clock = clock or clocks.SystemClock()
        options = options or machines.Options()
        self.history: list[dict] = []
        self._history_file: typing.BinaryIO | None = None
        if history_path is not None:
            self._history_file = history_path.open("ab")
        store = _ObjectStore(store_address)
        self.machine = machines.Machine(
            options, clock, store.put, self._record_event
        )
        self.app = TargetApp(self.machine)
        self.server = faults.FaultyServer(
            self.app, clock, listen, seed, options.connections
        )

    @property
    def address(self) -> str:
        """Host and port, once started."""
        return self.server.address

    def set_faults(self, values: faults.Faults) -> None:
        """Replaces the faults of the server."""
        self.server.injector.set(values)

    def start(self) -> str:
        """Starts to listen and returns the address."""
        return self.server.start()

    def stop(self) -> None:
        """Stops the server and all tasks and closes the history file."""
        self.server.stop()
        self.machine.shut_down()
        if self._history_file is not None:
            self._history_file.close()

    def _record_event(self, event: dict) -> None:
        if self._history_file is None:
            self.history.append(event)
            return
        self._history_file.write(msgspec.json.encode(event) + b"\n")
        self._history_file.flush()


class _ObjectStore:
    """Puts objects into the platform's store."""

    def __init__(self, address: str | None):
        self._address = address

    def put(self, key: str, body: bytes) -> None:
        """Puts one object; raises `TransportError` unless it succeeds."""
        if self._address is None:
            raise exceptions.TransportError("no object store is configured")
        host, _, port = self._address.rpartition(":")
        path = f"/v1/objects/{urllib.parse.quote(key)}"
        client = geventhttpclient.client.HTTPClient(host, int(port))
        status = 0
        with contextlib.closing(client), gevent.Timeout(STORE_TIMEOUT_S, False):
            try:
                response = client.put(path, body)
                response.read()
                status = response.status_code
            except (
                OSError,
                geventhttpclient.response.HTTPParseError,
            ) as error:
                raise exceptions.TransportError(str(error)) from None
        if status not in (200, 201, 204):
            raise exceptions.TransportError(f"store answered {status}")


def serve(
    listen: str = "127.0.0.1:0",
    *,
    target_id: str = "target-1",
    failure_domain: str = "domain-a",
    rack: str = "rack-1",
    cores: float = 64.0,
    memory_mb: int = 128 * 1024,
    accelerators: int = 0,
    slots: int = 8,
    connections: int = 64,
    control_lease_s: float = 4.0,
    store: str | None = None,
    history: pathlib.Path | None = None,
    count: int = 1,
    seed: int = 0,
) -> int:
    """Serves stand-in targets; prints the address of each on a line.

    Args:
        listen: Host and port; port 0 lets the kernel choose one.
        target_id: VM name; a number is appended when there are several.
        failure_domain: Failure domain that the target is in.
        rack: Rack that the target is in.
        cores: Processor cores.
        memory_mb: Memory in MB.
        accelerators: Whole accelerators.
        slots: Tasks that the target runs at once.
        connections: Connections that the target serves at once.
        control_lease_s: Length of the control lease in seconds.
        store: Host and port of the object store for large outputs.
        history: File that events are appended to, as JSON lines.
        count: Number of targets in this process; more than one needs port 0.
        seed: Seed of the random faults.
    """
    capacity = records.Resources(cores, memory_mb, accelerators)
    standins = []
    for index in range(count):
        options = machines.Options(
            target_id if count == 1 else f"{target_id}-{index}",
            failure_domain,
            rack,
            capacity,
            slots,
            connections,
            control_lease_s,
        )
        try:
            standin = StandinTarget(options, None, listen, store, history, seed)
            print(standin.start(), flush=True)
        except (OSError, ValueError) as error:
            print(f"standin-target: can't start: {error}", file=sys.stderr)
            return 1
        standins.append(standin)
    stopped = gevent.event.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        gevent.signal_handler(number, stopped.set)
    stopped.wait()
    for standin in standins:
        standin.stop()
    return 0


def main() -> typing.NoReturn:
    """Runs the command `quetzal-standin-target`."""
    from quetzalswitch import console

    app = console.make_app("quetzal-standin-target", "Serves stand-in targets.")
    app.default(serve)
    sys.exit(console.run(app))


def _decode(body: bytes, body_type: type) -> typing.Any:
    """Decodes a message; unknown and missing fields are errors."""
    message = msgspec.json.decode(body, type=dict)
    unknown = message.keys() - body_type.__annotations__.keys()
    if unknown:
        raise exceptions.ProtocolError(f"unknown fields: {sorted(unknown)}")
    return msgspec.convert(message, body_type)


if __name__ == "__main__":
    main()
