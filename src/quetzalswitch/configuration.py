"""Cluster configuration: teams, keys, queues and what is out of service.

A `Configuration` is an immutable snapshot; `apply` gives the next one.
`changelog` keeps the changes in the table service and follows them.
"""

import hashlib
import hmac
import math
import re
import typing

import msgspec

from quetzalswitch import exceptions

# Names become parts of table keys, where "/" separates the parts.
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,62}")
_DIGEST = re.compile(r"[0-9a-f]{64}")

# Work that arrives without a key on a queue open to all is charged to it.
OPEN_TEAM = "open"

QueueKind = typing.Literal["latency", "batch", "service", "gang"]


class _Record(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of the records kept in a configuration."""


class Team(_Record):
    """A team.

    Attributes:
        name: Unique name.
        share: Weight, compared with other teams' when capacity is full.
        max_running: Upper limit on tasks running across the fleet.
    """

    name: str
    share: float
    max_running: int


class Key(_Record):
    """A granted key; only its digest is kept.

    Attributes:
        key_id: Name by which operators withdraw the key.
        team: Team that work is accepted for.
        digest: SHA-256 of the key in hex.
    """

    key_id: str
    team: str
    digest: str


class Queue(_Record):
    """A queue on which work arrives.

    Attributes:
        name: Unique name.
        team: Team that may use it; None when it is open to all.
        kind: Kind of request that it takes.
        priority: Larger is served first.
        max_queued: Requests that may wait at one entry.
        max_wait_s: Seconds after which a waiting request is refused; None
            when it may wait without bound.
    """

    name: str
    team: str | None
    kind: QueueKind = "batch"
    priority: int = 0
    max_queued: int = 10_000
    max_wait_s: float | None = None


class Configuration(_Record):
    """One version of the configuration; its maps must not be modified."""

    version: int = 0
    teams: dict[str, Team] = {}
    keys: dict[str, Key] = {}
    queues: dict[str, Queue] = {}
    domains_out: frozenset[str] = frozenset()
    targets_out: frozenset[str] = frozenset()


def _tag(name: str) -> str:
    return re.sub(r"(?<!^)(?=[A-Z])", "_", name).lower()


class _Change(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag=_tag
):
    """Base of changes; encoded with their name in snake case as `type`."""


class PutTeam(_Change):
    """Creates a team or replaces its share and upper limit."""

    name: str
    share: float
    max_running: int


class RemoveTeam(_Change):
    """Removes a team that has neither keys nor queues."""

    name: str


class GrantKey(_Change):
    """Grants a key to a team; `digest` is what `digest_key` returns."""

    key_id: str
    team: str
    digest: str


class WithdrawKey(_Change):
    """Revokes a key."""

    key_id: str


class PutQueue(_Change):
    """Creates a queue or replaces its properties."""

    name: str
    team: str | None
    kind: QueueKind = "batch"
    priority: int = 0
    max_queued: int = 10_000
    max_wait_s: float | None = None


class RemoveQueue(_Change):
    """Removes a queue."""

    name: str


class TakeOutDomain(_Change):
    """Takes a failure domain out of service."""

    domain: str


class ReturnDomain(_Change):
    """Returns a failure domain to service."""

    domain: str


class TakeOutTarget(_Change):
    """Takes one target out of service."""

    target: str


class ReturnTarget(_Change):
    """Returns one target to service."""

    target: str


SingleChange = (
    PutTeam
    | RemoveTeam
    | GrantKey
    | WithdrawKey
    | PutQueue
    | RemoveQueue
    | TakeOutDomain
    | ReturnDomain
    | TakeOutTarget
    | ReturnTarget
)


class ChangeSet(_Change):
    """Several changes, applied in order as one version."""

    changes: tuple[SingleChange, ...]


Change = SingleChange | ChangeSet


def apply(configuration: Configuration, change: Change) -> Configuration:
    """Returns the next version of the configuration.

    Raises:
        ConfigurationError: The change does not fit the configuration.
    """
    changes = change.changes if isinstance(change, ChangeSet) else (change,)
    if not changes:
        raise exceptions.ConfigurationError("the change set is empty")
    result = configuration
    for single in changes:
        result = _apply_single(result, single)
    return msgspec.structs.replace(result, version=configuration.version + 1)


def encode_change(change: Change) -> dict:
    """Returns a change as JSON-able plain data."""
    return msgspec.to_builtins(change)


def decode_change(plain: typing.Any) -> Change:
    """Returns a change from plain data.

    Raises:
        ConfigurationError: The data is no known change, lacks a field or has
            an unknown one.
    """
    try:
        return msgspec.convert(plain, Change)
    except msgspec.ValidationError as error:
        raise exceptions.ConfigurationError(f"bad change: {error}") from None


def encode_configuration(configuration: Configuration) -> dict:
    """Returns a configuration as JSON-able plain data."""
    return msgspec.to_builtins(configuration)


def decode_configuration(plain: typing.Any) -> Configuration:
    """Returns a configuration from plain data.

    Raises:
        ConfigurationError: The data is not a configuration.
    """
    try:
        return msgspec.convert(plain, Configuration)
    except msgspec.ValidationError as error:
        message = f"bad configuration: {error}"
        raise exceptions.ConfigurationError(message) from None


def digest_key(presented_key: str) -> str:
    """Returns the SHA-256 digest of a key in hex."""
    return hashlib.sha256(presented_key.encode()).hexdigest()


def verify_key(configuration: Configuration, presented_key: str) -> Key | None:
    """Returns the granted key that was presented, or None.

    Compares with every granted key, so the time taken does not tell whether
    or where a digest matched.
    """
    digest = digest_key(presented_key)
    found = None
    for key in configuration.keys.values():
        if hmac.compare_digest(key.digest, digest):
            found = key
    return found


def _apply_single(old: Configuration, change: SingleChange) -> Configuration:
    match change:
        case PutTeam(name=name, share=share, max_running=max_running):
            _check_team(change)
            team = Team(name, float(share), max_running)
            return _replace(old, teams={**old.teams, name: team})
        case RemoveTeam(name=name):
            _check_unused(old, name)
            return _replace(old, teams=_without(old.teams, name, "team"))
        case GrantKey():
            _check_key(old, change)
            key = Key(change.key_id, change.team, change.digest)
            return _replace(old, keys={**old.keys, change.key_id: key})
        case WithdrawKey(key_id=key_id):
            return _replace(old, keys=_without(old.keys, key_id, "key"))
        case PutQueue(name=name):
            _check_queue(old, change)
            queue = Queue(**msgspec.structs.asdict(change))
            return _replace(old, queues={**old.queues, name: queue})
        case RemoveQueue(name=name):
            return _replace(old, queues=_without(old.queues, name, "queue"))
        case TakeOutDomain(domain=name):
            out = _take_out(old.domains_out, name, "failure domain")
            return _replace(old, domains_out=out)
        case ReturnDomain(domain=name):
            out = _return(old.domains_out, name, "failure domain")
            return _replace(old, domains_out=out)
        case TakeOutTarget(target=name):
            out = _take_out(old.targets_out, name, "target")
            return _replace(old, targets_out=out)
        case ReturnTarget(target=name):
            out = _return(old.targets_out, name, "target")
            return _replace(old, targets_out=out)
    raise exceptions.ConfigurationError(f"unknown change {change!r}")


_replace = msgspec.structs.replace


def _require(condition: bool, message: str) -> None:
    if not condition:
        raise exceptions.ConfigurationError(message)


def _check_name(name: str, what: str) -> None:
    message = (
        f"{what} name {name!r} must be 1 to 63 letters, digits, '_', '.' or "
        "'-' and start with a letter or digit"
    )
    _require(_NAME.fullmatch(name) is not None, message)


def _check_team(change: PutTeam) -> None:
    _check_name(change.name, "team")
    where = f"team {change.name}"
    positive = math.isfinite(change.share) and change.share > 0
    _require(positive, f"{where}: share {change.share} must be above 0")
    limit = change.max_running
    _require(limit >= 0, f"{where}: max_running {limit} must not be below 0")


def _check_unused(old: Configuration, name: str) -> None:
    for what, items in (("queue", old.queues), ("key", old.keys)):
        users = sorted(key for key, item in items.items() if item.team == name)
        message = f"team {name} still has {what} {', '.join(users)}"
        _require(not users, message)


def _check_key(old: Configuration, change: GrantKey) -> None:
    _check_name(change.key_id, "key")
    where = f"key {change.key_id}"
    _require(change.key_id not in old.keys, f"{where} exists already")
    _require(change.team in old.teams, f"{where}: unknown team {change.team}")
    valid = _DIGEST.fullmatch(change.digest) is not None
    _require(valid, f"{where}: digest must be 64 lower-case hex digits")
    same = [k.key_id for k in old.keys.values() if k.digest == change.digest]
    _require(not same, f"{where}: digest is granted already as {same}")


def _check_queue(old: Configuration, change: PutQueue) -> None:
    _check_name(change.name, "queue")
    where = f"queue {change.name}"
    team = change.team if change.team is not None else OPEN_TEAM
    reason = " (charged for work without a key)" if change.team is None else ""
    _require(team in old.teams, f"{where}: unknown team {team}{reason}")
    _require(change.max_queued > 0, f"{where}: max_queued must be above 0")
    wait_s = change.max_wait_s
    positive = wait_s is None or (math.isfinite(wait_s) and wait_s > 0)
    _require(positive, f"{where}: max_wait_s {wait_s} must be above 0")


def _without(items: dict, name: str, what: str) -> dict:
    _require(name in items, f"unknown {what} {name}")
    return {key: item for key, item in items.items() if key != name}


def _take_out(out: frozenset, name: str, what: str) -> frozenset:
    _check_name(name, what)
    _require(name not in out, f"{what} {name} is out of service already")
    return out | {name}


def _return(out: frozenset, name: str, what: str) -> frozenset:
    _require(name in out, f"{what} {name} is not out of service")
    return out - {name}
