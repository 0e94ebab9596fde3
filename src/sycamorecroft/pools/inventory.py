"""Inventory of hosts: the pool that operators declare for each host."""

from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from sycamorecroft.errors import ConfigurationConflictError, ConfigurationError
from sycamorecroft.pools.registry import NewHost
from sycamorecroft.store.interfaces import Check, Put, StorePurpose, TableService

INVENTORY_TABLE = "inventory"
_KEY = "hosts"


class Inventory(NamedTuple):
    """Declared hosts, and the version of the declaration (0: none published)."""

    version: int
    hosts: tuple[NewHost, ...]


class _InventoryRow(msgspec.Struct, frozen=True):
    hosts: tuple[NewHost, ...]


class InventoryStore:
    """Reads and publishes the inventory in the table service."""

    def __init__(self, table: TableService) -> None:
        self._table = table

    def read(self, purpose: StorePurpose = StorePurpose.POOLS) -> Inventory:
        """
        :returns: the inventory in force; empty with version 0 when none is published.
        :raises StoreUnavailableError: when the store could not be read.
        """
        row = self._table.read(INVENTORY_TABLE, _KEY, purpose=purpose)
        if row is None or row.value is None:
            return Inventory(0, ())
        content = msgspec.json.decode(row.value, type=_InventoryRow)
        return Inventory(row.version, content.hosts)

    def publish(self, hosts: Iterable[NewHost], *, base_version: int) -> Inventory:
        """Replaces the inventory. Publishing the same hosts again changes nothing.

        :param base_version: version that the operator's change is based on.
        :raises ConfigurationError: if a host is listed twice.
        :raises ConfigurationConflictError: if another version was published first.
        :raises PlatformError: when the store did not confirm the write; safe to retry.
        """
        declared = tuple(sorted(hosts))
        _require_unique(declared)
        current = self.read(StorePurpose.OPERATORS)
        if current.hosts == declared:
            return current
        if current.version != base_version:
            message = (
                f"inventory is at version {current.version}, the change is based on "
                f"{base_version}; read it again and reapply the change"
            )
            raise ConfigurationConflictError(message)
        value = msgspec.json.encode(_InventoryRow(declared))
        version = self._table.transact(
            [Check(INVENTORY_TABLE, _KEY, current.version or None)],
            [Put(INVENTORY_TABLE, _KEY, value)],
            purpose=StorePurpose.OPERATORS,
        )
        return Inventory(version, declared)


def _require_unique(hosts: tuple[NewHost, ...]) -> None:
    names = [host.host for host in hosts]
    repeated = sorted({name for name in names if names.count(name) > 1})
    if repeated:
        message = (
            f"inventory lists {', '.join(repeated)} more than once; list each host once"
        )
        raise ConfigurationError(message)
