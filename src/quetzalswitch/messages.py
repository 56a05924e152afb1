"""Catalogue of log messages; docs/operations.md lists the same table."""

import typing


class Message(typing.NamedTuple):
    """A log message and what an operator should know about it.

    Attributes:
        part: Part of the program; the fixed prefix of the line.
        level: One of debug, info, warning, error.
        text: Text of the line.
        fields: Names of the fields that follow; the first one tells repeats
            apart.
        meaning: What happened.
        action: What to do.
    """

    part: str
    level: str
    text: str
    fields: tuple[str, ...]
    meaning: str
    action: str


CATALOGUE: typing.Final[dict[str, Message]] = {
    "entry_started": Message(
        "entry",
        "info",
        "process started",
        ("entry", "incarnation", "address"),
        "An entry process is ready to register.",
        "None.",
    ),
    "entry_serving": Message(
        "entry",
        "info",
        "accepting requests",
        ("entry", "version"),
        "The configuration is known and the health check passes.",
        "None.",
    ),
    "entry_draining": Message(
        "entry",
        "info",
        "planned stop began; new requests are refused after the drain delay",
        ("entry", "drain_delay_s"),
        "SIGTERM arrived.",
        "None; watch for entry_stopped.",
    ),
    "entry_stopped": Message(
        "entry",
        "info",
        "planned stop finished",
        ("entry",),
        "Everything in flight was finished or handed over.",
        "The VM may be replaced.",
    ),
    "entry_stop_late": Message(
        "entry",
        "warning",
        "planned stop took too long; what is left is handed over",
        ("entry", "left"),
        "Requests were still in flight after drain_timeout_s.",
        "Check which targets or callers are slow.",
    ),
    "entry_restarting": Message(
        "entry",
        "error",
        (
            "registration was sealed or taken over; starting again with a "
            "new incarnation"
        ),
        ("entry", "incarnation"),
        "A peer took this process for dead, usually after a pause.",
        ("Look for pauses of the VM: memory pressure, CPU steal, clock jumps."),
    ),
    "unexpected_error": Message(
        "entry",
        "error",
        "unexpected error",
        ("error",),
        "A fault in the program.",
        "Report it with the traceback.",
    ),
    "request_refused": Message(
        "admission",
        "info",
        "request refused",
        ("kind", "team", "queue"),
        "A caller was told why its request was not accepted.",
        "None, unless the rate is high; see the alert on refusals.",
    ),
    "request_abandoned": Message(
        "admission",
        "warning",
        "job failed on several healthy targets and was abandoned",
        ("request", "targets"),
        "The job itself is at fault.",
        "Tell the team.",
    ),
    "never_fits": Message(
        "admission",
        "info",
        "request can't fit on any target",
        ("team", "queue"),
        "The declared size is above every target.",
        "Tell the team.",
    ),
    "member_alive": Message(
        "membership",
        "info",
        "peer is alive",
        ("peer", "incarnation"),
        "A peer was heard from.",
        "None.",
    ),
    "member_suspect": Message(
        "membership",
        "warning",
        "peer is suspect; no acknowledged heartbeat",
        ("peer", "silent_s"),
        "A pause or a partition, possibly one-way.",
        "Wait for member_alive or member_dead.",
    ),
    "member_dead": Message(
        "membership",
        "warning",
        "peer is dead",
        ("peer", "incarnation", "silent_s"),
        "Its targets and durable requests are taken over.",
        "Check the VM; replace it.",
    ),
    "peer_message_dropped": Message(
        "peers",
        "warning",
        "message to a peer was dropped; its queue is full",
        ("peer",),
        "The peer reads too slowly or the connection is silent.",
        "Check the network between the two VMs.",
    ),
    "peer_message_unreadable": Message(
        "peers",
        "error",
        "message from a peer can't be read",
        ("peer", "error"),
        "Entries of incompatible versions, or a damaged message.",
        "Compare the versions of the entries.",
    ),
    "entry_sealed": Message(
        "journal",
        "warning",
        "registration of a dead entry was sealed",
        ("entry", "incarnation"),
        "Late writes of that entry are blocked from now on.",
        "None.",
    ),
    "requests_adopted": Message(
        "journal",
        "info",
        "durable requests of a dead entry were adopted",
        ("entry", "count"),
        "This entry now answers for them.",
        "None.",
    ),
    "outcome_unknown": Message(
        "journal",
        "warning",
        "outcome of a non-idempotent request is unknown",
        ("request", "target"),
        "The target went silent after a start that may have taken effect.",
        "Tell the team; it must find out from the work itself.",
    ),
    "configuration_changed": Message(
        "configuration",
        "info",
        "configuration version is in force",
        ("version",),
        "A change was applied here.",
        "None.",
    ),
    "configuration_stale": Message(
        "configuration",
        "error",
        "configuration was not confirmed in time; nothing starts here",
        ("version", "age_s"),
        "Neither the table nor all peers could be reached.",
        "Check the network of this VM and the platform's store.",
    ),
    "configuration_fresh": Message(
        "configuration",
        "info",
        "configuration is confirmed again",
        ("version",),
        "Starts go on.",
        "None.",
    ),
    "configuration_unreadable": Message(
        "configuration",
        "error",
        "configuration change can't be applied; the version in force stays",
        ("version", "error"),
        "The table holds a change that this version does not know.",
        "Replace this entry by a newer version.",
    ),
    "store_unavailable": Message(
        "store",
        "warning",
        "table service gave no usable answer",
        ("operation", "error"),
        "Durable requests and configuration changes are refused meanwhile.",
        "See the chapter on a store outage.",
    ),
    "store_available": Message(
        "store",
        "info",
        "table service answers again",
        ("outage_s",),
        "Durable requests are accepted again.",
        "None.",
    ),
    "store_write_uncertain": Message(
        "store",
        "warning",
        "response to a write was lost; reading the receipt back",
        ("entry", "sequence"),
        "The write may have taken effect.",
        "None; the committer finds out.",
    ),
    "object_unavailable": Message(
        "store",
        "warning",
        "object store gave no usable answer",
        ("object", "error"),
        "A large result can't be read or written now.",
        "See the chapter on a store outage.",
    ),
    "target_claimed": Message(
        "targets",
        "info",
        "control lease of a target was granted",
        ("target", "epoch"),
        "This entry places work on the target from now on.",
        "None.",
    ),
    "target_lost": Message(
        "targets",
        "warning",
        "control lease of a target was lost",
        ("target", "reason"),
        "Another entry takes the target over, or the target died.",
        "If the target died, check its VM.",
    ),
    "target_restarted": Message(
        "targets",
        "warning",
        "target restarted; its tasks are lost",
        ("target", "boot_id"),
        "Idempotent tasks are placed elsewhere.",
        "Check the target's VM.",
    ),
    "target_leaving": Message(
        "targets",
        "info",
        "target is leaving and gets no new work",
        ("target",),
        "The platform announced it.",
        "None.",
    ),
    "target_silent": Message(
        "targets",
        "warning",
        "exchange with a target timed out",
        ("target", "operation"),
        "The connection was closed; the outcome is queried on a new one.",
        "If it repeats, check the network to the target.",
    ),
    "target_quarantined": Message(
        "targets",
        "warning",
        "target is quarantined",
        ("target", "jobs"),
        "Distinct jobs failed on it in a row.",
        "Check the target's VM.",
    ),
    "target_cleared": Message(
        "targets",
        "info",
        "target left quarantine",
        ("target",),
        "A probe succeeded.",
        "None.",
    ),
    "result_damaged": Message(
        "answers",
        "error",
        "result does not match its length or digest",
        ("request", "attempt"),
        "The caller was told; a partial result is never delivered.",
        "Check the object store and the target.",
    ),
    "result_discarded": Message(
        "answers",
        "info",
        "result of an attempt that is no longer current was discarded",
        ("request", "attempt"),
        "A late answer.",
        "None.",
    ),
    "allowance_short": Message(
        "allowances",
        "info",
        "no allowance left for a team; work is handed to a peer or waits",
        ("team",),
        "The team is at its upper limit, or a peer holds the rest.",
        "None, unless the team has headroom elsewhere for long.",
    ),
    "limit_exceeded": Message(
        "allowances",
        "warning",
        "team has more running than its lowered upper limit",
        ("team", "excess"),
        "The limit was lowered below what runs.",
        "None; the excess shrinks as tasks end.",
    ),
    "trace_export_failed": Message(
        "tracing",
        "warning",
        "spans can't be exported",
        ("endpoint", "error"),
        "The collector's URL is wrong or its library is missing.",
        "Check process.tracing.otlp_endpoint.",
    ),
}
