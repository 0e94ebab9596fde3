"""Order in which waiting jobs are placed on workers."""

from sycamorecroft.scheduling.duration_estimate import DurationEstimate
from sycamorecroft.scheduling.jobs import Job


class JobRanking:
    """Ranks waiting jobs by whether and when they must complete. Not thread-safe.

    A job takes longer than the estimates of its steps: assignments and outcomes are
    stored first, orders and run lists take their time, and estimates are off. The
    ranking measures this excess and counts it as time that a job still needs.
    """

    def __init__(self) -> None:
        self._step_excess = DurationEstimate()
        self._commit = DurationEstimate()

    def record_step(self, excess_s: float) -> None:
        """Records a completed step.

        :param excess_s: time from the assignment of the task that ended last to its
            end, less the estimated duration; may be negative.
        """
        self._step_excess.record(excess_s)

    def record_commit(self, duration_s: float) -> None:
        """Records the time from an assignment until it was stored."""
        self._commit.record(duration_s)

    def needed_s(self, job: Job) -> float:
        """
        :returns: time in seconds in which the job is likely to complete if its waiting
            tasks are placed now.
        """
        path = job.critical_path_left
        excess_s = path.steps_count * max(0.0, self._step_excess.upper_s)
        return path.duration_s + excess_s + self._commit.upper_s

    def rank(self, job: Job, now_s: float) -> tuple[float | str, ...]:
        """Returns the key to sort waiting jobs by; the lowest is placed first.

        Within a priority, long-running jobs come first, since others depend on them.
        Then come jobs that can still meet their objective, earliest deadline first.
        Jobs that will miss theirs come last, so that overload doesn't make every job
        late.
        """
        end_s = job.objective_end_s
        is_late = now_s + self.needed_s(job) > end_s
        return (job.queue.priority, not job.is_long_running, is_late, end_s, job.id)
