"""Property-based tests of the scheduler with random requests and faults."""

import hypothesis
import pytest
from hypothesis import strategies

from quetzalswitch import clock as clocks
from quetzalswitch import configuration as configurations
from quetzalswitch import decisions
from quetzalswitch import driver
from quetzalswitch import exceptions
from quetzalswitch import policy as policies
from quetzalswitch import records
from quetzalswitch import scheduler
from quetzalswitch import traces

_SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=40, database=None
)
_TEAMS = ("red", "blue", "green")
_GROUPS = [
    traces.TargetGroup(2, "north", "n1", 16.0, 32_768, 0, 4),
    traces.TargetGroup(2, "south", "s1", 16.0, 32_768, 2, 4),
]
_SECONDS = strategies.integers(0, 40).map(lambda n: n / 2)
_SUBMITS = strategies.builds(
    traces.Submit,
    at_s=_SECONDS,
    id=strategies.uuids().map(str),
    team=strategies.sampled_from(_TEAMS),
    queue=strategies.sampled_from(("one", "two")),
    type=strategies.sampled_from(("latency", "batch", "gang", "service")),
    cores=strategies.sampled_from((1.0, 3.5, 8.0, 16.0)),
    memory_mb=strategies.sampled_from((512, 8_192, 30_000)),
    accelerators=strategies.sampled_from((0, 0, 0, 1)),
    declared_s=strategies.sampled_from((None, 1.0, 30.0)),
    actual_s=strategies.sampled_from((0.5, 3.0, 12.0)),
    size_ratio=strategies.sampled_from((0.3, 0.9, 1.1, 1.6)),
    tasks=strategies.integers(2, 6),
    checkpointable=strategies.booleans(),
    idempotent=strategies.booleans(),
)
_FAULTS = strategies.one_of(
    strategies.builds(
        traces.DomainOut, _SECONDS, strategies.sampled_from(("north", "south"))
    ),
    strategies.builds(
        traces.TargetFaulty, _SECONDS, strategies.sampled_from(("n1-0", "s1-1"))
    ),
    strategies.builds(
        traces.TargetLost, _SECONDS, strategies.sampled_from(("n1-1", "s1-0"))
    ),
    strategies.builds(
        traces.Allowance,
        _SECONDS,
        strategies.sampled_from(_TEAMS),
        strategies.integers(0, 16),
    ),
)


def _play(submits, faults, until_s, limit=16, **settings):
    singles = [
        event
        if event.type == "gang"
        else traces.Submit(
            **{
                name: 1 if name == "tasks" else getattr(event, name)
                for name in event.__struct_fields__
            }
        )
        for event in submits
    ]
    lost = {}
    for fault in faults:
        key = (type(fault), getattr(fault, "target", fault.at_s))
        lost.setdefault(key, fault)
    events = sorted([*singles, *lost.values()], key=lambda e: e.at_s)
    # Everything is repaired at 60 s, so that all work can end.
    for domain in ("north", "south"):
        events.append(traces.DomainBack(60.0, domain))
    for target in ("n1-0", "s1-1"):
        events.append(traces.TargetFaulty(60.0, target, False))
    for fault in lost.values():
        if isinstance(fault, traces.TargetLost):
            events.append(traces.TargetBack(60.0, fault.target))
    teams = [configurations.Team(team, 1.0, limit) for team in _TEAMS]
    header = traces.Header(traces.FORMAT, "random", _GROUPS, teams)
    policy = policies.Policy(**settings)
    test = driver.Driver(
        traces.Trace(header, events),
        lambda clock: scheduler.Scheduler(clock, policy, "e1"),
    )
    for team in _TEAMS:
        test.at(
            60.0, lambda team=team: test.play(traces.Allowance(60, team, 16))
        )
    test.run(until_s)
    return test


