"""Background writes of claims: recorded responses and releases, with retries."""

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

# A write whose answer was lost may still arrive. Its release is repeated after these
# delays, which reach well past the platform client's timeout of 1 s.
RECHECK_DELAYS_S = (1.0, 4.0, 16.0, 64.0)
RETRY_FIRST_S = 0.1
RETRY_MAX_S = 5.0
LINGER_S = 0.02
BATCH_MAX_COUNT = 64
BATCH_MAX_BYTES = 512 * 1024
BACKLOG_MAX_BYTES = 32 * 1024 * 1024

_log = structlog.get_logger(__name__)


class ClaimWork:
    """A record (``response`` is set) or a release of one claim.

    ``known`` is the row as last written by this claimant, ``None`` when it has to be
    read first. ``rechecks`` are the delays after which a release is repeated.
    """

    def __init__(
        self,
        claim_row_key: str,
        token: str,
        *,
        known: ClaimVersion | None,
        response: RecordedResponse | None = None,
        rechecks: Sequence[float] = (),
    ) -> None:
        self.claim_row_key = claim_row_key
        self.token = token
        self.known = known
        self.response = response
        self.rechecks = tuple(rechecks)
        self.due_s = 0.0
        self.failures_count = 0
        self.is_body_stored = False
        self.is_recheck = False

    @property
    def size_bytes(self) -> int:
        """
        :returns: bytes of the response's body that this work keeps in memory.
        """
        return len(self.response.body) if self.response is not None else 0


