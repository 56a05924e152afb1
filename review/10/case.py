"""After some hours of work no entry can lead any more: nothing is removed."""

import base64
import bisect
import collections
import pathlib
import random
import time

import gevent

import support2
import wire_store
from quetzalswitch.recovery import tables

# Three hours at the 27 submissions a second of the Moorwater sheet.
FORMER_COUNT = 300_000
FORMER_ID = "00000000000000a1"
# Mean size of the most frequent kind of request (`gauge-check`).
SPEC_BYTES = 500
DOWN_S = 0.72
TRAFFIC_S = 30.0
PAUSE_S = 0.5


class _LargeStore(wire_store.Store):
    """A store that answers reads of large parts quickly."""

    def __init__(self):
        super().__init__()
        self._keys = collections.defaultdict(list)

    def _apply(self, puts, removals):
        for table, part, key, _ in puts:
            if (table, part, key) not in self.rows:
                bisect.insort(self._keys[table, part], key)
        for table, part, key in removals:
            if (table, part, key) in self.rows:
                self._keys[table, part].remove(key)
        super()._apply(puts, removals)

    def rows_get(self, call):
        table, part = call["table"], call["part"]
        keys = self._keys[table, part]
        first = bisect.bisect_left(keys, call.get("from", ""))
        last = len(keys)
        if "to" in call:
            last = bisect.bisect_left(keys, call["to"])
        limit = min(500, int(call.get("limit", 500)))
        found = keys[first : min(last, first + limit)]
        return 200, {
            "rows": [self.rows[table, part, key] for key in found],
            "has_more": last - first > limit,
            "row_version": self.version,
        }

    def add_former(self, count):
        """Adds completed submissions like the one that was just played.

        Their changes are no longer in the store's history.
        """
        part = tables.find_job_part(FORMER_ID)
        job = base64.b64decode(self.rows["jobs", part, FORMER_ID]["value"])
        progress = self.rows["progress", "p", FORMER_ID]["value"]
        rng = random.Random(10)
        for _ in range(count):
            key = f"{rng.getrandbits(64):016x}"
            value = base64.b64encode(
                job.replace(FORMER_ID.encode(), key.encode())
            ).decode()
            self._add("jobs", tables.find_job_part(key), key, value)
            self._add("progress", "p", key, progress)
        for keys in self._keys.values():
            keys.sort()

    def _add(self, table, part, key, value):
        self.version += 1
        self._keys[table, part].append(key)
        self.rows[table, part, key] = {
            "table": table,
            "part": part,
            "key": key,
            "value": value,
            "row_version": self.version,
        }


class _System(support2.System):
    make_store = _LargeStore


def _play(system, record, trouble):
    spec = "0.2" + " " * (SPEC_BYTES - 3)
    step = {"count": 2, "cpu": 1000, "estimate_ms": 200}
    body = {"spec": spec, "steps": [step]}
    system.submit(FORMER_ID, body)
    until_s = time.monotonic() + 10.0
    while system.read_state(FORMER_ID) != "completed":
        if time.monotonic() > until_s:
            raise RuntimeError("the first submission is not completed")
        gevent.sleep(0.1)
    system.store.add_former(FORMER_COUNT)
    record.note(f"the store holds {FORMER_COUNT} former submissions")
    before = _measure(system, record, body, 1, 4.0)
    record.note(f"served before the fault: {before:.0%}")
    if trouble:
        for number in list(system.processes):
            system.kill(number, DOWN_S)
        gevent.sleep(DOWN_S + support2.RECOVERY_S)
    after = _measure(system, record, body, 1000, TRAFFIC_S)
    record.note(f"served later than recovery_s after it: {after:.0%}")
    record.note(f"ends of entries that nobody caused: {system.exits}")
    broken = []
    if before >= 0.25 > after:
        broken.append(
            f"RECOVER: {after:.0%} of the requests are served, {before:.0%} "
            "before"
        )
    ended = {n: count for n, count in system.exits.items() if count >= 3}
    if len(ended) >= 2:
        broken.append(f"Fault: entries ended by themselves: {ended}")
    return broken


def _measure(system, record, body, first, seconds):
    """Returns the share of submissions that are accepted and completed."""
    served = []
    callers = []

    def _call(number):
        job_id = f"{number:016x}"
        if system.submit(job_id, body, tries=3) == 200:
            until_s = time.monotonic() + support2.CALLER_TIMEOUT_S
            while time.monotonic() < until_s:
                if system.read_state(job_id, tries=1) == "completed":
                    served.append(job_id)
                    return
                gevent.sleep(0.2)

    count = int(seconds / PAUSE_S)
    for number in range(first, first + count):
        callers.append(gevent.spawn(_call, number))
        gevent.sleep(PAUSE_S)
    gevent.joinall(callers, timeout=15.0)
    record.note(f"{len(served)} of {count} served")
    return len(served) / count


support2.run(pathlib.Path(__file__).parent, _play, make_system=_System)
