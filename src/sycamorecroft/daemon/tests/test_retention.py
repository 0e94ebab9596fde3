"""Tests of the rate at which expired claims and jobs are removed."""

from standins.memory_objects import MemoryObjects
from standins.memory_tables import MemoryTables
from sycamorecroft.clock import ManualClock
from sycamorecroft.daemon.retention import IDLE_INTERVAL_S, Retention


def _calls_count(tables: MemoryTables) -> int:
    return sum(tables.call_counts().values())


def test_empty_parts_of_an_expired_day_are_swept_without_pauses() -> None:
    """Guards against a sweep that pauses at each part without rows and falls behind."""
    clock = ManualClock()
    tables = MemoryTables()
    retention = Retention(tables, MemoryObjects(), clock)
    for _ in range(20):
        retention.step()
        clock.advance(1.0)
    # For each of the two indexes: read the cursor, read the part, advance the cursor.
    assert _calls_count(tables) == 20 * 2 * 3


def test_completed_sweep_reads_the_store_rarely() -> None:
    """Guards against store reads every second after all expired days are swept."""
    clock = ManualClock()
    tables = MemoryTables()
    retention = Retention(tables, MemoryObjects(), clock)
    for sweep in retention._sweeps:
        sweep._settings = sweep._settings._replace(shard_digits_count=1)
    for _ in range(17):
        retention.step()
    count = _calls_count(tables)
    for _ in range(int(IDLE_INTERVAL_S)):
        retention.step()
        clock.advance(1.0)
    assert _calls_count(tables) - count <= 2
