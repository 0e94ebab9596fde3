"""Rows of quotas as an owner has read them."""

from collections.abc import Mapping
from typing import NamedTuple

import structlog

from sycamorecroft.errors import RecordError
from sycamorecroft.quotas.rows import QuotaEntry, QuotaRow
from sycamorecroft.scheduling.rows import decode_row
from sycamorecroft.store.interfaces import Row

_log = structlog.get_logger(__name__)


class KnownRow(NamedTuple):
    """A row as last read; ``row`` is ``None`` if it is absent or malformed."""

    version: int
    row: QuotaRow | None
    is_malformed: bool = False

    @property
    def entries(self) -> Mapping[str, QuotaEntry]:
        """Entries by service, none if there is no valid row."""
        return {} if self.row is None else self.row.entries

    def copy(self) -> "KnownRow":
        """
        :returns: a copy that shares no entries.
        """
        if self.row is None:
            return self
        return self._replace(row=self.row._replace(entries=self.row.entries.copy()))


ABSENT = KnownRow(0, None)


def read_row(row: Row) -> KnownRow:
    """
    :returns: the row; a malformed one is logged.
    """
    if row.value is None:
        return KnownRow(row.version, None)
    try:
        return KnownRow(row.version, decode_row(row.value, QuotaRow))
    except RecordError as error:
        _log.error("row_malformed", table=row.table, key=row.key, error=str(error))
        return KnownRow(row.version, None, True)
