"""Tests of calls to the advice service and of tickets."""

import decider_stage
from quetzalswitch.acceptance import catalogue
from quetzalswitch.decision import advice
from quetzalswitch.decision import jobs
from quetzalswitch.execution import protocol

LONG = catalogue.AdvicePolicy(500.0, 7.0, 1500.0)
SHORT = catalogue.AdvicePolicy(6.0, 0.1, 1500.0)


def test_short_calls_do_not_wait_behind_long_ones():
    """Guards against urgent calls that queue behind low-priority ones."""
    advisers = advice.Advisers()
    advisers.set_members(f"e{n}" for n in range(7))
    while advisers.assign(LONG, 24, 0.0) is not None:
        pass
    name, wait_s = advisers.assign(SHORT, 12, 0.0)
    assert wait_s < 0.01
    assert name > "e3"


def test_adviser_that_failed_gets_no_calls():
    """Guards against calls by an entry that is not connected."""
    advisers = advice.Advisers()
    advisers.set_members(["e0", "e1"])
    first, _ = advisers.assign(LONG, 10, 0.0)
    advisers.record_failure(first, 0.0)
    chosen = {advisers.assign(SHORT, 1, 0.1)[0] for _ in range(3)}
    assert first not in chosen


def _answer(cluster, request, allowed):
    cluster.decider.apply_advice(
        request,
        protocol.AdviceAnswer({t: f"k-{t}" for t in allowed}, None),
        cluster.clock.now(),
    )


def test_tasks_start_only_with_a_valid_ticket():
    """Guards against starts that targets reject for lack of a ticket."""
    cluster = decider_stage.SimulatedCluster(targets=3)
    cluster.decider.advisers.set_members(["e0", "e1"])
    queue = decider_stage.make_queue(advice=SHORT)
    cluster.add_job("1", [decider_stage.make_step(cpu=4000)], queue)
    commands = cluster.schedule()
    assert commands.starts == []
    (request,) = commands.advice_requests
    _answer(cluster, request, ["i-1"])
    (run,) = cluster.start_tasks()
    assert (run.target_id, run.ticket) == ("i-1", "k-i-1")


def test_expired_tickets_are_renewed_for_allowed_targets_only():
    """Guards against long calls for targets that were refused before."""
    cluster = decider_stage.SimulatedCluster(targets=3)
    cluster.decider.advisers.set_members(["e0", "e1"])
    queue = decider_stage.make_queue(advice=SHORT)
    cluster.add_job("1", [decider_stage.make_step(cpu=4000)], queue)
    (request,) = cluster.schedule().advice_requests
    _answer(cluster, request, ["i-1"])
    cluster.advance_time(1.6)
    commands = cluster.schedule()
    assert commands.starts == []
    assert commands.advice_requests[0].target_ids == ["i-1"]


def _play_policy(allowed_count):
    """A gang for two targets whose first call allows only occupied ones.

    It is asked about the 15 emptiest of 40 targets, all in long use. The others
    become free after the first answer.
    """
    cluster = decider_stage.SimulatedCluster(targets=40)
    cluster.decider.advisers.set_members(f"e{n}" for n in range(8))
    long_use = [decider_stage.make_step(cpu=1000)]
    short_use = [decider_stage.make_step(cpu=2000)]
    for number in range(40):
        cluster.add_job(
            f"{number + 16:x}", long_use if number < 15 else short_use
        )
    runs = _spread(cluster)
    queue = decider_stage.make_queue(advice=LONG)
    gang = [decider_stage.make_step(count=2, cpu=4000, gang=True)]
    job = cluster.add_job("f", gang, queue)
    asked = []
    for _ in range(30):
        commands = cluster.schedule()
        for run in commands.starts:
            cluster.confirm_start(run)
        for request in commands.advice_requests:
            asked.append(request.target_ids)
            _answer(cluster, request, request.target_ids[:allowed_count])
        if len(asked) == 1:
            for run in runs:
                if run.stage.step.demand.cpu == 2000:
                    cluster.end_run(run)
        cluster.advance_time(0.1, 0.1)
    return job, asked


def _spread(cluster):
    """Starts one task on each target; returns the runs."""
    runs = []
    for target in cluster.decider.targets.values():
        stage = next(iter(cluster.decider.ready.values()))
        number = cluster.decider.next_run_number()
        cluster.decider.start(stage, 0, number, target, "", cluster.clock.now())
        cluster.decider.ready.pop(stage.sort_key)
    for run in cluster.decider.collect_commands().starts:
        cluster.confirm_start(run)
        runs.append(run)
    return runs


