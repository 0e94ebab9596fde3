"""Removal of claims and ended jobs that are older than the kept days."""

from sycamorecroft.claims.records import CLAIMS_DAY_TABLES
from sycamorecroft.clock import Clock
from sycamorecroft.jobs.records import JOBS_DAY_TABLES
from sycamorecroft.store.day_index import DayRetention
from sycamorecroft.store.interfaces import ObjectStore, TableService

# Once all days before the kept ones are swept, there is nothing to do until midnight.
IDLE_INTERVAL_S = 30.0


class Retention:
    """Sweeps both indexes, quickly while there is something to remove.

    Not thread-safe; one ticker calls it.
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
        """
        :returns: how many rows were removed.
        """
        now_s = self._clock.monotonic_s()
        if now_s < self._idle_until_s:
            return 0
        removed_count = sum(sweep.step(self._clock.now()) for sweep in self._sweeps)
        if not any(sweep.has_backlog for sweep in self._sweeps):
            self._idle_until_s = now_s + IDLE_INTERVAL_S
        return removed_count
