"""Claims services for this entry host and runs those that it owns."""

import threading
from collections.abc import Callable
from typing import NamedTuple

import structlog

from sycamorecroft.clock import Clock
from sycamorecroft.concurrency import Ticker
from sycamorecroft.errors import PlatformError
from sycamorecroft.metrics import OWNERSHIP_CHANGES
from sycamorecroft.node.fleet_controller import FleetController
from sycamorecroft.node.owned_service import OwnedService
from sycamorecroft.node.worker_directory import WorkerDirectory
from sycamorecroft.ownership import Ownership
from sycamorecroft.ownership.owner import ClaimedService
from sycamorecroft.recorder import Recorder
from sycamorecroft.scheduling.model import FleetSnapshot, WorkerRegistration
from sycamorecroft.scheduling.pool_rows import FLEET_CONTROLLER_CLAIM
from sycamorecroft.store.interfaces import Row

_log = structlog.get_logger(__name__)

JOINING_INTERVAL_S = 0.1
WORKERS_UPDATE_INTERVAL_S = 0.25
# All services get their workers this often, since one that is being claimed while a
# registration changes may miss the change.
FULL_UPDATE_INTERVAL_S = 1.0
MIN_WAIT_S = 0.05
LOAD_RETRY_S = 0.2
RELEASE_TIMEOUT_S = 2.0


class OwnedServiceFactories(NamedTuple):
    """Creates the components that run while this entry host holds a claim."""

    create_service: Callable[
        [ClaimedService, tuple[WorkerRegistration, ...]], OwnedService
    ]
    create_fleet_controller: Callable[[ClaimedService], FleetController]


