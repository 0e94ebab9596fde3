"""Orders moves of machines between pools as the demand of the pools changes.

One host decides for all pools. A machine may so go from a quiet pool to a busy one in
one move, and no machine waits for the lease time between the orders of two hosts.
"""

from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

import structlog

from sycamorecroft.capacity.planning import (
    DemandHistory,
    PoolDemand,
    floor_count,
    limit_to_fair_shares,
    plan_pool,
    share_machines,
    split_shortage,
    workers_to_empty,
)
from sycamorecroft.clock import Clock
from sycamorecroft.errors import StoreConflictError
from sycamorecroft.scheduling.pool_snapshot import PoolSnapshot
from sycamorecroft.upkeep.ledger import WaveLedger
from sycamorecroft.upkeep.machines import (
    Machine,
    MachineCalls,
    MachineOrderStatus,
    MachineState,
)
from sycamorecroft.upkeep.order_sender import ORDERS_PER_CLAIM_COUNT, OrderSender

_log = structlog.get_logger(__name__)

# A machine that hasn't registered after this time no longer counts as incoming.
INCOMING_LIMIT_S = 5.0
# The list of machines is asked for at most this often.
LIST_INTERVAL_S = 0.2
_ON_ITS_WAY = (MachineOrderStatus.DONE, MachineOrderStatus.UNKNOWN)


class CapacitySettings(NamedTuple):
    """``lease_ms`` must pass between orders of two hosts for one machine."""

    lease_ms: int


class _PoolState:
    """What is known of one pool."""

    def __init__(self, home_count: int) -> None:
        self.home_count = home_count
        self.history = DemandHistory()
        self.incoming_s: dict[str, float] = {}
        self.leaving: frozenset[str] = frozenset()


class _Move(NamedTuple):
    """A machine that is to go to another pool."""

    machine: Machine
    pool: str
    reason: str


