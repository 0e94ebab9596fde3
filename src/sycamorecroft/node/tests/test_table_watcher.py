"""Tests of watching a table of the store."""

import time

from standins.memory_partitions import MemoryPartitions
from sycamorecroft.clock import ManualClock
from sycamorecroft.errors import StoreUnavailableError
from sycamorecroft.node.table_watcher import LONG_POLL_S, TableWatcher
from sycamorecroft.store.interfaces import Put, Row, Scan, StorePurpose


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


class _ScriptedFeed:
    """Feed whose polls take the given times and have the given results.

    :ivar waits_s: the wait that each poll asked for.
    """

    def __init__(self, clock, polls):
        self._clock = clock
        self._polls = iter(polls)
        self.waits_s = []

    def changes(self, table, *, after_version, wait_s):
        self.waits_s.append(wait_s)
        duration_s, result = next(self._polls)
        self._clock.advance(duration_s)
        if isinstance(result, Exception):
            raise result
        return Scan(result, after_version + 1)


def _known_times(polls):
    """Returns the feed, and the times reported as known, relative to each poll's start
    if they are known by it.
    """
    clock = ManualClock()
    feed = _ScriptedFeed(clock, polls)
    known_s = []
    watcher = TableWatcher(
        feed, "t", len, clock=clock, from_version=0, on_known=known_s.append
    )
    for _ in polls:
        try:
            watcher._poll()
            watcher._log_reachability(is_reachable=True, reason="")
        except StoreUnavailableError:
            watcher._log_reachability(is_reachable=False, reason="")
    return feed, known_s


def test_poll_without_a_change_is_known_until_the_end_of_its_wait():
    """Guards against a configuration that counts as old although the feed has waited
    for a change until now, and against one that counts as more recent than the wait.
    """
    row = (Row("t", "a", b"{}", 2),)
    polls = [(LONG_POLL_S, ()), (LONG_POLL_S + 5.0, ()), (0.5, ()), (2.0, row)]
    _, known_s = _known_times(polls)
    starts_s = [0.0, LONG_POLL_S, 2 * LONG_POLL_S + 5.0, 2 * LONG_POLL_S + 5.5]
    assert known_s == [
        starts_s[0] + LONG_POLL_S,
        starts_s[1] + LONG_POLL_S,
        starts_s[2],
        starts_s[3],
    ]


def test_poll_after_a_failed_one_does_not_wait():
    """Guards against changes that come into force late after an outage, since the feed
    waits for further ones.
    """
    error = StoreUnavailableError("no answer")
    polls = [(2.5, error), (0.1, error), (0.0, ()), (LONG_POLL_S, ())]
    feed, known_s = _known_times(polls)
    assert feed.waits_s == [LONG_POLL_S, 0.0, 0.0, LONG_POLL_S]
    assert known_s == [2.6, 2.6 + LONG_POLL_S]
