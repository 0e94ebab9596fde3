"""Commits the progress of a service's jobs, one transaction at a time."""

import queue
import random
import threading
from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple

import structlog

from sycamorecroft.clock import Clock
from sycamorecroft.errors import (
    PlatformError,
    StoreConflictError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from sycamorecroft.metrics import COMMIT_TIME
from sycamorecroft.ownership.rows import (
    COMMITS_TABLE,
    OWNERS_TABLE,
    PENDING_TABLE,
    ROW_KEY,
    CommitsRow,
)
from sycamorecroft.recorder import NullRecorder, Recorder
from sycamorecroft.scheduling.commit import Commit
from sycamorecroft.scheduling.rows import (
    CANCEL_SUFFIX,
    JOB_LOCATIONS_TABLE,
    StoredRow,
    encode_row,
    jobs_table,
    progress_table,
)
from sycamorecroft.store.backoff import Backoff
from sycamorecroft.store.interfaces import Check, Put, StorePurpose, TableService

_log = structlog.get_logger(__name__)

RETRY_BASE_S = 0.05
RETRY_CAP_S = 0.4


class CommitOutcome(StrEnum):
    """Outcome of a commit whose result is known.

    ``LOST``: another entry host owns the service. Nothing will be written any more; an
    earlier attempt, whose answer was lost, may have been stored.
    """

    STORED = "stored"
    LOST = "lost"


class CommitResult(NamedTuple):
    """A commit and its outcome."""

    commit: Commit
    outcome: CommitOutcome


class ServiceClaim(NamedTuple):
    """Row versions with which a transaction proves the ownership of a service.

    ``epoch`` is the fencing token of the claim. ``owner_version`` is the version of the
    row in ``owners``, ``commits_version`` that of the row in ``commits``, which each
    transaction rewrites; ``None`` if that row doesn't exist yet.
    """

    service: str
    epoch: int
    owner_version: int
    commits_version: int | None
    commits_count: int


class Committer:
    """Thread that stores commits and retries them until their outcome is known.

    Each transaction checks the version of a row that the previous one wrote, so that
    a delayed transaction can't take effect after a later one.
    """

    def __init__(
        self,
        tables: TableService,
        claim: ServiceClaim,
        clock: Clock,
        on_result: Callable[[CommitResult], None],
        on_ownership_confirmed: Callable[[float], None],
        recorder: Recorder | None = None,
    ) -> None:
        """
        :param on_result: called from the thread with the result of each commit.
        :param on_ownership_confirmed: called after a transaction that proved the
            ownership, with the monotonic time in seconds at which it was sent.
        """
        self._recorder = recorder or NullRecorder()
        self._tables = tables
        self._claim = claim
        self._clock = clock
        self._on_result = on_result
        self._on_ownership_confirmed = on_ownership_confirmed
        self._backoff = Backoff(RETRY_BASE_S, RETRY_CAP_S, random.Random())
        self._commits: queue.SimpleQueue[Commit | None] = queue.SimpleQueue()
        self._closed = threading.Event()

    def start(self) -> None:
        """Starts the thread."""
        threading.Thread(target=self._run, name="committer", daemon=True).start()

    def close(self) -> None:
        """Ends the thread after the transaction in flight."""
        self._closed.set()
        self._commits.put(None)

    def submit(self, commit: Commit) -> None:
        """Queues a commit; the caller waits for its result before the next one."""
        self._commits.put(commit)

    def _run(self) -> None:
        while True:
            commit = self._commits.get()
            if commit is None or self._closed.is_set():
                return
            start_s = self._clock.monotonic_s()
            outcome = self.store(commit)
            duration_s = self._clock.monotonic_s() - start_s
            service = self._claim.service
            self._recorder.record(COMMIT_TIME, duration_s, service=service)
            if outcome is not None:
                self._on_result(CommitResult(commit, outcome))

    def store(self, commit: Commit) -> CommitOutcome | None:
        """Stores a commit and retries until its outcome is known.

        :returns: the outcome; ``None`` if the committer was closed first.
        """
        claim = self._claim
        commits_row = CommitsRow(claim.epoch, claim.commits_count + 1)
        checks = (
            Check(OWNERS_TABLE, ROW_KEY, claim.owner_version, claim.service),
            Check(COMMITS_TABLE, ROW_KEY, claim.commits_version, claim.service),
        )
        puts = self._build_puts(commit, commits_row)
        if not self._delete_jobs(commit):
            return None
        while not self._closed.is_set():
            sent_s = self._clock.monotonic_s()
            try:
                version = self._tables.transact(checks, puts, purpose=StorePurpose.JOBS)
            except StoreConflictError as error:
                version = self._find_applied_version(error, commits_row)
                if version is None:
                    return CommitOutcome.LOST
            except (StoreUnavailableError, StoreOutcomeUnknownError) as error:
                self._wait_before_retry(error)
                continue
            except PlatformError as error:
                _log.error("commit_refused", service=claim.service, error=str(error))
                self._wait_before_retry(error)
                continue
            except Exception as error:
                # Without this thread the service would keep its claim and start
                # nothing. The same transaction is repeated, since it may be stored.
                _log.exception("commit_attempt_failed", service=claim.service)
                self._wait_before_retry(error)
                continue
            self._backoff.reset()
            self._on_ownership_confirmed(sent_s)
            self._claim = claim._replace(
                commits_version=version, commits_count=commits_row.commits_count
            )
            return CommitOutcome.STORED
        return None

    def _delete_jobs(self, commit: Commit) -> bool:
        """Deletes the rows of jobs whose retention has ended.

        These go before the progress rows, which the commit deletes: a job row without
        a progress row would be processed as a new submission.

        :returns: whether all rows were deleted before the committer was closed.
        """
        for job in commit.jobs:
            if job.progress is not None or job.row is None:
                continue
            while not self._delete_job(job.job_id, job.row):
                if self._closed.is_set():
                    return False
        return True

    def _delete_job(self, job_id: str, row: StoredRow) -> bool:
        """Deletes the rows of a job, and no later job's under its id.

        :returns: whether they are deleted, by this attempt or an earlier one.
        """
        service = self._claim.service
        table, part = jobs_table(service), row.part
        puts = [
            Put(table, job_id, None, part),
            Put(table, job_id + CANCEL_SUFFIX, None, part),
        ]
        if row.location_key:
            puts.append(Put(JOB_LOCATIONS_TABLE, row.location_key, None, part))
        check = Check(table, job_id, row.version, part)
        try:
            self._tables.transact((check,), puts, purpose=StorePurpose.JOBS)
        except StoreConflictError as error:
            # An earlier attempt, whose answer was lost, has deleted the rows.
            _log.info("job_deleted_before", job=job_id, reason=str(error))
        except PlatformError as error:
            self._wait_before_retry(error)
            return False
        except Exception as error:
            _log.exception("job_deletion_failed", service=service, job=job_id)
            self._wait_before_retry(error)
            return False
        return True

    def _wait_before_retry(self, error: Exception) -> None:
        _log.debug("commit_retried", service=self._claim.service, error=str(error))
        self._closed.wait(RETRY_BASE_S + self._backoff.next_delay_s())

    def _find_applied_version(
        self, error: StoreConflictError, commits_row: CommitsRow
    ) -> int | None:
        """
        :param error: conflict with the rows as they are stored now.
        :param commits_row: row that only this commit writes.
        :returns: version of the stored row if an earlier attempt of this commit wrote
            it and the claim still holds, else ``None``.
        """
        for row in error.rows:
            if row.table == OWNERS_TABLE and row.version != self._claim.owner_version:
                return None
        for row in error.rows:
            if row.table == COMMITS_TABLE and row.value == encode_row(commits_row):
                return row.version
        return None

    def _build_puts(self, commit: Commit, commits_row: CommitsRow) -> list[Put]:
        service = self._claim.service
        progress = progress_table(service)
        puts = [Put(COMMITS_TABLE, ROW_KEY, encode_row(commits_row), service)]
        for job in commit.jobs:
            value = encode_row(job.progress) if job.progress else None
            puts.append(Put(progress, job.job_id, value, service))
        for queue_name, count in commit.pending:
            puts.append(Put(PENDING_TABLE, queue_name, str(count).encode(), service))
        return puts
