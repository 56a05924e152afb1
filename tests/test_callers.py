"""Tests for the callers' API, client and command line."""

import gevent.pywsgi
import gevent.socket
import msgspec
import pytest

from quetzalswitch import console
from quetzalswitch import exceptions
from quetzalswitch import exchange
from quetzalswitch import records
from quetzalswitch.callers import api
from quetzalswitch.callers import client
from quetzalswitch.callers import command
from quetzalswitch.callers import protocol

KEY = "a-caller-key"
DONE = {
    "request_id": "r1",
    "state": "done",
    "result": {
        "ok": True,
        "body": "result-body",
        "length_bytes": 11,
        "digest": "00",
        "error": "",
    },
}


class _Service:
    """Service that returns prepared answers and records its calls."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.calls = []

    def _answer(self, *call):
        self.calls.append(call)
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer

    def submit(self, submission, authorization, trace_parent):
        self._view = self._answer(submission, authorization, trace_parent)
        return self

    def wait(self, timeout_s):
        self.timeout_s = timeout_s
        return self._view

    def view(self, authorization, request_id, wait_s):
        return self._answer(authorization, request_id, wait_s)

    def cancel(self, authorization, request_id):
        return self._answer(authorization, request_id)

    trace = cancel

    def health(self):
        return self._answer()

    def render_metrics(self, accept):
        return b"metrics", "text/plain"


class _Clock:
    """Clock that records sleeps and advances by them at once."""

    def __init__(self):
        self.sleeps = []

    def now(self):
        return sum(self.sleeps)

    def sleep(self, seconds):
        self.sleeps.append(seconds)


@pytest.fixture
def serve():
    """Returns a function that serves a service on a free port.

    The function returns the address.
    """
    servers = []

    def _serve(service):
        app = api.make_app(service)
        server = gevent.pywsgi.WSGIServer(("127.0.0.1", 0), app, log=None)
        server.start()
        servers.append(server)
        return f"127.0.0.1:{server.server_port}"

    yield _serve
    for server in servers:
        server.stop()


@pytest.fixture
def closing_server():
    """A server that reads from each connection and closes it unanswered.

    Yields its address and the list of what it has read.
    """
    accepted = []

    def _handle(connection, _):
        accepted.append(connection.recv(65536))
        connection.close()

    server = gevent.server.StreamServer(("127.0.0.1", 0), _handle)
    server.start()
    yield f"127.0.0.1:{server.server_port}", accepted
    server.stop()


def make_refusal(kind, **options):
    """Returns the error of a refused call."""
    return exceptions.RequestError(kind, "refused", **options)


def send_http(address, method, path, body=b"", headers=None):
    """Returns status, headers and body of the answer to one HTTP request."""
    host, _, port = address.rpartition(":")
    connection = exchange.geventhttpclient.HTTPClient(host, int(port))
    response = connection.request(method, path, body, headers or {})
    content = bytes(response.read())
    connection.close()
    return response.status_code, dict(response.headers), content


@pytest.mark.parametrize(
    ("fields", "field"),
    [
        ({"queue": 1}, "queue"),
        ({"queue": "a/b"}, "queue"),
        ({"queue": "a\n"}, "queue"),
        ({"prioritty": 1}, "prioritty"),
        ({"cores": 0}, "cores"),
        ({"cores": "1"}, "cores"),
        ({"memory_mb": 1.5}, "memory_mb"),
        ({"wait": 1}, "wait"),
        ({"deadline_s": -1}, "deadline_s"),
        ({"run_time_s": 1e300}, "run_time_s"),
        ({"request_id": ""}, "request_id"),
        ({"tasks": 2}, "tasks"),
        ({"kind": {"type": "gang"}}, "tasks"),
        ({"kind": {"type": "cron"}}, "kind.type"),
        ({"kind": {"type": "batch", "x": 1}}, "kind.x"),
        ({"kind": {"type": "batch", "same_rack": True}}, "kind.same_rack"),
        (b"{}", "queue"),
        (b"", None),
        (b"\xff", None),
        (b"[]", None),
    ],
)
def test_bad_submission_names_the_field(fields, field):
    """Guards against a malformed request that is accepted or gets no field."""
    is_text = isinstance(fields, bytes)
    body = fields if is_text else msgspec.json.encode({"queue": "q", **fields})
    with pytest.raises(exceptions.RequestError) as error:
        protocol.parse_submission(body)
    assert error.value.kind is exceptions.ErrorKind.BAD_REQUEST
    assert error.value.field == field


def test_large_body_is_refused():
    """Guards against a body so large that it exhausts a small VM's memory."""
    body = b" " * (protocol.BODY_LIMIT_BYTES + 1)
    with pytest.raises(exceptions.RequestError) as error:
        protocol.parse_submission(body)
    assert error.value.kind is exceptions.ErrorKind.BODY_TOO_LARGE


