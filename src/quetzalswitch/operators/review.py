"""Reviews a configuration before it is sent: `quetzalctl check`.

It finds what can't be decoded, what no request can match, and settings that
contradict each other, and lists what differs from the version in force.
"""

import hashlib
import pathlib
import typing

from quetzalswitch import console
from quetzalswitch import exceptions
from quetzalswitch.acceptance import catalogue
from quetzalswitch.platform import configurations

# The platform's rows are smaller; keeps a wrong file from filling the memory.
FILE_LIMIT_BYTES: typing.Final = 16 * 2**20
# Requests add 16 hexadecimal digits to the prefix of their queue.
JOB_ID_DIGITS: typing.Final = frozenset("0123456789abcdefABCDEF")
JOB_ID_LENGTH: typing.Final = 16
# Of the digest that is printed in place of a key.
DIGEST_CHARACTERS: typing.Final = 12


class Finding(typing.NamedTuple):
    """What is wrong with a configuration.

    Attributes:
        kind: `error`, `never matches` or `contradiction`.
        place: Path in the file, or the entry by its name.
        text: What is wrong, and with which other entry.
    """

    kind: str
    place: str
    text: str


class Difference(typing.NamedTuple):
    """A value that differs from the version in force; None if absent."""

    place: str
    before: typing.Any
    after: typing.Any


def check(
    file: pathlib.Path,
    *,
    against: pathlib.Path | None = None,
    smallest_step: str = "",
    json: bool = False,
) -> int:
    """Check a configuration of the users' platform before it is sent.

    Args:
        file: The configuration, as JSON.
        against: The version in force; prints what differs.
        smallest_step: Smallest step that callers send, as processor in
            thousandths of a core, memory in MB and accelerators: "500,256,0".
        json: Print one JSON object.

    Returns:
        The exit code: 0, or 1 if there are findings. Differences are none.
    """
    draft = _read(file)
    findings = review(draft, _parse_resources(smallest_step))
    differences = []
    if against is not None:
        current = _read(against)
        if current.problems:
            place, text = current.problems[0]
            raise exceptions.SettingsError(f"{against}: {place}: {text}")
        differences = compare(current, draft)
        findings += _check_version(current, draft)
    if json:
        console.print_json(
            {
                "findings": [finding._asdict() for finding in findings],
                "differences": [each._asdict() for each in differences],
            }
        )
    else:
        for finding in findings:
            print(f"{finding.kind}: {finding.place}: {finding.text}")
        for each in differences:
            print(f"differs: {each.place}: {each.before} -> {each.after}")
        if not findings:
            print(f"version {draft.catalogue.version} has no findings")
    return console.FAILED if findings else console.DONE


def review(
    draft: configurations.Draft, smallest_step: catalogue.Resources | None
) -> list[Finding]:
    """Returns what is wrong with a configuration.

    Args:
        draft: The configuration.
        smallest_step: Resources of the smallest task; None if unknown.
    """
    findings = [
        Finding("error", problem.place, problem.text)
        for problem in draft.problems
    ]
    queues = list(draft.catalogue.queues.values())
    for number, queue in enumerate(queues):
        others = queues[:number]
        findings += _check_prefix(queue, others, queues)
        findings += _check_service(queue, draft.services)
        findings += _check_times(queue, draft.timeouts_ms.get(queue.name))
    owners = set(draft.catalogue.team_by_key.values())
    is_open = any(queue.public for queue in queues)
    for team in draft.catalogue.teams.values():
        place = f"team {team.name}"
        if team.name not in owners and not is_open:
            text = "it has no key, and no queue is public"
            findings.append(Finding("never matches", place, text))
        if smallest_step is not None:
            findings += _check_limit(team, smallest_step)
    return findings


def compare(
    current: configurations.Draft, draft: configurations.Draft
) -> list[Difference]:
    """Returns what differs from the version in force; keys by their digest."""
    before, after = _flatten(current), _flatten(draft)
    return [
        Difference(place, before.get(place), after.get(place))
        for place in sorted(before.keys() | after.keys())
        if before.get(place) != after.get(place)
    ]


def _check_version(
    current: configurations.Draft, draft: configurations.Draft
) -> list[Finding]:
    version = draft.catalogue.version
    in_force = current.catalogue.version
    if version > in_force:
        return []
    text = f"{version} is not above {in_force}, which is in force"
    return [Finding("error", "version", text)]


