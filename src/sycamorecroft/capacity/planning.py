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
    """

    grow_count: int = 0
    shrink_count: int = 0
    lend_count: int = 0


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
    grow_count = _missing_count(snapshot, usable_count) - incoming_count
    if grow_count > 0:
        return PoolDemand(grow_count=grow_count)
    if incoming_count:
        return PoolDemand()

    def surplus_count(duration_s: float) -> int:
        highest = history.highest_count(snapshot.taken_s, duration_s)
        if highest is None:
            return 0
        needed = max(floor_count, math.ceil(highest / SURPLUS_LOAD_RATIO))
        return max(0, usable_count - needed)

    return PoolDemand(0, surplus_count(SURPLUS_TIME_S), surplus_count(LENDING_TIME_S))


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
        and worker.machine
    ]
    candidates.sort(
        key=lambda worker: (
            worker.worker_id not in leaving,
            worker.used.cpu_millicores,
            worker.machine not in due_machines,
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
    is_staying = not worker.is_draining and worker.machine not in busy_machines
    return worker.is_expected and is_staying


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