@pytest.mark.parametrize(
    ("fields", "durable"),
    [
        ({}, True),
        ({"wait": True}, False),
        ({"wait": True, "request_id": "r"}, True),
    ],
)
def test_request_is_durable_unless_its_connection_is_its_life(fields, durable):
    """Guards against an acknowledged request that is lost with its entry.

    Only a caller that waits without a request ID needs no stored request: it
    notices a failed entry by its connection.
    """
    body = msgspec.json.encode({"queue": "q", "deadline_s": 5, **fields})
    submission = protocol.parse_submission(body)
    request = protocol.make_request(submission, "t", now_s=10.0, home="e1-x")
    assert request.durable is durable
    assert (request.deadline_s, request.team) == (15.0, "t")


def test_kinds_become_records():
    """Guards against options of a kind that are lost in the request record."""
    kind = {"type": "gang", "same_rack": True}
    body = msgspec.json.encode({"queue": "q", "tasks": 3, "kind": kind})
    submission = protocol.parse_submission(body)
    request = protocol.make_request(submission, "t", now_s=0.0, home="h")
    assert request.kind == records.Gang(tasks=3, same_rack=True)


def test_submission_reaches_the_service(serve):
    """Guards against a key or trace context that is dropped by the API."""
    service = _Service(DONE)
    headers = {"Authorization": f"Bearer {KEY}", "traceparent": "00-a-b-01"}
    body = b'{"queue": "q", "wait": true}'
    status, _, content = send_http(
        serve(service), "POST", "/v1/requests", body, headers
    )
    assert (status, msgspec.json.decode(content)) == (200, DONE)
    submission = {"queue": "q", "wait": True}
    assert service.calls == [(submission, KEY, "00-a-b-01")]
    assert service.timeout_s == protocol.MAX_WAIT_S


@pytest.mark.parametrize("kind", list(exceptions.ErrorKind))
def test_every_error_is_answered_from_the_table(serve, kind):
    """Guards against a refusal with a wrong status or run state."""
    service = _Service(make_refusal(kind, retry_after_s=1.2))
    body = b'{"queue": "q"}'
    status, headers, content = send_http(
        serve(service), "POST", "/v1/requests", body
    )
    answer = exceptions.ANSWERS[kind]
    error = msgspec.json.decode(content)["error"]
    assert (status, error["run"]) == (answer.status, answer.run.value)
    assert error["kind"] == kind.value
    assert headers["Retry-After"] == "2"


@pytest.mark.parametrize(
    ("error", "kind", "run"),
    [
        (ValueError("x"), "internal", "unknown"),
        (exceptions.StoreUnavailableError(""), "store_unavailable", "unknown"),
    ],
)
def test_unexpected_error_never_says_not_run(serve, error, kind, run):
    """Guards against reporting "not run" for a request that may have run."""
    address = serve(_Service(error))
    _, _, content = send_http(
        address, "POST", "/v1/requests", b'{"queue": "q"}'
    )
    answer = msgspec.json.decode(content)["error"]
    assert (answer["kind"], answer["run"]) == (kind, run)


@pytest.mark.parametrize(
    ("method", "path", "headers", "status"),
    [
        ("GET", "/v1/requests/r1", {"Authorization": "Basic x"}, 401),
        ("GET", "/v1/requests/r1?wait_s=-1", {}, 400),
        ("GET", "/v1/requests/r1?wait_s=nan", {}, 400),
        ("GET", "/v1/nothing", {}, 404),
        ("GET", "/v1/requests/a%00%ff", {}, 404),
        ("PUT", "/v1/requests", {}, 404),
    ],
)
def test_malformed_calls_never_reach_the_service(
    serve, method, path, headers, status
):
    """Guards against a bad header or path that crashes the service."""
    service = _Service()
    assert send_http(serve(service), method, path, b"", headers)[0] == status
    assert service.calls == []


def test_caller_that_goes_away_is_no_internal_error(serve):
    """Guards against an alarm for each caller that disconnects mid-body.

    Internal errors raise alarms; a truncated body is a bad request.
    """
    service = _Service()
    host, _, port = serve(service).rpartition(":")
    connection = gevent.socket.create_connection((host, int(port)))
    connection.sendall(
        b"POST /v1/requests HTTP/1.1\r\nContent-Length: 9\r\n\r\n"
    )
    connection.shutdown(gevent.socket.SHUT_WR)
    assert connection.recv(4096).startswith(b"HTTP/1.1 400 ")
    connection.close()
    assert service.calls == []


def test_health_check_fails_while_draining(serve):
    """Guards against a load balancer that still uses a draining entry."""
    address = serve(_Service("ok", "draining"))
    assert send_http(address, "GET", "/healthz")[0] == 200
    assert send_http(address, "GET", "/healthz")[0] == 503


def test_client_moves_on_after_refused_connection_and_not_run(serve):
    """Guards against a client that fails while other entries can serve."""
    draining = _Service(*[make_refusal(exceptions.ErrorKind.DRAINING)] * 2)
    serving = _Service(DONE)
    addresses = ["127.0.0.1:1", serve(draining), serve(serving)]
    clock = _Clock()
    assert send_http(addresses[1], "GET", "/healthz")[1]["Retry-After"] == "1"
    caller = client.CallerClient(addresses, KEY, clock)
    assert caller.submit({"queue": "q"}) == DONE
    sent = draining.calls[1][0]["request_id"]
    assert serving.calls[0][0]["request_id"] == sent
    assert clock.sleeps == []


