"""Tests of the bound on the leases of a worker's runs."""

from sycamorecroft.scheduling.worker_clock import WorkerClock


def test_lease_of_an_unreachable_worker_is_not_extended():
    """Guards against a lease that is extended by each unanswered call."""
    clock = WorkerClock(6.0)
    clock.observe(1000, 10.0)
    clock.record_answer()
    assert clock.extend(10.0, 100.0) == 7000
    assert clock.extend(12.0, 100.0) == 7000
    clock.observe(4000, 13.0)
    clock.record_answer()
    assert clock.extend(13.0, 100.0) == 10000


def test_lease_end_allows_for_a_slow_clock():
    """Guards against a second run while a worker with a slow clock keeps its lease."""
    clock = WorkerClock(6.0)
    clock.observe(1000, 10.0)
    clock.record_answer()
    clock.extend(10.0, 100.0)
    assert clock.lease_end_s() >= 10.0 + 6.0 / 0.98


def test_lease_does_not_exceed_the_limit_during_a_store_outage():
    """Guards against leases of a former owner that outlast the wait of a takeover.

    The worker's clock may be slow, so that the lease must end earlier by that.
    """
    clock = WorkerClock(6.0)
    clock.observe(1000, 10.0)
    clock.record_answer()
    assert clock.extend(10.0, 12.0) == 1000 + 1960
    assert clock.lease_end_s() <= 12.0


def test_first_renewal_has_no_deadline():
    """Guards against a deadline on a worker clock that isn't known yet."""
    assert WorkerClock(6.0).extend(10.0, 100.0) is None
