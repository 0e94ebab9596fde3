"""Time sources. Deadlines use monotonic time; wall time is for logs and records."""

import time
from abc import ABC, abstractmethod
from datetime import UTC, datetime, timedelta


class Clock(ABC):
    """Source of monotonic and wall time, injected into all code that needs time."""

    @abstractmethod
    def monotonic_s(self) -> float:
        """
        :returns: monotonic time in seconds, comparable within one process only.
        """

    @abstractmethod
    def now(self) -> datetime:
        """
        :returns: wall time as an aware UTC ``datetime``.
        """


class SystemClock(Clock):
    """Clock of the operating system, whose monotonic time excludes suspensions."""

    def monotonic_s(self) -> float:
        return time.monotonic()

    def now(self) -> datetime:
        return datetime.now(UTC)


class ManualClock(Clock):
    """Clock that moves only by :meth:`advance`, for tests and randomised runs."""

    def __init__(self, start: datetime = datetime(2026, 1, 1, tzinfo=UTC)) -> None:
        self._start = start
        self._elapsed_s = 0.0

    def monotonic_s(self) -> float:
        return self._elapsed_s

    def now(self) -> datetime:
        return self._start + timedelta(seconds=self._elapsed_s)

    def advance(self, duration_s: float) -> None:
        """
        :param duration_s: seconds by which the clock moves forward.
        :raises ValueError: if ``duration_s`` is negative.
        """
        if duration_s < 0:
            message = f"duration_s must be >= 0, got {duration_s}"
            raise ValueError(message)
        self._elapsed_s += duration_s


class BoottimeClock(SystemClock):
    """Clock of the operating system that includes the time of a suspension.

    Lease expiry must be judged by it: the ordinary monotonic clock stops while a host
    is suspended, so that the host would treat leases as valid that have expired.
    """

    def monotonic_s(self) -> float:
        return time.clock_gettime(time.CLOCK_BOOTTIME)
