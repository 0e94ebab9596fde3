"""Capacities of the entry hosts, which decide how many services each should own."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

import structlog

from sycamorecroft.errors import RecordError
from sycamorecroft.scheduling.rows import decode_row
from sycamorecroft.store.interfaces import Row

_log = structlog.get_logger(__name__)

# Rows of capacities lie beside the heartbeats, so that one transaction writes both.
CAPACITY_KEY_PREFIX = "capacity."


class CapacityRow(NamedTuple):
    """Capacity of an entry host; both fields are greater than 0."""

    cores_count: float
    link_mbps: float


class EntryHostLoad(NamedTuple):
    """Number of services of an entry host, and its capacity relative to the largest.

    ``capacity_ratio`` is greater than 0 and at most 1.
    """

    services_count: int
    capacity_ratio: float

    @property
    def cost(self) -> float:
        """Services per capacity."""
        return self.services_count / self.capacity_ratio

    def with_another_service(self) -> "EntryHostLoad":
        """
        :returns: the load after one more claim.
        """
        return self._replace(services_count=self.services_count + 1)


class CapacityTable:
    """Capacities that entry hosts have stored. Not thread-safe."""

    def __init__(self) -> None:
        self._capacities: dict[str, CapacityRow] = {}

    def apply(self, rows: Iterable[Row]) -> None:
        """Applies rows with the key :data:`CAPACITY_KEY_PREFIX` and an entry host."""
        for row in rows:
            try:
                capacity = decode_row(row.value or b"", CapacityRow)
            except RecordError as error:
                _log.error("capacity_row_malformed", key=row.key, error=str(error))
                continue
            self._capacities[row.key.removeprefix(CAPACITY_KEY_PREFIX)] = capacity

    def loads(self, services_counts: Mapping[str, int]) -> dict[str, EntryHostLoad]:
        """
        :param services_counts: number of owned services by entry host.
        :returns: load by entry host.
        """
        ratios = self._ratios(services_counts)
        return {
            entry_host: EntryHostLoad(count, ratios[entry_host])
            for entry_host, count in services_counts.items()
        }

    def _ratios(self, entry_hosts: Iterable[str]) -> dict[str, float]:
        """Relates the scarcer resource of each entry host to the largest among them.

        An entry host whose capacity isn't known counts as the smallest.
        """
        known = {
            entry_host: self._capacities[entry_host]
            for entry_host in entry_hosts
            if entry_host in self._capacities
        }
        if not known:
            return dict.fromkeys(entry_hosts, 1.0)
        most_cores_count = max(capacity.cores_count for capacity in known.values())
        most_link_mbps = max(capacity.link_mbps for capacity in known.values())
        ratios = {
            entry_host: min(
                capacity.cores_count / most_cores_count,
                capacity.link_mbps / most_link_mbps,
            )
            for entry_host, capacity in known.items()
        }
        smallest_ratio = min(ratios.values())
        return {
            entry_host: ratios.get(entry_host, smallest_ratio)
            for entry_host in entry_hosts
        }
