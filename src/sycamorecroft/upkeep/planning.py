"""Choice of the machines of a pool whose upkeep comes next."""

from collections.abc import Sequence
from typing import NamedTuple

from sycamorecroft.scheduling.pool_snapshot import PoolSnapshot, WorkerSnapshot
from sycamorecroft.upkeep.machines import Machine

# Time to empty a machine beside the upkeep itself.
EMPTYING_S = 3.0
# Share of the remaining capacity that work may take while machines are away.
LOAD_LIMIT_RATIO = 0.8


class DueMachine(NamedTuple):
    """A machine that is up and due for upkeep; ``worker`` is ``None`` if it's off."""

    machine: Machine
    worker: WorkerSnapshot | None


class PoolUpkeep(NamedTuple):
    """What upkeep needs to know of a pool.

    ``due``: machines that are due and not yet emptied. ``out_count``: machines being
    emptied or in upkeep. ``remaining_s``: time left until the wave must be complete.
    """

    due: tuple[DueMachine, ...]
    out_count: int
    remaining_s: float
    upkeep_s: float


def machines_to_empty(pool: PoolUpkeep, snapshot: PoolSnapshot | None) -> list[str]:
    """Chooses machines to empty now.

    As many go as the pool's load allows; more only where the wave would end too late.

    :returns: names of machines, the ones that are easiest to empty first.
    """
    off = [due.machine.name for due in pool.due if due.worker is None]
    on = [due for due in pool.due if due.worker is not None]
    if snapshot is None:
        return off
    count = max(_spare_count(snapshot, on), _needed_count(pool, len(on)))
    on.sort(key=_cost_to_empty)
    return off + [due.machine.name for due in on[: max(0, count - pool.out_count)]]


def _spare_count(snapshot: PoolSnapshot, on: Sequence[DueMachine]) -> int:
    """Counts the machines that the load leaves unused."""
    usable = [worker for worker in snapshot.workers if worker.is_in_contact]
    if not usable or not on:
        return 0
    demand = snapshot.waiting.cpu_millicores + sum(
        worker.used.cpu_millicores for worker in usable
    )
    capacity = sum(worker.capacity.cpu_millicores for worker in usable)
    each = capacity / len(usable)
    if not each:
        return 0
    return int((capacity - demand / LOAD_LIMIT_RATIO) / each)


def _needed_count(pool: PoolUpkeep, due_count: int) -> int:
    """Counts the machines that must be out at once to end in time."""
    each_s = pool.upkeep_s + EMPTYING_S
    rounds_count = max(1, int(pool.remaining_s / each_s))
    if rounds_count > due_count + pool.out_count:
        return 0
    return -(-(due_count + pool.out_count) // rounds_count)


def _cost_to_empty(due: DueMachine) -> tuple[int, int]:
    worker = due.worker
    if worker is None:
        return (0, 0)
    return (worker.long_running_count, worker.used.cpu_millicores)
