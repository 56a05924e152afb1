"""Writes the rows of tracked requests, one write of a row at a time."""

import typing

import gevent

from quetzalswitch import clock as clocks
from quetzalswitch import exceptions
from quetzalswitch import journal as journals
from quetzalswitch import tracking

RETRY_S = 1.0


class RowWriter:
    """The part of the home that writes rows.

    Each write is conditional on the version that the one before has made.

    Args:
        clock: Source of time.
        journal: Durable records.
        post: Gives a message to the home task.
        observe: Records an event for history and metrics: (name, fields).
    """

    def __init__(
        self,
        clock: clocks.Clock,
        journal: journals.Journal,
        post: typing.Callable[[tracking.Written], None],
        observe: typing.Callable[..., None],
    ):
        self._clock = clock
        self._journal = journal
        self._post = post
        self._observe = observe

    def write(self, entry: tracking.Tracked, write: tracking.Write) -> None:
        """Writes the row after the writes before it."""
        entry.writes.append(write)
        if not entry.writing:
            self._write_next(entry)

    def finish_write(self, message: tracking.Written) -> None:
        """Takes note of a write that has ended and begins the next one."""
        entry = message.entry
        entry.writing = False
        if message.version:
            entry.row = message.write.row
            entry.version = message.version
        message.write.then(bool(message.version))
        if entry.writes and not entry.writing:
            self._write_next(entry)

    def _write_next(self, entry: tracking.Tracked) -> None:
        entry.writing = True
        gevent.spawn(self._await_write, entry, entry.writes.popleft())

    def _await_write(
        self, entry: tracking.Tracked, write: tracking.Write
    ) -> None:
        key = entry.request.key
        submit = self._journal.finish if write.final else self._journal.update
        started_s = self._clock.now()
        while True:
            try:
                version = submit(key, write.row, entry.version).wait(None)
                break
            except exceptions.StoreUnavailableError:
                # The committer's queue is full; nothing was sent.
                self._clock.sleep(RETRY_S)
            except exceptions.QuetzalError:
                # Another entry adopted the request: its record is not ours.
                version = 0
                break
        self._observe(
            "recorded",
            request=entry.request,
            duration_s=self._clock.now() - started_s,
        )
        self._post(tracking.Written(entry, write, version))
