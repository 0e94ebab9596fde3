"""Tests of when a forecast may be acted on, named by the times of the rises."""

import pytest

from sycamorecroft.capacity.forecast import DemandForecaster, PoolRecord

MOVE_MS = 1500
PEAK_MS = 5000


def _forecaster(rises_ms, end_ms, peaks_count=(12.0,)):
    """
    :returns: the forecaster after one pool has risen at these times.
    """
    forecaster = DemandForecaster({}, MOVE_MS, 0)
    for now_ms in range(250, end_ms, 250):
        number = next(
            (n for n, r in enumerate(rises_ms) if r <= now_ms < r + PEAK_MS), None
        )
        peak_count = 0.0 if number is None else peaks_count[number % len(peaks_count)]
        forecaster.observe("p", max(1.0, peak_count), 6.0, now_ms)
    return forecaster


def test_first_prediction_is_not_acted_on():
    """Guards against moves by a prediction that was never right."""
    assert _forecaster([10_000, 30_000], 40_000).forecast("p") is None
    forecast = _forecaster([10_000, 30_000, 50_000], 60_000).forecast("p")
    assert forecast.expected_ms == 70_000


def test_irregular_rises():
    """Guards against moves by predictions that were more often wrong than right."""
    rises_ms = [10_000, 30_000, 50_000, 63_000, 92_000, 103_000, 140_000]
    assert _forecaster(rises_ms, 150_000).forecast("p") is None


@pytest.mark.parametrize("skipped", [3, 4])
def test_rise_that_is_missing_once(skipped):
    """Guards against a record that one missing rise makes useless."""
    rises_ms = [10_000 + number * 20_000 for number in range(8) if number != skipped]
    forecast = _forecaster(rises_ms, 160_000).forecast("p")
    assert forecast.expected_ms == 170_000


def test_additional_rise():
    """Guards against a regular rise that is forgotten because of an additional one."""
    rises_ms = [10_000, 30_000, 50_000, 70_000, 78_000]
    assert _forecaster(rises_ms, 85_000).forecast("p").expected_ms == 90_000


def test_time_of_a_forecast():
    """Guards against hosts that are kept after the time of a rise has passed."""
    forecast = _forecaster([10_000, 30_000, 50_000], 60_000).forecast("p")
    due = [ms for ms in range(60_000, 80_000, 250) if forecast.is_due(ms, MOVE_MS)]
    assert (due[0], due[-1]) == (66_750, 70_250)


def test_sizes_of_peaks_vary():
    """Guards against the moves for a full peak when sizes differ by several hosts."""
    rises_ms = [10_000 + number * 20_000 for number in range(6)]
    forecast = _forecaster(rises_ms, 120_000, (8.0, 14.0)).forecast("p")
    # The median is 14 hosts, and the median of the errors against earlier peaks is 3.
    assert forecast.hosts_count == 11.0


def test_rise_without_need_of_hosts():
    """Guards against rows and moves for rises that a pool serves by itself."""
    forecaster = _forecaster([10_000, 30_000, 50_000], 60_000, (5.0,))
    assert not forecaster.records


def test_rows_are_read_long_after_the_last_rise():
    """Guards against outcomes of rises that nobody observed."""
    records = _forecaster([10_000, 30_000, 50_000], 60_000).records
    later = DemandForecaster(records, MOVE_MS, 900_000)
    later.observe("p", 1.0, 6.0, 900_000)
    assert later.forecast("p") is None
    assert later.records == records
    assert isinstance(later.records["p"], PoolRecord)
