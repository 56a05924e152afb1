"""Bodies of the callers' HTTP API (JSON) and their validation."""

import math
import re
import typing

import msgspec

from quetzalswitch import records
from quetzalswitch import web

BODY_LIMIT_BYTES: typing.Final = web.BODY_LIMIT_BYTES
NAME_PATTERN: typing.Final = r"^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}\Z"
MAX_TASKS: typing.Final = 1024
# Upper bounds of the declared run time, the deadline and the long poll.
# Larger values are almost always given in the wrong unit.
MAX_RUN_TIME_S: typing.Final = 30 * 24 * 3600.0
MAX_DEADLINE_S: typing.Final = 30 * 24 * 3600.0
MAX_WAIT_S: typing.Final = 300.0

Name = typing.Annotated[str, msgspec.Meta(pattern=NAME_PATTERN)]
_Cores = typing.Annotated[float, msgspec.Meta(gt=0, le=4096)]
_MemoryMb = typing.Annotated[int, msgspec.Meta(ge=1, le=64 * 1024 * 1024)]
_Accelerators = typing.Annotated[int, msgspec.Meta(ge=0, le=1024)]
_Tasks = typing.Annotated[int, msgspec.Meta(ge=2, le=MAX_TASKS)]
_RunTime = typing.Annotated[float, msgspec.Meta(gt=0, le=MAX_RUN_TIME_S)]
_Deadline = typing.Annotated[float, msgspec.Meta(gt=0, le=MAX_DEADLINE_S)]


class KindBody(typing.TypedDict):
    """Scheduling kind of a request and its options.

    `checkpointable` is allowed for batch only, `same_rack` for gang only.
    """

    type: typing.Literal["latency", "batch", "service", "gang"]
    checkpointable: typing.NotRequired[bool]
    same_rack: typing.NotRequired[bool]


class Submission(typing.TypedDict):
    """Body of `POST /v1/requests`.

    `deadline_s` is the time in seconds from acceptance to the latest useful
    start; `run_time_s` is the declared run time.
    """

    queue: Name
    payload: typing.NotRequired[str]
    request_id: typing.NotRequired[Name]
    wait: typing.NotRequired[bool]
    idempotent: typing.NotRequired[bool]
    kind: typing.NotRequired[KindBody]
    cores: typing.NotRequired[_Cores]
    memory_mb: typing.NotRequired[_MemoryMb]
    accelerators: typing.NotRequired[_Accelerators]
    tasks: typing.NotRequired[_Tasks]
    run_time_s: typing.NotRequired[_RunTime]
    deadline_s: typing.NotRequired[_Deadline]


class ResultView(typing.TypedDict):
    """Complete output of a request; `digest` is xxh3-64 in hex."""

    ok: bool
    body: str
    length_bytes: int
    digest: str
    error: str


class View(typing.TypedDict):
    """State of a request in answers to its caller.

    `state` is a value of `records.RequestState`; `waited_s` is the time from
    acceptance to the first start, or to now before the first start. `result`
    is present when done, `error` when failed, unknown or cancelled.
    """

    request_id: str
    state: str
    team: typing.NotRequired[str]
    queue: typing.NotRequired[str]
    waited_s: typing.NotRequired[float]
    attempts: typing.NotRequired[int]
    target_id: typing.NotRequired[str]
    result: typing.NotRequired[ResultView]
    error: typing.NotRequired[web.ErrorBody]


class Span(typing.TypedDict):
    """Recorded trace span of one hop of a request.

    `name` is one of `tracing.HOPS`; `start_s` is in seconds since the Unix
    epoch on the clock of the entry that recorded it.
    """

    trace_id: str
    span_id: str
    parent_id: str
    name: str
    entry: str
    start_s: float
    duration_s: float
    attributes: dict[str, str]