def test_waiting_gang_asks_about_further_targets():
    """Guards against a gang that waits beside targets that are free.

    On the quiet day of the large site gangs waited up to 27 s for the few
    targets of their first call, while a third of all processors was idle.
    """
    job, asked = _play_policy(allowed_count=6)
    assert len(asked) > 1
    assert job.phase is jobs.Phase.RUNNING


def _expire_tickets_of_gang(cluster):
    """Adds a gang for two whole targets; returns its first call."""
    cluster.decider.advisers.set_members(["e0", "e1"])
    queue = decider_stage.make_queue(advice=LONG)
    gang = [decider_stage.make_step(count=2, cpu=4000, gang=True)]
    cluster.add_job("1", gang, queue)
    (request,) = cluster.schedule().advice_requests
    _answer(cluster, request, request.target_ids)
    cluster.advance_time(1.6)
    return request


def test_only_the_needed_tickets_are_renewed():
    """Guards against calls that take a second to renew two tickets."""
    cluster = decider_stage.SimulatedCluster(targets=40)
    _expire_tickets_of_gang(cluster)
    (request,) = cluster.schedule().advice_requests
    assert len(request.target_ids) == 2


def test_gang_starts_where_its_tickets_are_valid():
    """Guards against waiting for new tickets beside valid ones that suffice."""
    cluster = decider_stage.SimulatedCluster(targets=40)
    request = _expire_tickets_of_gang(cluster)
    renewed = request._replace(target_ids=request.target_ids[-2:])
    _answer(cluster, renewed, renewed.target_ids)
    starts = cluster.start_tasks()
    assert {run.target_id for run in starts} == set(renewed.target_ids)


def test_gang_keeps_its_targets_while_tickets_are_renewed():
    """Guards against a gang whose targets are filled while it asks for tickets.

    Seen on moorwater-logs-grown trouble-1: the gang chose other targets in the
    pass after its question, so each answer named targets that were full again.
    """
    cluster = decider_stage.SimulatedCluster(targets=1)
    cluster.add_job("9", [decider_stage.make_step(cpu=4000)])
    (blocking,) = cluster.start_tasks()
    for name in ("i-1", "i-2"):
        cluster.add_target(name, cpu=5000)
    _expire_tickets_of_gang(cluster)
    (renewal,) = cluster.schedule().advice_requests
    assert sorted(renewal.target_ids) == ["i-1", "i-2"]
    # The target that becomes free now would be a tighter fit for the gang.
    cluster.end_run(blocking)
    cluster.renew_all_leases()
    small = decider_stage.make_queue("small", priority=2)
    cluster.add_job("2", [decider_stage.make_step(count=9, cpu=2000)], small)
    cluster.start_tasks()
    _answer(cluster, renewal, renewal.target_ids)
    gang = [run for run in cluster.start_tasks() if run.stage.gang]
    assert sorted(run.target_id for run in gang) == ["i-1", "i-2"]


def test_gang_starts_though_its_tickets_expire_at_different_times():
    """Guards against renewing parts of a gang's tickets in turn for ever."""
    cluster = decider_stage.SimulatedCluster(targets=4)
    cluster.decider.advisers.set_members(["e0", "e1"])
    queue = decider_stage.make_queue(advice=LONG)
    gang = [decider_stage.make_step(count=4, cpu=4000, gang=True)]
    cluster.add_job("1", gang, queue)
    (request,) = cluster.schedule().advice_requests
    # A call for one target takes as long as the time between two expiries.
    for target_id in request.target_ids:
        cluster.advance_time(0.5, 0.1)
        _answer(cluster, request._replace(target_ids=[target_id]), [target_id])
    pending = []
    since_s = cluster.clock.now()
    for _ in range(100):
        now_s = cluster.clock.now()
        for end_s, call in pending[:]:
            if end_s <= now_s:
                pending.remove((end_s, call))
                _answer(cluster, call, call.target_ids)
        commands = cluster.schedule()
        if commands.starts:
            break
        pending += [
            (now_s + call.expected_s, call) for call in commands.advice_requests
        ]
        cluster.advance_time(0.1, 0.1)
    assert len(commands.starts) == 4
    assert cluster.clock.now() - since_s < 1.0


def test_most_vms_make_long_calls_while_advice_is_scarce():
    """Guards against VMs that idle while all long calls wait for the others."""
    advisers = advice.Advisers()
    advisers.set_members(f"e{n:02}" for n in range(45))
    advisers.scarce = True
    names = set()
    while (assigned := advisers.assign(LONG, 100, 0.0)) is not None:
        names.add(assigned[0])
    assert len(names) == 36
    _, wait_s = advisers.assign(SHORT, 12, 0.0)
    assert wait_s < 0.01


