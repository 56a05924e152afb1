"""Tests of runs that take far longer than their kind on uneven targets."""

import pytest

import decider_stage
from quetzalswitch.acceptance import catalogue
from quetzalswitch.decision import decider as deciders
from quetzalswitch.decision import stragglers
from quetzalswitch.execution import protocol

SITUATION = stragglers.Situation(
    elapsed_s=10.0,
    usual_s=2.0,
    percent=30,
    slowdown=0.4,
    speculative=False,
    copies_count=0,
    saved=True,
    stops_count=0,
)


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({}, stragglers.Move),
        ({"speculative": True}, stragglers.Copy),
        ({"speculative": True, "saved": False}, stragglers.Copy),
        ({"speculative": True, "copies_count": 1}, stragglers.Leave),
        ({"saved": False}, stragglers.Leave),
        ({"stops_count": 1}, stragglers.Leave),
        ({"usual_s": None}, stragglers.Leave),
        ({"usual_s": 5.0}, stragglers.Leave),
        ({"slowdown": 1.0}, stragglers.Leave),
        ({"percent": 90}, stragglers.Leave),
        ({"percent": 0}, stragglers.Leave),
        ({"percent": -7}, stragglers.Leave),
        ({"percent": 100}, stragglers.Leave),
        ({"percent": 10**9}, stragglers.Leave),
        (
            {"percent": 80, "speculative": True, "saved": False},
            stragglers.Leave,
        ),
    ],
)
def test_each_situation_has_a_decision(changes, expected):
    decision = stragglers.decide(SITUATION._replace(**changes))
    assert isinstance(decision, expected)


def make_cluster(uneven=True, limit=None, **step):
    """Returns a cluster where one slow task of a step is left, and its run.

    The usual task of the step takes 1 s; this one has had 8 s for 30%.
    """
    cluster = decider_stage.SimulatedCluster(4, limit=limit)
    cluster.speed = {"i-0": 0.6, "i-1": 0.6, "i-2": 1.6, "i-3": 1.6}
    decider_stage.set_speeds(cluster.decider, cluster.speed, uneven)
    step = decider_stage.make_step(4, max_per_target=1, **step)
    job = cluster.add_job("a", [step])
    runs = {run.target_id: run for run in cluster.start_tasks()}
    assert len(runs) == 4
    cluster.advance_time(1.0)
    for target_id in ("i-1", "i-2", "i-3"):
        cluster.end_run(runs[target_id])
    cluster.renew_all_leases()
    slow = runs["i-0"]
    saved = "saved" if step.checkpointing else ""
    for percent in (10, 20, 30):
        cluster.running["i-0"][slow.task, slow.number] = [saved, percent]
        cluster.advance_time(1.0)
    cluster.advance_time(4.0)
    return cluster, job, slow


def test_a_speculative_task_gets_one_copy_and_the_first_end_counts():
    """Load: the last task of a step works on a slow target."""
    cluster, job, slow = make_cluster(speculative=True)
    (copy,) = cluster.start_tasks()
    assert copy.task == slow.task
    assert copy.number > slow.number
    assert cluster.speed[copy.target_id] == 1.6
    cluster.advance_time(2.0)
    assert not cluster.start_tasks()
    cluster.end_run(copy)
    cluster.renew_lease(copy.target_id)
    assert job.phase.value == "completed"
    stops = cluster.schedule().stops
    assert (slow.task, slow.number) in [(s.task, s.run) for s in stops]
    assert any(
        '"straggler"' in line for line in decider_stage.read_log(cluster.log)
    )


def test_a_failed_copy_leaves_the_first_run_alone():
    """Failure: the copy fails; the first run goes on, and nothing is lost."""
    cluster, job, slow = make_cluster(speculative=True)
    (copy,) = cluster.start_tasks()
    cluster.end_run(copy, protocol.EndReason.FAILED)
    cluster.renew_lease(copy.target_id)
    assert job.phase.value == "running"
    assert job.stages[0, 0].runs[slow.index] == [slow]
    cluster.end_run(slow)
    cluster.renew_lease("i-0")
    assert job.phase.value == "completed"


def test_a_saving_task_is_stopped_and_starts_only_after_its_end():
    """There are never two runs of a task that isn't speculative."""
    cluster, job, slow = make_cluster(checkpointing=True)
    commands = cluster.schedule()
    assert [(s.task, s.run) for s in commands.stops] == [
        (slow.task, slow.number)
    ]
    assert not commands.starts
    for _ in range(6):
        # The target doesn't answer the stop: it is still at work there.
        cluster.advance_time(0.5)
        assert not cluster.start_tasks()
    cluster.end_run(slow, protocol.EndReason.STOPPED, "saved")
    cluster.renew_lease("i-0")
    # It is late by now, so the first pass lowers its priority.
    (resumed,) = cluster.start_tasks() or cluster.start_tasks()
    assert resumed.checkpoint == "saved"
    assert cluster.speed[resumed.target_id] == 1.6
    cluster.end_run(resumed)
    cluster.renew_lease(resumed.target_id)
    assert job.phase.value == "completed"


def test_an_end_that_crosses_the_stop_counts():
    """Failure: the run ends done before the stop reaches it."""
    cluster, job, slow = make_cluster(checkpointing=True)
    assert cluster.schedule().stops
    cluster.end_run(slow)
    cluster.renew_lease("i-0")
    assert job.phase.value == "completed"
    assert not cluster.start_tasks()


def test_a_task_that_saves_nothing_goes_on():
    cluster, _, _ = make_cluster()
    commands = cluster.schedule()
    assert not commands.starts
    assert not commands.stops


def test_nothing_changes_while_targets_are_alike():
    """Earlier users' work is neither copied nor moved."""
    for step in ({"speculative": True}, {"checkpointing": True}):
        cluster, _, _ = make_cluster(uneven=False, **step)
        commands = cluster.schedule()
        assert not commands.starts
        assert not commands.stops


def test_a_copy_keeps_to_the_limit_of_its_team():
    cluster, _, _ = make_cluster(
        speculative=True, limit=catalogue.Resources(4000, 0, 0)
    )
    cluster.configure(catalogue.Resources(1000, 0, 0))
    assert not cluster.start_tasks()


def test_a_new_leader_keeps_one_of_two_runs():
    """Failure: the leader is replaced while a copy runs."""
    cluster, _, slow = make_cluster(speculative=True)
    cluster.start_tasks()
    cluster.decider = deciders.Decider(2, cluster.log)
    cluster.decider.reconciled = True
    cluster.token = 2 << 20
    cluster.configure()
    cluster.last_seen_end.clear()
    step = decider_stage.make_step(4, max_per_target=1, speculative=True)
    cluster.add_job("a", [step], inherited=True)
    for number in range(4):
        cluster.add_target(f"i-{number}")
    commands = cluster.schedule()
    assert [stop.task for stop in commands.stops] == [slow.task]
    assert slow.task not in [run.task for run in commands.starts]
