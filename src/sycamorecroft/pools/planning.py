"""Planning of the shared buffer and of moves between pools, as pure functions.

The buffer follows RAS (Newell et al., "RAS: Continuously Optimized Region-Wide
Datacenter Resource Allocation", SOSP 2021): one reserve for the failure of any one
rack, shared by all pools.
"""

from collections import Counter
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from sycamorecroft.pools.demand import PoolNeed
from sycamorecroft.pools.records import BudgetRecord, allowed_out_count
from sycamorecroft.pools.state import HostRecord, HostState

# Cost of a move and the move back: drain, acknowledgements and the slots lost during
# them.
MOVE_COST_S = 120.0
# Keeps the writes of one plan within the store budget of pools and maintenance.
MOVES_PER_PLAN_COUNT = 10


class PlacedHost(NamedTuple):
    """A host in service, with its pool and its rack."""

    host: str
    pool: str
    rack: str


class BufferPlanInput(NamedTuple):
    """Input of :func:`plan_buffer`.

    ``needs`` is the number of hosts that the demand of each pool requires, ``batches``
    the number that a maintenance wave may drain in each pool at once.
    """

    hosts: tuple[PlacedHost, ...]
    needs: Mapping[str, int]
    batches: Mapping[str, int]


class BufferPlan(NamedTuple):
    """Hosts to keep so that all needs are met if one rack fails during a wave.

    ``reserve_count`` is the number of allocated hosts beyond the needs.
    ``missing_count`` is the number of hosts that the fleet lacks for this, 0 when the
    plan is feasible. ``binding_rack`` is the rack with the most allocated hosts, whose
    failure determines the size of the buffer.
    """

    allocated_hosts: frozenset[str]
    reserve_count: int
    missing_count: int
    binding_rack: str


def plan_buffer(plan_input: BufferPlanInput) -> BufferPlan:
    """Chooses the hosts to keep, spread over racks so that a rack failure loses few.

    The buffer is the largest number of allocated hosts in one rack plus the hosts of
    a wave, since any allocated host can be moved to a pool that lost one.
    """
    required_counts = Counter(plan_input.needs) + Counter(plan_input.batches)
    allocated = _allocate_within_pools(plan_input.hosts, required_counts)
    required_count = required_counts.total()
    spare = [host for host in plan_input.hosts if host not in allocated]
    while spare and _surviving_count(allocated) < required_count:
        loads = _rack_loads(allocated)
        host = min(spare, key=lambda item: (loads[item.rack], item.rack, item.host))
        spare.remove(host)
        allocated.append(host)
    loads = _rack_loads(allocated)
    return BufferPlan(
        allocated_hosts=frozenset(host.host for host in allocated),
        reserve_count=len(allocated) - sum(plan_input.needs.values()),
        missing_count=max(0, required_count - _surviving_count(allocated)),
        binding_rack=max(sorted(loads), key=lambda rack: loads[rack], default=""),
    )


def _allocate_within_pools(
    hosts: Sequence[PlacedHost], required_counts: Mapping[str, int]
) -> list[PlacedHost]:
    """Allocates to each pool hosts of its own, from the racks with fewest allocated."""
    allocated: list[PlacedHost] = []
    loads: Counter[str] = Counter()
    free = {
        pool: [host for host in hosts if host.pool == pool] for pool in required_counts
    }
    missing = Counter(required_counts)
    while any(missing[pool] > 0 and free[pool] for pool in free):
        candidates = [host for pool in free if missing[pool] > 0 for host in free[pool]]
        host = min(
            candidates, key=lambda item: (loads[item.rack], item.rack, item.host)
        )
        free[host.pool].remove(host)
        missing[host.pool] -= 1
        loads[host.rack] += 1
        allocated.append(host)
    return allocated


def _rack_loads(hosts: Sequence[PlacedHost]) -> Counter[str]:
    return Counter(host.rack for host in hosts)


def _surviving_count(hosts: Sequence[PlacedHost]) -> int:
    return len(hosts) - max(_rack_loads(hosts).values(), default=0)


class Move(NamedTuple):
    """Move of a host from one pool to another."""

    host: str
    source_pool: str
    target_pool: str


class MovePlanInput(NamedTuple):
    """Input of :func:`plan_moves`.

    ``needs`` holds each pool that may release or receive hosts. ``failed_hosts`` are
    registered hosts that are absent from the platform's list. ``cost_s`` is the time
    for which a need must be expected to last to justify a move.
    """

    hosts: tuple[HostRecord, ...]
    budgets: Mapping[str, BudgetRecord]
    needs: Mapping[str, PoolNeed]
    failed_hosts: frozenset[str] = frozenset()
    cost_s: float = MOVE_COST_S
    moves_count: int = MOVES_PER_PLAN_COUNT


