"""Local copy of a table, updated by scans of changed rows."""

from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Generic, TypeVar

from sycamorecroft.store.interfaces import Row, StorePurpose, TableService

_Value = TypeVar("_Value")


class TableMirror(Generic[_Value]):
    """Decoded rows of one table as of a commit number that never decreases.

    Only changed rows are read and decoded.

    :param decode: decodes an existing row; returns ``None`` to omit the row. When it
        raises, the copy stays unchanged.
    :param purpose: store budget that the scans are charged to.
    """

    def __init__(
        self,
        table: TableService,
        name: str,
        decode: Callable[[Row], _Value | None],
        *,
        purpose: StorePurpose,
    ) -> None:
        self._table = table
        self._name = name
        self._decode = decode
        self._purpose = purpose
        self._values: dict[str, _Value] = {}
        self._version = 0

    @property
    def values(self) -> Mapping[str, _Value]:
        """Decoded rows by key; immutable, replaced by :meth:`refresh`."""
        return MappingProxyType(self._values)

    def refresh(self) -> None:
        """Reads the rows that were written or deleted since the last refresh.

        :raises StoreUnavailableError: when the store could not be read.
        """
        scan = self._table.scan(
            self._name, purpose=self._purpose, after_version=self._version
        )
        if scan.version < self._version:
            return
        if scan.rows:
            self._values = self._apply(scan.rows)
        self._version = scan.version

    def _apply(self, rows: tuple[Row, ...]) -> dict[str, _Value]:
        values = dict(self._values)
        for row in rows:
            values.pop(row.key, None)
            value = None if row.value is None else self._decode(row)
            if value is not None:
                values[row.key] = value
        return values
