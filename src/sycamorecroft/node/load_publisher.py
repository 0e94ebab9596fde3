"""Thread that stores the load of a service for the machines' owner."""

import threading

import structlog

from sycamorecroft.errors import PlatformError
from sycamorecroft.ownership.rows import ROW_KEY
from sycamorecroft.scheduling.pool_rows import LOADS_TABLE, LoadRow, load_part
from sycamorecroft.scheduling.pool_snapshot import PoolSnapshot
from sycamorecroft.scheduling.rows import encode_row
from sycamorecroft.store.interfaces import (
    PartitionedTableService,
    Put,
    StorePurpose,
)

_log = structlog.get_logger(__name__)

# A change that the machines' owner acts on is stored at once, others at this interval.
CALM_INTERVAL_S = 0.5
# An unchanged load is stored as often, so that its reader knows that it holds.
RENEWAL_INTERVAL_S = 1.0
RETRY_S = 0.2
# A rise by this share of one worker's capacity may take another machine.
RISE_RATIO = 0.25


class LoadPublisher:
    """Stores the latest load; loads that come faster than they are stored are skipped.

    Rows of former owners are told apart by their epoch.
    """

    def __init__(
        self, tables: PartitionedTableService, service: str, epoch: int
    ) -> None:
        self._tables = tables
        self._service = service
        self._epoch = epoch
        self._latest: PoolSnapshot | None = None
        self._stored: PoolSnapshot | None = None
        self._changed = threading.Event()
        self._closed = threading.Event()

    def start(self) -> None:
        """Starts the thread."""
        name = f"load-{self._service}"
        threading.Thread(target=self._run, name=name, daemon=True).start()

    def stop(self) -> None:
        """Ends the thread without waiting for a call in progress."""
        self._closed.set()
        self._changed.set()

    def publish(self, snapshot: PoolSnapshot) -> None:
        """Has a load stored soon."""
        self._latest = snapshot
        self._changed.set()

    def _run(self) -> None:
        while not self._closed.is_set():
            self._changed.wait()
            self._changed.clear()
            snapshot = self._latest
            if snapshot is None or not is_worth_storing(snapshot, self._stored):
                continue
            try:
                self._store(snapshot)
            except PlatformError as error:
                _log.debug("load_not_stored", service=self._service, error=str(error))
                self._closed.wait(RETRY_S)
                continue
            self._stored = snapshot

    def _store(self, snapshot: PoolSnapshot) -> None:
        row = LoadRow(self._service, self._epoch, snapshot)
        part = load_part(self._service)
        put = Put(LOADS_TABLE, ROW_KEY, encode_row(row), part)
        self._tables.transact((), (put,), purpose=StorePurpose.POOLS)


def is_worth_storing(snapshot: PoolSnapshot, stored: PoolSnapshot | None) -> bool:
    """
    :param stored: what was stored last.
    :returns: whether the machines' owner should learn of the load now.
    """
    if stored is None:
        return True
    age_s = snapshot.taken_s - stored.taken_s
    if age_s >= RENEWAL_INTERVAL_S or _asks_for_action(snapshot, stored):
        return True
    is_same = snapshot._replace(taken_s=0.0) == stored._replace(taken_s=0.0)
    return age_s >= CALM_INTERVAL_S and not is_same


def _asks_for_action(snapshot: PoolSnapshot, stored: PoolSnapshot) -> bool:
    """Whether more machines may be needed, or a reserved worker is empty now."""
    if snapshot.marks_version != stored.marks_version:
        return True
    if snapshot.waiting_long_running_count > stored.waiting_long_running_count:
        return True
    if _emptied(snapshot) != _emptied(stored):
        return True
    workers = snapshot.workers
    each = max((worker.capacity.cpu_millicores for worker in workers), default=0)
    return _demand_millicores(snapshot) > _demand_millicores(stored) + RISE_RATIO * each


def _emptied(snapshot: PoolSnapshot) -> frozenset[str]:
    return frozenset(w.worker_id for w in snapshot.workers if w.is_drained)


def _demand_millicores(snapshot: PoolSnapshot) -> int:
    used = sum(worker.used.cpu_millicores for worker in snapshot.workers)
    return max(used + snapshot.waiting.cpu_millicores, snapshot.arriving_millicores)
