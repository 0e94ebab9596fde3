"""Computes how many hosts each pool needs and which workers it can release."""

import math
from collections import deque
from collections.abc import Mapping
from typing import NamedTuple

from sycamorecroft.scheduling.pool_snapshot import PoolSnapshot, WorkerSnapshot

# A moved host is available only after several seconds, so a pool grows before it is
# full.
GROWTH_LOAD_RATIO = 0.9
# Hosts move to standby after the pool has not needed them for this long.
STANDBY_DELAY_S = 2.0
# Hosts move to another pool with unmet demand after theirs has not needed them for this
# long.
REASSIGNMENT_DELAY_S = 0.75
# Share of the capacity left after a release that the peak of recent demand may use.
SURPLUS_LOAD_RATIO = 0.8
# Share of its initial size that a pool keeps under low load as headroom for bursts.
MINIMUM_SIZE_RATIO = 0.75


class PoolDemand(NamedTuple):
    """Number of hosts that a pool should gain or can release.

    ``shrink_count``: hosts that have been surplus for long enough to move to standby.
    ``reassignable_count``: hosts that may move to a pool with unmet demand.
    ``needed_count``: hosts required to run all of the pool's work at once.
    ``usable_count``: hosts that the pool has, incoming ones included.
    """

    grow_count: int = 0
    shrink_count: int = 0
    reassignable_count: int = 0
    needed_count: int = 0
    usable_count: int = 0


class DemandSample(NamedTuple):
    """Demand of a pool at one time, as a fractional number of hosts."""

    taken_s: float
    hosts_count: float


class DemandHistory:
    """Demand of one pool over the last :data:`STANDBY_DELAY_S` seconds."""

    def __init__(self) -> None:
        self._samples: deque[DemandSample] = deque()
        self._since_s: float | None = None

    def add(self, snapshot: PoolSnapshot) -> None:
        """Records the demand of a snapshot, unless the capacity per worker is 0."""
        hosts_count = demand_hosts_count(snapshot)
        if hosts_count is None:
            return
        if self._since_s is None:
            self._since_s = snapshot.taken_s
        self._samples.append(DemandSample(snapshot.taken_s, hosts_count))
        limit_s = snapshot.taken_s - STANDBY_DELAY_S
        while self._samples and self._samples[0].taken_s < limit_s:
            self._samples.popleft()

    def peak_count(self, now_s: float, duration_s: float) -> float | None:
        """
        :param duration_s: length of the window in seconds, at most
            :data:`STANDBY_DELAY_S`.
        :returns: peak demand within the window, in hosts; ``None`` while the history
            is shorter than the window.
        """
        if self._since_s is None or now_s - self._since_s < duration_s:
            return None
        limit_s = now_s - duration_s
        recent = [s.hosts_count for s in self._samples if s.taken_s >= limit_s]
        return max(recent, default=0.0)


def demand_hosts_count(snapshot: PoolSnapshot) -> float | None:
    """
    :returns: demand in hosts; ``None`` if the capacity per worker is 0.
    """
    worker_millicores = _mean_worker_millicores(snapshot)
    if not worker_millicores:
        return None
    return snapshot.demand_millicores / worker_millicores


def plan_pool(
    snapshot: PoolSnapshot,
    history: DemandHistory,
    *,
    incoming_count: int,
    minimum_count: int,
    upkeep_hosts: frozenset[str] = frozenset(),
) -> PoolDemand:
    """
    :param incoming_count: hosts that have been ordered to move to the pool and have
        not registered yet.
    :param minimum_count: minimum size of the pool.
    :param upkeep_hosts: hosts that are selected for upkeep and not back in service.
    :returns: number of hosts that the pool should gain or can release.
    """
    usable_count = sum(_is_usable(w, upkeep_hosts) for w in snapshot.workers)
    present_count = usable_count + incoming_count
    grow_count = _missing_count(snapshot, usable_count) - incoming_count
    if grow_count > 0 or incoming_count:
        needed_count = present_count + max(0, grow_count)
        return PoolDemand(max(0, grow_count), 0, 0, needed_count, present_count)

    def surplus_count(duration_s: float) -> int:
        peak = history.peak_count(snapshot.taken_s, duration_s)
        if peak is None:
            return 0
        required_count = max(minimum_count, math.ceil(peak / SURPLUS_LOAD_RATIO))
        return max(0, usable_count - required_count)

    reassignable_count = surplus_count(REASSIGNMENT_DELAY_S)
    return PoolDemand(
        0,
        surplus_count(STANDBY_DELAY_S),
        reassignable_count,
        present_count - reassignable_count,
        present_count,
    )


