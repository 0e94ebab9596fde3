"""Tests of following a table of the store."""

import time

from standins.memory_partitions import MemoryPartitions
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


def _follow(tables, **options):
    seen = []
    follower = TableWatcher(
        tables, "t", lambda rows: seen.extend(row.key for row in rows), **options
    )
    follower.start()
    return follower, seen


def test_rows_of_before_and_changes_are_passed_on():
    """Guards against a row that falls between the first read and the feed."""
    tables = MemoryPartitions()
    _put(tables, "a", "p1")
    _put(tables, "b")
    follower, seen = _follow(tables, part=None)
    _wait_for(lambda: sorted(seen) == ["a", "b"])
    _put(tables, "c", "p2")
    _wait_for(lambda: "c" in seen)
    follower.stop()


def test_lost_history_is_read_again():
    """Guards against changes that are missed when the store forgets its history."""
    tables = MemoryPartitions()
    follower, seen = _follow(tables)
    _wait_for(lambda: follower._version is not None)
    tables.is_dark = True
    time.sleep(0.1)
    tables.is_dark = False
    _put(tables, "a")
    tables.forget_history()
    _put(tables, "b")
    _wait_for(lambda: {"a", "b"} <= set(seen))
    follower.stop()


def test_outage_of_the_store_is_survived():
    """Guards against a follower that ends with its first failed call."""
    tables = MemoryPartitions()
    tables.is_dark = True
    follower, seen = _follow(tables)
    time.sleep(0.3)
    tables.is_dark = False
    _put(tables, "a")
    _wait_for(lambda: seen == ["a"])
    follower.stop()


def test_function_that_fails_does_not_end_the_follower():
    """Guards against a host that follows nothing after one bad row."""
    tables = MemoryPartitions()
    calls = []

    def apply(rows):
        calls.append(rows)
        if len(calls) == 1:
            raise ValueError("bad row")

    follower = TableWatcher(tables, "t", apply)
    follower.start()
    _put(tables, "a")
    _wait_for(lambda: len(calls) >= 2)
    follower.stop()
