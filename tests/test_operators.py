"""Tests for the operators' API, client and command line."""

import json
import pathlib
import subprocess
import sys

import gevent.pywsgi
import pytest

from quetzalswitch import configuration as configurations
from quetzalswitch import console
from quetzalswitch import exceptions
from quetzalswitch import exchange
from quetzalswitch.operators import api
from quetzalswitch.operators import client
from quetzalswitch.operators import command

KEY = "an-operator-key-for-tests"
UNKNOWN_FIELD = {"type": "remove_team", "name": "a", "force": True}


class _Service:
    """Implements `api.Service` with a configuration in memory."""

    def __init__(self):
        self.current = configurations.Configuration()
        self.error = None

    def configuration(self):
        return self.current

    def submit_change(self, expected_version, change):
        if self.error is not None:
            raise self.error
        if expected_version != self.current.version:
            kind = exceptions.ErrorKind.VERSION_CONFLICT
            raise exceptions.RequestError(kind, "another change came first")
        self.current = configurations.apply(self.current, change)
        return self.current.version

    def state(self):
        return {"version": self.current.version}

    def queues(self):
        return [{"queue": "q", "queued": 3}]

    def why(self, team, request_id):
        return f"{team}/{request_id} waits for cores"


@pytest.fixture
def service():
    """The in-memory service behind the API."""
    return _Service()


@pytest.fixture
def address(service):
    """Address of a server that runs the API on an ephemeral port."""
    app = api.make_app(service, KEY)
    server = gevent.pywsgi.WSGIServer(("127.0.0.1", 0), app, log=None)
    server.start()
    yield f"127.0.0.1:{server.server_port}"
    server.stop()


@pytest.fixture
def control(address, monkeypatch):
    """Runs `quetzalctl` against the service; returns its exit code."""
    monkeypatch.setenv(command.KEY_VARIABLE, KEY)
    monkeypatch.setenv("QUETZAL_OPERATORS", address)

    def _run_quetzalctl(*arguments):
        return console.run(command.app, [str(each) for each in arguments])

    return _run_quetzalctl


@pytest.mark.parametrize(
    "key", [None, "", "wrong", KEY + "x", KEY[:-1], "ключ"]
)
def test_wrong_operator_key_is_refused(address, service, key):
    """Guards against changes submitted without the right operator key."""
    host, _, port = address.rpartition(":")
    http_client = exchange.geventhttpclient.HTTPClient(host, int(port))
    headers = {"Authorization": f"Bearer {key}".encode().decode("latin-1")}
    body = b'{"expected_version": 0, "change": {"type": "x"}}'
    path = "/v1/operators/changes"
    response = http_client.request("POST", path, body, headers if key else {})
    assert response.status_code == 401
    assert KEY not in response.read().decode()
    assert service.current.version == 0


def test_empty_operator_key_is_refused():
    """Guards against an operators' API that accepts requests without a key."""
    with pytest.raises(exceptions.SettingsError):
        api.make_app(_Service(), "")


@pytest.mark.parametrize(
    ("body", "field"),
    [
        ({"expected_version": 0}, None),
        ({"expected_version": -1, "change": {}}, "expected_version"),
        ({"expected_version": 0, "change": {}, "force": True}, "force"),
        ({"expected_version": 0, "change": {"type": "drop"}}, "change"),
        ({"expected_version": 0, "change": UNKNOWN_FIELD}, "change"),
    ],
)
def test_malformed_change_is_refused(body, field):
    """Guards against a malformed change applied without its bad parts."""
    with pytest.raises(exceptions.RequestError) as error:
        api.protocol.parse_change(json.dumps(body).encode())
    assert error.value.kind is exceptions.ErrorKind.BAD_REQUEST
    assert error.value.field == field


def test_concurrent_change_is_a_conflict(address, service):
    """Guards against an operator overwriting another operator's change."""
    operator = client.OperatorClient([address], KEY, None)
    put = configurations.PutTeam("dams", 1.0, 5)
    assert operator.submit_change(0, put) == 1
    with pytest.raises(exceptions.RequestError) as error:
        operator.submit_change(0, configurations.RemoveTeam("dams"))
    assert error.value.kind is exceptions.ErrorKind.VERSION_CONFLICT
    assert list(service.current.teams) == ["dams"]


def test_change_of_unknown_effect_is_not_repeated(service, monkeypatch):
    """Guards against a resent change that conflicts with its first copy."""
    operator = client.OperatorClient(["127.0.0.1:1"], KEY, None)
    sent = []

    def _send(self, address, method, path, body, wait_s, headers):
        if method == "GET":
            encoded = configurations.encode_configuration(service.current)
            return exchange.Reply(200, encoded)
        sent.append(body)
        return exchange._Failure("silent", sent=True)

    monkeypatch.setattr(exchange.Exchanger, "_send", _send)
    with pytest.raises(exceptions.TransportError) as error:
        operator.change(configurations.PutTeam("dams", 1.0, 5))
    assert len(sent) == 1
    assert "not known whether the request took effect" in str(error.value)