def _check_prefix(
    queue: catalogue.Queue,
    earlier: list[catalogue.Queue],
    queues: list[catalogue.Queue],
) -> list[Finding]:
    place = f"queue {queue.name}"
    findings = []
    if not queue.prefix.startswith("/"):
        text = f"no path begins with {queue.prefix!r}"
        findings.append(Finding("never matches", place, text))
    if not queue.host or ":" in queue.host:
        text = f"the host {queue.host!r} is compared without a port"
        findings.append(Finding("never matches", place, text))
    for other in earlier:
        if (other.host, other.prefix) == (queue.host, queue.prefix):
            text = f"queue {other.name} has the same host and prefix"
            findings.append(Finding("never matches", place, text))
            break
    for other in queues:
        extra = other.prefix.removeprefix(queue.prefix)
        if (
            other.host == queue.host
            and other.prefix != queue.prefix
            and other.prefix == queue.prefix + extra
            and len(extra) <= JOB_ID_LENGTH
            and JOB_ID_DIGITS.issuperset(extra)
        ):
            text = f"IDs that begin with {extra} go to queue {other.name}"
            findings.append(Finding("contradiction", place, text))
    return findings


def _check_service(
    queue: catalogue.Queue, services: dict[str, bool] | None
) -> list[Finding]:
    if services is None or services.get(queue.service):
        return []
    text = f"service {queue.service} is not listed, so it has no targets"
    if queue.service in services:
        text = f"the targets of service {queue.service} are off"
    return [Finding("never matches", f"queue {queue.name}", text)]


def _check_times(
    queue: catalogue.Queue, timeout_ms: float | None
) -> list[Finding]:
    texts = []
    if timeout_ms is not None and timeout_ms < queue.target_latency_ms:
        texts.append(
            f"the time-out of {timeout_ms:g} ms is below the target latency of"
            f" {queue.target_latency_ms:g} ms"
        )
    if queue.max_attempts < 1:
        texts.append("no attempt is allowed")
    if queue.stretch < 1:
        texts.append(
            f"a stretch of {queue.stretch:g} asks for less than the run time"
        )
    if queue.advice is not None and queue.advice.valid_ms <= 0:
        texts.append("starts need tickets, which are never valid")
    place = f"queue {queue.name}"
    return [Finding("contradiction", place, text) for text in texts]


def _check_limit(
    team: catalogue.Team, smallest_step: catalogue.Resources
) -> list[Finding]:
    return [
        Finding(
            "contradiction",
            f"team {team.name}",
            f"the upper limit of {limit} ({name}) is below the {required} of"
            " the smallest step",
        )
        for name, limit, required in zip(
            catalogue.Resources._fields, team.limit, smallest_step, strict=True
        )
        if 0 < limit < required
    ]


def _flatten(draft: configurations.Draft) -> dict[str, typing.Any]:
    """Returns the values of a configuration by their place."""
    found = draft.catalogue
    values: dict[str, typing.Any] = {
        "version": found.version,
        "body_limit_bytes": found.body_limit_bytes,
    }
    for name, queue in found.queues.items():
        for field, value in queue._asdict().items():
            values[f"queue {name}: {field}"] = _plain(value)
        if name in draft.timeouts_ms:
            values[f"queue {name}: timeout_ms"] = draft.timeouts_ms[name]
    for name, team in found.teams.items():
        for field, value in team._asdict().items():
            values[f"team {name}: {field}"] = _plain(value)
    for key, name in found.team_by_key.items():
        digest = hashlib.sha256(key.encode(errors="replace")).hexdigest()
        place = f"team {name}: key with digest {digest[:DIGEST_CHARACTERS]}"
        values[place] = "present"
    for name, in_use in (draft.services or {}).items():
        values[f"service {name}: in_use"] = in_use
    return values


def _plain(value: typing.Any) -> typing.Any:
    match value:
        case catalogue.Resources() | catalogue.AdvicePolicy():
            return value._asdict()
        case _:
            return value


def _read(path: pathlib.Path) -> configurations.Draft:
    """Reads a configuration.

    Raises:
        SettingsError: The file can't be read, or isn't a configuration at all.
    """
    try:
        with path.open("rb") as file:
            data = file.read(FILE_LIMIT_BYTES + 1)
    except (OSError, ValueError) as error:
        raise exceptions.SettingsError(f"{path}: {error}") from error
    if len(data) > FILE_LIMIT_BYTES:
        raise exceptions.SettingsError(
            f"{path}: expected at most {FILE_LIMIT_BYTES} bytes"
        )
    try:
        return configurations.inspect(data)
    except exceptions.ConfigurationError as error:
        raise exceptions.SettingsError(f"{path}: {error}") from error


def _parse_resources(text: str) -> catalogue.Resources | None:
    if not text:
        return None
    parts = text.split(",")
    if len(parts) != len(catalogue.Resources._fields) or not all(
        part.isascii() and part.isdigit() for part in parts
    ):
        raise exceptions.SettingsError(
            f"--smallest-step: expected three numbers, found {text!r}"
        )
    return catalogue.Resources(*map(int, parts))
