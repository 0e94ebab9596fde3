"""A worker's steady clock as seen from outside, and the lease that it keeps."""

import threading

# A worker's clock may be this much slower than ours.
CLOCK_DRIFT_RATIO = 0.02


class WorkerClock:
    """Relates a worker's clock to ours and bounds the lease. Thread-safe.

    Only a list of runs extends the lease, and only after the last one was answered:
    an order without an answer may be carried out, so that a worker out of reach would
    otherwise get a longer lease with each attempt to reach it.
    """

    def __init__(self, lease_s: float) -> None:
        """
        :param lease_s: how long the worker goes on without being reached.
        """
        self._lease_s = lease_s
        self._lock = threading.Lock()
        self._clock_ms: int | None = None
        self._observed_s = 0.0
        self._deadline_ms = 0
        self._is_answered = False

    def observe(self, clock_ms: int, now_s: float) -> None:
        """Records the worker's clock as it was in an answer that arrived now."""
        if not clock_ms:
            return
        with self._lock:
            self._clock_ms = clock_ms
            self._observed_s = now_s

    def restart(self) -> None:
        """The worker started again: its clock and its lease begin anew."""
        with self._lock:
            self._clock_ms = None
            self._deadline_ms = 0

    def record_answer(self) -> None:
        """Records that a list of runs was answered."""
        with self._lock:
            self._is_answered = True

    def extend(self, now_s: float, limit_s: float) -> int | None:
        """Extends the lease for the next list of runs.

        :param limit_s: time beyond which no lease may be given.
        :returns: deadline on the worker's clock, or ``None`` when that isn't known.
        """
        with self._lock:
            if self._clock_ms is None:
                return None
            if self._is_answered:
                end_s = min(now_s + self._lease_s, limit_s)
                ahead_ms = int((end_s - self._observed_s) * 1000)
                self._deadline_ms = max(self._deadline_ms, self._clock_ms + ahead_ms)
                self._is_answered = False
            return self._deadline_ms

    @property
    def deadline_ms(self) -> int:
        """Latest deadline that was given."""
        return self._deadline_ms

    def lease_end_s(self) -> float:
        """
        :returns: time by which the worker has reached the latest deadline.
        """
        with self._lock:
            if self._clock_ms is None:
                return 0.0
            ahead_s = max(0, self._deadline_ms - self._clock_ms) / 1000
            return self._observed_s + ahead_s / (1 - CLOCK_DRIFT_RATIO)
