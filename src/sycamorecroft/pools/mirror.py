"""Local copy of a table, kept up to date by scans of changed rows."""

from collections.abc import Mapping
from types import MappingProxyType

from sycamorecroft.platform.interfaces import Row, StorePurpose, TableService


class TableMirror:
    """Rows of one table as of a commit number that never falls.

    :param purpose: store budget that the scans use.
    """

    def __init__(
        self, table: TableService, name: str, *, purpose: StorePurpose
    ) -> None:
        self._table = table
        self._name = name
        self._purpose = purpose
        self._rows: dict[str, Row] = {}
        self._version = 0

    @property
    def version(self) -> int:
        """Commit number that the copy reflects."""
        return self._version

    @property
    def rows(self) -> Mapping[str, Row]:
        """Live rows by key; changes with :meth:`refresh`."""
        return MappingProxyType(self._rows)

    def refresh(self) -> tuple[Row, ...]:
        """
        :returns: rows that were written or deleted since the last refresh.
        :raises StoreUnavailableError: when no answer was had in time.
        """
        scan = self._table.scan(
            self._name, purpose=self._purpose, after_version=self._version
        )
        if scan.version < self._version:
            return ()
        changed = tuple(row for row in scan.rows if self._is_news(row))
        for row in changed:
            if row.value is None:
                self._rows.pop(row.key, None)
            else:
                self._rows[row.key] = row
        self._version = scan.version
        return changed

    def _is_news(self, row: Row) -> bool:
        known = self._rows.get(row.key)
        return known is None or known.version < row.version
