"""Targets as the decider sees them: room, health and what they run."""

import typing

from quetzalswitch.acceptance import catalogue

# A target whose holds have not been answered for this long gets no new task.
# Holds are sent every 0.7 s; two in a row may be lost.
CONTACT_LIMIT_S: typing.Final = 1.6
# Failures of different submissions in a row, without a success, after which a
# target is set aside. One may be the fault of the submission.
FAILURE_LIMIT_COUNT: typing.Final = 2
# Failed runs in a row of a submission that succeeds elsewhere, after which a
# target is set aside without waiting for a second victim. One run in fifty
# fails by its own fault, so three in a row are not chance.
FAILED_RUNS_LIMIT_COUNT: typing.Final = 3
# First and longest time for which a target is set aside. Faults that the users
# report last 4 to 7 s; a target on probation gets one task at a time.
QUARANTINE_MIN_S: typing.Final = 3.0
QUARANTINE_MAX_S: typing.Final = 12.0


class Registration(typing.NamedTuple):
    """What a target says of itself.

    Attributes:
        id: ID of the target.
        service: Pool that the target belongs to.
        address: Host and port of its task interface.
        failure_domain: Where it stands.
        rack: Label of its rack, or an empty string.
        labels: All labels.
        capacity: Room for tasks.
        draining: Whether it is about to leave.
        remaining_s: Least time until it leaves, if it says so.
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


class Target:
    """One target; its room counts everything that may be running there.

    Attributes:
        id: ID of the target.
        registration: What the target last said of itself.
        registered: Whether the platform's list has it.
        runs: What runs or may run there, by task and run number.
        synced: Whether a hold of this epoch was answered.
        contact_s: When a hold was last answered.
        boot_ms: Lifetime that answered the last hold.
        born_heard_s: When that lifetime was first heard.
    """

    def __init__(self, registration: Registration):
        self.id = registration.id
        self.registration = registration
        self.registered = True
        self.runs: dict[tuple[str, int], typing.Any] = {}
        self.synced = False
        self.contact_s = float("-inf")
        self.boot_ms = 0
        self.born_heard_s = float("-inf")
        self.cpu = 0
        self.memory_mb = 0
        self.accelerators = 0
        self.last_done_s = float("-inf")
        self.last_failed_s = float("-inf")
        self.quarantined_until_s = float("-inf")
        self.probation = False
        self._quarantine_s = QUARANTINE_MIN_S
        self._failed_submissions: set[str] = set()
        self._failed_runs = 0

    def take(self, need: catalogue.Resources) -> None:
        """Counts room as taken."""
        self.cpu += need.cpu
        self.memory_mb += need.memory_mb
        self.accelerators += need.accelerators

    def release(self, need: catalogue.Resources) -> None:
        """Counts room as free again."""
        self.cpu -= need.cpu
        self.memory_mb -= need.memory_mb
        self.accelerators -= need.accelerators

    def free(self) -> tuple[int, int, int]:
        """Returns free processor, memory and accelerators."""
        room = self.registration.capacity
        return (
            room.cpu - self.cpu,
            room.memory_mb - self.memory_mb,
            room.accelerators - self.accelerators,
        )

    def begin_lifetime(self, boot_ms: int, now_s: float) -> None:
        """Notes that another lifetime of the target was heard."""
        self.boot_ms = boot_ms
        self.born_heard_s = now_s

    def is_outdated(self, boot_ms: int, sent_s: float) -> bool:
        """Tells whether an answer is of a lifetime that has ended.

        Lifetimes follow each other, so only a call from before this one was
        heard can be answered by another one late. Births are not compared:
        the target's time of day may have been set back.

        Args:
            boot_ms: Lifetime that answered.
            sent_s: When the call was sent.
        """
        return boot_ms != self.boot_ms and sent_s < self.born_heard_s

    def is_reachable(self, now_s: float) -> bool:
        """Tells whether orders are likely to arrive."""
        return self.synced and now_s - self.contact_s < CONTACT_LIMIT_S

    def is_quarantined(self, now_s: float) -> bool:
        """Tells whether new tasks are kept away."""
        if now_s < self.quarantined_until_s:
            return True
        return self.probation and bool(self.runs)

    @property
    def trusted(self) -> bool:
        """Whether a task may make its last attempt here."""
        return not self.probation and self.last_done_s >= self.last_failed_s

    def note_done(self, now_s: float) -> None:
        """Notes a success, which ends any suspicion."""
        self.last_done_s = now_s
        self.probation = False
        self._failed_submissions.clear()
        self._failed_runs = 0
        self._quarantine_s = QUARANTINE_MIN_S

    def note_failed(
        self, submission_id: str, succeeds_elsewhere: bool, now_s: float
    ) -> bool:
        """Notes a failed run; returns whether the target was set aside.

        Args:
            submission_id: The submission whose task failed.
            succeeds_elsewhere: Whether other tasks of it are done.
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
        return self.set_aside(now_s)

    def set_aside(self, now_s: float) -> bool:
        """Keeps new tasks away for a while; returns whether that is new."""
        if now_s < self.quarantined_until_s:
            return False
        self.quarantined_until_s = now_s + self._quarantine_s
        self._quarantine_s = min(2 * self._quarantine_s, QUARANTINE_MAX_S)
        self.probation = True
        self._failed_submissions.clear()
        self._failed_runs = 0
        return True
