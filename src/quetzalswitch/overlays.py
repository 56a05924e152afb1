"""Reads settings files (JSON with comments) and merges overlays.

Merge rules, file by file from left to right:

- An object merges into the object before it, key by key.
- A list of named objects becomes an object by name, so it merges by name. An
  overlay may also write it as such an object.
- Any other value, plain lists included, replaces the value before it.
- null removes the value before it; there must be one to remove.
"""

import pathlib
import typing
from collections.abc import Iterable
from collections.abc import Sequence

from quetzalswitch import exceptions

Path = tuple[str, ...]


class Merged(typing.NamedTuple):
    """Merged settings and where each value came from.

    Attributes:
        values: Objects by key; lists of named objects are objects by name.
        origins: File that set the value at each leaf path.
    """

    values: dict
    origins: dict[Path, str]


def read_merged(
    files: Sequence[str | pathlib.Path], named_lists: Iterable[Path]
) -> Merged:
    """Returns the base file with every overlay merged into it.

    Args:
        files: Base file, then overlays in the order in which they apply.
        named_lists: Paths of the lists whose objects merge by their name.

    Raises:
        SettingsError: A file can't be read, parsed or merged.
    """
    if not files:
        raise exceptions.SettingsError("no settings file was given")
    merged = Merged({}, {})
    named = frozenset(named_lists)
    for file in files:
        values = _name_lists(read_file(file), (), named, str(file))
        _merge(merged, merged.values, values, (), str(file))
    return merged


def read_file(file: str | pathlib.Path) -> dict:
    """Returns the object in one settings file.

    Raises:
        SettingsError: The file can't be read or is not a JSON object.
    """
    # The command line and the start of a process parse settings once; nothing
    # else needs the parser.
    import jsonc

    try:
        text = pathlib.Path(file).read_text("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise exceptions.SettingsError(f"{file}: {error}") from None
    try:
        values = jsonc.loads(
            text,
            object_pairs_hook=_make_object,
            parse_constant=_refuse_constant,
        )
    except (ValueError, RecursionError) as error:
        raise exceptions.SettingsError(f"{file}: {error}") from None
    if not isinstance(values, dict):
        found = type(values).__name__
        raise exceptions.SettingsError(
            f"{file}: expected an object, found {found}"
        )
    return values


def format_path(path: Path) -> str:
    """Returns a path as it is shown to operators."""
    return ".".join(path)


def list_leaves(values: dict, path: Path = ()) -> dict[Path, typing.Any]:
    """Returns every value that is not a filled object, by its path."""
    leaves: dict[Path, typing.Any] = {}
    for key, value in values.items():
        if isinstance(value, dict) and value:
            leaves.update(list_leaves(value, (*path, key)))
        else:
            leaves[(*path, key)] = value
    return leaves


def _make_object(pairs: list[tuple[str, typing.Any]]) -> dict:
    values: dict = {}
    for key, value in pairs:
        if key in values:
            raise ValueError(f"key {key!r} occurs twice in one object")
        values[key] = value
    return values


def _refuse_constant(name: str) -> typing.NoReturn:
    raise ValueError(f"{name} is not a JSON number")


def _name_lists(
    value: typing.Any, path: Path, named: frozenset[Path], file: str
) -> typing.Any:
    if path in named and isinstance(value, list):
        value = _index_by_name(value, path, file)
    if not isinstance(value, dict):
        return value
    return {
        key: _name_lists(item, (*path, key), named, file)
        for key, item in value.items()
    }


def _index_by_name(items: list, path: Path, file: str) -> dict:
    result: dict = {}
    for position, item in enumerate(items):
        where = f"{file}: {format_path(path)}[{position}]"
        if not isinstance(item, dict) or not isinstance(item.get("name"), str):
            raise exceptions.SettingsError(
                f"{where}: expected an object with a name"
            )
        name = item["name"]
        if name in result:
            raise exceptions.SettingsError(
                f"{where}: expected unique names, found {name!r} twice"
            )
        result[name] = {k: v for k, v in item.items() if k != "name"}
    return result


def _merge(
    merged: Merged, target: dict, values: dict, path: Path, file: str
) -> None:
    for key, value in values.items():
        here = (*path, key)
        if value is None:
            _remove(merged, target, here, file)
        elif isinstance(value, dict):
            _merge_object(merged, target, value, here, file)
        else:
            target[key] = value
            merged.origins[here] = file


def _merge_object(
    merged: Merged, target: dict, value: dict, here: Path, file: str
) -> None:
    if not isinstance(target.get(here[-1]), dict):
        _forget_origins(merged, here)
        target[here[-1]] = {}
    merged.origins.setdefault(here, file)
    _merge(merged, target[here[-1]], value, here, file)


def _remove(merged: Merged, target: dict, here: Path, file: str) -> None:
    if here[-1] not in target:
        raise exceptions.SettingsError(
            f"{file}: {format_path(here)}: null removes a value of an earlier "
            "file, found none"
        )
    del target[here[-1]]
    _forget_origins(merged, here)


def _forget_origins(merged: Merged, here: Path) -> None:
    for path in list(merged.origins):
        if path[: len(here)] == here:
            del merged.origins[path]
