"""In-memory view of a pool's job rows, refreshed by scans for newer versions."""

from collections.abc import Iterable, Iterator

from sycamorecroft.jobs.records import (
    JOBS_TABLE,
    JobRecord,
    JobRow,
    JobState,
    decode_job,
    jobs_prefix,
)
from sycamorecroft.store.interfaces import Row, StorePurpose, TableService


class JobView:
    """Rows of the jobs of a pool's services. Not thread-safe."""

    def __init__(self, tables: TableService) -> None:
        self._tables = tables
        self._rows: dict[str, JobRow] = {}
        self._by_state: dict[JobState, dict[str, None]] = {}
        self._scanned_versions: dict[str, int] = {}
        self._generation = 0
        self.clear()

    @property
    def generation(self) -> int:
        """
        :returns: number that increases with each change of the view.
        """
        return self._generation

    def clear(self) -> None:
        """Discards all rows; the next refresh reads them again."""
        self._generation += 1
        self._rows.clear()
        self._by_state = {state: {} for state in JobState}
        self._scanned_versions.clear()

    def refresh(self, services: Iterable[tuple[str, str]]) -> None:
        """Reads the rows written since the last refresh, with one scan per service.

        :param services: pairs of account and service.
        :raises StoreUnavailableError: when a scan got no response.
        """
        for account, service in services:
            prefix = jobs_prefix(account, service)
            scan = self._tables.scan(
                JOBS_TABLE,
                purpose=StorePurpose.JOBS,
                prefix=prefix,
                after_version=self._scanned_versions.get(prefix, 0),
            )
            for row in scan.rows:
                self._apply(row)
            self._scanned_versions[prefix] = scan.version

    def put(self, record: JobRecord, version: int) -> None:
        """Stores a row that this process has committed."""
        job_id = record["job_id"]
        self._generation += 1
        self._discard(job_id)
        self._rows[job_id] = JobRow(record, version)
        self._by_state[record["state"]][job_id] = None

    def remove(self, job_id: str) -> None:
        """Removes a job that has ended, whose row has moved to another table."""
        self._discard(job_id)

    def get(self, job_id: str) -> JobRow | None:
        """
        :returns: the row as last read or committed, ``None`` if there is none.
        """
        return self._rows.get(job_id)

    def in_states(self, *states: JobState) -> Iterator[JobRow]:
        """
        :returns: rows in these states; the view must not change during the iteration.
        """
        for state in states:
            for job_id in self._by_state[state]:
                yield self._rows[job_id]

    def _apply(self, row: Row) -> None:
        current = self._rows.get(row.key)
        if current is not None and current.version >= row.version:
            return
        if row.value is None:
            self._discard(row.key)
        else:
            self.put(decode_job(row.value), row.version)

    def _discard(self, job_id: str) -> None:
        row = self._rows.pop(job_id, None)
        if row is not None:
            self._generation += 1
            del self._by_state[row.record["state"]][job_id]
