"""Tests of whole requests through entry processes, targets and platform."""

import gevent
import pytest

from quetzalswitch import configuration
from quetzalswitch import embedded
from quetzalswitch import exceptions
from quetzalswitch import retention

KEY = "key-of-alpha"
OTHER_KEY = "key-of-beta"


@pytest.fixture(name="system", scope="module")
def _system():
    system = embedded.System(embedded.Shape(entries=3, targets=6))
    system.start()
    gevent.sleep(1.2)
    system.change(
        configuration.ChangeSet(
            (
                configuration.PutTeam("open", 1.0, 4),
                configuration.PutTeam("alpha", 1.0, 20),
                configuration.PutTeam("beta", 1.0, 20),
                configuration.GrantKey(
                    "k1", "alpha", configuration.digest_key(KEY)
                ),
                configuration.GrantKey(
                    "k2", "beta", configuration.digest_key(OTHER_KEY)
                ),
                configuration.PutQueue("proofs", "alpha", "latency"),
                configuration.PutQueue("public", None, "latency"),
            )
        )
    )
    system.wait_ready()
    yield system
    system.stop()


def _submit(system, entry, key=KEY, **fields):
    submission = {"queue": "proofs", "payload": "x", "wait": True, **fields}
    return system.entries[entry].service.submit(submission, key, "")


def test_synchronous_request_is_answered_whole(system):
    """Guards against an answer that is lost or cut on its way to the caller."""
    payload = '{"run_ms": 10, "output_bytes": 200000}'
    view = _submit(system, "e1", payload=payload).wait(10.0)
    assert view["state"] == "done"
    assert view["result"]["length_bytes"] == 200000
    assert len(view["result"]["body"]) == 200000


def test_stored_request_is_answered_by_another_entry(system):
    """Guards against a result that only the accepting entry knows."""
    _submit(system, "e1", wait=False, request_id="stored-1")
    view = system.entries["e2"].service.view(KEY, "stored-1", 10.0)
    assert view["state"] == "done"


def test_retry_with_the_same_id_joins_the_first_request(system):
    """Guards against a caller's retry that runs the request twice."""
    payload = '{"run_ms": 300, "output": "once"}'
    fields = {"payload": payload, "request_id": "retry-1", "idempotent": False}
    first = _submit(system, "e1", **fields)
    again = _submit(system, "e3", **fields)
    assert again.wait(10.0)["result"]["body"] == "once"
    assert first.wait(10.0)["attempts"] == 1


def test_same_id_with_another_payload_is_refused(system):
    """Guards against an answer that belongs to a different request."""
    _submit(system, "e1", request_id="mixed-1").wait(10.0)
    with pytest.raises(exceptions.RequestError) as refusal:
        _submit(system, "e2", request_id="mixed-1", payload="y")
    assert refusal.value.kind is exceptions.ErrorKind.ID_CONFLICT


def test_key_of_another_team_is_refused(system):
    """Guards against work that is accepted for the wrong team."""
    with pytest.raises(exceptions.RequestError) as refusal:
        _submit(system, "e1", OTHER_KEY)
    assert refusal.value.kind is exceptions.ErrorKind.FORBIDDEN


def test_open_queue_takes_work_without_a_key(system):
    """Guards against an open queue that asks for a key."""
    view = _submit(system, "e2", None, queue="public").wait(10.0)
    assert view["state"] == "done"
    assert view["team"] == "open"


def test_withdrawn_key_stops_working_at_every_entry(system):
    """Guards against a key that goes on working after its withdrawal."""
    digest = configuration.digest_key("short-lived")
    system.change(configuration.GrantKey("k3", "alpha", digest))
    version = system.change(configuration.WithdrawKey("k3"))
    for name, process in system.entries.items():
        with gevent.Timeout(5.0):
            while process.following.configuration.version < version:
                gevent.sleep(0.05)
        with pytest.raises(exceptions.RequestError) as refusal:
            _submit(system, name, "short-lived")
        assert refusal.value.kind is exceptions.ErrorKind.UNAUTHENTICATED


