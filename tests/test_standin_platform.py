"""Tests for the stand-in platform and its faults over HTTP."""

import json
import pathlib

import gevent
import msgspec
import pytest

from quetzalswitch import clock as clocks
from quetzalswitch import exceptions
from quetzalswitch import traffic
from quetzalswitch.standins import platform
from quetzalswitch.storage import connections
from quetzalswitch.storage import vms

VM = vms.VmBody("e1", "entry", "127.0.0.1:1", "d1", "r1", "live")
VMS = msgspec.json.encode(vms.VmsBody([VM]))
WRITE = b'{"conditions": [], "writes": [{"key": "a", "value": 1}]}'


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def standin(clock):
    started = platform.StandinPlatform(clock, vm_lag_s=5.0)
    started.start()
    yield started
    started.stop()


@pytest.fixture
def exchange(standin):
    """Sends a request on a new connection; returns None without an answer."""

    def send(method, path, body=b""):
        pool = connections.ConnectionPool(
            standin.address, clocks.SystemClock(), timeout_s=0.2
        )
        try:
            return pool.exchange(method, path, body)
        except exceptions.StoreUnavailableError:
            return None
        finally:
            pool.close()

    return send


def set_faults(exchange, **values):
    answer = exchange("PUT", "/faults", json.dumps(values).encode())
    assert answer.status == 200


@pytest.mark.parametrize(
    "body", [b'{"down": "a bit"}', b'{"dwon": "no"}', b"{"]
)
def test_mistyped_fault_is_refused(exchange, body):
    """Guards against a test that runs without the fault it requests."""
    assert exchange("PUT", "/faults", body).status == 400


@pytest.mark.parametrize(("down", "status"), [("error", 503), ("refuse", None)])
def test_down_has_no_effect_and_can_be_ended(standin, exchange, down, status):
    """Guards against writes that take effect while the stand-in is down."""
    set_faults(exchange, down=down)
    answer = exchange("POST", "/v1/transact", WRITE)
    assert (answer and answer.status) == status
    assert standin.app.table.read("a").version == 0
    set_faults(exchange)
    assert exchange("POST", "/v1/transact", WRITE).status == 200


@pytest.mark.parametrize("lose_by", ["close", "hang"])
def test_lost_answer_follows_the_effect(standin, exchange, lose_by):
    """Guards against a lost answer whose write had no effect."""
    set_faults(exchange, lose_next=1, lose_by=lose_by)
    assert exchange("POST", "/v1/transact", WRITE) is None
    assert standin.app.table.read("a").version == 1
    assert exchange("POST", "/v1/transact", WRITE).status == 200
    counters = json.loads(exchange("GET", "/faults/counters").body)
    assert (counters["writes"], counters["lost"]) == (2, 1)


def test_delayed_request_takes_effect_after_its_client_timed_out(
    standin, clock, exchange
):
    """Guards against a stand-in that can't deliver an abandoned copy late."""
    set_faults(exchange, delay_ms=1000, delay_next=1)
    assert exchange("POST", "/v1/transact", WRITE) is None
    assert standin.app.table.read("a").version == 0
    clock.advance(1.0)
    gevent.sleep(0.01)
    assert standin.app.table.read("a").version == 1


def test_limits_on_reads_and_writes_are_separate(clock, exchange):
    """Guards against a limit on writes that also rejects reads."""
    set_faults(exchange, writes_per_s=2)
    statuses = [
        exchange("POST", "/v1/transact", WRITE).status for _ in range(3)
    ]
    assert statuses == [200, 200, 429]
    assert exchange("GET", "/v1/row?key=a").status == 200
    clock.advance(0.5)
    assert exchange("POST", "/v1/transact", WRITE).status == 200


def test_vm_list_lags_behind_its_change(clock, exchange):
    """Guards against tests that rely on an always current list."""
    assert exchange("PUT", "/faults/vms", VMS).status == 200
    assert json.loads(exchange("GET", "/v1/vms").body) == {"vms": []}
    clock.advance(5.0)
    assert exchange("GET", "/v1/vms").body == VMS


def test_vm_list_is_loaded_from_a_file(tmp_path: pathlib.Path):
    """Guards against a VM list file that is read wrongly or not at all."""
    path = tmp_path / "vms.json"
    path.write_bytes(VMS)
    assert platform.load_vms(path) == [VM]
    path.write_text('{"vms": [{"vm": "e1"}]}')
    assert platform.serve(vms=path) == 2


def test_state_survives_a_restart_on_the_same_port(standin, exchange):
    """Guards against a simulated outage that also deletes the table."""
    exchange("POST", "/v1/transact", WRITE)
    address = standin.address
    standin.stop()
    assert exchange("GET", "/v1/row?key=a") is None
    assert standin.start() == address
    assert json.loads(exchange("GET", "/v1/row?key=a").body)["value"] == 1


def test_unchanged_list_of_vms_is_not_sent_again():
    """Guards against each entry transferring 1,000 VMs again every 2 s."""
    clock = clocks.SystemClock()
    standin = platform.StandinPlatform(clock, vms=[VM], vm_lag_s=0.0)
    counter = traffic.Counter()
    client = vms.VmClient(standin.start(), clock, counter=counter)
    first = client.list_vms()
    before = counter.received_bytes
    assert client.list_vms() == first
    assert counter.received_bytes - before < before
    standin.app.set_vms(vms.VmsBody([]))
    assert client.list_vms() == []
    client.close()
    standin.stop()
