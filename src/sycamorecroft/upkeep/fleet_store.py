"""Stores wave progress, the last order for each host and the initial pool sizes.

All rows lie in the part of the fleet controller's claim. One transaction therefore
claims a host's place in a wave together with the fencing token of the order, on
condition that the entry host is still the fleet controller.
"""

from collections.abc import Sequence
from typing import NamedTuple, TypeVar

import structlog

from sycamorecroft.errors import RecordError, StoreConflictError
from sycamorecroft.scheduling.pool_rows import FLEET_CONTROLLER_CLAIM
from sycamorecroft.scheduling.rows import decode_row, encode_row
from sycamorecroft.store.interfaces import (
    Check,
    PartitionedTableService,
    Put,
    Row,
    StorePurpose,
)
from sycamorecroft.store.table_part import TablePart
from sycamorecroft.upkeep.hosts import FencingToken

_log = structlog.get_logger(__name__)

Decoded = TypeVar("Decoded")

WAVES_TABLE = "waves"
HOST_ORDERS_TABLE = "machines"
POOLS_TABLE = "pools"


class WaveProgress(NamedTuple):
    """Progress of a wave.

    ``started_ms``: time on the store's clock when the wave was first observed.
    ``in_upkeep``: hosts that count towards the wave's concurrency limit.
    ``completed``: hosts whose upkeep has completed.
    """

    started_ms: int
    in_upkeep: tuple[str, ...] = ()
    completed: tuple[str, ...] = ()


class HostOrder(NamedTuple):
    """Last order for a host.

    ``holder``: entry host that gave it. ``ordered_ms``: time on the store's clock.
    """

    holder: str
    ordered_ms: int


class InitialPoolSize(NamedTuple):
    """Number of hosts that a pool had when it was first observed."""

    hosts_count: int


class StoredWave(NamedTuple):
    """Progress of a wave and the version of its row, ``None`` if there is no row."""

    progress: WaveProgress
    version: int | None


class StoredOrder(NamedTuple):
    """Last order for a host and the version of its row."""

    order: HostOrder
    version: int


