"""Job states for callers, including ends that are about to be stored."""

import typing
from collections.abc import Callable

import gevent.event

from quetzalswitch.decision import decider as deciders
from quetzalswitch.decision import jobs
from quetzalswitch.execution import sessions

# How long a query for a job whose last tasks are running waits for ends that
# targets are about to report, which takes a few milliseconds. In the users'
# workloads, callers poll again only after a quarter of a second.
PENDING_END_WAIT_S: typing.Final = 0.03
# Storing an end takes 15 to 20 ms. Queries don't wait longer for a slow store.
STORE_WAIT_S: typing.Final = 0.12


class JobStateReader:
    """Reads job states for callers on the leader."""

    def __init__(self, decider: deciders.Decider):
        self._decider = decider
        self._waiters: list[tuple[gevent.event.Event, Callable]] = []

    def read(
        self, job: jobs.Job, open_sessions: dict[str, sessions.Session]
    ) -> jobs.Phase:
        """Returns the visible phase of a job.

        Waits a short time for an end that has just happened or is being stored.

        Args:
            job: The job.
            open_sessions: Sessions by target.
        """
        if self._decider.may_end_soon(job):
            for target_id in job.list_targets():
                if target_id in open_sessions:
                    open_sessions[target_id].request_poll()
            self._wait_until(lambda: job.final, PENDING_END_WAIT_S)
        if job.final:
            self._wait_until(
                lambda: job.visible_phase is job.phase, STORE_WAIT_S
            )
        return job.visible_phase

    def wake(self) -> None:
        """Wakes queries whose condition is met now."""
        for event, is_met in self._waiters:
            if is_met():
                event.set()

    def _wait_until(self, is_met: Callable[[], bool], limit_s: float) -> None:
        if is_met():
            return
        waiter = (gevent.event.Event(), is_met)
        self._waiters.append(waiter)
        waiter[0].wait(timeout=limit_s)
        self._waiters.remove(waiter)
