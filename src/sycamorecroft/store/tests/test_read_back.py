"""Failures guarded against: a transaction resolved wrongly or applied twice."""

import random
from collections.abc import Sequence

import pytest

from standins.faults import Operation
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
    """Holds the first transaction back and applies it after a read."""

    def __init__(self) -> None:
        super().__init__()
        self.held: tuple[Sequence[Check], Sequence[Put]] | None = None
        self.commits_count = 0

    def transact(self, checks, puts, *, purpose):
        if self.commits_count == 0 and self.held is None:
            self.held = (checks, puts)
            raise StoreOutcomeUnknownError("held back")
        version = super().transact(checks, puts, purpose=purpose)
        self.commits_count += 1
        return version

    def read(self, table, key, *, purpose):
        row = super().read(table, key, purpose=purpose)
        if self.commits_count == 0:
            self.transact(*self.held, purpose=purpose)
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
    tables = MemoryTables()
    tables.faults.lose_responses(count=1)
    version = _transact(tables)
    assert tables.read("claims", "k", purpose=PURPOSE).version == version == 1


def test_transaction_that_lands_after_the_read_back_is_applied_once():
    tables = _DelayedTables()
    version = _transact(tables)
    assert tables.commits_count == 1
    assert tables.read("claims", "k", purpose=PURPOSE).version == version


def test_lost_request_is_sent_again():
    tables = MemoryTables()
    tables.faults.lose_requests(count=2)
    assert _transact(tables) == 1
    assert tables.read("claims", "k", purpose=PURPOSE).version == 1


def test_outcome_is_unknown_after_all_attempts_are_lost():
    tables = MemoryTables()
    tables.faults.lose_requests()
    with pytest.raises(StoreOutcomeUnknownError, match="3 attempts"):
        _transact(tables)
    assert tables.read("claims", "k", purpose=PURPOSE) is None


def test_conflict_at_the_first_attempt_is_not_read_back():
    tables = MemoryTables()
    tables.transact([], [OTHER_PUT], purpose=PURPOSE)
    tables.faults.set_down(operation=Operation.READ)
    with pytest.raises(StoreConflictError):
        _transact(tables)


def test_other_writer_after_a_lost_response_is_a_conflict():
    tables = MemoryTables()
    tables.transact([], [OTHER_PUT], purpose=PURPOSE)
    tables.faults.lose_responses(count=1)
    with pytest.raises(StoreConflictError, match="another writer"):
        _transact(tables)


def test_outage_at_the_first_attempt_is_known_as_not_applied():
    tables = MemoryTables()
    tables.faults.set_down(count=1)
    with pytest.raises(StoreUnavailableError):
        _transact(tables)


def test_outcome_stays_unknown_while_the_row_is_unreadable():
    tables = MemoryTables()
    tables.faults.lose_responses(count=1)
    tables.faults.set_down(operation=Operation.READ)
    with pytest.raises(StoreOutcomeUnknownError, match="can't be read back"):
        _transact(tables)


def test_outage_after_a_lost_response_is_not_reported_as_not_applied():
    tables = _DelayedTables()
    tables.read = lambda *args, **kwargs: None
    tables.faults.set_down(operation=Operation.WRITE)
    with pytest.raises(StoreOutcomeUnknownError):
        _transact(tables)


def test_unchanged_row_is_no_proof():
    result = read_back(MemoryTables(), ROW, None, purpose=PURPOSE)
    assert result == (ReadBackState.UNCHANGED, None)


def test_checks_must_name_the_row_of_the_token():
    with pytest.raises(ValueError, match="claims/k"):
        transact_with_token(
            MemoryTables(),
            [],
            [PUT],
            ROW,
            purpose=PURPOSE,
            backoff=Backoff(0.1, 1.0, random.Random(1)),
        )
