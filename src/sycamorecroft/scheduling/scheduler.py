"""Decisions of the owner of a service: which task runs where, and what an end means."""

from collections import deque
from collections.abc import Iterable, Sequence
from typing import NamedTuple

import structlog

from sycamorecroft.errors import RecordError
from sycamorecroft.metrics import JOB_ENDS, RUN_ENDS, START_RETRIES, START_TIME
from sycamorecroft.recorder import NullRecorder, Recorder
from sycamorecroft.scheduling.advice import (
    AdviceBook,
    AdviceResult,
    AskAdvice,
    StepId,
)
from sycamorecroft.scheduling.calls import (
    FinishedRun,
    HoldReply,
    OrderReply,
    OrderStatus,
    RunEnd,
    RunningTask,
)
from sycamorecroft.scheduling.commit import Acknowledgement, Commit, JobProgress
from sycamorecroft.scheduling.jobs import Job, Run, RunPhase, Task
from sycamorecroft.scheduling.model import Resources, TaskId, WorkerEntry
from sycamorecroft.scheduling.order import job_rank
from sycamorecroft.scheduling.placement import choose_worker
from sycamorecroft.scheduling.pool_snapshot import (
    PoolSnapshot,
    WorkerMarks,
    WorkerSnapshot,
)
from sycamorecroft.scheduling.rows import (
    CANCEL_SUFFIX,
    JobRow,
    JobState,
    ProgressRow,
    decode_row,
)
from sycamorecroft.scheduling.workers import Worker, mark_slow_workers
from sycamorecroft.store.interfaces import Row

_log = structlog.get_logger(__name__)

# A worker lists at most this many ends at a time; a full list says nothing of others.
FINISHED_PAGE_COUNT = 500
STOP_RETRY_S = 0.5
REJECTED_PAUSE_S = 0.2
JOBS_PER_COMMIT_COUNT = 90
PENDING_INTERVAL_S = 0.5
WAITING_LOG_INTERVAL_S = 1.0
ARRIVAL_WINDOW_S = 1.0


class StartTask(NamedTuple):
    """Order to start a run whose assignment is stored."""

    run: Run
    checkpoint: str
    ticket: str = ""

    @property
    def worker_id(self) -> str:
        """Worker that gets the order."""
        return self.run.worker_id


class StopTask(NamedTuple):
    """Order to end an attempt of a task on a worker."""

    worker_id: str
    task: str
    attempt: int


