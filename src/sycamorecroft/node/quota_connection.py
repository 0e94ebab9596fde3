"""Reads and writes the rows of quotas for a service that this entry host owns."""

from collections.abc import Callable
from functools import partial

from sycamorecroft.clock import Clock
from sycamorecroft.node.table_watcher import TableWatcher
from sycamorecroft.quotas.messages import QuotaWriteResult
from sycamorecroft.quotas.rows import QUOTAS_PART, QUOTAS_TABLE
from sycamorecroft.quotas.writer import QuotaWriter
from sycamorecroft.recorder import Recorder
from sycamorecroft.scheduling.model import FleetSnapshot
from sycamorecroft.scheduling.service_actor import QuotaRowsChanged, QuotaWritten
from sycamorecroft.store.interfaces import (
    PartitionedTableService,
    Row,
    Scan,
    StorePurpose,
)
from sycamorecroft.store.table_part import read_with_retries

READ_ATTEMPTS_COUNT = 8


def read_quotas(tables: PartitionedTableService) -> Scan:
    """
    :returns: the rows of all accounts.
    :raises StoreUnavailableError: when no response arrived within the timeout.
    """
    read = partial(
        tables.scan_part, QUOTAS_TABLE, QUOTAS_PART, purpose=StorePurpose.JOBS
    )
    return read_with_retries(read, READ_ATTEMPTS_COUNT)


class QuotaConnection:
    """Watches and writes quota rows while the configuration has client accounts.

    Without client accounts no thread is started and the store isn't called.
    """

    def __init__(
        self,
        tables: PartitionedTableService,
        clock: Clock,
        tell: Callable[[object], object],
        recorder: Recorder,
        service: str,
    ) -> None:
        """
        :param tell: passes a message to the actor of the service.
        """
        self._tables = tables
        self._tell = tell
        self._writer = QuotaWriter(tables, clock, self._apply_result, recorder, service)
        self._is_writer_started = False
        self._unread: object | None = None
        self._watcher: TableWatcher | None = None

    def update(self, fleet: FleetSnapshot, from_version: int | None = None) -> None:
        """Starts or stops watching, after the actor was told of the configuration.

        :param from_version: version as of which the rows were read, ``None`` if they
            weren't.
        """
        if fleet.accounts is None:
            self._stop_watcher()
            return
        if self._watcher is not None:
            return
        if not self._is_writer_started:
            # It isn't closed when the accounts are removed: the outcome of a write in
            # flight must become known.
            self._is_writer_started = True
            self._writer.start()
            self._tell(self._writer)
        self._unread = unread = object() if from_version is None else None
        self._watcher = TableWatcher(
            self._tables,
            QUOTAS_TABLE,
            self._apply_rows,
            part=QUOTAS_PART,
            from_version=from_version,
            on_read=lambda sent_s: self._note_read(unread),
        )
        self._watcher.start()

    def stop(self) -> None:
        """Ends the threads without waiting for calls in progress."""
        self._stop_watcher()
        self._writer.close()

    def _stop_watcher(self) -> None:
        if self._watcher is not None:
            self._watcher.stop()
            self._watcher = None

    def _apply_rows(self, rows: tuple[Row, ...]) -> None:
        self._tell(QuotaRowsChanged(rows))

    def _note_read(self, unread: object | None) -> None:
        """Tells that all rows have been read, also if there are none.

        A stopped watcher, whose rows weren't passed on, may still report a read.
        """
        if unread is not None and unread is self._unread:
            self._unread = None
            self._tell(QuotaRowsChanged(()))

    def _apply_result(self, result: QuotaWriteResult) -> None:
        self._tell(QuotaWritten(result))
