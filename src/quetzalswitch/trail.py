"""Finds in the logs of entry processes what became of a request."""

import re
import typing
from collections.abc import Iterable

import msgspec

# A collector of logs may put a time and a machine before each line.
_OBJECT: typing.Final = re.compile(r"\{\"t\":.*\}")
_ID_FIELDS: typing.Final = ("id", "task", "step")
# Changes of what the processes believed; they explain what happened then.
_BELIEFS: typing.Final = frozenset(
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


class Entry(typing.NamedTuple):
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


def parse(lines: Iterable[str]) -> list[Entry]:
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
            Entry(
                fields.pop("t"),
                fields.pop("event"),
                fields.pop("node", ""),
                fields,
            )
        )
    return sorted(entries, key=lambda entry: entry.time_s)


def find_request(
    entries: list[Entry], request_id: str, beliefs: bool = True
) -> list[Entry]:
    """Returns the lines on a request, in order.

    Args:
        entries: All log lines, oldest first.
        request_id: ID of the request.
        beliefs: Whether to add what the processes learned meanwhile of
            targets, leaders and the store.
    """
    own = [entry for entry in entries if _names(entry, request_id)]
    if not own or not beliefs:
        return own
    first_s, last_s = own[0].time_s, own[-1].time_s
    return [
        entry
        for entry in entries
        if _names(entry, request_id)
        or (entry.event in _BELIEFS and first_s <= entry.time_s <= last_s)
    ]


def format_entries(entries: list[Entry]) -> Iterable[str]:
    """Yields a line of text for each entry, with times from the first."""
    for entry in entries:
        details = " ".join(
            f"{name}={value}"
            for name, value in entry.fields.items()
            if name != "life"
        )
        since_s = entry.time_s - entries[0].time_s
        yield f"{since_s:9.3f} {entry.node} {entry.event}: {details}"


def _names(entry: Entry, request_id: str) -> bool:
    for name in _ID_FIELDS:
        value = str(entry.fields.get(name, ""))
        if value.partition(".")[0] == request_id:
            return True
    return False