class CapacityController:
    """Decides and orders moves. Used by one thread."""

    def __init__(
        self,
        ledger: WaveLedger,
        sender: OrderSender,
        calls: MachineCalls,
        clock: Clock,
        settings: CapacitySettings,
        standby_pools: Callable[[], frozenset[str]],
    ) -> None:
        self._ledger = ledger
        self._sender = sender
        self._calls = calls
        self._clock = clock
        self._settings = settings
        self._standby_pools = standby_pools
        self._pools: dict[str, _PoolState] = {}
        self._next_list_s = 0.0
        self._due_machines: frozenset[str] = frozenset()

    def reserved_workers(self, pool: str) -> frozenset[str]:
        """
        :returns: workers that are emptied in order to be given away.
        """
        state = self._pools.get(pool)
        return state.leaving if state else frozenset()

    def step(
        self,
        snapshots: Mapping[str, PoolSnapshot],
        busy_machines: frozenset[str],
        due_machines: frozenset[str] = frozenset(),
    ) -> None:
        """Moves machines where demand asks for it.

        :param snapshots: loads of the pools, as confirmed by their owners.
        :param busy_machines: machines that upkeep is about to take.
        :param due_machines: machines whose upkeep has not begun.
        :raises PlatformError: when the store or the list of machines can't be read.
        """
        self._due_machines = due_machines
        demands = {
            pool: self._plan(pool, snapshot, busy_machines)
            for pool, snapshot in snapshots.items()
        }
        shortage = 0
        is_short = any(demand.grow_count for demand in demands.values())
        if is_short or any(self._pools[pool].leaving for pool in demands):
            now_s = self._clock.monotonic_s()
            if now_s < self._next_list_s:
                return
            self._next_list_s = now_s + LIST_INTERVAL_S
            self._ledger.read_orders()
            machines = self._calls.list_machines()
            demands = self._share(demands, machines)
            needs = {p: d.grow_count for p, d in demands.items() if d.grow_count}
            for pool in needs:
                self._pools[pool].leaving = frozenset()
            moved_count = self._order(needs, snapshots, machines, busy_machines)
            shortage = sum(needs.values()) - moved_count
        self._choose_leaving(demands, snapshots, shortage, busy_machines)

    def _plan(
        self, pool: str, snapshot: PoolSnapshot, busy_machines: frozenset[str]
    ) -> PoolDemand:
        state = self._pools.get(pool)
        if state is None:
            state = self._pools[pool] = self._begin(pool)
        state.history.add(snapshot)
        present = {worker.host for worker in snapshot.workers}
        now_s = self._clock.monotonic_s()
        for machine, ordered_s in list(state.incoming_s.items()):
            if machine in present or now_s - ordered_s > INCOMING_LIMIT_S:
                del state.incoming_s[machine]
        return plan_pool(
            snapshot,
            state.history,
            incoming_count=len(state.incoming_s),
            floor_count=floor_count(state.home_count),
            busy_machines=busy_machines,
        )

    def _share(
        self, demands: Mapping[str, PoolDemand], machines: Sequence[Machine]
    ) -> dict[str, PoolDemand]:
        standby = self._standby_pools()
        free_count = sum(machine.pool in standby for machine in machines)
        homes = {pool: max(1, self._pools[pool].home_count) for pool in demands}
        return limit_to_fair_shares(demands, homes, free_count)

    def _begin(self, pool: str) -> _PoolState:
        machines = self._calls.list_machines()
        present_count = sum(machine.pool == pool for machine in machines)
        return _PoolState(self._ledger.home_count(pool, present_count))

    def _choose_leaving(
        self,
        demands: Mapping[str, PoolDemand],
        snapshots: Mapping[str, PoolSnapshot],
        shortage: int,
        busy_machines: frozenset[str],
    ) -> None:
        lendable = [(p, d.lend_count) for p, d in demands.items() if d.lend_count]
        asked = split_shortage(lendable, max(0, shortage))
        has_standby = bool(self._standby_pools())
        for pool, demand in demands.items():
            shrink_count = demand.shrink_count if has_standby else 0
            count = max(shrink_count, asked.get(pool, 0))
            state = self._pools[pool]
            state.leaving = workers_to_empty(
                snapshots[pool],
                state.leaving,
                count,
                busy_machines,
                self._due_machines,
            )

    def _order(
        self,
        needs: Mapping[str, int],
        snapshots: Mapping[str, PoolSnapshot],
        machines: Sequence[Machine],
        busy_machines: frozenset[str],
    ) -> int:
        """Moves free machines to the pools that need them, and the rest to standby.

        :returns: machines on their way to pools that need them.
        """
        standby = self._standby_pools()
        free = [m for m in machines if self._is_free(m, standby, busy_machines)]
        # Machines that are off have their upkeep at no cost of capacity.
        free.sort(key=lambda machine: machine.name in self._due_machines)
        emptied = self._emptied(snapshots, machines, busy_machines)
        shares = share_machines(needs, len(free) + len(emptied))
        moves: list[_Move] = []
        for pool, count in shares.items():
            kinds = {m.labels[0] for m in machines if m.pool == pool and m.labels}
            for supply in (emptied, free):
                fitting = [m for m in supply if not kinds or m.labels[0] in kinds]
                for machine in fitting[:count]:
                    supply.remove(machine)
                    moves.append(_Move(machine, pool, "work waits"))
                    count -= 1
        needed_count = len(moves)
        if standby:
            target = min(standby)
            moves += [_Move(m, target, "demand is low") for m in emptied]
        for begin in range(0, len(moves), ORDERS_PER_CLAIM_COUNT):
            self._carry_out(moves[begin : begin + ORDERS_PER_CLAIM_COUNT])
        return needed_count

    def _is_free(
        self, machine: Machine, standby: frozenset[str], busy_machines: frozenset[str]
    ) -> bool:
        return machine.pool in standby and self._may_move(machine, busy_machines)

    def _may_move(self, machine: Machine, busy_machines: frozenset[str]) -> bool:
        return (
            machine.state is MachineState.UP
            and machine.name not in busy_machines
            and self._ledger.may_order(machine.name, self._settings.lease_ms)
        )

    def _emptied(
        self,
        snapshots: Mapping[str, PoolSnapshot],
        machines: Sequence[Machine],
        busy_machines: frozenset[str],
    ) -> list[Machine]:
        """Machines whose workers run nothing and were chosen to be given away."""
        workers = {
            (pool, worker.host): worker.worker_id
            for pool, snapshot in snapshots.items()
            for worker in snapshot.workers
            if worker.is_drained and worker.worker_id in self._pools[pool].leaving
        }
        return [
            machine
            for machine in machines
            if workers.get((machine.pool, machine.name)) == machine.worker_id
            and machine.worker_id
            and self._may_move(machine, busy_machines)
        ]

    def _carry_out(self, moves: Sequence[_Move]) -> None:
        targets = {move.machine.name: move.pool for move in moves}
        try:
            token, statuses = self._sender.carry_out(
                list(targets),
                lambda name, token: self._calls.move(name, targets[name], token),
            )
        except StoreConflictError as error:
            _log.info("moves_not_claimed", moves_count=len(moves), reason=str(error))
            return
        now_s = self._clock.monotonic_s()
        for move in moves:
            status = statuses[move.machine.name]
            _log.info(
                "machine_moved",
                machine=move.machine.name,
                from_pool=move.machine.pool,
                to_pool=move.pool,
                token=token.number,
                status=status,
                reason=move.reason,
            )
            state = self._pools.get(move.pool)
            if state is not None and status in _ON_ITS_WAY:
                state.incoming_s[move.machine.name] = now_s
