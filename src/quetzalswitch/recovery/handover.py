"""Hand-over of what may be running from one leader to the next."""

import typing

from quetzalswitch import exceptions
from quetzalswitch import nodelog
from quetzalswitch.peers import links as peer_links
from quetzalswitch.recovery import election
from quetzalswitch.recovery import leadership as leaderships

# The answer lists every run, about 5,000 at the design's size. Without it, the
# new leader waits for leases to expire.
TIMEOUT_S: typing.Final = 0.6


class HandOver:
    """Keeps the runs of this process's last epoch; asks others for theirs."""

    def __init__(
        self, name: str, links: peer_links.Links, log: nodelog.NodeLog
    ):
        self._name = name
        self._links = links
        self._log = log
        # Epoch of the last leadership of this process, and its runs at the end.
        self._last: tuple[int, dict] | None = None

    def record(self, ended: leaderships.Leadership) -> None:
        """Keeps the runs of an ended leadership, if it knew them all."""
        if ended.ready and ended.decider.reconciled:
            self._last = (ended.decider.epoch, ended.list_runs())

    def request(self, claim: election.Claim) -> dict | None:
        """Returns the runs of the previous leader; None if it can't tell."""
        if not claim.previous or claim.previous == self._name:
            return None
        try:
            answer = self._links.call(
                claim.previous,
                "hand_over",
                claim.epoch - 1,
                TIMEOUT_S,
                list[dict[str, list[tuple[str, int]]]],
            )
        except exceptions.TransportError as error:
            self._log.note("not_taken_over", error=str(error))
            return None
        return answer[0] if answer else None

    def answer(self, epoch: int) -> list:
        """Returns the runs at the end of an epoch; empty if they're unknown."""
        if self._last is None or self._last[0] != epoch:
            return []
        return [self._last[1]]
