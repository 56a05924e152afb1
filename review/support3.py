"""Stand-ins of the platform, and the set-up of a small deployment.

The store, the targets and the clients run in this process; the entries are
processes of their own, started with the command of the deploy file. All
addresses are loopback addresses, and all times are those of the real clock.
"""

import base64
import bisect
import collections
import contextlib
import json
import os
import pathlib
import random
import shlex
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

import gevent
import gevent.event
import geventhttpclient
from gevent import pywsgi
from gevent import socket
from geventhttpclient import response

ROOT = pathlib.Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST = "logs.example"
# Bounds of sites/moorwater-logs.toml.
HOLD_MAX_MS = 6000
GANG_WAIT_S = 3.0
FINISH_S = 14.0
MEMORY_MB = 300
ROW_BYTES = 65536
CALL_BYTES = 1_000_000
RESTART_DELAY_S = 0.5
CLIENT_TIMEOUT_S = 3.0
BOUNDS = """
[bounds]
contact_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 6
config_apply_ms = 2000
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
lease_ttl_ms = 3000
"""


class Record:
    """The file that says what was sent, answered and run."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._began_s = time.monotonic()

    def note(self, text):
        """Writes a line with the time since the start."""
        now_s = time.monotonic() - self._began_s
        self._file.write(f"{now_s:8.3f}  {text}\n")
        self._file.flush()


class Server(pywsgi.WSGIServer):
    """An HTTP server on a loopback address."""

    def __init__(self, app, port=0):
        super().__init__(("127.0.0.1", port), app, log=None, error_log=None)
        self._connections = set()

    def handle(self, sock, address):
        """Serves a connection; one that breaks ends without a message."""
        self._connections.add(sock)
        try:
            with contextlib.suppress(OSError):
                super().handle(sock, address)
        finally:
            self._connections.discard(sock)

    def kill(self):
        """Refuses new connections and breaks the open ones."""
        self.close()
        for sock in list(self._connections):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)


class App:
    """Answers calls by the method that the last part of the path names."""

    def __call__(self, environ, start_response):
        length = int(environ.get("CONTENT_LENGTH") or 0)
        body = environ["wsgi.input"].read(length)
        name = environ["PATH_INFO"].rpartition("/")[2].replace("-", "_")
        query = dict(urllib.parse.parse_qsl(environ["QUERY_STRING"], True))
        call = {**query, **(json.loads(body) if body else {})}
        status, answer = self.answer(name, call, environ, len(body))
        data = json.dumps(answer).encode()
        start_response(
            f"{status} -",
            [
                ("Content-Type", "application/json"),
                ("Content-Length", str(len(data))),
            ],
        )
        return [data]

    def answer(self, name, call, environ, size):
        """Returns status and body."""
        raise NotImplementedError


class Store(App):
    """The platform's store: rows with versions, and a feed of changes."""

    def __init__(self):
        self.version = 0
        self.rows = collections.defaultdict(dict)
        self.history = collections.defaultdict(list)
        self.refused_calls = 0
        # Keys of a part in order, until one is added or removed.
        self._sorted = {}
        self._changed = collections.defaultdict(gevent.event.Event)

    def put(self, table, key, value):
        """Writes a row on behalf of the operator or a target."""
        data = base64.b64encode(json.dumps(value).encode()).decode()
        self._apply([{"table": table, "part": "", "key": key, "value": data}])

    def answer(self, name, call, environ, size):
        """Answers a call."""
        if size > CALL_BYTES:
            return 400, {}
        return getattr(self, name)(call)

    def rows_tx(self, call):
        """Applies a transaction."""
        for row in call.get("precondition", []):
            part = self.rows[row["table"], row["part"]]
            found = part.get(row["key"])
            if (found["row_version"] if found else 0) != row["row_version"]:
                rows = [
                    self.rows[r["table"], r["part"]][r["key"]]
                    for r in call["precondition"]
                    if r["key"] in self.rows[r["table"], r["part"]]
                ]
                return 412, {"rows": rows, **self._stamp()}
        puts, removed = call.get("puts", []), call.get("remove", [])
        if len(puts) + len(removed) > 100 or any(
            len(row["value"]) * 3 // 4 > ROW_BYTES + 2 for row in puts
        ):
            self.refused_calls += 1
            return 400, {}
        self._apply(puts, removed)
        return 200, self._stamp()

    def rows_get(self, call):
        """Returns a page of rows."""
        part = self.rows[call["table"], call["part"]]
        keys = self._sort_keys(call["table"], call["part"])
        first = bisect.bisect_left(keys, call.get("from", ""))
        end = len(keys)
        if "to" in call:
            end = bisect.bisect_left(keys, call["to"])
        limit = min(500, int(call.get("limit", 500)))
        rows, size = [], 0
        for key in keys[first : min(end, first + limit)]:
            size += len(part[key]["value"])
            if rows and size > CALL_BYTES:
                break
            rows.append(part[key])
        more = first + len(rows) < end
        return 200, {"rows": rows, "has_more": more, **self._stamp()}

    def _sort_keys(self, table, part):
        if (table, part) not in self._sorted:
            self._sorted[table, part] = sorted(self.rows[table, part])
        return self._sorted[table, part]

    def rows_parts(self, call):
        """Returns the parts of a table."""
        after = call.get("after", "")
        parts = sorted(
            part
            for (table, part), rows in self.rows.items()
            if table == call["table"] and rows and part > after
        )
        return 200, {"parts": parts[:1000]}

    def rows_feed(self, call):
        """Returns the changes of a table, if need be after a wait."""
        until_s = time.monotonic() + int(call["wait_ms"]) / 1000
        history = self.history[call["table"]]
        while True:
            first = bisect.bisect_right(
                history, int(call["after"]), key=lambda r: r["row_version"]
            )
            rows = history[first : first + 500]
            left_s = until_s - time.monotonic()
            if rows or left_s <= 0:
                version = self.version
                if len(rows) == 500:
                    version = rows[-1]["row_version"]
                    rows = [r for r in rows if r["row_version"] < version] or rows
                    version = rows[-1]["row_version"]
                return 200, {"rows": rows, **self._stamp(), "row_version": version}
            event = self._changed[call["table"]]
            event.clear()
            event.wait(left_s)

    def _stamp(self):
        return {
            "row_version": self.version,
            "now_ms": int(time.monotonic() * 1000),
        }

    def _apply(self, puts, removed=()):
        self.version += 1
        for row in puts:
            stored = {**row, "row_version": self.version}
            part = self.rows[row["table"], row["part"]]
            if row["key"] not in part:
                self._sorted.pop((row["table"], row["part"]), None)
            part[row["key"]] = stored
            self.history[row["table"]].append(stored)
            self._changed[row["table"]].set()
        for row in removed:
            self._sorted.pop((row["table"], row["part"]), None)
            if self.rows[row["table"], row["part"]].pop(row["key"], None):
                gone = {**row, "value": "", "deleted": True}
                self.history[row["table"]].append(
                    {**gone, "row_version": self.version}
                )
                self._changed[row["table"]].set()


