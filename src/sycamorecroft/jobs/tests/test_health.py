"""Quarantine of workers that fail for a long time."""

from sycamorecroft.jobs.health import QUARANTINE_MAX_S, WorkerHealth


def test_quarantine_stays_bounded_when_a_worker_never_recovers():
    """Guards against an overflow that ends the controller's step for good."""
    health = WorkerHealth()
    health.add_success("healthy", "rating")
    now_s = 0.0
    for job in range(1100):
        health.add_failure("broken", "rating", f"job-{job}", now_s)
        health.add_success("healthy", "rating")
        now_s += QUARANTINE_MAX_S
    assert health.is_quarantined("broken", now_s - 1.0)
    assert not health.is_quarantined("broken", now_s)
