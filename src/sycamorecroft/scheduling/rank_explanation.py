"""Tells which jobs get their turn before a job, and why."""

from sycamorecroft.scheduling.dry_run import DryRun
from sycamorecroft.scheduling.job_ranking import JobRanking
from sycamorecroft.scheduling.jobs import Job
from sycamorecroft.scheduling.placement_explanation import Before, RankExplanation

# Reasons besides the criteria of the ranking.
HELD_WORKERS = "held_workers"
SHARE = "share"
SHOWN_JOBS_COUNT = 5


def explain_rank(dry_run: DryRun) -> RankExplanation:
    """
    :returns: place of the dry run's job among the waiting jobs.
    """
    state, job = dry_run.state, dry_run.job
    ids = dry_run.ranked_jobs()
    position = ids.index(job.id)
    groups: dict[str, list[str]] = {}
    for other_id in ids[:position]:
        reason = _reason(dry_run, state.jobs[other_id])
        groups.setdefault(reason, []).append(other_id)
    needed_s = state.ranking.needed_s(job)
    objective_in_s = job.objective_end_s - state.taken_s
    return RankExplanation(
        position + 1,
        len(state.jobs),
        job.queue.priority,
        job.is_long_running,
        job.is_excess,
        needed_s > objective_in_s,
        round(objective_in_s, 3),
        round(needed_s, 3),
        tuple(
            Before(reason, len(names), tuple(names[:SHOWN_JOBS_COUNT]))
            for reason, names in groups.items()
        ),
    )


def _reason(dry_run: DryRun, other: Job) -> str:
    """Returns the criterion by which another job comes before."""
    state = dry_run.state
    if other.id in dry_run.held_jobs:
        return HELD_WORKERS
    return _criterion(state.ranking, other, dry_run.job, state.taken_s)


def _criterion(ranking: JobRanking, other: Job, job: Job, now_s: float) -> str:
    ranks = zip(ranking.rank(other, now_s), ranking.rank(job, now_s), strict=True)
    for criterion, (theirs, own) in zip(ranking.criteria, ranks, strict=True):
        if theirs != own:
            # Its rank is lower, so that the accounts' shares have decided.
            return criterion if theirs < own else SHARE
    return SHARE
