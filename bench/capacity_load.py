"""Cost of requests: processor time, store writes and memory of entries.

Run with `PYTHONPATH=src:. python -m bench.capacity_load`. Three tables, each
with a least-squares slope: open requests at several rates, queued requests at
several counts, and the time for a configuration change to reach all entries.
"""

import contextlib
import pathlib
import statistics
import tempfile
import time

import cyclopts
import gevent
import gevent.pool
import numpy
from bench import capacity
from bench import processes

ENTRIES = 7
TARGETS = 24
RATES_PER_S = (0, 20, 60, 130)
QUEUED = (0, 1000, 3000, 6000)
OPEN = (0, 500, 1500, 3000)
TEAM_COUNTS = (22, 100, 300, 600)
CHANGES = 20

app = cyclopts.App(help="Cost of requests.")


def start() -> processes.System:
    """Returns a system with teams, ready for requests."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="capacity-load-"))
    system = processes.System(folder, ENTRIES, TARGETS, 4)
    gevent.sleep(2.0)
    capacity.configure(system)
    system.wait_ready(TARGETS)
    gevent.sleep(capacity.SETTLE_S)
    return system


def offer(
    system: processes.System, rate_per_s: float, seconds: float, durable: bool
) -> list[float]:
    """Submits short requests at a rate; returns the times to answers."""
    times_s = []
    names = system.entry_names()

    def ask(number: int) -> None:
        team = f"team-{number % capacity.TEAMS:02d}"
        body = {
            "queue": f"{team}-work",
            "payload": '{"run_ms": 20, "output": "done"}',
            "wait": True,
            "kind": {"type": "latency"},
            "cores": 0.5,
            "memory_mb": 256,
        }
        if durable:
            body["request_id"] = f"{time.monotonic_ns()}-{number}"
        address = system.callers[names[number % len(names)]]
        started_s = time.monotonic()
        status, _ = processes.call(
            address, "POST", "/v1/requests", body, f"secret-{team}", 20.0
        )
        if status == 200:
            times_s.append(time.monotonic() - started_s)

    pool = gevent.pool.Pool(200)
    end_s = time.monotonic() + seconds
    number = 0
    next_s = time.monotonic()
    while rate_per_s and time.monotonic() < end_s:
        pool.spawn(ask, number)
        number += 1
        next_s += 1 / rate_per_s
        gevent.sleep(max(0.0, next_s - time.monotonic()))
    gevent.sleep(max(0.0, end_s - time.monotonic()))
    pool.join(timeout=20)
    return times_s


def slope(xs: list[float], ys: list[float]) -> str:
    """Returns base, slope and residual of a line in words."""
    drivers = numpy.column_stack((numpy.ones(len(xs)), xs))
    solution = numpy.linalg.lstsq(drivers, numpy.array(ys), rcond=None)[0]
    residual = numpy.sqrt(numpy.mean((ys - drivers @ solution) ** 2))
    return f"{solution[0]:.4g} + {solution[1]:.4g} x, residual {residual:.2g}"


def measure_rates(system: processes.System, seconds: float) -> None:
    """Prints the cost of requests at several rates."""
    for durable in (False, True):
        rows = []
        print(f"\ndurable {durable}: for each entry")
        print("rate 1/s  answered  p50 ms  p99 ms  CPU %  writes/s  peer B/s")
        for rate in RATES_PER_S:
            before, begun_s = capacity.read(system), time.monotonic()
            times = offer(system, rate, seconds, durable)
            after, passed_s = capacity.read(system), time.monotonic() - begun_s
            change = {
                name: (
                    statistics.fmean(after[name])
                    - statistics.fmean(before[name])
                )
                / passed_s
                for name in after
            }
            real = len(times) / passed_s
            rows.append((real / ENTRIES, change))
            p50, p99 = numpy.percentile(times or [0.0], [50, 99]) * 1000
            print(
                f"{rate:8}  {len(times):8}  {p50:6.1f}  {p99:6.1f}"
                f"  {change['cpu']:5.2f}  {change['store_writes']:8.2f}"
                f"  {change['peer_sent']:8.0f}",
                flush=True,
            )
        for name in ("cpu", "store_writes", "peer_sent", "target_sent"):
            ys = [change[name] for _, change in rows]
            line = slope([rate for rate, _ in rows], ys)
            print(f"{name} for x requests a second at one entry: {line}")


def measure_queue(system: processes.System) -> None:
    """Prints the memory of queued durable requests."""
    system.change(
        {"type": "put_team", "name": "team-00", "share": 1.0, "max_running": 1}
    )
    system.change(
        {"type": "put_queue", "name": "team-00-work", "team": "team-00"}
    )
    gevent.sleep(3.0)
    pool = gevent.pool.Pool(20)
    xs, ys = [], []
    sent = 0
    print("\nqueued at each entry  resident MB")
    for goal in QUEUED:
        numbers = range(sent * capacity.TEAMS, goal * capacity.TEAMS)
        steps = numbers[:: capacity.TEAMS]
        errors = pool.map(lambda n: capacity.submit(system, n, None), steps)
        refused = sum(1 for error in errors if error)
        sent = goal
        gevent.sleep(3.0)
        xs.append((goal - refused) / ENTRIES)
        ys.append(statistics.fmean(capacity.read(system)["resident"]))
        print(f"{xs[-1]:20.0f}  {ys[-1]:11.2f}  refused {refused}", flush=True)
    print(f"MB for x queued requests at one entry: {slope(xs, ys)}")


def hold_one(system: processes.System, number: int) -> None:
    """Keeps a synchronous request open until the system stops."""
    names = system.entry_names()
    body = {
        "queue": "team-00-work",
        "payload": '{"run_ms": null}',
        "wait": True,
        "kind": {"type": "batch"},
    }
    address = system.callers[names[number % len(names)]]
    with contextlib.suppress(OSError):
        processes.call(
            address, "POST", "/v1/requests", body, "secret-team-00", 300.0
        )


def measure_open(system: processes.System) -> None:
    """Prints the memory of callers that wait on their connection."""
    xs, ys = [], []
    print("\nopen at each entry  resident MB")
    held = 0
    for goal in OPEN:
        for number in range(held, goal):
            gevent.spawn(hold_one, system, number)
            gevent.sleep(0.002)
        held = goal
        gevent.sleep(4.0)
        states = [system.state(name) for name in system.entry_names()]
        xs.append(statistics.fmean(s["open_requests"] for s in states))
        ys.append(statistics.fmean(capacity.read(system)["resident"]))
        print(f"{xs[-1]:18.0f}  {ys[-1]:11.2f}", flush=True)
    print(f"MB for x open requests at one entry: {slope(xs, ys)}")


def measure_teams(system: processes.System) -> None:
    """Prints the memory of teams, each with a key and a queue."""
    xs, ys = [], []
    print("\nteams  resident MB")
    for goal in TEAM_COUNTS:
        for first in range(int(sum(xs[-1:])) or capacity.TEAMS, goal, 30):
            numbers = range(first, min(first + 30, goal))
            capacity.configure(system, numbers)
        gevent.sleep(4.0)
        xs.append(goal)
        ys.append(statistics.fmean(capacity.read(system)["resident"]))
        print(f"{goal:5}  {ys[-1]:11.2f}", flush=True)
    print(f"MB for x teams: {slope(xs, ys)}")


def measure_changes(system: processes.System) -> None:
    """Prints how long changes take to be in force at all entries."""
    times_s = []
    for number in range(CHANGES):
        change = {
            "type": "put_team",
            "name": "team-01",
            "share": 1.0 + number,
            "max_running": 1000,
        }
        started_s = time.monotonic()
        version = system.change(change)
        while any(
            system.state(name)["version"] < version
            for name in system.entry_names()
        ):
            gevent.sleep(0.01)
        times_s.append(time.monotonic() - started_s)
    p50, p99 = numpy.percentile(times_s, [50, 99])
    print(
        f"\n{CHANGES} changes, submitted until seen at {ENTRIES} entries:"
        f" p50 {p50:.3f} s, p99 {p99:.3f} s"
    )


@app.default
def main(
    *,
    seconds: float = 8.0,
    parts: str = "changes,rates,teams,queue,open",
) -> None:
    """Prints the cost of requests.

    Args:
        seconds: Time measured for each rate.
        parts: What to measure, in this order, separated by commas.
    """
    measures = {
        "changes": measure_changes,
        "rates": lambda system: measure_rates(system, seconds),
        "teams": measure_teams,
        "queue": measure_queue,
        "open": measure_open,
    }
    system = start()
    try:
        for part in parts.split(","):
            measures[part](system)
    finally:
        system.stop()


if __name__ == "__main__":
    app()
