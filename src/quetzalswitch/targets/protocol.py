"""Messages between entry processes and targets (HTTP/JSON)."""

import typing

MAX_BODY_BYTES = 4 * 1024 * 1024


class ResourcesBody(typing.TypedDict):
    """Size in cores, MB and whole accelerators."""

    cores: float
    memory_mb: int
    accelerators: int


class ResultBody(typing.TypedDict):
    """Outcome of an attempt; `object_key` is set when the body is stored.

    `ended` is how the task ended: by itself, by a `stop`, by a checkpoint or
    because its task lease expired.
    """

    attempt_id: str
    ok: bool
    ended: typing.Literal["finished", "stopped", "checkpointed", "lapsed"]
    body: str
    object_key: str | None
    length_bytes: int
    digest: str
    error: str


class AttemptReport(typing.TypedDict):
    """A running attempt with its last, delayed usage reading.

    `usage_age_ms` is the age of the usage reading in milliseconds.
    """

    attempt_id: str
    request_key: str
    team: str
    holder: str
    home: str
    size: ResourcesBody
    usage: ResourcesBody
    usage_age_ms: int
    lease_ms: int
    task_index: int


class ClaimBody(typing.TypedDict):
    """Requests a target's control lease."""

    entry: str
    incarnation: str
    peer_address: str


class ClaimAnswer(typing.TypedDict):
    """Answer to a claim; epoch and inventory are valid when granted.

    `lease_ms` is the length of the control lease, `clock_ms` the target's
    monotonic clock, `boot_id` changes when the target restarts.
    """

    granted: bool
    epoch: int
    holder: str
    holder_address: str
    lease_ms: int
    remaining_ms: int
    clock_ms: int
    boot_id: str
    target_id: str
    failure_domain: str
    rack: str
    capacity: ResourcesBody
    slots: int
    connections: int
    leaving: bool
    running: list[AttemptReport]
    finished: list[ResultBody]
    finished_reports: list[AttemptReport]


class SyncBody(typing.TypedDict):
    """Renews the control lease and all task leases; collects results.

    A `sync` that arrives after `not_after_ms` on the target's clock is
    refused, so that a delayed copy can't renew a lease which the sender
    already counts as expired. `received` names results that the sender has
    but can't acknowledge yet; the target keeps them and doesn't send them
    again under this epoch. `running_version` is the last version of the set
    of running attempts that the sender received; 0 requests all of them.
    """

    epoch: int
    boot_id: str
    not_after_ms: int
    acknowledge: list[str]
    received: list[str]
    running_version: int
    wait_ms: int


class SyncAnswer(typing.TypedDict):
    """State of the target; a result is repeated until acknowledged.

    `running` names all running attempts, or is None when the set of them is
    unchanged since the version in the request. `running_version` grows with
    each change of the set within one boot and is above 0.
    """

    clock_ms: int
    boot_id: str
    leaving: bool
    running_version: int
    running: list[AttemptReport] | None
    finished: list[ResultBody]


class StartBody(typing.TypedDict):
    """One start; refused after `not_after_ms` on the target's clock."""

    attempt_id: str
    request_key: str
    team: str
    holder: str
    home: str
    size: ResourcesBody
    payload: str
    not_after_ms: int
    lease_ms: int
    task_index: int
    run_time_s: float | None
    trace_parent: str


class StartsBody(typing.TypedDict):
    """Starts under one epoch; `all_or_none` is set for a gang's tasks.

    `boot_id` is checked too, because epochs and clock of a target start at
    zero again after a restart.
    """

    epoch: int
    boot_id: str
    all_or_none: bool
    starts: list[StartBody]


class StartOutcome(typing.TypedDict):
    """Outcome of one start.

    `reason` is empty when started, else one of: late, duplicate, no_room,
    no_slot, leaving, fenced.
    """

    attempt_id: str
    started: bool
    reason: str


class FenceAnswer(typing.TypedDict):
    """State of an attempt; never_seen also fences off any later start of it.

    never_seen holds for the current boot only: an attempt sent under another
    `boot_id` may have run.
    """

    state: typing.Literal["running", "finished", "never_seen"]
    boot_id: str


class StopBody(typing.TypedDict):
    """Stops, throttles or checkpoints a running attempt."""

    epoch: int
    mode: typing.Literal["checkpoint", "throttle", "stop"]


class ReleaseBody(typing.TypedDict):
    """Releases the control lease; running tasks continue."""

    epoch: int
    boot_id: str


class RefusalBody(typing.TypedDict):
    """Body of a 409 answer; the message had no effect."""

    error: typing.Literal["stale_epoch", "late"]
    boot_id: str
