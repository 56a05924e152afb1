"""Recorded histories and the promises that can be checked on them.

A history is a list of events from targets, callers and operators, each with
the wall time in milliseconds at which it was seen. The checks use nothing
else, so that a fault of the system can't hide itself.
"""

import collections
import json
import pathlib
import typing
from collections.abc import Iterable

# From the acceptance of a change to the last start that may ignore it: the
# staleness bound of 5 s and the 2 s in which a start may take effect.
IN_FORCE_MS = 7_000
# The stated time in which a change is in force everywhere.
SPREAD_MS = 13_000
# The list of leaving VMs lags; starts may follow for this time after it shows.
LEAVING_MS = 7_000


class Event(typing.TypedDict, total=False):
    """An event; which fields it has depends on its name.

    Targets: start, end, lapse, stop with attempt_id, request_key, task_index,
    team, size, target_id, failure_domain, capacity, slots, boot_id.
    Callers: submitted (request_key, team, key_id, idempotent, durable,
    expected), accepted (request_key), answered (request_key, state, run,
    body), cut (entry).
    Operators: limit (team, limit), withdrawn (key_id), out and back
    (failure_domain), leaving (target_id), accepted_version (version),
    planned_stop and stopped (entry).
    Entries: version (entry, version).
    """

    wall_ms: int
    event: str
    request_key: str
    task_index: int
    attempt_id: str
    target_id: str
    boot_id: str
    team: str
    failure_domain: str
    size: dict
    capacity: dict
    slots: int
    key_id: str
    idempotent: bool
    durable: bool
    expected: str
    state: str
    run: str
    body: str
    entry: str
    version: int
    limit: int


class Violation(typing.NamedTuple):
    """A promise that a history breaks.

    Attributes:
        promise: P1 to P11, or "lost" for an accepted request without outcome.
        wall_ms: When.
        text: What happened.
    """

    promise: str
    wall_ms: int
    text: str


def read(paths: Iterable[pathlib.Path]) -> list[Event]:
    """Returns the events of several JSON-lines files in order of time."""
    events = []
    for path in paths:
        for line in path.read_text().splitlines():
            events.append(json.loads(line))
    return order(events)


def order(events: Iterable[Event]) -> list[Event]:
    """Returns events in order of time; ends before starts at the same time."""
    return sorted(events, key=lambda e: (e["wall_ms"], e["event"] == "start"))


def check(events: list[Event]) -> list[Violation]:
    """Returns every violation that a history in order of time shows."""
    violations = []
    for checker in (
        _check_places,
        _check_limits,
        _check_out,
        _check_answers,
        _check_keys,
        _check_versions,
        _check_stops,
    ):
        violations += checker(events)
    return sorted(violations, key=lambda violation: violation.wall_ms)


_ENDS = frozenset({"end", "lapse", "stop"})


def _check_places(events: list[Event]) -> list[Violation]:
    """P1, P2 and P8: capacity, one place at a time, at most one start."""
    running: dict[str, dict[str, Event]] = collections.defaultdict(dict)
    places: dict[tuple, dict[str, str]] = collections.defaultdict(dict)
    starts: collections.Counter = collections.Counter()
    once = {
        event["request_key"]
        for event in events
        if event["event"] == "submitted" and not event["idempotent"]
    }
    found = []
    for event in events:
        if event["event"] in _ENDS:
            running[event["target_id"]].pop(event["attempt_id"], None)
            task = (event["request_key"], event["task_index"])
            places[task].pop(event["attempt_id"], None)
        if event["event"] != "start":
            continue
        task = (event["request_key"], event["task_index"])
        here = running[event["target_id"]]
        here[event["attempt_id"]] = event
        places[task][event["attempt_id"]] = event["target_id"]
        starts[task] += 1
        found += _find_overcommit(event, list(here.values()))
        if len(places[task]) > 1:
            text = f"{task} runs on {sorted(places[task].values())}"
            found.append(Violation("P2", event["wall_ms"], text))
        if event["request_key"] in once and starts[task] > 1:
            text = f"non-idempotent {task} was started {starts[task]} times"
            found.append(Violation("P8", event["wall_ms"], text))
    return found


def _find_overcommit(event: Event, tasks: list[Event]) -> list[Violation]:
    found = []
    where = f"target {event['target_id']}"
    if len(tasks) > event["slots"]:
        text = f"{where} runs {len(tasks)} tasks in {event['slots']} slots"
        found.append(Violation("P1", event["wall_ms"], text))
    for name, capacity in event["capacity"].items():
        used = sum(task["size"][name] for task in tasks)
        if used > capacity + 1e-6:
            text = f"{where} uses {used} of {capacity} {name}"
            found.append(Violation("P1", event["wall_ms"], text))
    return found


