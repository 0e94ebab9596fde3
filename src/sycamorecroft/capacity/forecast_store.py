"""Stores what is known of the rises of each pool, for the next fleet controller."""

import structlog

from sycamorecroft.capacity.forecast import PoolRecord
from sycamorecroft.errors import PlatformError, RecordError
from sycamorecroft.scheduling.pool_rows import FLEET_CONTROLLER_CLAIM
from sycamorecroft.scheduling.rows import decode_row, encode_row
from sycamorecroft.store.interfaces import (
    Check,
    PartitionedTableService,
    Put,
    StorePurpose,
)
from sycamorecroft.store.table_part import TablePart

_log = structlog.get_logger(__name__)

FORECASTS_TABLE = "forecasts"
# Hosts or milliseconds. Calculations with larger numbers may overflow, which would keep
# the fleet controller from planning any move.
NUMBER_LIMIT = 1e15


class ForecastStore:
    """Reads and writes the records of the pools. Not thread-safe."""

    def __init__(
        self, tables: PartitionedTableService, owner_check: Check | None = None
    ) -> None:
        """
        :param owner_check: condition that holds while this entry host is the fleet
            controller.
        """
        self._tables = TablePart(tables, FLEET_CONTROLLER_CLAIM)
        self._owner_checks = (owner_check,) if owner_check else ()
        self._versions: dict[str, int] = {}
        self._are_versions_known = False
        self.store_time_ms = 0

    def load(self) -> dict[str, PoolRecord]:
        """Reads the records of all pools; one that is malformed is left out.

        :raises PlatformError: when the rows can't be read.
        """
        scan = self._tables.scan(FORECASTS_TABLE, purpose=StorePurpose.POOLS)
        self.store_time_ms = scan.store_time_ms
        self._versions = {row.key: row.version for row in scan.rows}
        self._are_versions_known = True
        records = {}
        for row in scan.rows:
            try:
                records[row.key] = _decode(row.value or b"")
            except RecordError as error:
                _log.error("forecast_row_malformed", pool=row.key, error=str(error))
        return records

    def write(self, pool: str, record: PoolRecord) -> bool:
        """Replaces the record of a pool, once; a failure is logged.

        The record in memory goes on to be used, and the next rise writes all of it.

        :returns: whether the record is stored.
        """
        try:
            if not self._are_versions_known:
                self.load()
            version = self._versions.get(pool)
            self._versions[pool] = self._tables.transact(
                (*self._owner_checks, Check(FORECASTS_TABLE, pool, version)),
                (Put(FORECASTS_TABLE, pool, encode_row(record)),),
                purpose=StorePurpose.POOLS,
            )
        except PlatformError as error:
            # A write without an answer may still be applied.
            self._are_versions_known = False
            _log.info("forecast_not_stored", pool=pool, reason=str(error))
            return False
        return True


def _decode(value: bytes) -> PoolRecord:
    """
    :raises RecordError: when the value is no record, or has a number out of range.
    """
    record = decode_row(value, PoolRecord)
    numbers = [record.rise_ms, *record.peaks_count, *record.peak_errors_count]
    for source in record.sources.values():
        numbers += (*source.delays_ms, *source.errors_ms)
    if any(abs(number) > NUMBER_LIMIT for number in numbers):
        raise RecordError(
            f"numbers must be from -{NUMBER_LIMIT:.0e} to {NUMBER_LIMIT:.0e}"
        )
    return record
