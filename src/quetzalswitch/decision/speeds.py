"""Learns how fast each target works, from runs that ended done.

It is designed for a load in which no target reports its speed, declared run
times are off by up to 0.9, a few tasks take seven times as long as the others
of their step, and failing targets end tasks early. A run is therefore compared
with the other tasks of its step, which have the same error in their declared
time, and a target's speed is a median in log space that starts from 1.

The state is that of one epoch: a new leader learns it again.
"""

import bisect
import collections
import math
import typing

from quetzalswitch import nodelog
from quetzalswitch.acceptance import catalogue
from quetzalswitch.decision import fleet
from quetzalswitch.decision import jobs

# Samples kept of a target, and how long one counts.
SAMPLES_MAX_COUNT: typing.Final = 15
SAMPLE_LIFETIME_S: typing.Final = 40.0
# After a restart a target of the same kind keeps only its last samples.
RESTART_KEPT_COUNT: typing.Final = 4
# Weight of the assumption that a target works at the usual speed, in samples.
PRIOR_WEIGHT: typing.Final = 1.5
# Weight of a comparison with the declared run time, where fewer than
# SIBLINGS_MIN_COUNT other tasks of the step have ended.
DECLARED_WEIGHT: typing.Final = 0.25
SIBLINGS_MIN_COUNT: typing.Final = 2
# Times kept of a step, and steps kept.
SIBLINGS_MAX_COUNT: typing.Final = 16
STEPS_MAX_COUNT: typing.Final = 500
# Shorter runs show the delay of commands rather than the target's speed.
RUN_MIN_S: typing.Final = 0.05
# Largest difference from the usual speed that one run can show.
SAMPLE_LIMIT_LOG: typing.Final = math.log(10)
# Share of a new observation in a queue's ratio of actual to declared time.
RATIO_SMOOTHING: typing.Final = 0.05
REVIEW_INTERVAL_S: typing.Final = 1.0
# Speeds are used if the fast and the slow tenth of the targets differ by the
# first factor, until they differ by less than the second. A step is late on a
# slow target if that factor exceeds its queue's usual stretch of 1.5 to 2.2.
UNEVEN_FACTOR: typing.Final = 1.8
EVEN_FACTOR: typing.Final = 1.5
# Tenths at either end are left out: single targets may be broken.
OUTER_SHARE: typing.Final = 0.1
# Share of the targets whose speed must be known.
KNOWN_SHARE: typing.Final = 0.5
KNOWN_MIN_WEIGHT: typing.Final = 3.0
# Speeds within one such step of log speed count as the same.
GRADE_LOG: typing.Final = 0.25


class Sample(typing.NamedTuple):
    """What one run showed: log of the speed, its weight, and when (s)."""

    log_speed: float
    weight: float
    at_s: float


class Spread(typing.NamedTuple):
    """Speeds of the slow and the fast tenth of the targets, and their number.

    Attributes:
        slow: Speed that a tenth of the targets stay below; 1 is usual.
        fast: Speed that a tenth of the targets exceed.
        known_count: Number of targets whose speed is known.
    """

    slow: float
    fast: float
    known_count: int


class _History:
    """Samples of a target, and the lifetime and kind that they belong to."""

    __slots__ = ("boot_ms", "kind", "samples")

    def __init__(self) -> None:
        self.samples: collections.deque[Sample] = collections.deque(
            maxlen=SAMPLES_MAX_COUNT
        )
        self.boot_ms = 0
        self.kind: tuple = ()


