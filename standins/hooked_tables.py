"""Table service that calls a test at an exact write."""

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
    """Numbers writes from 1 and calls hooks around each.

    :param before: called with the number before the write takes effect.
    :param after: called with the number after the write took effect; what it raises
        reaches the caller, as a lost response or a crash does.
    :param purpose: writes for other purposes aren't numbered, ``None`` for all.
    """

    def __init__(
        self,
        tables: TableService,
        *,
        before: WriteHook = lambda number: None,
        after: WriteHook = lambda number: None,
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
        number = self._writes_count
        self._before(number)
        version = self._tables.transact(checks, puts, purpose=purpose)
        self._after(number)
        return version
