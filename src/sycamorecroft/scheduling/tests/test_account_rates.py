"""Tests of the judgement of jobs by their account's rate, named by load pattern."""

from itertools import pairwise

import pytest

from standins.service_driver import (
    ServiceDriver,
    Site,
    make_fleet,
    make_queue,
    make_step,
)
from sycamorecroft.scheduling.account_rates import AccountRates, Submission
from sycamorecroft.scheduling.job_ranking import JobRanking
from sycamorecroft.scheduling.jobs import Job
from sycamorecroft.scheduling.model import JobSpec
from sycamorecroft.scheduling.rows import JobRow

START_MS = 1_000_000


def _rates(**weights):
    rates = AccountRates()
    rates.apply_accounts({a.name: a for a in make_fleet(**weights).accounts})
    return rates


def _flood(rates, account, *, jobs_per_s, duration_s, from_ms=START_MS):
    """Returns the number of jobs within the rate."""
    count = int(jobs_per_s * duration_s)
    times = [from_ms + int(1000 * n / jobs_per_s) for n in range(count)]
    return sum(
        not rates.take(Submission(0, "j", account, at_ms), at_ms) for at_ms in times
    )


def test_one_account_floods():
    """Guards against jobs beyond the rate, by a burst of a second, that rank first."""
    rates = _rates(north=20.0, south=4.0)
    within_count = _flood(rates, "north", jobs_per_s=150, duration_s=5)
    assert within_count == pytest.approx(20 * 6, abs=1)
    assert _flood(rates, "south", jobs_per_s=4, duration_s=5) == 20


def test_smallest_account_may_send_one_job():
    """Guards against a burst of less than a job, which would never be within a rate."""
    rates = _rates(north=0.25)
    assert _flood(rates, "north", jobs_per_s=0.25, duration_s=40) == 10


def test_an_account_returns():
    """Guards against an account that is held to what it did before a pause."""
    rates = _rates(north=10.0)
    _flood(rates, "north", jobs_per_s=75, duration_s=3)
    later_ms = START_MS + 4000
    assert _flood(rates, "north", jobs_per_s=10, duration_s=2, from_ms=later_ms) == 20


def test_weights_change():
    """Guards against a rate or a burst of a former configuration."""
    rates = _rates(north=10.0)
    _flood(rates, "north", jobs_per_s=1, duration_s=2)
    rates.apply_accounts({a.name: a for a in make_fleet(north=2.0).accounts})
    later_ms = START_MS + 10_000
    count = _flood(rates, "north", jobs_per_s=50, duration_s=1, from_ms=later_ms)
    assert count == pytest.approx(4, abs=1)


def test_clock_of_an_entry_host_is_ahead():
    """Guards against a bucket that isn't refilled until other clocks catch up."""
    rates = _rates(north=10.0)
    for _ in range(10):
        ahead = Submission(0, "j", "north", START_MS + 60_000)
        assert not rates.take(ahead, START_MS)
    later_ms = START_MS + 1000
    assert _flood(rates, "north", jobs_per_s=10, duration_s=2, from_ms=later_ms) == 20


def test_jobs_of_unknown_accounts_share_the_smallest_rate():
    """Guards against jobs that avoid all rates by having no configured account."""
    rates = _rates(north=20.0, south=4.0)
    count = _flood(rates, "", jobs_per_s=100, duration_s=2)
    count += _flood(rates, "gone", jobs_per_s=100, duration_s=2)
    assert count == pytest.approx(12, abs=1)


def test_without_accounts_no_job_is_excess():
    """Guards against rates in a deployment that has no client accounts."""
    rates = _rates(north=1.0)
    rates.apply_accounts(None)
    assert _flood(rates, "north", jobs_per_s=100, duration_s=2) == 200


def _submit_flood(site, *, first, count, account="north"):
    for number in range(first, first + count):
        site.submit(f"j{number:03}", make_step(), account=account)
        site.advance(0.01)


def _excess(owner):
    return {job.id for job in owner.scheduler.jobs.values() if job.is_excess}


@pytest.mark.parametrize("ended_share", [0.0, 0.5])
def test_takeover_during_a_flood(ended_share):
    """Guards against a new owner that judges excess jobs as within the rate.

    With a share of the jobs within the rate ended, only rows of ended jobs tell the new
    owner that the others were sent beyond it.
    """
    site = Site(workers_count=0)
    fleet = make_fleet(north=10.0, south=1.0)
    former = ServiceDriver(site, 1, fleet=fleet)
    _submit_flood(site, first=0, count=60)
    former.step()
    _submit_flood(site, first=60, count=60)
    former.step()
    judged = _excess(former)
    assert 90 < len(judged) < 105
    within = sorted(set(former.scheduler.jobs) - judged)
    for job_id in within[: int(ended_share * len(within))]:
        site.cancel(job_id)
    former.step()
    site.advance(2.0)
    successor = ServiceDriver(site, 2, fleet=fleet)
    assert _excess(successor) == judged


def test_configuration_gains_accounts():
    """Guards against jobs that no rate counts since they came before the accounts."""
    site = Site(workers_count=0)
    owner = ServiceDriver(site, 1)
    _submit_flood(site, first=0, count=40)
    owner.step()
    assert not _excess(owner)
    owner.scheduler.apply_fleet(make_fleet(north=10.0))
    assert 25 <= len(_excess(owner)) <= 30


def test_long_running_and_scheduled_jobs_are_not_counted():
    """Guards against services and schedules that use up the rate of short jobs."""
    site = Site(workers_count=0)
    owner = ServiceDriver(site, 1, fleet=make_fleet(north=1.0))
    for number in range(5):
        site.submit(f"l{number}", make_step(is_long_running=True), account="north")
    site.submit("j", make_step(), account="north")
    owner.step()
    assert not _excess(owner)


def _ranked_job(job_id, *, age_s=0.0, is_excess=False, priority=0, **step_fields):
    row = JobRow(
        make_queue(priority=priority),
        JobSpec("t", (make_step(1, **step_fields),)),
        int((100.0 - age_s) * 1000),
    )
    job = Job(job_id, row, 100.0, 100_000)
    job.is_excess = is_excess
    return job


def test_ranking_with_accounts():
    """Guards against a flood that delays jobs within the rate, also late ones."""
    ranking = JobRanking()
    ranking.has_accounts = True
    jobs = [
        _ranked_job("urgent", is_excess=True, age_s=60.0),
        _ranked_job("service", is_long_running=True, priority=1, age_s=60.0),
        _ranked_job("timely", priority=1, age_s=0.2),
        _ranked_job("timely-later", priority=1),
        _ranked_job("late", priority=1, age_s=3.0),
        _ranked_job("useless", priority=1, age_s=30.0),
        _ranked_job("excess", priority=1, is_excess=True),
        _ranked_job("excess-late", priority=1, is_excess=True, age_s=3.0),
    ]
    ranks = [ranking.rank(job, 100.0) for job in jobs]
    assert all(first < second for first, second in pairwise(ranks))


def test_ranking_without_accounts_ignores_rates():
    """Guards against another order in a deployment that has no client accounts."""
    excess = _ranked_job("excess", is_excess=True, age_s=0.2)
    assert JobRanking().rank(excess, 100.0) == (
        0,
        True,
        False,
        excess.objective_end_s,
        "excess",
    )
