"""The whole system in one operating-system process."""

import contextlib
import secrets
import typing
from collections.abc import Callable

import gevent

from quetzalswitch import clock as clocks
from quetzalswitch import configuration as configurations
from quetzalswitch import entry as entries
from quetzalswitch import records
from quetzalswitch import schema
from quetzalswitch.standins import machine
from quetzalswitch.standins import platform as platforms
from quetzalswitch.standins import target as targets
from quetzalswitch.storage import vms

READY_TIMEOUT_S = 20.0
POLL_S = 0.05
VM_LAG_S = 0.2


class Shape(typing.NamedTuple):
    """How many of each part run, and how large the targets are."""

    entries: int = 3
    targets: int = 6
    domains: int = 3
    capacity: records.Resources = records.Resources(64.0, 131072, 0)
    slots: int = 8
    # Where the first entry serves callers; operators are served on the next
    # port. With 0 the kernel chooses every port.
    first_port: int = 0


class System:
    """Stand-in platform and targets with real entry processes.

    Args:
        shape: Sizes.
        times: Time constants of the entry processes.
        clock: Source of time.

    Attributes:
        operator_key: Key of the operators' interface.
        platform: The stand-in platform.
        targets: Stand-in targets by name.
        entries: Entry processes by entry ID.
    """

    def __init__(
        self,
        shape: Shape | None = None,
        times: schema.Times | None = None,
        clock: clocks.Clock | None = None,
    ):
        self.shape = shape or Shape()
        self.operator_key = secrets.token_hex(16)
        self.platform = platforms.StandinPlatform(
            clock or clocks.SystemClock(), vm_lag_s=VM_LAG_S
        )
        self.targets: dict[str, targets.StandinTarget] = {}
        self.entries: dict[str, entries.EntryProcess] = {}
        self._clock = clock or clocks.SystemClock()
        self._times = times or schema.Times(drain_delay_s=0.2)
        self._leaving: set[str] = set()

    def start(self) -> None:
        """Starts everything; returns before the system is ready."""
        self.platform.start()
        for index in range(self.shape.targets):
            self.start_target(f"t{index + 1}", index)
        for index in range(self.shape.entries):
            self.start_entry(f"e{index + 1}", index)
        self.publish_vms()

    def start_target(self, name: str, index: int) -> None:
        """Starts one stand-in target."""
        options = machine.Options(
            name,
            self.domain(index),
            f"rack-{index // 8 + 1}",
            self.shape.capacity,
            self.shape.slots,
        )
        standin = targets.StandinTarget(
            options, self._clock, store_address=self.platform.address
        )
        standin.start()
        self.targets[name] = standin

    def start_entry(self, name: str, index: int) -> entries.EntryProcess:
        """Starts one entry process; one of the same name is replaced."""
        port = 0 if index else self.shape.first_port
        settings = schema.Process(
            entry_id=name,
            failure_domain=self.domain(index),
            region="local",
            callers_address=f"127.0.0.1:{port}",
            operators_address=f"127.0.0.1:{port and port + 1}",
            peers_address="127.0.0.1:0",
            platform_address=self.platform.address,
            operator_key=self.operator_key,
            times=self._times,
        )
        process = entries.EntryProcess(settings, self._clock)
        self.entries[name] = process
        process.start()
        return process

    def domain(self, index: int) -> str:
        """Returns the failure domain of the entry or target with an index."""
        return f"domain-{'abcdef'[index % self.shape.domains]}"

    def publish_vms(self) -> None:
        """Gives the platform's list of VMs the parts that exist now."""
        listed = [
            vms.VmBody(
                name,
                "target",
                standin.address,
                standin.machine.options.failure_domain,
                standin.machine.options.rack,
                "leaving" if name in self._leaving else "live",
            )
            for name, standin in self.targets.items()
        ]
        listed += [
            vms.VmBody(
                name,
                "entry",
                process.mesh.address,
                process.settings.failure_domain,
                "rack-0",
                "live",
            )
            for name, process in self.entries.items()
        ]
        self.platform.app.set_vms(vms.VmsBody(listed))

    def set_leaving(self, name: str) -> None:
        """Announces that a target is leaving."""
        self._leaving.add(name)
        self.publish_vms()

    def change(self, change: configurations.Change) -> int:
        """Makes a configuration change at the first entry that accepts it."""
        process = next(iter(self.entries.values()))
        version = process.operation.configuration().version
        return process.operation.submit_change(version, change)

    def wait_controlled(self, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Waits until every target is controlled.

        Raises:
            TimeoutError: Some target is not controlled in time.
        """
        message = "the targets are not all controlled"
        self._wait(self._is_controlled, timeout_s, message)

    def wait_ready(self, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Waits until every target is controlled and every entry is fresh.

        No entry is fresh before the first configuration change.

        Raises:
            TimeoutError: The system is not ready in time.
        """
        self._wait(self.is_ready, timeout_s, "the system is not ready")

    def wait_version(
        self, version: int, timeout_s: float = READY_TIMEOUT_S
    ) -> None:
        """Waits until a configuration version is in force at every entry.

        Raises:
            TimeoutError: It is not in force in time.
        """

        def _is_in_force() -> bool:
            return all(
                process.operation.configuration().version >= version
                for process in self.entries.values()
            )

        message = f"version {version} is not in force everywhere"
        self._wait(_is_in_force, timeout_s, message)

    def is_ready(self) -> bool:
        """Tells whether every target is controlled and every entry fresh."""
        return self._is_controlled() and all(
            process.is_fresh() for process in self.entries.values()
        )

    def _is_controlled(self) -> bool:
        controlled = sum(
            process.control.claimed() for process in self.entries.values()
        )
        return controlled >= len(self.targets)

    def _wait(
        self, condition: Callable[[], bool], timeout_s: float, message: str
    ) -> None:
        error = TimeoutError(f"{message} after {timeout_s:g} s")
        with gevent.Timeout(timeout_s, error):
            while not condition():
                self._clock.sleep(POLL_S)

    def stop(self) -> None:
        """Ends everything at once."""
        for process in self.entries.values():
            with contextlib.suppress(Exception):
                process.stop()
        for standin in self.targets.values():
            standin.stop()
        self.platform.stop()