def limit_to_fair_shares(
    demands: Mapping[str, PoolDemand],
    initial_counts: Mapping[str, int],
    free_count: int,
) -> dict[str, PoolDemand]:
    """Prevents an overloaded pool from starving the others of hosts.

    When there are fewer hosts than all pools need, each pool grows at most to its fair
    share, and a pool above its share may release the excess.

    :param initial_counts: initial size of each pool, used as its weight.
    :param free_count: hosts in standby pools.
    :returns: demand of each pool, limited where hosts are short.
    """
    needs = {pool: demand.needed_count for pool, demand in demands.items()}
    total_count = free_count + sum(demand.usable_count for demand in demands.values())
    if sum(needs.values()) <= total_count:
        return dict(demands)
    shares = fair_shares(needs, initial_counts, total_count)
    limited: dict[str, PoolDemand] = {}
    for pool, demand in demands.items():
        missing_count = max(0, shares[pool] - demand.usable_count)
        excess_count = max(0, demand.usable_count - shares[pool])
        limited[pool] = demand._replace(
            grow_count=min(demand.grow_count, missing_count),
            reassignable_count=max(demand.reassignable_count, excess_count),
        )
    return limited


def fair_shares(
    needs: Mapping[str, int], weights: Mapping[str, int], total_count: int
) -> dict[str, int]:
    """Divides hosts among pools by weighted max-min fairness.

    No pool gets more than it needs. Hosts that a pool doesn't need are divided among
    the others in proportion to their weights.

    :param needs: number of hosts that each pool needs.
    :param weights: weight of each pool, greater than 0.
    :param total_count: number of hosts to divide.
    :returns: number of hosts for each pool.
    """
    shares: dict[str, int] = {}
    unsatisfied = dict(needs)
    while unsatisfied:
        total_weight = sum(weights[pool] for pool in unsatisfied)
        remaining_count = max(0, total_count - sum(shares.values()))
        satisfied = {
            pool: need
            for pool, need in unsatisfied.items()
            if need * total_weight <= remaining_count * weights[pool]
        }
        if not satisfied:
            portions = {
                pool: remaining_count * weights[pool] // total_weight
                for pool in unsatisfied
            }
            return shares | portions
        shares |= satisfied
        unsatisfied = {
            pool: need for pool, need in unsatisfied.items() if pool not in satisfied
        }
    return shares


def minimum_size(initial_count: int) -> int:
    """
    :param initial_count: number of hosts in the pool when it was first observed.
    :returns: number of hosts that the pool keeps under low load, at least 1.
    """
    return max(1, math.ceil(initial_count * MINIMUM_SIZE_RATIO))


def share_hosts(needs: Mapping[str, int], available_count: int) -> dict[str, int]:
    """Divides available hosts among pools in proportion to their needs.

    :param needs: number of hosts that each pool needs, greater than 0.
    :param available_count: number of hosts to divide.
    :returns: number of hosts for each pool, never more than it needs.
    """
    needed_count = sum(needs.values())
    if needed_count <= available_count:
        return dict(needs)
    shares = {
        pool: need * available_count // needed_count for pool, need in needs.items()
    }
    leftover_count = available_count - sum(shares.values())
    by_remainder = sorted(
        needs, key=lambda pool: (-(needs[pool] * available_count % needed_count), pool)
    )
    for pool in by_remainder[:leftover_count]:
        shares[pool] += 1
    return shares


def select_workers_to_drain(
    snapshot: PoolSnapshot,
    reserved: frozenset[str],
    count: int,
    upkeep_hosts: frozenset[str],
    due_hosts: frozenset[str] = frozenset(),
) -> frozenset[str]:
    """Selects the workers whose hosts a pool releases.

    Workers selected before come first, then those with the least CPU in use. Among
    equally loaded workers those due for upkeep come first: upkeep of a standby host
    costs no capacity.

    :param reserved: workers that are selected already; they stay selected while they
        are eligible.
    :param count: number of hosts to release.
    :param upkeep_hosts: hosts that are selected for upkeep and not back in service.
    :param due_hosts: hosts whose upkeep is due and has not started.
    :returns: ids of the workers.
    """
    candidates = [
        worker
        for worker in snapshot.workers
        if _is_usable(worker, upkeep_hosts)
        and worker.is_in_contact
        and not worker.long_running_count
        and worker.host
    ]
    candidates.sort(
        key=lambda worker: (
            worker.worker_id not in reserved,
            worker.used.cpu_millicores,
            worker.host not in due_hosts,
            worker.worker_id,
        )
    )
    return frozenset(worker.worker_id for worker in candidates[:count])


def _is_usable(worker: WorkerSnapshot, upkeep_hosts: frozenset[str]) -> bool:
    """Whether the worker accepts tasks, or would if it weren't reserved."""
    is_staying = not worker.is_draining and worker.host not in upkeep_hosts
    return worker.is_presumed_reachable and is_staying


def _mean_worker_millicores(snapshot: PoolSnapshot) -> float:
    workers = snapshot.workers
    if not workers:
        return 0.0
    return sum(worker.capacity.cpu_millicores for worker in workers) / len(workers)


def _missing_count(snapshot: PoolSnapshot, usable_count: int) -> int:
    """Counts the additional hosts that the waiting work requires.

    Each waiting long-running task may need a host of its own.
    """
    if snapshot.waiting_long_running_count:
        return snapshot.waiting_long_running_count
    worker_millicores = _mean_worker_millicores(snapshot)
    if not worker_millicores:
        return 0
    needed = snapshot.demand_millicores / worker_millicores / GROWTH_LOAD_RATIO
    return math.ceil(needed) - usable_count
