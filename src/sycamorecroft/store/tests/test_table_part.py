"""Tests of reads of whole tables from a store that fails a share of the calls."""

import pytest

from standins.memory_partitions import MemoryPartitions
from sycamorecroft.errors import StoreUnavailableError
from sycamorecroft.store.interfaces import Put, StorePurpose
from sycamorecroft.store.table_part import read_all_parts

PARTS_COUNT = 64


class _LossyPartitions(MemoryPartitions):
    """Loses the first answers for each part."""

    def __init__(self, lost_count: int) -> None:
        super().__init__()
        self._lost_count = lost_count
        self._reads: dict[str, int] = {}

    def scan_part(self, table, part, **arguments):
        self._reads[part] = self._reads.get(part, 0) + 1
        if self._reads[part] <= self._lost_count:
            raise StoreUnavailableError(f"lost the answer for {part!r}")
        return super().scan_part(table, part, **arguments)


def _filled_store(lost_count):
    tables = _LossyPartitions(lost_count)
    for number in range(PARTS_COUNT):
        put = Put("jobs", f"j{number}", b"1", f"rating/{number}")
        tables.transact((), (put,), purpose=StorePurpose.JOBS)
    return tables


def test_all_parts_are_read_while_answers_are_lost():
    """Guards against a service that can't be loaded while answers are lost.

    A read of 64 parts without retries hardly ever succeeds then.
    """
    tables = _filled_store(lost_count=2)
    scan = read_all_parts(tables, "jobs", purpose=StorePurpose.JOBS, attempts_count=3)
    assert len(scan.rows) == PARTS_COUNT


def test_read_fails_once_all_attempts_have_failed():
    """Guards against a read that hides an outage of the store."""
    tables = _filled_store(lost_count=9)
    with pytest.raises(StoreUnavailableError):
        read_all_parts(tables, "jobs", purpose=StorePurpose.JOBS, attempts_count=2)
