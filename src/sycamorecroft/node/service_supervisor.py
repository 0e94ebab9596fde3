"""Thread that keeps this host's claims and runs what it owns."""

import threading
from collections.abc import Callable
from typing import NamedTuple

import structlog

from sycamorecroft.clock import Clock
from sycamorecroft.concurrency import Ticker
from sycamorecroft.errors import PlatformError
from sycamorecroft.metrics import TAKEOVERS
from sycamorecroft.node.fleet_controller import FleetController
from sycamorecroft.node.owned_service import OwnedService
from sycamorecroft.node.worker_directory import WorkerDirectory
from sycamorecroft.ownership import Ownership
from sycamorecroft.ownership.owner import ClaimedService
from sycamorecroft.recorder import Recorder
from sycamorecroft.scheduling.model import FleetSnapshot, WorkerEntry
from sycamorecroft.scheduling.pool_rows import MACHINES_CLAIM
from sycamorecroft.store.interfaces import Row

_log = structlog.get_logger(__name__)

JOIN_CHECK_S = 0.1
WORKERS_INTERVAL_S = 0.25
# A service that is taken over just now may miss a change; all are told this often.
FULL_LIST_INTERVAL_S = 1.0
WAIT_MIN_S = 0.05


class OwnedServiceFactories(NamedTuple):
    """Makes what runs while this host owns a service, or the machines."""

    service: Callable[[ClaimedService, tuple[WorkerEntry, ...]], OwnedService]
    machines: Callable[[ClaimedService], FleetController]


class ServiceSupervisor:
    """Renews this host's row, claims what is without an owner, and runs it."""

    def __init__(
        self,
        ownership: Ownership,
        directory: WorkerDirectory,
        clock: Clock,
        fleet: Callable[[], FleetSnapshot | None],
        parts: OwnedServiceFactories,
        recorder: Recorder,
    ) -> None:
        """
        :param fleet: returns the configuration in force.
        """
        self._ownership = ownership
        self._directory = directory
        self._clock = clock
        self._fleet = fleet
        self._parts = parts
        self._recorder = recorder
        self._lock = threading.RLock()
        self._due = threading.Event()
        self._stopping = threading.Event()
        self.owned: dict[str, OwnedService] = {}
        self._machines: FleetController | None = None
        self._next_full_s = 0.0
        self._ticker = Ticker("list-workers", WORKERS_INTERVAL_S, self._list_workers)

    def start(self) -> None:
        """Starts the threads."""
        threading.Thread(target=self._run, name="ownership", daemon=True).start()
        self._ticker.start()

    def stop(self) -> None:
        """Gives everything up, so that other hosts take it over at once."""
        self._stopping.set()
        self._ticker.stop()
        with self._lock:
            for name in list(self._ownership.owned):
                self._stop_owned(name)
                self._ownership.release(name)

    def wake(self) -> None:
        """Has ownership looked at now."""
        self._due.set()

    def apply_owner_rows(self, rows: tuple[Row, ...]) -> None:
        """Takes in changes of owners."""
        with self._lock:
            self._ownership.apply_owner_rows(rows)
        self._due.set()

    def _run(self) -> None:
        next_beat_s = 0.0
        while not self._stopping.is_set():
            now_s = self._clock.monotonic_s()
            try:
                if now_s >= next_beat_s:
                    next_beat_s = now_s + self._ownership.heartbeat_interval_s
                    self._ownership.send_heartbeat()
                self._update()
                # A host that has just come to own something beats more often.
                latest_s = now_s + self._ownership.heartbeat_interval_s
                next_beat_s = min(next_beat_s, latest_s)
            except PlatformError as error:
                _log.debug("ownership_not_renewed", error=str(error))
            except Exception:
                # The thread must outlive any error, or the host would lose all.
                _log.exception("ownership_failed")
            wait_s = max(WAIT_MIN_S, next_beat_s - self._clock.monotonic_s())
            if self._ownership.is_joining:
                wait_s = JOIN_CHECK_S
            self._due.wait(wait_s)
            self._due.clear()

    def _update(self) -> None:
        fleet = self._fleet()
        if fleet is None:
            return
        with self._lock:
            if self._stopping.is_set():
                return
            for name in self._ownership.lost_services():
                self._stop_owned(name)
            for claimed in self._ownership.claim_unowned_services(_names_to_claim(fleet)):
                self._begin(claimed)

    def _begin(self, claimed: ClaimedService) -> None:
        name = claimed.claim.service
        self._stop_owned(name)
        try:
            if name == MACHINES_CLAIM:
                self._machines = self._parts.machines(claimed)
                self._machines.start()
            else:
                self._directory.refresh()
                workers = self._directory.of_service(name)
                self.owned[name] = self._parts.service(claimed, workers)
        except PlatformError as error:
            _log.warning("service_not_begun", service=name, error=str(error))
            self._ownership.owned.pop(name, None)
            return
        self._recorder.count(TAKEOVERS, change="claimed")

    def _stop_owned(self, name: str) -> None:
        if name == MACHINES_CLAIM:
            if self._machines is not None:
                self._machines.stop()
            self._machines = None
            return
        owned = self.owned.pop(name, None)
        if owned is not None:
            owned.stop()

    def on_lost(self, name: str) -> None:
        """Called by a service's actor, which must not wait for the lock."""
        threading.Thread(target=self._drop, args=(name,), daemon=True).start()

    def _drop(self, name: str) -> None:
        self._recorder.count(TAKEOVERS, change="lost")
        with self._lock:
            self._ownership.owned.pop(name, None)
            self._stop_owned(name)

    def _list_workers(self) -> None:
        if not self.owned or self._stopping.is_set():
            return
        try:
            changed = self._directory.refresh()
        except PlatformError as error:
            _log.debug("workers_not_listed", error=str(error))
            return
        now_s = self._clock.monotonic_s()
        is_full_due = now_s >= self._next_full_s
        if is_full_due:
            self._next_full_s = now_s + FULL_LIST_INTERVAL_S
        for name, owned in list(self.owned.items()):
            if is_full_due or name in changed:
                owned.list_workers(self._directory.of_service(name))


def _names_to_claim(fleet: FleetSnapshot) -> list[str]:
    """Services that have workers to schedule, and the machines."""
    names = [service.name for service in fleet.services if not service.is_standby]
    return [*names, MACHINES_CLAIM]
