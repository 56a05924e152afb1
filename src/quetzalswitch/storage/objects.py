"""Client of the platform's object store."""

import urllib.parse

from quetzalswitch import clock as clocks
from quetzalswitch import exceptions
from quetzalswitch import logs
from quetzalswitch import traffic
from quetzalswitch.storage import connections


class ObjectClient:
    """Stores, reads and deletes whole objects, each with a timeout."""

    def __init__(
        self,
        address: str,
        clock: clocks.Clock,
        timeout_s: float = connections.DEFAULT_TIMEOUT_S,
        counter: traffic.Counter | None = None,
    ):
        self._pool = connections.ConnectionPool(
            address, clock, timeout_s, counter
        )

    def put(self, key: str, body: bytes) -> None:
        """Stores an object, replacing any object with the same key.

        Raises:
            StoreUnavailableError: The effect is unknown; it can be repeated.
        """
        self._exchange("PUT", key, body, accepted=(200, 201, 204))

    def get(self, key: str) -> bytes:
        """Returns an object.

        Raises:
            KeyError: There is no object with this key.
            StoreUnavailableError: The store gave no usable answer.
        """
        answer = self._exchange("GET", key, b"", accepted=(200, 404))
        if answer.status == 404:
            raise KeyError(key)
        return answer.body

    def delete(self, key: str) -> None:
        """Deletes an object; an absent object is not an error.

        Raises:
            StoreUnavailableError: The effect is unknown; it can be repeated.
        """
        self._exchange("DELETE", key, b"", accepted=(200, 204, 404))

    def close(self) -> None:
        """Closes the connections."""
        self._pool.close()

    def _exchange(
        self, method: str, key: str, body: bytes, accepted: tuple[int, ...]
    ) -> connections.HttpAnswer:
        path = "/v1/objects/" + urllib.parse.quote(key, safe="/")
        try:
            answer = self._pool.exchange(method, path, body)
            if answer.status not in accepted:
                raise exceptions.StoreUnavailableError(
                    f"object store answered {answer.status} to {method} {key}"
                )
        except exceptions.StoreUnavailableError as error:
            logs.write("object_unavailable", operation=method, error=error)
            raise
        return answer
