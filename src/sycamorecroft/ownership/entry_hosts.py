"""Entry hosts as their rows in the store show them."""

from typing import NamedTuple

import structlog

from sycamorecroft.errors import RecordError
from sycamorecroft.scheduling.rows import decode_row
from sycamorecroft.store.interfaces import Row, Scan

_log = structlog.get_logger(__name__)

# Each host writes to a part of its own, since the transactions of one part queue up.
ENTRY_HOSTS_TABLE = "hosts"
# A host that owns something renews its row and reads those of others this often, and is
# believed to be gone after the timeout. Several heartbeats fit into it.
OWNER_INTERVAL_S = 0.3
OWNER_TIMEOUT_S = 1.2
# Other hosts are only candidates for what has no owner.
HOST_INTERVAL_S = 1.0
HOST_TIMEOUT_S = 2.5
# Reads of the table further apart than this leave a gap.
READ_GAP_S = 2.0


class EntryHostRow(NamedTuple):
    """Heartbeat of an entry host.

    ``incarnation`` differs in each start of its process. ``store_time_ms`` is the
    store's clock at the time of writing, as the host knew it. ``timeout_ms`` is how
    long others should wait for the next heartbeat.
    """

    incarnation: str
    heartbeats_count: int
    store_time_ms: int
    timeout_ms: int = int(HOST_TIMEOUT_S * 1000)


class EntryHostObservation(NamedTuple):
    """Latest row of a host.

    ``seen_s`` is when it was first read here, ``written_s`` when it was written by the
    store's clock.
    """

    row: EntryHostRow
    version: int
    seen_s: float
    written_s: float


class EntryHostTable:
    """What this host knows of the others. Not thread-safe.

    A host is believed to be gone only if its row stays the same while the store is
    read without a gap: after an outage of the store all rows are old.
    """

    def __init__(self) -> None:
        self._sightings: dict[str, EntryHostObservation] = {}
        self._read_s: float | None = None
        self._read_without_gap_since_s = 0.0
        self._call_duration_s = 0.0

    def apply(self, scan: Scan, now_s: float, call_duration_s: float) -> None:
        """Takes in rows of the table of hosts that have changed.

        :param call_duration_s: time that renewing and reading rows took; others need
            as long to renew theirs.
        """
        if self._read_s is None or now_s - self._read_s > READ_GAP_S + call_duration_s:
            self._read_without_gap_since_s = now_s
        self._read_s = now_s
        self._call_duration_s = call_duration_s
        for row in scan.rows:
            self._apply_row(row, scan.store_time_ms, now_s)

    def _apply_row(self, row: Row, store_time_ms: int, now_s: float) -> None:
        known = self._sightings.get(row.key)
        if known is not None and known.version >= row.version:
            return
        try:
            decoded = decode_row(row.value or b"", EntryHostRow)
        except RecordError as error:
            _log.error("host_row_not_understood", host=row.key, error=str(error))
            return
        age_ms = max(0, store_time_ms - decoded.store_time_ms)
        self._sightings[row.key] = EntryHostObservation(
            decoded, row.version, now_s, now_s - age_ms / 1000
        )

    def find(self, host: str) -> EntryHostObservation | None:
        """
        :returns: latest sighting of a host.
        """
        return self._sightings.get(host)

    def live_hosts(self) -> list[str]:
        """
        :returns: hosts that are not believed to be gone, in order of name.
        """
        margin_s = 2 * self._call_duration_s
        return sorted(
            host
            for host, sighting in self._sightings.items()
            if self._silence_s(sighting) < sighting.row.timeout_ms / 1000 + margin_s
        )

    def _silence_s(self, sighting: EntryHostObservation) -> float:
        since_s = max(sighting.seen_s, self._read_without_gap_since_s)
        return (self._read_s or 0.0) - since_s
