"""Tests of accepting and cancelling at an entry; no network."""

import pytest

import decider_stage
from quetzalswitch import clock as clocks
from quetzalswitch import exceptions
from quetzalswitch import nodelog
from quetzalswitch import nodemetrics
from quetzalswitch.acceptance import intake as intakes
from quetzalswitch.decision import jobs

Outcome = intakes.RelayOutcome


class _Store:
    """A store whose next outcomes the test lists."""

    def __init__(self):
        self.healthy = True
        self.answer_age_s = 0.0
        self.outcomes = []
        self.writes = 0
        self.rows = {}

    def transact(self, part, puts, conditions=(), timeout_s=1.0):
        self.writes += 1
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


class _Entry:
    def __init__(self):
        self.clock = clocks.ManualClock()
        self.store = _Store()
        self.relayed = []
        self.told = []
        self.phase = None
        self.hedging = False
        self.cut_off = False
        self.intake = intakes.Intake(
            self.store,
            intakes.DeciderLink(
                self.told.append,
                self.told.append,
                self._ask_phase,
                self._relay,
                self._relay,
                lambda: self.hedging,
                lambda: bool(self.relayed),
                lambda: self.cut_off,
            ),
            self.clock,
            nodelog.NodeLog(self.clock),
            nodemetrics.NodeMetrics(nodelog.NodeLog(self.clock)),
        )
        stage = decider_stage.Stage(targets=0)
        self.intake.catalogue = stage.decider.catalogue
        self.submission = decider_stage.make_submission(
            "1", [decider_stage.make_step()]
        )

    def _relay(self, payload, timeout_s):
        return self.relayed.pop(0) if self.relayed else None

    def _ask_phase(self, job_id, timeout_s):
        if self.phase is None:
            raise exceptions.TransportError("no decider")
        return self.phase

    def submit(self):
        """Submits with so little patience that nothing is tried again."""
        self.intake.submit(self.submission, 0.0)


@pytest.fixture(name="entry")
def _entry(monkeypatch):
    monkeypatch.setattr(intakes, "RETRY_PAUSE_S", 0.3)
    return _Entry()


def test_stored_submission_is_told_to_the_decider(entry):
    """Guards against accepted work that waits for the feed."""
    entry.submit()
    assert len(entry.told) == 1


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


def test_entry_cut_off_from_the_store_uses_a_neighbour(entry):
    """Guards against refusals while other entries reach the store."""
    entry.store.outcomes = [exceptions.StoreUnavailableError("no answer")]
    entry.relayed = [Outcome.DONE]
    entry.submit()
    # The next one isn't tried here first.
    entry.relayed = [Outcome.EXISTS]
    entry.submit()
    assert entry.store.writes == 1


def test_submission_that_exists_is_accepted_again(entry):
    """Guards against a second submission when a caller repeats itself."""
    entry.store.outcomes = [exceptions.ConditionFailedError({})]
    entry.submit()


def test_unknown_submission_is_gone_only_if_the_store_says_so(entry):
    """Guards against "no such submission" while nobody can tell."""
    with pytest.raises(exceptions.RequestError) as gone:
        entry.intake.find_phase("1" * 16)
    assert gone.value.field == "id"
    entry.store.outcomes = [exceptions.StoreUnavailableError("no answer")]
    with pytest.raises(exceptions.RequestError) as away:
        entry.intake.find_phase("1" * 16)
    assert away.value.field is None


def test_phase_comes_from_the_decider(entry):
    """Guards against reading the store for each question."""
    entry.phase = jobs.Phase.RUNNING
    assert entry.intake.find_phase("1" * 16) is jobs.Phase.RUNNING
