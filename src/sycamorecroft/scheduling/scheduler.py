"""Decisions of the owner of a service: which task runs where, and what an end means."""

from collections.abc import Iterable
from typing import NamedTuple

import structlog

from sycamorecroft.errors import RecordError
from sycamorecroft.metrics import JOB_ENDS, RUN_ENDS, START_RETRIES, START_TIME
from sycamorecroft.recorder import NullRecorder, Recorder
from sycamorecroft.scheduling.advice import AdviceBook, AdviceResult
from sycamorecroft.scheduling.calls import (
    FinishedRun,
    HoldReply,
    OrderReply,
    OrderStatus,
    RunEnd,
    RunningTask,
)
from sycamorecroft.scheduling.commit import Acknowledgement, Commit, JobProgress
from sycamorecroft.scheduling.evacuation import runs_to_move
from sycamorecroft.scheduling.jobs import Job, Run, RunPhase, Task
from sycamorecroft.scheduling.load_report import LoadReport
from sycamorecroft.scheduling.model import Resources, WorkerEntry
from sycamorecroft.scheduling.orders import (
    Order,
    OrderBook,
    PaceTask,
    StartTask,
    StopTask,
)
from sycamorecroft.scheduling.pacing import plan_paces
from sycamorecroft.scheduling.pending_counts import PendingCounts
from sycamorecroft.scheduling.pool_snapshot import PoolSnapshot, WorkerMarks
from sycamorecroft.scheduling.rows import (
    CANCEL_SUFFIX,
    JobRow,
    JobState,
    ProgressRow,
    decode_row,
)
from sycamorecroft.scheduling.task_placer import TaskPlacer, step_of
from sycamorecroft.scheduling.worker_watch import (
    age_s,
    compare_workers,
    note_heard,
    note_silent,
)
from sycamorecroft.scheduling.workers import Worker
from sycamorecroft.store.interfaces import Row

_log = structlog.get_logger(__name__)

# A worker lists at most this many ends at a time; a full list says nothing of others.
FINISHED_PAGE_COUNT = 500
REJECTED_PAUSE_S = 0.2
JOBS_PER_COMMIT_COUNT = 90


class SchedulerSettings(NamedTuple):
    """Times of the scheduler.

    ``former_lease_end_s``: time by which the leases that former owners gave have ended.
    ``retention_s``: how long an ended job can be asked for.
    """

    former_lease_end_s: float = 0.0
    retention_s: float = 180.0


