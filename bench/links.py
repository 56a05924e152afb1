"""Measures the cost of idle links to targets on the side of the entry.

The targets are objects in one other process, which this bench starts and ends
by its id; the links run in a new process for each count. The figures are those
of the link process only. Run:

    PYTHONPATH=src .venv/bin/python bench/links.py
"""

import os
import subprocess
import sys
import time
import typing

import gevent
import gevent.socket
import msgspec
import psutil

COUNTS = (0, 24, 100, 250)
WARM_UP_S = 4.0
MEASURE_S = 10.0


class Cost(msgspec.Struct):
    """Measured cost of one link process."""

    links: int
    held: int
    tasks: int
    rss_mb: float
    cpu_share: float
    syncs_per_s: float
    bytes_per_s: float


class _CountingSocket(gevent.socket.socket):
    """Counts payload bytes, without TCP and IP headers."""

    transferred = 0

    def sendall(self, data: typing.Any, flags: int = 0) -> None:
        _CountingSocket.transferred += len(data)
        super().sendall(data, flags)

    def recv(self, *arguments: typing.Any) -> bytes:
        data = super().recv(*arguments)
        _CountingSocket.transferred += len(data)
        return data

    def recv_into(self, *arguments: typing.Any) -> int:
        length = super().recv_into(*arguments)
        _CountingSocket.transferred += length
        return length


class Vm(typing.NamedTuple):
    """The attributes of a VM that a link reads."""

    vm: str
    address: str


def run_links(addresses: list[str], tasks: int) -> Cost:
    """Keeps the links open for a while and measures this process."""
    from quetzalswitch import clock as clocks
    from quetzalswitch.targets import events
    from quetzalswitch.targets import link as links

    gevent.socket.socket = _CountingSocket
    held = set()
    reports = [0]
    running_by_target = {}

    def handle_event(event: events.Event) -> None:
        match event:
            case events.TargetClaimed():
                held.add(event.target.target_id)
                if tasks:
                    link = by_address[event.target.address]
                    link.post(make_starts(event.target.address, tasks))
            case events.TargetLost():
                held.discard(event.target_id)
            case events.TargetReported():
                reports[0] += 1
                running_by_target[event.target_id] = len(event.running)

    clock = clocks.SystemClock()
    by_address = {}
    for address in addresses:
        link = links.TargetLink(
            clock, Vm(address, address), "bench", "bench-1", "", handle_event
        )
        link.start()
        link.post(events.Claim())
        by_address[address] = link
    gevent.sleep(WARM_UP_S)
    process = psutil.Process()
    before = (sum(process.cpu_times()[:2]), time.monotonic(), reports[0])
    bytes_before = _CountingSocket.transferred
    gevent.sleep(MEASURE_S)
    elapsed_s = time.monotonic() - before[1]
    cost = Cost(
        len(addresses),
        len(held),
        sum(running_by_target.values()),
        process.memory_info().rss / 1e6,
        (sum(process.cpu_times()[:2]) - before[0]) / elapsed_s,
        (reports[0] - before[2]) / elapsed_s,
        (_CountingSocket.transferred - bytes_before) / elapsed_s,
    )
    for link in by_address.values():
        link.stop()
    return cost


def make_starts(address: str, tasks: int) -> typing.Any:
    """Returns a command that fills a target with services."""
    from quetzalswitch import records
    from quetzalswitch.targets import events

    size = records.Resources()
    ids = [records.make_id("attempt") for _ in range(tasks)]
    attempts = tuple(
        records.Attempt(i, f"team/{i}", "team", address, size, "b-1", "b-1")
        for i in ids
    )
    requests = tuple(
        records.Request(
            i, "team", "q", records.Batch(), size, '{"run_ms": null}'
        )
        for i in ids
    )
    return events.StartAttempts(attempts, requests)


def measure(count: int, tasks: int) -> Cost:
    """Runs the targets and the links in separate processes."""
    targets = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "quetzalswitch.standins.target",
            "--count",
            str(max(count, 1)),
        ],
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        addresses = [targets.stdout.readline().strip() for _ in range(count)]
        answer = subprocess.run(
            [sys.executable, __file__, "links", str(tasks), *addresses],
            stdout=subprocess.PIPE,
            check=True,
            timeout=120,
        )
        return msgspec.json.decode(answer.stdout, type=Cost)
    finally:
        targets.terminate()
        targets.wait()


def main() -> None:
    if sys.argv[1:2] == ["links"]:
        cost = run_links(sys.argv[3:], int(sys.argv[2]))
        os.write(1, msgspec.json.encode(cost))
        return
    for tasks in (0, 8):
        costs = [measure(count, tasks) for count in COUNTS]
        print(f"{tasks} tasks running on each target")
        print(
            f"{'links':>6}{'held':>6}{'tasks':>7}{'RSS MB':>8}{'CPU %':>7}"
            f"{'syncs/s':>9}{'KB/s':>8}"
        )
        for cost in costs:
            print(
                f"{cost.links:>6}{cost.held:>6}{cost.tasks:>7}{cost.rss_mb:>8.1f}"
                f"{cost.cpu_share * 100:>7.1f}{cost.syncs_per_s:>9.1f}"
                f"{cost.bytes_per_s / 1000:>8.1f}"
            )
        first, last = costs[0], costs[-1]
        count = last.links - first.links
        print(
            "for each link: "
            f"{(last.rss_mb - first.rss_mb) / count * 1000:.1f} KB RSS, "
            f"{(last.cpu_share - first.cpu_share) / count * 100:.3f}% CPU, "
            f"{(last.bytes_per_s - first.bytes_per_s) / count:.0f} B/s\n"
        )


if __name__ == "__main__":
    main()
