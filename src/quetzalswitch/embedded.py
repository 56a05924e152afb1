"""The whole system in one operating-system process, for a newcomer."""

import contextlib
import secrets
import typing

import gevent

from quetzalswitch import clock as clocks
from quetzalswitch import configuration as configurations
from quetzalswitch import entry as entries
from quetzalswitch import records
from quetzalswitch import schema
from quetzalswitch.platform import vms
from quetzalswitch.standins import machine
from quetzalswitch.standins import platform as platforms
from quetzalswitch.standins import target as targets

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
        settings = schema.Process(
            entry_id=name,
            failure_domain=self.domain(index),
            region="local",
            callers_address="127.0.0.1:0",
            operators_address="127.0.0.1:0",
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

    def wait_ready(self, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Waits until every target is controlled and every entry is fresh.

        Raises:
            TimeoutError: The system is not ready in time.
        """
        with gevent.Timeout(timeout_s, TimeoutError("system is not ready")):
            while not self.is_ready():
                self._clock.sleep(POLL_S)

    def is_ready(self) -> bool:
        """Tells whether every target is controlled and every entry fresh."""
        controlled = sum(
            process.control.claimed() for process in self.entries.values()
        )
        return controlled >= len(self.targets) and all(
            process.is_fresh() for process in self.entries.values()
        )

    def stop(self) -> None:
        """Ends everything at once."""
        for process in self.entries.values():
            with contextlib.suppress(Exception):
                process.stop()
        for standin in self.targets.values():
            standin.stop()
        self.platform.stop()
