"""Tests for the link that controls one target."""

import collections

import gevent
import gevent.event
import pytest

from quetzalswitch import clock as clocks
from quetzalswitch import exceptions
from quetzalswitch import records
from quetzalswitch.standins import faults
from quetzalswitch.standins import target as targets
from quetzalswitch.targets import client as clients
from quetzalswitch.targets import events
from quetzalswitch.targets import link as links

SERVICE = '{"run_ms": null}'
STARTS = "/v1/starts"
REPORTED = events.TargetReported
# Exchanges take real time; all leases follow the manual clock.
OPTIONS = links.Options(exchange_timeout_s=0.2, sync_wait_s=0.02)
# Timeout of a test that would otherwise wait forever; no test measures it.
WAIT_LIMIT_S = 20.0
# The long poll is longer than the test, so only a fence finds the attempt.
LONG_POLL_OPTIONS = OPTIONS._replace(sync_wait_s=30.0)

Vm = collections.namedtuple("Vm", "vm address")


class Owner:
    """A target link that records its events."""

    def __init__(
        self, clock, standin, name="a", on_event=None, options=OPTIONS
    ):
        self.name = name
        self.events = []
        self.link = links.TargetLink(
            clock,
            Vm("target-1", standin.address),
            name,
            f"{name}-1",
            "",
            on_event or self.events.append,
            options,
        )
        self.link.start()
        self.link.post(events.Claim())

    def events_of(self, event_type):
        return [e for e in self.events if isinstance(e, event_type)]

    def wait_for(self, event_type, count=1):
        wait_until(lambda: len(self.events_of(event_type)) >= count)
        return self.events_of(event_type)[count - 1]

    def wait_for_sync(self):
        self.wait_for(
            events.TargetReported,
            len(self.events_of(events.TargetReported)) + 2,
        )

    def start(self, *ids, payload=SERVICE, all_or_none=False):
        size = records.Resources()
        attempts = tuple(
            records.Attempt(i, f"team/{i}", "team", "target-1", size)
            for i in ids
        )
        requests = tuple(
            records.Request(i, "team", "q", records.Batch(), size, payload)
            for i in ids
        )
        self.link.post(events.StartAttempts(attempts, requests, all_or_none))


def wait_until(condition):
    with gevent.Timeout(WAIT_LIMIT_S):
        while not condition():
            gevent.sleep(0.005)


class LinkHarness:
    """A clock, a stand-in target and the links to it."""

    def __init__(self):
        self.clock = clocks.ManualClock()
        self.target = targets.StandinTarget(clock=self.clock)
        self.target.start()
        self.owners = []

    def owner(self, name="a", **changes):
        owner = Owner(self.clock, self.target, name, **changes)
        self.owners.append(owner)
        return owner

    def run(self, seconds):
        """Advances the clock in steps and yields so that exchanges complete."""
        end_s = self.clock.now() + seconds
        while self.clock.now() < end_s:
            self.clock.advance(min(0.5, end_s - self.clock.now()))
            gevent.sleep(0.03)

    def run_with_renewals(self, seconds):
        """Advances the clock in steps and waits for a renewal after each."""
        counters = self.target.server.injector.counters
        end_s = self.clock.now() + seconds
        while self.clock.now() < end_s:
            self.clock.advance(0.5)
            served = counters["writes"]
            wait_until(lambda served=served: counters["writes"] > served + 1)

    def simulate_pause(self, seconds):
        """Advances the time without firing timers, as in a paused process."""
        self.clock._now_s += seconds

    def run_until(self, condition):
        with gevent.Timeout(WAIT_LIMIT_S):
            while not condition():
                self.run(0.5)

    def history(self):
        return [(e["event"], e["attempt_id"]) for e in self.target.history]

    def stop(self):
        for owner in self.owners:
            owner.link.stop()
        self.target.stop()


@pytest.fixture
def harness():
    built = LinkHarness()
    yield built
    built.stop()


