"""Stores the marks that tell service owners which workers are reserved or due."""

from collections.abc import Mapping

import structlog

from sycamorecroft.errors import RecordError
from sycamorecroft.scheduling.pool_rows import FLEET_CONTROLLER_CLAIM, MARKS_TABLE
from sycamorecroft.scheduling.pool_snapshot import PoolSnapshot, WorkerMarks
from sycamorecroft.scheduling.rows import decode_row, encode_row
from sycamorecroft.store.interfaces import (
    Check,
    PartitionedTableService,
    Put,
    StorePurpose,
)

_log = structlog.get_logger(__name__)


class MarkStore:
    """Writes marks and tracks which of them each service owner has applied.

    A host may be moved only after the service owner has applied the mark that reserves
    its worker: an older snapshot can show the worker as drained although tasks have
    been placed on it since.
    """

    def __init__(self, tables: PartitionedTableService, owner_check: Check) -> None:
        """
        :param owner_check: condition that holds while this entry host is the fleet
            controller.
        """
        self._tables = tables
        self._owner_check = owner_check
        self._stored: dict[str, WorkerMarks] = {}
        self._reserved_versions: dict[str, int] = {}

    def load(self) -> None:
        """Reads the marks that a previous fleet controller stored.

        :raises PlatformError: when the rows can't be read.
        """
        scan = self._tables.scan_part(
            MARKS_TABLE, FLEET_CONTROLLER_CLAIM, purpose=StorePurpose.POOLS
        )
        for row in scan.rows:
            try:
                marks = decode_row(row.value or b"", WorkerMarks)
            except RecordError as error:
                _log.error("marks_malformed", service=row.key, error=str(error))
                continue
            self._stored[row.key] = marks
            self._reserved_versions |= dict.fromkeys(marks.reserved, row.version)

    def write(self, wanted: Mapping[str, WorkerMarks]) -> None:
        """Stores the marks that differ from the stored ones.

        :param wanted: marks by service.
        :raises StoreConflictError: when this entry host is no longer the fleet
            controller.
        :raises PlatformError: when it is not known whether the marks were written.
        """
        changed = {
            service: marks
            for service, marks in wanted.items()
            if self._stored.get(service, WorkerMarks()) != marks
        }
        if not changed:
            return
        puts = [
            Put(MARKS_TABLE, service, encode_row(marks), FLEET_CONTROLLER_CLAIM)
            for service, marks in changed.items()
        ]
        version = self._tables.transact(
            (self._owner_check,), puts, purpose=StorePurpose.POOLS
        )
        for service, marks in changed.items():
            previous = self._stored.get(service, WorkerMarks())
            for worker_id in previous.reserved - marks.reserved:
                self._reserved_versions.pop(worker_id, None)
            for worker_id in marks.reserved - previous.reserved:
                self._reserved_versions[worker_id] = version
            self._stored[service] = marks

    def with_applied_marks(self, snapshot: PoolSnapshot) -> PoolSnapshot:
        """
        :returns: the snapshot, with only those workers reserved whose mark the service
            owner had applied when it took the snapshot.
        """
        version = snapshot.marks_version
        workers = tuple(
            worker
            if not worker.is_reserved or self._is_applied(worker.worker_id, version)
            else worker._replace(is_reserved=False)
            for worker in snapshot.workers
        )
        return snapshot._replace(workers=workers)

    def _is_applied(self, worker_id: str, version: int) -> bool:
        reserved_version = self._reserved_versions.get(worker_id)
        return reserved_version is not None and version >= reserved_version
