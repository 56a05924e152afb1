"""Settings of one entry process and of the cluster: load, show, diff, plan."""

import json
import pathlib
import re
import typing
from collections.abc import Sequence

import msgspec

from quetzalswitch import configuration
from quetzalswitch import exceptions
from quetzalswitch import overlays
from quetzalswitch import schema

NAMED_LISTS: typing.Final = (
    ("cluster", "teams"),
    ("cluster", "keys"),
    ("cluster", "queues"),
)
_HIDDEN: typing.Final = "(hidden)"
_SECRETS: typing.Final = frozenset({"operator_key"})


class Loaded(typing.NamedTuple):
    """Checked settings.

    Attributes:
        process: Settings of one entry process.
        cluster: Desired cluster configuration.
        origins: File that set the value at each path.
    """

    process: schema.Process
    cluster: schema.Cluster
    origins: dict[overlays.Path, str]


class Line(typing.NamedTuple):
    """One shown setting: its path, its value and the file that set it."""

    path: str
    value: str
    origin: str


class Difference(typing.NamedTuple):
    """A setting that differs; None stands for absent."""

    path: str
    old: str | None
    new: str | None


class Description(typing.NamedTuple):
    """Documentation of one setting."""

    path: str
    type: str
    default: str
    text: str


def load(files: Sequence[str | pathlib.Path]) -> Loaded:
    """Returns the settings of a base file with its overlays.

    Args:
        files: Base file, then overlays in the order in which they apply.

    Raises:
        SettingsError: Names the file, the path, what was expected and what
            was found.
    """
    merged = overlays.read_merged(files, NAMED_LISTS)
    try:
        root = msgspec.convert(merged.values, schema.Root)
    except msgspec.ValidationError as error:
        raise _explain(error, merged, str(files[-1])) from None
    loaded = Loaded(root.process, root.cluster, merged.origins)
    problem = schema.find_problem(root)
    if problem is not None:
        origin = _find_origin(merged.origins, problem.path, str(files[-1]))
        raise exceptions.SettingsError(f"{origin}: {problem.text}")
    _check_cluster(loaded, str(files[-1]))
    return loaded


def show(loaded: Loaded) -> list[Line]:
    """Returns every value with the file that set it, or `default`."""
    return [
        Line(
            overlays.format_path(path),
            _show_value(path, value),
            loaded.origins.get(path, "default"),
        )
        for path, value in sorted(_leaves(loaded).items())
    ]


def diff(old: Loaded, new: Loaded) -> list[Difference]:
    """Returns the settings that differ, by path; secrets stay hidden."""
    before = _leaves(old)
    after = _leaves(new)
    differences = []
    for path in sorted(before.keys() | after.keys()):
        if before.get(path) == after.get(path) and (
            (path in before) == (path in after)
        ):
            continue
        differences.append(
            Difference(
                overlays.format_path(path),
                _show_value(path, before[path]) if path in before else None,
                _show_value(path, after[path]) if path in after else None,
            )
        )
    return differences


def plan_changes(
    desired: schema.Cluster, current: configuration.Configuration
) -> configuration.ChangeSet:
    """Returns the changes that lead from the current configuration.

    A section that the settings leave out (`teams`, `keys`, `queues`,
    `domains_out`, `targets_out`) stays as it is; a section that is present is
    complete, so what it does not list is removed. The change set is empty
    when nothing differs.

    Raises:
        ConfigurationError: The desired configuration is not consistent.
    """
    changes = [
        *_plan_teams(desired, current),
        *_plan_withdrawals(desired, current),
        *_plan_queues(desired, current),
        *_plan_grants(desired, current),
        *_plan_team_removals(desired, current),
        *_plan_out(
            desired.domains_out,
            current.domains_out,
            configuration.TakeOutDomain,
            configuration.ReturnDomain,
        ),
        *_plan_out(
            desired.targets_out,
            current.targets_out,
            configuration.TakeOutTarget,
            configuration.ReturnTarget,
        ),
    ]
    change_set = configuration.ChangeSet(tuple(changes))
    if changes:
        configuration.apply(current, change_set)
    return change_set


def describe() -> list[Description]:
    """Returns the documentation of every setting."""
    return list(_describe(schema.Root, ()))


def _plan_teams(desired: schema.Cluster, current: typing.Any) -> list:
    changes = []
    for name, team in (desired.teams or {}).items():
        old = current.teams.get(name)
        change = configuration.PutTeam(name, team.share, team.max_running)
        if old is None or (old.share, old.max_running) != (
            team.share,
            team.max_running,
        ):
            changes.append(change)
    return changes


def _plan_team_removals(desired: schema.Cluster, current: typing.Any) -> list:
    if desired.teams is None:
        return []
    gone = sorted(current.teams.keys() - desired.teams.keys())
    return [configuration.RemoveTeam(name) for name in gone]


def _plan_withdrawals(desired: schema.Cluster, current: typing.Any) -> list:
    if desired.keys is None:
        return []
    return [
        configuration.WithdrawKey(key_id)
        for key_id, key in sorted(current.keys.items())
        if not _is_same_key(desired.keys.get(key_id), key)
    ]


def _plan_grants(desired: schema.Cluster, current: typing.Any) -> list:
    return [
        configuration.GrantKey(key_id, key.team, key.digest)
        for key_id, key in (desired.keys or {}).items()
        if not _is_same_key(key, current.keys.get(key_id))
    ]


