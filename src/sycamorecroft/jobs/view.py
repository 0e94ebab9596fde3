"""In-memory view of the job rows of one pool, kept up to date by scans."""

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
    """Rows of the jobs of some services. Not thread-safe."""

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
        :returns: a number that rises with each change of the view.
        """
        return self._generation

    def clear(self) -> None:
        """Forgets all rows; the next refresh reads them again."""
        self._generation += 1
        self._rows.clear()
        self._by_state = {state: {} for state in JobState}
        self._scanned_versions.clear()

    def refresh(self, services: Iterable[tuple[str, str]]) -> None:
        """Reads the rows written since the last refresh: one read for each service.

        :param services: pairs of account and service.
        :raises StoreUnavailableError: when a scan got no answer.
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
        """Takes over a row that this process has committed."""
        job_id = record["job_id"]
        self._generation += 1
        self._forget(job_id)
        self._rows[job_id] = JobRow(record, version)
        self._by_state[record["state"]][job_id] = None

    def remove(self, job_id: str) -> None:
        """Takes over the end of a job, whose row has moved to another table."""
        self._forget(job_id)

    def get(self, job_id: str) -> JobRow | None:
        """
        :returns: the row as last seen.
        """
        return self._rows.get(job_id)

    def in_states(self, *states: JobState) -> Iterator[JobRow]:
        """
        :returns: rows in these states; changes to the view end the iteration.
        """
        for state in states:
            for job_id in self._by_state[state]:
                yield self._rows[job_id]

    def _apply(self, row: Row) -> None:
        known = self._rows.get(row.key)
        if known is not None and known.version >= row.version:
            return
        if row.value is None:
            self._forget(row.key)
        else:
            self.put(decode_job(row.value), row.version)

    def _forget(self, job_id: str) -> None:
        row = self._rows.pop(job_id, None)
        if row is not None:
            self._generation += 1
            del self._by_state[row.record["state"]][job_id]
