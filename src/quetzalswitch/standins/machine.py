"""State machine of the stand-in target: leases, slots, tasks, history."""

import dataclasses
import math
import secrets
import typing
from collections.abc import Callable

import gevent
import gevent.event

from quetzalswitch import clock as clocks
from quetzalswitch import exceptions
from quetzalswitch import records
from quetzalswitch.standins import payloads
from quetzalswitch.targets import protocol

USAGE_LAG_S = 2.0
STORE_RETRY_S = 0.5
# Slow-down of a throttled task, which gets half of its processors.
THROTTLE_FACTOR = 2.0


class Options(typing.NamedTuple):
    """Properties of a stand-in target.

    Attributes:
        target_id: VM name.
        failure_domain: Failure domain of the target.
        rack: Rack of the target.
        capacity: Total resources.
        slots: Number of tasks that may run at once.
        connections: Number of connections served at once.
        control_lease_s: Length of the control lease in seconds.
    """

    target_id: str = "target-1"
    failure_domain: str = "domain-a"
    rack: str = "rack-1"
    capacity: records.Resources = records.Resources(64.0, 128 * 1024, 0)
    slots: int = 8
    connections: int = 64
    control_lease_s: float = 4.0


@dataclasses.dataclass
class _Task:
    """A running task; times are seconds on the clock."""

    start: protocol.StartBody
    behaviour: payloads.TaskBehaviour
    started_s: float
    renewed_s: float
    finish_s: float
    throttled: bool = False
    greenlet: gevent.Greenlet | None = None

    @property
    def expires_s(self) -> float:
        return self.renewed_s + self.start["lease_ms"] / 1000


@dataclasses.dataclass
class _Finished:
    """A result that is kept until it is acknowledged."""

    result: protocol.ResultBody
    report: protocol.AttemptReport
    # Last epochs under which the holder confirmed the result as received,
    # and under which it was sent.
    received_epoch: int = 0
    sent_epoch: int = 0


