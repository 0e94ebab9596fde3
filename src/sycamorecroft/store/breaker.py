"""Circuit breaker for calls to the platform."""

from enum import StrEnum

from sycamorecroft.store.backoff import Backoff

FAILURES_TO_OPEN_COUNT = 5

# A trial call whose result never arrives must not keep the breaker open for ever. Calls
# have a timeout of 1 s, so that a trial of this age has been abandoned.
TRIAL_TIMEOUT_S = 5.0


class BreakerState(StrEnum):
    """``TRIAL``: one call is on its way, which decides whether the breaker closes."""

    CLOSED = "closed"
    OPEN = "open"
    TRIAL = "trial"


class CircuitBreaker:
    """Opens after consecutive failures; then lets single trial calls pass.

    The delays between trials are random, so that the daemons don't all return at the
    end of an outage at once. Not thread-safe.

    :param backoff: delays between trials.
    """

    def __init__(
        self,
        backoff: Backoff,
        *,
        failures_to_open_count: int = FAILURES_TO_OPEN_COUNT,
        trial_timeout_s: float = TRIAL_TIMEOUT_S,
    ) -> None:
        self._backoff = backoff
        self._failures_to_open_count = failures_to_open_count
        self._trial_timeout_s = trial_timeout_s
        self._failures_count = 0
        self._state = BreakerState.CLOSED
        self._retry_at_s = 0.0

    @property
    def state(self) -> BreakerState:
        """State after the last call."""
        return self._state

    def is_blocking(self, now_s: float) -> bool:
        """
        :param now_s: monotonic time.
        :returns: whether no call may be made now.
        """
        return self._state is not BreakerState.CLOSED and now_s < self._retry_at_s

    def begin(self, now_s: float) -> None:
        """Records that a call is made; its result must be recorded afterwards."""
        if self._state is not BreakerState.CLOSED:
            self._state = BreakerState.TRIAL
            self._retry_at_s = now_s + self._trial_timeout_s

    def record_success(self) -> None:
        """Records that the platform answered, whatever the answer was."""
        self._state = BreakerState.CLOSED
        self._failures_count = 0
        self._backoff.reset()

    def record_failure(self, now_s: float) -> None:
        """Records that no answer arrived, or that the platform reported an outage."""
        self._failures_count += 1
        if self._state is BreakerState.OPEN:
            return
        is_trial = self._state is BreakerState.TRIAL
        if is_trial or self._failures_count >= self._failures_to_open_count:
            self._state = BreakerState.OPEN
            self._retry_at_s = now_s + self._backoff.next_delay_s()