class Scheduler:
    """State and decisions of one service. Not thread-safe."""

    def __init__(
        self,
        service: str,
        settings: SchedulerSettings,
        recorder: Recorder | None = None,
        epoch: int = 0,
    ) -> None:
        """
        :param recorder: counts and durations go there.
        :param epoch: epoch of the owner's claim, for its log lines.
        """
        self.service = service
        self._recorder = recorder or NullRecorder()
        self._epoch = epoch
        self.jobs: dict[str, Job] = {}
        self.workers: dict[str, Worker] = {}
        self._settings = settings
        self._ended_s: dict[str, float] = {}
        self._dirty: dict[str, Job] = {}
        self._expired: list[str] = []
        self._acknowledgements: dict[str, int] = {}
        self._orders = OrderBook()
        self._advice = AdviceBook()
        self._placer = TaskPlacer(
            self.workers, self._advice, self._orders, self._mark_dirty
        )
        self._load = LoadReport(service, epoch)
        self._pending = PendingCounts()
        self._marks = WorkerMarks()
        self._marks_version = 0
        self._is_placement_due = False
        self._clock_ms = 0

    def _mark_dirty(self, job: Job) -> None:
        self._dirty[job.id] = job

    def load(
        self,
        job_rows: Iterable[Row],
        progress_rows: Iterable[Row],
        now_s: float,
        now_ms: int,
    ) -> None:
        """Takes over what former owners stored.

        :param now_s: monotonic time.
        :param now_ms: Unix time.
        """
        self._clock_ms = now_ms
        progress: dict[str, ProgressRow] = {}
        for row in progress_rows:
            decoded = _decode(row, ProgressRow)
            if decoded is not None:
                progress[row.key] = decoded
        for row in job_rows:
            self._load_row(row, progress.get(row.key), now_s, now_ms)
        _log.info(
            "service_loaded",
            service=self.service,
            active_jobs_count=len(self.jobs),
            ended_jobs_count=len(self._ended_s),
        )

    def _load_row(
        self, row: Row, progress: ProgressRow | None, now_s: float, now_ms: int
    ) -> None:
        if progress is None or row.key.endswith(CANCEL_SUFFIX):
            self.apply_job_rows((row,), now_s, now_ms)
            return
        if progress.state.is_final and not progress.tasks:
            self._ended_s[row.key] = now_s
            return
        record = _decode(row, JobRow)
        if record is None:
            return
        job = Job(row.key, record, now_s, now_ms)
        job.begin_due_occurrences(now_s, now_ms)
        job.restore(progress, now_s)
        self.jobs[job.id] = job
        for run in job.runs():
            self._adopt(run, now_s)
        self._is_placement_due = True

    def _adopt(self, run: Run, now_s: float) -> None:
        """Counts a run of a former owner at its worker, which may be gone."""
        worker = self.workers.get(run.worker_id)
        if worker is None:
            entry = WorkerEntry(
                run.worker_id, self.service, "", "", False, (), Resources(), run.born_ms
            )
            worker = Worker(entry, self._settings.former_lease_end_s)
            worker.is_listed = False
            self.workers[worker.id] = worker
        run.phase = RunPhase.RUNNING
        run.rack = worker.entry.rack
        worker.add(run)
        if not run.task.job.is_active:
            self._stop(run, now_s)

    def apply_job_rows(self, rows: Iterable[Row], now_s: float, now_ms: int) -> None:
        """Takes in submissions and cancellations."""
        self._clock_ms = now_ms
        for row in rows:
            if row.value is None:
                continue
            if row.key.endswith(CANCEL_SUFFIX):
                self._cancel(row.key.removesuffix(CANCEL_SUFFIX), now_s)
            elif row.key not in self.jobs and row.key not in self._ended_s:
                self._add_job(row, now_s, now_ms)

    def _add_job(self, row: Row, now_s: float, now_ms: int) -> None:
        record = _decode(row, JobRow)
        if record is None:
            return
        job = Job(row.key, record, now_s, now_ms)
        self.jobs[job.id] = job
        job.begin_due_occurrences(now_s, now_ms)
        self._is_placement_due = True
        self._load.record_arrival(job, now_s)
        _log.info(
            "job_taken_in",
            job=job.id,
            queue=job.queue.name,
            version=row.version,
            tasks_count=len(job.tasks),
        )

    def _cancel(self, job_id: str, now_s: float) -> None:
        job = self.jobs.get(job_id)
        if job is not None and job.is_active:
            _log.info("job_cancelled", job=job_id, state=job.state)
            self._finish(job, JobState.CANCELLED, now_s)

    def apply_workers(self, entries: Iterable[WorkerEntry], now_s: float) -> None:
        """Takes in the list of the service's workers."""
        listed = {entry.worker_id: entry for entry in entries}
        for worker_id, entry in listed.items():
            self._apply_entry(worker_id, entry, now_s)
        for worker in list(self.workers.values()):
            if worker.id not in listed and worker.is_listed:
                worker.is_listed = False
                _log.info("worker_unlisted", worker=worker.id, service=self.service)

    def _apply_entry(self, worker_id: str, entry: WorkerEntry, now_s: float) -> None:
        worker = self.workers.get(worker_id)
        if worker is None:
            worker = Worker(entry, self._settings.former_lease_end_s, now_s)
            self._apply_marks(worker)
            self.workers[worker_id] = worker
            self._is_placement_due = True
            _log.info(
                "worker_listed",
                worker=worker_id,
                machine=entry.machine,
                service=self.service,
            )
        if entry.born_ms > worker.born_ms:
            self._restart_worker(worker, entry.born_ms, now_s)
        if entry.is_draining and not worker.entry.is_draining:
            _log.info("worker_draining", worker=worker_id, runs=len(worker.runs))
        worker.entry = entry
        worker.is_listed = True

    def _restart_worker(self, worker: Worker, born_ms: int, now_s: float) -> None:
        """A worker that started again knows nothing of the runs of before."""
        _log.info("worker_restarted", worker=worker.id, born_ms=born_ms)
        worker.born_ms = born_ms
        worker.processed_end = 0
        self._acknowledgements.pop(worker.id, None)
        for run in list(worker.runs.values()):
            if run.born_ms < born_ms and run.phase is not RunPhase.COMMITTING:
                self._end(run, RunEnd.LAPSED, "", now_s)

    def apply_hold(
        self,
        worker_id: str,
        reply: HoldReply,
        *,
        sent_s: float,
        now_s: float,
        lease_end_s: float,
    ) -> None:
        """Takes in the runs that a worker lists.

        :param sent_s: when the list was asked for.
        :param lease_end_s: time by which the worker ends all runs if not reached.
        """
        worker = self.workers.get(worker_id)
        if worker is None or (reply.born_ms and reply.born_ms < worker.born_ms):
            return
        if reply.born_ms > worker.born_ms:
            self._restart_worker(worker, reply.born_ms, now_s)
        if not worker.is_in_contact(now_s):
            self._is_placement_due = True
            note_heard(worker, now_s)
        worker.heard_s = now_s
        worker.is_silent = False
        worker.lease_end_s = max(worker.lease_end_s, lease_end_s)
        for finished in reply.finished:
            self._apply_finished(worker, finished, now_s)
        listed = {task.task for task in reply.running}
        for running in reply.running:
            self._apply_running(worker, running, now_s)
        if len(reply.finished) < FINISHED_PAGE_COUNT:
            self._end_absent(worker, listed, sent_s, now_s)

    def _apply_finished(
        self, worker: Worker, finished: FinishedRun, now_s: float
    ) -> None:
        if finished.number <= worker.processed_end:
            return
        worker.processed_end = finished.number
        self._acknowledgements[worker.id] = finished.number
        run = worker.runs.get(finished.task)
        if run is None or run.attempt != finished.attempt:
            return
        self._end(run, RunEnd(finished.end), finished.checkpoint, now_s)

    def _apply_running(
        self, worker: Worker, running: RunningTask, now_s: float
    ) -> None:
        run = worker.runs.get(running.task)
        if run is None or run.attempt != running.attempt:
            self._stop_unknown(worker, running, now_s)
            return
        if run.phase is RunPhase.STARTING:
            run.phase = RunPhase.RUNNING
        if running.progress_percent != run.progress_percent:
            run.progress_percent = running.progress_percent
            run.progressed_s = now_s
        run.gauge = running.gauge
        if running.checkpoint:
            run.task.checkpoint = running.checkpoint

    def _stop_unknown(self, worker: Worker, running: RunningTask, now_s: float) -> None:
        """Ends a run that was started late or belongs to a job that has ended."""
        name, attempt = running.task, running.attempt
        if not self._orders.stop(worker.id, name, attempt, now_s):
            return
        _log.info(
            "unknown_run_stopped",
            task=running.task,
            attempt=running.attempt,
            worker=worker.id,
        )

    def _end_absent(
        self, worker: Worker, listed: set[str], sent_s: float, now_s: float
    ) -> None:
        for name, run in list(worker.runs.items()):
            is_settled = run.settled_s is not None and run.settled_s < sent_s
            if is_settled and name not in listed:
                self._end(run, RunEnd.LAPSED, "", now_s)

    def apply_start(self, run: Run, reply: OrderReply, now_s: float) -> None:
        """Takes in the outcome of an order to start."""
        if run.task.run is not run or run.phase is not RunPhase.STARTING:
            if reply.status is OrderStatus.DONE and run.task.run is run:
                run.settled_s = run.settled_s or now_s
            return
        worker = self.workers[run.worker_id]
        if reply.status is OrderStatus.DONE:
            run.phase = RunPhase.RUNNING
            run.settled_s = now_s
            waited_s = now_s - run.task.waiting_since_s
            self._recorder.record(START_TIME, waited_s, service=self.service)
            return
        reason = reply.reason if reply.status is OrderStatus.REJECTED else reply.status
        self._recorder.count(START_RETRIES, service=self.service, reason=reason)
        _log.info(
            "start_not_confirmed",
            task=run.task.id.name,
            attempt=run.attempt,
            worker=run.worker_id,
            status=reply.status,
            reason=reply.reason,
        )
        if reply.status is OrderStatus.UNKNOWN:
            self._stop(run, now_s)
            return
        if reply.status is OrderStatus.UNHEALTHY:
            worker.quarantine(now_s)
        elif reply.status is OrderStatus.REJECTED and reply.reason == "ticket":
            self._advice.forget_ticket(step_of(run.task), worker.id)
        elif reply.status is OrderStatus.REJECTED:
            pause_end_s = now_s + REJECTED_PAUSE_S
            worker.quarantined_until_s = max(worker.quarantined_until_s, pause_end_s)
        self._end(run, RunEnd.STOPPED, "", now_s)

    def apply_stop(self, order: StopTask, reply: OrderReply, now_s: float) -> None:
        """Takes in the outcome of an order to stop."""
        worker = self.workers.get(order.worker_id)
        run = worker.runs.get(order.task) if worker else None
        if run is None or run.attempt != order.attempt:
            return
        if reply.status in (OrderStatus.DONE, OrderStatus.REJECTED):
            run.settled_s = now_s

    def extend_lease(self, worker_id: str, lease_end_s: float) -> None:
        """A list without an answer may have extended the worker's lease."""
        worker = self.workers.get(worker_id)
        if worker is not None:
            worker.lease_end_s = max(worker.lease_end_s, lease_end_s)

    def replace_worker(self, worker_id: str, now_s: float) -> None:
        """Another worker answers at the address: the former one has ended."""
        worker = self.workers.get(worker_id)
        if worker is None:
            return
        for run in list(worker.runs.values()):
            if run.phase is not RunPhase.COMMITTING:
                self._end(run, RunEnd.LAPSED, "", now_s)

    def tick(self, now_s: float, now_ms: int) -> None:
        """Does what depends on time only."""
        self._clock_ms = now_ms
        for worker in list(self.workers.values()):
            self._check_contact(worker, now_s)
        for job in list(self.jobs.values()):
            if job.is_active and job.begin_due_occurrences(now_s, now_ms):
                self._is_placement_due = True
        compare_workers(self.workers.values(), now_s)
        self._retry_stops(now_s)
        self._evacuate(now_s)
        self._pace(now_s)
        self._expire(now_s)
        self._is_placement_due = True

    def _check_contact(self, worker: Worker, now_s: float) -> None:
        if worker.is_in_contact(now_s):
            return
        note_silent(worker, now_s)
        # A worker that wasn't asked yet may list ends of runs whose leases are over.
        if now_s >= worker.lease_end_s and not worker.is_expected(now_s):
            for run in list(worker.runs.values()):
                if run.phase in (RunPhase.RUNNING, RunPhase.STOPPING):
                    self._end(run, RunEnd.LAPSED, "", now_s)
        if not worker.is_listed and not worker.runs:
            del self.workers[worker.id]
            _log.info("worker_forgotten", worker=worker.id, service=self.service)

    def _retry_stops(self, now_s: float) -> None:
        for worker in self.workers.values():
            if not worker.is_in_contact(now_s):
                continue
            for run in worker.runs.values():
                if run.phase is RunPhase.STOPPING and run.settled_s is None:
                    self._orders.stop(
                        run.worker_id, run.task.id.name, run.attempt, now_s
                    )

    def mark_workers(self, marks: WorkerMarks, version: int = 0) -> None:
        """Takes in which workers planned work concerns.

        :param version: version of the marks' row, which snapshots tell.
        """
        self._marks = marks
        self._marks_version = version
        for worker in self.workers.values():
            self._apply_marks(worker)
        self._is_placement_due = True

    def _apply_marks(self, worker: Worker) -> None:
        worker.is_reserved = worker.id in self._marks.reserved
        worker.is_due = worker.id in self._marks.due

    def _evacuate(self, now_s: float) -> None:
        """Moves long-running tasks off workers that are about to be emptied."""
        for run in runs_to_move(self.workers, now_s):
            worker = self.workers[run.worker_id]
            _log.info(
                "task_moved_away",
                task=run.task.id.name,
                attempt=run.attempt,
                worker=worker.id,
                reason="draining" if worker.entry.is_draining else "planned work",
            )
            self._stop(run, now_s)

    def _pace(self, now_s: float) -> None:
        """Slows down or speeds up tasks that fill beside tasks that serve."""
        for run, percent in plan_paces(self.workers.values(), now_s):
            _log.info(
                "task_paced",
                task=run.task.id.name,
                attempt=run.attempt,
                worker=run.worker_id,
                former_percent=run.pace_percent,
                percent=percent,
                list_age_s=age_s(self.workers[run.worker_id], now_s),
            )
            self._orders.add(PaceTask(run, percent))

    def apply_pace(self, order: PaceTask, reply: OrderReply) -> None:
        """Takes in the outcome of an order to limit a run's share."""
        if reply.status is OrderStatus.DONE:
            order.run.pace_percent = order.percent
            return
        # The order may still be carried out, after later ones.
        order.run.pace_percent = None
        _log.info(
            "pace_not_confirmed",
            task=order.run.task.id.name,
            attempt=order.run.attempt,
            worker=order.worker_id,
            status=reply.status,
            reason=reply.reason,
        )

    def snapshot(self, now_s: float) -> PoolSnapshot:
        """
        :returns: load of the service's workers.
        """
        return self._load.snapshot(
            self.jobs.values(), self.workers.values(), now_s, self._marks_version
        )

    def _expire(self, now_s: float) -> None:
        limit_s = now_s - self._settings.retention_s
        while self._ended_s:
            job_id, ended_s = next(iter(self._ended_s.items()))
            if ended_s > limit_s:
                return
            del self._ended_s[job_id]
            self._expired.append(job_id)

    def _end(self, run: Run, end: RunEnd, checkpoint: str, now_s: float) -> None:
        """Frees the run's room and decides what its end means for the task."""
        task = run.task
        worker = self.workers.get(run.worker_id)
        if worker is not None:
            worker.remove(run)
        task.run = None
        task.waiting_since_s = now_s
        if checkpoint:
            task.checkpoint = checkpoint
        job = task.job
        self._mark_dirty(job)
        self._is_placement_due = True
        self._recorder.count(RUN_ENDS, service=self.service, end=end.value)
        _log.info(
            "run_ended",
            task=task.id.name,
            attempt=run.attempt,
            worker=run.worker_id,
            end=end,
            duration_s=round(now_s - run.started_s, 3),
            failures_count=task.failures_count,
        )
        if not job.is_active:
            return
        if end is RunEnd.DONE:
            self._complete_task(task, worker, now_s, now_s - run.started_s)
        elif end is RunEnd.FAILED:
            self._fail_task(task, worker, now_s)

    def _complete_task(
        self, task: Task, worker: Worker | None, now_s: float, duration_s: float
    ) -> None:
        if worker is not None:
            worker.record_success()
        if task.spec.is_long_running:
            return
        if worker is not None and task.spec.estimate_ms:
            worker.record_duration(duration_s * 1000 / task.spec.estimate_ms)
        members = [task]
        if task.spec.is_gang:
            members = task.job.step_tasks(task.id.occurrence, task.id.step)
        for member in members:
            member.is_done = True
        task.job.chain_left_s = None
        if task.job.is_complete():
            self._finish(task.job, JobState.COMPLETE, now_s)

    def _fail_task(self, task: Task, worker: Worker | None, now_s: float) -> None:
        job = task.job
        if worker is not None:
            task.failed_workers |= {worker.id}
        if worker is not None and worker.record_failure(job.id, now_s):
            _log.warning(
                "worker_quarantined",
                worker=worker.id,
                until_s=round(worker.quarantined_until_s, 3),
                reason="runs of several jobs failed in a row",
            )
        if task.spec.is_long_running:
            return
        task.failures_count += 1
        if task.failures_count >= job.queue.attempts_count:
            self._finish(job, JobState.FAILED, now_s)

    def _finish(self, job: Job, state: JobState, now_s: float) -> None:
        job.state = state
        self._mark_dirty(job)
        self._recorder.count(JOB_ENDS, service=self.service, state=state.value)
        _log.info(
            "job_ended",
            job=job.id,
            queue=job.queue.name,
            state=state,
            duration_s=round(now_s - job.accepted_s, 3),
            epoch=self._epoch,
        )
        for run in job.runs():
            self._stop(run, now_s)

    def _stop(self, run: Run, now_s: float) -> None:
        """Ends a run; its room is free only once the worker says so."""
        if run.phase is RunPhase.COMMITTING:
            self._end(run, RunEnd.STOPPED, "", now_s)
            return
        if run.phase is RunPhase.STOPPING:
            return
        run.phase = RunPhase.STOPPING
        run.settled_s = None
        self._order_stop(run, now_s)

    def _order_stop(self, run: Run, now_s: float) -> None:
        name = run.task.id.name
        self._orders.stop(run.worker_id, name, run.attempt, now_s)

    def place(self, now_s: float) -> None:
        """Assigns waiting tasks to workers that have room."""
        if not self._is_placement_due:
            return
        self._is_placement_due = False
        self._placer.place(self.jobs.values(), now_s)

    def apply_advice(self, result: AdviceResult, now_s: float) -> None:
        """Takes in an answer of the advice service."""
        born_ms = {worker.id: worker.born_ms for worker in self.workers.values()}
        self._advice.apply(result, born_ms, now_s)
        self._is_placement_due = True
        approvals = result.approvals
        _log.info(
            "advice_taken_in",
            step=result.question.step.name,
            asked_count=len(result.question.workers),
            approved_count=len(approvals.approved) if approvals else None,
        )

    def next_commit(self, now_s: float) -> Commit | None:
        """
        :returns: what has changed since the last commit, or ``None``.
        """
        pending = self._pending.changed(self.jobs.values(), now_s)
        if not (self._dirty or self._acknowledgements or self._expired or pending):
            return None
        jobs = list(self._dirty.values())[:JOBS_PER_COMMIT_COUNT]
        for job in jobs:
            del self._dirty[job.id]
        entries = [JobProgress(job.id, job.progress(self._clock_ms)) for job in jobs]
        room_count = (JOBS_PER_COMMIT_COUNT - len(entries)) // 3
        expired, self._expired = (
            self._expired[:room_count],
            self._expired[room_count:],
        )
        entries += [JobProgress(job_id, None) for job_id in expired]
        starts = tuple(
            run
            for job in jobs
            for run in job.runs()
            if run.phase is RunPhase.COMMITTING
        )
        acknowledgements: tuple[Acknowledgement, ...] = ()
        if not self._dirty:
            acknowledgements = tuple(
                Acknowledgement(*item) for item in self._acknowledgements.items()
            )
            self._acknowledgements = {}
        return Commit(tuple(entries), starts, acknowledgements, pending)

    def apply_commit(self, commit: Commit, now_s: float) -> None:
        """Gives the orders that had to wait for a commit, once it is stored."""
        for run in commit.starts:
            if run.task.run is run and run.phase is RunPhase.COMMITTING:
                run.phase = RunPhase.STARTING
                run.started_s = now_s
                run.progressed_s = now_s
                is_resumed = run.task.spec.is_checkpointed
                checkpoint = run.task.checkpoint if is_resumed else ""
                ticket = self._placer.ticket(run.task, run.worker_id, now_s)
                self._orders.add(StartTask(run, checkpoint, ticket))
                self._log_start(run, now_s)
        for entry in commit.jobs:
            job = self.jobs.get(entry.job_id)
            if job is None or job.is_active or job.runs() or job.id in self._dirty:
                continue
            del self.jobs[job.id]
            self._ended_s[job.id] = now_s
            self._orders.forget_job(job.id)
            self._advice.forget_job(job.id)

    def _log_start(self, run: Run, now_s: float) -> None:
        worker = self.workers.get(run.worker_id)
        _log.info(
            "task_started",
            task=run.task.id.name,
            attempt=run.attempt,
            worker=run.worker_id,
            epoch=self._epoch,
            waited_s=round(now_s - run.task.waiting_since_s, 3),
            free_cpu_millicores=worker.free.cpu_millicores if worker else None,
            list_age_s=age_s(worker, now_s),
        )

    def take_orders(self) -> list[Order]:
        """
        :returns: orders to be sent now.
        """
        return self._orders.take()


def _decode(row: Row, row_type: type) -> object | None:
    try:
        return decode_row(row.value, row_type)
    except RecordError as error:
        _log.error("row_not_understood", table=row.table, key=row.key, error=str(error))
        return None
