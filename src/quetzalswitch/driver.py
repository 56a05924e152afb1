"""Drives a scheduler on the manual clock with targets that are stand-ins.

The targets only finish tasks after their real run time. They keep their own
account of what they run and note every start that breaks an invariant, so that
the scheduler's own books are not what it is judged by.
"""

import collections
import heapq
import itertools
import typing

import msgspec

from quetzalswitch import clock as clocks
from quetzalswitch import decisions
from quetzalswitch import exceptions
from quetzalswitch import packing
from quetzalswitch import quarantine
from quetzalswitch import records
from quetzalswitch import retries
from quetzalswitch import traces

TICK_S = 0.25
_CHECKPOINT_S = 1.0
_STOP_S = 0.2
_REPORT_S = 5.0
_USAGE_AGE_S = 2.0
_FAILURE_S = 0.5
_LEASE_S = 5.0


class Violation(typing.NamedTuple):
    """A broken invariant: when, which and how."""

    at_s: float
    rule: str
    detail: str


class TeamSample(typing.NamedTuple):
    """What teams use at a time.

    Attributes:
        at_s: Time.
        parts: Dominant part of each team.
        waiting: Teams with waiting requests.
        running: Tasks running of each team.
    """

    at_s: float
    parts: dict[str, float]
    waiting: set[str]
    running: dict[str, int]


class Job:
    """A request with what the trace says and what happened to it."""

    __slots__ = (
        "event",
        "request",
        "submitted_s",
        "started_s",
        "ended_s",
        "state",
        "error",
        "remaining_s",
        "starts",
        "retries",
        "open_tasks",
        "failed",
    )

    def __init__(self, event: traces.Submit, now_s: float):
        self.event = event
        self.request = traces.make_request(event, now_s)
        self.submitted_s = now_s
        self.started_s: float | None = None
        self.ended_s: float | None = None
        self.state = "queued"
        self.error = ""
        self.remaining_s = event.actual_s
        self.starts = 0
        self.retries = 0
        self.open_tasks = 0
        self.failed = False


class _Task:
    __slots__ = ("attempt", "job", "since_s", "stopping")

    def __init__(self, attempt: records.Attempt, job: Job, since_s: float):
        self.attempt = attempt
        self.job = job
        self.since_s = since_s
        self.stopping = False


class _Target:
    """A target's own account of what it runs."""

    def __init__(self, target: records.Target):
        self.target = target
        self.tasks: dict[str, _Task] = {}
        self.free = target.capacity
        self.faulty = False
        self.lost = False


