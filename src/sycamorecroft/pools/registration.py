"""Registration of an entry host and its acknowledgement of pool views."""

from collections.abc import Iterable
from datetime import timedelta

from sycamorecroft.clock import Clock
from sycamorecroft.errors import NotLeaseHolderError, StoreConflictError
from sycamorecroft.invariants import check_version_never_falls
from sycamorecroft.leases.transactions import transact_resolved
from sycamorecroft.pools.records import ENTRIES_TABLE, decode_entry_host, encode_record
from sycamorecroft.pools.state import EntryHostRecord
from sycamorecroft.store.interfaces import Check, Put, StorePurpose, TableService

REGISTRATION_TERM_S = 10.0
_PURPOSE = StorePurpose.REGISTRATION


class EntryHostRegistration:
    """Maintains the registration row of one incarnation of an entry host.

    The daemon renews it about every 2 s.

    :param incarnation: identifies this start of the process; unique.
    """

    def __init__(
        self, table: TableService, clock: Clock, *, entry: str, incarnation: str
    ) -> None:
        self._table = table
        self._clock = clock
        self._entry = entry
        self._incarnation = incarnation
        self._first_version: int | None = None
        self._row_version: int | None = None
        self._view_version = 0

    def may_own_queues(self, view_version: int) -> bool:
        """Returns whether a view is new enough to grant slots on it.

        A view that was read before this incarnation registered may miss a move that
        was completed meanwhile without this entry host's acknowledgement.

        :param view_version: version of a view that was read from the store.
        """
        return self._first_version is not None and view_version >= self._first_version

    def renew(
        self, *, view_version: int, staged_version: int, granted_hosts: Iterable[str]
    ) -> None:
        """Registers the entry host, or renews its registration, and acknowledges views.

        :param view_version: version of the pool view in use.
        :param staged_version: version of the configuration that is staged.
        :param granted_hosts: hosts with grants that this entry host holds or has
            issued, collected after the view came into use.
        :raises NotLeaseHolderError: when another incarnation of the entry host has
            registered.
        :raises PlatformError: when the store did not confirm the write.
        """
        check_version_never_falls(self._view_version, view_version)
        self._view_version = view_version
        record = EntryHostRecord(
            entry=self._entry,
            incarnation=self._incarnation,
            view_version=view_version,
            staged_version=staged_version,
            granted_hosts=sorted(granted_hosts),
            expires_at=self._expiry(),
        )
        if self._first_version is None:
            self._row_version = self._read_version()
        try:
            self._write(record)
        except StoreConflictError:
            self._row_version = self._own_version()
            self._write(record)

    def _write(self, record: EntryHostRecord) -> None:
        put = Put(ENTRIES_TABLE, self._entry, encode_record(record))
        check = Check(ENTRIES_TABLE, self._entry, self._row_version)
        version = transact_resolved(self._table, [check], [put], purpose=_PURPOSE)
        self._row_version = version
        if self._first_version is None:
            self._first_version = version

    def _read_version(self) -> int | None:
        row = self._table.read(ENTRIES_TABLE, self._entry, purpose=StorePurpose.VIEW)
        return None if row is None else row.version

    def _own_version(self) -> int | None:
        row = self._table.read(ENTRIES_TABLE, self._entry, purpose=StorePurpose.VIEW)
        if row is None or row.value is None:
            return None
        incarnation = decode_entry_host(row.value)["incarnation"]
        if incarnation != self._incarnation:
            message = (
                f"entry host {self._entry!r} is registered by incarnation "
                f"{incarnation!r}, not {self._incarnation!r}; stop this process"
            )
            raise NotLeaseHolderError(message)
        return row.version

    def _expiry(self) -> str:
        expires_at = self._clock.now() + timedelta(seconds=REGISTRATION_TERM_S)
        return expires_at.isoformat()
