"""Guards against a worker thread of the batcher that ends on an unexpected error."""

import threading
import time
from collections.abc import Sequence

import pytest

from standins.entry_driver import SteppedClock
from standins.memory_partitions import MemoryPartitions
from sycamorecroft.clock import SystemClock
from sycamorecroft.errors import StoreOutcomeUnknownError
from sycamorecroft.store.insert_batcher import (
    BatchSettings,
    Insert,
    InsertBatcher,
    InsertOutcome,
)
from sycamorecroft.store.interfaces import (
    Check,
    Put,
    Row,
    Scan,
    StorePurpose,
    TableService,
)


class _FailOnceTables(TableService):
    """Raises an error that is no ``PlatformError`` on the first transaction."""

    def __init__(self) -> None:
        self._transactions_count = 0

    def read(self, table: str, key: str, *, purpose: StorePurpose) -> Row | None:
        return None

    def scan(
        self,
        table: str,
        *,
        purpose: StorePurpose,
        prefix: str = "",
        after_version: int = 0,
    ) -> Scan:
        raise NotImplementedError

    def transact(
        self, checks: Sequence[Check], puts: Sequence[Put], *, purpose: StorePurpose
    ) -> int:
        self._transactions_count += 1
        if self._transactions_count == 1:
            raise RuntimeError("unexpected")
        return self._transactions_count


@pytest.mark.filterwarnings("error::pytest.PytestUnhandledThreadExceptionWarning")
def test_unexpected_error_does_not_stop_the_worker_thread():
    """Guards against all later inserts expiring after one unexpected error."""
    clock = SystemClock()
    batcher = InsertBatcher(
        _FailOnceTables(),
        clock,
        purpose=StorePurpose.CLAIMS,
        on_late_commit=lambda insert: None,
    )
    batcher.start()
    outcomes = [
        batcher.insert(
            Insert((Put("claims", key, b"{}"),)),
            deadline_s=clock.monotonic_s() + 1.0,
        ).outcome
        for key in ("first", "second")
    ]
    batcher.stop()
    assert outcomes == [InsertOutcome.UNKNOWN, InsertOutcome.COMMITTED]


# The last one is nested too deeply for a decoder that recurses.
UNREADABLE_VALUES = (b"{", b"\xff\xfe", b"", b"[" * 60_000)


class _LostAnswerTables(MemoryPartitions):
    """Stores the row of another writer and loses the answer of the first insert."""

    def __init__(self, other_value: bytes) -> None:
        super().__init__()
        self._other_value = other_value
        self._is_first = True

    def transact(
        self, checks: Sequence[Check], puts: Sequence[Put], *, purpose: StorePurpose
    ) -> int:
        if self._is_first:
            self._is_first = False
            others = [Put(put.table, put.key, self._other_value) for put in puts]
            super().transact((), others, purpose=purpose)
            raise StoreOutcomeUnknownError("no response")
        return super().transact(checks, puts, purpose=purpose)


@pytest.mark.filterwarnings("error::pytest.PytestUnhandledThreadExceptionWarning")
@pytest.mark.parametrize("value", UNREADABLE_VALUES, ids=len)
def test_unreadable_row_does_not_stop_the_worker_thread(value):
    """Guards against all later inserts expiring after one malformed row.

    The row of another writer is read back after a lost answer.
    """
    clock = SystemClock()
    batcher = InsertBatcher(
        _LostAnswerTables(value),
        clock,
        purpose=StorePurpose.JOBS,
        on_late_commit=lambda insert: None,
    )
    batcher.start()
    outcomes = [
        batcher.insert(
            Insert((Put("jobs", key, b"{}"),)),
            deadline_s=clock.monotonic_s() + 1.0,
        ).outcome
        for key in ("first", "second")
    ]
    batcher.stop()
    assert outcomes == [InsertOutcome.UNKNOWN, InsertOutcome.COMMITTED]


class _SlowTables(MemoryPartitions):
    """Tables whose transactions take 5 s of a clock that is skipped."""

    def __init__(self, clock: SteppedClock) -> None:
        super().__init__()
        self._clock = clock
        self.attempts_count = 0

    def transact(
        self, checks: Sequence[Check], puts: Sequence[Put], *, purpose: StorePurpose
    ) -> int:
        self.attempts_count += 1
        self._clock.skipped_s += 5.0
        return super().transact(checks, puts, purpose=purpose)


def test_insert_is_not_sent_after_the_time_until_which_it_may_be():
    """Guards against inserts whose permission has run out while they were queued, or
    while the batch that they were in conflicted and was split.
    """
    times_s = {"0": 60.0, "1": 60.0, "2": 3.0, "3": -1.0}
    clock = SteppedClock()
    tables = _SlowTables(clock)
    tables.transact((), (Put("jobs", "0", b"{}"),), purpose=StorePurpose.JOBS)
    batcher = InsertBatcher(
        tables,
        clock,
        purpose=StorePurpose.JOBS,
        on_late_commit=lambda insert: None,
        settings=BatchSettings(window_s=60.0, inserts_max_count=len(times_s)),
    )
    batcher.start()
    now_s = clock.monotonic_s()
    outcomes = {}

    def insert(key: str, permitted_s: float) -> None:
        result = batcher.insert(
            Insert((Put("jobs", key, b"{}"),)),
            deadline_s=now_s + 60.0,
            send_until_s=now_s + permitted_s,
        )
        outcomes[key] = result.outcome

    threads = [threading.Thread(target=insert, args=item) for item in times_s.items()]
    for count, thread in enumerate(threads, 1):
        thread.start()
        while len(batcher._queue) < count < len(times_s):
            time.sleep(0.001)
    for thread in threads:
        thread.join(5.0)
    batcher.stop()
    assert outcomes == {
        "0": InsertOutcome.CONFLICT,
        "1": InsertOutcome.COMMITTED,
        "2": InsertOutcome.UNAVAILABLE,
        "3": InsertOutcome.UNAVAILABLE,
    }
    assert tables.row("jobs", "2") is None
    # The row that is in the way, the batch, and its inserts one by one.
    assert tables.attempts_count == 4
