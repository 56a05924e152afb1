"""Tests of the expected room on targets."""

import decider_stage
from quetzalswitch.decision import availability
from quetzalswitch.decision import placement


def _start(cluster, job_id, target_id, cpu=4000, estimate_ms=1000.0, **fields):
    """Starts a task on a target; returns its run."""
    step = decider_stage.make_step(cpu=cpu, estimate_ms=estimate_ms, **fields)
    job = cluster.add_job(job_id, [step])
    (stage,) = job.stages.values()
    decider = cluster.decider
    target = decider.targets[target_id]
    number = decider.next_run_number()
    decider.start(stage, 0, number, target, "", cluster.clock.now())
    decider.ready.pop(stage.sort_key)
    (run,) = decider.collect_commands().starts
    cluster.confirm_start(run)
    return run


def _plan(cluster, count, cpu=4000, is_preemptible=None, kept=()):
    step = decider_stage.make_step(count=count, cpu=cpu, gang=True)
    job = cluster.add_job(f"f{count}", [step])
    (stage,) = job.stages.values()
    stage.kept_targets = frozenset(kept)
    now_s = cluster.clock.now()
    room = availability.Availability(now_s, placement.RemainingCapacity())
    targets = cluster.decider.targets.values()
    plan = room.plan_gang(stage, targets, is_preemptible)
    if plan is None:
        return None, None
    return plan, round(plan.expected_s - now_s, 6)


def test_gang_waits_for_the_slots_that_become_free_first():
    """Guards against a gang that waits for the emptiest targets' last runs."""
    cluster = decider_stage.SimulatedCluster(targets=3)
    _start(cluster, "1", "i-0", cpu=1000, estimate_ms=9000.0)
    _start(cluster, "2", "i-1", cpu=4000, estimate_ms=2000.0)
    _start(cluster, "3", "i-2", cpu=4000, estimate_ms=3000.0)
    plan, wait_s = _plan(cluster, count=2)
    assert {target.id for target in plan.targets} == {"i-1", "i-2"}
    assert wait_s == 3.0


def test_gang_uses_the_free_part_of_a_target():
    """Guards against plans that wait for targets to become empty."""
    cluster = decider_stage.SimulatedCluster(targets=2)
    _start(cluster, "1", "i-0", cpu=1000, estimate_ms=9000.0)
    assert _plan(cluster, count=6, cpu=1300)[1] == 9.0
    assert _plan(cluster, count=5, cpu=1300)[1] == 0.0


def test_gang_that_does_not_fit_on_empty_targets_has_no_plan():
    """Guards against capacity that is held for a gang that can't start."""
    cluster = decider_stage.SimulatedCluster(targets=2)
    assert _plan(cluster, count=3) == (None, None)


def test_runs_are_stopped_only_as_far_as_the_plan_needs_it():
    """Guards against runs that are stopped on targets the gang doesn't use."""
    cluster = decider_stage.SimulatedCluster(targets=2)
    runs = [
        _start(cluster, f"{n + 1}", "i-0", cpu=2000, estimate_ms=9000.0)
        for n in range(2)
    ]
    other = _start(cluster, "3", "i-1", cpu=1000, estimate_ms=9000.0)
    plan, wait_s = _plan(
        cluster, count=2, cpu=2000, is_preemptible=lambda run: True
    )
    assert wait_s == availability.STOP_S
    assert len(plan.stops) == 1
    assert plan.stops[0] in [*runs, other]


def test_kept_targets_are_preferred_to_slightly_earlier_ones():
    """Guards against a gang that waits elsewhere after each pass."""
    cluster = decider_stage.SimulatedCluster(targets=2)
    _start(cluster, "1", "i-0", estimate_ms=2000.0)
    _start(cluster, "2", "i-1", estimate_ms=2100.0)
    plan, _ = _plan(cluster, count=1, kept=["i-1"])
    assert [target.id for target in plan.targets] == ["i-1"]


def test_estimates_bear_absurd_values():
    """Guards against plans by run times and progress that can't be right."""
    cluster = decider_stage.SimulatedCluster(targets=1)
    run = _start(cluster, "1", "i-0", estimate_ms=0.0)
    now_s = cluster.clock.now()
    for estimate_ms in (0.0, 1.0, 1e18):
        run.stage.step = run.stage.step._replace(estimate_ms=estimate_ms)
        for percent in (-5, 0, 9, 10, 100, 10**9):
            run.percent = percent
            for later_s in (0.0, 5.0, 1e6):
                remaining_s = availability.estimate_remaining_s(
                    run, now_s + later_s
                )
                assert (
                    availability.REMAINING_MIN_S
                    <= remaining_s
                    <= availability.REMAINING_MAX_S
                )


def test_progress_corrects_a_wrong_declared_run_time():
    """Guards against trust in a declared time that progress contradicts."""
    cluster = decider_stage.SimulatedCluster(targets=1)
    run = _start(cluster, "1", "i-0", estimate_ms=1000.0)
    run.percent = 50
    now_s = cluster.clock.now() + 4.0
    assert 2.0 < availability.estimate_remaining_s(run, now_s) < 3.0


def test_overdue_run_is_expected_to_last():
    """Guards against a gang that renews its tickets for a run without end."""
    cluster = decider_stage.SimulatedCluster(targets=1)
    run = _start(cluster, "1", "i-0", estimate_ms=1000.0)
    now_s = cluster.clock.now() + 5.0
    assert availability.estimate_remaining_s(run, now_s) == 4.0