class Run:
    """A run on a target."""

    def __init__(self, task, number, step, work_s):
        self.task = task
        self.number = number
        self.step = step
        self.work_s = work_s
        self.began_s = time.monotonic()
        self.timer = None

    @property
    def percent(self):
        """Share of the work that is done; 100 for a task that is at work."""
        return min(100, int(100 * (time.monotonic() - self.began_s) / self.work_s))


class Target(App):
    """A worker: guards fences, leases and run numbers, not its room."""

    def __init__(self, deployment, name, labels, capacity):
        self.name = name
        self.deployment = deployment
        self.labels = labels
        self.capacity = capacity
        self.born = int(time.time() * 1000)
        # How it answers starts: "" or "busy" (503, and does nothing).
        self.grey = ""
        self.runs = {}
        self.ended = []
        self.rejected = 0
        self._number = 0
        self._fence = 0
        self._lease_ms = 0
        self._highest = {}
        self._zero_s = time.monotonic() - 60
        self._changed = gevent.event.Event()
        self.server = Server(self)
        self.server.start()
        self.address = f"127.0.0.1:{self.server.server_port}"
        gevent.spawn(self._guard_leases)

    def register(self):
        """Writes its row."""
        self.deployment.store.put(
            "servers",
            self.name,
            {
                "service": "boglog",
                "address": self.address,
                "zone": "upland-a",
                "version": "1",
                "slots": 8,
                "state": "ready",
                "cold_left_ms": 0,
                "sequence": 1,
                "born": self.born,
                "capacity": self.capacity,
                "labels": self.labels,
            },
        )

    def crash(self, down_s):
        """Loses all; the next lifetime has the same ID and address."""
        port = self.server.server_port
        self.server.kill()
        for run in list(self.runs.values()):
            if run.timer is not None:
                run.timer.kill(block=False)
            self.deployment.record_end(self, run, "lost in a crash")
        self.runs.clear()
        gevent.sleep(down_s)
        self.ended, self._highest = [], {}
        self._number = self._fence = self._lease_ms = 0
        self._zero_s = time.monotonic() - 1
        self.born = int(time.time() * 1000)
        self.server = Server(self, port)
        self.server.start()
        self.register()

    def used(self):
        """Returns processor and memory of all runs."""
        steps = [run.step for run in self.runs.values()]
        return (
            sum(s.get("cpu", 0) for s in steps if not s.get("fills")),
            sum(s.get("mem_mb", 0) for s in steps),
        )

    def answer(self, name, call, environ, size):
        """Answers a call."""
        expected = environ.get("HTTP_X_EXPECT_INSTANCE", self.name)
        if expected != self.name:
            return 421, {}
        if call.get("fencing_token", 0) < self._fence:
            return 409, {"clock_ms": self.clock_ms(), "reason": "fence"}
        self._fence = call.get("fencing_token", 0)
        return getattr(self, name)(call)

    def clock_ms(self):
        """Returns the time on the target's own clock."""
        return int((time.monotonic() - self._zero_s) * 1000)

    def run_start(self, call):
        """Starts a task."""
        key = (call["task"], call["run"])
        if self.grey == "busy":
            self.rejected += 1
            return 503, {}
        answer = {"clock_ms": self.clock_ms()}
        if key in self.runs:
            return 200, answer
        if call["deadline_ms"] <= self.clock_ms():
            return 409, {**answer, "reason": "late"}
        self._extend(call)
        if call["run"] <= self._highest.get(call["task"], 0):
            return 409, {**answer, "reason": "old"}
        step, work_s = self.deployment.find_step(call["task"])
        run = Run(*key, step, work_s)
        self.runs[key] = run
        self.deployment.record_start(self, run)
        if step.get("gang") and step["count"] > 1:
            self.deployment.join_gang(self, run)
        elif not step.get("long_running"):
            run.timer = gevent.spawn_later(work_s, self.end, key, "done")
        return 200, answer

    def run_stop(self, call):
        """Stops a run."""
        key = (call["task"], call["run"])
        self.end(key, "stopped")
        highest = self._highest.get(call["task"], 0)
        self._highest[call["task"]] = max(highest, call["run"])
        return 200, {"clock_ms": self.clock_ms()}

    def hold(self, call):
        """Extends the leases and lists what runs and what has ended."""
        self._extend(call)
        self.ended = [e for e in self.ended if e[0] > call["ack_cursor"]]
        if not self.ended and call.get("wait_ms"):
            self._changed.clear()
            self._changed.wait(call["wait_ms"] / 1000)
        return 200, {
            "clock_ms": self.clock_ms(),
            "born": self.born,
            "running": [
                [r.task, r.number, "", r.percent, 0] for r in self.runs.values()
            ],
            "ended": self.ended[:500],
        }

    def end(self, key, how):
        """Ends a run and lists its end."""
        run = self.runs.pop(key, None)
        if run is None:
            return
        if run.timer is not None and how != "done":
            run.timer.kill(block=False)
        self._number += 1
        self.ended.append([self._number, *key, how, ""])
        highest = self._highest.get(run.task, 0)
        self._highest[run.task] = max(highest, run.number)
        self._changed.set()
        self.deployment.record_end(self, run, how)

    def _extend(self, call):
        longest_ms = self.clock_ms() + HOLD_MAX_MS
        until_ms = min(call.get("deadline_ms", 0), longest_ms)
        self._lease_ms = max(self._lease_ms, until_ms)

    def _guard_leases(self):
        while True:
            gevent.sleep(0.05)
            if self.runs and self.clock_ms() > self._lease_ms:
                for key in list(self.runs):
                    self.end(key, "lapsed")


