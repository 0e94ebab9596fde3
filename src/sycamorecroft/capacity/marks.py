"""Stores the marks that tell service owners which workers are reserved or due."""

from collections.abc import Mapping

import structlog

from sycamorecroft.errors import PlatformError, RecordError, StoreUnavailableError
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

# A transaction holds at most 100 entries, and each service takes a check and a put.
SERVICES_PER_WRITE_COUNT = 40


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
        self._versions: dict[str, int] = {}
        self._reserved_versions: dict[str, int] = {}
        # Services whose marks a write without an answer may still change.
        self._unsettled: set[str] = set()

    def load(self) -> None:
        """Reads the marks that are stored, also those of a previous fleet controller.

        :raises PlatformError: when the rows can't be read.
        """
        scan = self._tables.scan_part(
            MARKS_TABLE, FLEET_CONTROLLER_CLAIM, purpose=StorePurpose.POOLS
        )
        self._reserved_versions.clear()
        for row in scan.rows:
            self._versions[row.key] = row.version
            try:
                marks = decode_row(row.value or b"", WorkerMarks)
            except RecordError as error:
                _log.error("marks_row_malformed", service=row.key, error=str(error))
                self._unsettled.add(row.key)
                continue
            self._stored[row.key] = marks
            self._reserved_versions |= dict.fromkeys(marks.reserved, row.version)

    def write(self, wanted: Mapping[str, WorkerMarks]) -> None:
        """Stores the marks that differ from the stored ones.

        Marks whose last write got no answer are stored again, on condition of the rows
        as they are then: if that write is carried out late, it fails.

        :param wanted: marks by service.
        :raises StoreConflictError: when this entry host is no longer the fleet
            controller, or a write without an answer was carried out late.
        :raises PlatformError: when it is not known whether the marks were written.
        """
        if self._unsettled & wanted.keys():
            self.load()
        changed = {
            service: marks
            for service, marks in wanted.items()
            if service in self._unsettled
            or self._stored.get(service, WorkerMarks()) != marks
        }
        services = sorted(changed)
        for start in range(0, len(services), SERVICES_PER_WRITE_COUNT):
            batch = services[start : start + SERVICES_PER_WRITE_COUNT]
            self._write_batch({service: changed[service] for service in batch})

    def _write_batch(self, changed: Mapping[str, WorkerMarks]) -> None:
        try:
            version = self._transact(changed)
        except StoreUnavailableError:
            raise
        except PlatformError:
            self._unsettled.update(changed)
            raise
        self._unsettled.difference_update(changed)
        self._record_stored(changed, version)

    def _transact(self, changed: Mapping[str, WorkerMarks]) -> int:
        part = FLEET_CONTROLLER_CLAIM
        checks = [
            Check(MARKS_TABLE, service, self._versions.get(service), part)
            for service in changed
        ]
        puts = [
            Put(MARKS_TABLE, service, encode_row(marks), part)
            for service, marks in changed.items()
        ]
        return self._tables.transact(
            (self._owner_check, *checks), puts, purpose=StorePurpose.POOLS
        )

    def _record_stored(self, changed: Mapping[str, WorkerMarks], version: int) -> None:
        for service, marks in changed.items():
            self._versions[service] = version
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
