"""Submission, look-up and cancellation of durable jobs, on any daemon."""

import time
import uuid
from collections.abc import Callable, Sequence
from typing import NamedTuple, NoReturn

from sycamorecroft.clock import Clock
from sycamorecroft.errors import (
    NotRunError,
    OutcomeUnknownError,
    PlatformError,
    RequestError,
    StoreBudgetExceededError,
    StoreConflictError,
    StoreOutcomeUnknownError,
)
from sycamorecroft.jobs.records import (
    ENDED_STATES,
    ENDED_TABLE,
    JOBS_TABLE,
    JobRecord,
    JobRequest,
    JobRow,
    decode_job,
    job_id_of,
    job_puts,
    jobs_prefix,
    new_job,
    request_digest,
)
from sycamorecroft.jobs.transitions import request_cancel
from sycamorecroft.store.insert_batcher import (
    BatchSettings,
    Insert,
    InsertBatcher,
    InsertOutcome,
)
from sycamorecroft.store.interfaces import Check, StorePurpose, TableService

ATTEMPTS_MAX_COUNT = 5
CANCEL_BATCH_COUNT = 200
BUDGET_RETRY_INTERVAL_S = 0.05


class CancelCounts(NamedTuple):
    """Result of a mass cancellation, in numbers of jobs that had not ended.

    ``requested_count`` includes jobs whose cancellation was requested earlier;
    ``remaining_count`` is the number of jobs not reached before the deadline.
    """

    requested_count: int
    remaining_count: int


