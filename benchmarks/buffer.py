"""Buffer cost of the shared reserve: ``python -m benchmarks.buffer [--seed N]``.

Model: 5 pools of 8 hosts, each pool in two racks of 4 (section 1.2 of docs/design.md).
Over a day in steps of 10 minutes one pool after the other peaks at 10 hosts, the others
need few. A wave takes one host from each pool at once. The baseline keeps in each pool
the fewest hosts that meet its need of the moment through the wave and the failure of
any one of its racks, with as many racks of 4 as it needs. The plan keeps them shared.

Exact search: small random fleets whose racks hold hosts of several pools; all counts
of held hosts by pool and rack are tried.
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
PEAK_HOSTS = 10
STEPS_COUNT = 144
SMALL_CASES_COUNT = 300
TARGET_RATIO = 0.5
TARGET_EXCESS_RATIO = 0.05


class _Day(NamedTuple):
    shared_mean: float
    shared_max: int
    fixed_mean: float
    fixed_max: int


def _needs(step: int, source: random.Random) -> Mapping[str, int]:
    peak_position = step / STEPS_COUNT * len(POOLS)
    needs = {}
    for number, pool in enumerate(POOLS):
        distance = abs(peak_position - number - 0.5)
        level = PEAK_HOSTS * max(0.0, math.cos(distance * math.pi / 2))
        level = level if distance < 1 else 0.1
        needs[pool] = max(1, math.ceil(level * source.uniform(0.95, 1.0)))
    return needs


def _site() -> tuple[PlacedHost, ...]:
    return tuple(
        PlacedHost(f"{pool}-{number}", pool, f"{pool}-{number // RACK_SIZE}")
        for pool in POOLS
        for number in range(HOSTS_COUNT)
    )


def _fixed_spare(need: int, batch: int) -> int:
    held = need + batch
    while held - min(RACK_SIZE, math.ceil(held / 2)) < need + batch:
        held += 1
    return held - need


def _require_survival(request: BufferPlanInput, plan: BufferPlan) -> None:
    """Tries each rack failure with each choice of a wave, pool by pool."""
    held = [host for host in request.hosts if host.host in plan.allocated_hosts]
    for failed in {host.rack for host in held}:
        left = [host for host in held if host.rack != failed]
        largest = {
            pool: max(
                Counter(h.rack for h in left if h.pool == pool).values(), default=0
            )
            for pool in request.batches
        }
        out = sum(min(largest[pool], count) for pool, count in request.batches.items())
        if plan.missing_count == 0 and len(left) - out < sum(request.needs.values()):
            raise AssertionError(f"rack {failed} leaves too few hosts")


def _run_day(source: random.Random) -> _Day:
    shared, fixed = [], []
    batches = dict.fromkeys(POOLS, 1)
    for step in range(STEPS_COUNT):
        needs = _needs(step, source)
        request = BufferPlanInput(_site(), needs, batches)
        plan = plan_buffer(request)
        _require_survival(request, plan)
        if plan.missing_count:
            raise AssertionError(f"step {step} lacks {plan.missing_count} hosts")
        shared.append(plan.reserve_count)
        fixed.append(sum(_fixed_spare(need, 1) for need in needs.values()))
    return _Day(
        sum(shared) / STEPS_COUNT, max(shared), sum(fixed) / STEPS_COUNT, max(fixed)
    )


def _small_case(source: random.Random) -> BufferPlanInput:
    pools, racks = ("a", "b", "c"), ("r0", "r1", "r2", "r3")
    cells = [(pool, rack) for pool in pools for rack in racks]
    counts = {cell: source.choice((0, 0, 1, 1, 2, 3)) for cell in cells}
    hosts = tuple(
        PlacedHost(f"{pool}-{rack}-{number}", pool, rack)
        for (pool, rack), count in counts.items()
        for number in range(count)
    )
    needs = {pool: source.randint(0, 3) for pool in pools}
    return BufferPlanInput(hosts, needs, dict.fromkeys(pools, source.randint(0, 1)))


def _choices(request: BufferPlanInput) -> Iterator[Counter[tuple[str, str]]]:
    sizes = Counter((host.pool, host.rack) for host in request.hosts)
    cells = sorted(sizes)
    for counts in itertools.product(*(range(sizes[cell] + 1) for cell in cells)):
        yield Counter(dict(zip(cells, counts, strict=True)))


def _exact_reserve(request: BufferPlanInput) -> int | None:
    wanted = Counter(request.needs) + Counter(request.batches)
    owned = Counter(host.pool for host in request.hosts)
    floors = {pool: min(wanted[pool], owned[pool]) for pool in owned}
    best: int | None = None
    for held in _choices(request):
        total = held.total()
        if best is not None and total >= best:
            continue
        by_rack: Counter[str] = Counter()
        by_pool: Counter[str] = Counter()
        for (pool, rack), count in held.items():
            by_rack[rack] += count
            by_pool[pool] += count
        survives = total - max(by_rack.values(), default=0) >= wanted.total()
        if survives and all(by_pool[pool] >= floors[pool] for pool in floors):
            best = total
    return None if best is None else best - sum(request.needs.values())


def _compare_exact(source: random.Random) -> tuple[int, int, int]:
    """
    :returns: reserve of the plans, of the exact search, and the largest difference.
    """
    planned, exact, worst = 0, 0, 0
    cases_count = 0
    while cases_count < SMALL_CASES_COUNT:
        request = _small_case(source)
        sizes = Counter((host.pool, host.rack) for host in request.hosts)
        if math.prod(size + 1 for size in sizes.values()) > 50_000:
            continue
        cases_count += 1
        plan = plan_buffer(request)
        optimum = _exact_reserve(request)
        if (optimum is None) != (plan.missing_count > 0):
            raise AssertionError(f"plan and exact search disagree on {request}")
        if optimum is not None:
            planned += plan.reserve_count
            exact += optimum
            worst = max(worst, plan.reserve_count - optimum)
    return planned, exact, worst


def _target_size_s() -> float:
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
    source = random.Random(seed)
    day = _run_day(source)
    planned, exact, worst = _compare_exact(source)
    ratio = day.shared_mean / day.fixed_mean
    excess_ratio = planned / exact - 1
    print(f"seed {seed}")
    print(
        f"reserve, fixed spare in each pool: mean {day.fixed_mean:.1f} "
        f"max {day.fixed_max}"
    )
    print(f"reserve, shared plan: mean {day.shared_mean:.1f} max {day.shared_max}")
    print(
        f"ratio {ratio:.2f}, target at most {TARGET_RATIO}: "
        f"{'met' if ratio <= TARGET_RATIO else 'missed'}"
    )
    print(
        f"small cases: plan {planned}, exact {exact} hosts in reserve, "
        f"largest difference {worst}; excess {excess_ratio:.1%}, target at most "
        f"{TARGET_EXCESS_RATIO:.0%}: "
        f"{'met' if excess_ratio <= TARGET_EXCESS_RATIO else 'missed'}"
    )
    print(f"one plan for 1,000 hosts in 22 pools: {_target_size_s():.2f} s")


if __name__ == "__main__":
    main()
