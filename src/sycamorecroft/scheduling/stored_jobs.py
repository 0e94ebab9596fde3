"""Reads the jobs of a service, with their progress, as former owners stored them."""

from collections.abc import Iterable, Iterator
from typing import NamedTuple, TypeVar

import structlog

from sycamorecroft.errors import RecordError
from sycamorecroft.scheduling.account_rates import Submission, is_rated
from sycamorecroft.scheduling.rows import JobRow, ProgressRow, decode_row
from sycamorecroft.store.interfaces import Row

Decoded = TypeVar("Decoded")

_log = structlog.get_logger(__name__)


class StoredJob(NamedTuple):
    """Row of a job or of a cancellation, and the job's progress.

    ``progress`` is ``None`` for a cancellation and for a job that no owner has stored.
    """

    row: Row
    progress: ProgressRow | None


class StoredJobs(NamedTuple):
    """All stored jobs of a service.

    ``unusable``: ids of the jobs whose progress can't be decoded, and which ``jobs``
    leaves out: without its progress a job would be run again. ``orphaned``: progress by
    the id of a job that has no row.
    """

    jobs: tuple[StoredJob, ...]
    unusable: frozenset[str]
    orphaned: dict[str, ProgressRow]


class _StoredProgress(NamedTuple):
    """Progress of a job and the version of its row."""

    progress: ProgressRow
    version: int

    def is_before(self, job_row: Row) -> bool:
        """
        :returns: whether the progress is that of an earlier job under the same id,
            whose removal isn't complete. A job's progress is written after its row.
        """
        return self.progress.state.is_final and self.version < job_row.version


def read_stored_jobs(
    job_rows: Iterable[Row], progress_rows: Iterable[Row]
) -> StoredJobs:
    """
    :param job_rows: rows of jobs and cancellations.
    :returns: the jobs with their progress, in the order of their rows.
    """
    stored: dict[str, _StoredProgress] = {}
    unusable: set[str] = set()
    for row in progress_rows:
        progress = decode_logged(row, ProgressRow)
        if progress is None:
            unusable.add(row.key)
        else:
            stored[row.key] = _StoredProgress(progress, row.version)
    jobs = []
    for row in job_rows:
        found = stored.pop(row.key, None)
        if row.key in unusable:
            continue
        is_of_job = found is not None and not found.is_before(row)
        jobs.append(StoredJob(row, found.progress if is_of_job else None))
    orphaned = {job_id: found.progress for job_id, found in stored.items()}
    return StoredJobs(tuple(jobs), frozenset(unusable), orphaned)


def ended_submissions(
    jobs: Iterable[StoredJob], ended_since_ms: int
) -> Iterator[Submission]:
    """Yields the submissions of ended jobs that count towards an account's rate.

    :param ended_since_ms: Unix time before which ended jobs are left out.
    """
    for row, progress in jobs:
        if progress is None or not progress.state.is_final:
            continue
        if progress.changed_ms < ended_since_ms:
            continue
        record = decode_logged(row, JobRow)
        if record is not None and is_rated(record.spec):
            yield Submission(row.version, row.key, record.account, record.accepted_ms)


def decode_logged(row: Row, row_type: type[Decoded]) -> Decoded | None:
    """
    :returns: the decoded row; ``None``, with a log line, if it is malformed.
    """
    try:
        return decode_row(row.value, row_type)
    except RecordError as error:
        _log.error("row_malformed", table=row.table, key=row.key, error=str(error))
        return None
