"""Periodic execution of the job controllers of all pools on one daemon."""

from collections.abc import Callable
from typing import NamedTuple

import structlog

from sycamorecroft.clock import Clock
from sycamorecroft.concurrency import Ticker
from sycamorecroft.configuration.fleet import FleetConfiguration
from sycamorecroft.daemon.controller_runner import ACQUIRE_INTERVAL_S, is_candidate
from sycamorecroft.errors import PlatformError
from sycamorecroft.jobs import JobController, PoolWorkers
from sycamorecroft.leases.lease import ControllerLease
from sycamorecroft.membership.state import MembershipView
from sycamorecroft.pools.state import PoolView
from sycamorecroft.store.interfaces import (
    HostList,
    HostListing,
    TableService,
    TaskService,
)

STEP_INTERVAL_S = 0.5
LISTING_INTERVAL_S = 5.0

_log = structlog.get_logger()


class JobControllerDependencies(NamedTuple):
    """Clients and state that job controllers use. The callables must not block."""

    tables: TableService
    tasks: TaskService
    host_list: HostList
    configuration: Callable[[], FleetConfiguration | None]
    view: Callable[[], PoolView]
    membership: Callable[[], MembershipView | None]


class _PoolController:
    """Job controller of one pool, with its lease."""

    def __init__(self, controller: JobController, lease: ControllerLease) -> None:
        self.controller = controller
        self.lease = lease
        self._last_attempt_s = float("-inf")

    def step(self, now_s: float) -> None:
        """Renews the lease, or tries to acquire it when due, and runs one round."""
        if self.lease.is_held or now_s - self._last_attempt_s >= ACQUIRE_INTERVAL_S:
            self._last_attempt_s = now_s
            try:
                self.lease.maintain()
            except PlatformError as error:
                _log.info("job_lease_not_renewed", error=str(error))
        self.controller.step(now_s)


class _ListingCache:
    """Host list that is read at most once per interval."""

    def __init__(self, host_list: HostList, clock: Clock) -> None:
        self._host_list = host_list
        self._clock = clock
        self._listing: HostListing | None = None
        self._last_read_s = 0.0

    def get(self) -> HostListing:
        now_s = self._clock.monotonic_s()
        if self._listing is None or now_s - self._last_read_s >= LISTING_INTERVAL_S:
            self._listing = self._host_list.list_hosts()
            self._last_read_s = now_s
        return self._listing


class JobControllers:
    """Runs the job controller of each pool for whose lease this is a candidate.

    :param new_lease: creates a lease with the given name for this daemon.
    """

    def __init__(
        self,
        dependencies: JobControllerDependencies,
        new_lease: Callable[[str], ControllerLease],
        clock: Clock,
    ) -> None:
        self._dependencies = dependencies
        self._new_lease = new_lease
        self._clock = clock
        self._listing = _ListingCache(dependencies.host_list, clock)
        self._pool_controllers: dict[str, _PoolController] = {}
        self._ticker = Ticker("jobs", STEP_INTERVAL_S, self._step)

    def start(self) -> None:
        """Starts the periodic steps."""
        self._ticker.start()

    def stop(self, timeout_s: float) -> tuple[ControllerLease, ...]:
        """Stops the periodic steps and waits for a running one.

        :param timeout_s: longest wait in seconds.
        :returns: leases to release.
        """
        self._ticker.stop()
        self._ticker.join(timeout_s)
        return self.leases()

    def leases(self) -> tuple[ControllerLease, ...]:
        """
        :returns: leases of all pools for which this daemon has been a candidate.
        """
        return tuple(
            pool_controller.lease
            for pool_controller in tuple(self._pool_controllers.values())
        )

    def busy_workers(self) -> frozenset[str]:
        """
        :returns: workers on which a job controller of this daemon may have running
            tasks.
        """
        busy = (
            pool_controller.controller.busy_workers()
            for pool_controller in tuple(self._pool_controllers.values())
            if pool_controller.lease.is_held
        )
        return frozenset().union(*busy)

    def _step(self) -> None:
        configuration = self._dependencies.configuration()
        if configuration is None:
            return
        for pool in configuration.pools:
            pool_controller = self._controller_of(pool)
            name = _lease_name(pool)
            if pool_controller.lease.is_held or is_candidate(
                name, self._dependencies.membership()
            ):
                pool_controller.step(self._clock.monotonic_s())

    def _controller_of(self, pool: str) -> _PoolController:
        if pool not in self._pool_controllers:
            self._pool_controllers[pool] = self._new_controller(pool)
        return self._pool_controllers[pool]

    def _new_controller(self, pool: str) -> _PoolController:
        dependencies = self._dependencies
        lease = self._new_lease(_lease_name(pool))
        workers = PoolWorkers(
            pool, pool_view=dependencies.view, host_listing=self._listing.get
        )
        controller = JobController(
            pool,
            tables=dependencies.tables,
            tasks=dependencies.tasks,
            lease=lease,
            workers=workers,
            configuration=self._require_configuration,
            clock=self._clock,
        )
        return _PoolController(controller, lease)

    def _require_configuration(self) -> FleetConfiguration:
        configuration = self._dependencies.configuration()
        assert configuration is not None
        return configuration


def _lease_name(pool: str) -> str:
    return f"jobs/{pool}"