class TestConnections:
    """Limits on the number and the age of connections."""

    BODY = {"entry": "a", "incarnation": "a-1", "peer_address": ""}

    def test_old_connection_is_replaced(self, harness):
        """Guards against the use of connections that a middlebox dropped."""
        client = clients.TargetClient(harness.target.address, harness.clock)
        counters = harness.target.server.injector.counters
        for seconds, connections in ((0, 1), (299, 1), (2, 2), (0, 2)):
            harness.clock.advance(seconds)
            client.claim(self.BODY)
            assert counters["connections"] == connections
        client.close()

    def test_timeout_closes_all_idle_connections(self, harness):
        """Guards against a separate timeout for each dead connection."""
        client = clients.TargetClient(
            harness.target.address, harness.clock, 0.3
        )
        workers = [gevent.spawn(client.claim, self.BODY) for _ in range(2)]
        gevent.joinall(workers, raise_error=True)
        harness.target.set_faults(faults.Faults(silence_open=True))
        with pytest.raises(exceptions.TransportError):
            client.claim(self.BODY)
        assert client.claim(self.BODY)["granted"]
        client.close()

    def test_at_most_four_connections(self, harness):
        """Guards against one entry using up all of a target's connections."""
        client = clients.TargetClient(harness.target.address, harness.clock)
        counters = harness.target.server.injector.counters
        harness.target.set_faults(faults.Faults(delay_ms=1000))
        workers = [gevent.spawn(client.claim, self.BODY) for _ in range(3)]
        workers += [gevent.spawn(client.fence, f"x{i}") for i in range(5)]
        wait_until(lambda: counters["delayed"] == 4)
        gevent.sleep(0.05)
        assert counters["connections"] == 4
        harness.target.set_faults(faults.Faults())
        harness.clock.advance(1.0)
        gevent.joinall(workers, raise_error=True)
        client.close()


class TestStartAnswerLost:
    """The answer to a start does not arrive."""

    @pytest.mark.parametrize("lose_by", ["close", "hang"])
    def test_running_attempt_is_found(self, harness, lose_by):
        """Guards against a second start of a running task."""
        owner = harness.owner(options=LONG_POLL_OPTIONS)
        owner.wait_for(events.TargetReported)
        harness.target.set_faults(
            faults.Faults(lose_next=1, lose_by=lose_by, path=STARTS)
        )
        owner.start("x")
        resolved = owner.wait_for(events.StartResolved)
        assert resolved.state is events.StartState.STARTED
        assert harness.history() == [("start", "x")]

    def test_attempt_never_seen_is_fenced(self, harness):
        """Guards against a late start of an attempt reported as not run."""
        owner = harness.owner()
        owner.wait_for(events.TargetClaimed)
        # The delay ends before the not-after time, so only the fence can
        # reject the start.
        harness.target.set_faults(
            faults.Faults(delay_ms=1000, delay_next=1, path=STARTS)
        )
        owner.start("x")
        resolved = owner.wait_for(events.StartResolved)
        assert resolved.state is events.StartState.NOT_STARTED
        assert resolved.reason == "never_seen"
        harness.run(1.5)
        assert harness.history() == []

    def test_restart_before_the_fence_is_unknown(self, harness):
        """Guards against reporting a task that a restart ended as not run."""
        owner = harness.owner()
        owner.wait_for(events.TargetClaimed)
        harness.target.set_faults(
            faults.Faults(lose_next=1, lose_by="hang", path=STARTS)
        )
        owner.start("x")
        wait_until(lambda: harness.history() == [("start", "x")])
        harness.target.machine.boot()
        resolved = owner.wait_for(events.StartResolved)
        assert resolved.state is events.StartState.UNKNOWN
        assert resolved.reason == "target_restarted"

    def test_outcome_at_unresponsive_target_is_unknown_after_the_lease(
        self, harness
    ):
        """Guards against an outcome reported while the task may still run."""
        owner = harness.owner()
        owner.wait_for(events.TargetClaimed)
        harness.target.set_faults(
            faults.Faults(lose_next=1, lose_by="hang", path=STARTS)
        )
        owner.start("x")
        wait_until(lambda: harness.history() == [("start", "x")])
        harness.target.server.stop()
        harness.run(20.0)
        assert owner.events_of(events.StartResolved) == []
        harness.run_until(lambda: owner.events_of(events.StartResolved))
        resolved = owner.events_of(events.StartResolved)[0]
        assert resolved.state is events.StartState.UNKNOWN
        assert harness.history()[-1] == ("lapse", "x")


