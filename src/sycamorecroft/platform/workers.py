"""HTTP client of one worker."""

from collections.abc import Callable
from typing import Required, TypedDict, TypeVar

import msgspec

from sycamorecroft.errors import (
    CallWithheldError,
    NoOpenConnectionError,
    PlatformError,
    StaleEpochError,
    StoreUnavailableError,
    WorkerCallError,
    WorkerReplacedError,
)
from sycamorecroft.json_errors import JSON_ERRORS
from sycamorecroft.scheduling.calls import (
    FinishedRun,
    OrderReply,
    OrderStatus,
    RenewalReply,
    RunningTask,
    StartOrder,
    WorkerCalls,
)
from sycamorecroft.store.adaptive_timeout import AdaptiveTimeout
from sycamorecroft.store.transport import (
    STATUS_CONFLICT,
    STATUS_OK,
    Method,
    PlatformConnection,
    Reply,
)
from sycamorecroft.traffic import TrafficMeter

_Row = TypeVar("_Row")

STATUS_MISDIRECTED_REQUEST = 421
# Orders to a worker are sent one after another, so that one without an answer delays
# those behind it.
ORDER_TIMEOUT_MIN_S = 0.15
ORDER_TIMEOUT_MAX_S = 0.5
RENEWAL_MARGIN_S = 1.0

_NOT_STARTED_REASONS = ("old", "late", "room", "ticket")
# Rows of a run list may get further columns.
_ROW_COLUMNS_COUNT = 5


# Body of the response to an order.
_WireOrderReply = TypedDict(
    "_WireOrderReply", {"reason": str, "clock-ms": object}, total=False
)

_WireRunList = TypedDict(
    "_WireRunList",
    {
        "clock-ms": Required[int],
        "born": int,
        "running": Required[list[list[object]]],
        "finished": Required[list[list[object]]],
    },
    total=False,
)


class HttpWorkerCalls(WorkerCalls):
    """Calls to one worker.

    One thread renews leases and another one sends orders: each has its own connection.

    :param address: ``ip:port`` of the worker.
    :param worker_id: id that the worker registered.
    :param epoch: epoch of the caller's ownership, the fencing token of each call.
    :param traffic: counts the bytes of all calls; ``None`` to count none.
    """

    def __init__(
        self,
        address: str,
        worker_id: str,
        epoch: int,
        traffic: TrafficMeter | None = None,
    ) -> None:
        self._renewal_connection = PlatformConnection(
            address,
            timeout_s=RENEWAL_MARGIN_S,
            traffic=traffic,
            traffic_use="renewals",
        )
        self._order_connection = PlatformConnection(
            address,
            adaptive_timeout=AdaptiveTimeout(ORDER_TIMEOUT_MIN_S, ORDER_TIMEOUT_MAX_S),
            connect_timeout_s=ORDER_TIMEOUT_MAX_S,
            traffic=traffic,
            traffic_use="orders",
        )
        self._epoch = epoch
        self._headers = {
            "Content-Type": "application/json",
            "X-Expect-Instance": worker_id,
        }

    def renew_leases(
        self,
        *,
        acknowledged: int,
        deadline_ms: int | None,
        wait_ms: int,
        needs_open_connection: bool = False,
    ) -> RenewalReply:
        body = {"fence": self._epoch, "ack-cursor": acknowledged, "wait-ms": wait_ms}
        if deadline_ms is not None:
            body["deadline-ms"] = deadline_ms
        try:
            return self._list_runs(
                self._renewal_connection,
                body,
                timeout_s=wait_ms / 1000 + RENEWAL_MARGIN_S,
                needs_open_connection=needs_open_connection,
            )
        except NoOpenConnectionError as error:
            raise WorkerCallError(str(error), may_have_run=False) from error
        except StoreUnavailableError as error:
            raise WorkerCallError(str(error), may_have_run=True) from error

    def identify(self) -> int:
        body = {"fence": self._epoch, "ack-cursor": 0, "wait-ms": 0}
        return self._list_runs(self._order_connection, body).incarnation_ms

    def _list_runs(
        self,
        connection: PlatformConnection,
        body: dict[str, int],
        *,
        timeout_s: float | None = None,
        needs_open_connection: bool = False,
    ) -> RenewalReply:
        """
        :raises StoreUnavailableError: when the worker is known to have done nothing.
        """
        try:
            reply = connection.call(
                Method.POST,
                "/api/hold",
                body=msgspec.json.encode(body),
                headers=self._headers,
                timeout_s=timeout_s,
                needs_open_connection=needs_open_connection,
            )
        except StoreUnavailableError:
            raise
        except PlatformError as error:
            raise WorkerCallError(str(error), may_have_run=True) from error
        if reply.status == STATUS_MISDIRECTED_REQUEST:
            raise WorkerReplacedError(f"{reply.call}: response of another worker")
        if reply.status == STATUS_CONFLICT:
            raise StaleEpochError(
                f"{reply.call}: epoch {self._epoch} is superseded by a higher one"
            )
        return _decode_renewal(reply)

    @property
    def order_connections_count(self) -> int:
        return self._order_connection.opened_count

    def start(
        self,
        order: StartOrder,
        may_send: Callable[[], bool] = lambda: True,
        *,
        needs_open_connection: bool = False,
    ) -> OrderReply:
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
        return self._order(
            "/api/run-start",
            body,
            order.deadline_ms,
            may_send=may_send,
            needs_open_connection=needs_open_connection,
        )

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
        self._renewal_connection.close()
        self._order_connection.close()

    def _order(
        self,
        path: str,
        body: dict[str, object],
        deadline_ms: int | None = None,
        may_send: Callable[[], bool] | None = None,
        needs_open_connection: bool = False,
    ) -> OrderReply:
        """
        :raises NoOpenConnectionError: when the order needed an open connection.
        """
        try:
            reply = self._order_connection.call(
                Method.POST,
                path,
                body=msgspec.json.encode(body),
                headers=self._headers,
                may_send=may_send,
                needs_open_connection=needs_open_connection,
            )
        except NoOpenConnectionError:
            raise
        except CallWithheldError:
            return OrderReply(OrderStatus.REJECTED, "not sent")
        except StoreUnavailableError as error:
            return OrderReply(OrderStatus.UNHEALTHY, str(error))
        except PlatformError as error:
            return OrderReply(OrderStatus.UNKNOWN, str(error))
        return _decode_order(reply, deadline_ms)