def test_client_does_not_repeat_what_may_have_run(serve, closing_server):
    """Guards against a repeated request without an ID, which may run twice."""
    address, accepted = closing_server
    serving = _Service(DONE, DONE)
    caller = client.CallerClient([address, serve(serving)], KEY, _Clock())
    with pytest.raises(exceptions.TransportError):
        caller.submit({"queue": "q", "wait": True})
    assert (len(accepted), serving.calls) == (1, [])
    caller.submit({"queue": "q", "wait": True, "request_id": "r1"})
    assert serving.calls[0][0]["request_id"] == "r1"


def test_not_run_is_not_claimed_after_a_lost_answer(serve, closing_server):
    """Guards against reporting "not run" when an earlier copy may have run."""
    refused = _Service(*[make_refusal(exceptions.ErrorKind.FORBIDDEN)] * 2)
    address = serve(refused)
    caller = client.CallerClient([closing_server[0], address], KEY, _Clock())
    with pytest.raises(exceptions.RequestError) as error:
        caller.submit({"queue": "q"})
    assert error.value.run is exceptions.RunState.UNKNOWN
    with pytest.raises(exceptions.RequestError) as error:
        client.CallerClient([address], KEY, _Clock()).submit({"queue": "q"})
    assert error.value.run is exceptions.RunState.NOT_RUN


def test_client_does_not_repeat_final_errors(serve):
    """Guards against a failed job that the client submits again."""
    service = _Service(make_refusal(exceptions.ErrorKind.JOB_FAILED))
    caller = client.CallerClient([serve(service)], KEY, _Clock())
    with pytest.raises(exceptions.RequestError):
        caller.submit({"queue": "q"})
    assert len(service.calls) == 1


def test_client_waits_as_told_before_a_second_round(serve):
    """Guards against a client that retries a full queue too early."""
    full = make_refusal(exceptions.ErrorKind.QUEUE_FULL, retry_after_s=7.0)
    clock = _Clock()
    service = _Service(full, full, full)
    caller = client.CallerClient([serve(service)], KEY, clock)
    with pytest.raises(exceptions.RequestError):
        caller.submit({"queue": "q"})
    assert len(service.calls) == exchange.ROUNDS
    assert clock.sleeps == [7.0, 7.0]


def test_command_submits_and_prints_the_result(serve, capsys, monkeypatch):
    """Guards against command arguments that do not reach the service."""
    monkeypatch.setenv(command.KEY_VARIABLE, KEY)
    service = _Service(DONE)
    arguments = ["submit", "q", "--wait", "--id", "r1", "--payload", "p"]
    arguments += ["--kind", "batch", "--checkpointable", "--non-idempotent"]
    arguments += ["--entry", serve(service)]
    assert console.run(command.app, arguments) == console.DONE
    submission, key, _ = service.calls[0]
    assert key == KEY
    assert submission["kind"] == {"type": "batch", "checkpointable": True}
    assert (submission["payload"], submission["idempotent"]) == ("p", False)
    assert "result-body" in capsys.readouterr().out


@pytest.mark.parametrize(
    ("arguments", "code", "words"),
    [
        (["--help"], console.DONE, "Usage"),
        (["--version"], console.DONE, "quetzal 0"),
        (["status"], console.BAD_ARGUMENTS, "requires"),
        (["fly"], console.BAD_ARGUMENTS, "fly"),
        (["status", "r", "--entry", "x"], console.BAD_ARGUMENTS, "host:port"),
        (
            ["status", "r", "--entry", "127.0.0.1:1"],
            console.FAILED,
            "refused the connection",
        ),
    ],
)
def test_command_exit_codes(arguments, code, words, capsys, monkeypatch):
    """Guards against exit codes that mix up failures and bad arguments."""
    monkeypatch.setattr(command.clocks, "SystemClock", _Clock)
    assert console.run(command.app, arguments) == code
    captured = capsys.readouterr()
    assert words in captured.out + captured.err


def test_error_says_in_words_whether_the_request_ran():
    """Guards against an error text that hides that the request may have run."""
    kind = exceptions.ErrorKind.OUTCOME_UNKNOWN
    words = console.describe_error(exceptions.RequestError(kind, "silent"))
    assert "not known whether the request ran" in words


def test_trace_is_printed_as_a_tree():
    """Guards against omitting spans whose parent is not in the list."""
    shared = {"trace_id": "t", "entry": "e1", "duration_s": 0.5}
    names = ("span_id", "parent_id", "name", "start_s")
    rows = [
        ("c", "b", "run", 3.0),
        ("b", "a", "start", 2.0),
        ("a", "elsewhere", "request", 1.0),
    ]
    spans = [
        {**dict(zip(names, row, strict=True)), "attributes": {}, **shared}
        for row in rows
    ]
    lines = command.format_tree(spans)
    indents = [len(line) - len(line.lstrip()) for line in lines]
    assert [line.split()[0] for line in lines] == ["request", "start", "run"]
    assert indents == [0, 2, 4]
