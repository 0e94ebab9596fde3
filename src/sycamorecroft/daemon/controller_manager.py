"""Wiring of a daemon's controllers: pools, maintenance, jobs and retention."""

import math
from collections.abc import Callable
from typing import NamedTuple

import structlog

from sycamorecroft.clock import Clock
from sycamorecroft.concurrency import PublishedValue
from sycamorecroft.configuration.actor import ConfigurationStatus
from sycamorecroft.configuration.fleet import FleetConfiguration
from sycamorecroft.daemon.controller_runner import ControllerRunner
from sycamorecroft.daemon.demand import required_hosts
from sycamorecroft.daemon.job_controllers import (
    JobControllerDependencies,
    JobControllers,
)
from sycamorecroft.daemon.retention import Retention
from sycamorecroft.daemon.store import PlatformClients
from sycamorecroft.errors import PlatformError
from sycamorecroft.leases.lease import ControllerLease
from sycamorecroft.maintenance import MaintenanceController
from sycamorecroft.membership.state import MembershipView
from sycamorecroft.pools.controller import LEASE_NAME as POOLS_LEASE, PoolController
from sycamorecroft.pools.state import PoolView

_log = structlog.get_logger()

_STOP_TIMEOUT_S = 1.0


class ControllerInputs(NamedTuple):
    """Published values that the controllers read."""

    configuration: PublishedValue[ConfigurationStatus]
    view: PublishedValue[PoolView]
    membership: PublishedValue[MembershipView | None]


class ControllerManager:
    """Creates the controllers of a daemon, runs them and releases their leases.

    :param holder: name under which leases are held; unique for each daemon start.
    """

    def __init__(
        self,
        platform: PlatformClients,
        inputs: ControllerInputs,
        clock: Clock,
        holder: str,
    ) -> None:
        self._platform = platform
        self._inputs = inputs
        self._clock = clock
        self._holder = holder
        pools_lease = self._new_lease(POOLS_LEASE)
        maintenance_lease = self._new_lease("maintenance")
        self._pools = PoolController(
            platform.tables, platform.host_list, pools_lease, clock
        )
        self.maintenance = MaintenanceController(
            platform.tables,
            platform.host_list,
            platform.host_control,
            maintenance_lease,
            clock,
        )
        retention = Retention(platform.tables, platform.objects, clock)
        self._runners = (
            self._runner(POOLS_LEASE, self._step_pools, pools_lease),
            self._runner("maintenance", self._step_maintenance, maintenance_lease),
            ControllerRunner(
                "retention", retention.step, lambda: False, inputs.membership.get
            ),
        )
        self._leases = (pools_lease, maintenance_lease)
        self._jobs = JobControllers(self._job_dependencies(), self._new_lease, clock)

    def start(self) -> None:
        """Starts the steps of all controllers."""
        for runner in self._runners:
            runner.start()
        self._jobs.start()

    def stop(self) -> None:
        """Stops the controllers and releases their leases, so that others take over."""
        for runner in self._runners:
            runner.stop(_STOP_TIMEOUT_S)
        job_leases = self._jobs.stop(_STOP_TIMEOUT_S)
        for lease in (*self._leases, *job_leases):
            try:
                lease.release()
            except PlatformError as error:
                _log.info("lease_not_released", error=str(error))

    def held_leases(self) -> tuple[str, ...]:
        """
        :returns: names of the leases that this daemon holds, sorted.
        """
        leases = (*self._leases, *self._jobs.leases())
        return tuple(sorted(lease.name for lease in leases if lease.is_held))

    def busy_workers(self) -> frozenset[str]:
        """
        :returns: workers on which a job controller of this daemon may have running
            tasks.
        """
        return self._jobs.busy_workers()

    def _new_lease(self, name: str) -> ControllerLease:
        tables = self._platform.tables
        return ControllerLease(tables, self._clock, name=name, holder=self._holder)

    def _job_dependencies(self) -> JobControllerDependencies:
        inputs = self._inputs
        return JobControllerDependencies(
            self._platform.tables,
            self._platform.tasks,
            self._platform.host_list,
            lambda: inputs.configuration.get().in_force,
            inputs.view.get,
            inputs.membership.get,
        )

    def _runner(
        self, name: str, step: Callable[[], object], lease: ControllerLease
    ) -> ControllerRunner:
        def run_step() -> None:
            report = step()
            problem = getattr(report, "problem", "")
            if problem:
                _log.info("controller_problem", controller=name, problem=problem)

        return ControllerRunner(
            name, run_step, lambda: lease.is_held, self._inputs.membership.get
        )

    def _step_pools(self) -> object:
        in_force = self._inputs.configuration.get().in_force
        if in_force is None:
            return None
        self._pools.configure(in_force.pools)
        self._pools.observe_demand(self._required_hosts(in_force))
        return self._pools.step()

    def _step_maintenance(self) -> object:
        in_force = self._inputs.configuration.get().in_force
        if in_force is not None:
            demand = self._required_hosts(in_force)
            needed = {pool: math.ceil(hosts) for pool, hosts in demand.items()}
            self.maintenance.observe_demand(needed)
        return self.maintenance.step(self._clock.now())

    def _required_hosts(self, configuration: FleetConfiguration) -> dict[str, float]:
        inputs = self._inputs
        return required_hosts(configuration, inputs.membership.get(), inputs.view.get())
