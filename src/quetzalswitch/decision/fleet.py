"""The decider's view of targets: free capacity, health and runs."""

import typing

from quetzalswitch.acceptance import catalogue

# A target that has answered no lease renewal for this long gets no new task.
# Renewals are sent every 0.7 s; two in a row may be lost.
CONTACT_LIMIT_S: typing.Final = 1.6
# Number of different submissions that fail in a row, without a success, after
# which a target is quarantined. One may be the fault of the submission.
FAILURE_LIMIT_COUNT: typing.Final = 2
# Number of failed runs in a row of submissions that succeed elsewhere, after
# which a target is quarantined even if only one submission failed. One run in
# 50 fails by its own fault, so three in a row are not chance.
FAILED_RUNS_LIMIT_COUNT: typing.Final = 3
# Shortest and longest quarantine; the duration doubles until a run succeeds.
# Faults that users report last 4 to 7 s. A target on probation gets one task
# at a time.
QUARANTINE_MIN_S: typing.Final = 3.0
QUARANTINE_MAX_S: typing.Final = 12.0
# A target that rejects a start gets none for this long. Its capacity may have
# shrunk, and reports of that take up to half a second.
REJECTION_PAUSE_S: typing.Final = 0.3


class Registration(typing.NamedTuple):
    """The properties that a target reports about itself.

    Attributes:
        id: ID of the target.
        service: Pool that the target belongs to.
        address: Host and port of its task interface.
        failure_domain: Its failure domain.
        rack: Label of its rack, or an empty string.
        labels: All labels.
        capacity: Total resources for tasks.
        draining: Whether it is about to leave.
        remaining_s: Shortest time until it leaves; None if not reported.
        boot_ms: Unix time of its start; 0 if unknown.
    """

    id: str
    service: str
    address: str
    failure_domain: str
    rack: str
    labels: frozenset[str]
    capacity: catalogue.Resources
    draining: bool
    remaining_s: float | None
    boot_ms: int


class SilenceSpan(typing.NamedTuple):
    """The span of time in which a target went silent.

    A broken connection gives the moment. A call without an answer only shows
    that it was after the target's last answer.

    Attributes:
        earliest_s: When the target may have gone silent at the earliest.
        latest_s: When it had gone silent for certain.
    """

    earliest_s: float
    latest_s: float

    def is_near(self, other: "SilenceSpan", tolerance_s: float) -> bool:
        """Returns whether both targets may have gone silent together."""
        return (
            self.earliest_s - tolerance_s < other.latest_s
            and other.earliest_s - tolerance_s < self.latest_s
        )


