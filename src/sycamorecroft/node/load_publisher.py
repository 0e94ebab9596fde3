"""Thread that stores the load of a service for the fleet controller."""

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

# A change that the fleet controller acts on is stored at once, others at this interval.
MINOR_CHANGE_INTERVAL_S = 0.5
# An unchanged load is stored again after this, so that its reader knows it is current.
RENEWAL_INTERVAL_S = 1.0
RETRY_S = 0.2
# A rise in demand by this share of one worker's capacity may require another host.
DEMAND_RISE_RATIO = 0.25


class LoadPublisher:
    """Stores the latest load of a service and skips those superseded in the meantime.

    Rows carry the owner's epoch, so that those of former owners can be recognised.
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
        """Passes a load to the thread, which stores it unless it changes too little."""
        self._latest = snapshot
        self._changed.set()

    def _run(self) -> None:
        while not self._closed.is_set():
            self._changed.wait()
            self._changed.clear()
            snapshot = self._latest
            if snapshot is None or not should_store(snapshot, self._stored):
                continue
            try:
                self._store(snapshot)
            except PlatformError as error:
                _log.debug("load_store_failed", service=self._service, error=str(error))
                self._closed.wait(RETRY_S)
                continue
            except Exception:
                # Without this thread the service would get no further hosts.
                _log.exception("load_store_aborted", service=self._service)
                self._closed.wait(RETRY_S)
                continue
            self._stored = snapshot

    def _store(self, snapshot: PoolSnapshot) -> None:
        row = LoadRow(self._service, self._epoch, snapshot)
        part = load_part(self._service)
        put = Put(LOADS_TABLE, ROW_KEY, encode_row(row), part)
        self._tables.transact((), (put,), purpose=StorePurpose.POOLS)


def should_store(snapshot: PoolSnapshot, stored: PoolSnapshot | None) -> bool:
    """
    :param stored: load that was stored last.
    :returns: whether the load should be stored now for the fleet controller.
    """
    if stored is None:
        return True
    age_s = snapshot.taken_s - stored.taken_s
    if age_s >= RENEWAL_INTERVAL_S or _is_urgent(snapshot, stored):
        return True
    is_same = snapshot._replace(taken_s=0.0) == stored._replace(taken_s=0.0)
    return age_s >= MINOR_CHANGE_INTERVAL_S and not is_same


def _is_urgent(snapshot: PoolSnapshot, stored: PoolSnapshot) -> bool:
    """
    :returns: whether more hosts may be required, or marks or the set of drained workers
        have changed.
    """
    if snapshot.marks_version != stored.marks_version:
        return True
    if snapshot.waiting_long_running_count > stored.waiting_long_running_count:
        return True
    if _drained_workers(snapshot) != _drained_workers(stored):
        return True
    workers = snapshot.workers
    worker_millicores = max(
        (worker.capacity.cpu_millicores for worker in workers), default=0
    )
    return (
        snapshot.demand_millicores
        > stored.demand_millicores + DEMAND_RISE_RATIO * worker_millicores
    )


def _drained_workers(snapshot: PoolSnapshot) -> frozenset[str]:
    return frozenset(w.worker_id for w in snapshot.workers if w.is_drained)
