"""Connection of a service's owner to one worker.

One thread renews the leases of the worker's runs and waits for the run list; another
sends orders, so that an order never waits for a run list.
"""

import threading
from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple

import structlog

from sycamorecroft.clock import Clock
from sycamorecroft.errors import (
    StaleEpochError,
    WorkerCallError,
    WorkerReplacedError,
)
from sycamorecroft.scheduling.calls import (
    OrderReply,
    OrderStatus,
    RenewalReply,
    StartOrder,
    WorkerCalls,
)
from sycamorecroft.scheduling.commit import Acknowledgement
from sycamorecroft.scheduling.orders import StartTask, StopTask, ThrottleTask
from sycamorecroft.scheduling.pending_orders import PendingOrders, WorkerOrder
from sycamorecroft.scheduling.start_sender import StartSender
from sycamorecroft.scheduling.tasks import Run
from sycamorecroft.scheduling.worker_clock import WorkerClock
from sycamorecroft.scheduling.workers import CONTACT_TIMEOUT_S

_log = structlog.get_logger(__name__)

RUN_LIST_WAIT_MS = 1000
# After a restart of the worker only a run list tells which orders the new incarnation
# has carried out; their tasks wait until then.
RESTART_WAIT_MS = 200
RESTART_SETTLE_S = 2.0
RETRY_MIN_S = 0.1
RETRY_MAX_S = 1.0
# How long the next renewal waits until the outcomes in the last run list are stored.
ACKNOWLEDGE_WAIT_S = 1.0
# If the worker closes its connection after each answer, an acknowledgement is sent only
# this soon after one, and the call doesn't wait: a new incarnation can't have begun and
# finished a run meanwhile.
ACKNOWLEDGE_LIMIT_S = 0.2
# An order to start is sent only to a worker that has answered a call sent this
# recently. The scheduler counts from the answer, for which a call waits in addition.
START_CONTACT_LIMIT_S = CONTACT_TIMEOUT_S + RUN_LIST_WAIT_MS / 1000


class RenewalKind(StrEnum):
    """What a call to renew leases carries, and how it is sent.

    Numbers of finished runs and deadlines mean nothing to an incarnation other than the
    one that they come from, and a restart closes the worker's connections.

    ``FULL``: acknowledges and sets the end of the leases, on the connection of the last
    answer only; waits for a run to finish. ``LIST``: only asks for the run list, on any
    connection. ``BRIEF``: as ``FULL``, but on a new connection, and doesn't wait; for
    workers that close each connection after an answer.
    """

    FULL = "full"
    LIST = "list"
    BRIEF = "brief"


class RenewalSucceeded(NamedTuple):
    """The worker renewed the leases of its runs; times are on the owner's clock."""

    worker_id: str
    reply: RenewalReply
    sent_s: float
    received_s: float
    lease_end_s: float


class RenewalFailed(NamedTuple):
    """The call to renew leases wasn't answered, or the answer was malformed.

    ``may_be_restarted``: whether an incarnation other than the known one may have got
    the end of the leases, which lies far in the future on its clock.
    """

    worker_id: str
    lease_end_s: float
    may_be_restarted: bool


class WorkerReplaced(NamedTuple):
    """Another worker answered at the worker's address.

    ``sent_s``: monotonic time at which the call was sent.
    """

    worker_id: str
    sent_s: float


class EpochSuperseded(NamedTuple):
    """The worker has seen a higher epoch: another entry host owns the service."""

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
    """Outcome of an order to throttle a run."""

    order: ThrottleTask
    reply: OrderReply


Notify = Callable[[object], None]


