"""Tests of submissions whose numbers no pass can sort or add up."""

import math

import msgspec
import pytest

import decider_stage
from quetzalswitch.acceptance import catalogue
from quetzalswitch.acceptance import submissions
from quetzalswitch.decision import jobs
from quetzalswitch.platform import api

ODD_TIMES = [math.nan, math.inf, -math.inf, -1.0, 1e308]


def _decode_step(**fields):
    body = msgspec.json.encode({"steps": [{"count": 1, **fields}]})
    return api._SUBMISSION.decode(body).steps[0]


@pytest.mark.parametrize("field", ["estimate_ms", "target_ms"])
@pytest.mark.parametrize(
    "value", ["nan", "inf", "-inf", "Infinity", -1, "-0.5", 1e16]
)
def test_time_that_is_no_number_is_refused(field, value):
    """Guards against review/7: a run time of "nan" stops all scheduling.

    Text is converted to a number, also to one that has no place in an order.
    """
    with pytest.raises(msgspec.ValidationError, match=field):
        _decode_step(**{field: value})


@pytest.mark.parametrize(
    "field", ["cpu", "mem_mb", "gpu", "anti_affinity", "may_miss"]
)
@pytest.mark.parametrize("value", [-1, 10**16, 10**30, "nan", 0.5])
def test_amount_out_of_bounds_is_refused(field, value):
    """Guards against usage that a demand below 0 makes smaller."""
    with pytest.raises(msgspec.ValidationError, match=field):
        _decode_step(**{field: value})


def test_usual_numbers_are_accepted():
    """Guards against refusing what the platform's pages allow."""
    step = _decode_step(estimate_ms=200, cpu="500", target_ms=0.5, gpu=0)
    assert (step.estimate_ms, step.cpu, step.target_ms) == (200.0, 500, 0.5)
    assert _decode_step().estimate_ms == 0


@pytest.mark.parametrize("text", ["nan", "inf", "-inf", "", "x"])
def test_callers_wait_that_is_no_number_is_the_usual_one(text):
    """Guards against a request that waits for ever."""
    usual_s = api._read_caller_timeout_s({})
    assert api._read_caller_timeout_s({"HTTP_X_DEADLINE_MS": text}) == usual_s


@pytest.mark.parametrize("value", ODD_TIMES)
def test_stored_time_that_is_no_number_does_not_stop_others(value):
    """Guards against a row of before the check that ends each leader."""
    odd = [
        decider_stage.make_step(
            count=100, estimate_ms=value, tail_latency_objective_ms=value
        )
        for _ in range(2)
    ]
    cluster = decider_stage.SimulatedCluster()
    for number in range(3):
        submission = decider_stage.make_submission(str(number), odd)
        data = submissions.encode(submission)
        cluster.decider.add_job(submissions.decode(data), 0.0, 0.0)
    step = decider_stage.make_step(count=2, estimate_ms=200.0)
    for number in range(20):
        cluster.add_job(f"a{number}", [step])
    for _ in range(300):
        for run in cluster.start_tasks():
            cluster.end_run(run)
        cluster.advance_time(0.5)
    phases = {job.phase for job in cluster.decider.jobs.values()}
    assert phases == {jobs.Phase.COMPLETED}


def test_stored_demand_below_zero_takes_nothing():
    """Guards against a team that makes room below its limit."""
    demand = catalogue.Resources(-5000, 0, 0)
    step = decider_stage.make_step()._replace(demand=demand)
    submission = decider_stage.make_submission("1", [step])
    found = submissions.decode(submissions.encode(submission))
    assert found.steps[0].demand == catalogue.Resources(0, 0, 0)
