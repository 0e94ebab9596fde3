"""Applies the outcomes of orders to workers."""

from collections.abc import Callable, Mapping

import structlog

from sycamorecroft.metrics import (
    RACK_START_TIME,
    START_RETRIES,
    START_TIME,
    STOP_RETRIES,
)
from sycamorecroft.recorder import Recorder
from sycamorecroft.scheduling.advice import ApprovalCache
from sycamorecroft.scheduling.calls import OrderReply, OrderStatus, RunOutcome
from sycamorecroft.scheduling.orders import StopTask, ThrottleTask
from sycamorecroft.scheduling.run_tracker import RunTracker
from sycamorecroft.scheduling.task_placer import step_of
from sycamorecroft.scheduling.tasks import Run, RunPhase
from sycamorecroft.scheduling.throttling import LATE_ORDER_LIMIT_S
from sycamorecroft.scheduling.workers import Worker

_log = structlog.get_logger(__name__)

# A worker that rejects a start for these reasons has extended its leases all the same.
EXTENDING_REASONS = ("old", "room")
# A worker that rejects a start gets no new tasks for this long.
REJECTED_START_PAUSE_S = 0.2


class OrderOutcomes:
    """Applies the outcomes of orders to the runs that they are about.

    Each order has a confirmation of its own: an outcome may come when its run has moved
    on, and then tells nothing of later orders. Not thread-safe.
    """

    def __init__(
        self,
        service: str,
        workers: Mapping[str, Worker],
        runs: RunTracker,
        approvals: ApprovalCache,
        recorder: Recorder,
        extend_unlisted_leases: Callable[[Worker, float, float | None], None],
    ) -> None:
        """
        :param extend_unlisted_leases: called with a worker, the monotonic time and the
            duration of the leases, if it is known, after an order with a deadline that
            may have reached an unknown incarnation.
        """
        self._service = service
        self._workers = workers
        self._runs = runs
        self._approvals = approvals
        self._recorder = recorder
        self._extend_unlisted_leases = extend_unlisted_leases

    def apply_start(self, run: Run, reply: OrderReply, now_s: float) -> None:
        """Applies the outcome of an order to start a run."""
        worker = self._workers.get(run.worker_id)
        has_deadline = (
            reply.status in (OrderStatus.DONE, OrderStatus.UNKNOWN)
            or reply.reason in EXTENDING_REASONS
        )
        if worker is not None and has_deadline and not reply.is_incarnation_known:
            self._extend_unlisted_leases(worker, now_s, reply.lease_s)
        if reply.status is OrderStatus.WITHDRAWN:
            if run.task.run is run:
                self._runs.finish_run(run, RunOutcome.STOPPED, "", now_s)
            return
        if run.task.run is not run or run.phase is not RunPhase.STARTING:
            if reply.status is OrderStatus.DONE and run.task.run is run:
                self._confirm_start(run, now_s)
                self._log_late_start(run, now_s)
            return
        if reply.status is OrderStatus.DONE:
            run.phase = RunPhase.RUNNING
            self._confirm_start(run, now_s)
            self._record_start(run, now_s)
            return
        self._apply_failed_start(run, reply, now_s)

    def _record_start(self, run: Run, now_s: float) -> None:
        waited_s = now_s - run.task.waiting_since_s
        self._recorder.record(START_TIME, waited_s, service=self._service)
        if run.task.spec.preferred_rack:
            distance = "far" if run.is_far else "near"
            self._recorder.record(
                RACK_START_TIME, waited_s, service=self._service, distance=distance
            )

    def _confirm_start(self, run: Run, now_s: float) -> None:
        run.start_confirmed_s = now_s
        self._runs.record_begun(run.task.job, now_s)

    def _log_late_start(self, run: Run, now_s: float) -> None:
        _log.info(
            "start_confirmed_late",
            task=run.task.id.name,
            attempt=run.attempt,
            worker=run.worker_id,
            phase=run.phase,
            after_s=round(now_s - run.started_s, 3),
        )

    def _apply_failed_start(self, run: Run, reply: OrderReply, now_s: float) -> None:
        worker = self._workers[run.worker_id]
        reason = reply.reason if reply.status is OrderStatus.REJECTED else reply.status
        self._recorder.count(START_RETRIES, service=self._service, reason=reason)
        _log.info(
            "start_not_confirmed",
            task=run.task.id.name,
            attempt=run.attempt,
            worker=run.worker_id,
            status=reply.status,
            reason=reply.reason,
        )
        if reply.status is OrderStatus.UNKNOWN:
            self._runs.stop_run(run, now_s)
            return
        if reply.status is OrderStatus.UNHEALTHY:
            worker.quarantine(now_s)
        elif reply.status is OrderStatus.REJECTED and reply.reason == "ticket":
            self._approvals.discard_ticket(step_of(run.task), worker.id)
        elif reply.status is OrderStatus.REJECTED:
            paused_until_s = now_s + REJECTED_START_PAUSE_S
            worker.quarantined_until_s = max(worker.quarantined_until_s, paused_until_s)
        self._runs.finish_run(run, RunOutcome.STOPPED, "", now_s)

    def apply_stop(self, order: StopTask, reply: OrderReply, now_s: float) -> None:
        """Applies the outcome of an order to stop a run."""
        if reply.status is not OrderStatus.DONE:
            self._log_failed_stop(order, reply)
        worker = self._workers.get(order.worker_id)
        run = worker.runs.get(order.task) if worker else None
        if run is None or run.attempt != order.attempt:
            return
        if order.incarnation_ms != worker.incarnation_ms:
            return
        if reply.status is OrderStatus.DONE:
            run.stop_confirmed_s = now_s

    def _log_failed_stop(self, order: StopTask, reply: OrderReply) -> None:
        reason = reply.reason if reply.status is OrderStatus.REJECTED else reply.status
        self._recorder.count(STOP_RETRIES, service=self._service, reason=reason)
        _log.info(
            "stop_not_confirmed",
            task=order.task,
            attempt=order.attempt,
            worker=order.worker_id,
            status=reply.status,
            reason=reply.reason,
        )

    def apply_throttle(
        self, order: ThrottleTask, reply: OrderReply, now_s: float
    ) -> None:
        """Applies the outcome of an order to throttle a run."""
        run = order.run
        if reply.status is OrderStatus.DONE:
            run.share_percent = order.percent
            if run.throttled_s >= (run.unsettled_until_s or 0.0):
                run.unsettled_until_s = None
            return
        run.share_percent = None
        if reply.status is OrderStatus.UNKNOWN:
            run.unsettled_until_s = now_s + LATE_ORDER_LIMIT_S
        _log.info(
            "pace_not_confirmed",
            task=run.task.id.name,
            attempt=run.attempt,
            worker=order.worker_id,
            status=reply.status,
            reason=reply.reason,
        )
