"""Orders moves of hosts between pools as the demand of the pools changes.

One entry host, the fleet controller, decides for all pools. A host can therefore move
from an idle pool to a busy one directly, without the lease time that must pass between
orders of two entry hosts.
"""

from collections.abc import Callable, Container, Iterable, Mapping, Sequence
from typing import NamedTuple

import structlog

from sycamorecroft.capacity.forecast_use import ForecastUse, NoForecast
from sycamorecroft.capacity.planning import (
    DemandHistory,
    PoolDemand,
    limit_to_fair_shares,
    minimum_size,
    plan_pool,
    select_workers_to_drain,
    share_hosts,
)
from sycamorecroft.clock import Clock
from sycamorecroft.errors import StoreConflictError
from sycamorecroft.scheduling.pool_snapshot import PoolSnapshot
from sycamorecroft.upkeep.fleet_store import FleetStore
from sycamorecroft.upkeep.hosts import Host, HostCalls, HostOrderStatus, HostState
from sycamorecroft.upkeep.order_sender import ORDERS_PER_CLAIM_COUNT, OrderSender

_log = structlog.get_logger(__name__)

# A moved host whose worker hasn't registered after this time no longer counts as
# incoming.
INCOMING_TIMEOUT_S = 5.0
# Minimum interval between two reads of the host list.
LIST_INTERVAL_S = 0.2
_IN_FLIGHT_STATUSES = (HostOrderStatus.DONE, HostOrderStatus.UNKNOWN)


class CapacitySettings(NamedTuple):
    """Settings of the capacity controller.

    ``lease_ms``: time that must pass between orders of two entry hosts for one host.
    """

    lease_ms: int


class _PoolState:
    """Demand history, incoming hosts and reserved workers of one pool.

    ``incoming_s``: time of the move order of each host that has not registered yet.
    """

    def __init__(self, initial_count: int) -> None:
        self.initial_count = initial_count
        self.history = DemandHistory()
        self.incoming_s: dict[str, float] = {}
        self.reserved: frozenset[str] = frozenset()


class _Move(NamedTuple):
    """A planned move of a host to the pool ``pool``."""

    host: Host
    pool: str
    reason: str


class _Supply(NamedTuple):
    """Hosts that may move: drained ones of pools, and those in standby pools."""

    drained: list[Host]
    free: list[Host]

    def without(self, pools: Container[str]) -> "_Supply":
        drained = [host for host in self.drained if host.pool not in pools]
        return _Supply(drained, self.free)


