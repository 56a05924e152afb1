"""Takes over the durable requests of entries that have died or left."""

import typing

from quetzalswitch import clock as clocks
from quetzalswitch import events
from quetzalswitch import exceptions
from quetzalswitch import journal as journals
from quetzalswitch import logs
from quetzalswitch import tasks
from quetzalswitch.peers import protocol
from quetzalswitch.targets import ownership

INTERVAL_S = 1.0
# A registration that has not been renewed for this long may be sealed. The
# process renews it every 2 s.
ENTRY_LEASE_S = 6.0
# The chosen adopter goes first; after this time any entry may adopt.
ADOPTER_HEAD_START_S = 10.0
# A message between entries may be lost, and an entry may join a little later.
ANNOUNCE_FOR_S = 30.0


class Surroundings(typing.NamedTuple):
    """What adoption needs from the rest of the process.

    Attributes:
        incarnation: Incarnation of this process.
        find_members: Returns the live entries, this one included.
        is_alive: Tells whether an incarnation is heard.
        to_home: Gives a message to the home task.
        announce: Tells all peers that requests have moved: (old home, keys).
        on_entries: Is told about the entries registered in the table.
    """

    incarnation: str
    find_members: typing.Callable[[], list[ownership.Member]]
    is_alive: typing.Callable[[str], bool]
    to_home: typing.Callable[[typing.Any], None]
    announce: typing.Callable[[str, list[str]], None]
    on_entries: typing.Callable[[list[protocol.MemberInfo]], None]


class Adoption(tasks.Task):
    """Seals the registration of dead entries and adopts their requests.

    Args:
        clock: Source of time.
        table: Client of the table service.
        committer: Writes of this process.
        journal: Durable records.
        surroundings: The rest of the process.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        table,
        committer,
        journal: journals.Journal,
        surroundings: Surroundings,
    ):
        super().__init__("adoption")
        self._clock = clock
        self._table = table
        self._committer = committer
        self._journal = journal
        self._around = surroundings
        self._seen: dict[str, tuple[int, float]] = {}
        self._noticed: dict[str, float] = {}
        self._announced: list[tuple[float, str, list[str]]] = []

    def run(self) -> None:
        """Looks for dead homes until stopped."""
        while True:
            try:
                self.check()
            except (
                exceptions.TransportError,
                exceptions.ConditionFailedError,
            ) as error:
                logs.write("adoption_retried", error=error)
            self._clock.sleep(INTERVAL_S)

    def last_sign_s(self, entry_id: str) -> float:
        """Returns when an entry's registration was last seen to change."""
        return self._seen.get(entry_id, (0, float("-inf")))[1]

    def check(self) -> None:
        """Looks at all homes once.

        Raises:
            StoreUnavailableError: The table service gave no answer.
            ConditionFailedError: Another entry adopts at the same time.
        """
        self._announce_again()
        entries = {row.key: row for row in self._table.read_rows("entry/")}
        self._note_renewals(entries)
        self._around.on_entries(_list_members(entries))
        for row in self._journal.list_homes():
            home = row.key.removeprefix("home/")
            if home == self._around.incarnation:
                continue
            if self._around.is_alive(home) and not row.value["released"]:
                self._noticed.pop(home, None)
                continue
            if self._is_ours(home):
                self._take_over(home, row.value, entries)

    def _announce_again(self) -> None:
        """Repeats recent adoptions for peers that missed the message."""
        now_s = self._clock.now()
        self._announced = [each for each in self._announced if each[0] > now_s]
        for _, home, keys in self._announced:
            self._around.announce(home, keys)

    def _note_renewals(self, entries: dict) -> None:
        now_s = self._clock.now()
        for row in entries.values():
            entry_id = row.key.removeprefix("entry/")
            known = self._seen.get(entry_id)
            if known is None or known[0] != row.version:
                self._seen[entry_id] = (row.version, now_s)

    def _is_ours(self, home: str) -> bool:
        noticed_s = self._noticed.setdefault(home, self._clock.now())
        members = self._around.find_members()
        chosen = ownership.choose_owner(home, "", members)
        waited_s = self._clock.now() - noticed_s
        return (
            chosen == self._around.incarnation
            or waited_s > ADOPTER_HEAD_START_S
        )

    def _take_over(self, home: str, value: dict, entries: dict) -> None:
        entry_id = value["entry"]
        row = entries.get(f"entry/{entry_id}")
        if row is not None and not _is_fenced(row.value, home):
            unchanged_s = self._clock.now() - self.last_sign_s(entry_id)
            if unchanged_s < ENTRY_LEASE_S and not value["released"]:
                return
            self._committer.fence(entry_id, row.version)
            logs.write("entry_sealed", entry=entry_id, incarnation=home)
        self._adopt_all(home)

    def _adopt_all(self, home: str) -> None:
        while True:
            keys = self._journal.list_open(home)
            if not keys:
                break
            adopted = self._journal.adopt(home, keys)
            now_s, wall_s = self._clock.now(), self._clock.wall()
            rows = tuple(
                (
                    journals.read_request(value, now_s, wall_s)._replace(
                        home=self._around.incarnation
                    ),
                    value,
                    version,
                )
                for _, value, version in adopted
            )
            self._around.to_home(events.Adopted(home, rows))
            self._around.announce(home, keys)
            until_s = self._clock.now() + ANNOUNCE_FOR_S
            self._announced.append((until_s, home, keys))
            logs.write("requests_adopted", incarnation=home, count=len(rows))
        self._journal.close_home(home)
        self._noticed.pop(home, None)


def _list_members(entries: dict) -> list[protocol.MemberInfo]:
    return [
        protocol.MemberInfo(
            row.value["incarnation"],
            key.removeprefix("entry/"),
            row.value["address"],
        )
        for key, row in entries.items()
        if not row.value.get("sealed")
    ]


def _is_fenced(value: dict, home: str) -> bool:
    """Tells whether the incarnation can no longer write."""
    return bool(value.get("sealed")) or value["incarnation"] != home
