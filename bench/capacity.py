"""Cost of entry processes against the size of the system.

Starts systems of real processes, measures every entry process from outside
(processor time, resident memory) and by its byte counters, and fits each cost
by least squares to its drivers. Run with

    PYTHONPATH=src:. python -m bench.capacity --seconds 10

Bytes are those at the sockets (HTTP) or of message bodies (peers), without the
headers of TCP and IP. All figures are means of the entry processes of a run.
"""

import json
import pathlib
import statistics
import tempfile
import time
import typing

import cyclopts
import gevent
import gevent.pool
import geventhttpclient
import numpy
from bench import processes

from quetzalswitch import configuration

TEAMS = 22
LIMIT_TASKS = 1000
TARGETS_PER_PROCESS = 50
SETTLE_S = 6.0
READY_TIMEOUT_S = 60.0

app = cyclopts.App(help="Cost of entry processes against size.")

# Names of the columns and the labels of the metric.
PARTIES = {"target": "targets", "peer": "peers", "platform": "platform"}


class Size(typing.NamedTuple):
    """Size of one system."""

    entries: int
    targets: int
    tasks: int


IDLE = (
    *(Size(entries, 24, 0) for entries in (3, 7, 20)),
    *(Size(entries, 1000, 0) for entries in (3, 7, 20)),
    Size(7, 250, 0),
)
BUSY = (Size(7, 250, 500), Size(7, 250, 1500), Size(7, 1000, 5400))
DRIVERS = ("base", "peer", "target listed", "target held", "task held")
COSTS = {
    "cpu": "% of a core",
    "resident": "MB",
    "target_sent": "B/s",
    "target_received": "B/s",
    "peer_sent": "B/s",
    "peer_received": "B/s",
    "platform_sent": "B/s",
    "platform_received": "B/s",
    "store_reads": "1/s",
    "store_writes": "1/s",
}


def scrape(address: str) -> dict[str, float]:
    """Returns the metrics of an entry process by name with labels."""
    host, _, port = address.rpartition(":")
    client = geventhttpclient.HTTPClient(host, int(port), network_timeout=20.0)
    try:
        text = client.get("/metrics").read().decode()
    finally:
        client.close()
    lines = [line for line in text.splitlines() if not line.startswith("#")]
    pairs = [line.rsplit(" ", 1) for line in lines if line]
    return {name: float(value) for name, value in pairs}


def configure(
    system: processes.System, numbers: typing.Iterable[int] = range(TEAMS)
) -> None:
    """Creates teams, by default those of the design size, with queues."""
    changes = []
    for number in numbers:
        team = f"team-{number:02d}"
        digest = configuration.digest_key(f"secret-{team}")
        changes += [
            {
                "type": "put_team",
                "name": team,
                "share": 1.0,
                "max_running": LIMIT_TASKS,
            },
            {
                "type": "grant_key",
                "key_id": f"key-{team}",
                "team": team,
                "digest": digest,
            },
            {"type": "put_queue", "name": f"{team}-work", "team": team},
        ]
    system.change({"type": "change_set", "changes": changes})


def submit(system: processes.System, number: int, run_ms: int | None) -> str:
    """Submits one small task; returns the kind of the error, if any."""
    names = system.entry_names()
    team = f"team-{number % TEAMS:02d}"
    body = {
        "queue": f"{team}-work",
        "payload": json.dumps({"run_ms": run_ms}),
        "wait": False,
        "kind": {"type": "batch" if number % 5 else "service"},
        "cores": 0.5,
        "memory_mb": 512,
    }
    for turn in range(20):
        address = system.callers[names[(number + turn) % len(names)]]
        try:
            status, answer = processes.call(
                address, "POST", "/v1/requests", body, f"secret-{team}", 20.0
            )
        except OSError as error:
            return str(error)
        if status in (200, 202):
            return ""
        gevent.sleep(0.2)
    return answer["error"]["kind"]


def fill(system: processes.System, tasks: int) -> int:
    """Submits long tasks; returns how many run."""
    pool = gevent.pool.Pool(20)
    errors = pool.map(lambda n: submit(system, n, None), range(tasks))
    for error in sorted(set(errors) - {""}):
        print(f"  {errors.count(error)} submissions refused: {error}")
    running = 0
    for _ in range(60):
        running = count_running(system)
        if running >= tasks - len([e for e in errors if e]):
            break
        gevent.sleep(0.5)
    return running


def count_running(system: processes.System) -> int:
    """Returns the tasks that run according to the entries."""
    states = [system.state(name) for name in system.entry_names()]
    return sum(team["running"] for state in states for team in state["teams"])


