"""HTTP server helpers shared by the callers' and the operators' API."""

import math
import typing
import urllib.parse
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

import msgspec

from quetzalswitch import bounds
from quetzalswitch import clock as clocks
from quetzalswitch import decoding
from quetzalswitch import exceptions
from quetzalswitch import listeners
from quetzalswitch import logs

# The server refuses bodies above its own setting, which is at most this.
BODY_LIMIT_BYTES: typing.Final = 4 * 1024 * 1024
# Sent with a retryable error that has no better estimate.
DEFAULT_RETRY_AFTER_S: typing.Final = 1.0
# How long a caller may send nothing, between requests or within one.
IDLE_LIMIT_S: typing.Final = bounds.Limits().idle_s

_REASONS: typing.Final = {
    200: "OK",
    202: "Accepted",
    400: "Bad Request",
    401: "Unauthorized",
    403: "Forbidden",
    404: "Not Found",
    409: "Conflict",
    413: "Content Too Large",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}
_JSON_TYPE: typing.Final = "application/json"


class ErrorBody(typing.TypedDict):
    """Body of an error answer; `run` is whether the request ran."""

    kind: str
    message: str
    run: str
    field: typing.NotRequired[str]
    retry_after_s: typing.NotRequired[float]


class Call(typing.NamedTuple):
    """One HTTP request, as passed to a handler.

    Attributes:
        parameters: Values of the named path segments.
        query: Query parameters; the last one wins when repeated.
        headers: WSGI environment, read through `header`.
        body: Whole request body.
    """

    parameters: Mapping[str, str]
    query: Mapping[str, str]
    headers: Mapping[str, typing.Any]
    body: bytes

    def header(self, name: str) -> str:
        """Returns a request header, or an empty string."""
        key = "HTTP_" + name.upper().replace("-", "_")
        return self.headers.get(key, "")


class Response(typing.NamedTuple):
    """Status, body and additional headers of an answer."""

    status: int
    body: bytes
    content_type: str = _JSON_TYPE
    headers: tuple[tuple[str, str], ...] = ()


class Route(typing.NamedTuple):
    """A method and a path; a segment in braces is a parameter."""

    method: str
    path: str
    handle: Callable[[Call], Response]


def respond(value: typing.Any, status: int = 200) -> Response:
    """Returns a JSON answer."""
    return Response(status, msgspec.json.encode(value))


def make_error_body(error: exceptions.RequestError) -> ErrorBody:
    """Returns the error as it appears under `error` in an answer."""
    body: ErrorBody = {
        "kind": error.kind.value,
        "message": error.message,
        "run": error.run.value,
    }
    if error.field is not None:
        body["field"] = error.field
    retry_after_s = error.retry_after_s
    if retry_after_s is None and exceptions.ANSWERS[error.kind].retryable:
        retry_after_s = DEFAULT_RETRY_AFTER_S
    if retry_after_s is not None:
        body["retry_after_s"] = retry_after_s
    return body


def respond_error(error: exceptions.RequestError) -> Response:
    """Returns the answer for an error, with the status of its kind."""
    body = make_error_body(error)
    headers = []
    if "retry_after_s" in body:
        # Retry-After holds whole seconds; rounding down would make callers
        # retry too early. 0 means that another entry can serve the request now.
        seconds = math.ceil(body["retry_after_s"])
        headers.append(("Retry-After", str(seconds)))
    if error.kind is exceptions.ErrorKind.UNAUTHENTICATED:
        headers.append(("WWW-Authenticate", "Bearer"))
    status = exceptions.ANSWERS[error.kind].status
    content = msgspec.json.encode({"error": body})
    return Response(status, content, _JSON_TYPE, tuple(headers))


def parse_bearer(header: str) -> str | None:
    """Returns the key of an authorization header, None without a header.

    Raises:
        RequestError: The header is not `Bearer <key>`.
    """
    if not header:
        return None
    scheme, _, key = header.partition(" ")
    key = key.strip()
    if scheme.lower() != "bearer" or not key or " " in key:
        raise exceptions.RequestError(
            exceptions.ErrorKind.UNAUTHENTICATED,
            "expected the header `Authorization: Bearer <key>`",
        )
    return key


def parse_number(
    call: Call, name: str, default: float, maximum: float
) -> float:
    """Returns a query parameter as a number from 0 to the maximum.

    Raises:
        RequestError: The parameter is not such a number.
    """
    text = call.query.get(name)
    if text is None:
        return default
    try:
        number = float(text)
    except ValueError:
        number = math.nan
    if not 0 <= number <= maximum:
        raise bad_request(
            name, f"expected a number from 0 to {maximum:g}, got {text!r}"
        )
    return number


