"""State of accepted jobs: which tasks are done, running or pending."""

import collections
import enum
import typing

from quetzalswitch import decoding
from quetzalswitch.acceptance import submissions
from quetzalswitch.decision import indexsets
from quetzalswitch.decision import progressrecords

# Key of a gang as a whole in failures and checkpoints of its stage.
GANG_INDEX: typing.Final = progressrecords.GANG_INDEX
# Of a number in the name of a task.
MAX_DIGITS: typing.Final = 18


class Phase(enum.StrEnum):
    """State of a submission as callers see it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_PHASES: typing.Final = frozenset(
    {Phase.COMPLETED, Phase.FAILED, Phase.CANCELLED}
)


class RunState(enum.Enum):
    """The decider's knowledge of a run; the values are metric labels."""

    STARTING = "start sent"
    RUNNING = "running"
    UNKNOWN = "start without an answer"
    STOPPING = "stop sent"


class Run:
    """One start of a task on a target.

    Attributes:
        stage: The stage that the task belongs to.
        index: Index of the task in its step.
        number: Run number; increases with each start of a task.
        target_id: Where it runs.
        token: Fencing token of the start command.
        ticket: Ticket of the advice service, or an empty string.
        state: The decider's knowledge of it.
        checkpoint: Last saved progress, or an empty string.
        percent: Progress that the target reported.
        progress_s: When that progress last changed.
        started_s: When the start was decided.
        confirmed_s: When the target confirmed the start; infinite before.
        isolated: Whether other tasks must not run on the target.
    """

    __slots__ = (
        "checkpoint",
        "confirmed_s",
        "index",
        "isolated",
        "number",
        "percent",
        "progress_s",
        "stage",
        "started_s",
        "state",
        "target_id",
        "ticket",
        "token",
    )

    def __init__(
        self,
        stage: "Stage",
        index: int,
        number: int,
        target_id: str,
        now_s: float,
    ):
        self.stage = stage
        self.index = index
        self.number = number
        self.target_id = target_id
        self.token = 0
        self.ticket = ""
        self.state = RunState.STARTING
        self.checkpoint = ""
        self.percent = 0
        self.progress_s = now_s
        self.started_s = now_s
        self.confirmed_s = float("inf")
        self.isolated = False

    @property
    def task(self) -> str:
        """Name of the task towards targets."""
        return name_task(self.stage, self.index)


class Stage:
    """One step of one occurrence of a job.

    Attributes:
        job: The job.
        occurrence: Number of the occurrence, from 0.
        number: Index of the step.
        step: What to run.
        key: Name of the step towards targets and the advice service.
        done: Indexes of the tasks that are done.
        pending: Indexes of the tasks that may be started.
        runs: Runs that are or may be active, by task index.
        failures: Numbers of the failed runs, by task index.
        crashes: Weight of each crash of a target, by task index and run number.
        crashed_targets: Number of targets that have crashed during its runs.
        done_since_crash: Number of tasks that were done since the last of these
            crashes.
        checkpoints: Saved progress by task index.
        avoided_targets: Targets on which a run failed or made no progress.
        tickets: Ticket and its expiry time (s) by ID of each allowed target;
            None before the first advice.
        refused_targets: Targets that the advice service did not allow.
        kept_targets: Targets whose room it waits for, or whose tickets are
            being renewed; it prefers them until it starts there.
        plan: Slots that it holds while it waits (`availability.Plan`), or None.
        advice_requested: Whether a call to the advice service is in progress.
        preemptions: Number of preempted runs, by task index.
        trial_waits_s: Since when tasks wait to be started alone, by index.
        ready_s: When the stage became ready to start.
        last_failed_s: When a run last failed.
        first_start_s: When its first run of this epoch was decided, if any.
        sort_key: Position in the queue: priority, due time (s) and key.
    """

    def __init__(self, job: "Job", occurrence: int, number: int):
        self.job = job
        self.occurrence = occurrence
        self.number = number
        self.step: submissions.Step = job.submission.steps[number]
        self.key = f"{job.id}.{occurrence}.{number}"
        self.done = indexsets.IndexSet()
        self.pending = indexsets.IndexSet.full(self.step.count)
        self.runs: dict[int, list[Run]] = {}
        self.failures: dict[int, set[int]] = {}
        self.crashes: dict[int, dict[int, int]] = {}
        self.crashed_targets = 0
        self.done_since_crash = 0
        self.checkpoints: dict[int, str] = {}
        self.avoided_targets: set[str] = set()
        self.tickets: dict[str, tuple[str, float]] | None = None
        self.refused_targets: set[str] = set()
        self.kept_targets: frozenset[str] = frozenset()
        self.plan: typing.Any = None
        self.advice_requested = False
        self.preemptions: collections.Counter[int] = collections.Counter()
        self.trial_waits_s: dict[int, float] = {}
        self.ready_s = 0.0
        self.first_start_s: float | None = None
        self.last_failed_s = float("-inf")
        self.sort_key: tuple = ()

    @property
    def finished(self) -> bool:
        """Whether all tasks are done."""
        return len(self.done) == self.step.count

    @property
    def gang(self) -> bool:
        """Whether the tasks start and end together."""
        return self.step.gang and self.step.count > 1

    def failure_key(self, index: int) -> int:
        """Returns the key under which a task's failures are counted."""
        return GANG_INDEX if self.step.gang else index

    def all_runs(self) -> list[Run]:
        """Returns the runs that are or may be active."""
        return [run for runs in self.runs.values() for run in runs]


