"""Compares a reserve shared by all pools with a dedicated reserve in each pool.

Run ``python -m benchmarks.buffer [--seed N]``.

Model: 5 pools of 8 hosts, each pool in two racks of 4 (section 1.2 of docs/design.md).
Over a day in steps of 10 minutes, one pool after the other has a peak demand of 10
hosts while the others need few. A maintenance wave takes one host of each pool out of
service at once. The baseline gives each pool the fewest hosts that meet its current
demand during the wave and the failure of any one of its racks, and as many racks of 4
as that takes. The buffer plan shares the reserve between the pools.

The plan is also compared with the optimum on small random fleets whose racks contain
hosts of several pools. An exhaustive search over the number of allocated hosts for each
pool and rack finds the optimum.
"""

import argparse
import itertools
import math
import random
import time
from collections import Counter
from collections.abc import Iterator, Mapping
from typing import NamedTuple

from sycamorecroft.pools.planning import (
    BufferPlan,
    BufferPlanInput,
    PlacedHost,
    plan_buffer,
)

POOLS = ("rating", "assessment", "hotline", "dispatch", "backoffice")
HOSTS_COUNT = 8
RACK_SIZE = 4
PEAK_HOSTS_COUNT = 10
STEPS_COUNT = 144
SMALL_CASES_COUNT = 300
TARGET_RATIO = 0.5
TARGET_EXCESS_RATIO = 0.05


class _DayResult(NamedTuple):
    shared_mean_count: float
    shared_max_count: int
    dedicated_mean_count: float
    dedicated_max_count: int


def _needed_hosts(step: int, rng: random.Random) -> Mapping[str, int]:
    peak_position = step / STEPS_COUNT * len(POOLS)
    needs = {}
    for number, pool in enumerate(POOLS):
        distance = abs(peak_position - number - 0.5)
        hosts_count = PEAK_HOSTS_COUNT * max(0.0, math.cos(distance * math.pi / 2))
        hosts_count = hosts_count if distance < 1 else 0.1
        needs[pool] = max(1, math.ceil(hosts_count * rng.uniform(0.95, 1.0)))
    return needs


def _site_hosts() -> tuple[PlacedHost, ...]:
    return tuple(
        PlacedHost(f"{pool}-{number}", pool, f"{pool}-{number // RACK_SIZE}")
        for pool in POOLS
        for number in range(HOSTS_COUNT)
    )


def _dedicated_reserve_count(need: int, batch_count: int) -> int:
    allocated_count = need + batch_count
    while (
        allocated_count - min(RACK_SIZE, math.ceil(allocated_count / 2))
        < need + batch_count
    ):
        allocated_count += 1
    return allocated_count - need


def _check_rack_failures(request: BufferPlanInput, plan: BufferPlan) -> None:
    """Checks that enough hosts remain after any rack failure during a wave.

    The wave takes its hosts of each pool from the remaining rack that has most of them.

    :raises AssertionError: if fewer hosts remain than the pools need.
    """
    allocated = [host for host in request.hosts if host.host in plan.allocated_hosts]
    for failed in {host.rack for host in allocated}:
        remaining = [host for host in allocated if host.rack != failed]
        largest_rack_counts = {
            pool: max(
                Counter(h.rack for h in remaining if h.pool == pool).values(), default=0
            )
            for pool in request.batches
        }
        unavailable_count = sum(
            min(largest_rack_counts[pool], count)
            for pool, count in request.batches.items()
        )
        if plan.missing_count == 0 and len(remaining) - unavailable_count < sum(
            request.needs.values()
        ):
            raise AssertionError(f"too few hosts remain when rack {failed} fails")


def _run_day(rng: random.Random) -> _DayResult:
    shared, dedicated = [], []
    batches = dict.fromkeys(POOLS, 1)
    for step in range(STEPS_COUNT):
        needs = _needed_hosts(step, rng)
        request = BufferPlanInput(_site_hosts(), needs, batches)
        plan = plan_buffer(request)
        _check_rack_failures(request, plan)
        if plan.missing_count:
            raise AssertionError(f"step {step}: {plan.missing_count} hosts are missing")
        shared.append(plan.reserve_count)
        dedicated.append(
            sum(_dedicated_reserve_count(need, 1) for need in needs.values())
        )
    return _DayResult(
        sum(shared) / STEPS_COUNT,
        max(shared),
        sum(dedicated) / STEPS_COUNT,
        max(dedicated),
    )


