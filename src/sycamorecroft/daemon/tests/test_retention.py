"""Pace of the removal of old claims and jobs."""

from standins.memory_objects import MemoryObjects
from standins.memory_tables import MemoryTables
from sycamorecroft.clock import ManualClock
from sycamorecroft.daemon.retention import IDLE_INTERVAL_S, Retention


def _reads_count(tables: MemoryTables) -> int:
    return sum(tables.call_counts().values())


def test_empty_parts_of_an_old_day_are_swept_without_pauses() -> None:
    """Guards against a sweep that falls behind since most parts have no rows."""
    clock = ManualClock()
    tables = MemoryTables()
    retention = Retention(tables, MemoryObjects(), clock)
    for _ in range(20):
        retention.step()
        clock.advance(1.0)
    # Two tables, each with the cursor, the part and the move of the cursor.
    assert _reads_count(tables) == 20 * 2 * 3


def test_nothing_due_is_looked_for_rarely() -> None:
    """Guards against reads every second while all old days are swept."""
    clock = ManualClock()
    tables = MemoryTables()
    retention = Retention(tables, MemoryObjects(), clock)
    for sweep in retention._sweeps:
        sweep._settings = sweep._settings._replace(shard_digits_count=1)
    for _ in range(17):
        retention.step()
    count = _reads_count(tables)
    for _ in range(int(IDLE_INTERVAL_S)):
        retention.step()
        clock.advance(1.0)
    assert _reads_count(tables) - count <= 2
