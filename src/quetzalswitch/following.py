"""The task that follows the configuration in the table service."""

import contextlib
import dataclasses
import typing

import gevent.queue

from quetzalswitch import changelog
from quetzalswitch import clock as clocks
from quetzalswitch import configuration as configurations
from quetzalswitch import events
from quetzalswitch import exceptions
from quetzalswitch import freshness as freshnesses
from quetzalswitch import logs
from quetzalswitch import tasks

READ_INTERVAL_S = 1.0


@dataclasses.dataclass(frozen=True)
class Notice:
    """A version is durable in the table; read it now."""

    version: int


class Following(tasks.Task):
    """Keeps the configuration in force up to date.

    Args:
        clock: Source of time.
        table: Client of the table service.
        freshness: Notes when the version was confirmed.
        tell: Gives a `ConfigurationChanged` to the parts that use it.
        read_interval_s: Time between reads of the version.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        table,
        freshness: freshnesses.Freshness,
        tell: typing.Callable[[events.ConfigurationChanged], None],
        read_interval_s: float = READ_INTERVAL_S,
    ):
        super().__init__("configuration")
        self._clock = clock
        self._table = table
        self._freshness = freshness
        self._tell = tell
        self._read_interval_s = read_interval_s
        self._follower = changelog.Follower()

    @property
    def configuration(self) -> configurations.Configuration:
        """The configuration in force."""
        return self._follower.configuration

    def run(self) -> None:
        """Reads the version each interval, and at once after a notice."""
        while True:
            self.check()
            with contextlib.suppress(gevent.queue.Empty):
                notice = self.inbox.get(timeout=self._read_interval_s)
                if notice.version <= self._follower.version:
                    continue

    def adopt(self, made: configurations.Configuration) -> None:
        """Puts a version in force that this process has made durable.

        It must not depend on a read, which may fail right after the commit.
        """
        if self._follower.adopt(made):
            self._tell(events.ConfigurationChanged(made, None))

    def check(self) -> None:
        """Reads the version and applies the changes that are missing."""
        try:
            self._catch_up()
        except exceptions.TransportError as error:
            self._freshness.record_access_failure()
            logs.write(
                "store_unavailable", operation="read_version", error=error
            )
        except exceptions.ConfigurationError as error:
            logs.write(
                "configuration_unreadable",
                version=self._follower.version,
                error=error,
            )

    def _catch_up(self) -> None:
        sent_s = self._clock.now()
        row = self._table.read_row(changelog.HEAD_KEY)
        head = row.value["version"] if row is not None else 0
        self._follower.observe_head(head)
        changed = False
        while read := self._follower.next_read():
            rows = self._table.read_rows(read.prefix, read.after, read.limit)
            changed |= self._follower.offer(read, rows)
        if changed:
            logs.write("configuration_changed", version=self._follower.version)
            row_version = row.version if row is not None else 0
            self._tell(
                events.ConfigurationChanged(self.configuration, row_version)
            )
        if self._follower.version >= head:
            self._freshness.confirm(head, sent_s)
