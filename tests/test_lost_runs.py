"""Tests of the stored list of runs that may have ended with a crash."""

import pytest

import decider_stage
from quetzalswitch.decision import crashes
from quetzalswitch.execution import protocol
from quetzalswitch.execution import tenure as tenures
from quetzalswitch.recovery import lost_runs
from quetzalswitch.recovery import progress
from quetzalswitch.recovery import tables


class _Terms:
    """Two successive leaders; the first has a run on a silent target."""

    def __init__(self):
        self.first = decider_stage.SimulatedCluster(targets=1)
        self.job = self.first.add_job("1", [decider_stage.make_step()])
        (self.run,) = self.first.start_tasks()
        self.target = self.first.decider.targets["i-0"]

    def fall_silent(self):
        now_s = self.first.clock.now()
        self.target.mark_silent(now_s, now_s)
        self.first.clock.advance(crashes.PRESUMED_AFTER_S + 0.1)
        crashes.presume_silent(self.first.decider, self.first.clock.now())

    def take_over(self, targets=1, boot_ms=1):
        """Returns the second leader's state of the job."""
        data = lost_runs.encode(self.first.decider)
        second = decider_stage.SimulatedCluster(0, epoch=2)
        job = second.add_job("1", [decider_stage.make_step()], inherited=True)
        if targets:
            second.register("i-0")
        lost_runs.restore(second.decider, data, second.clock.now())
        if targets:
            second.renew_lease("i-0", boot_ms=boot_ms)
        return job


@pytest.fixture(name="terms")
def _terms():
    return _Terms()


def test_crash_is_counted_by_the_next_leader(terms):
    """Guards against a crash that only a killed leader knew of."""
    terms.fall_silent()
    job = terms.take_over(boot_ms=2)
    weights = {terms.run.number: crashes.ALONE_WEIGHT}
    assert job.stages[0, 0].crashes == {0: weights}


def test_target_that_answers_the_next_leader_has_not_crashed(terms):
    """Guards against blaming tasks for a network fault that has ended."""
    terms.fall_silent()
    assert terms.take_over(boot_ms=1).stages[0, 0].crashes == {}


def test_target_that_the_next_leader_does_not_know_is_gone(terms):
    """Guards against runs that stay listed for ever."""
    terms.fall_silent()
    job = terms.take_over(targets=0)
    weights = {terms.run.number: crashes.SHARED_WEIGHT}
    assert job.stages[0, 0].crashes == {0: weights}


def test_run_of_a_suspect_is_listed_while_its_target_answers(terms):
    """Guards against missing a crash between two leaders."""
    assert lost_runs.encode(terms.first.decider) == b""
    terms.first.end_run(terms.run, protocol.EndReason.STOPPED)
    terms.first.renew_lease("i-0")
    terms.job.stages[0, 0].crashes = {0: {1: crashes.SHARED_WEIGHT}}
    (terms.run,) = terms.first.start_tasks()
    job = terms.take_over(boot_ms=2)
    assert terms.run.number in job.stages[0, 0].crashes[0]


def test_stored_suspect_is_not_taken_to_be_alone_on_its_target(terms):
    """Guards against failing a job for runs that no stored list names.

    Without the store, a leader starts further tasks that the next one can't
    know of, and the listed run may have ended.
    """
    terms.first.end_run(terms.run, protocol.EndReason.STOPPED)
    terms.first.renew_lease("i-0")
    terms.job.stages[0, 0].crashes = {0: {1: crashes.SHARED_WEIGHT}}
    (terms.run,) = terms.first.start_tasks()
    job = terms.take_over(boot_ms=2)
    weights = job.stages[0, 0].crashes[0]
    assert weights[terms.run.number] == crashes.SHARED_WEIGHT


def test_list_is_the_same_after_a_leader_that_learned_nothing(terms):
    """Guards against a list that gains certainty with each leader."""
    terms.job.stages[0, 0].crashes = {0: {1: crashes.SHARED_WEIGHT}}
    terms.first.decider.suspect_runs.add(terms.run)
    data = lost_runs.encode(terms.first.decider)
    second = decider_stage.SimulatedCluster(0, epoch=2)
    second.add_job("1", [decider_stage.make_step()], inherited=True)
    second.register("i-0")
    lost_runs.restore(second.decider, data, second.clock.now())
    assert lost_runs.encode(second.decider) == data


def test_start_in_flight_is_not_listed(terms):
    """Guards against suspecting tasks that the target never started."""
    other = terms.first.add_job("2", [decider_stage.make_step()])
    (run,) = terms.first.schedule().starts
    terms.fall_silent()
    terms.first.decider.handle_start_rejected(run, "connection refused", 1.0)
    (loss,) = terms.first.decider.crash_history.losses.values()
    assert loss.concerns(terms.job.stages[0, 0], 0)
    assert not loss.concerns(other.stages[0, 0], 0)


def test_list_is_bounded_and_keeps_suspects():
    """Guards against a row that exceeds what the store accepts."""
    cluster = decider_stage.SimulatedCluster(targets=30, cpu=70_000)
    cluster.add_job("1", [decider_stage.make_step(count=1500)])
    assert len(cluster.start_tasks()) == 1500
    suspect = cluster.add_job("2", [decider_stage.make_step()])
    suspect.stages[0, 0].crashes = {0: {1: crashes.SHARED_WEIGHT}}
    (run,) = cluster.start_tasks()
    for target in cluster.decider.targets.values():
        target.mark_silent(cluster.clock.now(), cluster.clock.now())
    cluster.clock.advance(1.0)
    crashes.presume_silent(cluster.decider, cluster.clock.now())
    data = lost_runs.encode(cluster.decider)
    assert run.task.encode() in data
    assert len(data) < 65536


def test_list_that_has_become_empty_is_stored(terms):
    """Guards against runs that each later leader counts again."""
    written = []

    class _Store:
        def transact(self, part, puts, conditions, removals, timeout_s):
            written.append({put.key: put.value for put in puts})
            return 1

    terms.fall_silent()
    data = lost_runs.encode(terms.first.decider)
    writer = progress.ProgressWriter(
        _Store(),
        terms.first.log,
        {},
        1,
        0,
        lambda batch: None,
        lambda reason: None,
        "nonce",
        terms.first.clock,
        tenures.Tenure(terms.first.clock),
        {tables.LOST_RUNS_KEY: data},
    )
    writer.set_list(tables.LOST_RUNS_KEY, data)
    assert not writer.wake.is_set()
    writer.set_list(tables.LOST_RUNS_KEY, b"")
    assert writer._write_batch()
    assert written[0][tables.LOST_RUNS_KEY] == b""
