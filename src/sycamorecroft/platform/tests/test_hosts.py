"""Tests of orders to hosts whose sender is paused."""

import socket

import pytest
from urllib3.connection import HTTPConnection

from sycamorecroft.clock import ManualClock
from sycamorecroft.platform import HttpHostCalls
from sycamorecroft.store.transport import PlatformConnection
from sycamorecroft.upkeep.hosts import FencingToken, HostOrderStatus

PAUSE_S = 4.0
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


@pytest.fixture
def server():
    with socket.create_server(("127.0.0.1", 0)) as listening:
        listening.settimeout(5.0)
        yield listening


def _received(server):
    """Returns all that the sender has written on its connection."""
    peer, _ = server.accept()
    with peer:
        peer.settimeout(5.0)
        parts = []
        while part := peer.recv(65536):
            parts.append(part)
    return b"".join(parts)


@pytest.mark.parametrize("paused_method", ["connect", "endheaders"])
def test_order_of_a_sender_that_was_paused_is_not_sent(
    server, monkeypatch, paused_method
):
    """Guards against an order with a former token after that of a successor.

    The sender is paused after it has checked its token, while the connection is being
    opened or before the body of the order is written.
    """
    clock = ManualClock()
    method = getattr(HTTPConnection, paused_method)

    def run_and_pause(self, *args, **options):
        method(self, *args, **options)
        clock.advance(PAUSE_S)

    monkeypatch.setattr(HTTPConnection, paused_method, run_and_pause)
    connection = PlatformConnection(f"127.0.0.1:{server.getsockname()[1]}")
    calls = HttpHostCalls(connection, clock)
    token = FencingToken("h0", 56, clock.monotonic_s() + 1.0)
    assert calls.start_upkeep("m0", 1, token) is HostOrderStatus.NOT_DONE
    connection.close()
    assert b'"machine"' not in _received(server)
