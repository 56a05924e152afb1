"""A stand-in for the platform that implements its published protocol.

Store and targets are WSGI servers in the test's process;
entries are separate processes. All addresses are on the loopback interface.
"""

import base64
import functools
import json
import os
import signal
import subprocess
import sys
import time

import gevent
import gevent.event
import geventhttpclient
import msgspec
from geventhttpclient import response

import wire_store

HOST = "shop.example"
KEY = "k1"
GRACE_S = 6
# Targets crash under each start of a task with this spec.
DEADLY_SPEC = "deadly"
LISTED_ENDS_LIMIT = 500
# How long the row of a crashed target stays listed.
UNLISTING_DELAY_S = 4.5


def reserve_ports(entries, count=4):
    """Returns ports for each entry, and the sockets that reserve them."""
    pairs = [wire_store.reserve_port() for _ in range(entries * count)]
    ports = [port for port, _ in pairs]
    groups = [ports[n : n + count] for n in range(0, len(ports), count)]
    return groups, [reservation for _, reservation in pairs]


def make_registration(address):
    """Returns a target's row in the platform's table of targets."""
    return {
        "service": "svc",
        "address": address,
        "zone": "a",
        "state": "ready",
        "capacity": {"cpu": 8000, "mem_mb": 8000, "gpu": 0},
        "labels": ["a", "r1-1"],
        "sequence": 1,
        "born": 1,
    }


def make_route():
    """Returns a queue in the operators' configuration."""
    return {
        "name": "q",
        "host": HOST,
        "prefix": "/q/",
        "service": "svc",
        "priority": 0,
        "max_attempts": 3,
        "stretch": 2,
        "target_latency_ms": 500,
    }


def format_settings(
    name, ports, store_address, limits="", longest_lease_ms=6000
):
    """Returns the settings file of an entry.

    Args:
        name: Name of the entry.
        ports: Ports for callers, for readiness and for peers.
        store_address: Address of the store.
        limits: Further lines of the section `limits`.
        longest_lease_ms: The longest lease that a target grants.
    """
    front, ready, peers = ports
    return (
        f'node_name = "{name}"\nip = "127.0.0.1"\nzone = "a"\n'
        f"port_range = [{peers}, {peers}]\n"
        f'[listen]\nfront = "127.0.0.1:{front}"\n'
        f'ready = "127.0.0.1:{ready}"\n'
        f'[platform]\naddress = "{store_address}"\n'
        "row_bytes = 65536\n"
        f"[bounds]\ngrace_s = {GRACE_S}\n"
        f"hold_max_ms = {longest_lease_ms}\n"
        "config_apply_ms = 2000\ngang_wait_ms = 3000\n"
        "stop_ms = 200\nstatus_s = 120\n"
        "[limits]\ncpu_share = 1.0\ncores = 1\nlink_mbps = 100.0\n"
        f"{limits}\n"
    )


