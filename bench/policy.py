"""Measures the policy against simple baselines; prints one table a user.

Run: PYTHONPATH=src:. .venv/bin/python bench/policy.py
"""

import gc
import time
import typing

import cyclopts
import hdrh.histogram
from bench import baselines
from bench import measures

from quetzalswitch import clock as clocks
from quetzalswitch import driver
from quetzalswitch import policy as policies
from quetzalswitch import scheduler
from quetzalswitch import traces
from quetzalswitch import workloads

_FULL_AFTER_S = 60.0
# Simulated placements a second; sets how often reviews fall due.
_TARGET_RATE = 5000.0


def run(trace, make, seconds, drain_s=0.0, sizes=False):
    """Returns the driver after a run, with offline packing bounds."""
    test = driver.Driver(trace, make)
    test.bounds = []
    at_s = _FULL_AFTER_S
    while sizes and at_s < seconds:
        test.run(at_s)
        test.bounds.append(_bound(test))
        at_s += 20.0
    test.run(seconds + drain_s)
    return test


def _bound(test):
    sizes = []
    for job in test.jobs.values():
        if job.state in ("queued", "running"):
            sizes += [job.request.size] * job.request.task_count
    targets = [t.target for t in test.targets.values()]
    last = test.samples[-1]
    bound = measures.pack_offline(targets, sizes)
    return measures.compare_packing(last[1:4], bound) if last[4] else None


def make_policy_scheduler(overlay):
    """Returns a factory of schedulers with a site's settings."""
    policy = policies.make_policy(overlay)
    return lambda clock: scheduler.Scheduler(clock, policy, "bench")


def compare(user, seed, seconds, load):
    """Prints the table of one user."""
    trace = workloads.generate(user, seed, seconds, load)
    other = next(u for u in workloads.USERS.values() if u is not user)
    rows = {
        "quetzalswitch": make_policy_scheduler(user.policy),
        f"with {other.name}'s settings": make_policy_scheduler(other.policy),
        "FIFO first fit": baselines.Baseline,
        "random target": baselines.RandomTarget,
        "strict priority": baselines.StrictPriority,
    }
    weights = {team.name: team.share for team in trace.header.teams}
    print(
        f"\n{user.name}: {len(trace.events)} requests in {seconds:.0f} s,"
        f" load {load}, seed {seed}"
    )
    print(
        f"{'scheduler':28}{'kind':9}{'p50 s':>9}{'p95 s':>9}{'p99 s':>9}"
        f"{'used %':>8}{'of FFD %':>9}{'share err':>10}{'task s':>9}"
        f"{'preempt':>8}{'broken':>7}"
    )
    for name, make in rows.items():
        test = run(trace, make, seconds, sizes=True)
        _print_rows(name, test, weights, seconds)


def _print_rows(name, test, weights, seconds):
    used = measures.used_part(test.samples, _FULL_AFTER_S, seconds)
    bounds = [bound for bound in test.bounds if bound is not None]
    bound = sum(bounds) / len(bounds) if bounds else float("nan")
    error = measures.share_error(
        test.team_samples, weights, _FULL_AFTER_S + 30.0, seconds
    )
    preempts = sum(type(d).__name__ == "Preempt" for _, d in test.decided)
    for number, type_ in enumerate(("latency", "batch", "gang")):
        histogram = measures.waits(test.jobs.values(), type_)
        if not histogram.get_total_count():
            continue
        waits = [
            histogram.get_value_at_percentile(q) / 1000 for q in (50, 95, 99)
        ]
        line = f"{name if not number else '':28}{type_:9}"
        line += "".join(f"{wait:9.2f}" for wait in waits)
        if not number:
            line += f"{100 * used:8.1f}{100 * bound:9.1f}{error:10.2f}"
            line += f"{work_done(test, 0, seconds):9.0f}{preempts:8d}"
            line += f"{len(test.violations):7d}"
        print(line, flush=True)


def work_done(test, first_s, last_s, type_="batch"):
    """Returns the seconds of run time of jobs that ended in a period."""
    return sum(
        job.event.actual_s * job.event.tasks
        for job in test.jobs.values()
        if job.state == "done"
        and job.event.type == type_
        and first_s <= job.ended_s < last_s
    )


