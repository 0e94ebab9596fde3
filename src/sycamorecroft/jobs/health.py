"""Quarantines workers on which several jobs fail in a row."""

from collections import Counter, deque
from typing import NamedTuple

QUARANTINE_FAILURES_COUNT = 3
QUARANTINE_FIRST_S = 60.0
QUARANTINE_MAX_S = 3600.0
# After this many doublings a quarantine has reached its maximum; without the limit, the
# duration would overflow a float after weeks of failures.
DOUBLINGS_MAX_COUNT = 6
# A worker is at fault if a service fails less than half as often on other workers as on
# this one, where its latest jobs all failed.
OTHER_WORKERS_MAX_FAILURE_RATIO = 0.5
OUTCOMES_WINDOW_COUNT = 100


class _Outcome(NamedTuple):
    worker: str
    has_failed: bool


class WorkerHealth:
    """Tracks consecutive failures of each worker and recent outcomes of each service.

    A worker is quarantined when three distinct jobs in a row fail on it, while one of
    their services fails less often on other workers. If the services fail as often on
    other workers, the jobs are at fault and not the worker.
    """

    def __init__(self) -> None:
        self._consecutive_failures: dict[str, dict[str, str]] = {}
        self._outcomes: dict[str, deque[_Outcome]] = {}
        self._quarantine_counts: Counter[str] = Counter()
        self._quarantine_end_s: dict[str, float] = {}

    def add_success(self, worker: str, service: str) -> None:
        """Records a job that succeeded, which resets the worker's failures."""
        self._add_outcome(service, _Outcome(worker, has_failed=False))
        self._consecutive_failures.pop(worker, None)
        self._quarantine_counts.pop(worker, None)

    def add_failure(self, worker: str, service: str, job_id: str, now_s: float) -> bool:
        """Records a job that failed or that the worker refused.

        :param now_s: monotonic time.
        :returns: whether this failure starts a quarantine of the worker.
        """
        self._add_outcome(service, _Outcome(worker, has_failed=True))
        failures = self._consecutive_failures.setdefault(worker, {})
        failures[job_id] = service
        if len(failures) > QUARANTINE_FAILURES_COUNT:
            del failures[next(iter(failures))]
        if len(failures) < QUARANTINE_FAILURES_COUNT or not self._is_at_fault(worker):
            return False
        if self.is_quarantined(worker, now_s):
            return False
        doublings_count = min(self._quarantine_counts[worker], DOUBLINGS_MAX_COUNT)
        duration_s = QUARANTINE_FIRST_S * 2**doublings_count
        self._quarantine_counts[worker] += 1
        self._quarantine_end_s[worker] = now_s + min(QUARANTINE_MAX_S, duration_s)
        # A single failure after the quarantine starts the next, longer one.
        self._consecutive_failures[worker] = dict(
            list(failures.items())[1 - QUARANTINE_FAILURES_COUNT :]
        )
        return True

    def is_quarantined(self, worker: str, now_s: float) -> bool:
        """
        :param now_s: monotonic time.
        :returns: whether the worker gets no new jobs at this time.
        """
        return now_s < self._quarantine_end_s.get(worker, now_s)

    def _add_outcome(self, service: str, outcome: _Outcome) -> None:
        outcomes = self._outcomes.setdefault(
            service, deque(maxlen=OUTCOMES_WINDOW_COUNT)
        )
        outcomes.append(outcome)

    def _is_at_fault(self, worker: str) -> bool:
        services = set(self._consecutive_failures[worker].values())
        return any(
            self._failure_ratio_on_others(service, worker)
            < OTHER_WORKERS_MAX_FAILURE_RATIO
            for service in services
        )

    def _failure_ratio_on_others(self, service: str, worker: str) -> float:
        """Returns 1 when no other worker ran a job, so that this one isn't blamed."""
        outcomes_on_others = [
            outcome.has_failed
            for outcome in self._outcomes[service]
            if outcome.worker != worker
        ]
        return (
            sum(outcomes_on_others) / len(outcomes_on_others)
            if outcomes_on_others
            else 1.0
        )
