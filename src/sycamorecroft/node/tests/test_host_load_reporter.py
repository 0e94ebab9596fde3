"""Tests of the load that an entry host measures and logs about itself."""

import pytest
import structlog

from sycamorecroft.clock import ManualClock
from sycamorecroft.node.host_load_reporter import HostLoadReporter, measure_load
from sycamorecroft.settings.node import HostCapacitySettings
from sycamorecroft.traffic import Traffic, TrafficMeter

CAPACITY = HostCapacitySettings(
    processor_share_ratio=0.5, processor_speed_ratio=1.0, link_mbps=8.0
)


def test_load_relates_the_busier_direction_to_the_link():
    """Guards against a full link that the log shows as half empty."""
    before = {"orders": Traffic(1000, 0)}
    after = {"orders": Traffic(601_000, 100_000), "feed jobs": Traffic(0, 300_000)}
    load = measure_load(before, after, 0.4, 2.0, CAPACITY)
    assert load.traffic_per_s["orders"] == Traffic(300_000, 50_000)
    assert load.link_ratio == 0.3
    assert load.processor_ratio == 0.4


def test_processor_load_relates_to_the_speed_of_the_processor():
    """Guards against a ratio of 3 on an entry host with a processor of 3 cores."""
    capacity = HostCapacitySettings(
        processor_share_ratio=0.7, processor_speed_ratio=3.0
    )
    load = measure_load({}, {}, 2.1, 1.0, capacity)
    assert load.processor_ratio == pytest.approx(1.0)


def _logged_loads(services, sent_bytes):
    traffic = TrafficMeter()
    clock = ManualClock()
    reporter = HostLoadReporter(traffic, clock, CAPACITY, lambda: services)
    traffic.record("orders", sent_bytes, 0)
    clock.advance(1000.0)
    with structlog.testing.capture_logs() as lines:
        reporter.report()
    return [line for line in lines if line["event"] == "host_load"]


def test_owner_logs_its_load_by_use():
    """Guards against a slow owner whose log doesn't say what its link carries."""
    (line,) = _logged_loads(["rating"], 500_000)
    assert line["services"] == ["rating"]
    assert line["traffic_bytes_per_s"] == {"orders": [500, 0]}


def test_idle_entry_host_logs_its_load_only_when_loaded():
    """Guards against lines of idle hosts that hide those of the owners."""
    assert not _logged_loads([], 1000)
    assert _logged_loads([], 600_000_000)