class Target(wire_store.App):
    """Stand-in of a target; checks fencing tokens and ignores leases.

    Attributes:
        starts: Every start that was executed: task, run, spec.
        crashes: The tasks that were running at each crash.
        most_running: Highest number of tasks that ran at the same time.
        crash_after_s: When a deadly task crashes it; 0: before the answer.
        on_crash: Called when a deadly task crashes it.
    """

    def __init__(self, work_s):
        self.work_s = work_s
        self.born = 1
        self.starts = []
        self.crashes = []
        self.most_running = 0
        self.crash_after_s = 0.0
        self.on_crash = lambda: None
        self.fence = 0
        self.running = {}
        self.started_s = {}
        self.specs = {}
        self.ended = []
        self.number = 0
        self._new_end = gevent.event.Event()

    def _clock_ms(self):
        return int(time.monotonic() * 1000)

    def _is_stale(self, call):
        if call.get("fencing_token", 0) < self.fence:
            return True
        self.fence = call["fencing_token"]
        return False

    def run_start(self, call):
        answer = {"clock_ms": self._clock_ms()}
        if self._is_stale(call):
            return 409, {**answer, "reason": "fence"}
        name = (call["task"], call["run"])
        if name not in self.running:
            self.starts.append((*name, call["spec"]))
            self.started_s[name] = time.monotonic()
            self.specs[name] = call["spec"]
            deadly = call["spec"] == DEADLY_SPEC
            self.running[name] = (
                gevent.spawn_later(self.crash_after_s, self.on_crash)
                if deadly
                else gevent.spawn_later(
                    self.find_work_s(call["spec"]), self._end, name, "done"
                )
            )
            self.most_running = max(self.most_running, len(self.running))
            if deadly and not self.crash_after_s:
                # The crash ends this call.
                gevent.sleep(GRACE_S)
        return 200, answer

    def find_work_s(self, spec):
        """Returns how long a task runs."""
        del spec
        return self.work_s

    def run_stop(self, call):
        if self._is_stale(call):
            return 409, {"clock_ms": self._clock_ms(), "reason": "fence"}
        name = (call["task"], call["run"])
        if name in self.running:
            self.running[name].kill(block=False)
            self._end(name, "stopped")
        return 200, {"clock_ms": self._clock_ms()}

    def hold(self, call):
        if self._is_stale(call):
            return 409, {"clock_ms": self._clock_ms(), "reason": "fence"}
        self.ended = [e for e in self.ended if e[0] > call["ack_cursor"]]
        if not self.ended and call.get("wait_ms"):
            self._new_end.clear()
            self._new_end.wait(call["wait_ms"] / 1000)
        running = [
            [*name, "", self._find_percent(name), 0] for name in self.running
        ]
        return 200, {
            "clock_ms": self._clock_ms(),
            "born": self.born,
            "running": running,
            "ended": self.ended[:LISTED_ENDS_LIMIT],
        }

    def _find_percent(self, name):
        work_s = self.find_work_s(self.specs[name])
        share = (time.monotonic() - self.started_s[name]) / work_s
        return min(99, int(100 * share))

    def crash(self):
        """Loses everything; the next incarnation knows nothing of this one."""
        self.crashes.append([task for task, _ in self.running])
        current = gevent.getcurrent()
        for work in self.running.values():
            if work is not current:
                work.kill(block=False)
        self.running = {}
        self.ended = []
        self.number = 0
        self.fence = 0
        self.born += 1

    def add_end(self, name, how="done"):
        """Lists the end of a run."""
        self.number += 1
        self.ended.append([self.number, *name, how, ""])
        self._new_end.set()

    def _end(self, name, how):
        if self.running.pop(name, None) is not None:
            self.add_end(name, how)


