"""Tests that orders to start reach the incarnation that they are meant for."""

import pytest

from standins.memory_worker import MemoryWorker, MemoryWorkerCalls
from sycamorecroft.clock import ManualClock
from sycamorecroft.errors import NoOpenConnectionError
from sycamorecroft.scheduling.calls import OrderStatus, StartOrder
from sycamorecroft.scheduling.start_sender import NEW_CONNECTION_LIMIT_S, StartSender

EPOCH = 5
INCARNATION_MS = 7
DEADLINE_MS = 10**9


def _order(index=0):
    return StartOrder(f"j.0.0.{index}", 1, "", DEADLINE_MS)


class _ClosingCalls(MemoryWorkerCalls):
    """Calls to a worker that closes its connections after each answer."""

    def start(self, order, may_send=lambda: True, *, needs_open_connection=False):
        if needs_open_connection:
            raise NoOpenConnectionError("no connection is open")
        return super().start(order, may_send)


@pytest.fixture
def worker():
    return MemoryWorker(INCARNATION_MS)


@pytest.fixture
def calls(worker):
    return worker.calls(EPOCH)


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def sender(calls, clock):
    return StartSender("w1", calls, clock)


def _send(sender, index=0, incarnation_ms=INCARNATION_MS):
    return sender.send(_order(index), incarnation_ms, lambda: True)


def test_start_that_was_assigned_before_a_restart_is_not_sent(sender, worker):
    """Guards against a second run when a former owner wakes after the worker's restart.

    The new incarnation has seen no epoch, and its clock is far before the deadline.
    """
    worker.restart()
    reply = _send(sender)
    assert (reply.status, reply.reason) == (OrderStatus.REJECTED, "restarted")
    assert not worker.started


def test_start_on_an_open_connection_does_not_reach_a_restarted_worker(sender, worker):
    """Guards against a connection that is opened again behind the sender's back."""
    assert _send(sender).status is OrderStatus.DONE
    worker.restart()
    assert _send(sender, 1).reason == "restarted"
    assert [run.task for run in worker.started] == ["j.0.0.0"]


def test_start_after_a_stop_that_opened_a_connection_is_not_sent(sender, worker, calls):
    """Guards against a connection to a restarted worker that was opened by a stop."""
    assert _send(sender).status is OrderStatus.DONE
    worker.restart()
    calls.stop("j.0.0.0", 1)
    assert _send(sender, 1).reason == "restarted"
    assert not worker.running


def test_start_for_a_later_incarnation_is_sent_once_that_has_answered(sender, worker):
    """Guards against a worker that gets no more tasks after its restart."""
    assert _send(sender).status is OrderStatus.DONE
    worker.restart()
    reply = _send(sender, 1, worker.incarnation_ms)
    assert reply.status is OrderStatus.DONE
    assert reply.is_incarnation_known


def test_start_of_a_superseded_owner_is_fenced(sender, worker):
    """Guards against a lost service that is noticed at the next renewal only."""
    worker.epoch = EPOCH + 1
    assert _send(sender).status is OrderStatus.FENCED
    assert not worker.started


def test_worker_that_does_not_answer_gets_no_start(sender, worker):
    """Guards against a task that waits for the end of a run that wasn't ordered."""
    worker.is_unreachable = True
    assert _send(sender).status is OrderStatus.REJECTED
    worker.is_unreachable = False
    assert _send(sender).status is OrderStatus.DONE


def test_worker_is_identified_once_for_each_connection(sender, calls, monkeypatch):
    """Guards against a call more for each start."""
    identified = []
    identify = calls.identify
    monkeypatch.setattr(calls, "identify", lambda: identified.append(1) or identify())
    for index in range(5):
        assert _send(sender, index).status is OrderStatus.DONE
    assert len(identified) == 1


def test_worker_that_closes_connections_gets_a_start_soon_after_an_answer(
    worker, clock
):
    """Guards against such a worker that gets no tasks."""
    sender = StartSender("w1", _ClosingCalls(worker, EPOCH), clock)
    reply = _send(sender)
    assert reply.status is OrderStatus.DONE
    assert not reply.is_incarnation_known


def test_worker_that_closes_connections_gets_no_start_after_a_pause(
    worker, clock, monkeypatch
):
    """Guards against a start on a new connection to a worker that has restarted."""
    calls = _ClosingCalls(worker, EPOCH)
    identify = calls.identify

    def identify_and_pause():
        incarnation_ms = identify()
        clock.advance(2 * NEW_CONNECTION_LIMIT_S)
        return incarnation_ms

    monkeypatch.setattr(calls, "identify", identify_and_pause)
    assert _send(StartSender("w1", calls, clock)).status is OrderStatus.REJECTED
    assert not worker.started
