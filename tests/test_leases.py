"""Tests of how long leases on a target may last, across its restarts.

A simulated target obeys commands as the protocol says; calls can be carried out
late, by the next lifetime, or never answered.
"""

import typing

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies

import decider_stage
import session_stage
from quetzalswitch import exceptions
from quetzalswitch.execution import protocol
from quetzalswitch.execution import sessions

LONGEST_LEASE_S = 10.0
# At which time the clock of a lifetime starts.
FIRST_CLOCKS_MS = (350_000, 300_000, 100_000, 400_000, 20_000, 5_000)


class _Delayed(typing.NamedTuple):
    """A call that was given up by its sender and may still be carried out."""

    sent_s: float
    command: protocol.StartCommand | protocol.RenewCommand


class LeasedTarget:
    """A target that shortens and keeps leases as the protocol says.

    Attributes:
        delivery: What happens to the next calls: `answered`, `unanswered` (they
            are carried out), `delayed` (they may be carried out late) or
            `dropped`.
        runs: Tasks that are active, by run number.
    """

    def __init__(self, clock):
        self.clock = clock
        self.delivery = "answered"
        self.delayed: list[_Delayed] = []
        self.starts = 0
        self.lifetime = 0
        self.restart()

    def restart(self):
        """Begins a lifetime; its clock starts lower or higher than before."""
        self.lifetime += 1
        self.started_s = self.clock.now()
        self.first_ms = FIRST_CLOCKS_MS[self.lifetime % len(FIRST_CLOCKS_MS)]
        self.born = int(self.clock.wall() * 1000)
        self.token = 0
        self.lease_until_ms = 0
        self.runs = {}
        self.ended = []

    def read_clock(self):
        elapsed_s = self.clock.now() - self.started_s
        return self.first_ms + int(elapsed_s * 1000)

    def expire(self):
        """Ends the runs whose lease has expired."""
        if self.read_clock() > self.lease_until_ms:
            for number, task in self.runs.items():
                self.ended.append((task, number))
            self.runs = {}

    def renew_leases(self, command, timeout_s):
        self._receive(command)
        running = [
            protocol.RunningRun(task, number, "", 0, 0)
            for number, task in self.runs.items()
        ]
        ended = [
            protocol.EndedRun(
                n, task, number, protocol.EndReason.LEASE_EXPIRED, ""
            )
            for n, (task, number) in enumerate(self.ended, 1)
        ]
        ended = [end for end in ended if end.number > command.acknowledged]
        return protocol.RenewAnswer(
            self.read_clock(), self.born, running, ended
        )

    def start(self, command, timeout_s):
        rejection = self._receive(command)
        return protocol.CommandAnswer(rejection, self.read_clock())

    def stop(self, task, run, fencing_token, timeout_s):
        return protocol.CommandAnswer(None, self.read_clock())

    def close(self):
        pass

    def carry_out(self, command):
        """Obeys a command; returns the rejection of a start or None.

        Raises:
            StaleEpochError: A newer token was seen.
        """
        self.expire()
        if command.fencing_token < self.token:
            if isinstance(command, protocol.StartCommand):
                return protocol.Rejection.FENCED
            raise exceptions.StaleEpochError("stale")
        self.token = command.fencing_token
        now_ms = self.read_clock()
        if isinstance(command, protocol.StartCommand):
            if command.lease_until_ms <= now_ms:
                return protocol.Rejection.LEASE_PASSED
            self.runs[command.run] = command.task
        longest_ms = now_ms + int(LONGEST_LEASE_S * 1000)
        granted_ms = min(command.lease_until_ms, longest_ms)
        self.lease_until_ms = max(self.lease_until_ms, granted_ms)
        return None

    def _receive(self, command):
        match self.delivery:
            case "answered":
                return self.carry_out(command)
            case "unanswered":
                self.carry_out(command)
            case "delayed":
                self.delayed.append(_Delayed(self.clock.now(), command))
        raise exceptions.TransportError("no answer")


