"""Greedy assignment of hosts against parts of minimal cost, on random fleets.

``python -m benchmarks.assignment [--seed N]``. A pool's exposure is the largest
number of its hosts in one rack; less is better.
"""

import argparse
import random
import time
from collections import Counter
from collections.abc import Callable, Sequence

from sycamorecroft.pools.assignment import AssignmentRequest, assign_in_parts
from sycamorecroft.pools.planning import Move, MoveRequest, assign_hosts
from sycamorecroft.pools.state import HostRecord, HostState

FLEETS_COUNT = 300


def _fleet(source: random.Random) -> AssignmentRequest:
    pools = [f"p{number}" for number in range(6)]
    hosts = [
        HostRecord(
            host=f"h{number:03}",
            address="127.0.0.1:1",
            data_centre="dc",
            rack=f"r{source.randrange(10)}",
            pool=source.choice(pools),
            state=HostState.ACTIVE,
            epoch=1,
            slots_count=8,
            connections_count=64,
            target_pool=None,
            maintenance_id=None,
        )
        for number in range(60)
    ]
    lacking = {pool: source.randint(1, 4) for pool in pools[:3]}
    sizes = Counter(host["pool"] for host in hosts)
    giving = {pool: min(sizes[pool], source.randint(0, 4)) for pool in pools[3:]}
    return AssignmentRequest(hosts, lacking, giving)


def _greedy(request: AssignmentRequest) -> Sequence[Move]:
    plan = MoveRequest(tuple(request.hosts), {}, {}, moves_count=100)
    return assign_hosts(plan, request.lacking, request.giving)


def _exposure(request: AssignmentRequest, moves: Sequence[Move]) -> int:
    targets = {move.host: move.target_pool for move in moves}
    loads = Counter(
        (targets.get(host["host"], host["pool"]), host["rack"])
        for host in request.hosts
    )
    pools = {pool for pool, _ in loads}
    return sum(max(loads[p, r] for p, r in loads if p == pool) for pool in pools)


def _measure(
    name: str,
    assign: Callable[[AssignmentRequest], Sequence[Move]],
    fleets: Sequence[AssignmentRequest],
) -> None:
    start_s = time.perf_counter()
    plans = [assign(fleet) for fleet in fleets]
    duration_ms = (time.perf_counter() - start_s) * 1000 / len(fleets)
    moves_count = sum(len(plan) for plan in plans)
    exposure = sum(map(_exposure, fleets, plans))
    print(
        f"{name}: {moves_count} moves, exposure {exposure}, {duration_ms:.2f} ms each"
    )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=20261204)
    source = random.Random(parser.parse_args().seed)
    fleets = [_fleet(source) for _ in range(FLEETS_COUNT)]
    _measure("no moves", lambda fleet: (), fleets)
    _measure("greedy", _greedy, fleets)
    _measure("parts of minimal cost", assign_in_parts, fleets)


if __name__ == "__main__":
    main()
