"""Job controller of one pool: carries jobs from their rows to the platform's tasks.

Each step reads what changed, decides, commits the decisions in one transaction, and
only then calls the platform. A controller that dies between any two of these leaves
rows from which the next one continues.
"""

from collections.abc import Callable, Iterable, Mapping

import structlog

from sycamorecroft.clock import Clock
from sycamorecroft.configuration.fleet import FleetConfiguration
from sycamorecroft.errors import NotLeaseHolderError, PlatformError
from sycamorecroft.jobs.commit import Change, JobCommitter
from sycamorecroft.jobs.health import WorkerHealth
from sycamorecroft.jobs.placement import fits
from sycamorecroft.jobs.planning import StepPlanner, StepTime
from sycamorecroft.jobs.records import (
    ENDED_STATES,
    LIVE_STATES,
    JobRecord,
    JobRow,
    JobState,
    task_id_of,
    task_size,
)
from sycamorecroft.jobs.settings import JobSettings
from sycamorecroft.jobs.tasks import LiveTasks, StartOutcome
from sycamorecroft.jobs.transitions import (
    LIVE_TASK_STATES,
    end_attempt,
    end_job,
    mark_running,
    queue_again,
)
from sycamorecroft.jobs.usage import UsageStatistics
from sycamorecroft.jobs.view import JobView
from sycamorecroft.jobs.workers import Worker, WorkerSource
from sycamorecroft.leases import ControllerLease
from sycamorecroft.store.interfaces import (
    TableService,
    TaskService,
    TaskState,
    TaskStatus,
)

_log = structlog.get_logger(__name__)


