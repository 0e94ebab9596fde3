"""Entry hosts as their rows in the store show them."""

from typing import NamedTuple

from sycamorecroft.errors import RecordError
from sycamorecroft.scheduling.rows import decode_row
from sycamorecroft.store.interfaces import Scan

HOSTS_TABLE = "hosts"
# A host that hasn't renewed its row for this long is believed to be gone.
HOST_TIMEOUT_S = 2.2


class HostRow(NamedTuple):
    """Heartbeat of an entry host.

    ``incarnation`` differs in each start of its process. ``store_time_ms`` is the
    store's clock at the time of writing, as the host knew it.
    """

    incarnation: str
    beats_count: int
    store_time_ms: int


class HostSighting(NamedTuple):
    """Latest row of a host, and when it was first seen here."""

    row: HostRow
    version: int
    seen_s: float
    written_s: float


class HostTable:
    """What this host knows of the others. Not thread-safe."""

    def __init__(self) -> None:
        self._sightings: dict[str, HostSighting] = {}

    def apply(self, scan: Scan, now_s: float) -> None:
        """Takes in all rows of the table of hosts."""
        for row in scan.rows:
            known = self._sightings.get(row.key)
            if known is not None and known.version == row.version:
                continue
            try:
                decoded = decode_row(row.value or b"", HostRow)
            except RecordError:
                continue
            age_ms = max(0, scan.store_time_ms - decoded.store_time_ms)
            written_s = now_s - age_ms / 1000
            self._sightings[row.key] = HostSighting(
                decoded, row.version, now_s, written_s
            )

    def find(self, host: str) -> HostSighting | None:
        """
        :returns: latest sighting of a host.
        """
        return self._sightings.get(host)

    def live_hosts(self, now_s: float) -> list[str]:
        """
        :returns: hosts that have renewed their row of late, in order of name.
        """
        return sorted(
            host
            for host, sighting in self._sightings.items()
            if now_s - max(sighting.written_s, sighting.seen_s - HOST_TIMEOUT_S)
            < HOST_TIMEOUT_S
        )
