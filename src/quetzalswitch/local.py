"""The command `quetzal-local`: the embedded system with a demonstration."""

import secrets
import signal
import sys
import typing

import gevent
import gevent.event

from quetzalswitch import clock as clocks
from quetzalswitch import configuration as configurations
from quetzalswitch import embedded
from quetzalswitch import exceptions
from quetzalswitch import logs
from quetzalswitch.callers import client as caller_clients
from quetzalswitch.operators import client as operator_clients

# The default addresses of `quetzal` and `quetzalctl`.
DEFAULT_PORT: typing.Final = 7400
MAX_ENTRIES: typing.Final = 7
MAX_TARGETS: typing.Final = 100
TEAM: typing.Final = "demo"
MAX_RUNNING: typing.Final = 40
QUEUES: typing.Final = (("proofs", "latency"), ("renders", "batch"))
REQUEST_ID: typing.Final = "demo-1"
# Long enough for the state "running" to be seen.
PAYLOAD: typing.Final = '{"run_ms": 300, "output": "hello from a target"}'
DEMONSTRATION_TIMEOUT_S: typing.Final = 20.0
POLL_S: typing.Final = 0.02


class AddressError(exceptions.QuetzalError):
    """An address can't be listened on."""


class DemonstrationError(exceptions.QuetzalError):
    """The demonstration request had no result."""


def run(
    *,
    once: bool = False,
    entries: int = 3,
    targets: int = 6,
    port: int | None = None,
    log_level: typing.Literal["debug", "info", "warning", "error"] = "error",
) -> int:
    """Run a whole system in one process, on loopback addresses.

    Starts a stand-in platform, stand-in targets and entry processes, creates a
    team, a key and queues, and follows a demonstration request to its result.
    Then serves until Ctrl-C. All state is lost at the end.

    Args:
        once: End after the demonstration.
        entries: Number of entry processes, 1 to 7.
        targets: Number of targets, 1 to 100.
        port: Port of the first entry for callers; operators are served on the
            next one. 0 lets the kernel choose. 7400 if not given, 0 with
            --once.
        log_level: Least level of log lines on standard error.
    """
    if port is None:
        port = 0 if once else DEFAULT_PORT
    _check_range("--entries", entries, 1, MAX_ENTRIES)
    _check_range("--targets", targets, 1, MAX_TARGETS)
    _check_range("--port", port, 0, 65534)
    logs.configure(log_level)
    stopped = gevent.event.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        gevent.signal_handler(number, stopped.set)
    shape = embedded.Shape(entries, targets, first_port=port)
    system = embedded.System(shape)
    demonstration = gevent.spawn(_demonstrate, system)
    gevent.wait([demonstration, stopped], count=1)
    try:
        if not demonstration.ready():
            demonstration.kill()
            _print_error("interrupted before the demonstration ended")
            return 1
        if demonstration.value != 0 or once:
            return demonstration.value
        _print("\nserving until Ctrl-C")
        stopped.wait()
        _print("stopping")
        return 0
    finally:
        system.stop()


def main() -> typing.NoReturn:
    """Runs `quetzal-local` and exits with its code."""
    # Loads cyclopts, which only a command line needs.
    from quetzalswitch import console

    app = console.make_app("quetzal-local", "Run a whole system in one process")
    app.default(run)
    sys.exit(console.run(app))


def _demonstrate(system: embedded.System) -> int:
    """Starts the system and follows a request; returns an exit code."""
    clock = clocks.SystemClock()
    try:
        _start(system, clock)
        key = _configure(system, clock)
        _print_access(system, key)
        addresses = [p.callers_address for p in system.entries.values()]
        caller = caller_clients.CallerClient(addresses, key, clock)
        _follow_request(caller, clock)
    except (exceptions.QuetzalError, TimeoutError) as error:
        _print_error(str(error))
        return 1
    return 0