def parse_submission(body: bytes) -> Submission:
    """Decodes and validates the body of a submission.

    Raises:
        RequestError: The body is too large, not JSON, or a field is unknown,
            missing, of the wrong type or out of range.
    """
    fields = web.decode_json(body, BODY_LIMIT_BYTES)
    _check_field_names(fields, Submission, "")
    kind = fields.get("kind")
    if isinstance(kind, dict):
        _check_field_names(kind, KindBody, "kind.")
    try:
        submission = msgspec.convert(fields, Submission)
    except msgspec.ValidationError as error:
        field, reason = split_error(error)
        raise web.bad_request(field, reason) from None
    _check_kind(submission)
    return submission


def split_error(error: msgspec.ValidationError) -> tuple[str | None, str]:
    """Returns the field path and the reason of a validation error.

    The path is None when the error concerns the body as a whole.
    """
    text = str(error)
    located = re.match(r"(.*) - at `\$\.?(.*)`$", text, re.DOTALL)
    if located:
        return located[2] or None, located[1]
    missing = re.match(r"Object missing required field `(.*)`", text)
    return (missing[1] if missing else None), text


def make_request(
    submission: Submission,
    team: str,
    *,
    now_s: float,
    home: str,
    trace_id: str = "",
) -> records.Request:
    """Builds the request record of a validated submission.

    A request is durable when the caller chose its ID or does not wait for the
    result. In these cases the caller may ask another entry for the outcome,
    and only a stored request lets that entry answer.

    Args:
        submission: Validated submission.
        team: Team that the caller's key belongs to.
        now_s: Time of acceptance in seconds on the monotonic clock.
        home: Incarnation of the coordinator, the entry that accepts the
            request and answers its caller.
        trace_id: ID of the trace that the request belongs to.
    """
    chosen_id = submission.get("request_id")
    deadline_s = submission.get("deadline_s")
    return records.Request(
        request_id=chosen_id or records.make_id("r"),
        team=team,
        queue=submission["queue"],
        kind=_make_kind(submission),
        size=records.Resources(
            float(submission.get("cores", 1.0)),
            submission.get("memory_mb", 512),
            submission.get("accelerators", 0),
        ),
        payload=submission.get("payload", ""),
        idempotent=submission.get("idempotent", True),
        durable=chosen_id is not None or not submission.get("wait", False),
        run_time_s=submission.get("run_time_s"),
        deadline_s=None if deadline_s is None else now_s + deadline_s,
        submitted_s=now_s,
        home=home,
        trace_id=trace_id,
    )


def _make_kind(submission: Submission) -> records.Kind:
    kind = submission.get("kind", {"type": "latency"})
    match kind["type"]:
        case "batch":
            return records.Batch(kind.get("checkpointable", False))
        case "service":
            return records.Service()
        case "gang":
            tasks = submission["tasks"]
            return records.Gang(tasks, kind.get("same_rack", False))
        case _:
            return records.LatencyBound()


def _check_field_names(fields: dict, body_type: type, prefix: str) -> None:
    known_fields = body_type.__annotations__
    for name in fields:
        if name not in known_fields:
            expected = ", ".join(known_fields)
            raise web.bad_request(
                prefix + name, f"unknown field; expected one of {expected}"
            )


def _check_kind(submission: Submission) -> None:
    kind = submission.get("kind", {"type": "latency"})
    is_gang = kind["type"] == "gang"
    if is_gang and "tasks" not in submission:
        raise web.bad_request("tasks", "required for a gang")
    if not is_gang and "tasks" in submission:
        raise web.bad_request("tasks", "allowed for a gang only")
    if not is_gang and "same_rack" in kind:
        raise web.bad_request("kind.same_rack", "allowed for a gang only")
    if kind["type"] != "batch" and "checkpointable" in kind:
        raise web.bad_request("kind.checkpointable", "allowed for batch only")
    for name in ("cores", "run_time_s", "deadline_s"):
        if not math.isfinite(submission.get(name, 0.0)):
            raise web.bad_request(name, "expected a finite number")
