"""Explains where a host is and what it waits for, by the order of decisions. Pure."""

from collections.abc import Mapping
from typing import NamedTuple

from sycamorecroft.maintenance.explanation import explain_wave
from sycamorecroft.maintenance.planning import WaitReason
from sycamorecroft.maintenance.situation import Situation
from sycamorecroft.pools.clearance import (
    HELD_GRANTS_WAIT_S,
    DrainingHost,
    evaluate_clearance,
)
from sycamorecroft.pools.records import HostRow, allowed_out_count
from sycamorecroft.pools.state import HostRecord, HostState


class Finding(NamedTuple):
    """Result of one step of a decision. ``holds_up`` marks what is waited for."""

    step: str
    holds_up: bool
    detail: str


class HostFacts(NamedTuple):
    """What decisions on hosts depend on.

    ``declared_pools`` and ``requested_pools`` map hosts to the pool that the inventory
    declares and to the one that an operator asked to move the host to.
    """

    situation: Situation
    declared_pools: Mapping[str, str]
    requested_pools: Mapping[str, str]


def explain_host(host: str, facts: HostFacts) -> tuple[Finding, ...]:
    """
    :returns: findings in the order inventory, pool, state, move, budget, maintenance,
        entry hosts.
    """
    inventory = _inventory(host, facts)
    row = facts.situation.hosts.get(host)
    if row is None:
        detail = (
            "not registered: the platform's host list doesn't name it as live, or it "
            "was removed after it had been absent"
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
        return Finding("state", True, f"{detail}; failed, returns once it is live")
    if record["host"] in facts.situation.failures.failed_hosts:
        return Finding("state", True, f"{detail}; the platform lists it as not live")
    return Finding("state", False, detail)


def _move(record: HostRecord, facts: HostFacts) -> Finding:
    requested = facts.requested_pools.get(record["host"])
    if record["target_pool"] is not None:
        detail = f"drains for a move to pool {record['target_pool']}"
        return Finding("move", True, detail)
    if requested is None:
        return Finding("move", False, "none")
    detail = f"asked for to pool {requested}, not begun"
    return Finding("move", True, detail)


def _budget(record: HostRecord, facts: HostFacts) -> Finding:
    budget = facts.situation.budgets.get(record["pool"])
    if budget is None:
        return Finding("budget", True, f"pool {record['pool']} has no budget row")
    out_count = budget["planned_out_count"] + budget["failed_out_count"]
    allowed_count = allowed_out_count(budget)
    detail = (
        f"{out_count} of {budget['hosts_count']} hosts of pool {record['pool']} are "
        f"out, {allowed_count} may be"
    )
    is_wanted_out = _is_wanted_out(record["host"], facts)
    is_used_up = out_count >= allowed_count
    is_active = record["state"] == HostState.ACTIVE
    return Finding("budget", is_wanted_out and is_used_up and is_active, detail)


def _is_wanted_out(host: str, facts: HostFacts) -> bool:
    situation = facts.situation
    waves = situation.open_waves()
    is_in_wave = any(host in situation.remaining_hosts(wave) for wave in waves)
    return is_in_wave or host in facts.requested_pools


def _maintenance(host: str, facts: HostFacts) -> list[Finding]:
    situation = facts.situation
    findings = []
    for wave in situation.open_waves():
        if host not in wave.record["hosts"]:
            continue
        wave_id = wave.record["id"]
        explained = explain_wave(wave_id, situation)
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
    # The time since the drain is known to the controller only.
    draining = DrainingHost(row.record["host"], row.version, float("inf"))
    blockers = evaluate_clearance(draining, facts.situation.acknowledgements).blockers
    if not blockers:
        detail = (
            "all acknowledged the drain; the controller goes on "
            f"{HELD_GRANTS_WAIT_S:g} s after it saw the drain"
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
