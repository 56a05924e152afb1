"""Tests of both command lines against a complete system over HTTP."""

import hashlib
import json

import gevent
import pytest

from quetzalswitch import console
from quetzalswitch import embedded
from quetzalswitch.callers import command as caller_command
from quetzalswitch.operators import command as operator_command


class Shell:
    """Runs command lines in this process; returns exit code and output."""

    def __init__(self, system):
        self.system = system
        process = system.entries["e1"]
        self.entry = process.callers_address
        self.operators = process.operators_address
        self.key = ""

    def operate(self, *arguments):
        with pytest.MonkeyPatch.context() as patch:
            patch.setenv(
                operator_command.KEY_VARIABLE, self.system.operator_key
            )
            patch.setenv("QUETZAL_OPERATORS", self.operators)
            return self._run(operator_command.app, arguments)

    def call(self, *arguments, key=None):
        with pytest.MonkeyPatch.context() as patch:
            key = self.key if key is None else key
            patch.setenv(caller_command.KEY_VARIABLE, key)
            patch.setenv("QUETZAL_ENTRY", self.entry)
            return self._run(caller_command.app, arguments)

    def _run(self, app, arguments):
        self.capsys.readouterr()
        code = console.run(app, list(arguments))
        return code, self.capsys.readouterr().out


@pytest.fixture(name="started", scope="module")
def _started_shell():
    system = embedded.System(embedded.Shape(entries=2, targets=4))
    system.start()
    with gevent.Timeout(20.0):
        while system.entries["e1"].directory.change_blocked_reason():
            gevent.sleep(0.05)
    yield Shell(system)
    system.stop()


@pytest.fixture(name="shell")
def _shell(started, capsys):
    """A shell for a system with a team, a key and a queue."""
    started.capsys = capsys
    if not started.key:
        limits = ("--share", "1", "--max-running", "20")
        assert started.operate("team", "set", "alpha", *limits)[0] == 0
        code, key = started.operate("key", "create", "alpha", "--name", "k1")
        assert code == 0
        queue = ("proofs", "--team", "alpha", "--kind", "latency")
        assert started.operate("queue", "set", *queue)[0] == 0
        started.key = key.strip()
        started.system.wait_ready()
    return started


def test_submit_wait_status_and_trace(shell):
    """Guards against commands that do not match the API of an entry."""
    payload = '{"run_ms": 10, "output": "whole"}'
    submission = ("submit", "proofs", "--payload", payload)
    code, text = shell.call(*submission, "--wait")
    assert (code, text.endswith(" done\nwhole\n")) == (0, True)
    assert shell.call(*submission, "--id", "r1")[0] == 0
    assert shell.call("wait", "r1") == (0, "r1 done\nwhole\n")
    code, text = shell.call("status", "r1", "--json")
    assert (code, json.loads(text)["state"]) == (0, "done")
    code, text = shell.call("trace", "r1")
    assert code == 0
    for hop in ("request", "decision", "start", "run", "store_write"):
        assert hop in text


def test_cancel_and_why(shell):
    """Guards against a waiting request that can't be explained or cancelled."""
    limits = ("--share", "1", "--max-running", "0")
    assert shell.operate("team", "set", "beta", *limits)[0] == 0
    assert shell.operate("queue", "set", "held", "--team", "beta")[0] == 0
    key = shell.operate("key", "create", "beta", "--name", "k2")[1].strip()
    waiting = ("submit", "held", "--id", "c1", "--kind", "batch")
    assert shell.call(*waiting, key=key)[0] == 0
    code, reason = shell.operate("why", "beta", "c1")
    assert code == 0
    assert "limit" in reason or "allowance" in reason, reason
    loads = json.loads(shell.operate("queues")[1])
    assert {load["queue"]: load["queued"] for load in loads}["held"] == 1
    assert shell.call("cancel", "c1", key=key)[0] == 0
    assert shell.call("wait", "c1", key=key)[0] == 1
    assert shell.operate("key", "revoke", "k2")[0] == 0
    assert shell.call("status", "c1", key=key)[0] == 1


def test_failures_have_exit_codes(shell):
    """Guards against rejected commands that exit with code 0."""
    assert shell.call("submit", "proofs", key="wrong")[0] == 1
    assert shell.call("submit", "no-such-queue")[0] == 1
    assert shell.call("status", "no-such-request")[0] == 1
    assert shell.call("no-such-command")[0] == 2
    assert shell.operate("team", "set", "new")[0] == 2
    assert shell.operate("domain", "back", "domain-a")[0] == 1
    assert shell.operate("key", "revoke", "no-such-key")[0] == 1


def test_domain_out_and_back_shows_in_the_state(shell):
    """Guards against `state` omitting a failure domain out of service."""
    assert shell.operate("domain", "out", "domain-a")[0] == 0
    state = json.loads(shell.operate("state")[1])
    assert state["domains_out"] == ["domain-a"]
    assert (state["region"], state["fresh"]) == ("local", True)
    assert shell.operate("domain", "back", "domain-a")[0] == 0
    state = json.loads(shell.operate("state")[1])
    assert state["domains_out"] == []


def test_settings_submit_reaches_the_configuration(shell, tmp_path):
    """Guards against valid settings files that an entry rejects."""
    process = {"entry_id": "x", "failure_domain": "d", "region": "r"}
    process["operator_key"] = "an-operator-key-for-tests"
    for party in ("callers", "operators", "peers", "platform"):
        process[f"{party}_address"] = "127.0.0.1:1"
    digest = hashlib.sha256(b"file-key").hexdigest()
    cluster = {
        "teams": {
            "alpha": {"share": 2, "max_running": 20},
            "beta": {"share": 1, "max_running": 0},
        },
        "keys": {"file": {"team": "alpha", "digest": digest}},
    }
    file = tmp_path / "base.json"
    file.write_text(json.dumps({"process": process, "cluster": cluster}))
    submit = ("settings", "submit", str(file))
    # Rejected: it would withdraw the keys granted by the fixture and tests.
    assert shell.operate(*submit)[0] == 1
    code, plan = shell.operate(*submit, "--dry-run")
    assert (code, "withdraw_key" in plan) == (0, True)
    keys = shell.operate("key", "list")[1]
    assert "file" not in keys
    del cluster["keys"]
    file.write_text(json.dumps({"process": process, "cluster": cluster}))
    assert shell.operate(*submit)[0] == 0
    assert "already matches the settings" in shell.operate(*submit)[1]
    code, text = shell.operate("team", "list")
    assert code == 0
    assert "2" in next(row for row in text.splitlines() if "alpha" in row)
