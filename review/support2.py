"""Stand-ins, entries and records of the cases review/6 to review/10.

Entries are separate processes, started with the command of deploy/system.toml
and settings like those of the Moorwater deployment. Store and targets are the
stand-ins of tests/: the store never fails, targets keep tokens and leases.
"""

import contextlib
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import tomllib

import gevent

import fault_proxy
import leased_target
import soak_watch
import wire_platform
import wire_store

REPOSITORY = pathlib.Path(__file__).resolve().parent.parent
# Of the Moorwater site: settings of an entry and bounds of the rules.
MEMORY_MB = 300
FINISH_S = 14.0
RECOVERY_S = 12.0
ACK_S = 4.0
QUOTA_OVERAGE = 0.1
CALLER_TIMEOUT_S = 3.0
# A process that ends is started again after a short delay.
RESTART_DELAY_S = 0.5
MEMORY_CHECK_INTERVAL_S = 0.02

HELD, BROKEN, NOT_RUN = 0, 1, 2


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self._file = path.open("w")
        self._began_s = time.monotonic()

    def now(self):
        """Returns the seconds since the case began."""
        return time.monotonic() - self._began_s

    def note(self, text):
        """Writes a line."""
        self._file.write(f"{self.now():8.3f}  {text}\n")
        self._file.flush()


class Target(leased_target.LeasedTarget):
    """A target that records its runs; `spec` holds the work in seconds."""

    def __init__(self, name, record):
        super().__init__(name, 0.1, soak_watch.Watch())
        self.record = record
        self.on_begin = lambda: None
        self.logged = True
        self.done = set()

    def find_work_s(self, spec):
        """Returns how long a task runs."""
        try:
            return float(spec)
        except ValueError:
            return self.work_s

    def run_start(self, call):
        """Starts a task."""
        known = (call["task"], call["run"]) in self.running
        status, answer = super().run_start(call)
        if status == 200 and not known:
            self._note(f"starts {call['task']} run {call['run']}")
            self.on_begin()
        elif status != 200:
            self._note(f"rejects {call['task']}: {answer.get('reason')}")
        return status, answer

    def _end(self, name, how):
        if name in self.running:
            self._note(f"ends {name[0]} run {name[1]}: {how}")
            if how == "done":
                self.done.add(name)
        super()._end(name, how)

    def _note(self, text):
        if self.logged:
            self.record.note(f"{self.name} {text}")