class ClaimWriter:
    """One thread that writes records and releases in batches and retries them."""

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
        self._backlog: list[ClaimWork] = []
        self._backlog_bytes = 0
        self._in_progress_count = 0
        self._stop_s: float | None = None
        self._thread = Thread(target=self._run, name="claim-writer", daemon=True)

    def start(self) -> None:
        """Starts the thread; called once."""
        self._thread.start()

    def stop(self, timeout_s: float) -> int:
        """Writes what is left, at most for ``timeout_s`` seconds.

        :returns: how many records and releases were given up.
        """
        with self._changed:
            self._stop_s = self._clock.monotonic_s() + timeout_s
            self._changed.notify_all()
        self._thread.join(timeout_s + RETRY_MAX_S)
        return len(self._backlog)

    def add(self, work: ClaimWork, *, delay_s: float = LINGER_S) -> None:
        """Queues a work; a record beyond the memory bound is dropped.

        A dropped record leaves its claim pending, so a repeated request gets an
        unknown outcome and is never run again.
        """
        with self._changed:
            if self._backlog_bytes + work.size_bytes > BACKLOG_MAX_BYTES:
                _log.warning("claim_record_dropped", claim=work.claim_row_key)
                return
            work.due_s = self._clock.monotonic_s() + delay_s
            self._backlog.append(work)
            self._backlog_bytes += work.size_bytes
            self._changed.notify_all()

    def wait_until_idle(self, timeout_s: float) -> bool:
        """
        :returns: whether all works except rechecks were done within the timeout.
        """
        with self._changed:
            return self._changed.wait_for(self._is_idle, timeout_s)

    def _is_idle(self) -> bool:
        waiting = any(not work.is_recheck for work in self._backlog)
        return not waiting and self._in_progress_count == 0

    def _run(self) -> None:
        while True:
            batch = self._next_batch()
            if batch is None:
                return
            self._process(batch)
            with self._changed:
                self._in_progress_count = 0
                self._changed.notify_all()

    def _next_batch(self) -> list[ClaimWork] | None:
        with self._changed:
            while True:
                now_s = self._clock.monotonic_s()
                if self._is_finished(now_s):
                    return None
                due = [work for work in self._backlog if work.due_s <= now_s]
                if due:
                    return self._take(due)
                self._changed.wait(self._idle_s(now_s))

    def _is_finished(self, now_s: float) -> bool:
        if self._stop_s is None:
            return False
        self._backlog = [work for work in self._backlog if not work.is_recheck]
        return not self._backlog or now_s >= self._stop_s

    def _idle_s(self, now_s: float) -> float | None:
        times = [work.due_s for work in self._backlog]
        if self._stop_s is not None:
            times.append(self._stop_s)
        return max(0.0, min(times) - now_s) if times else None

    def _take(self, due: list[ClaimWork]) -> list[ClaimWork]:
        batch: list[ClaimWork] = []
        taken_bytes = 0
        for work in due:
            taken_bytes += min(work.size_bytes, INLINE_BODY_MAX_BYTES)
            if batch and taken_bytes > BATCH_MAX_BYTES:
                break
            batch.append(work)
            if len(batch) == BATCH_MAX_COUNT:
                break
        taken = set(map(id, batch))
        self._backlog = [work for work in self._backlog if id(work) not in taken]
        self._backlog_bytes -= sum(work.size_bytes for work in batch)
        self._in_progress_count = len(batch)
        return batch

    def _process(self, batch: list[ClaimWork]) -> None:
        ready: list[ClaimWork] = []
        for work in batch:
            try:
                if self._prepare(work):
                    ready.append(work)
            except PlatformError:
                self._retry(work)
            except Exception:
                _give_up([work])
        if ready:
            self._write(ready)

    def _prepare(self, work: ClaimWork) -> bool:
        """
        :returns: whether the work still has a row to write.
        :raises PlatformError: when the row or the body could not be handled now.
        """
        if work.known is None and not self._look_up(work):
            return False
        if work.response is None or work.is_body_stored:
            return True
        if len(work.response.body) > INLINE_BODY_MAX_BYTES:
            key = object_key(work.claim_row_key, work.token)
            self._objects.put(key, work.response.body)
        work.is_body_stored = True
        return True

    def _look_up(self, work: ClaimWork) -> bool:
        row = self._tables.read(
            CLAIMS_TABLE, work.claim_row_key, purpose=StorePurpose.CLAIMS
        )
        if row is not None and row.value is not None:
            record = decode_claim(row.value)
            if record["token"] == work.token:
                work.known = ClaimVersion(record, row.version)
                return work.response is None or record["response"] is None
        self._recheck(work)
        return False

    def _write(self, works: list[ClaimWork]) -> None:
        checks, puts = _changes(works)
        try:
            self._tables.transact(checks, puts, purpose=StorePurpose.CLAIMS)
        except StoreConflictError:
            self._after_conflict(works)
        except StoreOutcomeUnknownError:
            for work in works:
                work.known = None
                self._retry(work)
        except PlatformError:
            for work in works:
                self._retry(work)
        except Exception:
            _give_up(works)
        else:
            for work in works:
                self._recheck(work)

    def _after_conflict(self, works: list[ClaimWork]) -> None:
        if len(works) == 1:
            works[0].known = None
            self._retry(works[0])
            return
        middle = len(works) // 2
        self._write(works[:middle])
        self._write(works[middle:])

    def _retry(self, work: ClaimWork) -> None:
        """Queues a work again, with exponential backoff and full jitter."""
        ceiling_s = min(RETRY_MAX_S, RETRY_FIRST_S * 2**work.failures_count)
        work.failures_count = min(work.failures_count + 1, 10)
        self.add(work, delay_s=self._random.uniform(RETRY_FIRST_S / 2, ceiling_s))

    def _recheck(self, work: ClaimWork) -> None:
        if not work.rechecks:
            return
        delay_s = work.rechecks[0]
        work.rechecks = work.rechecks[1:]
        work.known = None
        work.failures_count = 0
        work.is_recheck = True
        self.add(work, delay_s=delay_s)


def _give_up(works: Sequence[ClaimWork]) -> None:
    """Logs the error being handled, which must not end the writer's thread.

    The claims stay pending: a repeated request gets an unknown outcome and is never
    run again.
    """
    claims = [work.claim_row_key for work in works]
    _log.exception("claim_work_given_up", claims=claims)


def _changes(works: Sequence[ClaimWork]) -> tuple[list[Check], list[Put]]:
    checks: list[Check] = []
    puts: list[Put] = []
    for work in works:
        assert work.known is not None
        record = work.known.record
        checks.append(Check(CLAIMS_TABLE, work.claim_row_key, work.known.version))
        if work.response is None:
            puts.extend(claim_deletes(work.claim_row_key, record["day"]))
        else:
            puts.extend(_record_puts(work, record))
    return checks, puts


def _record_puts(work: ClaimWork, record: ClaimRecord) -> tuple[Put, Put]:
    assert work.response is not None
    body_key = None
    if len(work.response.body) > INLINE_BODY_MAX_BYTES:
        body_key = object_key(work.claim_row_key, work.token)
    stored = store_response(work.response, body_key)
    updated: ClaimRecord = {**record, "response": stored}
    return claim_puts(work.claim_row_key, updated)
