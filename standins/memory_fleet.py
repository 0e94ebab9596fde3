"""Small fleet on the in-memory platform: pools of workers, and entry hosts."""

from collections.abc import Iterable, Sequence
from typing import NamedTuple

import msgspec

from standins.faults import FaultInjector
from standins.memory_platform import MemoryPlatform
from standins.memory_tables import MemoryTables
from sycamorecroft.clock import ManualClock
from sycamorecroft.configuration.fleet import PoolConfiguration
from sycamorecroft.errors import SycamorecroftError
from sycamorecroft.invariants import check_availability_budget, check_single_pool
from sycamorecroft.leases.lease import ControllerLease
from sycamorecroft.maintenance.controller import LEASE_NAME, MaintenanceController
from sycamorecroft.pools.controller import PoolController
from sycamorecroft.pools.records import (
    HOSTS_TABLE,
    POOLS_TABLE,
    BudgetRecord,
    allowed_out_count,
    decode_budget,
    decode_host,
)
from sycamorecroft.pools.registration import EntryHostRegistration
from sycamorecroft.pools.registry import NewHost, PoolRegistry
from sycamorecroft.pools.state import HostRecord, HostState
from sycamorecroft.pools.transitions import PLANNED_OUT_STATES, availability_of
from sycamorecroft.pools.view import PoolViewReader
from sycamorecroft.store.interfaces import (
    HostControl,
    HostPhase,
    HostRole,
    HostStatus,
    PlatformHost,
    Put,
    StorePurpose,
    TableService,
)


class PoolShape(NamedTuple):
    """Pool to create. Its hosts share no racks with other pools.

    :param rack_size: number of hosts per rack.
    """

    name: str
    hosts_count: int
    rack_size: int
    max_unavailable_ratio: float


class RecordingHostControl(HostControl):
    """Forwards calls and records reboots, counting repeated operations once.

    :ivar rebooted_hosts: hosts in the order of their reboots.
    """

    def __init__(self, control: HostControl) -> None:
        self._control = control
        self._operations: set[str] = set()
        self.rebooted_hosts: list[str] = []

    def drain(self, host: str, *, operation_id: str) -> None:
        self._control.drain(host, operation_id=operation_id)

    def reboot(self, host: str, *, operation_id: str) -> None:
        self._control.reboot(host, operation_id=operation_id)
        if operation_id not in self._operations:
            self._operations.add(operation_id)
            self.rebooted_hosts.append(host)

    def phase(self, host: str) -> HostPhase:
        return self._control.phase(host)


class MemoryEntryHost:
    """Entry host that reads the pool view, issues grants on it and acknowledges it.

    :ivar is_frozen: whether :meth:`step` and :meth:`grant` have no effect.
    :ivar grants: pool by host of each grant held.
    """

    def __init__(
        self, tables: MemoryTables, clock: ManualClock, name: str, incarnation: str
    ) -> None:
        self.name = name
        self.is_frozen = False
        self.tables = tables.connect(_fault_injector(clock))
        self.reader = PoolViewReader(self.tables)
        self.grants: dict[str, str] = {}
        self.registration = EntryHostRegistration(
            self.tables, clock, entry=name, incarnation=incarnation
        )

    def step(self) -> None:
        """Reads the view and acknowledges it, unless frozen or without the store."""
        if self.is_frozen:
            return
        try:
            view = self.reader.refresh()
            self.registration.renew(
                view_version=view.version,
                staged_version=0,
                granted_hosts=self.grants,
            )
        except SycamorecroftError:
            return

    def may_grant(self, host: str) -> bool:
        """
        :returns: whether this entry host may issue a grant on ``host`` by its view.
        """
        view = self.reader.view
        record = view.hosts.get(host)
        if record is None or record["state"] != HostState.ACTIVE:
            return False
        return self.registration.may_own_queues(view.version)

    def grant(self, host: str) -> None:
        """Issues a grant on ``host`` if :meth:`may_grant` allows it."""
        if not self.is_frozen and self.may_grant(host):
            self.grants[host] = self.reader.view.hosts[host]["pool"]

    def memberships(self) -> list[tuple[str, str]]:
        """
        :returns: pairs of host and pool to which requests may currently be sent, from
            grants held and from the view.
        """
        hosts = self.reader.view.hosts
        granted = list(self.grants.items())
        return granted + [
            (host, hosts[host]["pool"]) for host in hosts if self.may_grant(host)
        ]


