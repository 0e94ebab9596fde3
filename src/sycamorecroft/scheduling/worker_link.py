"""Connection of a service's owner to one worker.

One thread asks for the list of runs, which also extends the lease and waits for ends;
another gives orders, so that an order never waits for a list.
"""

import queue
import threading
from collections.abc import Callable
from typing import NamedTuple

import structlog

from sycamorecroft.clock import Clock
from sycamorecroft.errors import (
    StaleEpochError,
    WorkerCallError,
    WorkerReplacedError,
)
from sycamorecroft.scheduling.calls import (
    RenewalReply,
    OrderReply,
    OrderStatus,
    StartOrder,
    WorkerCalls,
)
from sycamorecroft.scheduling.jobs import Run
from sycamorecroft.scheduling.orders import ThrottleTask, StartTask, StopTask
from sycamorecroft.scheduling.worker_clock import WorkerClock

_log = structlog.get_logger(__name__)

RUN_LIST_WAIT_MS = 1000
RETRY_MIN_S = 0.1
RETRY_MAX_S = 1.0
# How long the next list of runs waits for the ends of the last one to be stored.
ACKNOWLEDGE_WAIT_S = 1.0


class RenewalSucceeded(NamedTuple):
    """Answer to a list of runs; times are of the owner's clock."""

    worker_id: str
    reply: RenewalReply
    sent_s: float
    received_s: float
    lease_end_s: float


class RenewalFailed(NamedTuple):
    """A worker gave no list of runs."""

    worker_id: str
    lease_end_s: float


class WorkerReplaced(NamedTuple):
    """Another worker answers at the address."""

    worker_id: str


class EpochSuperseded(NamedTuple):
    """A worker has seen a higher epoch."""

    worker_id: str


class StartResult(NamedTuple):
    """Outcome of an order to start."""

    run: Run
    reply: OrderReply


class StopResult(NamedTuple):
    """Outcome of an order to stop."""

    order: StopTask
    reply: OrderReply


class ThrottleResult(NamedTuple):
    """Outcome of an order to limit a run's share."""

    order: ThrottleTask
    reply: OrderReply


Notify = Callable[[object], None]


class WorkerLink:
    """Threads that call one worker and tell the owner's actor of the answers."""

    def __init__(
        self,
        worker_id: str,
        calls: WorkerCalls,
        worker_clock: WorkerClock,
        clock: Clock,
        notify: Notify,
        lease_limit_s: Callable[[], float],
    ) -> None:
        """
        :param lease_limit_s: time beyond which no lease may be given now.
        """
        self.worker_id = worker_id
        self._calls = calls
        self._worker_clock = worker_clock
        self._clock = clock
        self._notify = notify
        self._lease_limit_s = lease_limit_s
        self._orders: queue.SimpleQueue[StartTask | StopTask | ThrottleTask | None] = (
            queue.SimpleQueue()
        )
        self._acknowledged = 0
        self._born_ms = 0
        self._acknowledge = threading.Event()
        self._closed = threading.Event()

    def start(self) -> None:
        """Starts the threads."""
        for action in (self._renew_leases_repeatedly, self._send_orders):
            threading.Thread(target=action, name="worker-link", daemon=True).start()

    def close(self) -> None:
        """Ends the threads; calls in progress are not waited for."""
        self._closed.set()
        self._acknowledge.set()
        self._orders.put(None)

    def enqueue(self, order: StartTask | StopTask | ThrottleTask) -> None:
        """Queues an order."""
        self._orders.put(order)

    def acknowledge(self, number: int) -> None:
        """Has the next list acknowledge all ends up to ``number``."""
        self._acknowledged = number
        self._acknowledge.set()

    def _renew_leases_repeatedly(self) -> None:
        retry_s = RETRY_MIN_S
        wait_ms = 0
        while not self._closed.is_set():
            result = self._renew_leases(wait_ms)
            if result is None:
                self._closed.wait(retry_s)
                retry_s = min(RETRY_MAX_S, retry_s * 2)
                continue
            retry_s = RETRY_MIN_S
            # The first list tells the worker's clock; the next one gives the lease.
            wait_ms = RUN_LIST_WAIT_MS if self._worker_clock.deadline_ms else 0
            if result.finished:
                self._acknowledge.wait(ACKNOWLEDGE_WAIT_S)

    def _renew_leases(self, wait_ms: int) -> RenewalReply | None:
        sent_s = self._clock.monotonic_s()
        deadline_ms = self._worker_clock.extend(sent_s, self._lease_limit_s())
        self._acknowledge.clear()
        try:
            reply = self._calls.renew_leases(
                acknowledged=self._acknowledged,
                deadline_ms=deadline_ms,
                wait_ms=wait_ms,
            )
        except WorkerCallError as error:
            _log.debug("hold_failed", worker=self.worker_id, error=str(error))
            self._notify(RenewalFailed(self.worker_id, self._worker_clock.lease_end_s()))
            return None
        except WorkerReplacedError:
            self._notify(WorkerReplaced(self.worker_id))
            return None
        except StaleEpochError:
            self._notify(EpochSuperseded(self.worker_id))
            return None
        received_s = self._clock.monotonic_s()
        if reply.incarnation_ms > self._born_ms:
            # A worker that started again counts its ends and its clock anew.
            self._born_ms = reply.incarnation_ms
            self._acknowledged = 0
            self._worker_clock.restart()
        self._worker_clock.observe(reply.clock_ms, received_s)
        self._worker_clock.record_answer()
        lease_end_s = self._worker_clock.lease_end_s()
        self._notify(RenewalSucceeded(self.worker_id, reply, sent_s, received_s, lease_end_s))
        return reply

    def _send_orders(self) -> None:
        while True:
            order = self._orders.get()
            if order is None or self._closed.is_set():
                self._calls.close()
                return
            if isinstance(order, StartTask):
                self._start_run(order)
            elif isinstance(order, ThrottleTask):
                run = order.run
                name = run.task.id.name
                reply = self._calls.throttle(name, run.attempt, order.percent)
                self._notify(ThrottleResult(order, reply))
            else:
                reply = self._calls.stop(order.task, order.attempt)
                self._notify(StopResult(order, reply))

    def _start_run(self, start: StartTask) -> None:
        run = start.run
        deadline_ms = self._worker_clock.deadline_ms
        if not deadline_ms:
            reply = OrderReply(OrderStatus.REJECTED, "no lease yet")
        else:
            task = run.task
            order = StartOrder(
                task=task.id.name,
                attempt=run.attempt,
                text=task.job.spec.text,
                deadline_ms=deadline_ms,
                checkpoint=start.checkpoint,
                ticket=start.ticket,
            )
            reply = self._calls.start(order)
        self._notify(StartResult(run, reply))
