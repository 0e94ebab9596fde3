"""Tells in the log what is believed of workers, and marks the slow ones."""

from collections.abc import Iterable

import structlog

from sycamorecroft.scheduling.workers import Worker, mark_slow_workers

_log = structlog.get_logger(__name__)


def age_s(worker: Worker | None, now_s: float) -> float | None:
    """
    :returns: age of the worker's last list of runs.
    """
    if worker is None or worker.heard_s is None:
        return None
    return round(now_s - worker.heard_s, 3)


def note_heard(worker: Worker, now_s: float) -> None:
    """Notes that a worker answered after a silence."""
    _log.info(
        "worker_heard",
        worker=worker.id,
        service=worker.entry.service,
        silent_s=age_s(worker, now_s),
        born_ms=worker.born_ms,
    )


def note_silent(worker: Worker, now_s: float) -> None:
    """Notes once that a worker that answered before doesn't answer any more."""
    if worker.heard_s is None or worker.is_silent:
        return
    worker.is_silent = True
    _log.info(
        "worker_silent",
        worker=worker.id,
        service=worker.entry.service,
        silent_s=age_s(worker, now_s),
        runs_count=len(worker.runs),
        lease_end_in_s=round(worker.lease_end_s - now_s, 3),
    )


def compare_workers(workers: Iterable[Worker], now_s: float) -> None:
    """Marks workers that are slower than others or on which tasks stand still."""
    workers = list(workers)
    before = {worker.id for worker in workers if worker.is_slow}
    mark_slow_workers(workers)
    for worker in workers:
        if worker.is_slow != (worker.id in before):
            _log.info(
                "worker_slow" if worker.is_slow else "worker_fast_again",
                worker=worker.id,
                time_ratio=round(worker.time_ratio or 0.0, 2),
            )
        was_held_back = worker.is_held_back
        worker.is_held_back = worker.is_stalled(now_s)
        if worker.is_held_back and not was_held_back:
            _log.info("worker_stalled", worker=worker.id, runs_count=len(worker.runs))
