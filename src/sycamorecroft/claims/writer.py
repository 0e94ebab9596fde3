"""Background writer of recorded responses and releases of claims, with retries."""

import random
from collections.abc import Sequence
from threading import Condition, Thread

import structlog

from sycamorecroft.claims.interfaces import RecordedResponse
from sycamorecroft.claims.records import (
    CLAIMS_TABLE,
    INLINE_BODY_MAX_BYTES,
    ClaimRecord,
    ClaimVersion,
    claim_deletes,
    claim_puts,
    decode_claim,
    object_key,
    store_response,
)
from sycamorecroft.clock import Clock
from sycamorecroft.errors import (
    PlatformError,
    StoreConflictError,
    StoreOutcomeUnknownError,
)
from sycamorecroft.store.interfaces import (
    Check,
    ObjectStore,
    Put,
    StorePurpose,
    TableService,
)

# An insert whose response was lost may still take effect later. Its release is repeated
# after these delays, which extend well beyond the platform client's timeout of 1 s.
RECHECK_DELAYS_S = (1.0, 4.0, 16.0, 64.0)
RETRY_FIRST_S = 0.1
RETRY_MAX_S = 5.0
BATCH_LINGER_S = 0.02
BATCH_MAX_COUNT = 64
BATCH_MAX_BYTES = 512 * 1024
BACKLOG_MAX_BYTES = 32 * 1024 * 1024

_log = structlog.get_logger(__name__)


class ClaimWrite:
    """A pending write to one claim: a record (``response`` is set) or a release.

    ``last_written`` is the row as last written by this claimant, ``None`` when it must
    be read first. ``recheck_delays_s`` are the delays after which a release is
    repeated, each counted from the previous one.
    """

    def __init__(
        self,
        claim_row_key: str,
        token: str,
        *,
        last_written: ClaimVersion | None,
        response: RecordedResponse | None = None,
        recheck_delays_s: Sequence[float] = (),
    ) -> None:
        self.claim_row_key = claim_row_key
        self.token = token
        self.last_written = last_written
        self.response = response
        self.recheck_delays_s = tuple(recheck_delays_s)
        self.due_s = 0.0
        self.failures_count = 0
        self.is_body_stored = False
        self.is_recheck = False

    @property
    def size_bytes(self) -> int:
        """
        :returns: size of the response body that is kept in memory until written.
        """
        return len(self.response.body) if self.response is not None else 0