class TargetSpeeds:
    """The learned speeds.

    Attributes:
        uneven: Whether speeds differ so much that they decide who is in time.
        grades: Steps of log speed above or below the usual speed, by target;
            targets that are not known count as usual. Empty unless `uneven`.
        lowest_grade: The lowest of them, 0 included.
        highest_grade: The highest of them, 0 included.
        spread: The speeds at the last review.
    """

    def __init__(self, log: nodelog.NodeLog):
        self.uneven = False
        self.grades: dict[str, int] = {}
        self.lowest_grade = 0
        self.highest_grade = 0
        self.spread = Spread(1.0, 1.0, 0)
        self._log = log
        self._histories: dict[str, _History] = {}
        self._log_speeds: dict[str, float] = {}
        # Sorted logs of the work of tasks that ended, by key of their step.
        self._works: collections.OrderedDict[str, list[float]] = (
            collections.OrderedDict()
        )
        self._log_ratios: dict[str, float] = {}
        self._reviewed_s = float("-inf")

    def record_done(
        self, target: fleet.Target, run: jobs.Run, now_s: float
    ) -> None:
        """Learns from a run that ended done, if its time can be compared."""
        duration_s = now_s - max(run.started_s, min(run.confirmed_s, now_s))
        if duration_s < RUN_MIN_S or not _is_comparable(target, run):
            return
        stage = run.stage
        works = self._works.setdefault(stage.key, [])
        self._works.move_to_end(stage.key)
        if len(self._works) > STEPS_MAX_COUNT:
            self._works.popitem(last=False)
        log_duration = math.log(duration_s)
        queue_name = stage.job.submission.queue.name
        declared_s = stage.step.estimate_ms / 1000
        expected = None
        weight = 1.0
        if len(works) >= SIBLINGS_MIN_COUNT:
            expected = _find_middle(works)
        elif declared_s >= RUN_MIN_S:
            expected = math.log(declared_s) + self._log_ratios.get(
                queue_name, 0.0
            )
            weight = DECLARED_WEIGHT
        if expected is not None:
            self._add_sample(target, expected - log_duration, weight, now_s)
        log_work = log_duration + self._log_speeds.get(target.id, 0.0)
        if len(works) < SIBLINGS_MAX_COUNT:
            bisect.insort(works, log_work)
        if declared_s >= RUN_MIN_S:
            old = self._log_ratios.get(queue_name, 0.0)
            change = _limit(log_work - math.log(declared_s) - old)
            self._log_ratios[queue_name] = old + RATIO_SMOOTHING * change

    def estimate_work_s(
        self, stage: jobs.Stage, queue: catalogue.Queue
    ) -> float:
        """Returns a task's expected run time (s) at the usual speed."""
        ratio = math.exp(self._log_ratios.get(queue.name, 0.0))
        return stage.step.estimate_ms / 1000 * ratio

    def find_step_work_s(self, stage: jobs.Stage) -> float | None:
        """Returns the usual work (s at the usual speed) of a step's tasks.

        Returns None if too few of them have ended.
        """
        works = self._works.get(stage.key, ())
        if len(works) < SIBLINGS_MIN_COUNT:
            return None
        return math.exp(_find_middle(works))

    def estimate_speed(self, target_id: str) -> float:
        """Returns a target's speed; 1 if it is usual or not known."""
        return math.exp(self._log_speeds.get(target_id, 0.0))

    def review(
        self, targets: typing.Mapping[str, fleet.Target], now_s: float
    ) -> None:
        """Updates the speeds, at most once in REVIEW_INTERVAL_S."""
        if now_s - self._reviewed_s < REVIEW_INTERVAL_S:
            return
        self._reviewed_s = now_s
        for target_id in self._histories.keys() - targets.keys():
            del self._histories[target_id]
        found = {}
        for target_id, history in self._histories.items():
            _match_lifetime(history, targets[target_id])
            found[target_id] = _summarise(history.samples, now_s)
        medians = sorted(
            median
            for median, weight in found.values()
            if weight >= KNOWN_MIN_WEIGHT
        )
        # The first tasks of a step to end are its shortest, so that all targets
        # seem slower than they are.
        middle = _find_middle(medians) if medians else 0.0
        self._log_speeds = {
            target_id: (median - middle) * weight / (weight + PRIOR_WEIGHT)
            for target_id, (median, weight) in found.items()
        }
        known = sorted(
            self._log_speeds[target_id]
            for target_id, (_, weight) in found.items()
            if weight >= KNOWN_MIN_WEIGHT
        )
        self._judge(known, len(targets))

    def _judge(self, known: list[float], target_count: int) -> None:
        """Decides whether speeds are used until the next review.

        Args:
            known: Logs of the known speeds, sorted.
            target_count: Number of all targets.
        """
        count = len(known)
        if count:
            outer = int(count * OUTER_SHARE)
            self.spread = Spread(
                math.exp(known[outer]),
                math.exp(known[count - 1 - outer]),
                count,
            )
        else:
            self.spread = Spread(1.0, 1.0, 0)
        factor = self.spread.fast / self.spread.slow
        enough = count >= max(2, KNOWN_SHARE * target_count)
        limit = EVEN_FACTOR if self.uneven else UNEVEN_FACTOR
        uneven = enough and factor >= limit
        if uneven != self.uneven:
            self.uneven = uneven
            self._log.note(
                "speeds_differ" if uneven else "speeds_alike",
                slow=round(self.spread.slow, 2),
                fast=round(self.spread.fast, 2),
                known=count,
            )
        self._assign_grades()

    def _assign_grades(self) -> None:
        self.grades = {}
        if self.uneven:
            self.grades = {
                target_id: round(value / GRADE_LOG)
                for target_id, value in self._log_speeds.items()
            }
        self.lowest_grade = min([0, *self.grades.values()])
        self.highest_grade = max([0, *self.grades.values()])

    def _add_sample(
        self,
        target: fleet.Target,
        log_speed: float,
        weight: float,
        now_s: float,
    ) -> None:
        history = self._histories.get(target.id)
        if history is None:
            history = self._histories[target.id] = _History()
        _match_lifetime(history, target)
        history.samples.append(Sample(_limit(log_speed), weight, now_s))


