"""Tests of the measured load of a service, named by load pattern."""

import pytest

from standins.service_driver import make_queue, make_step
from sycamorecroft.scheduling.jobs import Job
from sycamorecroft.scheduling.load_monitor import LoadMonitor
from sycamorecroft.scheduling.model import JobSpec
from sycamorecroft.scheduling.rows import JobRow


@pytest.fixture
def monitor():
    return LoadMonitor("rating", 1)


def _job(tasks_count):
    spec = JobSpec("", (make_step(tasks_count),))
    return Job("j", JobRow(make_queue(), spec, 0), 0.0, 0)


def _arrive(monitor, from_s, until_s, interval_s):
    count = round((until_s - from_s) / interval_s)
    for number in range(count):
        monitor.record_arrival(_job(1), from_s + number * interval_s)


def _arriving(monitor, now_s):
    return monitor.snapshot((), (), now_s).arriving_millicores


def test_burst_of_jobs_is_seen_within_a_quarter_of_a_second(monitor):
    """Guards against a pool that grows a second after its load has risen."""
    _arrive(monitor, 0.0, 10.0, 0.1)
    assert _arriving(monitor, 10.0) < 10 * 800
    _arrive(monitor, 10.0, 10.25, 0.005)
    assert _arriving(monitor, 10.25) > 0.8 * 200 * 800


def test_single_large_job_is_no_rate(monitor):
    """Guards against a pool that grows for jobs which won't come."""
    monitor.record_arrival(_job(100), 0.0)
    assert _arriving(monitor, 0.0) == 0


def test_end_of_a_burst_is_seen_within_a_second(monitor):
    """Guards against hosts that are kept for work which no longer arrives."""
    _arrive(monitor, 0.0, 1.0, 0.005)
    assert _arriving(monitor, 2.01) == 0
