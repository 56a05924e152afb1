"""Soak of real processes under seeded faults, checked from its history.

Usage: python -m bench.soak --seconds 60 --seed 1
"""

import collections
import dataclasses
import json
import pathlib
import random
import signal
import sys
import tempfile
import time

import cyclopts
import gevent
import gevent.pool
from bench import processes

from quetzalswitch import configuration
from quetzalswitch import history

TEAMS = {"alpha": 60, "beta": 40, "gamma": 30}
FINAL = ("done", "failed", "unknown", "cancelled")
SETTLE_S = 200.0
CALLERS = 24


class Recorder:
    """Collects events with the wall time at which they happened."""

    def __init__(self):
        self.events: list[history.Event] = []

    def add(self, event: str, **fields) -> None:
        """Adds an event that happens now."""
        wall_ms = int(time.time() * 1000)
        self.events.append({"wall_ms": wall_ms, "event": event, **fields})


@dataclasses.dataclass
class Plan:
    """One request of the load."""

    team: str
    body: dict
    expected: str
    key: str


class Load:
    """Callers that submit requests and remember what they were told."""

    def __init__(self, system: processes.System, recorder: Recorder, seed: int):
        self._system = system
        self._recorder = recorder
        self._random = random.Random(seed)
        self._serial = 0
        self.counts: collections.Counter = collections.Counter()
        self.running = True
        self.pending: dict[str, Plan] = {}
        self.tainted: set[str] = set()

    def run(self) -> None:
        """Submits one request after the other until told to stop."""
        while self.running:
            self._submit(self._make_plan())
            gevent.sleep(self._random.uniform(0.0, 0.2))

    def _make_plan(self) -> Plan:
        self._serial += 1
        team = self._random.choice(list(TEAMS))
        request_id = f"r{self._serial}"
        output = f"{team}-{request_id}-" + "y" * self._random.randrange(50)
        if self._random.random() < 0.05:
            output += "z" * 100_000
        payload = {"run_ms": self._random.randrange(10, 400), "output": output}
        body = {
            "queue": f"{team}-work",
            "payload": json.dumps(payload),
            "request_id": request_id,
            "wait": self._random.random() < 0.5,
            "cores": self._random.choice([0.5, 1.0, 4.0, 16.0]),
        }
        expected = output
        draw = self._random.random()
        if draw < 0.25:
            body["idempotent"] = False
        elif draw < 0.5:
            body["kind"] = {"type": "batch"}
        elif draw < 0.6:
            body["kind"] = {"type": "gang"}
            body["tasks"] = 3
            expected = None
        return Plan(team, body, expected, f"{team}/{request_id}")

    def _submit(self, plan: Plan) -> None:
        self._recorder.add(
            "submitted",
            request_key=plan.key,
            team=plan.team,
            key_id=f"key-{plan.team}",
            idempotent=plan.body.get("idempotent", True),
            durable=True,
            expected=plan.expected,
        )
        for _ in range(5):
            entry = self._random.choice(self._system.entry_names())
            if self._try_once(plan, entry):
                return
            gevent.sleep(0.3)
        self.counts["given up"] += 1

    def _try_once(self, plan: Plan, entry: str) -> bool:
        """Submits at one entry; returns whether the request is settled."""
        address = self._system.callers[entry]
        key = f"secret-{plan.team}"
        try:
            status, view = processes.call(
                address, "POST", "/v1/requests", plan.body, key, 30.0
            )
        except ConnectionRefusedError:
            return False
        except TimeoutError:
            self.counts["timed out"] += 1
            self.pending[plan.key] = plan
            return False
        except OSError as error:
            self.counts["cut"] += 1
            self._recorder.add("cut", entry=entry, error=str(error))
            self.pending[plan.key] = plan
            return False
        if status in (200, 202) or view.get("state") in FINAL:
            self.pending[plan.key] = plan
            self._recorder.add("accepted", request_key=plan.key)
            self.counts["accepted"] += 1
            self._note(plan, view)
            return True
        kind = view.get("error", {}).get("kind", "none")
        self.counts[f"refused {kind}"] += 1
        if view["error"]["run"] != "not_run":
            self.pending[plan.key] = plan
        return False

    def _note(self, plan: Plan, view: dict) -> None:
        if view["state"] not in FINAL:
            return
        self.pending.pop(plan.key, None)
        self.counts[f"answered {view['state']}"] += 1
        body = view.get("result", {}).get("body", "")
        if plan.expected is None:
            plan_output = json.loads(plan.body["payload"])["output"]
            body = None if _is_gang(body, plan_output) else body
        self._recorder.add(
            "answered",
            request_key=plan.key,
            state=view["state"],
            run=view.get("error", {}).get("run", ""),
            body=body,
        )

    def settle(self, timeout_s: float) -> None:
        """Asks for the outcome of every request that is still open."""
        end_s = time.monotonic() + timeout_s
        while self.pending and time.monotonic() < end_s:
            for plan in list(self.pending.values()):
                self._ask(plan)
            gevent.sleep(1.0)

    def _ask(self, plan: Plan) -> None:
        entry = self._random.choice(self._system.entry_names())
        address = self._system.callers[entry]
        path = f"/v1/requests/{plan.body['request_id']}"
        try:
            status, view = processes.call(
                address, "GET", path, key=f"secret-{plan.team}"
            )
        except OSError:
            return
        if status == 404:
            # It was never accepted: the submission itself was lost.
            self.pending.pop(plan.key, None)
            self.counts["never accepted"] += 1
        elif status == 200:
            self._note(plan, view)


