"""Tests of the bound on a worker's lease."""

from sycamorecroft.scheduling.worker_clock import WorkerClock


def test_lease_of_a_worker_out_of_reach_is_not_extended():
    """Guards against a lease that each failed attempt to reach a worker extends."""
    clock = WorkerClock(6.0)
    clock.observe(1000, 10.0)
    clock.record_answer()
    assert clock.extend(10.0, 100.0) == 7000
    assert clock.extend(12.0, 100.0) == 7000
    clock.observe(4000, 13.0)
    clock.record_answer()
    assert clock.extend(13.0, 100.0) == 10000


def test_lease_end_allows_for_a_slow_clock():
    """Guards against a second run while a slow worker still has its lease."""
    clock = WorkerClock(6.0)
    clock.observe(1000, 10.0)
    clock.record_answer()
    clock.extend(10.0, 100.0)
    assert clock.lease_end_s() >= 10.0 + 6.0 / 0.98


def test_no_lease_beyond_the_limit_of_an_owner_without_the_store():
    """Guards against leases of a former owner that outlast the takeover's wait."""
    clock = WorkerClock(6.0)
    clock.observe(1000, 10.0)
    clock.record_answer()
    assert clock.extend(10.0, 12.0) == 3000


def test_first_list_has_no_deadline():
    """Guards against a deadline on a clock that was never read."""
    assert WorkerClock(6.0).extend(10.0, 100.0) is None
