"""Measures the committer against one transaction a row, and its sharing.

Run: PYTHONPATH=src .venv/bin/python bench/committer.py
The stand-in runs in the same process, so rates are lower bounds; compare the
ratios and counts within one run.
"""

import typing

import cyclopts
import gevent
from hdrh import histogram

from quetzalswitch import clock as clocks
from quetzalswitch.standins import faults
from quetzalswitch.standins import platform
from quetzalswitch.storage import committer
from quetzalswitch.storage import rate_limiter
from quetzalswitch.storage import table

COMMITTERS = (1, 3, 7, 20)
VALUE = {"state": "queued", "payload": "x" * 200}
WAIT_S = 60.0
MAX_WAIT_US = 60_000_000

app = cyclopts.App()


class Outcome(typing.NamedTuple):
    """What one run did.

    Attributes:
        rows: Rows committed.
        transactions: Transactions sent.
        limited: Requests that the stand-in refused for its rate limit.
        elapsed_s: Time from the first submission to the last confirmation.
        waits: Waiting times of single rows in microseconds; None if not
            measured.
    """

    rows: int
    transactions: int
    limited: int
    elapsed_s: float
    waits: histogram.HdrHistogram | None = None


class Bench:
    """A stand-in with a fixed latency, and clients of it."""

    def __init__(self, delay_ms: float, writes_per_s: float | None = None):
        self.clock = clocks.SystemClock()
        self._standin = platform.StandinPlatform(self.clock)
        self.address = self._standin.start()
        self._standin.set_faults(
            faults.Faults(delay_ms=delay_ms, writes_per_s=writes_per_s)
        )

    def make_client(self) -> table.TableClient:
        """Returns a client with connections of its own."""
        return table.TableClient(self.address, self.clock)

    def make_committer(self, number: int) -> committer.Committer:
        """Returns a started committer with a client of its own."""
        made = committer.Committer(
            self.clock, self.make_client(), f"e{number}", f"i{number}", "a:1"
        )
        made.start()
        return made

    @property
    def counters(self) -> dict[str, int]:
        """Counts of events at the stand-in."""
        return self._standin.counters

    def stop(self) -> None:
        """Ends the stand-in."""
        self._standin.stop()


def run_single(delay_ms: float, rows: int, per_s: float | None) -> Outcome:
    """Commits rows one transaction each, at most `per_s` a second."""
    bench = Bench(delay_ms)
    client = bench.make_client()
    started_s = bench.clock.now()
    for number in range(rows):
        if per_s is not None:
            due_s = started_s + number / per_s
            bench.clock.sleep(max(0.0, due_s - bench.clock.now()))
        client.transact({}, {f"row/{number}": VALUE})
    elapsed_s = bench.clock.now() - started_s
    bench.stop()
    return Outcome(rows, rows, 0, elapsed_s)


def run_group(delay_ms: float, rows: int) -> Outcome:
    """Commits rows that are all submitted at once through one committer."""
    bench = Bench(delay_ms)
    made = bench.make_committer(0)
    made.submit({}, {"first": VALUE}).wait(WAIT_S)
    before = made.counts.transactions
    started_s = bench.clock.now()
    pendings = [made.submit({}, {f"row/{n}": VALUE}) for n in range(rows)]
    for pending in pendings:
        pending.wait(WAIT_S)
    elapsed_s = bench.clock.now() - started_s
    transactions = made.counts.transactions - before
    made.stop()
    bench.stop()
    return Outcome(rows, transactions, 0, elapsed_s)


def run_shared(
    delay_ms: float,
    committers: int,
    rows_per_s: float,
    seconds: float,
    writes_per_s: float | None,
) -> Outcome:
    """Offers a constant total rate of rows to several committers."""
    bench = Bench(delay_ms, writes_per_s)
    team = [bench.make_committer(number) for number in range(committers)]
    gevent.joinall(
        [
            gevent.spawn(made.submit({}, {f"first/{n}": VALUE}).wait, WAIT_S)
            for n, made in enumerate(team)
        ],
        raise_error=True,
    )
    before = sum(made.counts.transactions for made in team)
    limited_before = bench.counters["limited"]
    waits = histogram.HdrHistogram(1, MAX_WAIT_US, 3)

    def commit(number: int) -> None:
        submitted_s = bench.clock.now()
        made = team[number % committers]
        made.submit({}, {f"row/{number}": VALUE}).wait(WAIT_S)
        waits.record_value(int((bench.clock.now() - submitted_s) * 1e6))

    started_s = bench.clock.now()
    rows = int(rows_per_s * seconds)
    waiters = []
    for number in range(rows):
        due_s = started_s + number / rows_per_s
        remaining_s = due_s - bench.clock.now()
        if remaining_s > 0:
            bench.clock.sleep(remaining_s)
        waiters.append(gevent.spawn(commit, number))
    gevent.joinall(waiters, raise_error=True)
    elapsed_s = bench.clock.now() - started_s
    transactions = sum(made.counts.transactions for made in team) - before
    limited = bench.counters["limited"] - limited_before
    for made in team:
        made.stop()
    bench.stop()
    return Outcome(rows, transactions, limited, elapsed_s, waits)


def report(name: str, outcome: Outcome) -> None:
    """Prints one run on one line."""
    waits = ""
    if outcome.waits is not None:
        p50_ms = outcome.waits.get_value_at_percentile(50) / 1000
        p99_ms = outcome.waits.get_value_at_percentile(99) / 1000
        waits = f", wait p50 {p50_ms:.0f} ms p99 {p99_ms:.0f} ms"
    print(
        f"{name}: {outcome.rows} rows, "
        f"{outcome.rows / outcome.elapsed_s:.0f} rows/s, "
        f"{outcome.transactions} transactions "
        f"({outcome.transactions / outcome.elapsed_s:.0f}/s, "
        f"{outcome.rows / outcome.transactions:.1f} rows each), "
        f"{outcome.limited} over the limit{waits}"
    )


@app.default
def main(
    *,
    rows: int = 5000,
    delay_ms: float = 3.0,
    rows_per_s: float = 600.0,
    seconds: float = 4.0,
    store_writes_per_s: float = 300.0,
) -> None:
    """Prints rates and counts of transactions.

    Args:
        rows: Rows in the comparison of group commit with single rows.
        delay_ms: Latency of the stand-in before each effect.
        rows_per_s: Rows offered a second to all committers together.
        seconds: How long rows are offered.
        store_writes_per_s: Limit of the stand-in in the last series.
    """
    rate = rate_limiter.MAX_TRANSACTIONS_PER_S
    paced = run_single(delay_ms, min(rows, 4 * rate), rate)
    report(f"one row a transaction, {rate}/s", paced)
    single = run_single(delay_ms, min(rows, 2000), None)
    report("one row a transaction, unpaced", single)
    group = run_group(delay_ms, rows)
    report(f"group commit, {rate}/s", group)
    ratio = (group.rows / group.elapsed_s) / (single.rows / single.elapsed_s)
    print(f"group commit / unpaced single rows: {ratio:.2f} in rows/s")
    for limit in (None, store_writes_per_s):
        shown = "no limit" if limit is None else f"limit {limit:.0f} writes/s"
        for committers in COMMITTERS:
            outcome = run_shared(
                delay_ms, committers, rows_per_s, seconds, limit
            )
            report(f"{committers} committers, {shown}", outcome)


if __name__ == "__main__":
    app()
