"""Decoding of the operators' configuration of the users' platform."""

import typing

import msgspec

from quetzalswitch import decoding
from quetzalswitch import exceptions
from quetzalswitch.acceptance import catalogue

# In the operators' configuration; such numbers can be sent and multiplied.
MAX_NUMBER: typing.Final = 2**53
_EXPECTED: typing.Final = "the operators' configuration"
_DEFAULT_BODY_LIMIT_BYTES: typing.Final = 262144

_Result = typing.TypeVar("_Result")


class Problem(typing.NamedTuple):
    """A part of a configuration that can't be used.

    Attributes:
        place: Where it is, such as `routes[2]`.
        text: What was expected and what was found.
    """

    place: str
    text: str


class Draft(typing.NamedTuple):
    """A configuration that may have problems.

    Attributes:
        catalogue: What could be read.
        problems: What could not be read.
        timeouts_ms: Time-outs of queues that have one, by name.
        services: Whether targets of a service are in use, by its name; None if
            the configuration names no services.
    """

    catalogue: catalogue.Catalogue
    problems: list[Problem]
    timeouts_ms: dict[str, float]
    services: dict[str, bool] | None


def decode(value: bytes) -> catalogue.Catalogue:
    """Returns a configuration.

    Raises:
        ConfigurationError: Any part of it can't be decoded.
    """
    return _decode(
        lambda data: _make_catalogue(msgspec.json.decode(data)), value
    )


def inspect(value: bytes) -> Draft:
    """Returns what can be read of a configuration, and what can't.

    Raises:
        ConfigurationError: It isn't a JSON object.
    """
    plain = _decode(msgspec.json.decode, value)
    if not isinstance(plain, dict):
        raise exceptions.ConfigurationError(
            f"expected {_EXPECTED}: an object, got {type(plain).__name__}"
        )
    problems: list[Problem] = []
    queues: dict[str, catalogue.Queue] = {}
    timeouts_ms = {}
    for place, entry in _list_entries(plain, "routes", problems):
        queue = _collect(_make_queue, entry, place, problems)
        if queue is None:
            continue
        if queue.name in queues:
            problems.append(Problem(place, f"{queue.name!r} is there twice"))
        queues.setdefault(queue.name, queue)
        if "timeout_ms" in entry:
            timeout_ms = _collect(_read_timeout, entry, place, problems)
            if timeout_ms:
                timeouts_ms[queue.name] = timeout_ms
    teams: dict[str, catalogue.Team] = {}
    team_by_key: dict[str, str] = {}
    for place, entry in _list_entries(plain, "tenants", problems):
        team = _collect(_make_team, entry, place, problems)
        if team is None:
            continue
        if team.name in teams:
            problems.append(Problem(place, f"{team.name!r} is there twice"))
        teams.setdefault(team.name, team)
        for key in _collect(_check_keys, entry, place, problems) or ():
            other = team_by_key.setdefault(key, team.name)
            if other != team.name:
                text = f"a key of it is also one of {other!r}"
                problems.append(Problem(place, text))
    services: dict[str, bool] | None = {} if "services" in plain else None
    for place, entry in _list_entries(plain, "services", problems):
        name = _collect(_read_name, entry, place, problems)
        if name is not None:
            services[name] = not entry.get("spare", False)
    version = _collect(_read_version, plain, "version", problems)
    body_limit = _collect(_read_body_limit, plain, "limits", problems)
    found = catalogue.Catalogue(
        version or 0,
        queues,
        teams,
        team_by_key,
        body_limit or _DEFAULT_BODY_LIMIT_BYTES,
        _find_urgent_priority(queues),
    )
    return Draft(found, problems, timeouts_ms, services)


def _decode(function: typing.Callable, value: bytes) -> typing.Any:
    try:
        return decoding.decode(function, value, _EXPECTED)
    except exceptions.ProtocolError as error:
        raise exceptions.ConfigurationError(str(error)) from error


def _collect(
    function: typing.Callable[[dict], _Result],
    entry: dict,
    place: str,
    problems: list[Problem],
) -> _Result | None:
    """Returns what a function reads of an entry; None adds a problem."""
    try:
        return decoding.decode(function, entry, place)
    except exceptions.ProtocolError as error:
        problems.append(Problem(place, str(error.__cause__)))
        return None


