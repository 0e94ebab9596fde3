"""Placement of jobs on workers, size correction and quarantine."""

from sycamorecroft.configuration.fleet import Urgency
from sycamorecroft.jobs.health import QUARANTINE_FIRST_S, WorkerHealth
from sycamorecroft.jobs.placement import PlacementInput, QueuedJob, TeamShare, place
from sycamorecroft.jobs.usage import OBSERVATIONS_MIN_COUNT, UsageStatistics
from sycamorecroft.jobs.workers import Worker
from sycamorecroft.store.interfaces import TaskSize

TEAMS = {"red": TeamShare(1.0, 100), "blue": TeamShare(1.0, 100)}


def job(name, processors_count=1.0, team="red", urgency=Urgency.NORMAL, **changes):
    size = TaskSize(processors_count, 1, changes.pop("accelerators_count", 0))
    return QueuedJob(name, team, urgency, size, 0.0)._replace(**changes)


def worker(name, processors_count=8.0, accelerators_count=0, is_active=True):
    return Worker(name, TaskSize(processors_count, 100, accelerators_count), is_active)


def place_jobs(queued, workers, **changes):
    state = PlacementInput(
        workers=workers,
        granted={},
        blocked_workers=frozenset(),
        queued=queued,
        teams=TEAMS,
        running_counts={},
        now_s=0.0,
        reserve_after_s=60.0,
        limit_count=1000,
    )
    return place(state._replace(**changes))


def test_best_fit_preserves_large_free_capacity():
    """Guards against small jobs spread out so that a large one fits on no worker."""
    workers = [worker("a"), worker("b")]
    granted = {"b": TaskSize(5.0, 0, 0)}
    queued = [job("small", 3.0), job("large", 8.0)]
    assert place_jobs(queued, workers, granted=granted) == (
        ("small", "b"),
        ("large", "a"),
    )


def test_jobs_without_accelerators_prefer_workers_without_them():
    """Guards against accelerators left unused on workers full of other jobs."""
    workers = [worker("gpu", accelerators_count=2), worker("plain")]
    queued = [job("plain", 4.0), job("gpu", 8.0, accelerators_count=2)]
    assert place_jobs(queued, workers) == (("plain", "plain"), ("gpu", "gpu"))


def test_teams_share_by_weight_within_their_quotas():
    """Guards against one team's backlog that uses all workers."""
    queued = [job(f"r{n}") for n in range(50)]
    queued += [job(f"b{n}", team="blue") for n in range(50)]
    teams = {"red": TeamShare(1.0, 100), "blue": TeamShare(3.0, 100)}
    result = place_jobs(queued, [worker("a")], teams=teams)
    assert sum(item.job_id.startswith("b") for item in result) == 6
    teams["blue"] = TeamShare(3.0, 2)
    result = place_jobs(queued, [worker("a")], teams=teams)
    assert sum(item.job_id.startswith("b") for item in result) == 2
    assert len(result) == 8


def test_urgent_jobs_are_placed_first():
    """Guards against urgent jobs that wait behind a backlog of bulk jobs."""
    queued = [job(f"n{n}", urgency=Urgency.BULK) for n in range(20)]
    queued.append(job("urgent", team="blue", urgency=Urgency.URGENT))
    assert place_jobs(queued, [worker("a")])[0].job_id == "urgent"


def test_jobs_that_do_not_fit_use_no_share_of_their_team():
    """Guards against a team whose share is used up by its jobs that don't fit."""
    queued = [job(f"big{n}", 9.0) for n in range(200)] + [job("fits")]
    teams = {"red": TeamShare(1.0, 1)}
    assert place_jobs(queued, [worker("a")], teams=teams) == (("fits", "a"),)


def test_one_worker_is_reserved_for_longest_waiting_job():
    """Guards against a large job that is starved by small or more urgent jobs."""
    workers = [worker("a"), worker("b")]
    granted = {"a": TaskSize(1.0, 0, 0), "b": TaskSize(2.0, 0, 0)}
    queued = [job("large", 8.0), job("other", 8.0, team="blue")]
    queued += [job(f"s{n}", urgency=Urgency.URGENT) for n in range(20)]
    result = place_jobs(queued, workers, granted=granted)
    assert len(result) == 7 + 6
    queued[:2] = [item._replace(queued_s=-60.0) for item in queued[:2]]
    result = place_jobs(queued, workers, granted=granted)
    assert {item.worker for item in result} == {"b"}
    assert place_jobs(queued, workers)[0].job_id == "large"


def test_inactive_blocked_and_excluded_workers_get_no_jobs():
    """Guards against jobs placed on draining or quarantined hosts."""
    workers = [worker("off", is_active=False), worker("blocked"), worker("excluded")]
    queued = [job("job", excluded_workers=frozenset({"excluded"}))]
    assert place_jobs(queued, workers, blocked_workers=frozenset({"blocked"})) == ()


def test_sizes_are_corrected_by_95th_percentile_of_usage():
    """Guards against unused capacity due to declared sizes that are far too large."""
    usage = UsageStatistics()
    declared = TaskSize(8.0, 1000, 1)
    for n in range(OBSERVATIONS_MIN_COUNT):
        assert usage.corrected("rating", declared) == declared
        usage.add("rating", declared=declared, peak=TaskSize(2.0, 100 + n, 0))
    assert usage.corrected("rating", declared) == TaskSize(2.0, 119, 1)


def test_quarantine_requires_success_on_other_workers_and_grows():
    """Guards against quarantine of healthy workers for jobs that fail everywhere."""
    health = WorkerHealth()
    for n in range(9):
        assert not health.add_failure(f"w{n % 3}", "rating", f"job-{n}", 0.0)
    for _ in range(20):
        health.add_success("w1", "rating")
    for repeated in ("x", "x", "x"):
        assert not health.add_failure("bad", "rating", repeated, 0.0)
    assert not health.add_failure("bad", "rating", "y", 0.0)
    assert health.add_failure("bad", "rating", "z", 0.0)
    assert health.is_quarantined("bad", QUARANTINE_FIRST_S - 1)
    quarantine_end_s = QUARANTINE_FIRST_S
    assert not health.is_quarantined("bad", quarantine_end_s)
    assert health.add_failure("bad", "rating", "v", quarantine_end_s)
    assert health.is_quarantined("bad", quarantine_end_s + 2 * QUARANTINE_FIRST_S - 1)