class Deployment:
    """A small deployment.

    Attributes:
        starts: Every start: time, target, task and run number.
        ends: Every end: time, target, task, run number and how.
        restarts: Every end of an entry: time, entry and cause.
        limit_breaks: Starts that exceeded the room of a target.
        twice: Starts of a task that was running or done.
    """

    def __init__(self, record, entries=3):
        self.record = record
        self.store = Store()
        server = Server(self.store)
        server.start()
        self.store_address = f"127.0.0.1:{server.server_port}"
        self.targets = []
        self.submissions = {}
        self.starts = []
        self.ends = []
        self.restarts = []
        self.peak_mb = 0
        self.limit_breaks = []
        # Starts of a task that was running or done.
        self.twice = []
        self._active = collections.defaultdict(set)
        self._done = set()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review3-"))
        self._gangs = collections.defaultdict(dict)
        self._stopping = False
        # Open as long as the ports are in use.
        self._reservations = _find_ports(4 * entries)
        self._ports = [port for port, _ in self._reservations]
        self.processes = {}
        self.entries = entries

    # Platform

    def add_target(self, labels, cpu=64000, mem_mb=131072):
        """Starts and registers a target."""
        capacity = {"cpu": cpu, "mem_mb": mem_mb, "gpu": 0}
        name = f"w{len(self.targets)}"
        target = Target(self, name, labels, capacity)
        target.register()
        self.targets.append(target)
        return target

    def configure(self, queues, tenants):
        """Writes the manifest."""
        routes = [
            {
                "host": HOST,
                "service": "boglog",
                "max_attempts": 3,
                "stretch": 2.2,
                "target_latency_ms": 1000,
                "priority": 1,
                **queue,
            }
            for queue in queues
        ]
        services = [{"name": "boglog", "rejects_overload": False}]
        self.store.put(
            "op",
            "config",
            {
                "version": 1,
                "routes": routes,
                "services": services,
                "tenants": tenants,
                "limits": {"body_bytes": 262144},
            },
        )

    def start_entries(self):
        """Starts all entries and what restarts them."""
        for number in range(self.entries):
            self._start_entry(number)
        gevent.spawn(self._watch)

    def wait_ready(self, path, key, limit_s=25.0):
        """Waits until all entries answer; whether they do."""
        until_s = time.monotonic() + limit_s
        for number in range(self.entries):
            while self.call(number, "GET", path, key)[0] != 200:
                if time.monotonic() > until_s:
                    return False
                gevent.sleep(0.1)
        return True

    def _start_entry(self, number):
        front, ready, peers, metrics = self._ports[4 * number : 4 * number + 4]
        settings = self.folder / f"e{number}.toml"
        settings.write_text(
            f'node_name = "front-upland-a-{number}"\nrole = "entry"\n'
            'machine_class = "front"\nserves = ["front"]\n'
            'ip = "127.0.0.1"\nzone = "upland-a"\nregion = "north-uplands"\n'
            f"port_range = [{peers},{peers}]\nbootstrap = true\n"
            "heartbeat_ms = 1500\n"
            f'[listen]\nfront = "127.0.0.1:{front}"\n'
            f'ready = "127.0.0.1:{ready}"\n'
            "[limits]\ncpu_share = 0.537\ncores = 2\n"
            f"memory_mb = {MEMORY_MB}\nmax_fds = 4200\nlink_mbps = 1000.0\n"
            f"{BOUNDS}"
            f'[platform]\naddress = "{self.store_address}"\nform = "table"\n'
            "writes_per_s = 600\nreads_per_s = 2000\n"
            f"row_bytes = {ROW_BYTES}\nhistory_s = 20\n"
        )
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"][
            "entry"
        ]
        log = (self.folder / f"e{number}.log").open("ab")
        command = shlex.split(role["run"])
        if command[0] == "python3":
            command[0] = sys.executable
        self.processes[number] = subprocess.Popen(
            command,
            cwd=ROOT,
            env={
                "PATH": os.environ.get("PATH", ""),
                "HOME": os.environ.get("HOME", "/"),
                "PYTHONPATH": str(ROOT / "target/deps"),
                **role.get("env", {}),
                "QUETZAL_METRICS_PORT": str(metrics),
                "QUETZALSWITCH_SETTINGS": str(settings),
            },
            stdout=log,
            stderr=log,
        )

    def _watch(self):
        """Kills entries that exceed their memory and restarts ended ones."""
        while not self._stopping:
            gevent.sleep(0.1)
            for number, process in list(self.processes.items()):
                memory_mb = _read_memory_mb(process.pid)
                self.peak_mb = max(self.peak_mb, memory_mb)
                if process.poll() is None and memory_mb > MEMORY_MB:
                    process.kill()
                    process.wait()
                    self._note_restart(number, f"{memory_mb} MB of memory")
                elif process.poll() is not None:
                    self._note_restart(number, f"ended: {process.returncode}")

    def _note_restart(self, number, cause):
        self.restarts.append((time.monotonic(), number, cause))
        self.record.note(f"entry {number} is restarted: {cause}")
        del self.processes[number]
        gevent.spawn_later(RESTART_DELAY_S, self._restart, number)

    def _restart(self, number):
        if not self._stopping:
            self._start_entry(number)

    def kill_entries(self):
        """Kills all entries at the same moment; they are not restarted."""
        processes, self.processes = self.processes, {}
        for process in processes.values():
            process.kill()
        for process in processes.values():
            process.wait()

    def restart_entries(self):
        """Starts all entries after they were killed."""
        for number in range(self.entries):
            self._start_entry(number)

    def stop(self):
        """Ends all processes that this deployment started."""
        self._stopping = True
        self.kill_entries()
        for _, reservation in self._reservations:
            reservation.close()
        keep = os.environ.get("KEEP_LOGS")
        if not keep:
            shutil.rmtree(self.folder, ignore_errors=True)

    # Tasks

    def find_step(self, task):
        """Returns the step of a task, and how long a task of it works."""
        job_id, _, number, _ = task.split(".")
        body = self.submissions[job_id]
        step = body["steps"][int(number)]
        return step, float(body["spec"].partition("work_s=")[2] or 0.3)

    def record_start(self, target, run):
        """Records a start, and whether it exceeds the target's room."""
        self.starts.append(
            (time.monotonic(), target.name, run.task, run.number)
        )
        others = self._active[run.task]
        if others or run.task in self._done:
            state = f"running as {others}" if others else "done"
            self.twice.append((target.name, run.task, run.number, state))
            self.record.note(f"{run.task} starts as {run.number}, but is {state}")
        others.add(run.number)
        cpu, mem_mb = target.used()
        if cpu > target.capacity["cpu"] or mem_mb > target.capacity["mem_mb"]:
            self.limit_breaks.append((target.name, run.task))

    def record_end(self, target, run, how):
        """Records an end."""
        self._active[run.task].discard(run.number)
        if how == "done":
            self._done.add(run.task)
        self.ends.append(
            (time.monotonic(), target.name, run.task, run.number, how)
        )

    def join_gang(self, target, run):
        """Starts a gang when all members of a run are present."""
        name = (run.task.rpartition(".")[0], run.number)
        members = self._gangs[name]
        members[run.task] = target
        key = (run.task, run.number)
        if len(members) < run.step["count"]:
            run.timer = gevent.spawn_later(GANG_WAIT_S, target.end, key, "alone")
            return
        for task, member_target in members.items():
            member = member_target.runs.get((task, run.number))
            if member is None:
                continue
            if member.timer is not None:
                member.timer.kill(block=False)
            member.timer = gevent.spawn_later(
                member.work_s, member_target.end, (task, run.number), "done"
            )

    def count_done(self, job_id):
        """Returns how many tasks of a submission have ended as done."""
        return len({e[2] for e in self.ends if e[4] == "done" and e[2].startswith(job_id)})

    # Clients

    def call(self, number, method, path, key, body=None):
        """Calls an entry; returns status and body, or status 0."""
        client = geventhttpclient.HTTPClient(
            "127.0.0.1",
            self._ports[4 * number],
            connection_timeout=CLIENT_TIMEOUT_S,
            network_timeout=CLIENT_TIMEOUT_S,
        )
        headers = {
            "Host": HOST,
            "Authorization": f"Token {key}",
            "Content-Type": "application/json",
            "X-Deadline-Ms": str(int(CLIENT_TIMEOUT_S * 1000)),
        }
        data = json.dumps(body).encode() if body is not None else b""
        try:
            answer = client.request(method, path, data, headers)
            return answer.status_code, json.loads(answer.read() or b"{}")
        except (OSError, ValueError, response.HTTPParseError):
            return 0, {}
        finally:
            client.close()

    def submit(self, path, job_id, key, body, tries=5):
        """Submits, and tries other entries after no answer; the last status."""
        self.submissions.setdefault(job_id, body)
        status = 0
        for number in range(tries):
            entry = (number + int(job_id[-2:], 16)) % self.entries
            status, _ = self.call(entry, "POST", path + job_id, key, body)
            if status not in (0, 502, 503, 504):
                break
            gevent.sleep(0.5)
        return status

    def read_state(self, path, job_id, key):
        """Returns the state that the first entry that answers tells."""
        for number in range(self.entries):
            status, answer = self.call(number, "GET", path + job_id, key)
            if status == 200:
                return answer.get("state")
            if status == 410:
                return "410"
        return None


