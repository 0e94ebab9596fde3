"""Worker in memory that runs tasks under leases, with scripted faults."""

import time
from typing import NamedTuple

from sycamorecroft.errors import StaleEpochError, WorkerCallError
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


class StartedRun(NamedTuple):
    """A start that the worker carried out."""

    task: str
    attempt: int
    epoch: int


class MemoryWorker:
    """State of a worker; :meth:`calls` gives the calls of one owner.

    :ivar is_cut: whether calls don't arrive.
    :ivar loses_answers: whether orders are carried out without an answer.
    :ivar started_s: latest start of each task, ``done_s``: when its end as done was
        acknowledged.
    :ivar gauges: response times in ms, or processor use, of each task.
    :ivar paces: share in percent that each task was last limited to.
    """

    def __init__(self, incarnation_ms: int = 1) -> None:
        self.clock_ms = 1000
        self.incarnation_ms = incarnation_ms
        self.epoch = 0
        self.running: dict[str, int] = {}
        self.started: list[StartedRun] = []
        self.started_s: dict[str, float] = {}
        self.done_s: dict[str, float] = {}
        self.gauges: dict[str, int] = {}
        self.paces: dict[str, int] = {}
        self.acknowledged = 0
        self.is_cut = False
        self.loses_answers = False
        self.progress_percent = 100
        self.deadline_ms = 0
        self._finished: list[FinishedRun] = []
        self._number = 0
        self._stopped: dict[str, int] = {}

    def calls(self, epoch: int) -> "MemoryWorkerCalls":
        """
        :returns: calls of an owner with this epoch.
        """
        return MemoryWorkerCalls(self, epoch)

    def end(self, task: str, how: RunOutcome, checkpoint: str = "") -> None:
        """Ends a run."""
        attempt = self.running.pop(task)
        self._number += 1
        self._stopped[task] = max(attempt, self._stopped.get(task, 0))
        self._finished.append(
            FinishedRun(self._number, task, attempt, how.value, checkpoint)
        )

    def end_all(self, how: RunOutcome = RunOutcome.DONE) -> int:
        """
        :returns: how many runs were ended.
        """
        names = list(self.running)
        for name in names:
            self.end(name, how)
        return len(names)

    def list_runs(self, acknowledged: int) -> RenewalReply:
        """
        :returns: runs and ends after the acknowledged one.
        """
        self.acknowledged = max(self.acknowledged, acknowledged)
        for finished in self._finished:
            if finished.number <= acknowledged and finished.outcome == RunOutcome.DONE:
                self.done_s[finished.task] = time.monotonic()
        self._finished = [f for f in self._finished if f.number > acknowledged]
        running = tuple(
            RunningTask(
                task, attempt, "", self.progress_percent, self.gauges.get(task, 0)
            )
            for task, attempt in self.running.items()
        )
        return RenewalReply(
            self.clock_ms, self.incarnation_ms, running, tuple(self._finished[:500])
        )

    def start(self, order: StartOrder, epoch: int) -> OrderReply:
        """
        :returns: outcome of a start.
        """
        if order.deadline_ms <= self.clock_ms:
            return OrderReply(OrderStatus.REJECTED, "late", self.clock_ms)
        if order.attempt <= self._stopped.get(order.task, 0):
            return OrderReply(OrderStatus.REJECTED, "old", self.clock_ms)
        if self.running.get(order.task) != order.attempt:
            self.running[order.task] = order.attempt
            self.started.append(StartedRun(order.task, order.attempt, epoch))
            self.started_s[order.task] = time.monotonic()
        return OrderReply(OrderStatus.DONE, "", self.clock_ms)

    def stop(self, task: str, attempt: int) -> OrderReply:
        """
        :returns: outcome of a stop.
        """
        self._stopped[task] = max(attempt, self._stopped.get(task, 0))
        if self.running.get(task) == attempt:
            self.end(task, RunOutcome.STOPPED)
        return OrderReply(OrderStatus.DONE, "", self.clock_ms)

    def throttle(self, task: str, percent: int) -> OrderReply:
        """
        :returns: outcome of a limit of a task's share.
        """
        self.paces[task] = percent
        return OrderReply(OrderStatus.DONE, "", self.clock_ms)


class MemoryWorkerCalls(WorkerCalls):
    """Calls of one owner to a :class:`MemoryWorker`."""

    def __init__(self, worker: MemoryWorker, epoch: int) -> None:
        self._worker = worker
        self._epoch = epoch

    def renew_leases(
        self, *, acknowledged: int, deadline_ms: int | None, wait_ms: int
    ) -> RenewalReply:
        worker = self._worker
        if worker.is_cut:
            raise WorkerCallError("no answer", may_have_run=True)
        if self._epoch < worker.epoch:
            raise StaleEpochError("a higher epoch was seen")
        worker.epoch = self._epoch
        worker.deadline_ms = max(worker.deadline_ms, deadline_ms or 0)
        return worker.list_runs(acknowledged)

    def start(self, order: StartOrder) -> OrderReply:
        return self._order(lambda: self._worker.start(order, self._epoch))

    def stop(self, task: str, attempt: int) -> OrderReply:
        return self._order(lambda: self._worker.stop(task, attempt))

    def throttle(self, task: str, attempt: int, percent: int) -> OrderReply:
        return self._order(lambda: self._worker.throttle(task, percent))

    def close(self) -> None:
        pass

    def _order(self, carry_out) -> OrderReply:
        worker = self._worker
        if worker.is_cut:
            return OrderReply(OrderStatus.UNKNOWN, "no answer")
        if self._epoch < worker.epoch:
            return OrderReply(OrderStatus.REJECTED, "fence")
        worker.epoch = self._epoch
        reply = carry_out()
        if worker.loses_answers:
            return OrderReply(OrderStatus.UNKNOWN, "no answer")
        return reply
