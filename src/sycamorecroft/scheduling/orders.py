"""Orders to workers, and the queue of those that haven't been sent."""

from typing import NamedTuple

from sycamorecroft.scheduling.advice import AdviceRequest
from sycamorecroft.scheduling.tasks import Run

STOP_RETRY_S = 0.5


class StartTask(NamedTuple):
    """Order to start a run; given only after the assignment is stored."""

    run: Run
    checkpoint: str
    ticket: str = ""

    @property
    def worker_id(self) -> str:
        """Worker that the order is sent to."""
        return self.run.worker_id


class StopTask(NamedTuple):
    """Order to stop an attempt of a task on a worker.

    ``incarnation_ms``: the worker's incarnation as it was known when the order was
    given. An answer confirms the order only while no later incarnation is known.
    """

    worker_id: str
    task: str
    attempt: int
    incarnation_ms: int = 0


class ThrottleTask(NamedTuple):
    """Order to limit the share of its worker's processors that a run may use."""

    run: Run
    percent: int

    @property
    def worker_id(self) -> str:
        """Worker that the order is sent to."""
        return self.run.worker_id


Order = StartTask | StopTask | ThrottleTask | AdviceRequest


class OrderQueue:
    """First-in, first-out queue of orders. Not thread-safe."""

    def __init__(self) -> None:
        self._orders: list[Order] = []
        self._last_stop_s: dict[tuple[str, int], float] = {}

    def add(self, order: Order) -> None:
        """Adds an order at the end of the queue."""
        self._orders.append(order)

    def stop(self, order: StopTask, now_s: float) -> bool:
        """Adds an order to stop, unless the last one is less than 0.5 s old.

        :returns: whether the order was added.
        """
        key = (order.task, order.attempt)
        if now_s - self._last_stop_s.get(key, -STOP_RETRY_S) < STOP_RETRY_S:
            return False
        self._last_stop_s[key] = now_s
        self._orders.append(order)
        return True

    def discard_job(self, job_id: str) -> None:
        """Drops the times of the last stop orders for the tasks of a job."""
        prefix = f"{job_id}."
        for key in [key for key in self._last_stop_s if key[0].startswith(prefix)]:
            del self._last_stop_s[key]

    def take(self) -> list[Order]:
        """
        :returns: all queued orders; the queue is empty afterwards.
        """
        orders, self._orders = self._orders, []
        return orders
