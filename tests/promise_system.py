"""A system with a recorded history for the tests of the promises.

Callers use HTTP. Entry `e3` is a process of its own unless a test says
otherwise: it dies by SIGKILL and pauses by SIGSTOP, so that no greenlet of it
goes on. The other entries, the targets and the platform are in this process.
"""

import contextlib
import json
import signal
import time

import gevent
import gevent.pool
from bench import processes

from quetzalswitch import configuration
from quetzalswitch import embedded
from quetzalswitch import exceptions
from quetzalswitch import history
from quetzalswitch import schema
from quetzalswitch.standins import faults
from quetzalswitch.storage import vms

TIMES = schema.Times(drain_delay_s=0.3, drain_timeout_s=8.0)
CHILD = "e3"
FINAL = ("done", "failed", "unknown", "cancelled")
SETTLE_S = 45.0
TRIES = 4
# More scenarios at once would need more than one core for their processes.
PARALLEL_SCENARIOS = 8


class PromiseSystem(embedded.System):
    """Records what callers, operators, targets and entries see.

    Attributes:
        events: Events of callers, operators and entries.
        addresses: Callers' address of each entry.
    """

    def __init__(self, folder, child=False, limit=40, **shape):
        shape = {"entries": 2 if child else 3, "targets": 4, **shape}
        super().__init__(embedded.Shape(**shape), TIMES)
        self._folder = folder
        self._with_child = child
        self._limit = limit
        self._pool = gevent.pool.Pool()
        self._serial = 0
        self._requests = {}
        self._open = set()
        self._known = set()
        self.events = []
        self.child = None
        self.addresses = {}
        self.operators = {}

    def __enter__(self):
        self.start()
        for name, process in self.entries.items():
            self.addresses[name] = process.callers_address
        if self._with_child:
            self.start_child()
        self._configure()
        self._pool.spawn(self._watch_versions)
        self.wait_ready()
        return self

    def __exit__(self, *error):
        self._pool.kill()
        if self.child is not None:
            self.child.end()
        self.stop()

    # Entries

    def start_child(self):
        """Starts entry `e3` as a process of its own."""
        if self.child is not None:
            self.child.end()
        settings = {
            "entry_id": CHILD,
            "failure_domain": self.domain(2),
            "region": "local",
            "callers_address": "127.0.0.1:0",
            "operators_address": "127.0.0.1:0",
            "peers_address": "127.0.0.1:0",
            "platform_address": self.platform.address,
            "operator_key": self.operator_key,
            "times": {"drain_delay_s": 0.3},
        }
        path = self._folder / f"{id(self)}-{CHILD}.json"
        path.write_text(json.dumps({"process": settings}))
        # In a thread: it waits for the process's first line.
        self.child = gevent.get_hub().threadpool.apply(
            processes.Child,
            (CHILD, "quetzalswitch.daemon", [str(path)], self._folder),
        )
        words = self.child.lines[0].split()
        self.addresses[CHILD], self.operators[CHILD] = words[1], words[3]
        self.publish_vms()

    def publish_vms(self):
        """Publishes the VMs, that of the child included."""
        super().publish_vms()
        if self._with_child:
            listed = self.platform.app._vms._pending[-1][1]
            domain = self.domain(2)
            listed.append(
                vms.VmBody(
                    CHILD, "entry", "127.0.0.1:1", domain, "rack-0", "live"
                )
            )

    def kill_child(self):
        """Ends entry `e3` as the death of its VM does."""
        self.child.send(signal.SIGKILL)

    def pause_child(self, seconds):
        """Stops entry `e3` for a time; its connections stay open."""
        self.child.send(signal.SIGSTOP)
        gevent.sleep(seconds)
        self.child.send(signal.SIGCONT)

    def replace(self, name):
        """Stops an entry as planned and starts it again."""
        self.record("planned_stop", entry=name)
        if name == CHILD:
            self.child.send(signal.SIGTERM)
            with gevent.Timeout(30.0):
                while self.child.alive():
                    gevent.sleep(0.05)
            self.start_child()
            return
        old = self.entries[name]
        old.drain()
        index = int(name[1:]) - 1
        process = self.start_entry(name, index)
        self.addresses[name] = process.callers_address
        self.publish_vms()

    def wait_child_ready(self):
        """Waits until entry `e3` accepts requests and controls a target."""
        with gevent.Timeout(15.0):
            while True:
                state = self._child_state()
                if state.get("fresh") and state.get("targets"):
                    return
                gevent.sleep(0.1)

    def _child_state(self):
        try:
            return processes.call(
                self.operators[CHILD],
                "GET",
                "/v1/operators/state",
                key=self.operator_key,
                timeout_s=1.0,
            )[1]
        except OSError:
            return {}

    def is_ready(self):
        """Tells whether all targets are controlled and all entries fresh."""
        if not self._with_child:
            return super().is_ready()
        state = self._child_state()
        claimed = len(state.get("targets", ()))
        claimed += sum(p.control.claimed() for p in self.entries.values())
        return (
            claimed >= len(self.targets)
            and bool(state.get("fresh"))
            and all(p.is_fresh() for p in self.entries.values())
        )

    # Faults

    def fault_targets(self, **values):
        """Sets the same faults at every target."""
        for target in self.targets.values():
            target.set_faults(faults.Faults(**values))

    def fault_store(self, seconds=0.0, **values):
        """Sets faults of the platform, for a time if one is given."""
        self.platform.set_faults(faults.Faults(**values))
        if seconds:
            gevent.sleep(seconds)
            self.platform.set_faults(faults.Faults())

    # Operators

    def _configure(self):
        digest = configuration.digest_key("secret-alpha")
        self.operate(
            configuration.ChangeSet(
                (
                    configuration.PutTeam("open", 1.0, 4),
                    configuration.PutTeam("alpha", 1.0, self._limit),
                    configuration.GrantKey("key-alpha", "alpha", digest),
                    configuration.PutQueue("work", "alpha", "latency"),
                )
            )
        )
        self.record("limit", team="alpha", limit=self._limit)

    def operate(self, change, timeout_s=20.0):
        """Makes a change, again until one entry accepts it."""
        with gevent.Timeout(timeout_s):
            while True:
                try:
                    version = self.change(change)
                    break
                except exceptions.QuetzalError:
                    gevent.sleep(0.1)
        self.record("accepted_version", version=version)
        return version

    def set_limit(self, limit):
        """Sets alpha's limit; a higher one may count from its sending on."""
        sent_ms = _wall_ms()
        higher = limit > self._limit
        self.operate(configuration.PutTeam("alpha", 1.0, limit))
        self._limit = limit
        self.record("limit", team="alpha", limit=limit)
        if higher:
            self.events[-1]["wall_ms"] = sent_ms

    def take_out(self, domain):
        """Takes a failure domain out of service."""
        self.operate(configuration.TakeOutDomain(domain))
        self.record("out", failure_domain=domain)

    def _watch_versions(self):
        while True:
            for process in list(self.entries.values()):
                self._record_version(
                    process.incarnation,
                    process.following.configuration.version,
                    process.is_fresh(),
                )
            if self.child is not None:
                state = self._child_state()
                if state:
                    self._record_version(
                        state["incarnation"], state["version"], state["fresh"]
                    )
            gevent.sleep(0.3)

    def _record_version(self, entry, version, fresh):
        state = "fresh" if fresh else "stale"
        self.record("version", entry=entry, version=version, state=state)

    # Callers

    def record(self, event, **fields):
        """Records an event that happens now."""
        self.events.append({"wall_ms": _wall_ms(), "event": event, **fields})

    def spawn(self, *arguments, **fields):
        """Submits in the background; returns the request key."""
        self._serial += 1
        fields.setdefault("request_id", f"r{self._serial}")
        self._pool.spawn(self.submit, *arguments, **fields)
        return f"alpha/{fields['request_id']}"

    def submit(self, entry, key="secret-alpha", run_ms=50, tries=1, **fields):
        """Submits a durable request and records what the caller learns."""
        request_id = fields["request_id"]
        request_key = f"alpha/{request_id}"
        output = fields.pop("output", f"output of {request_id}")
        body = {
            "queue": "work",
            "payload": json.dumps({"run_ms": run_ms, "output": output}),
            "wait": True,
            **fields,
        }
        if request_key not in self._requests:
            self._requests[request_key] = key
            self.record(
                "submitted",
                request_key=request_key,
                team="alpha",
                key_id=key.replace("secret", "key"),
                idempotent=fields.get("idempotent", True),
                durable=True,
                expected=output,
            )
        for _ in range(tries):
            if self._try(entry, key, request_key, body):
                return
            gevent.sleep(0.2)

    def _try(self, entry, key, request_key, body):
        try:
            status, view = processes.call(
                self.addresses[entry], "POST", "/v1/requests", body, key, 40.0
            )
        except ConnectionRefusedError:
            return False
        except OSError:
            self.record("cut", entry=entry)
            self._open.add(request_key)
            return False
        if status in (200, 202) or view.get("state") in FINAL:
            self.record("accepted", request_key=request_key)
            self._open.add(request_key)
            self._note(request_key, view)
            return True
        error = view["error"]
        self.record("refused", request_key=request_key, **error)
        if error["run"] == "not_run" and request_key not in self._open:
            self._record_answer(request_key, view)
        elif error["run"] != "not_run":
            self._open.add(request_key)
        return False

    def _note(self, request_key, view):
        if view.get("state") in FINAL:
            self._open.discard(request_key)
            self._record_answer(request_key, view)

    def _record_answer(self, request_key, view):
        self.record(
            "answered",
            request_key=request_key,
            state=view.get("state", "refused"),
            run=view.get("error", {}).get("run", ""),
            body=view.get("result", {}).get("body", ""),
        )

    def settle(self, entry="e1", timeout_s=SETTLE_S):
        """Asks for the outcome of every request that is still open."""
        gevent.sleep(0.2)
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s and (self._open or self._pool_busy()):
            for request_key in list(self._open):
                self._ask(entry, request_key)
            gevent.sleep(0.2)

    def _pool_busy(self):
        return len(self._pool) > 1

    def _ask(self, entry, request_key):
        path = f"/v1/requests/{request_key.partition('/')[2]}"
        key = self._requests[request_key]
        with contextlib.suppress(OSError):
            status, view = processes.call(
                self.addresses[entry], "GET", path, key=key
            )
            if status == 404:
                # The submission itself was lost before it was accepted.
                self._open.discard(request_key)
            elif status == 200:
                if request_key not in self._known:
                    # A request that exists must get an outcome.
                    self._known.add(request_key)
                    self.record("accepted", request_key=request_key)
                self._note(request_key, view)

    def cancel(self, entry, request_key):
        """Cancels a request and records the answer."""
        path = f"/v1/requests/{request_key.partition('/')[2]}"
        status, view = processes.call(
            self.addresses[entry], "DELETE", path, key="secret-alpha"
        )
        if status == 200:
            self._note(request_key, view)

    # The history

    def starts(self, request_key=None):
        """Returns the starts so far, of one request if it is given."""
        return [
            event
            for target in self.targets.values()
            for event in target.history
            if event["event"] == "start"
            and request_key in (None, event["request_key"])
        ]

    def wait_started(self, *request_keys):
        """Waits until each of the requests has been started."""
        with gevent.Timeout(20.0):
            while not all(self.starts(key) for key in request_keys):
                gevent.sleep(0.02)

    def answers(self):
        """Returns the last answer to each request."""
        return {
            event["request_key"]: event
            for event in self.events
            if event["event"] == "answered"
        }

    def violations(self):
        """Returns the violations that the recorded history shows."""
        events = list(self.events)
        for target in self.targets.values():
            events += target.history
        return history.check(history.order(events))

    def broken(self):
        """Returns the names of the promises that were broken."""
        return {violation.promise for violation in self.violations()}


