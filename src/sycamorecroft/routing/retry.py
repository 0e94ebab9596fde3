"""Budget of retries: a token bucket filled by requests."""

from threading import Lock

RETRY_RATIO = 0.1
"""Retries per request (section 5.3), so that a failing pool gets at most a tenth of
extra load."""

BURST_COUNT = 10.0
"""Retries saved up, enough for the requests in flight on one lost worker."""


class RetryBudget:
    """Token bucket: each request adds a part of a token, each retry takes one."""

    def __init__(
        self, *, ratio: float = RETRY_RATIO, burst_count: float = BURST_COUNT
    ) -> None:
        self._ratio = ratio
        self._burst_count = burst_count
        self._tokens = burst_count
        self._lock = Lock()

    def record_request(self) -> None:
        """Adds the share of a retry that a first attempt earns."""
        with self._lock:
            self._tokens = min(self._burst_count, self._tokens + self._ratio)

    def try_spend(self) -> bool:
        """
        :returns: whether a retry is within the budget; takes its token if so.
        """
        with self._lock:
            if self._tokens < 1.0:
                return False
            self._tokens -= 1.0
            return True
