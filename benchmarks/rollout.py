"""Maintenance of each host once: ``python -m benchmarks.rollout``.

Model: the sites of section 1.2 of docs/design.md (5 pools of 8 hosts) and a larger
fleet (10 pools of 40 hosts) on the platform in memory, 9 entry hosts that acknowledge
every 2 s, steps of 1 s on a manual clock, reboots of 60 s, a host list that lags by 10
s. The run is deterministic.

The bound takes for each pool the largest batches that its budget, its racks and the
reserve for one rack failure allow (the budget alone, where it is smaller than a rack),
and the shortest time for a host: the wait after the drain and the reboot. The baseline
takes one host of the fleet at a time, each in the shortest time.
"""

import math
import time
from collections import Counter
from collections.abc import Mapping
from datetime import timedelta
from typing import NamedTuple

from standins.faults import Operation
from standins.memory_fleet import MemoryFleet, PoolShape
from standins.memory_tables import CallKey
from sycamorecroft.maintenance.records import Selection, SelectionKind, WaveState
from sycamorecroft.maintenance.waves import WaveStore
from sycamorecroft.pools.clearance import HELD_GRANTS_WAIT_S
from sycamorecroft.store.interfaces import StorePurpose

ENTRIES_COUNT = 9
ACKNOWLEDGE_S = 2
REBOOT_S = 60.0
HOST_LIST_LAG_S = 10.0
LIMIT_S = 20_000
TARGET_RATIO = 1.2


class Fleet(NamedTuple):
    """A fleet to maintain."""

    name: str
    pools: tuple[PoolShape, ...]


FLEETS = (
    Fleet(
        "5 pools of 8, budget 25%",
        tuple(PoolShape(f"p{number}", 8, 4, 0.25) for number in range(5)),
    ),
    Fleet(
        "10 pools of 40, budget 20%",
        tuple(PoolShape(f"p{number}", 40, 4, 0.2) for number in range(10)),
    ),
)


class Rollout(NamedTuple):
    """Result of one wave over all hosts."""

    duration_s: int
    peak_writes_count: int
    peak_reads_count: int


def bound_s(fleet: Fleet) -> float:
    """
    :returns: seconds that no schedule within budgets and racks can fall below.
    """
    host_s = HELD_GRANTS_WAIT_S + REBOOT_S
    return host_s * max(_rounds_count(pool) for pool in fleet.pools)


def _rounds_count(pool: PoolShape) -> int:
    allowed_count = int(pool.hosts_count * pool.max_unavailable_ratio + 1e-9)
    beside_reserve_count = allowed_count - pool.rack_size
    free_count = allowed_count if beside_reserve_count < 0 else beside_reserve_count
    batch_count = max(1, min(pool.rack_size, free_count))
    racks = Counter(number // pool.rack_size for number in range(pool.hosts_count))
    return sum(math.ceil(size / batch_count) for size in racks.values())


def run(fleet: Fleet) -> Rollout:
    """
    :returns: duration and the busiest second of store use by the controller.
    """
    world = MemoryFleet(
        fleet.pools,
        entry_hosts_count=ENTRIES_COUNT,
        host_list_lag_s=HOST_LIST_LAG_S,
        reboot_s=REBOOT_S,
    )
    waves = WaveStore(world.tables, world.clock)
    names = tuple(pool.name for pool in fleet.pools)
    deadline = world.clock.now() + timedelta(days=1)
    selection = Selection(SelectionKind.POOL, names)
    wave_id = waves.declare("all", selection, deadline).record["id"]
    controller = world.maintenance("daemon")
    peaks: Counter[Operation] = Counter()
    for elapsed_s in range(LIMIT_S):
        before = world.tables.call_counts()
        controller.step(world.clock.now())
        peaks |= Counter(_calls(world.tables.call_counts(), before))
        if elapsed_s % 10 == 0:
            world.check()
        if waves.read(wave_id).record["state"] == WaveState.FINISHED:
            writes_count, reads_count = peaks[Operation.WRITE], peaks[Operation.READ]
            return Rollout(elapsed_s, writes_count, reads_count)
        world.clock.advance(1.0)
        if elapsed_s % ACKNOWLEDGE_S == 0:
            for entry in world.entry_hosts.values():
                entry.step()
    raise AssertionError(f"the wave did not finish in {LIMIT_S} s")


def _calls(
    after: Mapping[CallKey, int], before: Mapping[CallKey, int]
) -> dict[Operation, int]:
    return {
        key.operation: count - before.get(key, 0)
        for key, count in after.items()
        if key.purpose is StorePurpose.POOLS
    }


def main() -> None:
    for fleet in FLEETS:
        start_s = time.perf_counter()
        rollout = run(fleet)
        bound = bound_s(fleet)
        hosts_count = sum(pool.hosts_count for pool in fleet.pools)
        one_by_one_s = hosts_count * (HELD_GRANTS_WAIT_S + REBOOT_S)
        ratio = rollout.duration_s / bound
        print(
            f"{fleet.name}: {rollout.duration_s} s, bound {bound:.0f} s, one host at "
            f"a time {one_by_one_s:.0f} s; {ratio:.2f} times the bound, target "
            f"{TARGET_RATIO}: {'met' if ratio <= TARGET_RATIO else 'missed'}"
        )
        print(
            f"busiest step: {rollout.peak_writes_count} writes, "
            f"{rollout.peak_reads_count} reads; "
            f"run took {time.perf_counter() - start_s:.1f} s"
        )


if __name__ == "__main__":
    main()
