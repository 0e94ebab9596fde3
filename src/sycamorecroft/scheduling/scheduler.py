"""Scheduler of a service: places its tasks and decides what is stored."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

import structlog

from sycamorecroft.recorder import NullRecorder, Recorder
from sycamorecroft.scheduling.account_quotas import AccountQuotas
from sycamorecroft.scheduling.account_rates import account_weights, is_rated
from sycamorecroft.scheduling.account_usage import AccountUsage
from sycamorecroft.scheduling.admission_report import AdmissionReport
from sycamorecroft.scheduling.admission_reporter import AdmissionReporter
from sycamorecroft.scheduling.advice import AdviceResult, ApprovalCache
from sycamorecroft.scheduling.commit import Commit
from sycamorecroft.scheduling.commit_queue import CommitQueue
from sycamorecroft.scheduling.evacuation import choose_runs_to_evacuate
from sycamorecroft.scheduling.job_ranking import JobRanking
from sycamorecroft.scheduling.job_rates import JobRates
from sycamorecroft.scheduling.jobs import Job
from sycamorecroft.scheduling.load_monitor import LoadMonitor
from sycamorecroft.scheduling.model import (
    ClientAccount,
    FleetSnapshot,
    Resources,
    TaskId,
    WorkerRegistration,
)
from sycamorecroft.scheduling.near_placement import NearPlacement
from sycamorecroft.scheduling.order_outcomes import OrderOutcomes
from sycamorecroft.scheduling.orders import (
    Order,
    OrderQueue,
    StartTask,
    ThrottleTask,
)
from sycamorecroft.scheduling.placement import is_far
from sycamorecroft.scheduling.placement_copy import PlacementCopy
from sycamorecroft.scheduling.placement_order import FairOrder, RankOrder
from sycamorecroft.scheduling.pool_snapshot import PoolSnapshot
from sycamorecroft.scheduling.preemptor import Preemptor
from sycamorecroft.scheduling.progress_size import DEFAULT_ROW_LIMIT_BYTES
from sycamorecroft.scheduling.rows import (
    CANCEL_SUFFIX,
    CLOSED_SUFFIX,
    JobRow,
    JobState,
    ProgressRow,
    StoredRow,
    location_key,
)
from sycamorecroft.scheduling.run_durations import RunDurations
from sycamorecroft.scheduling.run_tracker import RunTracker
from sycamorecroft.scheduling.state_copies import StateCopies
from sycamorecroft.scheduling.stored_jobs import (
    StoredJob,
    decode_logged,
    read_stored_jobs,
)
from sycamorecroft.scheduling.task_placer import TaskPlacer
from sycamorecroft.scheduling.tasks import Run, RunPhase, Task
from sycamorecroft.scheduling.throttling import plan_throttles
from sycamorecroft.scheduling.waiting_jobs import WaitingJobs
from sycamorecroft.scheduling.worker_health import run_list_age_s, update_worker_health
from sycamorecroft.scheduling.worker_reports import WorkerReports
from sycamorecroft.scheduling.workers import Worker
from sycamorecroft.store.interfaces import Row

_log = structlog.get_logger(__name__)


class SchedulerSettings(NamedTuple):
    """Times and limits of the scheduler.

    ``former_lease_end_s``: monotonic time by which leases that former owners granted
    have expired. ``retention_s``: how long an ended job can be queried. ``stop_s``: how
    long a worker may take to stop a run. ``lease_max_s``: time to which a worker
    shortens longer leases. ``row_limit_bytes``: largest row that the store accepts.
    ``remote_slowdown_ratio``: factor by which a task takes longer far from its data.
    ``is_preemption_enabled``: whether runs may be stopped for more urgent jobs.
    """

    former_lease_end_s: float = 0.0
    retention_s: float = 180.0
    stop_s: float = 1.0
    lease_max_s: float = 10.0
    row_limit_bytes: int = DEFAULT_ROW_LIMIT_BYTES
    remote_slowdown_ratio: float = 1.0
    is_preemption_enabled: bool = False


class Scheduler:
    """State and decisions of one service. Not thread-safe.

    :ivar reports: applies reports of the workers.
    :ivar outcomes: applies outcomes of orders to the workers.
    :ivar usage: resources that the runs of each client account use.
    :ivar quotas: limits of the client accounts.
    :ivar accounts: client accounts of the configuration in force, by name; ``None`` if
        it has none.
    """

    def __init__(
        self,
        service: str,
        settings: SchedulerSettings,
        recorder: Recorder | None = None,
        epoch: int = 0,
    ) -> None:
        """
        :param recorder: receives counts and durations; none are recorded if ``None``.
        :param epoch: epoch of the owner's claim, for log lines.
        """
        self.service = service
        self._epoch = epoch
        self._settings = settings
        recorder = recorder or NullRecorder()
        self.jobs: dict[str, Job] = {}
        self.workers: dict[str, Worker] = {}
        self.usage = AccountUsage()
        self.accounts: dict[str, ClientAccount] | None = None
        self._rates = JobRates(service, epoch, recorder)
        # Jobs of which further occurrences are to be started.
        self._scheduled_jobs: dict[str, Job] = {}
        self._waiting_jobs = WaitingJobs()
        self._ranking = JobRanking()
        self._commits = CommitQueue(
            settings.retention_s, self._ranking, settings.row_limit_bytes
        )
        self._orders = OrderQueue()
        self._approvals = ApprovalCache()
        durations = RunDurations(settings.remote_slowdown_ratio)
        self._near = NearPlacement(
            service, epoch, self.workers, durations, self._ranking
        )
        self._runs = RunTracker(
            service,
            epoch,
            self.workers,
            self._orders,
            self._ranking,
            durations,
            recorder,
            self._on_job_changed,
            self._commits.mark_begun,
        )
        self.reports = WorkerReports(
            service,
            self.workers,
            self._runs,
            self._orders,
            self._commits,
            find_task=self._find_task,
            former_lease_end_s=settings.former_lease_end_s,
            lease_max_s=settings.lease_max_s,
            on_capacity_freed=self._on_capacity_freed,
        )
        self.outcomes = OrderOutcomes(
            service,
            self.workers,
            self._runs,
            self._approvals,
            recorder,
            self.reports.extend_unlisted_leases,
        )
        self.quotas = AccountQuotas(
            service,
            epoch,
            self.usage,
            recorder,
            self._waiting_jobs,
            self.workers,
            on_changed=self._on_capacity_freed,
        )
        self._placer = TaskPlacer(
            self.workers,
            self._approvals,
            self._orders,
            self._ranking,
            self._near,
            self._commits.mark_dirty,
            lambda: self._commits.is_full,
            settings.row_limit_bytes,
            self.quotas,
        )
        self._fair_order = FairOrder(
            service, epoch, self._ranking, self.usage, recorder
        )
        self._preemptor = Preemptor(
            service,
            epoch,
            self.workers,
            self._ranking,
            durations,
            self._fair_order.holds,
            self._runs,
            self.quotas,
            self.usage,
            recorder,
            stop_s=settings.stop_s,
            is_enabled=settings.is_preemption_enabled,
        )
        self._load_monitor = LoadMonitor(service, epoch)
        self._admission = AdmissionReporter(service, epoch, self._ranking)
        # Jobs whose rows can't be applied. Without its progress a job would be taken
        # for a new one, and run again.
        self._unusable_jobs: set[str] = set()
        self._is_placement_due = False
        self._now_ms = 0

    @property
    def epoch(self) -> int:
        """Epoch of the owner's claim."""
        return self._epoch

    def _find_task(self, name: str) -> Task | None:
        task_id = TaskId.parse(name)
        job = self.jobs.get(task_id.job_id) if task_id is not None else None
        if job is None or not job.is_active:
            return None
        return job.tasks.get(task_id)

    def _on_job_changed(self, job: Job) -> None:
        self._commits.mark_dirty(job)
        self._waiting_jobs.add(job)
        self._is_placement_due = True

    def _on_capacity_freed(self) -> None:
        self._is_placement_due = True

    def load(
        self,
        job_rows: Iterable[Row],
        progress_rows: Iterable[Row],
        pending_rows: Iterable[Row],
        now_s: float,
        now_ms: int,
    ) -> None:
        """Loads the jobs, their progress and the counts that former owners stored.

        :param pending_rows: counts of pending jobs by queue.
        :param now_s: monotonic time.
        :param now_ms: Unix time.
        """
        self._now_ms = now_ms
        self._commits.load_pending_counts(pending_rows)
        stored = read_stored_jobs(job_rows, progress_rows)
        self._unusable_jobs |= stored.unusable
        for job in stored.jobs:
            try:
                self._load_job(job, now_s, now_ms)
            except Exception:
                self._exclude_job(job.row)
        for job_id, progress in stored.orphaned.items():
            self._load_progress_without_job(job_id, progress)
        self._rates.judge_stored(self.jobs.values(), stored.jobs, now_ms)
        self._admission.discard_arrivals()
        for job in self.jobs.values():
            # The clocks of entry hosts differ, so that the time of acceptance doesn't
            # tell how long a job has waited.
            job.begin_due_s = now_s
        _log.info(
            "service_loaded",
            service=self.service,
            active_jobs_count=len(self.jobs),
            pending_jobs_count=sum(job.is_pending(now_s) for job in self.jobs.values()),
            ended_jobs_count=self._commits.ended_count,
        )

    def _load_progress_without_job(self, job_id: str, progress: ProgressRow) -> None:
        """Completes a removal that a former owner has begun."""
        if not progress.state.is_final:
            _log.error("job_row_missing", job=job_id, state=progress.state)
            return
        self._commits.remove_progress(job_id)

    def _load_job(self, stored: StoredJob, now_s: float, now_ms: int) -> None:
        row, progress = stored
        if progress is None or row.key.endswith(CANCEL_SUFFIX):
            self.apply_job_rows((row,), now_s, now_ms)
            job = self.jobs.get(row.key)
            if job is not None:
                job.restore_waiting_times(now_s, now_ms, None)
            return
        record = decode_logged(row, JobRow)
        if progress.state.is_final and not progress.tasks:
            key = location_key(record.queue, row.key) if record is not None else ""
            self._record_ended(row, key, now_s)
            return
        if record is None:
            return
        job = Job(row.key, record, now_s, now_ms, row.version, self.usage, row.part)
        job.restore(progress, now_s)
        if job.is_active:
            job.start_due_occurrences(now_s, now_ms)
        job.restore_waiting_times(now_s, now_ms, progress.changed_ms)
        self._track(job)
        for run in job.runs():
            self._adopt_run(run, now_s)

    def _record_ended(self, row: Row, key: str, now_s: float) -> None:
        """
        :param key: key of the location that is removed with the row.
        """
        stored = StoredRow(row.version, row.part, key)
        self._commits.record_ended(row.key, now_s, stored)

    def _track(self, job: Job) -> None:
        self.jobs[job.id] = job
        self._waiting_jobs.add(job)
        self._is_placement_due = True
        if job.has_next_occurrence:
            self._scheduled_jobs[job.id] = job

    def _adopt_run(self, run: Run, now_s: float) -> None:
        """Assigns a run of a former owner to its worker, which may have left."""
        worker = self.workers.get(run.worker_id)
        if worker is None:
            registration = WorkerRegistration(
                run.worker_id,
                self.service,
                "",
                "",
                False,
                (),
                Resources(),
                run.incarnation_ms,
            )
            worker = Worker(registration, self._settings.former_lease_end_s)
            worker.is_registered = False
            self.workers[worker.id] = worker
        run.phase = RunPhase.RUNNING
        run.is_adopted = True
        run.rack = worker.registration.rack
        run.is_far = is_far(run.task.spec, worker.labels)
        worker.add(run)
        _log.info(
            "run_adopted",
            task=run.task.id.name,
            attempt=run.attempt,
            worker=run.worker_id,
            assigned_born_ms=run.incarnation_ms,
            is_worker_registered=worker.is_registered,
            epoch=self._epoch,
        )
        if not run.task.job.is_active:
            self._runs.stop_run(run, now_s)

    def apply_fleet(self, fleet: FleetSnapshot, now_s: float = 0.0) -> None:
        """Applies a version of the configuration that has come into force.

        :param now_s: monotonic time.
        """
        self.quotas.apply_fleet(fleet, now_s)
        accounts = fleet.accounts
        self.accounts = (
            None
            if accounts is None
            else {account.name: account for account in accounts}
        )
        self._commits.has_accounts = accounts is not None
        self._rates.apply_accounts(self.accounts)
        has_accounts = self.accounts is not None
        if has_accounts and not self._ranking.has_accounts:
            self._rates.judge_stored(self.jobs.values(), (), self._now_ms)
        self._ranking.has_accounts = has_accounts
        if has_accounts:
            self._fair_order.apply_weights(account_weights(self.accounts))
            self._placer.order = self._fair_order
        else:
            self._placer.order = RankOrder(self._ranking)
        self._is_placement_due = True

    def apply_job_rows(self, rows: Iterable[Row], now_s: float, now_ms: int) -> None:
        """Applies submissions and cancellations."""
        self._now_ms = now_ms
        for row in rows:
            if row.value is None:
                continue
            if row.key.endswith(CANCEL_SUFFIX):
                self._cancel(row.key.removesuffix(CANCEL_SUFFIX), now_s)
            elif row.key.endswith(CLOSED_SUFFIX):
                self._record_ended(row, row.key.removesuffix(CLOSED_SUFFIX), now_s)
            elif not self._is_known(row):
                try:
                    self._add_job(row, now_s, now_ms)
                except Exception:
                    self._exclude_job(row)

    def _exclude_job(self, row: Row) -> None:
        """Leaves out a job whose rows raise an error, so that the others go on."""
        _log.exception("job_excluded", job=row.key, version=row.version)
        self._unusable_jobs.add(row.key)

    def _is_known(self, row: Row) -> bool:
        """Returns whether the row is that of a job taken in before.

        All rows are read again when the store has lost its history, also those of jobs
        that have ended and whose removal is queued or was stored since the read.
        """
        if row.key in self.jobs or row.key in self._unusable_jobs:
            return True
        return self._commits.has_ended(row.key, row.version)

    def _add_job(self, row: Row, now_s: float, now_ms: int) -> None:
        record = decode_logged(row, JobRow)
        if record is None:
            return
        job = Job(row.key, record, now_s, now_ms, row.version, self.usage, row.part)
        job.start_due_occurrences(now_s, now_ms)
        self._record_submission(job, now_s)
        self._track(job)
        self._load_monitor.record_arrival(job, now_s)
        _log.info(
            "job_taken_in",
            job=job.id,
            queue=job.queue.name,
            version=row.version,
            tasks_count=len(job.tasks),
            account=job.account,
            is_excess=job.is_excess,
        )

    def _record_submission(self, job: Job, now_s: float) -> None:
        """Judges a new job by its account's rate, and counts it for the report."""
        self._rates.judge(job, self._now_ms)
        if self.accounts is not None and is_rated(job.spec):
            self._admission.record_arrival(job, now_s)

    def _cancel(self, job_id: str, now_s: float) -> None:
        job = self.jobs.get(job_id)
        if job is not None and job.is_active:
            _log.info("job_cancelled", job=job_id, state=job.state)
            self._runs.finish_job(job, JobState.CANCELLED, now_s)

    def tick(self, now_s: float, now_ms: int) -> None:
        """Applies everything that depends on time only, such as expired leases."""
        self._now_ms = now_ms
        self.reports.check_contacts(now_s)
        self._start_due_occurrences(now_s, now_ms)
        update_worker_health(self.workers.values(), now_s)
        self._runs.retry_stops(now_s)
        self._evacuate(now_s)
        self._throttle(now_s)
        self._commits.expire(now_s)
        self._is_placement_due = True

    def _start_due_occurrences(self, now_s: float, now_ms: int) -> None:
        for job in list(self._scheduled_jobs.values()):
            if job.is_active and job.start_due_occurrences(now_s, now_ms):
                self._waiting_jobs.add(job)
                self._approvals.keep_occurrences(job.id, job.open_occurrences)
            if not (job.is_active and job.has_next_occurrence):
                del self._scheduled_jobs[job.id]

    def _evacuate(self, now_s: float) -> None:
        """Evacuates long-running tasks from workers that are being drained."""
        stop_s = self._settings.stop_s
        for run in choose_runs_to_evacuate(self.workers, now_s, stop_s):
            worker = self.workers[run.worker_id]
            _log.info(
                "task_evacuated",
                task=run.task.id.name,
                attempt=run.attempt,
                worker=worker.id,
                reason="draining"
                if worker.registration.is_draining
                else "planned work",
            )
            self._runs.stop_run(run, now_s)

    def _throttle(self, now_s: float) -> None:
        """Changes the shares of best-effort tasks that run beside serving tasks."""
        for run, percent in plan_throttles(self.workers.values(), now_s):
            _log.info(
                "task_paced",
                task=run.task.id.name,
                attempt=run.attempt,
                worker=run.worker_id,
                former_percent=run.share_percent,
                percent=percent,
                list_age_s=run_list_age_s(self.workers[run.worker_id], now_s),
            )
            self._orders.add(ThrottleTask(run, percent))

    def snapshot(self, now_s: float) -> PoolSnapshot:
        """
        :returns: load of the service's workers.
        """
        return self._load_monitor.snapshot(
            self._waiting_jobs.steps(),
            self.workers.values(),
            now_s,
            self.reports.marks_version,
            self.quotas.is_limited if self.quotas.is_active else None,
        )

    def admission_report(
        self, stored: AdmissionReport | None, now_s: float
    ) -> AdmissionReport:
        """
        :param stored: report that was stored last.
        :returns: which share of its submissions each account is to be refused.
        """
        return self._admission.report(
            self._waiting_jobs.jobs,
            self.workers.values(),
            self.accounts,
            stored,
            now_s,
        )

    def place(self, now_s: float) -> None:
        """Assigns waiting tasks to workers with free capacity.

        Stops when the next commit is full: while the store is slow, further tasks would
        occupy capacity that others could use until their commit is stored.
        """
        if not self._is_placement_due and now_s < self._near.due_s:
            return
        self._is_placement_due = self._placer.place(self._waiting_jobs, now_s)
        if not self._is_placement_due:
            self._preemptor.preempt(self._waiting_jobs, now_s)

    def copy_placement(
        self, now_s: float, now_ms: int, is_over: Callable[[], bool]
    ) -> PlacementCopy:
        """
        :param now_ms: Unix time.
        :param is_over: returns whether copying has taken too long.
        :returns: copy of what the next placement reads and changes.
        :raises CopyLimitError: when copying has taken too long.
        """
        usage, ranking = self.usage.copy(), self._ranking.copy()
        waiting = self._waiting_jobs.jobs()
        copies = StateCopies(waiting, self.workers, usage, is_over)
        return PlacementCopy(
            self.service,
            self._epoch,
            now_s,
            now_ms,
            copies.jobs,
            copies.workers_by_id,
            usage,
            ranking,
            self._near.copy(copies, ranking),
            self._placer.order.copy(copies.jobs, ranking, usage),
            self._placer.kept_room.copy(),
            self._approvals.copy(),
            self._commits.dirty_jobs(),
            self._settings.row_limit_bytes,
            self.quotas.copy(usage),
        )

    def would_exceed_rate(self, job: Job, now_ms: int) -> bool:
        """
        :param now_ms: Unix time.
        :returns: whether a new job would be beyond its account's rate.
        """
        return self._rates.would_exceed(job, now_ms)

    def apply_advice(self, result: AdviceResult, now_s: float) -> None:
        """Applies an answer of the advice service."""
        incarnations_ms = {
            worker.id: worker.incarnation_ms for worker in self.workers.values()
        }
        self._approvals.apply(result, incarnations_ms, now_s)
        self._is_placement_due = True
        approvals = result.approvals
        _log.info(
            "advice_applied",
            step=result.request.step.name,
            asked_count=len(result.request.workers),
            approved_count=len(approvals.approved) if approvals else None,
        )

    def next_commit(self, now_s: float) -> Commit | None:
        """
        :returns: changes since the last commit, or ``None`` if there are none.
        """
        return self._commits.take(self.jobs, now_s, self._now_ms)

    def apply_commit(self, commit: Commit, now_s: float) -> None:
        """Gives the orders that depend on a commit, once the commit is stored."""
        for run in commit.starts:
            if run.task.run is run and run.phase is RunPhase.COMMITTING:
                self._start(run, now_s)
        for stored in commit.jobs:
            if stored.progress is None:
                self._commits.record_removed(stored.job_id, now_s)
                continue
            job = self.jobs.get(stored.job_id)
            if job is None or job.is_active or job.runs():
                continue
            if self._commits.is_dirty(job):
                continue
            del self.jobs[job.id]
            self._commits.record_ended(job.id, now_s, job.stored_row)
            self._orders.discard_job(job.id)
            self._approvals.discard_job(job.id)

    def _start(self, run: Run, now_s: float) -> None:
        commit_s = now_s - run.assigned_s
        self._ranking.record_commit(commit_s)
        run.phase = RunPhase.STARTING
        run.started_s = now_s
        run.progressed_s = now_s
        is_resumed = run.task.spec.is_checkpointed
        checkpoint = run.task.checkpoint if is_resumed else ""
        ticket = self._placer.ticket(run.task, run.worker_id, now_s)
        self._orders.add(StartTask(run, checkpoint, ticket))
        worker = self.workers.get(run.worker_id)
        _log.info(
            "task_started",
            task=run.task.id.name,
            attempt=run.attempt,
            worker=run.worker_id,
            epoch=self._epoch,
            waited_s=round(now_s - run.task.waiting_since_s, 3),
            is_far=run.is_far,
            commit_s=round(commit_s, 3),
            free_cpu_millicores=worker.free.cpu_millicores if worker else None,
            list_age_s=run_list_age_s(worker, now_s),
        )

    def take_orders(self) -> list[Order]:
        """
        :returns: orders to be sent now, which are removed from the queue.
        """
        return self._orders.take()
