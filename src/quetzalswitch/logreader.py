"""Finds in the logs of entry processes what became of a request."""

import re
import typing
from collections.abc import Iterable

import msgspec

# A collector of logs may put a time and a machine before each line.
_OBJECT: typing.Final = re.compile(r"\{\"t\":.*\}")
_ID_FIELDS: typing.Final = ("id", "task", "step")
# Changes of what the processes believed; they explain what happened then.
_STATE_CHANGES: typing.Final = frozenset(
    {
        "started",
        "stopping",
        "leader_suspected",
        "epoch_won",
        "epoch_lost",
        "term_loaded",
        "settled",
        "target_lost",
        "target_back",
        "target_set_aside",
        "target_restarted",
        "target_out",
        "leases_lapsed",
        "feed_lost",
        "feed_gap",
        "feed_back",
        "configuration",
        "evacuation",
        "load_failed",
        "progress_unstored",
    }
)


class LogLine(typing.NamedTuple):
    """A log line.

    Attributes:
        time_s: Unix time.
        event: What happened.
        node: VM of the process.
        fields: All else.
    """

    time_s: float
    event: str
    node: str
    fields: dict[str, typing.Any]


def parse(lines: Iterable[str]) -> list[LogLine]:
    """Returns the log lines among the lines of a file, oldest first."""
    entries = []
    for line in lines:
        match = _OBJECT.search(line)
        if match is None:
            continue
        try:
            fields = msgspec.json.decode(match.group())
        except msgspec.DecodeError:
            # Cut off by the end of the process.
            continue
        if not isinstance(fields, dict) or "event" not in fields:
            continue
        entries.append(
            LogLine(
                fields.pop("t"),
                fields.pop("event"),
                fields.pop("node", ""),
                fields,
            )
        )
    return sorted(entries, key=lambda entry: entry.time_s)


def find_request_lines(
    entries: list[LogLine], request_id: str, include_state_changes: bool = True
) -> list[LogLine]:
    """Returns the lines on a request, in order.

    Args:
        entries: All log lines, oldest first.
        request_id: ID of the request.
        include_state_changes: Whether to add the state changes of targets,
            leaders and the store that were logged in the meantime.
    """
    own = [entry for entry in entries if _mentions(entry, request_id)]
    if not own or not include_state_changes:
        return own
    first_s, last_s = own[0].time_s, own[-1].time_s
    return [
        entry
        for entry in entries
        if _mentions(entry, request_id)
        or (entry.event in _STATE_CHANGES and first_s <= entry.time_s <= last_s)
    ]


def format_lines(entries: list[LogLine]) -> Iterable[str]:
    """Yields a line of text for each entry, with times from the first."""
    for entry in entries:
        details = " ".join(
            f"{name}={value}"
            for name, value in entry.fields.items()
            if name != "life"
        )
        since_s = entry.time_s - entries[0].time_s
        yield f"{since_s:9.3f} {entry.node} {entry.event}: {details}"


def _mentions(entry: LogLine, request_id: str) -> bool:
    for name in _ID_FIELDS:
        value = str(entry.fields.get(name, ""))
        if value.partition(".")[0] == request_id:
            return True
    return False