class TestControl:
    """Claims, lease expiry and handover."""

    def test_paused_owner_starts_nothing_and_claims_again(self, harness):
        """Guards against starts sent under an expired lease."""
        owner = harness.owner()
        owner.wait_for_sync()
        harness.simulate_pause(5.0)
        owner.start("x")
        resolved = owner.wait_for(events.StartResolved)
        assert resolved.state is events.StartState.NOT_STARTED
        assert owner.wait_for(events.TargetLost).reason == "lease_lapsed"
        first = owner.wait_for(events.TargetClaimed)
        second = owner.wait_for(events.TargetClaimed, 2)
        assert second.epoch > first.epoch
        owner.start("y")
        assert owner.wait_for(events.StartResolved, 2).state == "started"
        assert harness.history() == [("start", "y")]

    def test_start_of_a_previous_owner_is_refused(self, harness):
        """Guards against a start that arrives after a takeover."""
        first = harness.owner("a")
        first.wait_for_sync()
        # The delay outlasts the takeover, so the start arrives with an old
        # epoch and after its not-after time.
        harness.target.set_faults(
            faults.Faults(delay_ms=6000, delay_next=1, path=STARTS)
        )
        first.start("x")
        counters = harness.target.server.injector.counters
        wait_until(lambda: counters["delayed"] == 1)
        first.link.stop()
        harness.clock.advance(5.0)
        second = harness.owner("b")
        second.wait_for(events.TargetClaimed)
        harness.run(2.0)
        assert harness.history() == []

    def test_second_owner_is_refused_and_takes_over_after_lease_expiry(
        self, harness
    ):
        """Guards against two owners of a target and loss of attempts."""
        first = harness.owner("a")
        first.wait_for(events.TargetClaimed)
        first.start("x")
        first.wait_for(events.StartResolved)
        second = harness.owner("b")
        refused = second.wait_for(events.ClaimRefused)
        assert refused.holder == "a-1"
        harness.simulate_pause(5.0)
        second.link.post(events.Claim())
        # Whichever claim arrives first is granted; the other must be refused.
        wait_until(
            lambda: (
                first.events_of(events.ClaimRefused)
                or len(second.events_of(events.ClaimRefused)) == 2
            )
        )
        holder = second if first.events_of(events.ClaimRefused) else first
        claimed = holder.events_of(events.TargetClaimed)[-1]
        assert [r["attempt_id"] for r in claimed.running] == ["x"]
        harness.run_with_renewals(30.0)
        assert first.events_of(events.AttemptEnded) == []
        assert second.events_of(events.AttemptEnded) == []
        assert harness.history() == [("start", "x")]

    def test_release_hands_over_at_once(self, harness):
        """Guards against targets left idle after a planned stop."""
        first = harness.owner("a")
        first.wait_for(events.TargetClaimed)
        first.link.post(events.Release())
        assert first.wait_for(events.TargetLost).reason == "released"
        second = harness.owner("b")
        second.wait_for(events.TargetClaimed)
        first.start("x")
        assert first.wait_for(events.StartResolved).state == "not_started"

    def test_unresponsive_connections_are_replaced(self, harness):
        """Guards against losing a target when its open connections fail."""
        owner = harness.owner()
        owner.wait_for_sync()
        harness.target.set_faults(faults.Faults(silence_open=True))
        owner.start("x")
        owner.wait_for_sync()
        assert owner.wait_for(events.StartResolved).state == "started"
        assert owner.events_of(events.TargetLost) == []
        assert harness.history() == [("start", "x")]

    def test_blocked_receiver_does_not_stop_renewal(self, harness):
        """Guards against leases that expire while the event receiver blocks."""
        never = gevent.event.Event()
        owner = harness.owner(on_event=lambda _: never.wait())
        # A sync after the claim shows that the link has the control lease.
        counters = harness.target.server.injector.counters
        wait_until(lambda: counters["writes"] >= 2)
        owner.start("x")
        wait_until(lambda: harness.history())
        harness.run_with_renewals(25.0)
        assert harness.history() == [("start", "x")]
        assert harness.target.machine.claim_epoch == 1


