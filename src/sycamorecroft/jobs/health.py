"""Quarantine of workers that fail the jobs started on them."""

from collections import Counter, deque
from typing import NamedTuple

FAILED_JOBS_COUNT = 3
QUARANTINE_FIRST_S = 60.0
QUARANTINE_MAX_S = 3600.0
# With this many doublings a quarantine has reached its maximum; more would overflow a
# float after weeks of failures.
DOUBLINGS_MAX_COUNT = 6
# A worker is at fault if a service fails less than half as often on other workers as
# on this one, where its last jobs all failed.
ELSEWHERE_MAX_RATIO = 0.5
OUTCOMES_WINDOW_COUNT = 100


class _Outcome(NamedTuple):
    worker: str
    has_failed: bool


class WorkerHealth:
    """Failures in a row by worker, and the last outcomes of each service.

    A worker is quarantined when three distinct jobs in a row fail on it, while jobs of
    a service of these jobs fail less often on other workers. Where a service fails as
    often elsewhere, its jobs are at fault and not the worker.
    """

    def __init__(self) -> None:
        self._in_a_row: dict[str, dict[str, str]] = {}
        self._outcomes: dict[str, deque[_Outcome]] = {}
        self._quarantines: Counter[str] = Counter()
        self._until_s: dict[str, float] = {}

    def add_success(self, worker: str, service: str) -> None:
        """Counts a job that succeeded; the worker counts as healthy again."""
        self._add(service, _Outcome(worker, has_failed=False))
        self._in_a_row.pop(worker, None)
        self._quarantines.pop(worker, None)

    def add_failure(self, worker: str, service: str, job_id: str, now_s: float) -> bool:
        """Counts a job that failed or that the worker refused.

        :returns: whether the worker is quarantined because of it.
        """
        self._add(service, _Outcome(worker, has_failed=True))
        jobs = self._in_a_row.setdefault(worker, {})
        jobs[job_id] = service
        if len(jobs) > FAILED_JOBS_COUNT:
            del jobs[next(iter(jobs))]
        if len(jobs) < FAILED_JOBS_COUNT or not self._is_worker_at_fault(worker):
            return False
        if self.is_quarantined(worker, now_s):
            return False
        doublings_count = min(self._quarantines[worker], DOUBLINGS_MAX_COUNT)
        duration_s = QUARANTINE_FIRST_S * 2**doublings_count
        self._quarantines[worker] += 1
        self._until_s[worker] = now_s + min(QUARANTINE_MAX_S, duration_s)
        # One more failure after the quarantine is enough for the next, longer one.
        self._in_a_row[worker] = dict(list(jobs.items())[1 - FAILED_JOBS_COUNT :])
        return True

    def is_quarantined(self, worker: str, now_s: float) -> bool:
        """
        :returns: whether the worker takes no new jobs for now.
        """
        return now_s < self._until_s.get(worker, now_s)

    def _add(self, service: str, outcome: _Outcome) -> None:
        outcomes = self._outcomes.setdefault(
            service, deque(maxlen=OUTCOMES_WINDOW_COUNT)
        )
        outcomes.append(outcome)

    def _is_worker_at_fault(self, worker: str) -> bool:
        services = set(self._in_a_row[worker].values())
        return any(
            self._ratio_elsewhere(service, worker) < ELSEWHERE_MAX_RATIO
            for service in services
        )

    def _ratio_elsewhere(self, service: str, worker: str) -> float:
        """No job elsewhere gives no reason to blame the worker."""
        elsewhere = [
            outcome.has_failed
            for outcome in self._outcomes[service]
            if outcome.worker != worker
        ]
        return sum(elsewhere) / len(elsewhere) if elsewhere else 1.0
