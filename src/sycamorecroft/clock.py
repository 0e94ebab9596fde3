"""Time sources. Deadlines are monotonic; wall time is for people and records."""

import time
from abc import ABC, abstractmethod
from datetime import UTC, datetime, timedelta


class Clock(ABC):
    """Source of monotonic and wall time, passed to all code that needs time."""

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
    """Clock of the operating system."""

    def monotonic_s(self) -> float:
        return time.monotonic()

    def now(self) -> datetime:
        return datetime.now(UTC)


class ManualClock(Clock):
    """Clock that moves only when told to, for tests and randomised runs."""

    def __init__(self, start: datetime = datetime(2026, 1, 1, tzinfo=UTC)) -> None:
        self._start = start
        self._elapsed_s = 0.0

    def monotonic_s(self) -> float:
        return self._elapsed_s

    def now(self) -> datetime:
        return self._start + timedelta(seconds=self._elapsed_s)

    def advance(self, duration_s: float) -> None:
        """
        :param duration_s: seconds to move forward; must not be negative.
        :raises ValueError: if ``duration_s`` is negative.
        """
        if duration_s < 0:
            message = f"duration_s must be >= 0, got {duration_s}"
            raise ValueError(message)
        self._elapsed_s += duration_s


class BoottimeClock(SystemClock):
    """Clock of the operating system that counts the time of a suspended host.

    Leases must be judged by it: the ordinary monotonic clock stands still while a host
    is suspended, and the host would believe that its leases still hold.
    """

    def monotonic_s(self) -> float:
        return time.clock_gettime(time.CLOCK_BOOTTIME)
