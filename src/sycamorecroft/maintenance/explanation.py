"""Plans all waves and explains what each host of a wave waits for.

Pure functions of a snapshot.
"""

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
from sycamorecroft.maintenance.snapshot import MaintenanceSnapshot
from sycamorecroft.pools.clearance import DrainingHost, evaluate_clearance
from sycamorecroft.pools.records import HostRow
from sycamorecroft.pools.state import HostState


class HostExplanation(NamedTuple):
    """State of a host in a wave, or why it waits; ``detail`` names the cause."""

    host: str
    reason: WaitReason
    detail: str


class WavePlan(NamedTuple):
    """Hosts to drain now, mapped to their wave, and why the other hosts wait."""

    starts: Mapping[str, str]
    batch: Batch


def plan_waves(snapshot: MaintenanceSnapshot) -> WavePlan:
    """Plans all running waves together; hosts of earlier deadlines have priority.

    :returns: the hosts that may start to drain, and why the others can't.
    """
    wave_ids: dict[str, str] = {}
    for wave in snapshot.open_waves():
        if wave_wait_of(wave, snapshot) is not None:
            continue
        for host in snapshot.remaining_hosts(wave):
            if _is_waiting(host, snapshot):
                wave_ids.setdefault(host, wave.record["id"])
    batch = plan_batch(
        BatchRequest(
            hosts={name: row.record for name, row in snapshot.hosts.items()},
            budgets=snapshot.budgets,
            waiting=tuple(wave_ids),
            failed_hosts=snapshot.failures.failed_hosts,
            needed_counts=snapshot.needed_counts,
        )
    )
    return WavePlan({host: wave_ids[host] for host in batch.hosts}, batch)


def wave_wait_of(wave: WaveRow, snapshot: MaintenanceSnapshot) -> HostWait | None:
    """
    :returns: why no host of the wave may start to drain, ``None`` if nothing prevents
        the wave as a whole.
    """
    if wave.record["state"] != WaveState.RUNNING:
        return _wait_by_state(wave)
    if not snapshot.failures.is_host_list_available:
        detail = "the platform's host list is unavailable, so failures are unknown"
        return HostWait(WaitReason.HOST_LIST_UNAVAILABLE, detail)
    recently_failed = snapshot.failures.recently_failed_pools & _pools_of(
        wave, snapshot
    )
    if recently_failed:
        failed = ", ".join(sorted(snapshot.failures.failed_hosts)) or "none at present"
        detail = (
            f"failure in pools {', '.join(sorted(recently_failed))}; failed: {failed}"
        )
        return HostWait(WaitReason.RECENT_FAILURE, detail)
    return None


def explain_wave(
    wave_id: str, snapshot: MaintenanceSnapshot
) -> tuple[HostExplanation, ...]:
    """
    :returns: one explanation for each host of the wave, in the wave's order.
    :raises KeyError: when the wave is unknown.
    """
    wave = snapshot.waves[wave_id]
    wave_wait = wave_wait_of(wave, snapshot)
    batch = plan_waves(snapshot).batch
    explanations = []
    for host in wave.record["hosts"]:
        wait = _wait_of(host, wave, snapshot, wave_wait, batch)
        explanations.append(HostExplanation(host, wait.reason, wait.detail))
    return tuple(explanations)


def _wait_of(
    host: str,
    wave: WaveRow,
    snapshot: MaintenanceSnapshot,
    wave_wait: HostWait | None,
    batch: Batch,
) -> HostWait:
    wave_id = wave.record["id"]
    outcome = snapshot.outcomes.get(wave_id, {}).get(host)
    if outcome is not None:
        return HostWait(WaitReason.DONE, outcome.value)
    row = snapshot.hosts.get(host)
    if row is None or row.record["state"] == HostState.OUT:
        return HostWait(
            WaitReason.HOST_FAILED, "the host is out of service or not registered"
        )
    if row.record["state"] != HostState.ACTIVE:
        return _wait_in_progress(row, wave_id, snapshot)
    if wave_wait is not None:
        return wave_wait
    if host in snapshot.failures.failed_hosts:
        return HostWait(WaitReason.HOST_FAILED, "the platform lists it as not live")
    next_wait = HostWait(WaitReason.NEXT, "may start to drain now")
    return batch.waits.get(host, next_wait)


def _wait_in_progress(
    row: HostRow, wave_id: str, snapshot: MaintenanceSnapshot
) -> HostWait:
    record = row.record
    if record["target_pool"] is not None:
        detail = f"moves from {record['pool']} to {record['target_pool']}"
        return HostWait(WaitReason.MOVE_IN_PROGRESS, detail)
    if record["maintenance_id"] != wave_id:
        detail = f"{record['state'].value} for wave {record['maintenance_id']}"
        return HostWait(WaitReason.OTHER_WAVE, detail)
    if record["state"] != HostState.DRAINING:
        return HostWait(WaitReason(record["state"].value), "")
    return _wait_of_draining(row, snapshot)


def _wait_of_draining(row: HostRow, snapshot: MaintenanceSnapshot) -> HostWait:
    # Only the controller knows the time since the drain started.
    draining = DrainingHost(row.record["host"], row.version, float("inf"))
    clearance = evaluate_clearance(draining, snapshot.acknowledgements)
    if clearance.is_clear:
        detail = "all entry hosts acknowledged the drain"
        return HostWait(WaitReason.DRAINING, detail)
    detail = "; ".join(
        f"{blocker.entry}: {blocker.reason.value}, {blocker.detail}"
        for blocker in clearance.blockers
    )
    return HostWait(WaitReason.ENTRY_HOST, detail)


def _is_waiting(host: str, snapshot: MaintenanceSnapshot) -> bool:
    row = snapshot.hosts.get(host)
    if row is None or host in snapshot.failures.failed_hosts:
        return False
    return row.record["state"] == HostState.ACTIVE


def _wait_by_state(wave: WaveRow) -> HostWait:
    state = wave.record["state"]
    if state == WaveState.PAUSED:
        return HostWait(WaitReason.WAVE_PAUSED, "paused by an operator; resume it")
    return HostWait(WaitReason.WAVE_CANCELLED, f"the wave is {state.value}")


def _pools_of(wave: WaveRow, snapshot: MaintenanceSnapshot) -> frozenset[str]:
    rows = [snapshot.hosts.get(host) for host in wave.record["hosts"]]
    return frozenset(row.record["pool"] for row in rows if row is not None)
