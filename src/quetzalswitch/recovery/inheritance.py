"""Targets that may still run tasks that an earlier leader started."""

from quetzalswitch import nodelog
from quetzalswitch.decision import decider as deciders
from quetzalswitch.execution import sessions
from quetzalswitch.execution import tenure as tenures


class Inheritance:
    """Finds out what targets run of earlier leaders, until all is known.

    Registrations in the store may expire during an outage. The targets that an
    earlier leader used are therefore stored separately.

    Attributes:
        targets: IDs of the targets on which unknown runs may be active.
        unknown_until_s: Until when targets that nothing names may have such
            runs; monotonic.
    """

    def __init__(
        self,
        decider: deciders.Decider,
        open_sessions: dict[str, sessions.Session],
        tenure: tenures.Tenure,
        log: nodelog.NodeLog,
    ):
        self.targets: set[str] = set()
        self.unknown_until_s = float("-inf")
        self._decider = decider
        self._sessions = open_sessions
        self._tenure = tenure
        self._log = log

    def apply_handover(
        self,
        runs_by_target: dict[str, list[tuple[str, int]]],
        previous: str,
        now_s: float,
    ) -> None:
        """Applies what the previous leader knew when it stopped deciding.

        Without it, a single unreachable target delays all inherited work until
        the leases on it have expired.

        Args:
            runs_by_target: Task and run number, by target.
            previous: Name of the previous leader.
            now_s: Monotonic time.
        """
        complete = self._decider.apply_handover(
            runs_by_target, self.targets, now_s
        )
        self._log.note(
            "taken_over",
            epoch=self._decider.epoch,
            previous=previous,
            unheard=sorted(self.targets),
            complete=complete,
        )

    def check(self, now_s: float, took_s: float) -> None:
        """Marks the decider reconciled once no unknown run can be active.

        Args:
            now_s: Monotonic time.
            took_s: Time since the epoch began.
        """
        if self._decider.reconciled:
            return
        for target_id in list(self.targets):
            session = self._sessions.get(target_id)
            if (
                session is None
                or session.target.synced
                or self._tenure.covers(session.leases_expire_at())
            ):
                self.targets.discard(target_id)
        if not self.targets and self._tenure.covers(self.unknown_until_s):
            self._decider.reconciled = True
            self._log.note(
                "settled", epoch=self._decider.epoch, took=round(took_s, 3)
            )


def list_runs(
    decider: deciders.Decider, open_sessions: dict[str, sessions.Session]
) -> dict[str, list[tuple[str, int]]]:
    """Returns runs that may be running or whose end may not be stored.

    Args:
        decider: Decider that tracks the targets.
        open_sessions: Sessions by target.

    Returns:
        Task and run number, by target.
    """
    runs = {target.id: list(target.runs) for target in decider.targets.values()}
    for target_id, task, number in decider.unknown_jobs.list_runs():
        runs.setdefault(target_id, []).append((task, number))
    for target_id, session in open_sessions.items():
        runs.setdefault(target_id, []).extend(
            session.list_unacknowledged_ends()
        )
    return {target_id: found for target_id, found in runs.items() if found}
