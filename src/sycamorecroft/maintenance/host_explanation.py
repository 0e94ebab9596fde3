"""Explains the state of a host and what it waits for, in the order of decisions.

Pure functions of a snapshot, the inventory and the requested moves.
"""

from collections.abc import Mapping
from typing import NamedTuple

from sycamorecroft.maintenance.explanation import explain_wave
from sycamorecroft.maintenance.planning import WaitReason
from sycamorecroft.maintenance.snapshot import MaintenanceSnapshot
from sycamorecroft.pools.clearance import (
    HELD_GRANTS_WAIT_S,
    DrainingHost,
    evaluate_clearance,
)
from sycamorecroft.pools.records import HostRow, allowed_out_count
from sycamorecroft.pools.state import HostRecord, HostState


class Finding(NamedTuple):
    """Result of one decision step; ``holds_up`` is true if the host waits for it."""

    step: str
    holds_up: bool
    detail: str


class HostFacts(NamedTuple):
    """Inputs of decisions on hosts.

    ``declared_pools`` maps hosts to the pool that the inventory declares,
    ``requested_pools`` to the pool that an operator requested to move the host to.
    """

    snapshot: MaintenanceSnapshot
    declared_pools: Mapping[str, str]
    requested_pools: Mapping[str, str]


def explain_host(host: str, facts: HostFacts) -> tuple[Finding, ...]:
    """
    :returns: findings in the order inventory, pool, state, move, budget, maintenance,
        entry hosts.
    """
    inventory = _inventory(host, facts)
    row = facts.snapshot.hosts.get(host)
    if row is None:
        detail = (
            "not registered: the platform's host list doesn't name it as live, or it "
            "was removed after being absent"
        )
        return (inventory, Finding("pool", True, detail))
    return (
        inventory,
        _pool(row.record, facts),
        _state(row.record, facts),
        _move(row.record, facts),
        _budget(row.record, facts),
        *_maintenance(host, facts),
        *_entry_hosts(row, facts),
    )


def _inventory(host: str, facts: HostFacts) -> Finding:
    pool = facts.declared_pools.get(host)
    if pool is None:
        return Finding("inventory", False, "not declared")
    return Finding("inventory", False, f"declared for pool {pool}")


def _pool(record: HostRecord, facts: HostFacts) -> Finding:
    declared = facts.declared_pools.get(record["host"])
    detail = f"in pool {record['pool']}, rack {record['rack']}"
    if declared not in (None, record["pool"]):
        detail += f"; moved there from its declared pool {declared}"
    return Finding("pool", False, detail)


def _state(record: HostRecord, facts: HostFacts) -> Finding:
    detail = f"{record['state'].value}, epoch {record['epoch']}"
    if record["state"] == HostState.OUT:
        return Finding(
            "state", True, f"{detail}; failed, returns to service once it is live"
        )
    if record["host"] in facts.snapshot.failures.failed_hosts:
        return Finding("state", True, f"{detail}; the platform lists it as not live")
    return Finding("state", False, detail)


def _move(record: HostRecord, facts: HostFacts) -> Finding:
    requested = facts.requested_pools.get(record["host"])
    if record["target_pool"] is not None:
        detail = f"drains for a move to pool {record['target_pool']}"
        return Finding("move", True, detail)
    if requested is None:
        return Finding("move", False, "none")
    detail = f"asked for to pool {requested}, not started"
    return Finding("move", True, detail)


def _budget(record: HostRecord, facts: HostFacts) -> Finding:
    budget = facts.snapshot.budgets.get(record["pool"])
    if budget is None:
        return Finding("budget", True, f"pool {record['pool']} has no budget row")
    out_count = budget["planned_out_count"] + budget["failed_out_count"]
    allowed_count = allowed_out_count(budget)
    detail = (
        f"{out_count} of {budget['hosts_count']} hosts of pool {record['pool']} are "
        f"out, {allowed_count} may be"
    )
    is_removal_requested = _is_removal_requested(record["host"], facts)
    is_used_up = out_count >= allowed_count
    is_active = record["state"] == HostState.ACTIVE
    return Finding("budget", is_removal_requested and is_used_up and is_active, detail)


def _is_removal_requested(host: str, facts: HostFacts) -> bool:
    snapshot = facts.snapshot
    waves = snapshot.open_waves()
    is_in_wave = any(host in snapshot.remaining_hosts(wave) for wave in waves)
    return is_in_wave or host in facts.requested_pools


def _maintenance(host: str, facts: HostFacts) -> list[Finding]:
    snapshot = facts.snapshot
    findings = []
    for wave in snapshot.open_waves():
        if host not in wave.record["hosts"]:
            continue
        wave_id = wave.record["id"]
        explained = explain_wave(wave_id, snapshot)
        own = next(item for item in explained if item.host == host)
        detail = f"wave {wave_id}: {own.reason.value}"
        if own.detail:
            detail += f", {own.detail}"
        holds_up = own.reason not in (WaitReason.DONE, WaitReason.NEXT)
        findings.append(Finding("maintenance", holds_up, detail))
    return findings or [Finding("maintenance", False, "in no open wave")]


def _entry_hosts(row: HostRow, facts: HostFacts) -> list[Finding]:
    if row.record["state"] != HostState.DRAINING:
        return [Finding("entry hosts", False, "not asked, the host doesn't drain")]
    # Only the controller knows the time since the drain started.
    draining = DrainingHost(row.record["host"], row.version, float("inf"))
    blockers = evaluate_clearance(draining, facts.snapshot.acknowledgements).blockers
    if not blockers:
        detail = (
            "all acknowledged the drain; the controller continues "
            f"{HELD_GRANTS_WAIT_S:g} s after it first read the drain"
        )
        return [Finding("entry hosts", False, detail)]
    return [
        Finding(
            "entry hosts",
            True,
            f"{blocker.entry} blocks: {blocker.reason.value}, {blocker.detail}",
        )
        for blocker in blockers
    ]
