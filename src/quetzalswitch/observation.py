"""Turns events of a request's life into metrics and spans."""

import collections
import typing
from collections.abc import Callable

from quetzalswitch import clock as clocks
from quetzalswitch import decisions
from quetzalswitch import exceptions
from quetzalswitch import logs
from quetzalswitch import metrics as metric_sets
from quetzalswitch import records
from quetzalswitch import tracing

# Bounds memory when ends are never reported, say after a takeover.
TRACKED_RUNS_COUNT: typing.Final = 10_000


class _Run(typing.NamedTuple):
    """An attempt that was started here; the time is that of its start."""

    request: records.Request
    started_s: float


class Observer:
    """Receives events from the tasks of an entry process.

    Args:
        clock: Source of time.
        metrics: Metrics of this process.
        tracer: Spans of this process.
        find_domain: Returns the failure domain of a target.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        metrics: metric_sets.Metrics,
        tracer: tracing.Tracer,
        find_domain: Callable[[str], str],
    ):
        self._clock = clock
        self._metrics = metrics
        self._tracer = tracer
        self._find_domain = find_domain
        self._runs: collections.OrderedDict[str, _Run] = (
            collections.OrderedDict()
        )

    def observe(self, name: str, **fields: typing.Any) -> None:
        """Records an event; an unknown name is ignored."""
        match name:
            case "accepted":
                self._note_accepted(fields["request"])
            case "started":
                self._note_started(fields["request"], fields["attempts"])
            case "running":
                self._note_running(fields["attempt"])
            case "decided":
                self._note_decided(fields["duration_s"], fields["decisions"])
            case "answered":
                self._note_answered(**fields)
            case "abandoned":
                self._metrics.count("quetzal_jobs_abandoned_total")
                key = fields["request"].key
                logs.write("request_abandoned", request=key)
            case "refused":
                self._metrics.count(
                    "quetzal_refusals_total", kind=fields["kind"]
                )
            case "forwarded":
                self._record(fields["request"], "hand_over", 0.0)
            case "recorded":
                self._record(
                    fields["request"], "store_write", fields["duration_s"]
                )
            case "written":
                self._metrics.observe(
                    "quetzal_store_write_seconds", fields["duration_s"]
                )
            case "ended":
                self._note_ended(fields["attempt"], fields["outcome"])
            case "late":
                self._metrics.count("quetzal_results_discarded_total")
                logs.write("result_discarded", request=fields["request"].key)
            case "claimed":
                self._metrics.count("quetzal_epochs_granted_total")
                logs.write(
                    "target_claimed",
                    target=fields["target_id"],
                    epoch=fields["epoch"],
                )
            case "target_lost":
                self._metrics.count(
                    "quetzal_epochs_lost_total", reason=fields["reason"]
                )

    def _note_accepted(self, request: records.Request) -> None:
        kind = _name_kind(request.kind)
        self._metrics.count("quetzal_requests_total", kind=kind)
        waited_s = self._clock.now() - request.submitted_s
        self._record(request, "admission", waited_s, queue=request.queue)

    def _note_decided(
        self, duration_s: float, chosen: list[decisions.Decision]
    ) -> None:
        self._metrics.observe("quetzal_decision_seconds", duration_s)
        for decision in chosen:
            if isinstance(decision, decisions.Start):
                self._record(decision.request, "decision", duration_s)

    def _note_started(
        self, request: records.Request, attempts: list[records.Attempt]
    ) -> None:
        waited_s = self._clock.now() - request.submitted_s
        self._metrics.observe(
            "quetzal_wait_seconds",
            waited_s,
            kind=_name_kind(request.kind),
            team=request.team,
        )
        self._record(request, "queue", waited_s)
        self._record(request, "start", 0.0)
        for attempt in attempts:
            run = _Run(request, self._clock.now())
            self._runs[attempt.attempt_id] = run
            if len(self._runs) > TRACKED_RUNS_COUNT:
                self._runs.popitem(last=False)

    def _note_running(self, attempt: records.Attempt) -> None:
        domain = self._find_domain(attempt.target_id)
        self._metrics.count("quetzal_starts_total", domain=domain)
        run = self._runs.get(attempt.attempt_id)
        if run is not None:
            started = run._replace(started_s=self._clock.now())
            self._runs[attempt.attempt_id] = started

    def _note_ended(self, attempt: records.Attempt, outcome: str) -> None:
        self._metrics.count("quetzal_attempts_ended_total", outcome=outcome)
        run = self._runs.pop(attempt.attempt_id, None)
        # An attempt that was found on a claimed target has no request here.
        if run is not None and outcome != "not_started":
            self._record(
                run.request,
                "run",
                self._clock.now() - run.started_s,
                target=attempt.target_id,
                outcome=outcome,
            )

    def _note_answered(
        self,
        request: records.Request,
        state: str,
        error: exceptions.RequestError | None,
    ) -> None:
        if error is not None:
            kind = error.kind.value
            self._metrics.count("quetzal_refusals_total", kind=kind)
            _log_error(request, error)
        total_s = self._clock.now() - request.submitted_s
        self._record(request, "answer", 0.0, state=state)
        self._record(request, "request", total_s, state=state)

    def _record(
        self, request: records.Request, hop: str, duration_s: float, **fields
    ) -> None:
        if request.trace_id:
            self._tracer.record(
                request.trace_id, request.key, hop, duration_s, **fields
            )


def _log_error(
    request: records.Request, error: exceptions.RequestError
) -> None:
    match error.kind:
        case exceptions.ErrorKind.OUTCOME_UNKNOWN:
            logs.write(
                "outcome_unknown", request=request.key, reason=error.message
            )
        case exceptions.ErrorKind.NEVER_FITS:
            logs.write("never_fits", team=request.team, queue=request.queue)
        case exceptions.ErrorKind.QUEUE_FULL | exceptions.ErrorKind.TOO_LATE:
            logs.write(
                "request_refused", kind=error.kind.value, queue=request.queue
            )


def _name_kind(kind: records.Kind) -> str:
    match kind:
        case records.LatencyBound():
            return "latency"
        case records.Batch():
            return "batch"
        case records.Service():
            return "service"
        case records.Gang():
            return "gang"
