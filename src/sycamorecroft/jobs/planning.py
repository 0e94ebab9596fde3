"""Plans a step's changes to jobs without a live attempt: cancellation and placement."""

from collections import Counter
from collections.abc import Iterable, Sequence
from datetime import datetime
from typing import NamedTuple

from sycamorecroft.configuration.fleet import FleetConfiguration
from sycamorecroft.jobs.commit import Change
from sycamorecroft.jobs.health import WorkerHealth
from sycamorecroft.jobs.placement import (
    PlacementInput,
    QueuedJob,
    TeamShare,
    place,
    unplaceable_reason,
)
from sycamorecroft.jobs.records import (
    LIVE_STATES,
    JobRecord,
    JobRow,
    JobState,
    task_size,
)
from sycamorecroft.jobs.settings import JobSettings
from sycamorecroft.jobs.transitions import (
    end_job,
    mark_unplaceable,
    requeue,
    start_attempt,
)
from sycamorecroft.jobs.usage import Correction, UsageStatistics, elementwise_max
from sycamorecroft.jobs.view import JobView
from sycamorecroft.jobs.workers import Worker
from sycamorecroft.store.interfaces import TaskSize

# An input for which the last plan was empty is planned again after this time, since
# jobs that have waited long are placed in a different order.
REPLAN_INTERVAL_S = 5.0


class StepContext(NamedTuple):
    """Lease epoch, monotonic time and wall time of a step."""

    epoch: int
    now_s: float
    now: datetime


class _WaitingJob(NamedTuple):
    """A waiting job's row with its placement input.

    It is valid until the row or ``correction`` changes.
    """

    row: JobRow
    correction: Correction | None
    job: QueuedJob


class _PlanInput(NamedTuple):
    """Inputs of a plan, except for the waiting times of jobs."""

    view_generation: int
    configuration_version: int
    workers: tuple[Worker, ...]
    blocked: frozenset[str]


class QueuePlanner:
    """Decides on the jobs of a pool that have no live attempt. Not thread-safe."""

    def __init__(
        self,
        pool: str,
        view: JobView,
        usage: UsageStatistics,
        health: WorkerHealth,
        settings: JobSettings,
    ) -> None:
        self._pool = pool
        self._view = view
        self._usage = usage
        self._health = health
        self._settings = settings
        self._paused_until_s: dict[str, float] = {}
        self._waiting: dict[str, _WaitingJob] = {}
        self._worker_sizes: frozenset[TaskSize] = frozenset()
        self._last_empty_input: _PlanInput | None = None
        self._planned_s = 0.0

    def pause_worker(self, worker: str, now_s: float) -> None:
        """Excludes a worker that refused a task from placement for a limited time.

        :param now_s: monotonic time.
        """
        self._paused_until_s[worker] = now_s + self._settings.refusal_pause_s

    def plan_waiting(
        self,
        workers: Sequence[Worker],
        configuration: FleetConfiguration,
        live_changes: Sequence[Change],
        context: StepContext,
    ) -> list[Change]:
        """
        :param live_changes: this step's changes of jobs with a live attempt. Sizes of
            attempts that they end count as free.
        :returns: changes in the order in which they should be committed.
        """
        plan_input = _PlanInput(
            self._view.generation,
            configuration.version,
            tuple(workers),
            self._blocked_workers(workers, context.now_s),
        )
        is_recent = context.now_s < self._planned_s + REPLAN_INTERVAL_S
        if plan_input == self._last_empty_input and is_recent and not live_changes:
            return []
        changes = self._plan(workers, configuration, live_changes, context)
        self._last_empty_input = None if changes else plan_input
        self._planned_s = context.now_s
        return changes

    def _plan(
        self,
        workers: Sequence[Worker],
        configuration: FleetConfiguration,
        live_changes: Sequence[Change],
        context: StepContext,
    ) -> list[Change]:
        teams = self._teams(configuration)
        changes: list[Change] = []
        placeable: list[_WaitingJob] = []
        resolver = _SizeResolver(workers, self._usage)
        for item in self._refresh_waiting(resolver, context.now_s):
            record = item.row.record
            reason = resolver.unplaceable_reason(item.job.size) or _missing_team_reason(
                record, teams
            )
            changed = _reassess(record, reason, context.now)
            if changed is not None:
                changes.append(Change(item.row, changed))
            elif reason is None:
                placeable.append(item)
        return self._place(workers, placeable, teams, live_changes, context) + changes

    def _refresh_waiting(
        self, resolver: "_SizeResolver", now_s: float
    ) -> Iterable[_WaitingJob]:
        """
        :returns: all rows without a live attempt that have not ended.
        """
        previous = self._waiting
        if resolver.worker_sizes != self._worker_sizes:
            # The size used for placement depends on which sizes fit on any worker.
            self._worker_sizes = resolver.worker_sizes
            previous = {
                key: item._replace(correction=None) for key, item in previous.items()
            }
        self._waiting = {}
        for row in self._view.in_states(JobState.QUEUED, JobState.UNPLACEABLE):
            job_id = row.record["job_id"]
            item = previous.get(job_id)
            correction = self._usage.correction(row.record["service"])
            if item is None or item.row is not row or item.correction != correction:
                queued_s = now_s if item is None else item.job.queued_s
                job = _queued_job(row.record, resolver.size_of(row.record), queued_s)
                item = _WaitingJob(row, correction, job)
            self._waiting[job_id] = item
        return self._waiting.values()

    def _teams(self, configuration: FleetConfiguration) -> dict[str, TeamShare]:
        pool = configuration.pools.get(self._pool)
        if pool is None:
            return {}
        teams = configuration.accounts[pool.account].teams.values()
        return {
            team.name: TeamShare(team.weight, team.slots_quota_count) for team in teams
        }

    def _place(
        self,
        workers: Sequence[Worker],
        waiting: list[_WaitingJob],
        teams: dict[str, TeamShare],
        live_changes: Sequence[Change],
        context: StepContext,
    ) -> list[Change]:
        waiting.sort(key=lambda item: item.row.record["submitted_at"])
        by_id = {item.job.job_id: item for item in waiting}
        ended = {
            change.job_id
            for change in live_changes
            if change.record["state"] not in LIVE_STATES
        }
        live = [
            row.record
            for row in self._view.in_states(JobState.STARTING, JobState.RUNNING)
            if row.record["job_id"] not in ended
        ]
        state = PlacementInput(
            workers=workers,
            granted=_granted_sizes(live),
            blocked_workers=self._blocked_workers(workers, context.now_s),
            queued=[item.job for item in waiting],
            teams=teams,
            running_counts=Counter(record["team"] for record in live),
            now_s=context.now_s,
            reserve_after_s=self._settings.reserve_after_s,
            limit_count=self._free_starts_count(live),
        )
        changes = []
        for placement in place(state):
            row, _, job = by_id[placement.job_id]
            record = start_attempt(
                row.record, worker=placement.worker, size=job.size, epoch=context.epoch
            )
            changes.append(Change(row, record))
        return changes

    def _free_starts_count(self, live: Iterable[JobRecord]) -> int:
        starting = [record for record in live if record["state"] is JobState.STARTING]
        return max(0, self._settings.starts_max_count - len(starting))

    def _blocked_workers(
        self, workers: Iterable[Worker], now_s: float
    ) -> frozenset[str]:
        return frozenset(
            worker.name
            for worker in workers
            if self._health.is_quarantined(worker.name, now_s)
            or now_s < self._paused_until_s.get(worker.name, now_s)
        )


