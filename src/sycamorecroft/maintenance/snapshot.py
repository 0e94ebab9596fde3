"""Reads the inputs of maintenance decisions from the tables and the host list."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from sycamorecroft.clock import Clock
from sycamorecroft.errors import StoreUnavailableError
from sycamorecroft.maintenance.failures import FailureDetector, FailureReport
from sycamorecroft.maintenance.records import (
    MAINTENANCE_TABLE,
    PROGRESS_PREFIX,
    WAVE_PREFIX,
    HostOutcome,
    ProgressRecord,
    WaveRow,
    WaveState,
    decode_progress,
    decode_wave,
)
from sycamorecroft.pools.clearance import Acknowledgements
from sycamorecroft.pools.mirror import TableMirror
from sycamorecroft.pools.records import (
    ENTRIES_TABLE,
    HOSTS_TABLE,
    POOLS_TABLE,
    BudgetRecord,
    HostRow,
    budget_row,
    decode_entry_host,
    find_host_row,
)
from sycamorecroft.store.interfaces import (
    HostList,
    HostListing,
    HostRole,
    Row,
    StorePurpose,
    TableService,
)

_OPEN_STATES = frozenset({WaveState.RUNNING, WaveState.PAUSED})


class MaintenanceSnapshot(NamedTuple):
    """Waves, hosts and failures at one point in time.

    ``outcomes`` maps a wave id to the outcomes of the hosts for which the wave has
    ended. ``needed_counts`` is the number of hosts that each pool's demand requires.
    """

    waves: Mapping[str, WaveRow]
    outcomes: Mapping[str, Mapping[str, HostOutcome]]
    hosts: Mapping[str, HostRow]
    budgets: Mapping[str, BudgetRecord]
    failures: FailureReport
    acknowledgements: Acknowledgements
    needed_counts: Mapping[str, int]

    def open_waves(self) -> tuple[WaveRow, ...]:
        """
        :returns: running and paused waves, ordered by deadline.
        """
        waves = [
            wave for wave in self.waves.values() if wave.record["state"] in _OPEN_STATES
        ]
        return tuple(
            sorted(waves, key=lambda item: (item.record["deadline"], item.record["id"]))
        )

    def remaining_hosts(self, wave: WaveRow) -> tuple[str, ...]:
        """
        :returns: hosts of the wave for which it has not ended.
        """
        ended = self.outcomes.get(wave.record["id"], {})
        return tuple(host for host in wave.record["hosts"] if host not in ended)


class MaintenanceSnapshotReader:
    """Reads snapshots; needs no lease, and mirrors the tables that it reads."""

    def __init__(self, table: TableService, host_list: HostList, clock: Clock) -> None:
        self._table = table
        self._host_list = host_list
        self._clock = clock
        self._hosts = TableMirror(
            table, HOSTS_TABLE, find_host_row, purpose=StorePurpose.POOLS
        )
        self._pools = TableMirror(
            table, POOLS_TABLE, budget_row, purpose=StorePurpose.POOLS
        )
        self._maintenance = TableMirror(
            table, MAINTENANCE_TABLE, _decode_row, purpose=StorePurpose.POOLS
        )
        self._failures = FailureDetector()

    def read(self, needed_counts: Mapping[str, int]) -> MaintenanceSnapshot:
        """
        :param needed_counts: number of hosts that each pool's demand requires.
        :returns: the current snapshot; failures are unknown without the host list.
        :raises StoreUnavailableError: when the tables can't be read.
        """
        for mirror in (self._hosts, self._pools, self._maintenance):
            mirror.refresh()
        hosts = self._hosts.values
        # Read after the host rows, so that an acknowledgement covers these rows.
        entries = self._table.scan(ENTRIES_TABLE, purpose=StorePurpose.POOLS).rows
        listing = self._list_hosts()
        return MaintenanceSnapshot(
            waves=_waves(self._maintenance.values.values()),
            outcomes=_outcomes(self._maintenance.values.values()),
            hosts=hosts,
            budgets={key: row.record for key, row in self._pools.values.items()},
            failures=self._failures.update(hosts, listing, self._clock.monotonic_s()),
            acknowledgements=self._acknowledgements(entries, listing),
            needed_counts=needed_counts,
        )

    def _list_hosts(self) -> HostListing | None:
        try:
            return self._host_list.list_hosts()
        except StoreUnavailableError:
            return None

    def _acknowledgements(
        self, rows: tuple[Row, ...], listing: HostListing | None
    ) -> Acknowledgements:
        entries = tuple(decode_entry_host(row.value or b"") for row in rows)
        now = self._clock.now()
        if listing is None:
            return Acknowledgements(entries, None, None, now)
        listed = frozenset(
            host.name for host in listing.hosts if host.role is HostRole.ENTRY
        )
        return Acknowledgements(entries, listed, listing.as_of, now)


def _decode_row(row: Row) -> WaveRow | ProgressRecord | None:
    if row.key.startswith(WAVE_PREFIX):
        return decode_wave(row)
    if row.key.startswith(PROGRESS_PREFIX):
        return decode_progress(row)
    return None


def _waves(values: Iterable[WaveRow | ProgressRecord]) -> Mapping[str, WaveRow]:
    return {value.record["id"]: value for value in values if isinstance(value, WaveRow)}


def _outcomes(
    values: Iterable[WaveRow | ProgressRecord],
) -> Mapping[str, Mapping[str, HostOutcome]]:
    outcomes: dict[str, dict[str, HostOutcome]] = {}
    for value in values:
        if not isinstance(value, WaveRow):
            outcomes.setdefault(value["wave_id"], {})[value["host"]] = value["outcome"]
    return outcomes
