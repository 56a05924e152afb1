"""Tests of accepting, finding and cancelling submissions, without a network."""

import gevent
import gevent.event
import pytest

import decider_stage
from quetzalswitch import clock as clocks
from quetzalswitch import exceptions
from quetzalswitch import nodelog
from quetzalswitch import nodemetrics
from quetzalswitch.acceptance import confirmation
from quetzalswitch.acceptance import intake as intakes
from quetzalswitch.decision import jobs

Outcome = intakes.RelayOutcome


class _Store:
    """A store that raises the listed outcomes, one per call."""

    def __init__(self):
        self.healthy = True
        self.unresponsive = False
        self.answer_age_s = 0.0
        self.outcomes = []
        self.writes = 0
        self.rows = {}

    def transact(self, part, puts, conditions=(), timeout_s=1.0):
        self.writes += 1
        if self.unresponsive:
            gevent.sleep(3600)
        outcome = self.outcomes.pop(0) if self.outcomes else None
        if outcome is not None:
            self.healthy = False
            raise outcome
        self.healthy = True
        return 1

    def read(self, table, part, first="", end=""):
        if self.outcomes:
            raise self.outcomes.pop(0)
        return [r for k, r in self.rows.items() if k[0] == table], 1

    def read_row(self, table, part, key):
        return self.rows.get((table, key))


def _advance_until(clock, event):
    while not event.is_set():
        clock.advance(0.01)
        gevent.sleep(0.001)


class _Sleeper:
    """Replaces `gevent`; sleeping advances the test's clock."""

    def __init__(self, clock):
        self.sleep = clock.advance


class _Entry:
    def __init__(self):
        self.clock = clocks.ManualClock()
        self.store = _Store()
        self.relayed = []
        self.sent = []
        self.phase = None
        self.hedging = False
        self.isolated = False
        self.view = confirmation.ConfigurationView(1, 0.0, 1)
        self.stored = None
        self.refreshes = 0
        self.intake = intakes.Intake(
            self.store,
            intakes.PeerCalls(
                self.sent.append,
                self.sent.append,
                self._query_phase,
                self._relay,
                self._relay,
                lambda: self.hedging,
                lambda: bool(self.relayed),
                lambda: self.isolated,
            ),
            self.clock,
            nodelog.NodeLog(self.clock),
            nodemetrics.NodeMetrics(nodelog.NodeLog(self.clock)),
            confirmation.Confirmation(
                self.clock, 2.0, lambda: self.view, self._refresh
            ),
        )
        cluster = decider_stage.SimulatedCluster(targets=0)
        queue = decider_stage.make_queue()
        self.intake.catalogue = cluster.decider.catalogue._replace(
            queues={queue.name: queue}
        )
        self.submission = decider_stage.make_submission(
            "1", [decider_stage.make_step()]
        )

    def _refresh(self):
        self.refreshes += 1
        if self.stored is None:
            return False
        self.intake.catalogue = self.stored
        version = self.stored.version
        self.view = confirmation.ConfigurationView(version, 0.0, version)
        return True

    def authorize(self, key="k"):
        """Returns the team of a key, or the error kind of the refusal."""
        queue = decider_stage.make_queue()
        try:
            return self.intake.authorize(queue.host, queue.prefix + "1", key)[1]
        except exceptions.RequestError as error:
            return error.kind

    def _relay(self, payload, timeout_s):
        return self.relayed.pop(0) if self.relayed else None

    def _query_phase(self, job_id, timeout_s):
        if self.phase is None:
            raise exceptions.TransportError("no leader")
        return self.phase

    def submit(self):
        """Submits with a caller timeout too short for a second attempt."""
        self.intake.submit(self.submission, 0.0)


@pytest.fixture(name="entry")
def _entry(monkeypatch):
    monkeypatch.setattr(intakes, "RETRY_PAUSE_S", 0.3)
    return _Entry()


def test_stored_submission_is_sent_to_the_decider(entry):
    """Guards against accepted jobs that reach the leader only by the feed."""
    entry.submit()
    assert len(entry.sent) == 1


def test_refusal_is_final_only_if_nothing_can_take_effect(entry):
    """Guards against a refused submission that runs later."""
    entry.store.outcomes = [exceptions.StoreRefusedError("status 429")] * 2
    with pytest.raises(exceptions.RequestError) as refused:
        entry.submit()
    assert refused.value.kind is exceptions.ErrorKind.STORE_UNAVAILABLE
    assert refused.value.retry_after_s


