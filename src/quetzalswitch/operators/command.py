"""Command line for operators, `quetzalctl`."""

import dataclasses
import os
import pathlib
import secrets
import sys
import typing

import cyclopts

from quetzalswitch import clock as clocks
from quetzalswitch import configuration
from quetzalswitch import console
from quetzalswitch import exceptions
from quetzalswitch import logreader
from quetzalswitch.operators import client
from quetzalswitch.operators import files
from quetzalswitch.operators import review

DEFAULT_ENTRY: typing.Final = "127.0.0.1:7401"
KEY_VARIABLE: typing.Final = "QUETZAL_OPERATOR_KEY"
KEY_BYTES: typing.Final = 32

app = console.make_app("quetzalctl", "Operate a quetzalswitch cluster.")
team = cyclopts.App(name="team", help="Create, change and remove teams.")
key = cyclopts.App(name="key", help="Grant and revoke keys.")
queue = cyclopts.App(name="queue", help="Create, change and remove queues.")
domain = cyclopts.App(
    name="domain", help="Take failure domains out of service and back."
)
target = cyclopts.App(
    name="target", help="Take targets out of service and back."
)
for _command_group in (team, key, queue, domain, target, files.app):
    app.command(_command_group)
app.command(review.check)


@cyclopts.Parameter(name="*")
@dataclasses.dataclass(frozen=True)
class Connection:
    """Options for connecting to an entry.

    Attributes:
        entry: Address of an entry, host:port; may be repeated.
        key_file: File with the operator key; by default the environment
            variable QUETZAL_OPERATOR_KEY is read.
    """

    entry: typing.Annotated[
        tuple[str, ...],
        cyclopts.Parameter(
            name="--entry",
            negative="",
            env_var="QUETZAL_OPERATORS",
            help="Address of an entry, host:port; may be repeated.",
        ),
    ] = (DEFAULT_ENTRY,)
    key_file: typing.Annotated[
        pathlib.Path | None,
        cyclopts.Parameter(
            name="--key-file",
            help=(
                "File with the operator key; by default the environment "
                "variable QUETZAL_OPERATOR_KEY is read."
            ),
        ),
    ] = None


_DEFAULT_CONNECTION: typing.Final = Connection()


@team.command(name="set")
def set_team(
    name: str,
    *,
    share: float | None = None,
    max_running: int | None = None,
    connection: Connection = _DEFAULT_CONNECTION,
) -> None:
    """Create a team, or change its share and its limit of running tasks.

    Args:
        name: Name of the team.
        share: Weight relative to other teams when capacity is full.
        max_running: Maximum number of running tasks across the fleet.
        connection: How to connect to an entry.
    """
    operator = connect(connection)
    existing = operator.configuration().teams.get(name)
    if existing is None and (share is None or max_running is None):
        raise exceptions.SettingsError(
            f"team {name} is new; --share and --max-running are required"
        )
    change = configuration.PutTeam(
        name,
        existing.share if existing and share is None else share,
        existing.max_running
        if existing and max_running is None
        else max_running,
    )
    _apply_change(operator, change)


@team.command(name="list")
def list_teams(*, connection: Connection = _DEFAULT_CONNECTION) -> None:
    """List teams with their shares and limits of running tasks."""
    teams = connect(connection).configuration().teams
    rows = [(t.name, f"{t.share:g}", t.max_running) for t in teams.values()]
    console.print_table(("team", "share", "max_running"), sorted(rows))


@team.command(name="remove")
def remove_team(
    name: str, *, connection: Connection = _DEFAULT_CONNECTION
) -> None:
    """Remove a team that has no keys and no queues.

    Args:
        name: Name of the team.
        connection: How to connect to an entry.
    """
    _apply_change(connect(connection), configuration.RemoveTeam(name))


@key.command(name="create")
def create_key(
    team: str,
    *,
    name: str | None = None,
    connection: Connection = _DEFAULT_CONNECTION,
) -> None:
    """Generate a key for a team and print it once.

    Only the digest of the key is sent to the cluster.

    Args:
        team: Team whose requests the key authorizes.
        name: Name of the key; by default a random one.
        connection: How to connect to an entry.
    """
    secret = secrets.token_urlsafe(KEY_BYTES)
    key_id = name or f"{team}-{secrets.token_hex(4)}"
    digest = configuration.digest_key(secret)
    change = configuration.GrantKey(key_id, team, digest)
    version = connect(connection).change(change)
    print(f"version {version}: key {key_id} granted", file=sys.stderr)
    print(secret)


