"""Removal of claims and finished jobs that are older than the retention period."""

from sycamorecroft.claims.records import CLAIMS_DAY_TABLES
from sycamorecroft.clock import Clock
from sycamorecroft.jobs.records import JOBS_DAY_TABLES
from sycamorecroft.store.day_index import DayRetention
from sycamorecroft.store.interfaces import ObjectStore, TableService

# Once all days before the retention period are swept, nothing expires until midnight.
IDLE_INTERVAL_S = 30.0


class Retention:
    """Sweeps the day indexes of claims and jobs; pauses while nothing has expired.

    Not thread-safe; called by one ticker.
    """

    def __init__(
        self, tables: TableService, objects: ObjectStore, clock: Clock
    ) -> None:
        self._sweeps = tuple(
            DayRetention(tables, objects, day_tables)
            for day_tables in (CLAIMS_DAY_TABLES, JOBS_DAY_TABLES)
        )
        self._clock = clock
        self._idle_until_s = float("-inf")

    def step(self) -> int:
        """Sweeps one part of each index unless the sweep is paused.

        :returns: number of rows removed.
        """
        now_s = self._clock.monotonic_s()
        if now_s < self._idle_until_s:
            return 0
        removed_count = sum(sweep.step(self._clock.now()) for sweep in self._sweeps)
        if not any(sweep.has_backlog for sweep in self._sweeps):
            self._idle_until_s = now_s + IDLE_INTERVAL_S
        return removed_count
