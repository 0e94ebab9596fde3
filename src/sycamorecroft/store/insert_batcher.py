"""Batches conditional inserts of many threads into few transactions.

Each insert keeps its own outcome: a batch that conflicts is halved until the
conflicting inserts stand alone, so they don't fail the others.
"""

import json
from collections import deque
from collections.abc import Callable, Sequence
from enum import StrEnum
from threading import Condition, Event, Thread
from typing import NamedTuple

import structlog

from sycamorecroft.clock import Clock
from sycamorecroft.errors import (
    PlatformError,
    StoreBudgetExceededError,
    StoreConflictError,
    StoreOutcomeUnknownError,
)
from sycamorecroft.store.interfaces import Check, Put, StorePurpose, TableService

_log = structlog.get_logger(__name__)


class InsertOutcome(StrEnum):
    """What is known of an insert; only ``UNKNOWN`` may still take effect."""

    COMMITTED = "committed"
    CONFLICT = "conflict"
    UNAVAILABLE = "unavailable"
    BUDGET = "budget"
    UNKNOWN = "unknown"
    EXPIRED = "expired"


class Insert(NamedTuple):
    """Rows to be written together if the row of the first put is absent.

    The value of the first put must be unique to the insert, since it is what tells
    this insert from another after a lost response. ``also_absent`` are checks of
    further rows.
    """

    puts: tuple[Put, ...]
    also_absent: tuple[Check, ...] = ()


class InsertResult(NamedTuple):
    """Outcome of an insert; ``version`` is the commit number if committed."""

    outcome: InsertOutcome
    version: int = 0


class BatchSettings(NamedTuple):
    """Limits of a batch.

    ``window_s`` is how long an insert waits for company. ``budget_wait_s`` is how
    long it waits, gathering more, while the store budget refuses the batch.
    """

    window_s: float = 0.005
    budget_wait_s: float = 0.25
    budget_retry_s: float = 0.01
    inserts_max_count: int = 64


class _Pending:
    """An insert on its way; ``result`` and ``abandoned`` are under the lock."""

    def __init__(self, insert: Insert, arrived_s: float, deadline_s: float) -> None:
        self.insert = insert
        self.arrived_s = arrived_s
        self.deadline_s = deadline_s
        self.result: InsertResult | None = None
        self.abandoned = False
        # One event for each insert: waking all waiting threads for each arrival and
        # each result costs time that grows with the square of their number.
        self.settled = Event()

    @property
    def row(self) -> tuple[str, str]:
        first = self.insert.puts[0]
        return first.table, first.key


