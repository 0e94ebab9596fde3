"""Job controller of one pool: starts and supervises the tasks that execute jobs.

Each step reads the rows that changed, decides, commits the decisions, and only then
starts tasks on the platform. A controller that fails in between leaves rows from which
the next lease holder continues.
"""

from collections.abc import Callable, Iterable, Mapping

import structlog

from sycamorecroft.clock import Clock
from sycamorecroft.configuration.fleet import FleetConfiguration
from sycamorecroft.errors import NotLeaseHolderError, PlatformError
from sycamorecroft.jobs.attempts import AttemptManager, StartOutcome
from sycamorecroft.jobs.commit import Change, JobCommitter
from sycamorecroft.jobs.health import WorkerHealth
from sycamorecroft.jobs.placement import fits
from sycamorecroft.jobs.planning import QueuePlanner, StepContext
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
from sycamorecroft.jobs.transitions import (
    LIVE_TASK_STATES,
    end_attempt,
    end_job,
    mark_running,
    requeue,
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
    """Not thread-safe: one thread or actor calls :meth:`step` about every 0.5 s."""

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
        self._planner = QueuePlanner(
            pool, self._view, self._usage, self._health, settings
        )
        self._attempts = AttemptManager(
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
        self._is_lease_lost = True
        self._refusal_reasons: dict[str, str] = {}

    def busy_workers(self) -> frozenset[str]:
        """
        :returns: workers with an attempt that may be running, so not drained yet.
        """
        return frozenset(row.record["worker"] or "" for row in self._live_rows())

    def step(self, now_s: float) -> None:
        """Runs one round of work, within the limits of the settings.

        :param now_s: monotonic time.
        :raises InvariantError: if a job would have two live attempts (I9).
        """
        try:
            self._renew_task_leases(now_s)
            if self._adopt_lease_epoch():
                self._run_round(now_s)
        except NotLeaseHolderError as error:
            self._is_lease_lost = True
            _log.info("job_controller_lease_lost", pool=self._pool, detail=str(error))
        except PlatformError as error:
            _log.warning("job_step_failed", pool=self._pool, detail=str(error))

    def _renew_task_leases(self, now_s: float) -> None:
        """Renews task leases, even while the controller lease can't be renewed.

        This keeps tasks running through a store outage. It is safe: the platform
        refuses the renewal once it knows a higher epoch, and a longer task lease only
        delays the next attempt.
        """
        if not self._is_lease_lost:
            running = self._view.in_states(JobState.RUNNING)
            records = [row.record for row in running]
            self._attempts.renew_due(records, self._epoch, now_s)

    def _adopt_lease_epoch(self) -> bool:
        """Returns whether the lease is held; discards all state if its epoch is new.

        A lease that expired and was renewed by its holder keeps its epoch.
        """
        if not self._lease.is_held:
            return False
        self._is_lease_lost = False
        if self._lease.epoch != self._epoch:
            self._epoch = self._lease.epoch
            self._view.clear()
            self._attempts.reset()
            self._refusal_reasons.clear()
        return True

    def _run_round(self, now_s: float) -> None:
        self._refresh()
        workers = self._workers.workers()
        busy_workers = self.busy_workers()
        statuses = self._attempts.observe(
            busy_workers, self._changing_workers(workers), now_s
        )
        changes = self._decide_live_attempts(workers, statuses, now_s)
        changes += self._planner.plan_waiting(
            workers,
            self._configuration(),
            changes,
            StepContext(self._epoch, now_s, self._clock.now()),
        )
        committed = self._committer.commit(changes, self._epoch)
        self._record_outcomes(committed, statuses, now_s)
        self._discard_ended()
        self._start_attempts(statuses, now_s)

    def _refresh(self) -> None:
        services = self._configuration().services.values()
        self._view.refresh(
            (service.account, service.name)
            for service in services
            if service.pool == self._pool
        )

    def _record_outcomes(
        self,
        committed: Iterable[Change],
        statuses: Mapping[str, TaskStatus],
        now_s: float,
    ) -> None:
        """Records outcome and usage of the attempts that have ended, once each."""
        for base, record in committed:
            status = statuses.get(task_id_of(base.record))
            if base.record["state"] not in LIVE_STATES or status is None:
                continue
            if status.state is TaskState.SUCCEEDED:
                self._health.add_success(status.worker, record["service"])
            elif status.state is TaskState.FAILED:
                self._record_failure(record, status.worker, now_s)
            if record["state"] in ENDED_STATES and record["peak"] is not None:
                declared, peak = task_size(record["declared"]), record["peak"]
                self._usage.add(
                    record["service"], declared=declared, peak=task_size(peak)
                )

    def _discard_ended(self) -> None:
        live = [row.record for row in self._live_rows()]
        self._attempts.retain(live)
        task_ids = set(map(task_id_of, live))
        self._refusal_reasons = {
            task_id: reason
            for task_id, reason in self._refusal_reasons.items()
            if task_id in task_ids
        }

    def _live_rows(self) -> list[JobRow]:
        return list(self._view.in_states(JobState.STARTING, JobState.RUNNING))

    def _changing_workers(self, workers: Iterable[Worker]) -> frozenset[str]:
        """Returns workers where a start, a cancellation or a drain is in progress."""
        inactive = {worker.name for worker in workers if not worker.is_active}
        changing = {
            row.record["worker"] or ""
            for row in self._live_rows()
            if row.record["state"] is JobState.STARTING
            or row.record["is_cancel_requested"]
        }
        return frozenset(inactive | changing)

    def _decide_live_attempts(
        self,
        workers: Iterable[Worker],
        statuses: Mapping[str, TaskStatus],
        now_s: float,
    ) -> list[Change]:
        by_name = {worker.name: worker for worker in workers}
        stops_count = 0
        changes = []
        for row in self._live_rows():
            status = statuses.get(task_id_of(row.record))
            if status is None:
                record = self._decide_refused(row.record)
            elif status.state not in LIVE_TASK_STATES:
                record = self._decide_ended(row.record, status, by_name)
            else:
                record = self._decide_running(row.record, status)
                if stops_count < self._settings.stops_max_count:
                    stops_count += self._control_task(
                        row.record, status, by_name, now_s
                    )
            if record is not None:
                changes.append(Change(row, record))
        return changes

    def _decide_refused(self, record: JobRecord) -> JobRecord | None:
        reason = self._refusal_reasons.get(task_id_of(record))
        if record["state"] is not JobState.STARTING or reason is None:
            return None
        if record["is_cancel_requested"]:
            now = self._clock.now()
            return end_job(record, JobState.CANCELLED, "cancelled", now)
        return requeue(record, reason)

    def _decide_ended(
        self, record: JobRecord, status: TaskStatus, by_name: Mapping[str, Worker]
    ) -> JobRecord:
        eligible_workers_count = 0
        if status.state is TaskState.FAILED:
            size = task_size(record["granted"] or record["declared"])
            eligible_workers_count = sum(
                fits(size, worker.size) for worker in by_name.values()
            )
        return end_attempt(
            record,
            status,
            peak=self._attempts.update_peak(record, status),
            workers_count=eligible_workers_count,
            now=self._clock.now(),
        )

    def _record_failure(self, record: JobRecord, worker: str, now_s: float) -> None:
        job_id = record["job_id"]
        if self._health.add_failure(worker, record["service"], job_id, now_s):
            _log.warning("worker_quarantined", pool=self._pool, worker=worker)

    def _decide_running(
        self, record: JobRecord, status: TaskStatus
    ) -> JobRecord | None:
        peak = self._attempts.update_peak(record, status)
        if record["state"] is JobState.STARTING:
            return mark_running(record, peak)
        return None

    def _control_task(
        self,
        record: JobRecord,
        status: TaskStatus,
        by_name: Mapping[str, Worker],
        now_s: float,
    ) -> int:
        """
        :returns: number of calls made that count against the limit per step.
        """
        worker = by_name.get(status.worker)
        if record["is_cancel_requested"]:
            self._attempts.stop(record, self._epoch)
            return 1
        if worker is not None and not worker.is_active:
            self._attempts.checkpoint_then_stop(record, status, self._epoch, now_s)
            return 1
        if worker is not None:
            self._attempts.enforce_size(record, status, self._epoch, now_s)
        return 0

    def _start_attempts(self, statuses: Mapping[str, TaskStatus], now_s: float) -> None:
        """Starts committed attempts, including those of an earlier step or controller.

        The task id makes a start idempotent, so it is repeated after a lost response.
        The epoch fences a delayed start by an earlier controller.
        """
        starting = list(self._view.in_states(JobState.STARTING))
        started_count = 0
        for row in starting:
            record = row.record
            task_id = task_id_of(record)
            if task_id in statuses or task_id in self._refusal_reasons:
                continue
            if started_count == self._settings.starts_max_count:
                return
            started_count += 1
            self._handle_start_outcome(
                record, self._attempts.start(record, self._epoch), now_s
            )

    def _handle_start_outcome(
        self, record: JobRecord, outcome: StartOutcome, now_s: float
    ) -> None:
        worker = record["worker"] or ""
        if outcome is StartOutcome.REFUSED:
            self._refusal_reasons[task_id_of(record)] = (
                f"worker {worker} refused the task"
            )
            self._planner.pause_worker(worker, now_s)
            self._record_failure(record, worker, now_s)
        elif outcome is StartOutcome.REFUSED_AFTER_UNKNOWN:
            # The start whose response was lost may still take effect. Only a higher
            # epoch fences it, so the attempt can't be abandoned under this epoch.
            self._lease.release()
            message = f"start of {task_id_of(record)!r} must be fenced by a new epoch"
            raise NotLeaseHolderError(message)
