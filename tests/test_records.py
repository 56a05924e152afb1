"""Tests for records and their encoding between peers."""

import pytest

from quetzalswitch import exceptions
from quetzalswitch import records
from quetzalswitch.peers import protocol


def test_every_error_kind_has_an_answer():
    """Guards against an error kind that would be answered by a crash."""
    assert set(exceptions.ANSWERS) == set(exceptions.ErrorKind)


@pytest.mark.parametrize(
    "kind",
    [
        records.LatencyBound(),
        records.Batch(checkpointable=True),
        records.Service(),
        records.Gang(tasks=3, same_rack=True),
    ],
)
def test_forwarded_request_survives_encoding(kind):
    """Guards against a request that changes when it moves to a peer."""
    request = records.Request("r", "t", "q", kind, records.Resources(2.0, 64))
    message = protocol.Forward(7, request, 1.5, 0.25)
    envelope = protocol.Envelope("e1", "e1-x", message)
    assert protocol.decode(protocol.encode(envelope)) == envelope


def test_unreadable_message_is_a_protocol_error():
    """Guards against a damaged message that ends the receiving task."""
    with pytest.raises(exceptions.ProtocolError):
        protocol.decode(b"\xc1 not a message")
