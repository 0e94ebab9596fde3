"""Tests of waits for workers near the data under whole loads, in virtual time."""

import pytest

from standins.near_wait_load import NearLoad, decide_no_wait, fixed_delay, play
from sycamorecroft.scheduling.near_wait import decide_wait

# 3 racks of 3 workers run 72 tasks, nine jobs a second near their data.
SMALL = NearLoad((8.0,), racks_count=3, workers_per_rack_count=3, phase_s=6.0)
SEED = 1


def test_busy_pool_whose_tasks_wait_is_not_overloaded_by_far_runs():
    """Guards against far runs that take three places each and fill the pool."""
    hasty = play(SMALL, decide_no_wait, SEED)
    result = play(SMALL, decide_wait, SEED)
    assert result.in_time_ratio > hasty.in_time_ratio + 0.2
    assert result.mean_s < hasty.mean_s
    assert result.far_ratio < 0.1


def test_peak_that_fills_the_pool_ends_sooner_with_waits():
    """Guards against a peak that the far runs of a full pool prolong."""
    load = SMALL._replace(jobs_per_s=(1.0, 18.0, 1.0), phase_s=4.0)
    hasty = play(load, decide_no_wait, SEED)
    result = play(load, decide_wait, SEED)
    assert result.useful_ratio > hasty.useful_ratio + 0.2
    assert result.mean_s < hasty.mean_s


@pytest.mark.parametrize("hot_ratio", [0.5, 1.0])
def test_many_jobs_that_want_one_rack_use_the_others_too(hot_ratio):
    """Guards against a hot rack whose tasks wait until they are of no use."""
    load = SMALL._replace(jobs_per_s=(4.0,), hot_ratio=hot_ratio)
    hasty = play(load, decide_no_wait, SEED)
    patient = play(load, fixed_delay(10.0), SEED)
    result = play(load, decide_wait, SEED)
    assert result.in_time_ratio > hasty.in_time_ratio
    assert result.useful_ratio >= patient.useful_ratio
    assert result.mean_s <= min(hasty.mean_s, patient.mean_s) * 1.1


def test_waits_are_bounded_if_all_estimates_are_ten_times_too_low():
    """Guards against tasks that wait for ever for runs longer than expected."""
    load = SMALL._replace(jobs_per_s=(0.8,), phase_s=30.0, bias_ratio=10.0)
    hasty = play(load, decide_no_wait, SEED)
    result = play(load, decide_wait, SEED)
    assert result.mean_s <= hasty.mean_s
