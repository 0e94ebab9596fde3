"""Host moves over a day: ``python -m benchmarks.moves [--seed N]``.

Model: 5 pools of 8 hosts (section 1.2 of docs/design.md), time in steps of 10 s. Each
queue in turn has bursts of 5 times its mean for 10 to 40 s, and for some hours of the
day a sustained peak that its pool can't serve alone; otherwise its demand is a
twentieth of the mean. A move takes one step, in which the host serves no pool.

Baselines: ``follow`` changes the sizes of pools whenever demand changes and gives
unneeded hosts back to the spare pool; ``lazy`` moves only when a pool is short, and
at once. Short host hours are demand above the hosts in service.
"""

import argparse
import math
import random
from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from sycamorecroft.errors import InvariantError
from sycamorecroft.invariants import PoolAvailability, check_availability_budget
from sycamorecroft.pools.demand import DemandTracker, PoolNeed
from sycamorecroft.pools.planning import (
    MOVE_COST_S,
    Move,
    MovePlanInput,
    plan_moves,
    supply_counts,
)
from sycamorecroft.pools.records import BudgetRecord
from sycamorecroft.pools.state import HostRecord, HostState

POOLS = ("rating", "assessment", "hotline", "dispatch", "backoffice")
SPARE_POOL = "backoffice"
HOSTS_COUNT = 8
RACK_SIZE = 4
MAX_UNAVAILABLE_RATIO = 0.25
STEP_S = 10.0
DAY_S = 86_400.0
MEAN_HOSTS = 2.0
PEAK_FACTOR = 5.0
TARGET_RATIO = 1 / 3


class Outcome(NamedTuple):
    """Result of one policy over the day."""

    moves_count: int
    short_host_hours: float
    broken_budgets_count: int


def make_demand(source: random.Random) -> list[Mapping[str, float]]:
    """
    :returns: demand of each pool in hosts, for each step of the day.
    """
    steps_count = int(DAY_S / STEP_S)
    demand = [dict.fromkeys(POOLS, MEAN_HOSTS / 20) for _ in range(steps_count)]
    _add_sustained_peaks(demand)
    _add_bursts(demand, source)
    return [
        {pool: value * source.uniform(0.95, 1.05) for pool, value in item.items()}
        for item in demand
    ]


def _add_sustained_peaks(demand: list[dict[str, float]]) -> None:
    for number, pool in enumerate(POOLS):
        for step, item in enumerate(demand):
            distance = abs(step / len(demand) * len(POOLS) - number - 0.5)
            if distance < 0.75:
                level = math.cos(distance / 0.75 * math.pi / 2)
                item[pool] = max(item[pool], MEAN_HOSTS * PEAK_FACTOR * level)


def _add_bursts(demand: list[dict[str, float]], source: random.Random) -> None:
    step, turn = 0, 0
    while step < len(demand):
        pool = POOLS[turn % len(POOLS)]
        for item in demand[step : step + source.randint(1, 4)]:
            item[pool] = max(item[pool], MEAN_HOSTS * PEAK_FACTOR)
        step += source.randint(4, 12)
        turn += 1


class Policy(ABC):
    """Chooses moves from the demand of each step."""

    @abstractmethod
    def choose(
        self, hosts: Sequence[HostRecord], demand: Mapping[str, float], now_s: float
    ) -> Sequence[Move]:
        """
        :returns: moves to begin now.
        """


class FollowPolicy(Policy):
    """Sets each pool to what it needs now.

    :param gives_back: whether unneeded hosts go back to the spare pool at once.
    """

    def __init__(self, *, gives_back: bool) -> None:
        self._gives_back = gives_back

    def choose(
        self, hosts: Sequence[HostRecord], demand: Mapping[str, float], now_s: float
    ) -> Sequence[Move]:
        counts = [math.ceil(demand[pool] / 0.9) for pool in POOLS]
        needs = {
            pool: PoolNeed(count, count, math.inf)
            for pool, count in zip(POOLS, counts, strict=True)
        }
        if self._gives_back:
            needs[SPARE_POOL] = PoolNeed(10**6, 10**6, math.inf)
        others = {pool: need for pool, need in needs.items() if pool != SPARE_POOL}
        urgent = dict(others) | {SPARE_POOL: PoolNeed(0, counts[-1], math.inf)}
        moves = list(_plan(hosts, urgent, price_s=0.0))
        if self._gives_back and not moves:
            moves = list(_plan(hosts, needs, price_s=0.0))
        return moves