def _check_limits(events: list[Event]) -> list[Violation]:
    """P4: no start above the upper limit."""
    limits: dict[str, list[tuple[int, int]]] = collections.defaultdict(list)
    running: dict[str, set[str]] = collections.defaultdict(set)
    found = []
    for event in events:
        match event["event"]:
            case "limit":
                entry = (event["wall_ms"], event["limit"])
                limits[event["team"]].append(entry)
            case "start":
                team = event["team"]
                running[team].add(event["attempt_id"])
                limit = _limit_at(limits[team], event["wall_ms"])
                if limit is not None and len(running[team]) > limit:
                    text = f"team {team} runs {len(running[team])} of {limit}"
                    found.append(Violation("P4", event["wall_ms"], text))
            case "end" | "lapse" | "stop":
                running[event["team"]].discard(event["attempt_id"])
    return found


def _limit_at(limits: list[tuple[int, int]], wall_ms: int) -> int | None:
    """Returns the largest limit that may still be relied on."""
    if not limits:
        return None
    usable = [
        limit
        for index, (_, limit) in enumerate(limits)
        if index + 1 == len(limits)
        or limits[index + 1][0] + IN_FORCE_MS >= wall_ms
    ]
    return max(usable)


def _check_out(events: list[Event]) -> list[Violation]:
    """P5 and P9: no start where nothing may start any more."""
    out: dict[str, int] = {}
    leaving: dict[str, int] = {}
    found = []
    for event in events:
        now_ms = event["wall_ms"]
        match event["event"]:
            case "out":
                out.setdefault(event["failure_domain"], now_ms)
            case "back":
                out.pop(event["failure_domain"], None)
            case "leaving":
                leaving.setdefault(event["target_id"], now_ms)
            case "start":
                domain = event["failure_domain"]
                target_id = event["target_id"]
                if now_ms - out.get(domain, now_ms) > IN_FORCE_MS:
                    text = f"start in {domain}, which is out of service"
                    found.append(Violation("P5", now_ms, text))
                if now_ms - leaving.get(target_id, now_ms) > LEAVING_MS:
                    text = f"start on {target_id}, which is leaving"
                    found.append(Violation("P9", now_ms, text))
    return found


def _check_answers(events: list[Event]) -> list[Violation]:
    """P6, P7 and lost requests."""
    started = {
        event["request_key"] for event in events if event["event"] == "start"
    }
    expected = {}
    open_requests = {}
    found = []
    for event in events:
        match event["event"]:
            case "submitted":
                expected[event["request_key"]] = event["expected"]
            case "accepted":
                open_requests[event["request_key"]] = event["wall_ms"]
            case "answered":
                key = event["request_key"]
                open_requests.pop(key, None)
                if event["state"] == "done" and event["body"] != expected[key]:
                    text = f"{key} was answered with another body"
                    found.append(Violation("P6", event["wall_ms"], text))
                if event["run"] == "not_run" and key in started:
                    text = f'{key} was refused as "not run" but was started'
                    found.append(Violation("P7", event["wall_ms"], text))
    for key, wall_ms in open_requests.items():
        text = f"{key} was accepted and has no outcome"
        found.append(Violation("lost", wall_ms, text))
    return found


def _check_keys(events: list[Event]) -> list[Violation]:
    """P3: a withdrawn key stops working."""
    withdrawn: dict[str, int] = {}
    keys: dict[str, str] = {}
    found = []
    for event in events:
        match event["event"]:
            case "withdrawn":
                withdrawn[event["key_id"]] = event["wall_ms"]
            case "submitted":
                keys[event["request_key"]] = event.get("key_id", "")
            case "accepted":
                key_id = keys.get(event["request_key"], "")
                since_ms = withdrawn.get(key_id, event["wall_ms"])
                if event["wall_ms"] - since_ms > IN_FORCE_MS:
                    text = f"key {key_id} was accepted after its withdrawal"
                    found.append(Violation("P3", event["wall_ms"], text))
    return found


def _check_versions(events: list[Event]) -> list[Violation]:
    """P11: versions only rise and spread in time."""
    accepted: list[tuple[int, int]] = []
    seen: dict[str, int] = {}
    found = []
    for event in events:
        now_ms = event["wall_ms"]
        match event["event"]:
            case "accepted_version":
                accepted.append((now_ms, event["version"]))
            case "version":
                entry, version = event["entry"], event["version"]
                if version < seen.get(entry, 0):
                    text = f"{entry} went back to version {version}"
                    found.append(Violation("P11", now_ms, text))
                seen[entry] = version
                due = [v for at, v in accepted if now_ms - at > SPREAD_MS]
                if event.get("state") == "fresh" and due and max(due) > version:
                    text = f"{entry} acts on {version}, {max(due)} is in force"
                    found.append(Violation("P11", now_ms, text))
    return found


def _check_stops(events: list[Event]) -> list[Violation]:
    """P10: a planned stop cuts off no request."""
    stopping: set[str] = set()
    found = []
    for event in events:
        match event["event"]:
            case "planned_stop":
                stopping.add(event["entry"])
            case "stopped":
                stopping.discard(event["entry"])
            case "cut" if event["entry"] in stopping:
                text = f"a request at {event['entry']} was cut off"
                found.append(Violation("P10", event["wall_ms"], text))
    return found
