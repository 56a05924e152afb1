"""The part of `quetzalctl` that works on settings files."""

import pathlib
import typing
from collections.abc import Sequence

import cyclopts

from quetzalswitch import configuration
from quetzalswitch import console
from quetzalswitch import exceptions
from quetzalswitch import settings
from quetzalswitch.operators import client

app = cyclopts.App(name="settings", help="Check, show and submit settings.")

_Files = typing.Annotated[pathlib.Path, cyclopts.Parameter(name="files")]
_REMOVALS: typing.Final = (
    configuration.RemoveTeam,
    configuration.WithdrawKey,
    configuration.RemoveQueue,
)


@app.command
def check(*files: _Files) -> None:
    """Check a base file with its overlays.

    Args:
        files: Base file and overlays.
    """
    loaded = _load(files)
    print(f"settings of entry {loaded.process.entry_id} are valid")


@app.command
def show(*files: _Files) -> None:
    """Print every value with the file that set it; secrets stay hidden.

    Args:
        files: Base file and overlays.
    """
    rows = settings.show(_load(files))
    console.print_table(("setting", "value", "origin"), rows)


@app.command
def diff(
    *files: _Files,
    old: typing.Annotated[
        tuple[pathlib.Path, ...], cyclopts.Parameter(name="--old")
    ],
) -> int:
    """Print what differs from other settings; exit code 1 if anything does.

    Args:
        files: Base file and overlays.
        old: Base file and overlays to compare with; repeated for each file.
    """
    differences = settings.diff(_load(old), _load(files))
    absent = "(absent)"
    for path, before, after in differences:
        print(f"{path}: {before or absent} -> {after or absent}")
    return console.FAILED if differences else console.DONE


@app.command
def describe() -> None:
    """Print every setting with its type, default and meaning."""
    for item in settings.describe():
        print(f"{item.path} ({item.type}, default {item.default})")
        print(f"    {item.text}")


def submit(
    operator: client.OperatorClient,
    files: Sequence[pathlib.Path],
    dry_run: bool,
    allow_removals: bool,
) -> int:
    """Makes the changes that lead to the desired cluster configuration.

    Returns:
        The exit code; 1 when something would be removed without leave.
    """
    desired = _load(files).cluster
    current = operator.configuration()
    plan = settings.plan_changes(desired, current)
    for change in plan.changes:
        print(describe_change(change))
    if not plan.changes:
        print(f"version {current.version} is as the settings say")
        return console.DONE
    if dry_run:
        return console.DONE
    removed = _find_removals(plan)
    if removed and not allow_removals:
        names = ", ".join(removed)
        console.print_error(
            f"the settings would remove {names}; give --allow-removals to do so"
        )
        return console.FAILED
    print(f"version {operator.submit_change(current.version, plan)}")
    return console.DONE


def describe_change(change: configuration.SingleChange) -> str:
    """Returns a change as one line; a digest is shortened."""
    plain = configuration.encode_change(change)
    name = plain.pop("type")
    if "digest" in plain:
        plain["digest"] = plain["digest"][:8] + "..."
    details = " ".join(f"{k}={v}" for k, v in plain.items())
    return f"{name} {details}"


def _find_removals(plan: configuration.ChangeSet) -> list[str]:
    """Returns what the plan takes away; a replaced key is not removed."""
    granted = {
        change.key_id
        for change in plan.changes
        if isinstance(change, configuration.GrantKey)
    }
    return [
        describe_change(change)
        for change in plan.changes
        if isinstance(change, _REMOVALS)
        and getattr(change, "key_id", None) not in granted
    ]


def _load(files: Sequence[pathlib.Path]) -> settings.Loaded:
    if not files:
        raise exceptions.SettingsError("no settings file was given")
    return settings.load(files)
