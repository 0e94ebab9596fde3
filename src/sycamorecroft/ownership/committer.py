"""Stores the progress of a service's jobs, one transaction after another."""

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
    decode_row,
    encode_row,
    jobs_part,
    jobs_table,
    progress_table,
)
from sycamorecroft.store.backoff import Backoff
from sycamorecroft.store.interfaces import Check, Put, StorePurpose, TableService

_log = structlog.get_logger(__name__)

RETRY_BASE_S = 0.05
RETRY_CAP_S = 0.4


class CommitOutcome(StrEnum):
    """``LOST``: another host owns the service; nothing was or will be written."""

    STORED = "stored"
    LOST = "lost"


class CommitResult(NamedTuple):
    """Outcome of a commit."""

    commit: Commit
    outcome: CommitOutcome


class ServiceClaim(NamedTuple):
    """Ownership of a service as its transactions prove it.

    ``owner_version`` is the version of the owner's row, ``commits_version`` that of
    the row that each transaction writes, ``None`` if there is none.
    """

    service: str
    epoch: int
    owner_version: int
    commits_version: int | None
    commits_count: int


class Committer:
    """Thread that stores commits and retries them until their outcome is known.

    Each transaction requires the version of a row that the one before it wrote, so
    that a delayed transaction can't take effect after a later one.
    """

    def __init__(
        self,
        tables: TableService,
        claim: ServiceClaim,
        clock: Clock,
        tell: Callable[[CommitResult], None],
        confirm: Callable[[float], None],
        recorder: Recorder | None = None,
    ) -> None:
        """
        :param confirm: told when a transaction was sent that proved the ownership.
        """
        self._recorder = recorder or NullRecorder()
        self._tables = tables
        self._claim = claim
        self._clock = clock
        self._tell = tell
        self._confirm = confirm
        self._backoff = Backoff(RETRY_BASE_S, RETRY_CAP_S, random.Random())
        self._commits: queue.SimpleQueue[Commit | None] = queue.SimpleQueue()
        self._closed = threading.Event()

    def start(self) -> None:
        """Starts the thread."""
        threading.Thread(target=self._run, name="committer", daemon=True).start()

    def close(self) -> None:
        """Ends the thread after the transaction on its way."""
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
            begin_s = self._clock.monotonic_s()
            outcome = self.store(commit)
            duration_s = self._clock.monotonic_s() - begin_s
            service = self._claim.service
            self._recorder.record(COMMIT_TIME, duration_s, service=service)
            if outcome is not None:
                self._tell(CommitResult(commit, outcome))

    def store(self, commit: Commit) -> CommitOutcome | None:
        """Stores a commit, however often that takes.

        :returns: ``None`` when the committer was closed first.
        """
        claim = self._claim
        written = CommitsRow(claim.epoch, claim.commits_count + 1)
        checks = (
            Check(OWNERS_TABLE, ROW_KEY, claim.owner_version, claim.service),
            Check(COMMITS_TABLE, ROW_KEY, claim.commits_version, claim.service),
        )
        puts = self._puts(commit, written)
        if not self._delete_jobs(commit):
            return None
        while not self._closed.is_set():
            sent_s = self._clock.monotonic_s()
            try:
                version = self._tables.transact(checks, puts, purpose=StorePurpose.JOBS)
            except StoreConflictError as error:
                version = self._own_version(error, written)
                if version is None:
                    return CommitOutcome.LOST
            except (StoreUnavailableError, StoreOutcomeUnknownError) as error:
                self._wait(error)
                continue
            except PlatformError as error:
                _log.error("commit_refused", service=claim.service, error=str(error))
                self._wait(error)
                continue
            self._backoff.reset()
            self._confirm(sent_s)
            self._claim = claim._replace(
                commits_version=version, commits_count=written.commits_count
            )
            return CommitOutcome.STORED
        return None

    def _delete_jobs(self, commit: Commit) -> bool:
        """Deletes rows of jobs whose retention is over, before their progress.

        A job without progress would be taken for a new one.

        :returns: ``False`` when the committer was closed first.
        """
        for entry in commit.jobs:
            if entry.progress is not None:
                continue
            while not self._delete_job(entry.job_id):
                if self._closed.is_set():
                    return False
        return True

    def _delete_job(self, job_id: str) -> bool:
        service = self._claim.service
        table, part = jobs_table(service), jobs_part(service, job_id)
        puts = (
            Put(table, job_id, None, part),
            Put(table, job_id + CANCEL_SUFFIX, None, part),
        )
        try:
            self._tables.transact((), puts, purpose=StorePurpose.JOBS)
        except PlatformError as error:
            self._wait(error)
            return False
        return True

    def _wait(self, error: PlatformError) -> None:
        _log.debug("commit_retried", service=self._claim.service, error=str(error))
        self._closed.wait(RETRY_BASE_S + self._backoff.next_delay_s())

    def _own_version(
        self, error: StoreConflictError, written: CommitsRow
    ) -> int | None:
        """
        :returns: version of the row if an earlier try of this commit wrote it.
        """
        for row in error.rows:
            if row.table != COMMITS_TABLE or row.value is None:
                continue
            if decode_row(row.value, CommitsRow) == written:
                return row.version
        return None

    def _puts(self, commit: Commit, written: CommitsRow) -> list[Put]:
        service = self._claim.service
        progress = progress_table(service)
        puts = [Put(COMMITS_TABLE, ROW_KEY, encode_row(written), service)]
        for entry in commit.jobs:
            value = encode_row(entry.progress) if entry.progress else None
            puts.append(Put(progress, entry.job_id, value, service))
        for queue_name, count in commit.pending:
            puts.append(Put(PENDING_TABLE, queue_name, str(count).encode(), service))
        return puts
