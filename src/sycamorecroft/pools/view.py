"""Reader that builds the pool view from the host table or a peer."""

from collections.abc import Mapping, Sequence
from types import MappingProxyType

from sycamorecroft.errors import RecordError
from sycamorecroft.invariants import check_version_never_falls
from sycamorecroft.pools.records import HOSTS_TABLE, decode_host
from sycamorecroft.pools.state import HostRecord, PoolView
from sycamorecroft.store.interfaces import Row, StorePurpose, TableService


class PoolViewReader:
    """Builds immutable pool views from scans of changed host rows.

    A host whose row can't be decoded is omitted from the view, so that no requests are
    routed to it.
    """

    def __init__(self, table: TableService) -> None:
        self._table = table
        self._view = PoolView(0, MappingProxyType({}))
        self._malformed: dict[str, str] = {}

    @property
    def view(self) -> PoolView:
        """Newest view."""
        return self._view

    @property
    def malformed_hosts(self) -> tuple[str, ...]:
        """Hosts whose rows can't be decoded, sorted by name."""
        return tuple(sorted(self._malformed))

    def refresh(self) -> PoolView:
        """Reads the rows that changed since the view's version.

        :returns: the newest view.
        :raises StoreUnavailableError: when the store could not be read.
        """
        scan = self._table.scan(
            HOSTS_TABLE, purpose=StorePurpose.VIEW, after_version=self._view.version
        )
        if scan.version <= self._view.version:
            return self._view
        # Writes to other tables raise the commit number too.
        hosts = self._updated_hosts(scan.rows) if scan.rows else self._view.hosts
        self._replace(PoolView(scan.version, hosts))
        return self._view

    def adopt(self, view: PoolView) -> PoolView:
        """Replaces the view with a peer's if that is newer.

        :returns: the newest view.
        """
        if view.version > self._view.version:
            self._replace(PoolView(view.version, MappingProxyType(dict(view.hosts))))
        return self._view

    def _replace(self, view: PoolView) -> None:
        check_version_never_falls(self._view.version, view.version)
        self._view = view

    def _updated_hosts(self, rows: Sequence[Row]) -> Mapping[str, HostRecord]:
        hosts = dict(self._view.hosts)
        for row in rows:
            self._apply(hosts, row)
        return MappingProxyType(hosts)

    def _apply(self, hosts: dict[str, HostRecord], row: Row) -> None:
        hosts.pop(row.key, None)
        self._malformed.pop(row.key, None)
        if row.value is None:
            return
        try:
            hosts[row.key] = decode_host(row.value)
        except RecordError as error:
            self._malformed[row.key] = str(error)