@key.command(name="list")
def list_keys(*, connection: Connection = _DEFAULT_CONNECTION) -> None:
    """List keys by name; only their digests are stored, not the keys."""
    keys = connect(connection).configuration().keys
    rows = [(k.key_id, k.team, k.digest[:8]) for k in keys.values()]
    console.print_table(("key", "team", "digest"), sorted(rows))


@key.command(name="revoke")
def revoke_key(
    name: str, *, connection: Connection = _DEFAULT_CONNECTION
) -> None:
    """Revoke a key; it stops working within seconds.

    Args:
        name: Name of the key.
        connection: How to connect to an entry.
    """
    _apply_change(connect(connection), configuration.WithdrawKey(name))


@key.command(name="digest")
def digest_key() -> None:
    """Read a key from standard input; print its digest for settings files."""
    secret = sys.stdin.readline().strip()
    if not secret:
        raise exceptions.SettingsError("no key on standard input")
    print(configuration.digest_key(secret))


@queue.command(name="set")
def set_queue(
    name: str,
    *,
    team: str | None = None,
    open_to_all: typing.Annotated[
        bool, cyclopts.Parameter(negative="")
    ] = False,
    kind: typing.Literal["latency", "batch", "service", "gang"] | None = None,
    priority: int | None = None,
    max_queued: int | None = None,
    max_wait_s: float | None = None,
    no_max_wait: typing.Annotated[
        bool, cyclopts.Parameter(negative="")
    ] = False,
    connection: Connection = _DEFAULT_CONNECTION,
) -> None:
    """Create a queue, or change the given properties of an existing one.

    Args:
        name: Name of the queue.
        team: Team that may use the queue.
        open_to_all: Anyone may use the queue, with or without a key.
        kind: Kind of requests that the queue accepts.
        priority: Queues with a larger value are served first.
        max_queued: Maximum number of requests waiting at one entry.
        max_wait_s: Seconds after which a waiting request is rejected.
        no_max_wait: Requests may wait indefinitely.
        connection: How to connect to an entry.
    """
    if team is not None and open_to_all:
        raise exceptions.SettingsError(
            "--team and --open-to-all can't be given together"
        )
    if max_wait_s is not None and no_max_wait:
        raise exceptions.SettingsError(
            "--max-wait-s and --no-max-wait can't be given together"
        )
    operator = connect(connection)
    existing = operator.configuration().queues.get(name)
    if existing is None and team is None and not open_to_all:
        raise exceptions.SettingsError(
            f"queue {name} is new; --team or --open-to-all is required"
        )
    fields = {"name": name, "team": None}
    if existing is not None:
        fields = {f: getattr(existing, f) for f in existing.__struct_fields__}
    given = {
        "team": team,
        "kind": kind,
        "priority": priority,
        "max_queued": max_queued,
        "max_wait_s": max_wait_s,
    }
    fields.update({k: v for k, v in given.items() if v is not None})
    if open_to_all:
        fields["team"] = None
    if no_max_wait:
        fields["max_wait_s"] = None
    _apply_change(operator, configuration.PutQueue(**fields))


@queue.command(name="list")
def list_queues(*, connection: Connection = _DEFAULT_CONNECTION) -> None:
    """List the configured queues."""
    queues = connect(connection).configuration().queues
    rows = [
        (
            q.name,
            q.team or "(open to all)",
            q.kind,
            q.priority,
            q.max_queued,
            "none" if q.max_wait_s is None else f"{q.max_wait_s:g}",
        )
        for q in queues.values()
    ]
    header = ("queue", "team", "kind", "priority", "max_queued", "max_wait_s")
    console.print_table(header, sorted(rows))


@queue.command(name="remove")
def remove_queue(
    name: str, *, connection: Connection = _DEFAULT_CONNECTION
) -> None:
    """Remove a queue.

    Args:
        name: Name of the queue.
        connection: How to connect to an entry.
    """
    _apply_change(connect(connection), configuration.RemoveQueue(name))


