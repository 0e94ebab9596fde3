"""Limits how often a repeated event is logged."""

import threading

from sycamorecroft.clock import Clock

LOG_INTERVAL_S = 1.0


class LogIntervals:
    """Admits one log line in an interval for each kind of event. Thread-safe.

    :param clock: clock of the interval.
    """

    def __init__(self, clock: Clock, interval_s: float = LOG_INTERVAL_S) -> None:
        self._clock = clock
        self._interval_s = interval_s
        self._lock = threading.Lock()
        self._next_s: dict[str, float] = {}
        self._suppressed_count: dict[str, int] = {}

    def admit(self, kind: str) -> int | None:
        """
        :param kind: kind of the event, of a bounded number.
        :returns: number of lines suppressed since the last one of this kind, ``None``
            if this line is to be suppressed too.
        """
        now_s = self._clock.monotonic_s()
        with self._lock:
            if now_s < self._next_s.get(kind, now_s):
                self._suppressed_count[kind] = self._suppressed_count.get(kind, 0) + 1
                return None
            self._next_s[kind] = now_s + self._interval_s
            return self._suppressed_count.pop(kind, 0)
