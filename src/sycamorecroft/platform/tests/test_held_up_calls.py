"""Tests of calls that a partition holds up until long after they have timed out."""

import os
import signal
import socket
import subprocess
import sys
import threading
from math import inf
from pathlib import Path

import pytest
from urllib3.connection import HTTPConnection

from standins.held_link import HeldLink
from sycamorecroft.clock import ManualClock
from sycamorecroft.errors import StoreOutcomeUnknownError
from sycamorecroft.platform import HttpHostCalls, HttpWorkerCalls, PlatformTables
from sycamorecroft.scheduling.calls import OrderStatus, StartOrder
from sycamorecroft.store.adaptive_timeout import AdaptiveTimeout
from sycamorecroft.store.connections import RecordedConnection
from sycamorecroft.store.interfaces import Put, StorePurpose
from sycamorecroft.store.transport import Method, PlatformConnection
from sycamorecroft.upkeep.hosts import FencingToken, HostOrderStatus

ROOT = Path(__file__).resolve().parents[4]
TOKEN = FencingToken("h0", 56, inf)
TIMEOUT_S = 0.2


@pytest.fixture
def link():
    link = HeldLink()
    yield link
    link.close()


def test_host_order_that_has_timed_out_never_arrives(link):
    """Guards against an order with a former token after that of a successor."""
    connection = PlatformConnection(link.address, timeout_s=TIMEOUT_S)
    calls = HttpHostCalls(connection, ManualClock())
    assert calls.start_upkeep("m0", 1, TOKEN) is HostOrderStatus.UNKNOWN
    link.release()
    assert link.delivered == b""


def test_start_that_has_timed_out_never_arrives(link):
    """Guards against a start that reaches the next incarnation of its worker, which has
    seen no fencing token.
    """
    calls = HttpWorkerCalls(link.address, "w0", 1)
    reply = calls.start(StartOrder("j.0.0.0", 1, "", deadline_ms=6000))
    assert reply.status is OrderStatus.UNKNOWN
    link.release()
    assert link.delivered == b""


def test_write_that_has_timed_out_never_arrives(link):
    """Guards against a submission that is stored after its job was cancelled."""
    connection = PlatformConnection(
        link.address, adaptive_timeout=AdaptiveTimeout(TIMEOUT_S, TIMEOUT_S)
    )
    tables = PlatformTables(connection, connection)
    with pytest.raises(StoreOutcomeUnknownError):
        tables.transact((), (Put("t", "k", b"1", "p"),), purpose=StorePurpose.JOBS)
    link.release()
    assert link.delivered == b""


def test_write_of_a_killed_process_never_arrives(link):
    """Guards against an order that outlives the process that could have reset it."""
    program = (
        "from sycamorecroft.store.transport import Method, PlatformConnection\n"
        f"connection = PlatformConnection({link.address!r}, timeout_s=30.0)\n"
        "connection.call(Method.POST, '/api/machine-move', body=b'{}')\n"
    )
    environment = os.environ | {"PYTHONPATH": str(ROOT / "src")}
    process = subprocess.Popen([sys.executable, "-c", program], env=environment)
    try:
        link.wait_for_bytes()
    finally:
        process.send_signal(signal.SIGKILL)
        process.wait(10)
    link.release()
    assert link.delivered == b""


@pytest.mark.parametrize(
    ("adaptive_timeout", "limit_ms"), [(None, 700), (AdaptiveTimeout(0.1, 0.4), 400)]
)
def test_system_discards_data_that_is_not_acknowledged_in_time(
    adaptive_timeout, limit_ms, monkeypatch
):
    """Guards against an order of a paused process, which can't reset its connection."""
    options = []
    connect = RecordedConnection.connect

    def record(self):
        connect(self)
        level, name = socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT
        options.append(self.sock.getsockopt(level, name))

    monkeypatch.setattr(RecordedConnection, "connect", record)
    with socket.create_server(("127.0.0.1", 0)) as server:
        connection = PlatformConnection(
            f"127.0.0.1:{server.getsockname()[1]}",
            timeout_s=0.7,
            adaptive_timeout=adaptive_timeout,
        )
        with pytest.raises(StoreOutcomeUnknownError):
            connection.call(Method.POST, "/", body=b"{}", timeout_s=0.1)
    assert set(options) == {limit_ms}


def test_request_is_written_as_a_whole(monkeypatch):
    """Guards against an order whose head is held up and whose body arrives later."""
    writes = []
    monkeypatch.setattr(
        HTTPConnection, "send", lambda self, data: writes.append(bytes(data))
    )
    with socket.create_server(("127.0.0.1", 0)) as server:
        connection = PlatformConnection(f"127.0.0.1:{server.getsockname()[1]}")
        with pytest.raises(StoreOutcomeUnknownError):
            connection.call(Method.POST, "/a", body=b"{}", timeout_s=0.1)
    (request,) = writes
    assert request.startswith(b"POST /a ")
    assert request.endswith(b"\r\n\r\n{}")


def test_answer_is_complete_when_its_connection_is_closed():
    """Guards against a reset that discards the rest of an answer."""
    body = bytes(300_000)

    def answer(server):
        peer, _ = server.accept()
        with peer:
            peer.recv(65536)
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n"
            peer.sendall(head.encode() + b"Connection: close\r\n\r\n" + body)

    with socket.create_server(("127.0.0.1", 0)) as server:
        thread = threading.Thread(target=answer, args=(server,))
        thread.start()
        connection = PlatformConnection(f"127.0.0.1:{server.getsockname()[1]}")
        assert connection.call(Method.GET, "/").body == body
        thread.join()