@_SETTINGS
@hypothesis.given(
    strategies.lists(_SUBMITS, max_size=40),
    strategies.lists(_FAULTS, max_size=5),
    strategies.booleans(),
    strategies.integers(1, 16),
)
def test_keeps_invariants(submits, faults, reclaim, limit):
    """Guards against violated invariants, as counted by the simulated targets.

    These are overcommit, starts above an allowance or in an out-of-service
    domain, partial gangs, duplicate runs and preempted non-idempotent work.
    """
    test = _play(
        submits, faults, 70.0, limit, reclaim=reclaim, estimate_samples=3,
        hold_after_s=2.0, batch_max_wait_s=10.0, share_return_s=4.0,
    )  # fmt: skip
    assert test.violations == []


@_SETTINGS
@hypothesis.given(
    strategies.lists(_SUBMITS, max_size=30),
    strategies.lists(_FAULTS, max_size=4),
)
def test_loses_no_request(submits, faults):
    """Guards against lost requests.

    After all faults are repaired, each request has ended, waits or runs, and
    the scheduler reports the same state.
    """
    test = _play(submits, faults, 70.0)
    waiting = sum(job.state == "queued" for job in test.jobs.values())
    assert waiting == test.scheduler.queued() + sum(
        "delay" in test.scheduler.explain(key)
        for key, job in test.jobs.items()
        if job.state == "queued"
    )
    for key, job in test.jobs.items():
        explanation = test.scheduler.explain(key)
        if job.state == "running":
            assert explanation.startswith(
                ("running on", "waits", "no free capacity")
            )
        elif job.state != "queued":
            assert explanation == "not known here"


@_SETTINGS
@hypothesis.given(
    strategies.lists(_SUBMITS, max_size=25),
    strategies.lists(_FAULTS, max_size=3),
)
def test_patient_work_waits_a_bounded_time(submits, faults):
    """Guards against starvation of batch requests and gangs.

    Once faults are repaired, all of them end within the time that the work
    would take in sequence. Services are excluded, since they never end.
    """
    chosen = [e for e in submits if e.type != "service"]
    test = _play(chosen, faults, 70.0, hold_after_s=2.0)
    until_s = 70.0
    # Stops early only when every job has ended.
    while until_s < 900.0 and any(
        job.ended_s is None for job in test.jobs.values()
    ):
        until_s += 20.0
        test.run(until_s)
    unfinished = {
        key: test.scheduler.explain(key)
        for key, job in test.jobs.items()
        if job.state in ("queued", "running")
    }
    assert unfinished == {}


def _make(**settings):
    clock = clocks.ManualClock()
    test = scheduler.Scheduler(clock, policies.Policy(**settings), "e1")
    test.set_allowance("red", 100)
    return clock, test


def _target(number=1, slots=4, domain="north"):
    return records.Target(
        f"t{number}", "127.0.0.1:1", domain, "r1",
        records.Resources(16.0, 32_768, 0), slots,
    )  # fmt: skip


def _request(name, cores=4.0, kind=None, **fields):
    kind = kind or records.Batch()
    size = records.Resources(cores, 1024, 0)
    return records.Request(name, "red", "q", kind, size, **fields)


def test_counts_adopted_attempts_against_room_and_allowance():
    """Guards against overcommit after adopting a target with tasks."""
    _, test = _make()
    test.set_allowance("red", 3)
    size = records.Resources(4.0, 1024, 0)
    running = [
        records.Attempt(f"old{n}", f"red/o{n}", "red", "t1", size, "e1")
        for n in range(2)
    ]
    test.add_target(_target(), running)
    for number in range(4):
        test.submit(_request(f"r{number}"))
    assert len(test.decide(10)) == 1
    test.attempt_ended("old0", "finished")
    assert len(test.decide(10)) == 1


def test_keeps_attempts_of_a_lost_target_charged():
    """Guards against starts above the limit after a target is lost.

    Tasks on the lost target may still run until their leases expire.
    """
    _, test = _make()
    test.set_allowance("red", 1)
    test.add_target(_target(1), [])
    test.submit(_request("a"))
    attempt = test.decide(10)[0].attempts[0]
    test.remove_target("t1")
    test.add_target(_target(2), [])
    test.submit(_request("b"))
    assert test.decide(10) == []
    test.attempt_ended(attempt.attempt_id, "lost")
    assert len(test.decide(10)) == 1


