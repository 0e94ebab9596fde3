"""Order in which waiting jobs are placed on workers."""

from enum import StrEnum

from sycamorecroft.scheduling.duration_estimate import DurationEstimate
from sycamorecroft.scheduling.jobs import Job
from sycamorecroft.scheduling.shallow_copy import shallow_copy

# A job that ends after this many times its objective is of no use to its caller.
USEFUL_OBJECTIVE_RATIO = 3.0


class RankCriterion(StrEnum):
    """Criterion of the rank of a job, in the order in which they are compared.

    ``RATE`` and ``USEFUL`` count with client accounts only.
    """

    PRIORITY = "priority"
    LONG_RUNNING = "long_running"
    RATE = "rate"
    OBJECTIVE = "objective"
    USEFUL = "useful"
    OBJECTIVE_END = "objective_end"
    ID = "id"


_OF_ACCOUNTS = frozenset((RankCriterion.RATE, RankCriterion.USEFUL))


class JobRanking:
    """Ranks waiting jobs by whether and when they must complete. Not thread-safe.

    A job takes longer than the estimates of its steps: assignments and outcomes are
    stored first, orders and run lists take their time, and estimates are off. The
    ranking measures this excess and counts it as time that a job still needs.

    :ivar has_accounts: whether the configuration in force has client accounts, whose
        rates count then.
    """

    def __init__(self) -> None:
        self.has_accounts = False
        self._step_excess = DurationEstimate()
        self._commit = DurationEstimate()

    def copy(self) -> "JobRanking":
        """
        :returns: an independent copy.
        """
        twin = shallow_copy(self)
        twin._step_excess = shallow_copy(self._step_excess)
        twin._commit = shallow_copy(self._commit)
        return twin

    def record_step(self, excess_s: float) -> None:
        """Records a completed step.

        :param excess_s: time from the assignment of the task that ended last to its
            end, less the estimated duration; may be negative.
        """
        self._step_excess.record(excess_s)

    def record_commit(self, duration_s: float) -> None:
        """Records the time from an assignment until it was stored."""
        self._commit.record(duration_s)

    @property
    def step_excess_s(self) -> float:
        """By how much most steps take longer than estimated, at least 0."""
        return max(0.0, self._step_excess.upper_s)

    def needed_s(self, job: Job) -> float:
        """
        :returns: time in seconds in which the job is likely to complete if its waiting
            tasks are placed now.
        """
        path = job.critical_path_left
        excess_s = path.steps_count * self.step_excess_s
        return path.duration_s + excess_s + self._commit.upper_s

    @property
    def criteria(self) -> tuple[RankCriterion, ...]:
        """Criteria of :meth:`rank`, in the order of its elements."""
        criteria = tuple(RankCriterion)
        if self.has_accounts:
            return criteria
        return tuple(item for item in criteria if item not in _OF_ACCOUNTS)

    def rank(self, job: Job, now_s: float) -> tuple[float | str, ...]:
        """Returns the key to sort waiting jobs by; the lowest is placed first.

        Within a priority, long-running jobs come first, since others depend on them.
        Then come jobs that can still meet their objective, earliest deadline first.
        Jobs that will miss theirs come last, so that overload doesn't make every job
        late. With client accounts, those beyond their account's rate come after others,
        and of the late ones those last that will end too late to be of use.
        """
        end_s = job.objective_end_s
        likely_end_s = now_s + self.needed_s(job)
        is_late = likely_end_s > end_s
        if not self.has_accounts:
            return (job.queue.priority, not job.is_long_running, is_late, end_s, job.id)
        useful_s = USEFUL_OBJECTIVE_RATIO * (end_s - job.accepted_s)
        return (
            job.queue.priority,
            not job.is_long_running,
            job.is_excess,
            is_late,
            likely_end_s > job.accepted_s + useful_s,
            end_s,
            job.id,
        )