def convert_grade(grade: int) -> float:
    """Returns the speed in the middle of a grade."""
    return math.exp(grade * GRADE_LOG)


def _is_comparable(target: fleet.Target, run: jobs.Run) -> bool:
    """Returns whether a run's time shows the speed of its target.

    The members of a gang end with their slowest; a resumed run does only the
    rest of its work; and work away from its data takes longer anywhere. The
    start of a run that an earlier leader started is not known; such a run has
    no token.
    """
    stage = run.stage
    step = stage.step
    return not (
        stage.gang
        or step.long_running
        or step.best_effort
        or step.same_rack
        or (step.rack and step.rack != target.registration.rack)
        or not run.token
        or run.index in stage.checkpoints
    )


def _match_lifetime(history: _History, target: fleet.Target) -> None:
    """Forgets samples that belong to an earlier lifetime of a target."""
    registration = target.registration
    kind = (registration.labels, registration.capacity)
    if kind != history.kind:
        history.samples.clear()
    elif history.boot_ms != target.known_boot_ms:
        while len(history.samples) > RESTART_KEPT_COUNT:
            history.samples.popleft()
    history.kind = kind
    history.boot_ms = target.known_boot_ms


def _summarise(
    samples: collections.deque[Sample], now_s: float
) -> tuple[float, float]:
    """Returns the median of a target's samples and their weight.

    Samples of less than SAMPLE_LIFETIME_S lose weight evenly with age; older
    ones are removed.
    """
    while samples and now_s - samples[0].at_s >= SAMPLE_LIFETIME_S:
        samples.popleft()
    weighted = sorted(
        (
            sample.log_speed,
            sample.weight * (1 - (now_s - sample.at_s) / SAMPLE_LIFETIME_S),
        )
        for sample in samples
    )
    total = sum(weight for _, weight in weighted)
    position = 0.0
    median = 0.0
    for log_speed, weight in weighted:
        position += weight
        if position >= total / 2:
            median = log_speed
            break
    return median, total


def _find_middle(ordered: list[float]) -> float:
    """Returns the median of a sorted list that is not empty."""
    half = len(ordered) // 2
    if len(ordered) % 2:
        return ordered[half]
    return (ordered[half - 1] + ordered[half]) / 2


def _limit(log_speed: float) -> float:
    return max(-SAMPLE_LIMIT_LOG, min(SAMPLE_LIMIT_LOG, log_speed))
