"""Order in which waiting jobs get room."""

from sycamorecroft.scheduling.jobs import Job
from sycamorecroft.scheduling.model import JobSpec


def chain_ms(spec: JobSpec, done_steps: frozenset[int] = frozenset()) -> float:
    """
    :param done_steps: steps that take no more time.
    :returns: estimated time of the longest chain of steps.
    """
    ends: list[float] = []
    for number, step in enumerate(spec.steps):
        begin = max((ends[other] for other in step.after), default=0.0)
        duration = 0.0 if number in done_steps else step.estimate_ms
        ends.append(begin + duration)
    return max(ends, default=0.0)


def objective_end_s(job: Job) -> float:
    """
    :returns: monotonic time until which the job's result counts in full.
    """
    allowed_ms = job.queue.stretch_ratio * chain_ms(job.spec) + job.queue.objective_ms
    return job.due_s + allowed_ms / 1000


def job_rank(job: Job, now_s: float) -> tuple[float, ...]:
    """Ranks waiting jobs; the lowest gets room first.

    Within a priority, long-running jobs come first, since others depend on them. Then
    come jobs that can still meet their objective, those with the least time to spare
    first. Jobs that can't meet it any more get the room that is left, so that overload
    doesn't make every job late.

    :returns: key to sort by.
    """
    remaining_s = chain_ms(job.spec, job.done_steps()) / 1000
    spare_s = objective_end_s(job) - now_s - remaining_s
    is_late = spare_s < 0
    return (job.queue.priority, not job.spec.is_long_running, is_late, spare_s)
