"""Selects the hosts of a pool that are drained for upkeep next."""

from collections.abc import Sequence
from typing import NamedTuple

from sycamorecroft.scheduling.pool_snapshot import PoolSnapshot, WorkerSnapshot
from sycamorecroft.upkeep.hosts import Host

# Estimated time to drain a host, added to the duration of its upkeep.
DRAIN_TIME_S = 3.0
# Maximum load of the remaining capacity while hosts are in upkeep.
LOAD_LIMIT_RATIO = 0.8


class DueHost(NamedTuple):
    """A host that is up and due for upkeep; ``worker`` is ``None`` if it has none."""

    host: Host
    worker: WorkerSnapshot | None


class PoolUpkeep(NamedTuple):
    """State of a pool's upkeep in one wave.

    ``due``: hosts that are due and not selected yet. ``unavailable_count``: hosts that
    are being drained or in upkeep. ``remaining_s``: time until the wave must be
    complete. ``upkeep_s``: duration of the upkeep of one host.
    """

    due: tuple[DueHost, ...]
    unavailable_count: int
    remaining_s: float
    upkeep_s: float


def select_hosts_to_drain(pool: PoolUpkeep, snapshot: PoolSnapshot | None) -> list[str]:
    """Selects hosts to drain now.

    As many hosts are selected as the load of the pool allows, and more only where the
    wave would miss its deadline otherwise. Hosts without a worker cost no
    capacity and are always selected.

    :param snapshot: load of the pool, ``None`` for a standby pool.
    :returns: names of the hosts, those with the least work first.
    """
    idle = [due.host.name for due in pool.due if due.worker is None]
    active = [due for due in pool.due if due.worker is not None]
    if snapshot is None:
        return idle
    count = max(_spare_count(snapshot, active), _required_count(pool, len(active)))
    active.sort(key=_drain_cost)
    return idle + [
        due.host.name for due in active[: max(0, count - pool.unavailable_count)]
    ]


def _spare_count(snapshot: PoolSnapshot, active: Sequence[DueHost]) -> int:
    """Counts the hosts that the present load does not need."""
    usable = [worker for worker in snapshot.workers if worker.is_in_contact]
    if not usable or not active:
        return 0
    demand_millicores = snapshot.waiting.cpu_millicores + sum(
        worker.used.cpu_millicores for worker in usable
    )
    capacity_millicores = sum(worker.capacity.cpu_millicores for worker in usable)
    host_millicores = capacity_millicores / len(usable)
    if not host_millicores:
        return 0
    return int(
        (capacity_millicores - demand_millicores / LOAD_LIMIT_RATIO) / host_millicores
    )


def _required_count(pool: PoolUpkeep, due_count: int) -> int:
    """Counts the hosts that must be unavailable at once to meet the deadline."""
    host_s = pool.upkeep_s + DRAIN_TIME_S
    rounds_count = max(1, int(pool.remaining_s / host_s))
    if rounds_count > due_count + pool.unavailable_count:
        return 0
    return -(-(due_count + pool.unavailable_count) // rounds_count)


def _drain_cost(due: DueHost) -> tuple[int, int]:
    worker = due.worker
    if worker is None:
        return (0, 0)
    return (worker.long_running_count, worker.used.cpu_millicores)
