"""Stand-ins of the users' platform for the scripts of the review.

They follow PROTOCOL.md: store, workers and clients run in the script's process,
and the project's entries are separate processes, started with the command of
the deploy file. All addresses are on the loopback interface.
"""

import base64
import json
import os
import pathlib
import random
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
import urllib.parse

import gevent
import gevent.event
import geventhttpclient
import msgspec
import sortedcontainers
from gevent import pywsgi
from gevent import socket

ROOT = pathlib.Path(__file__).resolve().parent.parent
ZONES = ("a", "b", "c")
HEARTBEAT_S = 1.5
HOST = "shop.example"
DUE_TIMEOUT_S = 3.0


def is_troubled():
    """Returns whether the disruption is part of this run."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run, with seconds since its start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._started_s = time.monotonic()

    def now(self):
        return time.monotonic() - self._started_s

    def note(self, event, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now():9.3f} {event} {text}\n")

    def say(self, text):
        """Writes a line to the record and to standard output."""
        line = f"{self.now():9.3f} {text}"
        print(line, flush=True)
        self._file.write(line + "\n")
        self._file.flush()


class Server(pywsgi.WSGIServer):
    """A WSGI server that can be stopped like a process that is killed."""

    def __init__(self, app, port):
        super().__init__(
            ("127.0.0.1", port), app, log=None, environ={"SERVER_NAME": "x"}
        )
        self._open = set()

    def handle(self, sock, address):
        self._open.add(sock)
        try:
            super().handle(sock, address)
        finally:
            self._open.discard(sock)

    def kill(self):
        self.close()
        for sock in list(self._open):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


_reservations = []


def free_port():
    """Returns a free port below the range of outgoing connections.

    All listeners use TCP. The bound UDP port tells other runs of the scripts to
    pass the port over, also while nothing listens on it.
    """
    low = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range").read_text()
    ports = range(10000, int(low.split()[0]))
    for port in random.Random().sample(ports, 1000):
        reservation = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        with socket.socket() as probe:
            try:
                reservation.bind(("127.0.0.1", port))
                probe.bind(("127.0.0.1", port))
            except OSError:
                reservation.close()
                continue
        _reservations.append(reservation)
        return port
    raise OSError("no free port")


class App:
    """Dispatches calls to methods by the last part of the path."""

    def __call__(self, environ, start_response):
        length = int(environ.get("CONTENT_LENGTH") or 0)
        body = environ["wsgi.input"].read(length)
        name = environ["PATH_INFO"].rpartition("/")[2].replace("-", "_")
        query = dict(urllib.parse.parse_qsl(environ["QUERY_STRING"], True))
        call = {**query, **(json.loads(body) if body else {})}
        status, data = self.answer(name, call, environ)
        start_response(
            f"{status} -",
            [
                ("Content-Type", "application/json"),
                ("Content-Length", str(len(data))),
            ],
        )
        return [data]

    def answer(self, name, call, environ):
        status, plain = getattr(self, name)(call)
        return status, json.dumps(plain).encode()


class Store(App):
    """The platform's store: versioned rows and a feed of their changes.

    Attributes:
        busy: Whether it answers every call of the entries with 503.
    """

    READ_S = 0.004
    WRITE_S = 0.012
    ROW_BYTES = 65536
    CALL_BYTES = 1_000_000
    CALL_ENTRIES = 100
    PAGE_BYTES = 1_000_000

    def __init__(self, record):
        self.busy = False
        self.refused_too_large = 0
        self._record = record
        self._version = 0
        self._tables = {}
        self._feeds = {}
        self._changed = {}
        self.port = free_port()
        self.address = f"127.0.0.1:{self.port}"
        Server(self, self.port).start()

    def answer(self, name, call, environ):
        if self.busy:
            gevent.sleep(self.READ_S)
            return 503, b"{}"
        return getattr(self, name)(call)

    def rows(self, table, part=""):
        return self._tables.setdefault(
            (table, part), sortedcontainers.SortedDict()
        )

    def read(self, table, part, key):
        found = self.rows(table, part).get(key)
        return base64.b64decode(found[0]) if found else None

    def put(self, table, key, value, part=""):
        """Writes a row on behalf of an operator or a worker."""
        data = base64.b64encode(json.dumps(value).encode()).decode()
        self._apply([(table, part, key, data)], [])

    def load(self, rows):
        """Adds rows as they were before the entries started."""
        self._version += 1
        for table, part, key, value in rows:
            self.rows(table, part)[key] = (value, self._version)

    def remove(self, table, key, part=""):
        self._apply([], [(table, part, key)])

    def rows_tx(self, call):
        gevent.sleep(self.WRITE_S)
        puts = call.get("puts") or []
        removals = call.get("remove") or []
        conditions = call.get("precondition") or []
        sizes = [len(row["value"]) * 3 // 4 for row in puts]
        entries = len(puts) + len(removals) + len(conditions)
        total = sum(len(row["value"]) + 100 for row in puts)
        largest = max(sizes, default=0)
        if (
            largest > self.ROW_BYTES
            or total > self.CALL_BYTES
            or entries > self.CALL_ENTRIES
        ):
            self.refused_too_large += 1
            self._record.note(
                "store_refuses_too_large", largest_row=largest, call=total
            )
            return 400, b'{"error":"too large"}'
        for row in conditions:
            found = self.rows(row["table"], row["part"]).get(row["key"])
            if (found[1] if found else 0) != row["row_version"]:
                current = []
                for other in conditions:
                    name = (other["table"], other["part"], other["key"])
                    value = self.rows(*name[:2]).get(name[2])
                    if value:
                        current.append(_row(*name, *value))
                return 412, _encode(current, self._version, False)
        self._apply(
            [(r["table"], r["part"], r["key"], r["value"]) for r in puts],
            [(r["table"], r["part"], r["key"]) for r in removals],
        )
        return 200, _encode([], self._version, False)

    def rows_get(self, call):
        gevent.sleep(self.READ_S)
        table, part = call["table"], call.get("part", "")
        limit = min(500, int(call.get("limit", 500)))
        end = call.get("to")
        rows = self.rows(table, part)
        found, size, more = [], 0, False
        for key in rows.irange(call.get("from", ""), end, (True, False)):
            if len(found) == limit or size > self.PAGE_BYTES:
                more = True
                break
            row = _row(table, part, key, *rows[key])
            size += len(row["value"]) + 150
            found.append(row)
        return 200, _encode(found, self._version, more)

    def rows_parts(self, call):
        gevent.sleep(self.READ_S)
        names = sorted(
            p
            for t, p in self._tables
            if t == call["table"] and self._tables[t, p]
        )
        names = [n for n in names if n > call.get("after", "")][:1000]
        return 200, json.dumps({"parts": names}).encode()

    def rows_feed(self, call):
        gevent.sleep(self.READ_S)
        table, after = call["table"], int(call["after"])
        until_s = time.monotonic() + int(call.get("wait_ms", 0)) / 1000
        while True:
            feed = self._feeds.get(table, [])
            position = len(feed)
            while position and feed[position - 1]["row_version"] > after:
                position -= 1
            rows = feed[position : position + 500]
            left_s = until_s - time.monotonic()
            if rows or left_s <= 0:
                more = position + 500 < len(feed)
                version = rows[-1]["row_version"] if more else self._version
                return 200, _encode(rows, version, False)
            event = self._changed.setdefault(table, gevent.event.Event())
            event.clear()
            event.wait(left_s)
            if self.busy:
                return 503, b"{}"

    def _apply(self, puts, removals):
        self._version += 1
        for table, part, key, value in puts:
            self.rows(table, part)[key] = (value, self._version)
            row = _row(table, part, key, value, self._version)
            self._feeds.setdefault(table, []).append(row)
        for table, part, key in removals:
            value = self.rows(table, part).pop(key, None)
            if value is not None:
                row = _row(table, part, key, value[0], self._version)
                self._feeds.setdefault(table, []).append(
                    {**row, "deleted": True}
                )
        for table in {row[0] for row in (*puts, *removals)}:
            if table in self._changed:
                self._changed[table].set()


def _row(table, part, key, value, version):
    return {
        "table": table,
        "part": part,
        "key": key,
        "value": value,
        "row_version": version,
    }


def _encode(rows, version, more):
    return msgspec.json.encode(
        {
            "rows": rows,
            "row_version": version,
            "has_more": more,
            "now_ms": int(time.monotonic() * 1000),
        }
    )


class Worker(App):
    """A worker: starts what it is told to, unless the fence forbids it.

    The text `spec` of a submission says what its tasks do: `MS` or `MS fail`.

    Attributes:
        starts: Begun runs: time, task, run, incarnation's labels.
        on_begin: Called with the worker, task, run and call.
        on_end: Called with the worker, task, run and how it ended.
    """

    HOLD_MAX_MS = 6000
    STOP_S = 0.05

    def __init__(
        self,
        cluster,
        number,
        zone,
        kind="x",
        cpu=64000,
        mem_mb=131072,
        registered=True,
    ):
        self.id = f"i-{number:04x}"
        self.zone = zone
        self.rack = f"r{ZONES.index(zone)}-{number // 8}"
        self.kind = kind
        self.cpu = cpu
        self.mem_mb = mem_mb
        self.up = False
        self.draining = False
        self.cut_off = False
        self.used_cpu = 0
        self._cluster = cluster
        self._record = cluster.record
        self.port = free_port()
        self.begin(registered)

    def begin(self, registered=True):
        """Begins a lifetime: registers first, then answers calls."""
        self.born = int(time.time() * 1000)
        self._started_s = time.monotonic()
        self._fence = 0
        self._lease_ms = 0
        self._number = 0
        self._ended = []
        self._stopped = {}
        self.running = {}
        self._new_end = gevent.event.Event()
        self._sequence = 0
        self.up = True
        if registered:
            self.register()
        self._server = Server(self, self.port)
        self._server.start()
        gevent.spawn(self._beat, self.born)
        gevent.spawn(self._check_lease, self.born)
        self._record.note(
            "worker_up", worker=self.id, kind=self.kind, born=self.born
        )

    def crash(self):
        """Ends the lifetime like a kill of the process."""
        self.up = False
        self._server.kill()
        for name, (greenlet, _, _) in list(self.running.items()):
            greenlet.kill(block=False)
            self._cluster.on_end(self, *name, "crash")
        self.running = {}
        self._record.note("worker_crash", worker=self.id)

    def register(self):
        self._sequence += 1
        self.registered_s = time.monotonic()
        self._cluster.store.put(
            "servers",
            self.id,
            {
                "service": "svc",
                "address": f"127.0.0.1:{self.port}",
                "zone": self.zone,
                "version": "v1",
                "slots": 8,
                "state": "draining" if self.draining else "ready",
                "cold_left_ms": 0,
                "sequence": self._sequence,
                "capacity": {"cpu": self.cpu, "mem_mb": self.mem_mb},
                "labels": [self.kind, self.rack],
                "born": self.born,
            },
        )

    def _beat(self, born):
        while True:
            gevent.sleep(HEARTBEAT_S)
            if not self.up or self.born != born:
                return
            if not self._cluster.store.busy and not self.cut_off:
                self.register()

    def _check_lease(self, born):
        while self.up and self.born == born:
            gevent.sleep(0.02)
            if self.running and self._clock_ms() > self._lease_ms:
                for name in list(self.running):
                    self._end(name, "lapsed")

    def _clock_ms(self):
        return 1 + int((time.monotonic() - self._started_s) * 1000)

    def answer(self, name, call, environ):
        expected = environ.get("HTTP_X_EXPECT_INSTANCE", self.id)
        if expected != self.id:
            return 421, b"{}"
        status, plain = getattr(self, name)(call)
        return status, json.dumps(
            {"clock_ms": self._clock_ms(), **plain}
        ).encode()

    def _is_stale(self, call):
        token = call.get("fencing_token", 0)
        if token < self._fence:
            return True
        self._fence = token
        return False

    def _extend(self, call):
        limit_ms = self._clock_ms() + self.HOLD_MAX_MS
        until_ms = min(call.get("deadline_ms", 0), limit_ms)
        self._lease_ms = max(self._lease_ms, until_ms)

    def run_start(self, call):
        if self._is_stale(call):
            return 409, {"reason": "fence"}
        name = (call["task"], call["run"])
        if name in self.running:
            return 200, {}
        self._extend(call)
        if call["run"] <= self._stopped.get(call["task"], 0):
            return 409, {"reason": "old"}
        if call["deadline_ms"] <= self._clock_ms():
            return 409, {"reason": "late"}
        duration_ms, _, how = call["spec"].partition(" ")
        how = {"": "done"}.get(how, how)
        seconds = int(duration_ms) / 1000
        greenlet = gevent.spawn_later(seconds, self._end, name, how)
        self.running[name] = (greenlet, time.monotonic(), seconds)
        self._record.note("begin", worker=self.id, task=name[0], run=name[1])
        self._cluster.on_begin(self, *name, call)
        return 200, {}

    def run_stop(self, call):
        if self._is_stale(call):
            return 409, {"reason": "fence"}
        name = (call["task"], call["run"])
        known = self._stopped.get(name[0], 0)
        self._stopped[name[0]] = max(known, name[1])
        if name in self.running:
            gevent.spawn_later(self.STOP_S, self._end, name, "stopped")
        return 200, {}

    def hold(self, call):
        if self._is_stale(call):
            return 409, {"reason": "fence"}
        self._extend(call)
        cursor = call.get("ack_cursor", 0)
        for number, task, run, how, _ in self._ended:
            if number <= cursor:
                self._cluster.on_acknowledged(self, task, run, how)
        self._ended = [end for end in self._ended if end[0] > cursor]
        if not self._ended and call.get("wait_ms"):
            self._new_end.clear()
            self._new_end.wait(call["wait_ms"] / 1000)
        now_s = time.monotonic()
        running = [
            [*name, "", min(99, int(100 * (now_s - begun_s) / seconds)), 0]
            for name, (_, begun_s, seconds) in self.running.items()
        ]
        return 200, {
            "born": self.born,
            "running": running,
            "ended": self._ended[:500],
        }

    def _end(self, name, how):
        if name not in self.running:
            return
        greenlet, _, _ = self.running.pop(name)
        if greenlet is not gevent.getcurrent():
            greenlet.kill(block=False)
        self._stopped[name[0]] = max(self._stopped.get(name[0], 0), name[1])
        self._number += 1
        self._ended.append([self._number, *name, how, ""])
        self._record.note(
            "end", worker=self.id, task=name[0], run=name[1], how=how
        )
        self._cluster.on_end(self, *name, how)
        self._new_end.set()


class Cluster:
    """Store, workers, entries and clients of one run of a script."""

    def __init__(self, case, memory_mb=300):
        self.case = pathlib.Path(case)
        self.record = Record(self.case / "record.txt")
        self.store = Store(self.record)
        self.workers = []
        self.entries = {}
        self.on_begin = lambda worker, task, run, call: None
        self.on_end = lambda worker, task, run, how: None
        self.on_acknowledged = lambda worker, task, run, how: None
        self._ports = {}
        self._memory_mb = memory_mb
        self._folder = tempfile.TemporaryDirectory()
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._role = deploy["roles"]["entry"]

    def add_worker(self, zone, **fields):
        worker = Worker(self, len(self.workers), zone, **fields)
        self.workers.append(worker)
        return worker

    def configure(self, version, routes, tenants):
        """Writes a manifest."""
        plain = {
            "version": version,
            "routes": routes,
            "services": [{"name": "svc", "rejects_overload": False}],
            "tenants": tenants,
            "limits": {"max_body_bytes": 262144},
        }
        self.store.put("op", "config", plain)

    def start_entry(self, number):
        """Starts an entry with the command of the deploy file."""
        name = f"front-{ZONES[number % 3]}-{number}"
        if number not in self._ports:
            self._ports[number] = [free_port() for _ in range(5)]
        front, ready, control, peers, metrics = self._ports[number]
        path = pathlib.Path(self._folder.name) / f"{name}.toml"
        path.write_text(
            _SETTINGS.format(
                **locals(),
                zone=ZONES[number % 3],
                store=self.store.address,
                memory_mb=self._memory_mb,
            )
        )
        log = open(pathlib.Path(self._folder.name) / f"{name}.log", "ab")
        command = self._role["run"].split()
        if command[0] == "python3":
            command[0] = sys.executable
        env = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target/deps"),
            **self._role.get("env", {}),
            "QUETZALSWITCH_SETTINGS": str(path),
            "QUETZAL_METRICS_PORT": str(metrics),
        }
        self.entries[number] = subprocess.Popen(
            command, cwd=ROOT, env=env, stdout=log, stderr=log
        )
        self.record.note("entry_started", entry=name)

    def log(self, number):
        name = f"front-{ZONES[number % 3]}-{number}.log"
        return (pathlib.Path(self._folder.name) / name).read_text()

    def find_events(self, pattern):
        """Returns the lines of all entries' logs that match."""
        lines = []
        for number in self._ports:
            lines += [
                x
                for x in self.log(number).splitlines()
                if re.search(pattern, x)
            ]
        return sorted(lines)

    def kill_entry(self, number):
        """Kills an entry, as the platform does in its tests."""
        self.entries[number].send_signal(signal.SIGKILL)
        self.entries[number].wait()
        self.record.say(f"entry {number} killed")

    def memory_mb(self, number):
        status = pathlib.Path(
            f"/proc/{self.entries[number].pid}/status"
        ).read_text()
        return int(re.search(r"VmRSS:\s+(\d+)", status)[1]) / 1024

    def find_leader(self):
        row = self.store.read("cluster", "p", "leader")
        if row is None:
            return None
        return int(msgspec.msgpack.decode(row)[1].rpartition("-")[2])

    def call(self, number, method, path, body=None, key="k1", quiet=False):
        """Calls an entry; returns status (0: no answer) and body."""
        client = geventhttpclient.HTTPClient(
            "127.0.0.1",
            self._ports[number][0],
            connection_timeout=DUE_TIMEOUT_S,
            network_timeout=DUE_TIMEOUT_S,
        )
        headers = {
            "Host": HOST,
            "Authorization": f"Token {key}",
            "X-Deadline-Ms": str(int(DUE_TIMEOUT_S * 1000)),
            "Content-Type": "application/json",
        }
        data = json.dumps(body).encode() if body is not None else b""
        status, answer = 0, {}
        try:
            with gevent.Timeout(DUE_TIMEOUT_S):
                response = client.request(method, path, data, headers)
                status = response.status_code
                answer = json.loads(response.read() or b"{}")
        except gevent.Timeout:
            answer = {"error": "no answer in time"}
        except Exception as error:
            status, answer = 0, {"error": str(error)}
        finally:
            client.close()
        if not quiet:
            self.record.note(
                "call",
                entry=number,
                method=method,
                path=path,
                status=status,
                answer=json.dumps(answer)[:120],
            )
        return status, answer

    def submit(
        self, number, job_id, steps, spec, prefix="/q/", key="k1", quiet=False
    ):
        body = {"spec": spec, "steps": steps}
        return self.call(number, "POST", prefix + job_id, body, key, quiet)[0]

    def submit_until_accepted(
        self, job_id, steps, spec, prefix="/q/", key="k1", tries=5
    ):
        """Submits at one entry after the other, like a client that retries."""
        for attempt in range(tries):
            live = [n for n, p in self.entries.items() if p.poll() is None]
            number = live[attempt % len(live)]
            if self.submit(number, job_id, steps, spec, prefix, key) == 200:
                return True
            gevent.sleep(0.2)
        return False

    def read_state(self, job_id, prefix="/q/", key="k1"):
        """Asks the entries in turn for a state; None without an answer."""
        for number, process in self.entries.items():
            if process.poll() is not None:
                continue
            status, answer = self.call(
                number, "GET", prefix + job_id, None, key
            )
            if status == 200:
                return answer["state"]
            if status == 410:
                return "gone"
        return None

    def wait_ready(self, limit_s=20.0, prefix="/q/"):
        """Waits until all entries answer counts; they then know a leader."""
        until_s = time.monotonic() + limit_s
        for number in self.entries:
            while self.call(number, "GET", prefix, quiet=True)[0] != 200:
                if time.monotonic() > until_s:
                    return False
                gevent.sleep(0.1)
        return True

    def stop(self):
        for process in self.entries.values():
            if process.poll() is None:
                process.kill()
            process.wait()


