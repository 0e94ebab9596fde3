"""Difference between two configurations, and the host moves that it requires."""

from collections import Counter
from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple

from sycamorecroft.configuration.fleet import FleetConfiguration, PoolConfiguration
from sycamorecroft.pools.state import HostRecord


class ChangeKind(StrEnum):
    """Kind of change of an account, pool or service."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


class FieldChange(NamedTuple):
    """A changed field with its old and new value as text."""

    field: str
    old: str
    new: str


class ItemChange(NamedTuple):
    """Change of an account, pool or service.

    ``fields`` is empty if the item was added or removed.
    """

    name: str
    kind: ChangeKind
    fields: tuple[FieldChange, ...]


class PoolMoves(NamedTuple):
    """Number of hosts that a pool has according to the host records, and that it needs.

    ``entering_count`` hosts must be moved into the pool, ``leaving_count`` hosts can be
    moved out of it.
    """

    pool: str
    present_count: int
    needed_count: int
    entering_count: int
    leaving_count: int


class BudgetChange(NamedTuple):
    """Reduced availability budget of a pool, as hosts that may be out of service."""

    pool: str
    old_hosts_count: int
    new_hosts_count: int


class BufferCost(NamedTuple):
    """Number of hosts kept as spare capacity, in spare pools or without a pool."""

    old_hosts_count: int
    new_hosts_count: int


class ConfigurationDifference(NamedTuple):
    """Difference of two configurations.

    ``moves_count`` is the number of existing hosts that must be moved into another
    pool, or from no pool into one. ``missing_hosts_count`` is the number of hosts
    needed in excess of the existing ones.
    """

    old_version: int
    new_version: int
    accounts: tuple[ItemChange, ...]
    pools: tuple[ItemChange, ...]
    services: tuple[ItemChange, ...]
    moves: tuple[PoolMoves, ...]
    moves_count: int
    missing_hosts_count: int
    tightened_budgets: tuple[BudgetChange, ...]
    buffer_cost: BufferCost


EMPTY_CONFIGURATION = FleetConfiguration(0, {}, {}, {})


def diff_configurations(
    old: FleetConfiguration | None,
    new: FleetConfiguration,
    hosts: Mapping[str, HostRecord],
) -> ConfigurationDifference:
    """
    :param old: previous configuration, ``None`` if there is none.
    :param hosts: host records by host name, as in a pool view.
    :returns: the changes from ``old`` to ``new``.
    """
    old = old or EMPTY_CONFIGURATION
    present = Counter(record["pool"] for record in hosts.values())
    moves = _moves(old, new, present)
    needed_count = sum(pool.hosts_count for pool in new.pools.values())
    missing_count = max(0, needed_count - len(hosts))
    entering_count = sum(move.entering_count for move in moves)
    return ConfigurationDifference(
        old.version,
        new.version,
        _changes(old.accounts, new.accounts),
        _changes(old.pools, new.pools),
        _changes(old.services, new.services),
        moves,
        entering_count - missing_count,
        missing_count,
        _tightened_budgets(old, new),
        BufferCost(_buffer_count(old, len(hosts)), _buffer_count(new, len(hosts))),
    )


def _changes(
    old: Mapping[str, NamedTuple], new: Mapping[str, NamedTuple]
) -> tuple[ItemChange, ...]:
    changes = []
    for name in sorted(old.keys() | new.keys()):
        if name not in old:
            changes.append(ItemChange(name, ChangeKind.ADDED, ()))
        elif name not in new:
            changes.append(ItemChange(name, ChangeKind.REMOVED, ()))
        elif old[name] != new[name]:
            fields = _field_changes(old[name], new[name])
            changes.append(ItemChange(name, ChangeKind.CHANGED, fields))
    return tuple(changes)


def _field_changes(old: NamedTuple, new: NamedTuple) -> tuple[FieldChange, ...]:
    changes = []
    for field, before, after in zip(old._fields, old, new, strict=True):
        if isinstance(before, Mapping) and isinstance(after, Mapping):
            changes.extend(
                FieldChange(
                    f"{field}.{key}", _text(before.get(key)), _text(after.get(key))
                )
                for key in sorted(before.keys() | after.keys())
                if before.get(key) != after.get(key)
            )
        elif before != after:
            changes.append(FieldChange(field, _text(before), _text(after)))
    return tuple(changes)


def _text(value: object) -> str:
    if value is None:
        return "none"
    if hasattr(value, "_asdict"):
        return ", ".join(f"{key} {item}" for key, item in value._asdict().items())
    if isinstance(value, tuple):
        return ", ".join(str(item) for item in value)
    return str(value)


def _moves(
    old: FleetConfiguration, new: FleetConfiguration, present: Mapping[str, int]
) -> tuple[PoolMoves, ...]:
    moves = []
    for name in sorted(old.pools.keys() | new.pools.keys() | present.keys()):
        needed_count = new.pools[name].hosts_count if name in new.pools else 0
        surplus_count = present.get(name, 0) - needed_count
        if surplus_count:
            moves.append(
                PoolMoves(
                    name,
                    present.get(name, 0),
                    needed_count,
                    max(0, -surplus_count),
                    max(0, surplus_count),
                )
            )
    return tuple(moves)


def _budget_hosts_count(pool: PoolConfiguration) -> int:
    # The tolerance must equal the one of check_availability_budget.
    return int(pool.hosts_count * pool.max_unavailable_ratio + 1e-9)


def _tightened_budgets(
    old: FleetConfiguration, new: FleetConfiguration
) -> tuple[BudgetChange, ...]:
    return tuple(
        BudgetChange(name, _budget_hosts_count(before), _budget_hosts_count(after))
        for name, before in sorted(old.pools.items())
        if (after := new.pools.get(name)) is not None
        and _budget_hosts_count(after) < _budget_hosts_count(before)
    )


def _buffer_count(configuration: FleetConfiguration, hosts_count: int) -> int:
    pools = configuration.pools.values()
    spare_count = sum(pool.hosts_count for pool in pools if pool.is_spare)
    needed_count = sum(pool.hosts_count for pool in pools)
    return spare_count + max(0, hosts_count - needed_count)
