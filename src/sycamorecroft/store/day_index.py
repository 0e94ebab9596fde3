"""Index of rows by the day they were written, and removal of old rows by it.

An index row is written in each transaction that writes its row, so both have the same
version. A scan of one day and a few leading digits reads a small part of the index.
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
    """Value of an index row: the row's key and an object that goes with it."""

    key: str
    object_key: str | None


class _Cursor(TypedDict):
    """Next part of the index to be swept; ``shard`` are its leading hex digits."""

    day: str
    shard: int


class DayTables(NamedTuple):
    """A table and its index."""

    rows: str
    index: str
    purpose: StorePurpose


class RetentionSettings(NamedTuple):
    """``shard_digits_count`` sets how small a part of a day one scan reads: each
    digit divides it by 16. Claims of a busy day (some 10 million) need 3 or 4.
    """

    kept_days_count: int = 7
    shard_digits_count: int = 3
    rows_max_count: int = 250


def index_put(index_table: str, day: str, key: str, object_key: str | None) -> Put:
    """
    :param day: ISO date of the row.
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
    """Removes rows older than the kept days, one part of one day in each step.

    Any daemon may run it, also several at once: the cursor is a row that each step
    moves on by a conditional write.
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
        self._names = day_tables
        self._settings = settings
        self._is_due = False

    @property
    def is_due(self) -> bool:
        """Whether the last step found a part to sweep, so that the next one may too."""
        return self._is_due

    def step(self, now: datetime) -> int:
        """
        :param now: wall time.
        :returns: how many rows were removed. 0 may mean that there is nothing to do,
            that another daemon was faster, or that the store gave no answer.
        """
        self._is_due = False
        try:
            return self._step(now.date())
        except (StoreConflictError, StoreOutcomeUnknownError):
            return 0
        except PlatformError as error:
            _log.warning("retention_failed", table=self._names.rows, detail=str(error))
            return 0

    def _step(self, today: date) -> int:
        row = self._tables.read(
            self._names.index, CURSOR_KEY, purpose=self._names.purpose
        )
        cursor = self._first_cursor(today) if row is None else _decode_cursor(row)
        first_kept = today - timedelta(days=self._settings.kept_days_count)
        if date.fromisoformat(cursor["day"]) >= first_kept:
            return 0
        self._is_due = True
        version = None if row is None else row.version
        return self._sweep(cursor, version)

    def _first_cursor(self, today: date) -> _Cursor:
        """Retention runs from the first day on, so nothing older exists yet."""
        oldest = today - timedelta(days=self._settings.kept_days_count + 1)
        return {"day": oldest.isoformat(), "shard": 0}

    def _sweep(self, cursor: _Cursor, version: int | None) -> int:
        digits = self._settings.shard_digits_count
        prefix = f"{cursor['day']}/{cursor['shard']:0{digits}x}"
        scan = self._tables.scan(
            self._names.index, purpose=self._names.purpose, prefix=prefix
        )
        rows = scan.rows[: self._settings.rows_max_count]
        is_last = len(rows) == len(scan.rows)
        following = _following(cursor, 16**digits) if is_last else cursor
        records = [_decode_record(row) for row in rows]
        for record in records:
            if record["object_key"] is not None:
                self._objects.delete(record["object_key"])
        self._remove(rows, records, following, version)
        return len(rows)

    def _remove(
        self,
        rows: tuple[Row, ...],
        records: list[DayRecord],
        cursor: _Cursor,
        cursor_version: int | None,
    ) -> None:
        checks = [Check(self._names.index, CURSOR_KEY, cursor_version)]
        puts = [Put(self._names.index, CURSOR_KEY, json.dumps(cursor).encode())]
        for row, record in zip(rows, records, strict=True):
            checks.append(Check(self._names.rows, record["key"], row.version))
            puts.append(Put(self._names.rows, record["key"], None))
            puts.append(Put(self._names.index, row.key, None))
        self._tables.transact(checks, puts, purpose=self._names.purpose)


def _following(cursor: _Cursor, shards_count: int) -> _Cursor:
    if cursor["shard"] + 1 < shards_count:
        return {"day": cursor["day"], "shard": cursor["shard"] + 1}
    day = date.fromisoformat(cursor["day"]) + timedelta(days=1)
    return {"day": day.isoformat(), "shard": 0}


def _decode_cursor(row: Row) -> _Cursor:
    return json.loads(row.value or b"{}")


def _decode_record(row: Row) -> DayRecord:
    return json.loads(row.value or b"{}")
