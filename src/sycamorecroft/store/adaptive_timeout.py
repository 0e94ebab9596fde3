"""Timeout of calls that follows how long they take."""

import threading

TIMEOUT_MIN_S = 0.5
TIMEOUT_MAX_S = 2.0
# A call is given up after this multiple of the longest recent call.
DURATION_FACTOR = 4.0
# Share of the longest recent duration that is kept with each further call.
DECAY_RATIO = 0.9


class AdaptiveTimeout:
    """Short while calls are fast, so that a lost answer costs little. Thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._recent_s = 0.0
        self._timeout_s = TIMEOUT_MIN_S

    @property
    def timeout_s(self) -> float:
        """Timeout of the next call."""
        return self._timeout_s

    def record_answer(self, duration_s: float) -> None:
        """Records how long an answered call took."""
        with self._lock:
            self._recent_s = max(duration_s, self._recent_s * DECAY_RATIO)
            wanted_s = self._recent_s * DURATION_FACTOR
            self._timeout_s = min(TIMEOUT_MAX_S, max(TIMEOUT_MIN_S, wanted_s))

    def record_timeout(self) -> None:
        """Records that a call got no answer in time."""
        with self._lock:
            self._timeout_s = min(TIMEOUT_MAX_S, self._timeout_s * 2)