def test_write_without_an_answer_is_never_called_not_run(entry):
    """Guards against "not accepted" for a write that takes effect late."""
    entry.store.outcomes = [
        exceptions.StoreUnavailableError("no answer"),
        exceptions.StoreRefusedError("status 503"),
    ]
    with pytest.raises(exceptions.RequestError) as unknown:
        entry.submit()
    assert unknown.value.kind is exceptions.ErrorKind.OUTCOME_UNKNOWN


def test_entry_without_the_store_relays_its_writes(entry):
    """Guards against refusals while other entries reach the store."""
    entry.store.outcomes = [exceptions.StoreUnavailableError("no answer")]
    entry.relayed = [Outcome.DONE]
    entry.submit()
    # The store is unhealthy now, so the next write is only relayed.
    entry.relayed = [Outcome.EXISTS]
    entry.submit()
    assert entry.store.writes == 1


def test_isolated_entry_rejects_requests_at_once(entry):
    """Guards against requests held until their callers time out.

    On ergyalo-sched-grown, scale-2, isolated entries held requests for 3 s that
    other entries could have served.
    """
    entry.isolated = True
    for call in (
        entry.submit,
        lambda: entry.intake.find_phase("1" * 16),
        lambda: entry.intake.cancel("1" * 16, 3.0),
    ):
        with pytest.raises(exceptions.RequestError) as refused:
            call()
        assert refused.value.kind is exceptions.ErrorKind.STORE_UNAVAILABLE
        assert refused.value.retry_after_s == 0
    assert entry.store.writes == 0


def test_entry_isolated_during_a_write_stops_waiting_at_once(entry):
    """Guards against waiting for a write after the entry is isolated."""
    entry.store.unresponsive = True
    gevent.spawn_later(0.3, setattr, entry, "isolated", True)
    with gevent.Timeout(20), pytest.raises(exceptions.RequestError) as unknown:
        entry.intake.submit(entry.submission, 30.0)
    assert unknown.value.kind is exceptions.ErrorKind.OUTCOME_UNKNOWN


def test_write_that_is_late_here_is_made_by_another_entry_too(entry):
    """Guards against callers waiting for a store that only one entry lost."""
    entry.store.unresponsive = True
    entry.hedging = True
    entry.relayed = [Outcome.DONE]
    with gevent.Timeout(20):
        entry.intake.submit(entry.submission, 30.0)
    assert len(entry.sent) == 1


def test_slow_write_stays_pending_while_another_is_tried(entry, monkeypatch):
    """Guards against abandoning a write that the store is still executing.

    Found in incident inc-9109 of ergyalo-sched, where writes took up to 1.6 s.
    """
    monkeypatch.setattr(intakes, "WRITE_TIMEOUT_S", 0.0)
    answered = gevent.event.Event()

    def _write(*arguments, **options):
        entry.store.writes += 1
        if entry.store.writes > 1:
            # The second attempt is still pending when the first one succeeds.
            answered.set()
            gevent.sleep(3600)
        answered.wait()
        return 1

    entry.store.transact = _write
    advance = gevent.spawn(_advance_until, entry.clock, answered)
    with gevent.Timeout(20):
        entry.intake.submit(entry.submission, 30.0)
    advance.kill()
    assert entry.store.writes == 2
    assert len(entry.sent) == 1


def test_store_that_is_slow_for_all_gets_no_second_write(entry):
    """Guards against doubling the writes to a store that is already slow."""
    entry.store.unresponsive = True
    entry.relayed = [Outcome.DONE]
    with gevent.Timeout(3 * intakes.HEDGE_DELAY_S, False):
        entry.intake.submit(entry.submission, 30.0)
    assert entry.relayed == [Outcome.DONE]


def test_store_unreachable_for_all_leads_to_an_early_refusal(
    entry, monkeypatch
):
    """Guards against requests held through an outage of the store.

    On ergyalo-sched-grown, trouble-3, 82 callers timed out after 3 s without an
    answer. Nothing has been written, so the refusal is correct.
    """
    monkeypatch.setattr(intakes, "STORE_CHECK_INTERVAL_S", 0.001)
    monkeypatch.setattr(intakes, "gevent", _Sleeper(entry.clock))
    entry.store.healthy = False
    began_s = entry.clock.now()
    with pytest.raises(exceptions.RequestError) as refused:
        entry.intake.submit(entry.submission, 30.0)
    assert refused.value.kind is exceptions.ErrorKind.STORE_UNAVAILABLE
    assert refused.value.retry_after_s
    assert entry.store.writes == 0
    assert entry.clock.now() - began_s <= intakes.STORE_WAIT_S


def test_submission_that_exists_is_accepted_again(entry):
    """Guards against a duplicate submission when a caller retries."""
    entry.store.outcomes = [exceptions.ConditionFailedError({})]
    entry.submit()


