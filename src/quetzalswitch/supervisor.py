"""Follows the attempts that run on the targets controlled here."""

from collections.abc import Callable

from quetzalswitch import allowances
from quetzalswitch import clock as clocks
from quetzalswitch import events
from quetzalswitch import placements
from quetzalswitch import records
from quetzalswitch import reports
from quetzalswitch import scheduler as schedulers
from quetzalswitch.peers import protocol as peer_protocol
from quetzalswitch.targets import events as link_events
from quetzalswitch.targets import protocol as target_protocol


class Supervisor:
    """The part of the placer that deals with targets and attempts.

    It is called by the placer only.

    Args:
        clock: Source of time.
        scheduler: The policy.
        ledger: Allowances held and used.
        surroundings: The rest of the process.
        on_gone: Is told that an attempt no longer runs: (attempt).
    """

    def __init__(
        self,
        clock: clocks.Clock,
        scheduler: schedulers.Scheduler,
        ledger: allowances.Ledger,
        surroundings: placements.Surroundings,
        on_gone: Callable[[records.Attempt], None],
    ):
        self._clock = clock
        self._scheduler = scheduler
        self._ledger = ledger
        self._around = surroundings
        self._on_gone = on_gone
        self._running: dict[str, records.Attempt] = {}
        self._ended: dict[str, str] = {}
        self._orphans: dict[str, records.Attempt] = {}
        self._condemned: dict[str, str] = {}
        self._targets: set[str] = set()
        self._leaving: frozenset[str] = frozenset()

    def handle(self, event: link_events.Event) -> None:
        """Handles an event of a target's link."""
        match event:
            case link_events.TargetClaimed():
                self._add_target(event)
            case link_events.TargetLost(target_id, reason):
                self._lose_target(target_id, reason)
            case link_events.TargetReported():
                self._read_report(event)
            case link_events.StartResolved():
                self._resolve_start(event)
            case link_events.AttemptEnded():
                self._end_attempt(event)

    def is_usable(self, target_id: str) -> bool:
        """Tells whether starts may be sent to a target."""
        return target_id in self._targets

    def start(
        self, request: records.Request, attempts: list[records.Attempt]
    ) -> None:
        """Charges and sends the attempts of a request."""
        for attempt in attempts:
            self._ledger.charge(request.team, attempt.attempt_id)
            self._running[attempt.attempt_id] = attempt
        self._tell_started(request.key, request.home, attempts)
        by_target: dict[str, list[records.Attempt]] = {}
        for attempt in attempts:
            by_target.setdefault(attempt.target_id, []).append(attempt)
        for target_id, group in by_target.items():
            command = link_events.StartAttempts(
                tuple(group), (request,) * len(group), len(attempts) > 1
            )
            self._around.to_target(target_id, command)

    def condemn(self, attempt_id: str, target_id: str, reason: str) -> None:
        """Stops an attempt whose job is at fault."""
        self._condemned[attempt_id] = reason
        self.stop(attempt_id, target_id, "stop")

    def stop(self, attempt_id: str, target_id: str, mode: str) -> None:
        """Stops, checkpoints or throttles an attempt."""
        command = link_events.StopAttempt(attempt_id, mode)
        self._around.to_target(target_id, command)

    def stop_request(self, request_key: str) -> None:
        """Stops every known attempt of a request."""
        for attempt in list(self._running.values()):
            if attempt.request_key == request_key:
                self.stop(attempt.attempt_id, attempt.target_id, "stop")

    def _tell_started(
        self, request_key: str, home: str, attempts: list[records.Attempt]
    ) -> None:
        attempt_ids = [attempt.attempt_id for attempt in attempts]
        target_ids = [attempt.target_id for attempt in attempts]
        if home == self._around.incarnation:
            self._around.to_home(
                events.Started(
                    request_key, tuple(attempt_ids), tuple(target_ids)
                )
            )
            return
        peer = self._around.entry_of(home)
        if peer:
            self._around.send(
                peer,
                peer_protocol.AttemptStarted(
                    request_key, attempt_ids, target_ids
                ),
            )

    def _resolve_start(self, event: link_events.StartResolved) -> None:
        attempt = self._running.get(event.attempt_id)
        if attempt is None:
            return
        match event.state:
            case link_events.StartState.STARTED:
                self._scheduler.attempt_started(event.attempt_id)
                self._around.observe("running", attempt=attempt)
            case link_events.StartState.NOT_STARTED:
                self._scheduler.not_started(event.attempt_id)
                result = records.Result(
                    event.attempt_id, False, error=event.reason
                )
                self._report(attempt, "not_started", result)
                self._discharge(attempt)
            case link_events.StartState.UNKNOWN:
                self._make_orphan(attempt)

    def _end_attempt(self, event: link_events.AttemptEnded) -> None:
        attempt = self._running.get(event.attempt_id)
        if attempt is None:
            return
        outcome = event.outcome.value
        if outcome == "lost" and event.result.error == "target_silent":
            # Another entry may control the target by now and renew the task's
            # lease, so only the recovery task can tell that it has ended.
            self._make_orphan(attempt)
            return
        result = event.result
        reason = self._condemned.pop(event.attempt_id, "")
        if reason:
            outcome = "finished"
            result = result._replace(ok=False, error=reason)
        failed = outcome == "finished" and not result.ok
        verdict = self._scheduler.attempt_ended(
            event.attempt_id, "failed" if failed else outcome
        )
        abandon = bool(reason) or (
            failed and verdict is schedulers.Verdict.ABANDON
        )
        self._ended[event.attempt_id] = attempt.target_id
        self._report(attempt, outcome, result, abandon)
        self._discharge(attempt)

    def _report(
        self,
        attempt: records.Attempt,
        outcome: str,
        result: records.Result,
        abandon: bool = False,
    ) -> None:
        message = events.Outcome(
            attempt.request_key,
            outcome,
            result,
            attempt.target_id,
            abandon=abandon,
        )
        self._around.observe("ended", attempt=attempt, outcome=outcome)
        if attempt.home == self._around.incarnation:
            self._around.to_home(message)
        else:
            self._around.to_reporter(reports.Report(message, attempt.home))

    def _discharge(self, attempt: records.Attempt) -> None:
        """Forgets an attempt that no longer runs."""
        self._running.pop(attempt.attempt_id, None)
        self._orphans.pop(attempt.attempt_id, None)
        if attempt.holder == self._around.incarnation:
            self._ledger.release(attempt.attempt_id)
        self._on_gone(attempt)

    def acknowledge(self, attempt_id: str) -> None:
        """Lets the target forget an outcome that its home has stored."""
        target_id = self._ended.pop(attempt_id, "")
        if target_id:
            command = link_events.Acknowledge((attempt_id,))
            self._around.to_target(target_id, command)

    def _make_orphan(self, attempt: records.Attempt) -> None:
        """Leaves it to the recovery task to find out when it has ended."""
        if attempt.attempt_id in self._orphans:
            return
        self._orphans[attempt.attempt_id] = attempt
        self._around.to_recovery(events.HoldAttempt(attempt))

    def clear_orphan(self, attempt_id: str) -> None:
        """Gives up an attempt that has surely ended."""
        attempt = self._orphans.get(attempt_id)
        if attempt is None:
            return
        self._scheduler.attempt_ended(attempt_id, "lost")
        result = records.Result(attempt_id, False, error="target lost")
        self._report(attempt, "lost", result)
        self._discharge(attempt)

    def _add_target(self, event: link_events.TargetClaimed) -> None:
        target = event.target
        if target.target_id in self._leaving:
            target = target._replace(leaving=True)
        self._targets.add(target.target_id)
        running = [
            _read_attempt(report, target.target_id) for report in event.running
        ]
        finished = [
            _read_attempt(report, target.target_id)
            for report in event.finished_reports
        ]
        for attempt in (*running, *finished):
            self._orphans.pop(attempt.attempt_id, None)
            self._running[attempt.attempt_id] = attempt
        self._scheduler.add_target(target, running)
        for attempt in running:
            self._tell_started(attempt.request_key, attempt.home, [attempt])
        self._around.observe(
            "claimed", target_id=target.target_id, epoch=event.epoch
        )

    def _lose_target(self, target_id: str, reason: str) -> None:
        self._targets.discard(target_id)
        self._scheduler.remove_target(target_id)
        for attempt in list(self._running.values()):
            if attempt.target_id != target_id:
                continue
            if attempt.holder == self._around.incarnation:
                self._make_orphan(attempt)
            else:
                self._running.pop(attempt.attempt_id)
        self._around.observe("target_lost", target_id=target_id, reason=reason)

    def note_leaving(self, target_ids: frozenset[str]) -> None:
        """Notes which targets the platform lists as leaving.

        A target need not know that it is leaving, so its own reports don't
        take this back.
        """
        for target_id in target_ids ^ self._leaving:
            leaving = target_id in target_ids
            self._scheduler.update_target(target_id, leaving)
        self._leaving = target_ids

    def _read_report(self, event: link_events.TargetReported) -> None:
        leaving = event.leaving or event.target_id in self._leaving
        self._scheduler.update_target(event.target_id, leaving)
        for report in event.running:
            usage = records.Resources(**report["usage"])
            age_s = report["usage_age_ms"] / 1000
            self._scheduler.report_usage(report["attempt_id"], usage, age_s)

    def move_home(self, new_home: str, request_keys: frozenset[str]) -> None:
        """Addresses outcomes of adopted requests to their new home."""
        for attempt_id, attempt in self._running.items():
            if attempt.request_key in request_keys:
                moved = attempt._replace(home=new_home)
                self._running[attempt_id] = moved

    def controlled(self) -> list[str]:
        """Returns the targets that this process controls."""
        return sorted(self._targets)

    def attempts_of(self, request_keys: set[str]) -> list[records.Attempt]:
        """Returns known attempts of the given requests on these targets."""
        return [
            attempt
            for attempt in self._running.values()
            if attempt.request_key in request_keys
            and attempt.target_id in self._targets
        ]

    def foreign(self) -> list[tuple[str, str, int]]:
        """Returns running tasks charged to another holder, by team."""
        counts: dict[tuple[str, str], int] = {}
        for attempt in self._running.values():
            if attempt.holder != self._around.incarnation:
                pair = (attempt.holder, attempt.team)
                counts[pair] = counts.get(pair, 0) + 1
        return [(holder, team, n) for (holder, team), n in counts.items()]


def _read_attempt(
    report: target_protocol.AttemptReport, target_id: str
) -> records.Attempt:
    return records.Attempt(
        attempt_id=report["attempt_id"],
        request_key=report["request_key"],
        team=report["team"],
        target_id=target_id,
        size=records.Resources(**report["size"]),
        holder=report["holder"],
        home=report["home"],
        lease_s=report["lease_ms"] / 1000,
        task_index=report["task_index"],
    )