class Stage:
    """A decider, one target and the session with it."""

    def __init__(self):
        self.cluster = decider_stage.SimulatedCluster(targets=0)
        self.clock = self.cluster.clock
        self.target = LeasedTarget(self.clock)
        self.state = self.cluster.register("i-0", cpu=100_000)
        self._publish_restart()
        self.session = self._open_session()
        self.jobs = 0
        self.clock.advance(1.0)
        self.session._renew_leases(0.0)

    def _open_session(self):
        return sessions.Session(
            self.state,
            self.target,
            self.cluster.decider,
            LONGEST_LEASE_S,
            self.clock,
            self.cluster.log,
            lambda ends: None,
            lambda reason: None,
            session_stage.SteadyTenure(self.clock),
        )

    def _publish_restart(self):
        """Lists the current lifetime with the platform."""
        self.state.registration = self.state.registration._replace(
            boot_ms=self.target.born
        )

    def restart(self):
        self.target.restart()
        self._publish_restart()

    def advance(self, seconds):
        self.clock.advance(seconds)
        self.target.expire()

    def start_task(self):
        """Starts a task on the target if the decider does so now."""
        self.jobs += 1
        self.cluster.add_job(str(self.jobs), [decider_stage.make_step()])
        started = self.cluster.schedule().starts
        for run in started:
            self.session._resolve_unknown_starts = lambda: None
            self.session.send_start(run)
        return started

    def change_leader(self):
        """Replaces the leader; the old one's last calls may still be late."""
        epoch = self.cluster.decider.epoch + 1
        self.cluster = decider_stage.SimulatedCluster(
            targets=0, epoch=epoch, reconciled=True
        )
        self.cluster.clock = self.clock
        registration = self.state.registration
        self.state = self.cluster.decider.register(
            registration, self.clock.now()
        )
        self.state.recorded = True
        self.session = self._open_session()

    def check(self):
        """Checks that nothing is active that is believed to have expired."""
        now_s = self.clock.now()
        for number, task in self.target.runs.items():
            run = self.state.runs.get((task, number))
            if run is not None and run.state.name in ("UNKNOWN", "STARTING"):
                expiry_s = self.session.unanswered_starts_expire_at()
            else:
                expiry_s = self.session.leases_expire_at()
            assert expiry_s >= now_s, (task, number, expiry_s - now_s)


@pytest.fixture(name="stage")
def _stage():
    return Stage()


def test_target_that_restarted_runs_no_longer_than_expected(stage):
    """Guards against two runs after a restart: leases of the next lifetime.

    A renewal for the lifetime before reaches the next one.
    """
    stage.advance(60.0)
    stage.session._renew_leases(0.0)
    stage.target.delivery = "dropped"
    stage.advance(0.3)
    stage.session._renew_leases(0.0)
    stage.restart()
    stage.target.delivery = "answered"
    stage.advance(0.1)
    stage.session._renew_leases(0.0)
    stage.session._renew_leases(0.0)
    assert stage.start_task()
    stage.target.delivery = "dropped"
    while stage.target.runs:
        stage.check()
        stage.advance(0.25)


def test_call_for_the_lifetime_before_extends_no_lease_unnoticed(stage):
    """Guards against two runs: a renewal that the next lifetime carries out."""
    stage.advance(60.0)
    stage.session._renew_leases(0.0)
    stage.target.delivery = "delayed"
    stage.advance(0.3)
    stage.session._renew_leases(0.0)
    (late,) = stage.target.delayed
    assert late.command.lease_until_ms > 300_000
    stage.restart()
    stage.target.carry_out(late.command)
    stage.target.delivery = "answered"
    stage.advance(0.1)
    stage.session._renew_leases(0.0)
    with pytest.raises(exceptions.StaleEpochError):
        stage.target.carry_out(late.command)
    assert stage.start_task()
    stage.target.delivery = "dropped"
    while stage.target.runs:
        stage.check()
        stage.advance(0.25)


