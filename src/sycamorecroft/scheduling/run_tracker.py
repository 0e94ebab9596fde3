"""Stops runs of a service's tasks and applies the outcomes of finished runs."""

from collections.abc import Callable, Iterable
from enum import StrEnum

import structlog

from sycamorecroft.metrics import JOB_OUTCOMES, RUN_EXPIRIES, RUN_OUTCOMES
from sycamorecroft.recorder import Recorder
from sycamorecroft.scheduling.calls import RunOutcome
from sycamorecroft.scheduling.job_ranking import JobRanking
from sycamorecroft.scheduling.jobs import Job
from sycamorecroft.scheduling.orders import OrderQueue, StopTask
from sycamorecroft.scheduling.rows import JobState
from sycamorecroft.scheduling.run_durations import RunDurations
from sycamorecroft.scheduling.tasks import Run, RunPhase, Task
from sycamorecroft.scheduling.worker_health import run_list_age_s
from sycamorecroft.scheduling.workers import Worker

_log = structlog.get_logger(__name__)


class ExpiryReason(StrEnum):
    """Why the owner considers a run over that its worker hasn't reported as finished.

    ``RESTARTED``: the run belonged to a former incarnation of the worker.
    ``NOT_LISTED``: a run list requested after an order was confirmed lacks it.
    ``LEASE_ENDED``: the worker's lease has ended without contact. ``REPLACED``: another
    worker answers at the worker's address.
    """

    RESTARTED = "restarted"
    NOT_LISTED = "not_listed"
    LEASE_ENDED = "lease_ended"
    REPLACED = "replaced"


