"""Thread that stores the changes of quota rows of a service."""

import queue
import random
import threading
from collections.abc import Callable

import structlog

from sycamorecroft.clock import Clock
from sycamorecroft.errors import (
    PlatformError,
    StoreConflictError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from sycamorecroft.metrics import QUOTA_WRITES
from sycamorecroft.quotas.messages import QuotaWrite, QuotaWriteResult, RowChange
from sycamorecroft.quotas.rows import QUOTAS_PART, QUOTAS_TABLE
from sycamorecroft.recorder import Recorder
from sycamorecroft.scheduling.rows import encode_row
from sycamorecroft.store.backoff import Backoff
from sycamorecroft.store.interfaces import (
    Check,
    PartitionedTableService,
    Put,
    Row,
    StorePurpose,
)

_log = structlog.get_logger(__name__)

RETRY_BASE_S = 0.05
RETRY_CAP_S = 0.4


class QuotaWriter:
    """Stores one write at a time and repeats it until its outcome is known.

    A write without an answer may still be applied while its conditions hold, so that it
    is repeated unchanged rather than replaced.
    """

    def __init__(
        self,
        tables: PartitionedTableService,
        clock: Clock,
        on_result: Callable[[QuotaWriteResult], object],
        recorder: Recorder,
        service: str = "",
    ) -> None:
        """
        :param on_result: called from the thread with the result of each write.
        :param service: name of the service, for metrics and log lines.
        """
        self._tables = tables
        self._clock = clock
        self._on_result = on_result
        self._recorder = recorder
        self._service = service
        self._backoff = Backoff(RETRY_BASE_S, RETRY_CAP_S, random.Random())
        self._writes: queue.SimpleQueue[QuotaWrite | None] = queue.SimpleQueue()
        self._closed = threading.Event()

    def start(self) -> None:
        """Starts the thread."""
        name = f"quotas-{self._service}"
        threading.Thread(target=self._run, name=name, daemon=True).start()

    def close(self) -> None:
        """Ends the thread after the transaction in flight."""
        self._closed.set()
        self._writes.put(None)

    def submit(self, write: QuotaWrite) -> None:
        """Queues a write; the caller waits for its result before the next one."""
        self._writes.put(write)

    def _run(self) -> None:
        while True:
            write = self._writes.get()
            if write is None or self._closed.is_set():
                return
            result = self.store(write)
            if result is None:
                return
            try:
                self._on_result(result)
            except Exception:
                _log.exception("quota_result_not_applied", service=self._service)

    def store(self, write: QuotaWrite) -> QuotaWriteResult | None:
        """Stores a write and repeats it until its outcome is known.

        :returns: the result; ``None`` if the writer was closed first.
        """
        start_s = self._clock.monotonic_s()
        attempts_count = 0
        while not self._closed.is_set():
            attempts_count += 1
            result = self._try(write)
            if result is None:
                self._closed.wait(RETRY_BASE_S + self._backoff.next_delay_s())
                continue
            self._backoff.reset()
            _log.debug(
                "quota_written",
                service=self._service,
                is_stored=result.is_stored,
                accounts_count=len(write.changes),
                version=result.version,
                attempts_count=attempts_count,
                duration_s=round(self._clock.monotonic_s() - start_s, 3),
            )
            return result
        return None

    def _try(self, write: QuotaWrite) -> QuotaWriteResult | None:
        """Returns ``None`` if the outcome isn't known, or the write can be repeated."""
        try:
            result = self._transact(write)
        except (StoreUnavailableError, StoreOutcomeUnknownError) as error:
            _log.debug("quota_write_retried", service=self._service, error=str(error))
            self._count("repeated")
            return None
        except PlatformError as error:
            _log.error("quota_write_refused", service=self._service, error=str(error))
            self._count("refused")
            return None
        except Exception:
            # Without this thread no task of an account with a limit would start.
            _log.exception("quota_write_failed", service=self._service)
            self._count("failed")
            return None
        self._count("stored" if result.is_stored else "conflict")
        return result

    def _transact(self, write: QuotaWrite) -> QuotaWriteResult:
        checks = [
            Check(QUOTAS_TABLE, change.account, change.expected_version, QUOTAS_PART)
            for change in write.changes
        ]
        puts = [_put(change) for change in write.changes]
        try:
            version = self._tables.transact(checks, puts, purpose=StorePurpose.JOBS)
        except StoreConflictError as error:
            present = self._present_rows(write, error)
            return QuotaWriteResult(write, False, None, present)
        return QuotaWriteResult(write, True, version)

    def _present_rows(
        self, write: QuotaWrite, error: StoreConflictError
    ) -> tuple[Row, ...]:
        """Returns the rows of the write's accounts, a deleted one without a value.

        A row that the store doesn't return with the conflict may be deleted, or its
        check may hold. Only a read tells, also if no returned row shows the conflict.
        """
        found = {row.key: row for row in error.rows if isinstance(row, Row)}
        expected = {c.account for c in write.changes if c.expected_version is not None}
        is_shown = any(
            change.account in found
            and found[change.account].version != change.expected_version
            for change in write.changes
        )
        if not (is_shown and expected <= found.keys()):
            scan = self._tables.scan_part(
                QUOTAS_TABLE, QUOTAS_PART, purpose=StorePurpose.JOBS
            )
            found = {row.key: row for row in scan.rows}
            for name in expected - found.keys():
                found[name] = Row(QUOTAS_TABLE, name, None, scan.version, QUOTAS_PART)
        accounts = [change.account for change in write.changes]
        return tuple(found[name] for name in accounts if name in found)

    def _count(self, outcome: str) -> None:
        self._recorder.count(QUOTA_WRITES, service=self._service, outcome=outcome)


def _put(change: RowChange) -> Put:
    value = encode_row(change.row) if change.row is not None else None
    return Put(QUOTAS_TABLE, change.account, value, QUOTAS_PART)
