"""Tests of when the rows of quotas are read and written."""

import queue

import pytest

from standins.memory_partitions import MemoryPartitions
from standins.service_driver import make_fleet
from sycamorecroft.clock import ManualClock
from sycamorecroft.node.quota_connection import QuotaConnection
from sycamorecroft.quotas.messages import QuotaWrite, RowChange
from sycamorecroft.quotas.rows import QuotaRow
from sycamorecroft.quotas.writer import QuotaWriter
from sycamorecroft.recorder import NullRecorder
from sycamorecroft.scheduling.service_actor import QuotaRowsChanged, QuotaWritten

TIMEOUT_S = 10.0
ACCOUNTS = make_fleet(north=1.0)
NO_ACCOUNTS = ACCOUNTS._replace(accounts=None)


class _CountedTables(MemoryPartitions):
    """Tables that count reads; writes are counted by the base class."""

    def __init__(self):
        super().__init__()
        self.reads_count = 0

    def scan_part(self, *args, **options):
        self.reads_count += 1
        return super().scan_part(*args, **options)

    def changes(self, *args, **options):
        self.reads_count += 1
        return super().changes(*args, **options)


class _Service:
    def __init__(self):
        self.tables = _CountedTables()
        self.messages = queue.SimpleQueue()
        self.connection = QuotaConnection(
            self.tables, ManualClock(), self.messages.put, NullRecorder(), "rating"
        )

    def next_message(self):
        return self.messages.get(timeout=TIMEOUT_S)


@pytest.fixture
def service():
    service = _Service()
    yield service
    service.connection.stop()


def test_without_accounts_the_store_is_not_called(service):
    """Guards against store calls in deployments without client accounts."""
    service.connection.update(NO_ACCOUNTS)
    with pytest.raises(queue.Empty):
        service.messages.get(timeout=0.2)
    assert (service.tables.reads_count, service.tables.transactions_count) == (0, 0)


def test_accounts_that_come_later_are_read_and_written(service):
    """Guards against a ledger that never learns that the table is empty."""
    service.connection.update(NO_ACCOUNTS)
    service.connection.update(ACCOUNTS)
    writer = service.next_message()
    assert isinstance(writer, QuotaWriter)
    assert service.next_message() == QuotaRowsChanged(())
    write = QuotaWrite((RowChange("north", None, QuotaRow(1, {})),))
    writer.submit(write)
    kinds = {type(service.next_message()) for _ in range(2)}
    assert kinds == {QuotaWritten, QuotaRowsChanged}


def test_accounts_that_go_and_come_back_are_read_again(service):
    """Guards against changes that are missed while nothing was watched."""
    service.connection.update(ACCOUNTS, from_version=0)
    writer = service.next_message()
    service.connection.update(NO_ACCOUNTS)
    service.connection.update(ACCOUNTS)
    assert service.next_message() == QuotaRowsChanged(())
    # The same writer, whose write may be in flight.
    writer.submit(QuotaWrite((RowChange("north", None, QuotaRow(1, {})),)))
    kinds = {type(service.next_message()) for _ in range(2)}
    assert kinds == {QuotaWritten, QuotaRowsChanged}
