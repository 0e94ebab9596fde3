"""Workers of all services that are registered in the platform's store."""

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
    """Mirror of the registration rows of all workers. Thread-safe."""

    def __init__(self, tables: PartitionedTableService) -> None:
        self._tables = tables
        self._lock = threading.Lock()
        self._version: int | None = None
        self._registrations: dict[str, WorkerRegistration] = {}

    def refresh(self) -> frozenset[str]:
        """Reads and applies the changes since the last call.

        :returns: services whose registrations have changed.
        :raises PlatformError: when the rows can't be read.
        """
        with self._lock:
            before = dict(self._registrations)
            self._read_changes()
            worker_ids = before.keys() | self._registrations.keys()
            changed = (
                registration
                for worker_id in worker_ids
                if before.get(worker_id) != self._registrations.get(worker_id)
                for registration in (
                    before.get(worker_id),
                    self._registrations.get(worker_id),
                )
            )
            return frozenset(
                registration.service
                for registration in changed
                if registration is not None
            )

    def _read_changes(self) -> None:
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
        self._registrations = {}
        self._apply(scan.rows)
        self._version = scan.version

    def _apply(self, rows: Iterable[Row]) -> None:
        for row in rows:
            registration = _decode(row)
            if registration is None:
                self._registrations.pop(row.key, None)
            else:
                self._registrations[row.key] = registration

    def list_workers(self, service: str) -> tuple[WorkerRegistration, ...]:
        """
        :returns: registrations of a service's workers.
        """
        with self._lock:
            return tuple(
                registration
                for registration in self._registrations.values()
                if registration.service == service
            )


def _decode(row: Row) -> WorkerRegistration | None:
    """
    :returns: ``None`` if the row was deleted, is malformed or has an unknown state.
    """
    if row.value is None:
        return None
    try:
        return decode_worker(row.key, row.value)
    except RecordError as error:
        _log.debug("worker_registration_malformed", error=str(error))
        return None
