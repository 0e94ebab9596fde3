"""Registration of an entry host and its acknowledgement of pool views."""

from collections.abc import Callable
from datetime import datetime, timedelta
from typing import NamedTuple

import structlog

from sycamorecroft.clock import Clock
from sycamorecroft.errors import PlatformError, RecordError, StoreConflictError
from sycamorecroft.platform.interfaces import Check, Put, StorePurpose, TableService
from sycamorecroft.pools.records import ENTRIES_TABLE, decode_entry, encode_record
from sycamorecroft.pools.state import EntryRecord, HostState, PoolView

_log = structlog.get_logger()

REGISTRATION_INTERVAL_S = 2.0
REGISTRATION_TERM_S = 10.0


class GrantReport(NamedTuple):
    """Grants at one moment: of queues owned here, and held by requests here.

    ``view_version`` is the pool view that the queues had applied before.
    """

    view_version: int
    hosts: frozenset[str]


class Registration:
    """Writes the row of this entry host. Not thread-safe: one ticker calls it.

    :param incarnation: unique for this start of the daemon; a higher one in the row
        belongs to a later start on the same entry host.
    :param grants: reports grants; must be bounded in time.
    :param staged_version: returns the staged configuration version.
    """

    def __init__(
        self,
        table: TableService,
        clock: Clock,
        *,
        entry: str,
        incarnation: str,
        grants: Callable[[], GrantReport],
        view: Callable[[], PoolView],
        staged_version: Callable[[], int],
    ) -> None:
        self._table = table
        self._clock = clock
        self._entry = entry
        self._incarnation = incarnation
        self._grants = grants
        self._view = view
        self._staged_version = staged_version
        self._row_version: int | None = None
        self._is_known = False

    def write(self) -> bool:
        """Renews the registration.

        :returns: whether the row was written.
        """
        record = self._record()
        try:
            if not self._is_known and not self._read():
                return False
            put = Put(ENTRIES_TABLE, self._entry, encode_record(record))
            check = Check(ENTRIES_TABLE, self._entry, self._row_version)
            self._row_version = self._table.transact(
                [check], [put], purpose=StorePurpose.REGISTRATION
            )
        except PlatformError as error:
            self._is_known = False
            is_conflict = isinstance(error, StoreConflictError)
            level = _log.warning if is_conflict else _log.info
            level("registration_not_written", error=str(error))
            return False
        return True

    def _record(self) -> EntryRecord:
        # The report precedes the view that is acknowledged by its version, so a host
        # that drains in a newer view isn't taken for free of grants.
        report = self._grants()
        view = self._view()
        return EntryRecord(
            entry=self._entry,
            incarnation=self._incarnation,
            view_version=report.view_version,
            staged_version=self._staged_version(),
            granted_hosts=sorted(
                host for host in report.hosts if not _is_active(view, host)
            ),
            expires_at=self._expires_at().isoformat(),
        )

    def _expires_at(self) -> datetime:
        return self._clock.now() + timedelta(seconds=REGISTRATION_TERM_S)

    def _read(self) -> bool:
        """
        :returns: whether this incarnation may write the row.
        """
        row = self._table.read(ENTRIES_TABLE, self._entry, purpose=StorePurpose.VIEW)
        self._row_version = row.version if row else None
        self._is_known = True
        if row is None or row.value is None:
            return True
        try:
            holder = decode_entry(row.value)["incarnation"]
        except RecordError as error:
            _log.warning("registration_row_malformed", error=str(error))
            return True
        if holder > self._incarnation:
            _log.error("registration_taken_over", holder=holder)
            self._is_known = False
            return False
        return True


def _is_active(view: PoolView, host: str) -> bool:
    record = view.hosts.get(host)
    return record is not None and record["state"] == HostState.ACTIVE


def registered_entries(table: TableService, now: datetime) -> frozenset[str]:
    """
    :param now: wall time.
    :returns: entry hosts whose registration hasn't expired.
    :raises StoreUnavailableError: when no answer was had in time.
    """
    scan = table.scan(ENTRIES_TABLE, purpose=StorePurpose.VIEW)
    records = (decode_entry(row.value or b"") for row in scan.rows)
    return frozenset(
        record["entry"]
        for record in records
        if datetime.fromisoformat(record["expires_at"]) > now
    )
