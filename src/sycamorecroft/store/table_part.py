"""Access to one part, or to all parts, of the tables of a partitioned table service."""

from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from itertools import chain

from sycamorecroft.store.interfaces import (
    Check,
    PartitionedTableService,
    Put,
    Row,
    Scan,
    StorePurpose,
    TableService,
)

PARALLEL_READS_COUNT = 16


def read_all_parts(
    tables: PartitionedTableService, table: str, *, purpose: StorePurpose
) -> Scan:
    """
    :returns: rows of all parts of a table; changes after the scan's version may be
        missing from them.
    :raises StoreUnavailableError: when no response arrived within the timeout.
    """
    unpartitioned_scan = tables.scan_part(table, "", purpose=purpose)
    parts = [part for part in tables.parts(table) if part]

    def read(part: str) -> tuple[Row, ...]:
        return tables.scan_part(table, part, purpose=purpose).rows

    # The latency of a slow store does not grow with the number of parallel reads.
    with ThreadPoolExecutor(PARALLEL_READS_COUNT) as pool:
        scanned_rows = tuple(pool.map(read, parts))
    return unpartitioned_scan._replace(
        rows=unpartitioned_scan.rows + tuple(chain.from_iterable(scanned_rows))
    )


class TablePart(TableService):
    """Table service that reads and writes one part of each table.

    :param part: name of the part.
    """

    def __init__(self, tables: PartitionedTableService, part: str) -> None:
        self._tables = tables
        self._part = part

    def read(self, table: str, key: str, *, purpose: StorePurpose) -> Row | None:
        # A space sorts before all other printable characters, so this range holds only
        # the row with this key.
        scan = self._tables.scan_part(
            table, self._part, purpose=purpose, first_key=key, end_key=key + " "
        )
        return scan.rows[0] if scan.rows else None

    def scan(
        self,
        table: str,
        *,
        purpose: StorePurpose,
        prefix: str = "",
        after_version: int = 0,
    ) -> Scan:
        scan = self._tables.scan_part(
            table, self._part, purpose=purpose, first_key=prefix
        )
        rows = tuple(
            row
            for row in scan.rows
            if row.key.startswith(prefix) and row.version > after_version
        )
        return scan._replace(rows=rows)

    def transact(
        self, checks: Sequence[Check], puts: Sequence[Put], *, purpose: StorePurpose
    ) -> int:
        return self._tables.transact(
            [check._replace(part=self._part) for check in checks],
            [put._replace(part=self._part) for put in puts],
            purpose=purpose,
        )
