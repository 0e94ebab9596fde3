"""Tests that each invariant check rejects a violation and accepts the limit."""

import pytest

from sycamorecroft.errors import InvariantError
from sycamorecroft.invariants import (
    PoolAvailability,
    check_answer_matches_request,
    check_availability_budget,
    check_drained_before_exit,
    check_job_single_attempt,
    check_no_grant_to_draining,
    check_not_run_is_true,
    check_single_dispatch,
    check_single_pool,
    check_slots_within_limit,
    check_version_never_falls,
)

VIOLATIONS = {
    "I1": lambda: check_availability_budget(PoolAvailability("rating", 8, 3, 0.25)),
    "I2": lambda: check_single_pool([("w1", "rating"), ("w1", "hotline")]),
    "I3": lambda: check_answer_matches_request("r1", "r2"),
    "I4": lambda: check_not_run_is_true("r1", bytes_sent=True, refused=False),
    "I5": lambda: check_single_dispatch("r1", 1),
    "I6": lambda: check_no_grant_to_draining("w1", 0.1),
    "I7": lambda: check_drained_before_exit(1),
    "I8": lambda: check_version_never_falls(6, 5),
    "I9": lambda: check_job_single_attempt("j1", [1, 2]),
    "I10": lambda: check_slots_within_limit({"w1": 9}, {"w1": 8}),
}


@pytest.mark.parametrize("invariant", VIOLATIONS)
def test_violation_is_detected(invariant):
    """Guards against a check that accepts a violation of its invariant."""
    with pytest.raises(InvariantError, match=f"^{invariant}:"):
        VIOLATIONS[invariant]()


def test_checks_accept_values_at_the_limit():
    """Guards against a check that rejects values at the limit of its invariant."""
    check_availability_budget(PoolAvailability("rating", 8, 2, 0.25))
    check_single_pool([("w1", "rating"), ("w2", "rating")])
    check_answer_matches_request("r1", None)
    check_not_run_is_true("r1", bytes_sent=True, refused=True)
    check_version_never_falls(5, 5)
    check_slots_within_limit({"w1": 8}, {"w1": 8})
