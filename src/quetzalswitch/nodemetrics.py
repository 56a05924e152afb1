"""Metrics of an entry process on the users' platform.

docs/OPERATIONS.md contains the same table. The log counts its own events, so
there is a count for every event that it can contain.
"""

import typing
from collections.abc import Callable

from quetzalswitch import metrics
from quetzalswitch import nodelog

DECLARATIONS: typing.Final = (
    metrics.Declaration(
        "quetzal_node_accept_seconds",
        "histogram",
        ("outcome",),
        "Time from a submission to its answer: stored, repeated or refused.",
        metrics.WAIT_BUCKETS_S,
    ),
    metrics.Declaration(
        "quetzal_node_wait_seconds",
        "histogram",
        ("priority",),
        "Time that a step waited for its first start, by its queue's priority.",
        metrics.WAIT_BUCKETS_S,
    ),
    metrics.Declaration(
        "quetzal_node_placements_total",
        "counter",
        ("place",),
        "Starts of tasks that prefer a rack: near, away.",
    ),
    metrics.Declaration(
        "quetzal_node_near_wait_seconds",
        "histogram",
        ("outcome",),
        "Time that a task waited for a near target: started near, away (the"
        " wait did not pay), not started.",
        metrics.WAIT_BUCKETS_S,
    ),
    metrics.Declaration(
        "quetzal_node_completion_seconds",
        "histogram",
        ("priority",),
        "Time from acceptance until callers are shown the completion.",
        metrics.WAIT_BUCKETS_S,
    ),
    metrics.Declaration(
        "quetzal_node_decision_seconds",
        "histogram",
        (),
        "Time of one pass over the waiting steps.",
        metrics.DECISION_BUCKETS_S,
    ),
    metrics.Declaration(
        "quetzal_node_store_call_seconds",
        "histogram",
        ("call",),
        "Time of a call of the store that was answered; feeds that wait are"
        " left out.",
        metrics.WAIT_BUCKETS_S,
    ),
    metrics.Declaration(
        "quetzal_node_advice_seconds",
        "histogram",
        ("outcome",),
        "Time of a call for placement advice: answered or missing.",
        metrics.WAIT_BUCKETS_S,
    ),
    metrics.Declaration(
        "quetzal_node_advice_calls_total",
        "counter",
        ("queue", "outcome"),
        "Answered calls for placement advice: their tickets were used, or"
        " expired unused.",
    ),
    metrics.Declaration(
        "quetzal_node_store_calls_total",
        "counter",
        ("outcome",),
        "Calls of the store: answered, refused, or without an answer.",
    ),
    metrics.Declaration(
        "quetzal_node_refusals_total",
        "counter",
        ("kind",),
        "Requests answered with an error, by error kind.",
    ),
    metrics.Declaration(
        "quetzal_node_connections_closed_total",
        "counter",
        ("reason",),
        "Connections of clients that the server closed, by reason.",
    ),
    metrics.Declaration(
        "quetzal_node_connections",
        "gauge",
        (),
        "Open connections of callers.",
    ),
    metrics.Declaration(
        "quetzal_node_events_total",
        "counter",
        ("event",),
        "Log events, also those whose line was dropped.",
    ),
    metrics.Declaration(
        "quetzal_node_log_dropped_total",
        "counter",
        (),
        "Log lines left out because the queue was full.",
    ),
    metrics.Declaration(
        "quetzal_node_log_queue_lines",
        "gauge",
        (),
        "Log lines that are not written yet.",
    ),
    metrics.Declaration(
        "quetzal_node_requests_in_flight",
        "gauge",
        (),
        "Requests of callers that are being answered.",
    ),
    metrics.Declaration(
        "quetzal_node_configuration_version",
        "gauge",
        (),
        "Version of the operators' configuration in force.",
    ),
    metrics.Declaration(
        "quetzal_node_epoch", "gauge", (), "Highest epoch that is known."
    ),
    metrics.Declaration(
        "quetzal_node_leading",
        "gauge",
        (),
        "1 if this process decides, else 0.",
    ),
    metrics.Declaration(
        "quetzal_node_links",
        "gauge",
        ("state",),
        "Links to other entry processes: working, one_way, unheard, refused,"
        " failed, closed.",
    ),
    metrics.Declaration(
        "quetzal_node_leader_heard_age_seconds",
        "gauge",
        (),
        "Time since the leader's last heartbeat; 0 for the leader.",
    ),
    metrics.Declaration(
        "quetzal_node_peers_alive",
        "gauge",
        (),
        "Other entry processes heard within the silence limit.",
    ),
    metrics.Declaration(
        "quetzal_node_store_answer_age_seconds",
        "gauge",
        (),
        "Time since the store last answered this process.",
    ),
    metrics.Declaration(
        "quetzal_node_table_age_seconds",
        "gauge",
        ("table",),
        "Time for which the rows of a table that are in use were not"
        " confirmed.",
    ),
    metrics.Declaration(
        "quetzal_node_target_speed",
        "gauge",
        ("part",),
        "Learned speed that a tenth of the targets stay below (slow) or exceed"
        " (fast); 1 is usual; the deciding process only.",
    ),
    metrics.Declaration(
        "quetzal_node_speeds",
        "gauge",
        ("state",),
        "Targets by whether their speed is known and work is placed by it:"
        " unknown, known, used; the deciding process only.",
    ),
    metrics.Declaration(
        "quetzal_node_jobs_pending",
        "gauge",
        ("queue",),
        "Accepted submissions without a start; the deciding process only.",
    ),
    metrics.Declaration(
        "quetzal_node_steps_waiting",
        "gauge",
        ("reason",),
        "Steps that could start, by why they wait: turn (room, tickets or their"
        " turn), team_limit, no_target, takeover; the deciding process only.",
    ),
    metrics.Declaration(
        "quetzal_node_runs",
        "gauge",
        ("state",),
        "Runs by what is known of them; the deciding process only.",
    ),
    metrics.Declaration(
        "quetzal_node_targets",
        "gauge",
        ("state",),
        "Targets that are reachable, silent or set aside; the deciding process"
        " only.",
    ),
    *metrics.PROCESS_DECLARATIONS,
)


class NodeMetrics(metrics.Metrics):
    """Metrics of one entry process, including the event counts of its log."""

    def __init__(self, log: nodelog.NodeLog):
        super().__init__(DECLARATIONS)
        self._log = log
        self.call_before_render(self._copy_log_counts)

    def _copy_log_counts(self) -> None:
        for event, count in self._log.counts.items():
            self.set_total("quetzal_node_events_total", count, event=event)
        self.set_total(
            "quetzal_node_log_dropped_total", self._log.dropped_total
        )
        self.set("quetzal_node_log_queue_lines", self._log.queued)


def make_metrics_app(node_metrics: metrics.Metrics, path: str) -> Callable:
    """Returns a WSGI application that serves the metrics at one path."""

    def _serve(environ: dict, start_response: Callable) -> list[bytes]:
        if environ.get("PATH_INFO") != path:
            start_response("404 Not Found", [("Content-Length", "0")])
            return [b""]
        body, content_type = node_metrics.render(environ.get("HTTP_ACCEPT", ""))
        headers = [
            ("Content-Type", content_type),
            ("Content-Length", str(len(body))),
        ]
        start_response("200 OK", headers)
        return [body]

    return _serve
