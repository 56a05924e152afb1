"""States that callers are told, with ends that are on their way."""

import typing
from collections.abc import Callable

import gevent.event

from quetzalswitch.decision import decider as deciders
from quetzalswitch.decision import jobs
from quetzalswitch.execution import sessions

# A caller who asks for the state of work whose last tasks are running waits so
# long for ends that are on their way, which take a few milliseconds. Callers on
# the users' days ask again a quarter of a second later.
FRESHNESS_WAIT_S: typing.Final = 0.03
# Storing an end takes 15 to 20 ms; a slow store is not waited for.
STORING_WAIT_S: typing.Final = 0.12


class JobStateReader:
    """Answers callers' questions for the deciding entry."""

    def __init__(self, decider: deciders.Decider):
        self._decider = decider
        self._readers: list[tuple[gevent.event.Event, Callable]] = []

    def read(
        self, job: jobs.Job, open_sessions: dict[str, sessions.Session]
    ) -> jobs.Phase:
        """Returns what callers are told of a job.

        An end that has just happened, or is just being stored, is waited for.

        Args:
            job: The job.
            open_sessions: Sessions by target.
        """
        if self._decider.may_end_soon(job):
            for target_id in job.list_targets():
                if target_id in open_sessions:
                    open_sessions[target_id].look()
            self._await(lambda: job.final, FRESHNESS_WAIT_S)
        if job.final:
            self._await(lambda: job.visible_phase is job.phase, STORING_WAIT_S)
        return job.visible_phase

    def wake(self) -> None:
        """Lets those go on whose condition is met now."""
        for event, is_met in self._readers:
            if is_met():
                event.set()

    def _await(self, is_met: Callable[[], bool], limit_s: float) -> None:
        if is_met():
            return
        reader = (gevent.event.Event(), is_met)
        self._readers.append(reader)
        reader[0].wait(timeout=limit_s)
        self._readers.remove(reader)
