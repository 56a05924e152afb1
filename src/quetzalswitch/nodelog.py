"""Structured log of an entry process: one JSON object a line on stdout.

Lines are queued and written by a greenlet of their own, so that a full pipe
delays no request. When the queue is full, lines are counted and left out; the
next line that is written says how many.
"""

import collections
import errno
import os
import sys
import typing

import gevent
import gevent.event
import msgspec

from quetzalswitch import clock as clocks

# About 1 MB of lines; a full pipe is drained within a second or not at all.
QUEUE_LIMIT_LINES: typing.Final = 4000
# Lines are gathered for this long, which saves a system call for each.
GATHER_S: typing.Final = 0.1
BLOCKED_PAUSE_S: typing.Final = 0.05
# Pipes take up to this much as a whole.
_CHUNK_LIMIT_BYTES: typing.Final = 4096


class NodeLog:
    """Queue of log lines.

    Attributes:
        dropped: Lines left out since the last line that was written.
        dropped_total: Lines left out so far.
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
        self._filled = gevent.event.Event()

    @property
    def queued(self) -> int:
        """Lines that are not written yet."""
        return len(self._queue)

    def note(self, event: str, **fields: typing.Any) -> None:
        """Queues a line.

        Args:
            event: What happened; docs/OPERATIONS.md lists the events.
            **fields: The inputs that decided it and the outcome.
        """
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
        self._filled.set()

    def start(self, descriptor: int | None = None) -> None:
        """Starts writing lines, to standard output by default."""
        if descriptor is None:
            descriptor = sys.stdout.fileno()
        os.set_blocking(descriptor, False)
        gevent.spawn(self._run, descriptor)

    def flush(self, descriptor: int | None = None) -> None:
        """Writes what is queued as far as that is possible at once."""
        if descriptor is None:
            descriptor = sys.stdout.fileno()
        while self._queue and self._write_chunk(descriptor):
            pass

    def _run(self, descriptor: int) -> None:
        while True:
            self._filled.wait()
            gevent.sleep(GATHER_S)
            self._filled.clear()
            while self._queue:
                if not self._write_chunk(descriptor):
                    gevent.sleep(BLOCKED_PAUSE_S)

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
                # Nobody reads the log any more; it can't be reported either.
                self._queue.clear()
                return True
            written = 0
        if written < len(chunk):
            self._queue.appendleft(chunk[written:])
            return False
        return True
