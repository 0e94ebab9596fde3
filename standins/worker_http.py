"""HTTP stand-in of a worker on loopback, as the platform's protocol describes it."""

import threading
import time

from standins.memory_worker import MemoryWorker
from standins.platform_http import JsonServer
from sycamorecroft.errors import StaleEpochError
from sycamorecroft.scheduling.calls import OrderStatus, RunOutcome, StartOrder

RENEWAL_POLL_S = 0.01


class WorkerServer(JsonServer):
    """Stand-in of one incarnation of a worker. Its clock counts from its start.

    :param task_duration_s: time from the start of a run to its completion.
    :param stop_s: time from an order to stop a run to the end of the run.
    :ivar worker: state of the worker.
    """

    def __init__(
        self,
        port: int,
        *,
        task_duration_s: float = 0.05,
        stop_s: float = 0.0,
        worker: MemoryWorker | None = None,
    ) -> None:
        self.worker = worker or MemoryWorker()
        self.worker.stops_slowly = stop_s > 0
        self._lock = threading.Lock()
        self._task_duration_s = task_duration_s
        self._stop_s = stop_s
        self._stop_due_s: dict[tuple[str, int], float] = {}
        self._is_killed = False
        super().__init__(port)

    def kill(self) -> None:
        """Ends the incarnation: no call takes effect any more, and nothing runs."""
        with self._lock:
            self._is_killed = True
            self.worker.running.clear()

    def advance(self) -> None:
        """Ends the runs whose time, stop or lease is over."""
        with self._lock:
            if not self._is_killed:
                self._advance()

    def task_duration_s(self, task: str) -> float:
        """
        :returns: time that a run of a task takes.
        """
        return self._task_duration_s

    def handle(self, method: str, path: str, query: dict, body: dict) -> tuple:
        if path == "/healthz":
            return 200, {}
        if path == "/api/hold":
            return self._renew_leases(body)
        with self._lock:
            if self._is_killed:
                return 503, {}
            self._advance()
            calls = self.worker.calls(body["fence"])
            if path == "/api/run-start":
                reply = calls.start(
                    StartOrder(
                        body["task"],
                        body["attempt"],
                        body["spec"],
                        body["deadline-ms"],
                        body.get("checkpoint", ""),
                    )
                )
            else:
                reply = calls.stop(body["task"], body["attempt"])
                if reply.status is OrderStatus.DONE:
                    self._schedule_stop(body["task"], body["attempt"])
        status = 200 if reply.status is OrderStatus.DONE else 409
        return status, {"clock-ms": self.worker.clock_ms, "reason": reply.reason}

    def _schedule_stop(self, task: str, attempt: int) -> None:
        if self.worker.running.get(task) == attempt:
            due_s = time.monotonic() + self._stop_s
            self._stop_due_s.setdefault((task, attempt), due_s)

    def _renew_leases(self, body: dict) -> tuple:
        wait_end_s = time.monotonic() + body.get("wait-ms", 0) / 1000
        while True:
            with self._lock:
                if self._is_killed:
                    return 503, {}
                self._advance()
                try:
                    reply = self.worker.calls(body["fence"]).renew_leases(
                        acknowledged=body["ack-cursor"],
                        deadline_ms=body.get("deadline-ms"),
                        wait_ms=0,
                    )
                except StaleEpochError:
                    return 409, {"reason": "fence", "clock-ms": self.worker.clock_ms}
            if reply.finished or time.monotonic() >= wait_end_s:
                break
            time.sleep(RENEWAL_POLL_S)
        return 200, {
            "clock-ms": reply.clock_ms,
            "born": reply.incarnation_ms,
            "running": [list(row) for row in reply.running],
            "finished": [list(row) for row in reply.finished],
        }

    def _advance(self) -> None:
        now_s = time.monotonic()
        worker = self.worker
        worker.set_clock(now_s)
        worker.expire_leases()
        for task, attempt in list(worker.running.items()):
            stop_due_s = self._stop_due_s.get((task, attempt))
            if stop_due_s is not None:
                if now_s >= stop_due_s:
                    worker.finish(task, RunOutcome.STOPPED)
            elif now_s - worker.latest_start_s[task] > self.task_duration_s(task):
                worker.finish(task, RunOutcome.DONE)
