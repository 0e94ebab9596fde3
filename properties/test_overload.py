"""Services whose queues get more work than their workers can do, by load pattern."""

import pytest

from properties.seeds import SEED
from standins.service_load import (
    ArrivalPhase,
    ArrivalStream,
    PoolSize,
    ServiceLoad,
)
from sycamorecroft.scheduling.job_ranking import JobRanking
from sycamorecroft.scheduling.pool_snapshot import PoolSnapshot

# Share of the work that the users want to be done in time on days with trouble.
IN_TIME_TARGET_RATIO = 0.53


class _EstimateRanking(JobRanking):
    """Ranking that trusts the estimates and counts no time for storing and ordering."""

    def needed_s(self, job):
        return job.critical_path_left.duration_s


def _run(phases, pool):
    return ServiceLoad([ArrivalStream("", phases)], pool, SEED).run()


@pytest.mark.parametrize("jobs_per_s", [14, 20, 30])
def test_steady_overload_does_not_make_all_jobs_a_little_late(monkeypatch, jobs_per_s):
    """Guards against starting each job when it can just no longer be in time.

    Earliest deadline first does that under overload if the time for storing the
    assignment, sending the order and storing the outcome isn't counted.
    """
    phases = [ArrivalPhase(8.0, jobs_per_s)]
    pool = PoolSize(16, 16)
    result = _run(phases, pool)
    monkeypatch.setattr(
        "sycamorecroft.scheduling.scheduler.JobRanking", _EstimateRanking
    )
    by_estimate = _run(phases, pool)
    assert result.in_time_count > result.late_count
    assert result.in_time_work_ratio > by_estimate.in_time_work_ratio


def test_light_load_is_done_in_time():
    """Guards against a ranking that delays jobs although there is room for all."""
    result = _run([ArrivalPhase(8.0, 7)], PoolSize(16, 16))
    assert result.late_count == result.incomplete_count == 0


def _demand_of_present_load(snapshot):
    """Returns the demand without what arrives while tasks wait."""
    used = sum(worker.used.cpu_millicores for worker in snapshot.workers)
    present = used + snapshot.waiting.cpu_millicores
    return max(present, 0.7 * snapshot.arriving_millicores)


@pytest.mark.parametrize(
    "phases",
    [
        pytest.param([ArrivalPhase(8.0, 36), ArrivalPhase(12.0, 2)], id="fivefold"),
        pytest.param(
            [ArrivalPhase(3.0, 20), ArrivalPhase(6.0, 50), ArrivalPhase(8.0, 30)],
            id="rising",
        ),
    ],
)
def test_growth_for_arriving_work_does_more_in_time(monkeypatch, phases):
    """Guards against a pool that grows only as fast as its backlog does."""
    pool = PoolSize(20, 80)
    result = _run(phases, pool)
    monkeypatch.setattr(
        PoolSnapshot, "demand_millicores", property(_demand_of_present_load)
    )
    assert result.in_time_work_ratio > _run(phases, pool).in_time_work_ratio


def test_fivefold_load_is_done_in_time_by_a_pool_that_grows():
    """Guards against a pool that grows only as fast as its backlog does."""
    result = _run([ArrivalPhase(8.0, 36), ArrivalPhase(12.0, 2)], PoolSize(20, 80))
    assert result.in_time_work_ratio > IN_TIME_TARGET_RATIO


def test_load_that_keeps_rising_is_done_in_time_by_a_pool_that_grows():
    """Guards against a pool that is always one move behind a rising load."""
    phases = [ArrivalPhase(3.0, 20), ArrivalPhase(6.0, 50), ArrivalPhase(8.0, 30)]
    result = _run(phases, PoolSize(20, 80))
    assert result.in_time_work_ratio > IN_TIME_TARGET_RATIO
