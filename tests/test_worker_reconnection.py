"""Tests of a worker's link that reconnects to another incarnation."""

import queue
import random
import time

import pytest

from soak.run_log import RunLog
from soak.workers import ConnectionLoss, SoakWorker, fixed_task_s
from standins.platform_http import StoreServer
from standins.ports import reserve_port
from sycamorecroft.clock import SystemClock
from sycamorecroft.platform.workers import HttpWorkerCalls
from sycamorecroft.scheduling.calls import OrderStatus, StartOrder
from sycamorecroft.scheduling.commit import Acknowledgement
from sycamorecroft.scheduling.start_sender import StartSender
from sycamorecroft.scheduling.worker_clock import WorkerClock
from sycamorecroft.scheduling.worker_link import RenewalSucceeded, WorkerLink

TASK = "0000000000000001.0.0.0"
LEASE_S = 3.0
WAIT_S = 5.0


@pytest.fixture
def worker():
    store = StoreServer(reserve_port())
    worker = SoakWorker(0, store, RunLog(), fixed_task_s, random.Random(1))
    yield worker
    worker.close()
    store.stop()


def _next_reply(received, is_wanted):
    end_s = time.monotonic() + WAIT_S
    while time.monotonic() < end_s:
        message = received.get(timeout=WAIT_S)
        if isinstance(message, RenewalSucceeded) and is_wanted(message.reply):
            return message.reply
    raise TimeoutError("no such run list")


@pytest.mark.parametrize("loss", [ConnectionLoss.CLOSED, ConnectionLoss.RESET])
def test_reconnection_to_a_new_incarnation_acknowledges_nothing(worker, loss):
    """Guards against acknowledgements that make a restarted worker drop outcomes.

    The connection is closed between two calls. The next call connects again without an
    error and carried the last number, and the deadline, of the former incarnation.
    """
    received = queue.Queue()
    clock = SystemClock()
    link = WorkerLink(
        "i-0",
        HttpWorkerCalls(worker.link.address, "i-0", 1),
        WorkerClock(LEASE_S),
        clock,
        received.put,
        lambda: clock.monotonic_s() + LEASE_S,
    )
    former = worker.incarnations[-1]
    link.start()
    try:
        _next_reply(received, lambda reply: True)
        order = StartOrder(TASK, 1, "", former.clock_ms + 5000)
        former.calls(1).start(order)
        _next_reply(received, lambda reply: reply.finished)
        # The link waits until the outcome is stored.
        worker.restart(loss, is_moved=False, registration_delay_s=0.0)
        link.acknowledge(Acknowledgement("i-0", former.incarnation_ms, 1))
        current = worker.incarnations[-1]
        _next_reply(
            received, lambda reply: reply.incarnation_ms == current.incarnation_ms
        )
    finally:
        link.close()
    assert current.acknowledged == 0


@pytest.mark.parametrize("loss", ConnectionLoss)
def test_start_for_a_former_incarnation_is_not_carried_out_by_the_next(worker, loss):
    """Guards against a second run when an owner goes on after a pause with orders that
    it had queued before the worker restarted.
    """
    former = worker.incarnations[-1]
    calls = HttpWorkerCalls(worker.link.address, "i-0", 1)
    starts = StartSender("i-0", calls, SystemClock())
    orders = [
        StartOrder(f"0000000000000001.0.0.{index}", 1, "", former.clock_ms + 5000)
        for index in range(4)
    ]

    def send(order, incarnation):
        return starts.send(order, incarnation.incarnation_ms, lambda: True).status

    assert send(orders[0], former) is OrderStatus.DONE
    worker.restart(loss, is_moved=False, registration_delay_s=0.0)
    current = worker.incarnations[-1]
    for order in orders[1:3]:
        assert send(order, former) in (OrderStatus.REJECTED, OrderStatus.UNKNOWN)
    assert not current.started
    assert send(orders[3], current) is OrderStatus.DONE
    calls.close()
