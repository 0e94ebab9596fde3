"""Storage of submissions and cancellations, and reads of job states."""

import random
import threading
from collections.abc import Callable
from enum import StrEnum

import structlog

from sycamorecroft.clock import Clock
from sycamorecroft.errors import (
    KeyRefusedError,
    PlatformError,
    RecordError,
    StoreConflictError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from sycamorecroft.ownership.rows import PENDING_TABLE
from sycamorecroft.scheduling.model import Queue
from sycamorecroft.scheduling.rows import (
    CANCEL_SUFFIX,
    CLOSED_SUFFIX,
    JOB_LOCATIONS_TABLE,
    CancelRow,
    JobLocation,
    JobRow,
    JobState,
    decode_row,
    encode_row,
    jobs_part,
    jobs_table,
    location_key,
)
from sycamorecroft.serving.caller import Caller
from sycamorecroft.serving.job_reader import JobReader
from sycamorecroft.store.insert_batcher import (
    BatchSettings,
    Insert,
    InsertBatcher,
    InsertOutcome,
)
from sycamorecroft.store.interfaces import (
    Check,
    PartitionedTableService,
    Put,
    Row,
    StorePurpose,
)
from sycamorecroft.store.table_part import TablePart

_log = structlog.get_logger(__name__)

BATCH_WINDOW_S = 0.002
# A transaction holds at most 100 entries, and a submission takes two checks and puts.
INSERTS_PER_BATCH_COUNT = 25
RETRY_S = 0.1
# The batcher of a part is closed after this time. Longer than any caller waits, so that
# no submission is in flight.
IDLE_PART_TIMEOUT_S = 10.0
# A location that was closed longer ago is closed again, so that it is retained from the
# last cancellation.
RECLOSE_AGE_MS = 30_000
# While the store is available, the long polls of an entry host are answered more often
# than this.
CONTACT_TIMEOUT_S = 1.8


class SubmitOutcome(StrEnum):
    """Outcome of a submission.

    ``REPEATED``: a job with this id was stored before. ``NOT_STORED``: the job isn't
    stored and won't be. ``CANCELLED``: neither, since it was cancelled before it could
    be stored. ``UNKNOWN``: it may be stored. ``OTHER_ACCOUNT``: the job with this id
    belongs to another client account.
    """

    STORED = "stored"
    REPEATED = "repeated"
    NOT_STORED = "not_stored"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"
    OTHER_ACCOUNT = "other_account"


class CancelOutcome(StrEnum):
    """Outcome of a cancellation.

    ``NO_SUCH_JOB``: no job is stored under the id, and a submission of it that is in
    flight won't be. ``UNKNOWN``: the cancellation may be stored.
    """

    STORED = "stored"
    NO_SUCH_JOB = "no_such_job"
    UNKNOWN = "unknown"


_SUBMIT_OUTCOMES = {
    InsertOutcome.COMMITTED: SubmitOutcome.STORED,
    InsertOutcome.CONFLICT: SubmitOutcome.REPEATED,
    InsertOutcome.UNAVAILABLE: SubmitOutcome.NOT_STORED,
    InsertOutcome.BUDGET_EXCEEDED: SubmitOutcome.NOT_STORED,
}


class JobStore:
    """Submissions and cancellations of jobs of all services. Thread-safe."""

    def __init__(
        self,
        tables: PartitionedTableService,
        clock: Clock,
        contact_age_s: Callable[[], float],
    ) -> None:
        """
        :param contact_age_s: returns the time in seconds since the store's last answer.
        """
        self._tables = tables
        self._reader = JobReader(tables)
        self._clock = clock
        self.contact_age_s = contact_age_s
        self._lock = threading.Lock()
        self._batchers: dict[str, InsertBatcher] = {}
        self._last_used_s: dict[str, float] = {}

    def submit(
        self, job_id: str, row: JobRow, *, caller: Caller, deadline_s: float
    ) -> SubmitOutcome:
        """Stores a job unless one with this id exists.

        :param deadline_s: monotonic time in seconds at which the caller stops waiting.
        :returns: the outcome, ``UNKNOWN`` if any attempt may still take effect.
        :raises KeyRefusedError: when the caller's key was withdrawn, or can't be
            checked any more, before an attempt that may take effect.
        """
        insert = _build_insert(job_id, row)
        if not self.is_reachable():
            # Nothing was sent, so that the caller may retry at another entry host.
            return SubmitOutcome.NOT_STORED
        batcher = self._get_batcher(jobs_part(job_id))
        is_possibly_stored = False
        while True:
            result = batcher.insert(
                insert, deadline_s=deadline_s, send_until_s=caller.checked_until_s
            )
            outcome = _SUBMIT_OUTCOMES.get(result.outcome, SubmitOutcome.UNKNOWN)
            if outcome is SubmitOutcome.REPEATED:
                return self._judge_existing(row.queue, job_id, result.found, caller)
            if outcome is SubmitOutcome.STORED:
                return outcome
            # An earlier attempt without an answer may still take effect.
            is_possibly_stored = is_possibly_stored or outcome is SubmitOutcome.UNKNOWN
            # Only a further attempt can tell the caller that the job is stored.
            is_retried = is_possibly_stored or self.is_reachable()
            if not is_retried or not self._wait_for_retry(deadline_s):
                return SubmitOutcome.UNKNOWN if is_possibly_stored else outcome
            try:
                caller = caller.check_again()
            except KeyRefusedError as error:
                if not is_possibly_stored:
                    raise
                if error.is_final:
                    return SubmitOutcome.UNKNOWN
                # The next attempt isn't sent, and followed by another check.

    def _judge_existing(
        self, queue: Queue, job_id: str, found: Row | None, caller: Caller
    ) -> SubmitOutcome:
        """Judges a submission whose id or location is stored.

        :param found: job's row with this id, ``None`` if the store didn't return it.
        """
        try:
            if found is None:
                account = self._read_account(queue, job_id)
            else:
                account = decode_row(found.value or b"", JobRow).account
        except RecordError as error:
            # The row may be this job as another release writes it.
            _log.error("job_row_malformed", job=job_id, error=str(error))
            return SubmitOutcome.UNKNOWN
        except PlatformError as error:
            _log.info("job_row_read_failed", job=job_id, error=str(error))
            return SubmitOutcome.UNKNOWN
        if account is None:
            return SubmitOutcome.CANCELLED
        if caller.may_access(account):
            return SubmitOutcome.REPEATED
        return SubmitOutcome.OTHER_ACCOUNT

    def _read_account(self, queue: Queue, job_id: str) -> str | None:
        """
        :returns: client account of a stored job, ``None`` if its location is closed.
        :raises PlatformError: when the store can't be read.
        :raises RecordError: when a row can't be decoded, or was removed since.
        """
        found = self._reader.location(queue, job_id)
        if found is not None:
            return None if found.location.is_closed else found.location.account
        stored = self._reader.find(queue, job_id)
        value = b"" if stored is None else stored.value
        return decode_row(value, JobRow).account

    def is_stored(self, queue: Queue, job_id: str) -> bool:
        """
        :returns: whether a job with this id is stored.
        :raises PlatformError: when the store can't be read.
        """
        if not self.is_reachable():
            raise StoreUnavailableError("the store can't be reached")
        return self._reader.find(queue, job_id) is not None

    def is_reachable(self) -> bool:
        """
        :returns: whether the store answered so recently that an attempt may succeed.
        """
        return self.contact_age_s() < CONTACT_TIMEOUT_S

    def _wait_for_retry(self, deadline_s: float) -> bool:
        """Waits before another attempt, if there is time for one before the deadline.

        :returns: whether to retry.
        """
        retry_s = random.uniform(RETRY_S, 2 * RETRY_S)
        if self._clock.monotonic_s() + retry_s >= deadline_s:
            return False
        threading.Event().wait(retry_s)
        return True

    def _get_batcher(self, part: str) -> InsertBatcher:
        now_s = self._clock.monotonic_s()
        with self._lock:
            self._close_idle_batchers(now_s)
            self._last_used_s[part] = now_s
            batcher = self._batchers.get(part)
            if batcher is None:
                batcher = InsertBatcher(
                    TablePart(self._tables, part),
                    self._clock,
                    purpose=StorePurpose.JOBS,
                    on_late_commit=_log_late_commit,
                    settings=BatchSettings(
                        window_s=BATCH_WINDOW_S,
                        inserts_max_count=INSERTS_PER_BATCH_COUNT,
                    ),
                )
                batcher.start()
                self._batchers[part] = batcher
            return batcher

    def _close_idle_batchers(self, now_s: float) -> None:
        """Closes idle batchers, since the thread of each takes memory."""
        for part, last_used_s in list(self._last_used_s.items()):
            if now_s - last_used_s > IDLE_PART_TIMEOUT_S:
                del self._last_used_s[part]
                self._batchers.pop(part).close()

    def state(self, queue: Queue, job_id: str, *, caller: Caller) -> JobState | None:
        """
        :returns: state of a job, ``None`` if the job doesn't exist.
        :raises JobAccessError: when the job belongs to another client account.
        :raises PlatformError: when the store, or the job's row, can't be read.
        """
        progress = self._reader.progress(queue.service, job_id)
        if progress is not None and caller.may_access(progress.account):
            return progress.state
        # The job's row decides whose job it is: the progress may not say so, or may be
        # that of an earlier job under this id whose removal isn't complete.
        stored = self._reader.find(queue, job_id)
        if stored is None:
            return None
        stored.check_access(caller)
        if stored.service != queue.service:
            progress = self._reader.progress(stored.service, job_id)
        if progress is not None:
            return progress.state
        return JobState.CANCELLED if stored.is_cancelled else JobState.QUEUED

    def cancel(
        self, queue: Queue, job_id: str, *, caller: Caller, deadline_s: float
    ) -> CancelOutcome:
        """Stores the cancellation of a job; idempotent.

        If there is no such job, its location is closed: a submission of it may be in
        flight, for instance at an entry host whose answer was lost.

        :param deadline_s: monotonic time in seconds at which the caller stops waiting.
        :raises JobAccessError: when the job belongs to another client account.
        :raises RecordError: when the job's row can't tell whose job it is.
        :raises KeyRefusedError: when the caller's key was withdrawn, or can't be
            checked any more, before an attempt that may take effect.
        """
        is_possibly_stored = False
        while True:
            try:
                return self._cancel(queue, job_id, caller)
            except StoreConflictError:
                # A concurrent submission or cancellation, or the deletion at the end of
                # the job's retention, was committed first.
                continue
            except KeyRefusedError:
                if is_possibly_stored:
                    return CancelOutcome.UNKNOWN
                raise
            except (StoreUnavailableError, StoreOutcomeUnknownError) as error:
                is_possibly_stored |= isinstance(error, StoreOutcomeUnknownError)
                _log.debug("cancel_retried", job=job_id, error=str(error))
            except RecordError:
                raise
            except PlatformError as error:
                is_possibly_stored = True
                _log.warning("cancel_failed", job=job_id, error=str(error))
            if self._clock.monotonic_s() + RETRY_S >= deadline_s:
                return CancelOutcome.UNKNOWN
            threading.Event().wait(RETRY_S)

    def _cancel(self, queue: Queue, job_id: str, caller: Caller) -> CancelOutcome:
        stored = self._reader.find(queue, job_id)
        if stored is None:
            return self._close_location(queue, job_id, caller)
        if caller.is_restricted:
            stored.check_access(caller)
        # The read may have taken seconds.
        caller.check_again()
        if stored.is_cancelled:
            return CancelOutcome.STORED
        table = jobs_table(stored.service)
        key = job_id + CANCEL_SUFFIX
        TablePart(self._tables, jobs_part(job_id)).transact(
            (Check(table, job_id, stored.version), Check(table, key, None)),
            (Put(table, key, encode_row(CancelRow(self._now_ms()))),),
            purpose=StorePurpose.JOBS,
        )
        return CancelOutcome.STORED

    def _close_location(
        self, queue: Queue, job_id: str, caller: Caller
    ) -> CancelOutcome:
        """Stores that no job may be stored at a location any more.

        :raises StoreConflictError: when a job was stored there meanwhile.
        """
        found = self._reader.location(queue, job_id)
        now_ms = self._now_ms()
        if found is not None and not found.location.is_closed:
            if self._reader.find(queue, job_id) is not None:
                raise StoreConflictError("the job was stored meanwhile")
            return CancelOutcome.NO_SUCH_JOB
        if found is not None and now_ms - found.location.recorded_ms < RECLOSE_AGE_MS:
            return CancelOutcome.NO_SUCH_JOB
        # The reads may have taken seconds.
        caller.check_again()
        key = location_key(queue, job_id)
        version = found.version if found is not None else None
        TablePart(self._tables, jobs_part(job_id)).transact(
            (Check(JOB_LOCATIONS_TABLE, key, version),),
            (
                Put(JOB_LOCATIONS_TABLE, key, encode_row(JobLocation("", now_ms))),
                # Tells the service's owner to remove the location later.
                Put(
                    jobs_table(queue.service),
                    key + CLOSED_SUFFIX,
                    encode_row(CancelRow(now_ms)),
                ),
            ),
            purpose=StorePurpose.JOBS,
        )
        return CancelOutcome.NO_SUCH_JOB

    def _now_ms(self) -> int:
        return int(self._clock.now().timestamp() * 1000)

    def pending_count(self, service: str, queue: str) -> int:
        """
        :returns: number of accepted jobs of the queue of which no task has started.
        :raises PlatformError: when the store, or the count, can't be read.
        """
        part = TablePart(self._tables, service)
        row = part.read(PENDING_TABLE, queue, purpose=StorePurpose.VIEW)
        return decode_row(row.value, int) if row is not None and row.value else 0


def _build_insert(job_id: str, row: JobRow) -> Insert:
    """Returns the rows of a job, to be stored if neither exists.

    The row of the job proves that no other job has its id in the queue's service, and
    that of its location that it wasn't stored for another service, or cancelled.
    """
    queue = row.queue
    key = location_key(queue, job_id)
    location = JobLocation(queue.service, row.accepted_ms, row.account)
    return Insert(
        (
            Put(jobs_table(queue.service), job_id, encode_row(row)),
            Put(JOB_LOCATIONS_TABLE, key, encode_row(location)),
        ),
        (Check(JOB_LOCATIONS_TABLE, key, None),),
    )


def _log_late_commit(insert: Insert) -> None:
    _log.info("submission_stored_late", job=insert.puts[0].key)
