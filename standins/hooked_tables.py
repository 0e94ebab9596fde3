"""Table service that calls hooks around writes, to inject faults at a given write."""

from collections.abc import Callable, Sequence

from sycamorecroft.store.interfaces import (
    Check,
    Put,
    Row,
    Scan,
    StorePurpose,
    TableService,
)

WriteHook = Callable[[int], None]


class HookedTables(TableService):
    """Table service that numbers writes from 1 and calls hooks around each.

    :param before: called with the write's number before it takes effect.
    :param after: called with the write's number after it took effect; an exception
        propagates to the caller, which simulates a lost response or a crash.
    :param purpose: purpose of the writes that are numbered, ``None`` for all writes.
    """

    def __init__(
        self,
        tables: TableService,
        *,
        before: WriteHook = lambda write_number: None,
        after: WriteHook = lambda write_number: None,
        purpose: StorePurpose | None = None,
    ) -> None:
        self._tables = tables
        self._before = before
        self._after = after
        self._purpose = purpose
        self._writes_count = 0

    def read(self, table: str, key: str, *, purpose: StorePurpose) -> Row | None:
        return self._tables.read(table, key, purpose=purpose)

    def scan(
        self,
        table: str,
        *,
        purpose: StorePurpose,
        prefix: str = "",
        after_version: int = 0,
    ) -> Scan:
        return self._tables.scan(
            table, purpose=purpose, prefix=prefix, after_version=after_version
        )

    def transact(
        self, checks: Sequence[Check], puts: Sequence[Put], *, purpose: StorePurpose
    ) -> int:
        if self._purpose not in (None, purpose):
            return self._tables.transact(checks, puts, purpose=purpose)
        self._writes_count += 1
        write_number = self._writes_count
        self._before(write_number)
        version = self._tables.transact(checks, puts, purpose=purpose)
        self._after(write_number)
        return version
