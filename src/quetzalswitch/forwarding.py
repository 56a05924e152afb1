"""Chooses the peer that places a request which can't start here."""

import random

from quetzalswitch import records
from quetzalswitch.peers import protocol

# A request waits this long for a local slot before a peer is asked.
FORWARD_AFTER_S = 0.2
# A peer that has not started a forwarded request by then returns it.
RETURN_AFTER_S = 5.0
# A forward without an answer is sent again after this time.
ANSWER_TIMEOUT_S = 1.0
# Heartbeats are up to one interval old, so that several entries see the same
# free slots; each uses only this part of them in one round.
USABLE_PART = 0.5


class Budget:
    """Free slots and headroom of the peers, counted down within a round.

    Args:
        peers: Last heartbeat of each live peer by entry ID.
        chooser: Source of randomness.
    """

    def __init__(
        self,
        peers: dict[str, protocol.Heartbeat],
        chooser: random.Random | None = None,
    ):
        self._random = chooser or random.Random()
        self._slots: dict[str, int] = {}
        self._headroom: dict[tuple[str, str], int] = {}
        for entry_id, heartbeat in peers.items():
            if heartbeat.draining or heartbeat.queued > heartbeat.free_slots:
                continue
            usable = heartbeat.free_slots * USABLE_PART
            self._slots[entry_id] = int(usable) or heartbeat.free_slots
            for team in heartbeat.teams:
                self._headroom[entry_id, team.team] = team.headroom

    def choose(self, request: records.Request) -> str:
        """Returns the entry ID of a peer with room for the request, or "".

        Takes the better of two random candidates, which spreads load nearly
        as well as the best of all when the summaries are stale, and does not
        send everything to one peer.
        """
        need = request.task_count
        usable = [
            entry_id
            for entry_id, slots in self._slots.items()
            if slots >= need
            and self._headroom.get((entry_id, request.team), 0) >= need
        ]
        if not usable:
            return ""
        pair = self._random.sample(usable, min(2, len(usable)))
        chosen = max(pair, key=lambda entry_id: self._slots[entry_id])
        self._slots[chosen] -= need
        self._headroom[chosen, request.team] -= need
        return chosen