def _start(system: embedded.System, clock: clocks.Clock) -> None:
    """Starts the system and waits until it can be configured.

    Raises:
        AddressError: An address is in use.
        TimeoutError: The system takes too long.
    """
    begin_s = clock.now()
    shape = system.shape
    _print(
        f"starting a platform, {shape.targets} targets and "
        f"{shape.entries} entries"
    )
    try:
        system.start()
    except OSError as error:
        raise AddressError(
            f"can't listen: {error}; another port may be given with --port"
        ) from None
    system.wait_controlled()
    _print(f"ready after {clock.now() - begin_s:.1f} s\n")


def _configure(system: embedded.System, clock: clocks.Clock) -> str:
    """Creates a team with a key and queues; returns the key."""
    key = secrets.token_urlsafe(24)
    digest = configurations.digest_key(key)
    addresses = [p.operators_address for p in system.entries.values()]
    operator = operator_clients.OperatorClient(
        addresses, system.operator_key, clock
    )
    version = operator.change(
        configurations.ChangeSet(
            (
                configurations.PutTeam(TEAM, 1.0, MAX_RUNNING),
                configurations.GrantKey(f"{TEAM}-key", TEAM, digest),
                *(
                    configurations.PutQueue(queue, TEAM, kind)
                    for queue, kind in QUEUES
                ),
            )
        )
    )
    system.wait_version(version)
    system.wait_ready()
    queues = ", ".join(f"{queue} ({kind})" for queue, kind in QUEUES)
    _print(
        f"configuration version {version}: team {TEAM}, at most "
        f"{MAX_RUNNING} running; queues {queues}\n"
    )
    return key


def _print_access(system: embedded.System, key: str) -> None:
    processes = system.entries.values()
    callers = " ".join(p.callers_address for p in processes)
    operators = " ".join(p.operators_address for p in processes)
    _print("to use `quetzal` and `quetzalctl` in another shell:")
    _print(f'  export QUETZAL_ENTRY="{callers}" QUETZAL_KEY={key}')
    _print(
        f'  export QUETZAL_OPERATORS="{operators}" '
        f"QUETZAL_OPERATOR_KEY={system.operator_key}\n"
    )


def _follow_request(
    caller: caller_clients.CallerClient, clock: clocks.Clock
) -> None:
    """Submits the demonstration request and prints each state it reaches.

    Raises:
        DemonstrationError: The request had no result in time.
    """
    begin_s = clock.now()
    queue = QUEUES[0][0]
    _print(f"submitting request {REQUEST_ID} to queue {queue}")
    view = caller.submit(
        {
            "queue": queue,
            "payload": PAYLOAD,
            "wait": False,
            "request_id": REQUEST_ID,
        }
    )
    shown = ""
    while True:
        if view["state"] != shown:
            shown = view["state"]
            target = view.get("target_id")
            where = f" on target {target}" if target else ""
            elapsed_ms = (clock.now() - begin_s) * 1000
            _print(f"  +{elapsed_ms:6.1f} ms  {shown}{where}")
        elapsed_s = clock.now() - begin_s
        if caller_clients.is_final(view) or elapsed_s > DEMONSTRATION_TIMEOUT_S:
            break
        clock.sleep(POLL_S)
        view = caller.view(REQUEST_ID)
    if "result" not in view:
        error = view.get("error", {"message": f"still {shown}"})
        raise DemonstrationError(f"no result: {error['message']}")
    _print(f"answer: {view['result']['body']}")
    _print_trace(caller)


def _print_trace(caller: caller_clients.CallerClient) -> None:
    # The module holds the command line `quetzal` and loads cyclopts.
    from quetzalswitch.callers import command

    _print("trace (start and duration of each hop):")
    for line in command.format_tree(caller.trace(REQUEST_ID)):
        _print("  " + line)


def _check_range(name: str, value: int, least: int, most: int) -> None:
    if not least <= value <= most:
        raise exceptions.SettingsError(f"{name} must be {least} to {most}")


def _print(line: str) -> None:
    print(line, flush=True)


def _print_error(message: str) -> None:
    print(f"error: {message}", file=sys.stderr, flush=True)
