"""Order in which waiting jobs are placed on workers."""

from sycamorecroft.scheduling.jobs import Job


def job_rank(job: Job, now_s: float) -> tuple[float | str, ...]:
    """Ranks waiting jobs; the lowest rank is placed first.

    Within a priority, long-running jobs come first, since others depend on them. Then
    come jobs that can still meet their objective, earliest deadline first. Jobs that
    will miss theirs come last, so that overload doesn't make every job late.

    :returns: key to sort by.
    """
    end_s = job.objective_end_s
    is_late = now_s + job.critical_path_left_s > end_s
    return (job.queue.priority, not job.is_long_running, is_late, end_s, job.id)