class Job:
    """An accepted submission and its progress.

    Attributes:
        submission: The accepted submission.
        phase: Current phase, which may not be stored yet. It is queued until
            a task is known to have started.
        visible_phase: Phase that callers see; a final phase becomes visible
            once it is stored.
        cancelled: Whether the caller cancelled it.
        inherited: Whether it may have runs that were started by an earlier
            decider and have not been found yet.
        revision: Number of changes that must be stored.
        stored_revision: Last revision that the store has confirmed.
        stages: Stages by occurrence and step. Those of finished occurrences
            are dropped if there are several.
        opened_count: Number of occurrences that have or had stages.
        finished_occurrences: Occurrences without stages whose tasks are done.
    """

    def __init__(self, submission: submissions.Submission):
        self.submission = submission
        self.phase = Phase.QUEUED
        self.visible_phase = Phase.QUEUED
        self.cancelled = False
        self.inherited = False
        self.revision = 0
        self.stored_revision = 0
        self.ended_s = 0.0
        self.stages: dict[tuple[int, int], Stage] = {}
        self.opened_count = 0
        self.finished_occurrences = indexsets.IndexSet()

    @property
    def id(self) -> str:
        """ID that the caller chose."""
        return self.submission.id

    @property
    def final(self) -> bool:
        """Whether the phase is final, so that no more tasks are started."""
        return self.phase in FINAL_PHASES

    def open_occurrence(self, occurrence: int) -> list[Stage]:
        """Opens an occurrence that is due; returns its stages."""
        self.opened_count = max(self.opened_count, occurrence + 1)
        return self.add_stages(occurrence)

    def add_stages(self, occurrence: int) -> list[Stage]:
        """Returns the stages of an occurrence; adds them if necessary."""
        stages = []
        for number in range(len(self.submission.steps)):
            key = (occurrence, number)
            stage = self.stages.get(key)
            if stage is None:
                stage = self.stages[key] = Stage(self, *key)
                if occurrence in self.finished_occurrences:
                    stage.done = indexsets.IndexSet.full(stage.step.count)
                    stage.pending.clear()
            stages.append(stage)
        return stages

    def list_stages(self, occurrence: int) -> list[Stage]:
        """Returns the stages of an occurrence; none if they were dropped."""
        keys = [(occurrence, n) for n in range(len(self.submission.steps))]
        return [self.stages[key] for key in keys if key in self.stages]

    def skip_finished(self) -> None:
        """Counts finished occurrences that follow the opened ones as opened."""
        self.opened_count = self.finished_occurrences.find_gap(
            self.opened_count
        )

    def drop_finished(self, occurrence: int) -> list[Stage]:
        """Drops the stages of an occurrence without open tasks; returns them.

        Does nothing if the job has a single occurrence.
        """
        stages = self.list_stages(occurrence)
        if self.submission.occurrences == 1 or not all(
            stage.finished and not stage.runs for stage in stages
        ):
            return []
        if stages:
            self.finished_occurrences.add(occurrence)
        for stage in stages:
            del self.stages[occurrence, stage.number]
        return stages

    def is_ready(self, stage: Stage) -> bool:
        """Returns whether the steps that a stage depends on are done."""
        return all(
            self.stages[stage.occurrence, number].finished
            for number in stage.step.after
            if (stage.occurrence, number) in self.stages
        )

    def list_targets(self) -> set[str]:
        """Returns the IDs of the targets on which runs are or may be active."""
        return {
            run.target_id
            for stage in self.stages.values()
            for run in stage.all_runs()
        }

    def is_complete(self) -> bool:
        """Returns whether every task of every occurrence is done."""
        return self.opened_count >= self.submission.occurrences and all(
            stage.finished for stage in self.stages.values()
        )

    def encode(self) -> bytes:
        """Returns the stored form of the progress."""
        done = {}
        done_ranges = {}
        failures = {}
        crashes = {}
        finished = self.finished_occurrences.list_bounds()
        fits_masks = progressrecords.fits_masks(self.submission)
        if fits_masks:
            done = self._make_finished_masks()
            finished = []
        for (occurrence, number), stage in self.stages.items():
            name = f"{occurrence}.{number}"
            if stage.done and fits_masks:
                done[name] = stage.done.make_mask(stage.step.count)
            elif stage.done:
                done_ranges[name] = stage.done.list_bounds()
            if stage.failures:
                failures[name] = {
                    index: sorted(runs)
                    for index, runs in stage.failures.items()
                    if self._counts_failures(stage, index)
                }
            if stage.crashes:
                crashes[name] = stage.crashes
        # The target of a start without an answer may crash, so crashes don't
        # show that a task has started.
        has_begun = bool(done or done_ranges or finished or failures)
        shown = self.phase is Phase.RUNNING and has_begun
        phase = self.phase.value
        if self.phase is Phase.QUEUED or shown:
            phase = ""
        return progressrecords.encode(
            progressrecords.ProgressRecord(
                phase, done, failures, crashes, done_ranges, finished
            )
        )

    def _make_finished_masks(self) -> dict[str, bytes]:
        """Returns the masks of finished occurrences without stages."""
        counts = [step.count for step in self.submission.steps]
        masks = [
            indexsets.IndexSet.full(count).make_mask(count) for count in counts
        ]
        return {
            f"{occurrence}.{number}": mask
            for occurrence in self.finished_occurrences
            for number, mask in enumerate(masks)
        }

    def _counts_failures(self, stage: Stage, index: int) -> bool:
        """Returns whether the failed runs of a task still matter."""
        return (
            not self.final
            and not stage.step.long_running
            and index not in stage.done
        )

    def restore(self, data: bytes) -> None:
        """Applies stored progress.

        Raises:
            ProtocolError: The data is not a progress record.
        """
        record = decode_progress(data, self.submission)
        self.finished_occurrences = indexsets.IndexSet.from_bounds(
            record.finished
        )
        for name, mask in record.done.items():
            stage = self._find_stage(name)
            count = stage.step.count
            stage.done = indexsets.IndexSet.from_mask(mask, count)
            stage.pending = stage.done.invert(count)
        for name, bounds in record.done_ranges.items():
            stage = self._find_stage(name)
            stage.done = indexsets.IndexSet.from_bounds(bounds)
            stage.pending = stage.done.invert(stage.step.count)
        for name, failures in record.failures.items():
            stage = self._find_stage(name)
            stage.failures = {i: set(runs) for i, runs in failures.items()}
        for name, crashes in record.crashes.items():
            stage = self._find_stage(name)
            stage.crashes = crashes
            # Which of its tasks shared a target is not stored.
            stage.crashed_targets = len(crashes)
        for occurrence in {key[0] for key in self.stages}:
            if len(self.list_stages(occurrence)) == len(self.submission.steps):
                self.drop_finished(occurrence)
        self.phase = self.visible_phase = read_phase(data)

    def _find_stage(self, name: str) -> Stage:
        occurrence, _, number = name.partition(".")
        key = (int(occurrence), int(number))
        self.add_stages(key[0])
        return self.stages[key]


