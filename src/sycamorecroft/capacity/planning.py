"""How many machines a pool needs."""

import math
from collections import deque
from typing import NamedTuple

from sycamorecroft.scheduling.pool_snapshot import PoolSnapshot, WorkerSnapshot

# A machine takes seconds to arrive, so that a pool grows before it is full.
GROWTH_LOAD_RATIO = 0.9
# Share of the work of the last second that counts as demand; one second tells little.
ARRIVING_RATIO = 0.7
# A machine is given back after the pool did without it for this long.
SURPLUS_TIME_S = 2.0
# Share of the capacity that the highest recent demand may take after giving back.
SURPLUS_LOAD_RATIO = 0.8
# Share of its first size that a pool keeps while demand is low, for sudden demand.
FLOOR_RATIO = 0.75


class PoolDemand(NamedTuple):
    """Machines that a pool should gain, or may lose."""

    grow_count: int = 0
    shrink_count: int = 0


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

    def highest_count(self, now_s: float) -> float | None:
        """
        :returns: highest recent demand, ``None`` while too little has been seen.
        """
        if self._since_s is None or now_s - self._since_s < SURPLUS_TIME_S:
            return None
        return max((sample.machines_count for sample in self._samples), default=0.0)


def plan_pool(
    snapshot: PoolSnapshot,
    history: DemandHistory,
    *,
    incoming_count: int,
    floor_count: int,
) -> PoolDemand:
    """
    :param incoming_count: machines on their way to the pool.
    :param floor_count: machines that the pool keeps in any case.
    :returns: machines that the pool should gain, or may lose.
    """
    usable = [worker for worker in snapshot.workers if _is_usable(worker)]
    grow_count = _missing_count(snapshot, usable) - incoming_count
    if grow_count > 0:
        return PoolDemand(grow_count=grow_count)
    highest = history.highest_count(snapshot.taken_s)
    if highest is None or incoming_count:
        return PoolDemand()
    needed = max(floor_count, math.ceil(highest / SURPLUS_LOAD_RATIO))
    return PoolDemand(shrink_count=max(0, len(usable) - needed))


def floor_count(home_count: int) -> int:
    """
    :param home_count: machines that the pool had when it was first seen.
    :returns: machines that the pool keeps in any case.
    """
    return max(1, math.ceil(home_count * FLOOR_RATIO))


def _is_usable(worker: WorkerSnapshot) -> bool:
    return worker.is_expected and not worker.is_reserved


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


def _missing_count(snapshot: PoolSnapshot, usable: list[WorkerSnapshot]) -> int:
    """Counts the machines that would take the work that waits.

    Each long-running task that waits may need a machine of its own.
    """
    if snapshot.waiting_long_running_count:
        return snapshot.waiting_long_running_count
    each = _capacity_of_one(snapshot)
    if not each:
        return 0
    needed = _demand(snapshot) / each / GROWTH_LOAD_RATIO
    return math.ceil(needed) - len(usable)
