"""Failure detector for entry hosts, based on the heartbeat rows in the store."""

from typing import NamedTuple

import structlog

from sycamorecroft.errors import RecordError
from sycamorecroft.scheduling.rows import decode_row
from sycamorecroft.store.interfaces import Row, Scan

_log = structlog.get_logger(__name__)

# Each entry host writes to a part of its own, since the store runs the transactions of
# one part one after another.
ENTRY_HOSTS_TABLE = "hosts"
# An entry host that owns a service sends heartbeats and reads those of others at this
# interval, and is suspected after the timeout, which allows for several heartbeats.
OWNER_INTERVAL_S = 0.3
OWNER_TIMEOUT_S = 1.2
# Entry hosts that own nothing are only candidates for unowned services, so that their
# failure may be detected later.
IDLE_INTERVAL_S = 1.0
IDLE_TIMEOUT_S = 2.5
# Reads of the table that are further apart than this leave a gap in the observation.
READ_GAP_S = 2.0


class EntryHostRow(NamedTuple):
    """Heartbeat of an entry host.

    ``incarnation`` identifies one start of its process. ``store_time_ms`` is the
    writer's estimate of the store's clock at the time of writing, which is for
    diagnosis only. ``timeout_ms`` is the time without a further heartbeat after which
    others suspect the entry host; 0 in the last heartbeat before a planned stop.
    """

    incarnation: str
    heartbeats_count: int
    store_time_ms: int
    timeout_ms: int = int(IDLE_TIMEOUT_S * 1000)


class EntryHostObservation(NamedTuple):
    """Latest heartbeat of an entry host.

    ``seen_s`` is the local monotonic time at which the row was first read.
    """

    row: EntryHostRow
    version: int
    seen_s: float


class EntryHostTable:
    """Latest heartbeats of all entry hosts. Not thread-safe.

    An entry host is suspected only if its row stays unchanged while the store is read
    without a gap: after an outage of the store all rows are old.
    """

    def __init__(self) -> None:
        self._observations: dict[str, EntryHostObservation] = {}
        self._former_incarnations: dict[str, set[str]] = {}
        self._last_read_s: float | None = None
        self._gapless_since_s = 0.0
        self._call_duration_s = 0.0

    def apply(self, scan: Scan, now_s: float, call_duration_s: float) -> None:
        """Applies changed heartbeat rows.

        :param now_s: monotonic time in seconds at which the scan was answered.
        :param call_duration_s: time in seconds that writing the own heartbeat and
            reading the others took; other entry hosts need about as long for theirs.
        """
        if (
            self._last_read_s is None
            or now_s - self._last_read_s > READ_GAP_S + call_duration_s
        ):
            self._gapless_since_s = now_s
        self._last_read_s = now_s
        self._call_duration_s = call_duration_s
        for row in scan.rows:
            self._apply_row(row, now_s)

    def _apply_row(self, row: Row, now_s: float) -> None:
        previous = self._observations.get(row.key)
        if previous is not None and previous.version >= row.version:
            return
        try:
            decoded = decode_row(row.value or b"", EntryHostRow)
        except RecordError as error:
            _log.error("heartbeat_row_malformed", host=row.key, error=str(error))
            return
        if self._is_of_former_process(row.key, decoded, previous):
            _log.info(
                "heartbeat_of_former_process_ignored",
                host=row.key,
                incarnation=decoded.incarnation,
                version=row.version,
            )
            return
        self._observations[row.key] = EntryHostObservation(decoded, row.version, now_s)

    def _is_of_former_process(
        self, entry_host: str, row: EntryHostRow, previous: EntryHostObservation | None
    ) -> bool:
        """Returns whether a process wrote the row that has been replaced since.

        The store may perform a write seconds after its process has ended. Applied, it
        would show the services of the present process as those of a lost one.
        """
        former = self._former_incarnations.setdefault(entry_host, set())
        if row.incarnation in former:
            return True
        if previous is not None and previous.row.incarnation != row.incarnation:
            former.add(previous.row.incarnation)
        return False

    def find(self, entry_host: str) -> EntryHostObservation | None:
        """
        :returns: latest heartbeat of an entry host, ``None`` if none was read.
        """
        return self._observations.get(entry_host)

    def live_entry_hosts(self) -> list[str]:
        """
        :returns: entry hosts that are not suspected, sorted by name.
        """
        margin_s = 2 * self._call_duration_s
        return sorted(
            entry_host
            for entry_host, observation in self._observations.items()
            if observation.row.timeout_ms
            and self._unchanged_s(observation)
            < observation.row.timeout_ms / 1000 + margin_s
        )

    def _unchanged_s(self, observation: EntryHostObservation) -> float:
        since_s = max(observation.seen_s, self._gapless_since_s)
        return (self._last_read_s or 0.0) - since_s