def measure_domain(user, seed, seconds, load):
    """Prints the work done while a failure domain leaves and returns."""
    trace = workloads.generate(user, seed, seconds, load)
    out_s, back_s = seconds / 3, 2 * seconds / 3
    events = [
        *trace.events,
        traces.DomainOut(out_s, user.domains[0]),
        traces.DomainBack(back_s, user.domains[0]),
    ]
    make = make_policy_scheduler(user.policy)
    whole = run(trace, make, seconds)
    test = run(traces.Trace(trace.header, events), make, seconds)
    during = _ratio(test, whole, out_s + 5, back_s)
    refill = [
        next(s for s in test.samples if s[0] >= back_s + after_s)
        for after_s in (5, 10)
    ]
    busy = [max(sample[1:4]) for sample in refill]
    before = next(s for s in test.samples if s[0] >= out_s - 1)
    back = [100 * part / max(before[1:4]) for part in busy]
    after = _ratio(test, whole, back_s + 10, seconds)
    print(
        f"{user.name}: domain out: {100 * during:.1f}% of the undisturbed work"
        f" (2 of 3 domains: 66.7%), use 5 s and 10 s after return"
        f" {back[0]:.1f}% and {back[1]:.1f}% of before, work from 10 s after"
        f" return {100 * after:.1f}%; broken invariants {len(test.violations)}"
    )


def _ratio(test, whole, first_s, last_s):
    return work_done(test, first_s, last_s) / work_done(whole, first_s, last_s)


def measure_speed(racks_per_domain, placements):
    """Prints placements a second and the time of one decision.

    All targets are kept full: each end of a task is followed by one decision.
    """
    user = workloads.ERGASTIRI
    load = 1.3
    clock = clocks.ManualClock(0.0)
    trace = workloads.generate(
        user, 5, 400.0 if racks_per_domain == 1 else 20.0, load,
        racks_per_domain,
    )  # fmt: skip
    test = scheduler.Scheduler(clock, policies.make_policy(user.policy), "x")
    test.configure(traces.make_configuration(trace.header))
    for team in range(22):
        test.set_allowance(f"team-{team}", 100_000)
    targets = traces.make_targets(trace.header.targets)
    for target in targets:
        test.add_target(target, [])
    histogram = hdrh.histogram.HdrHistogram(1, 10_000_000, 3)
    running: list[str] = []
    events = [e for e in trace.events if e.type != "gang"]
    # The waiting line of a busy entry before the measurement begins.
    number = 0

    def make():
        nonlocal number
        event = events[number % len(events)]
        request = traces.make_request(event, clock.now())._replace(
            request_id=f"s{number}", team=f"team-{number % 22}"
        )
        number += 1
        return request._replace(deadline_s=None)

    def decide():
        begin_s = time.perf_counter()
        chosen = test.decide(64)
        spent_s = time.perf_counter() - begin_s
        for decision in chosen:
            match type(decision).__name__:
                case "Start":
                    running.extend(a.attempt_id for a in decision.attempts)
                case "Preempt":
                    running.remove(decision.attempt_id)
                    test.attempt_ended(decision.attempt_id, "preempted")
        return spent_s, len(chosen)

    for _ in range(len(targets) * 8 + 2000):
        test.submit(make())
    while decide()[1]:
        pass
    gc.collect()
    gc.freeze()
    done = 0
    cpu_s = []
    while done < placements:
        clock.advance(1.0 / _TARGET_RATE)
        index = (done * 7919) % len(running)
        running[index], running[-1] = running[-1], running[index]
        attempt_id = running.pop()
        request = make()
        begin_s = time.thread_time()
        test.attempt_started(attempt_id)
        test.attempt_ended(attempt_id, "finished")
        test.submit(request)
        middle_s = time.thread_time()
        decide_s, count = decide()
        cpu_s.append((middle_s - begin_s, time.thread_time() - middle_s))
        histogram.record_value(max(1, int(decide_s * 1e6)))
        done += max(count, 1)
    spent_s = sum(map(sum, cpu_s))
    p50, p99 = (histogram.get_value_at_percentile(q) for q in (50, 99))
    print(
        f"{len(targets)} targets, {len(running)} running, {test.queued()}"
        f" queued, 22 teams: {done / spent_s:.0f} placements a second of"
        f" processor time with submission and end;"
        f" decision p50 {p50 / 1000:.3f} ms,"
        f" p99 {p99 / 1000:.3f} ms,"
        f" max {histogram.get_max_value() / 1000:.3f} ms",
        flush=True,
    )


app = cyclopts.App(name="bench-policy")


@app.default
def main(
    *,
    seconds: float = 240.0,
    load: float = 1.15,
    seed: int = 11,
    placements: int = 20_000,
    only: typing.Literal["all", "compare", "domain", "speed"] = "all",
) -> None:
    """Prints all measures."""
    for user in workloads.USERS.values():
        if only in ("all", "compare"):
            compare(user, seed, seconds, load)
        if only in ("all", "domain"):
            measure_domain(user, seed, seconds, load)
    if only in ("all", "speed"):
        measure_speed(1, placements)
        measure_speed(42, placements)


if __name__ == "__main__":
    app()