class TestAttempts:
    """Rejected starts, ends of attempts and acknowledgements."""

    def test_gang_that_does_not_fit_starts_nothing(self, harness):
        """Guards against a partly started gang that wastes slots."""
        owner = harness.owner()
        owner.wait_for(events.TargetClaimed)
        owner.start(*"abcdefghi", all_or_none=True)
        owner.wait_for(events.StartResolved, 9)
        states = {e.state for e in owner.events_of(events.StartResolved)}
        assert states == {events.StartState.NOT_STARTED}
        assert harness.history() == []

    def test_duplicate_start_is_resolved_by_a_fence(self, harness):
        """Guards against reporting a running attempt as not run."""
        owner = harness.owner(options=LONG_POLL_OPTIONS)
        owner.wait_for(events.TargetReported)
        owner.start("x")
        owner.wait_for(events.StartResolved)
        owner.start("x")
        assert owner.wait_for(events.StartResolved, 2).state == "started"
        assert harness.history() == [("start", "x")]

    def test_restarted_target_loses_its_attempts(self, harness):
        """Guards against attempts that wait for a task lost in a restart."""
        owner = harness.owner()
        owner.wait_for(events.TargetClaimed)
        owner.start("x")
        owner.wait_for(events.StartResolved)
        harness.target.machine.boot()
        ended = owner.wait_for(events.AttemptEnded)
        assert ended.outcome is events.Outcome.LOST
        assert ended.result.error == "target_restarted"
        boots = [e.boot_id for e in owner.events_of(events.TargetClaimed)]
        assert len(set(boots)) == 2

    def test_unresponsive_target_loses_its_attempts_after_their_lease(
        self, harness
    ):
        """Guards against a task placed elsewhere while it still runs."""
        owner = harness.owner()
        owner.wait_for(events.TargetClaimed)
        owner.start("x")
        owner.wait_for(events.StartResolved)
        harness.run_with_renewals(3.0)
        harness.target.server.stop()
        harness.run_until(lambda: owner.events_of(events.AttemptEnded))
        ended = owner.events_of(events.AttemptEnded)[0]
        assert ended.outcome is events.Outcome.LOST
        assert ended.result.error == "target_silent"
        assert harness.history() == [("start", "x"), ("lapse", "x")]

    def test_usage_is_reported_while_the_set_stays_the_same(self, harness):
        """Guards against usage reported only once, or with every sync."""
        owner = harness.owner()
        owner.wait_for(events.TargetClaimed)
        owner.start("x")
        wait_until(lambda: any(r.running for r in owner.events_of(REPORTED)))
        owner.wait_for_sync()
        assert not owner.events_of(REPORTED)[-1].running
        before = sum(bool(r.running) for r in owner.events_of(REPORTED))
        harness.run_with_renewals(2 * OPTIONS.usage_interval_s)
        after = sum(bool(r.running) for r in owner.events_of(REPORTED))
        assert before + 1 <= after <= before + 3

    def test_preempted_attempt_is_reported(self, harness):
        """Guards against a stopped attempt that is reported as completed."""
        owner = harness.owner()
        owner.wait_for(events.TargetClaimed)
        owner.start("x")
        owner.wait_for(events.StartResolved)
        owner.link.post(events.StopAttempt("x", "checkpoint"))
        ended = owner.wait_for(events.AttemptEnded)
        assert ended.outcome is events.Outcome.PREEMPTED

    def test_result_is_repeated_until_acknowledged(self, harness):
        """Guards against a result that is dropped before it is stored."""
        owner = harness.owner()
        owner.wait_for(events.TargetClaimed)
        owner.start("x", payload="text")
        wait_until(lambda: ("start", "x") in harness.history())
        harness.run_with_renewals(0.5)
        assert owner.wait_for(events.AttemptEnded).result.body == "text"
        harness.run_with_renewals(10.0)
        owner.wait_for(events.AttemptEnded, 3)
        owner.link.post(events.Acknowledge(("x",)))
        harness.run_with_renewals(12.0)
        assert len(owner.events_of(events.AttemptEnded)) == 3
        owner.link.post(events.Release())
        owner.wait_for(events.TargetLost)
        claimed = harness.owner("b").wait_for(events.TargetClaimed)
        assert claimed.finished == ()

    def test_unacknowledged_result_reaches_the_next_owner(self, harness):
        """Guards against a result lost with the entry that received it."""
        first = harness.owner("a")
        first.wait_for(events.TargetClaimed)
        first.start("x", payload="text")
        wait_until(lambda: ("start", "x") in harness.history())
        harness.run_with_renewals(0.5)
        first.wait_for(events.AttemptEnded)
        first.link.stop()
        harness.clock.advance(5.0)
        second = harness.owner("b")
        claimed = second.wait_for(events.TargetClaimed)
        assert claimed.finished_reports[0]["home"] == ""
        assert second.wait_for(events.AttemptEnded).request_key == "team/x"
