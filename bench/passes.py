"""Measures a pass over 5,000 waiting tasks, with alike and uneven targets.

Run: PYTHONPATH=src:tests .venv/bin/python bench/passes.py
"""

import itertools
import statistics
import time
import typing

import cyclopts

import decider_stage

TASKS_COUNT: typing.Final = 5000
STEP_TASKS_COUNT: typing.Final = 20
SPEEDS: typing.Final = (0.6, 1.0, 1.6)


def make_cluster(targets, uneven):
    """Returns a cluster whose targets are full, with waiting tasks."""
    cluster = decider_stage.SimulatedCluster(targets, cpu=64000)
    if uneven:
        names = list(cluster.decider.targets)
        learned = dict(zip(names, itertools.cycle(SPEEDS), strict=False))
        decider_stage.set_speeds(cluster.decider, learned)
    filler = decider_stage.make_step(targets * 3, cpu=18000, estimate_ms=9000)
    cluster.add_job("f", [filler])
    cluster.start_tasks()
    for number in range(TASKS_COUNT // STEP_TASKS_COUNT):
        gang = number % 3 == 0
        step = decider_stage.make_step(
            STEP_TASKS_COUNT,
            cpu=18000,
            estimate_ms=2000 + 50 * number,
            gang=gang,
        )
        cluster.add_job(f"a{number:x}", [step])
    return cluster


def run_pass(cluster):
    """Runs a pass; returns its processor time in ms."""
    cluster.renew_all_leases()
    started_s = time.process_time()
    commands = cluster.schedule()
    took_s = time.process_time() - started_s
    for run in commands.starts:
        cluster.confirm_start(run)
    return 1000 * took_s


def measure(targets, passes):
    """Returns the median pass (ms) with alike and with uneven targets."""
    clusters = [make_cluster(targets, uneven) for uneven in (False, True)]
    # By turns, so that other load of the machine disturbs both alike.
    durations = [[run_pass(c) for c in clusters] for _ in range(passes)]
    return [
        statistics.median(column) for column in zip(*durations, strict=True)
    ]


def main(passes: int = 40) -> None:
    """Prints one row for each number of targets."""
    print("targets  alike ms  uneven ms  ratio")
    for targets in (20, 176, 350):
        alike, uneven = measure(targets, passes)
        ratio = uneven / alike
        print(f"{targets:7}  {alike:8.2f}  {uneven:9.2f}  {ratio:5.2f}")


if __name__ == "__main__":
    cyclopts.run(main)
