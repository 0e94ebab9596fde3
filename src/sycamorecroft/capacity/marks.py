"""Marks that tell services' owners which workers planned work concerns."""

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


class MarkBook:
    """Writes the marks and knows which of them a service's owner goes by.

    A worker may be taken only if its service's owner has seen the mark that reserves
    it: an older load can show it empty before tasks were placed on it again.
    """

    def __init__(self, tables: PartitionedTableService, owner_check: Check) -> None:
        """
        :param owner_check: holds as long as this host owns the machines.
        """
        self._tables = tables
        self._owner_check = owner_check
        self._stored: dict[str, WorkerMarks] = {}
        self._reserved_versions: dict[str, int] = {}

    def load(self) -> None:
        """Reads what a former owner has marked.

        :raises PlatformError: when the rows can't be read.
        """
        scan = self._tables.scan_part(
            MARKS_TABLE, FLEET_CONTROLLER_CLAIM, purpose=StorePurpose.POOLS
        )
        for row in scan.rows:
            try:
                marks = decode_row(row.value or b"", WorkerMarks)
            except RecordError as error:
                _log.error("marks_not_understood", service=row.key, error=str(error))
                continue
            self._stored[row.key] = marks
            self._reserved_versions |= dict.fromkeys(marks.reserved, row.version)

    def write(self, wanted: Mapping[str, WorkerMarks]) -> None:
        """Stores the marks that have changed.

        :param wanted: marks by service.
        :raises StoreConflictError: when another host owns the machines.
        :raises PlatformError: when they are not known to be written.
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
            former = self._stored.get(service, WorkerMarks())
            for worker_id in former.reserved - marks.reserved:
                self._reserved_versions.pop(worker_id, None)
            for worker_id in marks.reserved - former.reserved:
                self._reserved_versions[worker_id] = version
            self._stored[service] = marks

    def confirmed(self, snapshot: PoolSnapshot) -> PoolSnapshot:
        """
        :returns: the load with only those workers reserved whose mark was seen.
        """
        version = snapshot.marks_version
        workers = tuple(
            worker
            if not worker.is_reserved or self._is_seen(worker.worker_id, version)
            else worker._replace(is_reserved=False)
            for worker in snapshot.workers
        )
        return snapshot._replace(workers=workers)

    def _is_seen(self, worker_id: str, version: int) -> bool:
        reserved_version = self._reserved_versions.get(worker_id)
        return reserved_version is not None and version >= reserved_version