def make_route(name="q", **fields):
    """Returns a queue of the manifest."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "service": "svc",
        "priority": 0,
        "max_attempts": 2,
        "stretch": 1.5,
        "target_latency_ms": 250,
        **fields,
    }


def _interrupt(greenlet):
    greenlet.throw(TimeoutError("the script took too long"))


def run(main, case):
    """Runs a case and exits with its verdict; 2 if it couldn't run."""
    verdict = 2
    cluster = None
    gevent.signal_handler(signal.SIGTERM, _interrupt, gevent.getcurrent())
    try:
        cluster = Cluster(case)
        verdict = main(cluster)
        cluster.record.say(
            {0: "the rule held", 1: "the rule was broken"}.get(
                verdict, "the case could not run"
            )
        )
    except Exception as error:
        print(f"could not run: {error!r}", flush=True)
        traceback.print_exc()
        verdict = 2
    finally:
        if cluster is not None:
            if os.environ.get("KEEP_LOGS"):
                shutil.copytree(
                    cluster._folder.name,
                    os.environ["KEEP_LOGS"],
                    dirs_exist_ok=True,
                )
            cluster.stop()
            cluster._folder.cleanup()
    sys.stdout.flush()
    os._exit(verdict)


_SETTINGS = """\
node_name = "{name}"
role = "entry"
machine_class = "front"
serves = ["front"]
ip = "127.0.0.1"
zone = "{zone}"
region = "r"
port_range = [{peers}, {peers}]
seeds = []
bootstrap = true
loss_counts = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","tenants","quota","places","platform"]
orders = "call"
[zones]
a = "r"
b = "r"
c = "r"
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
control = "127.0.0.1:{control}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = {memory_mb}
max_fds = 4200
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
contact_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
max_skew_ms = 5000
quota_overage = 0.1
evacuate_ms = 5000
recovery_s = 12
hold_max_ms = 6000
stop_ms = 200
gang_wait_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
spread_factor = 3
checkpoint_s = 1
restore_ms = 250
[platform]
address = "{store}"
form = "table"
writes_per_s = 600
reads_per_s = 2000
tx_ms = 8.0
part_writes_s = 150
row_bytes = 65536
cross_shard = false
history_s = 20
"""
