"""Writes the heartbeats of this entry host and reads those of the others."""

from typing import NamedTuple

import structlog

from sycamorecroft.clock import Clock
from sycamorecroft.errors import StoreHistoryLostError
from sycamorecroft.ownership.capacity import (
    CAPACITY_KEY_PREFIX,
    CapacityRow,
    CapacityTable,
)
from sycamorecroft.ownership.hosts import (
    ENTRY_HOSTS_TABLE,
    EntryHostRow,
    EntryHostTable,
)
from sycamorecroft.scheduling.rows import encode_row
from sycamorecroft.store.interfaces import (
    PartitionedTableService,
    Put,
    Scan,
    StorePurpose,
)
from sycamorecroft.store.table_part import read_all_parts

_log = structlog.get_logger(__name__)


class EntryHost(NamedTuple):
    """This entry host; ``incarnation`` identifies this start of its process."""

    name: str
    incarnation: str
    capacity: CapacityRow


class HeartbeatExchange:
    """Exchanges heartbeats and capacities with all entry hosts. Not thread-safe.

    :ivar entry_hosts: latest heartbeats of all entry hosts.
    :ivar capacities: capacities of all entry hosts.
    """

    def __init__(
        self,
        tables: PartitionedTableService,
        clock: Clock,
        entry_host: EntryHost,
    ) -> None:
        self._tables = tables
        self._clock = clock
        self._entry_host = entry_host
        self.entry_hosts = EntryHostTable()
        self.capacities = CapacityTable()
        self._is_capacity_stored = False
        self._heartbeats_count = 0
        self._version: int | None = None
        self._store_time_ms = 0
        self._store_time_read_s = 0.0

    def exchange(self, timeout_s: float) -> None:
        """Writes the heartbeat of this entry host and reads those of the others.

        :param timeout_s: time in seconds without a further heartbeat after which others
            suspect this entry host.
        :raises PlatformError: when the store can't be reached.
        """
        start_s = self._clock.monotonic_s()
        if self._version is None:
            self._read(start_s)
        self._write(timeout_s)
        self._read(start_s)

    def _write(self, timeout_s: float) -> None:
        sent_s = self._clock.monotonic_s()
        self._heartbeats_count += 1
        elapsed_ms = int((sent_s - self._store_time_read_s) * 1000)
        row = EntryHostRow(
            self._entry_host.incarnation,
            self._heartbeats_count,
            self._store_time_ms + elapsed_ms,
            int(timeout_s * 1000),
        )
        puts = [self._put(self._entry_host.name, row)]
        if not self._is_capacity_stored:
            key = CAPACITY_KEY_PREFIX + self._entry_host.name
            puts.append(self._put(key, self._entry_host.capacity))
        self._tables.transact((), puts, purpose=StorePurpose.REGISTRATION)
        self._is_capacity_stored = True

    def _put(self, key: str, row: EntryHostRow | CapacityRow) -> Put:
        return Put(ENTRY_HOSTS_TABLE, key, encode_row(row), self._entry_host.name)

    def _read(self, start_s: float) -> None:
        scan = self._scan()
        now_s = self._clock.monotonic_s()
        self._version = scan.version
        self._store_time_ms = scan.store_time_ms
        self._store_time_read_s = now_s
        capacity_rows = []
        heartbeat_rows = []
        for row in scan.rows:
            is_capacity = row.key.startswith(CAPACITY_KEY_PREFIX)
            (capacity_rows if is_capacity else heartbeat_rows).append(row)
        self.capacities.apply(capacity_rows)
        heartbeats = scan._replace(rows=tuple(heartbeat_rows))
        self.entry_hosts.apply(heartbeats, now_s, now_s - start_s)

    def _scan(self) -> Scan:
        if self._version is not None:
            try:
                return self._tables.changes(
                    ENTRY_HOSTS_TABLE, after_version=self._version, wait_s=0.0
                )
            except StoreHistoryLostError as error:
                _log.info("history_lost", table=ENTRY_HOSTS_TABLE, reason=str(error))
        return read_all_parts(
            self._tables, ENTRY_HOSTS_TABLE, purpose=StorePurpose.REGISTRATION
        )
