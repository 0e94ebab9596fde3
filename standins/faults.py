"""Fault injection for the platform's stand-ins."""

import threading
import time
from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple, TypeVar

from sycamorecroft.clock import Clock, SystemClock
from sycamorecroft.errors import (
    PlatformError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from sycamorecroft.store.calls import StoreOperation as Operation

Result = TypeVar("Result")


class FaultKind(StrEnum):
    """Effect of a fault on a call.

    ``DOWN``: the call fails without effect. ``DELAY``: the call takes effect after a
    delay. ``LOST_RESPONSE``: the call takes effect and its response is lost.
    ``LOST_REQUEST``: the call has no effect, which its caller can't distinguish from a
    lost response.
    """

    DOWN = "down"
    DELAY = "delay"
    LOST_RESPONSE = "lost_response"
    LOST_REQUEST = "lost_request"


class Fault(NamedTuple):
    """Fault of a service; lasts until cleared unless it is limited.

    :param count: number of matching calls affected.
    :param duration_s: time after which the fault ends.
    :param delay_s: delay of each affected call.
    :param operation: kind of call affected, ``None`` for all kinds.
    """

    kind: FaultKind
    count: int | None = None
    duration_s: float | None = None
    delay_s: float = 0.0
    operation: Operation | None = None


class _ActiveFault:
    def __init__(self, fault: Fault, now_s: float) -> None:
        self.fault = fault
        self.remaining_count = fault.count
        self.end_s = None if fault.duration_s is None else now_s + fault.duration_s

    def has_ended(self, now_s: float) -> bool:
        is_expired = self.end_s is not None and now_s >= self.end_s
        return is_expired or self.remaining_count == 0

    def consume(self, operation: Operation) -> bool:
        if self.fault.operation not in (None, operation):
            return False
        if self.remaining_count is not None:
            self.remaining_count -= 1
        return True


class FaultInjector:
    """Applies faults to calls. Thread-safe.

    :param sleep: called with the delay in seconds; tests with a ``ManualClock`` pass
        ``clock.advance``.
    :param timeout_s: the caller's timeout; a call delayed by at least this time takes
        effect and its response is lost. ``None`` for no timeout.
    """

    def __init__(
        self,
        clock: Clock | None = None,
        *,
        sleep: Callable[[float], object] = time.sleep,
        timeout_s: float | None = 1.0,
    ) -> None:
        self._clock = clock or SystemClock()
        self._sleep = sleep
        self._timeout_s = timeout_s
        self._lock = threading.Lock()
        self._active_faults: list[_ActiveFault] = []

    def set(self, fault: Fault) -> None:
        """Adds a fault; faults set before stay active."""
        with self._lock:
            self._active_faults.append(_ActiveFault(fault, self._clock.monotonic_s()))

    def set_down(
        self,
        *,
        count: int | None = None,
        duration_s: float | None = None,
        operation: Operation | None = None,
    ) -> None:
        """Makes calls fail without effect, with ``StoreUnavailableError``."""
        self.set(Fault(FaultKind.DOWN, count, duration_s, operation=operation))

    def set_delay(
        self,
        delay_s: float,
        *,
        count: int | None = None,
        duration_s: float | None = None,
        operation: Operation | None = None,
    ) -> None:
        """Delays calls by ``delay_s``."""
        self.set(Fault(FaultKind.DELAY, count, duration_s, delay_s, operation))

    def lose_responses(
        self,
        *,
        count: int | None = None,
        duration_s: float | None = None,
        operation: Operation | None = Operation.WRITE,
    ) -> None:
        """Makes calls take effect and fail with ``StoreOutcomeUnknownError``."""
        fault = Fault(FaultKind.LOST_RESPONSE, count, duration_s, operation=operation)
        self.set(fault)

    def lose_requests(
        self,
        *,
        count: int | None = None,
        duration_s: float | None = None,
        operation: Operation | None = Operation.WRITE,
    ) -> None:
        """Makes calls fail without effect, with ``StoreOutcomeUnknownError``."""
        fault = Fault(FaultKind.LOST_REQUEST, count, duration_s, operation=operation)
        self.set(fault)

    def clear(self) -> None:
        """Ends all faults."""
        with self._lock:
            self._active_faults.clear()

    def call(self, operation: Operation, action: Callable[[], Result]) -> Result:
        """Runs ``action`` subject to the active faults.

        :returns: result of ``action``.
        :raises StoreUnavailableError: when the call had no effect or was a read.
        :raises StoreOutcomeUnknownError: when the response of a write was lost.
        """
        faults = self._consume_faults(operation)
        delay_s = sum(fault.delay_s for fault in faults)
        exceeds_timeout = self._timeout_s is not None and delay_s >= self._timeout_s
        if delay_s > 0:
            self._sleep(self._timeout_s if exceeds_timeout else delay_s)
        kinds = {fault.kind for fault in faults}
        if FaultKind.DOWN in kinds:
            raise StoreUnavailableError(
                "the stand-in is unavailable because of an injected fault"
            )
        if FaultKind.LOST_REQUEST in kinds:
            raise _lost_response_error(operation)
        if FaultKind.LOST_RESPONSE not in kinds and not exceeds_timeout:
            return action()
        return self._run_and_lose_response(operation, action)

    def _consume_faults(self, operation: Operation) -> list[Fault]:
        now_s = self._clock.monotonic_s()
        with self._lock:
            self._active_faults = [
                item for item in self._active_faults if not item.has_ended(now_s)
            ]
            return [
                item.fault for item in self._active_faults if item.consume(operation)
            ]

    def _run_and_lose_response(
        self, operation: Operation, action: Callable[[], Result]
    ) -> Result:
        error: Exception | None = None
        try:
            action()
        except Exception as raised:
            # The error is lost with the response, so the caller doesn't get it.
            error = raised
        raise _lost_response_error(operation) from error


def _lost_response_error(operation: Operation) -> PlatformError:
    message = f"no response because of an injected fault to a {operation}"
    if operation is Operation.READ:
        return StoreUnavailableError(message)
    return StoreOutcomeUnknownError(message)
