"""Guards against transactions that are resolved wrongly or applied twice."""

import random
from collections.abc import Sequence

import pytest

from standins.faults import Operation
from standins.memory_partitions import MemoryPartitions
from standins.memory_tables import MemoryTables
from sycamorecroft.errors import (
    StoreConflictError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from sycamorecroft.store import (
    Backoff,
    ReadBackState,
    TokenRow,
    read_back,
    transact_with_token,
)
from sycamorecroft.store.interfaces import Check, Put, StorePurpose, TableService

PURPOSE = StorePurpose.CLAIMS
ROW = TokenRow("claims", "k", "mine")
CHECK = Check("claims", "k", None)
PUT = Put("claims", "k", b'{"token":"mine"}')
OTHER_PUT = Put("claims", "k", b'{"token":"other"}')


class _DelayedTables(MemoryTables):
    """Delays the first transaction and applies it after the first read."""

    def __init__(self) -> None:
        super().__init__()
        self.delayed_transaction: tuple[Sequence[Check], Sequence[Put]] | None = None
        self.commits_count = 0

    def transact(self, checks, puts, *, purpose):
        if self.commits_count == 0 and self.delayed_transaction is None:
            self.delayed_transaction = (checks, puts)
            raise StoreOutcomeUnknownError("response lost")
        version = super().transact(checks, puts, purpose=purpose)
        self.commits_count += 1
        return version

    def read(self, table, key, *, purpose):
        row = super().read(table, key, purpose=purpose)
        if self.commits_count == 0:
            self.transact(*self.delayed_transaction, purpose=purpose)
        return row


def _transact(tables: TableService) -> int:
    return transact_with_token(
        tables,
        [CHECK],
        [PUT],
        ROW,
        purpose=PURPOSE,
        backoff=Backoff(0.1, 1.0, random.Random(1)),
        sleep=lambda delay_s: None,
    )


def test_lost_response_is_resolved_without_a_second_write():
    """Guards against a second write after a lost response."""
    tables = MemoryTables()
    tables.faults.lose_responses(count=1)
    version = _transact(tables)
    assert tables.read("claims", "k", purpose=PURPOSE).version == version == 1


def test_transaction_applied_after_the_read_back_is_applied_once():
    """Guards against applying a delayed transaction twice."""
    tables = _DelayedTables()
    version = _transact(tables)
    assert tables.commits_count == 1
    assert tables.read("claims", "k", purpose=PURPOSE).version == version


def test_lost_request_is_retried():
    """Guards against a failure when only the request was lost."""
    tables = MemoryTables()
    tables.faults.lose_requests(count=2)
    assert _transact(tables) == 1
    assert tables.read("claims", "k", purpose=PURPOSE).version == 1


def test_outcome_is_unknown_after_all_requests_are_lost():
    """Guards against reporting a definite outcome without any response."""
    tables = MemoryTables()
    tables.faults.lose_requests()
    with pytest.raises(StoreOutcomeUnknownError, match="3 attempts"):
        _transact(tables)
    assert tables.read("claims", "k", purpose=PURPOSE) is None


def test_conflict_at_the_first_attempt_is_not_read_back():
    """Guards against a needless read after a conclusive conflict."""
    tables = MemoryTables()
    tables.transact([], [OTHER_PUT], purpose=PURPOSE)
    tables.faults.set_down(operation=Operation.READ)
    with pytest.raises(StoreConflictError):
        _transact(tables)


def test_other_writer_after_a_lost_response_is_a_conflict():
    """Guards against taking another writer's row for the own one."""
    tables = MemoryTables()
    tables.transact([], [OTHER_PUT], purpose=PURPOSE)
    tables.faults.lose_responses(count=1)
    with pytest.raises(StoreConflictError, match="another writer"):
        _transact(tables)


def test_outage_at_the_first_attempt_is_known_as_not_applied():
    """Guards against reporting a call that was not applied as unknown."""
    tables = MemoryTables()
    tables.faults.set_down(count=1)
    with pytest.raises(StoreUnavailableError):
        _transact(tables)


def test_outcome_stays_unknown_while_the_row_is_unreadable():
    """Guards against a definite outcome when the row can't be read back."""
    tables = MemoryTables()
    tables.faults.lose_responses(count=1)
    tables.faults.set_down(operation=Operation.READ)
    with pytest.raises(StoreOutcomeUnknownError, match="can't be read back"):
        _transact(tables)


def test_outage_after_a_lost_response_is_not_reported_as_not_applied():
    """Guards against reporting a possibly applied write as not applied."""
    tables = _DelayedTables()
    tables.read = lambda *args, **kwargs: None
    tables.faults.set_down(operation=Operation.WRITE)
    with pytest.raises(StoreOutcomeUnknownError):
        _transact(tables)


def test_unchanged_row_does_not_prove_the_outcome():
    """Guards against taking an unchanged row for a failed transaction."""
    result = read_back(MemoryTables(), ROW, None, purpose=PURPOSE)
    assert result == (ReadBackState.UNCHANGED, None)


def test_checks_must_include_the_token_row():
    """Guards against a transaction that can't be resolved by its token row."""
    with pytest.raises(ValueError, match="claims/k"):
        transact_with_token(
            MemoryTables(),
            [],
            [PUT],
            ROW,
            purpose=PURPOSE,
            backoff=Backoff(0.1, 1.0, random.Random(1)),
        )


@pytest.mark.parametrize("value", [b"{", b"\xff", b"", b"[" * 60_000], ids=len)
def test_unreadable_row_belongs_to_another_writer(value):
    """Guards against a malformed row that ends the thread which reads it back."""
    tables = MemoryPartitions()
    tables.transact((), (Put("claims", "k", value),), purpose=PURPOSE)
    result = read_back(tables, ROW, None, purpose=PURPOSE)
    assert result.state is ReadBackState.OTHER_WRITER
