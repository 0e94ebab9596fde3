"""Tests of the measured load of a service, named by load pattern."""

from standins.service_driver import queue_of, step_of
from sycamorecroft.scheduling.jobs import Job
from sycamorecroft.scheduling.load_report import LoadReport
from sycamorecroft.scheduling.model import JobSpec
from sycamorecroft.scheduling.rows import JobRow

WORK_MILLICORE_S = 800


def _arriving(times_s, now_s):
    report = LoadReport("rating", 1)
    for number, at_s in enumerate(times_s):
        row = JobRow(queue_of(), JobSpec("x", (step_of(1, 1000),)), 0)
        report.record_arrival(Job(f"j{number}", row, at_s, 0), at_s)
    return report.snapshot((), (), now_s).arriving_millicores


def test_begin_of_a_peak_is_seen_within_a_quarter_of_a_second():
    """Guards against machines that are asked for a second after a turn began."""
    peak_per_s = 60
    times_s = [number / peak_per_s for number in range(15)]
    assert _arriving(times_s, 0.25) >= 0.7 * peak_per_s * WORK_MILLICORE_S


def test_two_jobs_together_are_no_peak():
    """Guards against machines that move for a coincidence."""
    assert _arriving([0.9, 0.95], 1.0) <= 3 * WORK_MILLICORE_S


def test_steady_arrivals_are_not_overstated():
    """Guards against a pool that grows beyond its demand."""
    per_s = 20
    times_s = [number / per_s for number in range(2 * per_s)]
    assert _arriving(times_s, 2.0) <= 1.1 * per_s * WORK_MILLICORE_S


def test_single_job_asks_for_nothing_ahead():
    """Guards against a rate that is derived from one job."""
    assert _arriving([0.99], 1.0) == 0