def _is_gang(body: str, output: str) -> bool:
    """Tells whether a body holds the outputs of all tasks of a gang."""
    try:
        parts = json.loads(body)
    except ValueError:
        return False
    return len(parts) == 3 and all(
        part == output or isinstance(part, dict) for part in parts
    )


class Chaos:
    """Injects faults in a seeded order."""

    def __init__(self, system: processes.System, recorder: Recorder, seed: int):
        self._system = system
        self._recorder = recorder
        self._random = random.Random(seed + 1)
        self.log: list[str] = []
        self._faults = [
            self._kill_entry,
            self._pause_entry,
            self._replace_entry,
            self._store_outage,
            self._store_slow,
            self._store_loses_answers,
            self._store_silent,
            self._target_silent,
            self._target_restart,
            self._target_pause,
            self._target_loses_answers,
            self._domain_out,
        ]

    def run(self, seconds: float) -> None:
        """Injects faults for a time; some of them overlap."""
        end_s = time.monotonic() + seconds
        pool = gevent.pool.Pool(2)
        while time.monotonic() < end_s:
            fault = self._random.choice(self._faults)
            pool.wait_available()
            pool.spawn(self._inject, fault)
            gevent.sleep(self._random.uniform(1.0, 4.0))
        pool.join()

    def _inject(self, fault) -> None:
        self.log.append(fault.__name__.strip("_"))
        try:
            fault()
        except OSError as error:
            self.log.append(f"{fault.__name__}: {error}")

    def _choose_entry(self) -> str:
        return self._random.choice(self._system.entry_names())

    def _choose_target(self) -> str:
        names = [n for n, vm in self._system.vms.items() if n[0] == "t"]
        return self._random.choice(names)

    def _platform(self, body: dict, seconds: float) -> None:
        processes.call(self._system.platform, "PUT", "/faults", body)
        gevent.sleep(seconds)
        processes.call(self._system.platform, "PUT", "/faults", {})

    def _kill_entry(self) -> None:
        name = self._choose_entry()
        child = self._system.children[name]
        child.end()
        gevent.sleep(self._random.uniform(0.5, 8.0))
        self._system.start_entry(name)

    def _pause_entry(self) -> None:
        child = self._system.children[self._choose_entry()]
        child.send(signal.SIGSTOP)
        gevent.sleep(self._random.uniform(1.0, 12.0))
        child.send(signal.SIGCONT)
        gevent.sleep(3.0)
        self._restart_if_ended(child.name)

    def _restart_if_ended(self, name: str) -> None:
        child = self._system.children[name]
        if not child.alive():
            self.log.append(f"{name} exited with {child.exit_code()}")
            self._system.start_entry(name)

    def _replace_entry(self) -> None:
        name = self._choose_entry()
        self._recorder.add("planned_stop", entry=name)
        child = self._system.children[name]
        child.send(signal.SIGTERM)
        # Longer than the drain timeout of an entry process.
        for _ in range(400):
            if not child.alive():
                break
            gevent.sleep(0.2)
        self.log.append(f"planned stop of {name}: {child.exit_code()}")
        child.end()
        self._recorder.add("stopped", entry=name)
        self._system.start_entry(name)

    def _store_outage(self) -> None:
        down = self._random.choice(["refuse", "error"])
        self._platform({"down": down}, self._random.uniform(2.0, 15.0))

    def _store_slow(self) -> None:
        self._platform({"delay_ms": 700}, self._random.uniform(2.0, 10.0))

    def _store_loses_answers(self) -> None:
        lose_by = self._random.choice(["close", "hang"])
        faults = {"lose_probability": 0.3, "lose_by": lose_by}
        self._platform(faults, self._random.uniform(2.0, 6.0))

    def _store_silent(self) -> None:
        self._platform({"silence_open": True}, 0.1)

    def _target(self, path: str, body: dict) -> None:
        vm = self._system.vms[self._choose_target()]
        processes.call(vm["address"], "PUT", path, body)

    def _target_silent(self) -> None:
        self._target("/faults", {"silence_open": True})

    def _target_restart(self) -> None:
        self._target("/faults/target", {"restart": True})

    def _target_pause(self) -> None:
        pause_ms = self._random.uniform(500, 9000)
        self._target("/faults/target", {"pause_ms": pause_ms})

    def _target_loses_answers(self) -> None:
        self._target("/faults", {"lose_next": 3, "lose_by": "hang"})

    def _domain_out(self) -> None:
        domain = self._random.choice(["domain-a", "domain-b", "domain-c"])
        entry = self._choose_entry()
        out = {"type": "take_out_domain", "domain": domain}
        self._system.change(out, entry)
        self._recorder.add("out", failure_domain=domain)
        gevent.sleep(self._random.uniform(2.0, 10.0))
        self._recorder.add("back", failure_domain=domain)
        back = {"type": "return_domain", "domain": domain}
        for _ in range(40):
            try:
                self._system.change(back, self._choose_entry())
                return
            except OSError:
                gevent.sleep(0.5)


