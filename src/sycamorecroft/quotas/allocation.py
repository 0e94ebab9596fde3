"""Decides a service's grant of an account's limit, as pure functions.

The limit is divided by max-min fairness between services that need more than they are
granted. Unused grants stay where they are until another service needs them.
"""

from collections.abc import Iterable
from typing import NamedTuple

from sycamorecroft.quotas.rows import QuotaEntry
from sycamorecroft.scheduling.model import Resources

# Amount of a resource that isn't limited. It exceeds every limit, so that the sum of
# the grants fits a new limit only after all owners have lowered theirs.
UNLIMITED_AMOUNT = 2**50
UNLIMITED = Resources(UNLIMITED_AMOUNT, UNLIMITED_AMOUNT, UNLIMITED_AMOUNT)
NOTHING = Resources()
# A raised grant has room for further tasks, so that a growing need takes few writes.
RAISE_FACTOR = 2
# Services without need together keep at most half of the limit.
IDLE_PART_COUNT = 2
# Grants above the due share by less than this part of the limit, divided by the number
# of services, stay, so that varying needs cause few writes.
STEP_PART_COUNT = 8


class AllocationInput(NamedTuple):
    """Input of :func:`allocate`.

    ``limit`` and grants are ``UNLIMITED_AMOUNT`` for resources without limit. ``need``
    is at least ``used``. ``refused`` is the smallest demand of a waiting task that the
    grant has no room for, if one is known. ``others`` are the entries of the other
    services.
    """

    limit: Resources
    grant: Resources
    used: Resources
    need: Resources
    refused: Resources | None
    others: tuple[QuotaEntry, ...]
    services_count: int


class Allocation(NamedTuple):
    """What a service stores: its grant, and what it needs if the grant is less.

    ``ceiling``: usage up to which it starts tasks. It is less than the grant while
    other services wait for a part of it, since freed grant would be used again at once.
    """

    grant: Resources
    wanted: Resources
    ceiling: Resources = UNLIMITED


def effective_limit(limit: Resources | None) -> Resources:
    """
    :param limit: configured limit, ``None`` for an account that isn't configured.
    :returns: the limit, ``UNLIMITED_AMOUNT`` for resources of which it is 0.
    """
    return Resources(*(amount or UNLIMITED_AMOUNT for amount in limit or NOTHING))


def entry_grant(entry: QuotaEntry) -> Resources:
    """
    :returns: grant of the entry, :data:`UNLIMITED` if it is unbounded.
    """
    return UNLIMITED if entry.grant is None else entry.grant


def least(first: Resources, second: Resources) -> Resources:
    """
    :returns: the lower amount of each resource.
    """
    return Resources(*map(min, first, second))


def most(first: Resources, second: Resources) -> Resources:
    """
    :returns: the higher amount of each resource.
    """
    return Resources(*map(max, first, second))


def granted_total(entries: Iterable[QuotaEntry]) -> Resources:
    """
    :returns: sum of the grants, at least ``UNLIMITED_AMOUNT`` if one is unbounded.
    """
    total = NOTHING
    for entry in entries:
        total = total.plus(entry_grant(entry))
    return total


def fits(total: Resources, limit: Resources) -> bool:
    """
    :returns: whether the sum is within the limit of each limited resource.
    """
    return all(
        bound >= UNLIMITED_AMOUNT or amount <= bound
        for amount, bound in zip(total, limit, strict=True)
    )


def is_alone(others_total: Resources, limit: Resources) -> bool:
    """
    :returns: whether the other services are granted nothing that is limited.
    """
    return all(
        bound >= UNLIMITED_AMOUNT or not amount
        for amount, bound in zip(others_total, limit, strict=True)
    )


def unmet_wanted(entry: QuotaEntry) -> Resources:
    """
    :returns: what the service needs, nothing of what its grant suffices for.
    """
    pairs = zip(entry.wanted, entry_grant(entry), strict=True)
    return Resources(*(want if want > grant else 0 for want, grant in pairs))


def is_contested(entries: Iterable[QuotaEntry]) -> bool:
    """
    :returns: whether a service needs more than it is granted.
    """
    return any(any(unmet_wanted(entry)) for entry in entries)


def due_amount(total: int, own: int, others: Iterable[int]) -> int:
    """
    :returns: max-min share of the total for the own demand.
    """
    demands = sorted(others)
    left = total
    for number, demand in enumerate(demands):
        level = left // (len(demands) - number + 1)
        if demand >= level:
            return min(own, level)
        left -= demand
    return min(own, left)


def allocate(asked: AllocationInput) -> Allocation:
    """
    :returns: grant and wanted resources to be stored. The grant is raised only within
        the limit, except to what runs already or for a single task that exceeds the
        limit.
    """
    others_total = granted_total(asked.others)
    ceiling = UNLIMITED
    if _may_run_alone(asked, others_total):
        grant = most(asked.grant, asked.refused)
    elif fits(others_total.plus(most(asked.grant, asked.used)), asked.limit):
        grant = _divided(asked, others_total)
        ceiling = _ceiling(asked)
    else:
        grant = _lowered(asked, others_total)
    grant = _with_unlimited(grant, asked.limit)
    return Allocation(grant, _wanted(asked, grant), ceiling)


