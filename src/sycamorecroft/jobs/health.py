"""Quarantine of workers that fail the jobs started on them."""

from collections import Counter

FAILED_JOBS_COUNT = 3
QUARANTINE_FIRST_S = 60.0
QUARANTINE_MAX_S = 3600.0


class WorkerHealth:
    """Failures in a row by worker, and outcomes by service and worker.

    A worker is quarantined when three distinct jobs in a row fail on it, while jobs of
    the services of these jobs fail less often on other workers. Where a service fails
    as often elsewhere, its jobs are at fault and not the worker.
    """

    def __init__(self) -> None:
        self._in_a_row: dict[str, dict[str, str]] = {}
        self._ended: Counter[tuple[str, str]] = Counter()
        self._failed: Counter[tuple[str, str]] = Counter()
        self._quarantines: Counter[str] = Counter()
        self._until_s: dict[str, float] = {}

    def add_success(self, worker: str, service: str) -> None:
        """Counts a job that succeeded; the worker counts as healthy again."""
        self._ended[service, worker] += 1
        self._in_a_row.pop(worker, None)
        self._quarantines.pop(worker, None)

    def add_failure(self, worker: str, service: str, job_id: str, now_s: float) -> bool:
        """Counts a job that failed or that the worker refused.

        :returns: whether the worker is quarantined because of it.
        """
        self._ended[service, worker] += 1
        self._failed[service, worker] += 1
        jobs = self._in_a_row.setdefault(worker, {})
        jobs[job_id] = service
        if len(jobs) < FAILED_JOBS_COUNT or not self._is_worker_at_fault(worker):
            return False
        duration_s = QUARANTINE_FIRST_S * 2 ** self._quarantines[worker]
        self._quarantines[worker] += 1
        self._until_s[worker] = now_s + min(QUARANTINE_MAX_S, duration_s)
        # One more failure after the quarantine is enough for the next, longer one.
        del jobs[next(iter(jobs))]
        return True

    def is_quarantined(self, worker: str, now_s: float) -> bool:
        """
        :returns: whether the worker takes no new jobs for now.
        """
        return now_s < self._until_s.get(worker, now_s)

    def _is_worker_at_fault(self, worker: str) -> bool:
        services = set(self._in_a_row[worker].values())
        return any(
            self._ratio_elsewhere(service, worker) < self._ratio_here(service, worker)
            for service in services
        )

    def _ratio_here(self, service: str, worker: str) -> float:
        return self._failed[service, worker] / self._ended[service, worker]

    def _ratio_elsewhere(self, service: str, worker: str) -> float:
        """No job elsewhere gives no reason to blame the worker."""
        ended_count = failed_count = 0
        for (ended_service, ended_worker), count in self._ended.items():
            if ended_service == service and ended_worker != worker:
                ended_count += count
                failed_count += self._failed[ended_service, ended_worker]
        return failed_count / ended_count if ended_count else 1.0