class ServiceSupervisor:
    """Sends heartbeats, claims unowned services, and starts and stops owned ones."""

    def __init__(
        self,
        ownership: Ownership,
        directory: WorkerDirectory,
        clock: Clock,
        fleet: Callable[[], FleetSnapshot | None],
        factories: OwnedServiceFactories,
        recorder: Recorder,
    ) -> None:
        """
        :param fleet: returns the configuration in force; ``None`` before one was read.
        """
        self._ownership = ownership
        self._directory = directory
        self._clock = clock
        self._fleet = fleet
        self._factories = factories
        self._recorder = recorder
        self._lock = threading.RLock()
        self._wake_event = threading.Event()
        self._stopping = threading.Event()
        self._released = threading.Event()
        self.owned: dict[str, OwnedService] = {}
        self._fleet_controller: FleetController | None = None
        self._next_full_update_s = 0.0
        self._ticker = Ticker(
            "update-workers", WORKERS_UPDATE_INTERVAL_S, self._update_workers
        )

    def start(self) -> None:
        """Starts the threads."""
        threading.Thread(target=self._run, name="ownership", daemon=True).start()
        self._ticker.start()

    def stop(self) -> None:
        """Stops and releases all services, so that others can claim them at once."""
        self._stopping.set()
        self._ticker.stop()
        with self._lock:
            for name in list(self._ownership.owned):
                self._stop_owned(name)
                self._ownership.release(name)
        self._released.set()
        self._wake_event.set()

    def wake(self) -> None:
        """Makes the thread check ownership at once."""
        self._wake_event.set()

    def apply_owner_rows(self, rows: tuple[Row, ...]) -> None:
        """Applies changed rows of owners."""
        with self._lock:
            self._ownership.apply_owner_rows(rows)
        self._wake_event.set()

    def confirm_claims(self, sent_s: float) -> None:
        """Records that claims hold after a read of the rows of owners.

        :param sent_s: monotonic time at which the read was sent.
        """
        with self._lock:
            self._ownership.confirm_claims(sent_s)

    def _run(self) -> None:
        next_heartbeat_s = 0.0
        while not self._stopping.is_set():
            now_s = self._clock.monotonic_s()
            try:
                if now_s >= next_heartbeat_s:
                    next_heartbeat_s = now_s + self._ownership.heartbeat_interval_s
                    self._ownership.send_heartbeat()
                self._update()
                # The interval is shorter once a service was claimed.
                latest_s = now_s + self._ownership.heartbeat_interval_s
                next_heartbeat_s = min(next_heartbeat_s, latest_s)
            except PlatformError as error:
                _log.debug("ownership_renewal_failed", error=str(error))
            except Exception:
                # The thread must survive any error, or the entry host would send no
                # heartbeats and lose all its services.
                _log.exception("ownership_update_failed")
            wait_s = max(MIN_WAIT_S, next_heartbeat_s - self._clock.monotonic_s())
            if self._ownership.is_joining:
                wait_s = JOINING_INTERVAL_S
            self._wake_event.wait(wait_s)
            self._wake_event.clear()
        self._withdraw()

    def _withdraw(self) -> None:
        """Announces the stop after all services are released.

        An entry host that is about to stop must claim no service, and others must not
        wait for it to do so.
        """
        self._released.wait(RELEASE_TIMEOUT_S)
        try:
            self._ownership.withdraw()
        except PlatformError as error:
            _log.info("stop_not_announced", error=str(error))

    def _update(self) -> None:
        fleet = self._fleet()
        if fleet is None:
            return
        with self._lock:
            if self._stopping.is_set():
                return
            for name in self._ownership.remove_lost_services():
                self._stop_owned(name)
            for owned in self.owned.values():
                owned.update_fleet(fleet)
            for claimed in self._ownership.claim_unowned_services(
                _names_to_claim(fleet)
            ):
                self._start_owned(claimed)
            self._hand_over()

    def _hand_over(self) -> None:
        """Releases a service that an entry host with more capacity should own."""
        name = self._ownership.service_to_hand_over()
        if name is None:
            return
        _log.info("service_handed_over", service=name)
        self._stop_owned(name)
        self._ownership.release(name)
        self._recorder.count(OWNERSHIP_CHANGES, change="handed_over")

    def _start_owned(self, claimed: ClaimedService) -> None:
        """Starts a claimed service in a thread of its own.

        Reading its rows takes seconds while the store is slow, and the heartbeats of
        this entry host must go on meanwhile.
        """
        name = claimed.claim.service
        self._stop_owned(name)
        threading.Thread(
            target=self._load, args=(claimed,), name=f"start-{name}", daemon=True
        ).start()

    def _load(self, claimed: ClaimedService) -> None:
        name = claimed.claim.service
        while self._is_owned(claimed):
            try:
                component = self._create(claimed)
            except PlatformError as error:
                _log.warning("service_start_failed", service=name, error=str(error))
            except Exception:
                # A claim without a running service would keep others from running it.
                _log.exception("service_start_failed", service=name)
            else:
                self._install(claimed, component)
                return
            self._stopping.wait(LOAD_RETRY_S)

    def _is_owned(self, claimed: ClaimedService) -> bool:
        with self._lock:
            current = self._ownership.owned.get(claimed.claim.service)
            return current is claimed and not self._stopping.is_set()

    def _create(self, claimed: ClaimedService) -> OwnedService | FleetController:
        name = claimed.claim.service
        if name == FLEET_CONTROLLER_CLAIM:
            return self._factories.create_fleet_controller(claimed)
        self._directory.refresh()
        workers = self._directory.list_workers(name)
        return self._factories.create_service(claimed, workers)

    def _install(
        self, claimed: ClaimedService, component: OwnedService | FleetController
    ) -> None:
        """Keeps a started service, unless its claim has been lost meanwhile."""
        name = claimed.claim.service
        with self._lock:
            if not self._is_owned(claimed):
                component.stop()
                return
            if name == FLEET_CONTROLLER_CLAIM:
                self._fleet_controller = component
                component.start()
            else:
                self.owned[name] = component
                # The configuration may have changed while the service was read.
                self._wake_event.set()
        self._recorder.count(OWNERSHIP_CHANGES, change="claimed")

    def _stop_owned(self, name: str) -> None:
        if name == FLEET_CONTROLLER_CLAIM:
            if self._fleet_controller is not None:
                self._fleet_controller.stop()
            self._fleet_controller = None
            return
        owned = self.owned.pop(name, None)
        if owned is not None:
            owned.stop()

    def handle_lost_service(self, claimed: ClaimedService) -> None:
        """Stops a service that another entry host owns.

        Does so in a thread of its own, since the caller is the service's actor, which
        must not wait for the lock.
        """
        threading.Thread(target=self._remove_lost, args=(claimed,), daemon=True).start()

    def _remove_lost(self, claimed: ClaimedService) -> None:
        name = claimed.claim.service
        with self._lock:
            if self._ownership.owned.get(name) is not claimed:
                return
            self._ownership.remove(name)
            self._stop_owned(name)
        self._recorder.count(OWNERSHIP_CHANGES, change="lost")

    def _update_workers(self) -> None:
        if not self.owned or self._stopping.is_set():
            return
        try:
            changed = self._directory.refresh()
        except PlatformError as error:
            _log.debug("worker_registrations_not_read", error=str(error))
            return
        now_s = self._clock.monotonic_s()
        is_full_update_due = now_s >= self._next_full_update_s
        if is_full_update_due:
            self._next_full_update_s = now_s + FULL_UPDATE_INTERVAL_S
        for name, owned in list(self.owned.items()):
            if is_full_update_due or name in changed:
                owned.update_workers(self._directory.list_workers(name))


def _names_to_claim(fleet: FleetSnapshot) -> list[str]:
    """
    :returns: names of all services with workers to schedule, and that of the fleet
        controller's claim.
    """
    names = [service.name for service in fleet.services if not service.is_standby]
    return [*names, FLEET_CONTROLLER_CLAIM]