def test_submission_that_another_entry_stored_is_not_sent(entry):
    """Guards against a task that two leaders start after a takeover."""
    entry.store.outcomes = [exceptions.ConditionFailedError({})]
    entry.submit()
    assert entry.sent == []


def test_submission_stored_by_a_write_without_an_answer_is_sent(entry):
    """Guards against accepted jobs that reach the leader only by the feed."""
    entry.store.outcomes = [exceptions.StoreUnavailableError("no answer")]
    entry.relayed = [Outcome.UNKNOWN, Outcome.EXISTS]
    entry.intake.submit(entry.submission, 30.0)
    assert len(entry.sent) == 1


def test_unknown_submission_is_gone_only_if_the_store_says_so(entry):
    """Guards against "no submission" while the store doesn't answer."""
    with pytest.raises(exceptions.RequestError) as gone:
        entry.intake.find_phase("1" * 16)
    assert gone.value.field == "id"
    entry.store.outcomes = [exceptions.StoreUnavailableError("no answer")]
    with pytest.raises(exceptions.RequestError) as unavailable:
        entry.intake.find_phase("1" * 16)
    assert unavailable.value.field is None


def test_phase_comes_from_the_decider(entry):
    """Guards against a store read for each query of a phase."""
    entry.phase = jobs.Phase.RUNNING
    assert entry.intake.find_phase("1" * 16) is jobs.Phase.RUNNING


Kind = exceptions.ErrorKind


def _grant(entry, version, key):
    """Returns the configuration with one more key."""
    old = entry.intake.catalogue
    return old._replace(
        version=version, team_by_key={**old.team_by_key, key: "t1"}
    )


def test_unknown_key_is_refused_while_the_configuration_is_confirmed(entry):
    """Guards against a read of the store for each unknown key."""
    entry.view = entry.view._replace(age_s=1.9)
    assert entry.authorize("new") is Kind.UNAUTHENTICATED
    assert entry.refreshes == 0


@pytest.mark.parametrize("elsewhere", [True, False])
def test_unknown_key_is_not_judged_by_an_old_configuration(entry, elsewhere):
    """Guards against 401 and 404 as an older version says."""
    entry.view = entry.view._replace(age_s=2.1)
    entry.relayed = [Outcome.DONE] if elsewhere else []
    assert entry.authorize("new") is Kind.CONFIGURATION_STALE
    with pytest.raises(exceptions.RequestError) as caught:
        entry.intake.authorize("no.example", "/x/", "k")
    assert caught.value.kind is Kind.CONFIGURATION_STALE
    assert (caught.value.retry_after_s == 0.0) is elsewhere


def test_unknown_key_is_looked_up_in_the_store(entry):
    """Guards against a refusal that one read would have prevented."""
    entry.view = entry.view._replace(age_s=2.1)
    entry.stored = _grant(entry, 2, "new")
    assert entry.authorize("new") == "t1"
    assert entry.authorize("other") is Kind.UNAUTHENTICATED
    assert entry.refreshes == 1


def test_known_key_is_served_during_an_outage(entry):
    """Guards against an outage of the store that stops all requests."""
    entry.intake.catalogue = _grant(entry, 1, "k")
    entry.view = entry.view._replace(age_s=60.0)
    assert entry.authorize("k") == "t1"
    assert entry.refreshes == 0


def test_entry_that_knows_of_a_newer_version_does_not_act_on_its_own(entry):
    """Guards against keys that work on one entry long after their end."""
    entry.intake.catalogue = _grant(entry, 1, "k")
    entry.view = confirmation.ConfigurationView(1, 0.5, 2)
    assert entry.authorize("k") == "t1"
    entry.clock.advance(confirmation.SUPERSEDED_AFTER_S + 0.1)
    entry.view = confirmation.ConfigurationView(1, 3.0, 2)
    assert entry.authorize("k") is Kind.CONFIGURATION_STALE
    entry.stored = entry.intake.catalogue._replace(version=2, team_by_key={})
    assert entry.authorize("k") is Kind.UNAUTHENTICATED


def test_version_that_the_store_does_not_have_stops_no_entry(entry):
    """Guards against a heartbeat whose version is wrong."""
    entry.intake.catalogue = _grant(entry, 1, "k")
    entry.stored = entry.intake.catalogue
    for _ in range(10):
        entry.view = confirmation.ConfigurationView(1, 0.5, 10**9)
        assert entry.authorize("k") == "t1"
        entry.clock.advance(confirmation.SUPERSEDED_AFTER_S)