def _is_oversize(asked: AllocationInput) -> bool:
    """Tells whether the waiting task exceeds the limit by itself."""
    return asked.refused is not None and not fits(asked.refused, asked.limit)


def _may_run_alone(asked: AllocationInput, others_total: Resources) -> bool:
    return (
        _is_oversize(asked)
        and not any(asked.used)
        and is_alone(others_total, asked.limit)
    )


def _lowered(asked: AllocationInput, others_total: Resources) -> Resources:
    """Returns the usage for resources whose grants exceed the limit."""
    total = others_total.plus(most(asked.grant, asked.used))
    return Resources(
        *(
            used if amount > bound else max(grant, used)
            for amount, bound, grant, used in zip(
                total, asked.limit, asked.grant, asked.used, strict=True
            )
        )
    )


def _divided(asked: AllocationInput, others_total: Resources) -> Resources:
    is_contested_by_resource = _contested(asked)
    grant = Resources(
        *(
            _amount(asked, number, others_total[number], is_resource_contested)
            for number, is_resource_contested in enumerate(is_contested_by_resource)
        )
    )
    if asked.refused is None or grant.covers(asked.used.plus(asked.refused)):
        return grant
    # Room in which no task fits would be lost to services that can use it.
    return Resources(
        *(
            used if is_resource_contested else amount
            for amount, used, is_resource_contested in zip(
                grant, asked.used, is_contested_by_resource, strict=True
            )
        )
    )


def _contested(asked: AllocationInput) -> list[bool]:
    """Tells of which resources another service needs more than it is granted."""
    unmet = map(unmet_wanted, asked.others)
    return [any(amounts) for amounts in zip(NOTHING, *unmet, strict=True)]


def _ceiling(asked: AllocationInput) -> Resources:
    """Returns the due share of what is contested, at least a waiting task."""
    amounts = list(UNLIMITED)
    for number, is_resource_contested in enumerate(_contested(asked)):
        if is_resource_contested and asked.limit[number] < UNLIMITED_AMOUNT:
            due = _due(asked, number, asked.need[number])
            refused = 0 if asked.refused is None else asked.refused[number]
            amounts[number] = max(due, refused)
    return Resources(*amounts)


def _amount(
    asked: AllocationInput, number: int, others_total: int, is_contested: bool
) -> int:
    """Returns the grant of one resource."""
    limit, used, need = asked.limit[number], asked.used[number], asked.need[number]
    if limit >= UNLIMITED_AMOUNT:
        return UNLIMITED_AMOUNT
    grant = max(asked.grant[number], used)
    small = limit // (IDLE_PART_COUNT * asked.services_count)
    ceiling = limit
    if is_contested:
        due = max(used, _due(asked, number, max(need, _idle(asked, small))))
        if grant - due >= _step(limit, asked.services_count) or not any(asked.need):
            grant = min(grant, due)
        refused = 0 if asked.refused is None else asked.refused[number]
        ceiling = max(due, refused)
    if need > grant:
        wish = max(RAISE_FACTOR * need, small)
        grant = max(grant, min(wish, limit - others_total, ceiling))
    return grant


def _idle(asked: AllocationInput, small: int) -> int:
    """Returns what a service keeps without need.

    It is nothing while another service waits to run a single task beyond the limit.
    """
    if not any(asked.need) and any(
        not fits(entry.wanted, asked.limit) for entry in asked.others
    ):
        return 0
    return small


def _due(asked: AllocationInput, number: int, own: int) -> int:
    demands = [
        max(entry.wanted[number], entry_grant(entry)[number]) for entry in asked.others
    ]
    return due_amount(asked.limit[number], own, demands)


def _step(limit: int, services_count: int) -> int:
    return max(1, limit // (STEP_PART_COUNT * services_count))


def _with_unlimited(grant: Resources, limit: Resources) -> Resources:
    return Resources(
        *(
            UNLIMITED_AMOUNT if bound >= UNLIMITED_AMOUNT else amount
            for amount, bound in zip(grant, limit, strict=True)
        )
    )


def _wanted(asked: AllocationInput, grant: Resources) -> Resources:
    """Returns the need in whole steps up to the limit, so that it rarely changes.

    More than the limit asks the other services to give up all that they don't need.
    """
    if _is_oversize(asked) and not grant.covers(asked.refused):
        return asked.refused
    return Resources(
        *(
            _wanted_amount(need, amount, bound, asked.services_count)
            for need, amount, bound in zip(asked.need, grant, asked.limit, strict=True)
        )
    )


def _wanted_amount(need: int, grant: int, limit: int, services_count: int) -> int:
    if limit >= UNLIMITED_AMOUNT or need <= grant:
        return 0
    step = _step(limit, services_count)
    return min(limit, -(-need // step) * step)
