"""Partitioned table service in memory, with a feed of changes and scripted faults."""

import threading
from collections.abc import Sequence

from sycamorecroft.errors import (
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


class MemoryPartitions(PartitionedTableService):
    """Rows in memory. Thread-safe.

    :ivar faulty_table: table whose transactions the scripted faults hit.
    :ivar is_dark: whether each call fails without effect.
    :ivar lost_answers_count: next transactions that take effect without an answer.
    :ivar delayed_count: next transactions that are held back without an answer until
        :meth:`apply_delayed`.
    """

    def __init__(self) -> None:
        self._lock = threading.Condition()
        self._rows: dict[tuple[str, str, str], Row] = {}
        self._changes: list[Row] = []
        self._delayed: list[tuple[tuple[Check, ...], tuple[Put, ...]]] = []
        self._forgotten_version = 0
        self.version = 0
        self.store_time_ms = 1000
        self.faulty_table = "commits"
        self.is_dark = False
        self.lost_answers_count = 0
        self.delayed_count = 0
        self.transactions_count = 0

    def read(self, table: str, key: str, *, purpose: StorePurpose) -> Row | None:
        return self.row(table, key)

    def row(self, table: str, key: str, part: str = "") -> Row | None:
        """
        :returns: a row, even while the store is dark.
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
            self._check_reachable()
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
            self._check_reachable()
            found = {row.part for row in self._rows.values() if row.table == table}
            return tuple(sorted(found))

    def changes(self, table: str, *, after_version: int, wait_s: float) -> Scan:
        with self._lock:
            self._check_reachable()
            self._check_history(after_version)
            self._lock.wait_for(
                lambda: self._changed(table, after_version), timeout=wait_s
            )
            self._check_history(after_version)
            rows = self._changed(table, after_version)
            return Scan(rows, self.version, self.store_time_ms)

    def _check_history(self, after_version: int) -> None:
        if after_version < self._forgotten_version:
            raise StoreHistoryLostError(f"changes after {after_version} are gone")

    def _changed(self, table: str, after_version: int) -> tuple[Row, ...]:
        return tuple(
            row
            for row in self._changes
            if row.table == table and row.version > after_version
        )

    def transact(
        self, checks: Sequence[Check], puts: Sequence[Put], *, purpose: StorePurpose
    ) -> int:
        with self._lock:
            self._check_reachable()
            is_faulty = any(put.table == self.faulty_table for put in puts)
            if is_faulty and self.delayed_count:
                self.delayed_count -= 1
                self._delayed.append((tuple(checks), tuple(puts)))
                raise StoreOutcomeUnknownError("no answer")
            version = self._apply(checks, puts)
            if is_faulty and self.lost_answers_count:
                self.lost_answers_count -= 1
                raise StoreOutcomeUnknownError("no answer")
            return version

    def apply_delayed(self) -> int:
        """Carries out transactions that were held back, if their conditions hold.

        :returns: how many took effect.
        """
        with self._lock:
            delayed, self._delayed = self._delayed, []
            applied_count = 0
            for checks, puts in delayed:
                try:
                    self._apply(checks, puts)
                except StoreConflictError:
                    continue
                applied_count += 1
            return applied_count

    def forget_history(self) -> None:
        """Drops all changes; followers must read the tables again."""
        with self._lock:
            self._changes.clear()
            self._forgotten_version = self.version

    def _check_reachable(self) -> None:
        if self.is_dark:
            raise StoreUnavailableError("the store is dark")

    def _apply(self, checks: Sequence[Check], puts: Sequence[Put]) -> int:
        parts = {row.part for row in (*checks, *puts)}
        if len(parts) > 1:
            raise ValueError(f"a transaction has one part, got {sorted(parts)}")
        current = [self._rows.get((c.table, c.part, c.key)) for c in checks]
        for check, row in zip(checks, current, strict=True):
            if (row.version if row else None) != check.version:
                rows = tuple(found for found in current if found is not None)
                raise StoreConflictError("a condition failed", rows)
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
