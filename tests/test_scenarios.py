"""Runs the scenarios of operators against the scheduler."""

import collections
import re

import pytest
import pytest_bdd
from pytest_bdd import parsers

from quetzalswitch import configuration as configurations
from quetzalswitch import decisions
from quetzalswitch import driver
from quetzalswitch import policy as policies
from quetzalswitch import scheduler
from quetzalswitch import traces

pytest_bdd.scenarios("../scenarios")

_OPTIONS = (
    (r"checkpointable", "checkpointable", lambda m: True),
    (r"not idempotent", "idempotent", lambda m: False),
    (r"never succeeding", "never_succeeds", lambda m: True),
    (r"declared as ([\d.]+) s", "declared_s", lambda m: float(m[1])),
    (r"using (\d+)% of their size", "size_ratio", lambda m: int(m[1]) / 100),
    (r"(\d+) tasks each", "tasks", lambda m: int(m[1])),
    (r"in one rack", "same_rack", lambda m: True),
    (r"due in ([\d.]+) s", "deadline_in_s", lambda m: float(m[1])),
    (r"(\d+) GB", "memory_mb", lambda m: int(m[1]) * 1024),
    (r"(\d+) accelerators?", "accelerators", lambda m: int(m[1])),
    (r'on queue "(\w+)"', "queue", lambda m: m[1]),
)


class World:
    """What a scenario has set up, and its run."""

    def __init__(self):
        self.groups = []
        self.teams = []
        self.queues = []
        self.settings = {}
        self.events = []
        self.groups_of = collections.defaultdict(list)
        self.test = None

    def add(self, event):
        self.events.append(event)

    def run(self, until_s):
        if self.test is None:
            header = traces.Header(
                traces.FORMAT, "scenario", self.groups, self.teams, self.queues
            )
            events = sorted(self.events, key=lambda e: e.at_s)
            policy = policies.Policy(**self.settings)
            self.test = driver.Driver(
                traces.Trace(header, events),
                lambda clock: scheduler.Scheduler(clock, policy, "e1"),
            )
        self.test.run(until_s)

    def jobs(self, name):
        return [self.test.jobs[key] for key in self.groups_of[name]]

    def starts(self):
        return [
            (at_s, decision)
            for at_s, decision in self.test.decided
            if isinstance(decision, decisions.Start)
        ]

    def preempted(self, name):
        keys = set(self.groups_of[name])
        attempts = {
            attempt.attempt_id
            for _, start in self.starts()
            for attempt in start.attempts
            if attempt.request_key in keys
        }
        return [
            decision
            for _, decision in self.test.decided
            if isinstance(decision, decisions.Preempt)
            and decision.attempt_id in attempts
        ]


@pytest.fixture
def world():
    return World()


def _step(kind, text):
    return kind(parsers.re(text + "$"))


given, when, then = pytest_bdd.given, pytest_bdd.when, pytest_bdd.then


@_step(
    given,
    r'(?P<count>\d+) targets? with (?P<cores>\d+) cores and (?P<slots>\d+)'
    r' slots each in domain "(?P<domain>\w+)"'
    r"(?: with (?P<accelerators>\d+) accelerators)?",
)  # fmt: skip
def add_targets(world, count, cores, slots, domain, accelerators):
    world.groups.append(
        traces.TargetGroup(
            int(count), domain, domain, float(cores), 65_536,
            int(accelerators or 0), int(slots),
        )
    )  # fmt: skip


@_step(
    given,
    r'team "(?P<team>\w+)" with share (?P<share>[\d.]+)'
    r"(?: and an upper limit of (?P<limit>\d+))?",
)
def add_team(world, team, share, limit):
    limit = int(limit) if limit else 1000
    world.teams.append(configurations.Team(team, float(share), limit))


