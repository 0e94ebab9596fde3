"""Workers of all services as the platform's store lists them."""

import threading
from collections.abc import Iterable

import structlog

from sycamorecroft.errors import RecordError, StoreHistoryLostError
from sycamorecroft.platform import decode_worker
from sycamorecroft.platform.names import WORKERS_TABLE
from sycamorecroft.scheduling.model import WorkerRegistration
from sycamorecroft.store.interfaces import (
    PartitionedTableService,
    Row,
    StorePurpose,
)

_log = structlog.get_logger(__name__)


class WorkerDirectory:
    """Mirror of the workers' rows, kept up by their changes. Thread-safe."""

    def __init__(self, tables: PartitionedTableService) -> None:
        self._tables = tables
        self._lock = threading.Lock()
        self._version: int | None = None
        self._entries: dict[str, WorkerRegistration] = {}

    def refresh(self) -> frozenset[str]:
        """Takes in what has changed.

        :returns: services whose workers have changed.
        :raises PlatformError: when the rows can't be read.
        """
        with self._lock:
            before = dict(self._entries)
            self._read()
            ids = before.keys() | self._entries.keys()
            changed = (
                entry
                for worker_id in ids
                if before.get(worker_id) != self._entries.get(worker_id)
                for entry in (before.get(worker_id), self._entries.get(worker_id))
            )
            return frozenset(entry.service for entry in changed if entry is not None)

    def _read(self) -> None:
        if self._version is not None:
            try:
                scan = self._tables.changes(
                    WORKERS_TABLE, after_version=self._version, wait_s=0.0
                )
            except StoreHistoryLostError as error:
                _log.info("history_lost", table=WORKERS_TABLE, reason=str(error))
            else:
                self._apply(scan.rows)
                self._version = scan.version
                return
        scan = self._tables.scan_part(WORKERS_TABLE, "", purpose=StorePurpose.VIEW)
        self._entries = {}
        self._apply(scan.rows)
        self._version = scan.version

    def _apply(self, rows: Iterable[Row]) -> None:
        for row in rows:
            entry = _decode(row)
            if entry is None:
                self._entries.pop(row.key, None)
            else:
                self._entries[row.key] = entry

    def of_service(self, service: str) -> tuple[WorkerRegistration, ...]:
        """
        :returns: entries of a service's workers.
        """
        with self._lock:
            return tuple(e for e in self._entries.values() if e.service == service)


def _decode(row: Row) -> WorkerRegistration | None:
    """
    :returns: ``None`` when the row was deleted or names no worker to use.
    """
    if row.value is None:
        return None
    try:
        return decode_worker(row.key, row.value)
    except RecordError as error:
        _log.debug("worker_entry_not_understood", error=str(error))
        return None
