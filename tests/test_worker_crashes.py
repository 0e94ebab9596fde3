"""Tests of workers whose processes are killed and start again under their ids."""

import time

import pytest

from soak.crash_checks import find_overlaps, find_repeats, find_runs
from soak.crash_run import CRASH_INTERVAL_S, play
from soak.crash_site import CrashSite

CRASHES_COUNT = 10
SETTLE_S = 3.0
SEEDS = (1, 2)
DISRUPTED_CRASHES_COUNT = 6


def test_tasks_run_once_while_processes_of_workers_are_killed():
    """Guards against a second run of a task beside the first one, or after an end that
    was acknowledged, when the worker that has started a task last is killed.
    """
    site = CrashSite()
    try:
        site.start()
        for number in range(CRASHES_COUNT):
            time.sleep(CRASH_INTERVAL_S)
            site.latest_starter().crash(registers_at_once=number % 2 == 0)
        time.sleep(SETTLE_S)
    finally:
        site.close()
    runs = find_runs(site.workers)
    assert any(len(group) > 1 for group in runs.values()), "no crash has ended a run"
    assert not find_overlaps(runs)
    assert not find_repeats(site.workers, runs)


@pytest.mark.parametrize("seed", SEEDS)
def test_tasks_run_once_when_another_disruption_meets_the_crash_of_a_worker(seed):
    """Guards against second runs and lost tasks when a worker crashes as an end is
    reported, twice in a heartbeat, or while its owner or the store is away.
    """
    result = play(seed, DISRUPTED_CRASHES_COUNT)
    assert not result.broken, f"logs of the nodes are in {result.folder}"
    assert result.repeated_count, "no crash has ended a run"