class WorkerLink:
    """Threads that call one worker and pass the answers to the owner's actor."""

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
        :param notify: receives the outcome of each call.
        :param lease_limit_s: returns the monotonic time beyond which no lease may be
            granted.
        """
        self.worker_id = worker_id
        self._calls = calls
        self._worker_clock = worker_clock
        self._clock = clock
        self._notify = notify
        self._lease_limit_s = lease_limit_s
        self._orders = PendingOrders()
        self._starts = StartSender(worker_id, calls, clock)
        self._acknowledgement: Acknowledgement | None = None
        self._incarnation_ms = 0
        self._answered_s: float | None = None
        self._answered_kind = RenewalKind.FULL
        self._is_connection_closed = False
        self._contact_s: float | None = None
        self._restarted_s: float | None = None
        self._outcomes_stored = threading.Event()
        self._closed = threading.Event()

    def start(self) -> None:
        """Starts both threads."""
        for action in (self._renew_leases_repeatedly, self._send_orders):
            threading.Thread(target=action, name="worker-link", daemon=True).start()

    def close(self) -> None:
        """Stops both threads without waiting for calls in progress."""
        self._closed.set()
        self._outcomes_stored.set()
        self._orders.close()

    def withdraw(self) -> None:
        """Closes the link and reports the orders to start that weren't sent."""
        self._closed.set()
        self._outcomes_stored.set()
        for order in self._orders.close():
            if isinstance(order, StartTask):
                self._report_withdrawn(order)

    def lease_end_s(self) -> float:
        """
        :returns: monotonic time by which all leases have ended that calls have
            extended, including a call in flight.
        """
        return self._worker_clock.lease_end_s()

    def enqueue(self, order: WorkerOrder) -> None:
        """Adds an order to the queue of orders to be sent.

        An order to stop withdraws the order to start that run if it wasn't sent.
        """
        withdrawn = self._orders.add(order)
        if withdrawn is not None:
            self._report_withdrawn(withdrawn)

    def _report_withdrawn(self, order: StartTask) -> None:
        run = order.run
        _log.info(
            "start_withdrawn",
            task=run.task.id.name,
            attempt=run.attempt,
            worker=self.worker_id,
            waited_s=round(self._clock.monotonic_s() - run.started_s, 3),
        )
        self._notify(StartResult(run, OrderReply(OrderStatus.WITHDRAWN)))

    def acknowledge(self, acknowledgement: Acknowledgement) -> None:
        """Acknowledges finished runs in the calls to the incarnation that ran them."""
        self._acknowledgement = acknowledgement
        self._outcomes_stored.set()

    def _acknowledged_number(self) -> int:
        """Returns 0 if the last acknowledgement is for another incarnation.

        The outcomes of a former incarnation may have been stored during the restart.
        """
        acknowledgement = self._acknowledgement
        if acknowledgement is None:
            return 0
        if acknowledgement.incarnation_ms != self._incarnation_ms:
            return 0
        return acknowledgement.number

    def _renew_leases_repeatedly(self) -> None:
        retry_s = RETRY_MIN_S
        while not self._closed.is_set():
            kind = self._next_renewal_kind()
            former_kind = self._answered_kind
            try:
                result = self._renew_leases(kind)
            except Exception:
                # Without this thread the leases of all runs of the worker would expire.
                _log.exception("lease_renewal_aborted", worker=self.worker_id)
                self._notify_failed_renewal(kind)
                result = None
            if result is None:
                if kind is RenewalKind.FULL and self._is_connection_closed:
                    # The call wasn't sent; the next one opens a connection.
                    continue
                self._answered_s = None
                self._closed.wait(retry_s)
                retry_s = min(RETRY_MAX_S, retry_s * 2)
                continue
            retry_s = RETRY_MIN_S
            if RenewalKind.FULL not in (kind, former_kind):
                # The worker closes its connections; calls to it don't wait there.
                self._closed.wait(RETRY_MIN_S)
            if result.finished and kind is not RenewalKind.LIST:
                self._outcomes_stored.wait(ACKNOWLEDGE_WAIT_S)

    def _next_renewal_kind(self) -> RenewalKind:
        """Returns how the next call is sent.

        An acknowledgement that reaches another incarnation would make it drop outcomes
        of finished runs that it hasn't reported yet.
        """
        if self._answered_s is None:
            return RenewalKind.LIST
        if not self._is_connection_closed:
            return RenewalKind.FULL
        if self._answered_kind is RenewalKind.FULL:
            return RenewalKind.LIST
        silence_s = self._clock.monotonic_s() - self._answered_s
        is_recent = silence_s <= ACKNOWLEDGE_LIMIT_S
        return RenewalKind.BRIEF if is_recent else RenewalKind.LIST

    def _next_wait_ms(self) -> int:
        """Returns how long the next call waits for a run to finish, in ms."""
        if self._restarted_s is None:
            return RUN_LIST_WAIT_MS
        is_settled = self._clock.monotonic_s() - self._restarted_s > RESTART_SETTLE_S
        return RUN_LIST_WAIT_MS if is_settled else RESTART_WAIT_MS

    def _renew_leases(self, kind: RenewalKind) -> RenewalReply | None:
        sent_s = self._clock.monotonic_s()
        acknowledged, deadline_ms, wait_ms = 0, None, 0
        if kind is not RenewalKind.LIST:
            acknowledged = self._acknowledged_number()
            deadline_ms = self._worker_clock.extend(sent_s, self._lease_limit_s())
        if kind is RenewalKind.FULL:
            wait_ms = self._next_wait_ms()
        self._outcomes_stored.clear()
        try:
            reply = self._calls.renew_leases(
                acknowledged=acknowledged,
                deadline_ms=deadline_ms,
                wait_ms=wait_ms,
                needs_open_connection=kind is RenewalKind.FULL,
            )
        except WorkerCallError as error:
            _log.debug("lease_renewal_failed", worker=self.worker_id, error=str(error))
            self._is_connection_closed = not error.may_have_run
            self._notify_failed_renewal(kind)
            return None
        except WorkerReplacedError:
            self._notify(WorkerReplaced(self.worker_id, sent_s))
            return None
        except StaleEpochError:
            self._notify(EpochSuperseded(self.worker_id))
            return None
        received_s = self._clock.monotonic_s()
        self._answered_s = received_s
        self._answered_kind = kind
        self._is_connection_closed = False
        self._contact_s = sent_s
        if reply.incarnation_ms not in (0, self._incarnation_ms):
            # A restarted worker restarts its clock and its numbers of finished runs.
            if self._incarnation_ms:
                self._restarted_s = received_s
            self._incarnation_ms = reply.incarnation_ms
            self._worker_clock.restart()
        self._worker_clock.observe(reply.clock_ms, received_s)
        self._worker_clock.record_answer()
        lease_end_s = self._worker_clock.lease_end_s()
        self._notify(
            RenewalSucceeded(self.worker_id, reply, sent_s, received_s, lease_end_s)
        )
        return reply

    def _notify_failed_renewal(self, kind: RenewalKind) -> None:
        """The worker may have extended the leases all the same."""
        lease_end_s = self._worker_clock.lease_end_s()
        may_be_restarted = kind is RenewalKind.BRIEF
        self._notify(RenewalFailed(self.worker_id, lease_end_s, may_be_restarted))

    def _send_orders(self) -> None:
        while True:
            order = self._orders.take()
            if order is None:
                self._calls.close()
                return
            try:
                reply = self._send_order(order)
            except Exception as error:
                # The order may have been sent.
                _log.exception("order_aborted", worker=self.worker_id)
                reply = OrderReply(OrderStatus.UNKNOWN, str(error))
            self._notify(_order_result(order, reply))

    def _send_order(self, order: WorkerOrder) -> OrderReply:
        if isinstance(order, StartTask):
            return self._start_run(order)
        if isinstance(order, ThrottleTask):
            run = order.run
            return self._calls.throttle(run.task.id.name, run.attempt, order.percent)
        return self._calls.stop(order.task, order.attempt)

    def _may_start_runs(self) -> bool:
        """Returns whether the worker has answered lately and a lease may be granted.

        The order may have waited in a paused process. A worker that has restarted
        meanwhile has seen no epoch, and the deadline lies in the future on its clock.
        """
        now_s = self._clock.monotonic_s()
        if self._contact_s is None or now_s - self._contact_s >= START_CONTACT_LIMIT_S:
            return False
        return now_s < self._lease_limit_s()

    def _may_be_restarted(self) -> bool:
        """Returns whether the worker may have restarted since its last run list.

        A restart closes the connection on which calls to renew leases are answered.
        """
        return self._answered_s is None or self._is_connection_closed

    def _start_run(self, start: StartTask) -> OrderReply:
        run = start.run
        deadline_ms = self._worker_clock.deadline_ms
        if not deadline_ms or not self._may_start_runs():
            return OrderReply(OrderStatus.REJECTED, "no lease")
        if run.incarnation_ms not in (0, self._incarnation_ms):
            # The deadline is on the clock of another incarnation.
            return OrderReply(OrderStatus.REJECTED, "restarted")
        task = run.task
        if task.spec.required_label and self._may_be_restarted():
            # The new incarnation may lack the label.
            return OrderReply(OrderStatus.REJECTED, "restarted")
        order = StartOrder(
            task=task.id.name,
            attempt=run.attempt,
            text=task.job.spec.text,
            deadline_ms=deadline_ms,
            checkpoint=start.checkpoint,
            ticket=start.ticket,
        )
        return self._starts.send(order, run.incarnation_ms, self._may_start_runs)


def _order_result(
    order: WorkerOrder, reply: OrderReply
) -> StartResult | StopResult | ThrottleResult:
    if isinstance(order, StartTask):
        return StartResult(order.run, reply)
    if isinstance(order, ThrottleTask):
        return ThrottleResult(order, reply)
    return StopResult(order, reply)