@_step(
    given,
    r'queue "(?P<name>\w+)" for at most (?P<length>\d+) waiting requests'
    r"(?: and (?P<wait>\d+) s)?",
)
def add_queue(world, name, length, wait):
    wait_s = float(wait) if wait else None
    world.queues.append(
        configurations.Queue(
            name, None, max_queued=int(length), max_wait_s=wait_s
        )
    )


@_step(given, r"the policy setting (?P<name>\w+) is (?P<value>[\w.]+)")
def set_policy(world, name, value):
    known = {"on": True, "off": False, "none": None}
    world.settings[name] = known[value] if value in known else float(value)


@_step(
    when,
    r'at (?P<at>[\d.]+) s team "(?P<team>\w+)" submits (?P<count>\d+)'
    r' (?P<type>\w+) requests? "(?P<name>\w+)" of (?P<cores>\d+) cores? for'
    r" (?P<run>[\d.]+) s"
    r"(?: every (?P<gap>[\d.]+) s)?(?: \((?P<options>.*)\))?",
)
def submit(world, at, team, count, type, name, cores, run, gap, options):
    fields = {"queue": type}
    for option in (options or "").split(", "):
        for pattern, field, read in _OPTIONS:
            match = re.fullmatch(pattern, option)
            if match:
                fields[field] = read(match)
                break
        else:
            assert not option, f"unknown option {option}"
    for number in range(int(count)):
        at_s = float(at) + number * float(gap or 0)
        request_id = f"{name}{len(world.groups_of[name])}"
        world.groups_of[name].append(f"{team}/{request_id}")
        world.add(
            traces.Submit(
                at_s, request_id, team, type=type, cores=float(cores),
                actual_s=float(run), **fields,
            )
        )  # fmt: skip


@_step(when, r'at (?P<at>[\d.]+) s domain "(?P<domain>\w+)" is taken out')
def take_out(world, at, domain):
    world.add(traces.DomainOut(float(at), domain))


@_step(when, r'at (?P<at>[\d.]+) s domain "(?P<domain>\w+)" is returned')
def return_domain(world, at, domain):
    world.add(traces.DomainBack(float(at), domain))


@_step(when, r'at (?P<at>[\d.]+) s target "(?P<target>[\w-]+)" fails all tasks')
def break_target(world, at, target):
    world.add(traces.TargetFaulty(float(at), target))


@_step(when, r'at (?P<at>[\d.]+) s target "(?P<target>[\w-]+)" is repaired')
def repair_target(world, at, target):
    world.add(traces.TargetFaulty(float(at), target, False))


@_step(when, r'at (?P<at>[\d.]+) s target "(?P<target>[\w-]+)" dies')
def kill_target(world, at, target):
    world.add(traces.TargetLost(float(at), target))


@_step(
    when,
    r'at (?P<at>[\d.]+) s the allowance of team "(?P<team>\w+)" becomes'
    r" (?P<held>\d+)",
)
def set_allowance(world, at, team, held):
    world.add(traces.Allowance(float(at), team, int(held)))


@_step(when, r'at (?P<at>[\d.]+) s all of "(?P<name>\w+)" are cancelled')
def cancel(world, at, name):
    for key in world.groups_of[name]:
        team, request_id = key.split("/")
        world.add(traces.Cancel(float(at), request_id, team))


@_step(when, r"(?P<until>[\d.]+) s have passed")
def run(world, until):
    world.run(float(until))


@_step(then, r'all of "(?P<name>\w+)" (?:are|is) (?P<state>\w+)')
def check_state(world, name, state):
    states = collections.Counter(job.state for job in world.jobs(name))
    assert states == {state: len(world.jobs(name))}


@_step(then, r'(?P<count>\d+) of "(?P<name>\w+)" (?:are|is) (?P<state>\w+)')
def check_count(world, name, count, state):
    states = collections.Counter(job.state for job in world.jobs(name))
    assert states[state] == int(count), states


