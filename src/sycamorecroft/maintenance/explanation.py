"""Explains for each host of a wave what it waits for. Pure."""

from collections.abc import Mapping
from typing import NamedTuple

from sycamorecroft.maintenance.planning import (
    Batch,
    BatchRequest,
    HostWait,
    WaitReason,
    plan_batch,
)
from sycamorecroft.maintenance.records import WaveRow, WaveState
from sycamorecroft.maintenance.situation import Situation
from sycamorecroft.pools.clearance import DrainingHost, evaluate_clearance
from sycamorecroft.pools.records import HostRow
from sycamorecroft.pools.state import HostState


class HostExplanation(NamedTuple):
    """Why a host of a wave is where it is; ``detail`` names the cause."""

    host: str
    reason: WaitReason
    detail: str


class WavePlan(NamedTuple):
    """Hosts to drain now with the wave they drain for, and why the others wait."""

    starts: Mapping[str, str]
    batch: Batch


def plan_waves(situation: Situation) -> WavePlan:
    """Plans over all running waves together, those with the earliest deadline first.

    :returns: the hosts that may start to drain.
    """
    wave_ids: dict[str, str] = {}
    for wave in situation.open_waves():
        if hold_of(wave, situation) is not None:
            continue
        for host in situation.remaining_hosts(wave):
            if _is_waiting(host, situation):
                wave_ids.setdefault(host, wave.record["id"])
    batch = plan_batch(
        BatchRequest(
            hosts={name: row.record for name, row in situation.hosts.items()},
            budgets=situation.budgets,
            waiting=tuple(wave_ids),
            failed_hosts=situation.failures.failed_hosts,
            needed_counts=situation.needed_counts,
        )
    )
    return WavePlan({host: wave_ids[host] for host in batch.hosts}, batch)


def hold_of(wave: WaveRow, situation: Situation) -> HostWait | None:
    """
    :returns: why no host of the wave may start to drain, ``None`` if some may.
    """
    if wave.record["state"] != WaveState.RUNNING:
        return _hold_by_state(wave)
    if not situation.failures.is_known:
        detail = "the platform's host list can't be had, so failures are unknown"
        return HostWait(WaitReason.HOST_LIST_UNAVAILABLE, detail)
    unsettled = situation.failures.unsettled_pools & _pools_of(wave, situation)
    if unsettled:
        failed = ", ".join(sorted(situation.failures.failed_hosts)) or "none now"
        detail = f"failure in pools {', '.join(sorted(unsettled))}; failed: {failed}"
        return HostWait(WaitReason.RECENT_FAILURE, detail)
    return None


def explain_wave(wave_id: str, situation: Situation) -> tuple[HostExplanation, ...]:
    """
    :returns: one explanation for each host of the wave, in the wave's order.
    :raises KeyError: when the wave is unknown.
    """
    wave = situation.waves[wave_id]
    hold = hold_of(wave, situation)
    batch = plan_waves(situation).batch
    explanations = []
    for host in wave.record["hosts"]:
        wait = _wait_of(host, wave, situation, hold, batch)
        explanations.append(HostExplanation(host, wait.reason, wait.detail))
    return tuple(explanations)


def _wait_of(
    host: str,
    wave: WaveRow,
    situation: Situation,
    hold: HostWait | None,
    batch: Batch,
) -> HostWait:
    wave_id = wave.record["id"]
    outcome = situation.outcomes.get(wave_id, {}).get(host)
    if outcome is not None:
        return HostWait(WaitReason.DONE, outcome.value)
    row = situation.hosts.get(host)
    if row is None or row.record["state"] == HostState.OUT:
        return HostWait(WaitReason.HOST_FAILED, "the host is out or not registered")
    if row.record["state"] != HostState.ACTIVE:
        return _wait_in_progress(row, wave_id, situation)
    if hold is not None:
        return hold
    if host in situation.failures.failed_hosts:
        return HostWait(WaitReason.HOST_FAILED, "the platform lists it as not live")
    next_wait = HostWait(WaitReason.NEXT, "may start to drain now")
    return batch.waits.get(host, next_wait)


def _wait_in_progress(row: HostRow, wave_id: str, situation: Situation) -> HostWait:
    record = row.record
    if record["target_pool"] is not None:
        detail = f"moves from {record['pool']} to {record['target_pool']}"
        return HostWait(WaitReason.MOVE_IN_PROGRESS, detail)
    if record["maintenance_id"] != wave_id:
        detail = f"{record['state'].value} for wave {record['maintenance_id']}"
        return HostWait(WaitReason.OTHER_WAVE, detail)
    if record["state"] != HostState.DRAINING:
        return HostWait(WaitReason(record["state"].value), "")
    return _wait_of_draining(row, situation)


def _wait_of_draining(row: HostRow, situation: Situation) -> HostWait:
    # The time since the drain is known to the controller only.
    draining = DrainingHost(row.record["host"], row.version, float("inf"))
    clearance = evaluate_clearance(draining, situation.acknowledgements)
    if clearance.is_clear:
        detail = "all entry hosts acknowledged the drain"
        return HostWait(WaitReason.DRAINING, detail)
    detail = "; ".join(
        f"{blocker.entry}: {blocker.reason.value}, {blocker.detail}"
        for blocker in clearance.blockers
    )
    return HostWait(WaitReason.ENTRY_HOST, detail)


def _is_waiting(host: str, situation: Situation) -> bool:
    row = situation.hosts.get(host)
    if row is None or host in situation.failures.failed_hosts:
        return False
    return row.record["state"] == HostState.ACTIVE


def _hold_by_state(wave: WaveRow) -> HostWait:
    state = wave.record["state"]
    if state == WaveState.PAUSED:
        return HostWait(WaitReason.WAVE_PAUSED, "paused by an operator; resume it")
    return HostWait(WaitReason.WAVE_CANCELLED, f"the wave is {state.value}")


def _pools_of(wave: WaveRow, situation: Situation) -> frozenset[str]:
    rows = [situation.hosts.get(host) for host in wave.record["hosts"]]
    return frozenset(row.record["pool"] for row in rows if row is not None)