class JobController:
    """Not thread-safe: one thread or actor calls :meth:`step` every 0.5 s or so."""

    def __init__(
        self,
        pool: str,
        *,
        tables: TableService,
        tasks: TaskService,
        lease: ControllerLease,
        workers: WorkerSource,
        configuration: Callable[[], FleetConfiguration],
        clock: Clock,
        settings: JobSettings = JobSettings(),
    ) -> None:
        self._pool = pool
        self._lease = lease
        self._workers = workers
        self._configuration = configuration
        self._clock = clock
        self._settings = settings
        self._view = JobView(tables)
        self._usage = UsageStatistics()
        self._health = WorkerHealth()
        self._planner = StepPlanner(
            pool, self._view, self._usage, self._health, settings
        )
        self._live = LiveTasks(
            tasks,
            fence=f"jobs/{pool}",
            lease_s=settings.task_lease_s,
            checkpoint_timeout_s=settings.checkpoint_timeout_s,
            throttle_ratio=settings.throttle_ratio,
            observe_interval_s=settings.observe_interval_s,
        )
        self._committer = JobCommitter(
            tables,
            self._view,
            lease,
            self._refresh,
            rows_per_transaction_count=settings.rows_per_transaction_count,
            transactions_max_count=settings.transactions_max_count,
        )
        self._epoch = 0
        self._is_deposed = True
        self._refused: dict[str, str] = {}

    def busy_workers(self) -> frozenset[str]:
        """
        :returns: workers with an attempt that may be running; they are not drained.
        """
        return frozenset(row.record["worker"] or "" for row in self._live_rows())

    def step(self, now_s: float) -> None:
        """Does one round of work, within the limits of the settings.

        :param now_s: monotonic time.
        :raises InvariantError: if the job would have two live attempts (I9).
        """
        try:
            self._renew(now_s)
            if self._holds_lease():
                self._work(now_s)
        except NotLeaseHolderError as error:
            self._is_deposed = True
            _log.info("job_controller_deposed", pool=self._pool, detail=str(error))
        except PlatformError as error:
            _log.warning("job_step_failed", pool=self._pool, detail=str(error))

    def _renew(self, now_s: float) -> None:
        """Renews tasks even while the lease can't be renewed, e.g. the store is down.

        The platform refuses it once the next holder has made itself known, and a
        longer task lease only delays the next attempt.
        """
        if not self._is_deposed:
            running = self._view.in_states(JobState.RUNNING)
            records = [row.record for row in running]
            self._live.renew_due(records, self._epoch, now_s)

    def _holds_lease(self) -> bool:
        """A lease that lapsed and was renewed by its holder keeps its epoch."""
        if not self._lease.is_held:
            return False
        self._is_deposed = False
        if self._lease.epoch != self._epoch:
            self._epoch = self._lease.epoch
            self._view.clear()
            self._live.reset()
            self._refused.clear()
        return True

    def _work(self, now_s: float) -> None:
        self._refresh()
        workers = self._workers.workers()
        busy = self.busy_workers()
        observation = self._live.observe(busy, self._urgent_workers(workers), now_s)
        changes = self._decide_live(workers, observation, now_s)
        changes += self._planner.plan_waiting(
            workers,
            self._configuration(),
            changes,
            StepTime(self._epoch, now_s, self._clock.now()),
        )
        committed = self._committer.commit(changes, self._epoch)
        self._learn(committed, observation, now_s)
        self._forget_ended()
        self._start_all(observation, now_s)

    def _refresh(self) -> None:
        services = self._configuration().services.values()
        self._view.refresh(
            (service.account, service.name)
            for service in services
            if service.pool == self._pool
        )

    def _learn(
        self,
        committed: Iterable[Change],
        observation: Mapping[str, TaskStatus],
        now_s: float,
    ) -> None:
        """Takes outcomes and usage of the attempts that have ended, once each."""
        for base, record in committed:
            status = observation.get(task_id_of(base.record))
            if base.record["state"] not in LIVE_STATES or status is None:
                continue
            if status.state is TaskState.SUCCEEDED:
                self._health.add_success(status.worker, record["service"])
            elif status.state is TaskState.FAILED:
                self._note_failure(record, status.worker, now_s)
            if record["state"] in ENDED_STATES and record["peak"] is not None:
                declared, peak = task_size(record["declared"]), record["peak"]
                self._usage.add(
                    record["service"], declared=declared, peak=task_size(peak)
                )

    def _forget_ended(self) -> None:
        live = [row.record for row in self._live_rows()]
        self._live.keep_only(live)
        task_ids = set(map(task_id_of, live))
        self._refused = {
            task_id: reason
            for task_id, reason in self._refused.items()
            if task_id in task_ids
        }

    def _live_rows(self) -> list[JobRow]:
        return list(self._view.in_states(JobState.STARTING, JobState.RUNNING))

    def _urgent_workers(self, workers: Iterable[Worker]) -> frozenset[str]:
        """Workers where a start, a cancellation or a drain is under way."""
        inactive = {worker.name for worker in workers if not worker.is_active}
        changing = {
            row.record["worker"] or ""
            for row in self._live_rows()
            if row.record["state"] is JobState.STARTING
            or row.record["is_cancel_requested"]
        }
        return frozenset(inactive | changing)

    def _decide_live(
        self,
        workers: Iterable[Worker],
        observation: Mapping[str, TaskStatus],
        now_s: float,
    ) -> list[Change]:
        by_name = {worker.name: worker for worker in workers}
        stops_count = 0
        changes = []
        for row in self._live_rows():
            status = observation.get(task_id_of(row.record))
            if status is None:
                record = self._after_refusal(row.record)
            elif status.state not in LIVE_TASK_STATES:
                record = self._after_end(row.record, status, by_name)
            else:
                record = self._while_running(row.record, status)
                if stops_count < self._settings.stops_max_count:
                    stops_count += self._steer(row.record, status, by_name, now_s)
            if record is not None:
                changes.append(Change(row, record))
        return changes

    def _after_refusal(self, record: JobRecord) -> JobRecord | None:
        reason = self._refused.get(task_id_of(record))
        if record["state"] is not JobState.STARTING or reason is None:
            return None
        if record["is_cancel_requested"]:
            now = self._clock.now()
            return end_job(record, JobState.CANCELLED, "cancelled", now)
        return queue_again(record, reason)

    def _after_end(
        self, record: JobRecord, status: TaskStatus, by_name: Mapping[str, Worker]
    ) -> JobRecord:
        able_count = 0
        if status.state is TaskState.FAILED:
            size = task_size(record["granted"] or record["declared"])
            able_count = sum(fits(size, worker.size) for worker in by_name.values())
        return end_attempt(
            record,
            status,
            peak=self._live.note_usage(record, status),
            workers_count=able_count,
            now=self._clock.now(),
        )

    def _note_failure(self, record: JobRecord, worker: str, now_s: float) -> None:
        job_id = record["job_id"]
        if self._health.add_failure(worker, record["service"], job_id, now_s):
            _log.warning("worker_quarantined", pool=self._pool, worker=worker)

    def _while_running(self, record: JobRecord, status: TaskStatus) -> JobRecord | None:
        peak = self._live.note_usage(record, status)
        if record["state"] is JobState.STARTING:
            return mark_running(record, peak)
        return None

    def _steer(
        self,
        record: JobRecord,
        status: TaskStatus,
        by_name: Mapping[str, Worker],
        now_s: float,
    ) -> int:
        """
        :returns: calls made that count against the limit of a step.
        """
        worker = by_name.get(status.worker)
        if record["is_cancel_requested"]:
            self._live.stop(record, self._epoch)
            return 1
        if worker is not None and not worker.is_active:
            self._live.checkpoint_then_stop(record, status, self._epoch, now_s)
            return 1
        if worker is not None:
            self._live.limit_size(record, status, self._epoch, now_s)
        return 0

    def _start_all(self, observation: Mapping[str, TaskStatus], now_s: float) -> None:
        """Starts committed attempts; also those of an earlier controller or step.

        The task id makes it idempotent, which resolves a lost response, and the epoch
        keeps a late start by an earlier controller out.
        """
        starting = list(self._view.in_states(JobState.STARTING))
        started_count = 0
        for row in starting:
            record = row.record
            task_id = task_id_of(record)
            if task_id in observation or task_id in self._refused:
                continue
            if started_count == self._settings.starts_max_count:
                return
            started_count += 1
            self._note_start(record, self._live.start(record, self._epoch), now_s)

    def _note_start(
        self, record: JobRecord, outcome: StartOutcome, now_s: float
    ) -> None:
        worker = record["worker"] or ""
        if outcome is StartOutcome.REFUSED:
            self._refused[task_id_of(record)] = f"worker {worker} refused the task"
            self._planner.pause_worker(worker, now_s)
            self._note_failure(record, worker, now_s)
        elif outcome is StartOutcome.REFUSED_AFTER_UNKNOWN:
            # Only a higher epoch keeps the start whose answer was lost from arriving
            # later, so the attempt can't be given up under this one.
            self._lease.release()
            message = f"start of {task_id_of(record)!r} must be fenced by a new epoch"
            raise NotLeaseHolderError(message)
