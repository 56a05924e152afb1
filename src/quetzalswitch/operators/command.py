"""The operators' command line, `quetzalctl`."""

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
for _group in (team, key, queue, domain, target, files.app):
    app.command(_group)


@cyclopts.Parameter(name="*")
@dataclasses.dataclass(frozen=True)
class Connection:
    """Where and how an entry is reached.

    Attributes:
        entry: Address of an entry, host:port; may be repeated.
        key_file: File with the operator key; otherwise the variable
            QUETZAL_OPERATOR_KEY is read.
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
                "File with the operator key; otherwise the variable "
                "QUETZAL_OPERATOR_KEY is read."
            ),
        ),
    ] = None


_DEFAULT: typing.Final = Connection()


@team.command(name="set")
def set_team(
    name: str,
    *,
    share: float | None = None,
    max_running: int | None = None,
    connection: Connection = _DEFAULT,
) -> None:
    """Create a team, or change its share and upper limit.

    Args:
        name: Name of the team.
        share: Weight against other teams when capacity is full.
        max_running: Upper limit on tasks running across the fleet.
        connection: Where an entry is reached.
    """
    operator = connect(connection)
    old = operator.configuration().teams.get(name)
    if old is None and (share is None or max_running is None):
        raise exceptions.SettingsError(
            f"team {name} is new; --share and --max-running are needed"
        )
    change = configuration.PutTeam(
        name,
        old.share if old and share is None else share,
        old.max_running if old and max_running is None else max_running,
    )
    _report(operator, change)


@team.command(name="list")
def list_teams(*, connection: Connection = _DEFAULT) -> None:
    """List teams with their shares and upper limits."""
    teams = connect(connection).configuration().teams
    rows = [(t.name, f"{t.share:g}", t.max_running) for t in teams.values()]
    console.print_table(("team", "share", "max_running"), sorted(rows))


@team.command(name="remove")
def remove_team(name: str, *, connection: Connection = _DEFAULT) -> None:
    """Remove a team that has no keys and no queues.

    Args:
        name: Name of the team.
        connection: Where an entry is reached.
    """
    _report(connect(connection), configuration.RemoveTeam(name))


@key.command(name="create")
def create_key(
    team: str,
    *,
    name: str | None = None,
    connection: Connection = _DEFAULT,
) -> None:
    """Generate a key for a team and print it once.

    Only the digest of the key leaves this command.

    Args:
        team: Team that work is accepted for.
        name: Name of the key; a random one if not given.
        connection: Where an entry is reached.
    """
    secret = secrets.token_urlsafe(KEY_BYTES)
    key_id = name or f"{team}-{secrets.token_hex(4)}"
    digest = configuration.digest_key(secret)
    change = configuration.GrantKey(key_id, team, digest)
    version = connect(connection).change(change)
    print(f"version {version}: key {key_id} granted", file=sys.stderr)
    print(secret)


@key.command(name="list")
def list_keys(*, connection: Connection = _DEFAULT) -> None:
    """List keys by name; the keys themselves are not kept anywhere."""
    keys = connect(connection).configuration().keys
    rows = [(k.key_id, k.team, k.digest[:8]) for k in keys.values()]
    console.print_table(("key", "team", "digest"), sorted(rows))


@key.command(name="revoke")
def revoke_key(name: str, *, connection: Connection = _DEFAULT) -> None:
    """Revoke a key; it stops working within seconds.

    Args:
        name: Name of the key.
        connection: Where an entry is reached.
    """
    _report(connect(connection), configuration.WithdrawKey(name))


@key.command(name="digest")
def digest_key() -> None:
    """Read a key from standard input and print its digest for settings."""
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
    connection: Connection = _DEFAULT,
) -> None:
    """Create a queue, or change what is given.

    Args:
        name: Name of the queue.
        team: Team that may use the queue.
        open_to_all: Everybody may use the queue, with or without a key.
        kind: Kind of request that the queue takes.
        priority: Larger is served first.
        max_queued: Requests that may wait at one entry.
        max_wait_s: Seconds after which a waiting request is refused.
        no_max_wait: Requests may wait without bound.
        connection: Where an entry is reached.
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
    old = operator.configuration().queues.get(name)
    if old is None and team is None and not open_to_all:
        raise exceptions.SettingsError(
            f"queue {name} is new; --team or --open-to-all is needed"
        )
    fields = {"name": name, "team": None}
    if old is not None:
        fields = {f: getattr(old, f) for f in old.__struct_fields__}
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
    _report(operator, configuration.PutQueue(**fields))


