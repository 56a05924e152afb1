"""What an entry process offers to operators."""

import typing

from quetzalswitch import changelog
from quetzalswitch import configuration as configurations
from quetzalswitch import exceptions

COMMIT_TIMEOUT_S = 5.0


class Surroundings(typing.NamedTuple):
    """What the operators' service needs from the rest of the process.

    Attributes:
        table: Client of the table service.
        committer: Writes of this process.
        find_configuration: Returns the configuration in force.
        change_blocked_reason: Returns the reason for which no change may be
            accepted, or an empty string.
        announce: Puts a version in force here and tells all peers.
        describe_state: Returns members, targets, limits and versions.
        describe_queues: Returns the load of each team.
        explain: Returns why a request waits: (request key).
    """

    table: typing.Any
    committer: typing.Any
    find_configuration: typing.Callable[[], configurations.Configuration]
    change_blocked_reason: typing.Callable[[], str]
    announce: typing.Callable[[configurations.Configuration], None]
    describe_state: typing.Callable[[], dict]
    describe_queues: typing.Callable[[], list[dict]]
    explain: typing.Callable[[str], str]


class Operation:
    """Answers operators."""

    def __init__(self, surroundings: Surroundings):
        self._around = surroundings

    def configuration(self) -> configurations.Configuration:
        """Returns the configuration in force at this entry."""
        return self._around.find_configuration()

    def submit_change(
        self, expected_version: int, change: configurations.Change
    ) -> int:
        """Returns the new version once the change is durable.

        Raises:
            RequestError: version_conflict, store_unavailable, outcome_unknown
                or bad_request.
        """
        reason = self._around.change_blocked_reason()
        if reason:
            raise exceptions.RequestError(
                exceptions.ErrorKind.CONFIGURATION_STALE,
                reason,
                retry_after_s=2.0,
            )
        snapshot = self._around.find_configuration()
        if snapshot.version != expected_version:
            raise exceptions.RequestError(
                exceptions.ErrorKind.VERSION_CONFLICT,
                f"expected_version: expected {expected_version}, the version "
                f"in force here is {snapshot.version}",
                field="expected_version",
            )
        made = changelog.propose(
            self._around.table, self._commit, snapshot, change
        )
        self._around.announce(made)
        return made.version

    def state(self) -> dict:
        """Returns members, targets, limits and the version in force."""
        return self._around.describe_state()

    def queues(self) -> list[dict]:
        """Returns the load of each team at this entry."""
        return self._around.describe_queues()

    def why(self, team: str, request_id: str) -> str:
        """Returns the reason for which a request waits or where it is."""
        return self._around.explain(f"{team}/{request_id}")

    def _commit(self, conditions: dict, writes: dict) -> int:
        pending = self._around.committer.submit(conditions, writes)
        try:
            return pending.wait(COMMIT_TIMEOUT_S)
        except exceptions.StoreUnavailableError:
            if pending.withdraw():
                raise exceptions.RequestError(
                    exceptions.ErrorKind.STORE_UNAVAILABLE,
                    "the table service does not answer; nothing was changed",
                    retry_after_s=5.0,
                ) from None
            raise
