"""Reports the state of upkeep waves to the operator."""

from sycamorecroft.platform import encode_wave_status
from sycamorecroft.platform.names import STATUS_TABLE, WAVE_PREFIX
from sycamorecroft.store.interfaces import (
    Check,
    PartitionedTableService,
    Put,
    StorePurpose,
)


class WaveReporter:
    """Writes the state of waves; a wave that is complete never runs again."""

    def __init__(self, tables: PartitionedTableService) -> None:
        self._tables = tables

    def report(self, number: int, is_complete: bool) -> None:
        """Writes the state of a wave, on condition that the row hasn't changed.

        The store may carry out a write without an answer seconds later, when the wave
        has been reported as complete.

        :param number: number of the wave.
        :raises StoreConflictError: when another report was written meanwhile.
        :raises PlatformError: when it is not known whether the state was written.
        """
        key = f"{WAVE_PREFIX}{number}"
        row = self._tables.read(STATUS_TABLE, key, purpose=StorePurpose.POOLS)
        if row is not None and row.value == encode_wave_status(True):
            return
        check = Check(STATUS_TABLE, key, row.version if row else None)
        put = Put(STATUS_TABLE, key, encode_wave_status(is_complete))
        self._tables.transact((check,), (put,), purpose=StorePurpose.POOLS)
