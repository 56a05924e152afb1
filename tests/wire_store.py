"""A stand-in for the platform's store, and the HTTP server of all stand-ins."""

import base64
import contextlib
import errno
import json
import pathlib
import random
import time
import urllib.parse

import gevent.event
from gevent import pywsgi
from gevent import socket

PORT_RANGE = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range")
FIRST_PORT = 10000
PORT_TRIES_COUNT = 1000


def list_ports():
    """Returns the ports that listeners may use.

    They are below the kernel's range for outgoing connections, because such a
    connection could occupy a port before it is bound, or bound again.
    """
    return range(FIRST_PORT, int(PORT_RANGE.read_text().split()[0]))


def reserve_port():
    """Returns a free port and the socket that reserves it while it is open.

    Listeners use TCP; the bound UDP port tells other test processes to pass
    the port over, also while nothing listens on it.
    """
    for port in random.sample(list_ports(), PORT_TRIES_COUNT):
        reservation = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        with socket.socket() as probe:
            try:
                reservation.bind(("127.0.0.1", port))
                if probe.connect_ex(("127.0.0.1", port)):
                    return port, reservation
            except OSError as error:
                if error.errno != errno.EADDRINUSE:
                    raise
        reservation.close()
    raise OSError(f"no free port after {PORT_TRIES_COUNT} tries")


class Server(pywsgi.WSGIServer):
    """A WSGI server that can be stopped like a process that is killed."""

    def __init__(self, app, port=0):
        super().__init__(
            ("127.0.0.1", port), app, log=None, environ={"SERVER_NAME": "x"}
        )
        self._connections = set()

    def handle(self, sock, address):
        """Serves a connection."""
        self._connections.add(sock)
        try:
            super().handle(sock, address)
        finally:
            self._connections.discard(sock)

    def kill(self):
        """Refuses new connections and breaks the open ones without answers."""
        self.close()
        for sock in list(self._connections):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)


def serve(app, port=None):
    """Starts a WSGI server, by default on a port that the app then keeps.

    Returns:
        The server and its address.
    """
    if port is None:
        port, app.reservation = reserve_port()
    server = Server(app, port)
    server.start()
    return server, f"127.0.0.1:{server.server_port}"


class App:
    """A WSGI application that dispatches calls to methods by the path's end.

    Attributes:
        instance: ID that calls must expect if they name one; None: any.
        reservation: Keeps the port from other test processes.
    """

    instance = None
    reservation = None

    def __call__(self, environ, start_response):
        length = int(environ.get("CONTENT_LENGTH") or 0)
        body = environ["wsgi.input"].read(length)
        name = environ["PATH_INFO"].rpartition("/")[2].replace("-", "_")
        query = dict(urllib.parse.parse_qsl(environ["QUERY_STRING"], True))
        plain = json.loads(body) if body else {}
        expected = environ.get("HTTP_X_EXPECT_INSTANCE", self.instance)
        if self.instance is None or expected == self.instance:
            status, answer = getattr(self, name)({**query, **plain})
        else:
            status, answer = 421, {}
        data = json.dumps(answer).encode()
        start_response(
            f"{status} -",
            [
                ("Content-Type", "application/json"),
                ("Content-Length", str(len(data))),
            ],
        )
        return [data]


class Store(App):
    """Stand-in of the store: versioned rows and a feed of their changes.

    Attributes:
        refusing: Whether it refuses every call.
        silent_feeds: Tables whose changes are delivered only later.
    """

    def __init__(self):
        self.silent_feeds = set()
        self.rows = {}
        self.history = []
        self.version = 0
        self.refusing = False
        self._changed = gevent.event.Event()

    def put(self, table, key, value, part=""):
        """Writes a row on behalf of an operator or a target."""
        self.put_raw(table, key, json.dumps(value).encode(), part)

    def put_raw(self, table, key, data, part=""):
        """Writes a row with any content."""
        self._apply([(table, part, key, base64.b64encode(data).decode())], [])

    def remove(self, table, key, part=""):
        """Removes a row on behalf of the platform."""
        self._apply([], [(table, part, key)])

    def rows_tx(self, call):
        if self.refusing:
            return 503, {}
        for row in call.get("precondition", []):
            name = (row["table"], row["part"], row["key"])
            found = self.rows.get(name)
            if (found["row_version"] if found else 0) != row["row_version"]:
                names = [
                    (r["table"], r["part"], r["key"])
                    for r in call["precondition"]
                ]
                rows = [self.rows[n] for n in names if n in self.rows]
                return 412, {"rows": rows, "row_version": self.version}
        self._apply(
            [
                (r["table"], r["part"], r["key"], r["value"])
                for r in call.get("puts", [])
            ],
            [(r["table"], r["part"], r["key"]) for r in call.get("remove", [])],
        )
        return 200, {"row_version": self.version, "now_ms": 1}

    def rows_get(self, call):
        if self.refusing:
            return 503, {}
        end = call.get("to", "\uffff")
        rows = [
            row
            for (table, part, key), row in sorted(self.rows.items())
            if table == call["table"]
            and part == call["part"]
            and call.get("from", "") <= key < end
        ]
        limit = int(call.get("limit", 500))
        return 200, {
            "rows": rows[:limit],
            "has_more": len(rows) > limit,
            "row_version": self.version,
        }

    def rows_feed(self, call):
        if self.refusing:
            return 503, {}
        until_s = time.monotonic() + int(call["wait_ms"]) / 1000
        while True:
            rows = [
                row
                for row in self.history
                if row["row_version"] > int(call["after"])
                and row["table"] == call["table"]
            ]
            left_s = until_s - time.monotonic()
            if call["table"] in self.silent_feeds:
                rows = []
                if left_s <= 0:
                    return 200, {"row_version": int(call["after"])}
            if rows or left_s <= 0:
                return 200, {"rows": rows, "row_version": self.version}
            self._changed.clear()
            self._changed.wait(left_s)

    def _apply(self, puts, removals):
        self.version += 1
        for table, part, key, value in puts:
            row = {
                "table": table,
                "part": part,
                "key": key,
                "value": value,
                "row_version": self.version,
            }
            self.rows[table, part, key] = row
            self.history.append(row)
        for table, part, key in removals:
            row = self.rows.pop((table, part, key), None)
            if row is not None:
                version = {"row_version": self.version, "deleted": True}
                self.history.append({**row, **version})
        self._changed.set()