class JobStore:
    """Stores, reads and cancels jobs. Thread-safe; used between ``start`` and ``stop``.

    A ``NotRunError`` refers to the call that raised it only: an earlier submission
    with the same key may have been accepted, as the store couldn't be read.
    """

    def __init__(
        self,
        tables: TableService,
        clock: Clock,
        *,
        batch: BatchSettings = BatchSettings(),
        new_token: Callable[[], str] = lambda: uuid.uuid4().hex,
        sleep: Callable[[float], object] = time.sleep,
    ) -> None:
        """
        :param new_token: returns a token that is unique among all daemons.
        :param sleep: waits between retries of a mass cancellation.
        """
        self._tables = tables
        self._clock = clock
        self._new_token = new_token
        self._sleep = sleep
        self._batcher = InsertBatcher(
            tables,
            clock,
            purpose=StorePurpose.JOBS,
            on_late_commit=lambda insert: None,
            settings=batch,
        )

    def start(self) -> None:
        """Starts the thread that batches submissions; must be called once."""
        self._batcher.start()

    def stop(self) -> None:
        """Refuses new submissions and commits those that are waiting."""
        self._batcher.stop()

    def submit(self, request: JobRequest, *, deadline_s: float) -> JobRecord:
        """Stores a job; a repeated submission returns the job that was stored first.

        :param deadline_s: monotonic time until which the caller waits.
        :returns: the job as stored.
        :raises RequestError: when the key was used for a different submission.
        :raises NotRunError: when this submission is known not to be accepted.
        :raises OutcomeUnknownError: when it may be accepted; repeat the submission to
            learn the outcome.
        """
        is_outcome_known = True
        for _ in range(ATTEMPTS_MAX_COUNT):
            record = new_job(request, self._new_token(), self._clock.now())
            ended_check = Check(ENDED_TABLE, record["job_id"], None)
            insert = Insert(job_puts(record), additional_checks=(ended_check,))
            result = self._batcher.insert(insert, deadline_s=deadline_s)
            outcome = result.outcome
            if outcome is InsertOutcome.COMMITTED:
                return record
            if outcome not in (InsertOutcome.CONFLICT, InsertOutcome.UNKNOWN):
                _raise_not_accepted(outcome, is_outcome_known=is_outcome_known)
            is_outcome_known = is_outcome_known and outcome is not InsertOutcome.UNKNOWN
            existing = self._find_accepted(request)
            if existing is not None:
                return existing
        raise _outcome_unknown("the submission got no response")

    def get(self, job_id: str) -> JobRecord | None:
        """
        :returns: the job, ``None`` if there is none with this id.
        :raises StoreUnavailableError: when the row can't be read.
        """
        row = self._read(job_id)
        return None if row is None else row.record

    def list(
        self,
        account: str,
        service: str | None = None,
        *,
        include_ended: bool = False,
    ) -> tuple[JobRecord, ...]:
        """
        :param include_ended: also reads the jobs that have ended, which may be many.
        :returns: jobs of an account, or of one of its services, sorted by id.
        :raises StoreUnavailableError: when the rows can't be read.
        """
        rows = self._scan(account, service, JOBS_TABLE)
        if include_ended:
            rows += self._scan(account, service, ENDED_TABLE)
        by_id = {row.record["job_id"]: row.record for row in rows}
        return tuple(by_id[job_id] for job_id in sorted(by_id))

    def cancel(self, job_id: str) -> JobRecord | None:
        """Requests the cancellation of a job; a job that has ended is unchanged.

        :returns: the job marked for cancellation, or as it ended; ``None`` if there is
            none with this id.
        :raises NotRunError: when the request is known not to be written.
        :raises OutcomeUnknownError: when it may be written; repeat the call to
            learn the outcome.
        """
        for _ in range(ATTEMPTS_MAX_COUNT):
            row = self._read_for_cancel(job_id)
            if row is None or not _is_cancellable(row):
                return None if row is None else row.record
            if self._write_cancellations([row]):
                return request_cancel(row.record)
        raise _outcome_unknown(f"the cancellation of {job_id!r} got no response")

    def cancel_all(
        self, account: str, service: str | None = None, *, deadline_s: float
    ) -> CancelCounts:
        """Requests the cancellation of all jobs of an account or service, in batches.

        Waits for the store budget where needed, until the deadline at the latest.

        :param deadline_s: monotonic time.
        :returns: how many jobs are marked for cancellation, and how many are not.
        :raises StoreUnavailableError: when the rows can't be read.
        """
        while True:
            rows = self._scan_within_budget(account, service, deadline_s)
            cancellable = [row for row in rows if _is_cancellable(row)]
            written_count = self._cancel_batches(cancellable, deadline_s)
            remaining_count = len(cancellable) - written_count
            if remaining_count == 0 or self._clock.monotonic_s() >= deadline_s:
                return CancelCounts(len(rows) - remaining_count, remaining_count)

    def _find_accepted(self, request: JobRequest) -> JobRecord | None:
        try:
            row = self._read(job_id_of(request))
        except PlatformError as error:
            raise _outcome_unknown("the job's row can't be read back") from error
        if row is None:
            return None
        if row.record["request_digest"] != request_digest(request):
            message = (
                f"idempotency key {request.idempotency_key!r} of service "
                f"{request.service!r} was used for another job; repeat the first "
                "submission unchanged, or submit a new job under a new key"
            )
            raise RequestError(message)
        return row.record

    def _read(self, job_id: str) -> JobRow | None:
        """Reads the tables in the order in which a job moves, so as not to miss it."""
        for table in (JOBS_TABLE, ENDED_TABLE):
            row = self._tables.read(table, job_id, purpose=StorePurpose.JOBS)
            if row is not None and row.value is not None:
                return JobRow(decode_job(row.value), row.version)
        return None

    def _read_for_cancel(self, job_id: str) -> JobRow | None:
        try:
            return self._read(job_id)
        except StoreBudgetExceededError as error:
            raise NotRunError("store_budget", str(error)) from error
        except PlatformError as error:
            raise NotRunError("store_unavailable", str(error)) from error

    def _scan(
        self, account: str, service: str | None, table: str
    ) -> tuple[JobRow, ...]:
        scan = self._tables.scan(
            table, purpose=StorePurpose.JOBS, prefix=jobs_prefix(account, service)
        )
        rows = [row for row in scan.rows if row.value is not None]
        return tuple(JobRow(decode_job(row.value or b""), row.version) for row in rows)

    def _scan_within_budget(
        self, account: str, service: str | None, deadline_s: float
    ) -> tuple[JobRow, ...]:
        while True:
            try:
                return self._scan(account, service, JOBS_TABLE)
            except StoreBudgetExceededError:
                if self._clock.monotonic_s() >= deadline_s:
                    raise
                self._sleep(BUDGET_RETRY_INTERVAL_S)

    def _cancel_batches(self, rows: Sequence[JobRow], deadline_s: float) -> int:
        """
        :returns: number of rows marked for cancellation, without batches in conflict.
        """
        written_count = 0
        for start in range(0, len(rows), CANCEL_BATCH_COUNT):
            batch = rows[start : start + CANCEL_BATCH_COUNT]
            if self._cancel_batch_within_budget(batch, deadline_s):
                written_count += len(batch)
        return written_count

    def _cancel_batch_within_budget(
        self, batch: Sequence[JobRow], deadline_s: float
    ) -> bool:
        while self._clock.monotonic_s() < deadline_s:
            try:
                return self._write_cancellations(batch)
            except NotRunError as error:
                if error.reason != "store_budget":
                    raise
                self._sleep(BUDGET_RETRY_INTERVAL_S)
        return False

    def _write_cancellations(self, rows: Sequence[JobRow]) -> bool:
        """
        :returns: whether the requests were written; if not, read the rows again.
        :raises NotRunError: when the store refused the write.
        """
        checks = [Check(JOBS_TABLE, row.record["job_id"], row.version) for row in rows]
        puts = [put for row in rows for put in job_puts(request_cancel(row.record))]
        try:
            self._tables.transact(checks, puts, purpose=StorePurpose.JOBS)
        except (StoreConflictError, StoreOutcomeUnknownError):
            return False
        except StoreBudgetExceededError as error:
            raise NotRunError("store_budget", str(error)) from error
        except PlatformError as error:
            raise NotRunError("store_unavailable", str(error)) from error
        return True


def _is_cancellable(row: JobRow) -> bool:
    is_ended = row.record["state"] in ENDED_STATES
    return not is_ended and not row.record["is_cancel_requested"]


def _raise_not_accepted(outcome: InsertOutcome, *, is_outcome_known: bool) -> NoReturn:
    """
    :param is_outcome_known: whether no earlier attempt of the submission may have been
        accepted.
    :raises NotRunError: when the submission is known not to be accepted.
    :raises OutcomeUnknownError: when it may be accepted.
    """
    if outcome is InsertOutcome.EXPIRED or not is_outcome_known:
        raise _outcome_unknown("the deadline passed or the store refused a retry")
    if outcome is InsertOutcome.BUDGET_EXCEEDED:
        message = "the store budget for jobs is used up; repeat later"
        raise NotRunError("store_budget", message)
    message = "the table service can't be reached; repeat later"
    raise NotRunError("store_unavailable", message)


def _outcome_unknown(subject: str) -> OutcomeUnknownError:
    message = f"{subject}; repeat it with the same key to learn the outcome"
    return OutcomeUnknownError("store_unavailable", message)
