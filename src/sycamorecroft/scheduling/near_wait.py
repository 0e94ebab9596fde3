"""Decides how long a task waits for a place on the rack that holds its data."""

from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple

from sycamorecroft.scheduling.job_ranking import USEFUL_OBJECTIVE_RATIO, JobRanking
from sycamorecroft.scheduling.rack_queue import NEVER_S
from sycamorecroft.scheduling.run_durations import RunDurations
from sycamorecroft.scheduling.tasks import Task, WaitingStep

# A wait ends this long before the latest far start. A placement is due at that time and
# takes place with the next message of a worker.
PLACEMENT_MARGIN_S = 0.05
# The longest time between two placements of a service whose workers send nothing.
PLACEMENT_INTERVAL_S = 0.25
# While others wait for the place, a far run keeps one of them from it for as long as it
# takes longer, which counts once more.
SCARCE_WEIGHT = 1.0


class NearReason(StrEnum):
    """Why a task waits or doesn't, in log lines.

    ``SOONER``: it is expected to end earlier near its data. ``QUEUE``: the queue for
    the rack is longer than the gain. ``NO_WORKER``: no worker of the rack is usable, or
    none is expected to free enough. ``TIME_UP``: it has waited for as long as it may.
    """

    SOONER = "sooner"
    QUEUE = "queue"
    NO_WORKER = "no_worker"
    TIME_UP = "time_up"


class WaitDecision(NamedTuple):
    """Decision on a task; ``near_start_s`` and ``limit_s`` are monotonic times."""

    reason: NearReason
    near_start_s: float
    limit_s: float

    @property
    def is_waiting(self) -> bool:
        """Whether the task waits."""
        return self.reason is NearReason.SOONER


class NearWaitTimes(NamedTuple):
    """Times of a task that has no place near its data; monotonic.

    ``extra_s``: by how much longer it takes far from its data. ``far_limits_s``: latest
    times of a far start by which its job meets its objective and is of use, in this
    order. ``is_scarce``: whether other tasks wait for the far place.
    """

    now_s: float
    waiting_since_s: float
    extra_s: float
    far_limits_s: tuple[float, ...]
    is_scarce: bool


def wait_limit_s(times: NearWaitTimes) -> float:
    """Limits the wait of a task whose rack has no place for it.

    A wait ends before the next limit of a far start, so that it isn't what makes a job
    late or useless. A limit that has passed doesn't count any more: a far place was
    taken before it if there was one, so that there was none, or a far run has been too
    long from the start. In both cases the rack is the only chance left.

    A wait also ends once it has cost as much as a far run costs, however soon the rack
    is expected to free a place then, since expected ends may be wrong.

    :returns: monotonic time until which the task may wait; may have passed.
    """
    extra_s = times.extra_s * (1 + SCARCE_WEIGHT * times.is_scarce)
    missed_s = times.now_s - PLACEMENT_INTERVAL_S
    passed_s = [limit for limit in times.far_limits_s if limit < missed_s]
    later_s = [limit for limit in times.far_limits_s if limit >= missed_s]
    since_s = times.waiting_since_s
    # A limit that had passed before the task could run doesn't end its wait.
    later_s = [limit - PLACEMENT_MARGIN_S for limit in later_s if limit > since_s]
    return min((max((since_s, *passed_s)) + extra_s, *later_s))


def decide_wait(times: NearWaitTimes, join: Callable[[float], float]) -> WaitDecision:
    """Decides on a task whose rack has no place for it and another rack has one.

    :param join: lets the task join the queue for its rack if it can start before the
        given time; returns its expected start.
    """
    limit_s = wait_limit_s(times)
    if limit_s <= times.now_s:
        return WaitDecision(NearReason.TIME_UP, NEVER_S, limit_s)
    start_s = join(limit_s)
    if start_s < limit_s:
        reason = NearReason.SOONER
    else:
        reason = NearReason.NO_WORKER if start_s == NEVER_S else NearReason.QUEUE
    return WaitDecision(reason, start_s, limit_s)


def far_limits_s(task: Task, ranking: JobRanking, extra_s: float) -> tuple[float, ...]:
    """
    :param extra_s: by how much longer the task takes far from its data.
    :returns: latest times of a far start by which the job meets its objective and is of
        use; none for scheduled jobs, whose objective counts from their acceptance.
    """
    job = task.job
    if job.spec.is_scheduled:
        return ()
    needed_s = ranking.needed_s(job) + extra_s
    allowed_s = job.objective_end_s - job.accepted_s
    useful_end_s = job.accepted_s + USEFUL_OBJECTIVE_RATIO * allowed_s
    return (job.objective_end_s - needed_s, useful_end_s - needed_s)


def may_wait(step: WaitingStep, durations: RunDurations) -> bool:
    """Tells steps whose tasks may wait for the rack that the step prefers.

    The members of a gang need their places at once, and what is freed isn't kept for
    them; the same holds for a step that should run on one rack. With a limit of tasks
    on one worker, or workers that have to be approved, freed resources don't tell
    whether a task fits. Best-effort tasks don't hold processors, and long-running ones
    don't end.

    :returns: whether tasks of the step may wait.
    """
    task = step.waiting[0]
    spec = task.spec
    return bool(
        spec.preferred_rack
        and durations.extra_s(spec) > 0
        and not spec.is_gang
        and not spec.is_rack_local
        and not spec.is_long_running
        and not spec.is_best_effort
        and not spec.tasks_per_worker_limit
        and task.job.queue.advice is None
    )


def is_first_try(task: Task) -> bool:
    """
    :returns: whether the whole task is to be done and it hasn't failed on a worker,
        which it then avoids.
    """
    return not task.checkpoint and not task.failed_workers