class Driver:
    """Runs a trace against a scheduler.

    Attributes:
        jobs: All requests by key.
        violations: Broken invariants.
        samples: (time, used part of cores, of memory, of slots, waiting) each
            second.
        team_samples: The same of each team.
        decided: (time, decision) in order.
    """

    def __init__(
        self,
        trace: traces.Trace,
        make_scheduler: typing.Callable[[clocks.Clock], typing.Any],
    ):
        self.clock = clocks.ManualClock(0.0)
        self.trace = trace
        self.scheduler = make_scheduler(self.clock)
        self.jobs: dict[str, Job] = {}
        self.violations: list[Violation] = []
        self.samples: list[tuple[float, float, float, float, int]] = []
        self.team_samples: list[TeamSample] = []
        self.decided: list[tuple[float, decisions.Decision]] = []
        self.targets: dict[str, _Target] = {}
        self.allowances: dict[str, int] = {}
        self.running: collections.Counter = collections.Counter()
        self.tasks: dict[str, _Task] = {}
        self._used: dict[str, records.Resources] = {}
        self._retries = retries.Retries(self.clock, seed=1)
        self._events: list[tuple] = []
        self._order = itertools.count()
        self.configuration = traces.make_configuration(trace.header)
        self._out: set[str] = set()
        self._prepare()

    def run(self, until_s: float) -> None:
        """Plays the trace until a time."""
        while self._events and self._events[0][0] <= until_s:
            self.step()

    def step(self) -> None:
        """Plays the next event and carries out what is decided then."""
        due_s, _, act = heapq.heappop(self._events)
        passed_s = due_s - self.clock.now()
        if passed_s > 0.0:
            self.clock.advance(passed_s)
        act()
        self.settle()

    def settle(self) -> None:
        """Carries out decisions until none are left."""
        while True:
            chosen = self.scheduler.decide(64)
            for decision in chosen:
                self._carry_out(decision)
            if len(chosen) < 64:
                return

    def at(self, due_s: float, act: typing.Callable[[], None]) -> None:
        """Plans a step."""
        heapq.heappush(self._events, (due_s, next(self._order), act))

    def play(self, event: traces.Event) -> None:
        """Applies one event of a trace now."""
        match event:
            case traces.Submit():
                self._submit(event)
            case traces.Cancel():
                self._cancel(f"{event.team}/{event.id}")
            case traces.DomainOut():
                self._out.add(event.domain)
                self._configure()
            case traces.DomainBack():
                self._out.discard(event.domain)
                self._configure()
            case traces.TargetFaulty():
                self.targets[event.target].faulty = event.faulty
            case traces.TargetLost():
                self._lose(self.targets[event.target])
            case traces.TargetBack():
                target = self.targets[event.target]
                target.lost = False
                self.scheduler.add_target(target.target, [])
            case traces.Allowance():
                self.allowances[event.team] = event.held
                self.scheduler.set_allowance(event.team, event.held)

    def _prepare(self) -> None:
        self.scheduler.configure(self.configuration)
        for team in self.trace.header.teams:
            self.allowances[team.name] = team.max_running
            self.scheduler.set_allowance(team.name, team.max_running)
        for target in traces.make_targets(self.trace.header.targets):
            self.targets[target.target_id] = _Target(target)
            self.scheduler.add_target(target, [])
        for event in self.trace.events:
            self.at(event.at_s, lambda e=event: self.play(e))
        self.at(0.0, self._tick)
        self.at(1.0, self._sample)
        self.at(_REPORT_S, self._report)

    def _configure(self) -> None:
        changed = {
            "version": self.configuration.version + 1,
            "domains_out": frozenset(self._out),
        }
        self.configuration = msgspec.structs.replace(
            self.configuration, **changed
        )
        self.scheduler.configure(self.configuration)

    def _submit(self, event: traces.Submit) -> None:
        job = Job(event, self.clock.now())
        self.jobs[job.request.key] = job
        self._retries.record_first_attempt()
        try:
            self.scheduler.submit(job.request)
        except exceptions.RequestError as error:
            self._close(job, "refused", f"{error.kind}: {error.message}")

    def _cancel(self, key: str) -> None:
        job = self.jobs[key]
        if self.scheduler.cancel(key):
            self._close(job, "cancelled", "")

    def _lose(self, target: _Target) -> None:
        target.lost = True
        self.scheduler.remove_target(target.target.target_id)
        for task in list(target.tasks.values()):
            self._remove(task)
            due_s = self.clock.now() + _LEASE_S
            self.at(due_s, lambda t=task: self._finish(t, "lost"))

    def _carry_out(self, decision: decisions.Decision) -> None:
        self.decided.append((self.clock.now(), decision))
        match decision:
            case decisions.Start():
                self._start(decision)
            case decisions.Preempt():
                wait_s = _CHECKPOINT_S if decision.checkpoint else _STOP_S
                self._stop(decision, wait_s, "preempted")
            case decisions.Stop():
                self._stop(decision, _STOP_S, "stopped")
            case decisions.Refuse():
                job = self.jobs[decision.request.key]
                if job.open_tasks or job.starts:
                    self._note("refused", f"{decision.request.key} had run")
                reason = f"{decision.kind}: {decision.message}"
                self._close(job, "refused", reason)

    def _start(self, decision: decisions.Start) -> None:
        request = decision.request
        job = self.jobs[request.key]
        if len(decision.attempts) != request.task_count:
            self._note("gang", f"{request.key}: partial start")
        if job.open_tasks or job.state not in ("queued", "running"):
            self._note("once", f"{request.key} started in state {job.state}")
        if job.starts and not request.idempotent:
            self._note("once", f"{request.key} is not idempotent")
        job.starts += 1
        job.failed = False
        if job.started_s is None:
            job.started_s = self.clock.now()
        job.state = "running"
        for attempt in decision.attempts:
            self._start_task(job, attempt)

    def _start_task(self, job: Job, attempt: records.Attempt) -> None:
        now_s = self.clock.now()
        target = self.targets[attempt.target_id]
        task = _Task(attempt, job, now_s)
        job.open_tasks += 1
        self.tasks[attempt.attempt_id] = task
        target.tasks[attempt.attempt_id] = task
        target.free = target.free.minus(attempt.size)
        self.running[attempt.team] += 1
        self._use(attempt.team, attempt.size, 1)
        if not records.Resources(0.0, 0, 0).fits_in(target.free) or (
            len(target.tasks) > target.target.slots
        ):
            self._note("overcommit", attempt.target_id)
        if self.running[attempt.team] > self.allowances.get(attempt.team, 0):
            self._note("allowance", attempt.team)
        if target.target.failure_domain in self._out or target.lost:
            self._note("out", attempt.target_id)
        self.scheduler.attempt_started(attempt.attempt_id)
        if target.faulty or job.event.never_succeeds:
            due_s = now_s + min(_FAILURE_S, job.remaining_s)
            outcome = "failed"
        else:
            due_s = now_s + job.remaining_s
            outcome = "finished"
        self.at(due_s, lambda: self._finish_running(task, outcome))

    def _finish_running(self, task: _Task, outcome: str) -> None:
        if self.tasks.get(task.attempt.attempt_id) is task:
            self._remove(task)
            self._finish(task, outcome)

    def _stop(self, decision, wait_s: float, outcome: str) -> None:
        task = self.tasks.get(decision.attempt_id)
        if task is None or task.stopping:
            return
        task.stopping = True
        request = task.job.request
        if outcome == "preempted" and not request.idempotent:
            self._note("preempted", f"{request.key} is not idempotent")
        saved = outcome == "preempted" and decision.checkpoint
        due_s = self.clock.now() + wait_s
        self.at(due_s, lambda: self._end_stopped(task, outcome, saved))

    def _end_stopped(self, task: _Task, outcome: str, saved: bool) -> None:
        if self.tasks.get(task.attempt.attempt_id) is not task:
            return
        if saved:
            done_s = self.clock.now() - task.since_s - _CHECKPOINT_S
            task.job.remaining_s = max(0.1, task.job.remaining_s - done_s)
        self._remove(task)
        self._finish(task, outcome)

    def _remove(self, task: _Task) -> None:
        attempt = task.attempt
        del self.tasks[attempt.attempt_id]
        target = self.targets[attempt.target_id]
        del target.tasks[attempt.attempt_id]
        target.free = target.free.plus(attempt.size)
        self._use(attempt.team, attempt.size, -1)

    def _finish(self, task: _Task, outcome: str) -> None:
        job = task.job
        job.open_tasks -= 1
        self.running[task.attempt.team] -= 1
        verdict = self.scheduler.attempt_ended(task.attempt.attempt_id, outcome)
        if outcome == "stopped" or verdict is quarantine.Verdict.ABANDON:
            if job.state == "running":
                self._close(job, "failed", f"attempt {outcome}")
        elif verdict is quarantine.Verdict.RETRY and not job.failed:
            self._retry(job, outcome)
        elif job.open_tasks == 0 and not job.failed:
            self._close(job, "done", "")

    def _retry(self, job: Job, outcome: str) -> None:
        job.failed = True
        if job.state != "running":
            return
        delay_s = 0.0
        if outcome == "failed":
            job.retries += 1
            delay_s = self._retries.next_delay_s(job.retries)
        if delay_s is None:
            self._close(job, "failed", "retry budget is used up")
            return
        job.state = "queued"
        self.scheduler.requeue(job.request, delay_s)

    def _close(self, job: Job, state: str, error: str) -> None:
        if job.ended_s is not None:
            self._note("once", f"{job.request.key} ended twice")
        job.state = state
        job.error = error
        job.ended_s = self.clock.now()

    def _use(self, team: str, size: records.Resources, change: int) -> None:
        used = self._used.get(team, packing.NO_RESOURCES)
        add = used.plus if change > 0 else used.minus
        self._used[team] = add(size)

    def _tick(self) -> None:
        self.at(self.clock.now() + TICK_S, self._tick)

    def _sample(self) -> None:
        now_s = self.clock.now()
        live = [
            t
            for t in self.targets.values()
            if not t.lost and t.target.failure_domain not in self._out
        ]
        whole = packing.NO_RESOURCES
        free = packing.NO_RESOURCES
        for target in live:
            whole = whole.plus(target.target.capacity)
            free = free.plus(target.free)
        slots = sum(t.target.slots for t in live) or 1
        busy = sum(len(t.tasks) for t in live)
        waiting = self.scheduler.queued()
        cores = 1.0 - free.cores / whole.cores if whole.cores else 0.0
        memory = 1.0 - free.memory_mb / whole.memory_mb if whole[1] else 0.0
        self.samples.append((now_s, cores, memory, busy / slots, waiting))
        self._sample_teams(now_s, whole, slots)
        self.at(now_s + 1.0, self._sample)

    def _sample_teams(self, now_s, whole: records.Resources, slots) -> None:
        parts = {}
        waiting = set()
        for team in self.trace.header.teams:
            used = self._used.get(team.name, packing.NO_RESOURCES)
            parts[team.name] = max(
                used.cores / (whole.cores or 1.0),
                used.memory_mb / (whole.memory_mb or 1),
                self.running[team.name] / slots,
            )
            if self.scheduler.queued(team.name):
                waiting.add(team.name)
        counts = dict(self.running)
        self.team_samples.append(TeamSample(now_s, parts, waiting, counts))

    def _report(self) -> None:
        now_s = self.clock.now()
        for task in list(self.tasks.values()):
            if now_s - task.since_s < _USAGE_AGE_S:
                continue
            ratio = task.job.event.size_ratio
            size = task.job.request.size
            used = records.Resources(
                size.cores * ratio, int(size.memory_mb * ratio), size[2]
            )
            attempt_id = task.attempt.attempt_id
            self.scheduler.report_usage(attempt_id, used, _USAGE_AGE_S)
        self.at(now_s + _REPORT_S, self._report)

    def _note(self, rule: str, detail: str) -> None:
        self.violations.append(Violation(self.clock.now(), rule, detail))
