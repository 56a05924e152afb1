"""A stand-in target that keeps leases as the platform's protocol says."""

import time

import gevent

import soak_watch
import wire_platform

# The longest lease that the target grants.
LONGEST_LEASE_MS = 10_000
# Jobs with this spec run longer than a lease that the leader asks for.
LONG_SPEC = "long"
LONG_WORK_S = 8.0


class LeasedTarget(wire_platform.Target):
    """A target that ends what it runs when its lease has passed.

    Its clock starts anew in each lifetime.

    Attributes:
        watch: Is told of each begin and end of a run and of what is noted.
    """

    def __init__(self, name: str, work_s: float, watch: soak_watch.Watch):
        super().__init__(work_s)
        self.name = name
        self.watch = watch
        self.lease_ms = 0
        self._begin_lifetime()
        gevent.spawn(self._check_leases)

    def run_start(self, call: dict) -> tuple[int, dict]:
        """Starts a task, unless its lease has passed already."""
        now_ms = self._clock_ms()
        if call["fencing_token"] >= self.fence:
            self._extend_lease(call["deadline_ms"])
        if self.lease_ms <= now_ms:
            return 409, {"clock_ms": now_ms, "reason": "late"}
        name = (call["task"], call["run"])
        known = name in self.running
        status, answer = super().run_start(call)
        if status == 200 and not known:
            self.watch.note_begin(self.name, *name)
        return status, answer

    def hold(self, call: dict) -> tuple[int, dict]:
        """Extends the lease and answers what runs and what has ended."""
        for number, task, run, how, _ in self.ended:
            if number <= call["ack_cursor"] and how == "done":
                self.watch.note_acknowledged(task, run)
        if call["fencing_token"] >= self.fence:
            self._extend_lease(call.get("deadline_ms", 0))
        born = self.born
        status, answer = super().hold(call)
        if born != self.born:
            return 503, {}
        if "born" in answer:
            answer["born"] = self.born
        return status, answer

    def crash(self) -> None:
        """Loses everything; a new lifetime begins at once."""
        for name in list(self.running):
            self.running.pop(name).kill(block=False)
            self.watch.note_end(self.name, *name, "lost")
        self.ended = []
        self.number = 0
        self.fence = 0
        self.lease_ms = 0
        self._begin_lifetime()

    def find_work_s(self, spec: str) -> float:
        """Returns how long a task runs."""
        return LONG_WORK_S if spec == LONG_SPEC else self.work_s

    def _begin_lifetime(self) -> None:
        self._began_s = time.monotonic()
        self.born = int(time.time() * 1000)

    def _clock_ms(self) -> int:
        return int((time.monotonic() - self._began_s) * 1000)

    def _extend_lease(self, until_ms: int) -> None:
        longest_ms = self._clock_ms() + LONGEST_LEASE_MS
        self.lease_ms = max(self.lease_ms, min(until_ms, longest_ms))

    def _end(self, name: tuple[str, int], how: str) -> None:
        if name in self.running:
            self.watch.note_end(self.name, *name, how)
        super()._end(name, how)

    def _check_leases(self) -> None:
        while True:
            gevent.sleep(0.05)
            if self.running and self._clock_ms() > self.lease_ms:
                for name in list(self.running):
                    self.running[name].kill(block=False)
                    self._end(name, "lapsed")
