"""Checks that entry processes of two builds work together and on the same rows.

Plays entries of another checkout and of this one against the stand-in platform
of the tests: first one build goes on with the rows that the other one stored,
in both directions; then both serve side by side in one group while the leader
is killed or stopped, until each build has taken over from the other one. Run:

    PYTHONPATH=src:tests .venv/bin/python bench/mixed_builds.py ../base
"""

import os
import pathlib
import signal
import sys
import tempfile
import time

import cyclopts
import gevent

import wire_platform

SOURCES = pathlib.Path(__file__).parent.parent / "src"
TASKS_COUNT = 3
MAX_ROUNDS = 12
TARGET_DELAY_S = 4.0
# Events that no run without faults of the program writes.
FAULT_EVENTS = ("unexpected_error", "load_failed", "link_broken")

app = cyclopts.App(help="Entry processes of two builds in one group.")


class MixedCluster(wire_platform.Cluster):
    """Entries that each run from the sources of one of two builds."""

    def __init__(self, folder, builds, work_s):
        self.builds = builds
        super().__init__(folder, len(builds), targets=4, work_s=work_s)

    def start(self, number):
        """Starts an entry process from the sources of its build."""
        before = os.environ.get("PYTHONPATH", "")
        os.environ["PYTHONPATH"] = str(self.builds[number])
        super().start(number)
        os.environ["PYTHONPATH"] = before

    def submit_to_all(self, name):
        """Submits a job at each entry; returns their IDs."""
        jobs = [f"{name:08x}{n:08x}" for n in range(len(self.builds))]
        for number, job_id in enumerate(jobs):
            status = self.submit(number, job_id, count=TASKS_COUNT)
            _check(status == 200, f"{job_id}: status {status}")
        return jobs

    def check_jobs(self, jobs, number):
        """Waits until an entry shows each job completed; it ran once."""
        for job_id in jobs:
            state = self.wait_state(number, job_id, "completed")
            _check(state == "completed", f"{job_id} is {state}")
            starts = len(self.list_starts(job_id))
            _check(starts == TASKS_COUNT, f"{job_id}: {starts} starts")

    def delay_target(self, seconds):
        """Delays the answers of one target to renewals of its leases.

        A new leader then asks the previous one what runs there.
        """
        target = self.targets[0]
        answer = target.hold
        until_s = time.monotonic() + seconds

        def _answer_late(call):
            gevent.sleep(max(0.0, until_s - time.monotonic()))
            return answer(call)

        target.hold = _answer_late

    def check_logs(self):
        """Checks that no entry logged a fault of the program."""
        for path in self.folder.glob("*.log"):
            text = path.read_text()
            for event in (*FAULT_EVENTS, "Traceback"):
                _check(event not in text, f"{path} has {event}")

    def count_events(self, event):
        """Returns the number of log lines of an event in all logs."""
        return sum(
            path.read_text().count(f'"event":"{event}"')
            for path in self.folder.glob("*.log")
        )


def _check(holds, text):
    if not holds:
        sys.exit(f"failed: {text}")


def _continue_from(first, second):
    """Stores work with one build and goes on with the other one."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="builds-"))
    cluster = MixedCluster(folder, [first] * 3, work_s=0.4)
    try:
        cluster.wait_ready()
        ended = cluster.submit_to_all(1)
        cluster.check_jobs(ended, 0)
        for target in cluster.targets:
            target.work_s = 3.0
        running = cluster.submit_to_all(2)
        for job_id in running:
            cluster.wait_state(0, job_id, "running")
        _check(
            cluster.call(0, "DELETE", f"/q/{running[0]}")[0] == 200,
            "cancellation was refused",
        )
        for number in range(3):
            cluster.signal(number, signal.SIGKILL)
            cluster.processes[number].wait()
        cluster.builds = [second] * 3
        for number in range(3):
            cluster.start(number)
        cluster.wait_ready()
        state = cluster.wait_state(0, running[0], "cancelled")
        _check(state == "cancelled", f"{running[0]} is {state}")
        cluster.check_jobs([*ended, *running[1:]], 1)
        cluster.check_logs()
    finally:
        cluster.stop()
    return f"{len(ended) + len(running)} jobs kept"


def _serve_together(old, new):
    """Serves with both builds while leaders of each are replaced."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="builds-"))
    cluster = MixedCluster(folder, [old, new, old, new], work_s=1.5)
    names = {old: "old", new: "new"}
    seen = set()
    rounds = 0
    try:
        cluster.wait_ready()
        wanted = {
            (first, second, how)
            for first, second in (("old", "new"), ("new", "old"))
            for how in ("SIGKILL", "SIGTERM")
        }
        while wanted - seen and rounds < MAX_ROUNDS:
            how = (signal.SIGKILL, signal.SIGTERM)[rounds // 2 % 2]
            rounds += 1
            leader = cluster.find_leader()
            jobs = cluster.submit_to_all(100 + rounds)
            other = (leader + 1) % 4
            for job_id in jobs:
                cluster.wait_state(other, job_id, "running")
            if how is signal.SIGTERM:
                cluster.delay_target(TARGET_DELAY_S)
            cluster.signal(leader, how)
            cluster.check_jobs(jobs, other)
            cluster.processes[leader].wait()
            successor = cluster.find_leader()
            _check(successor != leader, "no entry took over")
            first = names[cluster.builds[leader]]
            second = names[cluster.builds[successor]]
            seen.add((first, second, how.name))
            print(f"  {how.name}: {first} e{leader} -> {second} e{successor}")
            cluster.start(leader)
            cluster.wait_ready()
            # The restarted entry is ready before the others have dialled it.
            gevent.sleep(2.5)
        cluster.check_logs()
        handed = cluster.count_events("taken_over")
        _check(handed, "no leader asked the previous one")
    finally:
        cluster.stop()
    missing = sorted(wanted - seen)
    return f"{rounds} takeovers, {handed} with a hand-over; not seen: {missing}"


@app.default
def main(old: pathlib.Path):
    """Plays both checks.

    Args:
        old: Checkout of the other build.
    """
    old = old.resolve() / "src"
    _check((old / "quetzalswitch").is_dir(), f"no sources in {old}")
    print("rows of the other build:", _continue_from(old, SOURCES))
    print(
        "rows of this build, read by the other:", _continue_from(SOURCES, old)
    )
    print("side by side:", _serve_together(old, SOURCES))


if __name__ == "__main__":
    app()
