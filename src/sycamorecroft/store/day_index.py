"""Index of rows by the day they were written, and retention of rows based on it.

An index row is written in the same transaction as the row it refers to, so both have
the same version. Index keys are the day and a hash of the row key, so a scan of one day
and a few leading hex digits reads a small part of the index.
"""

import hashlib
import json
from datetime import date, datetime, timedelta
from typing import NamedTuple, TypedDict

import structlog

from sycamorecroft.errors import (
    PlatformError,
    StoreConflictError,
    StoreOutcomeUnknownError,
)
from sycamorecroft.store.interfaces import (
    Check,
    ObjectStore,
    Put,
    Row,
    StorePurpose,
    TableService,
)

CURSOR_KEY = "cursor"

_log = structlog.get_logger(__name__)


class DayRecord(TypedDict):
    """Value of an index row: the row's key, and an object to delete with the row."""

    key: str
    object_key: str | None


class _Cursor(TypedDict):
    """Part of the index to sweep next; ``shard`` is its leading hex digits."""

    day: str
    shard: int


class DayTables(NamedTuple):
    """Names of a table and its index, and the purpose of calls to them."""

    rows: str
    index: str
    purpose: StorePurpose


class RetentionSettings(NamedTuple):
    """Settings of the retention.

    ``shard_digits_count`` is the number of leading hex digits that select the part of
    a day that one scan reads: each digit divides it by 16. Claims of a busy day (some
    10 million) need 3 or 4. ``rows_max_count`` limits the rows removed in one step.
    """

    kept_days_count: int = 7
    shard_digits_count: int = 3
    rows_max_count: int = 250


def index_put(index_table: str, day: str, key: str, object_key: str | None) -> Put:
    """
    :param day: ISO date at which the row is written.
    :param object_key: object to delete together with the row, if any.
    :returns: write of the index row of ``key``.
    """
    record: DayRecord = {"key": key, "object_key": object_key}
    return Put(index_table, _index_key(day, key), json.dumps(record).encode())


def index_delete(index_table: str, day: str, key: str) -> Put:
    """
    :returns: deletion of the index row of ``key``.
    """
    return Put(index_table, _index_key(day, key), None)


def _index_key(day: str, key: str) -> str:
    return f"{day}/{hashlib.sha256(key.encode()).hexdigest()}"


class DayRetention:
    """Removes rows older than the retention period, one part of one day per step.

    Several daemons may run it concurrently: the cursor is a row that each step
    advances by a conditional write.
    """

    def __init__(
        self,
        tables: TableService,
        objects: ObjectStore,
        day_tables: DayTables,
        settings: RetentionSettings = RetentionSettings(),
    ) -> None:
        self._tables = tables
        self._objects = objects
        self._day_tables = day_tables
        self._settings = settings
        self._has_backlog = False

    @property
    def has_backlog(self) -> bool:
        """Whether the last step found a part to sweep, so that more may be left."""
        return self._has_backlog

    def step(self, now: datetime) -> int:
        """
        :param now: wall time.
        :returns: number of rows removed. 0 may mean that there is nothing to remove,
            that another daemon swept the part first, or that the store did not respond.
        """
        self._has_backlog = False
        try:
            return self._step(now.date())
        except (StoreConflictError, StoreOutcomeUnknownError):
            return 0
        except PlatformError as error:
            _log.warning(
                "retention_failed", table=self._day_tables.rows, detail=str(error)
            )
            return 0

    def _step(self, today: date) -> int:
        row = self._tables.read(
            self._day_tables.index, CURSOR_KEY, purpose=self._day_tables.purpose
        )
        cursor = self._initial_cursor(today) if row is None else _decode_cursor(row)
        first_kept_day = today - timedelta(days=self._settings.kept_days_count)
        if date.fromisoformat(cursor["day"]) >= first_kept_day:
            return 0
        self._has_backlog = True
        version = None if row is None else row.version
        return self._sweep(cursor, version)

    def _initial_cursor(self, today: date) -> _Cursor:
        """Returns the start of the first sweep.

        Retention runs from the first day on, so no older rows exist at that time.
        """
        oldest_day = today - timedelta(days=self._settings.kept_days_count + 1)
        return {"day": oldest_day.isoformat(), "shard": 0}

    def _sweep(self, cursor: _Cursor, version: int | None) -> int:
        digits_count = self._settings.shard_digits_count
        prefix = f"{cursor['day']}/{cursor['shard']:0{digits_count}x}"
        scan = self._tables.scan(
            self._day_tables.index, purpose=self._day_tables.purpose, prefix=prefix
        )
        rows = scan.rows[: self._settings.rows_max_count]
        is_last = len(rows) == len(scan.rows)
        next_cursor = _next_cursor(cursor, 16**digits_count) if is_last else cursor
        records = [_decode_record(row) for row in rows]
        for record in records:
            if record["object_key"] is not None:
                self._objects.delete(record["object_key"])
        self._remove(rows, records, next_cursor, version)
        return len(rows)

    def _remove(
        self,
        rows: tuple[Row, ...],
        records: list[DayRecord],
        cursor: _Cursor,
        cursor_version: int | None,
    ) -> None:
        checks = [Check(self._day_tables.index, CURSOR_KEY, cursor_version)]
        puts = [Put(self._day_tables.index, CURSOR_KEY, json.dumps(cursor).encode())]
        for row, record in zip(rows, records, strict=True):
            checks.append(Check(self._day_tables.rows, record["key"], row.version))
            puts.append(Put(self._day_tables.rows, record["key"], None))
            puts.append(Put(self._day_tables.index, row.key, None))
        self._tables.transact(checks, puts, purpose=self._day_tables.purpose)


def _next_cursor(cursor: _Cursor, shards_count: int) -> _Cursor:
    if cursor["shard"] + 1 < shards_count:
        return {"day": cursor["day"], "shard": cursor["shard"] + 1}
    day = date.fromisoformat(cursor["day"]) + timedelta(days=1)
    return {"day": day.isoformat(), "shard": 0}


def _decode_cursor(row: Row) -> _Cursor:
    return json.loads(row.value or b"{}")


def _decode_record(row: Row) -> DayRecord:
    return json.loads(row.value or b"{}")