class ClaimWriter:
    """Writes records and releases in batches on one thread, and retries them."""

    def __init__(
        self,
        tables: TableService,
        objects: ObjectStore,
        clock: Clock,
        *,
        random_source: random.Random,
    ) -> None:
        self._tables = tables
        self._objects = objects
        self._clock = clock
        self._random = random_source
        self._changed = Condition()
        self._backlog: list[ClaimWrite] = []
        self._backlog_bytes = 0
        self._in_progress_count = 0
        self._stop_deadline_s: float | None = None
        self._thread = Thread(target=self._run, name="claim-writer", daemon=True)

    def start(self) -> None:
        """Starts the thread; must be called once."""
        self._thread.start()

    def stop(self, timeout_s: float) -> int:
        """Writes the backlog and ends the thread.

        :param timeout_s: seconds after which no further write is started.
        :returns: number of records and releases that were not written.
        """
        with self._changed:
            self._stop_deadline_s = self._clock.monotonic_s() + timeout_s
            self._changed.notify_all()
        self._thread.join(timeout_s + RETRY_MAX_S)
        return len(self._backlog)

    def add(self, write: ClaimWrite, *, delay_s: float = BATCH_LINGER_S) -> None:
        """Queues a write; a record beyond the memory limit is dropped.

        A dropped record leaves its claim pending, so that a repeated request gets an
        unknown outcome and never runs again.

        :param delay_s: seconds after which the write is due.
        """
        with self._changed:
            if self._backlog_bytes + write.size_bytes > BACKLOG_MAX_BYTES:
                _log.warning("claim_record_dropped", claim=write.claim_row_key)
                return
            write.due_s = self._clock.monotonic_s() + delay_s
            self._backlog.append(write)
            self._backlog_bytes += write.size_bytes
            self._changed.notify_all()

    def wait_until_idle(self, timeout_s: float) -> bool:
        """
        :returns: whether all writes except rechecks were done within the timeout.
        """
        with self._changed:
            return self._changed.wait_for(self._is_idle, timeout_s)

    def _is_idle(self) -> bool:
        is_write_waiting = any(not write.is_recheck for write in self._backlog)
        return not is_write_waiting and self._in_progress_count == 0

    def _run(self) -> None:
        while True:
            batch = self._next_batch()
            if batch is None:
                return
            self._process(batch)
            with self._changed:
                self._in_progress_count = 0
                self._changed.notify_all()

    def _next_batch(self) -> list[ClaimWrite] | None:
        with self._changed:
            while True:
                now_s = self._clock.monotonic_s()
                if self._is_finished(now_s):
                    return None
                due = [write for write in self._backlog if write.due_s <= now_s]
                if due:
                    return self._take_batch(due)
                self._changed.wait(self._wait_s(now_s))

    def _is_finished(self, now_s: float) -> bool:
        if self._stop_deadline_s is None:
            return False
        self._backlog = [write for write in self._backlog if not write.is_recheck]
        return not self._backlog or now_s >= self._stop_deadline_s

    def _wait_s(self, now_s: float) -> float | None:
        times = [write.due_s for write in self._backlog]
        if self._stop_deadline_s is not None:
            times.append(self._stop_deadline_s)
        return max(0.0, min(times) - now_s) if times else None

    def _take_batch(self, due: list[ClaimWrite]) -> list[ClaimWrite]:
        batch: list[ClaimWrite] = []
        batch_bytes = 0
        for write in due:
            batch_bytes += min(write.size_bytes, INLINE_BODY_MAX_BYTES)
            if batch and batch_bytes > BATCH_MAX_BYTES:
                break
            batch.append(write)
            if len(batch) == BATCH_MAX_COUNT:
                break
        batch_ids = set(map(id, batch))
        self._backlog = [write for write in self._backlog if id(write) not in batch_ids]
        self._backlog_bytes -= sum(write.size_bytes for write in batch)
        self._in_progress_count = len(batch)
        return batch

    def _process(self, batch: list[ClaimWrite]) -> None:
        ready: list[ClaimWrite] = []
        for write in batch:
            try:
                if self._prepare(write):
                    ready.append(write)
            except PlatformError:
                self._retry(write)
            except Exception:
                _log_abandoned([write])
        if ready:
            self._commit(ready)

    def _prepare(self, write: ClaimWrite) -> bool:
        """
        :returns: whether the write still applies to a row.
        :raises PlatformError: when the row could not be read or the body not stored.
        """
        if write.last_written is None and not self._read_row(write):
            return False
        if write.response is None or write.is_body_stored:
            return True
        if len(write.response.body) > INLINE_BODY_MAX_BYTES:
            key = object_key(write.claim_row_key, write.token)
            self._objects.put(key, write.response.body)
        write.is_body_stored = True
        return True

    def _read_row(self, write: ClaimWrite) -> bool:
        row = self._tables.read(
            CLAIMS_TABLE, write.claim_row_key, purpose=StorePurpose.CLAIMS
        )
        if row is not None and row.value is not None:
            record = decode_claim(row.value)
            if record["token"] == write.token:
                write.last_written = ClaimVersion(record, row.version)
                return write.response is None or record["response"] is None
        self._schedule_recheck(write)
        return False

    def _commit(self, writes: list[ClaimWrite]) -> None:
        checks, puts = _build_transaction(writes)
        try:
            self._tables.transact(checks, puts, purpose=StorePurpose.CLAIMS)
        except StoreConflictError:
            self._resolve_conflict(writes)
        except StoreOutcomeUnknownError:
            for write in writes:
                write.last_written = None
                self._retry(write)
        except PlatformError:
            for write in writes:
                self._retry(write)
        except Exception:
            _log_abandoned(writes)
        else:
            for write in writes:
                self._schedule_recheck(write)

    def _resolve_conflict(self, writes: list[ClaimWrite]) -> None:
        if len(writes) == 1:
            writes[0].last_written = None
            self._retry(writes[0])
            return
        middle = len(writes) // 2
        self._commit(writes[:middle])
        self._commit(writes[middle:])

    def _retry(self, write: ClaimWrite) -> None:
        """Queues a failed write again, with exponential backoff and full jitter."""
        delay_max_s = min(RETRY_MAX_S, RETRY_FIRST_S * 2**write.failures_count)
        write.failures_count = min(write.failures_count + 1, 10)
        self.add(write, delay_s=self._random.uniform(RETRY_FIRST_S / 2, delay_max_s))

    def _schedule_recheck(self, write: ClaimWrite) -> None:
        if not write.recheck_delays_s:
            return
        delay_s = write.recheck_delays_s[0]
        write.recheck_delays_s = write.recheck_delays_s[1:]
        write.last_written = None
        write.failures_count = 0
        write.is_recheck = True
        self.add(write, delay_s=delay_s)


def _log_abandoned(writes: Sequence[ClaimWrite]) -> None:
    """Logs the error being handled, which must not end the writer's thread.

    The claims stay pending, so that repeated requests get an unknown outcome and never
    run again.
    """
    claims = [write.claim_row_key for write in writes]
    _log.exception("claim_writes_abandoned", claims=claims)


def _build_transaction(writes: Sequence[ClaimWrite]) -> tuple[list[Check], list[Put]]:
    checks: list[Check] = []
    puts: list[Put] = []
    for write in writes:
        assert write.last_written is not None
        record = write.last_written.record
        checks.append(
            Check(CLAIMS_TABLE, write.claim_row_key, write.last_written.version)
        )
        if write.response is None:
            puts.extend(claim_deletes(write.claim_row_key, record["day"]))
        else:
            puts.extend(_response_puts(write, record))
    return checks, puts


def _response_puts(write: ClaimWrite, record: ClaimRecord) -> tuple[Put, Put]:
    assert write.response is not None
    body_key = None
    if len(write.response.body) > INLINE_BODY_MAX_BYTES:
        body_key = object_key(write.claim_row_key, write.token)
    stored = store_response(write.response, body_key)
    updated: ClaimRecord = {**record, "response": stored}
    return claim_puts(write.claim_row_key, updated)
