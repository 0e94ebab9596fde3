"""Retry budget: a token bucket that requests fill and retries empty."""

from threading import Lock

RETRY_RATIO = 0.1
"""Retries per request. It limits the extra load of a failing pool to a tenth
(docs/design.md, section 5.3)."""

MAX_BURST_COUNT = 10.0
"""Limit of accumulated retries; enough for the requests in flight on a lost worker."""


class RetryBudget:
    """Token bucket: each request adds ``ratio`` tokens, each retry spends one.

    Thread-safe.
    """

    def __init__(
        self, *, ratio: float = RETRY_RATIO, burst_count: float = MAX_BURST_COUNT
    ) -> None:
        self._ratio = ratio
        self._burst_count = burst_count
        self._tokens = burst_count
        self._lock = Lock()

    def record_request(self) -> None:
        """Adds the tokens of a first attempt."""
        with self._lock:
            self._tokens = min(self._burst_count, self._tokens + self._ratio)

    def try_spend(self) -> bool:
        """Spends a token if one is available.

        :returns: whether the retry is within the budget.
        """
        with self._lock:
            if self._tokens < 1.0:
                return False
            self._tokens -= 1.0
            return True