class CapacityController:
    """Plans and orders moves of hosts between pools. Not thread-safe."""

    def __init__(
        self,
        fleet_store: FleetStore,
        sender: OrderSender,
        calls: HostCalls,
        clock: Clock,
        settings: CapacitySettings,
        standby_pools: Callable[[], frozenset[str]],
        forecast: ForecastUse | None = None,
    ) -> None:
        """
        :param forecast: tells which hosts to prepare; ``None`` forecasts nothing.
        """
        self._fleet_store = fleet_store
        self._sender = sender
        self._calls = calls
        self._clock = clock
        self._settings = settings
        self._standby_pools = standby_pools
        self._forecast = forecast or NoForecast()
        self._pools: dict[str, _PoolState] = {}
        self._next_list_s = 0.0
        self._due_hosts: frozenset[str] = frozenset()

    def reserved_workers(self, pool: str) -> frozenset[str]:
        """
        :returns: ids of the workers that are drained so that their hosts can move.
        """
        state = self._pools.get(pool)
        return state.reserved if state else frozenset()

    def step(
        self,
        snapshots: Mapping[str, PoolSnapshot],
        upkeep_hosts: frozenset[str],
        due_hosts: frozenset[str] = frozenset(),
    ) -> None:
        """Orders the moves that the demand requires and selects workers to drain.

        :param snapshots: load by pool, with applied marks only.
        :param upkeep_hosts: hosts that are selected for upkeep and not back in service.
        :param due_hosts: hosts whose upkeep is due and has not started.
        :raises PlatformError: when the store or the host list can't be read.
        """
        self._due_hosts = due_hosts
        demands = {
            pool: self._plan(pool, snapshot, upkeep_hosts)
            for pool, snapshot in snapshots.items()
        }
        expected = self._forecast.update(
            snapshots,
            demands,
            {pool: minimum_size(self._pools[pool].initial_count) for pool in snapshots},
        )
        self._order(demands, expected, snapshots, upkeep_hosts)

    def _order(
        self,
        demands: dict[str, PoolDemand],
        expected: Mapping[str, int],
        snapshots: Mapping[str, PoolSnapshot],
        upkeep_hosts: frozenset[str],
    ) -> None:
        """
        :param expected: hosts that pools should gain for demand that is forecast.
        """
        is_short = any(demand.grow_count for demand in demands.values())
        if is_short or any(expected.values()) or self._may_shrink(demands):
            now_s = self._clock.monotonic_s()
            if now_s < self._next_list_s:
                return
            self._next_list_s = now_s + LIST_INTERVAL_S
            self._fleet_store.read_orders()
            hosts = self._calls.list_hosts()
            demands = self._limit(demands, hosts)
            needs = {p: d.grow_count for p, d in demands.items() if d.grow_count}
            for pool in needs:
                self._pools[pool].reserved = frozenset()
            supply = self._supply(snapshots, hosts, upkeep_hosts)
            moves = _plan_moves(needs, supply, hosts, "tasks are waiting")
            # Demand that is forecast gets only what waiting tasks leave, so that these
            # don't wait longer because of a wrong forecast.
            early = {p: n for p, n in expected.items() if n and p not in needs}
            spare = supply.without(expected)
            moves += _plan_moves(early, spare, hosts, "demand is forecast")
            if not (is_short or early or self._has_incoming(demands)):
                demands_now = _without_shrinking(demands, expected)
                moves += self._plan_standby(demands_now, snapshots, hosts, upkeep_hosts)
            for start in range(0, len(moves), ORDERS_PER_CLAIM_COUNT):
                self._send(moves[start : start + ORDERS_PER_CLAIM_COUNT])
        self._select_reserved(demands, snapshots, upkeep_hosts)

    def _may_shrink(self, demands: Mapping[str, PoolDemand]) -> bool:
        """Whether hosts may move to standby once their workers are drained."""
        if not self._standby_pools():
            return False
        return any(
            demand.shrink_count and self._pools[pool].reserved
            for pool, demand in demands.items()
        )

    def _has_incoming(self, pools: Iterable[str]) -> bool:
        return any(self._pools[pool].incoming_s for pool in pools)

    def _plan(
        self, pool: str, snapshot: PoolSnapshot, upkeep_hosts: frozenset[str]
    ) -> PoolDemand:
        state = self._pools.get(pool)
        if state is None:
            state = self._pools[pool] = self._create_state(pool)
        state.history.add(snapshot)
        present = {worker.host for worker in snapshot.workers}
        now_s = self._clock.monotonic_s()
        for host, ordered_s in list(state.incoming_s.items()):
            if host in present:
                self._forecast.record_move(now_s - ordered_s)
            if host in present or now_s - ordered_s > INCOMING_TIMEOUT_S:
                del state.incoming_s[host]
        return plan_pool(
            snapshot,
            state.history,
            incoming_count=len(state.incoming_s),
            minimum_count=minimum_size(state.initial_count),
            upkeep_hosts=upkeep_hosts,
        )

    def _limit(
        self, demands: Mapping[str, PoolDemand], hosts: Sequence[Host]
    ) -> dict[str, PoolDemand]:
        standby = self._standby_pools()
        free_count = sum(host.pool in standby for host in hosts)
        initial_counts = {
            pool: max(1, self._pools[pool].initial_count) for pool in demands
        }
        return limit_to_fair_shares(demands, initial_counts, free_count)

    def _create_state(self, pool: str) -> _PoolState:
        hosts = self._calls.list_hosts()
        present_count = sum(host.pool == pool for host in hosts)
        return _PoolState(self._fleet_store.initial_count(pool, present_count))

    def _select_reserved(
        self,
        demands: Mapping[str, PoolDemand],
        snapshots: Mapping[str, PoolSnapshot],
        upkeep_hosts: frozenset[str],
    ) -> None:
        """Selects the workers to drain in each pool.

        Hosts that a pool can spare are drained before another one needs them, since
        marks take some tenths of a second to be applied and reported.
        """
        for pool, demand in demands.items():
            state = self._pools[pool]
            state.reserved = select_workers_to_drain(
                snapshots[pool],
                state.reserved,
                demand.reassignable_count,
                upkeep_hosts,
                self._due_hosts,
            )

    def _supply(
        self,
        snapshots: Mapping[str, PoolSnapshot],
        hosts: Sequence[Host],
        upkeep_hosts: frozenset[str],
    ) -> _Supply:
        standby = self._standby_pools()
        free = [host for host in hosts if self._is_free(host, standby, upkeep_hosts)]
        # Hosts due for upkeep come last: upkeep of a standby host costs no capacity.
        free.sort(key=lambda host: host.name in self._due_hosts)
        return _Supply(self._drained_hosts(snapshots, hosts, upkeep_hosts), free)

    def _plan_standby(
        self,
        demands: Mapping[str, PoolDemand],
        snapshots: Mapping[str, PoolSnapshot],
        hosts: Sequence[Host],
        upkeep_hosts: frozenset[str],
    ) -> list[_Move]:
        """Plans moves of drained hosts to standby.

        Only called while no pool waits for hosts: demand that rises is likely to rise
        further, and a host on its way to standby is unavailable for the time of a move.

        :returns: the moves.
        """
        standby = self._standby_pools()
        if not standby:
            return []
        target = min(standby)
        remaining = {pool: demand.shrink_count for pool, demand in demands.items()}
        moves: list[_Move] = []
        for host in self._drained_hosts(snapshots, hosts, upkeep_hosts):
            if remaining[host.pool] > 0:
                remaining[host.pool] -= 1
                moves.append(_Move(host, target, "demand is low"))
        return moves

    def _is_free(
        self, host: Host, standby: frozenset[str], upkeep_hosts: frozenset[str]
    ) -> bool:
        return host.pool in standby and self._may_move(host, upkeep_hosts)

    def _may_move(self, host: Host, upkeep_hosts: frozenset[str]) -> bool:
        return (
            host.state is HostState.UP
            and host.name not in upkeep_hosts
            and self._fleet_store.may_order(host.name, self._settings.lease_ms)
        )

    def _drained_hosts(
        self,
        snapshots: Mapping[str, PoolSnapshot],
        hosts: Sequence[Host],
        upkeep_hosts: frozenset[str],
    ) -> list[Host]:
        """Returns hosts that may move and whose reserved workers run nothing."""
        workers = {
            (pool, worker.host): worker.worker_id
            for pool, snapshot in snapshots.items()
            for worker in snapshot.workers
            if worker.is_drained and worker.worker_id in self._pools[pool].reserved
        }
        return [
            host
            for host in hosts
            if workers.get((host.pool, host.name)) == host.worker_id
            and host.worker_id
            and self._may_move(host, upkeep_hosts)
        ]

    def _send(self, moves: Sequence[_Move]) -> None:
        targets = {move.host.name: move.pool for move in moves}
        try:
            token, statuses = self._sender.send_orders(
                list(targets),
                lambda name, token: self._calls.move(name, targets[name], token),
            )
        except StoreConflictError as error:
            _log.info("moves_not_claimed", moves_count=len(moves), reason=str(error))
            return
        now_s = self._clock.monotonic_s()
        for move in moves:
            status = statuses[move.host.name]
            _log.info(
                "machine_moved",
                machine=move.host.name,
                from_pool=move.host.pool,
                to_pool=move.pool,
                token=token.number,
                status=status,
                reason=move.reason,
            )
            state = self._pools.get(move.pool)
            if state is not None and status in _IN_FLIGHT_STATUSES:
                state.incoming_s[move.host.name] = now_s


def _without_shrinking(
    demands: Mapping[str, PoolDemand], pools: Container[str]
) -> dict[str, PoolDemand]:
    return {
        pool: demand._replace(shrink_count=0) if pool in pools else demand
        for pool, demand in demands.items()
    }


def _plan_moves(
    needs: Mapping[str, int], supply: _Supply, hosts: Sequence[Host], reason: str
) -> list[_Move]:
    """Plans moves to pools that need hosts, and removes these hosts from the supply.

    :returns: the moves.
    """
    shares = share_hosts(needs, len(supply.free) + len(supply.drained))
    moves: list[_Move] = []
    for pool, count in shares.items():
        host_types = {
            host.labels[0] for host in hosts if host.pool == pool and host.labels
        }
        for available in supply:
            suitable = [
                host
                for host in available
                if not host_types or host.labels[0] in host_types
            ]
            for host in suitable[:count]:
                available.remove(host)
                moves.append(_Move(host, pool, reason))
                count -= 1
    return moves
