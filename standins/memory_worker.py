"""Stand-in of a worker in memory, with task leases and fault injection."""

import threading
import time
from collections.abc import Callable
from typing import NamedTuple

from sycamorecroft.errors import (
    NoOpenConnectionError,
    StaleEpochError,
    WorkerCallError,
)
from sycamorecroft.scheduling.calls import (
    FinishedRun,
    OrderReply,
    OrderStatus,
    RenewalReply,
    RunningTask,
    RunOutcome,
    StartOrder,
    WorkerCalls,
)

# A worker shortens longer leases to this time.
LEASE_MAX_MS = 10_000


class StartedRun(NamedTuple):
    """Run that the worker has started, with the epoch of the order."""

    task: str
    attempt: int
    epoch: int


class MemoryWorker:
    """State of a worker. Service owners access it through :meth:`calls`.

    :ivar running: attempt by name of each running task.
    :ivar created_s: monotonic time from which :meth:`set_clock` counts.
    :ivar clock_rate: seconds on the worker's clock per second.
    :ivar is_unreachable: whether calls fail without effect.
    :ivar loses_responses: whether orders take effect and their responses are lost.
    :ivar loses_stops: whether orders to stop get no answer and have no effect.
    :ivar delays_starts: whether orders to start get no answer and take effect only in
        :meth:`execute_delayed_starts`.
    :ivar stops_slowly: whether stopped runs go on until :meth:`finish_stops`.
    :ivar latest_start_s: monotonic time of the latest start of each task.
    :ivar completion_acknowledged_s: monotonic time at which the outcome ``DONE`` of
        each task was acknowledged.
    :ivar gauges: response time in ms, or processor use, of each task.
    :ivar throttle_percents: latest throttle of each task in percent.
    """

    def __init__(self, incarnation_ms: int = 1) -> None:
        self.created_s = time.monotonic()
        self.clock_rate = 1.0
        # A call is carried out by one incarnation as a whole.
        self.lock = threading.RLock()
        self.clock_ms = 1000
        self.incarnation_ms = incarnation_ms
        self.epoch = 0
        self.running: dict[str, int] = {}
        self.started: list[StartedRun] = []
        self.latest_start_s: dict[str, float] = {}
        self.completion_acknowledged_s: dict[str, float] = {}
        self.gauges: dict[str, int] = {}
        self.throttle_percents: dict[str, int] = {}
        self.acknowledged = 0
        self.is_unreachable = False
        self.loses_responses = False
        self.loses_stops = False
        self.delays_starts = False
        self.stops_slowly = False
        self.progress_percent = 100
        self.deadline_ms = 0
        self._finished: list[FinishedRun] = []
        self._stopping: dict[str, int] = {}
        self._last_finished_number = 0
        self._stopped_attempts: dict[str, int] = {}
        self._delayed_starts: list[tuple[StartOrder, int]] = []

    def calls(self, epoch: int) -> "MemoryWorkerCalls":
        """
        :returns: calls of a service owner with this epoch.
        """
        return MemoryWorkerCalls(self, epoch)

    def set_clock(self, now_s: float) -> None:
        """Sets the worker's clock to the time since the creation of this object.

        :param now_s: monotonic time.
        """
        self.clock_ms = self.clock_at_ms(now_s)

    def clock_at_ms(self, now_s: float) -> int:
        """
        :param now_s: monotonic time.
        :returns: time on the worker's clock, which starts with this object.
        """
        return 1 + int((now_s - self.created_s) * 1000 * self.clock_rate)

    def extend_leases(self, deadline_ms: int) -> None:
        """Extends the leases of all runs; a deadline never shortens them.

        :param deadline_ms: end of the leases on the worker's clock.
        """
        longest_ms = self.clock_ms + LEASE_MAX_MS
        self.deadline_ms = max(self.deadline_ms, min(deadline_ms, longest_ms))

    def expire_leases(self) -> None:
        """Ends all runs if their leases are over."""
        if self.deadline_ms and self.clock_ms >= self.deadline_ms:
            self.deadline_ms = 0
            self.finish_all(RunOutcome.EXPIRED)

    def restart(self) -> None:
        """Starts the worker again under its id; it knows nothing of before."""
        with self.lock:
            self.incarnation_ms += 1
            self.clock_ms = 1000
            self.deadline_ms = 0
            self.epoch = 0
            self.acknowledged = 0
            self.running.clear()
            self.throttle_percents.clear()
            self._stopping.clear()
            self._finished.clear()
            self._last_finished_number = 0
            self._stopped_attempts.clear()

    def finish(self, task: str, outcome: RunOutcome, checkpoint: str = "") -> None:
        """Ends the run of a task with an outcome."""
        attempt = self.running.pop(task)
        self._last_finished_number += 1
        self._stopped_attempts[task] = max(attempt, self._stopped_attempts.get(task, 0))
        self._finished.append(
            FinishedRun(self._last_finished_number, task, attempt, outcome, checkpoint)
        )

    def finish_all(self, outcome: RunOutcome = RunOutcome.DONE) -> int:
        """Ends all runs with an outcome.

        :returns: number of runs ended.
        """
        names = list(self.running)
        for name in names:
            self.finish(name, outcome)
        return len(names)

    def list_runs(self, acknowledged: int) -> RenewalReply:
        """Discards finished runs up to number ``acknowledged``.

        :returns: the run list: running tasks and the remaining finished runs.
        """
        self.acknowledged = max(self.acknowledged, acknowledged)
        for finished in self._finished:
            if finished.number <= acknowledged and finished.outcome == RunOutcome.DONE:
                self.completion_acknowledged_s[finished.task] = time.monotonic()
        self._finished = [f for f in self._finished if f.number > acknowledged]
        running = tuple(
            RunningTask(
                task, attempt, "", self.progress_percent, self.gauges.get(task, 0)
            )
            for task, attempt in dict(self.running).items()
        )
        return RenewalReply(
            self.clock_ms, self.incarnation_ms, running, tuple(self._finished[:500])
        )

    def start(self, order: StartOrder, epoch: int) -> OrderReply:
        """Starts a run unless the order is late or for an earlier attempt.

        :returns: whether the order was carried out, with the reason if not.
        """
        if order.deadline_ms <= self.clock_ms:
            return OrderReply(OrderStatus.REJECTED, "late")
        if order.attempt <= self._stopped_attempts.get(order.task, 0):
            return OrderReply(OrderStatus.REJECTED, "old")
        self.extend_leases(order.deadline_ms)
        if self.running.get(order.task) != order.attempt:
            self.running[order.task] = order.attempt
            self.throttle_percents.pop(order.task, None)
            self.started.append(StartedRun(order.task, order.attempt, epoch))
            self.latest_start_s[order.task] = time.monotonic()
        return OrderReply(OrderStatus.DONE)

    def delay_start(self, order: StartOrder, epoch: int) -> OrderReply:
        """Keeps an order to start that is executed late.

        :returns: that the caller gets no response.
        """
        self._delayed_starts.append((order, epoch))
        return OrderReply(OrderStatus.UNKNOWN, "no response")

    def execute_delayed_starts(self) -> None:
        """Executes the delayed orders to start, unless their epoch is outdated."""
        delayed, self._delayed_starts = self._delayed_starts, []
        for order, epoch in delayed:
            if epoch >= self.epoch:
                self.epoch = epoch
                self.start(order, epoch)

    def stop(self, task: str, attempt: int) -> OrderReply:
        """Stops a run and rejects later starts of the same attempt.

        :returns: that the order was carried out.
        """
        self._stopped_attempts[task] = max(attempt, self._stopped_attempts.get(task, 0))
        if self.running.get(task) == attempt:
            self._stopping[task] = attempt
        if not self.stops_slowly:
            self.finish_stops()
        return OrderReply(OrderStatus.DONE)

    def finish_stops(self) -> None:
        """Ends the runs that were told to stop."""
        for task, attempt in self._stopping.items():
            if self.running.get(task) == attempt:
                self.finish(task, RunOutcome.STOPPED)
        self._stopping.clear()

    def throttle(self, task: str, attempt: int, percent: int) -> OrderReply:
        """Records the throttle of a run, which lasts until the run ends.

        :returns: whether the order was carried out, with the reason if not.
        """
        if self.running.get(task) != attempt:
            return OrderReply(OrderStatus.REJECTED, "old")
        self.throttle_percents[task] = percent
        return OrderReply(OrderStatus.DONE)