def _decode_order(reply: Reply, deadline_ms: int | None) -> OrderReply:
    """
    :param deadline_ms: end of the leases that the order named, if any. The worker's
        clock in the response tells how far ahead it is for the incarnation that has got
        the order.
    """
    if reply.status == STATUS_MISDIRECTED_REQUEST:
        return OrderReply(OrderStatus.REPLACED)
    try:
        body = msgspec.json.decode(reply.body, type=_WireOrderReply)
    except JSON_ERRORS as error:
        return OrderReply(OrderStatus.UNKNOWN, f"malformed response: {error}")
    reason = body.get("reason", "")
    clock_ms = body.get("clock-ms")
    lease_s = None
    if deadline_ms is not None and isinstance(clock_ms, int):
        lease_s = max(0, deadline_ms - clock_ms) / 1000
    if reply.status == STATUS_OK:
        return OrderReply(OrderStatus.DONE, lease_s=lease_s)
    if reason == "fence":
        return OrderReply(OrderStatus.FENCED, reason)
    if reason in _NOT_STARTED_REASONS:
        return OrderReply(OrderStatus.REJECTED, reason, lease_s=lease_s)
    return OrderReply(OrderStatus.REJECTED, f"status {reply.status}")


def _decode_renewal(reply: Reply) -> RenewalReply:
    """Decodes a run list as a whole.

    A run whose end can't be understood must not be acknowledged, and acknowledging a
    later one would include it.
    """
    try:
        if reply.status != STATUS_OK:
            raise ValueError(f"expected status 200, got {reply.status}")
        body = msgspec.json.decode(reply.body, type=_WireRunList)
        return RenewalReply(
            clock_ms=body["clock-ms"],
            incarnation_ms=body.get("born", 0),
            running=_decode_table(body["running"], RunningTask),
            finished=_decode_table(body["finished"], FinishedRun),
        )
    except (*JSON_ERRORS, ValueError) as error:
        message = f"{reply.call}: malformed response: {error}"
        raise WorkerCallError(message, may_have_run=True) from error


def _decode_table(rows: list[list[object]], row_type: type[_Row]) -> tuple[_Row, ...]:
    columns = [row[:_ROW_COLUMNS_COUNT] for row in rows]
    return msgspec.convert(columns, type=tuple[row_type, ...])
