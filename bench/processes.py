"""Starts and ends the processes of a system on loopback for benches."""

import json
import os
import pathlib
import signal
import subprocess
import sys
import typing

import gevent
import geventhttpclient
import psutil

START_TIMEOUT_S = 20.0
OPERATOR_KEY = "operator-key-for-benches"
STOP_TIMEOUT_S = 5.0


class Child:
    """A process that this bench started; ended by its process ID.

    Attributes:
        name: Name of the VM that it stands for.
        lines: First lines that it printed.
    """

    def __init__(
        self,
        name: str,
        module: str,
        arguments: typing.Sequence[str],
        folder: pathlib.Path,
        lines: int = 1,
    ):
        self.name = name
        root = pathlib.Path(__file__).parent.parent
        environment = {**os.environ, "PYTHONPATH": str(root / "src")}
        self._errors = (folder / f"{name}.log").open("ab")
        self._process = subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            stdout=subprocess.PIPE,
            stderr=self._errors,
            env=environment,
        )
        self.lines = [
            self._process.stdout.readline().decode().strip()
            for _ in range(lines)
        ]

    @property
    def pid(self) -> int:
        """Process ID."""
        return self._process.pid

    def alive(self) -> bool:
        """Tells whether the process still runs."""
        return self._process.poll() is None

    def send(self, number: int) -> None:
        """Sends a signal if the process still runs."""
        if self.alive():
            self._process.send_signal(number)

    def exit_code(self) -> int | None:
        """Returns the exit code, None while it runs."""
        return self._process.poll()

    def end(self) -> None:
        """Ends the process and waits for its end."""
        if self.alive():
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
        self._process.wait(STOP_TIMEOUT_S)
        self._process.stdout.close()
        self._errors.close()

    def usage(self) -> tuple[float, float]:
        """Returns CPU seconds and resident MB so far."""
        try:
            process = psutil.Process(self.pid)
            cpu = process.cpu_times()
            resident = process.memory_info().rss / 1e6
        except psutil.Error:
            return 0.0, 0.0
        return cpu.user + cpu.system, resident


def call(
    address: str,
    method: str,
    path: str,
    body: typing.Any = None,
    key: str = "",
    timeout_s: float = 10.0,
) -> tuple[int, typing.Any]:
    """Returns status and JSON body of one exchange on a new connection.

    Raises:
        OSError: No whole answer arrived.
    """
    host, _, port = address.rpartition(":")
    client = geventhttpclient.HTTPClient(
        host,
        int(port),
        connection_timeout=2.0,
        network_timeout=timeout_s,
    )
    headers = {"Authorization": f"Bearer {key}"} if key else {}
    try:
        data = json.dumps(body) if body is not None else ""
        response = client.request(method, path, data, headers)
        content = response.read()
        return response.status_code, json.loads(content or b"{}")
    except (ValueError, geventhttpclient.response.HTTPParseError) as error:
        raise OSError(str(error)) from None
    finally:
        client.close()


