"""Tests of orders whose sender is paused after it has checked its permission."""

import contextlib
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
from urllib3.connection import HTTPConnection

from sycamorecroft.clock import ManualClock
from sycamorecroft.errors import CallWithheldError
from sycamorecroft.platform import HttpHostCalls, HttpWorkerCalls
from sycamorecroft.scheduling.calls import OrderStatus, StartOrder
from sycamorecroft.store.transport import Method, PlatformConnection
from sycamorecroft.upkeep.hosts import FencingToken, HostOrderStatus

PAUSE_S = 4.0
# More than the buffers of a connection on loopback hold.
BODY_BYTES = 32 * 1024 * 1024
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


@pytest.fixture
def server():
    with socket.create_server(("127.0.0.1", 0)) as listening:
        listening.settimeout(5.0)
        yield listening


def _received(server):
    """Returns all that the sender has written until the end of its connection."""
    peer, _ = server.accept()
    parts = []
    with peer, contextlib.suppress(ConnectionResetError):
        peer.settimeout(5.0)
        while part := peer.recv(65536):
            parts.append(part)
    return b"".join(parts)


@pytest.fixture(params=["connect", "endheaders"])
def paused_clock(request, monkeypatch):
    """Clock that jumps after the opening of a connection or the head of a request."""
    clock = ManualClock()
    method = getattr(HTTPConnection, request.param)

    def run_and_pause(self, *args, **options):
        method(self, *args, **options)
        clock.advance(PAUSE_S)

    monkeypatch.setattr(HTTPConnection, request.param, run_and_pause)
    return clock


def _address(server):
    return f"127.0.0.1:{server.getsockname()[1]}"


def test_order_to_a_host_is_not_sent_with_an_expired_token(server, paused_clock):
    """Guards against an order with a former token after that of a successor."""
    connection = PlatformConnection(_address(server))
    calls = HttpHostCalls(connection, paused_clock)
    token = FencingToken("h0", 56, paused_clock.monotonic_s() + 1.0)
    assert calls.start_upkeep("m0", 1, token) is HostOrderStatus.NOT_DONE
    connection.close()
    assert b'"machine"' not in _received(server)


def test_order_that_waits_for_room_is_not_written_after_its_permission_ends(server):
    """Guards against an order whose sender checks its permission, waits for its turn to
    write, and writes whatever time has passed.
    """
    ended = threading.Event()
    connection = PlatformConnection(_address(server))
    body = bytes(BODY_BYTES)
    with ThreadPoolExecutor(1) as executor:
        call = executor.submit(
            connection.call,
            Method.POST,
            "/",
            body=body,
            may_send=lambda: not ended.is_set(),
        )
        # The sender has filled the buffers and waits, since nothing is read yet.
        time.sleep(0.3)
        ended.set()
        received = _received(server)
        assert isinstance(call.exception(), CallWithheldError)
    connection.close()
    assert len(received) < BODY_BYTES


def test_start_is_not_sent_after_a_pause(server, paused_clock):
    """Guards against a start that reaches a worker which has restarted meanwhile.

    It has seen no epoch, and the deadline lies in the future on its clock.
    """
    calls = HttpWorkerCalls(_address(server), "w0", 1)
    order = StartOrder("j.0.0.0", 1, "", deadline_ms=6000)
    reply = calls.start(order, lambda: paused_clock.monotonic_s() < 1.0)
    assert reply.status is OrderStatus.REJECTED
    calls.close()
    assert b'"task"' not in _received(server)
