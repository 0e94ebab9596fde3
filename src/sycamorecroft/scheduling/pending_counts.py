"""Counts of jobs without a start, which callers can ask for."""

from collections.abc import Iterable

from sycamorecroft.scheduling.jobs import Job
from sycamorecroft.scheduling.rows import JobState

WRITE_INTERVAL_S = 0.5


class PendingCounts:
    """Counts by queue, and which of them are stored. Not thread-safe."""

    def __init__(self) -> None:
        self._stored: dict[str, int] = {}
        self._written_s = 0.0

    def changed(self, jobs: Iterable[Job], now_s: float) -> tuple[tuple[str, int], ...]:
        """
        :returns: queue and count where it differs from what is stored; nothing if the
            last counts were stored a moment ago.
        """
        if now_s - self._written_s < WRITE_INTERVAL_S:
            return ()
        counts = dict.fromkeys(self._stored, 0)
        for job in jobs:
            is_pending = job.state is JobState.QUEUED
            counts[job.queue.name] = counts.get(job.queue.name, 0) + is_pending
        changed = tuple(
            (queue, count)
            for queue, count in counts.items()
            if self._stored.get(queue) != count
        )
        if changed:
            self._stored = counts
            self._written_s = now_s
        return changed
