"""Quarantine of failing targets and abandonment of failing jobs."""

import enum
import typing

from quetzalswitch import clock as clocks
from quetzalswitch import policy as policies


class Verdict(enum.Enum):
    """What to do with a request after an attempt ended."""

    COMPLETE = "complete"
    RETRY = "retry"
    ABANDON = "abandon"


class _TargetHealth:
    __slots__ = ("jobs", "probe_s", "wait_s")

    def __init__(self):
        self.jobs: set[str] = set()
        self.probe_s: float | None = None
        self.wait_s = 0.0


class Quarantine:
    """Counts distinct failed jobs per target and failed targets per job.

    A failure on a quarantined target does not count against the job, and the
    failures of an abandoned job do not count against the targets.
    """

    def __init__(self, clock: clocks.Clock, policy: policies.Policy):
        self._clock = clock
        self._policy = policy
        self._targets: dict[str, _TargetHealth] = {}
        self._jobs: dict[str, set[str]] = {}

    def record_success(self, target_id: str, job: str) -> bool:
        """Records a success; returns whether it ends a quarantine."""
        self._jobs.pop(job, None)
        health = self._targets.pop(target_id, None)
        return health is not None and health.probe_s is not None

    def record_failure(self, target_id: str, job: str) -> Verdict:
        """Records a failure; returns whether to retry or abandon the job."""
        health = self._targets.setdefault(target_id, _TargetHealth())
        if health.probe_s is not None:
            health.wait_s = min(2.0 * health.wait_s, self._policy.probe_max_s)
            health.probe_s = self._clock.now() + health.wait_s
            return Verdict.RETRY
        health.jobs.add(job)
        failed_on = self._jobs.setdefault(job, set())
        failed_on.add(target_id)
        if len(failed_on) >= self._policy.abandon_targets:
            self._abandon(job)
            return Verdict.ABANDON
        if len(health.jobs) >= self._policy.quarantine_jobs:
            self._quarantine(target_id, health)
        return Verdict.RETRY

    def probe_s(self, target_id: str) -> float | None:
        """Returns when to probe a target, or None if not quarantined."""
        health = self._targets.get(target_id)
        return None if health is None else health.probe_s

    def failed_on(self, job: str) -> frozenset[str]:
        """Returns the targets on which a job has failed."""
        return frozenset(self._jobs.get(job, ()))

    def forget_job(self, job: str) -> None:
        """Drops the failures of a finished job."""
        self._jobs.pop(job, None)

    def forget_target(self, target_id: str) -> None:
        """Drops the failures of a removed target."""
        self._targets.pop(target_id, None)

    def quarantined(self) -> typing.Iterator[str]:
        """Yields the quarantined targets."""
        for target_id, health in self._targets.items():
            if health.probe_s is not None:
                yield target_id

    def _quarantine(self, target_id: str, health: _TargetHealth) -> None:
        health.wait_s = self._policy.probe_min_s
        health.probe_s = self._clock.now() + health.wait_s
        # The failures are attributed to the target, so they no longer count
        # against the jobs.
        for job in health.jobs:
            failed_on = self._jobs.get(job)
            if failed_on is not None:
                failed_on.discard(target_id)

    def _abandon(self, job: str) -> None:
        for target_id in self._jobs.pop(job):
            health = self._targets.get(target_id)
            if health is not None and health.probe_s is None:
                health.jobs.discard(job)