class Cluster:
    """The stand-ins and entry processes of one test.

    Attributes:
        down_s: How long a target that crashed is down.
        new_ids: Whether targets return from a crash under a new ID.
        work_s: How long a task runs.
        longest_lease_ms: The longest lease that a target grants, by the
            settings of the entries.
    """

    make_store = wire_store.Store
    longest_lease_ms = 6000
    # Further lines of the section `limits` in the settings of the entries.
    limits = ""

    def __init__(self, folder, entries=3, targets=2, work_s=0.3):
        self.folder = folder
        self.down_s = 0.5
        self.new_ids = True
        self.store = self.make_store()
        _, self.store_address = wire_store.serve(self.store)
        self.work_s = work_s
        self.targets = []
        self.servers = []
        for _ in range(targets):
            self.add_target()
        self.configure(1)
        self.ports, self.reservations = reserve_ports(entries)
        self.processes = {}
        for number in range(entries):
            self.start(number)

    def add_target(self):
        """Starts and registers another target, and returns it."""
        number = len(self.targets)
        target = Target(self.work_s)
        server, address = wire_store.serve(target)
        self.targets.append(target)
        self.servers.append(server)
        target.instance = f"i-{number}"
        target.on_crash = functools.partial(self.crash_target, number)
        self.store.put("servers", target.instance, make_registration(address))
        return target

    def configure(self, version, keys=(KEY,), others=()):
        """Writes a version of the operators' configuration.

        Args:
            version: Its number.
            keys: Keys of the team of the callers.
            others: Other teams, as the operators write them.
        """
        route = make_route()
        tenant = {"name": "t1", "api_keys": list(keys), "weight": 1}
        tenants = [tenant, *others]
        plain = {"version": version, "routes": [route], "tenants": tenants}
        self.store.put("op", "config", plain)

    def start(self, number):
        """Starts an entry process."""
        front, ready, peers, metrics = self.ports[number]
        path = self.folder / f"e{number}.toml"
        path.write_text(
            format_settings(
                f"e{number}",
                (front, ready, peers),
                self.store_address,
                self.limits,
                self.longest_lease_ms,
            )
        )
        log = (self.folder / f"e{number}.log").open("ab")
        self.processes[number] = subprocess.Popen(
            [sys.executable, "-m", "quetzalswitch.node"],
            env={
                **os.environ,
                "QUETZALSWITCH_SETTINGS": str(path),
                "QUETZAL_METRICS_PORT": str(metrics),
            },
            stdout=log,
            stderr=log,
        )

    def crash_target(self, number):
        """Crashes a target; it returns at its address after `down_s`."""
        gevent.spawn(self._crash_target, number)

    def _crash_target(self, number):
        target = self.targets[number]
        server = self.servers[number]
        server.kill()
        target.crash()
        gevent.sleep(self.down_s)
        if self.new_ids:
            gevent.spawn_later(
                UNLISTING_DELAY_S, self.store.remove, "servers", target.instance
            )
            target.instance = f"i-{number}-{target.born}"
        self.servers[number], address = wire_store.serve(
            target, server.server_port
        )
        row = {**make_registration(address), "born": target.born}
        self.store.put("servers", target.instance, row)

    def read_registration(self, number):
        """Returns the row of a target in the store."""
        row = self.store.rows["servers", "", self.targets[number].instance]
        return json.loads(base64.b64decode(row["value"]))

    def signal(self, number, signal_number=signal.SIGKILL):
        """Sends a signal to an entry process of this cluster."""
        self.processes[number].send_signal(signal_number)

    def stop(self):
        """Kills all entry processes of this cluster."""
        for process in self.processes.values():
            process.kill()
            process.wait()
        for reservation in self.reservations:
            reservation.close()

    def call(self, number, method, path, body=None, key=KEY):
        """Calls an entry; returns status and decoded body, or status 0."""
        client = geventhttpclient.HTTPClient(
            "127.0.0.1",
            self.ports[number][0],
            connection_timeout=3.0,
            network_timeout=5.0,
        )
        headers = {"Host": HOST, "Authorization": f"Token {key}"}
        data = json.dumps(body).encode() if body is not None else b""
        try:
            answer = client.request(method, path, data, headers)
            return answer.status_code, json.loads(answer.read() or b"{}")
        except (OSError, response.HTTPParseError):
            return 0, {}
        finally:
            client.close()

    def read_metrics(self, number):
        """Returns the metrics of an entry by name and labels."""
        client = geventhttpclient.HTTPClient("127.0.0.1", self.ports[number][3])
        try:
            text = client.get("/metrics").read().decode()
        finally:
            client.close()
        lines = [line for line in text.splitlines() if line[:1] != "#"]
        pairs = [line.rsplit(" ", 1) for line in lines if line]
        return {name: float(value) for name, value in pairs}

    def submit(self, number, job_id, count=1, cpu=1000, spec="work"):
        """Submits a job with one step; returns the status."""
        step = {"count": count, "cpu": cpu, "mem_mb": 10, "estimate_ms": 300}
        body = {"spec": spec, "steps": [step]}
        return self.call(number, "POST", f"/q/{job_id}", body)[0]

    def wait_state(self, number, job_id, state, limit_s=20.0):
        """Waits until an entry reports a state; returns the last state."""
        found = None
        until_s = time.monotonic() + limit_s
        while time.monotonic() < until_s:
            found = self.call(number, "GET", f"/q/{job_id}")[1].get("state")
            if found == state:
                break
            gevent.sleep(0.05)
        if found != state:
            # pytest prints this output together with the failure.
            for entry in self.processes:
                print(self.folder.joinpath(f"e{entry}.log").read_text()[-4000:])
        return found

    def wait_ready(self, limit_s=20.0):
        """Waits until all entries answer counts, which needs a leader."""
        until_s = time.monotonic() + limit_s
        for number in self.processes:
            while time.monotonic() < until_s:
                if self.call(number, "GET", "/q/")[0] == 200:
                    break
                gevent.sleep(0.1)
            ended = self.processes[number].poll()
            log = (self.folder / f"e{number}.log").read_text()
            assert ended is None, f"e{number} ended with {ended}: {log}"

    def find_leader(self):
        """Returns the number of the entry in the store's leader row."""
        row = self.store.rows["cluster", "p", "leader"]
        _, name, _ = msgspec.msgpack.decode(base64.b64decode(row["value"]))
        return int(name.removeprefix("e"))

    def list_starts(self, job_id):
        """Returns all starts of a job's tasks on all targets."""
        return [
            start
            for target in self.targets
            for start in target.starts
            if start[0].startswith(job_id)
        ]