class MemoryFleet:
    """Workers in pools, entry hosts and controllers that share one manual clock.

    :param host_list_lag_s: lag of the platform's host list.
    :param reboot_s: duration of a host's reboot.
    """

    def __init__(
        self,
        pools: Sequence[PoolShape],
        *,
        entry_hosts_count: int = 3,
        host_list_lag_s: float = 0.0,
        reboot_s: float = 30.0,
    ) -> None:
        self.clock = ManualClock()
        self.platform = MemoryPlatform(
            self.clock, host_list_lag_s=host_list_lag_s, reboot_s=reboot_s
        )
        self.tables = self.platform.tables
        self.control = RecordingHostControl(self.platform.control)
        self.pools = tuple(pools)
        self.workers = tuple(host for pool in pools for host in _new_hosts(pool))
        self.entry_hosts = {
            name: MemoryEntryHost(self.tables, self.clock, name, f"{name}/1")
            for name in (f"entry{number}" for number in range(entry_hosts_count))
        }
        self._register()

    def registry(self, holder: str, tables: TableService | None = None) -> PoolRegistry:
        """
        :returns: a pool registry with lease ``pools``, after one attempt to acquire it.
        """
        lease = self.lease("pools", holder, tables)
        lease.maintain()
        return PoolRegistry(
            tables or self.tables, self.platform.hosts, lease, self.clock
        )

    def lease(
        self, name: str, holder: str, tables: TableService | None = None
    ) -> ControllerLease:
        """
        :returns: a lease that has not been acquired.
        """
        return ControllerLease(
            tables or self.tables, self.clock, name=name, holder=holder
        )

    def maintenance(
        self, holder: str, tables: TableService | None = None
    ) -> MaintenanceController:
        """
        :returns: a maintenance controller whose lease has not been acquired.
        """
        return MaintenanceController(
            tables or self.tables,
            self.platform.hosts,
            self.control,
            self.lease(LEASE_NAME, holder, tables),
            self.clock,
        )

    def pool_controller(
        self, holder: str, tables: TableService | None = None
    ) -> PoolController:
        """
        :returns: a pool controller configured with the fleet's pools, the last of which
            is the spare pool.
        """
        controller = PoolController(
            tables or self.tables,
            self.platform.hosts,
            self.lease("pools", holder, tables),
            self.clock,
        )
        controller.configure(
            {
                pool.name: PoolConfiguration(
                    name=pool.name,
                    account="account",
                    hosts_count=pool.hosts_count,
                    max_unavailable_ratio=pool.max_unavailable_ratio,
                    is_spare=pool is self.pools[-1],
                )
                for pool in self.pools
            }
        )
        return controller

    def connect(self) -> MemoryTables:
        """
        :returns: a handle to the tables with faults of its own.
        """
        return self.tables.connect(_fault_injector(self.clock))

    def tick(self, duration_s: float = 1.0) -> None:
        """Advances the clock and steps each entry host once."""
        self.clock.advance(duration_s)
        for entry_host in self.entry_hosts.values():
            entry_host.step()

    def declare_hosts(self, without: Iterable[str] = ()) -> None:
        """Declares the platform's host list, without the hosts in ``without``."""
        excluded_hosts = frozenset(without)
        names = [worker.host for worker in self.workers]
        platform_hosts = [_platform_host(name, HostRole.WORKER) for name in names]
        platform_hosts += [
            _platform_host(name, HostRole.ENTRY) for name in self.entry_hosts
        ]
        self.platform.hosts.declare(
            host for host in platform_hosts if host.name not in excluded_hosts
        )

    def host_records(self) -> dict[str, HostRecord]:
        """
        :returns: the host records in the table, regardless of faults.
        """
        scan = self.connect().scan(HOSTS_TABLE, purpose=StorePurpose.VIEW)
        return {row.key: decode_host(row.value or b"") for row in scan.rows}

    def put_host_field(self, host: str, field: str, value: str) -> None:
        """Overwrites one field of a host's row, bypassing all checks."""
        tables = self.connect()
        row = tables.read(HOSTS_TABLE, host, purpose=StorePurpose.OPERATORS)
        fields = msgspec.json.decode(row.value)
        fields[field] = value
        put = Put(HOSTS_TABLE, host, msgspec.json.encode(fields))
        tables.transact([], [put], purpose=StorePurpose.OPERATORS)

    def budgets(self) -> dict[str, BudgetRecord]:
        """
        :returns: the budget records in the table, regardless of faults.
        """
        scan = self.connect().scan(POOLS_TABLE, purpose=StorePurpose.VIEW)
        return {row.key: decode_budget(row.value or b"") for row in scan.rows}

    def check(self) -> None:
        """Checks invariants I1 and I2, and that budget rows agree with host rows.

        :raises InvariantError: when an invariant is violated.
        :raises AssertionError: when a budget row disagrees with the host rows.
        """
        records = self.host_records().values()
        memberships = [(record["host"], record["pool"]) for record in records]
        for entry_host in self.entry_hosts.values():
            memberships += entry_host.memberships()
        check_single_pool(memberships)
        for pool, budget in self.budgets().items():
            check_availability_budget(availability_of(budget))
            states = [item["state"] for item in records if item["pool"] == pool]
            planned_out_count = sum(state in PLANNED_OUT_STATES for state in states)
            assert budget["hosts_count"] == len(states), pool
            assert budget["planned_out_count"] == planned_out_count, pool
            assert planned_out_count <= allowed_out_count(budget), pool

    def _register(self) -> None:
        self.declare_hosts()
        lease = self.lease("pools", "setup")
        lease.acquire()
        registry = PoolRegistry(self.tables, self.platform.hosts, lease, self.clock)
        for pool in self.pools:
            registry.ensure_pool(pool.name, pool.max_unavailable_ratio)
        for worker in self.workers:
            registry.register_host(worker)
        lease.release()
        for _ in range(2):
            self.tick()


def _new_hosts(pool: PoolShape) -> list[NewHost]:
    return [
        NewHost(
            host=f"{pool.name}-{number}",
            address="127.0.0.1:1",
            data_centre="dc",
            rack=f"{pool.name}-rack{number // pool.rack_size}",
            pool=pool.name,
            slots_count=8,
            connections_count=64,
        )
        for number in range(pool.hosts_count)
    ]


def _platform_host(name: str, role: HostRole) -> PlatformHost:
    return PlatformHost(
        name=name,
        role=role,
        address="127.0.0.1:1",
        data_centre="dc",
        rack="",
        status=HostStatus.LIVE,
        processors_count=16,
        memory_bytes=64 * 2**30,
        accelerators_count=0,
        slots_count=8,
        connections_count=64,
    )


def _fault_injector(clock: ManualClock) -> FaultInjector:
    return FaultInjector(clock, sleep=clock.advance)
