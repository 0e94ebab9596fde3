"""Batches conditional inserts of many threads into few transactions.

Each insert has its own outcome: a batch that conflicts is split in halves until the
conflicting inserts are isolated, so they don't fail the others.
"""

from collections import deque
from collections.abc import Callable, Iterable, Sequence
from enum import StrEnum
from math import inf
from threading import Condition, Event, Thread
from typing import NamedTuple

import msgspec
import structlog

from sycamorecroft.clock import Clock
from sycamorecroft.errors import (
    PlatformError,
    StoreBudgetExceededError,
    StoreConflictError,
    StoreOutcomeUnknownError,
)
from sycamorecroft.json_errors import JSON_ERRORS
from sycamorecroft.store.interfaces import (
    Check,
    Put,
    Row,
    StorePurpose,
    TableService,
)

_log = structlog.get_logger(__name__)


class InsertOutcome(StrEnum):
    """Outcome of an insert; one that is ``UNKNOWN`` may still take effect.

    ``EXPIRED``: the deadline passed before the outcome was known.
    """

    COMMITTED = "committed"
    CONFLICT = "conflict"
    UNAVAILABLE = "unavailable"
    BUDGET_EXCEEDED = "budget"
    UNKNOWN = "unknown"
    EXPIRED = "expired"


class Insert(NamedTuple):
    """Rows to write together if the row of the first put is absent.

    The row of the first put shows whether the insert has taken effect when a response
    was lost, so that no other insert may write the same value to it.
    ``additional_checks`` are checks of further rows.
    """

    puts: tuple[Put, ...]
    additional_checks: tuple[Check, ...] = ()


class InsertResult(NamedTuple):
    """Outcome of an insert; ``version`` is the commit number, 0 if not committed.

    ``found`` is the row that another writer has stored in place of the first put, as
    far as the conflict names it.
    """

    outcome: InsertOutcome
    version: int = 0
    found: Row | None = None


class BatchSettings(NamedTuple):
    """Limits of a batch.

    ``window_s`` is how long an insert waits for others to join its batch.
    ``budget_wait_s`` is how long it waits while the batch exceeds the store budget;
    the batch is retried, with further inserts added, every ``budget_retry_s``.
    ``size_limit_bytes`` limits the values in a batch with more than one insert.
    """

    window_s: float = 0.005
    budget_wait_s: float = 0.25
    budget_retry_s: float = 0.01
    inserts_max_count: int = 64
    size_limit_bytes: int = 500_000


class _Pending:
    """A queued or sent insert; the lock guards ``result`` and ``is_abandoned``.

    ``is_abandoned``: its caller has stopped waiting.
    """

    def __init__(
        self,
        insert: Insert,
        enqueued_s: float,
        deadline_s: float,
        send_until_s: float,
    ) -> None:
        self.insert = insert
        self.enqueued_s = enqueued_s
        self.deadline_s = deadline_s
        self.send_until_s = send_until_s
        self.result: InsertResult | None = None
        self.is_abandoned = False
        # Each insert has its own event: waking all waiting threads on each arrival and
        # each result takes time quadratic in the number of threads.
        self.resolved = Event()

    @property
    def size_bytes(self) -> int:
        return sum(len(put.value or b"") for put in self.insert.puts)

    @property
    def row(self) -> tuple[str, str]:
        first = self.insert.puts[0]
        return first.table, first.key

    @property
    def rows(self) -> frozenset[tuple[str, str]]:
        """All rows that the insert writes."""
        return frozenset((put.table, put.key) for put in self.insert.puts)