class _SizeResolver:
    """Chooses the sizes used for placement, given the sizes of the pool's workers."""

    def __init__(self, workers: Sequence[Worker], usage: UsageStatistics) -> None:
        by_size = {worker.size: worker for worker in workers}
        self.worker_sizes = frozenset(by_size)
        self._workers = by_size.values()
        self._usage = usage
        self._reasons: dict[TaskSize, str | None] = {}

    def size_of(self, record: JobRecord) -> TaskSize:
        """
        :returns: the corrected size if it fits on a worker, otherwise the smallest size
            that the job is known to need.
        """
        declared = task_size(record["declared"])
        size = self._usage.corrected(record["service"], declared)
        needed = declared
        if record["required"] is not None:
            size = elementwise_max(size, task_size(record["required"]))
        if record["required"] is not None and record["peak"] is not None:
            needed = elementwise_max(declared, task_size(record["peak"]))
        return needed if self.unplaceable_reason(size) else size

    def unplaceable_reason(self, size: TaskSize) -> str | None:
        if size not in self._reasons:
            self._reasons[size] = unplaceable_reason(size, self._workers)
        return self._reasons[size]


def _queued_job(record: JobRecord, size: TaskSize, queued_s: float) -> QueuedJob:
    return QueuedJob(
        record["job_id"],
        record["team"],
        record["urgency"],
        size,
        queued_s,
        frozenset(record["failed_workers"]),
    )


def _granted_sizes(live: Iterable[JobRecord]) -> dict[str, TaskSize]:
    granted: dict[str, TaskSize] = {}
    for record in live:
        worker, size = record["worker"], record["granted"]
        if worker is None or size is None:
            continue
        granted_size = granted.get(worker, TaskSize(0.0, 0, 0))
        granted[worker] = TaskSize(
            *map(sum, zip(granted_size, task_size(size), strict=True))
        )
    return granted


def _missing_team_reason(record: JobRecord, teams: dict[str, TeamShare]) -> str | None:
    if record["team"] in teams:
        return None
    configured = ", ".join(sorted(teams)) or "none"
    return f"team {record['team']!r} is not configured; configured teams: {configured}"


def _reassess(record: JobRecord, reason: str | None, now: datetime) -> JobRecord | None:
    """
    :param reason: why the job can't be placed at all, ``None`` if it can.
    :returns: the record to write, ``None`` if the job is unchanged.
    """
    if record["is_cancel_requested"]:
        return end_job(record, JobState.CANCELLED, "cancelled", now)
    if reason is not None and record["reason"] != reason:
        return mark_unplaceable(record, reason)
    if reason is None and record["state"] is JobState.UNPLACEABLE:
        return requeue(record, "")
    return None