class MovePlan(NamedTuple):
    """Moves to start now, and the shortage of hosts that remains in each pool."""

    moves: tuple[Move, ...]
    shortage_counts: Mapping[str, int]


def supply_counts(
    hosts: Sequence[HostRecord], failed_hosts: frozenset[str]
) -> Mapping[str, int]:
    """
    :returns: for each pool the hosts in service and those moving to it.
    """
    supplies: Counter[str] = Counter()
    for host in hosts:
        if _is_in_service(host, failed_hosts):
            supplies[host["pool"]] += 1
        elif host["target_pool"] is not None:
            supplies[host["target_pool"]] += 1
    return supplies


def plan_moves(plan_input: MovePlanInput) -> MovePlan:
    """Plans moves to pools whose need is expected to outlast the cost of a move.

    A pool releases only hosts beyond its highest need within the release window, and
    only as many as its budget allows out of service at once. Hosts that no pool needs
    stay in their pool, since they serve as buffer from there.
    """
    shortages = _shortage_counts(plan_input)
    surpluses = _surplus_counts(plan_input)
    moves = assign_hosts(plan_input, shortages, surpluses)
    assigned = Counter(move.target_pool for move in moves)
    left = {pool: count - assigned[pool] for pool, count in shortages.items()}
    return MovePlan(moves, {pool: count for pool, count in left.items() if count > 0})


def assign_hosts(
    plan_input: MovePlanInput,
    shortages: Mapping[str, int],
    surpluses: Mapping[str, int],
) -> tuple[Move, ...]:
    """Assigns hosts one at a time to the pool with the largest shortage.

    Each host comes from a rack in which the target pool has few hosts and the source
    pool many, so that both pools stay spread over racks.
    """
    missing = Counter(shortages)
    spare = Counter(surpluses)
    in_service = [
        host
        for host in plan_input.hosts
        if _is_in_service(host, plan_input.failed_hosts)
    ]
    loads = Counter((host["pool"], host["rack"]) for host in in_service)
    moves: list[Move] = []
    while len(moves) < plan_input.moves_count:
        target = max(sorted(missing), key=lambda pool: missing[pool], default="")
        candidates = [host for host in in_service if spare[host["pool"]] > 0]
        if missing[target] < 1 or not candidates:
            break
        host = min(candidates, key=lambda item: _move_cost(item, target, loads, spare))
        source = host["pool"]
        in_service.remove(host)
        loads[source, host["rack"]] -= 1
        loads[target, host["rack"]] += 1
        missing[target] -= 1
        spare[source] -= 1
        moves.append(Move(host["host"], source, target))
    return tuple(moves)


def _move_cost(
    host: HostRecord,
    target: str,
    loads: Mapping[tuple[str, str], int],
    spare: Mapping[str, int],
) -> tuple[int, int, str]:
    rack, source = host["rack"], host["pool"]
    spread_cost = loads.get((target, rack), 0) - loads[source, rack]
    return (spread_cost, -spare[source], host["host"])


def _shortage_counts(plan_input: MovePlanInput) -> Mapping[str, int]:
    supplies = supply_counts(plan_input.hosts, plan_input.failed_hosts)
    return {
        pool: need.needed_count - supplies.get(pool, 0)
        for pool, need in plan_input.needs.items()
        if need.needed_count > supplies.get(pool, 0)
        and need.expected_duration_s >= plan_input.cost_s
    }


def _surplus_counts(plan_input: MovePlanInput) -> Mapping[str, int]:
    in_service = Counter(
        host["pool"]
        for host in plan_input.hosts
        if _is_in_service(host, plan_input.failed_hosts)
    )
    sizes = Counter(host["pool"] for host in plan_input.hosts)
    surpluses: dict[str, int] = {}
    for pool, need in plan_input.needs.items():
        out_count = sizes[pool] - in_service[pool]
        budget_left_count = allowed_out_count(plan_input.budgets[pool]) - out_count
        # A pool without demand keeps one host for requests that may still arrive.
        surplus_count = in_service[pool] - max(1, need.release_count)
        surpluses[pool] = max(0, min(budget_left_count, surplus_count))
    return surpluses


def _is_in_service(host: HostRecord, failed_hosts: frozenset[str]) -> bool:
    return host["state"] == HostState.ACTIVE and host["host"] not in failed_hosts
