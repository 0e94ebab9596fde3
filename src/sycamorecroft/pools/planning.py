"""Plans of the shared reserve and of moves between pools. Pure.

The reserve follows the idea of RAS (Newell et al., "RAS: Continuously Optimized
Region-Wide Datacenter Resource Allocation", SOSP 2021): one buffer for the failure
of any one rack, shared by all pools.
"""

from collections import Counter
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from sycamorecroft.pools.demand import PoolNeed
from sycamorecroft.pools.records import BudgetRecord, allowed_out_count
from sycamorecroft.pools.state import HostRecord, HostState

# Drain, acknowledgements and the slots lost meanwhile, there and back again.
MOVE_PRICE_S = 120.0
# Keeps one plan within the store budget of pools and maintenance.
MOVES_PER_PLAN_COUNT = 10


class PlacedHost(NamedTuple):
    """A host in service, its pool and its rack."""

    host: str
    pool: str
    rack: str


class BufferRequest(NamedTuple):
    """What :func:`plan_buffer` decides on.

    ``needs`` is the number of hosts that each pool's demand needs, ``batches`` the
    number that a maintenance wave may take from each pool at once.
    """

    hosts: tuple[PlacedHost, ...]
    needs: Mapping[str, int]
    batches: Mapping[str, int]


class BufferPlan(NamedTuple):
    """Hosts to hold so that each need is met through one rack failure in a wave.

    ``reserve_count`` are held hosts beyond the needs. ``missing_count`` is how many
    hosts the fleet lacks for that, 0 when the plan holds. ``binding_rack`` is the
    rack whose failure needs the reserve most.
    """

    held_hosts: frozenset[str]
    reserve_count: int
    missing_count: int
    binding_rack: str


def plan_buffer(request: BufferRequest) -> BufferPlan:
    """Chooses the hosts to hold, spread over racks so that no failure takes many.

    The reserve is the largest number of held hosts in one rack plus the hosts of a
    wave, since any held host may be moved to a pool that lost one.
    """
    wanted = Counter(request.needs) + Counter(request.batches)
    held = _hold_own_hosts(request.hosts, wanted)
    required_count = wanted.total()
    spare = [host for host in request.hosts if host not in held]
    while spare and _surviving_count(held) < required_count:
        loads = _rack_loads(held)
        host = min(spare, key=lambda item: (loads[item.rack], item.rack, item.host))
        spare.remove(host)
        held.append(host)
    loads = _rack_loads(held)
    return BufferPlan(
        held_hosts=frozenset(host.host for host in held),
        reserve_count=len(held) - sum(request.needs.values()),
        missing_count=max(0, required_count - _surviving_count(held)),
        binding_rack=max(sorted(loads), key=lambda rack: loads[rack], default=""),
    )


def _hold_own_hosts(
    hosts: Sequence[PlacedHost], wanted: Mapping[str, int]
) -> list[PlacedHost]:
    """Lets each pool hold what it wants of its own hosts, in racks with few held."""
    held: list[PlacedHost] = []
    loads: Counter[str] = Counter()
    free = {pool: [host for host in hosts if host.pool == pool] for pool in wanted}
    missing = Counter(wanted)
    while any(missing[pool] > 0 and free[pool] for pool in free):
        choices = [host for pool in free if missing[pool] > 0 for host in free[pool]]
        host = min(choices, key=lambda item: (loads[item.rack], item.rack, item.host))
        free[host.pool].remove(host)
        missing[host.pool] -= 1
        loads[host.rack] += 1
        held.append(host)
    return held


def _rack_loads(hosts: Sequence[PlacedHost]) -> Counter[str]:
    return Counter(host.rack for host in hosts)


def _surviving_count(hosts: Sequence[PlacedHost]) -> int:
    return len(hosts) - max(_rack_loads(hosts).values(), default=0)


class Move(NamedTuple):
    """Move of a host between pools."""

    host: str
    source_pool: str
    target_pool: str


