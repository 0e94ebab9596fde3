"""Table service with the daemon's store budget, circuit breaker and counters."""

import random
import threading
from collections.abc import Callable, Sequence
from typing import NamedTuple, TypeVar

from sycamorecroft.clock import Clock
from sycamorecroft.errors import (
    PlatformError,
    StoreBudgetExceededError,
    StoreConflictError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from sycamorecroft.store.backoff import Backoff
from sycamorecroft.store.breaker import BreakerState, CircuitBreaker
from sycamorecroft.store.budget import StoreBudget
from sycamorecroft.store.calls import (
    CallCount,
    CallCounters,
    CallKind,
    CallOutcome,
    StoreOperation,
)
from sycamorecroft.store.interfaces import (
    Check,
    Put,
    Row,
    Scan,
    StorePurpose,
    TableService,
)

Result = TypeVar("Result")

# Upper bounds of the delays between trial calls: each daemon resumes its calls within
# 2 s of the end of an outage (section 5.5 of docs/design.md).
TRIAL_DELAY_BASE_S = 0.25
TRIAL_DELAY_CAP_S = 2.0

_UNSENT_OUTCOMES = (CallOutcome.BUDGET_EXCEEDED, CallOutcome.BREAKER_OPEN)
_FAILED_OUTCOMES = (CallOutcome.UNAVAILABLE, CallOutcome.OUTCOME_UNKNOWN)


class StoreHealth(NamedTuple):
    """Health of the store as seen by this daemon.

    ``contact_age_s`` is the age of the last response, ``None`` before the first one.
    """

    state: BreakerState
    contact_age_s: float | None


class GuardedTableService(TableService):
    """Adds store budget, circuit breaker and counters to a table service. Thread-safe.

    :param tables: the service that makes the calls.
    :param budget: the daemon's share of the store budget.
    :param random_source: source of the jitter of the breaker's delays.
    """

    def __init__(
        self,
        tables: TableService,
        *,
        budget: StoreBudget,
        clock: Clock,
        random_source: random.Random,
    ) -> None:
        self._tables = tables
        self._budget = budget
        self._clock = clock
        backoff = Backoff(TRIAL_DELAY_BASE_S, TRIAL_DELAY_CAP_S, random_source)
        self._breaker = CircuitBreaker(backoff)
        self._counters = CallCounters()
        self._lock = threading.Lock()
        self._last_response_s: float | None = None

    def call_counts(self) -> tuple[CallCount, ...]:
        """
        :returns: calls by purpose, operation and outcome since the process started.
        """
        return self._counters.snapshot()

    def health(self) -> StoreHealth:
        """
        :returns: state of the breaker and age of the last response in seconds.
        """
        with self._lock:
            now_s = self._clock.monotonic_s()
            last_response_s = self._last_response_s
            age_s = None if last_response_s is None else now_s - last_response_s
            return StoreHealth(self._breaker.state, age_s)

    def read(self, table: str, key: str, *, purpose: StorePurpose) -> Row | None:
        def action() -> Row | None:
            return self._tables.read(table, key, purpose=purpose)

        return self._call(purpose, StoreOperation.READ, action)

    def scan(
        self,
        table: str,
        *,
        purpose: StorePurpose,
        prefix: str = "",
        after_version: int = 0,
    ) -> Scan:
        def action() -> Scan:
            return self._tables.scan(
                table, purpose=purpose, prefix=prefix, after_version=after_version
            )

        return self._call(purpose, StoreOperation.READ, action)

    def transact(
        self, checks: Sequence[Check], puts: Sequence[Put], *, purpose: StorePurpose
    ) -> int:
        def action() -> int:
            return self._tables.transact(checks, puts, purpose=purpose)

        return self._call(purpose, StoreOperation.WRITE, action)

    def _call(
        self,
        purpose: StorePurpose,
        operation: StoreOperation,
        action: Callable[[], Result],
    ) -> Result:
        try:
            self._admit(purpose, operation)
            result = action()
        except PlatformError as error:
            self._record(CallKind(purpose, operation, _outcome_of(error)))
            raise
        self._record(CallKind(purpose, operation, CallOutcome.OK))
        return result

    def _admit(self, purpose: StorePurpose, operation: StoreOperation) -> None:
        with self._lock:
            now_s = self._clock.monotonic_s()
            # The breaker is checked before a token of the budget is consumed, and the
            # call is recorded only afterwards: a trial call that exceeds the budget
            # would block further trial calls.
            if self._breaker.is_blocking(now_s):
                raise _BreakerOpenError(
                    "the table service did not answer earlier calls; call again later"
                )
            if not self._budget.try_acquire(purpose, operation, now_s):
                message = (
                    f"this daemon's share of the store budget for {operation} calls "
                    f"for {purpose} is exhausted; retry later"
                )
                raise StoreBudgetExceededError(message)
            self._breaker.record_start(now_s)

    def _record(self, kind: CallKind) -> None:
        self._counters.add(kind)
        if kind.outcome in _UNSENT_OUTCOMES:
            return
        with self._lock:
            now_s = self._clock.monotonic_s()
            if kind.outcome in _FAILED_OUTCOMES:
                self._breaker.record_failure(now_s)
                return
            self._breaker.record_success()
            self._last_response_s = now_s


class _BreakerOpenError(StoreUnavailableError):
    """The circuit breaker is open; the call was not sent."""


def _outcome_of(error: PlatformError) -> CallOutcome:
    outcomes: tuple[tuple[type[PlatformError], CallOutcome], ...] = (
        (StoreBudgetExceededError, CallOutcome.BUDGET_EXCEEDED),
        (_BreakerOpenError, CallOutcome.BREAKER_OPEN),
        (StoreUnavailableError, CallOutcome.UNAVAILABLE),
        (StoreOutcomeUnknownError, CallOutcome.OUTCOME_UNKNOWN),
        (StoreConflictError, CallOutcome.CONFLICT),
    )
    for error_type, outcome in outcomes:
        if isinstance(error, error_type):
            return outcome
    return CallOutcome.REJECTED
