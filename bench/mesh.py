"""Measures the cost of heartbeats for each entry of 3, 7 and 20 entries.

Run with `PYTHONPATH=src:. python -m bench.mesh`. The parent starts one process
for each entry; each exchanges heartbeats on loopback for a while and prints
its own figures. A node may spend at most 14 KB/s on control. Bytes are those
of MessagePack bodies, without TCP and IP headers.
"""

import json
import resource
import subprocess
import sys
import time
import typing

import cyclopts
import gevent
import psutil

from quetzalswitch import clock as clocks
from quetzalswitch import membership
from quetzalswitch.peers import mesh
from quetzalswitch.peers import protocol

SIZES = (3, 7, 20)
TEAMS = 22
FIRST_PORT = 21_400
BUDGET_BYTES_PER_S = 14_000
SETTLE_S = 4.0

app = cyclopts.App(help="Cost of heartbeats between entries.")


class Variant(typing.NamedTuple):
    """Interval and contents of heartbeats.

    Attributes:
        interval_s: Time between heartbeats.
        teams_every: Number of heartbeats from one with summaries to the next.
        members_every: The same for the member list.
    """

    interval_s: float
    teams_every: int
    members_every: int


VARIANTS = {
    "full": Variant(0.5, 1, 1),
    "changed": Variant(0.5, 20, 20),
    "slower": Variant(0.8, 20, 20),
}


class _Entry:
    """One entry that sends heartbeats to all others."""

    def __init__(self, index: int, size: int, variant: Variant):
        clock = clocks.SystemClock()
        self._name = f"entry-{index:02d}"
        self._variant = variant
        address = _address(index)
        self._members = membership.Membership(
            clock, self._name, f"{self._name}-0123456789abcdef", address
        )
        self.mesh = mesh.Mesh(
            clock,
            self._name,
            self._members.info.incarnation,
            address,
            self._members.observe,
        )
        self._peers = [n for n in range(size) if n != index]
        self._round = index

    def start(self) -> None:
        self.mesh.start()
        for peer in self._peers:
            self.mesh.set_peer(f"entry-{peer:02d}", _address(peer))

    def alive(self) -> int:
        return len(self._members.alive())

    def run(self, seconds: float) -> None:
        end_s = time.monotonic() + seconds
        while time.monotonic() < end_s:
            self._send_heartbeats()
            gevent.sleep(self._variant.interval_s)

    def _send_heartbeats(self) -> None:
        sequence = self._members.next_sequence()
        self._round += 1
        with_teams = self._round % self._variant.teams_every == 0
        with_members = self._round % self._variant.members_every == 0
        teams = [
            protocol.TeamSummary(f"team-{n:02d}", 12, 40, 30)
            for n in range(TEAMS)
        ]
        members = self._members.known() if with_members else []
        for peer in self._peers:
            name = f"entry-{peer:02d}"
            heartbeat = protocol.Heartbeat(
                sequence,
                self._members.last_received(name),
                self.mesh.address,
                4711,
                0.35,
                False,
                members,
                17,
                900,
                teams if with_teams else None,
                [],
                None,
                False,
            )
            self.mesh.send(name, heartbeat)


def _address(index: int) -> str:
    return f"127.0.0.1:{FIRST_PORT + index}"


@app.command
def node(index: int, size: int, seconds: float, variant: str) -> None:
    """Runs one entry and prints its figures as JSON."""
    entry = _Entry(index, size, VARIANTS[variant])
    entry.start()
    entry.run(SETTLE_S)
    before, cpu_s = dict(entry.mesh.counts), _cpu_s()
    started_s = time.monotonic()
    entry.run(seconds)
    passed_s = time.monotonic() - started_s
    after = entry.mesh.counts
    figures = {"cpu_s": (_cpu_s() - cpu_s) / passed_s, "alive": entry.alive()}
    for direction in ("sent", "received", "dropped"):
        old = before.get(("Heartbeat", direction), mesh.Count())
        new = after.get(("Heartbeat", direction), mesh.Count())
        messages = (new.messages - old.messages) / passed_s
        figures[f"{direction}_messages"] = messages
        size_bytes = new.size_bytes - old.size_bytes
        figures[f"{direction}_bytes"] = size_bytes / passed_s
    figures["rss_mb"] = psutil.Process().memory_info().rss / 1e6
    print(json.dumps(figures), flush=True)
    # Keeps the load on the other entries the same while they still measure.
    entry.run(2.0)


@app.default
def main(seconds: float = 16.0) -> None:
    """Prints a table for each variant.

    Args:
        seconds: Time measured; a cycle of 20 heartbeats takes up to 16 s.
    """
    for name in VARIANTS:
        rows = {size: _measure(size, seconds, name) for size in SIZES}
        _print_table(name, rows)


def _measure(size: int, seconds: float, variant: str) -> dict[str, float]:
    command = [sys.executable, "-m", "bench.mesh", "node"]
    children = [
        subprocess.Popen(
            [*command, str(n), str(size), str(seconds), variant],
            stdout=subprocess.PIPE,
            text=True,
        )
        for n in range(size)
    ]
    try:
        limit_s = seconds + 60
        outputs = [child.communicate(timeout=limit_s)[0] for child in children]
    finally:
        for child in children:
            if child.poll() is None:
                child.kill()
    figures = [json.loads(output) for output in outputs]
    return {
        key: sum(figure[key] for figure in figures) / size for key in figures[0]
    }


def _print_table(name: str, rows: dict[int, dict[str, float]]) -> None:
    print(f"\n{name}: {VARIANTS[name]}, mean of all entries, per second")
    print(
        "entries  alive  messages out+in  bytes out  bytes in  dropped"
        "  CPU s/s  resident MB  over 14 KB/s"
    )
    for size, row in rows.items():
        both = row["sent_bytes"] + row["received_bytes"]
        messages = row["sent_messages"] + row["received_messages"]
        print(
            f"{size:7d}  {row['alive']:5.1f}  {messages:15.1f}"
            f"  {row['sent_bytes']:9.0f}  {row['received_bytes']:8.0f}"
            f"  {row['dropped_messages']:7.1f}  {row['cpu_s']:7.4f}"
            f"  {row['rss_mb']:11.1f}  {both > BUDGET_BYTES_PER_S}"
        )
    small, large = rows[SIZES[0]], rows[SIZES[-1]]
    steps = SIZES[-1] - SIZES[0]
    for key in ("sent_bytes", "received_bytes", "cpu_s", "rss_mb"):
        slope = (large[key] - small[key]) / steps
        print(f"slope of {key} for each further entry: {slope:.5g}")


def _cpu_s() -> float:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


if __name__ == "__main__":
    app()
