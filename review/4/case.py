"""A zone loses power while the store is down."""

import pathlib
import random
import sys

import gevent

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins

STEPS = [{"count": 2, "cpu": 5100, "mem_mb": 9400, "estimate_ms": 640}]
SPEC = "640"
WORKERS = 12
ENTRIES = 6
RATE_PER_S = 8.0
# As the largest of the site file; a zone is back within 1.5 s.
OUTAGE_S = 4.5
LOSS_AFTER_S = 2.6
BACK_AFTER_S = 1.5
CONTACT_S = 3.0
UNLISTED_AFTER_S = 4.5
TRAFFIC_S = 24


def main(cluster):
    record = cluster.record
    random.seed(4)
    for number in range(WORKERS):
        cluster.add_worker(standins.ZONES[number % 3])
    tenant = {"name": "t1", "api_keys": ["k1"], "weight": 100}
    cluster.configure(1, [standins.make_route()], [tenant])
    for number in range(ENTRIES):
        cluster.start_entry(number)
    if not cluster.wait_ready():
        return 2
    shown = {}
    starts = {}
    done = {}
    accepted = {}

    def begin(worker, task, run, call):
        starts.setdefault(task, []).append((record.now(), run))

    def end(worker, task, run, how):
        if how == "done":
            done.setdefault(task, []).append((record.now(), run))

    cluster.on_begin, cluster.on_end = begin, end

    def use(job_id):
        """Submits, and asks for the state until it is final."""
        if not cluster.submit_until_accepted(job_id, STEPS, SPEC):
            return
        accepted[job_id] = record.now()
        while record.now() < until_s + 5:
            gevent.sleep(0.25)
            live = [n for n, p in cluster.entries.items() if p.poll() is None]
            number = random.choice(live)
            answer = cluster.call(number, "GET", f"/q/{job_id}")[1]
            if answer.get("state") == "completed":
                shown[job_id] = record.now()
                return

    until_s = record.now() + TRAFFIC_S

    def send():
        number = 0
        while record.now() < until_s:
            gevent.spawn(use, f"{number:016x}")
            number += 1
            gevent.sleep(1 / RATE_PER_S)

    traffic = gevent.spawn(send)
    gevent.sleep(5)
    calm_s = 0.0
    if standins.is_troubled():
        calm_s = lose_zone(cluster, record)
    traffic.join()
    gevent.sleep(6)

    broken = []
    for task, found in starts.items():
        shown_s = shown.get(task[:16])
        for at_s, run in found:
            if shown_s is not None and at_s > shown_s + 1.0 and at_s > calm_s:
                broken.append((task, shown_s, at_s, run))
    for task, shown_s, at_s, run in broken[:20]:
        record.say(
            f"{task}: done at {[round(d, 2) for d, _ in done[task]]}, shown as "
            f"completed at {shown_s:.2f}, started again at {at_s:.2f} as run {run}"
        )
    record.say(
        f"{len(accepted)} accepted, {len(shown)} shown as completed, "
        f"{len(broken)} tasks started again afterwards by an entry in touch"
    )
    return 1 if broken else 0


def lose_zone(cluster, record):
    """Plays the outage and the loss; returns when all are in touch again."""
    began_s = record.now()
    cluster.store.busy = True
    record.say("the store answers 503")
    gevent.sleep(LOSS_AFTER_S)
    leader = cluster.find_leader()
    zone = standins.ZONES[leader % 3]
    lost_entries = [n for n in cluster.entries if standins.ZONES[n % 3] == zone]
    lost_workers = [w for w in cluster.workers if w.zone == zone]
    record.say(f"zone {zone} loses power")
    for number in lost_entries:
        cluster.kill_entry(number)
    for worker in lost_workers:
        worker.crash()

    def unlist():
        gevent.sleep(UNLISTED_AFTER_S)
        for worker in lost_workers:
            cluster.store.remove("servers", worker.id)

    gevent.spawn(unlist)
    gevent.sleep(BACK_AFTER_S)
    for number in lost_entries:
        cluster.start_entry(number)
    new = [cluster.add_worker(zone, registered=False) for _ in lost_workers]
    gevent.sleep(max(0.0, began_s + OUTAGE_S - record.now()))
    cluster.store.busy = False
    record.say("the store answers again")
    for worker in new:
        worker.register()
    return record.now() + CONTACT_S


standins.run(main, pathlib.Path(__file__).resolve().parent)
