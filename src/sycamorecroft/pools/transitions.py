"""State transitions of hosts and their effect on pool budgets, as pure functions."""

from collections.abc import Mapping
from typing import NamedTuple

from sycamorecroft.errors import BudgetExceededError, PoolOperationError
from sycamorecroft.invariants import PoolAvailability, check_availability_budget
from sycamorecroft.pools.records import BudgetRecord, allowed_out_count
from sycamorecroft.pools.state import HostRecord, HostState

PLANNED_OUT_STATES = frozenset(
    {HostState.DRAINING, HostState.DRAINED, HostState.REBOOTING}
)


class BudgetDelta(NamedTuple):
    """Change of a pool's host counts."""

    hosts: int
    planned_out: int
    failed_out: int


def start_move(record: HostRecord, target_pool: str) -> HostRecord:
    """
    :raises PoolOperationError: when the host isn't active in another pool.
    """
    _require_state(record, "move", HostState.ACTIVE)
    if record["pool"] == target_pool:
        message = f"host {record['host']!r} is already in pool {target_pool!r}"
        raise PoolOperationError(message)
    return _next(record, state=HostState.DRAINING, target_pool=target_pool)


def complete_move(record: HostRecord) -> HostRecord:
    """
    :raises PoolOperationError: when the host isn't being moved.
    """
    _require_state(record, "complete the move of", HostState.DRAINING)
    target_pool = record["target_pool"]
    if target_pool is None:
        message = f"host {record['host']!r} is draining for maintenance, not for a move"
        raise PoolOperationError(message)
    return _next(record, state=HostState.ACTIVE, pool=target_pool, target_pool=None)


def cancel_move(record: HostRecord) -> HostRecord:
    """
    :raises PoolOperationError: when the host isn't being moved.
    """
    _require_state(record, "cancel the move of", HostState.DRAINING)
    if record["target_pool"] is None:
        message = f"host {record['host']!r} is draining for maintenance, not for a move"
        raise PoolOperationError(message)
    return _next(record, state=HostState.ACTIVE, target_pool=None)


def start_drain(record: HostRecord, maintenance_id: str) -> HostRecord:
    """
    :raises PoolOperationError: when the host isn't active.
    """
    _require_state(record, "drain", HostState.ACTIVE)
    return _next(record, state=HostState.DRAINING, maintenance_id=maintenance_id)


def mark_drained(record: HostRecord) -> HostRecord:
    """
    :raises PoolOperationError: when the host isn't draining for maintenance.
    """
    _require_state(record, "mark as drained", HostState.DRAINING)
    if record["target_pool"] is not None:
        message = f"host {record['host']!r} is draining for a move, not for maintenance"
        raise PoolOperationError(message)
    return _next(record, state=HostState.DRAINED)


def reboot(record: HostRecord) -> HostRecord:
    """
    :raises PoolOperationError: when the host isn't drained.
    """
    _require_state(record, "reboot", HostState.DRAINED)
    return _next(record, state=HostState.REBOOTING)


def return_to_service(record: HostRecord) -> HostRecord:
    """
    :raises PoolOperationError: when the host isn't drained, rebooting or ``out``.
    """
    _require_state(
        record,
        "return to service",
        HostState.DRAINED,
        HostState.REBOOTING,
        HostState.OUT,
    )
    return _next(record, state=HostState.ACTIVE, maintenance_id=None)


def take_out_of_service(record: HostRecord) -> HostRecord:
    """
    :raises PoolOperationError: when the host's state is ``out`` already.
    """
    _require_state(
        record, "take out of service", HostState.ACTIVE, *sorted(PLANNED_OUT_STATES)
    )
    return _next(record, state=HostState.OUT, target_pool=None, maintenance_id=None)


def budget_deltas(
    before: HostRecord | None, after: HostRecord | None
) -> Mapping[str, BudgetDelta]:
    """
    :param before: the record that is replaced, ``None`` for a new host.
    :param after: the new record, ``None`` for a removed host.
    :returns: the change of the counts of each affected pool.
    """
    deltas: dict[str, BudgetDelta] = {}
    for record, sign in ((before, -1), (after, 1)):
        if record is None:
            continue
        known = deltas.get(record["pool"], BudgetDelta(0, 0, 0))
        deltas[record["pool"]] = BudgetDelta(
            known.hosts + sign,
            known.planned_out + sign * (record["state"] in PLANNED_OUT_STATES),
            known.failed_out + sign * (record["state"] == HostState.OUT),
        )
    return {
        pool: delta for pool, delta in deltas.items() if delta != BudgetDelta(0, 0, 0)
    }


def apply_delta(budget: BudgetRecord, delta: BudgetDelta) -> BudgetRecord:
    """
    :returns: the pool's budget after the change.
    :raises BudgetExceededError: when the change would take out more hosts for planned
        work than the budget allows, or remove a host that it requires. Failed hosts
        count too, so that planned work never adds to a failure beyond the budget.
    """
    after = budget.copy()
    after["hosts_count"] += delta.hosts
    after["planned_out_count"] += delta.planned_out
    after["failed_out_count"] += delta.failed_out
    if delta.planned_out > 0:
        _require_budget(after, after["planned_out_count"] + after["failed_out_count"])
        check_availability_budget(availability_of(after))
    if delta.hosts < 0 and delta.planned_out == 0:
        _require_budget(after, after["planned_out_count"])
    return after


def availability_of(budget: BudgetRecord) -> PoolAvailability:
    """
    :returns: the pool's counts as input of the check of invariant I1.
    """
    return PoolAvailability(
        budget["pool"],
        budget["hosts_count"],
        budget["planned_out_count"],
        budget["max_unavailable_ratio"],
    )


def _require_budget(budget: BudgetRecord, out_count: int) -> None:
    allowed_count = allowed_out_count(budget)
    if out_count > allowed_count:
        message = (
            f"pool {budget['pool']!r} would have {out_count} of "
            f"{budget['hosts_count']} hosts out, at most {allowed_count} are allowed; "
            "wait until a host returns to service"
        )
        raise BudgetExceededError(message)


def _require_state(record: HostRecord, operation: str, *allowed: HostState) -> None:
    if record["state"] not in allowed:
        names = ", ".join(state.value for state in allowed)
        message = (
            f"can't {operation} host {record['host']!r}: its state is "
            f"{record['state']!s}, allowed are {names}"
        )
        raise PoolOperationError(message)


def _next(record: HostRecord, **changes: object) -> HostRecord:
    after = record.copy()
    after.update(changes)  # type: ignore[typeddict-item]
    after["epoch"] = record["epoch"] + 1
    return after
