"""Applies workers' registrations and their run lists."""

from collections.abc import Callable, Iterable

import structlog

from sycamorecroft.scheduling.calls import (
    FinishedRun,
    RenewalReply,
    RunningTask,
    RunOutcome,
)
from sycamorecroft.scheduling.commit import Acknowledgement
from sycamorecroft.scheduling.commit_queue import CommitQueue
from sycamorecroft.scheduling.model import WorkerRegistration
from sycamorecroft.scheduling.orders import OrderQueue, StopTask
from sycamorecroft.scheduling.pool_snapshot import WorkerMarks
from sycamorecroft.scheduling.run_tracker import ExpiryReason, RunTracker
from sycamorecroft.scheduling.tasks import RunPhase, Task
from sycamorecroft.scheduling.worker_clock import CLOCK_DRIFT_RATIO
from sycamorecroft.scheduling.worker_health import (
    record_contact_lost,
    record_contact_restored,
)
from sycamorecroft.scheduling.workers import Worker

_log = structlog.get_logger(__name__)

# A run list holds at most this many finished runs. When it holds that many, a run that
# is absent from it may have finished, too, and isn't treated as expired.
FINISHED_RUNS_PAGE_COUNT = 500


class WorkerReports:
    """Applies reports of one service's workers to their state. Not thread-safe."""

    def __init__(
        self,
        service: str,
        workers: dict[str, Worker],
        runs: RunTracker,
        orders: OrderQueue,
        commits: CommitQueue,
        *,
        find_task: Callable[[str], Task | None],
        former_lease_end_s: float,
        lease_max_s: float,
        on_capacity_freed: Callable[[], None],
    ) -> None:
        """
        :param find_task: returns the task of that name if its job is active.
        :param former_lease_end_s: monotonic time by which leases that former owners
            granted have expired.
        :param lease_max_s: time in s to which a worker shortens longer leases.
        :param on_capacity_freed: called when waiting tasks may fit that didn't before.
        """
        self._service = service
        self._workers = workers
        self._runs = runs
        self._orders = orders
        self._commits = commits
        self._find_task = find_task
        self._former_lease_end_s = former_lease_end_s
        self._lease_max_s = lease_max_s
        self._on_capacity_freed = on_capacity_freed
        self._marks = WorkerMarks()
        self.marks_version = 0

    def apply_registrations(
        self, registrations: Iterable[WorkerRegistration], now_s: float
    ) -> None:
        """Applies the current registrations of all workers of the service."""
        registered = {
            registration.worker_id: registration for registration in registrations
        }
        for worker_id, registration in registered.items():
            self._apply_registration(worker_id, registration, now_s)
        for worker in list(self._workers.values()):
            if worker.id not in registered and worker.is_registered:
                worker.is_registered = False
                _log.info("worker_unlisted", worker=worker.id, service=self._service)

    def _apply_registration(
        self, worker_id: str, registration: WorkerRegistration, now_s: float
    ) -> None:
        worker = self._workers.get(worker_id)
        if worker is None:
            worker = Worker(registration, self._former_lease_end_s, now_s)
            self._apply_marks(worker)
            self._workers[worker_id] = worker
            self._on_capacity_freed()
            _log.info(
                "worker_listed",
                worker=worker_id,
                machine=registration.host,
                service=self._service,
            )
        if registration.is_draining and not worker.registration.is_draining:
            _log.info("worker_draining", worker=worker_id, runs=len(worker.runs))
        worker.registration = registration
        worker.is_registered = True

    def apply_marks(self, marks: WorkerMarks, version: int = 0) -> None:
        """Applies the planned-work marks of the service's workers.

        :param version: version of the row that holds the marks.
        """
        self._marks = marks
        self.marks_version = version
        for worker in self._workers.values():
            self._apply_marks(worker)
        self._on_capacity_freed()

    def _apply_marks(self, worker: Worker) -> None:
        worker.is_reserved = worker.id in self._marks.reserved
        worker.is_due = worker.id in self._marks.due

    def _restart(self, worker: Worker, incarnation_ms: int, now_s: float) -> None:
        """Expires runs of earlier incarnations, of which the worker has no record.

        A run that no incarnation has listed may be in progress on the new one: an order
        that was sent after the restart has reached that one. Its run lists tell.
        """
        former_runs = [
            run
            for run in worker.runs.values()
            if run.listed_incarnation_ms not in (0, incarnation_ms)
        ]
        if worker.incarnation_ms:
            _log.info(
                "worker_restarted",
                worker=worker.id,
                born_ms=incarnation_ms,
                former_born_ms=worker.incarnation_ms,
                former_runs_count=len(former_runs),
                undecided_runs_count=len(worker.runs) - len(former_runs),
            )
            # An order sent before may have a deadline on the former incarnation's
            # clock, which is far in the future on the new one's.
            worker.lease_end_s = max(
                worker.lease_end_s, self._longest_lease_end_s(now_s)
            )
        worker.incarnation_ms = incarnation_ms
        worker.incarnation_seen_s = now_s
        worker.last_processed_number = 0
        self._commits.discard_acknowledgement(worker.id)
        self._runs.expire_runs(former_runs, ExpiryReason.RESTARTED, now_s)
        for run in worker.runs.values():
            if run.phase is RunPhase.STOPPING:
                # An order to start that is executed late is refused only by the
                # incarnation that has got the order to stop.
                run.stop_confirmed_s = None

    def _longest_lease_end_s(self, now_s: float) -> float:
        """Returns when a lease has ended that a worker granted by now."""
        return now_s + self._lease_max_s / (1 - CLOCK_DRIFT_RATIO)

    def extend_unlisted_leases(
        self, worker: Worker, now_s: float, lease_s: float | None = None
    ) -> None:
        """Allows for a call with a deadline that reached an unknown incarnation.

        :param lease_s: how long its leases last, in s on its clock, if it has told.
        """
        if lease_s is None:
            end_s = self._longest_lease_end_s(now_s)
        else:
            shortened_s = min(lease_s, self._lease_max_s)
            end_s = now_s + shortened_s / (1 - CLOCK_DRIFT_RATIO)
        worker.unlisted_lease_end_s = max(worker.unlisted_lease_end_s, end_s)

    def apply_replacement(self, worker_id: str, now_s: float) -> None:
        """Expires the runs of a worker at whose address another worker answers."""
        worker = self._workers.get(worker_id)
        if worker is None:
            return
        started_runs = [
            run for run in worker.runs.values() if run.phase is not RunPhase.COMMITTING
        ]
        self._runs.expire_runs(started_runs, ExpiryReason.REPLACED, now_s)

    def apply_renewal(
        self,
        worker_id: str,
        reply: RenewalReply,
        *,
        sent_s: float,
        now_s: float,
        lease_end_s: float,
    ) -> None:
        """Applies a worker's run list.

        :param sent_s: monotonic time at which the run list was requested.
        :param lease_end_s: monotonic time by which the worker ends all runs unless
            their leases are renewed.
        """
        worker = self._workers.get(worker_id)
        if worker is None:
            return
        if reply.incarnation_ms not in (0, worker.incarnation_ms):
            # The wall clock of the worker's host may have been set back, so that a
            # later incarnation is the one that has answered a later call.
            if worker.incarnation_ms and sent_s < worker.incarnation_seen_s:
                return
            self._restart(worker, reply.incarnation_ms, now_s)
        if not worker.is_in_contact(now_s):
            self._on_capacity_freed()
            record_contact_restored(worker, now_s)
        if worker.first_contact_s is None:
            worker.first_contact_s = now_s
        worker.last_contact_s = now_s
        worker.list_requested_s = sent_s
        worker.is_contact_lost = False
        worker.lease_end_s = max(worker.lease_end_s, lease_end_s)
        for finished in reply.finished:
            self._apply_finished(worker, finished, now_s)
        listed = {task.task for task in reply.running}
        for running in reply.running:
            self._apply_running(worker, running, now_s)
        if len(reply.finished) < FINISHED_RUNS_PAGE_COUNT:
            self._expire_absent_runs(worker, listed, sent_s, now_s)

    def _apply_finished(
        self, worker: Worker, finished: FinishedRun, now_s: float
    ) -> None:
        if finished.number <= worker.last_processed_number:
            return
        worker.last_processed_number = finished.number
        self._commits.acknowledge(
            Acknowledgement(worker.id, worker.incarnation_ms, finished.number)
        )
        run = worker.runs.get(finished.task)
        if run is None or run.attempt != finished.attempt:
            self._apply_former_finished(finished, now_s)
            return
        self._runs.record_begun(run.task.job, now_s)
        self._runs.finish_run(run, finished.outcome, finished.checkpoint, now_s)

    def _apply_former_finished(self, finished: FinishedRun, now_s: float) -> None:
        """Applies the end of a run that was taken for over."""
        task = self._find_task_of_former_run(finished.task, finished.attempt)
        if task is None:
            return
        self._runs.record_begun(task.job, now_s)
        if finished.outcome is RunOutcome.DONE:
            self._runs.complete_late(task, finished.attempt, now_s)

    def _find_task_of_former_run(self, name: str, attempt: int) -> Task | None:
        """Returns the task that a run belongs to which was taken for over.

        A higher attempt than the task's latest one belongs to an earlier job under the
        same id.
        """
        task = self._find_task(name)
        if task is None or attempt > task.attempt:
            return None
        return task

    def _apply_running(
        self, worker: Worker, running: RunningTask, now_s: float
    ) -> None:
        run = worker.runs.get(running.task)
        if run is None or run.attempt != running.attempt:
            self._stop_unknown_run(worker, running, now_s)
            return
        run.listed_incarnation_ms = worker.incarnation_ms
        self._runs.record_begun(run.task.job, now_s)
        if run.phase is RunPhase.STARTING:
            run.phase = RunPhase.RUNNING
        if running.progress_percent != run.progress_percent:
            run.progress_percent = running.progress_percent
            run.progressed_s = now_s
        run.gauge = running.gauge
        if running.checkpoint and running.checkpoint != run.task.checkpoint:
            run.task.checkpoint = running.checkpoint
            run.checkpointed_s = now_s

    def _stop_unknown_run(
        self, worker: Worker, running: RunningTask, now_s: float
    ) -> None:
        """Stops a run that was started late or belongs to a job that has ended."""
        name, attempt = running.task, running.attempt
        task = self._find_task_of_former_run(name, attempt)
        if task is not None:
            self._runs.record_begun(task.job, now_s)
        order = StopTask(worker.id, name, attempt, worker.incarnation_ms)
        if not self._orders.stop(order, now_s):
            return
        _log.info("unknown_run_stopped", task=name, attempt=attempt, worker=worker.id)

    def _expire_absent_runs(
        self, worker: Worker, listed: set[str], sent_s: float, now_s: float
    ) -> None:
        absent = [
            run
            for name, run in worker.runs.items()
            if name not in listed and run.is_over_if_unlisted(sent_s)
        ]
        self._runs.expire_runs(absent, ExpiryReason.NOT_LISTED, now_s)

    def extend_lease(
        self,
        worker_id: str,
        lease_end_s: float,
        *,
        may_be_restarted: bool,
        now_s: float,
    ) -> None:
        """Extends a worker's lease after a renewal without an answer.

        The call may have taken effect on the worker.

        :param may_be_restarted: whether an incarnation that isn't known may have got
            the end of the leases.
        """
        worker = self._workers.get(worker_id)
        if worker is None:
            return
        worker.lease_end_s = max(worker.lease_end_s, lease_end_s)
        if may_be_restarted:
            self.extend_unlisted_leases(worker, now_s)

    def check_contacts(self, now_s: float) -> None:
        """Expires runs whose leases have ended, and drops workers that have left."""
        for worker in list(self._workers.values()):
            if not worker.is_in_contact(now_s):
                self._check_contact(worker, now_s)

    def _check_contact(self, worker: Worker, now_s: float) -> None:
        record_contact_lost(worker, now_s)
        # A newly registered worker that hasn't been called yet may still report the
        # outcomes of runs whose leases have ended.
        if not worker.is_presumed_reachable(now_s):
            expired = [
                run
                for run in worker.runs.values()
                if run.phase in (RunPhase.RUNNING, RunPhase.STOPPING)
                and now_s >= worker.run_lease_end_s(run)
            ]
            self._runs.expire_runs(expired, ExpiryReason.LEASE_ENDED, now_s)
        if not worker.is_registered and not worker.runs:
            del self._workers[worker.id]
            _log.info("worker_removed", worker=worker.id, service=self._service)
