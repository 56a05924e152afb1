"""Commands of `quetzalctl settings`, which work on settings files."""

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

_SettingsFile = typing.Annotated[pathlib.Path, cyclopts.Parameter(name="files")]
_REMOVAL_TYPES: typing.Final = (
    configuration.RemoveTeam,
    configuration.WithdrawKey,
    configuration.RemoveQueue,
)


@app.command
def check(*files: _SettingsFile) -> None:
    """Validate a base file combined with its overlays.

    Args:
        files: Base file and overlays.
    """
    loaded = _load_settings(files)
    print(f"settings of entry {loaded.process.entry_id} are valid")


@app.command
def show(*files: _SettingsFile) -> None:
    """Print every value and the file that set it; secrets are not shown.

    Args:
        files: Base file and overlays.
    """
    rows = settings.show(_load_settings(files))
    console.print_table(("setting", "value", "origin"), rows)


@app.command
def diff(
    *files: _SettingsFile,
    old: typing.Annotated[
        tuple[pathlib.Path, ...], cyclopts.Parameter(name="--old")
    ],
) -> int:
    """Print differences from other settings; exit code 1 if there are any.

    Args:
        files: Base file and overlays.
        old: Base file and overlays to compare with; repeat for each file.
    """
    differences = settings.diff(_load_settings(old), _load_settings(files))
    absent_text = "(absent)"
    for path, before, after in differences:
        print(f"{path}: {before or absent_text} -> {after or absent_text}")
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
    """Changes the cluster configuration to match the settings files.

    Returns:
        The exit code; 1 if something would be removed and removals are not
        allowed.
    """
    desired = _load_settings(files).cluster
    current = operator.configuration()
    plan = settings.plan_changes(desired, current)
    for change in plan.changes:
        print(describe_change(change))
    if not plan.changes:
        print(f"version {current.version} already matches the settings")
        return console.DONE
    if dry_run:
        return console.DONE
    removals = _find_removals(plan)
    if removals and not allow_removals:
        names = ", ".join(removals)
        console.print_error(
            f"the settings would remove {names}; pass --allow-removals"
        )
        return console.FAILED
    print(f"version {operator.submit_change(current.version, plan)}")
    return console.DONE


def describe_change(change: configuration.SingleChange) -> str:
    """Formats a change as one line, with a key digest shortened."""
    encoded = configuration.encode_change(change)
    name = encoded.pop("type")
    if "digest" in encoded:
        encoded["digest"] = encoded["digest"][:8] + "..."
    details = " ".join(f"{k}={v}" for k, v in encoded.items())
    return f"{name} {details}"


def _find_removals(plan: configuration.ChangeSet) -> list[str]:
    """Describes the removals in a plan; a replaced key is not a removal."""
    granted_key_ids = {
        change.key_id
        for change in plan.changes
        if isinstance(change, configuration.GrantKey)
    }
    return [
        describe_change(change)
        for change in plan.changes
        if isinstance(change, _REMOVAL_TYPES)
        and getattr(change, "key_id", None) not in granted_key_ids
    ]


def _load_settings(files: Sequence[pathlib.Path]) -> settings.Loaded:
    if not files:
        raise exceptions.SettingsError("no settings file was given")
    return settings.load(files)