def configure(system: processes.System, recorder: Recorder) -> None:
    """Creates teams, keys and queues."""
    changes = [
        {"type": "put_team", "name": "open", "share": 1, "max_running": 4}
    ]
    for team, limit in TEAMS.items():
        changes.append(
            {
                "type": "put_team",
                "name": team,
                "share": 1.0,
                "max_running": limit,
            }
        )
        changes.append(
            {
                "type": "grant_key",
                "key_id": f"key-{team}",
                "team": team,
                "digest": configuration.digest_key(f"secret-{team}"),
            }
        )
        changes.append(
            {"type": "put_queue", "name": f"{team}-work", "team": team}
        )
        recorder.add("limit", team=team, limit=limit)
    system.change({"type": "change_set", "changes": changes})


def watch_versions(system: processes.System, recorder: Recorder) -> None:
    """Records the version that each entry acts on."""
    while True:
        for name in system.entry_names():
            try:
                state = system.state(name)
            except (OSError, KeyError):
                continue
            recorder.add(
                "version",
                entry=state.get("incarnation", name),
                version=state.get("version", 0),
                state="fresh" if state.get("fresh") else "stale",
            )
        gevent.sleep(1.0)


def run(
    seconds: float = 60.0,
    seed: int = 1,
    entries: int = 7,
    targets: int = 24,
    chaos: bool = True,
) -> int:
    """Runs the soak and prints what became of every request.

    Args:
        seconds: Length of the load in seconds.
        seed: Seed of load and faults.
        entries: Number of entry processes.
        targets: Number of targets.
        chaos: Whether faults are injected.
    """
    folder = pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
    recorder = Recorder()
    system = processes.System(folder, entries, targets)
    try:
        gevent.sleep(2.0)
        configure(system, recorder)
        system.wait_ready(targets)
        load = Load(system, recorder, seed)
        callers = [gevent.spawn(load.run) for _ in range(CALLERS)]
        watcher = gevent.spawn(watch_versions, system, recorder)
        storm = Chaos(system, recorder, seed)
        if chaos:
            storm.run(seconds)
        else:
            gevent.sleep(seconds)
        load.running = False
        gevent.joinall(callers, timeout=60)
        load.settle(SETTLE_S)
        watcher.kill()
        explain(system, load)
        usage = {n: c.usage() for n, c in system.children.items()}
    finally:
        system.stop()
    return report(folder, recorder, load, storm, usage)


def explain(system: processes.System, load: Load) -> None:
    """Prints what each entry knows about requests that are still open."""
    for plan in list(load.pending.values())[:8]:
        team, request_id = plan.key.split("/")
        path = f"/v1/operators/requests/{team}/{request_id}/why"
        for name, address in system.operators.items():
            _, answer = processes.call(
                address, "GET", path, key=processes.OPERATOR_KEY
            )
            print(plan.key, name, answer.get("why"))


def report(folder, recorder, load, storm, usage) -> int:
    """Prints counts, faults, usage and violations; returns the exit code."""
    events = list(recorder.events)
    events += history.read(folder.glob("*.jsonl"))
    violations = history.check(history.order(events))
    for name, count in sorted(load.counts.items()):
        print(f"{name:30} {count}")
    print("open at the end", sorted(load.pending))
    for name, count in sorted(collections.Counter(storm.log).items()):
        print(f"fault {name:40} {count}")
    starts = sum(event["event"] == "start" for event in events)
    print(f"starts {starts}")
    for name, (cpu_s, resident_mb) in sorted(usage.items()):
        if name[0] in "ep":
            print(
                f"{name:10} cpu {cpu_s:6.1f} s  resident {resident_mb:5.0f} MB"
            )
    promises = collections.Counter(v.promise for v in violations)
    print(f"promises broken: {sum(promises.values())} {dict(promises)}")
    for violation in violations[:20]:
        print(f"  {violation}")
    print(f"folder {folder}")
    return 1 if violations else 0


def main() -> None:
    """Runs the command."""
    app = cyclopts.App(name="soak")
    app.default(run)
    command, bound, _ = app.parse_args()
    sys.exit(command(*bound.args, **bound.kwargs))


if __name__ == "__main__":
    main()
