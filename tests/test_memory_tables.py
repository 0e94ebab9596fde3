"""Failures guarded against: partial transactions, lost deletes, faults that leak."""

import threading

import pytest

from standins.faults import FaultInjector, Operation
from standins.memory_tables import MemoryTables
from sycamorecroft.clock import ManualClock
from sycamorecroft.errors import (
    PlatformError,
    StoreConflictError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from sycamorecroft.store.interfaces import Check, Put, Row, StorePurpose

PURPOSE = StorePurpose.POOLS


def _put(tables: MemoryTables, key: str, value: bytes | None = b"{}") -> int:
    return tables.transact([], [Put("t", key, value)], purpose=PURPOSE)


def test_failed_check_writes_nothing():
    tables = MemoryTables()
    version = _put(tables, "a")
    checks = [Check("t", "a", version), Check("t", "b", version)]
    with pytest.raises(StoreConflictError, match="t/b has version None"):
        tables.transact(checks, [Put("t", "a", b"1")], purpose=PURPOSE)
    assert tables.read("t", "a", purpose=PURPOSE) == Row("t", "a", b"{}", version)
    assert _put(tables, "c") == version + 1


def test_delta_scan_reports_rows_deleted_since():
    tables = MemoryTables()
    _put(tables, "a")
    seen = _put(tables, "b")
    deleted = _put(tables, "b", None)
    assert tables.scan("t", purpose=PURPOSE, after_version=seen).rows == (
        Row("t", "b", None, deleted),
    )
    live = tables.scan("t", purpose=PURPOSE)
    assert [row.key for row in live.rows] == ["a"]
    assert live.version == deleted
    recreated = tables.transact(
        [Check("t", "b", None)], [Put("t", "b", b"2")], purpose=PURPOSE
    )
    rows = tables.scan("t", purpose=PURPOSE, after_version=deleted, prefix="b").rows
    assert rows == (Row("t", "b", b"2", recreated),)


def test_concurrent_conditional_writes_lose_no_update():
    tables = MemoryTables()
    _put(tables, "n", b"0")

    def increment() -> None:
        done_count = 0
        while done_count < 50:
            row = tables.read("t", "n", purpose=PURPOSE)
            put = Put("t", "n", str(int(row.value) + 1).encode())
            try:
                checks = [Check("t", "n", row.version)]
                tables.transact(checks, [put], purpose=PURPOSE)
                done_count += 1
            except StoreConflictError:
                continue

    threads = [threading.Thread(target=increment) for _ in range(4)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert tables.read("t", "n", purpose=PURPOSE).value == b"200"


def test_lost_response_has_taken_effect_and_outage_has_not():
    tables = MemoryTables()
    tables.faults.lose_responses(count=1)
    with pytest.raises(StoreOutcomeUnknownError):
        _put(tables, "a")
    assert tables.read("t", "a", purpose=PURPOSE) is not None
    tables.faults.set_down(count=1, operation=Operation.WRITE)
    with pytest.raises(StoreUnavailableError):
        _put(tables, "b")
    assert tables.read("t", "b", purpose=PURPOSE) is None


def test_lost_response_hides_a_conflict():
    tables = MemoryTables()
    tables.faults.lose_responses(count=1)
    with pytest.raises(StoreOutcomeUnknownError):
        tables.transact([Check("t", "a", 7)], [], purpose=PURPOSE)


def test_outage_ends_by_the_clock_and_affects_one_handle():
    clock = ManualClock()
    tables = MemoryTables(FaultInjector(clock))
    other = tables.connect()
    tables.faults.set_down(duration_s=5)
    with pytest.raises(StoreUnavailableError):
        tables.read("t", "a", purpose=PURPOSE)
    assert other.read("t", "a", purpose=PURPOSE) is None
    clock.advance(5)
    assert tables.read("t", "a", purpose=PURPOSE) is None


def test_delay_beyond_the_timeout_loses_the_response():
    clock = ManualClock()
    tables = MemoryTables(FaultInjector(clock, sleep=clock.advance, timeout_s=1.0))
    tables.faults.set_delay(3.0, count=1)
    with pytest.raises(StoreOutcomeUnknownError):
        _put(tables, "a")
    assert clock.monotonic_s() == 1.0
    assert tables.read("t", "a", purpose=PURPOSE) is not None


@pytest.mark.parametrize(
    "puts", [[Put("t", "a", b"no json")], [Put("t", "a", b"1")] * 2]
)
def test_malformed_transaction_is_rejected(puts: list[Put]):
    tables = MemoryTables()
    with pytest.raises(PlatformError):
        tables.transact([], puts, purpose=PURPOSE)
    assert tables.read("t", "a", purpose=PURPOSE) is None
