"""Guards against a store overloaded by calls of one purpose or after an outage."""

import random

import pytest

from standins.faults import FaultInjector
from standins.memory_tables import MemoryTables
from sycamorecroft.clock import ManualClock
from sycamorecroft.errors import (
    StoreBudgetExceededError,
    StoreConflictError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from sycamorecroft.store import Backoff, GuardedTableService, StoreBudget
from sycamorecroft.store.breaker import (
    FAILURE_THRESHOLD_COUNT,
    BreakerState,
    CircuitBreaker,
)
from sycamorecroft.store.budget import SYSTEM_RATES
from sycamorecroft.store.calls import CallKind, CallOutcome, StoreOperation
from sycamorecroft.store.guarded import TRIAL_DELAY_CAP_S
from sycamorecroft.store.interfaces import Check, StorePurpose

CLAIMS = StorePurpose.CLAIMS
VIEW = StorePurpose.VIEW


class _Setup:
    def __init__(self, share_ratio: float = 1.0, *, seed: int = 1) -> None:
        self.clock = ManualClock()
        self.store = MemoryTables(FaultInjector(self.clock))
        self.guarded = GuardedTableService(
            self.store,
            budget=StoreBudget(share_ratio, self.clock.monotonic_s()),
            clock=self.clock,
            random_source=random.Random(seed),
        )

    def read(self, purpose: StorePurpose = VIEW) -> None:
        self.guarded.read("t", "a", purpose=purpose)

    def open_breaker(self) -> None:
        for _ in range(FAILURE_THRESHOLD_COUNT):
            with pytest.raises(StoreUnavailableError):
                self.read()

    def sent_count(self) -> int:
        return sum(self.store.call_counts().values())


def test_system_rates_stay_within_the_platform_limits():
    """Guards against a budget that exceeds the platform's rate limits."""
    rates = SYSTEM_RATES.values()
    assert set(SYSTEM_RATES) == set(StorePurpose)
    assert sum(rate.writes_per_s for rate in rates) < 300
    assert sum(rate.reads_per_s for rate in rates) < 1000


def test_exhausted_budget_of_one_purpose_leaves_the_others_available():
    """Guards against one purpose that consumes the budget of the others."""
    setup = _Setup(share_ratio=0.1)
    for _ in range(10):
        setup.read(CLAIMS)
    with pytest.raises(StoreBudgetExceededError):
        setup.read(CLAIMS)
    setup.read(VIEW)
    assert setup.sent_count() == 11
    setup.clock.advance(0.1)
    setup.read(CLAIMS)


def test_long_term_rate_equals_the_share_of_the_budget():
    """Guards against a long-term rate above or below the daemon's share."""
    setup = _Setup(share_ratio=1 / 9)
    accepted_count = 0
    for _ in range(10_000):
        setup.clock.advance(0.01)
        try:
            setup.read(CLAIMS)
            accepted_count += 1
        except StoreBudgetExceededError:
            continue
    limit_count = 100 / 9 * 100 + 100 / 9
    assert 0.99 * limit_count <= accepted_count <= limit_count


def test_share_below_one_call_per_second_still_allows_calls():
    """Guards against a bucket too small to ever hold one token."""
    budget = StoreBudget(1 / 9, 0.0)
    registration = (StorePurpose.REGISTRATION, StoreOperation.WRITE)
    assert [budget.try_acquire(*registration, 2.0 * step) for step in range(5)] == [
        True
    ] * 5
    assert not budget.try_acquire(StorePurpose.REGISTRATION, StoreOperation.READ, 99.0)


def test_share_of_one_purpose_can_be_set():
    """Guards against a purpose-specific share that is ignored."""
    shares = {StorePurpose.LEASES: 1.0}
    budget = StoreBudget(1 / 9, 0.0, shares=shares)
    leases = (StorePurpose.LEASES, StoreOperation.WRITE)
    assert [budget.try_acquire(*leases, 0.0) for _ in range(6)] == [True] * 5 + [False]


def test_open_breaker_makes_no_calls_and_recovers():
    """Guards against a store flooded during an outage, or unused after it."""
    setup = _Setup()
    setup.store.faults.set_down(duration_s=60)
    setup.open_breaker()
    sent_count = setup.sent_count()
    assert setup.guarded.health().state is BreakerState.OPEN
    for _ in range(6_000):
        setup.clock.advance(0.01)
        try:
            setup.read()
        except StoreUnavailableError:
            continue
    # Trial calls are 1 s apart on average once their delays have reached the cap of
    # 2 s.
    assert 30 <= setup.sent_count() - sent_count <= 120
    setup.clock.advance(TRIAL_DELAY_CAP_S)
    setup.read()
    assert setup.guarded.health() == (BreakerState.CLOSED, 0.0)


@pytest.mark.parametrize("outage_s", [1, 2, 6, 60])
def test_calls_resume_within_2_s_of_the_end_of_an_outage(outage_s):
    """Guards against a breaker that refuses calls long after the store is back."""
    for seed in range(20):
        setup = _Setup(seed=seed)
        setup.store.faults.set_down(duration_s=outage_s)
        refused_s = 0.0
        for _ in range(50 * (outage_s + 3)):
            try:
                setup.read()
            except StoreUnavailableError:
                refused_s = setup.clock.monotonic_s()
            setup.clock.advance(0.02)
        assert refused_s <= outage_s + TRIAL_DELAY_CAP_S


def test_few_slow_answers_do_not_open_the_breaker():
    """Guards against a daemon that refuses all calls because of single slow answers."""
    setup = _Setup()
    for _ in range(3):
        setup.store.faults.lose_responses(count=FAILURE_THRESHOLD_COUNT - 1)
        for _ in range(FAILURE_THRESHOLD_COUNT - 1):
            with pytest.raises(StoreOutcomeUnknownError):
                setup.guarded.transact([], [], purpose=CLAIMS)
        setup.read()
    assert setup.guarded.health().state is BreakerState.CLOSED


def test_lost_responses_open_the_breaker_and_conflicts_do_not():
    """Guards against conflicts counted as failures of the store."""
    setup = _Setup()
    for _ in range(FAILURE_THRESHOLD_COUNT + 1):
        with pytest.raises(StoreConflictError):
            setup.guarded.transact([Check("t", "a", 1)], [], purpose=CLAIMS)
    assert setup.guarded.health().state is BreakerState.CLOSED
    setup.store.faults.lose_responses()
    for _ in range(FAILURE_THRESHOLD_COUNT):
        with pytest.raises(StoreOutcomeUnknownError):
            setup.guarded.transact([], [], purpose=CLAIMS)
    assert setup.guarded.health().state is BreakerState.OPEN


def test_call_over_budget_does_not_consume_the_trial_call():
    """Guards against a breaker blocked by a trial call that was never sent."""
    setup = _Setup()
    setup.store.faults.set_down()
    setup.open_breaker()
    setup.store.faults.clear()
    setup.clock.advance(TRIAL_DELAY_CAP_S)
    with pytest.raises(StoreBudgetExceededError):
        setup.read(StorePurpose.REGISTRATION)
    setup.read()
    assert setup.guarded.health().state is BreakerState.CLOSED


def test_only_one_trial_call_is_allowed_until_it_times_out():
    """Guards against concurrent trial calls, and an abandoned one that blocks."""
    breaker = CircuitBreaker(
        Backoff(1, 1, random.Random(1)), failure_threshold_count=1, trial_timeout_s=5
    )
    breaker.record_failure(0.0)
    assert not breaker.is_blocking(1.0)
    breaker.record_start(1.0)
    assert breaker.is_blocking(5.9)
    assert not breaker.is_blocking(6.0)


def test_calls_are_counted_by_purpose_and_outcome():
    """Guards against calls counted under a wrong purpose or outcome."""
    setup = _Setup(share_ratio=1 / 60)
    setup.read()
    with pytest.raises(StoreBudgetExceededError):
        setup.read()
    with pytest.raises(StoreConflictError):
        setup.guarded.transact([Check("t", "a", 1)], [], purpose=CLAIMS)
    read, write = StoreOperation.READ, StoreOperation.WRITE
    assert dict(setup.guarded.call_counts()) == {
        CallKind(VIEW, read, CallOutcome.OK): 1,
        CallKind(VIEW, read, CallOutcome.BUDGET_EXCEEDED): 1,
        CallKind(CLAIMS, write, CallOutcome.CONFLICT): 1,
    }


def test_backoff_has_full_jitter_up_to_its_cap():
    """Guards against synchronised retries, and delays that exceed the cap."""
    backoff = Backoff(0.25, 2.0, random.Random(7))
    delays = [backoff.next_delay_s() for _ in range(500)]
    assert all(delay <= 0.25 * 2**index for index, delay in enumerate(delays[:4]))
    assert max(delays) <= 2.0
    capped_delays = sorted(delays[4:])
    assert capped_delays[0] < 0.1 and capped_delays[-1] > 1.9
    backoff.reset()
    assert backoff.next_delay_s() <= 0.25
