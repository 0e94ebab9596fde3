"""Plans batches of hosts that may leave service together, by pure functions."""

from collections import Counter
from collections.abc import Mapping, Sequence
from enum import StrEnum
from typing import NamedTuple

from sycamorecroft.pools.records import BudgetRecord, allowed_out_count
from sycamorecroft.pools.state import HostRecord, HostState
from sycamorecroft.pools.transitions import PLANNED_OUT_STATES


class WaitReason(StrEnum):
    """State of a host in a wave, or the reason why it waits."""

    DONE = "done"
    NEXT = "next"
    WAVE_PAUSED = "wave_paused"
    WAVE_CANCELLED = "wave_cancelled"
    RECENT_FAILURE = "recent_failure"
    HOST_LIST_UNAVAILABLE = "host_list_unavailable"
    HOST_FAILED = "host_failed"
    MOVE_IN_PROGRESS = "move_in_progress"
    OTHER_WAVE = "other_wave"
    OTHER_RACK = "other_rack"
    POOL_BUDGET = "pool_budget"
    RACK_RESERVE = "rack_reserve"
    DEMAND = "demand"
    ENTRY_HOST = "entry_host"
    DRAINING = "draining"
    DRAINED = "drained"
    REBOOTING = "rebooting"


class HostWait(NamedTuple):
    """Reason why a host waits, with details for operators."""

    reason: WaitReason
    detail: str


class BatchRequest(NamedTuple):
    """Input of :func:`plan_batch`.

    ``waiting`` lists active hosts in order of priority. ``failed_hosts`` are active
    hosts that the platform doesn't list as live. ``needed_counts`` is the number of
    hosts that each pool's demand requires, 0 for pools that are not in it.
    """

    hosts: Mapping[str, HostRecord]
    budgets: Mapping[str, BudgetRecord]
    waiting: tuple[str, ...]
    failed_hosts: frozenset[str]
    needed_counts: Mapping[str, int]


class Batch(NamedTuple):
    """Hosts that may start to drain now, and why the other waiting hosts can't."""

    hosts: tuple[str, ...]
    waits: Mapping[str, HostWait]


class _Limit(NamedTuple):
    count: int
    wait: HostWait


class _Pool(NamedTuple):
    budget: BudgetRecord
    hosts: tuple[HostRecord, ...]
    in_service: tuple[HostRecord, ...]
    in_maintenance: tuple[HostRecord, ...]
    out_count: int
    needed_count: int


def plan_batch(request: BatchRequest) -> Batch:
    """Chooses hosts that may leave service within the availability budgets of pools.

    In each pool, hosts of only one rack are in maintenance at a time. Beyond the hosts
    that are out, each pool's budget keeps a reserve for the failure of any one further
    rack. If the budget equals the size of a rack, one host at a time is in maintenance.
    If it is smaller, a rack failure exceeds the budget whether or not other hosts are
    out, so only the budget limits the batch.

    :returns: the chosen hosts, and why the other waiting hosts can't start.
    """
    chosen: list[str] = []
    waits: dict[str, HostWait] = {}
    for pool, waiting in _by_pool(request).items():
        batch = _plan_pool(_pool_state(pool, request), waiting)
        chosen += batch.hosts
        waits.update(batch.waits)
    return Batch(tuple(chosen), waits)


def _by_pool(request: BatchRequest) -> Mapping[str, Sequence[HostRecord]]:
    waiting: dict[str, list[HostRecord]] = {}
    for name in request.waiting:
        record = request.hosts[name]
        waiting.setdefault(record["pool"], []).append(record)
    return waiting


def _pool_state(pool: str, request: BatchRequest) -> _Pool:
    hosts = tuple(host for host in request.hosts.values() if host["pool"] == pool)
    in_service = tuple(
        host
        for host in hosts
        if host["state"] == HostState.ACTIVE
        and host["host"] not in request.failed_hosts
    )
    in_maintenance = tuple(
        host
        for host in hosts
        if host["state"] in PLANNED_OUT_STATES and host["target_pool"] is None
    )
    return _Pool(
        budget=request.budgets[pool],
        hosts=hosts,
        in_service=in_service,
        in_maintenance=in_maintenance,
        out_count=len(hosts) - len(in_service),
        needed_count=request.needed_counts.get(pool, 0),
    )


def _plan_pool(pool: _Pool, waiting: Sequence[HostRecord]) -> Batch:
    rack = _current_rack(pool, waiting)
    limit = _limit(pool, rack)
    candidates = [host["host"] for host in waiting if host["rack"] == rack]
    chosen = tuple(candidates[: max(0, limit.count)])
    waits = {name: limit.wait for name in candidates if name not in chosen}
    for host in waiting:
        if host["rack"] != rack:
            detail = f"rack {rack} of pool {host['pool']} is maintained first"
            waits[host["host"]] = HostWait(WaitReason.OTHER_RACK, detail)
    return Batch(chosen, waits)


def _current_rack(pool: _Pool, waiting: Sequence[HostRecord]) -> str:
    if pool.in_maintenance:
        return pool.in_maintenance[0]["rack"]
    return waiting[0]["rack"]


def _limit(pool: _Pool, rack: str) -> _Limit:
    limits = (
        _limit_by_budget(pool),
        _limit_by_reserve(pool, rack),
        _limit_by_demand(pool),
    )
    return min(limits, key=lambda limit: limit.count)


def _limit_by_budget(pool: _Pool) -> _Limit:
    allowed_count = allowed_out_count(pool.budget)
    detail = (
        f"pool {pool.budget['pool']} has {pool.out_count} hosts out, "
        f"at most {allowed_count} are allowed"
    )
    wait = HostWait(WaitReason.POOL_BUDGET, detail)
    return _Limit(allowed_count - pool.out_count, wait)


def _limit_by_reserve(pool: _Pool, rack: str) -> _Limit:
    allowed_count = allowed_out_count(pool.budget)
    name = pool.budget["pool"]
    above_reserve_count = _count_above_reserve(pool.hosts, rack, allowed_count)
    if above_reserve_count < 0:
        return _limit_by_budget(pool)
    if above_reserve_count == 0:
        detail = f"budget of pool {name} equals the size of a rack: one host at a time"
        wait = HostWait(WaitReason.RACK_RESERVE, detail)
        return _Limit(1 - len(pool.in_maintenance), wait)
    count = _count_above_reserve(pool.in_service, rack, allowed_count - pool.out_count)
    detail = (
        f"pool {name} has {pool.out_count} hosts out and keeps a reserve for the "
        f"failure of one rack, at most {allowed_count} are allowed"
    )
    return _Limit(count, HostWait(WaitReason.RACK_RESERVE, detail))


def _count_above_reserve(
    in_service: Sequence[HostRecord], rack: str, free_count: int
) -> int:
    """
    :param in_service: hosts of the pool that are in service.
    :param free_count: number of further hosts that may be out of service.
    :returns: number of hosts of ``rack`` that may leave service such that any one rack
        may fail afterwards; negative if the budget is too small for such a failure.
    """
    rack_sizes = Counter(host["rack"] for host in in_service)
    own_size = rack_sizes.pop(rack, 0)
    other_size = max(rack_sizes.values(), default=0)
    if own_size > free_count:
        return min(0, free_count - other_size)
    return free_count - other_size


def _limit_by_demand(pool: _Pool) -> _Limit:
    detail = (
        f"pool {pool.budget['pool']} has {len(pool.in_service)} hosts in service and "
        f"its demand requires {pool.needed_count}"
    )
    wait = HostWait(WaitReason.DEMAND, detail)
    return _Limit(len(pool.in_service) - pool.needed_count, wait)