class InsertBatcher:
    """Sends inserts in batches from one worker thread, in order of arrival.

    Thread-safe.
    """

    def __init__(
        self,
        tables: TableService,
        clock: Clock,
        *,
        purpose: StorePurpose,
        on_late_commit: Callable[[Insert], None],
        settings: BatchSettings = BatchSettings(),
    ) -> None:
        """
        :param on_late_commit: called with an insert that has or may have taken effect
            after its caller stopped waiting; must not block.
        """
        self._tables = tables
        self._clock = clock
        self._purpose = purpose
        self._on_late_commit = on_late_commit
        self._settings = settings
        self._queue_changed = Condition()
        self._queue: deque[_Pending] = deque()
        self._is_open = False
        self._thread = Thread(target=self._run, name="insert-batcher", daemon=True)

    def start(self) -> None:
        """Starts the worker thread; must be called once."""
        self._is_open = True
        self._thread.start()

    def close(self) -> None:
        """Rejects new inserts; the worker thread sends the queued ones and ends."""
        with self._queue_changed:
            self._is_open = False
            self._queue_changed.notify_all()

    def stop(self) -> None:
        """Closes the batcher and waits until the worker thread has ended."""
        self.close()
        self._thread.join()

    def insert(
        self, insert: Insert, *, deadline_s: float, send_until_s: float = inf
    ) -> InsertResult:
        """Queues an insert and waits for its outcome, at most until the deadline.

        :param deadline_s: monotonic time in seconds.
        :param send_until_s: monotonic time in seconds after which the insert may not be
            sent. One that waits for longer is ``UNAVAILABLE``.
        :returns: the outcome; ``EXPIRED`` when the deadline passed first. An insert
            that takes effect after that is passed to ``on_late_commit``.
        """
        now_s = self._clock.monotonic_s()
        pending = _Pending(insert, now_s, deadline_s, send_until_s)
        with self._queue_changed:
            if not self._is_open:
                return InsertResult(InsertOutcome.UNAVAILABLE)
            self._queue.append(pending)
            self._queue_changed.notify()
        pending.resolved.wait(max(0.0, deadline_s - self._clock.monotonic_s()))
        with self._queue_changed:
            if pending.result is None:
                pending.is_abandoned = True
                return InsertResult(InsertOutcome.EXPIRED)
            return pending.result

    def _run(self) -> None:
        while True:
            batch = self._next_batch()
            if batch is None:
                return
            if batch:
                self._send_within_budget(batch)

    def _next_batch(self) -> list[_Pending] | None:
        with self._queue_changed:
            while not self._queue and self._is_open:
                self._queue_changed.wait()
            if not self._queue:
                return None
            self._wait_for_batch()
            return self._fill_batch([])

    def _wait_for_batch(self) -> None:
        window_end_s = self._queue[0].enqueued_s + self._settings.window_s
        while self._is_open and len(self._queue) < self._settings.inserts_max_count:
            remaining_s = window_end_s - self._clock.monotonic_s()
            if remaining_s <= 0:
                return
            self._queue_changed.wait(remaining_s)

    def _fill_batch(self, batch: list[_Pending]) -> list[_Pending]:
        """Adds queued inserts to a batch, in which no two write the same row."""
        rows = {row for pending in batch for row in pending.rows}
        size_bytes = sum(pending.size_bytes for pending in batch)
        deferred: list[_Pending] = []
        while self._queue and len(batch) < self._settings.inserts_max_count:
            pending = self._queue.popleft()
            if pending.is_abandoned:
                continue
            size_bytes += pending.size_bytes
            if batch and size_bytes > self._settings.size_limit_bytes:
                deferred.append(pending)
                break
            if not rows.isdisjoint(pending.rows):
                deferred.append(pending)
                continue
            rows |= pending.rows
            batch.append(pending)
        self._queue.extendleft(reversed(deferred))
        return batch

    def _send_within_budget(self, batch: list[_Pending]) -> None:
        while batch := self._withhold_outdated(batch):
            try:
                self._send(batch)
                return
            except StoreBudgetExceededError:
                batch = self._prepare_retry(batch)

    def _withhold_outdated(self, batch: list[_Pending]) -> list[_Pending]:
        """Fails inserts that may not be sent any more.

        :returns: the others.
        """
        now_s = self._clock.monotonic_s()
        outdated = [pending for pending in batch if pending.send_until_s < now_s]
        self._resolve(outdated, InsertResult(InsertOutcome.UNAVAILABLE))
        return [pending for pending in batch if pending.result is None]

    def _prepare_retry(self, batch: list[_Pending]) -> list[_Pending]:
        """Fails inserts that have waited too long and adds queued ones to the rest."""
        cutoff_s = self._clock.monotonic_s() - self._settings.budget_wait_s
        timed_out = [pending for pending in batch if pending.enqueued_s <= cutoff_s]
        self._resolve(timed_out, InsertResult(InsertOutcome.BUDGET_EXCEEDED))
        with self._queue_changed:
            self._queue_changed.wait_for(lambda: False, self._settings.budget_retry_s)
            remaining = [
                pending
                for pending in batch
                if pending.result is None and not pending.is_abandoned
            ]
            return self._fill_batch(remaining)

    def _send(self, batch: Sequence[_Pending]) -> None:
        """
        :raises StoreBudgetExceededError: when the batch was not sent.
        """
        try:
            self._send_once(batch)
        except StoreBudgetExceededError:
            raise
        except Exception:
            # An error must not end the worker thread, or all later inserts would
            # expire. It is not known whether the transaction was sent.
            _log.exception("insert_batch_failed", purpose=self._purpose)
            unresolved = [pending for pending in batch if pending.result is None]
            self._resolve(unresolved, InsertResult(InsertOutcome.UNKNOWN))

    def _send_once(self, batch: Sequence[_Pending]) -> None:
        """
        :raises StoreBudgetExceededError: when the batch was not sent.
        """
        try:
            version = self._transact(batch)
        except StoreConflictError as error:
            self._resolve_conflict(batch, error)
        except StoreOutcomeUnknownError:
            self._read_back(batch)
        except StoreBudgetExceededError:
            raise
        except PlatformError:
            self._resolve(batch, InsertResult(InsertOutcome.UNAVAILABLE))
        else:
            self._resolve(batch, InsertResult(InsertOutcome.COMMITTED, version))

    def _transact(self, batch: Sequence[_Pending]) -> int:
        checks = [Check(*pending.row, None) for pending in batch]
        for pending in batch:
            checks.extend(pending.insert.additional_checks)
        puts = [put for pending in batch for put in pending.insert.puts]
        return self._tables.transact(checks, puts, purpose=self._purpose)

    def _resolve_conflict(
        self, batch: Sequence[_Pending], error: StoreConflictError
    ) -> None:
        if len(batch) == 1:
            found = _find_row(error.rows, batch[0])
            self._resolve(batch, InsertResult(InsertOutcome.CONFLICT, found=found))
            return
        midpoint = len(batch) // 2
        for half in (batch[:midpoint], batch[midpoint:]):
            self._send_within_budget(list(half))

    def _read_back(self, batch: Sequence[_Pending]) -> None:
        """Resolves a lost response by reading the row of each insert back.

        The row of one insert proves nothing about the others: its caller may have
        repeated it, so that an earlier transaction may have written the row. A row that
        is absent shows that the batch hasn't taken effect, but it may still be in
        flight.
        """
        for index, pending in enumerate(batch):
            result = self._read_result(pending)
            if result is None:
                self._resolve(batch[index:], InsertResult(InsertOutcome.UNKNOWN))
                return
            self._resolve((pending,), result)

    def _read_result(self, pending: _Pending) -> InsertResult | None:
        """Returns the outcome that an insert's row shows, ``None`` if it shows none."""
        table, key = pending.row
        try:
            row = self._tables.read(table, key, purpose=self._purpose)
        except PlatformError as error:
            _log.debug("insert_read_back_failed", key=key, error=str(error))
            return None
        if row is None or row.value is None:
            return None
        if _is_same_json(row.value, pending.insert.puts[0].value):
            return InsertResult(InsertOutcome.COMMITTED, row.version)
        return InsertResult(InsertOutcome.UNKNOWN)

    def _resolve(self, batch: Sequence[_Pending], result: InsertResult) -> None:
        abandoned: list[_Pending] = []
        with self._queue_changed:
            for pending in batch:
                pending.result = result
                pending.resolved.set()
                if pending.is_abandoned:
                    abandoned.append(pending)
        if result.outcome in (InsertOutcome.COMMITTED, InsertOutcome.UNKNOWN):
            for pending in abandoned:
                self._on_late_commit(pending.insert)


def _find_row(rows: Iterable[Row], pending: _Pending) -> Row | None:
    for row in rows:
        if (row.table, row.key) == pending.row:
            return row
    return None


def _is_same_json(left: bytes | None, right: bytes | None) -> bool:
    """
    :returns: whether both are the same JSON value; a text that can't be decoded equals
        only itself.
    """
    if left is None or right is None:
        return False
    if left == right:
        return True
    try:
        return msgspec.json.decode(left) == msgspec.json.decode(right)
    except JSON_ERRORS as error:
        _log.error("insert_row_malformed", error=str(error))
        return False
