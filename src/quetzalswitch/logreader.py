"""Parsing of entry processes' logs, and the history of a request in them."""

import re
import typing
from collections.abc import Iterable

import msgspec

# A log collector may prefix each line with a time and a machine.
_OBJECT: typing.Final = re.compile(r"\{\"t\":.*\}")
_ID_FIELDS: typing.Final = ("id", "task", "step")
# State changes of processes, targets, the store and the configuration that
# explain what happened to a request.
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
        event: Name of the event.
        node: Name of the VM of the process.
        fields: All other fields.
    """

    time_s: float
    event: str
    node: str
    fields: dict[str, typing.Any]


def parse(lines: Iterable[str]) -> list[LogLine]:
    """Returns the decoded log lines, oldest first; ignores other lines."""
    log_lines = []
    for line in lines:
        match = _OBJECT.search(line)
        if match is None:
            continue
        try:
            fields = msgspec.json.decode(match.group())
        except msgspec.DecodeError:
            # Truncated when the process ended.
            continue
        if not isinstance(fields, dict) or "event" not in fields:
            continue
        log_lines.append(
            LogLine(
                fields.pop("t"),
                fields.pop("event"),
                fields.pop("node", ""),
                fields,
            )
        )
    return sorted(log_lines, key=lambda log_line: log_line.time_s)


def find_request_lines(
    log_lines: list[LogLine],
    request_id: str,
    include_state_changes: bool = True,
) -> list[LogLine]:
    """Returns the log lines about a request, in order.

    Args:
        log_lines: All log lines, oldest first.
        request_id: ID of the request.
        include_state_changes: Whether to add the state changes of targets,
            leaders and the store that were logged in the meantime.
    """
    own = [
        log_line for log_line in log_lines if _mentions(log_line, request_id)
    ]
    if not own or not include_state_changes:
        return own
    first_s, last_s = own[0].time_s, own[-1].time_s
    return [
        log_line
        for log_line in log_lines
        if _mentions(log_line, request_id)
        or (
            log_line.event in _STATE_CHANGES
            and first_s <= log_line.time_s <= last_s
        )
    ]


def format_lines(log_lines: list[LogLine]) -> Iterable[str]:
    """Yields each log line as text, with its time relative to the first."""
    for log_line in log_lines:
        details = " ".join(
            f"{name}={value}"
            for name, value in log_line.fields.items()
            if name != "life"
        )
        since_s = log_line.time_s - log_lines[0].time_s
        yield f"{since_s:9.3f} {log_line.node} {log_line.event}: {details}"


def _mentions(log_line: LogLine, request_id: str) -> bool:
    for name in _ID_FIELDS:
        value = str(log_line.fields.get(name, ""))
        if value.partition(".")[0] == request_id:
            return True
    return False