class System:
    """Entries, store and targets of one case.

    Attributes:
        exits: Number of ends of entry processes that the case did not cause, by
            entry.
    """

    make_store = wire_store.Store

    def __init__(
        self,
        folder,
        record,
        entries=3,
        targets=6,
        limit_cpu=0,
        make_target=Target,
    ):
        self.folder = folder
        self.record = record
        self.store = self.make_store()
        _, self.store_address = wire_store.serve(self.store)
        self.targets = []
        self.proxies = []
        for number in range(targets):
            target = make_target(f"i-{number}", record)
            target.instance = target.name
            _, address = wire_store.serve(target)
            proxy = fault_proxy.Proxy(address)
            self.targets.append(target)
            self.proxies.append(proxy)
            row = wire_platform.make_registration(proxy.address)
            row["born"] = target.born
            self.store.put("servers", target.name, row)
        tenants = [
            {
                "name": "t1",
                "api_keys": ["k1"],
                "weight": 1,
                "max_count": {"cpu": limit_cpu, "mem_mb": 0, "gpu": 0},
            },
            {"name": "t2", "api_keys": ["k2"], "weight": 1},
        ]
        self.store.put(
            "op",
            "config",
            {
                "version": 1,
                "routes": [wire_platform.make_route()],
                "tenants": tenants,
            },
        )
        self.ports, self._reservations = wire_platform.reserve_ports(entries)
        self.processes = {}
        self.exits = dict.fromkeys(range(entries), 0)
        self._down = set()
        self._restarts = {}
        for number in range(entries):
            self.start(number)
        self._guard = gevent.spawn(self._watch)

    def start(self, number):
        """Starts an entry with the command of the deploy file."""
        deploy = tomllib.loads(
            (REPOSITORY / "deploy" / "system.toml").read_text()
        )["roles"]["entry"]
        front, ready, peers, metrics = self.ports[number]
        path = self.folder / f"e{number}.toml"
        path.write_text(
            wire_platform.format_settings(
                f"e{number}",
                (front, ready, peers),
                self.store_address,
                f"memory_mb = {MEMORY_MB}\nmax_fds = 4200",
                leased_target.LONGEST_LEASE_MS,
            )
        )
        with (self.folder / f"e{number}.log").open("ab") as log:
            self.processes[number] = subprocess.Popen(
                deploy["run"].split(),
                cwd=REPOSITORY,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", ""),
                    "LANG": "C.UTF-8",
                    "PYTHONPATH": "target/deps",
                    "QUETZALSWITCH_SETTINGS": str(path),
                    "QUETZAL_METRICS_PORT": str(metrics),
                },
                stdout=log,
                stderr=log,
            )

    def kill(self, number, down_s=RESTART_DELAY_S):
        """Kills an entry; it starts again after a while."""
        self.record.note(f"SIGKILL to e{number}")
        self._down.add(number)
        self.processes[number].kill()
        self.processes[number].wait()
        self._restarts[number] = gevent.spawn_later(
            down_s, self._restart, number
        )

    def _restart(self, number):
        self.start(number)
        self._down.discard(number)

    def stop(self):
        """Ends all processes that this case started."""
        self._guard.kill()
        gevent.killall(list(self._restarts.values()))
        for process in self.processes.values():
            process.kill()
            process.wait()
        for reservation in self._reservations:
            reservation.close()

    def _watch(self):
        """Plays the platform: limits memory, restarts what has ended."""
        while True:
            gevent.sleep(MEMORY_CHECK_INTERVAL_S)
            for number, process in list(self.processes.items()):
                if number in self._down:
                    continue
                if process.poll() is None:
                    if _read_memory_mb(process.pid) <= MEMORY_MB:
                        continue
                    process.kill()
                    process.wait()
                    reason = f"is over {MEMORY_MB} MB and was killed"
                else:
                    reason = f"has ended with {process.returncode}"
                self.exits[number] += 1
                self.record.note(f"e{number} {reason}")
                self._down.add(number)
                self._restarts[number] = gevent.spawn_later(
                    RESTART_DELAY_S, self._restart, number
                )

    def call(self, number, method, path, body=None, key="k1", logged=True):
        """Calls an entry; returns status and decoded body, or status 0."""
        client = wire_platform.geventhttpclient.HTTPClient(
            "127.0.0.1",
            self.ports[number][0],
            connection_timeout=CALLER_TIMEOUT_S,
            network_timeout=CALLER_TIMEOUT_S,
        )
        headers = {
            "Host": wire_platform.HOST,
            "Authorization": f"Token {key}",
            "X-Deadline-Ms": str(int(CALLER_TIMEOUT_S * 1000)),
        }
        data = body if isinstance(body, bytes) else b""
        if body is not None and not data:
            data = json.dumps(body).encode()
        status, answer = 0, {}
        try:
            found = client.request(method, path, data, headers)
            status = found.status_code
            answer = json.loads(found.read() or b"{}")
        except (OSError, ValueError, wire_platform.response.HTTPParseError):
            status, answer = 0, {}
        finally:
            client.close()
        if logged:
            self.record.note(
                f"{method} {path} at e{number} ({key}): {status or 'no answer'}"
                f" {json.dumps(answer)[:120]}"
            )
        return status, answer

    def submit(self, job_id, body, key="k1", tries=5):
        """Submits with retries at other entries; returns the last status."""
        status = 0
        for attempt in range(tries):
            number = (int(job_id, 16) + attempt) % len(self.processes)
            status, _ = self.call(number, "POST", f"/q/{job_id}", body, key)
            if status not in (0, 429, 502, 503, 504):
                break
            gevent.sleep(0.3)
        return status

    def read_state(self, job_id, key="k1", tries=3, logged=True):
        """Returns the state that any entry answers, or an empty string."""
        for attempt in range(tries):
            number = (int(job_id, 16) + attempt) % len(self.processes)
            status, answer = self.call(
                number, "GET", f"/q/{job_id}", None, key, logged
            )
            if status == 200:
                return answer["state"]
            if status == 410:
                return "unknown (410)"
        return ""

    def wait_ready(self, limit_s=25.0):
        """Returns whether all entries answer counts in time."""
        until_s = time.monotonic() + limit_s
        for number in self.processes:
            while self.call(number, "GET", "/q/", logged=False)[0] != 200:
                if time.monotonic() > until_s:
                    return False
                gevent.sleep(0.1)
        return True

    def find_leader(self):
        """Returns the number of the entry in the store's leader row."""
        return wire_platform.Cluster.find_leader(self)

    def sum_starts(self):
        """Returns the number of starts on all targets."""
        return sum(len(target.starts) for target in self.targets)


