"""Tests of calls to a worker that leaves some of them without an answer."""

import contextlib
import socket
import threading
import time

import pytest

from standins.ports import reserve_port
from sycamorecroft.errors import (
    NoOpenConnectionError,
    StoreUnavailableError,
    WorkerCallError,
)
from sycamorecroft.platform import HttpWorkerCalls
from sycamorecroft.platform.workers import ORDER_TIMEOUT_MAX_S
from sycamorecroft.scheduling.calls import OrderStatus, StartOrder

CLOCK_MS = 5
BODY = b'{"clock-ms":5,"born":7,"running":[],"finished":[]}'
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(BODY), BODY)


class _Worker:
    """Worker that answers after ``delay_s``, or not at all while that is ``None``."""

    def __init__(self):
        self.delay_s = 0.0
        self._connections = []
        self._server = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._server.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                connection, _ = self._server.accept()
            except OSError:
                return
            self._connections.append(connection)
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection):
        received = b""
        # The caller resets connections that it closes.
        with connection, contextlib.suppress(ConnectionResetError):
            while data := connection.recv(65536):
                received += data
                if not received.endswith(b"}"):
                    continue
                received = b""
                if self.delay_s is not None:
                    time.sleep(self.delay_s)
                    connection.sendall(ANSWER)

    def close_connections(self):
        """Closes all connections and waits until the caller can see it."""
        for connection in self._connections:
            connection.shutdown(socket.SHUT_RDWR)
        time.sleep(0.05)

    def close(self):
        self._server.close()


@pytest.fixture
def worker():
    worker = _Worker()
    yield worker
    worker.close()


@pytest.fixture
def calls(worker):
    calls = HttpWorkerCalls(worker.address, "w1", 1)
    yield calls
    calls.close()


def _timed_stop(calls):
    start_s = time.monotonic()
    status = calls.stop("j.0.0.0", 1).status
    return status, time.monotonic() - start_s


def test_order_without_an_answer_delays_those_behind_it_little(worker, calls):
    """Guards against starts that wait half a second for one unanswered order."""
    for _ in range(5):
        assert _timed_stop(calls)[0] is OrderStatus.DONE
    worker.delay_s = None
    status, duration_s = _timed_stop(calls)
    assert status is OrderStatus.UNKNOWN
    assert duration_s < ORDER_TIMEOUT_MAX_S / 2


def test_orders_to_a_slow_worker_are_not_given_up_early(worker, calls):
    """Guards against runs that are stopped because their worker answers slowly."""
    worker.delay_s = 0.05
    assert _timed_stop(calls)[0] is OrderStatus.DONE
    worker.delay_s = 0.18
    assert _timed_stop(calls)[0] is OrderStatus.DONE


def test_call_that_needs_an_open_connection_is_not_sent_on_a_new_one(worker, calls):
    """Guards against numbers and deadlines that reach a restarted worker.

    The worker closes its connections, as at a restart, and listens again.
    """
    reply = calls.renew_leases(acknowledged=0, deadline_ms=None, wait_ms=0)
    assert reply.clock_ms == CLOCK_MS
    kept = {"acknowledged": 7, "deadline_ms": 9, "wait_ms": 0}
    calls.renew_leases(**kept, needs_open_connection=True)
    worker.close_connections()
    with pytest.raises(WorkerCallError) as raised:
        calls.renew_leases(**kept, needs_open_connection=True)
    assert not raised.value.may_have_run
    calls.renew_leases(acknowledged=0, deadline_ms=None, wait_ms=0)
    calls.renew_leases(**kept, needs_open_connection=True)


def test_connections_of_orders_are_counted(worker, calls):
    """Guards against an order on a new connection that is taken for one on the old."""
    assert calls.order_connections_count == 0
    calls.stop("j.0.0.0", 1)
    calls.stop("j.0.0.0", 1)
    assert calls.order_connections_count == 1
    worker.close_connections()
    calls.stop("j.0.0.0", 1)
    assert calls.order_connections_count == 2


@pytest.mark.parametrize(("deadline_ms", "lease_s"), [(6005, 6.0), (4, 0.0)])
def test_start_tells_how_long_the_lease_lasts(calls, deadline_ms, lease_s):
    """Guards against a lease that is taken for longer, or shorter, than it is.

    The deadline may be on the clock of a former incarnation.
    """
    reply = calls.start(StartOrder("j.0.0.0", 1, "", deadline_ms))
    assert reply.lease_s == lease_s


def test_start_that_needs_the_connection_of_the_last_answer_opens_no_other(
    worker, calls
):
    """Guards against a start that reaches a worker that has restarted.

    The worker closes its connections, as at a restart, and listens again.
    """
    order = StartOrder("j.0.0.0", 1, "", 6005)
    assert calls.identify() == 7
    reply = calls.start(order, needs_open_connection=True)
    assert reply.status is OrderStatus.DONE
    worker.close_connections()
    with pytest.raises(NoOpenConnectionError):
        calls.start(order, needs_open_connection=True)
    assert calls.order_connections_count == 1


def test_worker_that_cannot_be_connected_is_told_from_one_that_does_not_answer(
    worker, calls
):
    """Guards against a crashed worker that is chosen again and again."""
    worker.delay_s = None
    with pytest.raises(WorkerCallError):
        calls.identify()
    absent = HttpWorkerCalls(f"127.0.0.1:{reserve_port()}", "w1", 1)
    with pytest.raises(StoreUnavailableError):
        absent.identify()