def test_teams_queues_domains_and_targets(control, service, capsys):
    """Guards against commands that change something other than their target."""
    assert control("team", "set", "dams", "--share", 2, "--max-running", 5) == 0
    assert control("team", "set", "dams", "--share", 3) == 0
    team = service.current.teams["dams"]
    assert (team.share, team.max_running) == (3.0, 5)
    queue = ("queue", "set", "q", "--team", "dams", "--max-wait-s", 9)
    assert control(*queue) == 0
    assert control("queue", "set", "q", "--priority", 4) == 0
    expected = configurations.Queue("q", "dams", priority=4, max_wait_s=9.0)
    assert service.current.queues["q"] == expected
    open_queue = ("queue", "set", "q", "--open-to-all", "--no-max-wait")
    assert control(*open_queue) == console.FAILED
    limits = ("--share", 1, "--max-running", 2)
    assert control("team", "set", configurations.OPEN_TEAM, *limits) == 0
    assert control(*open_queue) == 0
    assert service.current.queues["q"].team is None
    assert service.current.queues["q"].max_wait_s is None
    assert control("domain", "out", "d1") == 0
    assert control("target", "out", "w1") == 0
    assert service.current.domains_out == {"d1"}
    assert service.current.targets_out == {"w1"}
    assert control("domain", "back", "d1") == 0
    assert control("target", "back", "w1") == 0
    assert not service.current.domains_out | service.current.targets_out
    capsys.readouterr()
    assert control("team", "list") == control("queue", "list") == 0
    out = capsys.readouterr().out
    assert "dams" in out
    assert "(open to all)" in out
    assert control("queue", "remove", "q") == 0
    assert control("team", "remove", "dams") == 0
    assert list(service.current.teams) == [configurations.OPEN_TEAM]


def test_new_key_is_printed_once_and_only_its_digest_sent(
    control, service, capsys
):
    """Guards against keys that are stored, or printed a second time."""
    control("team", "set", "dams", "--share", 2, "--max-running", 5)
    capsys.readouterr()
    assert control("key", "create", "dams", "--name", "dams-1") == 0
    secret = capsys.readouterr().out.strip()
    key = configurations.verify_key(service.current, secret)
    assert (key.key_id, key.team) == ("dams-1", "dams")
    sent = str(configurations.encode_configuration(service.current))
    assert control("key", "list") == 0
    assert secret not in sent + capsys.readouterr().out
    assert control("key", "revoke", "dams-1") == 0
    assert not service.current.keys


def test_submit_prints_the_plan_and_removes_only_with_the_flag(
    control, service, tmp_path, capsys
):
    """Guards against a settings file that removes a team without approval."""
    parties = ("callers", "operators", "peers", "platform")
    process = {f"{party}_address": "127.0.0.1:0" for party in parties}
    process.update(entry_id="e1", failure_domain="d1", region="r1")
    process.update(operator_key=KEY)
    teams = [{"name": "new", "share": 1, "max_running": 1}]
    file = tmp_path / "base.json"
    file.write_text(
        json.dumps({"process": process, "cluster": {"teams": teams}})
    )
    control("team", "set", "old", "--share", 2, "--max-running", 5)
    submit = ("settings", "submit", file)
    assert control(*submit, "--dry-run") == console.DONE
    assert control(*submit) == console.FAILED
    assert "remove_team name=old" in capsys.readouterr().out
    assert list(service.current.teams) == ["old"]
    assert control(*submit, "--allow-removals") == console.DONE
    assert list(service.current.teams) == ["new"]
    assert control(*submit) == console.DONE
    assert service.current.version == 2
    assert control("settings", "check", file) == console.DONE
    assert control("settings", "show", file) == console.DONE
    assert control("settings", "diff", file, "--old", file) == console.DONE
    assert KEY not in capsys.readouterr().out


def test_state_queues_and_why_are_printed(control, capsys):
    """Guards against commands that do not print why a request is waiting."""
    assert control("state") == control("queues") == 0
    assert control("why", "dams", "r1") == 0
    out = capsys.readouterr().out
    assert '"queued": 3' in out
    assert "dams/r1 waits for cores" in out


@pytest.mark.parametrize(
    ("arguments", "code"),
    [
        (["team", "set", "new"], console.BAD_ARGUMENTS),
        (["team", "set", "new", "--share", "x"], console.BAD_ARGUMENTS),
        (["queue", "set", "new"], console.BAD_ARGUMENTS),
        (["settings", "check", "no-such-file"], console.BAD_ARGUMENTS),
        (["team", "remove", "no-such-team"], console.FAILED),
        (["domain", "back", "d1"], console.FAILED),
        (["why", "a", "b", "--entry", "127.0.0.1:1"], console.FAILED),
    ],
)
def test_command_exit_codes(control, arguments, code, monkeypatch):
    """Guards against failures with the exit code of invalid arguments."""
    monkeypatch.setattr(exchange, "ROUNDS", 1)
    assert control(*arguments) == code


def test_missing_operator_key_is_a_settings_error(control, monkeypatch):
    """Guards against a missing key that is reported as an outage."""
    monkeypatch.delenv(command.KEY_VARIABLE)
    assert control("state") == console.BAD_ARGUMENTS


def test_reader_that_stops_early_causes_no_traceback():
    """Guards against a traceback when a reader like `head` closes the pipe."""
    root = pathlib.Path(__file__).parent.parent
    script = (
        "import sys; from quetzalswitch import console;"
        "sys.exit(console.run(lambda *a, **k: [print('x' * 9999)"
        " for _ in range(99)] and 0))"
    )
    child = subprocess.Popen(
        [sys.executable, "-c", script],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        env={"PYTHONPATH": str(root / "src")},
    )
    child.stdout.close()
    assert child.stderr.read() == b""
    assert child.wait(10.0) == 0
    child.stderr.close()