@_step(then, r'all of "(?P<name>\w+)" waited at most (?P<wait>[\d.]+) s')
def check_wait(world, name, wait):
    for job in world.jobs(name):
        assert job.started_s is not None, job.request.key
        assert job.started_s - job.submitted_s <= float(wait)


@_step(then, r'none of "(?P<name>\w+)" started before (?P<at>[\d.]+) s')
def check_not_before(world, name, at):
    for job in world.jobs(name):
        assert job.started_s is None or job.started_s >= float(at)


@_step(then, r'(?P<which>some|none) of "(?P<name>\w+)" were preempted')
def check_preempted(world, which, name):
    assert bool(world.preempted(name)) == (which == "some")


@_step(
    then,
    r'the refusal of "(?P<name>\w+)" says (?P<kind>\w+)',
)
def check_refusal(world, name, kind):
    refused = [job for job in world.jobs(name) if job.state == "refused"]
    assert refused
    assert all(job.error.startswith(kind) for job in refused)
    assert all(job.starts == 0 for job in refused)


@_step(
    then,
    r'at (?P<at>[\d.]+) s team "(?P<team>\w+)" ran at (?P<bound>least|most)'
    r" (?P<count>\d+) tasks",
)
def check_running(world, at, team, bound, count):
    sample = next(s for s in world.test.team_samples if s.at_s >= float(at))
    running = sample.running.get(team, 0)
    if bound == "least":
        assert running >= int(count)
    else:
        assert running <= int(count)


@_step(
    then,
    r'domain "(?P<domain>\w+)" got (?P<bound>no|at most \d+|at least \d+)'
    r" starts between (?P<first>[\d.]+) s and (?P<last>[\d.]+) s",
)
def check_starts(world, domain, bound, first, last):
    targets = world.test.targets
    count = sum(
        targets[attempt.target_id].target.failure_domain == domain
        for at_s, start in world.starts()
        for attempt in start.attempts
        if float(first) <= at_s <= float(last)
    )
    number = int(re.sub(r"\D", "", bound) or 0)
    assert count >= number if "least" in bound else count <= number


@_step(
    then,
    r'target "(?P<target>[\w-]+)" got at most (?P<count>\d+) starts between'
    r" (?P<first>[\d.]+) s and (?P<last>[\d.]+) s",
)
def check_target_starts(world, target, count, first, last):
    starts = sum(
        attempt.target_id == target
        for at_s, start in world.starts()
        for attempt in start.attempts
        if float(first) <= at_s <= float(last)
    )
    assert starts <= int(count)


@_step(then, r'"(?P<name>\w+)" are spread evenly over the domains')
def check_spread(world, name):
    keys = set(world.groups_of[name])
    counts = collections.Counter({g.failure_domain: 0 for g in world.groups})
    for task in world.test.tasks.values():
        if task.attempt.request_key in keys:
            target = world.test.targets[task.attempt.target_id].target
            counts[target.failure_domain] += 1
    assert max(counts.values()) - min(counts.values()) <= 1


@_step(then, r'the tasks of each of "(?P<name>\w+)" share a rack')
def check_rack(world, name):
    keys = set(world.groups_of[name])
    for _, start in world.starts():
        if start.request.key in keys:
            racks = {a.target_id.rsplit("-", 1)[0] for a in start.attempts}
            assert len(racks) == 1


@_step(then, r'"(?P<name>\w+)" (?:is|are) explained with "(?P<text>.*)"')
def check_explanation(world, name, text):
    for job in world.jobs(name):
        assert text in world.test.scheduler.explain(job.request.key)


@_step(then, r"(?P<count>\d+) tasks were throttled")
def check_throttled(world, count):
    throttled = [
        decision
        for _, decision in world.test.decided
        if isinstance(decision, decisions.Throttle)
    ]
    assert len(throttled) == int(count)


@_step(then, r"no invariant is broken")
def check_invariants(world):
    assert world.test.violations == []