def _small_case(rng: random.Random) -> BufferPlanInput:
    pools, racks = ("a", "b", "c"), ("r0", "r1", "r2", "r3")
    pool_racks = [(pool, rack) for pool in pools for rack in racks]
    counts = {pool_rack: rng.choice((0, 0, 1, 1, 2, 3)) for pool_rack in pool_racks}
    hosts = tuple(
        PlacedHost(f"{pool}-{rack}-{number}", pool, rack)
        for (pool, rack), count in counts.items()
        for number in range(count)
    )
    needs = {pool: rng.randint(0, 3) for pool in pools}
    return BufferPlanInput(hosts, needs, dict.fromkeys(pools, rng.randint(0, 1)))


def _allocations(request: BufferPlanInput) -> Iterator[Counter[tuple[str, str]]]:
    sizes = Counter((host.pool, host.rack) for host in request.hosts)
    pool_racks = sorted(sizes)
    for counts in itertools.product(
        *(range(sizes[pool_rack] + 1) for pool_rack in pool_racks)
    ):
        yield Counter(dict(zip(pool_racks, counts, strict=True)))


def _optimal_reserve_count(request: BufferPlanInput) -> int | None:
    required_counts = Counter(request.needs) + Counter(request.batches)
    pool_sizes = Counter(host.pool for host in request.hosts)
    minimum_sizes = {
        pool: min(required_counts[pool], pool_sizes[pool]) for pool in pool_sizes
    }
    best_count: int | None = None
    for allocated in _allocations(request):
        total_count = allocated.total()
        if best_count is not None and total_count >= best_count:
            continue
        by_rack: Counter[str] = Counter()
        by_pool: Counter[str] = Counter()
        for (pool, rack), count in allocated.items():
            by_rack[rack] += count
            by_pool[pool] += count
        survives = (
            total_count - max(by_rack.values(), default=0) >= required_counts.total()
        )
        if survives and all(
            by_pool[pool] >= minimum_sizes[pool] for pool in minimum_sizes
        ):
            best_count = total_count
    return None if best_count is None else best_count - sum(request.needs.values())


def _compare_with_optimum(rng: random.Random) -> tuple[int, int, int]:
    """
    :returns: hosts in reserve over all cases, by the plans and by exhaustive search,
        and the largest excess of a plan.
    """
    planned_count, optimal_count, largest_excess_count = 0, 0, 0
    cases_count = 0
    while cases_count < SMALL_CASES_COUNT:
        request = _small_case(rng)
        sizes = Counter((host.pool, host.rack) for host in request.hosts)
        if math.prod(size + 1 for size in sizes.values()) > 50_000:
            continue
        cases_count += 1
        plan = plan_buffer(request)
        optimum_count = _optimal_reserve_count(request)
        if (optimum_count is None) != (plan.missing_count > 0):
            raise AssertionError(f"plan and exhaustive search disagree on {request}")
        if optimum_count is not None:
            planned_count += plan.reserve_count
            optimal_count += optimum_count
            largest_excess_count = max(
                largest_excess_count, plan.reserve_count - optimum_count
            )
    return planned_count, optimal_count, largest_excess_count


def _planning_time_s() -> float:
    hosts = tuple(
        PlacedHost(f"h{number}", f"p{number % 22}", f"r{number // 20}")
        for number in range(1000)
    )
    pools = [f"p{number}" for number in range(22)]
    request = BufferPlanInput(hosts, dict.fromkeys(pools, 30), dict.fromkeys(pools, 2))
    start_s = time.perf_counter()
    plan_buffer(request)
    return time.perf_counter() - start_s


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=20261204)
    seed = parser.parse_args().seed
    rng = random.Random(seed)
    day = _run_day(rng)
    planned_count, optimal_count, largest_excess_count = _compare_with_optimum(rng)
    ratio = day.shared_mean_count / day.dedicated_mean_count
    excess_ratio = planned_count / optimal_count - 1
    print(f"seed {seed}")
    print(
        f"reserve, dedicated to each pool: mean {day.dedicated_mean_count:.1f} "
        f"max {day.dedicated_max_count}"
    )
    print(
        f"reserve, shared plan: mean {day.shared_mean_count:.1f} "
        f"max {day.shared_max_count}"
    )
    print(
        f"ratio {ratio:.2f}, target at most {TARGET_RATIO}: "
        f"{'met' if ratio <= TARGET_RATIO else 'missed'}"
    )
    print(
        f"small cases: plan {planned_count}, exact {optimal_count} hosts in reserve, "
        f"largest difference {largest_excess_count}; excess {excess_ratio:.1%}, "
        f"target at most {TARGET_EXCESS_RATIO:.0%}: "
        f"{'met' if excess_ratio <= TARGET_EXCESS_RATIO else 'missed'}"
    )
    print(f"one plan for 1,000 hosts in 22 pools: {_planning_time_s():.2f} s")


if __name__ == "__main__":
    main()
