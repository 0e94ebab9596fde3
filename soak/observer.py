"""Checks the promises from what callers and workers see."""

import threading
import time
from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from standins.memory_worker import MemoryWorker


class JobKnowledge(NamedTuple):
    """What callers had been told of a job."""

    is_accepted: bool
    is_complete: bool


class Observer:
    """What callers were told and what workers ran. Thread-safe."""

    def __init__(self, workers: Iterable[MemoryWorker]) -> None:
        self._workers = tuple(workers)
        self._lock = threading.Lock()
        self.accepted: set[str] = set()
        self.doubtful: set[str] = set()
        self.refused: set[str] = set()
        self.cancelled: set[str] = set()
        self.complete: set[str] = set()
        self._submitting: Counter[str] = Counter()
        self.broken: list[str] = []

    def begin_submission(self, job_id: str) -> None:
        """Records that a submission is sent; it may be stored before it is answered."""
        with self._lock:
            self._submitting[job_id] += 1

    def record_submission(self, job_id: str, status: int) -> None:
        """Records the answer to a submission."""
        with self._lock:
            self._submitting[job_id] -= 1
            if status == 200:
                self.accepted.add(job_id)
            elif status in (429, 503):
                self.refused.add(job_id)
            else:
                self.doubtful.add(job_id)

    def known(self, job_id: str) -> JobKnowledge:
        """
        :returns: what was known of a job before a call, since answers to calls that
            overlap may be recorded in another order.
        """
        with self._lock:
            return JobKnowledge(job_id in self.accepted, job_id in self.complete)

    def record_state(
        self, job_id: str, before: JobKnowledge, status: int, state: str
    ) -> None:
        """Records a job's state as a caller was told."""
        with self._lock:
            if status == 410 and before.is_accepted:
                self._break(f"accepted job {job_id} is said not to exist")
            if state == "failed":
                self._break(f"job {job_id} is said to have failed without cause")
            if state == "complete":
                self.complete.add(job_id)
            elif status == 200 and before.is_complete:
                self._break(f"job {job_id} is {state} after it was complete")

    def check_workers(self) -> None:
        """Checks that no task runs on two workers, and none of a refused job at all."""
        running = [name for w in self._workers for name in list(w.running)]
        with self._lock:
            for name in {name for name in running if running.count(name) > 1}:
                self._break(f"task {name} runs on two workers")
            for worker in self._workers:
                for start in list(worker.started):
                    job_id = start.task.partition(".")[0]
                    if self._is_refused(job_id):
                        self._break(f"task {start.task} of a refused job was started")

    def _is_refused(self, job_id: str) -> bool:
        """Whether every submission was answered, and each with a refusal."""
        is_open = self._submitting[job_id] or job_id in self.accepted | self.doubtful
        return job_id in self.refused and not is_open

    def check_ends(self) -> None:
        """Checks that no task was started again after it had ended done."""
        ended: dict[str, float] = {}
        for worker in self._workers:
            for task, at_s in list(worker.done_s.items()):
                ended[task] = min(at_s, ended.get(task, at_s))
        with self._lock:
            for worker in self._workers:
                for task, at_s in list(worker.started_s.items()):
                    if at_s > ended.get(task, time.monotonic() + 1):
                        self._break(f"task {task} was started after it had ended")

    def _break(self, message: str) -> None:
        if message not in self.broken:
            self.broken.append(message)

    def missing(self) -> set[str]:
        """
        :returns: accepted jobs that are neither complete nor cancelled.
        """
        with self._lock:
            return self.accepted - self.complete - self.cancelled