class Machine:
    """State of one target.

    Attributes:
        boot_id: ID of this boot.
        claim_epoch: Epoch of the last granted claim.
        fails_all: Whether every task started afterwards fails.
        leaving: Whether the target refuses starts because it is leaving.

    Args:
        options: Properties of the target.
        clock: Clock of the target; `clock_ms` counts from the last boot.
        store_body: Puts an output into the object store; raises
            `TransportError` when the store gives no usable answer.
        record_event: Callback for each history event, as a dict.
    """

    def __init__(
        self,
        options: Options,
        clock: clocks.Clock,
        store_body: Callable[[str, bytes], None],
        record_event: Callable[[dict], None],
    ):
        self.options = options
        self.fails_all = False
        self.leaving = False
        self._changed = gevent.event.Event()
        self._clock = clock
        self._store_body = store_body
        self._record_event = record_event
        self._resumed = gevent.event.Event()
        self._resumed.set()
        self._tasks: dict[str, _Task] = {}
        self.boot()

    def boot(self) -> None:
        """Discards all state, as a restart of the VM does."""
        for task in list(self._tasks.values()):
            self._record("end", task.start, self._clock.now(), reason="restart")
            task.greenlet.kill(block=False)
        self._tasks = {}
        self._running_version = 1
        self._finished: dict[str, _Finished] = {}
        self._started_ids: set[str] = set()
        self._fenced_ids: set[str] = set()
        self.boot_id = f"boot-{secrets.token_hex(4)}"
        self._booted_s = self._clock.now()
        self.claim_epoch = 0
        self._holder = ""
        self._holder_address = ""
        self._lease_expires_s = -math.inf
        self._notify()

    def pause(self, seconds: float) -> None:
        """Stops processing for the given time; clocks and leases run on."""
        self._resumed.clear()
        gevent.spawn(self._resume_after, seconds)

    def wait_while_paused(self) -> None:
        """Blocks while processing is paused."""
        self._resumed.wait()

    def claim(self, body: protocol.ClaimBody) -> protocol.ClaimAnswer:
        """Grants the control lease when it is free or the holder asks."""
        now_s = self._clock.now()
        granted = (
            now_s >= self._lease_expires_s
            or body["incarnation"] == self._holder
        )
        if granted:
            # Each grant gets a new epoch, even for the same holder, so that
            # starts sent before the grant are refused if they arrive later.
            self.claim_epoch += 1
            self._holder = body["incarnation"]
            self._holder_address = body["peer_address"]
            self._lease_expires_s = now_s + self.options.control_lease_s
            self._notify()
        return self._claim_answer(granted, now_s)

    def sync(self, body: protocol.SyncBody) -> protocol.SyncAnswer:
        """Renews leases; answers at once when there is a new result.

        Raises:
            StaleEpochError: The epoch or boot differs, the control lease has
                expired, or the message arrived too late.
        """
        self._check_epoch(body["epoch"], body["boot_id"])
        if self._clock_ms() > body["not_after_ms"]:
            raise exceptions.StaleEpochError("late")
        now_s = self._clock.now()
        self._lease_expires_s = now_s + self.options.control_lease_s
        for task in self._tasks.values():
            if task.expires_s > now_s:
                task.renewed_s = now_s
        for attempt_id in body["acknowledge"]:
            self._finished.pop(attempt_id, None)
        for attempt_id in body["received"]:
            if attempt_id in self._finished:
                self._finished[attempt_id].received_epoch = body["epoch"]
        self._wait_for_change(body["epoch"], body["wait_ms"] / 1000)
        self._check_epoch(body["epoch"], body["boot_id"])
        return self._sync_answer(body["running_version"])

    def start(self, body: protocol.StartsBody) -> list[protocol.StartOutcome]:
        """Starts the attempts that fit; a gang starts completely or not at all.

        Raises:
            StaleEpochError: The epoch or boot differs, or the control lease
                has expired; nothing was started.
        """
        self._check_epoch(body["epoch"], body["boot_id"])
        if not body["all_or_none"]:
            return [self._start_one(start) for start in body["starts"]]
        reason = self._gang_rejection_reason(body["starts"])
        if reason:
            return [_outcome(start, reason) for start in body["starts"]]
        return [self._start_one(start) for start in body["starts"]]

    def fence(self, attempt_id: str) -> protocol.FenceAnswer:
        """Returns the state of an attempt; fences it if it was never seen."""
        if attempt_id in self._tasks:
            state = "running"
        elif attempt_id in self._started_ids:
            state = "finished"
        else:
            state = "never_seen"
            self._fenced_ids.add(attempt_id)
        return {"state": state, "boot_id": self.boot_id}

    def stop(self, attempt_id: str, body: protocol.StopBody) -> None:
        """Stops, throttles or checkpoints an attempt if it is running.

        Raises:
            StaleEpochError: The epoch differs or the lease has expired.
        """
        self._check_epoch(body["epoch"], self.boot_id)
        task = self._tasks.get(attempt_id)
        if task is None:
            return
        match body["mode"]:
            case "throttle":
                self._throttle(task)
            case "checkpoint":
                self._end(task, self._clock.now(), "checkpointed")
            case "stop":
                self._end(task, self._clock.now(), "stopped")

    def release(self, body: protocol.ReleaseBody) -> None:
        """Ends the control lease; running tasks continue.

        Raises:
            StaleEpochError: The epoch or boot differs, or the lease expired.
        """
        self._check_epoch(body["epoch"], body["boot_id"])
        self._lease_expires_s = -math.inf
        self._holder = ""
        self._notify()

    def shut_down(self) -> None:
        """Kills all task greenlets."""
        for task in self._tasks.values():
            task.greenlet.kill(block=False)

    def _check_epoch(self, epoch: int, boot_id: str) -> None:
        if (
            epoch != self.claim_epoch
            or boot_id != self.boot_id
            or self._clock.now() >= self._lease_expires_s
        ):
            raise exceptions.StaleEpochError("stale_epoch")

    def _clock_ms(self) -> int:
        return int((self._clock.now() - self._booted_s) * 1000)

    def _notify(self) -> None:
        changed = self._changed
        self._changed = gevent.event.Event()
        changed.set()

    def _wait_for_change(self, epoch: int, wait_s: float) -> None:
        until = gevent.Timeout(wait_s, False)
        with until:
            while not self._has_changes(epoch):
                self._changed.wait()

    def _has_changes(self, epoch: int) -> bool:
        return epoch != self.claim_epoch or any(
            finished.sent_epoch != epoch for finished in self._finished.values()
        )

    def _start_one(self, start: protocol.StartBody) -> protocol.StartOutcome:
        reason = self._rejection_reason(start, self._free(), self._free_slots())
        if not reason:
            self._launch(start)
        return _outcome(start, reason)

    def _gang_rejection_reason(self, starts: list[protocol.StartBody]) -> str:
        free = self._free()
        free_slots = self._free_slots()
        seen = set()
        for start in starts:
            reason = self._rejection_reason(start, free, free_slots)
            if start["attempt_id"] in seen:
                reason = "duplicate"
            if reason:
                return reason
            seen.add(start["attempt_id"])
            free = free.minus(payloads.read_size(start["size"]))
            free_slots -= 1
        return ""

    def _rejection_reason(
        self, start: protocol.StartBody, free: records.Resources, slots: int
    ) -> str:
        if start["attempt_id"] in self._started_ids:
            return "duplicate"
        if start["attempt_id"] in self._fenced_ids:
            return "fenced"
        if self._clock_ms() > start["not_after_ms"]:
            return "late"
        if self.leaving:
            return "leaving"
        if slots < 1:
            return "no_slot"
        if not payloads.read_size(start["size"]).fits_in(free):
            return "no_room"
        return ""

    def _free(self) -> records.Resources:
        free = self.options.capacity
        for task in self._tasks.values():
            free = free.minus(payloads.read_size(task.start["size"]))
        return free

    def _free_slots(self) -> int:
        return self.options.slots - len(self._tasks)

    def _launch(self, start: protocol.StartBody) -> None:
        now_s = self._clock.now()
        behaviour = payloads.parse_behaviour(start, self.fails_all)
        task = _Task(start, behaviour, now_s, now_s, now_s + behaviour.run_s)
        self._started_ids.add(start["attempt_id"])
        self._tasks[start["attempt_id"]] = task
        self._running_version += 1
        self._record("start", start, now_s)
        task.greenlet = gevent.spawn(self._run, task)

    def _run(self, task: _Task) -> None:
        while True:
            now_s = self._clock.now()
            due_s = min(task.finish_s, task.expires_s)
            if now_s < due_s:
                self._clock.sleep(due_s - now_s)
                self.wait_while_paused()
                continue
            if task.expires_s < task.finish_s:
                self._end(task, task.expires_s, "lapsed")
                return
            if self._try_finish(task):
                return
            task.finish_s = now_s + STORE_RETRY_S

    def _try_finish(self, task: _Task) -> bool:
        """Ends a completed task if its output can be stored."""
        body = task.behaviour.output.encode()
        object_key = None
        if len(body) > records.INLINE_BODY_LIMIT_BYTES:
            object_key = f"result/{task.start['attempt_id']}"
            try:
                self._store_body(object_key, body)
            except exceptions.TransportError:
                return False
        if object_key and self._clock.now() >= task.expires_s:
            # The lease expired during the write to the store.
            return False
        self._end(task, task.finish_s, "finished", body, object_key)
        return True

    def _end(
        self,
        task: _Task,
        at_s: float,
        ended: str,
        body: bytes = b"",
        object_key: str | None = None,
    ) -> None:
        attempt_id = task.start["attempt_id"]
        report = self._report(task)
        del self._tasks[attempt_id]
        self._running_version += 1
        ok = ended == "finished" and not task.behaviour.fail
        error = "" if ok else ("task failed" if ended == "finished" else ended)
        result: protocol.ResultBody = {
            "attempt_id": attempt_id,
            "ok": ok,
            "ended": ended,
            "body": "" if object_key else body.decode(),
            "object_key": object_key,
            "length_bytes": len(body),
            "digest": records.digest_body(body),
            "error": error,
        }
        self._finished[attempt_id] = _Finished(result, report)
        kind = {"finished": "end", "lapsed": "lapse"}.get(ended, "stop")
        self._record(kind, task.start, at_s, reason=error)
        self._notify()
        if task.greenlet is not gevent.getcurrent():
            task.greenlet.kill(block=False)

    def _throttle(self, task: _Task) -> None:
        if task.throttled:
            return
        task.throttled = True
        now_s = self._clock.now()
        left_s = max(task.finish_s - now_s, 0.0)
        task.finish_s = now_s + left_s * THROTTLE_FACTOR

    def _resume_after(self, seconds: float) -> None:
        self._clock.sleep(seconds)
        self._resumed.set()

    def _report(self, task: _Task) -> protocol.AttemptReport:
        start = task.start
        age_s = self._clock.now() - task.started_s
        usage = payloads.read_size(start["size"])
        if age_s >= USAGE_LAG_S:
            usage = task.behaviour.usage
            age_s %= USAGE_LAG_S
        if task.throttled:
            usage = usage._replace(cores=usage.cores / THROTTLE_FACTOR)
        return {
            "attempt_id": start["attempt_id"],
            "request_key": start["request_key"],
            "team": start["team"],
            "holder": start["holder"],
            "home": start["home"],
            "size": start["size"],
            "usage": usage._asdict(),
            "usage_age_ms": int(age_s * 1000),
            "lease_ms": start["lease_ms"],
            "task_index": start["task_index"],
        }

    def _sync_answer(self, known_version: int) -> protocol.SyncAnswer:
        running = None
        if known_version != self._running_version:
            running = [self._report(task) for task in self._tasks.values()]
        finished = []
        for item in self._finished.values():
            item.sent_epoch = self.claim_epoch
            if item.received_epoch != self.claim_epoch:
                finished.append(item.result)
        return {
            "clock_ms": self._clock_ms(),
            "boot_id": self.boot_id,
            "leaving": self.leaving,
            "running_version": self._running_version,
            "running": running,
            "finished": finished,
        }

    def _claim_answer(
        self, granted: bool, now_s: float
    ) -> protocol.ClaimAnswer:
        remaining_s = max(self._lease_expires_s - now_s, 0.0)
        options = self.options
        tasks = self._tasks.values() if granted else ()
        finished = list(self._finished.values()) if granted else ()
        return {
            "granted": granted,
            "epoch": self.claim_epoch if granted else 0,
            "holder": self._holder,
            "holder_address": self._holder_address,
            "lease_ms": int(options.control_lease_s * 1000),
            "remaining_ms": int(remaining_s * 1000),
            "clock_ms": self._clock_ms(),
            "boot_id": self.boot_id,
            "target_id": options.target_id,
            "failure_domain": options.failure_domain,
            "rack": options.rack,
            "capacity": options.capacity._asdict(),
            "slots": options.slots,
            "connections": options.connections,
            "leaving": self.leaving,
            "running": [self._report(task) for task in tasks],
            "finished": [item.result for item in finished],
            "finished_reports": [item.report for item in finished],
        }

    def _record(
        self,
        event: str,
        start: protocol.StartBody,
        at_s: float,
        reason: str = "",
    ) -> None:
        wall_s = self._clock.wall() - (self._clock.now() - at_s)
        self._record_event(
            {
                "wall_ms": int(wall_s * 1000),
                "event": event,
                "reason": reason,
                "attempt_id": start["attempt_id"],
                "request_key": start["request_key"],
                "task_index": start["task_index"],
                "team": start["team"],
                "holder": start["holder"],
                "size": start["size"],
                "target_id": self.options.target_id,
                "failure_domain": self.options.failure_domain,
                "boot_id": self.boot_id,
                "epoch": self.claim_epoch,
                "capacity": self.options.capacity._asdict(),
                "slots": self.options.slots,
            }
        )


def _outcome(start: protocol.StartBody, reason: str) -> protocol.StartOutcome:
    return {
        "attempt_id": start["attempt_id"],
        "started": not reason,
        "reason": reason,
    }
