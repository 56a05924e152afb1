"""Structured log of an entry process: one JSON object per line on stdout.

A separate greenlet writes the queued lines, so that a full pipe delays no
request. When the queue is full, lines are dropped; the next line that is queued
contains the number of dropped lines.
"""

import collections
import errno
import os
import sys
import traceback
import typing

import gevent
import gevent.event
import msgspec

from quetzalswitch import clock as clocks

# About 1 MB of lines. A pipe that is still full after a second usually has no
# reader any more.
QUEUE_LIMIT_LINES: typing.Final = 4000
# Rows whose last logged version is remembered.
NOTED_LIMIT_ROWS: typing.Final = 1000
# Lines are batched for this long to save a system call per line.
BATCH_DELAY_S: typing.Final = 0.1
BLOCKED_RETRY_DELAY_S: typing.Final = 0.05
# Of an unexpected exception, whose text may quote data of any size.
ERROR_LIMIT_CHARACTERS: typing.Final = 200
TRACEBACK_FRAMES_COUNT: typing.Final = 6
TRACEBACK_LIMIT_CHARACTERS: typing.Final = 2000
# Writes to a pipe are atomic up to this size.
_CHUNK_LIMIT_BYTES: typing.Final = 4096


class NodeLog:
    """Queue of log lines.

    Attributes:
        dropped: Lines dropped since the last line that was queued.
        dropped_total: Lines dropped so far.
        lines: Lines queued so far.
        counts: Number of events so far, by event.
    """

    def __init__(self, clock: clocks.Clock, node: str = "", lifetime: str = ""):
        self.dropped = 0
        self.dropped_total = 0
        self.lines = 0
        self.counts: collections.Counter[str] = collections.Counter()
        self._clock = clock
        self._node = node
        self._lifetime = lifetime
        self._queue: collections.deque[bytes] = collections.deque()
        self._has_lines = gevent.event.Event()
        # Versions of the rows that `note_once` has logged, by event and key.
        self._noted: dict[tuple[str, str], int] = {}

    @property
    def queued(self) -> int:
        """Number of lines that are not written yet."""
        return len(self._queue)

    def note(self, event: str, **fields: typing.Any) -> None:
        """Queues a line.

        Args:
            event: Name of the event; docs/OPERATIONS.md lists the events.
            **fields: The inputs of the decision and its outcome.
        """
        self._add(event, fields)

    def note_once(
        self, event: str, key: str, version: int, /, **fields: typing.Any
    ) -> None:
        """Queues a line unless the last one was about the same version.

        Args:
            event: Name of the event.
            key: Key of the row that the line is about.
            version: Version of the row.
            **fields: The fields of the line.
        """
        if self._noted.get((event, key)) == version:
            return
        if len(self._noted) >= NOTED_LIMIT_ROWS:
            self._noted.clear()
        self._noted[event, key] = version
        self._add(event, fields)

    def start(self, descriptor: int | None = None) -> None:
        """Starts the greenlet that writes lines, by default to stdout."""
        if descriptor is None:
            descriptor = sys.stdout.fileno()
        os.set_blocking(descriptor, False)
        gevent.spawn(self._run, descriptor)

    def flush(self, descriptor: int | None = None) -> None:
        """Writes queued lines until the queue is empty or a write blocks."""
        if descriptor is None:
            descriptor = sys.stdout.fileno()
        while self._queue and self._write_chunk(descriptor):
            pass

    def _add(self, event: str, fields: dict[str, typing.Any]) -> None:
        self.counts[event] += 1
        if len(self._queue) >= QUEUE_LIMIT_LINES:
            self.dropped += 1
            self.dropped_total += 1
            return
        self.lines += 1
        line = {
            "t": round(self._clock.wall(), 3),
            "n": self.lines,
            "event": event,
            **fields,
        }
        if self.dropped:
            line["dropped_lines"] = self.dropped
            self.dropped = 0
        line["node"] = self._node
        line["life"] = self._lifetime
        self._queue.append(msgspec.json.encode(line) + b"\n")
        self._has_lines.set()

    def _run(self, descriptor: int) -> None:
        while True:
            self._has_lines.wait()
            gevent.sleep(BATCH_DELAY_S)
            self._has_lines.clear()
            while self._queue:
                if not self._write_chunk(descriptor):
                    gevent.sleep(BLOCKED_RETRY_DELAY_S)

    def _write_chunk(self, descriptor: int) -> bool:
        chunk = b""
        while self._queue and (
            not chunk or len(chunk) + len(self._queue[0]) <= _CHUNK_LIMIT_BYTES
        ):
            chunk += self._queue.popleft()
        try:
            written = os.write(descriptor, chunk)
        except OSError as error:
            if error.errno != errno.EAGAIN:
                # The log has no reader any more, so the error can't be logged.
                self._queue.clear()
                return True
            written = 0
        if written < len(chunk):
            self._queue.appendleft(chunk[written:])
            return False
        return True


def describe_exception(error: Exception) -> dict[str, str]:
    """Returns the fields of a log line about an unexpected exception."""
    frames = traceback.format_tb(
        error.__traceback__, limit=-TRACEBACK_FRAMES_COUNT
    )
    return {
        "error": repr(error)[:ERROR_LIMIT_CHARACTERS],
        "traceback": "".join(frames)[-TRACEBACK_LIMIT_CHARACTERS:],
    }
