"""Counts jobs that haven't started; the counts are stored for queries by callers."""

from collections.abc import Iterable

from sycamorecroft.scheduling.jobs import Job
from sycamorecroft.scheduling.stored_jobs import decode_logged
from sycamorecroft.store.interfaces import Row

WRITE_INTERVAL_S = 0.5


class PendingCounts:
    """Counts pending jobs by queue, and keeps the stored counts. Not thread-safe."""

    def __init__(self) -> None:
        # The count is None if the stored one can't be decoded.
        self._stored: dict[str, int | None] = {}
        self._written_s = 0.0

    def load(self, rows: Iterable[Row]) -> None:
        """Loads the counts that a former owner stored, so that each is replaced.

        :param rows: rows whose keys are names of queues.
        """
        for row in rows:
            if row.value is not None:
                self._stored[row.key] = decode_logged(row, int)

    def changed(
        self, jobs: Iterable[Job], now_s: float, *, limit_count: int
    ) -> tuple[tuple[str, int], ...]:
        """
        :param limit_count: maximum number of queues to return; the others follow with
            the next call.
        :returns: queues, with their counts, whose count differs from the stored one;
            empty if counts were written less than 0.5 s ago.
        """
        if now_s - self._written_s < WRITE_INTERVAL_S:
            return ()
        counts = dict.fromkeys(self._stored, 0)
        for job in jobs:
            is_pending = job.is_pending(now_s)
            counts[job.queue.name] = counts.get(job.queue.name, 0) + is_pending
        changed = tuple(
            (queue, count)
            for queue, count in counts.items()
            if self._stored.get(queue) != count
        )
        if changed:
            self._stored |= dict(changed[:limit_count])
        if changed and len(changed) <= limit_count:
            self._written_s = now_s
        return changed[:limit_count]
