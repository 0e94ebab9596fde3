"""Estimates a worker's monotonic clock and bounds the leases of its runs."""

import threading

# Maximum ratio by which a worker's clock may run slower than the local clock.
CLOCK_DRIFT_RATIO = 0.02


class WorkerClock:
    """Relates a worker's clock to the local clock and bounds leases. Thread-safe.

    A lease is extended only by a call that renews leases, and only after the previous
    such call was answered. A call without an answer may still take effect, so that each
    attempt to call an unreachable worker would otherwise extend the lease.
    """

    def __init__(self, lease_s: float) -> None:
        """
        :param lease_s: time in s for which runs continue without a renewal.
        """
        self._lease_s = lease_s
        self._lock = threading.Lock()
        self._clock_ms: int | None = None
        self._observed_s = 0.0
        self._deadline_ms = 0
        self._is_answered = False

    def observe(self, clock_ms: int, now_s: float) -> None:
        """Records the worker's clock from an answer that arrived now.

        :param clock_ms: time on the worker's clock; 0 if the answer had none.
        :param now_s: local monotonic time.
        """
        if not clock_ms:
            return
        with self._lock:
            self._clock_ms = clock_ms
            self._observed_s = now_s

    def restart(self) -> None:
        """Resets the clock and the lease after a restart of the worker."""
        with self._lock:
            self._clock_ms = None
            self._deadline_ms = 0

    def record_answer(self) -> None:
        """Records that a call to renew leases was answered."""
        with self._lock:
            self._is_answered = True

    def extend(self, now_s: float, limit_s: float) -> int | None:
        """Extends the lease for the next call that renews leases.

        :param limit_s: local monotonic time at which all leases must have ended, even
            if the worker's clock runs slow.
        :returns: deadline in ms on the worker's clock, or ``None`` while that clock is
            unknown.
        """
        with self._lock:
            if self._clock_ms is None:
                return None
            if self._is_answered:
                lease_ahead_s = now_s + self._lease_s - self._observed_s
                limit_ahead_s = (limit_s - self._observed_s) * (1 - CLOCK_DRIFT_RATIO)
                ahead_ms = int(min(lease_ahead_s, limit_ahead_s) * 1000)
                self._deadline_ms = max(self._deadline_ms, self._clock_ms + ahead_ms)
                self._is_answered = False
            return self._deadline_ms

    @property
    def deadline_ms(self) -> int:
        """Latest deadline granted, in ms on the worker's clock; 0 if none."""
        return self._deadline_ms

    def lease_end_s(self) -> float:
        """
        :returns: local monotonic time by which the worker's clock has passed the latest
            deadline, even if it runs slow.
        """
        with self._lock:
            if self._clock_ms is None:
                return 0.0
            ahead_s = max(0, self._deadline_ms - self._clock_ms) / 1000
            return self._observed_s + ahead_s / (1 - CLOCK_DRIFT_RATIO)