def name_task(stage: Stage, index: int) -> str:
    """Returns the name of a task towards targets."""
    return f"{stage.key}.{index}"


def parse_task(task: str) -> tuple[str, int, int, int] | None:
    """Splits a task's name into job ID, occurrence, step and index.

    Returns None if the name is malformed.
    """
    parts = task.split(".")
    if len(parts) != 4 or not all(map(_is_index, parts[1:])):
        return None
    return parts[0], int(parts[1]), int(parts[2]), int(parts[3])


def _is_index(text: str) -> bool:
    # Longer numbers and digits of other scripts can't all be converted.
    return text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS


def decode_progress(
    data: bytes, submission: submissions.Submission | None = None
) -> progressrecords.ProgressRecord:
    """Returns stored progress.

    Args:
        data: The stored form.
        submission: Whose progress it should be; None if that isn't known.

    Raises:
        ProtocolError: The data is not a progress record, or names steps or
            tasks that the submission doesn't have.
    """
    return decoding.decode(
        lambda data: _decode_record(data, submission),
        data,
        "a progress record",
    )


def _decode_record(
    data: bytes, submission: submissions.Submission | None
) -> progressrecords.ProgressRecord:
    record = progressrecords.decode(data)
    if record.phase:
        Phase(record.phase)
    if submission is not None:
        progressrecords.check(record, submission)
    return record


def read_phase(data: bytes) -> Phase:
    """Returns the phase that stored progress implies.

    Raises:
        ProtocolError: The data is not a progress record.
    """
    record = decode_progress(data)
    if record.phase:
        return Phase(record.phase)
    if any((record.done, record.done_ranges, record.finished, record.failures)):
        return Phase.RUNNING
    return Phase.QUEUED
