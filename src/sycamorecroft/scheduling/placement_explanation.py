"""What is said about the next placement of a job, as operators get it."""

from enum import StrEnum

import msgspec

from sycamorecroft.scheduling.model import Resources


class LeftReason(StrEnum):
    """Why the next placement leaves a task without a worker.

    ``NEAR_WAIT``: it waits for a worker near its data. ``NO_ROOM``: no worker that may
    run it has room. ``NO_WORKER``: no worker could run it, not even an empty one.
    ``GANG_NO_ROOM``: there is no room for all of its gang. ``GANG_RUNNING``: others of
    its gang still run; it starts again as a whole once they have ended.
    ``NOT_APPROVED``: the advice service hasn't approved a worker with room.
    ``LAST_ATTEMPT``: its last attempt waits for a worker on which it hasn't failed.
    ``ROW_FULL``: the job's row has no room for a further run. ``ACCOUNT_LIMIT``: its
    account may not run more. ``COMMIT_FULL``: the next commit holds no further jobs,
    and placement stops before this one.
    ``BEHIND``: a task before it in its step waits for its last attempt, and those
    behind aren't tried. ``NOT_EXPLAINED``: explaining took too long.
    """

    NEAR_WAIT = "near_wait"
    NO_ROOM = "no_room"
    NO_WORKER = "no_worker"
    GANG_NO_ROOM = "gang_no_room"
    GANG_RUNNING = "gang_running"
    NOT_APPROVED = "not_approved"
    LAST_ATTEMPT = "last_attempt"
    BEHIND = "behind"
    ROW_FULL = "row_full"
    ACCOUNT_LIMIT = "account_limit"
    COMMIT_FULL = "commit_full"
    NOT_EXPLAINED = "not_explained"


class Amounts(msgspec.Struct, frozen=True):
    """Resources of a worker or task."""

    cpu_millicores: int
    memory_mb: int
    gpu_count: int

    @classmethod
    def of(cls, resources: Resources) -> "Amounts":
        """
        :returns: the same amounts.
        """
        return cls(*resources)


class TaskStart(msgspec.Struct, frozen=True):
    """A task that the next placement assigns to a worker.

    ``list_age_s``: age of the worker's last run list.
    """

    task: str
    worker: str
    rack: str
    is_far: bool
    list_age_s: float | None


class LeftTasks(msgspec.Struct, frozen=True):
    """Tasks that get no worker; ``tasks`` names the first ones."""

    reason: LeftReason
    tasks_count: int
    tasks: tuple[str, ...]


class NearWait(msgspec.Struct, frozen=True):
    """The decision whether tasks wait for the rack that they prefer.

    ``reason``: why, as in the log line ``near_wait_decided``; empty if an earlier
    placement made the decision, which still holds. ``limit_in_s``: time until the wait
    ends at the latest. ``near_start_in_s``: time until the expected start near the
    data, ``None`` if it isn't known or there is none. ``far_extra_s``: by how much
    longer a task takes far from its data.
    """

    rack: str
    is_waiting: bool
    reason: str
    waited_s: float
    limit_in_s: float | None = None
    near_start_in_s: float | None = None
    far_extra_s: float | None = None


class Candidate(msgspec.Struct, frozen=True):
    """A worker with room for a task of the step when it is the job's turn.

    ``is_near``: it is on the preferred rack; ``None`` if the step prefers none.
    """

    worker: str
    rack: str
    is_near: bool | None
    free: Amounts
    list_age_s: float | None


class Excluded(msgspec.Struct, frozen=True):
    """Workers that are no candidates for one reason; ``workers`` names the first."""

    reason: str
    workers_count: int
    workers: tuple[str, ...]


class StepExplanation(msgspec.Struct, frozen=True):
    """A step with waiting tasks; ``candidates`` lists the first ones, best first.

    ``is_beyond_share``: the job's turn came after those of accounts within their share.
    """

    occurrence: int
    step: int
    tasks_count: int
    waiting_count: int
    demand: Amounts
    required_label: str
    preferred_rack: str
    starts: tuple[TaskStart, ...]
    left: tuple[LeftTasks, ...]
    near_wait: NearWait | None
    is_beyond_share: bool
    candidates_count: int
    near_candidates_count: int
    candidates: tuple[Candidate, ...]
    excluded: tuple[Excluded, ...]


class Before(msgspec.Struct, frozen=True):
    """Jobs that get their turn before for one reason; ``jobs`` names the first."""

    reason: str
    jobs_count: int
    jobs: tuple[str, ...]


class RankExplanation(msgspec.Struct, frozen=True):
    """Place of the job among the jobs with waiting tasks, the first one is 1.

    ``is_late``: it is expected to miss its objective even if it starts now.
    ``objective_in_s`` and ``needed_s``: time until its objective, and that in which it
    is likely to complete.
    """

    position: int
    waiting_jobs_count: int
    priority: int
    is_long_running: bool
    is_excess: bool
    is_late: bool
    objective_in_s: float
    needed_s: float
    before: tuple[Before, ...]


class ShareExplanation(msgspec.Struct, frozen=True):
    """Shares of the service's capacity: due to the job's account, and in use."""

    due_ratio: float
    in_use_ratio: float


class RunExplanation(msgspec.Struct, frozen=True):
    """A run of the job that may be in progress."""

    task: str
    worker: str
    phase: str
    is_far: bool


class JobExplanation(msgspec.Struct, frozen=True):
    """The job as the owner knows it; ``runs`` lists the first ones.

    ``is_stored``: whether it was submitted. ``steps_waiting_count``: steps with tasks
    that could run now; ``steps_later_count``: those that wait for earlier steps.
    ``next_due_ms``: Unix time of the next occurrence of a scheduled job.
    """

    id: str
    is_stored: bool
    state: str
    account: str
    queue: str
    runs_count: int
    runs: tuple[RunExplanation, ...]
    steps_waiting_count: int
    steps_later_count: int
    next_due_ms: int | None = None


class PlacementExplanation(msgspec.Struct, frozen=True):
    """What the next placement of a service does with a job.

    ``rank`` and ``steps`` are empty if no task of the job could run now; ``steps``
    lists the first ones. ``workers_count``: workers of the service.
    """

    service: str
    epoch: int
    job: JobExplanation
    workers_count: int
    rank: RankExplanation | None = None
    share: ShareExplanation | None = None
    steps: tuple[StepExplanation, ...] = ()
