"""Controller that registers hosts, removes failed ones and moves them between pools."""

from collections import Counter
from collections.abc import Mapping, Sequence
from contextlib import suppress
from typing import NamedTuple

import structlog

from sycamorecroft.clock import Clock
from sycamorecroft.configuration.fleet import PoolConfiguration
from sycamorecroft.errors import (
    HostBlockedError,
    NotLeaseHolderError,
    PlatformError,
    PoolOperationError,
    StoreConflictError,
    StoreUnavailableError,
)
from sycamorecroft.leases.lease import ControllerLease
from sycamorecroft.pools.demand import DemandTracker, PoolNeed
from sycamorecroft.pools.inventory import InventoryStore
from sycamorecroft.pools.mirror import TableMirror
from sycamorecroft.pools.move_requests import MoveRequestStore
from sycamorecroft.pools.planning import Move, MovePlanInput, plan_moves, supply_counts
from sycamorecroft.pools.records import (
    HOSTS_TABLE,
    POOLS_TABLE,
    HostRow,
    budget_row,
    find_host_row,
)
from sycamorecroft.pools.registry import NewHost, PoolRegistry
from sycamorecroft.pools.state import HostState
from sycamorecroft.store.interfaces import (
    HostList,
    HostListing,
    HostRole,
    HostStatus,
    PlatformHost,
    StorePurpose,
    TableService,
)

_log = structlog.get_logger()

LEASE_NAME = "pools"
# A host that is absent from the platform's list for this time has failed. A shorter
# absence may be due to the lag of the list.
ABSENCE_LIMIT_S = 60.0
# A list that lacks more than this share of the hosts is treated as wrong: the loss of a
# data centre is smaller, and routing avoids failed workers without the controller.
MASS_ABSENCE_RATIO = 0.5
# A failed host that stays absent from the list for this time is deregistered.
REMOVAL_LIMIT_S = 600.0
# A failed host that the list names as live for this time has recovered. A shorter
# presence proves nothing, as the list lags and may still name a host that just failed.
RETURN_AFTER_S = 30.0
# Keeps one step within the store budget of pools and maintenance, 20 writes/s.
CHANGES_PER_STEP_COUNT = 8


class PoolStepReport(NamedTuple):
    """Result of one step; ``problem`` is the error that ended it early, else empty."""

    is_holder: bool
    registered_hosts: tuple[str, ...]
    taken_out_hosts: tuple[str, ...]
    moving_hosts: tuple[str, ...]
    moved_hosts: tuple[str, ...]
    problem: str


