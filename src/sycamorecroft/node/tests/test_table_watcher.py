"""Tests of watching a table of the store."""

import time

from standins.memory_partitions import MemoryPartitions
from sycamorecroft.clock import ManualClock
from sycamorecroft.node.table_watcher import TableWatcher
from sycamorecroft.store.interfaces import Put, StorePurpose


def _put(tables, key, part=""):
    put = Put("t", key, b"{}", part)
    tables.transact((), (put,), purpose=StorePurpose.VIEW)


def _wait_for(condition, timeout_s=5.0):
    end_s = time.monotonic() + timeout_s
    while not condition() and time.monotonic() < end_s:
        time.sleep(0.01)
    assert condition()


def _watch(tables, **options):
    keys = []
    watcher = TableWatcher(
        tables, "t", lambda rows: keys.extend(row.key for row in rows), **options
    )
    watcher.start()
    return watcher, keys


def test_existing_rows_and_changes_are_passed():
    """Guards against a change missed between the first read and the first poll."""
    tables = MemoryPartitions()
    _put(tables, "a", "p1")
    _put(tables, "b")
    watcher, keys = _watch(tables, part=None)
    _wait_for(lambda: sorted(keys) == ["a", "b"])
    _put(tables, "c", "p2")
    _wait_for(lambda: "c" in keys)
    watcher.stop()


def test_rows_are_read_again_after_history_loss():
    """Guards against changes that are missed when the store discards its history."""
    tables = MemoryPartitions()
    watcher, keys = _watch(tables)
    _wait_for(lambda: watcher._version is not None)
    tables.is_unavailable = True
    time.sleep(0.1)
    tables.is_unavailable = False
    _put(tables, "a")
    tables.discard_history()
    _put(tables, "b")
    _wait_for(lambda: {"a", "b"} <= set(keys))
    watcher.stop()


def test_watching_continues_after_store_outage():
    """Guards against a watcher that ends with its first failed call."""
    tables = MemoryPartitions()
    tables.is_unavailable = True
    watcher, keys = _watch(tables)
    time.sleep(0.3)
    tables.is_unavailable = False
    _put(tables, "a")
    _wait_for(lambda: keys == ["a"])
    watcher.stop()


def test_failing_function_does_not_end_the_watcher():
    """Guards against a watcher that ends when one row can't be applied."""
    tables = MemoryPartitions()
    calls = []

    def apply(rows):
        calls.append(rows)
        if len(calls) == 1:
            raise ValueError("bad row")

    watcher = TableWatcher(tables, "t", apply)
    watcher.start()
    _put(tables, "a")
    _wait_for(lambda: len(calls) >= 2)
    watcher.stop()


def test_each_read_is_reported_after_its_rows_with_the_time_it_was_sent():
    """Guards against a read that counts as later than its rows may be, or as sooner."""
    tables = MemoryPartitions()
    clock = ManualClock()
    events = []

    class _SlowTables:
        def changes(self, table, *, after_version, wait_s):
            clock.advance(1.0)
            return tables.changes(table, after_version=after_version, wait_s=0.01)

    _put(tables, "a")
    watcher = TableWatcher(
        _SlowTables(),
        "t",
        lambda rows: events.extend(row.key for row in rows),
        clock=clock,
        from_version=0,
        on_read=events.append,
    )
    watcher.start()
    _wait_for(lambda: len(events) >= 3)
    watcher.stop()
    assert events[:3] == ["a", 0.0, 1.0]