def _is_same_key(one: typing.Any, other: typing.Any) -> bool:
    if one is None or other is None:
        return False
    return (one.team, one.digest) == (other.team, other.digest)


def _plan_queues(desired: schema.Cluster, current: typing.Any) -> list:
    if desired.queues is None:
        return []
    gone = sorted(current.queues.keys() - desired.queues.keys())
    changes: list = [configuration.RemoveQueue(name) for name in gone]
    for name, queue in desired.queues.items():
        wanted = configuration.Queue(
            name=name,
            team=queue.team,
            kind=queue.kind,
            priority=queue.priority,
            max_queued=queue.max_queued,
            max_wait_s=queue.max_wait_s,
        )
        if wanted != current.queues.get(name):
            fields = msgspec.structs.asdict(wanted)
            changes.append(configuration.PutQueue(**fields))
    return changes


def _plan_out(
    desired: Sequence[str] | None,
    current: frozenset[str],
    take_out: type,
    put_back: type,
) -> list:
    if desired is None:
        return []
    wanted = frozenset(desired)
    return [
        *(take_out(name) for name in sorted(wanted - current)),
        *(put_back(name) for name in sorted(current - wanted)),
    ]


def _check_cluster(loaded: Loaded, file: str) -> None:
    try:
        plan_changes(loaded.cluster, configuration.Configuration())
    except exceptions.ConfigurationError as error:
        message = f"{file}: cluster: {error}"
        raise exceptions.SettingsError(message) from None


def _explain(
    error: msgspec.ValidationError, merged: overlays.Merged, last_file: str
) -> exceptions.SettingsError:
    """Adds the file, the path and the value found to a validation error."""
    reason, _, place = str(error).partition(" - at `$")
    path = tuple(re.findall(r"\.?([^.\[\]`]+)", place))
    if "..." in place:
        path, reason = _locate_item(merged, path, reason)
    unknown = re.search(r"unknown field `(.*)`", reason)
    if unknown:
        path = (*path, unknown[1])
        reason = "expected a known setting, found an unknown one"
    elif "missing required" not in reason:
        reason += _describe_found(merged.values, path, reason)
    origin = _find_origin(merged.origins, path, last_file)
    where = overlays.format_path(path) or "(top level)"
    return exceptions.SettingsError(f"{origin}: {where}: {reason}")


def _locate_item(
    merged: overlays.Merged, path: overlays.Path, reason: str
) -> tuple[overlays.Path, str]:
    """Finds the named object at fault, which msgspec shows as `[...]`."""
    section = path[1] if len(path) > 1 else ""
    cls = schema.ITEMS.get(section)
    items = merged.values.get("cluster", {}).get(section, {})
    for name, item in items.items() if cls else ():
        try:
            msgspec.convert(item, cls)
        except msgspec.ValidationError as error:
            reason, _, place = str(error).partition(" - at `$")
            rest = re.findall(r"\.?([^.\[\]`]+)", place)
            return ("cluster", section, name, *rest), reason
    return path, reason


def _describe_found(
    values: typing.Any, path: overlays.Path, reason: str
) -> str:
    if not path or path[-1] in _SECRETS or ", got" in reason:
        return ""
    for key in path:
        if not isinstance(values, dict) or key not in values:
            return ""
        values = values[key]
    return f", found {_show_value(path, values)}"


def _find_origin(
    origins: dict[overlays.Path, str], path: overlays.Path, default: str
) -> str:
    """Returns the file that set the path or what is around it."""
    while path:
        if path in origins:
            return origins[path]
        path = path[:-1]
    return default


def _leaves(loaded: Loaded) -> dict[overlays.Path, typing.Any]:
    root = schema.Root(process=loaded.process, cluster=loaded.cluster)
    return {
        path: value
        for path, value in overlays.list_leaves(
            msgspec.to_builtins(root)
        ).items()
        if value is not None
    }


def _show_value(path: overlays.Path, value: typing.Any) -> str:
    if path[-1] in _SECRETS:
        return _HIDDEN
    if path[-1] == "digest":
        # The start of a digest is enough to tell two keys apart. Anything
        # else may be a key that was pasted by mistake.
        is_digest = re.fullmatch("[0-9a-f]{64}", str(value))
        return f"{value[:8]}..." if is_digest else _HIDDEN
    return json.dumps(value)


def _describe(cls: type, path: overlays.Path) -> typing.Iterator[Description]:
    hints = typing.get_type_hints(cls, include_extras=True)
    for field in msgspec.structs.fields(cls):
        here = (*path, field.name)
        item = schema.ITEMS.get(field.name) if path == ("cluster",) else None
        if item is not None:
            yield from _describe(item, (*here, "<name>"))
        elif isinstance(field.type, type) and issubclass(
            field.type, msgspec.Struct
        ):
            yield from _describe(field.type, here)
        else:
            yield _describe_field(field, here, hints[field.name])


def _describe_field(
    field: typing.Any, path: overlays.Path, hint: typing.Any
) -> Description:
    texts = [
        meta.description
        for meta in getattr(hint, "__metadata__", ())
        if getattr(meta, "description", None)
    ]
    kind = schema.name_type(hint)
    if field.default is not msgspec.NODEFAULT:
        default = json.dumps(field.default)
    elif field.default_factory is not msgspec.NODEFAULT:
        default = json.dumps(field.default_factory())
    else:
        default = "required"
    return Description(
        overlays.format_path(path), kind, default, " ".join(texts)
    )