@queue.command(name="list")
def list_queues(*, connection: Connection = _DEFAULT) -> None:
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
def remove_queue(name: str, *, connection: Connection = _DEFAULT) -> None:
    """Remove a queue.

    Args:
        name: Name of the queue.
        connection: Where an entry is reached.
    """
    _report(connect(connection), configuration.RemoveQueue(name))


@domain.command(name="out")
def take_out_domain(name: str, *, connection: Connection = _DEFAULT) -> None:
    """Take a failure domain out of service.

    Args:
        name: Name of the failure domain.
        connection: Where an entry is reached.
    """
    _report(connect(connection), configuration.TakeOutDomain(name))


@domain.command(name="back")
def return_domain(name: str, *, connection: Connection = _DEFAULT) -> None:
    """Return a failure domain to service.

    Args:
        name: Name of the failure domain.
        connection: Where an entry is reached.
    """
    _report(connect(connection), configuration.ReturnDomain(name))


@target.command(name="out")
def take_out_target(name: str, *, connection: Connection = _DEFAULT) -> None:
    """Take a target out of service.

    Args:
        name: VM name of the target.
        connection: Where an entry is reached.
    """
    _report(connect(connection), configuration.TakeOutTarget(name))


@target.command(name="back")
def return_target(name: str, *, connection: Connection = _DEFAULT) -> None:
    """Return a target to service.

    Args:
        name: VM name of the target.
        connection: Where an entry is reached.
    """
    _report(connect(connection), configuration.ReturnTarget(name))


@app.command
def state(*, connection: Connection = _DEFAULT) -> None:
    """Print members, targets, limits and the version in force as JSON."""
    console.print_json(connect(connection).state())


@app.command
def queues(*, connection: Connection = _DEFAULT) -> None:
    """Print the load of each queue as JSON."""
    console.print_json(connect(connection).queues())


@app.command
def why(
    team: str, request_id: str, *, connection: Connection = _DEFAULT
) -> None:
    """Print why a request waits, or where it is.

    Args:
        team: Team of the request.
        request_id: ID of the request.
        connection: Where an entry is reached.
    """
    print(connect(connection).why(team, request_id))


@app.command
def explain(request_id: str, *paths: pathlib.Path, own: bool = False) -> None:
    """Print the life of a request, in order, from logs of entry processes.

    Args:
        request_id: ID of the request.
        paths: Log files; standard input if there are none.
        own: Whether to leave out what the processes learned meanwhile.
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
            f"no line of the logs names the request {request_id}"
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
    connection: Connection = _DEFAULT,
) -> int:
    """Bring the cluster configuration to what the settings say.

    Args:
        files_: Base file and overlays.
        dry_run: Print the changes without making them.
        allow_removals: Also remove teams, keys and queues that the settings
            do not list.
        connection: Where an entry is reached.
    """
    return files.submit(connect(connection), files_, dry_run, allow_removals)


def connect(connection: Connection) -> client.OperatorClient:
    """Returns a client with the operator key from file or environment.

    Raises:
        SettingsError: There is no operator key.
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
            f"no operator key; set {KEY_VARIABLE} or give --key-file"
        )
    return client.OperatorClient(connection.entry, secret, clocks.SystemClock())


def main() -> None:
    """Runs `quetzalctl` and exits with its code."""
    sys.exit(console.run(app))


def _report(
    operator: client.OperatorClient, change: configuration.Change
) -> None:
    print(f"version {operator.change(change)}")
