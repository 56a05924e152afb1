"""Work for two workers that answered 503 for some seconds is never started."""

import pathlib
import sys
import time

import gevent

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import support3  # noqa: E402

KEY = "key-of-crews"
PATH = "/audit/"
# As `srv_grey` in the site file: at most 0.1 of the workers, for 6.5 s.
GREY_S = 6.0
TARGETS, GREY_TARGETS = 24, 2
SERVICE_ID = "a000000000000001"
TASK = {"cpu": 2000, "mem_mb": 1000, "estimate_ms": 500, "requires": "b"}


def play(open_deployment, record, trouble):
    """Plays the case; returns whether the rule held."""
    site = open_deployment()
    for number in range(TARGETS):
        kind = "b" if number < GREY_TARGETS else "a"
        site.add_target([kind, f"r1-{number // 8}"])
    queue = {"name": "audit", "prefix": PATH, "max_attempts": 3}
    tenant = {"name": "crews", "api_keys": [KEY], "weight": 10}
    site.configure([queue], [tenant])
    site.start_entries()
    if not site.wait_ready(PATH, KEY):
        return support3.NOT_RUN
    service = {**TASK, "count": 2, "long_running": True, "anti_affinity": 1}
    body = {"spec": "", "steps": [service]}
    status = site.submit(PATH, SERVICE_ID, KEY, body)
    record.note(f"submitted {SERVICE_ID}, a step that lasts: {status}")
    if not _wait_for(lambda: len(site.starts) == 2, 10):
        return support3.NOT_RUN
    grey = site.targets[:GREY_TARGETS]
    if trouble:
        for target in grey:
            target.grey = "busy"
        record.note("two of 24 workers answer starts with 503")
    sent = []
    until_s = time.monotonic() + GREY_S
    while time.monotonic() < until_s or len(sent) < 16:
        sent.append(_submit(site, record, len(sent)))
        gevent.sleep(0.5)
    for target in grey:
        target.grey = ""
    record.note(f"they are sound again; refused {[t.rejected for t in grey]}")
    for _ in range(8):
        sent.append(_submit(site, record, len(sent)))
        gevent.sleep(0.5)
    record.note("the traffic has ended")
    # After finish_s: 3 s with nothing running, though there is room.
    gevent.sleep(support3.FINISH_S)
    began_s = time.monotonic()
    idle = set(sent)
    while time.monotonic() < began_s + 20 and idle:
        active = {
            run.task.partition(".")[0]
            for target in site.targets
            for run in target.runs.values()
        }
        idle -= active
        idle -= {i for i in idle if site.count_done(i) == 2}
        gevent.sleep(0.02)
    for job_id in sent:
        state = site.read_state(PATH, job_id, KEY)
        record.note(f"{job_id}: {state}, {site.count_done(job_id)} of 2 done")
    for target in grey:
        cpu, mem_mb = target.used()
        record.note(
            f"{target.name} uses {cpu} of {target.capacity['cpu']} and "
            f"{mem_mb} MB of {target.capacity['mem_mb']} MB"
        )
    record.note(f"nothing of {len(idle)} accepted submissions ran for 20 s")
    return support3.BROKEN if idle else support3.HELD


def _submit(site, record, number):
    job_id = f"b{number:015x}"
    body = {"spec": "work_s=0.4", "steps": [{**TASK, "count": 2}]}
    status = site.submit(PATH, job_id, KEY, body)
    record.note(f"submitted {job_id}: {status}")
    return job_id


def _wait_for(condition, limit_s):
    until_s = time.monotonic() + limit_s
    while not condition() and time.monotonic() < until_s:
        gevent.sleep(0.05)
    return condition()


support3.run_case(__file__, play)
