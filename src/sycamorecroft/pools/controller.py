"""Controller that brings hosts into the pools that the inventory declares."""

from collections.abc import Callable
from typing import NamedTuple

import structlog

from sycamorecroft.configuration.fleet import FleetConfiguration
from sycamorecroft.errors import (
    BudgetExceededError,
    HostBlockedError,
    NotLeaseHolderError,
    PlatformError,
    PoolOperationError,
)
from sycamorecroft.leases.lease import ControllerLease
from sycamorecroft.pools.clearance import Acknowledgements
from sycamorecroft.pools.inventory import InventoryStore
from sycamorecroft.pools.registry import NewHost, PoolRegistry
from sycamorecroft.pools.state import HostRecord, HostState, PoolView

_log = structlog.get_logger()

LEASE_NAME = "pools"
# Keeps one step within the store budget of pools and maintenance.
CHANGES_PER_STEP_COUNT = 10


class PoolReport(NamedTuple):
    """What one step did, and why hosts wait."""

    is_holder: bool
    registered_hosts: tuple[str, ...] = ()
    moved_hosts: tuple[str, ...] = ()
    waiting: tuple[str, ...] = ()
    problem: str = ""


class PoolController:
    """Registers declared hosts, moves them, and sets the pools' budgets.

    All state is in the tables. Not thread-safe; one ticker calls it.
    """

    def __init__(
        self,
        registry: PoolRegistry,
        inventory: InventoryStore,
        lease: ControllerLease,
        *,
        configuration: Callable[[], FleetConfiguration | None],
        view: Callable[[], PoolView],
    ) -> None:
        self._registry = registry
        self._inventory = inventory
        self._lease = lease
        self._configuration = configuration
        self._view = view
        self._budgets_version = 0

    def step(self) -> PoolReport:
        """Advances each host as far as it can go now."""
        try:
            if not self._lease.maintain():
                return PoolReport(False)
            return self._step()
        except NotLeaseHolderError as error:
            return PoolReport(False, problem=str(error))
        except PlatformError as error:
            return PoolReport(self._lease.is_held, problem=str(error))

    def _step(self) -> PoolReport:
        configuration = self._configuration()
        if configuration is None:
            return PoolReport(True, problem="no configuration is in force")
        self._set_budgets(configuration)
        view = self._view()
        hosts = self._inventory.read().hosts
        registered = self._register(hosts, view, configuration)
        moved, waiting = self._move(hosts, view)
        return PoolReport(True, registered, moved, waiting)

    def _set_budgets(self, configuration: FleetConfiguration) -> None:
        if configuration.version == self._budgets_version:
            return
        for pool in configuration.pools.values():
            self._registry.ensure_pool(pool.name, pool.max_unavailable_ratio)
        self._budgets_version = configuration.version

    def _register(
        self,
        hosts: tuple[NewHost, ...],
        view: PoolView,
        configuration: FleetConfiguration,
    ) -> tuple[str, ...]:
        missing = [
            host
            for host in hosts
            if host.host not in view.hosts and host.pool in configuration.pools
        ]
        registered = []
        for host in missing[:CHANGES_PER_STEP_COUNT]:
            try:
                self._registry.register_host(host)
            except PoolOperationError as error:
                _log.warning("host_not_registered", host=host.host, error=str(error))
                continue
            registered.append(host.host)
        return tuple(registered)

    def _move(
        self, hosts: tuple[NewHost, ...], view: PoolView
    ) -> tuple[tuple[str, ...], tuple[str, ...]]:
        moved, waiting = [], []
        acknowledgements: Acknowledgements | None = None
        for host in hosts:
            record = view.hosts.get(host.host)
            if record is None or not _needs_move(record, host.pool):
                continue
            if acknowledgements is None:
                acknowledgements = self._registry.acknowledgements()
            try:
                self._advance(record, host.pool, acknowledgements)
                moved.append(host.host)
            except (HostBlockedError, BudgetExceededError, PoolOperationError) as error:
                waiting.append(f"{host.host}: {error}")
            if len(moved) >= CHANGES_PER_STEP_COUNT:
                break
        return tuple(moved), tuple(waiting)

    def _advance(
        self, record: HostRecord, pool: str, acknowledgements: Acknowledgements
    ) -> None:
        host = record["host"]
        if record["target_pool"] is None:
            self._registry.begin_move(host, pool)
        elif record["target_pool"] != pool:
            self._registry.cancel_move(host)
        else:
            self._registry.complete_move(host, acknowledgements)


def _needs_move(record: HostRecord, pool: str) -> bool:
    if record["target_pool"] is not None:
        return True
    return record["pool"] != pool and record["state"] == HostState.ACTIVE
