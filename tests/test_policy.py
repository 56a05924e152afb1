"""Tests of policy settings, retries, quarantine, estimates and admission."""

import pytest

from quetzalswitch import clock as clocks
from quetzalswitch import estimates
from quetzalswitch import exceptions
from quetzalswitch import policy as policies
from quetzalswitch import quarantine
from quetzalswitch import records
from quetzalswitch import retries


@pytest.mark.parametrize(
    "overlay",
    [
        {"quarantine_jobs": 1},
        {"no_such": 1},
        {"reclaim": 1},
        {"hold_max_s": -1},
    ],
)
def test_refuses_settings_that_sites_may_not_change(overlay):
    """Guards against overlays with misspelt names or changed safety limits."""
    with pytest.raises(exceptions.SettingsError):
        policies.make_policy(overlay)


def test_accepts_whole_numbers_for_seconds():
    """Guards against refusing 10 for 10.0, as settings files write it."""
    policy = policies.make_policy({"hold_max_s": 10, "share_return_s": None})
    assert (policy.hold_max_s, policy.share_return_s) == (10, None)


def test_retry_budget_bounds_retries():
    """Guards against retry storms.

    The budget is a tenth of the first attempts plus ten initial retries.
    """
    table = retries.Retries(clocks.ManualClock(), seed=1)
    for _ in range(100):
        table.record_first_attempt()
    allowed = sum(table.next_delay_s(1) is not None for _ in range(100))
    assert allowed == 20


def test_retry_delay_grows_to_its_cap_and_respects_the_deadline():
    """Guards against delays beyond the cap and retries after the deadline."""
    clock = clocks.ManualClock()
    table = retries.Retries(clock, seed=1)
    assert 0.0 <= table.next_delay_s(1) <= 0.1
    assert 0.0 <= table.next_delay_s(40) <= 5.0
    tokens = table.tokens
    assert table.next_delay_s(40, clock.now()) is None
    assert table.tokens == tokens


def test_retry_options_and_counts_are_those_of_the_site():
    """Guards against ignored retry options and uncounted denied retries."""
    options = retries.Options(ratio=0.5, start=1, base_s=1.0, cap_s=1.0)
    table = retries.Retries(clocks.ManualClock(), seed=1, options=options)
    assert table.next_delay_s(9) <= 1.0
    assert table.next_delay_s(1) is None
    table.record_first_attempt()
    assert table.tokens == 0.5
    assert (table.made, table.denied) == (1, 1)


def test_deadline_is_converted_between_clocks():
    """Guards against comparing the clocks of two machines."""
    here, there = clocks.ManualClock(10.0), clocks.ManualClock(900.0)
    left_s = retries.remaining_s(here, 15.0)
    assert retries.local_deadline_s(there, left_s) == 905.0


def test_one_bad_job_does_not_quarantine_a_target():
    """Guards against quarantine caused by one repeatedly failing job."""
    table = quarantine.Quarantine(clocks.ManualClock(), policies.Policy())
    for _ in range(5):
        table.record_failure("t1", "a")
    assert table.probe_s("t1") is None


def test_probe_waits_double_up_to_the_cap():
    """Guards against probing a broken target too often or never again."""
    clock = clocks.ManualClock(0.0)
    table = quarantine.Quarantine(clock, policies.Policy())
    for job in "abc":
        table.record_failure("t1", job)
    waits = []
    for _ in range(8):
        waits.append(table.probe_s("t1") - clock.now())
        table.record_failure("t1", "d")
    assert waits == [1.0, 2.0, 4.0, 8.0, 16.0, 32.0, 60.0, 60.0]
    assert table.record_success("t1", "d")
    assert table.probe_s("t1") is None


def test_job_is_abandoned_after_three_healthy_targets():
    """Guards against retrying a job forever that can't succeed.

    Failures on a quarantined target must not count against the job.
    """
    table = quarantine.Quarantine(clocks.ManualClock(), policies.Policy())
    for job in "abc":
        table.record_failure("bad", job)
    assert table.record_failure("bad", "x") is quarantine.Verdict.RETRY
    assert table.record_failure("t1", "x") is quarantine.Verdict.RETRY
    assert table.record_failure("t2", "x") is quarantine.Verdict.RETRY
    assert table.record_failure("t3", "x") is quarantine.Verdict.ABANDON


def test_size_grows_with_a_bound_and_run_times_follow_what_was_seen():
    """Guards against the effects of wrong usage reports and declarations.

    One wrong usage report must not make a queue unplaceable, and estimates
    must not follow declared run times that are far off.
    """
    table = estimates.Estimates(policies.Policy(estimate_samples=5))
    size = records.Resources(2.0, 1024, 0)
    request = records.Request(
        "a", "red", "q", records.Batch(), size, run_time_s=10.0
    )
    for _ in range(6):
        table.record_size(request, records.Resources(2.4, 10**9, 0))
        table.record_run_time(request, 40.0)
    largest = records.Resources(16.0, 65_536, 0)
    grown = table.size(request, largest)
    assert grown.cores == pytest.approx(2.88)
    assert grown.memory_mb == 4096
    assert table.run_time_s(request) == pytest.approx(40.0)


def test_tasks_that_use_their_allocation_keep_their_declared_size():
    """Guards against allocations that grow by the margin on every run.

    In a soak test, tasks that used exactly their allocation ended up with
    whole targets allocated for one declared core.
    """
    learned = estimates.Estimates(policies.Policy())
    request = records.Request(
        "r", "t", "q", records.Batch(), records.Resources(1.0, 512, 0)
    )
    largest = records.Resources(64.0, 131072, 0)
    for _ in range(200):
        learned.record_size(request, learned.size(request, largest))
    assert learned.size(request, largest) == request.size
