"""Tests of the division of a limit between services."""

from sycamorecroft.quotas.allocation import (
    UNLIMITED,
    UNLIMITED_AMOUNT,
    AllocationInput,
    allocate,
    due_amount,
    effective_limit,
)
from sycamorecroft.quotas.rows import QuotaEntry
from sycamorecroft.scheduling.model import Resources

LIMIT = Resources(100, UNLIMITED_AMOUNT, UNLIMITED_AMOUNT)


def _entry(grant, wanted=0):
    return QuotaEntry(1, LIMIT._replace(cpu_millicores=grant), Resources(wanted))


def _allocate(grant, used, need, *others, refused=None):
    asked = AllocationInput(
        LIMIT,
        LIMIT._replace(cpu_millicores=grant),
        Resources(used),
        Resources(need),
        None if refused is None else Resources(refused),
        others,
        len(others) + 1,
    )
    return allocate(asked)


def test_shares_are_max_min_fair():
    """Guards against shares that waste a limit or exceed it."""
    assert due_amount(100, 60, [10, 60]) == 45
    assert due_amount(100, 20, [60, 60]) == 20
    assert due_amount(100, 60, []) == 60
    assert due_amount(100, 500, [500, 500]) == 33


def test_resource_without_limit_is_never_scarce():
    """Guards against a limit of 0 that is taken as a limit."""
    assert effective_limit(Resources()) == effective_limit(None) == UNLIMITED
    assert _allocate(0, 0, 10, _entry(0)).grant.memory_mb == UNLIMITED_AMOUNT


def test_grant_is_raised_within_the_limit():
    """Guards against grants above the limit, and against room for today's need only."""
    assert _allocate(0, 0, 5, _entry(0)).grant.cpu_millicores == 25
    assert _allocate(25, 25, 30, _entry(25)).grant.cpu_millicores == 60
    allocation = _allocate(25, 25, 60, _entry(70))
    assert allocation.grant.cpu_millicores == 30
    assert allocation.wanted.cpu_millicores == 60


def test_unused_grant_is_lowered_only_if_wanted():
    """Guards against writes in calm periods, and against grants that stay unused."""
    assert _allocate(80, 0, 0, _entry(20)).grant.cpu_millicores == 80
    assert _allocate(80, 0, 0, _entry(20, 100)).grant.cpu_millicores == 25
    assert _allocate(80, 70, 90, _entry(20, 100)).grant.cpu_millicores == 70
    assert _allocate(80, 70, 90, _entry(20, 100)).ceiling.cpu_millicores == 50


def test_room_without_a_task_that_fits_is_given_up():
    """Guards against parts of a limit in which no service can start its task."""
    others = [_entry(25, 42)] * 3
    assert _allocate(25, 0, 40, *others, refused=40).grant.cpu_millicores == 0
    others[0] = _entry(0, 42)
    assert _allocate(25, 0, 40, *others, refused=40).grant.cpu_millicores == 40


def test_grants_above_the_limit_are_lowered_to_the_usage():
    """Guards against a lowered limit that is never met, or a grant below the usage."""
    assert _allocate(80, 30, 90, _entry(80)).grant.cpu_millicores == 30
    assert _allocate(20, 30, 90, _entry(80)).grant.cpu_millicores == 30
