"""Tests of the writer of quota rows, named by the fault of the store."""

import threading

import pytest

from standins.memory_partitions import MemoryPartitions
from sycamorecroft.clock import ManualClock
from sycamorecroft.errors import StoreConflictError
from sycamorecroft.quotas.messages import QuotaWrite, RowChange
from sycamorecroft.quotas.rows import QUOTAS_PART, QUOTAS_TABLE, QuotaEntry, QuotaRow
from sycamorecroft.quotas.writer import QuotaWriter
from sycamorecroft.recorder import NullRecorder
from sycamorecroft.scheduling.model import Resources
from sycamorecroft.scheduling.rows import decode_row

TIMEOUT_S = 10.0


@pytest.fixture
def tables():
    tables = MemoryPartitions()
    tables.faulty_table = QUOTAS_TABLE
    return tables


def _writer(tables, on_result=lambda result: None):
    return QuotaWriter(tables, ManualClock(), on_result, NullRecorder(), "rating")


def _change(account, expected_version, grant=1000):
    entry = QuotaEntry(1, Resources(grant, 0, 0))
    return RowChange(account, expected_version, QuotaRow(1, {"rating": entry}))


def _store(tables, *changes):
    return _writer(tables).store(QuotaWrite(changes))


def _grant(tables, account):
    row = tables.row(QUOTAS_TABLE, account, QUOTAS_PART)
    return decode_row(row.value, QuotaRow).entries["rating"].grant.cpu_millicores


def test_lost_answer_ends_with_the_rows_as_they_are_stored(tables):
    """Guards against an owner that never learns whether its grant is stored."""
    tables.lost_responses_count = 1
    result = _store(tables, _change("north", None))
    assert not result.is_stored
    (row,) = result.rows
    assert row == tables.row(QUOTAS_TABLE, "north", QUOTAS_PART)
    assert tables.transactions_count == 1


def test_write_that_is_applied_late_takes_no_effect_after_its_repetition(tables):
    """Guards against a grant that comes back after it was given up."""
    tables.delayed_count = 1
    first = _store(tables, _change("north", None))
    assert first.is_stored
    assert _store(tables, _change("north", first.version, 500)).is_stored
    assert tables.apply_delayed() == 0
    assert _grant(tables, "north") == 500


def test_conflict_of_one_row_writes_none_and_returns_the_deleted_one(tables):
    """Guards against rows taken for deleted, and deleted ones taken for current."""
    stored = _store(tables, _change("north", None), _change("south", None))
    deletion = QuotaWrite((RowChange("south", stored.version, None),))
    assert _writer(tables).store(deletion).is_stored
    changes = (_change("north", stored.version, 5), _change("south", stored.version, 5))
    result = _store(tables, *changes)
    assert not result.is_stored
    values = {row.key: row.value is not None for row in result.rows}
    assert values == {"north": True, "south": False}
    assert all(row.version >= stored.version for row in result.rows)
    assert _grant(tables, "north") == 1000


def test_conflict_without_rows_returns_the_row_that_was_expected_absent(
    tables, monkeypatch
):
    """Guards against a first write that is repeated in vain until the feed has it."""
    transact = tables.transact

    def fail_without_rows(*args, **kwargs):
        try:
            return transact(*args, **kwargs)
        except StoreConflictError as error:
            raise StoreConflictError(str(error)) from None

    monkeypatch.setattr(tables, "transact", fail_without_rows)
    stored = _store(tables, _change("north", None))
    result = _store(tables, _change("north", None))
    assert not result.is_stored
    assert [(row.key, row.version) for row in result.rows] == [
        ("north", stored.version)
    ]


def test_write_is_repeated_until_the_store_is_back(tables):
    """Guards against a write that is dropped while the store is unavailable."""
    results = []
    is_known = threading.Event()
    writer = _writer(tables, lambda result: (results.append(result), is_known.set()))
    tables.is_unavailable = True
    writer.start()
    writer.submit(QuotaWrite((_change("north", None),)))
    assert not is_known.wait(0.1)
    tables.is_unavailable = False
    assert is_known.wait(TIMEOUT_S)
    writer.close()
    assert results[0].is_stored


def test_unexpected_errors_end_no_thread(tables, monkeypatch):
    """Guards against a service whose accounts start nothing until it is taken over."""
    outcomes = []
    is_known = threading.Event()
    transact = tables.transact

    def fail_once(*args, **kwargs):
        monkeypatch.setattr(tables, "transact", transact)
        raise ValueError("fault of a library")

    def apply(result):
        outcomes.append(result)
        if len(outcomes) == 1:
            raise ValueError("fault of the receiver")
        is_known.set()

    monkeypatch.setattr(tables, "transact", fail_once)
    writer = _writer(tables, apply)
    writer.start()
    writer.submit(QuotaWrite((_change("north", None),)))
    writer.submit(QuotaWrite((_change("south", None),)))
    assert is_known.wait(TIMEOUT_S)
    writer.close()
    assert [outcome.is_stored for outcome in outcomes] == [True, True]


def test_closed_writer_gives_up_its_write(tables):
    """Guards against threads of former owners that call the store for ever."""
    tables.is_unavailable = True
    writer = _writer(tables)
    writer.close()
    assert writer.store(QuotaWrite((_change("north", None),))) is None
