"""Two leaders are killed in a row while a worker is cut off from the store."""

import pathlib
import random
import sys
import time

import gevent

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins

TASK_MS = 8000
STEPS = [{"count": 6, "cpu": 10000, "mem_mb": 500, "estimate_ms": TASK_MS}]
WORKERS = 6
ENTRIES = 5
# An entry in the store is removed after three check-in intervals of silence.
LAPSE_S = 3 * standins.HEARTBEAT_S
CUT_S = 5.0


def main(cluster):
    record = cluster.record
    random.seed(6)
    for number in range(WORKERS):
        cluster.add_worker(standins.ZONES[number % 3])
    tenant = {"name": "t1", "api_keys": ["k1"], "weight": 100}
    route = standins.make_route(stretch=4.0, target_latency_ms=3000)
    cluster.configure(1, [route], [tenant])
    for number in range(ENTRIES):
        cluster.start_entry(number)
    if not cluster.wait_ready():
        return 2
    running = {}
    twice = []

    def begin(worker, task, run, call):
        for other, number, _ in running.get(task, []):
            if other.up:
                twice.append(
                    (task, other.id, number, worker.id, run, record.now())
                )
        running.setdefault(task, []).append((worker, run, record.now()))

    def end(worker, task, run, how):
        running[task] = [r for r in running[task] if r[:2] != (worker, run)]

    cluster.on_begin, cluster.on_end = begin, end
    gevent.sleep(2)

    # The store hears nothing of one worker, which the entries still reach.
    worker = cluster.workers[0]
    while time.monotonic() - worker.registered_s < 1.2:
        gevent.sleep(0.01)
    worker.cut_off = True
    cut_s = record.now()
    record.say(f"worker {worker.id} is cut off from the store")
    gevent.sleep(2.0)
    accepted = {}
    for number in range(3):
        job_id = f"{number:016x}"
        accepted[job_id] = cluster.submit_until_accepted(
            job_id, STEPS, str(TASK_MS)
        )
    gevent.sleep(worker.registered_s + LAPSE_S - time.monotonic())
    cluster.store.remove("servers", worker.id)
    record.say(f"its row is removed; it runs {len(worker.running)} tasks")
    if not worker.running:
        return 2
    if standins.is_troubled():
        first = cluster.find_leader()
        cluster.kill_entry(first)
        # The next one as it has written to the store under a condition.
        version = cluster.store.rows("progress", "p")["~chain"][1]
        until_s = record.now() + 5
        while cluster.store.rows("progress", "p")["~chain"][1] == version:
            if record.now() > until_s:
                return 2
            gevent.sleep(0.002)
        cluster.kill_entry(cluster.find_leader())
    gevent.sleep(max(0.0, cut_s + CUT_S - record.now()))
    worker.cut_off = False
    worker.register()
    record.say("the worker reaches the store again")
    gevent.sleep(14)
    for task, id_1, run_1, id_2, run_2, at_s in twice[:20]:
        record.say(
            f"{task}: run {run_1} on {id_1} goes on, and run {run_2} begins on {id_2} at {at_s:.2f}"
        )
    states = {j: cluster.read_state(j) for j in accepted}
    record.say(
        f"{len(twice)} tasks ran twice at once; states {sorted(set(states.values()))}"
    )
    return 1 if twice else 0


standins.run(main, pathlib.Path(__file__).resolve().parent)