def test_request_larger_than_every_target_is_refused_at_once(system):
    """Guards against a request that waits for ever because it never fits."""
    view = _submit(system, "e1", cores=1000.0).wait(10.0)
    assert view["error"]["kind"] == "never_fits"
    assert view["error"]["run"] == "not_run"


def test_cancelled_request_says_that_it_did_not_run(system):
    """Guards against a cancelled request that starts later."""
    system.change(configuration.PutTeam("beta", 1.0, 0))
    system.change(configuration.PutQueue("held", "beta", "batch"))
    fields = {"queue": "held", "request_id": "c-1", "wait": False}
    _submit(system, "e1", OTHER_KEY, **fields)
    view = system.entries["e1"].service.cancel(OTHER_KEY, "c-1")
    assert view["state"] == "cancelled"
    assert view["error"]["run"] == "not_run"


def test_ended_request_is_removed_from_the_table(system):
    """Guards against a removal that does not match the rows of the journal."""
    _submit(system, "e1", request_id="old-1").wait(10.0)
    process = system.entries["e2"]
    assert process.journal.read("alpha/old-1").value["finished_wall_s"] > 0
    removal = retention.Retention(
        process.clock,
        process.table,
        process.committer,
        0.0,
        process.retention._around,
    )
    assert removal.check_page()
    assert removal.removed > 0
    assert process.journal.read("alpha/old-1") is None


def test_metrics_of_a_running_entry_have_values(system):
    """Guards against alerts on metrics that an entry process never sets."""
    with pytest.raises(exceptions.RequestError):
        _submit(system, "e1", "no-such-key")
    for _ in range(6):
        _submit(system, "e1").wait(10.0)
    body = b"".join(
        process.metrics.render()[0] for process in system.entries.values()
    ).decode()
    names = [
        'quetzal_starts_total{domain="domain-',
        "quetzal_decision_seconds_count ",
        "quetzal_store_write_seconds_count ",
        'quetzal_refusals_total{kind="unauthenticated"} ',
        'quetzal_targets{state="usable"} 2',
        'quetzal_packing_ratio{resource="slots"}',
        "quetzal_retry_tokens ",
        "quetzal_retries_denied_total ",
        'quetzal_store_writes_total{outcome="sent"}',
        'quetzal_control_sent_bytes_total{party="peers"}',
    ]
    assert [name for name in names if name not in body] == []


def test_trace_at_the_home_shows_the_spans_of_a_peer(system):
    """Guards against a trace that ends where a peer takes the request over."""
    system.change(configuration.PutTeam("alpha", 1.0, 60))
    payload = '{"run_ms": 4000}'
    names = [f"spread-{number}" for number in range(20)]
    tickets = [
        _submit(system, "e1", request_id=name, payload=payload, wait=False)
        for name in names
    ]
    assert {ticket.wait(30.0)["state"] for ticket in tickets} == {"done"}
    service = system.entries["e1"].service
    found = {
        (span["entry"], span["name"])
        for name in names
        for span in service.trace(KEY, name)
    }
    peers = {entry for entry, hop in found if hop == "run"} - {"e1"}
    assert peers, found
    assert {("e1", "hand_over"), ("e1", "request")} <= found


def test_accepted_change_is_in_force_although_the_store_fails_at_once(system):
    """Guards against a change that is accepted and not in force anywhere.

    The writer read the table after its commit. When that read failed it kept
    the old version and vouched for it to the other entries.
    """
    process = system.entries["e1"]
    commit = process.operation._commit
    read_row = process.table.read_row

    def fail(*arguments):
        raise exceptions.StoreUnavailableError("down")

    def commit_and_fail(conditions, writes):
        made = commit(conditions, writes)
        process.table.read_row = fail
        return made

    process.operation._commit = commit_and_fail
    try:
        version = system.change(configuration.PutTeam("gamma", 1.0, 3))
        assert process.operation.configuration().version == version
    finally:
        process.operation._commit = commit
        process.table.read_row = read_row


def test_every_client_of_the_platform_counts_its_bytes(system):
    """Guards against a cost of control that leaves out the table's reads."""
    process = system.entries["e1"]
    for client in (process.table, process.objects, process.vm_client):
        assert client._pool.counter is process.platform_traffic