class RunTracker:
    """Tracks the runs on the workers of one service until they end. Not thread-safe."""

    def __init__(
        self,
        service: str,
        epoch: int,
        workers: dict[str, Worker],
        orders: OrderQueue,
        ranking: JobRanking,
        durations: RunDurations,
        recorder: Recorder,
        on_changed: Callable[[Job], None],
        on_begun: Callable[[Job, float], None],
    ) -> None:
        """
        :param epoch: epoch of the owner's claim, for log lines.
        :param on_changed: called with each job whose progress has changed.
        :param on_begun: called with each job of which a run is known to have begun, and
            the monotonic time.
        """
        self._service = service
        self._epoch = epoch
        self._workers = workers
        self._orders = orders
        self._ranking = ranking
        self._durations = durations
        self._recorder = recorder
        self._on_changed = on_changed
        self._on_begun = on_begun

    def record_begun(self, job: Job, now_s: float) -> None:
        """Records that a run of the job is known to have begun."""
        if job.record_begun():
            self._on_begun(job, now_s)

    def finish_run(
        self, run: Run, outcome: RunOutcome, checkpoint: str, now_s: float
    ) -> None:
        """Releases a run's resources and applies its outcome to task and job."""
        task = run.task
        worker = self._workers.get(run.worker_id)
        if worker is not None:
            worker.remove(run)
        task.run = None
        task.waiting_since_s = now_s
        if checkpoint:
            task.checkpoint = checkpoint
        self._on_changed(task.job)
        self._recorder.count(RUN_OUTCOMES, service=self._service, end=outcome.value)
        _log.info(
            "run_ended",
            task=task.id.name,
            attempt=run.attempt,
            worker=run.worker_id,
            end=outcome,
            duration_s=round(now_s - run.started_s, 3),
            confirm_s=_confirm_s(run),
            failures_count=task.failures_count,
        )
        if not task.job.is_active:
            return
        if outcome is RunOutcome.DONE:
            self._complete_task(run, worker, now_s)
        elif outcome is RunOutcome.FAILED:
            self._fail_task(task, worker, now_s)

    def expire_runs(
        self, runs: Iterable[Run], reason: ExpiryReason, now_s: float
    ) -> None:
        """Finishes runs that are no longer in progress on their worker."""
        for run in runs:
            self._log_expiry(run, reason, now_s)
            self.finish_run(run, RunOutcome.EXPIRED, "", now_s)

    def _log_expiry(self, run: Run, reason: ExpiryReason, now_s: float) -> None:
        """Logs what the owner knows of the run and its worker at this moment."""
        self._recorder.count(RUN_EXPIRIES, service=self._service, reason=reason.value)
        worker = self._workers.get(run.worker_id)
        _log.info(
            "run_expired",
            task=run.task.id.name,
            attempt=run.attempt,
            worker=run.worker_id,
            reason=reason,
            phase=run.phase,
            is_adopted=run.is_adopted,
            assigned_born_ms=run.incarnation_ms,
            listed_born_ms=run.listed_incarnation_ms,
            worker_born_ms=worker.incarnation_ms if worker else None,
            list_age_s=run_list_age_s(worker, now_s),
            lease_left_s=round(worker.lease_end_s - now_s, 3) if worker else None,
        )

    def _complete_task(self, run: Run, worker: Worker | None, now_s: float) -> None:
        task = run.task
        if worker is not None:
            worker.record_success()
        if task.spec.is_long_running:
            return
        estimate_s = task.spec.estimate_ms / 1000
        slowdown_s = self._durations.slowdown_s(run, now_s)
        if worker is not None and estimate_s:
            duration_s = now_s - run.started_s - slowdown_s
            worker.record_duration(duration_s / estimate_s)
        self._durations.record(run, now_s)
        step_tasks = task.job.step_tasks(task.id.occurrence, task.id.step)
        for member in step_tasks if task.spec.is_gang else (task,):
            member.is_done = True
        if not run.is_adopted and all(member.is_done for member in step_tasks):
            # A far run doesn't tell how long steps take that are near their data.
            duration_s = now_s - run.assigned_s - slowdown_s
            self._ranking.record_step(duration_s - estimate_s)
        self._continue_job(task, now_s)

    def _continue_job(self, task: Task, now_s: float) -> None:
        """Lets the steps after a completed task wait, or completes its job."""
        task.job.start_waiting(task.id.occurrence, task.id.step, now_s)
        if task.job.is_complete():
            self.finish_job(task.job, JobState.COMPLETE, now_s)

    def complete_late(self, task: Task, attempt: int, now_s: float) -> None:
        """Completes a task of which a run that was taken for over has ended as done.

        Its worker couldn't be reached when its lease ended. The task isn't started
        again if no order for another run was given yet.
        """
        if task.is_done or task.spec.is_long_running or task.spec.is_gang:
            return
        run = task.run
        is_restarted = run is not None and run.phase is not RunPhase.COMMITTING
        _log.info(
            "late_completion",
            task=task.id.name,
            attempt=attempt,
            latest_attempt=task.attempt,
            outcome="ignored" if is_restarted else "applied",
        )
        if is_restarted:
            return
        if run is not None:
            self.finish_run(run, RunOutcome.STOPPED, "", now_s)
        task.is_done = True
        self._on_changed(task.job)
        self._continue_job(task, now_s)

    def _fail_task(self, task: Task, worker: Worker | None, now_s: float) -> None:
        job = task.job
        if worker is not None:
            task.failed_workers |= {worker.id}
        if worker is not None and worker.record_failure(job.id, now_s):
            _log.warning(
                "worker_quarantined",
                worker=worker.id,
                until_s=round(worker.quarantined_until_s, 3),
                reason="consecutive runs of several jobs failed",
            )
        if task.spec.is_long_running:
            return
        task.failures_count += 1
        if task.failures_count >= job.queue.attempts_count:
            self.finish_job(job, JobState.FAILED, now_s)

    def finish_job(self, job: Job, state: JobState, now_s: float) -> None:
        """Sets a job's final state and stops its remaining runs."""
        job.state = state
        self._on_changed(job)
        self._recorder.count(JOB_OUTCOMES, service=self._service, state=state.value)
        _log.info(
            "job_ended",
            job=job.id,
            queue=job.queue.name,
            state=state,
            duration_s=round(now_s - job.accepted_s, 3),
            epoch=self._epoch,
        )
        for run in job.runs():
            self.stop_run(run, now_s)

    def stop_run(self, run: Run, now_s: float) -> None:
        """Stops a run, whose resources are released once the worker confirms it."""
        if run.phase is RunPhase.COMMITTING:
            self.finish_run(run, RunOutcome.STOPPED, "", now_s)
            return
        if run.phase is RunPhase.STOPPING:
            return
        run.phase = RunPhase.STOPPING
        run.stop_confirmed_s = None
        self._order_stop(run, now_s)

    def retry_stops(self, now_s: float) -> None:
        """Repeats stop orders that reachable workers haven't confirmed."""
        for worker in self._workers.values():
            if not worker.is_in_contact(now_s):
                continue
            for run in worker.runs.values():
                if run.phase is RunPhase.STOPPING and run.stop_confirmed_s is None:
                    self._order_stop(run, now_s)

    def _order_stop(self, run: Run, now_s: float) -> None:
        worker = self._workers.get(run.worker_id)
        incarnation_ms = worker.incarnation_ms if worker is not None else 0
        name = run.task.id.name
        order = StopTask(run.worker_id, name, run.attempt, incarnation_ms)
        self._orders.stop(order, now_s)


def _confirm_s(run: Run) -> float | None:
    """Returns the time until the worker confirmed the order to start, if it did."""
    if run.start_confirmed_s is None:
        return None
    return round(run.start_confirmed_s - run.started_s, 3)