def test_calls_do_not_queue_while_advice_is_scarce():
    """Guards against tickets for room that others took during the wait."""
    advisers = advice.Advisers()
    advisers.set_members(f"e{n}" for n in range(7))
    advisers.scarce = True
    call_s = advice.estimate_call_s(LONG, 100)
    waits = []
    while (assigned := advisers.assign(LONG, 100, 0.0)) is not None:
        waits.append(assigned[1] - call_s)
    assert max(waits) <= advice.SCARCE_BACKLOG_LIMIT_S


def test_advice_is_scarce_if_calls_last_as_long_as_tickets():
    """Guards against other decisions for sites whose calls are short."""
    assert advice.is_scarce(catalogue.AdvicePolicy(559.0, 8.06, 1500.0))
    assert not advice.is_scarce(catalogue.AdvicePolicy(370.0, 5.3, 2500.0))
    assert not advice.is_scarce(SHORT)


def test_renewal_names_spare_targets_while_advice_is_scarce():
    """Guards against a call of 0.2 s for each single task of a wide step."""
    cluster = decider_stage.SimulatedCluster(targets=12)
    cluster.decider.advisers.set_members(["e0", "e1"])
    queue = decider_stage.make_queue(advice=LONG)
    cluster.configure(queues=[queue])
    step = decider_stage.make_step(count=30, cpu=2000)
    cluster.add_job("1", [step], queue)
    (request,) = cluster.schedule().advice_requests
    _answer(cluster, request, request.target_ids[:8])
    runs = cluster.start_tasks()
    assert len(runs) == 16
    cluster.advance_time(1.6)
    cluster.end_run(runs[0])
    cluster.renew_all_leases()
    (renewal,) = cluster.schedule().advice_requests
    assert set(renewal.target_ids) == set(request.target_ids[:8])


def test_gang_that_holds_slots_bears_a_rejected_ticket():
    """Guards against a pass that fails on a plan with a refused target."""
    cluster = decider_stage.SimulatedCluster(targets=3)
    cluster.decider.advisers.set_members(["e0", "e1"])
    queue = decider_stage.make_queue("gangs", advice=LONG)
    cluster.configure(queues=[queue])
    cluster.add_job("1", [decider_stage.make_step(count=3, cpu=4000)])
    runs = cluster.start_tasks()
    gang = [decider_stage.make_step(count=2, cpu=4000, gang=True)]
    job = cluster.add_job("2", gang, queue)
    (stage,) = job.stages.values()
    (request,) = cluster.schedule().advice_requests
    _answer(cluster, request, request.target_ids)
    cluster.schedule()
    held = sorted(stage.kept_targets)
    assert len(held) == 2
    stage.tickets.pop(held[0])
    for run in runs:
        cluster.end_run(run)
    cluster.renew_all_leases()
    started = {run.target_id for run in cluster.start_tasks()}
    assert len(started) == 2
    assert held[0] not in started


def _play_preemption(estimate_ms):
    """Returns how many batch runs a waiting gang has stopped after 1.2 s."""
    cluster = decider_stage.SimulatedCluster(targets=2)
    cluster.decider.advisers.set_members(["e0", "e1"])
    queue = decider_stage.make_queue("gangs", advice=LONG, stretch=9.0)
    cluster.configure(queues=[queue])
    batch_queue = decider_stage.make_queue("batch", priority=2)
    batch = decider_stage.make_step(
        count=2, cpu=4000, estimate_ms=estimate_ms, checkpointing=True
    )
    cluster.add_job("1", [batch], batch_queue)
    assert len(cluster.start_tasks()) == 2
    gang = [decider_stage.make_step(count=2, cpu=4000, gang=True)]
    cluster.add_job("2", gang, queue)
    (request,) = cluster.schedule().advice_requests
    _answer(cluster, request, request.target_ids)
    cluster.advance_time(1.2)
    return len(cluster.schedule().stops)


def test_gang_preempts_only_where_that_saves_more_than_it_loses():
    """Guards against batches that are stopped shortly before they end.

    On the site with scarce advice 3,665 batch runs a day were stopped for
    gangs, which then waited for the other runs on these targets.
    """
    assert _play_preemption(estimate_ms=9000.0) == 2
    assert _play_preemption(estimate_ms=2000.0) == 0
