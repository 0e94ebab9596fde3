"""Sends orders to start to the incarnation of a worker that they are meant for.

An order names the id of the worker only, which a restart doesn't change, and a worker
that has restarted has seen no epoch. So a start that a former owner sends late, or that
was assigned before the restart, would be accepted there. But a restart closes the
worker's connections: what is written to one reaches the incarnation that has answered
on it, or none.
"""

from collections.abc import Callable

import structlog

from sycamorecroft.clock import Clock
from sycamorecroft.errors import (
    NoOpenConnectionError,
    StaleEpochError,
    StoreUnavailableError,
    WorkerCallError,
    WorkerReplacedError,
)
from sycamorecroft.scheduling.calls import (
    OrderReply,
    OrderStatus,
    StartOrder,
    WorkerCalls,
)

_log = structlog.get_logger(__name__)

# If the worker closes its connection after each answer, a start is written to a new
# one this soon after an answer.
NEW_CONNECTION_LIMIT_S = 0.2


class StartSender:
    """Sends orders to start to one worker. Used by one thread."""

    def __init__(self, worker_id: str, calls: WorkerCalls, clock: Clock) -> None:
        self._worker_id = worker_id
        self._calls = calls
        self._clock = clock
        # Incarnation that has answered on the connection of orders, 0 if it is unknown,
        # ``None`` if there is no such connection.
        self._peer_ms: int | None = None
        # Connections opened by then.
        self._connections_count = 0

    def send(
        self,
        order: StartOrder,
        incarnation_ms: int,
        may_send: Callable[[], bool],
    ) -> OrderReply:
        """Sends an order, unless another incarnation of the worker may receive it.

        :param incarnation_ms: incarnation that the run was assigned to; 0 for any.
        :param may_send: asked right before the order is written.
        :returns: outcome of the order; ``REJECTED`` if it wasn't sent.
        """
        if self._has_answered(incarnation_ms):
            reply = self._send_to_peer(order, incarnation_ms, may_send)
            if reply is not None:
                return reply
        answered_s = self._clock.monotonic_s()
        refusal = self._identify()
        if refusal is not None:
            return refusal
        reply = self._send_to_peer(order, incarnation_ms, may_send)
        if reply is not None:
            return reply

        def may_still_send() -> bool:
            silence_s = self._clock.monotonic_s() - answered_s
            return silence_s <= NEW_CONNECTION_LIMIT_S and may_send()

        return self._calls.start(order, may_still_send)

    def _has_answered(self, incarnation_ms: int) -> bool:
        """Returns whether that incarnation has answered on the open connection."""
        if self._peer_ms is None or not self._is_peer(incarnation_ms):
            return False
        # An order to stop may have opened another connection.
        return self._calls.order_connections_count == self._connections_count

    def _is_peer(self, incarnation_ms: int) -> bool:
        """A worker that doesn't tell its incarnation can't be told from a later one."""
        return 0 in (self._peer_ms, incarnation_ms) or self._peer_ms == incarnation_ms

    def _send_to_peer(
        self, order: StartOrder, incarnation_ms: int, may_send: Callable[[], bool]
    ) -> OrderReply | None:
        """Sends an order on the connection on which the peer has answered.

        :returns: outcome of the order; ``None`` if that connection is closed.
        """
        if not self._is_peer(incarnation_ms):
            _log.info(
                "start_for_former_incarnation",
                worker=self._worker_id,
                assigned_born_ms=incarnation_ms,
                born_ms=self._peer_ms,
            )
            return OrderReply(OrderStatus.REJECTED, "restarted")
        is_known = bool(self._peer_ms)
        try:
            reply = self._calls.start(order, may_send, needs_open_connection=True)
        except NoOpenConnectionError:
            self._peer_ms = None
            return None
        return reply._replace(is_incarnation_known=is_known)

    def _identify(self) -> OrderReply | None:
        """Asks which incarnation receives orders.

        :returns: why the order isn't sent, ``None`` if the peer has answered.
        """
        self._peer_ms = None
        try:
            self._peer_ms = self._calls.identify()
        except StaleEpochError:
            return OrderReply(OrderStatus.FENCED, "fence")
        except WorkerReplacedError:
            return OrderReply(OrderStatus.REPLACED)
        except StoreUnavailableError as error:
            return OrderReply(OrderStatus.UNHEALTHY, str(error))
        except WorkerCallError as error:
            _log.info("worker_not_identified", worker=self._worker_id, error=str(error))
            return OrderReply(OrderStatus.REJECTED, "no answer")
        self._connections_count = self._calls.order_connections_count
        return None
