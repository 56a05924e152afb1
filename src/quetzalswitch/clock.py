"""Clocks; all modules get the time from one, which tests can replace."""

import heapq
import itertools
import time
import typing

import gevent
import gevent.event


class Clock(typing.Protocol):
    """Source of time and of timed waits."""

    def now(self) -> float:
        """Returns monotonic time in seconds."""

    def boot(self) -> float:
        """Returns monotonic seconds that also count while the VM is suspended.

        The start is arbitrary and not that of `now`.
        """

    def wall(self) -> float:
        """Returns seconds since the Unix epoch; for display and records."""

    def sleep(self, seconds: float) -> None:
        """Suspends the calling greenlet for the given number of seconds."""


class SystemClock:
    """The clock of the operating system."""

    def now(self) -> float:
        """Returns monotonic time in seconds."""
        return time.monotonic()

    def boot(self) -> float:
        """Returns monotonic seconds, suspensions of the VM included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Returns seconds since the Unix epoch."""
        return time.time()

    def sleep(self, seconds: float) -> None:
        """Suspends the calling greenlet for the given number of seconds."""
        gevent.sleep(seconds)


class ManualClock:
    """A clock for tests that changes only when a test advances it."""

    def __init__(self, start_s: float = 1000.0):
        self._now_s = start_s
        self._suspended_s = 0.0
        self._order = itertools.count()
        self._sleepers: list[tuple[float, int, gevent.event.Event]] = []

    def now(self) -> float:
        """Returns the time set by the test, in seconds."""
        return self._now_s

    def boot(self) -> float:
        """Returns the time set by the test and the suspensions, in seconds."""
        return self._now_s + self._suspended_s

    def suspend(self, seconds: float) -> None:
        """Lets time pass that only `boot` counts."""
        self._suspended_s += seconds

    def wall(self) -> float:
        """Returns the time set by the test, in seconds."""
        return self._now_s

    def sleep(self, seconds: float) -> None:
        """Suspends the calling greenlet until the test advances past it."""
        event = gevent.event.Event()
        due = self._now_s + seconds
        heapq.heappush(self._sleepers, (due, next(self._order), event))
        event.wait()

    def advance(self, seconds: float) -> None:
        """Advances the time and wakes sleepers in order of due time."""
        end = self._now_s + seconds
        while self._sleepers and self._sleepers[0][0] <= end:
            due, _, event = heapq.heappop(self._sleepers)
            self._now_s = max(self._now_s, due)
            event.set()
            gevent.sleep(0)
        self._now_s = end
        gevent.sleep(0)
