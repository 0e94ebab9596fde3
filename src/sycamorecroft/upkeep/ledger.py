"""Rows that say how far waves are and who ordered what for a machine.

All lie in the part of the machines' owner, so that one transaction claims a place in a
wave and the fencing token of the order, on condition that the ownership goes on.
"""

from collections.abc import Sequence
from typing import NamedTuple

from sycamorecroft.errors import StoreConflictError
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
from sycamorecroft.upkeep.machines import OrderToken

WAVES_TABLE = "waves"
MACHINES_TABLE = "machines"
POOLS_TABLE = "pools"


class WaveProgress(NamedTuple):
    """Progress of a wave.

    ``begun_ms`` is the store's clock when the wave was first seen. ``out`` are machines
    that hold one of the wave's places, ``done`` those whose upkeep is over.
    """

    begun_ms: int
    out: tuple[str, ...] = ()
    done: tuple[str, ...] = ()


class MachineOrder(NamedTuple):
    """Last order for a machine; ``ordered_ms`` is the store's clock."""

    holder: str
    ordered_ms: int


class PoolHome(NamedTuple):
    """Machines that a pool had when it was first seen."""

    machines_count: int


class StoredWave(NamedTuple):
    """Progress of a wave with the version of its row, ``None`` if there is no row."""

    progress: WaveProgress
    version: int | None


class StoredOrder(NamedTuple):
    """Last order for a machine with the version of its row."""

    order: MachineOrder
    version: int


class WaveLedger:
    """Reads and writes the rows. Used by one thread of the machines' owner."""

    def __init__(
        self,
        tables: PartitionedTableService,
        holder: str,
        owner_check: Check | None = None,
    ) -> None:
        """
        :param holder: name of this host, which stands in its orders.
        :param owner_check: holds as long as this host owns the machines.
        """
        self._tables = TablePart(tables, FLEET_CONTROLLER_CLAIM)
        self._holder = holder
        self._owner_checks = (owner_check,) if owner_check else ()
        self.store_time_ms = 0
        self.orders: dict[str, StoredOrder] = {}

    def read_waves(self) -> dict[str, StoredWave]:
        """
        :returns: progress of each wave that has a row, by its number.
        :raises PlatformError: when the rows can't be read.
        """
        scan = self._tables.scan(WAVES_TABLE, purpose=StorePurpose.POOLS)
        self.store_time_ms = scan.store_time_ms
        return {
            row.key: StoredWave(decode_row(row.value, WaveProgress), row.version)
            for row in scan.rows
            if row.value is not None
        }

    def read_orders(self) -> None:
        """Reads the last order of each machine.

        :raises PlatformError: when the rows can't be read.
        """
        scan = self._tables.scan(MACHINES_TABLE, purpose=StorePurpose.POOLS)
        self.store_time_ms = scan.store_time_ms
        self._apply_orders(scan.rows)

    def _apply_orders(self, rows: tuple[Row, ...]) -> None:
        for row in rows:
            if row.table == MACHINES_TABLE and row.value is not None:
                order = decode_row(row.value, MachineOrder)
                self.orders[row.key] = StoredOrder(order, row.version)

    def home_count(self, pool: str, present_count: int) -> int:
        """Reads how many machines a pool had when it was first seen.

        :param present_count: what is stored if nothing is yet.
        :raises PlatformError: when the row can't be read or written.
        """
        row = self._tables.read(POOLS_TABLE, pool, purpose=StorePurpose.POOLS)
        if row is not None and row.value is not None:
            return decode_row(row.value, PoolHome).machines_count
        put = Put(POOLS_TABLE, pool, encode_row(PoolHome(present_count)))
        check = Check(POOLS_TABLE, pool, None)
        self._tables.transact((check,), (put,), purpose=StorePurpose.POOLS)
        return present_count

    def may_order(self, machine: str, lease_ms: int) -> bool:
        """
        :param lease_ms: time that must pass after another host's order.
        :returns: whether this host may order something for the machine now.
        """
        known = self.orders.get(machine)
        if known is None or known.order.holder == self._holder:
            return True
        return self.store_time_ms - known.order.ordered_ms > lease_ms

    def write_wave(
        self, key: str, wave: StoredWave, progress: WaveProgress
    ) -> StoredWave:
        """Replaces the progress of a wave.

        :raises StoreConflictError: when another host changed the wave.
        :raises PlatformError: when it is not known to be written.
        """
        checks = (*self._owner_checks, Check(WAVES_TABLE, key, wave.version))
        put = Put(WAVES_TABLE, key, encode_row(progress))
        version = self._tables.transact(checks, (put,), purpose=StorePurpose.POOLS)
        return StoredWave(progress, version)

    def claim_orders(
        self,
        machines: Sequence[str],
        key: str | None = None,
        wave: StoredWave | None = None,
    ) -> OrderToken:
        """Claims the token of an order for each machine, and places in a wave for them.

        :param key: number of the wave; ``None`` for orders outside of waves.
        :returns: token of all these orders.
        :raises StoreConflictError: when another host changed one of the rows.
        :raises PlatformError: when the claim is not known to be written.
        """
        order = MachineOrder(self._holder, self.store_time_ms)
        checks = list(self._owner_checks)
        puts = []
        for machine in machines:
            known = self.orders.get(machine)
            version = known.version if known else None
            checks.append(Check(MACHINES_TABLE, machine, version))
            puts.append(Put(MACHINES_TABLE, machine, encode_row(order)))
        if key is not None and wave is not None:
            progress = wave.progress
            out = tuple(sorted({*progress.out, *machines}))
            checks.append(Check(WAVES_TABLE, key, wave.version))
            puts.append(Put(WAVES_TABLE, key, encode_row(progress._replace(out=out))))
        try:
            version = self._tables.transact(checks, puts, purpose=StorePurpose.POOLS)
        except StoreConflictError as error:
            self._apply_orders(error.rows)
            raise
        for machine in machines:
            self.orders[machine] = StoredOrder(order, version)
        return OrderToken(self._holder, version)
