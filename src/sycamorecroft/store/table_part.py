"""Access to one part, or to all parts, of the tables of a partitioned table service."""

import random
import time
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from itertools import chain
from typing import TypeVar

import structlog

from sycamorecroft.errors import StoreUnavailableError
from sycamorecroft.store.backoff import Backoff
from sycamorecroft.store.interfaces import (
    Check,
    PartitionedTableService,
    Put,
    Row,
    Scan,
    StorePurpose,
    TableService,
)

Result = TypeVar("Result")

_log = structlog.get_logger(__name__)

PARALLEL_READS_COUNT = 16
RETRY_BASE_S = 0.05
RETRY_CAP_S = 0.4


def read_with_retries(read: Callable[[], Result], attempts_count: int) -> Result:
    """
    :param attempts_count: number of attempts, at least 1.
    :returns: the result of the first successful attempt.
    :raises StoreUnavailableError: when all attempts have failed.
    """
    backoff = Backoff(RETRY_BASE_S, RETRY_CAP_S, random.Random())
    for _ in range(attempts_count - 1):
        try:
            return read()
        except StoreUnavailableError as error:
            _log.debug("store_read_retried", error=str(error))
            time.sleep(backoff.next_delay_s())
    return read()


def read_all_parts(
    tables: PartitionedTableService,
    table: str,
    *,
    purpose: StorePurpose,
    attempts_count: int = 1,
) -> Scan:
    """
    :param attempts_count: number of attempts for each call.
    :returns: rows of all parts of a table; changes after the scan's version may be
        missing from them.
    :raises StoreUnavailableError: when no response arrived within the timeout.
    """
    unpartitioned_scan = read_with_retries(
        lambda: tables.scan_part(table, "", purpose=purpose), attempts_count
    )
    names = read_with_retries(lambda: tables.parts(table), attempts_count)
    parts = [part for part in names if part]

    def read(part: str) -> tuple[Row, ...]:
        scan = read_with_retries(
            lambda: tables.scan_part(table, part, purpose=purpose), attempts_count
        )
        return scan.rows

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