class InsertBatcher:
    """Thread-safe; one worker thread sends the batches in order of arrival."""

    def __init__(
        self,
        tables: TableService,
        clock: Clock,
        *,
        purpose: StorePurpose,
        late_commit: Callable[[Insert], None],
        settings: BatchSettings = BatchSettings(),
    ) -> None:
        """
        :param late_commit: told of an insert that has or may have taken effect after
            its caller stopped waiting; must not block.
        """
        self._tables = tables
        self._clock = clock
        self._purpose = purpose
        self._late_commit = late_commit
        self._settings = settings
        self._changed = Condition()
        self._queue: deque[_Pending] = deque()
        self._is_open = False
        self._thread = Thread(target=self._run, name="insert-batcher", daemon=True)

    def start(self) -> None:
        """Starts the worker thread; called once."""
        self._is_open = True
        self._thread.start()

    def close(self) -> None:
        """Refuses new inserts; the thread sends the waiting ones and ends."""
        with self._changed:
            self._is_open = False
            self._changed.notify_all()

    def stop(self) -> None:
        """Closes and waits for the thread."""
        self.close()
        self._thread.join()

    def insert(self, insert: Insert, *, deadline_s: float) -> InsertResult:
        """Waits for the outcome of an insert, at most until the deadline.

        :param deadline_s: monotonic time of the clock.
        :returns: ``EXPIRED`` when the deadline passed first; an insert that takes
            effect after that is passed to ``late_commit``.
        """
        pending = _Pending(insert, self._clock.monotonic_s(), deadline_s)
        with self._changed:
            if not self._is_open:
                return InsertResult(InsertOutcome.UNAVAILABLE)
            self._queue.append(pending)
            self._changed.notify()
        pending.settled.wait(max(0.0, deadline_s - self._clock.monotonic_s()))
        with self._changed:
            if pending.result is None:
                pending.abandoned = True
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
        with self._changed:
            while not self._queue and self._is_open:
                self._changed.wait()
            if not self._queue:
                return None
            self._wait_for_batch()
            return self._take([])

    def _wait_for_batch(self) -> None:
        send_s = self._queue[0].arrived_s + self._settings.window_s
        while self._is_open and len(self._queue) < self._settings.inserts_max_count:
            remaining_s = send_s - self._clock.monotonic_s()
            if remaining_s <= 0:
                return
            self._changed.wait(remaining_s)

    def _take(self, batch: list[_Pending]) -> list[_Pending]:
        """Adds waiting inserts to a batch; two for one row never share a batch."""
        rows = {pending.row for pending in batch}
        kept: list[_Pending] = []
        while self._queue and len(batch) < self._settings.inserts_max_count:
            pending = self._queue.popleft()
            if pending.abandoned:
                continue
            if pending.row in rows:
                kept.append(pending)
                continue
            rows.add(pending.row)
            batch.append(pending)
        self._queue.extendleft(reversed(kept))
        return batch

    def _send_within_budget(self, batch: list[_Pending]) -> None:
        while True:
            try:
                self._send(batch)
                return
            except StoreBudgetExceededError:
                batch = self._after_budget_refusal(batch)
                if not batch:
                    return

    def _after_budget_refusal(self, batch: list[_Pending]) -> list[_Pending]:
        """Lets go of inserts that waited too long and gathers more for the rest."""
        oldest_s = self._clock.monotonic_s() - self._settings.budget_wait_s
        refused = [pending for pending in batch if pending.arrived_s <= oldest_s]
        self._settle(refused, InsertResult(InsertOutcome.BUDGET))
        with self._changed:
            self._changed.wait_for(lambda: False, self._settings.budget_retry_s)
            waiting = [
                pending
                for pending in batch
                if pending.result is None and not pending.abandoned
            ]
            return self._take(waiting)

    def _send(self, batch: Sequence[_Pending]) -> None:
        """
        :raises StoreBudgetExceededError: when nothing of the batch was sent.
        """
        try:
            version = self._transact(batch)
        except StoreConflictError:
            self._settle_conflict(batch)
        except StoreOutcomeUnknownError:
            self._settle(batch, self._read_back(batch[0]))
        except StoreBudgetExceededError:
            raise
        except PlatformError:
            self._settle(batch, InsertResult(InsertOutcome.UNAVAILABLE))
        except Exception:
            # The worker thread must outlive any error, or all later inserts would
            # expire. The error doesn't tell whether the transaction was sent.
            _log.exception("insert_batch_failed", purpose=self._purpose)
            self._settle(batch, InsertResult(InsertOutcome.UNKNOWN))
        else:
            self._settle(batch, InsertResult(InsertOutcome.COMMITTED, version))

    def _transact(self, batch: Sequence[_Pending]) -> int:
        checks = [Check(*pending.row, None) for pending in batch]
        for pending in batch:
            checks.extend(pending.insert.also_absent)
        puts = [put for pending in batch for put in pending.insert.puts]
        return self._tables.transact(checks, puts, purpose=self._purpose)

    def _settle_conflict(self, batch: Sequence[_Pending]) -> None:
        if len(batch) == 1:
            self._settle(batch, InsertResult(InsertOutcome.CONFLICT))
            return
        middle = len(batch) // 2
        for half in (batch[:middle], batch[middle:]):
            self._send_within_budget(list(half))

    def _read_back(self, pending: _Pending) -> InsertResult:
        """Resolves a lost response: one row tells of the whole transaction.

        An absent row proves nothing, since the write may still be on its way.
        """
        table, key = pending.row
        try:
            row = self._tables.read(table, key, purpose=self._purpose)
        except PlatformError:
            row = None
        own_value = pending.insert.puts[0].value
        if row is not None and _is_same_json(row.value, own_value):
            return InsertResult(InsertOutcome.COMMITTED, row.version)
        return InsertResult(InsertOutcome.UNKNOWN)

    def _settle(self, batch: Sequence[_Pending], result: InsertResult) -> None:
        late: list[_Pending] = []
        with self._changed:
            for pending in batch:
                pending.result = result
                pending.settled.set()
                if pending.abandoned:
                    late.append(pending)
        if result.outcome in (InsertOutcome.COMMITTED, InsertOutcome.UNKNOWN):
            for pending in late:
                self._late_commit(pending.insert)


def _is_same_json(left: bytes | None, right: bytes | None) -> bool:
    if left is None or right is None:
        return False
    return left == right or json.loads(left) == json.loads(right)
