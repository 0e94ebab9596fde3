"""Tests that the metrics catalogue, its page and the exported metrics agree."""

from pathlib import Path

from sycamorecroft.metrics import METRICS, render_page
from sycamorecroft.telemetry import MetricValue, Telemetry

PAGE = Path(__file__).parents[3] / "docs" / "metrics.md"


def test_page_matches_catalogue():
    """Guards against metrics that are missing from the page or outdated on it."""
    assert PAGE.read_text(encoding="utf-8") == render_page()


def test_metrics_are_exported_under_the_names_on_the_page():
    """Guards against names on the page that differ from the exported ones."""
    telemetry = Telemetry()
    try:
        telemetry.count_request("rating", "run")
        telemetry.count_refusal(None, "not_ready")
        telemetry.count_retry("rating", "connect_failed")
        telemetry.record_queue_time("rating", 0.2)
        telemetry.record_service_time("rating", 0.2)
        for metric in METRICS[5:]:
            attributes = dict.fromkeys(metric.attributes, "x")
            values = [MetricValue(1, attributes)]
            telemetry.observe(metric, lambda values=values: values)
        text = telemetry.render().decode()
    finally:
        telemetry.shutdown()
    missing = [
        metric.name for metric in METRICS if f"\n{metric.exported_name}" not in text
    ]
    assert not missing
    assert 'reason="connect_failed",service="rating"} 1.0' in text
    assert 'sycamorecroft_queue_time_seconds_bucket{le="0.25",' in text
