"""Detects slow, stalled and unreachable workers, and logs these changes of state."""

from collections.abc import Iterable

import structlog

from sycamorecroft.scheduling.workers import Worker, flag_slow_workers

_log = structlog.get_logger(__name__)


def run_list_age_s(worker: Worker | None, now_s: float) -> float | None:
    """
    :returns: age in s of the worker's last run list, ``None`` if there is none.
    """
    if worker is None or worker.last_contact_s is None:
        return None
    return round(now_s - worker.last_contact_s, 3)


def record_contact_restored(worker: Worker, now_s: float) -> None:
    """Logs that contact with a worker was established or restored."""
    _log.info(
        "worker_heard",
        worker=worker.id,
        service=worker.registration.service,
        contact_age_s=run_list_age_s(worker, now_s),
        born_ms=worker.incarnation_ms,
    )


def record_contact_lost(worker: Worker, now_s: float) -> None:
    """Flags and logs, once, that contact with a worker was lost."""
    if worker.last_contact_s is None or worker.is_contact_lost:
        return
    worker.is_contact_lost = True
    _log.info(
        "worker_silent",
        worker=worker.id,
        service=worker.registration.service,
        contact_age_s=run_list_age_s(worker, now_s),
        runs_count=len(worker.runs),
        lease_end_in_s=round(worker.lease_end_s - now_s, 3),
    )


def update_worker_health(workers: Iterable[Worker], now_s: float) -> None:
    """Flags workers that are slower than the others or on which a task is stalled."""
    workers = list(workers)
    before = {worker.id for worker in workers if worker.is_slow}
    flag_slow_workers(workers)
    for worker in workers:
        if worker.is_slow != (worker.id in before):
            _log.info(
                "worker_slow" if worker.is_slow else "worker_slow_resolved",
                worker=worker.id,
                time_ratio=round(worker.time_ratio or 0.0, 2),
            )
        was_stalled = worker.is_stalled
        worker.is_stalled = worker.has_stalled_run(now_s)
        if worker.is_stalled and not was_stalled:
            _log.info("worker_stalled", worker=worker.id, runs_count=len(worker.runs))
