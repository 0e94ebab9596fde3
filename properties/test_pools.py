"""Randomised run of moves, waves, failures, outages and lost responses.

I1 and I2 are checked after each action. ``SYCAMORECROFT_SEED`` sets the seed,
``SYCAMORECROFT_EXAMPLES`` the number of runs.
"""

import os
from collections import Counter
from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

from hypothesis import HealthCheck, given, seed, settings, strategies as st

from standins.memory_fleet import MemoryEntryHost, MemoryFleet, PoolShape
from sycamorecroft.errors import (
    HostBlockedError,
    InvariantError,
    SycamorecroftError,
)
from sycamorecroft.maintenance.records import Selection, SelectionKind, WaveState
from sycamorecroft.maintenance.waves import WaveStore
from sycamorecroft.pools.records import allowed_out_count
from sycamorecroft.pools.registry import PoolRegistry
from sycamorecroft.pools.state import HostState

SEED = int(os.environ.get("SYCAMORECROFT_SEED", "20261204"))
EXAMPLES_COUNT = int(os.environ.get("SYCAMORECROFT_EXAMPLES", "60"))
POOLS = [
    PoolShape("a", 4, 2, 0.5),
    PoolShape("b", 4, 2, 0.25),
    PoolShape("c", 3, 2, 0.4),
]
RECOVERY_S = 900


class Action(NamedTuple):
    """An action by name with two numbers that choose its objects."""

    name: str
    first: int
    second: int


