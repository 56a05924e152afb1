"""Replays a recorded trace and checks the outcomes stated beside it."""

import pathlib
import sys
import typing

import cyclopts
import hdrh.histogram
import msgspec

from quetzalswitch import clock as clocks
from quetzalswitch import decisions
from quetzalswitch import driver
from quetzalswitch import exceptions
from quetzalswitch import policy as policies
from quetzalswitch import scheduler
from quetzalswitch import traces
from quetzalswitch import workloads

_MILLISECONDS = 1000


class Outcome(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What is expected of a replay, stated before it is run.

    Attributes:
        measure: wait_s (of requests started or given up), state (requests in
            `state` at the end), use (of the fullest resource while work
            waits), preemptions, starts_in_domain, or violations.
        at_least: Lower bound.
        at_most: Upper bound.
        type: Kind of request that counts; None for all.
        queue: Queue that counts; None for all.
        team: Team that counts; None for all.
        quantile: Quantile of waits, between 0 and 1.
        state: State that is counted.
        domain: Failure domain whose starts are counted.
        first_s: Beginning of the time that counts.
        last_s: End of the time that counts.
    """

    measure: typing.Literal[
        "wait_s", "state", "use", "preemptions", "starts_in_domain",
        "violations",
    ]  # fmt: skip
    at_least: float | None = None
    at_most: float | None = None
    type: str | None = None
    queue: str | None = None
    team: str | None = None
    quantile: float = 0.99
    state: str = "done"
    domain: str | None = None
    first_s: float = 0.0
    last_s: float = float("inf")


class Stated(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The file beside a trace.

    Attributes:
        until_s: Time at which the replay ends.
        outcomes: What is expected.
    """

    until_s: float
    outcomes: list[Outcome]


class Finding(typing.NamedTuple):
    """A measured outcome.

    Attributes:
        outcome: What was stated.
        value: What was measured.
        at_s: Time of the worst case; None if there is no single one.
        reason: What the worst case was.
    """

    outcome: Outcome
    value: float
    at_s: float | None
    reason: str

    @property
    def holds(self) -> bool:
        """Whether the value is within the stated bounds."""
        low, high = self.outcome.at_least, self.outcome.at_most
        return (low is None or self.value >= low) and (
            high is None or self.value <= high
        )


def replay(trace: traces.Trace, until_s: float) -> driver.Driver:
    """Returns the driver after a replay with the settings of the trace."""
    policy = policies.make_policy(trace.header.policy)

    def make(clock: clocks.Clock) -> scheduler.Scheduler:
        return scheduler.Scheduler(clock, policy, "replay")

    test = driver.Driver(trace, make)
    test.run(until_s)
    return test


def check(test: driver.Driver, stated: Stated) -> list[Finding]:
    """Returns what was measured for each stated outcome."""
    return [_measure(test, outcome) for outcome in stated.outcomes]


def read_stated(path: pathlib.Path) -> Stated:
    """Returns the outcomes stated in a file.

    Raises:
        SettingsError: The file can't be read.
    """
    try:
        return msgspec.json.decode(path.read_bytes(), type=Stated)
    except (OSError, msgspec.MsgspecError) as error:
        raise exceptions.SettingsError(f"{path}: {error}") from None


def stated_path(path: pathlib.Path) -> pathlib.Path:
    """Returns the path of the outcomes stated for a trace."""
    return path.with_suffix(".outcomes.json")


def _measure(test: driver.Driver, outcome: Outcome) -> Finding:
    match outcome.measure:
        case "wait_s":
            return _measure_waits(test, outcome)
        case "state":
            return _measure_state(test, outcome)
        case "use":
            return _measure_use(test, outcome)
        case "preemptions":
            chosen = [
                (at_s, decision)
                for at_s, decision in test.decided
                if isinstance(decision, decisions.Preempt)
                and outcome.first_s <= at_s <= outcome.last_s
            ]
            reason = chosen[-1][1].reason if chosen else "none"
            at_s = chosen[-1][0] if chosen else None
            return Finding(outcome, len(chosen), at_s, reason)
        case "starts_in_domain":
            return _measure_starts(test, outcome)
        case "violations":
            first = test.violations[0] if test.violations else None
            return Finding(
                outcome,
                len(test.violations),
                first.at_s if first else None,
                f"{first.rule}: {first.detail}" if first else "none",
            )


def _select(test: driver.Driver, outcome: Outcome) -> list[driver.Job]:
    return [
        job
        for job in test.jobs.values()
        if outcome.type in (None, job.event.type)
        and outcome.queue in (None, job.event.queue)
        and outcome.team in (None, job.event.team)
        and outcome.first_s <= job.submitted_s <= outcome.last_s
    ]


def _measure_waits(test: driver.Driver, outcome: Outcome) -> Finding:
    histogram = hdrh.histogram.HdrHistogram(1, 24 * 3600 * _MILLISECONDS, 3)
    worst: tuple[float, driver.Job | None] = (-1.0, None)
    for job in _select(test, outcome):
        if job.state == "cancelled" and job.started_s is None:
            continue
        end_s = job.started_s
        if end_s is None:
            end_s = test.clock.now() if job.ended_s is None else job.ended_s
        wait_s = end_s - job.submitted_s
        histogram.record_value(max(1, int(wait_s * _MILLISECONDS)))
        worst = max(worst, (wait_s, job), key=lambda item: item[0])
    value = histogram.get_value_at_percentile(100.0 * outcome.quantile)
    job = worst[1]
    if job is None:
        return Finding(outcome, 0.0, None, "no such request")
    reason = f"{job.request.key} waited {worst[0]:.2f} s, {job.state}"
    if job.started_s is None:
        reason += f": {job.error or test.scheduler.explain(job.request.key)}"
    return Finding(outcome, value / _MILLISECONDS, job.submitted_s, reason)


def _measure_state(test: driver.Driver, outcome: Outcome) -> Finding:
    jobs = _select(test, outcome)
    others = [job for job in jobs if job.state != outcome.state]
    reason = "no other"
    at_s = None
    if others:
        job = others[0]
        why = job.error or test.scheduler.explain(job.request.key)
        reason = f"{job.request.key} is {job.state}: {why}"
        at_s = job.submitted_s
    return Finding(outcome, len(jobs) - len(others), at_s, reason)


def _measure_use(test: driver.Driver, outcome: Outcome) -> Finding:
    parts = [
        (max(sample[1:4]), sample[0])
        for sample in test.samples
        if outcome.first_s <= sample[0] <= outcome.last_s and sample[4] > 0
    ]
    if not parts:
        return Finding(outcome, 0.0, None, "nothing waited")
    least = min(parts)
    mean = sum(part for part, _ in parts) / len(parts)
    return Finding(outcome, mean, least[1], f"lowest use {least[0]:.3f}")


def _measure_starts(test: driver.Driver, outcome: Outcome) -> Finding:
    found = [
        (at_s, start.request.key)
        for at_s, start in test.decided
        if isinstance(start, decisions.Start)
        and outcome.first_s <= at_s <= outcome.last_s
        for attempt in start.attempts
        if test.targets[attempt.target_id].target.failure_domain
        == outcome.domain
    ]
    first = found[0] if found else (None, "none")
    return Finding(outcome, len(found), first[0], f"first is {first[1]}")


def _describe(outcome: Outcome) -> str:
    plain = msgspec.to_builtins(outcome)
    defaults = msgspec.to_builtins(Outcome(outcome.measure))
    kept = [f"{k}={v}" for k, v in plain.items() if defaults[k] != v]
    return f"{outcome.measure} {' '.join(kept)}"


app = cyclopts.App(
    name="quetzal-replay",
    help="Replays a trace against the policy and checks stated outcomes.",
)


@app.default
def run(
    trace: pathlib.Path,
    *,
    generate: typing.Literal["moorwater", "ergastiri"] | None = None,
    seed: int = 1,
    seconds: float = 60.0,
    load: float = 1.1,
) -> int:
    """Replays a trace, or writes one.

    Args:
        trace: File of the trace; its outcomes are in `.outcomes.json` beside.
        generate: Write a trace of this user's work to the file instead.
        seed: Seed of the generator.
        seconds: Length of the generated trace.
        load: Arriving work over capacity of the generated trace.
    """
    try:
        if generate is not None:
            user = workloads.USERS[generate]
            made = workloads.generate(user, seed, seconds, load)
            traces.write(made, trace)
            print(f"wrote {len(made.events)} events to {trace}")
            return 0
        stated = read_stated(stated_path(trace))
        test = replay(traces.read(trace), stated.until_s)
    except (exceptions.SettingsError, OSError) as error:
        print(f"quetzal-replay: {error}", file=sys.stderr)
        return 2
    findings = check(test, stated)
    for finding in findings:
        mark = "holds" if finding.holds else "FAILED"
        print(f"{mark}: {_describe(finding.outcome)}: {finding.value:.3f}")
        if not finding.holds:
            at = "" if finding.at_s is None else f"at {finding.at_s:.2f} s, "
            print(f"  {at}{finding.reason}")
    return 0 if all(finding.holds for finding in findings) else 1


def main() -> None:
    """Runs the command; exits with 0, 1 (an outcome failed) or 2."""
    sys.exit(app(sys.argv[1:], result_action="return_value") or 0)


if __name__ == "__main__":
    main()