class PoolController:
    """Registers hosts, takes failed ones out of service and carries out moves.

    A new host is assigned to the pool that the inventory declares for it, else to the
    pool with the largest shortage of configured hosts, else to the spare pool. Moves
    requested by operators take precedence over moves planned from demand. All state
    except the demand is in the tables. Not thread-safe; called about once a second.

    :param lease: lease ``pools``; :meth:`step` acquires and renews it.
    """

    def __init__(
        self,
        table: TableService,
        host_list: HostList,
        lease: ControllerLease,
        clock: Clock,
    ) -> None:
        self._lease = lease
        self._clock = clock
        self._host_list = host_list
        self._registry = PoolRegistry(table, host_list, lease, clock)
        self._inventory = InventoryStore(table)
        self._move_requests = MoveRequestStore(table)
        self._hosts = TableMirror(
            table, HOSTS_TABLE, find_host_row, purpose=StorePurpose.POOLS
        )
        self._budgets = TableMirror(
            table, POOLS_TABLE, budget_row, purpose=StorePurpose.POOLS
        )
        self._pools: Mapping[str, PoolConfiguration] = {}
        self._trackers: dict[str, DemandTracker] = {}
        self._absent_since_s: dict[str, float] = {}
        self._relisted_since_s: dict[str, float] = {}

    def configure(self, pools: Mapping[str, PoolConfiguration]) -> None:
        """Sets the pools of the configuration in force, by name."""
        self._pools = dict(pools)

    def observe_demand(self, demand_hosts: Mapping[str, float]) -> None:
        """Records a sample of the demand.

        :param demand_hosts: demand of each pool, in fully utilized hosts.
        """
        now_s = self._clock.monotonic_s()
        for pool, demand in demand_hosts.items():
            tracker = self._trackers.setdefault(pool, DemandTracker())
            tracker.observe(demand, now_s)

    def needs(self) -> Mapping[str, PoolNeed]:
        """
        :returns: the need of each pool whose demand is known, with the supply of hosts
            as of the last step.
        """
        now_s = self._clock.monotonic_s()
        records = [row.record for row in self._hosts.values.values()]
        supplies = supply_counts(records, frozenset(self._absent_since_s))
        return {
            pool: tracker.need(supplies.get(pool, 0), now_s)
            for pool, tracker in self._trackers.items()
        }

    def step(self) -> PoolStepReport:
        """Runs one reconciliation step, if the lease is held.

        Completes moves, registers new hosts, takes failed hosts out of service,
        returns recovered ones, deregisters lost ones and starts moves.

        :returns: what was done; store errors and a lost lease are reported in
            ``problem`` and not raised.
        """
        report = PoolStepReport(False, (), (), (), (), "")
        try:
            if not self._lease.maintain():
                return report
            return self._step()
        except NotLeaseHolderError as error:
            return report._replace(problem=str(error))
        except PlatformError as error:
            return report._replace(is_holder=self._lease.is_held, problem=str(error))

    def _step(self) -> PoolStepReport:
        self._hosts.refresh()
        self._budgets.refresh()
        self._ensure_pools()
        hosts = self._hosts.values
        moved = self._complete_moves(hosts)
        listing = self._list_workers()
        registered = self._register(hosts, listing)
        self._record_absences(hosts, listing)
        taken_out = self._take_out_failed(hosts)
        self._return_recovered(hosts, listing)
        self._remove_lost(hosts)
        moving = self._start_requested_moves(hosts)
        if listing is not None:
            moving += self._start_planned_moves(hosts)
        return PoolStepReport(True, registered, taken_out, moving, moved, "")

    def _ensure_pools(self) -> None:
        for name, pool in self._pools.items():
            known = self._budgets.values.get(name)
            ratio = pool.max_unavailable_ratio
            if known is None or known.record["max_unavailable_ratio"] != ratio:
                self._registry.ensure_pool(name, ratio)

    def _complete_moves(self, hosts: Mapping[str, HostRow]) -> tuple[str, ...]:
        moving = [row for row in hosts.values() if row.record["target_pool"]]
        if not moving:
            return ()
        acknowledgements = self._registry.acknowledgements()
        moved: list[str] = []
        for row in moving:
            if len(moved) == CHANGES_PER_STEP_COUNT:
                break
            if not self._registry.clearance(row, acknowledgements).is_clear:
                continue
            name = row.record["host"]
            try:
                self._registry.complete_move(name, acknowledgements)
            except (HostBlockedError, PoolOperationError, StoreConflictError):
                continue
            moved.append(name)
        return tuple(moved)

    def _list_workers(self) -> HostListing | None:
        try:
            listing = self._host_list.list_hosts()
        except StoreUnavailableError:
            return None
        workers = tuple(host for host in listing.hosts if host.role is HostRole.WORKER)
        return listing._replace(hosts=workers)

    def _register(
        self, hosts: Mapping[str, HostRow], listing: HostListing | None
    ) -> tuple[str, ...]:
        if listing is None or not self._pools:
            return ()
        new = [
            host
            for host in listing.hosts
            if host.name not in hosts and host.status is HostStatus.LIVE
        ]
        if not new:
            return ()
        declared = {host.host: host.pool for host in self._inventory.read().hosts}
        sizes = Counter(
            row.record["pool"]
            for row in hosts.values()
            if row.record["state"] != HostState.OUT
        )
        for host in new[:CHANGES_PER_STEP_COUNT]:
            pool = declared.get(host.name, "")
            if pool not in self._pools:
                pool = self._default_pool(sizes)
            self._registry.register_host(_new_host(host, pool))
            sizes[pool] += 1
        return tuple(host.name for host in new[:CHANGES_PER_STEP_COUNT])

    def _default_pool(self, sizes: Mapping[str, int]) -> str:
        pools = sorted(self._pools.values(), key=lambda pool: pool.name)
        lacking = [pool for pool in pools if sizes.get(pool.name, 0) < pool.hosts_count]
        if lacking:
            return max(
                lacking, key=lambda pool: pool.hosts_count - sizes.get(pool.name, 0)
            ).name
        spare = [pool for pool in pools if pool.is_spare]
        return (spare or pools)[0].name

    def _record_absences(
        self, hosts: Mapping[str, HostRow], listing: HostListing | None
    ) -> None:
        if listing is None:
            return
        now_s = self._clock.monotonic_s()
        listed = frozenset(host.name for host in listing.hosts)
        self._absent_since_s = {
            name: self._absent_since_s.get(name, now_s)
            for name, row in hosts.items()
            if name not in listed and _should_be_listed(row)
        }

    def _take_out_failed(self, hosts: Mapping[str, HostRow]) -> tuple[str, ...]:
        failed = [
            name
            for name in self._absent_for(ABSENCE_LIMIT_S)
            if hosts[name].record["state"] != HostState.OUT
        ]
        if len(failed) > MASS_ABSENCE_RATIO * len(hosts):
            _log.error("host_list_implausible", absent_count=len(failed))
            return ()
        for name in failed[:CHANGES_PER_STEP_COUNT]:
            self._registry.take_out_of_service(name)
        return tuple(failed[:CHANGES_PER_STEP_COUNT])

    def _return_recovered(
        self, hosts: Mapping[str, HostRow], listing: HostListing | None
    ) -> None:
        """Returns failed hosts to service that the platform lists as live again."""
        if listing is None:
            return
        now_s = self._clock.monotonic_s()
        live = {host.name for host in listing.hosts if host.status is HostStatus.LIVE}
        self._relisted_since_s = {
            name: self._relisted_since_s.get(name, now_s)
            for name, row in hosts.items()
            if name in live and row.record["state"] == HostState.OUT
        }
        recovered = [
            name
            for name, since_s in self._relisted_since_s.items()
            if now_s - since_s >= RETURN_AFTER_S
        ]
        for name in recovered[:CHANGES_PER_STEP_COUNT]:
            with suppress(PoolOperationError, StoreConflictError):
                self._registry.return_to_service(name)

    def _remove_lost(self, hosts: Mapping[str, HostRow]) -> None:
        lost = [
            name
            for name in self._absent_for(REMOVAL_LIMIT_S)
            if hosts[name].record["state"] == HostState.OUT
        ]
        for name in lost[:CHANGES_PER_STEP_COUNT]:
            # A later step retries when an entry host or the budget blocks the removal.
            with suppress(PoolOperationError, StoreConflictError):
                self._registry.remove_host(name)

    def _absent_for(self, duration_s: float) -> list[str]:
        now_s = self._clock.monotonic_s()
        return [
            name
            for name, since_s in self._absent_since_s.items()
            if now_s - since_s >= duration_s
        ]

    def _start_requested_moves(self, hosts: Mapping[str, HostRow]) -> tuple[str, ...]:
        moves: list[Move] = []
        for host, target_pool in self._move_requests.pending().items():
            record = hosts[host].record if host in hosts else None
            if record is None or record["pool"] == target_pool:
                self._move_requests.finish(host, target_pool)
            elif record["state"] == HostState.ACTIVE:
                moves.append(Move(host, record["pool"], target_pool))
        return self._start_moves(moves[:CHANGES_PER_STEP_COUNT])

    def _start_planned_moves(self, hosts: Mapping[str, HostRow]) -> tuple[str, ...]:
        budgets = {name: row.record for name, row in self._budgets.values.items()}
        needs = {pool: need for pool, need in self.needs().items() if pool in budgets}
        plan_input = MovePlanInput(
            hosts=tuple(row.record for row in hosts.values()),
            budgets=budgets,
            needs=needs,
            failed_hosts=frozenset(self._absent_since_s),
            moves_count=CHANGES_PER_STEP_COUNT,
        )
        return self._start_moves(plan_moves(plan_input).moves)

    def _start_moves(self, moves: Sequence[Move]) -> tuple[str, ...]:
        started = []
        for move in moves:
            try:
                self._registry.start_move(move.host, move.target_pool)
            except (PoolOperationError, StoreConflictError):
                continue
            started.append(move.host)
        return tuple(started)


def _should_be_listed(row: HostRow) -> bool:
    # The maintenance controller handles the hosts that drain for it or reboot.
    return row.record["maintenance_id"] is None


def _new_host(host: PlatformHost, pool: str) -> NewHost:
    return NewHost(
        host=host.name,
        address=host.address,
        data_centre=host.data_centre,
        rack=host.rack,
        pool=pool,
        slots_count=host.slots_count,
        connections_count=host.connections_count,
    )