class FleetStore:
    """Reads and writes the rows of the fleet controller. Not thread-safe."""

    def __init__(
        self,
        tables: PartitionedTableService,
        holder: str,
        owner_check: Check | None = None,
    ) -> None:
        """
        :param holder: name of this entry host, which its orders carry.
        :param owner_check: condition that holds while this entry host is the fleet
            controller.
        """
        self._tables = TablePart(tables, FLEET_CONTROLLER_CLAIM)
        self._holder = holder
        self._owner_checks = (owner_check,) if owner_check else ()
        self.store_time_ms = 0
        self.orders: dict[str, StoredOrder] = {}
        # The rows are read in each step, and a malformed one is logged once.
        self._malformed_versions: set[int] = set()

    def read_waves(self) -> dict[str, StoredWave]:
        """Reads the progress of all waves.

        A wave whose row can't be decoded is left out. Its hosts in upkeep are unknown,
        so that it must not go on; :meth:`write_wave` and :meth:`claim_orders` refuse a
        wave without a version while its row exists.

        :returns: progress of each stored wave, by the number of the wave.
        :raises PlatformError: when the rows can't be read.
        """
        scan = self._tables.scan(WAVES_TABLE, purpose=StorePurpose.POOLS)
        self.store_time_ms = scan.store_time_ms
        waves = {}
        for row in scan.rows:
            progress = self._decode(row, WaveProgress)
            if progress is not None:
                waves[row.key] = StoredWave(progress, row.version)
        return waves

    def read_orders(self) -> None:
        """Reads the last order of each host.

        :raises PlatformError: when the rows can't be read.
        """
        scan = self._tables.scan(HOST_ORDERS_TABLE, purpose=StorePurpose.POOLS)
        self.store_time_ms = scan.store_time_ms
        self._apply_orders(scan.rows)

    def _apply_orders(self, rows: tuple[Row, ...]) -> None:
        for row in rows:
            known = self.orders.get(row.key)
            is_known = known is not None and known.version == row.version
            if row.table != HOST_ORDERS_TABLE or row.value is None or is_known:
                continue
            # A row that can't be decoded may be an order that another entry host has
            # just given.
            order = self._decode(row, HostOrder) or HostOrder("", self.store_time_ms)
            self.orders[row.key] = StoredOrder(order, row.version)

    def initial_count(self, pool: str, present_count: int) -> int:
        """Returns how many hosts a pool had when it was first observed.

        :param present_count: present number of hosts, stored if there is no row yet
            or it can't be decoded.
        :raises PlatformError: when the row can't be read or written.
        """
        row = self._tables.read(POOLS_TABLE, pool, purpose=StorePurpose.POOLS)
        size = None if row is None else self._decode(row, InitialPoolSize)
        if size is not None:
            return size.hosts_count
        put = Put(POOLS_TABLE, pool, encode_row(InitialPoolSize(present_count)))
        check = Check(POOLS_TABLE, pool, None if row is None else row.version)
        self._tables.transact((check,), (put,), purpose=StorePurpose.POOLS)
        return present_count

    def _decode(self, row: Row, row_type: type[Decoded]) -> Decoded | None:
        """
        :returns: the decoded row, ``None`` if it was deleted or can't be decoded.
        """
        if row.value is None:
            return None
        try:
            return decode_row(row.value, row_type)
        except RecordError as error:
            if row.version not in self._malformed_versions:
                self._malformed_versions.add(row.version)
                _log.error(
                    "fleet_row_malformed",
                    table=row.table,
                    key=row.key,
                    version=row.version,
                    error=str(error),
                )
            return None

    def may_order(self, host: str, lease_ms: int) -> bool:
        """
        :param lease_ms: time that must pass after an order of another entry host.
        :returns: whether this entry host may send an order for the host now.
        """
        last = self.orders.get(host)
        if last is None or last.order.holder == self._holder:
            return True
        return self.store_time_ms - last.order.ordered_ms > lease_ms

    def write_wave(
        self, wave_key: str, wave: StoredWave, progress: WaveProgress
    ) -> StoredWave:
        """Replaces the progress of a wave.

        :param wave_key: number of the wave.
        :param wave: progress as last read or written.
        :returns: the new progress and the version of its row.
        :raises StoreConflictError: when another entry host changed the wave.
        :raises PlatformError: when it is not known whether the row was written.
        """
        checks = (*self._owner_checks, Check(WAVES_TABLE, wave_key, wave.version))
        put = Put(WAVES_TABLE, wave_key, encode_row(progress))
        version = self._tables.transact(checks, (put,), purpose=StorePurpose.POOLS)
        return StoredWave(progress, version)

    def claim_orders(
        self,
        hosts: Sequence[str],
        wave_key: str | None = None,
        wave: StoredWave | None = None,
        *,
        expires_s: float,
    ) -> FencingToken:
        """Claims a fencing token for one order each, and places in a wave.

        :param hosts: names of the hosts.
        :param expires_s: monotonic time from which no order may be sent with the token.
        :param wave_key: number of the wave; ``None`` for orders that belong to no wave.
        :param wave: stored progress of the wave.
        :returns: the token, valid for the orders of all ``hosts``.
        :raises StoreConflictError: when another entry host changed one of the rows.
        :raises PlatformError: when it is not known whether the claim was written.
        """
        order = HostOrder(self._holder, self.store_time_ms)
        checks = list(self._owner_checks)
        puts = []
        for host in hosts:
            last = self.orders.get(host)
            version = last.version if last else None
            checks.append(Check(HOST_ORDERS_TABLE, host, version))
            puts.append(Put(HOST_ORDERS_TABLE, host, encode_row(order)))
        if wave_key is not None and wave is not None:
            progress = wave.progress
            in_upkeep = tuple(sorted({*progress.in_upkeep, *hosts}))
            checks.append(Check(WAVES_TABLE, wave_key, wave.version))
            puts.append(
                Put(
                    WAVES_TABLE,
                    wave_key,
                    encode_row(progress._replace(in_upkeep=in_upkeep)),
                )
            )
        try:
            version = self._tables.transact(checks, puts, purpose=StorePurpose.POOLS)
        except StoreConflictError as error:
            self._apply_orders(error.rows)
            raise
        for host in hosts:
            self.orders[host] = StoredOrder(order, version)
        return FencingToken(self._holder, version, expires_s)