def test_next_leader_expects_leases_of_the_lifetime_before(stage):
    """Guards against two runs when a restart lies between two leaders."""
    stage.advance(60.0)
    stage.session._renew_leases(0.0)
    stage.target.delivery = "delayed"
    stage.advance(0.3)
    stage.session._renew_leases(0.0)
    (late,) = stage.target.delayed
    stage.restart()
    stage.target.carry_out(late.command)
    stage.advance(0.1)
    stage.change_leader()
    stage.target.delivery = "answered"
    stage.session._renew_leases(0.0)
    assert stage.start_task()
    stage.target.delivery = "dropped"
    while stage.target.runs:
        stage.check()
        stage.advance(0.25)


def test_start_that_a_new_lifetime_answered_is_expected_to_last(stage):
    """Guards against two runs: a start that met a restarted target."""
    stage.advance(60.0)
    stage.session._renew_leases(0.0)
    stage.restart()
    stage.advance(0.1)
    assert stage.start_task()
    assert stage.target.runs
    stage.target.delivery = "dropped"
    while stage.target.runs:
        stage.check()
        stage.advance(0.25)


def test_old_target_is_waited_for_no_longer_than_it_was_asked(stage):
    """Guards against waiting for the longest lease where it can't be."""
    stage.advance(60.0)
    stage.change_leader()
    stage.session._renew_leases(0.0)
    asked_s = 5.0 / 0.98 + 0.5
    assert stage.session.leases_expire_at() <= stage.clock.now() + asked_s


class LeaseMachine(stateful.RuleBasedStateMachine):
    """Calls that are lost, late or overtaken, restarts and takeovers."""

    @stateful.initialize()
    def prepare(self):
        self.stage = Stage()
        self._pass_time(30.0)

    @stateful.rule(seconds=strategies.sampled_from([0.2, 0.6, 2.0, 8.0]))
    def advance(self, seconds):
        self._pass_time(seconds)

    def _pass_time(self, seconds):
        for step in range(round(seconds / 0.2)):
            self.stage.advance(0.2)
            self.stage.check()
            if step % 3 == 2:
                self.stage.session._renew_leases(0.0)

    @stateful.rule()
    def renew(self):
        self.stage.session._renew_leases(0.0)

    @stateful.rule()
    def start(self):
        self.stage.start_task()

    @stateful.rule(
        delivery=strategies.sampled_from(
            ["answered", "unanswered", "delayed", "dropped"]
        )
    )
    def deliver(self, delivery):
        self.stage.target.delivery = delivery

    @stateful.rule()
    def restart(self):
        self.stage.restart()
        self.stage.advance(0.1)

    @stateful.rule()
    def return_and_start(self):
        """Lets the target answer and start a task; then it is cut off."""
        self.stage.target.delivery = "answered"
        self.stage.session._renew_leases(0.0)
        self.stage.session._renew_leases(0.0)
        self.stage.start_task()
        self.stage.target.delivery = "dropped"

    @stateful.rule(position=strategies.integers(0, 20))
    def carry_out_late(self, position):
        delayed = self.stage.target.delayed
        now_s = self.stage.clock.now()
        delayed[:] = [d for d in delayed if now_s - d.sent_s <= 12.0]
        if delayed:
            late = delayed.pop(position % len(delayed))
            try:
                self.stage.target.carry_out(late.command)
            except exceptions.StaleEpochError:
                hypothesis.event("a late renewal was fenced off")

    @stateful.rule()
    def change_leader(self):
        # The tenure of the former leader outlasts its last calls.
        self.stage.change_leader()

    @stateful.invariant()
    def nothing_outlives_its_lease(self):
        self.stage.target.expire()
        self.stage.check()


LeaseMachine.TestCase.settings = hypothesis.settings(
    max_examples=150,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    database=None,
)
TestLeaseMachine = LeaseMachine.TestCase
