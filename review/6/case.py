"""One submission with very many tasks ends every process that leads."""

import pathlib

import gevent
import support2

# One step, ten million small tasks; the pages state no upper limit.
HUGE_COUNT = 10_000_000
HUGE_ID = "000000000000beef"
TRAFFIC_S = 25.0
PAUSE_S = 0.5


def _play(system, record, trouble):
    accepted = {}
    callers = gevent.spawn(_call_on, system, record, accepted)
    gevent.sleep(3.0)
    count = HUGE_COUNT if trouble else 10
    body = {
        "spec": "0.2",
        "steps": [{"count": count, "cpu": 1000, "estimate_ms": 200}],
    }
    status, _ = system.call(0, "POST", f"/q/{HUGE_ID}", body, "k2")
    record.note(f"submission of {count} tasks: {status or 'no answer'}")
    callers.join()
    broken = support2.find_lost(system, record, accepted)
    ended = {n: count for n, count in system.exits.items() if count >= 3}
    record.note(f"ends of entries: {system.exits}")
    if len(ended) >= 2:
        broken.append(
            f"Fault: entries ended three times or more by themselves: {ended}"
        )
    return broken


def _call_on(system, record, accepted):
    """Another tenant's callers: a small submission every half second."""
    for number in range(int(TRAFFIC_S / PAUSE_S)):
        job_id = f"{number + 1:016x}"
        body = {
            "spec": "0.2",
            "steps": [{"count": 2, "cpu": 1000, "estimate_ms": 200}],
        }
        if system.submit(job_id, body) == 200:
            accepted[job_id] = ("k1", 2)
        gevent.sleep(PAUSE_S)


support2.run(pathlib.Path(__file__).parent, _play)
