"""Quarantine of workers that fail jobs over weeks."""

from sycamorecroft.jobs.health import QUARANTINE_MAX_S, WorkerHealth


def test_quarantine_is_bounded_for_worker_that_never_recovers():
    """Guards against a float overflow that makes each step of the controller fail."""
    health = WorkerHealth()
    health.add_success("healthy", "rating")
    now_s = 0.0
    for job in range(1100):
        health.add_failure("broken", "rating", f"job-{job}", now_s)
        health.add_success("healthy", "rating")
        now_s += QUARANTINE_MAX_S
    assert health.is_quarantined("broken", now_s - 1.0)
    assert not health.is_quarantined("broken", now_s)
