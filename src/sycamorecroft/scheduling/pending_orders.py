"""Orders of one worker's link that haven't been sent yet."""

from collections import deque
from threading import Condition

from sycamorecroft.scheduling.orders import StartTask, StopTask, ThrottleTask

WorkerOrder = StartTask | StopTask | ThrottleTask


class PendingOrders:
    """First-in, first-out queue of orders to one worker. Thread-safe.

    A worker that leaves orders without an answer holds up those behind them for
    seconds, so that an order may be overtaken by events while it waits.
    """

    def __init__(self) -> None:
        self._changed = Condition()
        self._orders: deque[WorkerOrder] = deque()
        self._is_closed = False

    def close(self) -> tuple[WorkerOrder, ...]:
        """Drops all orders and wakes the thread that waits for one.

        :returns: the orders that won't be sent.
        """
        with self._changed:
            self._is_closed = True
            dropped = tuple(self._orders)
            self._orders.clear()
            self._changed.notify_all()
            return dropped

    def add(self, order: WorkerOrder) -> StartTask | None:
        """Adds an order at the end of the queue.

        An order to stop takes the place of the order to start that run, if that one is
        still pending, and neither is sent. An order to stop that is pending already
        isn't added again. An order to throttle replaces a pending one for its run.

        :returns: the order to start that was withdrawn, if any.
        """
        with self._changed:
            if self._is_closed:
                return order if isinstance(order, StartTask) else None
            if isinstance(order, StopTask):
                withdrawn = self._find_start(order)
                if withdrawn is not None:
                    self._orders.remove(withdrawn)
                    return withdrawn
                if order in self._orders:
                    return None
            elif isinstance(order, ThrottleTask):
                self._discard_throttle(order)
            self._orders.append(order)
            self._changed.notify()
            return None

    def take(self) -> WorkerOrder | None:
        """Waits for an order.

        :returns: the next order, ``None`` if the queue is closed.
        """
        with self._changed:
            self._changed.wait_for(lambda: self._orders or self._is_closed)
            return None if self._is_closed else self._orders.popleft()

    def _find_start(self, stop: StopTask) -> StartTask | None:
        for order in self._orders:
            if isinstance(order, StartTask) and (
                (order.run.task.id.name, order.run.attempt) == (stop.task, stop.attempt)
            ):
                return order
        return None

    def _discard_throttle(self, throttle: ThrottleTask) -> None:
        for order in self._orders:
            if isinstance(order, ThrottleTask) and order.run is throttle.run:
                self._orders.remove(order)
                return
