"""How many machines a pool needs, and which machines go where."""

import math
from collections import deque
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from sycamorecroft.scheduling.pool_snapshot import PoolSnapshot, WorkerSnapshot

# A machine takes seconds to arrive, so that a pool grows before it is full.
GROWTH_LOAD_RATIO = 0.9
# Share of the work of the last second that counts as demand; one second tells little.
ARRIVING_RATIO = 0.7
# A machine is given back after the pool did without it for this long.
SURPLUS_TIME_S = 2.0
# A machine is lent to a pool that needs it after its own did without it for this long.
LENDING_TIME_S = 0.75
# Share of the capacity that the highest recent demand may take after giving back.
SURPLUS_LOAD_RATIO = 0.8
# Share of its first size that a pool keeps while demand is low, for sudden demand.
FLOOR_RATIO = 0.75


class PoolDemand(NamedTuple):
    """Machines that a pool should gain, or may lose.

    ``shrink_count``: machines that it has done without for long enough to be switched
    off. ``lend_count``: machines that it may give to a pool that needs them.
    ``needed_count``: machines that would take all its work at once. ``usable_count``:
    machines that it has, those on their way included.
    """

    grow_count: int = 0
    shrink_count: int = 0
    lend_count: int = 0
    needed_count: int = 0
    usable_count: int = 0


class DemandSample(NamedTuple):
    """Demand of a pool at a time, in machines."""

    taken_s: float
    machines_count: float


class DemandHistory:
    """Recent demand of one pool."""

    def __init__(self) -> None:
        self._samples: deque[DemandSample] = deque()
        self._since_s: float | None = None

    def add(self, snapshot: PoolSnapshot) -> None:
        """Records the demand of a snapshot."""
        each = _capacity_of_one(snapshot)
        if not each:
            return
        if self._since_s is None:
            self._since_s = snapshot.taken_s
        demand = _demand(snapshot) / each
        self._samples.append(DemandSample(snapshot.taken_s, demand))
        limit_s = snapshot.taken_s - SURPLUS_TIME_S
        while self._samples and self._samples[0].taken_s < limit_s:
            self._samples.popleft()

    def highest_count(self, now_s: float, duration_s: float) -> float | None:
        """
        :param duration_s: at most :data:`SURPLUS_TIME_S`.
        :returns: highest demand of that time, ``None`` while too little has been seen.
        """
        if self._since_s is None or now_s - self._since_s < duration_s:
            return None
        limit_s = now_s - duration_s
        recent = [s.machines_count for s in self._samples if s.taken_s >= limit_s]
        return max(recent, default=0.0)


def plan_pool(
    snapshot: PoolSnapshot,
    history: DemandHistory,
    *,
    incoming_count: int,
    floor_count: int,
    busy_machines: frozenset[str] = frozenset(),
) -> PoolDemand:
    """
    :param incoming_count: machines on their way to the pool.
    :param floor_count: machines that the pool keeps in any case.
    :param busy_machines: machines that upkeep is about to take.
    :returns: machines that the pool should gain, or may lose.
    """
    usable_count = sum(_is_usable(w, busy_machines) for w in snapshot.workers)
    present_count = usable_count + incoming_count
    grow_count = _missing_count(snapshot, usable_count) - incoming_count
    if grow_count > 0 or incoming_count:
        needed_count = present_count + max(0, grow_count)
        return PoolDemand(max(0, grow_count), 0, 0, needed_count, present_count)

    def surplus_count(duration_s: float) -> int:
        highest = history.highest_count(snapshot.taken_s, duration_s)
        if highest is None:
            return 0
        needed = max(floor_count, math.ceil(highest / SURPLUS_LOAD_RATIO))
        return max(0, usable_count - needed)

    lend_count = surplus_count(LENDING_TIME_S)
    return PoolDemand(
        0,
        surplus_count(SURPLUS_TIME_S),
        lend_count,
        present_count - lend_count,
        present_count,
    )


def limit_to_fair_shares(
    demands: Mapping[str, PoolDemand], homes: Mapping[str, int], free_count: int
) -> dict[str, PoolDemand]:
    """Keeps the overload of one pool from taking the machines of another.

    When there are too few machines for all, each pool grows only up to its fair share,
    and one that has more lends it as far as others are below theirs.

    :param homes: machines that each pool had when it was first seen.
    :param free_count: machines on standby.
    """
    needs = {pool: demand.needed_count for pool, demand in demands.items()}
    total = free_count + sum(demand.usable_count for demand in demands.values())
    if sum(needs.values()) <= total:
        return dict(demands)
    shares = fair_shares(needs, homes, total)
    limited: dict[str, PoolDemand] = {}
    for pool, demand in demands.items():
        missing_count = max(0, shares[pool] - demand.usable_count)
        excess_count = max(0, demand.usable_count - shares[pool])
        limited[pool] = demand._replace(
            grow_count=min(demand.grow_count, missing_count),
            lend_count=max(demand.lend_count, excess_count),
        )
    return limited