class _World:
    """A fleet with two pool controllers and two maintenance controllers."""

    def __init__(self) -> None:
        self.fleet = MemoryFleet(POOLS, host_list_lag_s=3.0, reboot_s=15.0)
        self.tables = [self.fleet.connect() for _ in range(2)]
        self.pool_leases = [
            self.fleet.lease("pools", f"daemon{number}", self.tables[number])
            for number in range(2)
        ]
        self.registries = [
            PoolRegistry(tables, self.fleet.platform.hosts, lease, self.fleet.clock)
            for tables, lease in zip(self.tables, self.pool_leases, strict=True)
        ]
        self.controllers = [
            self.fleet.maintenance(f"daemon{number}", self.tables[number])
            for number in range(2)
        ]
        self.planner = self.fleet.pool_controller("planner", self.tables[0])
        self.waves = WaveStore(self.fleet.connect(), self.fleet.clock)
        self.gone_hosts: set[str] = set()
        self.entries_count = len(self.fleet.entry_hosts)
        self.refusals: Counter[str] = Counter()

    def run(self, action: Action) -> None:
        operation: Callable[[int, int], object] = getattr(self, action.name)
        try:
            operation(action.first, action.second)
        except InvariantError:
            raise
        except SycamorecroftError as error:
            self.refusals[type(error).__name__] += 1
        self.fleet.check()

    def host(self, number: int) -> str:
        return self.fleet.workers[number % len(self.fleet.workers)].host

    def entry(self, number: int) -> MemoryEntryHost:
        entries = list(self.fleet.entry_hosts.values())
        return entries[number % len(entries)]

    def registry(self, number: int) -> PoolRegistry:
        self.pool_leases[number % 2].maintain()
        return self.registries[number % 2]

    def tick(self, first: int, second: int) -> None:
        self.fleet.tick(1.0 + first % 4)

    def pass_a_lease_term(self, first: int, second: int) -> None:
        self.fleet.clock.advance(11.0)

    def begin_move(self, first: int, second: int) -> None:
        target = POOLS[second % len(POOLS)].name
        self.registry(first).start_move(self.host(first // 2), target)

    def complete_moves(self, first: int, second: int) -> None:
        registry = self.registry(first)
        for host, record in self.fleet.host_records().items():
            if record["target_pool"] is not None:
                try:
                    registry.complete_move(host)
                except HostBlockedError:
                    continue

    def plan(self, first: int, second: int) -> None:
        self.planner.observe_demand({POOLS[second % 3].name: first % 8, "c": 0.1})
        self.planner.step()

    def cancel_move(self, first: int, second: int) -> None:
        self.registry(first).cancel_move(self.host(second))

    def take_out(self, first: int, second: int) -> None:
        self.registry(first).take_out_of_service(self.host(second))

    def return_to_service(self, first: int, second: int) -> None:
        record = self.fleet.host_records().get(self.host(second))
        if record is not None and record["state"] == HostState.OUT:
            self.registry(first).return_to_service(self.host(second))

    def replace_host(self, first: int, second: int) -> None:
        registry = self.registry(first)
        registry.remove_host(self.host(second))
        pool = POOLS[first % len(POOLS)].name
        worker = self.fleet.workers[second % len(self.fleet.workers)]
        registry.register_host(worker._replace(pool=pool))

    def declare(self, first: int, second: int) -> None:
        worker = self.fleet.workers[second % len(self.fleet.workers)]
        kinds = {
            SelectionKind.RACK: worker.rack,
            SelectionKind.POOL: worker.pool,
            SelectionKind.HOSTS: worker.host,
        }
        kind = list(kinds)[first % len(kinds)]
        deadline = self.fleet.clock.now() + timedelta(hours=1)
        selection = Selection(kind, (kinds[kind],))
        self.waves.declare(f"key{first}-{second}", selection, deadline)

    def change_wave(self, first: int, second: int) -> None:
        changes = (self.waves.pause, self.waves.resume, self.waves.cancel)
        waves = self.waves.waves()
        if waves:
            changes[first % 3](waves[second % len(waves)].record["id"])

    def maintain(self, first: int, second: int) -> None:
        self.controllers[first % 2].step(self.fleet.clock.now())

    def restart_controller(self, first: int, second: int) -> None:
        number = first % 2
        self.controllers[number] = self.fleet.maintenance(
            f"daemon{number}/{second}", self.tables[number]
        )

    def grant(self, first: int, second: int) -> None:
        for number in range(second % 3, len(self.fleet.workers), 3):
            self.entry(first).grant(self.host(number))

    def end_grants(self, first: int, second: int) -> None:
        self.entry(first).grants.clear()

    def freeze(self, first: int, second: int) -> None:
        self.entry(first).is_frozen = second % 2 == 0

    def replace_entry(self, first: int, second: int) -> None:
        old = self.entry(first)
        del self.fleet.entry_hosts[old.name]
        self.entries_count += 1
        name = f"entry{self.entries_count}"
        new = MemoryEntryHost(self.fleet.tables, self.fleet.clock, name, f"{name}/1")
        new.reader.adopt(old.reader.view)
        self.fleet.entry_hosts[name] = new
        self.declare_hosts()

    def fail_host(self, first: int, second: int) -> None:
        self.gone_hosts.add(self.host(second))
        self.declare_hosts()

    def repair_hosts(self, first: int, second: int) -> None:
        self.gone_hosts.clear()
        self.declare_hosts()

    def lose_responses(self, first: int, second: int) -> None:
        self.tables[first % 2].faults.lose_responses(count=1 + second % 4)

    def cut_controller(self, first: int, second: int) -> None:
        self.tables[first % 2].faults.set_down(count=1 + second % 4)

    def cut_entry(self, first: int, second: int) -> None:
        self.entry(first).tables.faults.set_down(duration_s=second * 2.0)

    def declare_hosts(self) -> None:
        self.fleet.declare_hosts(without=self.gone_hosts)

    def recover(self) -> None:
        """Ends all faults, after which all moves and waves must end."""
        for item in [
            *self.tables,
            *(e.tables for e in self.fleet.entry_hosts.values()),
        ]:
            item.faults.clear()
        for entry in self.fleet.entry_hosts.values():
            entry.is_frozen = False
            entry.grants.clear()
        self.repair_hosts(0, 0)
        for wave in self.waves.waves():
            if wave.record["state"] == WaveState.PAUSED:
                self.waves.resume(wave.record["id"])
        for _ in range(RECOVERY_S):
            for name in ("tick", "maintain", "complete_moves"):
                self.run(Action(name, 0, 0))
            for number in range(len(self.fleet.workers)):
                self.run(Action("return_to_service", 0, number))
            if self._is_settled():
                return
        raise AssertionError(f"not settled after {RECOVERY_S} s: {self._unsettled()}")

    def _is_settled(self) -> bool:
        return not self._unsettled()

    def _unsettled(self) -> list[str]:
        hosts = [
            host
            for host, record in self.fleet.host_records().items()
            if record["state"] != HostState.ACTIVE
        ]
        budgets = self.fleet.budgets()
        movable = {
            host
            for host, record in self.fleet.host_records().items()
            if allowed_out_count(budgets[record["pool"]]) > 0
        }
        open_states = (WaveState.RUNNING, WaveState.PAUSED)
        waves = [
            wave.record["id"]
            for wave in self.waves.waves()
            if wave.record["state"] in open_states
            and movable.issuperset(wave.record["hosts"])
        ]
        return hosts + waves


_NAMES = [
    name
    for name in vars(_World)
    if not name.startswith("_")
    and name not in ("run", "host", "entry", "registry", "declare_hosts", "recover")
]
# Time and controllers act more often than faults, or nothing would ever complete;
# moves and grants are frequent enough to meet in most runs.
_WEIGHTS = {
    "tick": 12,
    "maintain": 5,
    "complete_moves": 6,
    "begin_move": 6,
    "grant": 3,
    "end_grants": 3,
    "freeze": 2,
    "plan": 4,
}
_WEIGHTED_NAMES = [name for name in _NAMES for _ in range(_WEIGHTS.get(name, 1))]
_ACTIONS = st.lists(
    st.builds(
        Action, st.sampled_from(_WEIGHTED_NAMES), st.integers(0, 30), st.integers(0, 30)
    ),
    min_size=60,
    max_size=140,
)


@seed(SEED)
@settings(
    max_examples=EXAMPLES_COUNT,
    deadline=None,
    database=None,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.data_too_large],
)
@given(_ACTIONS)
def _check_actions(actions: list[Action]) -> None:
    world = _World()
    for action in actions:
        world.run(action)
    world.recover()


def test_moves_and_waves_keep_budget_and_single_pool() -> None:
    """Guards against any order of events that breaks I1 or I2, or stops for good."""
    print(f"SYCAMORECROFT_SEED={SEED} SYCAMORECROFT_EXAMPLES={EXAMPLES_COUNT}")
    _check_actions()
