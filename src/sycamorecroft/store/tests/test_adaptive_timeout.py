"""Tests of the timeout that follows the duration of calls."""

from sycamorecroft.store.adaptive_timeout import (
    TIMEOUT_MAX_S,
    TIMEOUT_MIN_S,
    AdaptiveTimeout,
)


def test_lost_answer_of_a_fast_store_is_given_up_soon():
    """Guards against two seconds of standstill for each lost answer."""
    timeout = AdaptiveTimeout()
    for _ in range(50):
        timeout.record_answer(0.012)
    assert timeout.timeout_s == TIMEOUT_MIN_S


def test_slow_store_gets_the_time_it_needs():
    """Guards against calls to a slow store that are all given up too early."""
    timeout = AdaptiveTimeout()
    timeout.record_timeout()
    timeout.record_timeout()
    assert timeout.timeout_s == TIMEOUT_MAX_S
    timeout.record_answer(1.1)
    assert timeout.timeout_s == TIMEOUT_MAX_S


def test_timeout_falls_again_after_a_slow_phase():
    """Guards against long timeouts that outlast the reason for them."""
    timeout = AdaptiveTimeout()
    timeout.record_answer(1.1)
    for _ in range(30):
        timeout.record_answer(0.012)
    assert timeout.timeout_s == TIMEOUT_MIN_S