def run_case(name, play):
    """Plays a case and exits as the review's scripts do."""
    folder = pathlib.Path(name).resolve().parent
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.note(f"played {'with' if trouble else 'without'} the disruption")
    outcome = NOT_RUN
    deployments = []

    def open_deployment(**options):
        deployments.append(Deployment(record, **options))
        return deployments[0]

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    try:
        with gevent.Timeout(115):
            outcome = play(open_deployment, record, trouble)
    except gevent.Timeout:
        record.note("the case did not end in time")
    except Exception as error:  # noqa: BLE001 - the case could not run
        record.note(f"the case could not run: {error!r}")
    finally:
        for deployment in deployments:
            deployment.stop()
    record.note({0: "held", 1: "broken", 2: "could not run"}[outcome])
    sys.exit(outcome)


def _find_ports(count):
    """Returns free ports, below those of outgoing connections."""
    first_outgoing = int(
        pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range")
        .read_text()
        .split()[0]
    )
    found = []
    for port in random.sample(range(10000, first_outgoing), 1000):
        reservation = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        with socket.socket() as probe, contextlib.suppress(OSError):
            # The bound UDP port tells other runs to pass the port over.
            reservation.bind(("127.0.0.1", port))
            probe.bind(("127.0.0.1", port))
            found.append((port, reservation))
            if len(found) == count:
                return found
            continue
        reservation.close()
    raise OSError("there are no free ports")


def _read_memory_mb(pid):
    """Returns the resident memory of a process in MB; 0 if it has ended."""
    try:
        pages = pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]
    except (OSError, IndexError):
        return 0
    return int(pages) * os.sysconf("SC_PAGE_SIZE") // 1_000_000
