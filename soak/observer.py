"""Checks the guarantees of job execution against what callers and workers observe."""

import threading
import time
from collections import Counter
from collections.abc import Callable, Sequence
from typing import NamedTuple

from standins.memory_worker import MemoryWorker


class KnownJobState(NamedTuple):
    """State of a job that had been reported to callers."""

    is_accepted: bool
    is_complete: bool


class Observer:
    """Record of responses to callers and runs on workers. Thread-safe.

    :ivar accepted: jobs with a submission that was accepted.
    :ivar unknown_outcome: jobs with a submission whose outcome is unknown.
    :ivar rejected: jobs with a submission that was rejected.
    :ivar cancelled: jobs for which a cancellation was sent.
    :ivar complete: jobs reported as complete.
    :ivar submitted: job of each submission.
    :ivar refused_keys_count: calls that were refused because of their key.
    :ivar violations: one message for each violation of a guarantee.
    """

    def __init__(self, list_workers: Callable[[], Sequence[MemoryWorker]]) -> None:
        """
        :param list_workers: returns all incarnations of workers, also former ones.
        """
        self._list_workers = list_workers
        self._lock = threading.Lock()
        self.accepted: set[str] = set()
        self.unknown_outcome: set[str] = set()
        self.rejected: set[str] = set()
        self.cancelled: set[str] = set()
        self.complete: set[str] = set()
        self.refused_keys_count = 0
        self.submitted: list[str] = []
        self._open_submissions: Counter[str] = Counter()
        self.violations: list[str] = []

    def record_submission_start(self, job_id: str) -> None:
        """Records that a submission is sent. It may be stored before its response."""
        with self._lock:
            self._open_submissions[job_id] += 1
            self.submitted.append(job_id)

    def record_submission(self, job_id: str, status: int) -> None:
        """Records the response to a submission.

        :param status: HTTP status; 0 if there was no response.
        """
        with self._lock:
            self._open_submissions[job_id] -= 1
            if status == 200:
                self.accepted.add(job_id)
            elif status in (401, 429, 503):
                self.rejected.add(job_id)
            else:
                self.unknown_outcome.add(job_id)

    def known_state(self, job_id: str) -> KnownJobState:
        """
        :returns: state of a job known so far. Callers read it before a call, since
            responses of overlapping calls may be recorded in a different order.
        """
        with self._lock:
            return KnownJobState(job_id in self.accepted, job_id in self.complete)

    def record_state(
        self, job_id: str, known_before: KnownJobState, status: int, state: str
    ) -> None:
        """Records the state of a job reported to a caller, and checks it.

        :param known_before: state known before the call.
        """
        with self._lock:
            if status == 410 and known_before.is_accepted:
                self._record_violation(
                    f"accepted job {job_id} was reported as not existing"
                )
            if state == "failed":
                self._record_violation(
                    f"job {job_id} was reported as failed, but workers fail no tasks"
                )
            if state == "complete":
                self.complete.add(job_id)
            elif status == 200 and known_before.is_complete:
                self._record_violation(
                    f"job {job_id} was reported as {state} after complete"
                )

    def check_workers(self) -> None:
        """Checks that no task runs on two workers, and that no rejected job has run."""
        workers = self._list_workers()
        running = [name for worker in workers for name in list(worker.running)]
        with self._lock:
            for name in {name for name in running if running.count(name) > 1}:
                self._record_violation(f"task {name} runs on two workers")
            for worker in workers:
                for start in list(worker.started):
                    job_id = start.task.partition(".")[0]
                    if self._is_rejected(job_id):
                        self._record_violation(
                            f"task {start.task} of a rejected job was started"
                        )

    def _is_rejected(self, job_id: str) -> bool:
        """
        :returns: whether each submission got a response, and each was a rejection.
        """
        may_exist = (
            self._open_submissions[job_id]
            or job_id in self.accepted | self.unknown_outcome
        )
        return job_id in self.rejected and not may_exist

    def check_finished_tasks(self) -> None:
        """Checks that no task was started again after its completion."""
        workers = self._list_workers()
        completed_s: dict[str, float] = {}
        for worker in workers:
            for task, time_s in list(worker.completion_acknowledged_s.items()):
                completed_s[task] = min(time_s, completed_s.get(task, time_s))
        with self._lock:
            for worker in workers:
                for task, time_s in list(worker.latest_start_s.items()):
                    if time_s > completed_s.get(task, time.monotonic() + 1):
                        self._record_violation(
                            f"task {task} was started after it had completed"
                        )

    def record_key_check(self, status: int, violation: str | None) -> None:
        """Records what the key of a call led to.

        :param violation: what is wrong with the response; ``None`` if it is allowed.
        """
        with self._lock:
            self.refused_keys_count += status in (401, 403)
            if violation:
                self._record_violation(violation)

    def record_unfinished(self, jobs: set[str], period: str) -> None:
        """Records that accepted jobs did not complete in a period."""
        with self._lock:
            for job_id in sorted(jobs):
                self._record_violation(
                    f"accepted job {job_id} did not complete {period}"
                )

    def _record_violation(self, message: str) -> None:
        if message not in self.violations:
            self.violations.append(message)

    def unfinished_jobs(self) -> set[str]:
        """
        :returns: accepted jobs that are neither known as complete nor cancelled.
        """
        with self._lock:
            return self.accepted - self.complete - self.cancelled
