"""Call timeout that adapts to the observed response times."""

import threading

TIMEOUT_MIN_S = 0.5
TIMEOUT_MAX_S = 2.0
# The timeout is this multiple of the longest recent response time.
DURATION_FACTOR = 4.0
# Factor by which the longest recent response time decays with each further call.
DECAY_RATIO = 0.9


class AdaptiveTimeout:
    """Timeout proportional to the longest recent response time. Thread-safe.

    It is short while calls are fast, so that a lost response delays the caller little.

    :ivar max_s: upper limit of the timeout in seconds.
    """

    def __init__(
        self, min_s: float = TIMEOUT_MIN_S, max_s: float = TIMEOUT_MAX_S
    ) -> None:
        """
        :param min_s: lower limit of the timeout in seconds.
        :param max_s: upper limit of the timeout in seconds.
        """
        self._min_s = min_s
        self.max_s = max_s
        self._lock = threading.Lock()
        self._recent_max_s = 0.0
        self._timeout_s = min_s

    @property
    def timeout_s(self) -> float:
        """Timeout of the next call in seconds."""
        return self._timeout_s

    def record_response(self, duration_s: float) -> None:
        """Records the duration of a call that got a response."""
        with self._lock:
            self._recent_max_s = max(duration_s, self._recent_max_s * DECAY_RATIO)
            target_s = self._recent_max_s * DURATION_FACTOR
            self._timeout_s = min(self.max_s, max(self._min_s, target_s))

    def record_timeout(self) -> None:
        """Doubles the timeout, up to its maximum, after a call that timed out."""
        with self._lock:
            self._timeout_s = min(self.max_s, self._timeout_s * 2)
