"""Stand-in of the platform's table service in memory."""

import json
import threading
from collections import Counter
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from standins.faults import FaultInjector, Operation
from sycamorecroft.errors import PlatformError, StoreConflictError
from sycamorecroft.store.interfaces import (
    Check,
    Put,
    Row,
    Scan,
    StorePurpose,
    TableService,
)


class CallKey(NamedTuple):
    """Purpose and operation by which calls are counted."""

    purpose: StorePurpose
    operation: Operation


class _TableState:
    """Rows by table and key. A deleted row is kept as a row without a value."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.version = 0
        self.rows: dict[str, dict[str, Row]] = {}
        self.calls: Counter[CallKey] = Counter()

    def live_row(self, table: str, key: str) -> Row | None:
        row = self.rows.get(table, {}).get(key)
        return None if row is None or row.value is None else row

    def scan(self, table: str, prefix: str, after_version: int) -> Scan:
        rows = tuple(
            row
            for key, row in sorted(self.rows.get(table, {}).items())
            if key.startswith(prefix)
            and row.version > after_version
            and (row.value is not None or after_version > 0)
        )
        return Scan(rows, self.version)

    def transact(self, checks: Sequence[Check], puts: Sequence[Put]) -> int:
        for check in checks:
            self._require(check)
        self.version += 1
        for put in puts:
            row = Row(put.table, put.key, put.value, self.version)
            self.rows.setdefault(put.table, {})[put.key] = row
        return self.version

    def _require(self, check: Check) -> None:
        row = self.live_row(check.table, check.key)
        version = None if row is None else row.version
        if version != check.version:
            message = (
                f"row {check.table}/{check.key} has version {version}, "
                f"the transaction requires {check.version}"
            )
            raise StoreConflictError(message)


class MemoryTables(TableService):
    """Transactional table service in memory. Thread-safe.

    :param faults: faults applied to each call of this handle.
    """

    def __init__(self, faults: FaultInjector | None = None) -> None:
        self.faults = faults or FaultInjector()
        self._state = _TableState()

    def connect(self, faults: FaultInjector | None = None) -> "MemoryTables":
        """
        :returns: another handle to the same rows with faults of its own, for tests in
            which only one process loses contact with the store.
        """
        handle = MemoryTables(faults)
        handle._state = self._state
        return handle

    def call_counts(self) -> Mapping[CallKey, int]:
        """
        :returns: number of calls received through all handles, including failed ones.
        """
        with self._state.lock:
            return dict(self._state.calls)

    def read(self, table: str, key: str, *, purpose: StorePurpose) -> Row | None:
        def action() -> Row | None:
            with self._state.lock:
                return self._state.live_row(table, key)

        self._count_call(purpose, Operation.READ)
        return self.faults.call(Operation.READ, action)

    def scan(
        self,
        table: str,
        *,
        purpose: StorePurpose,
        prefix: str = "",
        after_version: int = 0,
    ) -> Scan:
        def action() -> Scan:
            with self._state.lock:
                return self._state.scan(table, prefix, after_version)

        self._count_call(purpose, Operation.READ)
        return self.faults.call(Operation.READ, action)

    def transact(
        self, checks: Sequence[Check], puts: Sequence[Put], *, purpose: StorePurpose
    ) -> int:
        def action() -> int:
            with self._state.lock:
                return self._state.transact(checks, puts)

        _require_valid(puts)
        self._count_call(purpose, Operation.WRITE)
        return self.faults.call(Operation.WRITE, action)

    def _count_call(self, purpose: StorePurpose, operation: Operation) -> None:
        with self._state.lock:
            self._state.calls[CallKey(purpose, operation)] += 1


def _require_valid(puts: Sequence[Put]) -> None:
    counts = Counter((put.table, put.key) for put in puts)
    for (table, key), count in counts.items():
        if count > 1:
            message = (
                f"a transaction may write row {table}/{key} once, got {count} writes"
            )
            raise PlatformError(message)
    for put in puts:
        if put.value is not None:
            _require_json(put)


def _require_json(put: Put) -> None:
    try:
        json.loads(put.value)
    except ValueError as error:
        message = f"value of row {put.table}/{put.key} must be JSON text: {error}"
        raise PlatformError(message) from error
