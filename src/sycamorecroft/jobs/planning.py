"""Plans of a step for jobs that don't run: cancel, place, refuse, forget."""

from collections import Counter
from collections.abc import Collection, Sequence
from datetime import datetime

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
from sycamorecroft.jobs.records import ENDED_STATES, JobRow, JobState, task_size
from sycamorecroft.jobs.settings import JobSettings
from sycamorecroft.jobs.transitions import (
    end_job,
    mark_unplaceable,
    queue_again,
    start_attempt,
)
from sycamorecroft.jobs.usage import UsageStatistics, largest
from sycamorecroft.jobs.view import JobView
from sycamorecroft.jobs.workers import Worker
from sycamorecroft.platform.interfaces import TaskSize


class StepPlanner:
    """Decides on rows without a live attempt. Not thread-safe."""

    def __init__(
        self,
        view: JobView,
        usage: UsageStatistics,
        health: WorkerHealth,
        settings: JobSettings,
    ) -> None:
        self._view = view
        self._usage = usage
        self._health = health
        self._settings = settings
        self._paused_until_s: dict[str, float] = {}

    def pause_worker(self, worker: str, now_s: float) -> None:
        """Gives a worker that refused a task no job for a while."""
        self._paused_until_s[worker] = now_s + self._settings.refusal_pause_s

    def plan_waiting(
        self,
        workers: Sequence[Worker],
        configuration: FleetConfiguration,
        *,
        freed: Collection[str],
        epoch: int,
        now_s: float,
        now: datetime,
    ) -> list[Change]:
        """
        :param freed: jobs decided on already in this step; they still hold their
            worker until the decision is committed.
        :returns: changes in the order in which they should be committed.
        """
        cancelled = self._cancelled(now)
        done = {*freed, *(change.job_id for change in cancelled)}
        judged = self._judge_sizes(workers, done)
        done.update(change.job_id for change in judged)
        queued = [
            row
            for row in self._view.in_states(JobState.QUEUED)
            if row.record["job_id"] not in done
        ]
        started = self._place(workers, queued, configuration, epoch, now_s, now)
        return [*started, *cancelled, *judged, *self._expired(now)]

    def _cancelled(self, now: datetime) -> list[Change]:
        waiting = self._view.in_states(JobState.QUEUED, JobState.UNPLACEABLE)
        return [
            Change(row, end_job(row.record, JobState.CANCELLED, "cancelled", now))
            for row in waiting
            if row.record["is_cancel_requested"]
        ]
