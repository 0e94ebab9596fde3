"""Circuit breaker for calls to the platform."""

from enum import StrEnum

from sycamorecroft.store.backoff import Backoff

FAILURE_THRESHOLD_COUNT = 5

# A trial call whose result is never recorded must not keep the breaker half-open for
# ever. Calls have a timeout of 1 s, so a trial call of this age has been abandoned.
TRIAL_TIMEOUT_S = 5.0


class BreakerState(StrEnum):
    """State of the breaker.

    ``HALF_OPEN``: one trial call is in flight, and decides whether the breaker closes.
    """

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "trial"


class CircuitBreaker:
    """Opens after consecutive failures; then allows one trial call at a time.

    The delays between trial calls are randomised, so that the daemons don't all call
    at the same moment when an outage ends. Not thread-safe.

    :param backoff: delays between trial calls.
    :param failure_threshold_count: consecutive failures after which the breaker opens.
    :param trial_timeout_s: age in seconds at which a trial call counts as abandoned.
    """

    def __init__(
        self,
        backoff: Backoff,
        *,
        failure_threshold_count: int = FAILURE_THRESHOLD_COUNT,
        trial_timeout_s: float = TRIAL_TIMEOUT_S,
    ) -> None:
        self._backoff = backoff
        self._failure_threshold_count = failure_threshold_count
        self._trial_timeout_s = trial_timeout_s
        self._failures_count = 0
        self._state = BreakerState.CLOSED
        self._retry_at_s = 0.0

    @property
    def state(self) -> BreakerState:
        """State after the last recorded call."""
        return self._state

    def is_blocking(self, now_s: float) -> bool:
        """
        :param now_s: monotonic time in seconds.
        :returns: whether calls are currently blocked.
        """
        return self._state is not BreakerState.CLOSED and now_s < self._retry_at_s

    def record_start(self, now_s: float) -> None:
        """Records the start of a call; its result must be recorded afterwards."""
        if self._state is not BreakerState.CLOSED:
            self._state = BreakerState.HALF_OPEN
            self._retry_at_s = now_s + self._trial_timeout_s

    def record_success(self) -> None:
        """Records that the platform responded, whatever the response was."""
        self._state = BreakerState.CLOSED
        self._failures_count = 0
        self._backoff.reset()

    def record_failure(self, now_s: float) -> None:
        """Records that no response arrived, or that the platform reported an outage."""
        self._failures_count += 1
        if self._state is BreakerState.OPEN:
            return
        is_trial = self._state is BreakerState.HALF_OPEN
        if is_trial or self._failures_count >= self._failure_threshold_count:
            self._state = BreakerState.OPEN
            self._retry_at_s = now_s + self._backoff.next_delay_s()