class PlannerPolicy(Policy):
    """The planner of section 5.8 of docs/design.md."""

    def __init__(self) -> None:
        self._trackers = {pool: DemandTracker() for pool in POOLS}

    def choose(
        self, hosts: Sequence[HostRecord], demand: Mapping[str, float], now_s: float
    ) -> Sequence[Move]:
        supplies = supply_counts(hosts, frozenset())
        needs = {}
        for pool, tracker in self._trackers.items():
            tracker.observe(demand[pool], now_s)
            needs[pool] = tracker.need(supplies.get(pool, 0), now_s)
        return _plan(hosts, needs, price_s=MOVE_COST_S)


def _plan(
    hosts: Sequence[HostRecord], needs: Mapping[str, PoolNeed], *, price_s: float
) -> Sequence[Move]:
    sizes = Counter(host["pool"] for host in hosts)
    budgets = {
        pool: BudgetRecord(
            pool=pool,
            hosts_count=sizes[pool],
            planned_out_count=0,
            failed_out_count=0,
            max_unavailable_ratio=MAX_UNAVAILABLE_RATIO,
        )
        for pool in POOLS
    }
    return plan_moves(MovePlanInput(tuple(hosts), budgets, needs, cost_s=price_s)).moves


def run_day(policy: Policy, demand: Sequence[Mapping[str, float]]) -> Outcome:
    """
    :returns: moves, unmet demand and steps that broke a budget.
    """
    hosts = _new_hosts()
    by_name = {host["host"]: host for host in hosts}
    moves_count, broken_count, short_s = 0, 0, 0.0
    for step, item in enumerate(demand):
        for host in hosts:
            if host["target_pool"] is not None:
                host["pool"] = host["target_pool"]
                host["target_pool"] = None
                host["state"] = HostState.ACTIVE
        for move in policy.choose(hosts, item, step * STEP_S):
            host = by_name[move.host]
            host["target_pool"] = move.target_pool
            host["state"] = HostState.DRAINING
            moves_count += 1
        broken_count += _broken_budgets_count(hosts)
        in_service = Counter(
            host["pool"] for host in hosts if host["state"] == HostState.ACTIVE
        )
        short_s += STEP_S * sum(
            max(0.0, item[pool] - in_service[pool]) for pool in POOLS
        )
    return Outcome(moves_count, short_s / 3600, broken_count)


def _broken_budgets_count(hosts: Sequence[HostRecord]) -> int:
    sizes = Counter(host["pool"] for host in hosts)
    out = Counter(host["pool"] for host in hosts if host["state"] != HostState.ACTIVE)
    broken_count = 0
    for pool in POOLS:
        try:
            check_availability_budget(
                PoolAvailability(pool, sizes[pool], out[pool], MAX_UNAVAILABLE_RATIO)
            )
        except InvariantError:
            broken_count += 1
    return broken_count


def _new_hosts() -> list[HostRecord]:
    return [
        HostRecord(
            host=f"{pool}-{number}",
            address="127.0.0.1:1",
            data_centre="dc",
            rack=f"{pool}-{number // RACK_SIZE}",
            pool=pool,
            state=HostState.ACTIVE,
            epoch=1,
            slots_count=8,
            connections_count=64,
            target_pool=None,
            maintenance_id=None,
        )
        for pool in POOLS
        for number in range(HOSTS_COUNT)
    ]


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=20261204)
    seed = parser.parse_args().seed
    demand = make_demand(random.Random(seed))
    outcomes = {
        "follow": run_day(FollowPolicy(gives_back=True), demand),
        "lazy": run_day(FollowPolicy(gives_back=False), demand),
        "planner": run_day(PlannerPolicy(), demand),
    }
    print(f"seed {seed}")
    for name, outcome in outcomes.items():
        print(
            f"{name}: {outcome.moves_count} moves, "
            f"{outcome.short_host_hours:.1f} short host hours, "
            f"{outcome.broken_budgets_count} budgets broken"
        )
    planner = outcomes["planner"]
    for name in ("follow", "lazy"):
        ratio = planner.moves_count / max(1, outcomes[name].moves_count)
        print(f"moves, planner to {name}: {ratio:.3f}")
    ratio = planner.moves_count / max(1, outcomes["follow"].moves_count)
    met = ratio <= TARGET_RATIO and planner.broken_budgets_count == 0
    print(
        f"target at most {TARGET_RATIO:.2f} of follow, no budget broken: "
        f"{'met' if met else 'missed'}"
    )


if __name__ == "__main__":
    main()
