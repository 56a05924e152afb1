"""Waiting work of a team at its upper limit keeps all others from starting."""

import pathlib

import gevent
import support2

LIMIT_CPU = 4000
# Submissions of the busy team in the same six seconds: 7.4 times its usual.
BUSY_COUNT = 400
USUAL_COUNT = 54
BATCHES_COUNT = 20
BATCH_PAUSE_S = 0.22
# Of the other team, in the next three seconds.
OTHER_COUNT = 20


def _play(system, record, trouble):
    accepted = {}
    busy = {}
    count = BUSY_COUNT if trouble else USUAL_COUNT
    record.note(f"team t1, limit {LIMIT_CPU / 1000:g} cores: {count} jobs")
    for batch in range(BATCHES_COUNT):
        first = batch * count // BATCHES_COUNT
        last = (batch + 1) * count // BATCHES_COUNT
        jobs = [
            gevent.spawn(_submit, system, busy, f"a{n:015x}", "k1", "5")
            for n in range(first, last)
        ]
        gevent.joinall(jobs)
        gevent.sleep(BATCH_PAUSE_S)
    record.note(f"team t2, no limit: {OTHER_COUNT} jobs")
    for number in range(OTHER_COUNT):
        _submit(system, accepted, f"b{number:015x}", "k2", "5")
        gevent.sleep(0.15)
    record.note(f"accepted: {len(busy)} of t1, {len(accepted)} of t2")
    return support2.find_lost(system, record, accepted)


def _submit(system, accepted, job_id, key, work):
    step = {"count": 1, "cpu": 1000, "estimate_ms": int(float(work) * 1000)}
    if system.submit(job_id, {"spec": work, "steps": [step]}, key) == 200:
        accepted[job_id] = (key, 1)


support2.run(pathlib.Path(__file__).parent, _play, limit_cpu=LIMIT_CPU)
