"""Tests of the proxy that plays faults of the network."""

import gevent
import gevent.server
import gevent.socket
import pytest

import fault_proxy


@pytest.fixture(name="proxy")
def _proxy():
    def echo(sock, _):
        while data := sock.recv(100):
            sock.sendall(data)

    server = gevent.server.StreamServer(("127.0.0.1", 0), echo)
    server.start()
    proxy = fault_proxy.Proxy(f"127.0.0.1:{server.server_port}")
    yield proxy
    proxy.stop()
    server.stop(timeout=0.1)


def _dial(proxy):
    host, _, port = proxy.address.partition(":")
    return gevent.socket.create_connection((host, int(port)), timeout=0.5)


def _is_answered(sock):
    sock.sendall(b"x")
    try:
        return sock.recv(1) == b"x"
    except TimeoutError:
        return False


def test_open_connections_stay_silent_and_new_ones_work(proxy):
    """Guards against a fault that ends, or that callers see as an error."""
    old = _dial(proxy)
    assert _is_answered(old)
    proxy.silence_open()
    assert not _is_answered(old)
    assert _is_answered(_dial(proxy))
    assert not _is_answered(old)


def test_silent_connections_that_are_given_up_are_freed(proxy, monkeypatch):
    """Guards against a long soak that runs out of descriptors."""
    monkeypatch.setattr(fault_proxy, "ORPHAN_LIMIT_S", 0.2)
    for _ in range(5):
        sock = _dial(proxy)
        assert _is_answered(sock)
        proxy.silence_open()
        sock.close()
    assert proxy.count_open() > 0
    gevent.sleep(0.4)
    assert proxy.count_open() == 0


def test_connections_dialled_in_silence_work_after_it(proxy):
    """Guards against a proxy that loses what was sent before it connected."""
    proxy.mode = "silent"
    sock = _dial(proxy)
    assert not _is_answered(sock)
    proxy.mode = "pass"
    assert sock.recv(1) == b"x"


def test_proxy_refuses_and_listens_again_at_its_address(proxy):
    """Guards against dead entries whose peers are not refused."""
    proxy.refuse()
    with pytest.raises(ConnectionRefusedError):
        _dial(proxy)
    proxy.listen()
    assert _is_answered(_dial(proxy))
