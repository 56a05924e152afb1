"""Tests for the platform clients: rows, objects, VMs, connections."""

import gevent
import pytest

from quetzalswitch import clock as clocks
from quetzalswitch import exceptions
from quetzalswitch.standins import faults
from quetzalswitch.standins import platform
from quetzalswitch.storage import connections
from quetzalswitch.storage import objects
from quetzalswitch.storage import table
from quetzalswitch.storage import vms

SHORT_TIMEOUT_S = 0.2


@pytest.fixture
def standin():
    started = platform.StandinPlatform(clocks.SystemClock(), vm_lag_s=0.0)
    started.start()
    yield started
    started.stop()


@pytest.fixture
def client(standin):
    return table.TableClient(
        standin.address, clocks.SystemClock(), SHORT_TIMEOUT_S
    )


def test_rows_read_as_written(client):
    """Guards against rows altered in transit, including non-ASCII keys."""
    version = client.transact({}, {"a/1": {"n": 1}, "a/ώ &": [2], "b": 3})
    assert client.read_row("a/ώ &") == table.Row("a/ώ &", version, [2])
    assert [row.key for row in client.read_rows("a/")] == ["a/1", "a/ώ &"]
    assert [row.key for row in client.read_rows("", after="a/1", limit=1)] == [
        "a/ώ &"
    ]
    client.transact({}, {"a/1": None})
    assert client.read_row("a/1") is None


def test_failed_condition_names_the_current_rows(client):
    """Guards against a conflict that does not return the current rows."""
    version = client.transact({}, {"a": 1})
    with pytest.raises(exceptions.ConditionFailedError) as caught:
        client.transact({"a": 0, "b": 5}, {"c": 1})
    assert caught.value.conflicts == {
        "a": table.Row("a", version, 1),
        "b": table.Row("b", 0, None),
    }
    assert client.read_row("c") is None


def test_transaction_above_the_row_limit_is_a_protocol_error(client):
    """Guards against endless retries of a transaction never accepted."""
    writes = {f"k{n}": n for n in range(table.MAX_ROWS_PER_TRANSACTION + 1)}
    with pytest.raises(exceptions.ProtocolError):
        client.transact({}, writes)


def test_unresponsive_connections_are_not_reused(standin, client):
    """Guards against a separate timeout for each unresponsive connection.

    A request sent on an unresponsive connection must have no effect.
    """
    client.read_row("a")
    gevent.joinall(
        [gevent.spawn(client.read_row, "a") for _ in range(3)],
        raise_error=True,
    )
    standin.set_faults(faults.Faults(silence_open=True))
    with pytest.raises(exceptions.StoreUnavailableError):
        client.transact({}, {"a": 1})
    for _ in range(5):
        assert client.read_row("a") is None
    assert standin.counters["silenced"] == 1


def test_late_answer_is_not_mistaken_for_the_next_one(standin, client):
    """Guards against using the answer to an exchange that timed out."""
    client.transact({}, {"a": 1, "b": 2})
    standin.set_faults(faults.Faults(delay_ms=300, delay_next=1))
    with pytest.raises(exceptions.StoreUnavailableError):
        client.read_row("a")
    gevent.sleep(0.2)
    assert client.read_row("b").value == 2


def test_connection_is_replaced_at_its_maximum_age(standin):
    """Guards against a connection that outlives its state in a middlebox."""
    clock = clocks.ManualClock()
    client = table.TableClient(standin.address, clock)
    client.read_row("a")
    clock.advance(connections.MAX_CONNECTION_AGE_S - 1)
    client.read_row("a")
    assert standin.counters["connections"] == 1
    clock.advance(2)
    client.read_row("a")
    assert standin.counters["connections"] == 2


def test_refused_connection_differs_from_a_lost_answer(standin, client):
    """Guards against calling a write unsent when it may have taken effect."""
    standin.set_faults(faults.Faults(lose_next=1))
    with pytest.raises(exceptions.StoreUnavailableError) as caught:
        client.transact({}, {"a": 1})
    assert not isinstance(caught.value.__cause__, ConnectionRefusedError)
    assert client.read_row("a").value == 1
    standin.stop()
    with pytest.raises(exceptions.StoreUnavailableError) as caught:
        client.transact({}, {"a": 2})
    assert isinstance(caught.value.__cause__, ConnectionRefusedError)


def test_timeout_of_the_caller_is_not_swallowed(standin):
    """Guards against reporting the caller's own timeout as a store outage."""
    client = table.TableClient(standin.address, clocks.SystemClock(), 5.0)
    standin.set_faults(faults.Faults(delay_ms=500))
    with pytest.raises(gevent.Timeout), gevent.Timeout(0.1):
        client.read_row("a")


def test_objects_and_vms_over_http(standin):
    """Guards against damaged objects and unusable VM lists."""
    clock = clocks.SystemClock()
    store = objects.ObjectClient(standin.address, clock)
    body = bytes(range(256)) * 1024
    store.put("team/ώ?#%", body)
    assert store.get("team/ώ?#%") == body
    store.delete("team/ώ?#%")
    with pytest.raises(KeyError):
        store.get("team/ώ?#%")
    listed = vms.VmBody("t1", "target", "127.0.0.1:1", "d1", "r1", "leaving")
    standin.app.set_vms(vms.VmsBody([listed]))
    assert vms.VmClient(standin.address, clock).list_vms() == [
        vms.Vm("t1", "target", "127.0.0.1:1", "d1", "r1", "leaving")
    ]


@pytest.mark.parametrize(
    ("host", "header"),
    [("h" * 300, "a"), ("a..b", "a"), ("127.0.0.1", "a\r\nb")],
)
def test_request_that_cannot_be_encoded_is_a_store_error(host, header):
    """Guards against a greenlet that ends at an address of another writer."""
    pool = connections.ConnectionPool(f"{host}:1", clocks.SystemClock())
    with pytest.raises(exceptions.StoreUnavailableError) as caught:
        pool.exchange("GET", "/", headers={"X-Header": header})
    assert isinstance(caught.value.__cause__, ValueError)
