"""Progress that outgrows its row keeps the ends of all other work unread."""

import pathlib
import time

import gevent
import support2

SCHEDULE_ID = "000000000000beef"
# A small task each millisecond; its progress exceeds `row_bytes` (65,536) after
# some 6,600 occurrences.
OCCURRENCES_COUNT = 9200
USUAL_COUNT = 500
INTERVAL_MS = 1
LIMIT_S = 75.0
VICTIMS_COUNT = 10


def _play(system, record, trouble):
    for target in system.targets:
        target.logged = False
    count = OCCURRENCES_COUNT if trouble else USUAL_COUNT
    body = {
        "spec": "0.02",
        "repeats": count,
        "start_at_ms": int(time.time() * 1000),
        "interval_ms": INTERVAL_MS,
        "steps": [{"count": 1, "cpu": 400, "estimate_ms": 20}],
    }
    system.call(0, "POST", f"/q/{SCHEDULE_ID}", body, "k2")
    until_s = time.monotonic() + LIMIT_S
    while system.sum_starts() < count and time.monotonic() < until_s:
        gevent.sleep(1.0)
        _note_ends(system, record)
    accepted = {}
    for target in system.targets:
        target.logged = True
    for number in range(VICTIMS_COUNT):
        job_id = f"{number + 1:016x}"
        step = {"count": 1, "cpu": 1000, "estimate_ms": 200}
        steps = [step, {**step, "after": [0]}]
        if system.submit(job_id, {"spec": "0.2", "steps": steps}) == 200:
            accepted[job_id] = ("k1", 2)
        gevent.sleep(0.2)
    broken = support2.find_lost(system, record, accepted)
    _note_ends(system, record)
    unread = sum(len(target.ended) for target in system.targets)
    ends = sum(target.number for target in system.targets)
    if unread > ends / 5:
        broken.append(
            f"Acks: {unread} of {ends} ends that targets list were not taken "
            f"note of {support2.FINISH_S:g} s after the traffic"
        )
    phase = system.read_state(SCHEDULE_ID, "k2")
    record.note(f"the schedule is {phase}")
    return broken


def _note_ends(system, record):
    record.note(
        f"{system.sum_starts()} starts; ends that are listed and not "
        f"acknowledged: {[len(target.ended) for target in system.targets]}"
    )


support2.run(pathlib.Path(__file__).parent, _play, targets=4)