def test_starts_nothing_without_an_allowance():
    """Guards against starts of a team without any allowance."""
    clock = clocks.ManualClock()
    test = scheduler.Scheduler(clock, policies.Policy(), "e1")
    test.add_target(_target(), [])
    test.submit(_request("a"))
    assert test.decide(10) == []
    assert "allowance of 0" in test.explain("red/a")


def test_does_not_start_a_request_that_still_runs():
    """Guards against duplicate runs of a request requeued too early."""
    _, test = _make()
    test.add_target(_target(), [])
    request = _request("a")
    test.submit(request)
    attempt = test.decide(10)[0].attempts[0]
    test.requeue(request)
    assert test.decide(10) == []
    test.attempt_ended(attempt.attempt_id, "preempted")
    assert len(test.decide(10)) == 1


def test_requeues_only_what_may_run_again():
    """Guards against a second run of non-idempotent work after a loss."""
    _, test = _make()
    test.add_target(_target(), [])
    test.submit(_request("a", idempotent=False))
    attempt = test.decide(10)[0].attempts[0]
    verdict = test.attempt_ended(attempt.attempt_id, "lost")
    assert verdict is scheduler.Verdict.ABANDON
    test.submit(_request("b", idempotent=False))
    attempt = test.decide(10)[0].attempts[0]
    assert test.not_started(attempt.attempt_id) is scheduler.Verdict.RETRY


def test_never_fits_considers_the_targets_of_other_entries():
    """Guards against refusing a request that fits another entry's target."""
    _, test = _make()
    test.add_target(_target(), [])
    with pytest.raises(exceptions.RequestError) as raised:
        test.submit(_request("a", cores=20.0))
    assert raised.value.kind is exceptions.ErrorKind.NEVER_FITS
    large = _target(9)._replace(capacity=records.Resources(32.0, 65_536, 0))
    test.observe_fleet([large])
    test.submit(_request("a", cores=20.0))
    assert test.queued() == 1


def test_starts_nothing_on_a_leaving_target():
    """Guards against new work on a target that is leaving."""
    _, test = _make()
    test.add_target(_target(), [])
    test.update_target("t1", True)
    test.submit(_request("a"))
    assert test.decide(10) == []
    test.update_target("t1", False)
    assert len(test.decide(10)) == 1


def test_reclaims_only_where_the_policy_allows():
    """Guards against allocating less than declared by default."""
    for reclaim, expected in ((False, 4.0), (True, 2.4)):
        _, test = _make(reclaim=reclaim, estimate_samples=3)
        test.add_target(_target(), [])
        for number in range(4):
            test.submit(_request(f"r{number}"))
            attempt = test.decide(1)[0].attempts[0]
            used = records.Resources(2.0, 512, 0)
            test.report_usage(attempt.attempt_id, used, 0.0)
            test.attempt_ended(attempt.attempt_id, "finished")
        test.submit(_request("last"))
        size = test.decide(1)[0].attempts[0].size
        assert size.cores == pytest.approx(expected)


def test_cancelling_does_not_touch_running_work():
    """Guards against reporting a running request as cancelled."""
    _, test = _make()
    test.add_target(_target(slots=1), [])
    test.submit(_request("a"))
    test.submit(_request("b"))
    test.decide(10)
    assert not test.cancel("red/a")
    assert test.cancel("red/b")
    assert not test.cancel("red/b")
    assert test.queued("red") == 0


def test_stops_a_task_that_needs_more_memory_than_any_target_has():
    """Guards against a request that waits forever for too much memory.

    A task that used 48,000 MB was requeued with a minimum size above the
    memory of every target.
    """
    _, test = _make()
    test.add_target(_target(), [])
    test.submit(_request("a"))
    attempt = test.decide(10)[0].attempts[0]
    used = records.Resources(1.0, 48_000, 0)
    test.report_usage(attempt.attempt_id, used, 0.0)
    (decision,) = test.decide(10)
    assert isinstance(decision, decisions.Stop)
