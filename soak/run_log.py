"""Checks that a task runs once, and that accounts keep their limits, at the workers.

Each start is checked at the moment at which a worker carries it out, so that no overlap
is too short to be seen.
"""

import threading
import time
from collections import defaultdict
from datetime import UTC, datetime
from pathlib import Path
from typing import NamedTuple

from soak.accounts import account_of
from soak.limits import AccountLimit
from standins.memory_worker import MemoryWorker
from sycamorecroft.scheduling.calls import (
    OrderReply,
    RenewalReply,
    RunOutcome,
    StartOrder,
)


class LoggedRun(NamedTuple):
    """Run that a worker has started.

    ``incarnation`` is the incarnation that carries the run out; ``started_s`` is
    monotonic.
    """

    incarnation: "LoggedWorker"
    task: str
    attempt: int
    started_s: float


class _DoneEnd(NamedTuple):
    """Run that ended as done at the monotonic time ``ended_s``."""

    run: LoggedRun
    ended_s: float


class RunLog:
    """All runs on all incarnations of the workers. Thread-safe.

    :ivar violations: one message for each violation of the rule.
    :ivar latest_worker_id: worker that has started a run last.
    """

    def __init__(
        self, path: Path | None = None, limit: AccountLimit | None = None
    ) -> None:
        """
        :param path: file to which events are appended; ``None`` for no file.
        :param limit: limit that is checked at each start; ``None`` for none.
        """
        self._path = path
        self._limit = limit
        self._lock = threading.Condition()
        self._origin_s = time.monotonic()
        self._open_runs: dict[str, list[LoggedRun]] = defaultdict(list)
        self._starts: dict[str, list[LoggedRun]] = defaultdict(list)
        self._unacknowledged: list[_DoneEnd] = []
        self._acknowledged: dict[str, _DoneEnd] = {}
        self.latest_worker_id: str | None = None
        self.violations: list[str] = []

    def log(self, event: str) -> None:
        """Appends a line with the time of the day and the seconds of the run.

        Logs of the nodes have the former, messages about runs the latter.
        """
        if self._path is None:
            return
        elapsed_s = time.monotonic() - self._origin_s
        time_text = datetime.now(UTC).isoformat(timespec="milliseconds")
        with self._path.open("a", encoding="utf-8") as file:
            file.write(f"{time_text} {elapsed_s:8.3f} {event}\n")

    def wait_for_start(self, timeout_s: float) -> None:
        """Waits until a worker starts a run, or for ``timeout_s``."""
        with self._lock:
            self._lock.wait(timeout_s)

    def record_start(self, worker: "LoggedWorker", task: str, attempt: int) -> None:
        """Records a start, and checks that no other run of the task is in progress.

        Checks the limit of the task's account as well.
        """
        with self._lock:
            now_s = time.monotonic()
            run = LoggedRun(worker, task, attempt, now_s)
            for other in self._open_runs[task]:
                if not other.incarnation.is_lease_over(now_s):
                    self._record_violation(
                        f"task {task} ran twice at the same time: "
                        f"{self._describe(other)} and {self._describe(run)}"
                    )
            if end := self._acknowledged.get(task):
                self._report_repetition(end, run)
            self._check_limit(run)
            self._open_runs[task].append(run)
            self._starts[task].append(run)
            self.latest_worker_id = worker.worker_id
            self._lock.notify_all()

    def _check_limit(self, run: LoggedRun) -> None:
        if self._limit is None:
            return
        account = account_of(run.task)
        # A run of the same task on the same worker is replaced by this one.
        others_count = sum(
            not other.incarnation.is_lease_over(run.started_s)
            for runs in self._open_runs.values()
            for other in runs
            if account_of(other.task) == account
            and (other.incarnation, other.task) != (run.incarnation, run.task)
        )
        violation = self._limit.find_violation(account, 1 + others_count, run.started_s)
        if violation:
            self.log(f"{violation}, after the start of {run.task}")
            self._record_violation(f"{violation}: {run.task}, {self._describe(run)}")

    def record_end(
        self, worker: "LoggedWorker", task: str, attempt: int, outcome: RunOutcome
    ) -> None:
        """Records the end of a run."""
        with self._lock:
            for run in list(self._open_runs[task]):
                if run.incarnation is worker and run.attempt == attempt:
                    self._open_runs[task].remove(run)
                    if outcome is RunOutcome.DONE:
                        end = _DoneEnd(run, time.monotonic())
                        self._unacknowledged.append(end)

    def record_acknowledgement(
        self, worker: "LoggedWorker", task: str, attempt: int
    ) -> None:
        """Records that an end is acknowledged, and checks the starts after that end."""
        with self._lock:
            for end in list(self._unacknowledged):
                run = end.run
                if (run.incarnation, run.task, run.attempt) == (worker, task, attempt):
                    self._unacknowledged.remove(end)
                    self._acknowledged.setdefault(task, end)
                    for start in self._starts[task]:
                        if start.started_s > end.ended_s:
                            self._report_repetition(end, start)

    def record_lapse(self, worker: "LoggedWorker") -> None:
        """Records that leases lapsed: ends listed before are not acknowledged later."""
        with self._lock:
            self._discard_ends(worker)

    def record_restart(self, worker: "LoggedWorker") -> None:
        """Records the end of an incarnation, with all its runs and unread ends."""
        with self._lock:
            self._discard_ends(worker)
            for task, runs in self._open_runs.items():
                self._open_runs[task] = [
                    run for run in runs if run.incarnation is not worker
                ]

    def _discard_ends(self, worker: "LoggedWorker") -> None:
        self._unacknowledged = [
            end for end in self._unacknowledged if end.run.incarnation is not worker
        ]

    def _report_repetition(self, end: _DoneEnd, run: LoggedRun) -> None:
        self._record_violation(
            f"task {run.task} was started again after an end that was acknowledged: "
            f"{self._describe(end.run)} ended at {end.ended_s - self._origin_s:.3f} s, "
            f"then {self._describe(run)}"
        )

    def _describe(self, run: LoggedRun) -> str:
        worker = run.incarnation
        return (
            f"attempt {run.attempt} on {worker.worker_id} (born "
            f"{worker.incarnation_ms}) from {run.started_s - self._origin_s:.3f} s"
        )

    def _record_violation(self, message: str) -> None:
        if message not in self.violations:
            self.violations.append(message)


