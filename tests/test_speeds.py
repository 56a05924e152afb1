"""Tests of learned speeds: targets of three speeds, tails, wrong estimates."""

import heapq
import math
import random

import pytest

import decider_stage
from quetzalswitch.acceptance import catalogue
from quetzalswitch.decision import decider as deciders
from quetzalswitch.decision import speeds
from quetzalswitch.execution import protocol

SPEEDS = (0.6, 1.0, 1.6)
# The users' load: 3% of the tasks take seven times as long, and declared run
# times are off by up to 0.9.
TAIL_SHARE = 0.03
TAIL_FACTOR = 7.0
ESTIMATE_ERROR = 0.9
STEP_S = 0.05


class UnevenCluster(decider_stage.SimulatedCluster):
    """Targets of unlike speed, which end their tasks by themselves.

    Attributes:
        speed: Speed by target.
        failing: Targets that fail each task after 0.1 s.
        ended_s: When the last task of each job ended.
    """

    def __init__(self, targets, seed=1, target_speeds=SPEEDS, **options):
        super().__init__(targets, cpu=64000, **options)
        self.random = random.Random(seed)
        names = sorted(self.decider.targets)
        self.speed = {
            name: target_speeds[number % len(target_speeds)]
            for number, name in enumerate(names)
        }
        self.failing = set()
        self.work_s = {}
        self.active = []
        self.ended_s = {}
        self.gang_ends_s = {}

    def submit(self, job_id, count, work_s, queue, off=ESTIMATE_ERROR, **step):
        """Adds a job; returns the longest work (s) of its tasks."""
        works = []
        for index in range(count):
            work = work_s * self.random.lognormvariate(0, 0.2)
            if self.random.random() < TAIL_SHARE:
                work *= TAIL_FACTOR
            works.append(work)
            self.work_s[job_id.rjust(16, "0"), index] = work
        declared = work_s * math.exp(self.random.uniform(-off, off))
        made = decider_stage.make_step(
            count, estimate_ms=declared * 1000, **step
        )
        self.add_job(job_id, [made], queue)
        return max(works)

    def play(self, seconds):
        """Passes and ends for some time, in steps of STEP_S."""
        until_s = self.clock.now() + seconds
        while self.clock.now() < until_s:
            self._start()
            self.clock.advance(STEP_S)
            self._end()
            self.renew_all_leases()

    def _start(self):
        by_gang = {}
        for run in self.start_tasks():
            job = run.stage.job.id
            target_id = run.target_id
            work = self.work_s[job, run.index] / self.speed[target_id]
            if target_id in self.failing:
                work = 0.1
            if run.stage.gang:
                by_gang.setdefault((job, run.number), []).append((run, work))
                continue
            self._push(work, run)
        for members in by_gang.values():
            longest = max(work for _, work in members)
            for run, _ in members:
                self._push(longest, run)

    def _push(self, duration_s, run):
        at_s = self.clock.now() + duration_s
        heapq.heappush(self.active, (at_s, run.task, run.number, run))

    def _end(self):
        while self.active and self.active[0][0] <= self.clock.now():
            run = heapq.heappop(self.active)[3]
            if (run.task, run.number) not in self.running[run.target_id]:
                continue
            reason = protocol.EndReason.DONE
            if run.target_id in self.failing:
                reason = protocol.EndReason.FAILED
            self.end_run(run, reason)
            self.ended_s[run.stage.job.id] = self.clock.now()


BATCH = decider_stage.make_queue("batch", priority=2, stretch=4.0)
GANGS = decider_stage.make_queue("gangs", priority=1, stretch=2.2)