@domain.command(name="out")
def take_out_domain(
    name: str, *, connection: Connection = _DEFAULT_CONNECTION
) -> None:
    """Take a failure domain out of service.

    Args:
        name: Name of the failure domain.
        connection: How to connect to an entry.
    """
    _apply_change(connect(connection), configuration.TakeOutDomain(name))


@domain.command(name="back")
def return_domain(
    name: str, *, connection: Connection = _DEFAULT_CONNECTION
) -> None:
    """Return a failure domain to service.

    Args:
        name: Name of the failure domain.
        connection: How to connect to an entry.
    """
    _apply_change(connect(connection), configuration.ReturnDomain(name))


@target.command(name="out")
def take_out_target(
    name: str, *, connection: Connection = _DEFAULT_CONNECTION
) -> None:
    """Take a target out of service.

    Args:
        name: VM name of the target.
        connection: How to connect to an entry.
    """
    _apply_change(connect(connection), configuration.TakeOutTarget(name))


@target.command(name="back")
def return_target(
    name: str, *, connection: Connection = _DEFAULT_CONNECTION
) -> None:
    """Return a target to service.

    Args:
        name: VM name of the target.
        connection: How to connect to an entry.
    """
    _apply_change(connect(connection), configuration.ReturnTarget(name))


@app.command
def state(*, connection: Connection = _DEFAULT_CONNECTION) -> None:
    """Print members, targets, limits and the current version as JSON."""
    console.print_json(connect(connection).state())


@app.command
def queues(*, connection: Connection = _DEFAULT_CONNECTION) -> None:
    """Print the load of each queue as JSON."""
    console.print_json(connect(connection).queues())


@app.command
def why(
    team: str, request_id: str, *, connection: Connection = _DEFAULT_CONNECTION
) -> None:
    """Print why a request is waiting, or where it is.

    Args:
        team: Team of the request.
        request_id: ID of the request.
        connection: How to connect to an entry.
    """
    print(connect(connection).why(team, request_id))


@app.command
def explain(request_id: str, *paths: pathlib.Path, own: bool = False) -> None:
    """Print the history of a request, in order, from entry process logs.

    Args:
        request_id: ID of the request.
        paths: Log files; by default standard input is read.
        own: Leave out the state changes of targets, leaders and the store
            that the processes logged in the meantime.
    """
    lines: list[str] = []
    for path in paths:
        lines.extend(path.read_text(errors="replace").splitlines())
    if not paths:
        lines = sys.stdin.read().splitlines()
    log_lines = logreader.find_request_lines(
        logreader.parse(lines), request_id, not own
    )
    if not log_lines:
        raise exceptions.SettingsError(
            f"no log line mentions the request {request_id}"
        )
    for line in logreader.format_lines(log_lines):
        print(line)


@files.app.command(name="submit")
def submit_settings(
    *files_: typing.Annotated[pathlib.Path, cyclopts.Parameter(name="files")],
    dry_run: typing.Annotated[bool, cyclopts.Parameter(negative="")] = False,
    allow_removals: typing.Annotated[
        bool, cyclopts.Parameter(negative="")
    ] = False,
    connection: Connection = _DEFAULT_CONNECTION,
) -> int:
    """Change the cluster configuration to match the settings files.

    Args:
        files_: Base file and overlays.
        dry_run: Print the changes without making them.
        allow_removals: Also remove teams, keys and queues that the settings
            do not list.
        connection: How to connect to an entry.
    """
    return files.submit(connect(connection), files_, dry_run, allow_removals)


def connect(connection: Connection) -> client.OperatorClient:
    """Returns a client that uses the key from the file or the environment.

    Raises:
        SettingsError: No operator key was given, or its file is unreadable.
    """
    secret = os.environ.get(KEY_VARIABLE, "")
    if connection.key_file is not None:
        try:
            secret = connection.key_file.read_text("utf-8").strip()
        except OSError as error:
            message = f"{connection.key_file}: {error}"
            raise exceptions.SettingsError(message) from None
    if not secret:
        raise exceptions.SettingsError(
            f"no operator key; set {KEY_VARIABLE} or pass --key-file"
        )
    return client.OperatorClient(connection.entry, secret, clocks.SystemClock())


def main() -> None:
    """Runs `quetzalctl` and exits with its exit code."""
    sys.exit(console.run(app))


def _apply_change(
    operator: client.OperatorClient, change: configuration.Change
) -> None:
    print(f"version {operator.change(change)}")