def _list_entries(
    plain: dict, name: str, problems: list[Problem]
) -> list[tuple[str, dict]]:
    """Returns the places and entries of a list in a configuration."""
    entries = plain.get(name, [])
    if not isinstance(entries, list):
        text = f"expected a list, got {type(entries).__name__}"
        problems.append(Problem(name, text))
        return []
    places = [(f"{name}[{i}]", entry) for i, entry in enumerate(entries)]
    for place, entry in places:
        if not isinstance(entry, dict):
            text = f"expected an object, got {type(entry).__name__}"
            problems.append(Problem(place, text))
    return [found for found in places if isinstance(found[1], dict)]


def _make_catalogue(plain: dict) -> catalogue.Catalogue:
    queues = {}
    for route in plain.get("routes", []):
        queue = _make_queue(route)
        queues[queue.name] = queue
    teams = {}
    team_by_key = {}
    for tenant in plain.get("tenants", []):
        team = _make_team(tenant)
        teams[team.name] = team
        for key in _list_keys(tenant):
            team_by_key[key] = team.name
    return catalogue.Catalogue(
        _read_version(plain),
        queues,
        teams,
        team_by_key,
        _read_body_limit(plain),
        _find_urgent_priority(queues),
        _read_head_limit(plain),
    )


def _find_urgent_priority(queues: dict[str, catalogue.Queue]) -> int:
    return min((queue.priority for queue in queues.values()), default=0)


def _make_queue(route: dict) -> catalogue.Queue:
    advice = route.get("advice")
    policy = None
    if advice:
        policy = catalogue.AdvicePolicy(
            _number(advice, "decide_ms", 0),
            _number(advice, "period_ms", 0),
            _number(advice, "valid_ms", 0),
        )
    return catalogue.Queue(
        name=_text(route, "name"),
        host=_text(route, "host"),
        prefix=_text(route, "prefix"),
        service=_text(route, "service"),
        priority=int(_number(route, "priority", 0)),
        max_attempts=int(_number(route, "max_attempts", 1)),
        stretch=_number(route, "stretch", 1),
        target_latency_ms=_number(route, "target_latency_ms", 0),
        public=bool(route.get("public", False)),
        advice=policy,
    )


def _make_team(tenant: dict) -> catalogue.Team:
    limit = tenant.get("max_count") or {}
    return catalogue.Team(
        _text(tenant, "name"),
        _number(tenant, "weight", 1),
        catalogue.Resources(
            int(_number(limit, "cpu", 0)),
            int(_number(limit, "mem_mb", 0)),
            int(_number(limit, "gpu", 0)),
        ),
    )


def _list_keys(tenant: dict) -> list[str]:
    return [_check_text(key, "api_keys") for key in tenant.get("api_keys", [])]


def _check_keys(tenant: dict) -> list[str]:
    if not isinstance(tenant.get("api_keys", []), list):
        raise TypeError("api_keys: expected a list")
    return _list_keys(tenant)


def _read_name(entry: dict) -> str:
    return _text(entry, "name")


def _read_timeout(route: dict) -> float:
    return _number(route, "timeout_ms")


def _read_version(plain: dict) -> int:
    return int(_number(plain, "version"))


def _read_body_limit(plain: dict) -> int:
    limits = plain.get("limits") or {}
    return int(_number(limits, "max_body_bytes", _DEFAULT_BODY_LIMIT_BYTES))


def _read_head_limit(plain: dict) -> int:
    limits = plain.get("limits") or {}
    return int(_number(limits, "max_header_bytes", 0))


def _text(entry: dict, name: str) -> str:
    if name not in entry:
        raise ValueError(f"{name} is missing")
    return _check_text(entry[name], name)


def _check_text(value: typing.Any, name: str) -> str:
    if not isinstance(value, str):
        raise TypeError(
            f"{name}: expected a string, got {type(value).__name__}"
        )
    return value


def _number(entry: dict, name: str, default: float | None = None) -> float:
    value = entry.get(name, default)
    if value is None and name not in entry:
        raise ValueError(f"{name} is missing")
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(
            f"{name}: expected a number, got {type(value).__name__}"
        )
    if not 0 <= value <= MAX_NUMBER:
        raise ValueError(f"{name}: expected a number from 0 to {MAX_NUMBER}")
    return float(value)
