"""Reads of stored jobs, their progress and their locations."""

from typing import NamedTuple

from sycamorecroft.errors import JobAccessError
from sycamorecroft.scheduling.model import Queue
from sycamorecroft.scheduling.rows import (
    CANCEL_SUFFIX,
    JOB_LOCATIONS_TABLE,
    JobLocation,
    JobRow,
    ProgressRow,
    decode_row,
    jobs_part,
    jobs_table,
    location_key,
    progress_table,
)
from sycamorecroft.serving.caller import Caller
from sycamorecroft.store.interfaces import PartitionedTableService, StorePurpose
from sycamorecroft.store.table_part import TablePart


class StoredJob(NamedTuple):
    """Stored job; ``value`` and ``version`` are those of the job's row.

    ``service`` is the one that runs the job, which its queue may have left since.
    """

    service: str
    value: bytes
    version: int
    is_cancelled: bool

    def check_access(self, caller: Caller) -> None:
        """
        :raises JobAccessError: when the job belongs to another client account.
        :raises RecordError: when the row can't be decoded.
        """
        if not caller.may_access(decode_row(self.value, JobRow).account):
            raise JobAccessError("the job belongs to another client account")


class StoredLocation(NamedTuple):
    """Location of a job and the version of its row."""

    location: JobLocation
    version: int


class JobReader:
    """Finds jobs by the queue of a call, which may have changed its service.

    Its methods raise :class:`~sycamorecroft.errors.PlatformError` when the store, or a
    row, can't be read.
    """

    def __init__(self, tables: PartitionedTableService) -> None:
        self._tables = tables

    def find(self, queue: Queue, job_id: str) -> StoredJob | None:
        """
        :returns: the job, ``None`` if it doesn't exist.
        """
        stored = self._find_in(queue.service, job_id)
        if stored is not None:
            return stored
        found = self.location(queue, job_id)
        if found is None or found.location.is_closed:
            return None
        # The job may have been stored between the two reads, also for this service.
        return self._find_in(found.location.service, job_id)

    def _find_in(self, service: str, job_id: str) -> StoredJob | None:
        scan = self._tables.scan_part(
            jobs_table(service),
            jobs_part(job_id),
            purpose=StorePurpose.VIEW,
            first_key=job_id,
            end_key=job_id + CANCEL_SUFFIX + " ",
        )
        rows = {row.key: row for row in scan.rows}
        row = rows.get(job_id)
        if row is None:
            return None
        is_cancelled = job_id + CANCEL_SUFFIX in rows
        return StoredJob(service, row.value or b"", row.version, is_cancelled)

    def location(self, queue: Queue, job_id: str) -> StoredLocation | None:
        """
        :returns: location of the job, ``None`` if there is none.
        """
        part = TablePart(self._tables, jobs_part(job_id))
        key = location_key(queue, job_id)
        row = part.read(JOB_LOCATIONS_TABLE, key, purpose=StorePurpose.VIEW)
        if row is None or row.value is None:
            return None
        return StoredLocation(decode_row(row.value, JobLocation), row.version)

    def progress(self, service: str, job_id: str) -> ProgressRow | None:
        """
        :returns: progress of a job that the service runs, ``None`` if none is stored.
        """
        part = TablePart(self._tables, service)
        row = part.read(progress_table(service), job_id, purpose=StorePurpose.VIEW)
        if row is None or row.value is None:
            return None
        return decode_row(row.value, ProgressRow)
