"""Placement of random jobs on random pools, checked against sizes and quotas."""

from collections import Counter

from hypothesis import given, seed, settings, strategies as st

from properties.seeds import SEED
from sycamorecroft.configuration.fleet import Urgency
from sycamorecroft.jobs.placement import (
    PlacementInput,
    QueuedJob,
    TeamShare,
    fits,
    place,
)
from sycamorecroft.jobs.workers import Worker
from sycamorecroft.store.interfaces import TaskSize

sizes = st.builds(
    TaskSize,
    st.sampled_from([0.5, 1.0, 2.0, 4.0, 8.0]),
    st.integers(1, 8),
    st.integers(0, 2),
)
workers_lists = st.lists(sizes, min_size=1, max_size=6).map(
    lambda items: tuple(Worker(f"w{n}", size, True) for n, size in enumerate(items))
)
jobs_lists = st.lists(
    st.tuples(st.sampled_from("abc"), st.sampled_from(list(Urgency)), sizes),
    max_size=30,
).map(
    lambda items: tuple(
        QueuedJob(f"j{n}", team, urgency, size, 0.0)
        for n, (team, urgency, size) in enumerate(items)
    )
)


def subtract(free, size):
    return TaskSize(*(a - b for a, b in zip(free, size, strict=True)))


@seed(SEED)
@settings(max_examples=300, deadline=None, database=None)
@given(workers=workers_lists, queued=jobs_lists, quota_count=st.integers(0, 12))
def test_placement_keeps_sizes_and_quotas_and_places_each_job_that_fits(
    workers, queued, quota_count
):
    """Guards against overcommitted workers, exceeded quotas and jobs left waiting."""
    state = PlacementInput(
        workers=workers,
        granted={},
        blocked_workers=frozenset(),
        queued=queued,
        teams={team: TeamShare(1.0, quota_count) for team in "abc"},
        running_counts={},
        now_s=0.0,
        reserve_after_s=60.0,
        limit_count=1000,
    )
    free = {worker.name: worker.size for worker in workers}
    by_id = {job.job_id: job for job in queued}
    counts = Counter()
    for job_id, worker in place(state):
        job = by_id.pop(job_id)
        assert fits(job.size, free[worker])
        free[worker] = subtract(free[worker], job.size)
        counts[job.team] += 1
    assert all(count <= quota_count for count in counts.values())
    for job in by_id.values():
        is_at_quota = counts[job.team] == quota_count
        assert is_at_quota or not any(fits(job.size, size) for size in free.values())
