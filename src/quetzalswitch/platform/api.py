"""WSGI applications for callers and for the load balancer's readiness check.

The fields of the `_Wire` types are the platform's names.
"""

import math
import typing
from collections.abc import Callable

import msgspec

from quetzalswitch import clock as clocks
from quetzalswitch import decoding
from quetzalswitch import exceptions
from quetzalswitch import nodelog
from quetzalswitch import nodemetrics
from quetzalswitch import web
from quetzalswitch.acceptance import catalogue
from quetzalswitch.acceptance import intake as intakes
from quetzalswitch.acceptance import submissions

_SPEC_LIMIT_BYTES: typing.Final = 4000
_KEY_SCHEME: typing.Final = "token"

# HTTP statuses that the platform documents, where they differ from ours.
_STATUSES: typing.Final = {
    exceptions.ErrorKind.NEVER_FITS: 400,
}


# Passes sort and add up these numbers. NaN is outside of every bound.
_Amount = typing.Annotated[int, msgspec.Meta(ge=0, le=submissions.MAX_AMOUNT)]
_Duration = typing.Annotated[
    float, msgspec.Meta(ge=0, le=submissions.MAX_TIME_MS)
]


class _WireStep(msgspec.Struct):
    count: int = 0
    cpu: _Amount = 0
    mem_mb: _Amount = 0
    gpu: _Amount = 0
    estimate_ms: _Duration = 0
    after: list[int] = []
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    requires: str = ""
    affinity: str = ""
    anti_affinity: _Amount = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: _Duration = 0
    fills: bool = False
    may_miss: _Amount = 0


class _WireSubmission(msgspec.Struct):
    steps: list[_WireStep]
    spec: str = ""
    repeats: int = 0
    start_at_ms: int = 0
    interval_ms: int = 0


_SUBMISSION: typing.Final = msgspec.json.Decoder(_WireSubmission, strict=False)


class CallerApi:
    """The callers' interface as a WSGI application.

    Attributes:
        in_flight: Requests being answered.
        draining: Whether a planned stop has begun.
    """

    def __init__(
        self,
        intake: intakes.Intake,
        clock: clocks.Clock,
        log: nodelog.NodeLog,
        metrics: nodemetrics.NodeMetrics,
        count_pending: Callable[[str], int],
    ):
        self.in_flight = 0
        self.draining = False
        self._intake = intake
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._count_pending = count_pending

    def __call__(
        self, environ: dict, start_response: Callable
    ) -> typing.Iterable[bytes]:
        """Answers one request."""
        self.in_flight += 1
        try:
            response = self._answer(environ)
        finally:
            self.in_flight -= 1
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(response.body))),
            *response.headers,
        ]
        if self.draining:
            headers.append(("Connection", "close"))
        start_response(f"{response.status} -", headers)
        return [response.body]

    def _answer(self, environ: dict) -> web.Response:
        try:
            return self._route(environ)
        except exceptions.RequestError as error:
            self._metrics.count(
                "quetzal_node_refusals_total", kind=error.kind.value
            )
            response = web.respond_error(error)
            gone = (
                error.kind is exceptions.ErrorKind.NOT_FOUND
                and error.field == "id"
            )
            status = 410 if gone else _STATUSES.get(error.kind)
            return response._replace(status=status or response.status)
        except Exception as error:  # noqa: BLE001 - answered and logged
            self._log.note(
                "unexpected_error", **nodelog.describe_exception(error)
            )
            return web.Response(500, b"{}")

    def _route(self, environ: dict) -> web.Response:
        path = environ.get("PATH_INFO", "")
        host = environ.get("HTTP_HOST", "").partition(":")[0]
        scheme, _, key = environ.get("HTTP_AUTHORIZATION", "").partition(" ")
        if scheme.lower() != _KEY_SCHEME:
            key = ""
        queue, team = self._intake.authorize(host, path, key.strip())
        job_id = path[len(queue.prefix) :]
        match environ["REQUEST_METHOD"]:
            case "GET" if not job_id:
                pending = self._count_pending(queue.name)
                return web.respond({"pending": pending})
            case "GET":
                phase = self._intake.find_phase(job_id)
                return web.respond({"state": phase.value})
            case "DELETE":
                self._intake.cancel(job_id, _read_caller_timeout_s(environ))
                return web.respond({})
            case "POST":
                submission = self._read_submission(environ, queue, team, job_id)
                self._intake.submit(submission, _read_caller_timeout_s(environ))
                return web.respond({})
        raise exceptions.RequestError(
            exceptions.ErrorKind.BAD_REQUEST,
            f"method {environ['REQUEST_METHOD']} is not supported",
        )

    def _read_submission(
        self, environ: dict, queue: catalogue.Queue, team: str, job_id: str
    ) -> submissions.Submission:
        if not _is_job_id(job_id):
            raise web.bad_request(
                "ID", f"expected 16 hexadecimal digits, got {job_id!r}"
            )
        limit_bytes = self._intake.catalogue.body_limit_bytes
        declared = environ.get("CONTENT_LENGTH") or "0"
        web.check_length(int(declared), limit_bytes)
        try:
            body = environ["wsgi.input"].read(limit_bytes + 1)
        except OSError as error:
            # The caller is gone or silent.
            message = f"the body is incomplete: {error}"
            raise web.bad_request(None, message) from None
        web.check_length(len(body), limit_bytes)
        try:
            wire = decoding.decode(_SUBMISSION.decode, body, "a submission")
        except exceptions.ProtocolError as error:
            raise web.bad_request(None, str(error)) from None
        _check(wire)
        return submissions.Submission(
            id=job_id,
            queue=queue,
            team=team,
            spec=wire.spec,
            steps=tuple(_decode_step(step) for step in wire.steps),
            occurrences=max(1, wire.repeats),
            first_at_ms=wire.start_at_ms,
            interval_ms=wire.interval_ms,
            accepted_ms=int(self._clock.wall() * 1000),
        )