def fair_shares(
    needs: Mapping[str, int], weights: Mapping[str, int], total: int
) -> dict[str, int]:
    """Shares machines by weighted max-min fairness.

    No pool gets more than it needs; what one doesn't need goes to the others in
    proportion to their weights.

    :param weights: weight of each pool, all above 0.
    """
    shares: dict[str, int] = {}
    left = dict(needs)
    while left:
        total_weight = sum(weights[pool] for pool in left)
        rest = max(0, total - sum(shares.values()))
        content = {
            pool: need
            for pool, need in left.items()
            if need * total_weight <= rest * weights[pool]
        }
        if not content:
            portions = {pool: rest * weights[pool] // total_weight for pool in left}
            return shares | portions
        shares |= content
        left = {pool: need for pool, need in left.items() if pool not in content}
    return shares


def floor_count(home_count: int) -> int:
    """
    :param home_count: machines that the pool had when it was first seen.
    :returns: machines that the pool keeps in any case.
    """
    return max(1, math.ceil(home_count * FLOOR_RATIO))


def share_machines(needs: Mapping[str, int], count: int) -> dict[str, int]:
    """Shares machines among pools that need them, in proportion to their needs.

    :param needs: machines that each pool needs, all above 0.
    :param count: machines that there are.
    :returns: machines for each pool.
    """
    total = sum(needs.values())
    if total <= count:
        return dict(needs)
    shares = {pool: need * count // total for pool, need in needs.items()}
    left = count - sum(shares.values())
    by_rest = sorted(needs, key=lambda pool: (-(needs[pool] * count % total), pool))
    for pool in by_rest[:left]:
        shares[pool] += 1
    return shares


def workers_to_empty(
    snapshot: PoolSnapshot,
    leaving: frozenset[str],
    count: int,
    busy_machines: frozenset[str],
    due_machines: frozenset[str] = frozenset(),
) -> frozenset[str]:
    """Chooses workers that a pool gives away.

    Of workers that are empty, those that are due for upkeep go first: it costs no
    capacity while they are off. Otherwise the emptiest go first.

    :param leaving: workers that were chosen before; they stay chosen if possible.
    :param count: machines that the pool gives away.
    :param due_machines: machines whose upkeep has not begun.
    :returns: ids of the workers.
    """
    candidates = [
        worker
        for worker in snapshot.workers
        if _is_usable(worker, busy_machines)
        and worker.is_in_contact
        and not worker.long_running_count
        and worker.host
    ]
    candidates.sort(
        key=lambda worker: (
            worker.worker_id not in leaving,
            worker.used.cpu_millicores,
            worker.host not in due_machines,
            worker.worker_id,
        )
    )
    return frozenset(worker.worker_id for worker in candidates[:count])


def split_shortage(lendable: Sequence[tuple[str, int]], count: int) -> dict[str, int]:
    """
    :param lendable: machines that each pool may lend.
    :param count: machines that other pools lack.
    :returns: machines that each pool is asked for, from the one with most first.
    """
    asked: dict[str, int] = {}
    for pool, available in sorted(lendable, key=lambda item: -item[1]):
        asked[pool] = min(available, count)
        count -= asked[pool]
    return asked


def _is_usable(worker: WorkerSnapshot, busy_machines: frozenset[str]) -> bool:
    """Whether the worker takes tasks, or would if it weren't to be given away."""
    is_staying = not worker.is_draining and worker.host not in busy_machines
    return worker.is_presumed_reachable and is_staying


def _capacity_of_one(snapshot: PoolSnapshot) -> float:
    workers = snapshot.workers
    if not workers:
        return 0.0
    return sum(worker.capacity.cpu_millicores for worker in workers) / len(workers)


def _demand(snapshot: PoolSnapshot) -> float:
    """Work that arrives faster than it is done needs more than what waits now."""
    used = sum(worker.used.cpu_millicores for worker in snapshot.workers)
    present = used + snapshot.waiting.cpu_millicores
    return max(present, ARRIVING_RATIO * snapshot.arriving_millicores)


def _missing_count(snapshot: PoolSnapshot, usable_count: int) -> int:
    """Counts the machines that would take the work that waits.

    Each long-running task that waits may need a machine of its own.
    """
    if snapshot.waiting_long_running_count:
        return snapshot.waiting_long_running_count
    each = _capacity_of_one(snapshot)
    if not each:
        return 0
    needed = _demand(snapshot) / each / GROWTH_LOAD_RATIO
    return math.ceil(needed) - usable_count
