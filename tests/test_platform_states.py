"""Tests of the states that callers read while ends are being reported."""

import types

import gevent
import gevent.event
import pytest

import decider_stage
from quetzalswitch import clock as clocks
from quetzalswitch import nodelog
from quetzalswitch import nodemetrics
from quetzalswitch.decision import jobs
from quetzalswitch.execution import protocol
from quetzalswitch.recovery import election
from quetzalswitch.recovery import job_states
from quetzalswitch.recovery import leadership as leaderships


class _LeadershipHarness:
    """A leadership whose decider has one target; no store and no network."""

    def __init__(self):
        self.refreshed = []
        self.clock = clocks.ManualClock()
        log = nodelog.NodeLog(self.clock)
        self.leadership = leaderships.Leadership(
            election.Claim(1, 1),
            None,
            self.clock,
            log,
            nodemetrics.NodeMetrics(log),
            5.0,
            "nonce",
            None,
            None,
            None,
            lambda: self.refreshed.append(self.leadership.ready),
            lambda: False,
        )
        self.leadership.ready = True
        self.leadership._writer = types.SimpleNamespace(
            wake=gevent.event.Event(), is_list_stored=lambda key: True
        )
        self.cluster = decider_stage.SimulatedCluster(targets=1)
        self.leadership.decider = self.cluster.decider
        self.leadership._inheritance._decider = self.cluster.decider
        self.leadership._roster._decider = self.cluster.decider
        self.job = self.cluster.add_job("1", [decider_stage.make_step()])

    def ask(self):
        """Returns a greenlet in which a caller reads the state."""
        reader = gevent.spawn(self.leadership.read_phase, self.job.id)
        gevent.sleep(0)
        return reader

    def end(self):
        self.cluster.end_run(self.run)
        self.cluster.renew_all_leases()
        self.leadership._handle_changes(True)

    def store(self):
        self.leadership._handle_stored([(self.job, self.job.revision)])

    def start(self):
        (self.run,) = self.cluster.start_tasks()


@pytest.fixture(name="serving")
def _serving(monkeypatch):
    monkeypatch.setattr(job_states, "PENDING_END_WAIT_S", 3600)
    monkeypatch.setattr(job_states, "STORE_WAIT_S", 3600)
    return _LeadershipHarness()


def test_pending_end_is_in_the_answer(serving):
    """Guards against callers that see a completion only at their next poll.

    On ergyalo-sched quiet-1, half of the callers polled within some 20 ms of
    the last end, got "running" and polled again 0.24 s later.
    """
    serving.start()
    reader = serving.ask()
    serving.end()
    gevent.sleep(0)
    assert not reader.ready()
    serving.store()
    assert reader.get(timeout=20) is jobs.Phase.COMPLETED


def test_end_that_is_being_stored_is_waited_for(serving):
    """Guards against "running" for a job whose end is being stored."""
    serving.start()
    serving.end()
    reader = serving.ask()
    assert not reader.ready()
    serving.store()
    assert reader.get(timeout=20) is jobs.Phase.COMPLETED


def test_state_of_queued_work_is_returned_at_once(serving):
    """Guards against queries that wait for ends although nothing runs."""
    assert serving.leadership.read_phase(serving.job.id) is jobs.Phase.QUEUED
    assert serving.leadership.read_phase("f" * 16) is None


def test_end_that_is_not_stored_in_time_is_not_shown(serving, monkeypatch):
    """Guards against a visible completion that a new leader could undo."""
    monkeypatch.setattr(job_states, "STORE_WAIT_S", 0.001)
    serving.start()
    serving.end()
    assert serving.leadership.read_phase(serving.job.id) is jobs.Phase.RUNNING


def test_target_whose_ends_are_being_stored_is_asked_again(serving):
    """Guards against an end that is read only after another one is stored."""
    looked = []
    serving.leadership._sessions = {
        "i-0": types.SimpleNamespace(
            request_poll=lambda: looked.append("i-0"),
            stored=gevent.event.Event(),
        )
    }
    serving.start()
    reader = serving.ask()
    assert looked == ["i-0"]
    serving.cluster.end_run(serving.run, protocol.EndReason.DONE)
    serving.cluster.renew_all_leases()
    serving.leadership._handle_changes(True)
    serving.store()
    assert reader.get(timeout=20) is jobs.Phase.COMPLETED


class _Session:
    """A session with a target that never responds."""

    def __init__(self):
        self.target = types.SimpleNamespace(synced=False, registered=True)
        self.stored = gevent.event.Event()

    def leases_expire_at(self):
        return float("inf")


def test_new_leader_queries_the_previous_one(serving, monkeypatch):
    """Guards against waiting for leases when the old leader can answer."""
    monkeypatch.setattr(leaderships, "FIRST_RENEWAL_WAIT_S", 0.0)
    leadership = serving.leadership
    leadership._load = lambda: None
    leadership._inheritance.targets = {"i-9"}
    leadership._sessions["i-9"] = _Session()
    leadership._fetch_previous_runs = dict
    serving.cluster.decider.reconciled = False
    leadership.start()
    with gevent.Timeout(20):
        while not serving.cluster.decider.reconciled:
            gevent.sleep(0)
    gevent.killall([g for g in leadership._greenlets if not g.dead])


class _EmptyStore:
    def read(self, table, part, tries):
        return [], 1


def test_new_leader_reads_the_configuration_before_it_decides(serving):
    """Guards against starts by a configuration that was changed long before."""
    leadership = serving.leadership
    leadership.ready = False
    leadership._store = _EmptyStore()
    leadership._load()
    leadership.stop()
    assert leadership.ready
    assert serving.refreshed == [False]


def test_long_pass_is_followed_by_a_long_pause(serving, monkeypatch):
    """Guards against passes that starve commands and lease renewals of CPU."""
    paused = []
    sleep = gevent.sleep

    def _sleep(seconds=0):
        paused.append(seconds)
        sleep(0)

    leadership = serving.leadership
    leadership._load = lambda: None
    leadership.decider = types.SimpleNamespace(
        reconciled=True,
        schedule=lambda now_s: serving.clock.advance(0.5),
        collect_commands=serving.cluster.decider.collect_commands,
        changed_jobs={},
        near_waits=serving.cluster.decider.near_waits,
    )
    monkeypatch.setattr(
        leaderships.Leadership, "_tick", lambda leadership: None
    )
    monkeypatch.setattr(gevent, "sleep", _sleep)
    leadership._wake.set()
    running = gevent.spawn(leadership._run)
    for _ in range(20):
        sleep(0)
        leadership._wake.set()
    gevent.killall([running])
    assert 0.5 in paused


def test_completion_is_shown_once_it_is_stored(serving, monkeypatch):
    """Guards against a completed job that the next leader runs again.

    In an outage of the store (review/4), completions were shown that no row
    held. The leader and the target that listed the end were lost before the
    store was back.
    """
    monkeypatch.setattr(leaderships, "TICK_S", 0)
    serving.start()
    serving.end()
    serving.clock.advance(60)
    serving.leadership._writer.set_list = lambda *arguments: None
    ticking = gevent.spawn(serving.leadership._tick)
    for _ in range(3):
        gevent.sleep(0)
    ticking.kill()
    assert serving.job.phase is jobs.Phase.COMPLETED
    assert serving.job.visible_phase is jobs.Phase.RUNNING
    serving.store()
    assert serving.job.visible_phase is jobs.Phase.COMPLETED