class MoveRequest(NamedTuple):
    """What :func:`plan_moves` decides on.

    ``needs`` names each pool that may give or take hosts. ``failed_hosts`` are hosts
    that the platform reports as gone or leaving. ``price_s`` is the time for which a
    moved host must be expected to be needed.
    """

    hosts: tuple[HostRecord, ...]
    budgets: Mapping[str, BudgetRecord]
    needs: Mapping[str, PoolNeed]
    failed_hosts: frozenset[str] = frozenset()
    price_s: float = MOVE_PRICE_S
    moves_count: int = MOVES_PER_PLAN_COUNT


class MovePlan(NamedTuple):
    """Moves to begin now, and hosts that pools still lack after them."""

    moves: tuple[Move, ...]
    lacking_counts: Mapping[str, int]


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


def plan_moves(request: MoveRequest) -> MovePlan:
    """Moves hosts to pools whose need is expected to outlast the price of a move.

    A pool gives only hosts beyond its highest need within the release window, and
    only as many as its budget lets out at once. Hosts that no pool needs stay where
    they are, because any of them serves as reserve from there.
    """
    lacking = _lacking_counts(request)
    givers = _giving_counts(request)
    moves = assign_hosts(request, lacking, givers)
    taken = Counter(move.target_pool for move in moves)
    still = {pool: count - taken[pool] for pool, count in lacking.items()}
    return MovePlan(moves, {pool: count for pool, count in still.items() if count > 0})


def assign_hosts(
    request: MoveRequest, lacking: Mapping[str, int], giving: Mapping[str, int]
) -> tuple[Move, ...]:
    """Gives one host at a time to the pool that lacks most.

    The host comes from a rack where the taker has few hosts and the giver many, so
    that both stay spread over racks.
    """
    missing = Counter(lacking)
    spare = Counter(giving)
    in_service = [
        host for host in request.hosts if _is_in_service(host, request.failed_hosts)
    ]
    loads = Counter((host["pool"], host["rack"]) for host in in_service)
    moves: list[Move] = []
    while len(moves) < request.moves_count:
        target = max(sorted(missing), key=lambda pool: missing[pool], default="")
        candidates = [host for host in in_service if spare[host["pool"]] > 0]
        if missing[target] < 1 or not candidates:
            break
        host = min(candidates, key=lambda item: _cost(item, target, loads, spare))
        source = host["pool"]
        in_service.remove(host)
        loads[source, host["rack"]] -= 1
        loads[target, host["rack"]] += 1
        missing[target] -= 1
        spare[source] -= 1
        moves.append(Move(host["host"], source, target))
    return tuple(moves)


def _cost(
    host: HostRecord,
    target: str,
    loads: Mapping[tuple[str, str], int],
    spare: Mapping[str, int],
) -> tuple[int, int, str]:
    rack, source = host["rack"], host["pool"]
    spread_cost = loads.get((target, rack), 0) - loads[source, rack]
    return (spread_cost, -spare[source], host["host"])


def _lacking_counts(request: MoveRequest) -> Mapping[str, int]:
    supplies = supply_counts(request.hosts, request.failed_hosts)
    return {
        pool: need.needed_count - supplies.get(pool, 0)
        for pool, need in request.needs.items()
        if need.needed_count > supplies.get(pool, 0)
        and need.expected_duration_s >= request.price_s
    }


def _giving_counts(request: MoveRequest) -> Mapping[str, int]:
    in_service = Counter(
        host["pool"]
        for host in request.hosts
        if _is_in_service(host, request.failed_hosts)
    )
    sizes = Counter(host["pool"] for host in request.hosts)
    giving: dict[str, int] = {}
    for pool, need in request.needs.items():
        out_count = sizes[pool] - in_service[pool]
        free_count = allowed_out_count(request.budgets[pool]) - out_count
        # A pool keeps at least one host for the requests that may still come.
        surplus_count = in_service[pool] - max(1, need.release_count)
        giving[pool] = max(0, min(free_count, surplus_count))
    return giving


def _is_in_service(host: HostRecord, failed_hosts: frozenset[str]) -> bool:
    return host["state"] == HostState.ACTIVE and host["host"] not in failed_hosts
