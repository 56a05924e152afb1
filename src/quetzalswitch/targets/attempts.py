"""Attempt state of one target link; does no I/O."""

import dataclasses
import math
import typing
from collections.abc import Callable
from collections.abc import Iterable

from quetzalswitch import clock as clocks
from quetzalswitch import records
from quetzalswitch.targets import events
from quetzalswitch.targets import protocol

_OUTCOMES: typing.Final = {
    "finished": events.Outcome.FINISHED,
    "stopped": events.Outcome.PREEMPTED,
    "checkpointed": events.Outcome.PREEMPTED,
    "lapsed": events.Outcome.LOST,
}


@dataclasses.dataclass
class _TrackedAttempt:
    """A sent or reported attempt; `sent_s` is the clock time of either."""

    request_key: str
    lease_s: float
    sent_s: float
    boot_id: str
    resolved: bool


@dataclasses.dataclass
class _PendingOutcome:
    """An outcome that is reported again until it is acknowledged."""

    event: events.AttemptEnded
    repeat_at_s: float


class AttemptTracker:
    """Tracks the attempts of one target from start to acknowledgement.

    Args:
        clock: Clock that lease expiry is measured on.
        late_s: Longest time, in seconds, after which a
            sent start or `sync` may still take effect, with a margin for
            clock drift.
        repeat_s: Seconds before an unacknowledged outcome is reported again.
        emit: Callback for each event; must not block.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        max_effect_delay_s: float,
        repeat_s: float,
        emit: Callable[[events.Event], None],
    ):
        self._clock = clock
        self._max_effect_delay_s = max_effect_delay_s
        self._repeat_s = repeat_s
        self._emit = emit
        self._tracked: dict[str, _TrackedAttempt] = {}
        self._ended: dict[str, _PendingOutcome] = {}
        self._acknowledged: set[str] = set()
        self._sync_sent_s = -math.inf

    def record_sent(self, attempt: records.Attempt, boot_id: str) -> None:
        """Starts tracking an attempt; call it before sending the start."""
        self._tracked[attempt.attempt_id] = _TrackedAttempt(
            attempt.request_key,
            attempt.lease_s,
            self._clock.now(),
            boot_id,
            False,
        )

    def record_sync_sent(self) -> None:
        """Records a renewal's time; it may succeed without an answer."""
        self._sync_sent_s = self._clock.now()

    def is_unresolved(self, attempt_id: str) -> bool:
        """Returns whether the outcome of the attempt's start is unknown."""
        tracked = self._tracked.get(attempt_id)
        return tracked is not None and not tracked.resolved

    def has_unresolved(self) -> bool:
        """Returns whether the outcome of any start is unknown."""
        return any(not tracked.resolved for tracked in self._tracked.values())

    def is_empty(self) -> bool:
        """Returns whether no attempt is tracked."""
        return not self._tracked

    def get_boot_id(self, attempt_id: str) -> str:
        """Returns the target's boot ID at the time the attempt was sent."""
        return self._tracked[attempt_id].boot_id

    def resolve(
        self, attempt_id: str, state: events.StartState, reason: str = ""
    ) -> None:
        """Reports the outcome of a start; does nothing if already reported."""
        if not self.is_unresolved(attempt_id):
            return
        self._tracked[attempt_id].resolved = True
        if state is not events.StartState.STARTED:
            del self._tracked[attempt_id]
        self._emit(events.StartResolved(attempt_id, state, reason))

    def handle_running(self, reports: list[protocol.AttemptReport]) -> None:
        """Resolves starts whose attempts the target reports as running."""
        for report in reports:
            self.resolve(report["attempt_id"], events.StartState.STARTED)

    def handle_results(self, bodies: list[protocol.ResultBody]) -> None:
        """Reports results that are new to this link."""
        for body in bodies:
            attempt_id = body["attempt_id"]
            if attempt_id in self._ended or attempt_id in self._acknowledged:
                continue
            self.resolve(attempt_id, events.StartState.STARTED)
            self._report_ended(
                attempt_id, _OUTCOMES[body["ended"]], read_result(body)
            )

    def handle_inventory(self, answer: protocol.ClaimAnswer) -> None:
        """Tracks the attempts reported by a newly claimed target.

        A resolved attempt that the target no longer knows was acknowledged
        by another holder, so it is dropped without an event.
        """
        reports = {
            report["attempt_id"]: report
            for report in (*answer["running"], *answer["finished_reports"])
        }
        for attempt_id, tracked in list(self._tracked.items()):
            if tracked.resolved and attempt_id not in reports:
                del self._tracked[attempt_id]
        for attempt_id, report in reports.items():
            if attempt_id in self._tracked:
                self.resolve(attempt_id, events.StartState.STARTED)
            elif attempt_id not in self._ended:
                self._tracked[attempt_id] = _TrackedAttempt(
                    report["request_key"],
                    report["lease_ms"] / 1000,
                    self._clock.now(),
                    answer["boot_id"],
                    True,
                )
        self.handle_results(answer["finished"])

    def report_other_boots_lost(self, boot_id: str) -> None:
        """Reports attempts of other boots as lost; a restart ends all tasks."""
        for attempt_id, tracked in list(self._tracked.items()):
            if tracked.boot_id != boot_id:
                self._report_lost(attempt_id, "target_restarted")

    def drop_handed_over(self) -> None:
        """Drops attempts that the next holder of the target will report."""
        for attempt_id, tracked in list(self._tracked.items()):
            if tracked.resolved:
                del self._tracked[attempt_id]
        for attempt_id, ended in list(self._ended.items()):
            if ended.event.outcome is not events.Outcome.LOST:
                del self._ended[attempt_id]
        self._acknowledged.clear()

    def acknowledge(self, attempt_ids: Iterable[str]) -> None:
        """Stops repeating outcomes; the target may then drop them."""
        for attempt_id in attempt_ids:
            if self._ended.pop(attempt_id, None) is not None:
                self._acknowledged.add(attempt_id)

    def acknowledged(self) -> list[str]:
        """Returns acknowledged attempts that the target may still keep."""
        return list(self._acknowledged)

    def forget_acknowledged(self, attempt_ids: Iterable[str]) -> None:
        """Drops attempts whose acknowledgement reached the target."""
        self._acknowledged.difference_update(attempt_ids)

    def received(self) -> list[str]:
        """Returns attempts with a received but unacknowledged outcome."""
        return list(self._ended)

    def expire_task_leases(self) -> None:
        """Reports attempts on an unresponsive target after lease expiry.

        The lease runs from the last `sync` sent, not the last one answered:
        the target may have processed a `sync` whose answer was lost.
        """
        now_s = self._clock.now()
        for attempt_id, tracked in list(self._tracked.items()):
            renewed_s = max(tracked.sent_s, self._sync_sent_s)
            if now_s >= renewed_s + self._max_effect_delay_s + tracked.lease_s:
                self._report_lost(attempt_id, "target_silent")

    def repeat_unacknowledged(self) -> None:
        """Reports outcomes again that are unacknowledged after a pause."""
        now_s = self._clock.now()
        for ended in self._ended.values():
            if now_s >= ended.repeat_at_s:
                ended.repeat_at_s = now_s + self._repeat_s
                self._emit(ended.event)

    def _report_lost(self, attempt_id: str, reason: str) -> None:
        if self.is_unresolved(attempt_id):
            self.resolve(attempt_id, events.StartState.UNKNOWN, reason)
            return
        result = records.Result(attempt_id, False, error=reason)
        self._report_ended(attempt_id, events.Outcome.LOST, result)

    def _report_ended(
        self,
        attempt_id: str,
        outcome: events.Outcome,
        result: records.Result,
    ) -> None:
        tracked = self._tracked.pop(attempt_id, None)
        request_key = tracked.request_key if tracked else ""
        event = events.AttemptEnded(attempt_id, request_key, outcome, result)
        repeat_at_s = self._clock.now() + self._repeat_s
        self._ended[attempt_id] = _PendingOutcome(event, repeat_at_s)
        self._emit(event)


def read_result(body: protocol.ResultBody) -> records.Result:
    """Converts a result from its wire format."""
    return records.Result(
        body["attempt_id"],
        body["ok"],
        body["body"],
        body["object_key"],
        body["length_bytes"],
        body["digest"],
        body["error"],
    )