def make_ready_app(is_ready: Callable[[], bool]) -> Callable:
    """Returns the WSGI application of the load balancer's readiness check."""

    def _serve(environ: dict, start_response: Callable) -> list[bytes]:
        status = "200 OK" if is_ready() else "503 Service Unavailable"
        start_response(status, [("Content-Length", "0")])
        return [b""]

    return _serve


def _read_caller_timeout_s(environ: dict) -> float:
    """Returns how long the caller waits for the response, in seconds."""
    text = environ.get("HTTP_X_DEADLINE_MS", "")
    try:
        timeout_s = float(text) / 1000
    except ValueError:
        return intakes.DEFAULT_CALLER_TIMEOUT_S
    if not math.isfinite(timeout_s):
        return intakes.DEFAULT_CALLER_TIMEOUT_S
    return timeout_s


def _is_job_id(text: str) -> bool:
    return len(text) == 16 and all(c in "0123456789abcdefABCDEF" for c in text)


def _check(wire: _WireSubmission) -> None:
    if len(wire.spec.encode()) > _SPEC_LIMIT_BYTES:
        raise web.bad_request(
            "spec", f"expected at most {_SPEC_LIMIT_BYTES} bytes"
        )
    for field, value, limit in (
        ("repeats", wire.repeats, submissions.MAX_OCCURRENCES),
        ("start_at_ms", abs(wire.start_at_ms), submissions.MAX_TIME_MS),
        ("interval_ms", abs(wire.interval_ms), submissions.MAX_TIME_MS),
    ):
        if value > limit:
            raise web.bad_request(
                field, f"expected at most {limit}, got {value}"
            )
    if not wire.steps:
        raise web.bad_request("steps", "expected at least one step")
    for number, step in enumerate(wire.steps):
        if step.count < 1:
            raise web.bad_request(
                f"steps.{number}.count", f"expected 1 or more, got {step.count}"
            )
        limit = (
            submissions.MAX_GANG_TASKS if step.gang else submissions.MAX_TASKS
        )
        if step.count > limit:
            raise web.bad_request(
                f"steps.{number}.count",
                f"expected at most {limit} tasks, got {step.count}",
            )
        if any(not 0 <= before < number for before in step.after):
            raise web.bad_request(
                f"steps.{number}.after",
                f"expected indexes of earlier steps, got {step.after}",
            )


def _decode_step(wire: _WireStep) -> submissions.Step:
    return submissions.Step(
        count=wire.count,
        demand=catalogue.Resources(wire.cpu, wire.mem_mb, wire.gpu),
        estimate_ms=wire.estimate_ms,
        after=tuple(wire.after),
        checkpointing=wire.checkpointing,
        gang=wire.gang,
        same_rack=wire.same_rack,
        required_label=wire.requires,
        rack=wire.affinity,
        max_per_target=wire.anti_affinity,
        speculative=wire.speculative,
        long_running=wire.long_running,
        image=wire.image,
        tail_latency_objective_ms=wire.target_ms,
        best_effort=wire.fills,
        may_miss=wire.may_miss,
    )