class MemoryWorkerCalls(WorkerCalls):
    """Calls of one service owner to a :class:`MemoryWorker`.

    A restart of the worker, or a call without an answer, closes the connection.
    """

    def __init__(self, worker: MemoryWorker, epoch: int) -> None:
        self._worker = worker
        self._epoch = epoch
        # Incarnations to which connections are open, ``None`` without a connection.
        self._renewal_peer: int | None = None
        self._order_peer: int | None = None
        self._order_connections_count = 0

    @property
    def order_connections_count(self) -> int:
        return self._order_connections_count

    def renew_leases(
        self,
        *,
        acknowledged: int,
        deadline_ms: int | None,
        wait_ms: int,
        needs_open_connection: bool = False,
    ) -> RenewalReply:
        worker = self._worker
        with worker.lock:
            if needs_open_connection and self._renewal_peer != worker.incarnation_ms:
                raise WorkerCallError("no connection is open", may_have_run=False)
            if worker.is_unreachable:
                self._renewal_peer = None
                raise WorkerCallError(
                    "the worker is set to be unreachable", may_have_run=True
                )
            self._renewal_peer = worker.incarnation_ms
            if self._epoch < worker.epoch:
                raise StaleEpochError("the worker has seen a higher epoch")
            worker.epoch = self._epoch
            worker.extend_leases(deadline_ms or 0)
            return worker.list_runs(acknowledged)

    def identify(self) -> int:
        worker = self._worker
        with worker.lock:
            if worker.is_unreachable:
                self._order_peer = None
                raise WorkerCallError(
                    "the worker is set to be unreachable", may_have_run=True
                )
            self._open_order_connection()
            if self._epoch < worker.epoch:
                raise StaleEpochError("the worker has seen a higher epoch")
            worker.epoch = self._epoch
            return worker.incarnation_ms

    def _open_order_connection(self) -> None:
        if self._order_peer != self._worker.incarnation_ms:
            self._order_connections_count += 1
            self._order_peer = self._worker.incarnation_ms

    def start(
        self,
        order: StartOrder,
        may_send: Callable[[], bool] = lambda: True,
        *,
        needs_open_connection: bool = False,
    ) -> OrderReply:
        if needs_open_connection and self._order_peer != self._worker.incarnation_ms:
            raise NoOpenConnectionError("no connection is open")
        if not may_send():
            return OrderReply(OrderStatus.REJECTED, "not sent")
        if self._worker.delays_starts:
            return self._worker.delay_start(order, self._epoch)
        reply = self._execute_order(lambda: self._worker.start(order, self._epoch))
        if reply.status is OrderStatus.UNKNOWN:
            return reply
        left_ms = max(0, order.deadline_ms - self._worker.clock_ms)
        return reply._replace(lease_s=left_ms / 1000)

    def stop(self, task: str, attempt: int) -> OrderReply:
        if self._worker.loses_stops:
            return OrderReply(OrderStatus.UNKNOWN, "no response")
        return self._execute_order(lambda: self._worker.stop(task, attempt))

    def throttle(self, task: str, attempt: int, percent: int) -> OrderReply:
        return self._execute_order(
            lambda: self._worker.throttle(task, attempt, percent)
        )

    def close(self) -> None:
        pass

    def _execute_order(self, execute) -> OrderReply:
        worker = self._worker
        with worker.lock:
            self._open_order_connection()
            if worker.is_unreachable:
                self._order_peer = None
                return OrderReply(OrderStatus.UNKNOWN, "no response")
            if self._epoch < worker.epoch:
                return OrderReply(OrderStatus.REJECTED, "fence")
            worker.epoch = self._epoch
            reply = execute()
            if worker.loses_responses:
                self._order_peer = None
                return OrderReply(OrderStatus.UNKNOWN, "no response")
            return reply
