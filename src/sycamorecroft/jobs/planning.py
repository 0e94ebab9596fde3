"""Plans of a step for jobs without a live attempt: cancel, judge, place."""

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
    why_unplaceable,
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
    queue_again,
    start_attempt,
)
from sycamorecroft.jobs.usage import Correction, UsageStatistics, largest
from sycamorecroft.jobs.view import JobView
from sycamorecroft.jobs.workers import Worker
from sycamorecroft.store.interfaces import TaskSize

# A plan that changed nothing is repeated after this time, since jobs that have waited
# long are placed in another order.
PLAN_AGAIN_S = 5.0


class StepTime(NamedTuple):
    """Lease epoch, monotonic time and wall time of a step."""

    epoch: int
    now_s: float
    now: datetime


class _Waiting(NamedTuple):
    """A row and what was made of it, which holds until the row or ``basis`` changes."""

    row: JobRow
    basis: Correction | None
    job: QueuedJob


class _PlannedState(NamedTuple):
    """What a plan depends on, apart from how long jobs have waited."""

    view_generation: int
    configuration_version: int
    workers: tuple[Worker, ...]
    blocked: frozenset[str]


class StepPlanner:
    """Decides on rows without a live attempt. Not thread-safe."""

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
        self._waiting: dict[str, _Waiting] = {}
        self._worker_sizes: frozenset[TaskSize] = frozenset()
        self._fruitless_state: _PlannedState | None = None
        self._planned_s = 0.0

    def pause_worker(self, worker: str, now_s: float) -> None:
        """Gives a worker that refused a task no job for a while."""
        self._paused_until_s[worker] = now_s + self._settings.refusal_pause_s

    def plan_waiting(
        self,
        workers: Sequence[Worker],
        configuration: FleetConfiguration,
        decided: Sequence[Change],
        time: StepTime,
    ) -> list[Change]:
        """
        :param decided: changes of jobs with a live attempt, in this step. Workers of
            attempts that have ended are free at once.
        :returns: changes in the order in which they should be committed.
        """
        state = _PlannedState(
            self._view.generation,
            configuration.version,
            tuple(workers),
            self._blocked(workers, time.now_s),
        )
        is_recent = time.now_s < self._planned_s + PLAN_AGAIN_S
        if state == self._fruitless_state and is_recent and not decided:
            return []
        changes = self._plan(workers, configuration, decided, time)
        self._fruitless_state = None if changes else state
        self._planned_s = time.now_s
        return changes

    def _plan(
        self,
        workers: Sequence[Worker],
        configuration: FleetConfiguration,
        decided: Sequence[Change],
        time: StepTime,
    ) -> list[Change]:
        teams = self._teams(configuration)
        changes: list[Change] = []
        placeable: list[_Waiting] = []
        sizer = _Sizer(workers, self._usage)
        for item in self._refresh_waiting(sizer, time.now_s):
            record = item.row.record
            reason = sizer.why_unplaceable(item.job.size) or _why_no_team(record, teams)
            changed = _judge(record, reason, time.now)
            if changed is not None:
                changes.append(Change(item.row, changed))
            elif reason is None:
                placeable.append(item)
        return self._place(workers, placeable, teams, decided, time) + changes

    def _refresh_waiting(self, sizer: "_Sizer", now_s: float) -> Iterable[_Waiting]:
        """
        :returns: all rows without a live attempt that have not ended.
        """
        known = self._waiting
        if sizer.worker_sizes != self._worker_sizes:
            # The size to place depends on which sizes fit a worker at all.
            self._worker_sizes = sizer.worker_sizes
            known = {key: item._replace(basis=None) for key, item in known.items()}
        self._waiting = {}
        for row in self._view.in_states(JobState.QUEUED, JobState.UNPLACEABLE):
            job_id = row.record["job_id"]
            item = known.get(job_id)
            basis = self._usage.correction(row.record["service"])
            if item is None or item.row is not row or item.basis != basis:
                queued_s = now_s if item is None else item.job.queued_s
                job = _queued_job(row.record, sizer.size_of(row.record), queued_s)
                item = _Waiting(row, basis, job)
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
        waiting: list[_Waiting],
        teams: dict[str, TeamShare],
        decided: Sequence[Change],
        time: StepTime,
    ) -> list[Change]:
        waiting.sort(key=lambda item: item.row.record["submitted_at"])
        by_id = {item.job.job_id: item for item in waiting}
        ended = {
            change.job_id
            for change in decided
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
            blocked_workers=self._blocked(workers, time.now_s),
            queued=[item.job for item in waiting],
            teams=teams,
            running_counts=Counter(record["team"] for record in live),
            now_s=time.now_s,
            reserve_after_s=self._settings.reserve_after_s,
            limit_count=self._free_starts_count(live),
        )
        changes = []
        for placement in place(state):
            row, _, job = by_id[placement.job_id]
            record = start_attempt(
                row.record, worker=placement.worker, size=job.size, epoch=time.epoch
            )
            changes.append(Change(row, record))
        return changes

    def _free_starts_count(self, live: Iterable[JobRecord]) -> int:
        starting = [record for record in live if record["state"] is JobState.STARTING]
        return max(0, self._settings.starts_max_count - len(starting))

    def _blocked(self, workers: Iterable[Worker], now_s: float) -> frozenset[str]:
        return frozenset(
            worker.name
            for worker in workers
            if self._health.is_quarantined(worker.name, now_s)
            or now_s < self._paused_until_s.get(worker.name, now_s)
        )


class _Sizer:
    """Sizes of jobs against the sizes of the pool's workers, within one step."""

    def __init__(self, workers: Sequence[Worker], usage: UsageStatistics) -> None:
        by_size = {worker.size: worker for worker in workers}
        self.worker_sizes = frozenset(by_size)
        self._workers = by_size.values()
        self._usage = usage
        self._reasons: dict[TaskSize, str | None] = {}

    def size_of(self, record: JobRecord) -> TaskSize:
        """
        :returns: the corrected size if a worker can have it, else the smallest size
            that the job is known to need.
        """
        declared = task_size(record["declared"])
        size = self._usage.corrected(record["service"], declared)
        needed = declared
        if record["required"] is not None:
            size = largest(size, task_size(record["required"]))
        if record["required"] is not None and record["peak"] is not None:
            needed = largest(declared, task_size(record["peak"]))
        return needed if self.why_unplaceable(size) else size

    def why_unplaceable(self, size: TaskSize) -> str | None:
        if size not in self._reasons:
            self._reasons[size] = why_unplaceable(size, self._workers)
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
        before = granted.get(worker, TaskSize(0.0, 0, 0))
        granted[worker] = TaskSize(*map(sum, zip(before, task_size(size), strict=True)))
    return granted


def _why_no_team(record: JobRecord, teams: dict[str, TeamShare]) -> str | None:
    if record["team"] in teams:
        return None
    known = ", ".join(sorted(teams)) or "none"
    return f"team {record['team']!r} is not configured; configured teams: {known}"


def _judge(record: JobRecord, reason: str | None, now: datetime) -> JobRecord | None:
    """
    :returns: the record to write, ``None`` when it stays as it is.
    """
    if record["is_cancel_requested"]:
        return end_job(record, JobState.CANCELLED, "cancelled", now)
    if reason is not None and record["reason"] != reason:
        return mark_unplaceable(record, reason)
    if reason is None and record["state"] is JobState.UNPLACEABLE:
        return queue_again(record, "")
    return None
