"""Tests of the byte counters of control connections."""

from quetzalswitch import clock as clocks
from quetzalswitch import traffic
from quetzalswitch.standins import target as targets
from quetzalswitch.storage import connections
from quetzalswitch.targets import client as clients


def test_bytes_of_an_exchange_are_counted_once():
    """Guards against control traffic that the metrics miss."""
    standin = targets.StandinTarget()
    standin.start()
    counter = traffic.Counter()
    clock = clocks.SystemClock()
    client = clients.TargetClient(standin.address, clock, counter=counter)
    client.fence("attempt-1")
    first = (counter.sent_bytes, counter.received_bytes)
    client.fence("attempt-1")
    client.close()
    standin.stop()
    assert first[0] > len('POST /v1/attempts/attempt-1/fence {"}')
    assert first[1] > len('{"state":"never_seen"}')
    total = (counter.sent_bytes, counter.received_bytes)
    assert total == (2 * first[0], 2 * first[1])


def test_platform_exchanges_share_a_counter():
    """Guards against counting only one of the platform's services."""
    standin = targets.StandinTarget()
    standin.start()
    counter = traffic.Counter()
    for _ in range(2):
        pool = connections.ConnectionPool(
            standin.address, clocks.SystemClock(), 2.0, counter
        )
        before = counter.sent_bytes
        assert pool.exchange("GET", "/v1/none").status == 404
        assert counter.sent_bytes > before
        pool.close()
    standin.stop()