def decode_json(body: bytes, limit_bytes: int = BODY_LIMIT_BYTES) -> dict:
    """Returns the JSON object in a body.

    Raises:
        RequestError: The body is too large or not a JSON object.
    """
    check_length(len(body), limit_bytes)
    try:
        value = decoding.decode(msgspec.json.decode, body, "a JSON body")
    except exceptions.ProtocolError as error:
        raise bad_request(None, str(error)) from None
    if not isinstance(value, dict):
        found = type(value).__name__
        raise bad_request(None, f"expected a JSON object, got {found}")
    return value


def check_length(length_bytes: int, limit_bytes: int) -> None:
    """Raises RequestError when a body is longer than the limit."""
    if length_bytes > limit_bytes:
        raise exceptions.RequestError(
            exceptions.ErrorKind.BODY_TOO_LARGE,
            f"the body is longer than {limit_bytes} bytes",
        )


def bad_request(field: str | None, reason: str) -> exceptions.RequestError:
    """Returns a bad_request error that names the field and the reason."""
    message = f"{field}: {reason}" if field else reason
    kind = exceptions.ErrorKind.BAD_REQUEST
    return exceptions.RequestError(kind, message, field=field)


def make_server(
    address: str,
    app: Callable,
    limits: bounds.Limits | None = None,
    sums: bounds.Sums | None = None,
    report: bounds.Report = bounds.ignore,
) -> listeners.Server:
    """Returns a server for a WSGI application.

    Args:
        address: Host and port to listen on; port 0 takes a free port.
        app: The application.
        limits: Limits of each client; the defaults if None.
        sums: Limits of all clients; by default those of callers.
        report: Is told of each connection that the server closes.
    """
    limits = limits or bounds.Limits(idle_s=IDLE_LIMIT_S)
    return listeners.Server(
        address,
        app,
        limits,
        sums or bounds.find_sums(limits),
        report,
        clocks.SystemClock(),
    )


def make_wsgi(routes: Iterable[Route]) -> Callable:
    """Returns a WSGI application that serves the routes."""
    table = [(r.method, r.path.split("/"), r.handle) for r in routes]

    def _serve(environ: dict, start_response: Callable) -> list[bytes]:
        response = _answer(table, environ)
        reason = _REASONS.get(response.status, "Unknown")
        headers = [
            ("Content-Type", response.content_type),
            ("Content-Length", str(len(response.body))),
            ("Cache-Control", "no-store"),
            *response.headers,
        ]
        start_response(f"{response.status} {reason}", headers)
        return [response.body]

    return _serve


def _answer(table: list, environ: dict) -> Response:
    try:
        handle, parameters = _find_route(table, environ)
        call = _read_call(environ, parameters)
        return handle(call)
    except exceptions.RequestError as error:
        return respond_error(error)
    except exceptions.ConfigurationError as error:
        return respond_error(bad_request(None, str(error)))
    except exceptions.StoreUnavailableError as error:
        # The access may have taken effect, so the run state is unknown.
        failure = exceptions.RequestError(
            exceptions.ErrorKind.STORE_UNAVAILABLE,
            f"the platform's store gave no answer: {error}",
            run=exceptions.RunState.UNKNOWN,
        )
        return respond_error(failure)
    except Exception as error:  # noqa: BLE001 - the log has the traceback
        logs.write("unexpected_error", error=error, traceback=True)
        failure = exceptions.RequestError(
            exceptions.ErrorKind.INTERNAL, "unexpected error; see the log"
        )
        return respond_error(failure)


def _find_route(table: list, environ: dict) -> tuple[Callable, dict]:
    segments = environ.get("PATH_INFO", "").split("/")
    for method, pattern, handle in table:
        if method != environ["REQUEST_METHOD"]:
            continue
        parameters = _match(pattern, segments)
        if parameters is not None:
            return handle, parameters
    raise exceptions.RequestError(
        exceptions.ErrorKind.NOT_FOUND,
        f"no resource {environ['REQUEST_METHOD']} {'/'.join(segments)}",
    )


def _match(pattern: list[str], segments: list[str]) -> dict | None:
    if len(pattern) != len(segments):
        return None
    parameters = {}
    for expected, found in zip(pattern, segments, strict=True):
        if expected.startswith("{") and found:
            parameters[expected[1:-1]] = found
        elif expected != found:
            return None
    return parameters


def _read_call(environ: dict, parameters: dict) -> Call:
    query = dict(urllib.parse.parse_qsl(environ.get("QUERY_STRING", "")))
    return Call(parameters, query, environ, _read_body(environ))


def _read_body(environ: dict) -> bytes:
    declared = environ.get("CONTENT_LENGTH")
    if environ["REQUEST_METHOD"] not in ("POST", "PUT"):
        return b""
    if declared:
        check_length(int(declared), BODY_LIMIT_BYTES)
    try:
        body = environ["wsgi.input"].read(BODY_LIMIT_BYTES + 1)
    except OSError as error:
        # The caller disconnected; the service has not received the request.
        raise bad_request(None, f"the body is incomplete: {error}") from None
    check_length(len(body), BODY_LIMIT_BYTES)
    return body
