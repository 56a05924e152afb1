"""Log output: text or JSON lines, with a rate limit for repeats.

A line starts with the part of the program, so that lines can be filtered by
it. The texts come from `messages.CATALOGUE`, which the documentation repeats.
"""

import collections
import datetime
import json
import sys
import typing

import logbook

from quetzalswitch import clock as clocks
from quetzalswitch import messages

# A message with the same first field is written at most this often in one
# interval; the next line written says how many were left out.
REPEAT_LIMIT_COUNT: typing.Final = 5
REPEAT_INTERVAL_S: typing.Final = 10.0
# Bounds memory when the first field takes many values.
TRACKED_REPEATS_COUNT: typing.Final = 1000

_HIDDEN_FIELDS: typing.Final = frozenset(
    {"authorization", "digest", "key", "operator_key", "payload", "secret"}
)
_LEVELS: typing.Final = {
    "debug": logbook.DEBUG,
    "info": logbook.INFO,
    "warning": logbook.WARNING,
    "error": logbook.ERROR,
}


class Log:
    """Writes messages of the catalogue."""

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        self._loggers: dict[str, logbook.Logger] = {}
        self._repeats: collections.OrderedDict[tuple, _Repeat] = (
            collections.OrderedDict()
        )

    def write(self, name: str, *, traceback: bool = False, **fields) -> None:
        """Writes a message unless it repeats too often.

        Args:
            name: Name in the catalogue.
            traceback: Whether to add the exception being handled.
            **fields: Values of the message's fields.

        Raises:
            KeyError: The name or a field is not in the catalogue.
        """
        message = messages.CATALOGUE[name]
        unknown = fields.keys() - set(message.fields)
        if unknown:
            raise KeyError(f"{name} has no field {sorted(unknown)}")
        left_out = self._count_repeat(name, message, fields)
        if left_out is None:
            return
        details = {"message": name, "fields": _hide(fields)}
        if left_out:
            details["left_out"] = left_out
        logger = self._loggers.get(message.part)
        if logger is None:
            logger = logbook.Logger(message.part)
            self._loggers[message.part] = logger
        logger.log(
            _LEVELS[message.level],
            message.text,
            extra=details,
            exc_info=traceback,
        )

    def _count_repeat(
        self, name: str, message: messages.Message, fields: dict
    ) -> int | None:
        """Returns how many lines were left out, or None to leave this out."""
        first = str(fields.get(message.fields[0])) if message.fields else ""
        key = (name, first)
        now_s = self._clock.now()
        repeat = self._repeats.get(key)
        if repeat is None or now_s - repeat.since_s >= REPEAT_INTERVAL_S:
            left_out = repeat.left_out if repeat is not None else 0
            self._repeats[key] = _Repeat(now_s)
            self._repeats.move_to_end(key)
            if len(self._repeats) > TRACKED_REPEATS_COUNT:
                self._repeats.popitem(last=False)
            return left_out
        repeat.written += 1
        if repeat.written > REPEAT_LIMIT_COUNT:
            repeat.left_out += 1
            return None
        return 0


def write(name: str, *, traceback: bool = False, **fields) -> None:
    """Writes a message of the catalogue; see `Log.write`.

    Modules use this function, so that none needs a logger of its own. Repeats
    are limited for the whole operating-system process.
    """
    _SHARED.write(name, traceback=traceback, **fields)


class _Repeat:
    __slots__ = ("left_out", "since_s", "written")

    def __init__(self, since_s: float):
        self.since_s = since_s
        self.written = 1
        self.left_out = 0


_SHARED: typing.Final = Log(clocks.SystemClock())


def configure(
    level: str = "info",
    as_json: bool = False,
    stream: typing.TextIO | None = None,
) -> logbook.Handler:
    """Sends log lines of this process to a stream; standard error if None.

    Args:
        level: Least level that is written.
        as_json: Whether each line is a JSON object.
        stream: Stream to write to.

    Returns:
        The handler, which is in force for the whole process until its
        `pop_application` is called.
    """
    handler = logbook.StreamHandler(
        stream or sys.stderr, level=_LEVELS[level], bubble=False
    )
    handler.formatter = _format_json if as_json else _format_text
    handler.push_application()
    return handler


def _format_text(record: logbook.LogRecord, handler: logbook.Handler) -> str:
    fields = {**record.extra.get("fields", {})}
    if record.extra.get("left_out"):
        fields["left_out"] = record.extra["left_out"]
    details = "".join(f" {k}={_quote(v)}" for k, v in fields.items())
    level = record.level_name.lower()
    time = _format_time(record)
    text = _escape(record.message)
    line = f"{time} {level} {record.channel}: {text}{details}"
    if record.formatted_exception:
        line += "\n" + record.formatted_exception
    return line


def _format_json(record: logbook.LogRecord, handler: logbook.Handler) -> str:
    line = {
        "time": _format_time(record),
        "level": record.level_name.lower(),
        "part": record.channel,
        "message": record.extra.get("message", ""),
        "text": record.message,
        **record.extra.get("fields", {}),
    }
    if record.extra.get("left_out"):
        line["left_out"] = record.extra["left_out"]
    if record.formatted_exception:
        line["traceback"] = record.formatted_exception
    return json.dumps(line, default=str)


def _format_time(record: logbook.LogRecord) -> str:
    time = record.time
    if time.tzinfo is None:
        time = time.replace(tzinfo=datetime.UTC)
    return time.isoformat(timespec="milliseconds")


def _hide(fields: dict) -> dict:
    return {
        name: "(hidden)" if name in _HIDDEN_FIELDS else value
        for name, value in fields.items()
    }


def _quote(value: typing.Any) -> str:
    text = f"{value:g}" if isinstance(value, float) else str(value)
    # A value from outside must not be able to start a new line.
    plain = text.isprintable() and " " not in text and '"' not in text
    return text if plain and text else json.dumps(text)


def _escape(text: str) -> str:
    return text if text.isprintable() else json.dumps(text)
