"""Durable records of requests, written through the committer.

Rows:
    request/<team>/<id>: the request, its state, home, attempts and result.
    open/<home>/<team>/<id>: index of requests that are not finished.
    home/<incarnation>: homes that may have open requests.
"""

import typing

from quetzalswitch import clock as clocks
from quetzalswitch import exceptions
from quetzalswitch import records
from quetzalswitch.peers import protocol as peer_protocol

# Each adopted request takes three rows of a transaction of at most 100.
ADOPT_PAGE_ROWS = 30


class RequestRow(typing.TypedDict):
    """Value of a request row.

    `attempts` are [attempt ID, target ID] pairs of a start that may have been
    sent; `accepted_wall_s` and `finished_wall_s` are in seconds since the Unix
    epoch, the second one only in the row of a request that has ended.
    """

    request: dict
    state: str
    home: str
    attempts: list[list[str]]
    result: dict | None
    error: dict | None
    accepted_wall_s: float
    finished_wall_s: typing.NotRequired[float]


def request_row_key(request_key: str) -> str:
    """Returns the table key of a request."""
    return f"request/{request_key}"


def open_row_key(home: str, request_key: str) -> str:
    """Returns the table key of an open request's index row."""
    return f"open/{home}/{request_key}"


def home_row_key(home: str) -> str:
    """Returns the table key of a home."""
    return f"home/{home}"


def read_request(row: RequestRow, now_s: float, wall_s: float):
    """Returns the request of a row, with its times moved to this clock.

    Args:
        row: Value of the request row.
        now_s: Time on this process's clock in seconds.
        wall_s: Seconds since the Unix epoch.
    """
    request = peer_protocol.request_from_plain(row["request"])
    waited_s = max(0.0, wall_s - row["accepted_wall_s"])
    deadline_s = request.deadline_s
    if deadline_s is not None:
        deadline_s = deadline_s - request.submitted_s + now_s - waited_s
    return request._replace(submitted_s=now_s - waited_s, deadline_s=deadline_s)


class Journal:
    """Writes and reads the durable records of one home.

    Each method that writes returns the committer's pending write; its result
    is the version of the request row. The condition on the row's version makes
    a write of a home that was replaced by an adopter fail.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        committer,
        table,
        entry_id: str,
        incarnation: str,
    ):
        self._clock = clock
        self._entry_id = entry_id
        self._committer = committer
        self._table = table
        self._incarnation = incarnation

    def create(self, request: records.Request):
        """Writes a new request; it conflicts if the ID is in use."""
        row = RequestRow(
            request=peer_protocol.request_to_plain(request),
            state=records.RequestState.QUEUED.value,
            home=self._incarnation,
            attempts=[],
            result=None,
            error=None,
            accepted_wall_s=self._clock.wall(),
        )
        key = request_row_key(request.key)
        writes = {key: row, open_row_key(self._incarnation, request.key): {}}
        return row, self._committer.submit({key: 0}, writes)

    def update(self, request_key: str, row: RequestRow, version: int):
        """Replaces the row of an open request."""
        key = request_row_key(request_key)
        return self._committer.submit({key: version}, {key: row})

    def finish(self, request_key: str, row: RequestRow, version: int):
        """Writes the final state and removes the request from the index."""
        key = request_row_key(request_key)
        ended = {**row, "finished_wall_s": self._clock.wall()}
        open_key = open_row_key(self._incarnation, request_key)
        writes = {key: ended, open_key: None}
        return self._committer.submit({key: version}, writes)

    def read(self, request_key: str):
        """Returns the row of a request, or None.

        Raises:
            StoreUnavailableError: The table service gave no answer.
        """
        return self._table.read_row(request_row_key(request_key))

    def open_home(self):
        """Announces this home, so that its requests are adopted if it dies."""
        key = home_row_key(self._incarnation)
        return self._committer.submit({key: 0}, {key: self._home(False)})

    def release_home(self):
        """Tells other entries to adopt this home's requests at once."""
        key = home_row_key(self._incarnation)
        return self._committer.submit({}, {key: self._home(True)})

    def _home(self, released: bool) -> dict:
        return {"entry": self._entry_id, "released": released}

    def list_homes(self):
        """Returns the rows of all homes.

        Raises:
            StoreUnavailableError: The table service gave no answer.
        """
        return self._table.read_rows("home/")

    def list_open(self, home: str):
        """Returns a page of the request keys that a home has open."""
        prefix = open_row_key(home, "")
        rows = self._table.read_rows(prefix, limit=ADOPT_PAGE_ROWS)
        return [row.key.removeprefix(prefix) for row in rows]

    def adopt(self, old_home: str, request_keys: list[str]):
        """Moves open requests of a dead home to this one.

        The caller makes sure that the dead home can no longer write.

        Returns:
            The adopted requests as (request key, row, version).

        Raises:
            StoreUnavailableError: Some may have moved; call again.
            ConditionFailedError: Another entry adopts as well.
        """
        conditions, writes, rows = {}, {}, {}
        for request_key in request_keys:
            row = self.read(request_key)
            writes[open_row_key(old_home, request_key)] = None
            if row is None or row.value["home"] != old_home:
                continue
            value = {**row.value, "home": self._incarnation}
            conditions[row.key] = row.version
            writes[row.key] = value
            writes[open_row_key(self._incarnation, request_key)] = {}
            rows[request_key] = value
        version = self._committer.submit(conditions, writes).wait(None)
        return [(key, value, version) for key, value in rows.items()]

    def close_home(self, home: str) -> None:
        """Removes a dead home that has no open requests left.

        Raises:
            StoreUnavailableError: The effect is unknown; call again.
        """
        key = home_row_key(home)
        self._committer.submit({}, {key: None}).wait(None)


def finished_row(
    row: RequestRow,
    state: records.RequestState,
    result: records.Result | None,
    error: exceptions.RequestError | None,
) -> RequestRow:
    """Returns the row of a request that has reached its final state."""
    plain_error = None
    if error is not None:
        plain_error = {
            "kind": error.kind.value,
            "message": error.message,
            "run": error.run.value,
        }
    plain_result = result._asdict() if result is not None else None
    return {
        **row,
        "state": state.value,
        "result": plain_result,
        "error": plain_error,
    }