def _read_memory_mb(pid):
    with contextlib.suppress(OSError):
        for line in pathlib.Path(f"/proc/{pid}/status").read_text().split("\n"):
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / 1024
    return 0.0


def run(folder, play, make_system=System, **options):
    """Plays a case and exits with its result.

    Args:
        folder: Folder of the case; receives record.txt.
        play: Is called with the system, the record and whether the disruption
            is played; returns a list of texts, one for each broken rule.
        make_system: Class of the system.
        options: Further arguments of the system.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(pathlib.Path(folder) / "record.txt")
    gevent.signal_handler(signal.SIGTERM, sys.exit, NOT_RUN)
    gevent.signal_handler(signal.SIGINT, sys.exit, NOT_RUN)
    system = None
    result = NOT_RUN
    try:
        with tempfile.TemporaryDirectory() as temporary:
            try:
                system = make_system(pathlib.Path(temporary), record, **options)
                if not system.wait_ready():
                    record.note("the entries did not become ready")
                else:
                    record.note(f"ready; disruption: {trouble}")
                    broken = play(system, record, trouble)
                    for text in broken:
                        record.note(f"BROKEN: {text}")
                        print(f"BROKEN: {text}")
                    result = BROKEN if broken else HELD
            finally:
                if system is not None:
                    system.stop()
    except Exception as error:  # noqa: BLE001 - the case could not run
        record.note(f"not run: {type(error).__name__}: {error}")
        raise
    finally:
        record.note(f"result {result}")
        sys.stdout.flush()
        os._exit(result)


def find_lost(system, record, accepted):
    """Checks the rule LOST at the end of a case, FINISH_S after the traffic.

    Args:
        system: The system.
        record: The record.
        accepted: Key and number of tasks by ID, of submissions that nobody has
            cancelled.

    Returns:
        A text for each submission that is unknown, gets no answer, or has
        nothing running for 3 s though a task waits and the targets have room.
    """
    record.note(f"traffic over; waiting {FINISH_S:g} s")
    gevent.sleep(FINISH_S)
    broken = []
    waiting = []
    for job_id, (key, _) in accepted.items():
        state = system.read_state(job_id, key)
        if state in ("completed", "failed"):
            continue
        if state in ("", "unknown (410)", "cancelled"):
            broken.append(f"LOST: {job_id} is {state or 'not answered'}")
        else:
            waiting.append(job_id)
    ran = set()
    most_used = 0.0
    until_s = time.monotonic() + 3.0
    while waiting and time.monotonic() < until_s:
        runs = [name for target in system.targets for name in target.running]
        ran.update(task.partition(".")[0] for task, _ in runs)
        # Each task of these cases asks for 1 core, a target has 8.
        most_used = max(most_used, len(runs) / (8 * len(system.targets)))
        gevent.sleep(0.05)
    for job_id in waiting:
        key, tasks = accepted[job_id]
        done = {
            task
            for target in system.targets
            for task, _ in target.done
            if task.startswith(job_id)
        }
        state = system.read_state(job_id, key)
        if job_id not in ran and state not in ("completed", "failed"):
            if len(done) < tasks and most_used < 0.5:
                broken.append(
                    f"LOST: {job_id} is {state or 'not answered'}, has nothing "
                    f"running for 3 s, {len(done)} of {tasks} tasks done, "
                    f"{most_used:.0%} of the targets' slots in use"
                )
    record.note(f"asked for {len(accepted)}, {len(broken)} lost")
    return broken
