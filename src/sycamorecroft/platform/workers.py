"""Calls to one worker over HTTP."""

import msgspec

from sycamorecroft.errors import (
    PlatformError,
    StaleEpochError,
    StoreUnavailableError,
    WorkerCallError,
    WorkerReplacedError,
)
from sycamorecroft.scheduling.calls import (
    FinishedRun,
    RenewalReply,
    OrderReply,
    OrderStatus,
    RunningTask,
    StartOrder,
    WorkerCalls,
)
from sycamorecroft.store.transport import (
    STATUS_CONFLICT,
    STATUS_OK,
    Method,
    PlatformConnection,
    Reply,
)

STATUS_OTHER_INSTANCE = 421
ORDER_TIMEOUT_S = 0.5
HOLD_MARGIN_S = 1.0

_NOT_STARTED_REASONS = ("old", "late", "room", "ticket")


class HttpWorkerCalls(WorkerCalls):
    """Calls to one worker; one thread holds and one other gives orders.

    :param address: ``ip:port`` of the worker.
    :param worker_id: id that the worker registered.
    :param epoch: epoch of the caller's lease, the fencing token of each order.
    """

    def __init__(self, address: str, worker_id: str, epoch: int) -> None:
        self._holds = PlatformConnection(address, timeout_s=ORDER_TIMEOUT_S)
        self._orders = PlatformConnection(address, timeout_s=ORDER_TIMEOUT_S)
        self._epoch = epoch
        self._headers = {
            "Content-Type": "application/json",
            "X-Expect-Instance": worker_id,
        }

    def renew_leases(
        self, *, acknowledged: int, deadline_ms: int | None, wait_ms: int
    ) -> RenewalReply:
        body = {"fence": self._epoch, "ack-cursor": acknowledged, "wait-ms": wait_ms}
        if deadline_ms is not None:
            body["deadline-ms"] = deadline_ms
        try:
            reply = self._holds.call(
                Method.POST,
                "/api/hold",
                body=msgspec.json.encode(body),
                headers=self._headers,
                timeout_s=wait_ms / 1000 + HOLD_MARGIN_S,
            )
        except PlatformError as error:
            raise WorkerCallError(str(error), may_have_run=True) from error
        if reply.status == STATUS_OTHER_INSTANCE:
            raise WorkerReplacedError(f"{reply.call}: another worker answered")
        if reply.status == STATUS_CONFLICT:
            raise StaleEpochError(f"{reply.call}: epoch {self._epoch} is too old")
        return _decode_hold(reply)

    def start(self, order: StartOrder) -> OrderReply:
        body = {
            "task": order.task,
            "attempt": order.attempt,
            "spec": order.text,
            "deadline-ms": order.deadline_ms,
            "fence": self._epoch,
        }
        if order.checkpoint:
            body["checkpoint"] = order.checkpoint
        if order.ticket:
            body["ticket"] = order.ticket
        return self._order("/api/run-start", body)

    def stop(self, task: str, attempt: int) -> OrderReply:
        body = {"task": task, "attempt": attempt, "fence": self._epoch}
        return self._order("/api/run-stop", body)

    def throttle(self, task: str, attempt: int, percent: int) -> OrderReply:
        body = {
            "task": task,
            "attempt": attempt,
            "percent": percent,
            "fence": self._epoch,
        }
        return self._order("/api/pace", body)

    def close(self) -> None:
        self._holds.close()
        self._orders.close()

    def _order(self, path: str, body: dict[str, object]) -> OrderReply:
        try:
            reply = self._orders.call(
                Method.POST,
                path,
                body=msgspec.json.encode(body),
                headers=self._headers,
            )
        except StoreUnavailableError as error:
            return OrderReply(OrderStatus.UNHEALTHY, str(error))
        except PlatformError as error:
            return OrderReply(OrderStatus.UNKNOWN, str(error))
        return _decode_order(reply)


def _decode_order(reply: Reply) -> OrderReply:
    if reply.status == STATUS_OTHER_INSTANCE:
        return OrderReply(OrderStatus.REPLACED)
    try:
        body = msgspec.json.decode(reply.body)
        reason = str(body.get("reason", ""))
        clock_ms = int(body.get("clock-ms", 0))
    except (msgspec.DecodeError, AttributeError, ValueError) as error:
        return OrderReply(OrderStatus.UNKNOWN, f"answer not understood: {error}")
    if reply.status == STATUS_OK:
        return OrderReply(OrderStatus.DONE, "", clock_ms)
    if reason == "fence":
        return OrderReply(OrderStatus.FENCED, reason, clock_ms)
    if reason in _NOT_STARTED_REASONS:
        return OrderReply(OrderStatus.REJECTED, reason, clock_ms)
    return OrderReply(OrderStatus.REJECTED, f"status {reply.status}", clock_ms)


def _decode_hold(reply: Reply) -> RenewalReply:
    try:
        if reply.status != STATUS_OK:
            raise ValueError(f"status {reply.status}")
        body = msgspec.json.decode(reply.body)
        return RenewalReply(
            clock_ms=int(body["clock-ms"]),
            incarnation_ms=int(body.get("born", 0)),
            running=tuple(RunningTask(*row[:5]) for row in body["running"]),
            finished=tuple(FinishedRun(*row[:5]) for row in body["finished"]),
        )
    except (msgspec.DecodeError, KeyError, TypeError, ValueError) as error:
        message = f"{reply.call}: answer not understood: {error}"
        raise WorkerCallError(message, may_have_run=True) from error
