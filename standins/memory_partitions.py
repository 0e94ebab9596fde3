"""Partitioned table service in memory, with a change feed and fault injection."""

import threading
from collections.abc import Sequence

from sycamorecroft.errors import (
    PlatformError,
    StoreConflictError,
    StoreHistoryLostError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from sycamorecroft.store.interfaces import (
    Check,
    PartitionedTableService,
    Put,
    Row,
    Scan,
    StorePurpose,
)

ENTRIES_LIMIT_COUNT = 100
ROW_LIMIT_BYTES = 65_536
TRANSACTION_LIMIT_BYTES = 1_000_000
# Values are sent as base64.
BASE64_RATIO = 4 / 3


class MemoryPartitions(PartitionedTableService):
    """Partitioned table service in memory. Thread-safe.

    :ivar faulty_table: table whose transactions are subject to the two faults below.
    :ivar is_unavailable: whether each call fails without effect.
    :ivar lost_responses_count: number of next transactions that take effect and whose
        responses are lost.
    :ivar delayed_count: number of next transactions that fail with an unknown outcome
        and are applied only by :meth:`apply_delayed`.
    :ivar transactions_count: number of transactions applied so far.
    """

    def __init__(self) -> None:
        self._lock = threading.Condition()
        self._rows: dict[tuple[str, str, str], Row] = {}
        self._changes: list[Row] = []
        self._delayed_transactions: list[tuple[tuple[Check, ...], tuple[Put, ...]]] = []
        self._discarded_version = 0
        self.version = 0
        self.store_time_ms = 1000
        self.faulty_table = "commits"
        self.is_unavailable = False
        self.lost_responses_count = 0
        self.delayed_count = 0
        self.transactions_count = 0

    def read(self, table: str, key: str, *, purpose: StorePurpose) -> Row | None:
        with self._lock:
            self._require_available()
            return self.row(table, key)

    def row(self, table: str, key: str, part: str = "") -> Row | None:
        """
        :returns: a row, regardless of faults; ``None`` if it does not exist.
        """
        return self._rows.get((table, part, key))

    def scan(
        self,
        table: str,
        *,
        purpose: StorePurpose,
        prefix: str = "",
        after_version: int = 0,
    ) -> Scan:
        return self.scan_part(table, "", purpose=purpose, first_key=prefix)

    def scan_part(
        self,
        table: str,
        part: str,
        *,
        purpose: StorePurpose,
        first_key: str = "",
        end_key: str = "",
    ) -> Scan:
        with self._lock:
            self._require_available()
            rows = sorted(
                (
                    row
                    for row in self._rows.values()
                    if (row.table, row.part) == (table, part)
                    and row.key >= first_key
                    and (not end_key or row.key < end_key)
                ),
                key=lambda row: row.key,
            )
            return Scan(tuple(rows), self.version, self.store_time_ms)

    def parts(self, table: str) -> tuple[str, ...]:
        with self._lock:
            self._require_available()
            found = {row.part for row in self._rows.values() if row.table == table}
            return tuple(sorted(found))

    def changes(self, table: str, *, after_version: int, wait_s: float) -> Scan:
        with self._lock:
            self._require_available()
            self._require_history(after_version)
            self._lock.wait_for(
                lambda: self._changes_after(table, after_version), timeout=wait_s
            )
            self._require_history(after_version)
            rows = self._changes_after(table, after_version)
            return Scan(rows, self.version, self.store_time_ms)

    def _require_history(self, after_version: int) -> None:
        if after_version < self._discarded_version:
            raise StoreHistoryLostError(
                f"changes after version {after_version} are discarded; rescan the table"
            )

    def _changes_after(self, table: str, after_version: int) -> tuple[Row, ...]:
        return tuple(
            row
            for row in self._changes
            if row.table == table and row.version > after_version
        )

    def transact(
        self, checks: Sequence[Check], puts: Sequence[Put], *, purpose: StorePurpose
    ) -> int:
        with self._lock:
            self._require_available()
            is_faulty_table = any(put.table == self.faulty_table for put in puts)
            if is_faulty_table and self.delayed_count:
                self.delayed_count -= 1
                self._delayed_transactions.append((tuple(checks), tuple(puts)))
                raise StoreOutcomeUnknownError(
                    "the transaction was delayed by the stand-in"
                )
            version = self._apply(checks, puts)
            if is_faulty_table and self.lost_responses_count:
                self.lost_responses_count -= 1
                raise StoreOutcomeUnknownError(
                    "the response of the transaction was lost by the stand-in"
                )
            return version

    def remove(self, table: str, key: str) -> None:
        """Removes a row, regardless of faults."""
        with self._lock:
            if (table, "", key) in self._rows:
                self._apply((), (Put(table, key, None),))

    def apply_delayed(self) -> int:
        """Applies the delayed transactions whose checks hold.

        :returns: number of transactions that took effect.
        """
        with self._lock:
            transactions, self._delayed_transactions = (
                self._delayed_transactions,
                [],
            )
            applied_count = 0
            for checks, puts in transactions:
                try:
                    self._apply(checks, puts)
                except StoreConflictError:
                    continue
                applied_count += 1
            return applied_count

    def discard_history(self) -> None:
        """Discards all changes, so that watchers must read their tables again."""
        with self._lock:
            self._changes.clear()
            self._discarded_version = self.version

    def _require_available(self) -> None:
        if self.is_unavailable:
            raise StoreUnavailableError(
                "the store is unavailable because of an injected fault"
            )

    def _require_limits(self, checks: Sequence[Check], puts: Sequence[Put]) -> None:
        entries_count = len(checks) + len(puts)
        if entries_count > ENTRIES_LIMIT_COUNT:
            raise PlatformError(
                f"a transaction has at most {ENTRIES_LIMIT_COUNT} entries, got "
                f"{entries_count}"
            )
        sizes_bytes = [len(put.value or b"") for put in puts]
        if max(sizes_bytes, default=0) > ROW_LIMIT_BYTES:
            raise PlatformError(
                f"a row has at most {ROW_LIMIT_BYTES} bytes, got {max(sizes_bytes)}"
            )
        if sum(sizes_bytes) * BASE64_RATIO > TRANSACTION_LIMIT_BYTES:
            raise PlatformError(
                f"a transaction has at most {TRANSACTION_LIMIT_BYTES} bytes, got "
                f"{sum(sizes_bytes)} before their encoding"
            )

    def _apply(self, checks: Sequence[Check], puts: Sequence[Put]) -> int:
        self._require_limits(checks, puts)
        parts = {row.part for row in (*checks, *puts)}
        if len(parts) > 1:
            raise ValueError(
                f"a transaction must be within one part, got {sorted(parts)}"
            )
        current = [self._rows.get((c.table, c.part, c.key)) for c in checks]
        for check, row in zip(checks, current, strict=True):
            if (row.version if row else None) != check.version:
                rows = tuple(found for found in current if found is not None)
                raise StoreConflictError("a check of the transaction failed", rows)
        self.version += 1
        self.transactions_count += 1
        for put in puts:
            row = Row(put.table, put.key, put.value, self.version, put.part)
            name = (put.table, put.part, put.key)
            if put.value is None:
                self._rows.pop(name, None)
            else:
                self._rows[name] = row
            self._changes.append(row)
        self._lock.notify_all()
        return self.version