def teach(cluster, seconds=12.0, first=0):
    """Plays batch work of wide steps until speeds can be known."""
    number = first
    until_s = cluster.clock.now() + seconds
    while cluster.clock.now() < until_s:
        for _ in range(len(cluster.decider.targets) // 6):
            cluster.submit(f"b{number:x}", 18, 1.0, BATCH, cpu=6900)
            number += 1
        cluster.play(0.5)
    return number


def measure_error(cluster, names=None):
    """Returns the largest ratio between learned and true speeds."""
    return max(
        math.exp(
            abs(
                math.log(cluster.decider.speeds.estimate_speed(name))
                - math.log(cluster.speed[name])
            )
        )
        for name in names or cluster.decider.targets
    )


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_speeds_are_learned_from_off_estimates_and_tails(seed):
    """Load: speeds 0.6, 1.0 and 1.6, tails, estimates off by up to 0.9."""
    cluster = UnevenCluster(24, seed)
    teach(cluster)
    assert cluster.decider.speeds.uneven
    grades = cluster.decider.speeds.grades
    slow = [grades[i] for i, speed in cluster.speed.items() if speed == 0.6]
    fast = [grades[i] for i, speed in cluster.speed.items() if speed == 1.6]
    assert max(slow) < min(fast)
    assert measure_error(cluster) < 1.6 / 1.0


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_alike_targets_are_used_as_before(seed):
    """Load: the earlier users' speeds of 1.0 and 1.3, tails, wrong estimates.

    Their work has to be placed as if nothing were learned.
    """
    cluster = UnevenCluster(24, seed, target_speeds=(1.0, 1.0, 1.3))
    teach(cluster, 20.0)
    assert not cluster.decider.speeds.uneven
    assert not cluster.decider.speeds.grades


def play_gangs(seed, learn):
    """Returns the share of gangs in time under the users' load."""
    cluster = UnevenCluster(24, seed)
    if not learn:
        cluster.decider.speeds.record_done = lambda *args: None
    number = teach(cluster)
    objectives_s = {}
    for gang in range(24):
        longest_s = cluster.submit(
            f"a{gang:x}",
            10,
            3.4,
            GANGS,
            off=0.2,
            cpu=18000,
            gang=True,
        )
        at_s = cluster.clock.now()
        job_id = f"a{gang:x}".rjust(16, "0")
        objectives_s[job_id] = at_s + 1.0 + 2.2 * longest_s
        for _ in range(2):
            cluster.submit(f"b{number:x}", 18, 1.9, BATCH, cpu=6900)
            number += 1
        cluster.play(0.9)
    cluster.play(40.0)
    in_time = [
        cluster.ended_s.get(job_id, math.inf) <= due_s
        for job_id, due_s in objectives_s.items()
    ]
    return sum(in_time) / len(in_time)


def test_more_gangs_are_in_time_with_learned_speeds():
    """Load: gangs of large tasks beside batch work, on uneven targets."""
    seeds = range(1, 4)
    before = sum(play_gangs(seed, learn=False) for seed in seeds) / 3
    after = sum(play_gangs(seed, learn=True) for seed in seeds) / 3
    print("gangs in time", before, after)
    assert after > before


def test_a_new_leader_learns_the_speeds_again():
    """Failure: a takeover forgets them; 10 s of the load bring them back."""
    cluster = UnevenCluster(24)
    number = teach(cluster)
    cluster.decider = deciders.Decider(2, cluster.log)
    cluster.decider.reconciled = True
    cluster.token = 2 << 20
    cluster.configure()
    cluster.active.clear()
    cluster.last_seen_end.clear()
    for name in cluster.speed:
        cluster.running[name].clear()
        cluster.ended[name].clear()
        cluster.add_target(name, 64000)
    assert not cluster.decider.speeds.uneven
    teach(cluster, 10.0, number)
    assert cluster.decider.speeds.uneven
    assert measure_error(cluster) < 1.6 / 1.0


def test_a_failing_target_is_not_taken_for_a_fast_one():
    """Failure: a target ends each task early, as failed."""
    cluster = UnevenCluster(24)
    cluster.failing.add("i-0")
    teach(cluster)
    assert cluster.decider.speeds.estimate_speed("i-0") == 1.0


def test_a_target_that_slows_down_is_learned_again():
    """Failure: a fast target works at a seventh of its speed from now on."""
    cluster = UnevenCluster(24)
    number = teach(cluster)
    name = next(i for i, speed in cluster.speed.items() if speed == 1.6)
    assert cluster.decider.speeds.estimate_speed(name) > 1.2
    cluster.speed[name] /= 7
    teach(cluster, 20.0, number)
    assert cluster.decider.speeds.estimate_speed(name) < 0.6


def test_a_speed_that_is_not_seen_any_more_is_forgotten():
    """An unused target has the usual speed again after SAMPLE_LIFETIME_S."""
    cluster = UnevenCluster(24)
    teach(cluster)
    cluster.play(20.0)  # The last tasks end.
    cluster.play(speeds.SAMPLE_LIFETIME_S + 2 * speeds.REVIEW_INTERVAL_S)
    assert not cluster.decider.speeds.uneven
    assert cluster.decider.speeds.estimate_speed("i-0") == 1.0


@pytest.mark.parametrize(
    ("cpu", "kept"),
    [(64000, True), (32000, False)],
    ids=["same kind", "another kind"],
)
def test_a_new_lifetime_keeps_the_speed_only_of_the_same_kind(cpu, kept):
    """Failure: a target restarts, perhaps on a machine of another kind."""
    cluster = UnevenCluster(24)
    teach(cluster)
    name = next(i for i, speed in cluster.speed.items() if speed == 1.6)
    target = cluster.decider.targets[name]
    capacity = catalogue.Resources(cpu, 100000, 0)
    changed = target.registration._replace(capacity=capacity, boot_ms=2)
    cluster.decider.register(changed, cluster.clock.now())
    target.begin_incarnation(2, cluster.clock.now())
    cluster.clock.advance(speeds.REVIEW_INTERVAL_S)
    cluster.decider.speeds.review(cluster.decider.targets, cluster.clock.now())
    assert (cluster.decider.speeds.estimate_speed(name) > 1.1) == kept


@pytest.mark.parametrize("estimate_ms", [0.0, 1e-300, 1e300])
def test_absurd_estimates_neither_stop_passes_nor_teach(estimate_ms):
    """Bad input: declared run times of 0 or of absurd size."""
    cluster = UnevenCluster(24)
    teach(cluster)
    known = {
        name: cluster.decider.speeds.estimate_speed(name)
        for name in cluster.speed
    }
    for number, gang in enumerate((False, True)):
        step = decider_stage.make_step(
            8, cpu=18000, estimate_ms=estimate_ms, gang=gang
        )
        job = cluster.add_job(f"c{number}", [step], GANGS)
        for index in range(8):
            cluster.work_s[job.id, index] = 1.0
        cluster.play(12.0)
        assert job.phase.value == "completed"
    for name, speed in known.items():
        learned = cluster.decider.speeds.estimate_speed(name)
        assert learned / speed == pytest.approx(1.0, abs=0.8)


@pytest.mark.parametrize("percent", [-5, 1000000])
def test_nonsense_percentages_teach_nothing(percent):
    """Bad input: a target reports nonsense as the progress of its runs."""
    cluster = UnevenCluster(24)
    cluster.submit("d1", 18, 1.0, BATCH, cpu=6900)
    cluster._start()
    for runs in cluster.running.values():
        for state in runs.values():
            state[1] = percent
    cluster.play(10.0)
    assert cluster.decider.jobs["d1".rjust(16, "0")].phase.value == "completed"
    assert not cluster.decider.speeds.uneven


def make_waiting_gang(fast_free):
    """Returns a cluster with an urgent gang whose fast targets are busy."""
    cluster = UnevenCluster(6, target_speeds=(0.6, 1.6))
    decider_stage.set_speeds(cluster.decider, cluster.speed)
    busy_s = 0.5 if fast_free else 20.0
    filler = decider_stage.make_step(1, cpu=64000, estimate_ms=busy_s * 1600)
    fast = [i for i, speed in cluster.speed.items() if speed == 1.6]
    for number, name in enumerate(fast):
        job = cluster.add_job(f"e{number}", [filler])
        stage = job.stages[0, 0]
        target = cluster.decider.targets[name]
        now_s = cluster.clock.now()
        cluster.decider.start(stage, 0, number + 1, target, "", now_s)
    for run in cluster.decider.collect_commands().starts:
        cluster.confirm_start(run)
    step = decider_stage.make_step(3, cpu=60000, estimate_ms=4000, gang=True)
    queue = decider_stage.make_queue(stretch=1.4)
    cluster.add_job("f", [step], queue)
    return cluster


def test_a_gang_waits_for_fast_targets_only_where_that_pays():
    """Load: a gang that slow, free targets would end late.

    It waits for fast ones that become free in time, and starts at once on the
    slow ones if the fast ones won't.
    """
    waiting = make_waiting_gang(fast_free=True)
    assert not waiting.start_tasks()
    log = decider_stage.read_log(waiting.log)
    assert any("awaits_fast_targets" in line for line in log)
    starting = make_waiting_gang(fast_free=False)
    started = starting.start_tasks()
    assert {starting.speed[run.target_id] for run in started} == {0.6}