class Arrival(NamedTuple):
    """Estimated work of a job that was taken in."""

    at_s: float
    millicore_s: float


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
        self._waiting_logged_s = 0.0
        self.jobs: dict[str, Job] = {}
        self.workers: dict[str, Worker] = {}
        self._settings = settings
        self._ended_s: dict[str, float] = {}
        self._dirty: dict[str, Job] = {}
        self._expired: list[str] = []
        self._acknowledgements: dict[str, int] = {}
        self._orders: list[StartTask | StopTask | AskAdvice] = []
        self._advice = AdviceBook()
        self._stop_sent_s: dict[tuple[str, int], float] = {}
        self._is_placement_due = False
        self._pending_counts: dict[str, int] = {}
        self._pending_written_s = 0.0
        self._arrivals: deque[Arrival] = deque()
        self._clock_ms = 0

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
        self._record_arrival(job, now_s)
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
            _log.info(
                "worker_heard",
                worker=worker_id,
                service=self.service,
                silent_s=_age_s(worker, now_s),
                born_ms=worker.born_ms,
            )
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
        key = (running.task, running.attempt)
        if now_s - self._stop_sent_s.get(key, -STOP_RETRY_S) < STOP_RETRY_S:
            return
        self._stop_sent_s[key] = now_s
        self._orders.append(StopTask(worker.id, running.task, running.attempt))
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
            self._advice.forget_ticket(_step_of(run.task), worker.id)
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
        self._compare_workers(now_s)
        self._retry_stops(now_s)
        self._evacuate(now_s)
        self._expire(now_s)
        self._is_placement_due = True

    def _compare_workers(self, now_s: float) -> None:
        """Notes which workers are slower than others or stand still."""
        before = {worker.id for worker in self.workers.values() if worker.is_slow}
        mark_slow_workers(self.workers.values())
        for worker in self.workers.values():
            if worker.is_slow != (worker.id in before):
                _log.info(
                    "worker_slow" if worker.is_slow else "worker_fast_again",
                    worker=worker.id,
                    time_ratio=round(worker.time_ratio or 0.0, 2),
                )
            was_held_back = worker.is_held_back
            worker.is_held_back = worker.is_stalled(now_s)
            if worker.is_held_back and not was_held_back:
                _log.info(
                    "worker_stalled", worker=worker.id, runs_count=len(worker.runs)
                )

    def _check_contact(self, worker: Worker, now_s: float) -> None:
        if worker.is_in_contact(now_s):
            return
        if worker.heard_s is not None and not worker.is_silent:
            worker.is_silent = True
            _log.info(
                "worker_silent",
                worker=worker.id,
                service=self.service,
                silent_s=_age_s(worker, now_s),
                runs_count=len(worker.runs),
                lease_end_in_s=round(worker.lease_end_s - now_s, 3),
            )
        if now_s >= worker.lease_end_s:
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
                    self._send_stop(run, now_s)

    def mark_workers(self, marks: WorkerMarks) -> None:
        """Takes in which workers planned work concerns."""
        for worker in self.workers.values():
            worker.is_reserved = worker.id in marks.reserved
            worker.is_due = worker.id in marks.due
        self._is_placement_due = True

    def _evacuate(self, now_s: float) -> None:
        """Moves long-running tasks off workers that are about to be emptied."""
        targets = [w for w in self.workers.values() if w.takes_tasks(now_s)]
        for worker in self.workers.values():
            if not (worker.is_reserved or worker.entry.is_draining):
                continue
            for run in list(worker.runs.values()):
                if run.phase is not RunPhase.RUNNING:
                    continue
                if run.task.spec.is_long_running and self._may_move(run, now_s):
                    self._move(run, worker, targets, now_s)

    def _may_move(self, run: Run, now_s: float) -> bool:
        """Checks that few enough other tasks of the step are away."""
        task = run.task
        away_count = sum(
            not self._is_at_work(other, now_s)
            for other in task.job.step_tasks(task.id.occurrence, task.id.step)
            if other is not task
        )
        return away_count < max(1, task.spec.may_miss_count)

    def _is_at_work(self, task: Task, now_s: float) -> bool:
        run = task.run
        if run is None or run.phase is not RunPhase.RUNNING:
            return False
        worker = self.workers[run.worker_id]
        return run.progress_percent >= 100 and worker.is_in_contact(now_s)

    def _move(
        self, run: Run, worker: Worker, targets: Sequence[Worker], now_s: float
    ) -> None:
        if choose_worker(targets, run.task, now_s) is None:
            return
        _log.info(
            "task_moved_away",
            task=run.task.id.name,
            attempt=run.attempt,
            worker=worker.id,
            reason="draining" if worker.entry.is_draining else "planned work",
        )
        self._stop(run, now_s)

    def snapshot(self, now_s: float) -> PoolSnapshot:
        """
        :returns: load of the service's workers.
        """
        waiting = [
            task
            for job in self.jobs.values()
            if job.is_active
            for occurrence, step in job.ready_steps()
            for task in job.step_tasks(occurrence, step)
            if task.is_waiting
        ]
        demand = Resources()
        for task in waiting:
            demand = demand.plus(task.spec.reserved)
        work_ms = sum(
            task.spec.reserved.cpu_millicores * task.spec.estimate_ms
            for task in waiting
            if not task.spec.is_long_running
        )
        workers = tuple(
            _worker_snapshot(worker, now_s)
            for worker in self.workers.values()
            if worker.is_listed
        )
        snapshot = PoolSnapshot(
            now_s,
            workers,
            demand,
            work_ms / 1_000_000,
            sum(task.spec.is_long_running for task in waiting),
            self._arriving_millicores(now_s),
        )
        self._log_waiting(snapshot, len(waiting))
        return snapshot

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
        self._dirty[job.id] = job
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
        self._dirty[job.id] = job
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
        self._send_stop(run, now_s)

    def _send_stop(self, run: Run, now_s: float) -> None:
        key = (run.task.id.name, run.attempt)
        if now_s - self._stop_sent_s.get(key, -STOP_RETRY_S) < STOP_RETRY_S:
            return
        self._stop_sent_s[key] = now_s
        self._orders.append(StopTask(run.worker_id, *key))

    def place(self, now_s: float) -> None:
        """Assigns waiting tasks to workers that have room."""
        if not self._is_placement_due:
            return
        self._is_placement_due = False
        workers = [w for w in self.workers.values() if w.takes_tasks(now_s)]
        if not workers:
            return
        waiting = [job for job in self.jobs.values() if job.is_active]
        waiting.sort(key=lambda job: job_rank(job, now_s))
        for job in waiting:
            for occurrence, step in job.ready_steps():
                self._place_step(job.step_tasks(occurrence, step), workers, now_s)

    def _place_step(
        self, tasks: Sequence[Task], workers: Sequence[Worker], now_s: float
    ) -> None:
        if tasks[0].job.queue.advice is not None:
            workers = self._approved_workers(tasks, workers, now_s)
        if tasks[0].spec.is_gang:
            self._place_gang(tasks, workers, now_s)
            return
        for task in tasks:
            if not task.is_waiting:
                continue
            worker = choose_worker(workers, task, now_s)
            if worker is None:
                return
            self._assign(task, worker, now_s)

    def _approved_workers(
        self, tasks: Sequence[Task], workers: Sequence[Worker], now_s: float
    ) -> list[Worker]:
        """Asks about workers with room where the approved ones don't do."""
        approved = [w for w in workers if self._ticket(tasks[0], w.id, now_s)]
        waiting = [task for task in tasks if task.is_waiting]
        has_room = any(choose_worker(approved, task, now_s) for task in waiting)
        if not has_room:
            others = [w for w in workers if w not in approved]
            others = [w for w in others if choose_worker((w,), waiting[0], now_s)]
            others.sort(key=lambda worker: -worker.free.cpu_millicores)
            step = _step_of(tasks[0])
            names = [worker.id for worker in others]
            question = self._advice.question(step, names, now_s)
            if question is not None:
                self._orders.append(question)
        return approved

    def _ticket(self, task: Task, worker_id: str, now_s: float) -> str:
        if task.job.queue.advice is None:
            return ""
        worker = self.workers.get(worker_id)
        born_ms = worker.born_ms if worker else 0
        return self._advice.ticket(_step_of(task), worker_id, born_ms, now_s)

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

    def _place_gang(
        self, tasks: Sequence[Task], workers: Sequence[Worker], now_s: float
    ) -> None:
        """Places all members or none; they share the number of their attempt."""
        if not all(task.is_waiting for task in tasks):
            return
        attempt = max(task.attempt for task in tasks)
        checkpoint = max(task.checkpoint for task in tasks)
        placed: list[Run] = []
        for task in tasks:
            worker = choose_worker(workers, task, now_s)
            if worker is None:
                break
            task.attempt = attempt
            task.checkpoint = checkpoint
            placed.append(self._assign(task, worker, now_s))
        if len(placed) == len(tasks):
            return
        for run in placed:
            self.workers[run.worker_id].remove(run)
            run.task.run = None
            run.task.attempt -= 1

    def _assign(self, task: Task, worker: Worker, now_s: float) -> Run:
        task.attempt += 1
        run = Run(
            task,
            worker.id,
            worker.born_ms,
            RunPhase.COMMITTING,
            now_s,
            rack=worker.entry.rack,
        )
        task.run = run
        worker.add(run)
        job = task.job
        if job.state is JobState.QUEUED:
            job.state = JobState.RUNNING
        self._dirty[job.id] = job
        return run

    def next_commit(self, now_s: float) -> Commit | None:
        """
        :returns: what has changed since the last commit, or ``None``.
        """
        pending = self._changed_pending(now_s)
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

    def _changed_pending(self, now_s: float) -> tuple[tuple[str, int], ...]:
        if now_s - self._pending_written_s < PENDING_INTERVAL_S:
            return ()
        counts = dict.fromkeys(self._pending_counts, 0)
        for job in self.jobs.values():
            is_pending = job.state is JobState.QUEUED
            counts[job.queue.name] = counts.get(job.queue.name, 0) + is_pending
        changed = tuple(
            (queue, count)
            for queue, count in counts.items()
            if self._pending_counts.get(queue) != count
        )
        if changed:
            self._pending_counts = counts
            self._pending_written_s = now_s
        return changed

    def apply_commit(self, commit: Commit, now_s: float) -> None:
        """Gives the orders that had to wait for a commit, once it is stored."""
        for run in commit.starts:
            if run.task.run is run and run.phase is RunPhase.COMMITTING:
                run.phase = RunPhase.STARTING
                run.started_s = now_s
                run.progressed_s = now_s
                is_resumed = run.task.spec.is_checkpointed
                checkpoint = run.task.checkpoint if is_resumed else ""
                ticket = self._ticket(run.task, run.worker_id, now_s)
                self._orders.append(StartTask(run, checkpoint, ticket))
                self._log_start(run, now_s)
        for entry in commit.jobs:
            job = self.jobs.get(entry.job_id)
            if job is None or job.is_active or job.runs() or job.id in self._dirty:
                continue
            del self.jobs[job.id]
            self._ended_s[job.id] = now_s
            self._forget_stops(job)
            self._advice.forget_job(job.id)

    def _record_arrival(self, job: Job, now_s: float) -> None:
        if job.spec.is_scheduled or job.spec.is_long_running:
            return
        work_ms = sum(
            step.tasks_count * step.reserved.cpu_millicores * step.estimate_ms
            for step in job.spec.steps
        )
        self._arrivals.append(Arrival(now_s, work_ms / 1000))

    def _arriving_millicores(self, now_s: float) -> int:
        """Capacity that work takes if it goes on to arrive as it did of late."""
        while self._arrivals and now_s - self._arrivals[0].at_s > ARRIVAL_WINDOW_S:
            self._arrivals.popleft()
        work = sum(arrival.millicore_s for arrival in self._arrivals)
        return int(work / ARRIVAL_WINDOW_S)

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
            list_age_s=_age_s(worker, now_s),
        )

    def _log_waiting(self, snapshot: PoolSnapshot, waiting_count: int) -> None:
        """Tells at a bounded rate why tasks have no worker."""
        now_s = snapshot.taken_s
        if not waiting_count or now_s - self._waiting_logged_s < WAITING_LOG_INTERVAL_S:
            return
        self._waiting_logged_s = now_s
        usable = [w for w in self.workers.values() if w.takes_tasks(now_s)]
        _log.info(
            "tasks_wait",
            service=self.service,
            epoch=self._epoch,
            tasks_count=waiting_count,
            waiting_cpu_millicores=snapshot.waiting.cpu_millicores,
            workers_count=len(self.workers),
            usable_workers_count=len(usable),
            free_cpu_millicores=sum(w.free.cpu_millicores for w in usable),
            oldest_wait_s=round(self._oldest_wait_s(now_s), 3),
        )

    def _oldest_wait_s(self, now_s: float) -> float:
        waits = (
            now_s - task.waiting_since_s
            for job in self.jobs.values()
            if job.is_active
            for occurrence, step in job.ready_steps()
            for task in job.step_tasks(occurrence, step)
            if task.is_waiting
        )
        return max(waits, default=0.0)

    def _forget_stops(self, job: Job) -> None:
        for key in [key for key in self._stop_sent_s if key[0].startswith(job.id)]:
            del self._stop_sent_s[key]

    def take_orders(self) -> list[StartTask | StopTask | AskAdvice]:
        """
        :returns: orders to be sent now.
        """
        orders, self._orders = self._orders, []
        return orders

    def find_run(self, name: str) -> Run | None:
        """
        :returns: the run of a task by the task's name.
        """
        task_id = TaskId.parse(name)
        job = self.jobs.get(task_id.job_id) if task_id else None
        task = job.tasks.get(task_id) if job else None
        return task.run if task else None


def _step_of(task: Task) -> StepId:
    return StepId(task.id.job_id, task.id.occurrence, task.id.step)


def _age_s(worker: Worker | None, now_s: float) -> float | None:
    """Age of the worker's last list of runs."""
    if worker is None or worker.heard_s is None:
        return None
    return round(now_s - worker.heard_s, 3)


def _worker_snapshot(worker: Worker, now_s: float) -> WorkerSnapshot:
    return WorkerSnapshot(
        worker.id,
        worker.entry.machine,
        worker.entry.capacity,
        worker.used,
        len(worker.runs),
        sum(run.task.spec.is_long_running for run in worker.runs.values()),
        worker.is_reserved or worker.entry.is_draining,
        worker.is_in_contact(now_s),
        worker.is_expected(now_s),
    )


def _decode(row: Row, row_type: type) -> object | None:
    try:
        return decode_row(row.value, row_type)
    except RecordError as error:
        _log.error("row_not_understood", table=row.table, key=row.key, error=str(error))
        return None
