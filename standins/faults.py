"""Faults of the platform's stand-ins, limited by a number of calls or a duration."""

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
    """What a fault does to a call.

    ``DOWN``: the call fails and has no effect. ``DELAY``: the call takes effect after
    a delay. ``LOST_RESPONSE``: the call takes effect and its response is lost.
    ``LOST_REQUEST``: the call has no effect, which its caller can't tell from a lost
    response.
    """

    DOWN = "down"
    DELAY = "delay"
    LOST_RESPONSE = "lost_response"
    LOST_REQUEST = "lost_request"


class Fault(NamedTuple):
    """A fault; without ``count`` and ``duration_s`` it lasts until it is cleared.

    :param count: number of matching calls that are affected.
    :param operation: kind of call that is affected, ``None`` for all.
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

    def is_over(self, now_s: float) -> bool:
        is_late = self.end_s is not None and now_s >= self.end_s
        return is_late or self.remaining_count == 0

    def take(self, operation: Operation) -> bool:
        if self.fault.operation not in (None, operation):
            return False
        if self.remaining_count is not None:
            self.remaining_count -= 1
        return True


class FaultSwitch:
    """Applies the faults that are set to calls. Thread-safe.

    :param sleep: waits for a delay; a test with a ``ManualClock`` passes
        ``clock.advance``.
    :param timeout_s: the caller's timeout: a call delayed for this long or longer
        takes effect and its response is lost. ``None`` for no timeout.
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
        self._active: list[_ActiveFault] = []

    def set(self, fault: Fault) -> None:
        """Adds a fault to those already set."""
        with self._lock:
            self._active.append(_ActiveFault(fault, self._clock.monotonic_s()))

    def set_down(
        self,
        *,
        count: int | None = None,
        duration_s: float | None = None,
        operation: Operation | None = None,
    ) -> None:
        """Makes calls fail without effect (``StoreUnavailableError``)."""
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
        """Loses responses of calls that took effect (``StoreOutcomeUnknownError``)."""
        fault = Fault(FaultKind.LOST_RESPONSE, count, duration_s, operation=operation)
        self.set(fault)

    def lose_requests(
        self,
        *,
        count: int | None = None,
        duration_s: float | None = None,
        operation: Operation | None = Operation.WRITE,
    ) -> None:
        """Loses calls before they take effect (``StoreOutcomeUnknownError``)."""
        fault = Fault(FaultKind.LOST_REQUEST, count, duration_s, operation=operation)
        self.set(fault)

    def clear(self) -> None:
        """Removes all faults."""
        with self._lock:
            self._active.clear()

    def call(self, operation: Operation, action: Callable[[], Result]) -> Result:
        """Runs ``action`` under the faults that are set.

        :raises StoreUnavailableError: when the call had no effect, or was a read.
        :raises StoreOutcomeUnknownError: when the response of a write was lost.
        """
        faults = self._take(operation)
        delay_s = sum(fault.delay_s for fault in faults)
        is_timeout = self._timeout_s is not None and delay_s >= self._timeout_s
        if delay_s > 0:
            self._sleep(self._timeout_s if is_timeout else delay_s)
        kinds = {fault.kind for fault in faults}
        if FaultKind.DOWN in kinds:
            raise StoreUnavailableError("the stand-in is set to be down")
        if FaultKind.LOST_REQUEST in kinds:
            raise _lost(operation)
        if FaultKind.LOST_RESPONSE not in kinds and not is_timeout:
            return action()
        return self._run_and_lose(operation, action)

    def _take(self, operation: Operation) -> list[Fault]:
        now_s = self._clock.monotonic_s()
        with self._lock:
            self._active = [item for item in self._active if not item.is_over(now_s)]
            return [item.fault for item in self._active if item.take(operation)]

    def _run_and_lose(
        self, operation: Operation, action: Callable[[], Result]
    ) -> Result:
        error: Exception | None = None
        try:
            action()
        except Exception as raised:  # The caller never learns of this error either.
            error = raised
        raise _lost(operation) from error


def _lost(operation: Operation) -> PlatformError:
    message = f"no answer to a {operation}"
    if operation is Operation.READ:
        return StoreUnavailableError(message)
    return StoreOutcomeUnknownError(message)
