"""The targets of a leader: their registrations, sessions and stored list."""

import typing
from collections.abc import Callable

from quetzalswitch import clock as clocks
from quetzalswitch import nodelog
from quetzalswitch.decision import decider as deciders
from quetzalswitch.decision import fleet
from quetzalswitch.execution import sessions
from quetzalswitch.execution import tenure as tenures
from quetzalswitch.platform import records
from quetzalswitch.platform import store as stores
from quetzalswitch.recovery import target_list

# A live target that disappeared from the list reappears within two seconds of
# the store's recovery.
UNLISTED_TIMEOUT_S: typing.Final = 2.5


class Roster:
    """Keeps a session with each target that may have running tasks.

    Attributes:
        sessions: Sessions by target.
    """

    def __init__(
        self,
        decider: deciders.Decider,
        tenure: tenures.Tenure,
        clock: clocks.Clock,
        log: nodelog.NodeLog,
        open_session: Callable[[fleet.Target], sessions.Session],
        store_list: Callable[[bytes], None],
        is_list_stored: Callable[[], bool],
    ):
        """Prepares the roster.

        Args:
            decider: Decider that tracks the targets.
            tenure: Confirmations that this process leads.
            clock: The runtime's clock.
            log: Where unreadable rows and lists are logged.
            open_session: Starts a session with a target and returns it.
            store_list: Stores the encoded list of targets, if it has changed.
            is_list_stored: Whether the store has the latest list.
        """
        self.sessions: dict[str, sessions.Session] = {}
        self._decider = decider
        self._tenure = tenure
        self._clock = clock
        self._log = log
        self._open_session = open_session
        self._store_list = store_list
        self._is_list_stored = is_list_stored
        self._unlisted_s: dict[str, float] = {}

    def load(self, rows: list[stores.Row], stored_list: bytes) -> bool:
        """Adds the targets that a new leader finds in the store.

        Args:
            rows: Registrations of all targets.
            stored_list: Encoded list of the targets of the previous leader.

        Returns:
            Whether the list could be read, so that no other target can have
            running tasks.
        """
        stored = target_list.read(stored_list, self._log)
        self._register(rows, True)
        self._add_stored_targets(stored.registrations)
        # Not before: this leader may be lost after its first write.
        self._store()
        return stored.complete

    def apply_rows(self, rows: list[stores.Row], full: bool) -> None:
        """Applies changed registrations.

        Args:
            rows: Rows of the targets' table.
            full: Whether these are all rows of the table.
        """
        self._register(rows, full)
        self._store()

    def check(self, now_s: float) -> None:
        """Reports expired leases; removes unlisted targets that are gone."""
        for target_id, session in list(self.sessions.items()):
            target = session.target
            expired = self._tenure.covers(session.unanswered_starts_expire_at())
            if self._tenure.covers(session.leases_expire_at()):
                session.report_lease_expiry(expired)
            if target.registered:
                continue
            unlisted_s = self._unlisted_s.get(target_id, now_s)
            unlisted = now_s - unlisted_s > UNLISTED_TIMEOUT_S
            if unlisted and (expired or session.is_shut_down()):
                self._close_session(target_id)
                self._decider.remove_target(target_id, "unlisted", now_s)
                self._unlisted_s.pop(target_id, None)
                self._store()

    def record_stored(self) -> None:
        """Lets targets get tasks once the stored list names them."""
        if self._is_list_stored():
            for target in self._decider.targets.values():
                target.recorded = True

    def stop(self) -> None:
        """Stops all sessions; they are kept for the list of their runs."""
        for session in self.sessions.values():
            session.stop()

    def _register(self, rows: list[stores.Row], full: bool) -> None:
        now_s = self._clock.now()
        listed = set()
        for row in rows:
            registration = records.read_target(row, self._log)
            if registration is None:
                self._mark_unlisted(row.key)
                continue
            listed.add(row.key)
            self._unlisted_s.pop(row.key, None)
            target = self._decider.targets.get(row.key)
            address_changed = (
                target is not None
                and target.registration.address != registration.address
            )
            target = self._decider.register(registration, now_s)
            if address_changed:
                target.recorded = False
                self._close_session(row.key)
            if row.key not in self.sessions:
                self.sessions[row.key] = self._open_session(target)
        if full:
            for target_id in list(self._decider.targets):
                if target_id not in listed:
                    self._mark_unlisted(target_id)

    def _add_stored_targets(
        self, registrations: list[fleet.Registration]
    ) -> None:
        """Adds targets that may have running tasks but are not listed."""
        for registration in registrations:
            if registration.id in self._decider.targets:
                continue
            target = self._decider.register(registration, self._clock.now())
            self._mark_unlisted(target.id)
            self.sessions[target.id] = self._open_session(target)

    def _mark_unlisted(self, target_id: str) -> None:
        target = self._decider.targets.get(target_id)
        if target is not None:
            target.registered = False
            self._unlisted_s.setdefault(target_id, self._clock.now())

    def _close_session(self, target_id: str) -> None:
        session = self.sessions.pop(target_id, None)
        if session is not None:
            session.stop()

    def _store(self) -> None:
        targets = self._decider.targets.values()
        self._store_list(
            target_list.encode(target.registration for target in targets)
        )
        self.record_stored()
