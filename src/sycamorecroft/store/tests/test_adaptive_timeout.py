"""Tests of the timeout that adapts to the response times of calls."""

from sycamorecroft.store.adaptive_timeout import (
    TIMEOUT_MAX_S,
    TIMEOUT_MIN_S,
    AdaptiveTimeout,
)


def test_lost_response_of_a_fast_store_times_out_early():
    """Guards against a delay of two seconds for each lost response."""
    timeout = AdaptiveTimeout()
    for _ in range(50):
        timeout.record_response(0.012)
    assert timeout.timeout_s == TIMEOUT_MIN_S


def test_timeout_grows_for_a_slow_store():
    """Guards against a timeout so short that every call to a slow store fails."""
    timeout = AdaptiveTimeout()
    timeout.record_timeout()
    timeout.record_timeout()
    assert timeout.timeout_s == TIMEOUT_MAX_S
    timeout.record_response(1.1)
    assert timeout.timeout_s == TIMEOUT_MAX_S


def test_timeout_shrinks_after_a_slow_phase():
    """Guards against a timeout that stays long after the store is fast again."""
    timeout = AdaptiveTimeout()
    timeout.record_response(1.1)
    for _ in range(30):
        timeout.record_response(0.012)
    assert timeout.timeout_s == TIMEOUT_MIN_S