class System:
    """A platform, targets and entry processes.

    Args:
        folder: Where settings, logs and histories are kept.
        entries: Number of entry processes.
        targets: Number of targets.
        targets_per_process: Stand-in targets in one process.
        accelerators: Accelerators of each target.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        entries: int = 7,
        targets: int = 24,
        targets_per_process: int = 1,
        times: dict | None = None,
    ):
        self.folder = folder
        self.times = {"drain_delay_s": 1.0, **(times or {})}
        self.children: dict[str, Child] = {}
        self.vms: dict[str, dict] = {}
        self.callers: dict[str, str] = {}
        self.operators: dict[str, str] = {}
        self.platform = self._start_platform()
        for first in range(0, targets, targets_per_process):
            count = min(targets_per_process, targets - first)
            self.start_target(first, count)
        for index in range(entries):
            name = f"e{index + 1}"
            self._add_vm(name, "entry", "127.0.0.1:1", index)
            self.start_entry(name)
        self.publish()

    def _start_platform(self) -> str:
        child = Child(
            "platform",
            "quetzalswitch.standins.platform",
            ["--vm-lag-s", "1.0"],
            self.folder,
        )
        self.children["platform"] = child
        return child.lines[0]

    def start_target(self, first: int, count: int = 1) -> None:
        """Starts a process with one or several stand-in targets."""
        name = f"t{first + 1}"
        arguments = [
            *("--target-id", name),
            *("--failure-domain", domain_of(first)),
            *("--rack", f"rack-{first // 8 + 1}"),
            *("--store", self.platform),
            *("--history", str(self.folder / f"{name}.jsonl")),
            *("--count", str(count)),
        ]
        child = Child(
            name, "quetzalswitch.standins.target", arguments, self.folder, count
        )
        self.children[name] = child
        for index, address in enumerate(child.lines):
            vm = name if count == 1 else f"{name}-{index}"
            self._add_vm(vm, "target", address, first)

    def start_entry(self, name: str) -> None:
        """Starts an entry process; an earlier one of the name has ended."""
        path = self.folder / f"{name}.json"
        path.write_text(
            json.dumps(
                {
                    "process": {
                        "entry_id": name,
                        "failure_domain": domain_of(int(name[1:]) - 1),
                        "region": "local",
                        "callers_address": "127.0.0.1:0",
                        "operators_address": "127.0.0.1:0",
                        "peers_address": "127.0.0.1:0",
                        "platform_address": self.platform,
                        "operator_key": OPERATOR_KEY,
                        "times": self.times,
                    }
                }
            )
        )
        child = Child(name, "quetzalswitch.daemon", [str(path)], self.folder)
        words = child.lines[0].split()
        self.children[name] = child
        self.callers[name] = words[1]
        self.operators[name] = words[3]

    def _add_vm(self, vm: str, role: str, address: str, index: int) -> None:
        self.vms[vm] = {
            "vm": vm,
            "role": role,
            "address": address,
            "failure_domain": domain_of(index),
            "rack": f"rack-{index // 8 + 1}",
            "state": "live",
        }

    def publish(self) -> None:
        """Gives the platform its list of VMs."""
        body = {"vms": list(self.vms.values())}
        call(self.platform, "PUT", "/faults/vms", body)

    def change(self, change: dict, entry: str = "e1") -> int:
        """Makes a configuration change; returns the new version.

        Raises:
            OSError: No answer, or the change was refused.
        """
        address = self.operators[entry]
        _, present = call(
            address, "GET", "/v1/operators/configuration", key=OPERATOR_KEY
        )
        body = {"expected_version": present["version"], "change": change}
        status, answer = call(
            address, "POST", "/v1/operators/changes", body, OPERATOR_KEY
        )
        if status != 200:
            raise OSError(f"change refused: {answer}")
        return answer["version"]

    def state(self, entry: str) -> dict:
        """Returns the state that an entry shows to operators."""
        address = self.operators[entry]
        return call(address, "GET", "/v1/operators/state", key=OPERATOR_KEY)[1]

    def wait_ready(self, targets: int, timeout_s: float = 60.0) -> None:
        """Waits until every target is controlled by some entry.

        Raises:
            TimeoutError: It takes too long.
        """
        with gevent.Timeout(timeout_s, TimeoutError("system is not ready")):
            while True:
                states = [self.state(name) for name in self.callers]
                controlled = sum(len(state["targets"]) for state in states)
                fresh = all(state["fresh"] for state in states)
                if controlled >= targets and fresh:
                    return
                gevent.sleep(0.2)

    def entry_names(self) -> list[str]:
        """Returns the names of all entry processes."""
        return sorted(self.callers)

    def stop(self) -> None:
        """Ends every process that this system started."""
        for child in self.children.values():
            child.end()


def domain_of(index: int) -> str:
    """Returns the failure domain of the part with an index."""
    return f"domain-{'abc'[index % 3]}"