class LoggedWorker(MemoryWorker):
    """One incarnation of a worker, whose runs are recorded."""

    def __init__(self, worker_id: str, incarnation_ms: int, log: RunLog) -> None:
        super().__init__(incarnation_ms)
        self.worker_id = worker_id
        self._log = log

    def is_lease_over(self, now_s: float) -> bool:
        """
        :param now_s: monotonic time.
        :returns: whether the leases of all runs are over.
        """
        return self.clock_at_ms(now_s) >= self.deadline_ms

    def start(self, order: StartOrder, epoch: int) -> OrderReply:
        attempt_before = self.running.get(order.task)
        starts_count = len(self.started)
        reply = super().start(order, epoch)
        if len(self.started) > starts_count:
            self._log.record_start(self, order.task, order.attempt)
            if attempt_before is not None:
                # The stand-in replaces the lower attempt.
                self._log.record_end(
                    self, order.task, attempt_before, RunOutcome.STOPPED
                )
        return reply

    def finish(self, task: str, outcome: RunOutcome, checkpoint: str = "") -> None:
        attempt = self.running[task]
        super().finish(task, outcome, checkpoint)
        self._log.record_end(self, task, attempt, outcome)

    def list_runs(self, acknowledged: int) -> RenewalReply:
        if acknowledged > max(self._last_finished_number, self.acknowledged):
            self._log.log(
                f"{self.worker_id} (born {self.incarnation_ms}) gets ack-cursor "
                f"{acknowledged} and has had {self._last_finished_number} ends"
            )
        for finished in self._finished:
            if finished.number <= acknowledged and finished.outcome is RunOutcome.DONE:
                self._log.record_acknowledgement(self, finished.task, finished.attempt)
        return super().list_runs(acknowledged)

    def expire_leases(self) -> None:
        is_over = self.deadline_ms and self.clock_ms >= self.deadline_ms
        super().expire_leases()
        if is_over:
            self._log.record_lapse(self)