class Runs:
    """Runs the scenarios of the selected tests of a module side by side.

    A scenario mostly waits for leases to lapse; one after the other they
    would take minutes. The test `test_x` has the scenario `_x`.
    """

    def __init__(self, request, folder, pairs=None):
        self._pool = gevent.pool.Pool(PARALLEL_SCENARIOS)
        self._greenlets = {}
        for item in request.session.items:
            if item.module is request.module and pairs:
                self._add_pair(item, pairs, folder)
                continue
            name = item.name.removeprefix("test")
            scenario = getattr(request.module, name, None)
            if item.module is request.module and scenario is not None:
                self._greenlets[name] = gevent.Greenlet(scenario, folder)
        self._starter = gevent.spawn(self._start)

    def _add_pair(self, item, pairs, folder):
        """Adds the scenario that a parametrized test names, off or not."""
        parameters = getattr(item, "callspec", None)
        name = parameters.params.get("name") if parameters else None
        if name is not None:
            off = item.originalname == "test_switched_off"
            self._greenlets[name, off] = gevent.Greenlet(
                pairs[name][0], off, folder
            )

    def _start(self):
        for greenlet in self._greenlets.values():
            self._pool.start(greenlet)
            # Spreads the load of starting processes.
            gevent.sleep(0.3)

    def join(self, request):
        """Returns what the scenario of a test returned."""
        return self._greenlets[request.node.name.removeprefix("test")].get()

    def get(self, name, off):
        """Returns what a scenario returned with its mechanism on or off."""
        return self._greenlets[name, off].get()

    def stop(self):
        """Ends what still runs."""
        self._starter.kill()
        self._pool.kill()


def _wall_ms():
    return int(time.time() * 1000)