class Target:
    """One target; its allocation includes everything that may run there.

    Attributes:
        id: ID of the target.
        registration: The properties that the target last reported.
        registered: Whether the platform lists the target.
        recorded: Whether the stored list names the target with its address, so
            that the next leader would find its runs.
        runs: Runs that are or may be active there, by task and run number.
        expired_runs: Task and run number of runs whose leases expired while
            the target was silent.
        synced: Whether a lease renewal of this epoch was answered.
        answering: Whether the last call was answered.
        silence: When it went silent, unless it answers.
        last_contact_s: When a lease renewal was last answered.
        boot_ms: Start time that identifies the current incarnation; 0 before
            the first answer.
        incarnation_seen_s: When that incarnation first answered.
    """

    def __init__(self, registration: Registration):
        self.id = registration.id
        self.registration = registration
        self.registered = True
        self.recorded = False
        self.runs: dict[tuple[str, int], typing.Any] = {}
        self.expired_runs: frozenset[tuple[str, int]] = frozenset()
        self.synced = False
        self.answering = False
        self.silence: SilenceSpan | None = None
        self.last_contact_s = float("-inf")
        self.boot_ms = 0
        self.incarnation_seen_s = float("-inf")
        self.cpu = 0
        self.memory_mb = 0
        self.accelerators = 0
        self.last_done_s = float("-inf")
        self.last_failed_s = float("-inf")
        self.quarantined_until_s = float("-inf")
        self.paused_until_s = float("-inf")
        self.probation = False
        self._quarantine_s = QUARANTINE_MIN_S
        self._failed_submissions: set[str] = set()
        self._failed_runs = 0

    def allocate(self, demand: catalogue.Resources) -> None:
        """Allocates the resources of a task."""
        self.cpu += demand.cpu
        self.memory_mb += demand.memory_mb
        self.accelerators += demand.accelerators

    def release(self, demand: catalogue.Resources) -> None:
        """Releases the resources of a task."""
        self.cpu -= demand.cpu
        self.memory_mb -= demand.memory_mb
        self.accelerators -= demand.accelerators

    def free_capacity(self) -> tuple[int, int, int]:
        """Returns the free processor, memory and accelerators."""
        total = self.registration.capacity
        return (
            total.cpu - self.cpu,
            total.memory_mb - self.memory_mb,
            total.accelerators - self.accelerators,
        )

    @property
    def known_boot_ms(self) -> int:
        """Start time of the last known incarnation; 0 if unknown."""
        return self.boot_ms or self.registration.boot_ms

    def begin_incarnation(self, boot_ms: int, now_s: float) -> None:
        """Records that a new incarnation of the target has answered."""
        self.boot_ms = boot_ms
        self.incarnation_seen_s = now_s

    def is_outdated(self, boot_ms: int, sent_s: float) -> bool:
        """Returns whether an answer comes from an earlier incarnation.

        Incarnations don't overlap, so a late answer of an earlier one can only
        belong to a call that was sent before the current one first answered.
        Start times are not compared: the target's wall clock may have been set
        back.

        Args:
            boot_ms: Start time of the incarnation that answered.
            sent_s: When the call was sent.
        """
        return boot_ms != self.boot_ms and sent_s < self.incarnation_seen_s

    def mark_silent(self, earliest_s: float, now_s: float) -> None:
        """Records that a call was left without an answer."""
        if self.answering:
            self.answering = False
            self.silence = SilenceSpan(earliest_s, now_s)

    def mark_answering(self, now_s: float) -> None:
        """Records that a lease renewal was answered."""
        self.answering = True
        self.silence = None
        self.last_contact_s = now_s

    def is_silent_for(self, seconds: float, now_s: float) -> bool:
        """Returns whether no call has been answered for so long."""
        return (
            self.silence is not None and now_s - self.silence.latest_s > seconds
        )

    def is_reachable(self, now_s: float) -> bool:
        """Returns whether commands are likely to reach the target."""
        return (
            self.synced
            and self.answering
            and now_s - self.last_contact_s < CONTACT_LIMIT_S
        )

    def is_quarantined(self, now_s: float) -> bool:
        """Returns whether the target gets no new task for now."""
        if now_s < max(self.quarantined_until_s, self.paused_until_s):
            return True
        return self.probation and bool(self.runs)

    def pause(self, now_s: float) -> None:
        """Keeps new tasks away for a short time after a rejected start."""
        self.paused_until_s = now_s + REJECTION_PAUSE_S

    @property
    def trusted(self) -> bool:
        """Whether a task may make its last attempt here."""
        return not self.probation and self.last_done_s >= self.last_failed_s

    def record_success(self, now_s: float) -> None:
        """Records a successful run, which ends any probation."""
        self.last_done_s = now_s
        self.probation = False
        self._failed_submissions.clear()
        self._failed_runs = 0
        self._quarantine_s = QUARANTINE_MIN_S

    def record_failed_run(
        self, submission_id: str, succeeds_elsewhere: bool, now_s: float
    ) -> bool:
        """Records a failed run; returns whether it starts a quarantine.

        Args:
            submission_id: The submission whose task failed.
            succeeds_elsewhere: Whether other tasks of the submission are done.
            now_s: Monotonic time.
        """
        self.last_failed_s = now_s
        self._failed_submissions.add(submission_id)
        self._failed_runs += succeeds_elsewhere
        suspect = (
            len(self._failed_submissions) >= FAILURE_LIMIT_COUNT
            or self._failed_runs >= FAILED_RUNS_LIMIT_COUNT
        )
        if not suspect and not self.probation:
            return False
        return self.quarantine(now_s)

    def quarantine(self, now_s: float) -> bool:
        """Starts a quarantine; returns False if one is already active."""
        if now_s < self.quarantined_until_s:
            return False
        self.quarantined_until_s = now_s + self._quarantine_s
        self._quarantine_s = min(2 * self._quarantine_s, QUARANTINE_MAX_S)
        self.probation = True
        self._failed_submissions.clear()
        self._failed_runs = 0
        return True