def read(system: processes.System) -> dict[str, list[float]]:
    """Returns the totals of each entry process by cost."""
    totals: dict[str, list[float]] = {name: [] for name in COSTS}
    _, store = processes.call(system.platform, "GET", "/faults/counters")
    names = system.entry_names()
    for name in names:
        metrics = scrape(system.callers[name])
        for party, label in PARTIES.items():
            for way in ("sent", "received"):
                key = f'quetzal_control_{way}_bytes_total{{party="{label}"}}'
                totals[f"{party}_{way}"].append(metrics.get(key, 0.0))
        cpu_s, resident_mb = system.children[name].usage()
        totals["cpu"].append(cpu_s * 100)
        totals["resident"].append(resident_mb)
        totals["store_reads"].append(store.get("reads", 0) / len(names))
        totals["store_writes"].append(store.get("writes", 0) / len(names))
    return totals


def measure(size: Size, seconds: float) -> dict[str, float]:
    """Runs one system; returns the mean cost of an entry process."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="capacity-"))
    system = processes.System(
        folder,
        size.entries,
        size.targets,
        min(TARGETS_PER_PROCESS, max(size.targets // 6, 1)),
    )
    try:
        # No entry is fresh before the first configuration is accepted.
        gevent.sleep(2.0)
        configure(system)
        system.wait_ready(size.targets, READY_TIMEOUT_S)
        gevent.sleep(SETTLE_S)
        running = fill(system, size.tasks) if size.tasks else 0
        gevent.sleep(SETTLE_S / 2)
        before, started_s = read(system), time.monotonic()
        gevent.sleep(seconds)
        after, passed_s = read(system), time.monotonic() - started_s
    finally:
        system.stop()
    costs = {}
    for name in COSTS:
        now = statistics.fmean(after[name])
        change = now - statistics.fmean(before[name])
        costs[name] = now if name == "resident" else change / passed_s
    return {"running": running, **costs}


class Fit(typing.NamedTuple):
    """Coefficients in the order of `DRIVERS`, their errors, the residual."""

    values: list[float]
    errors: list[float]
    residual: float


def fit(rows: list[tuple[Size, dict[str, float]]]) -> dict[str, Fit]:
    """Fits each cost to what one entry process has to do with.

    Standard errors and the residual allow for the number of coefficients.
    Without more sizes than coefficients there is no fit.
    """
    drivers = numpy.array(
        [
            (
                1.0,
                size.entries - 1.0,
                size.targets,
                size.targets / size.entries,
                costs["running"] / size.entries,
            )
            for size, costs in rows
        ]
    )
    spare = len(rows) - len(DRIVERS)
    if spare < 1 or numpy.linalg.matrix_rank(drivers) < len(DRIVERS):
        return {}
    spread = numpy.sqrt(numpy.diag(numpy.linalg.inv(drivers.T @ drivers)))
    fits = {}
    for name in COSTS:
        values = numpy.array([costs[name] for _, costs in rows])
        solution = numpy.linalg.lstsq(drivers, values, rcond=None)[0]
        residuals = values - drivers @ solution
        residual = float(numpy.sqrt(residuals @ residuals / spare))
        fits[name] = Fit(
            solution.tolist(), (spread * residual).tolist(), residual
        )
    return fits


def show(rows: list[tuple[Size, dict[str, float]]]) -> None:
    """Prints the costs of each size and the fits."""
    print("\n| cost | " + " | ".join(_title(*row) for row in rows) + " |")
    print("|---|" + "---:|" * len(rows))
    for name, unit in COSTS.items():
        cells = " | ".join(f"{costs[name]:.4g}" for _, costs in rows)
        print(f"| {name}, {unit} | {cells} |")
    print("\n| cost | " + " | ".join(DRIVERS) + " | residual |")
    print("|---|" + "---:|" * (len(DRIVERS) + 1))
    for name, found in fit(rows).items():
        pairs = zip(found.values, found.errors, strict=True)
        cells = " | ".join(f"{v:.3g} ± {e:.2g}" for v, e in pairs)
        print(f"| {name}, {COSTS[name]} | {cells} | {found.residual:.3g} |")


def _title(size: Size, costs: dict[str, float]) -> str:
    return f"{size.entries}e {size.targets}t {costs['running']:.0f}r"


@app.default
def main(*, seconds: float = 10.0, sizes: str = "") -> None:
    """Prints the cost of each size and the slopes.

    Args:
        seconds: Time measured for each size.
        sizes: Sizes as entries:targets:tasks, separated by commas.
    """
    chosen = [Size(*map(int, s.split(":"))) for s in sizes.split(",") if s]
    rows = []
    for size in chosen or (*IDLE, *BUSY):
        try:
            rows.append((size, measure(size, seconds)))
        except (OSError, TimeoutError) as error:
            print(f"{size}: {error}", flush=True)
            continue
        print(rows[-1], flush=True)
    show(rows)


if __name__ == "__main__":
    app()
